//! Clients that keep a connection until the process at its other end is gone, and judge nothing: they note what they got.

use super::ledger::{Ledger, Outcome, Record, Times, REMAINING};
use super::marshals::{body, UPLOAD};
use super::processes::{Role, Site, INGRESS, ZONES};
use super::Options;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::net::SocketAddrV4;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long a client waits in fact before it takes its edge for one that broke its word.
const WAITS: Duration = Duration::from_secs(15);
/// A connection has so long to come up.
const CONNECTS: Duration = Duration::from_secs(1);
/// Milliseconds between two requests on a connection, at most.
const THINKS_MS: u64 = 60;

/// Bytes of an upload at most: below the configuration's `maxBodyBytes`.
const MOST_UPLOADED: usize = 900_000;

/// A kind of request.
struct Kind {
    path: &'static str,
    order: bool,
    /// The tenant and its key.
    tenant: Option<(&'static str, &'static str)>,
    homes: &'static [&'static str],
}

const BOTH: &[&str] = &["north", "south"];
const KINDS: [Kind; 8] = [
    Kind { path: "/look/x", order: false, tenant: Some(("roamer", "key-r1")), homes: BOTH },
    Kind { path: "/look/y", order: false, tenant: Some(("southerner", "key-s")), homes: &["south"] },
    Kind { path: "/order/x", order: true, tenant: Some(("roamer", "key-r2")), homes: &["north"] },
    Kind { path: "/order/y", order: true, tenant: Some(("northerner", "key-n")), homes: &["north"] },
    Kind { path: "/big/x", order: false, tenant: Some(("roamer", "key-r1")), homes: BOTH },
    Kind { path: "/open/x", order: false, tenant: None, homes: BOTH },
    // Read by their marshal some time after it has begun on them, or has answered them.
    Kind { path: "/order/late", order: true, tenant: Some(("roamer", "key-r1")), homes: &["north"] },
    Kind { path: "/order/early", order: true, tenant: Some(("roamer", "key-r1")), homes: &["north"] },
];

/// Clients at work.
pub struct Clients {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

/// Starts them.
pub fn start(site: &Arc<Site>, ledger: &Arc<Ledger>, options: &Options) -> Clients {
    let stop = Arc::new(AtomicBool::new(false));
    let mut tasks = JoinSet::new();
    for number in 0..options.clients {
        let client = Client {
            site: Arc::clone(site),
            ledger: Arc::clone(ledger),
            stop: Arc::clone(&stop),
            dice: Pcg64Mcg::seed_from_u64(options.seed ^ (u64::from(number) << 32)),
            region: ZONES[number as usize % ZONES.len()].1,
        };
        tasks.spawn(client.run());
    }
    Clients { stop, tasks }
}

impl Clients {
    /// Lets each have the answer that it waits for, and ends them.
    pub async fn stop(mut self) {
        self.stop.store(true, SeqCst);
        while self.tasks.join_next().await.is_some() {}
    }
}

struct Client {
    site: Arc<Site>,
    ledger: Arc<Ledger>,
    stop: Arc<AtomicBool>,
    dice: Pcg64Mcg,
    region: &'static str,
}

impl Client {
    async fn run(mut self) {
        while !self.stop.load(SeqCst) {
            let address = self.choose().await;
            let life = self.site.life(self.site.host_of(address));
            let Ok(Ok(stream)) = tokio::time::timeout(CONNECTS, TcpStream::connect(address)).await else {
                self.think().await;
                continue;
            };
            // Started anew while this connection came up: nobody knows which life took it.
            if self.site.life(life.0) != life {
                continue;
            }
            let Ok((mut sender, connection)) = handshake(TokioIo::new(stream)).await else { continue };
            let driving = tokio::spawn(connection);
            while !self.stop.load(SeqCst) && self.ask(&mut sender, life).await {
                self.think().await;
            }
            drop(sender);
            driving.abort();
        }
    }

    async fn think(&mut self) {
        tokio::time::sleep(Duration::from_millis(self.dice.random_range(1..THINKS_MS))).await;
    }

    /// By the directory mostly, else any edge: clients hold addresses for long.
    async fn choose(&mut self) -> SocketAddrV4 {
        let cores = self.site.hosts(Role::Core);
        if self.dice.random_bool(0.6) {
            let core = cores[self.dice.random_range(0..cores.len())];
            let named = self.site.resolve(core, self.region).await.unwrap_or_default();
            if let Some(address) = named.choose(&mut self.dice) {
                return *address;
            }
        }
        let edges = self.site.hosts(Role::Edge);
        self.site.at(edges[self.dice.random_range(0..edges.len())], INGRESS)
    }

    /// An upload is now short and now longer than a marshal's host takes unread.
    fn payload(&mut self, kind: &Kind) -> Bytes {
        let length = match kind.path {
            "/order/late" | "/order/early" => self.dice.random_range(1..MOST_UPLOADED),
            _ if kind.order => 8,
            _ => 0,
        };
        Bytes::from(vec![UPLOAD; length])
    }

    /// One request. Gives whether the connection goes on.
    async fn ask(&mut self, sender: &mut SendRequest<Full<Bytes>>, edge: super::ledger::Life) -> bool {
        if sender.ready().await.is_err() {
            return false;
        }
        let kind = &KINDS[self.dice.random_range(0..KINDS.len())];
        let id = format!("{:016x}", self.dice.random::<u64>());
        let mut builder = Request::builder()
            .method(if kind.order { "POST" } else { "GET" })
            .uri(kind.path)
            .header("host", "h.example")
            .header("x-milletwing-attempt-id", &id)
            .header("x-milletwing-remaining-ms", REMAINING.as_millis() as u64)
            .header("x-milletwing-subscriber", "forged");
        if let Some((_, key)) = kind.tenant {
            builder = builder.header("authorization", format!("Token {key}"));
        }
        let payload = self.payload(kind);
        let Ok(request) = builder.body(Full::new(payload)) else { return false };
        let tenant = kind.tenant.map(|(name, _)| name);
        let record = Record {
            order: kind.order,
            tenant,
            homes: kind.homes,
            edge,
            runs: Vec::new(),
            outcome: None,
            times: Times::default(),
        };
        self.ledger.sent(&id, record);
        let large = kind.path.starts_with("/big/");
        let outcome = tokio::time::timeout(WAITS, exchange(sender, request, &id, large)).await;
        let outcome = outcome.unwrap_or(Outcome::Silent);
        let on = matches!(outcome, Outcome::Answered(..));
        self.ledger.ended(&id, outcome);
        on
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    request: Request<Full<Bytes>>,
    id: &str,
    large: bool,
) -> Outcome {
    let response = match sender.try_send_request(request).await {
        Ok(response) => response,
        Err(mut problem) => {
            return if problem.take_message().is_some() { Outcome::Unsent } else { Outcome::Closed };
        }
    };
    let (parts, answer) = response.into_parts();
    let Ok(answer) = answer.collect().await else { return Outcome::Closed };
    let seal =
        parts.headers.get("x-milletwing-server-seal").and_then(|seal| Some(seal.to_str().ok()?.to_owned()));
    let whole = seal.as_ref().is_some_and(|seal| answer.to_bytes() == body(id, seal, large).as_bytes());
    Outcome::Answered(parts.status.as_u16(), seal, whole)
}
