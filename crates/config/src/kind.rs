//! The closed list of errors, and the one table from a kind to its answer.

use derive_more::{Display, Error};

/// Everything that can go wrong between a caller and the system.
#[derive(Clone, Debug, PartialEq, Eq, Display, Error)]
pub enum Kind {
    /// No configuration that is in force has a route for it.
    #[display("no route")]
    NoRoute,
    /// No route is known for it, and the core has been out of reach for so long that there may be one by now.
    #[display("no route known, and the core is out of reach")]
    OutOfTouch,
    /// It has no key of a tenant, and its route needs one.
    #[display("no key, or none that is known")]
    UnknownKey,
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
    NotReady,
    /// This process is to end too soon for a request that comes now.
    #[display("this machine is about to end")]
    Leaving,
    /// Every marshal that may serve it has all it can bear.
    #[display("all marshals are full")]
    Full,
    /// No marshal is known, or none could be reached; nothing was sent.
    #[display("no marshal to be reached")]
    NoMarshal,
    /// The marshal turned it away unread.
    #[display("turned away by the marshal")]
    TurnedAway,
    /// Its time was over before it was sent.
    #[display("its time is over, it was not sent")]
    Expired,
    /// It was sent, and the marshal broke off or answered with bytes that are no answer.
    #[display("the marshal broke off")]
    Broken,
    /// It was sent, and no answer came in its time.
    #[display("no answer in time")]
    Silent,
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
    BelowZero(String, &'static str),
    /// Every share is 0, so that no service could be drawn.
    #[display("route {_0} has no share above 0")]
    NoShare(#[error(not(source))] String),
    /// Two routes of one host and prefix.
    #[display("routes {_0} and {_1} have the same domain and pathPrefix")]
    SamePlace(String, String),
    /// One key of two subscribers.
    #[display("subscribers {_0} and {_1} have a key in common")]
    SharedKey(String, String),
    /// A name that no header can hold.
    #[display("subscriber {_0} has a name that no header can hold")]
    OddName(#[error(not(source))] String),
    /// A class that is none of those named.
    #[display("route {_0} has the unknown trafficClass {_1}")]
    OddClass(String, String),
    /// A prefix without its slash.
    #[display("route {_0} has a pathPrefix that does not begin with a slash")]
    BarePrefix(#[error(not(source))] String),
    /// Less than a millisecond: no request could be served by it.
    #[display("route {_0} has a guardS under a millisecond")]
    NoGuard(#[error(not(source))] String),
    /// Over ten minutes.
    #[display("route {_0} has a guardS over ten minutes")]
    LongGuard(#[error(not(source))] String),
    /// A minute or more over `guardS`.
    #[display("route {_0} has a targetS a minute or more over its guardS")]
    FarTarget(#[error(not(source))] String),
    /// The number is not above the current one.
    #[display("revision {_0} is not above the current one, {_1}")]
    OldRevision(#[error(not(source))] u64, u64),
    /// `If-Match` is missing or no number.
    #[display("If-Match is missing or no number")]
    NoMatch,
    /// Another version is in place.
    #[display("revision {_0} is in place")]
    Stale(#[error(not(source))] u64),
    /// A beat that can't be used.
    #[display("beat: {_0}")]
    BadBeat(#[error(not(source))] String),
    /// The body of a call did not come in time; nothing was done.
    #[display("the body did not come in time")]
    Slow,
    /// Nothing there by that name.
    #[display("there is no {_0}")]
    Unknown(#[error(not(source))] String),
    /// A path that is not served.
    #[display("no such path")]
    NoPath,
    /// A method that the path doesn't have.
    #[display("no such method here")]
    NoMethod,
    /// The core has no leader: nothing was taken.
    #[display("the core has no leader at present")]
    NoLeader,
    /// An order was held up on its way until a later one stood: nothing was taken.
    #[display("a later order stands")]
    Outdated,
    /// An order was passed to a leader, and what became of it is not known.
    #[display("what became of it is not known at present")]
    Uncertain,
}

/// How a kind is answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Answer {
    /// The status.
    pub status: u16,
    /// It promises that the request has not run and never will.
    pub promise: bool,
    /// It says when to come back.
    pub again: bool,
}

impl Kind {
    /// The table.
    pub fn answer(&self) -> Answer {
        let (status, promise, again) = match self {
            Kind::NoRoute | Kind::Unknown(_) | Kind::NoPath => (404, true, false),
            Kind::NoMethod => (405, true, false),
            Kind::BadRequest(_) | Kind::Unreadable(_) | Kind::BadBeat(_) | Kind::NoMatch => {
                (400, true, false)
            }
            Kind::NoService(_) | Kind::UnknownService(..) | Kind::NegativeShare(_) => (400, true, false),
            Kind::NoShare(_) | Kind::NoGuard(_) | Kind::SamePlace(..) => (400, true, false),
            Kind::SharedKey(..) | Kind::OddName(_) | Kind::BelowZero(..) => (400, true, false),
            Kind::OddClass(..) | Kind::BarePrefix(_) | Kind::LongGuard(_) => (400, true, false),
            Kind::UnknownKey => (401, true, false),
            Kind::FarTarget(_) | Kind::OldRevision(..) => (400, true, false),
            Kind::Slow => (408, true, false),
            Kind::Stale(_) => (412, true, false),
            Kind::HeadTooLarge => (431, true, false),
            Kind::BodyTooLarge | Kind::StateTooLarge(..) => (413, true, false),
            Kind::Leaving
            | Kind::OutOfTouch
            | Kind::NotReady
            | Kind::Full
            | Kind::NoMarshal
            | Kind::TurnedAway => (503, true, true),
            Kind::Expired => (503, true, false),
            Kind::NoLeader | Kind::Outdated => (503, true, true),
            Kind::Uncertain => (504, false, true),
            Kind::Broken => (502, false, false),
            Kind::Silent => (504, false, false),
        };
        Answer { status, promise, again }
    }
}
