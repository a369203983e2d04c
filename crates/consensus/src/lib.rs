//! Raft-style consensus among the replicas of the control plane, without I/O: messages and the current time
//! go in; data to persist and messages to send come out. The driver writes and syncs each [`Batch`] before it
//! sends the messages that were returned with it.
//!
//! [`log`] holds a snapshot, the entries after it and their encoding on disk. [`member`] implements one
//! replica: terms, elections with a pre-vote, commit by majority, reads confirmed by a round of messages to
//! the members, and the recovery of a replica whose disk was lost.

pub mod log;
pub mod member;

pub use log::{Batch, Entry, Payload, StoredState};
pub use member::{inspect, Inspection, Member, Message, Options, Ready, Retirement, Role, StateIntegrity};

/// Identifies a replica: its IPv4 address as a number. Never 0.
pub type MemberId = u32;
/// Milliseconds on the driver's monotonic clock; also used for durations.
pub type Millis = u64;
/// Term and index of an entry. Positions compare in this order, so that the more up-to-date log is the
/// greater.
pub type LogPosition = (u64, u64);
