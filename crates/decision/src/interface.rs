//! The decision module's interface: settings, events and actions, free of any protocol.
//!
//! Everything a marshal knows comes in as `Settings` and `Event`s; everything it does goes out as `Action`s.
//! Nothing here decides anything.

use milletwing_sequential_test::Sums;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, HashSet};
use std::ops::{Add, Div, Mul, Sub};
use std::sync::Arc;

/// A point in time or a span, in milliseconds of the host's clock.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd)]
pub struct Ms(pub f64);

impl Add for Ms {
    type Output = Ms;
    fn add(self, other: Ms) -> Ms {
        Ms(self.0 + other.0)
    }
}
impl Sub for Ms {
    type Output = Ms;
    fn sub(self, other: Ms) -> Ms {
        Ms(self.0 - other.0)
    }
}
impl Mul<f64> for Ms {
    type Output = Ms;
    fn mul(self, factor: f64) -> Ms {
        Ms(self.0 * factor)
    }
}
impl Div<Ms> for Ms {
    type Output = f64;
    fn div(self, other: Ms) -> f64 {
        self.0 / other.0
    }
}
impl Ms {
    /// The smaller of two.
    pub fn min(self, other: Ms) -> Ms {
        Ms(self.0.min(other.0))
    }
    /// The larger of two.
    pub fn max(self, other: Ms) -> Ms {
        Ms(self.0.max(other.0))
    }
}

/// A request, as the host names it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RequestId(pub Arc<str>);
/// A server, as the host names it; the id survives restarts.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct NodeId(pub Arc<str>);
/// What a request is about; requests with one key are related.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub Arc<str>);
/// A zone, by the host's numbering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);
/// A machine kind, by the host's numbering.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct KindId(pub u32);
/// A class of requests: its position in `Settings::classes`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct ClassId(pub usize);
/// A tenant: its position in `Settings::tenants`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct TenantId(pub usize);
/// A build; a later one is higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize, Hash)]
pub struct Build(pub u32);

/// How often a request of a class may take effect.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Safe to repeat.
    Idempotent,
    /// Carries a key; the nodes of a group drop repeats for a while.
    Deduplicated,
    /// Must never run twice.
    AtMostOnce,
}
/// The group of nodes that drops repeats of one another's requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Scope {
    /// Every node.
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes of one cell.
    Cell,
}
/// A class of requests.
#[derive(Clone, Debug)]
pub struct Class {
    /// An answer within this earns the full worth.
    pub aim: Ms,
    /// The aim grows by this multiple of the request's own work.
    pub aim_stretch: f64,
    /// The client's whole patience.
    pub give_up: Ms,
    /// Whether it may run again.
    pub effect: Effect,
    /// For deduplicated classes: who drops repeats.
    pub scope: Scope,
    /// For deduplicated classes: how long repeats are dropped, from the first send.
    pub memory: Ms,
    /// Share of the worth that a late answer earns.
    pub late_worth: f64,
    /// Worth of one request.
    pub worth: f64,
    /// The answer is streamed.
    pub streamed: bool,
}
/// A tenant.
#[derive(Clone, Debug)]
pub struct Tenant {
    /// Its share of the service.
    pub share: f64,
    /// Requests a second within its share, over all marshals.
    pub quota_per_s: f64,
}
/// How a build's stages move on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Control {
    /// By votes for it.
    #[default]
    Votes,
    /// By itself, unless held.
    Clocked,
}
/// The settings handed to a marshal at its start.
#[derive(Clone, Debug, Default)]
pub struct Settings {
    /// Number of marshals.
    pub marshals: u32,
    /// This marshal's number among them.
    pub me: u32,
    /// This marshal's zone.
    pub zone: Option<ZoneId>,
    /// Time between batches.
    pub tick: Ms,
    /// The classes.
    pub classes: Vec<Class>,
    /// The tenants; may be empty.
    pub tenants: Vec<Tenant>,
    /// Worth of a request beyond its tenant's share, as a part of the usual.
    pub over_share_worth: f64,
    /// Whether discovery must be asked.
    pub ask_discovery: bool,
    /// Who moves stages on.
    pub control: Control,
    /// Marshals that stop the clock.
    pub hold_votes: u32,
    /// Marshals that must stand for 'on'.
    pub on_votes: u32,
    /// Marshals that send a build back.
    pub back_votes: u32,
    /// How long a vote stands.
    pub vote_life: Ms,
    /// How long a vote may stay unanswered.
    pub answer_wait: Ms,
    /// Votes a second the platform takes from all marshals.
    pub calls_per_s: f64,
    /// Least time of a stage.
    pub soak: Ms,
    /// Time of a stage under `Clocked`.
    pub auto_after: Ms,
    /// Period of the platform's counts; 0 if there are none.
    pub tally_period: Ms,
    /// Period of the platform's news.
    pub news_period: Ms,
    /// Share of attempts in the platform's counts.
    pub counted_share: f64,
    /// Share of wrong answers that clients report.
    pub found_share: f64,
    /// Price of wrong answers and failed effects.
    pub harm_price: f64,
    /// Price of serving by an older build.
    pub lag_price: f64,
    /// Exposure: attempts free of the cap in a window.
    pub allowance: f64,
    /// Exposure: the window.
    pub exposure_window: Ms,
    /// Exposure: counted for each class by itself.
    pub exposure_per_class: bool,
    /// Exposure: cap of each stage.
    pub stage_cap: Vec<f64>,
    /// Share of fleet places with the new build, by stage.
    pub stage_share: Vec<f64>,
    /// Stages below this take only idempotent classes.
    pub safe_only_stages: u32,
    /// A key that a new build answered goes to no earlier build.
    pub keys_stay: bool,
    /// Earlier machines stay until the release.
    pub side_by_side: bool,
    /// A node works faster for keys it met lately.
    pub warm_keys: bool,
    /// Two attempts of a request may be out at once.
    pub second_copies: bool,
    /// Attempts may be cancelled.
    pub may_cancel: bool,
    /// Nodes may be probed.
    pub probes: bool,
    /// Marshals may message one another.
    pub peers: bool,
    /// Clients receive a time to come back.
    pub retry_after: bool,
    /// The longest such time a client honours.
    pub max_retry_after: Ms,
    /// Most attempts of a request.
    pub try_limit: u32,
    /// Price of crossing zones, for each first try.
    pub cross_zone_price: f64,
    /// Price of work that produced no answer.
    pub waste_price: f64,
    /// Price of failing after the aim.
    pub late_fail_price: f64,
    /// A node comes up at this part of its capacity or more.
    pub cold_from: f64,
    /// It is warm no later than this.
    pub cold: Ms,
    /// A cold node falls over above this multiple of its present capacity,
    pub fall_multiple: f64,
    /// sent for this long.
    pub fall_after: Ms,
    /// Time in which sends to a draining node must cease.
    pub drain_grace: Ms,
    /// Where discovery is asked: deemed told after this.
    pub ask_within: Ms,
    /// Several instances judge as one: evidence is pooled, and only what the group has decided is voted.
    pub shared: bool,
    /// Editions carry traffic only where a table permits it; without one, nowhere.
    pub gated: bool,
}

/// What discovery says of a node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum NodeState {
    /// Takes work.
    #[default]
    InService,
    /// Finishes its work; takes nothing new.
    Terminating,
    /// Gone.
    Terminated,
}
/// One line of discovery's list.
#[derive(Clone, Debug, Default)]
pub struct NodeEntry {
    /// The node.
    pub node: NodeId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its machine kind.
    pub kind: KindId,
    /// Its cell.
    pub cell: u32,
    /// Its state.
    pub state: NodeState,
    /// Its size, where the site tells one; 1 otherwise.
    pub weight: f64,
    /// The build it runs.
    pub build: Build,
    /// Its latest start; `None` if long past.
    pub started: Option<Ms>,
}
/// How discovery's message changes the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FleetForm {
    /// Only the changed entries.
    Update,
    /// The complete list; a node absent from it is gone.
    Replace,
    /// The list as last held before a restart, maybe outdated.
    Restored,
    /// A call failed or the subscription broke; the list stays.
    Unavailable,
}
/// How an attempt or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, PartialOrd, Ord, Hash)]
pub enum Verdict {
    /// Served.
    Ok,
    /// The node returned an error; may have run.
    Error,
    /// Rejected unseen; never ran.
    Full,
    /// No answer in time; may have run or run yet.
    Timeout,
    /// No connection; never ran.
    ConnectFailed,
    /// The connection broke; may have run.
    Reset,
    /// Cancelled; may have run.
    Cancelled,
    /// Never sent, or without meaning; never ran.
    Moot,
}
/// Where a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, PartialOrd, Ord, Hash)]
pub enum Phase {
    /// On trial.
    Trial,
    /// Going back.
    Reverting,
    /// Released.
    Released,
    /// Taken off.
    Withdrawn,
}
/// The platform's news of the newest build.
#[derive(Clone, Debug)]
pub struct StageNews {
    /// Whether this answers a vote.
    pub answers_vote: bool,
    /// `Ok`: the other fields are valid.
    pub verdict: Verdict,
    /// The newest build.
    pub build: Build,
    /// Its stage, from 0.
    pub stage: u32,
    /// Its phase.
    pub phase: Phase,
    /// The cap of exposure.
    pub cap: f64,
    /// Time since this state began.
    pub age: Ms,
}
/// A node's load report; absent values are not reported here.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Requests held.
    pub inflight: Option<f64>,
    /// Requests waiting.
    pub queue: Option<f64>,
    /// Share of its cores in use.
    pub busy: Option<f64>,
}

/// What one instance has seen of a stage of a build, or what all have: sums, so that they add up.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Evidence {
    /// The build.
    pub build: Build,
    /// The stage.
    pub stage: u32,
    /// Sums of the adjusted test, by class: the earlier build's and the one's on trial.
    pub sums: Vec<[Sums; 2]>,
    /// Plain failures, by class: of the build before the newest, and of the newest.
    pub after: Vec<[Sums; 2]>,
    /// Requests of each class.
    pub counts: Vec<f64>,
    /// Errors at machines of the build; those without any are left out.
    pub errors: BTreeMap<NodeId, f64>,
    /// Looks taken in this stage.
    pub looks: u32,
    /// Instances that see harm in step with the build.
    pub objecting: u32,
}

impl Evidence {
    /// Both together. Sums of a class that only one has are taken as they are.
    pub fn plus(&self, other: &Evidence) -> Evidence {
        let pairs = |a: &[[Sums; 2]], b: &[[Sums; 2]]| {
            let at = |list: &[[Sums; 2]], i: usize| list.get(i).copied().unwrap_or_default();
            let both = |i| [0, 1].map(|arm| at(a, i)[arm].plus(&at(b, i)[arm]));
            (0..a.len().max(b.len())).map(both).collect()
        };
        let count = |list: &[f64], i: usize| list.get(i).copied().unwrap_or_default();
        let mut errors = self.errors.clone();
        for (node, more) in &other.errors {
            *errors.entry(node.clone()).or_default() += more;
        }
        Evidence {
            build: self.build,
            stage: self.stage,
            sums: pairs(&self.sums, &other.sums),
            after: pairs(&self.after, &other.after),
            counts: (0..self.counts.len().max(other.counts.len()))
                .map(|i| count(&self.counts, i) + count(&other.counts, i))
                .collect(),
            errors,
            looks: self.looks.max(other.looks),
            objecting: self.objecting + other.objecting,
        }
    }
}

/// What a group of instances tells each of them.
#[derive(Clone, Debug)]
pub enum GroupNews {
    /// Whether this instance leads.
    Leads(bool),
    /// What all instances have seen, for the one that leads.
    Pool(Evidence),
    /// What the group has decided of a stage of a build, once and for all.
    Decided(Build, u32, Vote),
    /// The most that may be exposed to a build on trial, whatever the platform's cap; without one, nothing.
    Grant(Build, f64),
}

/// What may carry traffic: builds by zone and tenant. Whatever stands in neither list is forbidden.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Permits {
    /// Rises with each; an older one never takes a newer one's place.
    pub number: u64,
    /// For how long it permits what is on its way; what was released before it permits after that too.
    pub life: Ms,
    /// Released before.
    pub released: HashSet<(Build, ZoneId, TenantId)>,
    /// On its way.
    pub moving: HashSet<(Build, ZoneId, TenantId)>,
}

impl Permits {
    /// Stands for requests without a tenant.
    pub const NOBODY: TenantId = TenantId(usize::MAX);
}

/// What a marshal is told.
#[derive(Clone, Debug)]
pub enum Event {
    /// The marshal starts; always its first event.
    Start,
    /// Discovery speaks.
    Fleet(FleetForm, Vec<NodeEntry>),
    /// A client's request.
    Request {
        /// Its id.
        id: RequestId,
        /// Its class.
        class: ClassId,
        /// What it is about.
        key: Option<Key>,
        /// Its tenant.
        tenant: Option<TenantId>,
        /// Time until the client gives this try up.
        expires_in: Ms,
        /// Anticipated work.
        work_hint: Option<Ms>,
        /// A client's repetition, where clients say so.
        is_retry: bool,
    },
    /// The client left.
    ClientGone(RequestId),
    /// A streamed answer began.
    Started(RequestId, u32),
    /// An attempt ended.
    Completed {
        /// The request.
        id: RequestId,
        /// The attempt's number.
        copy: u32,
        /// Its node.
        node: NodeId,
        /// How it ended.
        verdict: Verdict,
        /// Time since it was sent.
        latency: Ms,
        /// The request has its final answer.
        settled: bool,
        /// The node's load report.
        load: Option<LoadReport>,
    },
    /// A probe ended.
    Probed(NodeId, Verdict, Ms, Option<LoadReport>),
    /// The platform's news.
    Stage(StageNews),
    /// The platform's counts of a past period.
    Tally {
        /// Time since the period ended.
        age: Ms,
        /// The class.
        class: ClassId,
        /// The build.
        build: Build,
        /// Attempts in the sample.
        attempts: f64,
        /// Those that failed.
        failed: f64,
        /// Mean time of the others.
        latency: Ms,
    },
    /// A client found an answer wrong.
    Complaint {
        /// Who gave it.
        node: NodeId,
        /// Its class.
        class: ClassId,
        /// Time since the attempt was sent.
        age: Ms,
    },
    /// A timer set earlier is due.
    Alarm(String),
    /// A peer's message.
    Peer(u32, Vec<u8>),
    /// The group of instances that judge as one.
    Group(GroupNews),
    /// What may carry traffic from now on.
    Permits(Arc<Permits>),
}

/// A vote.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize, PartialOrd, Ord, Hash)]
pub enum Vote {
    /// Takes the vote away.
    None,
    /// Move the stage on.
    On,
    /// Stop the clock.
    Hold,
    /// Send the build back.
    Back,
}

/// What a marshal does.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Sends the request to a node.
    Attempt {
        /// The request.
        id: RequestId,
        /// The node.
        node: NodeId,
        /// Its time-out; `None`: until the client gives up.
        timeout: Option<Ms>,
    },
    /// Final answer: turned away, trying again is harmless; maybe with a time to come back.
    Refuse(RequestId, Option<Ms>),
    /// Final answer: failed, nothing promised.
    Fail(RequestId),
    /// Stops waiting on an attempt.
    Cancel(RequestId, u32),
    /// Casts the vote.
    Cast {
        /// The build.
        build: Build,
        /// The stage meant.
        stage: u32,
        /// The vote.
        vote: Vote,
    },
    /// Where judging is shared: what this instance has seen so far, for the pool.
    Evidence(Box<Evidence>),
    /// Where judging is shared: what the one that leads makes of the pool, for the group to decide.
    Judged {
        /// The build.
        build: Build,
        /// Its stage.
        stage: u32,
        /// On or back.
        vote: Vote,
    },
    /// Subscribes to discovery.
    Subscribe,
    /// Asks discovery once for its list.
    FetchAll,
    /// Probes a node.
    Probe(NodeId),
    /// Sends bytes to every peer.
    TellPeers(Vec<u8>),
    /// Sets a timer.
    SetAlarm(String, Ms),
    /// Leaves a line in the log.
    Log(String),
}
