//! The log in memory: a snapshot, and the entries behind it; and the bytes that stand for both on disk.

use crate::{LogPosition, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// What must be on the disk before any message that depends on it leaves. Empty parts change nothing.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// Term, vote and what else is promised.
    pub hard_state: Option<Vec<u8>>,
    /// Entries by index; whatever stands from the first one's index on is replaced.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// A snapshot, and the first index that is kept behind it.
    pub snapshot: Option<(Vec<u8>, u64)>,
}

impl Batch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// What a store gives back at a start, in the bytes that it was given.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// Term, vote and what else is promised.
    pub hard_state: Option<Vec<u8>>,
    /// Entries in the order of their index.
    pub entries: Vec<Vec<u8>>,
    /// The snapshot before them.
    pub snapshot: Option<Vec<u8>>,
}

/// What an entry is for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// A new leader's first entry: with it, what earlier terms left behind is committed.
    Noop,
    /// The user's bytes.
    Data(Vec<u8>),
    /// Who votes from here on. It counts from the moment that it stands in a log.
    Members(Vec<MemberId>),
}

/// An entry of the log.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// The term of the leader that made it.
    pub term: u64,
    /// Its place, from 1.
    pub index: u64,
    /// What it is for.
    pub payload: Payload,
}

impl Entry {
    /// About how many bytes it takes.
    pub fn approximate_size(&self) -> usize {
        const HEAD: usize = 32;
        match &self.payload {
            Payload::Data(data) => data.len() + HEAD,
            Payload::Noop | Payload::Members(_) => HEAD,
        }
    }
}

/// What a snapshot stands for.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// The last entry that it holds.
    pub last: LogPosition,
    /// Who voted there.
    pub members: Vec<MemberId>,
    /// The user's state.
    pub data: Vec<u8>,
}

/// Bytes of a plain value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default() // plain values can't fail
}

/// A plain value from its bytes. The error names `what` was read.
pub fn decode<'a, T: Deserialize<'a>>(what: &str, bytes: &'a [u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|problem| format!("{what}: {problem}"))
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The state as of some entry, for those who lack what came before it.
    pub snapshot: Snapshot,
    /// The entry before the first one kept.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// About how many bytes the entries take.
    bytes: usize,
}

impl Log {
    /// From what a disk gave back. An error where it doesn't hold together.
    pub fn load(stored: &StoredState) -> Result<Log, String> {
        let snapshot: Snapshot = match &stored.snapshot {
            Some(bytes) => decode("snapshot", bytes)?,
            None => Snapshot::default(),
        };
        let entries: VecDeque<Entry> =
            stored.entries.iter().map(|bytes| decode("entry", bytes)).collect::<Result<_, _>>()?;
        if !snapshot.is_valid() || !entries.iter().all(Entry::is_valid) {
            return Err("a term or an index beyond any real one".into());
        }
        let follows = entries.iter().zip(entries.iter().skip(1)).all(|(a, b)| a.index + 1 == b.index);
        let reaches = entries.front().is_none_or(|first| first.index <= snapshot.last.1 + 1);
        if !follows || !reaches {
            return Err(format!("entries do not follow the snapshot at {}", snapshot.last.1));
        }
        let mut log = Log { base: snapshot.last, snapshot, ..Log::default() };
        log.entries = entries.into_iter().filter(|entry| entry.index > log.base.1).collect();
        log.bytes = log.entries.iter().map(Entry::approximate_size).sum();
        Ok(log)
    }

    /// The last entry's mark.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| (entry.term, entry.index))
    }

    /// About how many bytes the entries take.
    pub fn size_bytes(&self) -> usize {
        self.bytes
    }

    /// The first index that is kept as an entry.
    pub fn first_index(&self) -> u64 {
        self.base.1 + 1
    }

    /// The term of an entry; none where it isn't here any more, or not yet.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.1 {
            return Some(self.base.0);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// An entry.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.first_index())? as usize)
    }

    /// Entries from an index on, until so many bytes of users' data are full: one at least.
    pub fn entries_from(&self, index: u64, most: usize) -> Vec<Entry> {
        let mut room = most;
        let mut out = Vec::new();
        for entry in self.entries.iter().skip(index.saturating_sub(self.first_index()) as usize) {
            let size = entry.approximate_size();
            if size > room && !out.is_empty() {
                break;
            }
            room = room.saturating_sub(size);
            out.push(entry.clone());
        }
        out
    }

    /// Adds one entry; whatever stood from its index on is dropped.
    pub fn append(&mut self, entry: Entry) {
        let keep = entry.index.saturating_sub(self.first_index()) as usize;
        let dropped: usize =
            self.entries.range(keep.min(self.entries.len())..).map(Entry::approximate_size).sum();
        self.bytes = self.bytes + entry.approximate_size() - dropped;
        self.entries.truncate(keep);
        self.entries.push_back(entry);
    }

    /// Who votes, as of the last entry that says so.
    pub fn members(&self) -> Vec<MemberId> {
        let newest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        newest.unwrap_or_else(|| self.snapshot.members.clone())
    }

    /// Who voted as of an entry.
    pub fn members_at(&self, index: u64) -> Vec<MemberId> {
        let newest =
            self.entries.iter().rev().skip_while(|entry| entry.index > index).find_map(|entry| match &entry
                .payload
            {
                Payload::Members(members) => Some(members.clone()),
                _ => None,
            });
        newest.unwrap_or_else(|| self.snapshot.members.clone())
    }

    /// Whether a change of members stands behind an index.
    pub fn has_membership_change_after(&self, index: u64) -> bool {
        self.entries
            .iter()
            .rev()
            .take_while(|entry| entry.index > index)
            .any(|entry| matches!(entry.payload, Payload::Members(_)))
    }

    /// Takes a snapshot in place of what it holds, and keeps so many entries behind it, and about so many bytes, for those a little
    /// late. Gives the first index that the disk must keep.
    pub fn compact(&mut self, snapshot: Snapshot, behind: u64, bytes: usize) -> u64 {
        let (last, keep) = (snapshot.last.1, snapshot.last.1.saturating_sub(behind));
        self.snapshot = snapshot;
        let held =
            |log: &Log, entry: &Entry| entry.index > last || (entry.index > keep && log.bytes <= bytes);
        while self.entries.front().is_some_and(|entry| !held(self, entry)) {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.approximate_size();
                self.base = (entry.term, entry.index);
            }
        }
        self.first_index()
    }

    /// Takes a leader's snapshot in place of all that stands.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.base = snapshot.last;
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = snapshot;
    }
}
