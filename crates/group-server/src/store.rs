//! The record on disk: hard state, entries and snapshot, synced before any message that depends on them leaves. Each
//! value has a checksum; a store that is damaged, another member's or of a newer format is told, never repaired.

use crate::settings::{Keep, Settings};
use milletwing_group::log::{Batch, StoredState};
use milletwing_group::member::founding;
use milletwing_group::MemberId;
use milletwing_storage::{decode_u64, LogStore, StoreError};
use std::path::Path;

/// The format of the store; a later one is refused.
pub const FORMAT: u64 = 1;

/// Bytes of pages in memory.
const CACHE: usize = 16 << 20;

/// A store that is open.
pub struct Store {
    base: LogStore,
    /// What it is known by: drawn when it was made.
    pub id: u128,
    /// New with each opening.
    pub series: u64,
}

impl Store {
    fn base(keep: &Keep) -> Result<LogStore, String> {
        match keep {
            Keep::Memory => LogStore::in_memory(),
            Keep::File(path) => LogStore::open(path, CACHE),
        }
        .map_err(|problem| problem.to_string())
    }

    /// Makes a store: a founding member's, or an empty one for a member that is yet to be added. An error where there
    /// is one already.
    pub fn make(settings: &Settings, found: bool) -> Result<(), String> {
        let Keep::File(path) = &settings.store else {
            return Err("store: one in memory is made at each start".into());
        };
        if path.exists() {
            return Err(format!("store {}: there is one already", path.display()));
        }
        if found && !settings.members.contains_key(&settings.member) {
            return Err(format!(
                "members: member {} is not among those that found the group",
                settings.member
            ));
        }
        let base = Store::base(&settings.store).map_err(|why| format!("store {}: {why}", path.display()))?;
        Store::fill(&base, settings, found).map_err(|why| format!("store {}: {why}", path.display()))
    }

    fn fill(base: &LogStore, settings: &Settings, found: bool) -> Result<(), StoreError> {
        let stored = if found { founding(&settings.members) } else { StoredState::default() };
        let (format, member) = (FORMAT.to_be_bytes(), settings.member.to_be_bytes());
        let id = rand::random::<u128>().to_be_bytes();
        let mut fields: Vec<(&str, &[u8])> = vec![
            ("format", &format),
            ("group", settings.group.as_bytes()),
            ("member", &member),
            ("store", &id),
        ];
        fields.extend(stored.hard_state.iter().map(|hard| ("hard", hard.as_slice())));
        fields.extend(stored.snapshot.iter().map(|snapshot| ("snapshot", snapshot.as_slice())));
        base.put_fields(&fields)
    }

    /// Opens the store of a member. Errors are for operators.
    pub fn open(settings: &Settings) -> Result<(Store, StoredState), String> {
        // The library may panic on a file that is no database any more.
        std::panic::catch_unwind(|| Store::read(settings)).unwrap_or_else(|_| match &settings.store {
            Keep::File(path) => Err(Store::damaged(path, settings.member, &"it can't be read")),
            Keep::Memory => Err("store: the one in memory failed".into()),
        })
    }

    fn read(settings: &Settings) -> Result<(Store, StoredState), String> {
        let member = settings.member;
        let base = match &settings.store {
            Keep::Memory => {
                let base = Store::base(&Keep::Memory)?;
                // A single founder may begin anew each time; any other comes back as a newcomer.
                let alone = settings.members.len() == 1 && settings.members.contains_key(&member);
                Store::fill(&base, settings, alone).map_err(|why| why.to_string())?;
                base
            }
            Keep::File(path) if !path.exists() => {
                return Err(format!(
                    "store {}: there is none. `milletwing group init` makes it where the group is founded. A member \
                     that lost its store never comes back under its number: remove member {member}, give it a new \
                     number, make its store by `milletwing group join`, and add it",
                    path.display()
                ));
            }
            Keep::File(path) => {
                Store::base(&settings.store).map_err(|why| Store::damaged(path, member, &why))?
            }
        };
        let place = match &settings.store {
            Keep::File(path) => path.clone(),
            Keep::Memory => "memory".into(),
        };
        let (id, stored) =
            Store::check(&base, settings).map_err(|why| Store::damaged(&place, member, &why))??;
        let series = Store::begin(&base).map_err(|why| format!("store {}: {why}", place.display()))?;
        Ok((Store { base, id, series }, stored))
    }

    fn damaged(path: &Path, member: MemberId, why: &dyn std::fmt::Display) -> String {
        format!(
            "store {}: {why}. If it is damaged, this member must not vote under its number again: remove member \
             {member}, give it a new number, make its store by `milletwing group join`, and add it",
            path.display()
        )
    }

    /// What it holds, if it is this member's. The outer error is a fault of the store, the inner one of its use.
    #[allow(clippy::type_complexity)]
    fn check(
        base: &LogStore,
        settings: &Settings,
    ) -> Result<Result<(u128, StoredState), String>, StoreError> {
        let needed = |name: &str| -> Result<Vec<u8>, StoreError> {
            base.field(name)?.ok_or_else(|| StoreError::Corrupt(format!("{name} is missing")))
        };
        let format = decode_u64(needed("format")?);
        if format != FORMAT {
            return Ok(Err(format!("the store has format {format}; this version reads format {FORMAT}")));
        }
        let group = String::from_utf8_lossy(&needed("group")?).into_owned();
        if group != settings.group {
            return Ok(Err(format!("the store belongs to group {group}, not to {}", settings.group)));
        }
        let member = decode_u64(needed("member")?);
        if member != settings.member {
            return Ok(Err(format!("the store belongs to member {member}, not to {}", settings.member)));
        }
        let id = <[u8; 16]>::try_from(needed("store")?.as_slice()).map_or(0, u128::from_be_bytes);
        Ok(Ok((id, base.load()?)))
    }

    fn begin(base: &LogStore) -> Result<u64, StoreError> {
        let series = base.field("series")?.map_or(0, decode_u64) + 1;
        base.put_fields(&[("series", &series.to_be_bytes())])?;
        Ok(series)
    }

    /// Writes and syncs. After an error nothing more may be sent that depends on it.
    pub fn write(&self, batch: &Batch) -> Result<(), String> {
        self.base.write(batch).map_err(|problem| problem.to_string())
    }
}
