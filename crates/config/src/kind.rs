//! The closed list of errors, and the one table from a kind to its answer.

use derive_more::{Display, Error};

/// Everything that can go wrong between a caller and the system.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum ErrorKind {
    /// No configuration that is in force has a route for it.
    #[display("no route")]
    NoRoute,
    /// No route is known for it, and the core has been out of reach for so long that there may be one by now.
    #[display("no route known, and the core is out of reach")]
    CoreUnreachable,
    /// It has no key of a tenant, and its route needs one.
    #[display("no key, or none that is known")]
    Unauthorized,
    /// It is no request as the protocol has it.
    #[display("not a request: {_0}")]
    BadRequest(#[error(not(source))] String),
    /// The head is over `maxHeaderBytes`.
    #[display("the head is too large")]
    HeadTooLarge,
    /// The body is over `maxBodyBytes`, or over what a call may carry.
    #[display("the body is too large")]
    BodyTooLarge,
    /// The core's state would grow beyond what every machine can read: bytes that it would have, and that it may have.
    #[display("the state would have {_0} bytes, {_1} at most")]
    StateTooLarge(#[error(not(source))] usize, usize),
    /// This process has no configuration yet.
    #[display("no configuration yet")]
    NotConfigured,
    /// This process is to end too soon for a request that comes now.
    #[display("this machine is about to end")]
    ShuttingDown,
    /// Every marshal that may serve it has all it can bear.
    #[display("all marshals are full")]
    AtCapacity,
    /// No marshal is known, or none could be reached; nothing was sent.
    #[display("no marshal to be reached")]
    NoReachableMarshal,
    /// The marshal turned it away unread.
    #[display("turned away by the marshal")]
    RejectedByMarshal,
    /// Its time was over before it was sent.
    #[display("its time is over, it was not sent")]
    DeadlineExceeded,
    /// It was sent, and the marshal broke off or answered with bytes that are no answer.
    #[display("the marshal broke off")]
    MarshalDisconnected,
    /// It was sent, and no answer came in its time.
    #[display("no answer in time")]
    ResponseTimeout,
    /// The body can't be read whole.
    #[display("unreadable: {_0}")]
    Unreadable(#[error(not(source))] String),
    /// A route names no service.
    #[display("route {_0} has neither a target nor a distribution")]
    NoService(#[error(not(source))] String),
    /// A route names a service that is not among the targets.
    #[display("route {_0} names the unknown service {_1}")]
    UnknownService(String, String),
    /// A share is below 0.
    #[display("route {_0} has a share below 0")]
    NegativeShare(#[error(not(source))] String),
    /// A number that counts or measures is below 0: the entry, and its field.
    #[display("{_0} has a {_1} below 0")]
    NegativeValue(String, &'static str),
    /// Every share is 0, so that no service could be drawn.
    #[display("route {_0} has no share above 0")]
    ZeroShares(#[error(not(source))] String),
    /// Two routes of one host and prefix.
    #[display("routes {_0} and {_1} have the same domain and pathPrefix")]
    DuplicateRoute(String, String),
    /// One key of two subscribers.
    #[display("subscribers {_0} and {_1} have a key in common")]
    DuplicateKey(String, String),
    /// A name that no header can hold.
    #[display("subscriber {_0} has a name that no header can hold")]
    InvalidSubscriberName(#[error(not(source))] String),
    /// A class that is none of those named.
    #[display("route {_0} has the unknown trafficClass {_1}")]
    UnknownTrafficClass(String, String),
    /// A prefix without its slash.
    #[display("route {_0} has a pathPrefix that does not begin with a slash")]
    InvalidPathPrefix(#[error(not(source))] String),
    /// Less than a millisecond: no request could be served by it.
    #[display("route {_0} has a guardS under a millisecond")]
    GuardTooShort(#[error(not(source))] String),
    /// Over ten minutes.
    #[display("route {_0} has a guardS over ten minutes")]
    GuardTooLong(#[error(not(source))] String),
    /// A minute or more over `guardS`.
    #[display("route {_0} has a targetS a minute or more over its guardS")]
    TargetTooLong(#[error(not(source))] String),
    /// The number is not above the current one.
    #[display("revision {_0} is not above the current one, {_1}")]
    OutdatedRevision(#[error(not(source))] u64, u64),
    /// `If-Match` is missing or no number.
    #[display("If-Match is missing or no number")]
    InvalidIfMatch,
    /// Another version is in place.
    #[display("revision {_0} is in place")]
    RevisionMismatch(#[error(not(source))] u64),
    /// A beat that can't be used.
    #[display("beat: {_0}")]
    InvalidBeat(#[error(not(source))] String),
    /// The body of a call did not come in time; nothing was done.
    #[display("the body did not come in time")]
    BodyTimeout,
    /// Nothing there by that name.
    #[display("there is no {_0}")]
    NotFound(#[error(not(source))] String),
    /// A path that is not served.
    #[display("no such path")]
    UnknownPath,
    /// A method that the path doesn't have.
    #[display("no such method here")]
    MethodNotAllowed,
    /// The core has no leader: nothing was taken.
    #[display("the core has no leader at present")]
    NoLeader,
    /// An order was held up on its way until a later one stood: nothing was taken.
    #[display("a later order stands")]
    Superseded,
    /// An order was passed to a leader, and what became of it is not known.
    #[display("what became of it is not known at present")]
    OutcomeUnknown,
}

/// How a kind is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ErrorResponse {
    /// The status.
    pub status: u16,
    /// It promises that the request has not run and never will.
    pub not_executed: bool,
    /// It says when to come back.
    pub retryable: bool,
}

impl ErrorKind {
    /// The table.
    pub fn response(&self) -> ErrorResponse {
        let (status, not_executed, retryable) = match self {
            ErrorKind::NoRoute | ErrorKind::NotFound(_) | ErrorKind::UnknownPath => (404, true, false),
            ErrorKind::MethodNotAllowed => (405, true, false),
            ErrorKind::BadRequest(_)
            | ErrorKind::Unreadable(_)
            | ErrorKind::InvalidBeat(_)
            | ErrorKind::InvalidIfMatch => (400, true, false),
            ErrorKind::NoService(_) | ErrorKind::UnknownService(..) | ErrorKind::NegativeShare(_) => {
                (400, true, false)
            }
            ErrorKind::ZeroShares(_) | ErrorKind::GuardTooShort(_) | ErrorKind::DuplicateRoute(..) => {
                (400, true, false)
            }
            ErrorKind::DuplicateKey(..)
            | ErrorKind::InvalidSubscriberName(_)
            | ErrorKind::NegativeValue(..) => (400, true, false),
            ErrorKind::UnknownTrafficClass(..)
            | ErrorKind::InvalidPathPrefix(_)
            | ErrorKind::GuardTooLong(_) => (400, true, false),
            ErrorKind::Unauthorized => (401, true, false),
            ErrorKind::TargetTooLong(_) | ErrorKind::OutdatedRevision(..) => (400, true, false),
            ErrorKind::BodyTimeout => (408, true, false),
            ErrorKind::RevisionMismatch(_) => (412, true, false),
            ErrorKind::HeadTooLarge => (431, true, false),
            ErrorKind::BodyTooLarge | ErrorKind::StateTooLarge(..) => (413, true, false),
            ErrorKind::ShuttingDown
            | ErrorKind::CoreUnreachable
            | ErrorKind::NotConfigured
            | ErrorKind::AtCapacity
            | ErrorKind::NoReachableMarshal
            | ErrorKind::RejectedByMarshal => (503, true, true),
            ErrorKind::DeadlineExceeded => (503, true, false),
            ErrorKind::NoLeader | ErrorKind::Superseded => (503, true, true),
            ErrorKind::OutcomeUnknown => (504, false, true),
            ErrorKind::MarshalDisconnected => (502, false, false),
            ErrorKind::ResponseTimeout => (504, false, false),
        };
        ErrorResponse { status, not_executed, retryable }
    }
}
