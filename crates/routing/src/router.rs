//! Selects a marshal for each attempt of a request, decides on retries, and refuses requests.
//!
//! The cost of a marshal is a fraction of a request's value. It combines the expected lateness
//! relative to the route's target latency, the failure rate, and the cost of transferring the
//! response. Two random marshals of each proximity are compared and the cheapest is chosen, so the
//! work per request does not grow with the fleet.

mod evidence;
mod outcome;
mod selection;
mod tables;

use crate::budget::Budget;
use crate::marshal::Marshal;
use crate::route_traffic::RouteTraffic;
use crate::table::{Route, RouteTable};
use crate::tenants::{Salt, Tenant};
use crate::trial::Trial;
use crate::Time;
use ahash::RandomState;
use hashbrown::HashMap;
use milletwing_config::settings::Guarantees;
use milletwing_config::Configuration;
use milletwing_drift_detection::Sample;
use milletwing_replicated_state::View;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

/// Location of this edge.
#[derive(Clone, Debug)]
pub struct Location {
    /// Id of the edge: its IPv4 address as a number.
    pub id: u32,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Region of each zone.
    pub zone_regions: BTreeMap<String, String>,
}

/// The parts of a request's head that routing depends on.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// Value of the `Host` header.
    pub host: &'a str,
    /// Request path.
    pub path: &'a str,
    /// Milliseconds that the client is still willing to wait, if it says so.
    pub remaining_ms: Option<u64>,
    /// API key, if present.
    pub api_key: Option<&'a str>,
}

/// State of a request while it is being served.
#[derive(Debug)]
pub struct RoutedRequest {
    /// Its route.
    pub route: Rc<Route>,
    /// Tenant of its API key, if the route needs a key.
    pub tenant: Option<Rc<Tenant>>,
    /// Service chosen for it.
    pub service: Rc<str>,
    /// Time after which no response is accepted.
    pub deadline: Time,
    /// Marshals that are not tried again.
    tried_marshals: Vec<u64>,
    /// Number of attempts that count against the limit.
    attempts: u32,
    /// Number of attempts that ended before a byte was sent.
    undelivered: u32,
    /// It may have run on some marshal.
    pub may_have_run: bool,
    /// It was assigned to the version on trial.
    for_trial_version: bool,
}

/// One attempt to serve a request on a marshal.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// Key of the marshal in the router's tables.
    pub marshal_key: u64,
    /// Id of the marshal instance.
    pub id: Rc<str>,
    /// Address of the marshal.
    pub address: SocketAddrV4,
    /// When the attempt was started.
    pub started_at: Time,
    /// Maximum number of connections that this edge may hold to the marshal.
    pub max_connections: usize,
    number: u64,
    service: Rc<str>,
}

impl Attempt {
    fn new(key: u64, marshal: &Marshal, now: Time, max_connections: usize, number: u64) -> Attempt {
        Attempt {
            marshal_key: key,
            id: Rc::clone(&marshal.id),
            address: marshal.address,
            started_at: now,
            max_connections,
            number,
            service: Rc::clone(&marshal.service),
        }
    }
}

/// A health probe to be sent.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Identifies the marshal to be probed.
    pub attempt: Attempt,
    /// Path to request.
    pub path: String,
}

/// Maximum number of connections that this edge may hold to a marshal that accepts `accepted` of
/// them. All edges together stay below that number; a tenth is left to edges that are not known
/// yet.
fn max_connections(accepted: u32, edges: f64) -> usize {
    (f64::from(accepted) * 0.9 / (edges + 1.0)).max(1.0) as usize
}

/// Requests per second that an edge without contact to the control plane may send to a marshal that
/// may be cold. It is this edge's part of what all edges together may send to a cold marshal, so
/// the limit holds however many edges have lost contact.
fn unconfirmed_limit(
    configuration: &Configuration,
    service: &str,
    guarantees: &Guarantees,
    edges: f64,
) -> u32 {
    let per_s = configuration.targets.get(service).map_or(0.0, |target| target.warmup_per_s);
    ((per_s * guarantees.warmupExcess + guarantees.warmupSlack) / edges.max(1.0)).max(1.0) as u32
}

impl RoutedRequest {
    /// Whether the request may be served in a region. If both route and tenant are limited to
    /// regions, both limits apply.
    fn allowed_in(&self, region: &str) -> bool {
        let permits =
            |regions: &[String]| regions.is_empty() || regions.iter().any(|allowed| allowed == region);
        permits(&self.route.serving_regions)
            && self.tenant.as_ref().is_none_or(|tenant| permits(&tenant.serving_regions))
    }

    /// Number of priorities that rank before this request's. The tenant's priority overrides the
    /// route's.
    fn priority_rank(&self) -> u32 {
        self.tenant.as_ref().and_then(|tenant| tenant.priority_rank).unwrap_or(self.route.priority_rank)
    }
}

/// Routing state of a service.
#[derive(Debug)]
struct Service {
    /// Keys of marshals by proximity.
    by_proximity: [Vec<u64>; 3],
    /// Ejected marshals that this edge retests.
    retested: Vec<u64>,
    budget: Budget,
    /// Mean latency of a response in milliseconds.
    mean_latency: f64,
    /// Mean load of marshals by other senders, as a fraction of capacity, over all reports.
    other_load: f64,
    /// Number of connections that each of its marshals accepts.
    max_sessions: u32,
    /// What led to it lately.
    route_traffic: RouteTraffic,
    trial: Option<Trial>,
}

/// Cost of the transfer per kilobyte, as a fraction of a request's value, by proximity. Links
/// between regions are expensive everywhere, links between zones only a little.
const TRANSFER_COST_PER_KB: [f64; 3] = [0.0, 0.002, 0.015];
/// Network latency in milliseconds by proximity, used until a latency has been observed.
const NETWORK_LATENCY: [f64; 3] = [0.0, 1.0, 40.0];
/// Load, as a multiple of capacity, at which a marshal gets no further requests.
const MAX_LOAD_FACTOR: f64 = 3.0;
/// Reduction of that load factor for each priority that ranks before the request's.
const LOAD_FACTOR_PER_RANK: f64 = 0.4;
/// Fraction of the retry ratio and slack that edges use. The rest covers the error of counting in
/// slots.
const RETRY_BUDGET_FRACTION: f64 = 0.75;
/// Maximum number of attempts that ended before a byte was sent, after which the request is given
/// up.
const MAX_UNDELIVERED: u32 = 3;

/// Weight of one load report in the mean over a service.
const LOAD_REPORT_WEIGHT: f64 = 0.02;
/// Maximum length in characters of a host, path or id in a sample.
const MAX_SAMPLE_CHARS: usize = 128;
/// Fraction of the target latency within which a canary is expected to answer.
const CANARY_LATENCY_SHARE: f64 = 0.5;
/// Milliseconds without contact to the control plane after which no more requests go to a version
/// on trial.
const EXPOSURE_CONTACT_LIMIT: Time = 2_000;
/// Milliseconds without contact to the control plane after which an edge assumes that marshals may
/// have turned cold. By then an election is over, and a zone that was evacuated is not back yet.
const CONTACT_LOST_AFTER: Time = 3_000;

/// Routing state of an edge.
#[derive(Debug)]
pub struct Router {
    location: Location,
    guarantees: Guarantees,
    table: RouteTable,
    configuration: Option<Arc<Configuration>>,
    marshals: HashMap<u64, Marshal, RandomState>,
    key_by_id: HashMap<String, u64, RandomState>,
    /// Marshal keys by the numeric host key that edges share.
    key_by_host: HashMap<u32, u64, RandomState>,
    /// Marshals with observations that have not been reported.
    unreported: BTreeSet<u64>,
    last_key: u64,
    services: HashMap<Rc<str>, Service, RandomState>,
    /// Mean size of a response in kilobytes, by route.
    response_kilobytes: HashMap<String, f64, RandomState>,
    edge_count: f64,
    /// Time of the last contact with the control plane.
    last_core_contact: Time,
    attempt_count: u64,
    /// A routing sample that has not been reported yet.
    pending_sample: Option<Sample>,
    /// When the next sample is due.
    next_sample: Time,
    /// Salt of the API key digests.
    salt: Salt,
    rng: Pcg64Mcg,
}

impl Router {
    /// Creates a router without any configuration.
    pub fn new(location: Location, guarantees: Guarantees, seed: u64) -> Router {
        Router {
            location,
            guarantees,
            table: RouteTable::default(),
            configuration: None,
            marshals: HashMap::default(),
            key_by_id: HashMap::default(),
            key_by_host: HashMap::default(),
            unreported: BTreeSet::new(),
            last_key: 0,
            services: HashMap::default(),
            response_kilobytes: HashMap::default(),
            edge_count: 8.0,
            last_core_contact: 0,
            attempt_count: 0,
            pending_sample: None,
            next_sample: 0,
            salt: Pcg64Mcg::seed_from_u64(!seed).random(),
            rng: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Whether a configuration has been received.
    pub fn has_configuration(&self) -> bool {
        self.configuration.is_some()
    }

    /// Whether requests need API keys.
    pub fn requires_keys(&self) -> bool {
        self.table.tenants.key_required()
    }

    /// The configuration in use.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.configuration.as_ref()
    }

    /// Whether a marshal is still known.
    pub fn contains_marshal(&self, marshal: u64) -> bool {
        self.marshals.contains_key(&marshal)
    }

    /// Sets the number of edges that serve traffic.
    pub fn set_edge_count(&mut self, count: u32) {
        // The number falls only gradually: edges that are no longer heard may still be sending.
        let count = f64::from(count.max(1));
        self.edge_count =
            if count >= self.edge_count { count } else { self.edge_count + 0.02 * (count - self.edge_count) };
    }

    /// Applies the agreed state.
    pub fn refresh(&mut self, now: Time, view: &View) {
        self.build_tables(now, view, false);
    }

    /// Rebuilds all tables from the agreed state; counts and observations are kept.
    pub fn rebuild(&mut self, now: Time, view: &View) {
        self.configuration = None;
        self.key_by_host.clear();
        self.services.values_mut().for_each(|service| service.trial = None);
        self.build_tables(now, view, true);
    }

    /// Records contact with the control plane.
    pub fn core_heard(&mut self, now: Time) {
        self.last_core_contact = now;
    }

    /// Milliseconds since the last contact with the control plane; since the start of the process
    /// if there was none.
    pub fn time_since_core_contact(&self, now: Time) -> Time {
        now.saturating_sub(self.last_core_contact)
    }

    /// Whether contact has been lost for so long that newer agreed changes may already have taken
    /// effect.
    pub fn core_contact_lost(&self, now: Time) -> bool {
        self.time_since_core_contact(now) > CONTACT_LOST_AFTER
    }

    /// Records the response size of a route in bytes.
    pub fn record_response_size(&mut self, route: &Route, bytes: u64) {
        let kilobytes = bytes as f64 / 1024.0;
        match self.response_kilobytes.get_mut(&route.name) {
            Some(mean) => *mean += 0.05 * (kilobytes - *mean),
            None => {
                self.response_kilobytes.insert(route.name.clone(), kilobytes);
            }
        }
    }

    /// Seconds after which a refused client should retry, randomized so that not all clients return
    /// at once.
    pub fn retry_after_seconds(&mut self, route: Option<&Route>) -> f64 {
        match route {
            Some(route) => route.target_latency as f64 / 1000.0 * self.rng.random_range(0.15..0.6),
            // No configuration yet: the control plane is still starting, which takes about a
            // second.
            None => self.rng.random_range(0.5..1.5),
        }
    }
}
