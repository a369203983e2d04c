//! What of a message, or of a disk, can be meant at all. Numbers beyond any real term or index, and entries that don't follow each
//! other, come from a machine or a disk that has gone wrong: they are dropped before anything is decided by them.

use super::{HardState, Message};
use crate::log::{Entry, Snapshot};
use crate::LogPosition;

/// Beyond any term, index or size that is ever reached: sums of two stay far from the end of their type.
const MOST: u64 = 1 << 48;

fn real(numbers: &[u64]) -> bool {
    numbers.iter().all(|number| *number <= MOST)
}

fn real_position(mark: &LogPosition) -> bool {
    real(&[mark.0, mark.1])
}

/// Whether entries follow each other behind `before`, none of a later term than `term`.
fn follow(previous: u64, entries: &[Entry], term: u64) -> bool {
    let places = entries.iter().zip(1..).all(|(entry, at)| entry.index == previous + at);
    places && entries.iter().all(|entry| entry.term <= term)
}

impl Message {
    /// Whether a machine that works can have meant this.
    pub(super) fn is_valid(&self) -> bool {
        match self {
            Message::RequestVote { term, last, .. } => real(&[*term]) && real_position(last),
            Message::VoteResponse { term, .. }
            | Message::TransferLeadership { term }
            | Message::DistrustDisk { term } => real(&[*term]),
            Message::AppendEntries { term, previous, entries, commit, round } => {
                real(&[*term, *commit, *round])
                    && real_position(previous)
                    && follow(previous.1, entries, *term)
            }
            Message::AppendResponse { term, match_index, round, .. } => real(&[*term, *match_index, *round]),
            Message::InstallSnapshot { term, last, offset, total, round, chunk, .. } => {
                let accepted = real(&[*offset, *total]) && offset + chunk.len() as u64 <= *total;
                real(&[*term, *round]) && real_position(last) && accepted
            }
            Message::SnapshotChunkResponse { term, last, received, round, .. } => {
                real(&[*term, *received, *round]) && real_position(last)
            }
            Message::QueryState { .. } => true,
            Message::StateReport { term, last, .. } => real(&[*term]) && real_position(last),
        }
    }
}

impl HardState {
    /// The same of what a disk gives back.
    pub(super) fn is_valid(&self) -> bool {
        real(&[self.term]) && self.target.as_ref().is_none_or(real_position)
    }
}

impl Snapshot {
    /// The same.
    pub(crate) fn is_valid(&self) -> bool {
        real_position(&self.last)
    }
}

impl Entry {
    /// The same.
    pub(crate) fn is_valid(&self) -> bool {
        real(&[self.term, self.index])
    }
}
