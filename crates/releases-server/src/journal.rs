//! The journal on disk: each change synced before any table that shows it is told. Freezes and exemptions that operators
//! added in service stand in it too.

use crate::settings::{ExemptionSettings, FreezeSettings};
use milletwing_releases::engine::{Change, State};
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use serde::{Deserialize, Serialize};
use std::path::Path;

/// The format; a later one is refused.
pub const FORMAT: u64 = 1;
/// Changes after which the state is written whole in their place.
const FOLD: u64 = 4096;

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const CHANGES: TableDefinition<u64, &[u8]> = TableDefinition::new("changes");

/// What operators added in service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OperatorAdditions {
    /// Freezes.
    pub freezes: Vec<FreezeSettings>,
    /// Exemptions.
    pub exemptions: Vec<ExemptionSettings>,
}

/// A journal that is open.
pub struct Journal {
    base: Database,
    next: u64,
}

type Fault = Box<dyn std::error::Error>;

fn seal<T: Serialize>(value: &T) -> Result<Vec<u8>, Fault> {
    let bytes = postcard::to_stdvec(value)?;
    Ok([crc32fast::hash(&bytes).to_be_bytes().as_slice(), &bytes].concat())
}

fn open<T: serde::de::DeserializeOwned>(what: &str, bytes: &[u8]) -> Result<T, Fault> {
    let (sum, value) = bytes.split_at_checked(4).ok_or_else(|| format!("{what} is torn"))?;
    if crc32fast::hash(value).to_be_bytes() != sum {
        return Err(format!("{what} does not fit its checksum").into());
    }
    Ok(postcard::from_bytes(value)?)
}

impl Journal {
    /// Opens it, or makes it where there is none; gives the state and what was added. `names` are the services and
    /// buildings that numbers stand for: one with others is refused.
    pub fn open(path: &Path, names: &[String]) -> Result<(Journal, State, OperatorAdditions), String> {
        let told = |why: &dyn std::fmt::Display| format!("journal {}: {why}", path.display());
        // The library may panic on a file that is no database any more.
        std::panic::catch_unwind(|| Journal::read(path, names))
            .unwrap_or_else(|_| Err("it can't be read".into()))
            .map_err(|why| told(&why))
    }

    fn read(path: &Path, names: &[String]) -> Result<(Journal, State, OperatorAdditions), Fault> {
        let base = Database::create(path)?;
        let write = base.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            write.open_table(CHANGES)?;
            if meta.get("format")?.is_none() {
                meta.insert("format", seal(&FORMAT)?.as_slice())?;
                meta.insert("names", seal(&names)?.as_slice())?;
            }
        }
        write.commit()?;
        let read = base.begin_read()?;
        let meta = read.open_table(META)?;
        let format = meta.get("format")?.ok_or("its format is missing")?;
        let format: u64 = open("format", format.value())?;
        if format != FORMAT {
            return Err(format!("it has format {format}; this version reads format {FORMAT}").into());
        }
        let known = meta.get("names")?.ok_or("its names are missing")?;
        let known: Vec<String> = open("names", known.value())?;
        // New names may come behind; those that stand must stay where they are.
        let moved = known.iter().find(|name| !names.contains(name));
        if let Some(name) = moved.filter(|_| known != names) {
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
            Some(state) => open("state", state.value())?,
            None => State::default(),
        };
        let added =
            meta.get("added")?.map(|added| open("added", added.value())).transpose()?.unwrap_or_default();
        let mut next = 0;
        for change in read.open_table(CHANGES)?.iter()? {
            let (number, change) = change?;
            next = number.value() + 1;
            let change: Change = open(&format!("change {}", number.value()), change.value())?;
            state.apply(&change);
        }
        drop((meta, read));
        Ok((Journal { base, next }, state, added))
    }

    /// Writes changes and syncs; `state` is what they have made.
    pub fn append(&mut self, changes: &[Change], state: &State) -> Result<(), String> {
        self.put(changes, state).map_err(|problem| problem.to_string())
    }

    fn put(&mut self, changes: &[Change], state: &State) -> Result<(), Fault> {
        if changes.is_empty() {
            return Ok(());
        }
        let write = self.base.begin_write()?;
        {
            let mut table = write.open_table(CHANGES)?;
            let fold = self.next + changes.len() as u64 >= FOLD;
            if fold {
                write.open_table(META)?.insert("state", seal(state)?.as_slice())?;
                table.retain(|_, _| false)?;
                self.next = 0;
            } else {
                for change in changes {
                    table.insert(self.next, seal(change)?.as_slice())?;
                    self.next += 1;
                }
            }
        }
        write.commit()?;
        Ok(())
    }

    /// Writes what operators have added.
    pub fn write_additions(&mut self, added: &OperatorAdditions) -> Result<(), String> {
        let put = || -> Result<(), Fault> {
            let write = self.base.begin_write()?;
            write.open_table(META)?.insert("added", seal(added)?.as_slice())?;
            write.commit()?;
            Ok(())
        };
        put().map_err(|problem| problem.to_string())
    }
}
