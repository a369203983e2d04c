//! A marshal's records of nodes, requests and trials: plain data without decision logic.

use crate::interface::*;
use crate::statistics::{EventTimes, RunningMean};
use milletwing_sequential_test::Sums;
use std::collections::{BTreeMap, VecDeque};

/// This marshal's view of a server.
#[derive(Debug, Default)]
pub(crate) struct Node {
    pub entry: NodeEntry,
    pub inflight: u32,
    /// Running means of the latency and of this marshal's requests in flight at the time of each send.
    pub latency: Option<f64>,
    pub mean_inflight: f64,
    /// When it last answered.
    pub answered: Ms,
    /// Running share of attempts that failed.
    pub failure_rate: f64,
    /// Errors and reported wrong answers since the node's start.
    pub errors: u32,
    /// Consecutive attempts without any answer.
    pub unanswered: u32,
    /// Until when the node is ejected, and for how long the next ejection lasts.
    pub ejected_until: Ms,
    pub ejection: Ms,
    /// Whether this marshal holds a connection to the node, judging by the last attempt.
    pub connected: bool,
    /// Tokens of the budget for a cold node, and when they were last refilled.
    pub tokens: f64,
    pub filled: Ms,
}

/// A request that has not received its final answer.
#[derive(Debug)]
pub(crate) struct Request {
    pub class: ClassId,
    pub key: Option<Key>,
    pub tenant: TenantId,
    /// Time until which an answer earns its full value.
    pub target: Ms,
    pub deadline: Ms,
    /// Attempts so far, and the nodes they went to.
    pub tries: u32,
    pub tried: Vec<NodeId>,
    /// The first attempt that may have run: its node's zone and cell, and when it was sent.
    pub first_run: Option<(ZoneId, u32, Ms)>,
    /// The previous attempt and its node, if it ended in an error that has not been scored yet.
    pub pending_error: Option<(Attempt, NodeId)>,
}

impl Request {
    pub fn new(
        class: ClassId,
        key: Option<Key>,
        tenant: Option<TenantId>,
        target: Ms,
        deadline: Ms,
    ) -> Request {
        let tenant = tenant.unwrap_or(PermitTable::NO_TENANT);
        Request {
            class,
            key,
            tenant,
            target,
            deadline,
            tries: 0,
            tried: Vec::new(),
            first_run: None,
            pending_error: None,
        }
    }
}

/// The end of an attempt: its node, outcome and latency.
pub(crate) type Ended = (NodeId, Outcome, Ms);

/// An attempt in flight.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub class: ClassId,
    pub build: Build,
    pub machine_kind: MachineKindId,
    /// Zone and cell of its node.
    pub location: (ZoneId, u32),
    pub sent: Ms,
    pub covariate: f64,
    /// This marshal's requests in flight at the node when the attempt was sent.
    pub node_inflight: f64,
    /// Whether its outcome counts as evidence on its build.
    pub is_evidence: bool,
}

/// The state of the build on trial in its present stage.
#[derive(Debug, Default)]
pub(crate) struct Trial {
    /// Sums for the adjusted test, by class: those of the earlier build and of the build on trial.
    pub sums: Vec<[Sums; 2]>,
    pub looks: usize,
    pub next_look: Ms,
    /// Whether the stage may advance.
    pub passed: bool,
    /// Since when doubt has held the stage.
    pub held_since: Option<Ms>,
    pub since: Ms,
}

/// The last vote: its content, when it was cast, and whether the platform confirmed it.
#[derive(Debug)]
pub(crate) struct SentVote {
    pub ballot: (Build, u32, Vote),
    pub at: Ms,
    pub answered: bool,
}

/// Limits for evidence on a build.
#[derive(Debug, Default)]
pub(crate) struct EvidenceLimits {
    /// One-sided significance level (alpha) of a vote to revert, over all looks.
    pub alpha: f64,
    /// Outcomes of the new build that a look needs.
    pub n: f64,
    /// An attempt that takes longer than this many mean latencies is slow.
    pub slow: f64,
    /// Smallest surplus of failures that counts as harm.
    pub min_harm: f64,
}

/// Statistics of the answers of all nodes.
#[derive(Debug, Default)]
pub(crate) struct AnswerStats {
    /// The earlier build's scores within the span of the covariate, by class.
    pub earlier_scores: Vec<VecDeque<(Ms, f64)>>,
    /// The earlier build's mean latency, by class and machine kind, and overall.
    pub mean_by_kind: BTreeMap<(ClassId, MachineKindId), RunningMean>,
    pub latency: RunningMean,
    /// Mean latency while no build is on trial.
    pub baseline: BTreeMap<(ClassId, MachineKindId), RunningMean>,
    /// Mean latency of the nodes of a zone and machine kind, and when it was last updated.
    pub similar: BTreeMap<(ZoneId, MachineKindId), (f64, Ms)>,
    /// Running shares of attempts without an answer, of failed attempts, and of errors after which a further
    /// attempt on another node succeeded.
    pub unanswered: f64,
    pub failure_rate: f64,
    pub retry_gain: RunningMean,
    /// Running share of attempts on nodes without a connection that could not connect.
    pub refused: f64,
    /// Running mean of this marshal's requests in flight at a node when another was sent there.
    pub mean_inflight: f64,
}

/// The dependence of latency (the response) on the newest build's share of traffic (the dose).
#[derive(Debug, Default)]
pub(crate) struct DoseResponse {
    /// Share of this marshal's attempts that go to the newest build.
    pub dose: f64,
    /// Latency relative to the baseline before the build, and the share of requests that missed their target.
    pub latency_ratio: f64,
    pub late_rate: f64,
    /// Decaying sums of the dose (covariate) and the latency ratio (score), and for how many timer periods in
    /// a row they have shown harm.
    pub sums: Sums,
    pub streak: u32,
    /// Warm capacity when the build was offered.
    pub initial_capacity: f64,
}

/// Requests, attempts and answers over time.
#[derive(Debug, Default)]
pub(crate) struct Traffic {
    /// Requests taken within the exposure window, and attempts on builds on trial, by class.
    pub taken: Vec<EventTimes>,
    pub exposed: BTreeMap<Build, Vec<EventTimes>>,
    /// When the cap was last lowered, and its value before.
    pub lowered: Option<(Ms, f64)>,
    /// Requests within the rate window, and answers within it.
    pub recent: EventTimes,
    pub recent_answers: EventTimes,
    /// The highest number of answers per warm machine within a rate window so far.
    pub peak_answers: f64,
    /// Requests of each class since the start.
    pub request_counts: Vec<f64>,
    pub retry_tokens: f64,
}

impl Traffic {
    pub fn new(classes: usize, retry_tokens: f64) -> Traffic {
        let taken = vec![EventTimes::default(); classes];
        Traffic { taken, request_counts: vec![1.0; classes], retry_tokens, ..Traffic::default() }
    }
}

/// Calls to the platform and to discovery.
#[derive(Debug, Default)]
pub(crate) struct Calls {
    pub last_vote: Option<SentVote>,
    pub next_vote: Ms,
    /// Time that the platform's call budget needs for one call of each marshal.
    pub interval: Ms,
    /// When to subscribe to discovery again, the pause after that attempt, and whether it is subscribed to.
    pub retry_at: Ms,
    pub backoff: Ms,
    pub subscribed: bool,
}

/// The latest messages of the group of instances; unused where each instance decides alone.
#[derive(Debug, Default)]
pub(crate) struct GroupState {
    pub is_leader: bool,
    pub pool: Option<Evidence>,
    /// The last decision on the newest build.
    pub decided: Option<(Build, u32, Vote)>,
    pub grant: Option<(Build, f64)>,
    /// Whether this instance sees latency rise with the build's share of traffic.
    pub objecting: bool,
}
