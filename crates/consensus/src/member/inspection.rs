//! Read-only inspection of the data on a replica's disk.

use super::HardState;
use crate::log::{decode, Entry, Log, StoredState};
use crate::{LogPosition, MemberId};
use serde::Serialize;

/// The data on the disk of a stopped replica, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Inspection {
    /// The current term.
    pub term: u64,
    /// The candidate that the replica voted for in that term.
    pub vote: Option<MemberId>,
    /// The replica lost its disk and has not recovered yet.
    pub lost: bool,
    /// Position of the snapshot.
    pub snapshot: LogPosition,
    /// The voting members as of the last entry.
    pub members: Vec<MemberId>,
    /// The entries after the snapshot.
    pub entries: Vec<Entry>,
    /// The application state in the snapshot.
    #[serde(skip)]
    pub data: Vec<u8>,
}

/// Decodes the hard state, if there is any, and checks that it is plausible.
pub(super) fn read_hard_state(stored: &StoredState) -> Result<Option<HardState>, String> {
    let read_hard_state: Option<HardState> =
        stored.hard_state.as_deref().map(|bytes| decode("hard state", bytes)).transpose()?;
    match read_hard_state {
        Some(read_hard_state) if !read_hard_state.is_valid() => {
            Err("hard state: term or index out of range".into())
        }
        sound => Ok(sound),
    }
}

/// Decodes the data on a disk without starting a replica. Fails if the data is inconsistent.
pub fn inspect(stored: &StoredState) -> Result<Inspection, String> {
    let log = Log::load(stored)?;
    let read_hard_state = read_hard_state(stored)?.unwrap_or_default();
    Ok(Inspection {
        term: read_hard_state.term,
        vote: read_hard_state.voted_for,
        lost: read_hard_state.disk_lost,
        snapshot: log.snapshot.last,
        members: log.members(),
        entries: log.entries_from(log.first_index(), usize::MAX),
        data: log.snapshot.data,
    })
}
