//! Operators that evacuate zones, end that again, and order versions, in series. They send an order again as the protocol has
//! it, and leave the connections of calls that they have given up open.

use super::calls::{call, call_patiently};
use super::ledger::{Ledger, CONTACT, EVACUATION};
use super::processes::{Role, Site, ACK_S, CONTROL};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::ops::Range;
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// Zones that are evacuated; the marshals of the others serve on.
const EVACUATED_ZONES: [&str; 2] = ["c", "d"];
/// How long an order is sent again, and how long its end is, which can't count twice.
const REPEATS: Duration = Duration::from_secs(ACK_S);
const PATIENCE: Duration = Duration::from_secs(60);
/// Share of the evacuations that are ordered once more after their acknowledgement, as if that had been lost.
const DOUBLED: f64 = 0.4;
/// Milliseconds for which an evacuation stands, and until the next one.
const STANDS_MS: Range<u64> = 50..2_000;
const RESTS_MS: Range<u64> = 0..900;
/// At times the next one comes when the leader ends an order that was sent twice: after the longer of `ackS` and `evacuationS`.
const RESTS_LONG: f64 = 0.4;
const RESTS_LONG_MS: Range<u64> = ACK_S * 1_000 - 300..ACK_S * 1_000 + 400;
/// Milliseconds between two looks at what the core holds.
const LOOKS_MS: Range<u64> = 20..200;
/// How long the last evacuation stands once all is calm: edges are in touch by then, and its bound is over.
const LAST_STANDS: Duration = CONTACT.saturating_add(EVACUATION).saturating_add(Duration::from_secs(1));

/// The operators at work.
pub struct Operators {
    stop: Arc<AtomicBool>,
    tasks: JoinSet<()>,
}

impl Operators {
    /// Starts one for each zone that is evacuated, and one for versions.
    pub fn start(site: &Arc<Site>, ledger: &Arc<Ledger>, seed: u64) -> Operators {
        let stop = Arc::new(AtomicBool::new(false));
        let mut tasks = JoinSet::new();
        let operator = |number: u64| Operator {
            site: Arc::clone(site),
            ledger: Arc::clone(ledger),
            stop: Arc::clone(&stop),
            dice: Pcg64Mcg::seed_from_u64(seed.wrapping_add(number << 40)),
        };
        for (number, zone) in (1..).zip(EVACUATED_ZONES) {
            tasks.spawn(operator(number).evacuate_in_series(zone));
        }
        tasks.spawn(operator(0).roll_out_in_series());
        Operators { stop, tasks }
    }

    /// Has each give its last orders, now that all is calm.
    pub async fn finish(mut self, ledger: &Ledger) {
        self.stop.store(true, SeqCst);
        while let Some(ended) = self.tasks.join_next().await {
            if let Err(problem) = ended {
                ledger.broken("SOAK", format!("an operator: {problem}"));
            }
        }
    }
}

struct Operator {
    site: Arc<Site>,
    ledger: Arc<Ledger>,
    stop: Arc<AtomicBool>,
    dice: Pcg64Mcg,
}

impl Operator {
    fn stopping(&self) -> bool {
        self.stop.load(SeqCst)
    }

    async fn sleep(&mut self, span: Range<u64>) {
        tokio::time::sleep(Duration::from_millis(self.dice.random_range(span))).await;
    }

    fn any_core(&mut self) -> u32 {
        let cores = self.site.hosts(Role::Core);
        cores[self.dice.random_range(0..cores.len())]
    }

    /// Sends an order to one machine after the other for a while. Gives whether it was acknowledged.
    async fn order(&mut self, method: &str, path: &str, body: &str, patience: Duration) -> bool {
        let end = Instant::now() + patience;
        while Instant::now() < end {
            let host = self.any_core();
            match call_patiently(self.site.at(host, CONTROL), method, path, body).await {
                Some((200, _)) => return true,
                Some((status, text)) if (400..500).contains(&status) => {
                    self.ledger.broken("ORDER", format!("{method} {path}: {status} {text}"));
                    return false;
                }
                _ => self.sleep(20..150).await,
            }
        }
        false
    }

    async fn evacuate_in_series(mut self, zone: &'static str) {
        let path = format!("/milletwing/evacuation/{zone}");
        while !self.stopping() {
            self.evacuate_once(zone, &path).await;
            let rest = if self.dice.random_bool(RESTS_LONG) { RESTS_LONG_MS } else { RESTS_MS };
            self.sleep(rest).await;
        }
        if !self.order("POST", &path, "", PATIENCE).await {
            return self.ledger.broken("ACK", format!("{zone}: not evacuated though all is calm"));
        }
        self.ledger.evacuated(zone);
        self.watch(zone, LAST_STANDS).await;
        self.take_back(zone, &path).await;
    }

    async fn evacuate_once(&mut self, zone: &'static str, path: &str) {
        if self.order("POST", path, "", REPEATS).await {
            self.ledger.evacuated(zone);
            if self.dice.random_bool(DOUBLED) {
                let host = self.any_core();
                call_patiently(self.site.at(host, CONTROL), "POST", path, "").await;
            }
            let stands = self.dice.random_range(STANDS_MS);
            self.watch(zone, Duration::from_millis(stands)).await;
        }
        self.take_back(zone, path).await;
    }

    async fn take_back(&mut self, zone: &'static str, path: &str) {
        self.ledger.taken_back(zone);
        if !self.order("DELETE", path, "", PATIENCE).await {
            self.ledger.broken("ACK", format!("{zone}: its evacuation's end is not acknowledged"));
        }
    }

    /// Looks for a while whether the core holds that a zone is evacuated.
    async fn watch(&mut self, zone: &'static str, span: Duration) {
        let end = Instant::now() + span;
        while Instant::now() < end {
            let host = self.any_core();
            if let Some(state) = self.current_nodes(host).await {
                let evacuated =
                    state["evacuated"].as_array().is_some_and(|zones| zones.contains(&json!(zone)));
                if !evacuated {
                    let index = &state["index"];
                    let what =
                        format!("{zone} is evacuated, acknowledged, and not so at {host}, entry {index}");
                    return self.ledger.broken("EVAC", what);
                }
            }
            self.sleep(LOOKS_MS).await;
        }
    }

    /// What one machine holds, with all that was acknowledged before; nothing if it does not say, or was started meanwhile.
    async fn current_nodes(&self, host: u32) -> Option<Value> {
        let (life, to) = (self.site.life(host), self.site.at(host, CONTROL));
        let (status, _) = call(to, "GET", "/milletwing/configuration", "", "").await?;
        let (_, text) = call(to, "GET", "/milletwing/nodes", "", "").await?;
        let state = serde_json::from_str(&text).ok();
        state.filter(|_| status == 200 && self.site.life(host) == life)
    }

    async fn roll_out_in_series(mut self) {
        let mut newest_acknowledged = 0;
        for number in 1u64.. {
            if self.stopping() {
                return;
            }
            let body =
                json!({"target": "s", "targetRevision": format!("v1.{number}"), "periodS": 600}).to_string();
            if self.order("POST", "/milletwing/rollouts", &body, REPEATS).await {
                newest_acknowledged = number;
            }
            self.check_rollout(newest_acknowledged).await;
            self.sleep(STANDS_MS).await;
            self.check_rollout(newest_acknowledged).await;
        }
    }

    /// No older version than the newest that was acknowledged is being rolled out.
    async fn check_rollout(&mut self, newest_acknowledged: u64) {
        let host = self.any_core();
        let to = self.site.at(host, CONTROL);
        let Some((200, text)) = call(to, "GET", "/milletwing/rollouts/s", "", "").await else { return };
        let state: Value = serde_json::from_str(&text).unwrap_or_default();
        let version =
            state["targetRevision"].as_str().and_then(|version| version.strip_prefix("v1.")?.parse().ok());
        if version.is_none_or(|version: u64| version < newest_acknowledged) {
            self.ledger.broken("EXPOSURE", format!("v1.{newest_acknowledged} was acknowledged, and: {text}"));
        }
    }
}
