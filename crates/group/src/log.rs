//! The log as the consensus library reads it: entries behind a snapshot, the hard state, and who the members were.
//! A mirror in memory of what the driver has written; the driver writes first.

use raft::prelude::{ConfState, Entry, HardState, Snapshot};
use raft::{Error, GetEntriesContext, RaftState, Storage, StorageError};

pub use milletwing_consensus::{Batch, StoredState};

/// The mirror.
#[derive(Clone, Debug, Default)]
pub struct Log {
    /// Term, vote and commit.
    pub hard: HardState,
    /// The snapshot kept, with the members as of its index.
    pub snapshot: Snapshot,
    /// Entries from `first` on.
    entries: Vec<Entry>,
    /// Index and term of the entry before the first one kept.
    base: (u64, u64),
}

fn read<M: protobuf::Message>(bytes: &[u8], what: &str) -> Result<M, String> {
    M::parse_from_bytes(bytes).map_err(|problem| format!("{what}: {problem}"))
}

/// Bytes of a message. It can't fail: all fields are plain.
pub fn bytes(message: &impl protobuf::Message) -> Vec<u8> {
    message.write_to_bytes().unwrap_or_default()
}

impl Log {
    /// From what a store holds. An error where that doesn't hold together: entries with gaps, or no snapshot.
    pub fn read(stored: &StoredState) -> Result<Log, String> {
        let snapshot: Snapshot = match &stored.snapshot {
            Some(bytes) => read(bytes, "snapshot")?,
            None => Snapshot::default(),
        };
        let hard = stored
            .hard_state
            .as_deref()
            .map_or(Ok(HardState::default()), |bytes| read(bytes, "hard state"))?;
        let entries: Vec<Entry> =
            stored.entries.iter().map(|bytes| read(bytes, "entry")).collect::<Result<_, _>>()?;
        let meta = (snapshot.get_metadata().index, snapshot.get_metadata().term);
        let follows = entries.windows(2).all(|pair| pair[0].index + 1 == pair[1].index);
        let reaches = entries.first().is_none_or(|first| first.index <= meta.0 + 1);
        let last = entries.last().map_or(meta.0, |last| last.index);
        if !follows || !reaches || last < meta.0 || hard.commit > last {
            return Err(format!(
                "entries do not follow the snapshot at {} or end before {}",
                meta.0, hard.commit
            ));
        }
        // Of entries that reach back behind the snapshot, the first only tells its term.
        let mut log = Log { hard, snapshot, entries, base: meta };
        // What a snapshot holds was committed, though the word of that may have been written later than the snapshot, or
        // never: the library would not start from it.
        log.hard.commit = log.hard.commit.max(meta.0);
        log.hard.term = log.hard.term.max(meta.1);
        if let Some(first) = log.entries.first().filter(|first| first.index <= meta.0) {
            log.base = (first.index, first.term);
            log.entries.remove(0);
        }
        Ok(log)
    }

    fn first(&self) -> u64 {
        self.base.0 + 1
    }

    fn last(&self) -> u64 {
        self.base.0 + self.entries.len() as u64
    }

    /// Adds entries; what stands from the first one's index on is replaced.
    pub fn append(&mut self, entries: &[Entry]) {
        let Some(from) = entries.first().map(|first| first.index) else { return };
        self.entries.truncate(from.saturating_sub(self.first()) as usize);
        self.entries.extend_from_slice(entries);
    }

    /// Takes a snapshot that came from the leader, in place of all that stands.
    pub fn restore(&mut self, snapshot: Snapshot) {
        let meta = snapshot.get_metadata();
        self.base = (meta.index, meta.term);
        self.hard.commit = self.hard.commit.max(meta.index);
        self.hard.term = self.hard.term.max(meta.term);
        self.entries.clear();
        self.snapshot = snapshot;
    }

    /// Keeps a snapshot of our own, and so many entries behind it for those who are a little late. Gives the first
    /// index that a store must keep: one before the entries, for its term.
    pub fn compact(&mut self, snapshot: Snapshot, behind: u64) -> u64 {
        let keep = snapshot.get_metadata().index.saturating_sub(behind);
        self.snapshot = snapshot;
        if keep > self.base.0 {
            let term = self.entries[(keep - self.first()) as usize].term;
            self.entries.drain(..(keep - self.base.0) as usize);
            self.base = (keep, term);
        }
        self.base.0
    }
}

/// The library owns its storage; the member reaches the mirror through this.
impl Storage for Log {
    fn initial_state(&self) -> raft::Result<RaftState> {
        let members: ConfState = self.snapshot.get_metadata().get_conf_state().clone();
        Ok(RaftState::new(self.hard.clone(), members))
    }
    fn entries(
        &self,
        low: u64,
        high: u64,
        most: impl Into<Option<u64>>,
        _: GetEntriesContext,
    ) -> raft::Result<Vec<Entry>> {
        if low < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        if high > self.last() + 1 {
            return Err(Error::Store(StorageError::Unavailable));
        }
        let at = |index: u64| (index - self.first()) as usize;
        let mut out = self.entries[at(low)..at(high)].to_vec();
        raft::util::limit_size(&mut out, most.into());
        Ok(out)
    }
    fn term(&self, index: u64) -> raft::Result<u64> {
        if index == self.base.0 {
            return Ok(self.base.1);
        }
        if index == self.snapshot.get_metadata().index {
            return Ok(self.snapshot.get_metadata().term);
        }
        if index < self.first() {
            return Err(Error::Store(StorageError::Compacted));
        }
        let entry = self.entries.get((index - self.first()) as usize);
        entry.map(|entry| entry.term).ok_or(Error::Store(StorageError::Unavailable))
    }
    fn first_index(&self) -> raft::Result<u64> {
        Ok(self.first())
    }
    fn last_index(&self) -> raft::Result<u64> {
        Ok(self.last())
    }
    fn snapshot(&self, request_index: u64, _: u64) -> raft::Result<Snapshot> {
        if self.snapshot.get_metadata().index < request_index {
            return Err(Error::Store(StorageError::SnapshotTemporarilyUnavailable));
        }
        Ok(self.snapshot.clone())
    }
}
