//! The messages between the stages of a request, and the traits through which the decision thread reaches the components
//! that execute the module's actions. Stages depend on this file and not on each other, so that another host can
//! implement a trait: a front end that sends nothing itself, or several instances that vote as one.

use crate::accounting::PendingRequest;
use milletwing_decision::interface::{
    Build, ClassId, Event, Evidence, FleetUpdateKind, Key, Ms, NodeEntry, NodeId, Outcome, RequestId,
    StageReport, TenantId, Vote,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// An admitted request, with the attributes that are passed to the module.
pub struct AdmittedRequest {
    /// The request to respond to.
    pub request: Arc<PendingRequest>,
    /// Its traffic class.
    pub class: ClassId,
    /// The key that the request is about.
    pub key: Option<Key>,
    /// Its tenant, if it names a known one.
    pub tenant: Option<TenantId>,
    /// The expected processing time.
    pub work_hint: Option<Ms>,
    /// Whether the client has sent this request before.
    pub is_retry: bool,
}

/// An input of the decision thread.
pub enum DecisionInput {
    /// A request was admitted.
    RequestAdmitted(Box<AdmittedRequest>),
    /// The client disconnected before its response.
    ClientLeft(Arc<PendingRequest>),
    /// An attempt ended.
    AttemptEnded {
        /// The request.
        id: RequestId,
        /// The number of the attempt.
        attempt: u32,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// When it ended; for a response, when it arrived.
        ended_at: Instant,
    },
    /// The response to an attempt is being streamed to the client.
    StreamStarted(RequestId, u32),
    /// Discovery reported nodes, each with its address.
    FleetUpdate(FleetUpdateKind, Vec<(NodeEntry, SocketAddr)>),
    /// An event for the module, from the platform or from a component of the host.
    Event(Event),
    /// A vote was answered: the reported stage, or the outcome where there is no stage to report.
    VoteAnswered(u64, Result<StageReport, Outcome>),
    /// Ends the decision thread, for hosts that embed the marshal.
    Stop,
}

/// A response that the marshal generates itself, in place of a node's.
#[derive(Clone, Copy, Debug)]
pub enum LocalResponse {
    /// The request was rejected without being run, so that a retry is safe; optionally with the time to retry after.
    Refused(Option<Ms>),
    /// The request failed, and may or may not have run.
    Failed,
    /// An HTTP status.
    Status(u16),
}

/// A request of the module to discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum DiscoveryRequest {
    /// Report changes from now on.
    Subscribe,
    /// Fetch the whole list once.
    Fetch,
}

/// A vote to be sent to the platform.
#[derive(Clone)]
pub struct VoteRequest {
    /// Identifies the vote in its answer.
    pub number: u64,
    /// The build to vote on.
    pub build: Build,
    /// The rollout stage that the vote applies to.
    pub stage: u32,
    /// The vote.
    pub vote: Vote,
    /// The condition that must hold until the line has been sent.
    pub guard: Option<Arc<dyn Guard>>,
}

/// An attempt that the module has ordered.
pub struct AttemptOrder {
    /// The request to respond to.
    pub request: Arc<PendingRequest>,
    /// The number of the attempt.
    pub attempt: u32,
    /// The node to send it to.
    pub node: NodeId,
    /// When the module sent it.
    pub sent_at: Instant,
    /// When it times out.
    pub deadline: Instant,
}

/// An attempt in progress. Its end is always reported exactly once, as `DecisionInput::AttemptEnded`.
pub trait AttemptHandle: Send + Sync {
    /// Stops waiting. Bytes that have not been written are never sent.
    fn cancel(&self);
    /// Like `cancel`, when the attempt times out.
    fn time_out(&self);
    /// Whether the response is being streamed to the client.
    fn is_streaming(&self) -> bool;
    /// The state of the attempt, for the log.
    fn describe(&self) -> String;
}

/// Sends attempts to nodes.
pub trait AttemptSender: Send {
    /// Starts an attempt. `None` if the node is not listed or no worker is free; the attempt was then never sent.
    fn start(&mut self, order: AttemptOrder) -> Option<Arc<dyn AttemptHandle>>;
    /// Applies a change of the node list.
    fn update_fleet(&mut self, kind: FleetUpdateKind, entries: &[(NodeEntry, SocketAddr)]);
    /// Closes connections that have been idle for too long.
    fn sweep(&mut self);
    /// A summary of the resources in use, for the log.
    fn report(&self) -> String;
}

/// Sends responses that the marshal generates itself.
pub trait ResponseSender: Send {
    /// Queues a response; the right to respond must have been claimed. False if the queue is full.
    fn enqueue(&self, request: Arc<PendingRequest>, response: LocalResponse) -> bool;
}

/// Sends votes to the platform. The answer arrives as `DecisionInput::VoteAnswered`.
pub trait VoteSender: Send {
    /// Casts a vote. False if it cannot be queued; it was then never cast.
    fn cast(&self, vote: VoteRequest) -> bool;
}

/// A condition that must hold until the last word of a line has been sent. Checked before the line is begun and before
/// its last word.
pub trait Guard: Send + Sync {
    /// Whether the condition still holds.
    fn holds(&self) -> bool;
}

/// The group of instances that decide as one. Its messages arrive as `DecisionInput::Event` with `Event::GroupMessage`.
/// Never blocks.
pub trait GroupObserver: Send {
    /// The evidence that this instance has collected so far.
    fn evidence_collected(&self, evidence: Evidence);
    /// The decision that the leader's module proposes.
    fn decision_proposed(&self, build: Build, stage: u32, vote: Vote);
    /// The platform reported a stage.
    fn stage_reported(&self, report: &StageReport);
    /// A vote was answered: the platform's stage, or an outcome other than `Ok`.
    fn vote_answered(&self, number: u64, report: &StageReport);
}

/// Follows the rollout of builds: receives the platform's reports and the module's votes. Never blocks.
pub trait RolloutObserver: Send {
    /// The platform reported a stage.
    fn stage_reported(&self, report: &StageReport);
    /// The module cast a vote.
    fn vote_cast(&self, build: Build, vote: Vote);
}

/// Requests node lists from discovery. The answer arrives as `DecisionInput::FleetUpdate`.
pub trait DiscoveryRequester: Send {
    /// Queues a request. False if it cannot be queued.
    fn request(&self, request: DiscoveryRequest) -> bool;
}

impl VoteSender for crossbeam_channel::Sender<VoteRequest> {
    fn cast(&self, vote: VoteRequest) -> bool {
        self.try_send(vote).is_ok()
    }
}

impl DiscoveryRequester for crossbeam_channel::Sender<DiscoveryRequest> {
    fn request(&self, request: DiscoveryRequest) -> bool {
        self.try_send(request).is_ok()
    }
}
