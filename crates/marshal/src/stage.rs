//! What passes between stages, and the ports by which the decision thread reaches whoever carries out what the
//! module says. Stages know this file and not one another, so that another host can fill a port: a front that sends
//! nothing itself, or several instances that vote as one.

use crate::book::Open;
use milletwing_decision::interface::{
    Build, ClassId, Event, Evidence, FleetUpdateKind, Key, Ms, NodeEntry, NodeId, Outcome, RequestId,
    StageReport, TenantId, Vote,
};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Instant;

/// An admitted request, as the module will be told of it.
pub struct Admitted {
    /// The request.
    pub open: Arc<Open>,
    /// Its class.
    pub class: ClassId,
    /// What it is about.
    pub key: Option<Key>,
    /// Its tenant.
    pub tenant: Option<TenantId>,
    /// Anticipated work.
    pub work_hint: Option<Ms>,
    /// A client's repetition.
    pub is_retry: bool,
}

/// What the decision thread is told.
pub enum Note {
    /// A request was taken.
    Taken(Box<Admitted>),
    /// Its client left.
    Gone(Arc<Open>),
    /// An attempt ended.
    Ended {
        /// Its request.
        id: RequestId,
        /// Its number.
        copy: u32,
        /// How.
        verdict: Outcome,
        /// When.
        at: Instant,
    },
    /// The answer to an attempt is being passed on as it comes.
    Started(RequestId, u32),
    /// Discovery told something; addresses beside the entries.
    Fleet(FleetUpdateKind, Vec<(NodeEntry, SocketAddr)>),
    /// The platform told something.
    Told(Event),
    /// A vote was answered, or went unheard; `None`: by what is no state.
    Vote(u64, Result<StageReport, Outcome>),
    /// The end; for embedding.
    Stop,
}

/// An answer that no node made.
#[derive(Clone, Copy, Debug)]
pub enum Word {
    /// Turned away, trying again is harmless; maybe with a time to come back.
    Refused(Option<Ms>),
    /// Failed, nothing promised.
    Failed,
    /// Answered by a status of its own.
    Status(u16),
}

/// What the module asks of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ask {
    /// To be told of changes from now on.
    Subscribe,
    /// The whole list, once.
    Fetch,
}

/// A vote on its way.
#[derive(Clone)]
pub struct Ballot {
    /// Its number, for the answer.
    pub number: u64,
    /// The build.
    pub build: Build,
    /// The stage meant.
    pub stage: u32,
    /// The vote.
    pub vote: Vote,
    /// What must hold until its line has left.
    pub guard: Option<Arc<dyn Guard>>,
}

/// An attempt that the module wants.
pub struct Order {
    /// Its request.
    pub open: Arc<Open>,
    /// Its number.
    pub copy: u32,
    /// Its node.
    pub node: NodeId,
    /// When the module sent it.
    pub sent: Instant,
    /// When it times out.
    pub until: Instant,
}

/// An attempt that somebody carries. Its end comes as `Note::Ended`, once, whatever happens.
pub trait Out: Send + Sync {
    /// Stops waiting. What isn't written yet never will be.
    fn cancel(&self);
    /// The same at its time-out.
    fn time_out(&self);
    /// Whether its answer is being passed on to the client as it comes.
    fn passes(&self) -> bool;
    /// Where it stands, for the log.
    fn describe(&self) -> String;
}

/// Who carries attempts to nodes.
pub trait Carrier: Send {
    /// Begins an attempt. `None` where the node isn't listed or nobody is free: it never began.
    fn begin(&mut self, order: Order) -> Option<Arc<dyn Out>>;
    /// Follows the list.
    fn fleet(&mut self, form: FleetUpdateKind, entries: &[(NodeEntry, SocketAddr)]);
    /// Looks at what stands idle.
    fn sweep(&mut self);
    /// What it holds, for the log.
    fn report(&self) -> String;
}

/// Who hands out answers that no node made.
pub trait Answering: Send {
    /// Hands one over; the right to answer must have been claimed. False where there is no room.
    fn hand(&self, open: Arc<Open>, word: Word) -> bool;
}

/// Who speaks with the platform. The answer comes as `Note::Vote`.
pub trait Voting: Send {
    /// Casts a vote. False where it can't be taken; then it was never cast.
    fn cast(&self, ballot: Ballot) -> bool;
}

/// What must hold until the last word of a call has left. Asked before it begins and before its last word.
pub trait Guard: Send + Sync {
    /// Whether it still holds.
    fn holds(&self) -> bool;
}

/// The group of instances that judge as one. What it tells comes as `Note::Told` with `Event::Group`. Never waits.
pub trait Grouping: Send {
    /// What this instance has seen so far.
    fn seen(&self, evidence: Evidence);
    /// What the module of the one that leads makes of it.
    fn judged(&self, build: Build, stage: u32, vote: Vote);
    /// What the platform told.
    fn told(&self, news: &StageReport);
    /// How a vote ended: the platform's state, or a verdict other than `Ok`.
    fn answered(&self, number: u64, news: &StageReport);
}

/// Who follows what becomes of builds: told of the platform's news and the module's votes. Never waits.
pub trait Watching: Send {
    /// What the platform told.
    fn told(&self, news: &StageReport);
    /// What the module votes.
    fn cast(&self, build: Build, vote: Vote);
}

/// Who asks discovery. The answer comes as `Note::Fleet`.
pub trait Listing: Send {
    /// Asks. False where it can't be taken.
    fn ask(&self, ask: Ask) -> bool;
}

impl Voting for crossbeam_channel::Sender<Ballot> {
    fn cast(&self, ballot: Ballot) -> bool {
        self.try_send(ballot).is_ok()
    }
}

impl Listing for crossbeam_channel::Sender<Ask> {
    fn ask(&self, ask: Ask) -> bool {
        self.try_send(ask).is_ok()
    }
}
