//! The operator of a day, and what is done to its processes.

use super::marshals::{Fleet, Quality, FIRST_VERSION};
use super::observations::{Recorder, RolloutEnd};
use super::plan::{Event, EventKind, Plan, RouteShare};
use crate::soak::{call, call_patiently, Site, CONTROL};
use rustix::process::Signal;
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::task::JoinSet;

/// How long an order is sent again.
const ORDER_LIMIT: Duration = Duration::from_secs(6);
const PAUSE_BETWEEN_CALLS: Duration = Duration::from_millis(100);
/// Between two reads of a roll-out's state.
const READ_INTERVAL: Duration = Duration::from_millis(150);
/// Time from the marshals' start until their roll-out is ordered.
const START_TIME: Duration = Duration::from_millis(300);
/// Time after a revert until the new marshals drain.
const DRAIN_DELAY: Duration = Duration::from_secs(3);
/// Time after which a killed process is started again.
const RESTART_DELAY: Duration = Duration::from_millis(400);
/// How long after its term the end of a roll-out is still read.
const READ_AFTER_TERM: Duration = Duration::from_secs(10);

/// The operator.
pub struct Operator {
    site: Arc<Site>,
    recorder: Arc<Recorder>,
    plan: Plan,
    /// Distribution of each class's route, and the revision in force.
    routes: Mutex<BTreeMap<String, Vec<RouteShare>>>,
    revision: tokio::sync::Mutex<u64>,
    /// Version of each service that has its traffic, and the number of versions so far.
    versions: Mutex<BTreeMap<String, (String, u32)>>,
}

impl Operator {
    /// An operator of the plan's deployment.
    pub fn new(site: Arc<Site>, recorder: Arc<Recorder>, plan: Plan) -> Operator {
        let routes = plan.classes.iter().map(|class| {
            (class.name.clone(), vec![RouteShare { service: class.service.clone(), share: 1.0 }])
        });
        let versions = plan.services.iter().map(|service| (service.name.clone(), (FIRST_VERSION.into(), 1)));
        let (routes, versions) = (Mutex::new(routes.collect()), Mutex::new(versions.collect()));
        Operator { site, recorder, plan, routes, revision: tokio::sync::Mutex::new(0), versions }
    }

    /// Brings in the first configuration. Errors: it is not taken.
    pub async fn configure_first(&self) -> Result<(), String> {
        let taken = self.configure().await;
        taken.then_some(()).ok_or_else(|| "the first configuration was not taken".into())
    }

    fn configuration(&self, revision: u64) -> Value {
        let routes = self.routes.lock().unwrap_or_else(PoisonError::into_inner);
        let routing: BTreeMap<&str, Value> = self
            .plan
            .classes
            .iter()
            .map(|class| {
                let shares = routes.get(&class.name).into_iter().flatten();
                let shares: Vec<Value> =
                    shares.map(|to| json!({"target": to.service, "share": to.share})).collect();
                let route = json!({"domain": "h.example", "pathPrefix": format!("/{}/", class.name),
                    "trafficClass": class.kind, "guardS": 5, "targetS": 0.5, "priority": 1, "maxTries": 2,
                    "servingRegions": [], "distribution": shares});
                (class.name.as_str(), route)
            })
            .collect();
        let targets: BTreeMap<&str, Value> = self
            .plan
            .services
            .iter()
            .map(|service| {
                (
                    service.name.as_str(),
                    json!({"probePath": "/health", "maxSessions": 200, "warmupS": 1, "warmupPerS": 26}),
                )
            })
            .collect();
        json!({"revision": revision, "routing": routing, "targets": targets,
            "thresholds": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000, "headerGuardS": 3, "idleGuardS": 15}})
    }

    /// Sends the configuration as it is to be now. Returns whether it was acknowledged.
    async fn configure(&self) -> bool {
        let mut revision = self.revision.lock().await;
        let body = self.configuration(*revision + 1).to_string();
        let extra = format!("If-Match: {revision}\r\nContent-Type: application/json\r\n");
        let end = Instant::now() + ORDER_LIMIT;
        for host in self.site.core_hosts().iter().cycle() {
            let to = self.site.at(*host, CONTROL);
            if let Some((200, _)) = call(to, "PUT", "/milletwing/configuration", &extra, &body).await {
                *revision += 1;
                return true;
            }
            if Instant::now() > end {
                break;
            }
            tokio::time::sleep(PAUSE_BETWEEN_CALLS).await;
        }
        false
    }

    async fn order(&self, method: &str, path: &str, body: &str) -> bool {
        let end = Instant::now() + ORDER_LIMIT;
        for host in self.site.core_hosts().iter().cycle() {
            let to = self.site.at(*host, CONTROL);
            if let Some((200, _)) = call_patiently(to, method, path, body).await {
                return true;
            }
            if Instant::now() > end {
                break;
            }
            tokio::time::sleep(PAUSE_BETWEEN_CALLS).await;
        }
        self.recorder.unacknowledged(format!("{method} {path}"));
        false
    }

    async fn change_route(&self, event: &Event) {
        self.routes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .insert(event.class.clone(), event.to.clone());
        if !self.configure().await {
            self.recorder.unacknowledged(format!("the route of {}", event.class));
        }
    }

    async fn evacuate(&self, event: &Event) {
        let path = format!("/milletwing/evacuation/{}", event.zone);
        if !self.order("POST", &path, "").await {
            return;
        }
        let number = self.recorder.evacuated(&event.zone);
        tokio::time::sleep(Duration::from_secs_f64(event.for_s)).await;
        self.recorder.evacuation_withdrawn(number);
        self.order("DELETE", &path, "").await;
    }

    async fn roll_out(&self, fleet: &Fleet, event: &Event) {
        let service = event.service.as_str();
        let (old, new) = {
            let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
            let Some((serving, count)) = versions.get_mut(service) else { return };
            *count += 1;
            (serving.clone(), format!("v{count}"))
        };
        let quality = Quality::of(event, self.recorder.now() + START_TIME);
        let bad = quality.is_some();
        if let Err(problem) = fleet.start_version(service, &new, quality).await {
            return self.recorder.unacknowledged(problem);
        }
        tokio::time::sleep(START_TIME).await;
        let period = Duration::from_secs_f64(event.for_s);
        let number = self.recorder.rollout_ordered(service, &new, bad, period);
        let body = json!({"target": service, "targetRevision": new, "periodS": event.for_s}).to_string();
        let deadline = Instant::now() + period + READ_AFTER_TERM;
        if !self.order("POST", "/milletwing/rollouts", &body).await {
            return;
        }
        let end = self.read_end(service, &new, deadline).await;
        if end != RolloutEnd::Active {
            self.recorder.rollout_ended(number, end);
        }
        match end {
            RolloutEnd::Completed => {
                fleet.stop_version(service, &old);
                let mut versions = self.versions.lock().unwrap_or_else(PoisonError::into_inner);
                if let Some((serving, _)) = versions.get_mut(service) {
                    *serving = new;
                }
            }
            RolloutEnd::Reverted => {
                tokio::time::sleep(DRAIN_DELAY).await;
                fleet.drain_version(service, &new).await;
            }
            RolloutEnd::Active => {}
        }
    }

    /// Reads the state of a roll-out from one core machine after the other until it has ended.
    async fn read_end(&self, service: &str, version: &str, deadline: Instant) -> RolloutEnd {
        let path = format!("/milletwing/rollouts/{service}");
        for host in self.site.core_hosts().iter().cycle() {
            if Instant::now() > deadline {
                break;
            }
            let answer = call(self.site.at(*host, CONTROL), "GET", &path, "", "").await;
            let state: Value = answer
                .filter(|(status, _)| *status == 200)
                .and_then(|(_, text)| serde_json::from_str(&text).ok())
                .unwrap_or_default();
            match state["state"].as_str().filter(|_| state["targetRevision"] == version) {
                Some("completed") => return RolloutEnd::Completed,
                Some("reverted") => return RolloutEnd::Reverted,
                _ => tokio::time::sleep(READ_INTERVAL).await,
            }
        }
        RolloutEnd::Active
    }

    /// The core machine that leads, if one says so.
    async fn leader(&self) -> Option<u32> {
        for host in self.site.core_hosts() {
            let answer = call(self.site.at(host, CONTROL), "GET", "/milletwing/trials", "", "").await;
            let state: Value =
                answer.and_then(|(_, text)| serde_json::from_str(&text).ok()).unwrap_or_default();
            if state["leads"] == true {
                return Some(host);
            }
        }
        None
    }

    /// The process that an event is about.
    async fn machine(&self, event: &Event) -> (u32, bool) {
        match event.on.as_str() {
            "edge" => (self.site.edge_hosts()[0], false),
            "leader" => (self.leader().await.unwrap_or(1), true),
            _ => (1, true),
        }
    }
}

/// Plays all events, and waits until the plan's time is over.
pub async fn play(
    site: &Arc<Site>,
    recorder: &Arc<Recorder>,
    fleet: &Arc<Fleet>,
    operator: &Arc<Operator>,
    plan: &Plan,
) {
    let supervised = Arc::clone(site);
    let supervising = tokio::spawn(async move {
        loop {
            tokio::time::sleep(RESTART_DELAY).await;
            supervised.tend();
        }
    });
    let began = tokio::time::Instant::now();
    let mut running = JoinSet::new();
    for event in plan.plan.clone() {
        let due = began + Duration::from_secs_f64(event.at);
        let (site, recorder) = (Arc::clone(site), Arc::clone(recorder));
        let (fleet, operator) = (Arc::clone(fleet), Arc::clone(operator));
        running.spawn(async move {
            tokio::time::sleep_until(due).await;
            happen(&site, &recorder, &fleet, &operator, &event).await;
        });
    }
    tokio::time::sleep_until(began + Duration::from_secs_f64(plan.length_s)).await;
    running.shutdown().await;
    supervising.abort();
}

async fn happen(site: &Site, recorder: &Recorder, fleet: &Fleet, operator: &Operator, event: &Event) {
    match event.kind {
        EventKind::RolloutGood | EventKind::RolloutBad => operator.roll_out(fleet, event).await,
        EventKind::ConfigChange => operator.change_route(event).await,
        EventKind::Evacuate => operator.evacuate(event).await,
        EventKind::NodeKill => {
            let (host, core) = operator.machine(event).await;
            site.signal(host, Signal::KILL);
            recorder.disturbed(host, core);
            tokio::time::sleep(2 * RESTART_DELAY).await;
            recorder.disturbed(host, core); // it has been started again
        }
        EventKind::NodeFreeze => {
            let (host, core) = operator.machine(event).await;
            site.signal(host, Signal::STOP);
            let end = recorder.now() + Duration::from_secs_f64(event.for_s);
            while recorder.now() < end {
                recorder.disturbed(host, core);
                tokio::time::sleep(RESTART_DELAY).await;
            }
            site.signal(host, Signal::CONT);
            recorder.disturbed(host, core);
        }
    }
}
