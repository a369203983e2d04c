//! What an agreement must not forget, in one `redb` file: hard state, entries, a snapshot. A batch is one commit, synced
//! before the call returns. Each value has a checksum; a file that is damaged or another's is told, never repaired. A disk
//! that refuses is told apart from a file that is damaged: the first is tried again, the second never counts.

mod writer;

pub use writer::{Backoff, RetryingWriter, WriteOutcome};

use derive_more::{Display, Error};
use milletwing_consensus::{Batch, StoredState};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, StorageBackend, TableDefinition};
use std::io::ErrorKind;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

/// A fault of the file or of the disk under it.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The disk refused: no room, an error of the device, a name that can't be opened. What was committed before stands; the
    /// file must be opened anew before it is written to again.
    #[display("{_0}")]
    Unavailable(std::io::Error),
    /// The file is no database, or one whose content does not hold together.
    #[display("{_0}")]
    Corrupt(#[error(not(source))] String),
}

impl From<redb::Error> for StoreError {
    fn from(problem: redb::Error) -> StoreError {
        match problem {
            // A file that is too short, or begins with something else, is reported by these kinds.
            redb::Error::Io(it) if matches!(it.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) => {
                StoreError::Corrupt(it.to_string())
            }
            redb::Error::Io(it) => StoreError::Unavailable(it),
            redb::Error::PreviousIo | redb::Error::DatabaseAlreadyOpen | redb::Error::DatabaseClosed => {
                StoreError::Unavailable(std::io::Error::other(problem.to_string()))
            }
            other => StoreError::Corrupt(other.to_string()),
        }
    }
}

macro_rules! faults_from {
    ($($kind:ident),*) => {
        $(impl From<redb::$kind> for StoreError {
            fn from(problem: redb::$kind) -> StoreError {
                redb::Error::from(problem).into()
            }
        })*
    };
}
faults_from!(DatabaseError, TransactionError, TableError, StorageError, CommitError);

/// What was found under a path.
pub struct OpenedStore {
    /// The file.
    pub store: LogStore,
    /// What it holds.
    pub stored: StoredState,
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

fn unsealed(what: &str, bytes: &[u8]) -> Result<Vec<u8>, StoreError> {
    let (sum, value) =
        bytes.split_at_checked(4).ok_or_else(|| StoreError::Corrupt(format!("{what} is torn")))?;
    let fits = crc32fast::hash(value).to_be_bytes() == sum;
    fits.then(|| value.to_vec())
        .ok_or_else(|| StoreError::Corrupt(format!("{what} does not fit its checksum")))
}

/// A number as [`LogStore`]'s users keep it in a field; 0 where it isn't one.
pub fn decode_u64(bytes: Vec<u8>) -> u64 {
    <[u8; 8]>::try_from(bytes.as_slice()).map_or(0, u64::from_be_bytes)
}

impl LogStore {
    /// One that ends with the process.
    pub fn in_memory() -> Result<LogStore, StoreError> {
        Ok(LogStore(Database::builder().create_with_backend(InMemoryBackend::new())?))
    }

    /// Opens or makes the file. `cache`: bytes of memory that it may use for pages.
    pub fn open(path: &Path, cache: usize) -> Result<LogStore, StoreError> {
        Ok(LogStore(Database::builder().set_cache_size(cache).create(path)?))
    }

    /// Over a backend of the caller's, as tests need it.
    pub fn with_backend(backend: impl StorageBackend) -> Result<LogStore, StoreError> {
        Ok(LogStore(Database::builder().create_with_backend(backend)?))
    }

    /// Opens the file, or moves one that is damaged out of the way and makes another: the machine then is one that lost its
    /// disk. `sound`: whether what it holds can be used. A disk that refuses is an error, and nothing is moved. The library may
    /// panic on a file that is no database.
    pub fn open_or_replace(
        path: &Path,
        cache: usize,
        sound: impl Fn(&StoredState) -> Result<(), String>,
    ) -> Result<OpenedStore, StoreError> {
        let open = || -> Result<(LogStore, StoredState), StoreError> {
            let store = LogStore::open(path, cache)?;
            let stored = store.load()?;
            sound(&stored).map_err(StoreError::Corrupt)?;
            Ok((store, stored))
        };
        let why = match quietly(open) {
            Ok((store, stored)) => return Ok(OpenedStore { store, stored, damage: None }),
            Err(refused @ StoreError::Unavailable(_)) => return Err(refused),
            Err(StoreError::Corrupt(why)) => why,
        };
        let aside = PathBuf::from(format!("{}.damaged", path.display()));
        std::fs::rename(path, &aside).map_err(StoreError::Unavailable)?;
        let (store, stored) = quietly(open)?;
        let damage = format!("{}: {why}; it stays as {}", path.display(), aside.display());
        Ok(OpenedStore { store, stored, damage: Some(damage) })
    }

    /// A field of its own, beside the agreement's.
    pub fn field(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
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
    pub fn put_fields(&self, fields: &[(&str, &[u8])]) -> Result<(), StoreError> {
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
    pub fn load(&self) -> Result<StoredState, StoreError> {
        let mut stored = StoredState {
            hard_state: self.field("hard")?,
            snapshot: self.field("snapshot")?,
            entries: Vec::new(),
        };
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
    pub fn write(&self, batch: &Batch) -> Result<(), StoreError> {
        if batch.is_empty() {
            return Ok(());
        }
        let write = self.0.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            let mut entries = write.open_table(ENTRIES)?;
            if let Some(hard) = &batch.hard_state {
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
fn quietly<T>(run: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let tried = catch_unwind(AssertUnwindSafe(run));
    std::panic::set_hook(hook);
    tried.unwrap_or_else(|_| Err(StoreError::Corrupt("it can't be read".into())))
}
