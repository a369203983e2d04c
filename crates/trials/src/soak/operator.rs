//! An operator that changes the configuration in series, sends invalid ones between, and reads back what is in force.

use super::calls::call;
use super::ledger::Ledger;
use super::processes::{Role, Site, CONTROL};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinHandle;

/// An order without a clear answer for so long breaks a rule: no majority of the core is away for nearly that time.
const PATIENCE: Duration = Duration::from_secs(60);
/// Requests that end between two changes at most, and how long is waited for them.
const BETWEEN: u64 = 400;
const WAITS: Duration = Duration::from_millis(800);
/// Part of the orders that are invalid.
const INVALID: f64 = 0.4;

/// Ways in which a configuration can't be taken.
#[derive(Clone, Copy, Debug)]
enum Flaw {
    CutShort,
    UnknownService,
    NegativeShare,
    NoShare,
    OddClass,
    BarePrefix,
    LongGuard,
    NoGuard,
    FarTarget,
    SamePlace,
    SharedKey,
    SameName,
    OldRevision,
    StaleMatch,
}

const FLAWS: [Flaw; 14] = [
    Flaw::CutShort,
    Flaw::UnknownService,
    Flaw::NegativeShare,
    Flaw::NoShare,
    Flaw::OddClass,
    Flaw::BarePrefix,
    Flaw::LongGuard,
    Flaw::NoGuard,
    Flaw::FarTarget,
    Flaw::SamePlace,
    Flaw::SharedKey,
    Flaw::SameName,
    Flaw::OldRevision,
    Flaw::StaleMatch,
];

/// A configuration of the soak: all serve the same requests; what differs is one route that nobody uses.
fn configuration(revision: u64) -> Value {
    let route = |prefix: &str, class: &str, extra: Value| {
        let mut route = json!({"domain": "h.example", "pathPrefix": prefix, "trafficClass": class, "guardS": 5,
            "targetS": 0.5, "priority": 1, "maxTries": 2, "servingRegions": []});
        if extra.get("distribution").is_none() {
            route["target"] = json!("s");
        }
        for (name, value) in extra.as_object().into_iter().flatten() {
            route[name] = value.clone();
        }
        route
    };
    let shares =
        json!({"distribution": [{"target": "s", "share": 1 + revision % 9}, {"target": "s", "share": 1}]});
    json!({"revision": revision, "routing": {
            "look": route("/look/", "idempotent", shares),
            "order": route("/order/", "non_idempotent", json!({"servingRegions": ["north"], "priority": 0})),
            "big": route("/big/", "downlink", json!({})),
            "open": route("/open/", "idempotent", json!({"keyless": true})),
            "mark": route(&format!("/mark-{revision}/"), "idempotent", json!({})),
        },
        "targets": {"s": {"probePath": "/health", "maxSessions": 900, "warmupS": 1, "warmupPerS": 26}},
        "subscribers": {"roamer": {"credentials": ["key-r1", "key-r2"], "priority": 1, "servingRegions": []},
            "northerner": {"credentials": ["key-n"], "priority": 0, "servingRegions": ["north"]},
            "southerner": {"credentials": ["key-s"], "servingRegions": ["south"]}},
        "thresholds": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000, "headerGuardS": 3, "idleGuardS": 15}})
}

/// A configuration that can't be taken on top of `current`, and what it says that it builds on.
fn flawed(flaw: Flaw, current: u64) -> (String, u64) {
    let revision = current + 1;
    let mut value = configuration(revision);
    let look = &mut value["routing"]["look"];
    match flaw {
        Flaw::UnknownService => look["distribution"][0]["target"] = json!("nobody"),
        Flaw::NegativeShare => look["distribution"][1]["share"] = json!(-1),
        Flaw::NoShare => {
            look["distribution"] = json!([{"target": "s", "share": 0}, {"target": "s", "share": 0}])
        }
        Flaw::OddClass => look["trafficClass"] = json!("odd"),
        Flaw::BarePrefix => look["pathPrefix"] = json!("look/"),
        Flaw::LongGuard => look["guardS"] = json!(601.5),
        Flaw::NoGuard => look["guardS"] = json!(0),
        Flaw::FarTarget => look["targetS"] = json!(65),
        Flaw::SamePlace => look["pathPrefix"] = json!("/open/"),
        Flaw::SharedKey => value["subscribers"]["southerner"]["credentials"] = json!(["key-r2"]),
        Flaw::OldRevision => value["revision"] = json!(current),
        Flaw::CutShort | Flaw::SameName | Flaw::StaleMatch => {}
    }
    let mut text = value.to_string();
    match flaw {
        Flaw::CutShort => text.truncate(text.len() * 2 / 3),
        Flaw::SameName => text = text.replacen("\"northerner\"", "\"roamer\"", 1),
        _ => {}
    }
    (text, if matches!(flaw, Flaw::StaleMatch) { current - 1 } else { current })
}

/// The operator at work.
pub struct Operator {
    shared: Arc<Shared>,
    task: JoinHandle<()>,
}

struct Shared {
    site: Arc<Site>,
    ledger: Arc<Ledger>,
    stop: AtomicBool,
    /// The newest that was acknowledged.
    newest: Mutex<u64>,
}

impl Operator {
    /// Brings in the first configuration, and goes on from there. Errors: it is not taken.
    pub async fn start(site: &Arc<Site>, ledger: &Arc<Ledger>, seed: u64) -> Result<Operator, String> {
        let shared = Shared {
            site: Arc::clone(site),
            ledger: Arc::clone(ledger),
            stop: AtomicBool::new(false),
            newest: Mutex::new(0),
        };
        let shared = Arc::new(shared);
        if !shared.change(1).await {
            return Err("the first configuration was not taken".into());
        }
        let working = Arc::clone(&shared);
        let task = tokio::spawn(async move { working.work(Pcg64Mcg::seed_from_u64(!seed)).await });
        Ok(Operator { shared, task })
    }

    /// Ends the series with one more change, and reads it back. Gives the newest.
    pub async fn finish(self) -> u64 {
        self.shared.stop.store(true, SeqCst);
        if let Err(problem) = self.task.await {
            self.shared.ledger.broken("SOAK", format!("the operator: {problem}"));
        }
        let last = self.shared.newest() + 3;
        self.shared.change(last).await;
        self.shared.read(true).await;
        self.shared.newest()
    }
}

impl Shared {
    fn newest(&self) -> u64 {
        *self.newest.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn work(&self, mut dice: Pcg64Mcg) {
        while !self.stop.load(SeqCst) {
            let newest = self.newest();
            if dice.random_bool(INVALID) && newest > 0 {
                if let Some(flaw) = FLAWS.choose(&mut dice) {
                    self.try_flawed(*flaw, newest).await;
                }
            } else {
                self.change(newest + dice.random_range(2..5)).await;
                self.read(false).await;
            }
            if dice.random_bool(0.5) {
                let answers = self.ledger.answers() + dice.random_range(1..BETWEEN);
                let _ = tokio::time::timeout(WAITS, self.ledger.until(answers)).await;
                // a system at rest holds nobody up
            }
        }
    }

    /// Sends the same to one machine after the other until what became of it is clear.
    async fn insist(&self, on: u64, text: &str) -> Option<(u16, String)> {
        let extra = format!("If-Match: {on}\r\nContent-Type: application/json\r\n");
        let end = Instant::now() + PATIENCE;
        let cores = self.site.hosts(Role::Core);
        for turn in on as usize.. {
            let to = self.site.at(cores[turn % cores.len()], CONTROL);
            let answer = call(to, "PUT", "/milletwing/configuration", &extra, text).await;
            if let Some(answer) = answer.filter(|(status, _)| *status < 500 && *status != 408) {
                return Some(answer);
            }
            if Instant::now() > end {
                break;
            }
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        None
    }

    /// A proper change on top of the newest. Gives whether it was acknowledged.
    async fn change(&self, revision: u64) -> bool {
        let newest = self.newest();
        let answer = self.insist(newest, &configuration(revision).to_string()).await;
        match answer {
            Some((200, _)) => {
                *self.newest.lock().unwrap_or_else(PoisonError::into_inner) = revision;
                self.ledger.acknowledged();
                true
            }
            other => {
                self.ledger.broken("CONFIG", format!("{revision} on {newest} is proper, and: {other:?}"));
                false
            }
        }
    }

    async fn try_flawed(&self, flaw: Flaw, newest: u64) {
        let (text, on) = flawed(flaw, newest);
        match self.insist(on, &text).await {
            Some((400..=499, _)) if matches!(flaw, Flaw::OldRevision) => {}
            Some((400..=499, _)) => self.ledger.refused(newest + 1),
            other => self.ledger.broken("CONFIG", format!("{flaw:?} on {newest}: {other:?}")),
        }
    }

    /// Reads the configuration from any machine; once `all` is calm, it has to come.
    async fn read(&self, all: bool) {
        let newest = self.newest();
        let sent = configuration(newest).to_string();
        let end = Instant::now() + PATIENCE;
        for core in self.site.hosts(Role::Core).into_iter().cycle() {
            let answer = call(self.site.at(core, CONTROL), "GET", "/milletwing/configuration", "", "").await;
            match answer {
                Some((200, text)) if text == sent => return,
                Some((status, text)) if status < 500 => {
                    let text: String = text.chars().take(80).collect();
                    return self.ledger.broken(
                        "CONFIG",
                        format!("{newest} was acknowledged; host {core}: {status} {text}"),
                    );
                }
                _ if !all && core == self.site.hosts(Role::Core).len() as u32 => return,
                _ if Instant::now() > end => {
                    return self.ledger.broken("CONFIG", format!("{newest} can't be read"))
                }
                _ => tokio::time::sleep(Duration::from_millis(20)).await,
            }
        }
    }
}
