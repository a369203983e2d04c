//! What a marshal holds of nodes, requests and trials: plain records, free of any decision.

use crate::interface::*;
use crate::moments::Sums;

/// A server as this marshal knows it.
#[derive(Default)]
pub(crate) struct Node {
    pub entry: NodeEntry,
    pub inflight: u32,
    /// Running means of latency and of our requests in flight at the send.
    pub latency: Option<f64>,
    pub load: f64,
    /// Running share of attempts that failed.
    pub failing: f64,
    /// Errors and complaints since its start.
    pub errors: u32,
    pub silent: u32,
    pub aside_until: Ms,
    pub pause: Ms,
    /// Cold budget: tokens and when they were counted.
    pub tokens: f64,
    pub counted: Ms,
}

/// A request that owes its final answer.
pub(crate) struct Request {
    pub class: ClassId,
    pub key: Option<Key>,
    /// Until when an answer earns its full worth.
    pub aim: Ms,
    pub deadline: Ms,
    pub tries: u32,
    pub tried: Vec<NodeId>,
    /// The first attempt that may have run: its node's zone and cell, and when it was sent.
    pub ran: Option<(ZoneId, u32, Ms)>,
}

/// Where, how and after how long an attempt ended.
pub(crate) type Ended = (NodeId, Verdict, Ms);

/// An attempt that is out.
pub(crate) struct Attempt {
    pub class: ClassId,
    pub build: Build,
    pub kind: KindId,
    pub home: (ZoneId, u32),
    pub sent: Ms,
    pub covariate: f64,
    /// Our requests in flight at its node as it was sent.
    pub crowd: f64,
    pub scored: bool,
}

/// What this marshal holds of the build on trial.
#[derive(Default)]
pub(crate) struct Trial {
    pub sums: Vec<[Sums; 2]>,
    pub looks: usize,
    pub next_look: Ms,
    pub clean: bool,
    pub held: Option<Ms>,
    pub since: Ms,
}

/// The vote cast last: what, when, and whether it was heard.
pub(crate) struct Cast {
    pub what: (Build, u32, Vote),
    pub at: Ms,
    pub answered: bool,
}
