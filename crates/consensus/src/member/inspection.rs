//! What a disk holds, read without taking part.

use super::HardState;
use crate::log::{decode, Entry, Log, StoredState};
use crate::{LogPosition, MemberId};
use serde::Serialize;

/// What a stopped machine's disk holds, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Inspection {
    /// The term.
    pub term: u64,
    /// Whom it voted in that term.
    pub vote: Option<MemberId>,
    /// It lost its disk and does not count yet.
    pub lost: bool,
    /// The snapshot.
    pub snapshot: LogPosition,
    /// Who votes, as of the last entry.
    pub members: Vec<MemberId>,
    /// The entries behind the snapshot.
    pub entries: Vec<Entry>,
    /// The user's state in the snapshot.
    #[serde(skip)]
    pub data: Vec<u8>,
}

pub(super) fn hard_state(stored: &StoredState) -> Result<Option<HardState>, String> {
    let hard_state: Option<HardState> =
        stored.hard_state.as_deref().map(|bytes| decode("hard state", bytes)).transpose()?;
    match hard_state {
        Some(hard_state) if !hard_state.is_valid() => {
            Err("hard state: a term or an index beyond any real one".into())
        }
        sound => Ok(sound),
    }
}

/// Reads what a disk holds without taking part. Errors say what doesn't hold together.
pub fn inspect(stored: &StoredState) -> Result<Inspection, String> {
    let log = Log::load(stored)?;
    let hard_state = hard_state(stored)?.unwrap_or_default();
    Ok(Inspection {
        term: hard_state.term,
        vote: hard_state.vote,
        lost: hard_state.lost,
        snapshot: log.snapshot.last,
        members: log.members(),
        entries: log.entries_from(log.first_index(), usize::MAX),
        data: log.snapshot.data,
    })
}
