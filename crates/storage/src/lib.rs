//! What an agreement must not forget, in one `redb` file: hard state, entries, a snapshot. A batch is one commit, synced
//! before the call returns. Each value has a checksum; a file that is damaged or another's is told, never repaired. A disk
//! that refuses is told apart from a file that is damaged: the first is tried again, the second never counts.

mod writer;

pub use writer::{Backoff, Report, Writer};

use derive_more::{Display, Error};
use milletwing_consensus::{Batch, Stored};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

/// A fault of the file or of the disk under it.
#[derive(Debug, Display, Error)]
pub enum Fault {
    /// The disk refused: no room, an error of the device, a name that can't be opened. What was committed before stands; the
    /// file must be opened anew before it is written to again.
    #[display("{_0}")]
    Refused(std::io::Error),
    /// The file is no database, or one whose content does not hold together.
    #[display("{_0}")]
    Damaged(#[error(not(source))] String),
}

impl From<redb::Error> for Fault {
    fn from(problem: redb::Error) -> Fault {
        match problem {
            // A file that is too short, or begins with something else, is reported by these kinds.
            redb::Error::Io(it) if matches!(it.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) => {
                Fault::Damaged(it.to_string())
            }
            redb::Error::Io(it) => Fault::Refused(it),
            redb::Error::PreviousIo | redb::Error::DatabaseAlreadyOpen | redb::Error::DatabaseClosed => {
                Fault::Refused(std::io::Error::other(problem.to_string()))
            }
            other => Fault::Damaged(other.to_string()),
        }
    }
}

macro_rules! faults_from {
    ($($kind:ident),*) => {
        $(impl From<redb::$kind> for Fault {
            fn from(problem: redb::$kind) -> Fault {
                redb::Error::from(problem).into()
            }
        })*
    };
}
faults_from!(DatabaseError, TransactionError, TableError, StorageError, CommitError);

/// What was found under a path.
pub struct Opened {
    /// The file.
    pub store: LogStore,
    /// What it holds.
    pub stored: Stored,
    /// What was wrong with an earlier file in its place, and where that stays.
    pub damage: Option<String>,
}

/// An open file.
pub struct LogStore(Database);

fn sealed(value: &[u8]) -> Vec<u8> {
    let mut out = crc32fast::hash(value).to_be_bytes().to_vec();
    out.extend_from_slice(value);
    out
}

fn unsealed(what: &str, bytes: &[u8]) -> Result<Vec<u8>, Fault> {
    let (sum, value) = bytes.split_at_checked(4).ok_or_else(|| Fault::Damaged(format!("{what} is torn")))?;
    let fits = crc32fast::hash(value).to_be_bytes() == sum;
    fits.then(|| value.to_vec()).ok_or_else(|| Fault::Damaged(format!("{what} does not fit its checksum")))
}

/// A number as [`LogStore`]'s users keep it in a field; 0 where it isn't one.
pub fn number(bytes: Vec<u8>) -> u64 {
    <[u8; 8]>::try_from(bytes.as_slice()).map_or(0, u64::from_be_bytes)
}

impl LogStore {
    /// One that ends with the process.
    pub fn memory() -> Result<LogStore, Fault> {
        Ok(LogStore(Database::builder().create_with_backend(InMemoryBackend::new())?))
    }

    /// Opens or makes the file. `cache`: bytes of memory that it may use for pages.
    pub fn file(path: &Path, cache: usize) -> Result<LogStore, Fault> {
        Ok(LogStore(Database::builder().set_cache_size(cache).create(path)?))
    }

    /// Over a backend of the caller's, as tests need it.
    pub fn with_backend(backend: impl StorageBackend) -> Result<LogStore, Fault> {
        Ok(LogStore(Database::builder().create_with_backend(backend)?))
    }

    /// Opens the file, or moves one that is damaged out of the way and makes another: the machine then is one that lost its
    /// disk. `sound`: whether what it holds can be used. A disk that refuses is an error, and nothing is moved. The library may
    /// panic on a file that is no database.
    pub fn file_or_anew(
        path: &Path,
        cache: usize,
        sound: impl Fn(&Stored) -> Result<(), String>,
    ) -> Result<Opened, Fault> {
        let open = || -> Result<(LogStore, Stored), Fault> {
            let store = LogStore::file(path, cache)?;
            let stored = store.load()?;
            sound(&stored).map_err(Fault::Damaged)?;
            Ok((store, stored))
        };
        let why = match quietly(open) {
            Ok((store, stored)) => return Ok(Opened { store, stored, damage: None }),
            Err(refused @ Fault::Refused(_)) => return Err(refused),
            Err(Fault::Damaged(why)) => why,
        };
        let aside = PathBuf::from(format!("{}.damaged", path.display()));
        std::fs::rename(path, &aside).map_err(Fault::Refused)?;
        let (store, stored) = quietly(open)?;
        let damage = format!("{}: {why}; it stays as {}", path.display(), aside.display());
        Ok(Opened { store, stored, damage: Some(damage) })
    }

    /// A field of its own, beside the agreement's.
    pub fn field(&self, name: &str) -> Result<Option<Vec<u8>>, Fault> {
        let read = self.0.begin_read()?;
        let meta = match read.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(problem) => return Err(problem.into()),
        };
        let value = meta.get(name)?;
        value.map(|value| unsealed(name, value.value())).transpose()
    }

    /// Writes fields, in one commit.
    pub fn put(&self, fields: &[(&str, &[u8])]) -> Result<(), Fault> {
        let write = self.0.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            write.open_table(ENTRIES)?;
            for (name, value) in fields {
                meta.insert(*name, sealed(value).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }

    /// What the file holds; of a new one, nothing.
    pub fn load(&self) -> Result<Stored, Fault> {
        let mut stored =
            Stored { hard: self.field("hard")?, snapshot: self.field("snapshot")?, entries: Vec::new() };
        let read = self.0.begin_read()?;
        let entries = match read.open_table(ENTRIES) {
            Ok(entries) => entries,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(stored),
            Err(problem) => return Err(problem.into()),
        };
        for entry in entries.iter()? {
            let (index, bytes) = entry?;
            stored.entries.push(unsealed(&format!("entry {}", index.value()), bytes.value())?);
        }
        Ok(stored)
    }

    /// Writes and syncs. After an error nothing may be sent that depends on it.
    pub fn write(&self, batch: &Batch) -> Result<(), Fault> {
        if batch.is_empty() {
            return Ok(());
        }
        let write = self.0.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            let mut entries = write.open_table(ENTRIES)?;
            if let Some(hard) = &batch.hard {
                meta.insert("hard", sealed(hard).as_slice())?;
            }
            if let Some((from, _)) = batch.entries.first() {
                entries.retain(|index, _| index < *from)?;
            }
            for (index, bytes) in &batch.entries {
                entries.insert(index, sealed(bytes).as_slice())?;
            }
            if let Some((snapshot, from)) = &batch.snapshot {
                meta.insert("snapshot", sealed(snapshot).as_slice())?;
                entries.retain(|index, _| index >= *from)?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

/// Runs what may panic in the file's library on bytes that are none of its own; a panic is a damaged file.
fn quietly<T>(run: impl FnOnce() -> Result<T, Fault>) -> Result<T, Fault> {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let tried = catch_unwind(AssertUnwindSafe(run));
    std::panic::set_hook(hook);
    tried.unwrap_or_else(|_| Err(Fault::Damaged("it can't be read".into())))
}
