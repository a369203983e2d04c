//! Pick, try again, or refuse.
//!
//! A marshal's cost is in parts of a request's worth: how late its answer is likely to be against the route's aim, how
//! often it fails, and what its bytes cost on the way. Two of each reach are drawn by chance and the cheapest is taken, so
//! that the work for a request does not grow with the fleet.

use crate::budget::Budget;
use crate::intent;
use crate::marshal::{Load, Marshal, Reach, Result as Ended};
use crate::table::{Route, Table};
use crate::trial::{Out, Trial};
use crate::Time;
use ahash::RandomState;
use hashbrown::HashMap;
use milletwing_config::settings::Guarantees;
use milletwing_config::{Configuration, Kind};
use milletwing_drift_detection::{Sample, Sink};
use milletwing_outlier_detection::Observed;
use milletwing_replicated_state::{State, View};
use milletwing_sequential_test::{Report, LAST};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddrV4;
use std::rc::Rc;
use std::sync::Arc;

/// Where this edge is.
#[derive(Clone, Debug)]
pub struct Place {
    /// Its address as a number.
    pub id: u32,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// The region of each zone.
    pub zones: BTreeMap<String, String>,
}

/// A request under way.
#[derive(Debug)]
pub struct Ticket {
    /// Its route.
    pub route: Rc<Route>,
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
    pub ran: bool,
    /// What the coin said, where a version is on trial.
    new: bool,
}

/// One sending.
#[derive(Clone, Debug, PartialEq)]
pub struct Sending {
    /// To be given back.
    pub marshal: u64,
    /// The marshal's life.
    pub id: Rc<str>,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// When it was picked.
    pub at: Time,
    /// Connections that this edge may hold to it.
    pub connections: usize,
    /// Its number, and its service.
    number: u64,
    service: Rc<str>,
}

impl Sending {
    fn to(key: u64, marshal: &Marshal, now: Time, connections: usize, number: u64) -> Sending {
        Sending {
            marshal: key,
            id: Rc::clone(&marshal.id),
            address: marshal.address,
            at: now,
            connections,
            number,
            service: Rc::clone(&marshal.service),
        }
    }
}

/// A question for a marshal's health.
#[derive(Clone, Debug)]
pub struct Probe {
    /// Where it goes.
    pub sending: Sending,
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
/// Milliseconds without a word from the core after which nothing more is exposed.
const HEARD: Time = 2_000;
/// Milliseconds without a word from the core after which an edge counts with marshals that have turned cold: an election is over by
/// then, and a zone that is emptied is not back yet.
const OUT_OF_TOUCH: Time = 3_000;

/// What an edge decides by.
#[derive(Debug)]
pub struct Router {
    place: Place,
    bounds: Guarantees,
    table: Table,
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
    chance: Pcg64Mcg,
}

impl Router {
    /// Knows nothing yet.
    pub fn new(place: Place, bounds: Guarantees, seed: u64) -> Router {
        Router {
            place,
            bounds,
            table: Table::default(),
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
            chance: Pcg64Mcg::seed_from_u64(seed),
        }
    }

    /// Whether there is a configuration.
    pub fn ready(&self) -> bool {
        self.of.is_some()
    }

    /// The configuration in force here.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.of.as_ref()
    }

    /// Whether a marshal is still known.
    pub fn knows(&self, marshal: u64) -> bool {
        self.marshals.contains_key(&marshal)
    }

    /// How many edges take traffic.
    pub fn edges(&mut self, count: u32) {
        // Fewer are not believed at once: those that are not heard may still send.
        let count = f64::from(count.max(1));
        self.edges = if count >= self.edges { count } else { self.edges + 0.02 * (count - self.edges) };
    }

    /// Takes what the core has agreed.
    pub fn refresh(&mut self, now: Time, view: &View) {
        self.build(now, view, false);
    }

    /// Makes all tables anew from what the core has agreed, as if for the first time; what was counted and observed stays.
    pub fn renew(&mut self, now: Time, view: &View) {
        self.of = None;
        self.hosts.clear();
        self.services.values_mut().for_each(|service| service.trial = None);
        self.build(now, view, true);
    }

    /// What it routes by, from the tables in use.
    pub fn reflect(&self, sink: &mut impl Sink) {
        self.table.reflect(sink);
        // As picks find them: from the lists of each service.
        for (name, service) in &self.services {
            let listed = service.reach.iter().flatten().filter_map(|key| self.marshals.get(key));
            let mut known = false;
            for marshal in listed {
                known = true;
                let flags = (marshal.open, marshal.new, marshal.part.is_some());
                intent::host(sink, &marshal.id, name, marshal.address, flags);
                intent::deal(sink, &marshal.id, marshal.part.unwrap_or(0));
            }
            if let Some(trial) = service.trial.as_ref().filter(|_| known) {
                intent::trial(sink, name, trial.number, trial.stage);
            }
        }
    }

    /// A decision to be told to the core, now and then.
    pub fn sample(&mut self) -> Option<Sample> {
        self.sampled.take()
    }

    /// Notes a first sending of a request, where one is due: by own chance, whatever the load. The request by its attempt id,
    /// host and path.
    pub fn note(&mut self, now: Time, request: [&str; 3], ticket: &Ticket, sending: &Sending) {
        if now < self.next_sample {
            return;
        }
        self.next_sample = now + self.chance.random_range(500..1_500);
        let cut = |text: &str| text.chars().take(LONGEST).collect::<String>();
        let [attempt, host, path] = request.map(cut);
        let (route, service) = (cut(&ticket.route.name), sending.service.to_string());
        let revision = self.of.as_ref().map_or(0, |of| of.revision);
        self.sampled =
            Some(Sample { revision, attempt, host, path, route, service, marshal: sending.id.to_string() });
    }

    fn build(&mut self, now: Time, view: &View, renew: bool) {
        if let Some(configuration) = view.configuration() {
            if self.of.as_ref().is_none_or(|of| !Arc::ptr_eq(of, configuration)) {
                self.table = Table::new(configuration);
                self.of = Some(Arc::clone(configuration));
                self.weight.retain(|name, _| configuration.routing.contains_key(name));
            }
        }
        let gone: Vec<String> =
            self.keys.keys().filter(|id| !view.nodes.contains_key(id.as_str())).cloned().collect();
        for id in gone {
            if let Some(marshal) = self.keys.remove(&id).and_then(|key| self.marshals.remove(&key)) {
                self.hosts.remove(&marshal.observed.host);
            }
        }
        let window = (self.bounds.retryWindowS * 1000.0) as Time;
        for service in self.services.values_mut() {
            service.reach.iter_mut().for_each(Vec::clear);
            service.looks.clear();
        }
        for (id, node) in &view.nodes {
            let key = match self.keys.get(id) {
                Some(key) => *key,
                None => {
                    self.next += 1;
                    self.keys.insert(id.clone(), self.next);
                    self.next
                }
            };
            let region = self.place.zones.get(&node.zone).map_or(node.zone.as_str(), String::as_str);
            let reach = if node.zone == self.place.zone {
                Reach::Zone
            } else if region == self.place.region {
                Reach::Region
            } else {
                Reach::Far
            };
            let marshal = self.marshals.entry(key).or_insert_with(|| Marshal::new(node, region, reach, now));
            if renew {
                marshal.renew(Marshal::new(node, region, reach, now));
            }
            self.hosts.insert(marshal.observed.host, key);
            marshal.phase(&node.phase, self.place.id);
            (marshal.open, marshal.new) = view.standing(node);
            marshal.look = view.suspected.get(id).is_some_and(|looks| looks.contains(&self.place.id));
            let sessions =
                self.of.as_ref().and_then(|it| it.targets.get(&node.target)).map_or(64, |it| it.max_sessions);
            let service = self.services.entry(Rc::from(node.target.as_str())).or_insert_with(|| Service {
                reach: Default::default(),
                looks: Vec::new(),
                budget: Budget::new(window),
                usual: 50.0,
                others: 0.0,
                connections: sessions,
                trial: None,
            });
            service.connections = sessions;
            service.reach[reach as usize].push(key);
            if view.suspected.get(id).is_some_and(|looks| looks.contains(&self.place.id)) {
                service.looks.push(key);
            }
        }
        self.trials(now, view);
    }

    fn trials(&mut self, now: Time, view: &View) {
        for (name, service) in &mut self.services {
            let roll = view.rollouts.get(name.as_ref()).filter(|roll| roll.state == State::Active);
            let Some(roll) = roll else {
                service.trial = None;
                continue;
            };
            if service.trial.as_ref().is_none_or(|trial| trial.number != roll.number) {
                service.trial = Some(Trial::new(now, roll));
            }
            let Some(trial) = &mut service.trial else { continue };
            trial.moved(now, roll.stage);
            let (mut new, mut all) = (0.0, 0.0);
            for marshal in service.reach.iter().flatten().filter_map(|key| self.marshals.get(key)) {
                if marshal.open && marshal.part.is_none() {
                    all += marshal.capacity;
                    new += if marshal.new { marshal.capacity } else { 0.0 };
                }
                if marshal.new {
                    trial.started = trial.started.max(marshal.since);
                }
            }
            trial.even = new / f64::max(all, 1.0);
        }
    }

    /// What the core is told of the trials under way.
    pub fn reports(&mut self, now: Time) -> Vec<Report> {
        let trials = self.services.iter_mut().filter_map(|(name, it)| Some((name, it.trial.as_mut()?)));
        trials.map(|(name, trial)| trial.report(now, name)).collect()
    }

    /// What was met at marshals since the last call, of so many at most; the rest comes with the next.
    pub fn observed(&mut self, most: usize) -> Vec<Observed> {
        let mut out = Vec::new();
        while let Some(key) = self.met.pop_first() {
            out.extend(self.marshals.get_mut(&key).and_then(Marshal::tell));
            if out.len() >= most {
                break;
            }
        }
        out
    }

    /// What others were told of marshals' loads, so many milliseconds ago.
    pub fn loads(&mut self, now: Time, loads: &[(u32, u16)], ago: Time) {
        for (host, load) in loads {
            let Some(marshal) = self.hosts.get(host).and_then(|key| self.marshals.get_mut(key)) else {
                continue;
            };
            marshal.shared(now, *load, ago);
            let others = marshal.others();
            if let Some(service) = self.services.get_mut(marshal.service.as_ref()) {
                service.others += OTHERS * (others - service.others);
            }
        }
    }

    /// The core was heard.
    pub fn heard(&mut self, now: Time) {
        self.heard = now;
    }

    /// Milliseconds since the core was heard last; since the process began, where it never was.
    pub fn silence_of_core(&self, now: Time) -> Time {
        now.saturating_sub(self.heard)
    }

    /// Whether the core was not heard for so long that what it agreed meanwhile may already have had its effects.
    pub fn out_of_touch(&self, now: Time) -> bool {
        self.silence_of_core(now) > OUT_OF_TOUCH
    }

    /// Marshals whose health should be asked now, of so many at most: out of touch with the core, this edge learns in no other way
    /// that they have turned cold.
    pub fn probes(&mut self, now: Time, most: usize) -> Vec<Probe> {
        let Some(of) = self.of.as_ref().filter(|_| self.out_of_touch(now)) else { return Vec::new() };
        let mut out = Vec::new();
        for (key, marshal) in &mut self.marshals {
            let Some(service) = self.services.get(&marshal.service) else { continue };
            let unheard = unheard_bound(of, &marshal.service, &self.bounds, self.edges);
            if out.len() >= most || !marshal.wants_probe(now, unheard) {
                continue;
            }
            marshal.probing(now);
            let path = of.targets.get(marshal.service.as_ref()).map(|it| it.probe_path.clone());
            let connections = connections(service.connections, self.edges);
            let sending = Sending::to(*key, marshal, now, connections, 0);
            out.extend(path.map(|path| Probe { sending, path }));
        }
        out
    }

    /// What came of a probe: the marshal is warm, cold, or did not say.
    pub fn probed(&mut self, now: Time, probe: &Probe, warm: Option<bool>) {
        if let Some(marshal) = self.marshals.get_mut(&probe.sending.marshal) {
            marshal.probed(now, warm);
        }
    }

    /// A request came. `remaining`: milliseconds for which the client waits.
    pub fn arrive(
        &mut self,
        now: Time,
        host: &str,
        path: &str,
        remaining: Option<u64>,
    ) -> Result<Ticket, Kind> {
        if self.of.is_none() {
            return Err(Kind::NotReady);
        }
        // Guards against a refusal for good by what is known no longer.
        let none = if self.out_of_touch(now) { Kind::OutOfTouch } else { Kind::NoRoute };
        let route = self.table.find(host, path).ok_or(none)?;
        let route = Rc::clone(route);
        let service = Rc::clone(route.service(self.chance.random()).ok_or(Kind::NoMarshal)?);
        let mut new = false;
        if let Some(service) = self.services.get_mut(&service) {
            service.budget.request(now);
            if let Some(trial) = &mut service.trial {
                trial.request(now, route.class);
                let slack = self.bounds.exposureSlack * 0.5 / (self.edges + 2.0);
                let heard = now.saturating_sub(self.heard) < HEARD;
                let draw = self.chance.random();
                new = trial.heads(now, route.class, draw, self.bounds.exposureShare, slack, heard);
            }
        }
        let hold = remaining.unwrap_or(u64::MAX).min(route.guard);
        Ok(Ticket {
            deadline: now + hold,
            route,
            service,
            tried: Vec::new(),
            sent: 0,
            missed: 0,
            ran: false,
            new,
        })
    }

    /// Marshals that one request of this route may be sent to: as the route had it when the request came, or fewer where a
    /// newer configuration says so.
    fn max_tries(&self, route: &Route) -> u32 {
        let current = self.of.as_ref().and_then(|of| of.routing.get(&route.name));
        let current = current.map_or(route.tries, |newer| newer.max_tries.max(1));
        route.tries.min(current)
    }

    /// Picks a marshal for a first sending, or for a further one. Errors: the request's time or its tries are used up, no
    /// marshal may be sent to, or the budget of further tries is spent.
    pub fn pick(&mut self, now: Time, ticket: &mut Ticket) -> Result<Sending, Kind> {
        if now >= ticket.deadline {
            return Err(if ticket.ran { Kind::Silent } else { Kind::Expired });
        }
        // The one place that owns the limit: whoever asks for a further sending is refused here, whatever was decided earlier.
        if ticket.sent >= self.max_tries(&ticket.route) {
            return Err(if ticket.ran { Kind::Broken } else { Kind::TurnedAway });
        }
        let out_of_touch = self.out_of_touch(now);
        let Some(service) = self.services.get_mut(&ticket.service) else { return Err(Kind::NoMarshal) };
        let repeatable = ticket.route.class.repeatable();
        let kilobytes = self.weight.get(&ticket.route.name).copied().unwrap_or(4.0);
        let target = ticket.route.target as f64;
        // Under pressure room is left for what goes before; never less than what marshals work on at once and as much again.
        let deep = (DEEP - STEP * f64::from(ticket.route.rank)).max(2.0);
        let mut best: Option<(f64, u64)> = None;
        let mut full = false;
        let marshals = &mut self.marshals;
        let (usual, others) = (service.usual, service.others);
        // A further try of a request goes to the version that is known, as long as that has traffic.
        let last = service.trial.as_ref().is_some_and(|trial| trial.stage >= LAST);
        let wanted = last || (ticket.new && ticket.sent == 0);
        let tried = service.trial.is_some();
        let unheard = self
            .of
            .as_ref()
            .filter(|_| out_of_touch)
            .map(|of| unheard_bound(of, &ticket.service, &self.bounds, self.edges));
        let mut weigh = |key: u64, side: Option<bool>, best: &mut Option<(f64, u64)>, full: &mut bool| {
            let Some(marshal) = marshals.get_mut(&key) else { return };
            let home = ticket.route.regions.is_empty() || ticket.route.regions.contains(&marshal.region);
            if side.is_some_and(|side| side != marshal.new)
                || !home
                || ticket.tried.contains(&key)
                || !marshal.takes(now, repeatable, unheard)
            {
                return;
            }
            if marshal.jobs(now) >= deep * marshal.capacity {
                *full = true;
                return;
            }
            let reach = marshal.reach as usize;
            let away = if marshal.mean > 0.0 { 0.0 } else { AWAY[reach] };
            let late = (marshal.wait(now, usual, others) + away) / target;
            let cost = late.min(2.0) * late.min(2.0) + marshal.failing(now) + CROSSING[reach] * kilobytes;
            if best.is_none_or(|(least, _)| cost < least) {
                *best = Some((cost, key));
            }
        };
        let side = tried.then_some(wanted);
        if ticket.sent == 0 {
            // A look is a request that goes there first, so that it is known soon.
            service.looks.iter().for_each(|key| weigh(*key, side, &mut best, &mut full));
        }
        let looks = best.is_some();
        for reach in service.reach.iter().filter(|_| !looks) {
            if reach.len() <= 2 {
                reach.iter().for_each(|key| weigh(*key, side, &mut best, &mut full));
            } else {
                let first = self.chance.random_range(0..reach.len());
                let other = (first + self.chance.random_range(1..reach.len())) % reach.len();
                weigh(reach[first], side, &mut best, &mut full);
                weigh(reach[other], side, &mut best, &mut full);
            }
        }
        if best.is_none() {
            // None of those drawn may be sent to: look at all.
            service.reach.iter().flatten().for_each(|key| weigh(*key, side, &mut best, &mut full));
        }
        if best.is_none() && wanted {
            // The earlier version serves what the new one can't.
            service.reach.iter().flatten().for_each(|key| weigh(*key, None, &mut best, &mut full));
        }
        let Some((_, key)) = best else {
            let none = if full { Kind::Full } else { Kind::NoMarshal };
            return Err(if ticket.ran { Kind::Broken } else { none });
        };
        if ticket.sent > 0 {
            let ratio = self.bounds.retryBudgetRatio * BUDGET_PART;
            let slack = self.bounds.retrySlack * BUDGET_PART / (self.edges + 2.0);
            if !service.budget.take(now, ratio, slack) {
                return Err(if ticket.ran { Kind::Broken } else { Kind::TurnedAway });
            }
        }
        let connections = connections(service.connections, self.edges);
        let Some(marshal) = self.marshals.get_mut(&key) else { return Err(Kind::NoMarshal) };
        marshal.send(now);
        self.sendings += 1;
        let number = self.sendings;
        if let Some(trial) = &mut service.trial {
            let class = ticket.route.class;
            let covariate = trial.covariate(now, class);
            let scored = Trial::gives(marshal.new, now.saturating_sub(marshal.since));
            let until = now + ticket.route.target;
            trial.sent(number, Out { class, new: marshal.new, covariate, scored, until, late: false });
        }
        ticket.tried.push(key);
        ticket.sent += 1;
        Ok(Sending::to(key, marshal, now, connections, number))
    }

    /// What came of a sending. Gives the milliseconds for which the marshal is avoided from now on, if it is.
    pub fn ended(
        &mut self,
        now: Time,
        ticket: &mut Ticket,
        sending: &Sending,
        result: Ended,
        load: Option<Load>,
    ) -> Option<Time> {
        match result {
            Ended::Unreached | Ended::Unsent => {
                // Nothing arrived there: it is no try, though the same one isn't asked again.
                ticket.missed += 1;
                ticket.sent = ticket.sent.saturating_sub(1);
                if result == Ended::Unsent {
                    ticket.tried.retain(|key| *key != sending.marshal);
                }
            }
            Ended::Broken | Ended::Silent | Ended::Failed | Ended::Dropped => ticket.ran = true,
            Ended::Served | Ended::TurnedAway | Ended::Moved => {}
        }
        let took = now.saturating_sub(sending.at);
        if result == Ended::Served {
            if let Some(service) = self.services.get_mut(&ticket.service) {
                service.usual += 0.02 * (took as f64 - service.usual);
            }
        }
        let marshal = self.marshals.get_mut(&sending.marshal)?;
        self.met.insert(sending.marshal);
        // Errors and time-outs score 1, a time-out being an answer beyond the aim; what never ran is no outcome.
        let bad = match result {
            Ended::Served => Some(took > ticket.route.target),
            Ended::Failed | Ended::Broken | Ended::Silent => Some(true),
            _ => None,
        };
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            if marshal.dead(result, sending.at, took) {
                trial.void(sending.number);
            } else {
                trial.ended(now, sending.number, bad);
            }
        }
        let avoided = marshal.end(now, result, took, load);
        if let (Some(_), Some(service)) = (load, self.services.get_mut(&sending.service)) {
            service.others += OTHERS * (marshal.others() - service.others);
        }
        avoided
    }

    /// A sending waits longer than this edge waits for one.
    pub fn impatient(&mut self, now: Time, sending: &Sending) {
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            trial.timed_out(now, sending.number);
        }
    }

    /// A client left while a sending was out.
    pub fn dropped(&mut self, now: Time, sending: &Sending) {
        let took = now.saturating_sub(sending.at);
        let dead =
            self.marshals.get(&sending.marshal).is_some_and(|it| it.dead(Ended::Dropped, sending.at, took));
        if let Some(trial) = self.services.get_mut(&sending.service).and_then(|it| it.trial.as_mut()) {
            if dead {
                trial.void(sending.number);
            } else {
                trial.ended(now, sending.number, None);
            }
        }
        if let Some(marshal) = self.marshals.get_mut(&sending.marshal) {
            marshal.end(now, Ended::Dropped, 0, None);
        }
    }

    /// Whether a request may be sent once more after this end of a sending.
    pub fn again(&self, now: Time, ticket: &Ticket, result: Ended) -> bool {
        let certain = matches!(result, Ended::TurnedAway | Ended::Moved | Ended::Unreached | Ended::Unsent);
        // Guards against running twice: what is not repeatable goes on only where it certainly has not run.
        let may =
            if ticket.route.class.repeatable() { result != Ended::Served } else { certain && !ticket.ran };
        let tries = ticket.sent < self.max_tries(&ticket.route);
        may && tries && ticket.missed <= MISSES && now < ticket.deadline
    }

    /// Milliseconds after which a repeatable request without an answer is sent to a second marshal as well.
    pub fn patience(&self, ticket: &Ticket, sending: &Sending) -> Option<Time> {
        if !ticket.route.class.repeatable() || ticket.sent >= self.max_tries(&ticket.route) {
            return None;
        }
        let mean = self.marshals.get(&sending.marshal).map_or(0.0, |marshal| marshal.mean);
        let usual = self.services.get(&ticket.service).map_or(50.0, |service| service.usual);
        Some((ticket.route.target as f64 * 0.6).max(4.0 * mean.max(usual)) as Time)
    }

    /// Milliseconds that a sending may well take: the expected wait many times over, and twice the route's aim at least.
    pub fn may_take(&self, now: Time, ticket: &Ticket, sending: &Sending) -> Time {
        let service = self.services.get(&ticket.service);
        let (usual, others) = service.map_or((50.0, 0.0), |service| (service.usual, service.others));
        let marshal = self.marshals.get(&sending.marshal);
        let wait = marshal.map_or(usual, |marshal| marshal.wait(now, usual, others));
        (2 * ticket.route.target).max((LONG * wait) as Time)
    }

    /// An answer of a route had so many bytes.
    pub fn weighed(&mut self, route: &Route, bytes: u64) {
        let kilobytes = bytes as f64 / 1024.0;
        match self.weight.get_mut(&route.name) {
            Some(mean) => *mean += 0.05 * (kilobytes - *mean),
            None => {
                self.weight.insert(route.name.clone(), kilobytes);
            }
        }
    }

    /// Seconds after which a refused client should come back: spread, so that not all return at once.
    pub fn back(&mut self, route: Option<&Route>) -> f64 {
        match route {
            Some(route) => route.target as f64 / 1000.0 * self.chance.random_range(0.15..0.6),
            // No configuration yet: the core is on its way back, which takes about a second.
            None => self.chance.random_range(0.5..1.5),
        }
    }
}
