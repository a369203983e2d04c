//! What a disk holds, read without taking part.

use super::Hard;
use crate::log::{read, Entry, Log, Stored};
use crate::{Id, LogPosition};
use serde::Serialize;

/// What a stopped machine's disk holds, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Inspection {
    /// The term.
    pub term: u64,
    /// Whom it voted in that term.
    pub vote: Option<Id>,
    /// It lost its disk and does not count yet.
    pub lost: bool,
    /// The snapshot.
    pub snapshot: LogPosition,
    /// Who votes, as of the last entry.
    pub members: Vec<Id>,
    /// The entries behind the snapshot.
    pub entries: Vec<Entry>,
    /// The user's state in the snapshot.
    #[serde(skip)]
    pub data: Vec<u8>,
}

pub(super) fn hard_state(stored: &Stored) -> Result<Option<Hard>, String> {
    let hard: Option<Hard> = stored.hard.as_deref().map(|bytes| read("hard state", bytes)).transpose()?;
    match hard {
        Some(hard) if !hard.sound() => Err("hard state: a term or an index beyond any real one".into()),
        sound => Ok(sound),
    }
}

/// Reads what a disk holds without taking part. Errors say what doesn't hold together.
pub fn inspect(stored: &Stored) -> Result<Inspection, String> {
    let log = Log::load(stored)?;
    let hard = hard_state(stored)?.unwrap_or_default();
    Ok(Inspection {
        term: hard.term,
        vote: hard.vote,
        lost: hard.lost,
        snapshot: log.snapshot.last,
        members: log.members(),
        entries: log.from(log.first(), usize::MAX),
        data: log.snapshot.data,
    })
}
