//! Plausibility checks on messages and on data from disk. Numbers beyond any real term or index, and entries
//! that are not consecutive, come from a faulty replica or disk. They are rejected before anything depends on
//! them.

use super::{HardState, Message};
use crate::log::{Entry, Snapshot};
use crate::LogPosition;

/// Larger than any term, index or size ever reached, and small enough that the sum of two cannot overflow.
const MAX_PLAUSIBLE: u64 = 1 << 48;

/// Whether none of the numbers is too large.
fn are_plausible(numbers: &[u64]) -> bool {
    numbers.iter().all(|number| *number <= MAX_PLAUSIBLE)
}

/// Whether a position has a plausible term and index.
fn is_plausible_position(position: &LogPosition) -> bool {
    are_plausible(&[position.0, position.1])
}

/// Whether the entries have consecutive indexes after `previous`, and no later term than `term`.
fn are_consecutive(previous: u64, entries: &[Entry], term: u64) -> bool {
    let consecutive = entries.iter().zip(1..).all(|(entry, offset)| entry.index == previous + offset);
    consecutive && entries.iter().all(|entry| entry.term <= term)
}

impl Message {
    /// Whether a correct replica could have sent this message.
    pub(super) fn is_valid(&self) -> bool {
        match self {
            Message::RequestVote { term, last, .. } => are_plausible(&[*term]) && is_plausible_position(last),
            Message::VoteResponse { term, .. }
            | Message::TransferLeadership { term }
            | Message::DistrustDisk { term } => are_plausible(&[*term]),
            Message::AppendEntries { term, previous, entries, commit, round } => {
                are_plausible(&[*term, *commit, *round])
                    && is_plausible_position(previous)
                    && are_consecutive(previous.1, entries, *term)
            }
            Message::AppendResponse { term, match_index, round, .. } => {
                are_plausible(&[*term, *match_index, *round])
            }
            Message::InstallSnapshot { term, last, offset, total, round, chunk, .. } => {
                let in_bounds = are_plausible(&[*offset, *total]) && offset + chunk.len() as u64 <= *total;
                are_plausible(&[*term, *round]) && is_plausible_position(last) && in_bounds
            }
            Message::SnapshotChunkResponse { term, last, received, round, .. } => {
                are_plausible(&[*term, *received, *round]) && is_plausible_position(last)
            }
            Message::QueryState { .. } => true,
            Message::StateReport { term, last, .. } => are_plausible(&[*term]) && is_plausible_position(last),
        }
    }
}

impl HardState {
    /// Whether a correct replica could have written this hard state.
    pub(super) fn is_valid(&self) -> bool {
        are_plausible(&[self.term]) && self.catch_up_target.as_ref().is_none_or(is_plausible_position)
    }
}

impl Snapshot {
    /// Whether a correct replica could have written this snapshot.
    pub(crate) fn is_valid(&self) -> bool {
        is_plausible_position(&self.last)
    }
}

impl Entry {
    /// Whether a correct replica could have written this entry.
    pub(crate) fn is_valid(&self) -> bool {
        are_plausible(&[self.term, self.index])
    }
}
