//! The journal on disk. Each change is synced before any table that reflects it is sent. Freezes and exemptions that
//! operators added at run time are stored in it too.

use crate::settings::{ExemptionSettings, FreezeSettings};
use milletwing_releases::engine::{Change, State};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// Version of the format; any other is rejected.
pub const FORMAT: u64 = 1;
/// Number of changes after which they are replaced by a snapshot of the state.
const SNAPSHOT_INTERVAL: u64 = 4096;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");

/// Freezes and exemptions that operators added at run time.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorAdditions {
    /// Added freezes.
    pub freezes: Vec<FreezeSettings>,
    /// Added exemptions.
    pub exemptions: Vec<ExemptionSettings>,
}

/// An open journal.
pub struct Journal {
    database: Database,
    /// Key of the next change.
    next: u64,
}

type AnyError = Box<dyn std::error::Error>;

/// Encodes a value, with its CRC-32 in front.
fn encode<T: Serialize>(value: &T) -> Result<Vec<u8>, AnyError> {
    let bytes = postcard::to_stdvec(value)?;
    Ok([crc32fast::hash(&bytes).to_be_bytes().as_slice(), &bytes].concat())
}

/// Verifies the checksum and decodes a value.
fn decode<T: serde::de::DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, AnyError> {
    let (sum, value) = bytes.split_at_checked(4).ok_or_else(|| format!("{what} is truncated"))?;
    if crc32fast::hash(value).to_be_bytes() != sum {
        return Err(format!("{what} does not match its checksum").into());
    }
    Ok(postcard::from_bytes(value)?)
}

impl Journal {
    /// Opens a journal, or creates it; returns the stored state and additions. `names` are the services and buildings, which
    /// the journal stores by index: a journal with other names is rejected.
    pub fn open(path: &Path, names: &[String]) -> Result<(Journal, State, OperatorAdditions), String> {
        let error = |why: &dyn std::fmt::Display| format!("journal {}: {why}", path.display());
        // redb may panic on a damaged database file.
        std::panic::catch_unwind(|| Journal::read(path, names))
            .unwrap_or_else(|_| Err("the file is damaged".into()))
            .map_err(|why| error(&why))
    }

    fn read(path: &Path, names: &[String]) -> Result<(Journal, State, OperatorAdditions), AnyError> {
        let database = Database::create(path)?;
        let write = database.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            write.open_table(CHANGES)?;
            if meta.get("format")?.is_none() {
                meta.insert("format", encode(&FORMAT)?.as_slice())?;
                meta.insert("names", encode(&names)?.as_slice())?;
            }
        }
        write.commit()?;
        let read = database.begin_read()?;
        let meta = read.open_table(META)?;
        let format = meta.get("format")?.ok_or("the format version is missing")?;
        let format: u64 = decode("format", format.value())?;
        if format != FORMAT {
            return Err(format!("it has format {format}; this version reads format {FORMAT}").into());
        }
        let known = meta.get("names")?.ok_or("the names are missing")?;
        let known: Vec<String> = decode("names", known.value())?;
        // Indices are stored, so the names and their order must not change.
        let missing = known.iter().find(|name| !names.contains(name));
        if let Some(name) = missing.filter(|_| known != names) {
            return Err(format!(
                "it knows `{name}`, which the file doesn't; a journal is for one set of names"
            )
            .into());
        }
        if known != names {
            return Err(
                "services or buildings were added; withdraw or finish what is out, then begin a new one"
                    .into(),
            );
        }
        let mut state = match meta.get("state")? {
            Some(state) => decode("state", state.value())?,
            None => State::default(),
        };
        let added =
            meta.get("added")?.map(|added| decode("added", added.value())).transpose()?.unwrap_or_default();
        let mut next = 0;
        for change in read.open_table(CHANGES)?.iter()? {
            let (number, change) = change?;
            next = number.value() + 1;
            let change: Change = decode(&format!("change {}", number.value()), change.value())?;
            state.apply(&change);
        }
        drop((meta, read));
        Ok((Journal { database, next }, state, added))
    }

    /// Writes changes in one transaction and syncs. `state` is the state with all of them applied.
    pub fn append(&mut self, changes: &[Change], state: &State) -> Result<(), String> {
        self.try_append(changes, state).map_err(|problem| problem.to_string())
    }

    fn try_append(&mut self, changes: &[Change], state: &State) -> Result<(), AnyError> {
        if changes.is_empty() {
            return Ok(());
        }
        let write = self.database.begin_write()?;
        {
            let mut table = write.open_table(CHANGES)?;
            let snapshot_due = self.next + changes.len() as u64 >= SNAPSHOT_INTERVAL;
            if snapshot_due {
                write.open_table(META)?.insert("state", encode(state)?.as_slice())?;
                table.retain(|_, _| false)?;
                self.next = 0;
            } else {
                for change in changes {
                    table.insert(self.next, encode(change)?.as_slice())?;
                    self.next += 1;
                }
            }
        }
        write.commit()?;
        Ok(())
    }

    /// Writes the additions of operators and syncs.
    pub fn write_additions(&mut self, added: &OperatorAdditions) -> Result<(), String> {
        let write_all = || -> Result<(), AnyError> {
            let write = self.database.begin_write()?;
            write.open_table(META)?.insert("added", encode(added)?.as_slice())?;
            write.commit()?;
            Ok(())
        };
        write_all().map_err(|problem| problem.to_string())
    }
}
