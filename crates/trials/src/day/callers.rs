//! Callers of a day: requests of each class arrive at random at its rate, at any edge, on kept connections.

use super::observations::Recorder;
use super::plan::{ClassPlan, Plan};
use crate::soak::{Site, INGRESS};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::{handshake, SendRequest};
use hyper::Request;
use hyper_util::rt::TokioIo;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::JoinSet;

/// How long a caller waits for an answer.
const DEADLINE_MS: u64 = 5_000;
const CONNECT_LIMIT: Duration = Duration::from_secs(1);
/// Tries of a request that may be repeated.
const TRIES: u32 = 3;
const PAUSE_BETWEEN_TRIES: Duration = Duration::from_millis(100);
/// Idle connections that are kept to an edge.
const MAX_IDLE: usize = 16;

type Sender = SendRequest<Full<Bytes>>;

/// Callers at work.
pub struct Callers {
    tasks: JoinSet<()>,
}

impl Callers {
    /// Ends them. Requests in progress are given up.
    pub async fn stop(mut self) {
        self.tasks.shutdown().await;
    }
}

/// Starts the callers of all classes.
pub fn start(site: &Arc<Site>, recorder: &Arc<Recorder>, plan: &Plan, seed: u64) -> Callers {
    let mut tasks = JoinSet::new();
    let shared =
        Arc::new(Shared { site: Arc::clone(site), recorder: Arc::clone(recorder), idle: Mutex::default() });
    for (number, class) in (1..).zip(plan.classes.clone()) {
        let random = Pcg64Mcg::seed_from_u64(seed.wrapping_add(number << 32));
        tasks.spawn(arrive(Arc::clone(&shared), class, random));
    }
    Callers { tasks }
}

struct Shared {
    site: Arc<Site>,
    recorder: Arc<Recorder>,
    idle: Mutex<HashMap<u32, Vec<Sender>>>,
}

/// Sends requests of a class with exponentially distributed pauses.
async fn arrive(shared: Arc<Shared>, class: ClassPlan, mut random: Pcg64Mcg) {
    let edges = shared.site.edge_hosts();
    let mut requests = JoinSet::new();
    let mut due = tokio::time::Instant::now();
    for number in 0u64.. {
        let uniform: f64 = random.random_range(f64::EPSILON..1.0);
        due += Duration::from_secs_f64(-uniform.ln() / class.per_s);
        tokio::time::sleep_until(due).await;
        let first_edge = random.random_range(0..edges.len());
        let tries = if class.kind == "non_idempotent" { 1 } else { TRIES };
        let (shared, name, edges) = (Arc::clone(&shared), class.name.clone(), edges.clone());
        requests.spawn(async move {
            for attempt in 0..tries {
                let edge = edges[(first_edge + attempt as usize) % edges.len()];
                let id = format!("{name}-{number}-{attempt}");
                if shared.ask(edge, &name, &id).await == Some(200) {
                    shared.recorder.served();
                    return;
                }
                tokio::time::sleep(PAUSE_BETWEEN_TRIES).await;
            }
        });
        while requests.try_join_next().is_some() {}
    }
}

impl Shared {
    /// Sends a request to an edge. Returns the status, if an answer came.
    async fn ask(&self, edge: u32, class: &str, id: &str) -> Option<u16> {
        let mut sender = match self.take_idle(edge) {
            Some(sender) => sender,
            None => self.connect(edge).await?,
        };
        let request = Request::get(format!("/{class}/x"))
            .header("host", "h.example")
            .header("x-milletwing-attempt-id", id)
            .header("x-milletwing-remaining-ms", DEADLINE_MS)
            .body(Full::new(Bytes::new()))
            .ok()?;
        self.recorder.sent(id, edge);
        let answered = async {
            let response = sender.send_request(request).await.ok()?;
            let status = response.status().as_u16();
            response.into_body().collect().await.ok()?;
            Some(status)
        };
        let status =
            tokio::time::timeout(Duration::from_millis(DEADLINE_MS), answered).await.ok().flatten()?;
        self.keep(edge, sender);
        Some(status)
    }

    async fn connect(&self, edge: u32) -> Option<Sender> {
        let address = self.site.at(edge, INGRESS);
        let stream = tokio::time::timeout(CONNECT_LIMIT, TcpStream::connect(address)).await.ok()?.ok()?;
        let (sender, connection) = handshake(TokioIo::new(stream)).await.ok()?;
        tokio::spawn(connection);
        Some(sender)
    }

    fn take_idle(&self, edge: u32) -> Option<Sender> {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.get_mut(&edge)?;
        std::iter::from_fn(|| senders.pop()).find(Sender::is_ready)
    }

    fn keep(&self, edge: u32, sender: Sender) {
        let mut idle = self.idle.lock().unwrap_or_else(PoisonError::into_inner);
        let senders = idle.entry(edge).or_default();
        if senders.len() < MAX_IDLE && !sender.is_closed() {
            senders.push(sender);
        }
    }
}
