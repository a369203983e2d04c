//! Marshals of a day: several services, each with its versions, of which some are bad.

use super::observations::Recorder;
use super::plan::{Event, EventKind, HowBad, Plan};
use crate::soak::Site;
use crate::stand_in::{deregister, listen, send_report, serve};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Request, Response};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;

/// Version of the marshals that run from the start.
pub const FIRST_VERSION: &str = "v1";
const REPORT_INTERVAL: Duration = Duration::from_millis(700);
/// Time from the acknowledged draining until a marshal deregisters and ends.
const DRAIN_TIME: Duration = Duration::from_secs(4);
/// Requests that a marshal works on at once.
const CAPACITY: usize = 4;
/// Requests in progress from which a version of the kind `under_load` fails.
const LOADED: usize = 2;
const WORK_MS: std::ops::Range<u64> = 20..60;
/// How many times longer a slow answer takes.
const SLOW_FACTOR: u64 = 20;
const MARSHAL_PORT: u16 = 9_000;

/// How the answers of a version are.
#[derive(Clone, Debug)]
pub struct Quality {
    how: HowBad,
    share: f64,
    class: String,
    bad_from: Duration,
}

impl Quality {
    /// The quality of the version that a roll-out, ordered now, brings; nothing if it is sound.
    pub fn of(event: &Event, now: Duration) -> Option<Quality> {
        let gap = if event.how == HowBad::Late { event.gap_s } else { 0.0 };
        (event.kind == EventKind::RolloutBad).then(|| Quality {
            how: event.how,
            share: event.share,
            class: event.class.clone(),
            bad_from: now + Duration::from_secs_f64(gap),
        })
    }

    fn is_bad(&self, now: Duration, class: &str, at_work: usize, draw: f64) -> bool {
        let applies = match self.how {
            HowBad::Errors | HowBad::Slow | HowBad::Late => now >= self.bad_from,
            HowBad::UnderLoad => at_work >= LOADED,
            HowBad::OneClass => class == self.class,
        };
        applies && draw < self.share
    }
}

/// A running marshal.
struct Instance {
    report: Arc<String>,
    id: String,
    serving: JoinHandle<()>,
    reporting: JoinHandle<()>,
}

/// All marshals.
pub struct Fleet {
    site: Arc<Site>,
    recorder: Arc<Recorder>,
    services: Vec<(String, u32)>,
    seed: u64,
    started: AtomicU64,
    /// Instances by service and version.
    instances: Mutex<BTreeMap<(String, String), Vec<Instance>>>,
}

struct Node {
    id: String,
    service: String,
    version: String,
    zone: String,
    quality: Option<Quality>,
    recorder: Arc<Recorder>,
    at_work: AtomicUsize,
    random: Mutex<Pcg64Mcg>,
}

impl Fleet {
    /// A fleet of which nothing runs yet.
    pub fn new(site: Arc<Site>, recorder: Arc<Recorder>, plan: &Plan, seed: u64) -> Fleet {
        let services = plan.services.iter().map(|service| (service.name.clone(), service.marshals)).collect();
        Fleet { site, recorder, services, seed, started: AtomicU64::default(), instances: Mutex::default() }
    }

    /// Starts the first version of each service. Errors: an address is taken.
    pub async fn start_all(&self) -> Result<(), String> {
        for (service, _) in self.services.clone() {
            self.start_version(&service, FIRST_VERSION, None).await?;
        }
        Ok(())
    }

    /// Starts the marshals of a version. Errors: an address is taken.
    pub async fn start_version(
        &self,
        service: &str,
        version: &str,
        quality: Option<Quality>,
    ) -> Result<(), String> {
        let count = self.services.iter().find(|(name, _)| name == service).map_or(0, |(_, count)| *count);
        let mut started = Vec::new();
        for _ in 0..count {
            started.push(self.start(service, version, quality.clone()).await?);
        }
        let mut instances = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        instances.entry((service.into(), version.into())).or_default().extend(started);
        Ok(())
    }

    async fn start(
        &self,
        service: &str,
        version: &str,
        quality: Option<Quality>,
    ) -> Result<Instance, String> {
        let number = self.started.fetch_add(1, SeqCst);
        let host = self.site.marshal(number as u32);
        let address = self.site.at(host, MARSHAL_PORT);
        let listener = listen(address.into()).await.map_err(|problem| format!("{address}: {problem}"))?;
        let (zone, _) = self.site.zone(host);
        let id = format!("i-{number}");
        let node = Node {
            id: id.clone(),
            service: service.into(),
            version: version.into(),
            zone: zone.into(),
            quality,
            recorder: Arc::clone(&self.recorder),
            at_work: AtomicUsize::new(0),
            random: Mutex::new(Pcg64Mcg::seed_from_u64(self.seed ^ (number << 20))),
        };
        let serving = tokio::spawn(serve(listener, Arc::new(node), Node::answer));
        let report = Arc::new(format!(
            r#"{{"target":"{service}","address":"{address}","zone":"{zone}","revision":"{version}","capacity":{CAPACITY},"warmupLeftS":0,"state":"#
        ));
        let (site, own_id, own_report) = (Arc::clone(&self.site), id.clone(), Arc::clone(&report));
        let reporting = tokio::spawn(async move {
            for counter in 1.. {
                send_report(&site, &own_id, &own_report, "available", counter).await;
                tokio::time::sleep(REPORT_INTERVAL).await;
            }
        });
        Ok(Instance { report, id, serving, reporting })
    }

    fn remove(&self, service: &str, version: &str) -> Vec<Instance> {
        let mut instances = self.instances.lock().unwrap_or_else(PoisonError::into_inner);
        instances.remove(&(service.to_owned(), version.to_owned())).unwrap_or_default()
    }

    /// Ends the marshals of a version at once.
    pub fn stop_version(&self, service: &str, version: &str) {
        for instance in self.remove(service, version) {
            instance.reporting.abort();
            instance.serving.abort();
        }
    }

    /// Has the marshals of a version drain and end.
    pub async fn drain_version(&self, service: &str, version: &str) {
        let instances = self.remove(service, version);
        for instance in &instances {
            instance.reporting.abort();
            send_report(&self.site, &instance.id, &instance.report, "draining", 1 << 40).await;
        }
        tokio::time::sleep(DRAIN_TIME).await;
        for instance in instances {
            deregister(&self.site, &instance.id).await;
            instance.serving.abort();
        }
    }
}

impl Node {
    async fn answer(self: Arc<Self>, request: Request<Incoming>) -> Response<Full<Bytes>> {
        let path = request.uri().path().to_owned();
        if path == "/health" {
            return response(200, &[("x-milletwing-node-id", &self.id)]);
        }
        let header = |name: &str| request.headers().get(name).and_then(|value| value.to_str().ok());
        if header("x-milletwing-target-node").is_some_and(|target| target != self.id) {
            return response(421, &[("x-milletwing-node-id", &self.id)]);
        }
        let id = header("x-milletwing-attempt-id").unwrap_or_default().to_owned();
        let arrived_at = self.recorder.now();
        let _ = request.into_body().collect().await; // requests of a day have no body that matters
        let at_work = self.at_work.fetch_add(1, SeqCst) + 1;
        let (bad, work) = self.draw(&path, at_work);
        tokio::time::sleep(work).await;
        self.at_work.fetch_sub(1, SeqCst);
        let node = (self.service.as_str(), self.version.as_str(), self.zone.as_str());
        self.recorder.answered(id.clone(), arrived_at, node, bad);
        let slow = self.quality.as_ref().is_some_and(|quality| quality.how == HowBad::Slow);
        let status = if bad && !slow { 500 } else { 200 };
        response(status, &[("x-milletwing-attempt-id", &id), ("x-milletwing-server-seal", &self.id)])
    }

    /// Draws whether an answer is bad, and how long the work on it takes.
    fn draw(&self, path: &str, at_work: usize) -> (bool, Duration) {
        let mut random = self.random.lock().unwrap_or_else(PoisonError::into_inner);
        let work_ms = random.random_range(WORK_MS);
        let draw: f64 = random.random();
        let Some(quality) = &self.quality else { return (false, Duration::from_millis(work_ms)) };
        let class = path.split('/').nth(1).unwrap_or_default();
        let bad = quality.is_bad(self.recorder.now(), class, at_work, draw);
        let factor = if bad && quality.how == HowBad::Slow { SLOW_FACTOR } else { 1 };
        (bad, Duration::from_millis(work_ms * factor))
    }
}

fn response(status: u16, fields: &[(&str, &str)]) -> Response<Full<Bytes>> {
    let mut builder = Response::builder().status(status);
    for (name, value) in fields {
        builder = builder.header(*name, *value);
    }
    builder.body(Full::new(Bytes::from_static(b"done"))).unwrap_or_default()
}
