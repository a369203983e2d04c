//! The log in memory (a snapshot and the entries after it) and the encoding of both on disk.

use crate::{LogPosition, MemberId};
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// Data that must be on disk before any message that depends on it is sent. Empty parts leave the disk
/// unchanged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Batch {
    /// The encoded hard state: term, vote and recovery state.
    pub hard_state: Option<Vec<u8>>,
    /// Encoded entries with their indexes. They replace all stored entries from the first one's index on.
    pub entries: Vec<(u64, Vec<u8>)>,
    /// An encoded snapshot, and the first index of the entries that are kept with it.
    pub snapshot: Option<(Vec<u8>, u64)>,
}

impl Batch {
    /// Whether there is nothing to write.
    pub fn is_empty(&self) -> bool {
        self.hard_state.is_none() && self.entries.is_empty() && self.snapshot.is_none()
    }
}

/// What a store returns at startup, encoded as it was written.
#[derive(Clone, Debug, Default)]
pub struct StoredState {
    /// The hard state: term, vote and recovery state.
    pub hard_state: Option<Vec<u8>>,
    /// Entries in the order of their indexes.
    pub entries: Vec<Vec<u8>>,
    /// The snapshot that precedes the entries.
    pub snapshot: Option<Vec<u8>>,
}

/// The content of an entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Payload {
    /// The first entry of a new leader. Committing it commits the entries of earlier terms.
    Noop,
    /// Application data.
    Data(Vec<u8>),
    /// The voting members from this entry on. It takes effect as soon as it is in a log, before it is
    /// committed.
    Members(Vec<MemberId>),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that created the entry.
    pub term: u64,
    /// Position in the log, starting at 1.
    pub index: u64,
    /// Content of the entry.
    pub payload: Payload,
}

impl Entry {
    /// Approximate size in bytes.
    pub fn approximate_size(&self) -> usize {
        const OVERHEAD: usize = 32;
        match &self.payload {
            Payload::Data(data) => data.len() + OVERHEAD,
            Payload::Noop | Payload::Members(_) => OVERHEAD,
        }
    }
}

/// The application state up to some entry, which stands in for the log up to there.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Position of the last entry that the snapshot includes.
    pub last: LogPosition,
    /// The voting members at that position.
    pub members: Vec<MemberId>,
    /// The application state.
    pub data: Vec<u8>,
}

/// Encodes a plain value.
pub fn encode<T: Serialize>(value: &T) -> Vec<u8> {
    postcard::to_stdvec(value).unwrap_or_default() // plain values always encode
}

/// Decodes a plain value. `what` names the value in the error message.
pub fn decode<'a, T: Deserialize<'a>>(what: &str, bytes: &'a [u8]) -> Result<T, String> {
    postcard::from_bytes(bytes).map_err(|problem| format!("{what}: {problem}"))
}

/// A snapshot and the entries after it.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// The application state at some entry, for replicas that lack the entries before it.
    pub snapshot: Snapshot,
    /// Position of the entry before the first one kept.
    base: LogPosition,
    entries: VecDeque<Entry>,
    /// Approximate size of the entries in bytes.
    bytes: usize,
}

impl Log {
    /// Restores the log from disk. Fails if the stored data is malformed or inconsistent.
    pub fn load(stored: &StoredState) -> Result<Log, String> {
        let snapshot: Snapshot = match &stored.snapshot {
            Some(bytes) => decode("snapshot", bytes)?,
            None => Snapshot::default(),
        };
        let entries: VecDeque<Entry> =
            stored.entries.iter().map(|bytes| decode("entry", bytes)).collect::<Result<_, _>>()?;
        if !snapshot.is_valid() || !entries.iter().all(Entry::is_valid) {
            return Err("term or index out of range".into());
        }
        let consecutive = entries.iter().zip(entries.iter().skip(1)).all(|(a, b)| a.index + 1 == b.index);
        let adjoins_snapshot = entries.front().is_none_or(|first| first.index <= snapshot.last.1 + 1);
        if !consecutive || !adjoins_snapshot {
            return Err(format!("entries do not follow the snapshot at {}", snapshot.last.1));
        }
        let mut log = Log { base: snapshot.last, snapshot, ..Log::default() };
        log.entries = entries.into_iter().filter(|entry| entry.index > log.base.1).collect();
        log.bytes = log.entries.iter().map(Entry::approximate_size).sum();
        Ok(log)
    }

    /// Position of the last entry.
    pub fn last_position(&self) -> LogPosition {
        self.entries.back().map_or(self.base, |entry| (entry.term, entry.index))
    }

    /// Approximate size of the entries in bytes.
    pub fn size_bytes(&self) -> usize {
        self.bytes
    }

    /// Index of the first entry that is kept.
    pub fn first_index(&self) -> u64 {
        self.base.1 + 1
    }

    /// The term of an entry, or `None` if the entry was compacted away or does not exist yet.
    pub fn term(&self, index: u64) -> Option<u64> {
        if index == self.base.1 {
            return Some(self.base.0);
        }
        self.get(index).map(|entry| entry.term)
    }

    /// Returns the entry at an index, if it is kept.
    pub fn get(&self, index: u64) -> Option<&Entry> {
        self.entries.get(index.checked_sub(self.first_index())? as usize)
    }

    /// Entries from an index on, up to `max_bytes` in total, but at least one if there is any.
    pub fn entries_from(&self, index: u64, max_bytes: usize) -> Vec<Entry> {
        let mut remaining = max_bytes;
        let mut out = Vec::new();
        for entry in self.entries.iter().skip(index.saturating_sub(self.first_index()) as usize) {
            let size = entry.approximate_size();
            if size > remaining && !out.is_empty() {
                break;
            }
            remaining = remaining.saturating_sub(size);
            out.push(entry.clone());
        }
        out
    }

    /// Appends an entry, after dropping all entries from its index on.
    pub fn append(&mut self, entry: Entry) {
        let keep = entry.index.saturating_sub(self.first_index()) as usize;
        let dropped: usize =
            self.entries.range(keep.min(self.entries.len())..).map(Entry::approximate_size).sum();
        self.bytes = self.bytes + entry.approximate_size() - dropped;
        self.entries.truncate(keep);
        self.entries.push_back(entry);
    }

    /// The voting members, according to the latest membership entry.
    pub fn members(&self) -> Vec<MemberId> {
        let newest = self.entries.iter().rev().find_map(|entry| match &entry.payload {
            Payload::Members(members) => Some(members.clone()),
            _ => None,
        });
        newest.unwrap_or_else(|| self.snapshot.members.clone())
    }

    /// The voting members as of an entry.
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

    /// Whether the log has a membership change after an index.
    pub fn has_membership_change_after(&self, index: u64) -> bool {
        self.entries
            .iter()
            .rev()
            .take_while(|entry| entry.index > index)
            .any(|entry| matches!(entry.payload, Payload::Members(_)))
    }

    /// Replaces the stored snapshot, and drops entries that it includes: all but the last `behind` of them,
    /// and more while the entries exceed `bytes`. The kept ones serve followers that are slightly behind.
    /// Returns the first index that the disk must keep.
    pub fn compact(&mut self, snapshot: Snapshot, keep_behind: u64, max_bytes: usize) -> u64 {
        let (last, keep) = (snapshot.last.1, snapshot.last.1.saturating_sub(keep_behind));
        self.snapshot = snapshot;
        let is_kept =
            |log: &Log, entry: &Entry| entry.index > last || (entry.index > keep && log.bytes <= max_bytes);
        while self.entries.front().is_some_and(|entry| !is_kept(self, entry)) {
            if let Some(entry) = self.entries.pop_front() {
                self.bytes -= entry.approximate_size();
                self.base = (entry.term, entry.index);
            }
        }
        self.first_index()
    }

    /// Replaces the whole log by a snapshot from a leader.
    pub fn restore(&mut self, snapshot: Snapshot) {
        self.base = snapshot.last;
        self.entries.clear();
        self.bytes = 0;
        self.snapshot = snapshot;
    }
}
