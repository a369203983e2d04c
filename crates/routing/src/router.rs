//! Pick, try again, or refuse.
//!
//! A marshal's cost is in parts of a request's worth: how late its answer is likely to be against the route's aim, how
//! often it fails, and what its bytes cost on the way. Two of each reach are drawn by chance and the cheapest is taken, so
//! that the work for a request does not grow with the fleet.

mod evidence;
mod outcome;
mod pick;
mod tables;

use crate::budget::Budget;
use crate::marshal::Marshal;
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

/// Where this edge is.
#[derive(Clone, Debug)]
pub struct Location {
    /// Its address as a number.
    pub id: u32,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The region of each zone.
    pub zone_regions: BTreeMap<String, String>,
}

/// What a request's head says that matters for where it goes.
#[derive(Clone, Copy, Debug)]
pub struct RequestHead<'a> {
    /// The `Host`.
    pub host: &'a str,
    /// The path.
    pub path: &'a str,
    /// Milliseconds for which the client waits, where it says so.
    pub remaining_ms: Option<u64>,
    /// The key, where there is one.
    pub api_key: Option<&'a str>,
}

/// A request under way.
#[derive(Debug)]
pub struct RoutedRequest {
    /// Its route.
    pub route: Rc<Route>,
    /// Whose key it bears, where it needs one.
    pub tenant: Option<Rc<Tenant>>,
    /// The service drawn for it.
    pub service: Rc<str>,
    /// No answer counts after this.
    pub deadline: Time,
    /// Marshals that it doesn't go to again.
    tried: Vec<u64>,
    /// Marshals that it was sent to.
    sent: u32,
    /// Marshals that it was offered to without a byte being sent.
    missed: u32,
    /// It may have run somewhere.
    pub may_have_run: bool,
    /// What the coin said, where a version is on trial.
    new: bool,
}

/// One sending.
#[derive(Clone, Debug, PartialEq)]
pub struct Attempt {
    /// To be given back.
    pub marshal_key: u64,
    /// The marshal's life.
    pub id: Rc<str>,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// When it was picked.
    pub started_at: Time,
    /// Connections that this edge may hold to it.
    pub max_connections: usize,
    /// Its number, and its service.
    number: u64,
    service: Rc<str>,
}

impl Attempt {
    fn to(key: u64, marshal: &Marshal, now: Time, connections: usize, number: u64) -> Attempt {
        Attempt {
            marshal_key: key,
            id: Rc::clone(&marshal.id),
            address: marshal.address,
            started_at: now,
            max_connections: connections,
            number,
            service: Rc::clone(&marshal.service),
        }
    }
}

/// A question for a marshal's health.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Where it goes.
    pub attempt: Attempt,
    /// The path to ask for.
    pub path: String,
}

/// Connections that this edge may hold to a marshal that accepts so many. All edges together stay under that; a tenth is for those
/// not heard of yet.
fn connections(accepted: u32, edges: f64) -> usize {
    (f64::from(accepted) * 0.9 / (edges + 1.0)).max(1.0) as usize
}

/// What an edge that is out of touch may send in any second to a marshal that may be cold: its part of what all edges together may
/// send to a cold one, so that it holds whoever else is out of touch.
fn unheard_bound(of: &Configuration, service: &str, bounds: &Guarantees, edges: f64) -> u32 {
    let per_s = of.targets.get(service).map_or(0.0, |it| it.warmup_per_s);
    ((per_s * bounds.warmupExcess + bounds.warmupSlack) / edges.max(1.0)).max(1.0) as u32
}

impl RoutedRequest {
    /// Whether it may be served in a region: where route and tenant both have homes, both bind.
    fn at_home(&self, region: &str) -> bool {
        let binds = |homes: &[String]| homes.is_empty() || homes.iter().any(|home| home == region);
        binds(&self.route.regions) && self.tenant.as_ref().is_none_or(|tenant| binds(&tenant.regions))
    }

    /// How many priorities go before its own: its tenant's counts before its route's.
    fn rank(&self) -> u32 {
        self.tenant.as_ref().and_then(|tenant| tenant.rank).unwrap_or(self.route.rank)
    }
}

#[derive(Debug)]
struct Service {
    /// Marshals by reach.
    reach: [Vec<u64>; 3],
    /// Those that are taken out, and that this edge looks at.
    looks: Vec<u64>,
    budget: Budget,
    /// Milliseconds of an answer, by route.
    usual: f64,
    /// Part of a marshal's capacity that others hold, as told of any.
    others: f64,
    connections: u32,
    trial: Option<Trial>,
}

/// What crossing costs for each kilobyte, in parts of a request's worth: between zones, between regions. Ours: links
/// between regions are dear everywhere, those between zones a little.
const CROSSING: [f64; 3] = [0.0, 0.002, 0.015];
/// Milliseconds that crossing takes, until it has been observed.
const AWAY: [f64; 3] = [0.0, 1.0, 40.0];
/// Requests at a marshal, as a multiple of what it works on at once, beyond which it is left alone.
const DEEP: f64 = 3.0;
/// So much less for each priority that goes before.
const STEP: f64 = 0.4;
/// Further tries: our part of the ratio and of the slack, the rest is for what counting by parts misses.
const BUDGET_PART: f64 = 0.75;
/// Connections to a marshal that can't be made, one after the other, before the request is given up.
const MISSES: u32 = 3;

/// Weight of one word on a marshal's load in the mean over its service (ours).
const OTHERS: f64 = 0.02;
/// Characters of a host, path or id in a sample.
const LONGEST: usize = 128;
/// An answer that takes so many times the expected wait is a rare one.
const LONG: f64 = 4.0;
/// Part of a request's aim in which a canary's answer should come.
const NEAR: f64 = 0.5;
/// Milliseconds without a word from the core after which nothing more is exposed.
const HEARD: Time = 2_000;
/// Milliseconds without a word from the core after which an edge counts with marshals that have turned cold: an election is over by
/// then, and a zone that is emptied is not back yet.
const OUT_OF_TOUCH: Time = 3_000;

/// What an edge decides by.
#[derive(Debug)]
pub struct Router {
    place: Location,
    bounds: Guarantees,
    table: RouteTable,
    of: Option<Arc<Configuration>>,
    marshals: HashMap<u64, Marshal, RandomState>,
    keys: HashMap<String, u64, RandomState>,
    /// Marshals by the number under which edges tell each other of them.
    hosts: HashMap<u32, u64, RandomState>,
    /// Marshals at which something was met since it was told last.
    met: BTreeSet<u64>,
    next: u64,
    services: HashMap<Rc<str>, Service, RandomState>,
    /// Kilobytes of an answer, by route.
    weight: HashMap<String, f64, RandomState>,
    edges: f64,
    /// When the core was heard last.
    heard: Time,
    sendings: u64,
    /// A decision that the core has not been told yet, and when the next is due.
    sampled: Option<Sample>,
    next_sample: Time,
    /// For digests of keys.
    salt: Salt,
    chance: Pcg64Mcg,
}

impl Router {
    /// Knows nothing yet.
    pub fn new(place: Location, bounds: Guarantees, seed: u64) -> Router {
        Router {
            place,
            bounds,
            table: RouteTable::default(),
            of: None,
            marshals: HashMap::default(),
            keys: HashMap::default(),
            hosts: HashMap::default(),
            met: BTreeSet::new(),
            next: 0,
            services: HashMap::default(),
            weight: HashMap::default(),
            edges: 8.0,
            heard: 0,
            sendings: 0,
            sampled: None,
            next_sample: 0,
            salt: Pcg64Mcg::seed_from_u64(!seed).random(),
            chance: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Whether there is a configuration.
    pub fn has_configuration(&self) -> bool {
        self.of.is_some()
    }

    /// Whether requests need keys of tenants.
    pub fn requires_keys(&self) -> bool {
        self.table.tenants.any()
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.of.as_ref()
    }

    /// Whether a marshal is still known.
    pub fn contains_marshal(&self, marshal: u64) -> bool {
        self.marshals.contains_key(&marshal)
    }

    /// How many edges take traffic.
    pub fn set_edge_count(&mut self, count: u32) {
        // Fewer are not believed at once: those that are not heard may still send.
        let count = f64::from(count.max(1));
        self.edges = if count >= self.edges { count } else { self.edges + 0.02 * (count - self.edges) };
    }

    /// Takes what the core has agreed.
    pub fn refresh(&mut self, now: Time, view: &View) {
        self.build(now, view, false);
    }

    /// Makes all tables anew from what the core has agreed, as if for the first time; what was counted and observed stays.
    pub fn rebuild(&mut self, now: Time, view: &View) {
        self.of = None;
        self.hosts.clear();
        self.services.values_mut().for_each(|service| service.trial = None);
        self.build(now, view, true);
    }

    /// The core was heard.
    pub fn core_heard(&mut self, now: Time) {
        self.heard = now;
    }

    /// Milliseconds since the core was heard last; since the process began, where it never was.
    pub fn time_since_core_contact(&self, now: Time) -> Time {
        now.saturating_sub(self.heard)
    }

    /// Whether the core was not heard for so long that what it agreed meanwhile may already have had its effects.
    pub fn core_contact_lost(&self, now: Time) -> bool {
        self.time_since_core_contact(now) > OUT_OF_TOUCH
    }

    /// An answer of a route had so many bytes.
    pub fn record_response_size(&mut self, route: &Route, bytes: u64) {
        let kilobytes = bytes as f64 / 1024.0;
        match self.weight.get_mut(&route.name) {
            Some(mean) => *mean += 0.05 * (kilobytes - *mean),
            None => {
                self.weight.insert(route.name.clone(), kilobytes);
            }
        }
    }

    /// Seconds after which a refused client should come back: spread, so that not all return at once.
    pub fn retry_after_seconds(&mut self, route: Option<&Route>) -> f64 {
        match route {
            Some(route) => route.target as f64 / 1000.0 * self.chance.random_range(0.15..0.6),
            // No configuration yet: the core is on its way back, which takes about a second.
            None => self.chance.random_range(0.5..1.5),
        }
    }
}
