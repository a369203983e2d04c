//! What a marshal holds of nodes, requests and trials: plain records, free of any decision.

use crate::interface::*;
use crate::statistics::{Mean, Times};
use milletwing_sequential_test::Sums;
use std::collections::{BTreeMap, VecDeque};

/// A server as this marshal knows it.
#[derive(Debug, Default)]
pub(crate) struct Node {
    pub entry: NodeEntry,
    pub inflight: u32,
    /// Running means of latency and of our requests in flight at the send.
    pub latency: Option<f64>,
    pub load: f64,
    /// When it last answered.
    pub seen: Ms,
    /// Running share of attempts that failed.
    pub failing: f64,
    /// Errors and complaints since its start.
    pub errors: u32,
    pub silent: u32,
    pub aside_until: Ms,
    pub pause: Ms,
    /// Whether it holds a connection of ours, as far as the last attempt told.
    pub linked: bool,
    /// Cold budget: tokens and when they were counted.
    pub tokens: f64,
    pub counted: Ms,
}

/// A request that owes its final answer.
#[derive(Debug)]
pub(crate) struct Request {
    pub class: ClassId,
    pub key: Option<Key>,
    pub tenant: TenantId,
    /// Until when an answer earns its full worth.
    pub aim: Ms,
    pub deadline: Ms,
    pub tries: u32,
    pub tried: Vec<NodeId>,
    /// The first attempt that may have run: its node's zone and cell, and when it was sent.
    pub ran: Option<(ZoneId, u32, Ms)>,
    /// The attempt before, if it ended in an error that is not judged yet, and its node.
    pub erred: Option<(Attempt, NodeId)>,
}

impl Request {
    /// One that was just taken.
    pub fn new(class: ClassId, key: Option<Key>, tenant: Option<TenantId>, aim: Ms, deadline: Ms) -> Request {
        let tenant = tenant.unwrap_or(PermitTable::NO_TENANT);
        Request { class, key, tenant, aim, deadline, tries: 0, tried: Vec::new(), ran: None, erred: None }
    }
}

/// Where, how and after how long an attempt ended.
pub(crate) type Ended = (NodeId, Outcome, Ms);

/// An attempt that is out.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub class: ClassId,
    pub build: Build,
    pub kind: MachineKindId,
    pub home: (ZoneId, u32),
    pub sent: Ms,
    pub covariate: f64,
    /// Our requests in flight at its node as it was sent.
    pub crowd: f64,
    pub scored: bool,
}

/// What this marshal holds of the build on trial.
#[derive(Debug, Default)]
pub(crate) struct Trial {
    pub sums: Vec<[Sums; 2]>,
    pub looks: usize,
    pub next_look: Ms,
    pub clean: bool,
    pub held: Option<Ms>,
    pub since: Ms,
}

/// The vote cast last: what, when, and whether it was heard.
#[derive(Debug)]
pub(crate) struct Cast {
    pub what: (Build, u32, Vote),
    pub at: Ms,
    pub answered: bool,
}

/// What answers have told, over all nodes.
#[derive(Debug, Default)]
pub(crate) struct Heard {
    /// The earlier build's scores within the covariate's span, by class.
    pub earlier: Vec<VecDeque<(Ms, f64)>>,
    /// The earlier build's mean latency, by class and kind and over all.
    pub means: BTreeMap<(ClassId, MachineKindId), Mean>,
    pub mean: Mean,
    /// Mean latency while no build is on trial.
    pub calm: BTreeMap<(ClassId, MachineKindId), Mean>,
    /// Mean latency of the nodes of a zone and kind, and when it was last heard.
    pub likes: BTreeMap<(ZoneId, MachineKindId), (f64, Ms)>,
    /// Running shares of attempts without an answer, of failed ones, and of errors that a further attempt
    /// elsewhere cured.
    pub unanswered: f64,
    pub failing: f64,
    pub cured: Mean,
    /// Running share of attempts at nodes not linked that got no connection.
    pub barred: f64,
    /// Running mean of our requests in flight at a node as another was sent there.
    pub load: f64,
}

/// Answer times against the dose of the newest build.
#[derive(Debug, Default)]
pub(crate) struct Step {
    /// Share of our attempts at the newest build.
    pub dose: f64,
    /// Level of answer times against the calm before it, and the share that missed the aim.
    pub level: f64,
    pub missed: f64,
    /// Fading sums of dose (covariate) and level (score), and for how long they have stood in step.
    pub sums: Sums,
    pub beats: u32,
    /// Warm capacity as the build was offered.
    pub whole: f64,
}

/// What comes in and goes out.
#[derive(Debug, Default)]
pub(crate) struct Flow {
    /// Requests taken and attempts at builds on trial within the window, by class.
    pub taken: Vec<Times>,
    pub exposed: BTreeMap<Build, Vec<Times>>,
    /// When the cap was last lowered, and from what.
    pub cut: Option<(Ms, f64)>,
    /// Requests of late, and of each class since the start.
    pub recent: Times,
    /// Answers of late, and the most at a warm machine so far.
    pub met: Times,
    pub best: f64,
    pub counts: Vec<f64>,
    pub retry_tokens: f64,
}

impl Flow {
    /// Nothing yet.
    pub fn new(classes: usize, retry_tokens: f64) -> Flow {
        let taken = vec![Times::default(); classes];
        Flow { taken, counts: vec![1.0; classes], retry_tokens, ..Flow::default() }
    }
}

/// Calls to the platform and to discovery.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    pub cast: Option<Cast>,
    pub next_call: Ms,
    /// How long the platform's budget lasts for one call of each marshal.
    pub turn: Ms,
    pub next_ask: Ms,
    pub ask_pause: Ms,
    pub subscribed: bool,
}

/// What the group of instances that judge as one has told; unused where each judges alone.
#[derive(Debug, Default)]
pub(crate) struct Together {
    pub leads: bool,
    pub pool: Option<Evidence>,
    /// What was decided last of the newest build.
    pub decided: Option<(Build, u32, Vote)>,
    pub granted: Option<(Build, f64)>,
    /// Whether this instance sees harm in step.
    pub objects: bool,
}
