//! Agreement among the core's machines, without I/O: messages and the time go in; what must be on disk and what is to
//! be sent come out. The driver writes a [`Batch`] and syncs it before any message that came with it leaves.
//!
//! `log` holds the entries behind a snapshot and what the disk gives back, `member` one machine: terms, votes with a
//! question beforehand, commit by majority, reads confirmed by a round of the members, and a machine that lost its disk.

pub mod log;
pub mod member;

pub use log::{Batch, Entry, Payload, StoredState};
pub use member::{inspect, Inspection, Member, Message, Options, Ready, Retirement, Role, StateIntegrity};

/// A machine of the core: its IPv4 address as a number. Never 0.
pub type MemberId = u32;
/// Milliseconds of a steady clock that is the driver's.
pub type Millis = u64;
/// Term, then index, of an entry: compared in this order, the later log is the greater.
pub type LogPosition = (u64, u64);
