//! Messages between replicas.

use crate::log::Entry;
use crate::{LogPosition, MemberId};
use serde::{Deserialize, Serialize};

/// A message from one replica to another.
#[allow(missing_docs)] // the doc comment of each variant describes its fields
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote in a term, for a candidate whose log ends at `last`. With `pre_vote` it only asks
    /// whether the vote would be granted, and the answer promises nothing.
    RequestVote { term: u64, pre_vote: bool, last: LogPosition },
    /// Answers `RequestVote`.
    VoteResponse { term: u64, pre_vote: bool, granted: bool },
    /// A leader's entries after `previous`, or a heartbeat without entries, and the leader's commit index. The
    /// response repeats `round`.
    AppendEntries { term: u64, previous: LogPosition, entries: Vec<Entry>, commit: u64, round: u64 },
    /// Answers `AppendEntries`: the index up to which the follower holds the leader's entries on disk, or
    /// after a rejection the index after which the leader should retry. `quorum_eligible` says whether the
    /// follower may be counted for a majority.
    AppendResponse { term: u64, accepted: bool, match_index: u64, round: u64, quorum_eligible: bool },
    /// A chunk of a snapshot, sent in place of entries that the leader no longer has: the position and
    /// members of the snapshot, the chunk's bytes from `offset` on, and the total size and checksum of the
    /// data.
    InstallSnapshot {
        term: u64,
        last: LogPosition,
        members: Vec<MemberId>,
        offset: u64,
        chunk: Vec<u8>,
        total: u64,
        checksum: u32,
        round: u64,
    },
    /// Answers `InstallSnapshot`: how many bytes of that snapshot have arrived. The next chunk starts there.
    SnapshotChunkResponse { term: u64, last: LogPosition, received: u64, round: u64, quorum_eligible: bool },
    /// Asks the receiver to start an election at once, because the leader steps aside.
    TransferLeadership { term: u64 },
    /// Tells a follower that its disk no longer holds entries that it acknowledged to this leader: the disk
    /// was rolled back to an earlier state, and must be treated as lost.
    DistrustDisk { term: u64 },
    /// Asks for the receiver's state, after a start or a loss of the disk. `query_id` is drawn at random when
    /// the recovery begins.
    QueryState { query_id: u64 },
    /// Answers `QueryState`. `integrity` says how far the reported state can be relied on.
    StateReport {
        query_id: u64,
        term: u64,
        last: LogPosition,
        members: Vec<MemberId>,
        integrity: StateIntegrity,
    },
}

/// How far the state that a replica reports can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateIntegrity {
    /// It includes everything that the replica promised.
    Complete,
    /// The disk may have been rolled back to an earlier state, or accepts no writes: the replica has not
    /// confirmed its state since its start, or cannot keep promises now.
    Unconfirmed,
    /// The replica's disk was lost.
    Lost,
}
