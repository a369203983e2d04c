//! What machines of the core say to each other.

use crate::log::Entry;
use crate::{LogPosition, MemberId};
use serde::{Deserialize, Serialize};

/// What machines of the core say to each other.
#[allow(missing_docs)] // each variant's line says what its fields are
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Would you vote for me in this term? `early`: only a question, nothing is promised.
    RequestVote { term: u64, pre_vote: bool, last: LogPosition },
    /// The answer.
    VoteResponse { term: u64, pre_vote: bool, granted: bool },
    /// A leader's entries, or none; `round` is given back.
    AppendEntries { term: u64, previous: LogPosition, entries: Vec<Entry>, commit: u64, round: u64 },
    /// What stands on the follower's disk up to `matched`, or where the leader should try next. `counts`: this machine
    /// may be counted for a majority.
    AppendResponse { term: u64, accepted: bool, match_index: u64, round: u64, quorum_eligible: bool },
    /// A part of a snapshot in place of entries that the leader has no more: what it stands for, its bytes from `offset` on,
    /// how many there are in all, and their checksum.
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
    /// So much of that snapshot is here: the next part begins there.
    SnapshotChunkResponse { term: u64, last: LogPosition, received: u64, round: u64, quorum_eligible: bool },
    /// Stand for election at once: the leader leaves.
    TransferLeadership { term: u64 },
    /// What you told this leader is on your disk no more: an earlier state of it has been put back. Take it for lost.
    DistrustDisk { term: u64 },
    /// A machine without memory asks what there is. `call` is drawn at its start.
    QueryState { query_id: u64 },
    /// The answer, and how far the one who answers can be relied on.
    StateReport {
        query_id: u64,
        term: u64,
        last: LogPosition,
        members: Vec<MemberId>,
        integrity: StateIntegrity,
    },
}

/// How far what a machine holds can be relied on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum StateIntegrity {
    /// Everything that it promised.
    Complete,
    /// What its disk gave back at its start, or promises that can't be kept right now: the disk may be an earlier state of
    /// itself, or takes no writes.
    Unconfirmed,
    /// Its disk was lost.
    Lost,
}
