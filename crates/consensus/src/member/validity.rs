//! What of a message, or of a disk, can be meant at all. Numbers beyond any real term or index, and entries that don't follow each
//! other, come from a machine or a disk that has gone wrong: they are dropped before anything is decided by them.

use super::{Hard, Message};
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
fn follow(before: u64, entries: &[Entry], term: u64) -> bool {
    let places = entries.iter().zip(1..).all(|(entry, at)| entry.index == before + at);
    places && entries.iter().all(|entry| entry.term <= term)
}

impl Message {
    /// Whether a machine that works can have meant this.
    pub(super) fn sound(&self) -> bool {
        match self {
            Message::RequestVote { term, last, .. } => real(&[*term]) && real_position(last),
            Message::Vote { term, .. }
            | Message::TransferLeadership { term }
            | Message::DistrustDisk { term } => real(&[*term]),
            Message::Append { term, before, entries, commit, round } => {
                real(&[*term, *commit, *round]) && real_position(before) && follow(before.1, entries, *term)
            }
            Message::Appended { term, matched, round, .. } => real(&[*term, *matched, *round]),
            Message::Install { term, last, offset, total, round, part, .. } => {
                let fits = real(&[*offset, *total]) && offset + part.len() as u64 <= *total;
                real(&[*term, *round]) && real_position(last) && fits
            }
            Message::Installed { term, last, have, round, .. } => {
                real(&[*term, *have, *round]) && real_position(last)
            }
            Message::QueryState { .. } => true,
            Message::StateReport { term, last, .. } => real(&[*term]) && real_position(last),
        }
    }
}

impl Hard {
    /// The same of what a disk gives back.
    pub(super) fn sound(&self) -> bool {
        real(&[self.term]) && self.target.as_ref().is_none_or(real_position)
    }
}

impl Snapshot {
    /// The same.
    pub(crate) fn sound(&self) -> bool {
        real_position(&self.last)
    }
}

impl Entry {
    /// The same.
    pub(crate) fn sound(&self) -> bool {
        real(&[self.term, self.index])
    }
}
