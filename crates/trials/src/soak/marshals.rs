//! Stand-ins of marshals: they run what they are sent, tell the core of themselves, leave in order and crash.

use super::ledger::{Ledger, Run};
use super::processes::Site;
use crate::stand_in::{deregister, listen, send_report, serve};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, AUTHORIZATION};
use hyper::{Request, Response};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashSet;
use std::future::Future;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Between two reports.
const REPORT: Duration = Duration::from_millis(700);
/// How long a marshal serves on after its leaving was acknowledged.
const SERVES_ON: Duration = Duration::from_secs(3);
/// What it works on at once, and beyond which it turns requests away.
const SLOTS: usize = 16;
const QUEUE: usize = 64;
/// What an upload's body is made of.
pub const UPLOAD: u8 = b'u';
/// Milliseconds until a marshal reads an upload that it has begun on, or answered.
const READS_LATE_MS: std::ops::Range<u64> = 100..1_500;
/// Milliseconds of work on most requests; of work so long that a signal comes meanwhile; and of work that
/// outlasts what an edge that leaves has left.
const SHORT_WORK_MS: std::ops::Range<u64> = 1..30;
const LONG_WORK_MS: std::ops::Range<u64> = 200..900;
const OVERRUNNING_WORK_MS: std::ops::Range<u64> = 900..2_900;
/// Bytes of a large answer.
const LARGE: usize = 60_000;

/// The body that a marshal's life gives to a request: whose answer it is can be told from it.
pub fn body(id: &str, marshal: &str, large: bool) -> String {
    let mut body = format!("{id} by {marshal}\n");
    if large {
        body.push_str(&"x".repeat(LARGE));
    }
    body
}

/// One life.
struct Life {
    name: String,
    at_work: Arc<Mutex<HashSet<String>>>,
    serving: JoinHandle<()>,
    reporting: JoinHandle<()>,
}

/// All marshals.
pub struct Fleet {
    site: Arc<Site>,
    ledger: Arc<Ledger>,
    lives: Vec<Mutex<Option<Life>>>,
    number: Mutex<u64>,
}

impl Fleet {
    /// Starts so many, and waits until the core knows them. Errors: an address can't be had.
    pub async fn start(
        site: &Arc<Site>,
        ledger: &Arc<Ledger>,
        count: u32,
        dice: &mut Pcg64Mcg,
    ) -> Result<Arc<Fleet>, String> {
        let lives = (0..count).map(|_| Mutex::default()).collect();
        let fleet =
            Fleet { site: Arc::clone(site), ledger: Arc::clone(ledger), lives, number: Mutex::default() };
        let fleet = Arc::new(fleet);
        for at in 0..count as usize {
            fleet.come(at, dice.random()).await?;
        }
        Ok(fleet)
    }

    fn take(&self, at: usize) -> Option<Life> {
        self.lives[at].lock().unwrap_or_else(PoisonError::into_inner).take()
    }

    /// A new life at an address, unless there is one. Errors: the address can't be had.
    pub async fn come(&self, at: usize, seed: u64) -> Result<(), String> {
        if self.lives[at].lock().unwrap_or_else(PoisonError::into_inner).is_some() {
            return Ok(());
        }
        let name = {
            let mut number = self.number.lock().unwrap_or_else(PoisonError::into_inner);
            *number += 1;
            format!("i-{at}-{number}")
        };
        let host = self.site.marshal(at as u32);
        let address = self.site.at(host, 9_000);
        let listener = listen(address.into()).await.map_err(|why| format!("{address}: {why}"))?;
        let at_work = Arc::default();
        let (zone, region) = self.site.zone(host);
        let node = Node {
            name: name.clone(),
            region,
            zone,
            ledger: Arc::clone(&self.ledger),
            at_work: Arc::clone(&at_work),
            dice: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
        };
        let serving = tokio::spawn(serve(listener, Arc::new(node), Node::answer));
        let report = format!(
            r#"{{"target":"s","address":"{address}","zone":"{zone}","revision":"v1","capacity":{SLOTS},"warmupLeftS":0,"state":"#
        );
        let (site, own) = (Arc::clone(&self.site), name.clone());
        let reporting = tokio::spawn(async move {
            for counter in 1.. {
                send_report(&site, &own, &report, "available", counter).await;
                tokio::time::sleep(REPORT).await;
            }
        });
        let life = Life { name, at_work, serving, reporting };
        *self.lives[at].lock().unwrap_or_else(PoisonError::into_inner) = Some(life);
        Ok(())
    }

    /// A marshal ends with all that it is at work on.
    pub fn crash(&self, at: usize) {
        let Some(life) = self.take(at) else { return };
        life.reporting.abort();
        let ids: Vec<String> =
            life.at_work.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect();
        self.ledger.cut(&life.name, &ids);
        life.serving.abort();
    }

    /// A marshal says that it leaves, serves on, and ends.
    pub async fn leave(&self, at: usize) {
        let Some(life) = self.take(at) else { return };
        life.reporting.abort();
        let host = self.site.marshal(at as u32);
        let report = format!(
            r#"{{"target":"s","address":"{}","zone":"{}","revision":"v1","capacity":{SLOTS},"warmupLeftS":0,"state":"#,
            self.site.at(host, 9_000),
            self.site.zone(host).0
        );
        send_report(&self.site, &life.name, &report, "draining", 1 << 40).await;
        tokio::time::sleep(SERVES_ON).await;
        deregister(&self.site, &life.name).await;
        let ids: Vec<String> =
            life.at_work.lock().unwrap_or_else(PoisonError::into_inner).iter().cloned().collect();
        self.ledger.cut(&life.name, &ids); // nobody acknowledged that it leaves: it ends all the same
        life.serving.abort();
    }

    /// How many addresses there are.
    pub fn count(&self) -> usize {
        self.lives.len()
    }

    /// All end.
    pub async fn stop(&self) {
        (0..self.count()).for_each(|at| self.crash(at));
    }
}

struct Node {
    name: String,
    region: &'static str,
    zone: &'static str,
    ledger: Arc<Ledger>,
    at_work: Arc<Mutex<HashSet<String>>>,
    dice: Mutex<Pcg64Mcg>,
}

fn word(headers: &HeaderMap, name: &str) -> Option<String> {
    Some(headers.get(name)?.to_str().ok()?.to_owned())
}

fn answer(status: u16, fields: &[(&str, &str)], body: String) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(status);
    for (name, value) in fields {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from(body))).unwrap_or_default()
}

async fn read(body: Option<Incoming>) -> Option<Result<Bytes, hyper::Error>> {
    Some(body?.collect().await.map(|whole| whole.to_bytes()))
}

impl Node {
    /// Reads an upload after a while. It may end early; other bytes than its client's are nobody's.
    fn read_late(&self, body: Option<Incoming>, id: String) -> impl Future<Output = ()> + use<> {
        let wait = self.dice.lock().unwrap_or_else(PoisonError::into_inner).random_range(READS_LATE_MS);
        let (ledger, name) = (Arc::clone(&self.ledger), self.name.clone());
        async move {
            tokio::time::sleep(Duration::from_millis(wait)).await;
            let read = read(body).await;
            if read.is_some_and(|read| read.is_ok_and(|bytes| bytes.iter().any(|byte| *byte != UPLOAD))) {
                ledger.broken("UNASKED", format!("{name} read other bytes for {id}"));
            }
        }
    }

    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        if path == "/health" {
            return answer(200, &[("x-milletwing-node-id", &self.name)], String::new());
        }
        let headers = request.headers().clone();
        let id = word(&headers, "x-milletwing-attempt-id").unwrap_or_default();
        if word(&headers, "x-milletwing-target-node").is_some_and(|target| target != self.name) {
            return answer(421, &[("x-milletwing-node-id", &self.name)], String::new());
        }
        let full = self.at_work.lock().unwrap_or_else(PoisonError::into_inner).len() >= SLOTS + QUEUE;
        if full {
            return answer(
                503,
                &[("x-milletwing-not-executed", "1"), ("x-milletwing-attempt-id", &id)],
                String::new(),
            );
        }
        let mut body_unread = Some(request.into_body());
        if !path.ends_with("/late") && !path.ends_with("/early") {
            let Some(Ok(_)) = read(body_unread.take()).await else {
                return answer(400, &[("x-milletwing-not-executed", "1")], String::new());
            };
        }
        let run = Run {
            marshal: self.name.clone(),
            region: self.region,
            zone: self.zone,
            at: Duration::ZERO,
            subscriber: word(&headers, "x-milletwing-subscriber"),
            key: headers.contains_key(AUTHORIZATION),
            cut: false,
        };
        self.at_work.lock().unwrap_or_else(PoisonError::into_inner).insert(id.clone());
        self.ledger.ran(&id, run);
        if path.ends_with("/early") {
            tokio::spawn(self.read_late(body_unread.take(), id.clone()));
        } else if body_unread.is_some() {
            self.read_late(body_unread.take(), id.clone()).await;
        }
        let work = {
            let mut dice = self.dice.lock().unwrap_or_else(PoisonError::into_inner);
            // Without regard to the time that it was given: a late marshal does not keep to it either.
            match dice.random_range(0..100) {
                0..2 => dice.random_range(OVERRUNNING_WORK_MS),
                2..7 => dice.random_range(LONG_WORK_MS),
                _ => dice.random_range(SHORT_WORK_MS),
            }
        };
        tokio::time::sleep(Duration::from_millis(work)).await;
        self.at_work.lock().unwrap_or_else(PoisonError::into_inner).remove(&id);
        let fields =
            [("x-milletwing-attempt-id", id.as_str()), ("x-milletwing-server-seal", self.name.as_str())];
        answer(200, &fields, body(&id, &self.name, path.starts_with("/big/")))
    }
}
