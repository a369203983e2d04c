//! What an edge knows of one marshal: its place, its load as told and as observed, how fast it is, how often it fails.

use crate::Time;
use milletwing_outlier_detection::{host_key, HostObservation};
use milletwing_replicated_state::{Node, Phase};
use std::collections::VecDeque;
use std::net::SocketAddrV4;
use std::rc::Rc;

/// A marshal's word on its load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Load {
    /// Requests running.
    pub running: u32,
    /// Requests waiting.
    pub waiting: u32,
}

impl Load {
    /// From `running,waiting,slots`.
    pub fn parse(text: &str) -> Option<Load> {
        let mut parts = text.split(',').map(|part| part.trim().parse().ok());
        Some(Load { running: parts.next()??, waiting: parts.next()?? })
    }
}

/// What came of one sending.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// A whole answer.
    Served,
    /// An answer of its own that tells of a failure: it ran.
    Failed,
    /// Certainly not run: it said so.
    Rejected,
    /// Certainly not run: another life has the address.
    WrongInstance,
    /// Nothing was sent: no connection came up.
    ConnectFailed,
    /// Nothing was sent: the connection had ended.
    NotSent,
    /// It may have run: the connection broke, or bytes came that are no answer.
    ConnectionBroken,
    /// It may have run: no answer in its time.
    TimedOut,
    /// The client left, or another marshal was faster.
    Cancelled,
}

/// How near a marshal is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Reach {
    /// The edge's zone.
    Zone,
    /// Its region.
    Region,
    /// Beyond.
    Far,
}

/// Milliseconds in which half of what was observed of failures fades.
const FADE: f64 = 4_000.0;
/// Milliseconds for which a told load is believed; it then fades.
const TOLD: f64 = 400.0;
/// What one that turns requests away is taken to hold, as a multiple of what it works on at once: the least at which any
/// request is refused, so that what goes first is still sent there where nothing better is left.
const FULL: f64 = 2.0;
/// Milliseconds without a sign that bytes arrive, after which a connection that breaks tells of a host that is not there.
const UNHEARD: Time = 500;
/// The first and the longest time for which one that can't be reached is avoided, in milliseconds.
const AVOID: (Time, Time) = (400, 3_200);

/// Milliseconds for which a health answer is believed, and between two questions: in the time between a marshal's turning cold and
/// the next answer, an edge sends no more than half a second's requests.
const BELIEVED: Time = 600;
const PROBE_EVERY: Time = 400;

/// What a marshal's health answers said.
#[derive(Clone, Copy, Debug, Default)]
struct Health {
    warm_until: Time,
    asked: Time,
}

impl Health {
    fn warm(&self, now: Time) -> bool {
        now < self.warm_until
    }

    fn due(&self, now: Time) -> bool {
        now >= self.asked + PROBE_EVERY
    }
}

/// One marshal.
#[derive(Debug)]
pub struct Marshal {
    /// Its life.
    pub id: Rc<str>,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its service.
    pub service: Rc<str>,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Requests at once.
    pub capacity: f64,
    /// How near it is.
    pub reach: Reach,
    /// May be sent to as far as its zone, version and phase go.
    pub open: bool,
    /// Taken out by agreement, and this edge looks at it: repeatable requests, one at a time.
    pub look: bool,
    /// Its version is on trial.
    pub new: bool,
    /// What this edge may send in any second while it is cold; none: no such bound.
    pub part: Option<u32>,
    /// When this edge sent to it, within the last second.
    sent: VecDeque<Time>,
    /// What its health answers said while the core was out of reach.
    health: Health,
    /// Out from this edge.
    pub out: u32,
    /// Told, here or to another edge: requests of others there, and when.
    told: (f64, Time),
    /// Its life as a number, by which edges tell each other of it; and what this one met there since it told last.
    pub observed: HostObservation,
    /// Mean milliseconds of an answer, 0: unknown.
    pub mean: f64,
    /// HostObservation share of failures, and when it was brought up to date.
    bad: (f64, Time),
    /// Avoided until then, how often in a row, and whether a first request is out after that.
    avoid: (Time, u32),
    trying: bool,
    /// When it gave an answer last, of whatever kind.
    answered: Time,
    /// No connection came up since then.
    unreached: bool,
    /// When it first took its part, for those that were never tried.
    pub since: Time,
}

impl Marshal {
    /// Takes what is agreed of it from one made anew, and keeps what this edge counted and observed: what it has sent to a cold
    /// one in the last second still counts.
    pub fn renew(&mut self, fresh: Marshal) {
        let sent = std::mem::take(&mut self.sent);
        let (out, told, mean, bad) = (self.out, self.told, self.mean, self.bad);
        let (avoid, trying, since, observed) = (self.avoid, self.trying, self.since, self.observed);
        let (answered, unreached, health) = (self.answered, self.unreached, self.health);
        *self = Marshal {
            sent,
            health,
            out,
            told,
            mean,
            bad,
            avoid,
            trying,
            answered,
            unreached,
            since,
            ..fresh
        };
        self.observed = HostObservation { host: self.observed.host, ..observed };
    }

    /// What was met there since the last call, if anything.
    pub fn tell(&mut self) -> Option<HostObservation> {
        let fresh = HostObservation { host: self.observed.host, ..HostObservation::default() };
        (self.observed != fresh).then(|| std::mem::replace(&mut self.observed, fresh))
    }

    /// Part of its capacity that others hold, as told last.
    pub fn others(&self) -> f64 {
        self.told.0 / self.capacity
    }

    /// Of a life.
    pub fn new(node: &Node, region: &str, reach: Reach, now: Time) -> Marshal {
        Marshal {
            id: Rc::from(node.id.as_str()),
            address: node.address,
            service: Rc::from(node.target.as_str()),
            zone: node.zone.clone(),
            region: region.into(),
            capacity: f64::from(node.capacity.max(1)),
            reach,
            open: false,
            look: false,
            new: false,
            part: None,
            sent: VecDeque::new(),
            health: Health::default(),
            out: 0,
            told: (0.0, 0),
            observed: HostObservation { host: host_key(&node.id), ..HostObservation::default() },
            mean: 0.0,
            bad: (0.0, now),
            avoid: (0, 0),
            trying: false,
            answered: 0,
            unreached: false,
            since: now,
        }
    }

    /// Its phase, as an edge of this number sees it.
    pub fn phase(&mut self, phase: &Phase, own: u32) {
        self.part = match phase {
            Phase::Cold(deal) => Some(deal.iter().find(|(id, _)| *id == own).map_or(0, |(_, part)| *part)),
            Phase::Warm | Phase::Draining => None,
        };
    }

    /// Whether the end of a sending that went out then says something of this marshal's version, or only that the host is not
    /// there.
    pub fn dead(&self, result: AttemptOutcome, since: Time, took: Time) -> bool {
        let lost = match result {
            AttemptOutcome::ConnectFailed => true,
            // Nothing that was sent arrived there for so long; a process that hangs still takes bytes.
            AttemptOutcome::ConnectionBroken => self.unreached || took >= UNHEARD,
            AttemptOutcome::TimedOut | AttemptOutcome::Cancelled => self.unreached,
            AttemptOutcome::Served
            | AttemptOutcome::Failed
            | AttemptOutcome::Rejected
            | AttemptOutcome::WrongInstance
            | AttemptOutcome::NotSent => false,
        };
        lost && self.answered < since
    }

    /// Whether it may be sent a request now. `first`: it may run twice, so that a marshal that failed may be tried by it. `unheard`:
    /// what an edge that has lost the core may send in any second to a marshal that may have turned cold.
    pub fn takes(&mut self, now: Time, first: bool, unheard: Option<u32>) -> bool {
        if !self.open {
            return self.look && first && !self.trying && self.out == 0 && now >= self.avoid.0;
        }
        if now < self.avoid.0 {
            return false;
        }
        // After it could not be reached, one request at a time finds out, and none that may not run twice.
        if self.avoid.1 > 0 && (self.trying || !first) {
            return false;
        }
        let bound = match (self.part, unheard) {
            (Some(part), unheard) => part.min(unheard.unwrap_or(part)),
            (None, Some(unheard)) if !self.health.warm(now) => unheard,
            (None, _) => return true,
        };
        self.sent_lately(now) < bound
    }

    /// Requests that this edge has sent to it within the last second.
    fn sent_lately(&mut self, now: Time) -> u32 {
        while self.sent.front().is_some_and(|at| at + 1_000 <= now) {
            self.sent.pop_front();
        }
        self.sent.len() as u32
    }

    /// Whether its health should be asked now: this edge sends it about as much as one that may be cold can be sent.
    pub fn wants_probe(&mut self, now: Time, unheard: u32) -> bool {
        self.open && self.part.is_none() && self.health.due(now) && self.sent_lately(now) + 1 >= unheard
    }

    /// Its health is asked.
    pub fn probing(&mut self, now: Time) {
        self.health.asked = now;
    }

    /// What its health answer says: warm, cold, or nothing that can be relied on.
    pub fn probed(&mut self, now: Time, warm: Option<bool>) {
        match warm {
            Some(true) => self.health.warm_until = now + BELIEVED,
            Some(false) => self.health.warm_until = 0,
            None => {}
        }
    }

    /// How much of what was told is believed still.
    fn believed(&self, now: Time) -> f64 {
        let age = now.saturating_sub(self.told.1) as f64;
        if age <= TOLD {
            1.0
        } else {
            (0.5f64).powf((age - TOLD) / TOLD)
        }
    }

    /// Requests there: own, and others' as told.
    pub fn jobs(&self, now: Time) -> f64 {
        f64::from(self.out) + self.told.0 * self.believed(now)
    }

    /// Another edge was told of so many requests there, so many milliseconds ago.
    pub fn shared(&mut self, now: Time, load: u16, ago: Time) {
        let at = now.saturating_sub(ago);
        if at > self.told.1 {
            self.told = ((f64::from(load) - f64::from(self.out)).max(0.0), at);
        }
    }

    /// Expected milliseconds until it answers, where `usual` is what a marshal of its service takes, and `others` the part of
    /// its capacity that others hold there: what is known of this one fades into that. Guards against taking a marshal
    /// that was not heard of for long for an empty one.
    pub fn wait(&self, now: Time, usual: f64, others: f64) -> f64 {
        let mean = if self.mean > 0.0 { self.mean } else { usual };
        let jobs = self.jobs(now) + others * self.capacity * (1.0 - self.believed(now));
        let queue = (jobs + 1.0 - self.capacity).max(0.0) / self.capacity;
        // Short of full, each job there makes a wait a little more likely; some also slow down.
        mean * (1.0 + queue + 0.25 * (jobs / self.capacity).min(1.0))
    }

    /// HostObservation share of failures.
    pub fn failing(&self, now: Time) -> f64 {
        self.bad.0 * (0.5f64).powf(now.saturating_sub(self.bad.1) as f64 / FADE)
    }

    /// It takes no more: said or shown. Other edges are told as well.
    fn full(&mut self, now: Time) {
        let others = self.told.0.max(FULL * self.capacity);
        self.told = (others, now);
        self.observed.load = Some((others + f64::from(self.out)) as u16);
    }

    fn feel(&mut self, now: Time, bad: f64) {
        let before = self.failing(now);
        self.bad = (before + 0.1 * (bad - before), now);
    }

    /// A request goes there.
    pub fn send(&mut self, now: Time) {
        self.out += 1;
        self.sent_lately(now);
        self.sent.push_back(now);
        self.trying = self.avoid.1 > 0 || self.look;
    }

    /// What came of it. Gives the milliseconds for which it is avoided, where that begins.
    pub fn end(&mut self, now: Time, result: AttemptOutcome, took: Time, load: Option<Load>) -> Option<Time> {
        self.out = self.out.saturating_sub(1);
        self.trying = false;
        if let Some(load) = load {
            let others = f64::from(load.running + load.waiting) - f64::from(self.out) - 1.0;
            self.told = (others.max(0.0), now);
            self.observed.load = u16::try_from((load.running + load.waiting).saturating_sub(1)).ok();
        }
        if matches!(result, AttemptOutcome::Served | AttemptOutcome::Failed | AttemptOutcome::Rejected) {
            (self.answered, self.unreached) = (now, false);
        }
        self.unreached |= result == AttemptOutcome::ConnectFailed;
        let observed = &mut self.observed;
        match result {
            AttemptOutcome::Served | AttemptOutcome::Rejected => {
                observed.answered = observed.answered.saturating_add(1)
            }
            AttemptOutcome::Failed | AttemptOutcome::ConnectionBroken => {
                observed.failed = observed.failed.saturating_add(1)
            }
            AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut => {
                observed.unreachable = observed.unreachable.saturating_add(1)
            }
            AttemptOutcome::WrongInstance | AttemptOutcome::NotSent | AttemptOutcome::Cancelled => {}
        }
        match result {
            AttemptOutcome::Served => {
                self.avoid = (0, 0);
                let took = (took as f64).max(0.5);
                self.mean = if self.mean > 0.0 { self.mean + 0.1 * (took - self.mean) } else { took };
                self.feel(now, 0.0);
            }
            AttemptOutcome::Failed => {
                self.avoid = (0, 0);
                self.feel(now, 1.0);
            }
            AttemptOutcome::Rejected => {
                // Full: others send there as well.
                self.avoid = (0, 0);
                self.full(now);
            }
            AttemptOutcome::ConnectionBroken => {
                // Marshals of some services reset when they are full: one that was known to be busy and breaks off at once.
                if self.jobs(now) >= self.capacity && (took as f64) < 0.5 * self.mean {
                    self.full(now);
                }
                self.feel(now, 1.0);
            }
            AttemptOutcome::WrongInstance | AttemptOutcome::ConnectFailed | AttemptOutcome::TimedOut => {
                self.feel(now, 1.0);
                let times = self.avoid.1.min(8);
                let span = if result == AttemptOutcome::WrongInstance {
                    AVOID.1
                } else {
                    (AVOID.0 << times).min(AVOID.1)
                };
                self.avoid = (now + span, times + 1);
                return Some(span);
            }
            AttemptOutcome::NotSent | AttemptOutcome::Cancelled => {}
        }
        None
    }
}
