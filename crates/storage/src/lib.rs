//! Durable storage for the consensus log in one `redb` file: hard state, entries and a snapshot. Each batch
//! is one transaction, synced before the call returns. Every value has a checksum. A file that is corrupt or
//! not a database is reported, never repaired. Errors of the disk are distinguished from corruption: the
//! caller retries the former, while data from a corrupt file is never used.

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

/// An error of the file or of the underlying disk.
#[derive(Debug, Display, Error)]
pub enum StoreError {
    /// The disk failed: it is full, the device reported an error, or the file cannot be opened. Committed
    /// data is intact. The file must be reopened before the next write.
    #[display("{_0}")]
    Unavailable(std::io::Error),
    /// The file is not a database, or its content is inconsistent.
    #[display("{_0}")]
    Corrupt(#[error(not(source))] String),
}

impl From<redb::Error> for StoreError {
    fn from(error: redb::Error) -> StoreError {
        match error {
            // The library reports a file that is too short or starts with other data as one of these kinds.
            redb::Error::Io(error)
                if matches!(error.kind(), ErrorKind::InvalidData | ErrorKind::UnexpectedEof) =>
            {
                StoreError::Corrupt(error.to_string())
            }
            redb::Error::Io(error) => StoreError::Unavailable(error),
            redb::Error::PreviousIo | redb::Error::DatabaseAlreadyOpen | redb::Error::DatabaseClosed => {
                StoreError::Unavailable(std::io::Error::other(error.to_string()))
            }
            other => StoreError::Corrupt(other.to_string()),
        }
    }
}

macro_rules! impl_from_redb_errors {
    ($($kind:ident),*) => {
        $(impl From<redb::$kind> for StoreError {
            fn from(error: redb::$kind) -> StoreError {
                redb::Error::from(error).into()
            }
        })*
    };
}
impl_from_redb_errors!(DatabaseError, TransactionError, TableError, StorageError, CommitError);

/// The result of opening a file.
pub struct OpenedStore {
    /// The open file.
    pub store: LogStore,
    /// The data in the file.
    pub stored: StoredState,
    /// Why an earlier file in its place was rejected, and where that file was moved.
    pub damage: Option<String>,
}

/// An open log store.
pub struct LogStore(Database);

/// A value preceded by its checksum.
fn with_checksum(value: &[u8]) -> Vec<u8> {
    let mut out = crc32fast::hash(value).to_be_bytes().to_vec();
    out.extend_from_slice(value);
    out
}

/// Checks and removes the checksum of a stored value. `what` names the value in the error message.
fn verify_checksum(what: &str, bytes: &[u8]) -> Result<Vec<u8>, StoreError> {
    let (checksum, value) =
        bytes.split_at_checked(4).ok_or_else(|| StoreError::Corrupt(format!("{what} is truncated")))?;
    let matches = crc32fast::hash(value).to_be_bytes() == checksum;
    matches
        .then(|| value.to_vec())
        .ok_or_else(|| StoreError::Corrupt(format!("{what} does not match its checksum")))
}

/// Decodes a big-endian number as users of [`LogStore`] store it in a field; 0 if `bytes` is not 8 bytes
/// long.
pub fn decode_u64(bytes: Vec<u8>) -> u64 {
    <[u8; 8]>::try_from(bytes.as_slice()).map_or(0, u64::from_be_bytes)
}

impl LogStore {
    /// Creates a store in memory. Its data is lost when the process ends.
    pub fn in_memory() -> Result<LogStore, StoreError> {
        Ok(LogStore(Database::builder().create_with_backend(InMemoryBackend::new())?))
    }

    /// Opens the file, or creates it. `cache` is the memory for cached pages, in bytes.
    pub fn open(path: &Path, cache: usize) -> Result<LogStore, StoreError> {
        Ok(LogStore(Database::builder().set_cache_size(cache).create(path)?))
    }

    /// Opens a store on the given backend, for tests.
    pub fn with_backend(backend: impl StorageBackend) -> Result<LogStore, StoreError> {
        Ok(LogStore(Database::builder().create_with_backend(backend)?))
    }

    /// Opens the file. If it is corrupt, or `validate` rejects its data, moves it aside and creates an empty
    /// one: the replica then counts as one that lost its disk. If the disk fails, this is an error and
    /// nothing is moved. The library may panic on a file that is not a database; such a file is treated as
    /// corrupt.
    pub fn open_or_replace(
        path: &Path,
        cache: usize,
        validate: impl Fn(&StoredState) -> Result<(), String>,
    ) -> Result<OpenedStore, StoreError> {
        let open = || -> Result<(LogStore, StoredState), StoreError> {
            let store = LogStore::open(path, cache)?;
            let stored = store.load()?;
            validate(&stored).map_err(StoreError::Corrupt)?;
            Ok((store, stored))
        };
        let reason = match catch_panic(open) {
            Ok((store, stored)) => return Ok(OpenedStore { store, stored, damage: None }),
            Err(error @ StoreError::Unavailable(_)) => return Err(error),
            Err(StoreError::Corrupt(reason)) => reason,
        };
        let moved_to = PathBuf::from(format!("{}.damaged", path.display()));
        std::fs::rename(path, &moved_to).map_err(StoreError::Unavailable)?;
        let (store, stored) = catch_panic(open)?;
        let damage = format!("{}: {reason}; the file was moved to {}", path.display(), moved_to.display());
        Ok(OpenedStore { store, stored, damage: Some(damage) })
    }

    /// Reads a field, which is stored beside the consensus data.
    pub fn field(&self, name: &str) -> Result<Option<Vec<u8>>, StoreError> {
        let read = self.0.begin_read()?;
        let meta = match read.open_table(META) {
            Ok(meta) => meta,
            Err(redb::TableError::TableDoesNotExist(_)) => return Ok(None),
            Err(error) => return Err(error.into()),
        };
        let value = meta.get(name)?;
        value.map(|value| verify_checksum(name, value.value())).transpose()
    }

    /// Writes fields in one transaction.
    pub fn put_fields(&self, fields: &[(&str, &[u8])]) -> Result<(), StoreError> {
        let write = self.0.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            write.open_table(ENTRIES)?;
            for (name, value) in fields {
                meta.insert(*name, with_checksum(value).as_slice())?;
            }
        }
        write.commit()?;
        Ok(())
    }

    /// Reads all consensus data. A new file has none.
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
            Err(error) => return Err(error.into()),
        };
        for entry in entries.iter()? {
            let (index, bytes) = entry?;
            stored.entries.push(verify_checksum(&format!("entry {}", index.value()), bytes.value())?);
        }
        Ok(stored)
    }

    /// Writes and syncs a batch. After an error, nothing that depends on the batch may be sent.
    pub fn write(&self, batch: &Batch) -> Result<(), StoreError> {
        if batch.is_empty() {
            return Ok(());
        }
        let write = self.0.begin_write()?;
        {
            let mut meta = write.open_table(META)?;
            let mut entries = write.open_table(ENTRIES)?;
            if let Some(hard_state) = &batch.hard_state {
                meta.insert("hard", with_checksum(hard_state).as_slice())?;
            }
            if let Some((from, _)) = batch.entries.first() {
                entries.retain(|index, _| index < *from)?;
            }
            for (index, bytes) in &batch.entries {
                entries.insert(index, with_checksum(bytes).as_slice())?;
            }
            if let Some((snapshot, from)) = &batch.snapshot {
                meta.insert("snapshot", with_checksum(snapshot).as_slice())?;
                entries.retain(|index, _| index >= *from)?;
            }
        }
        write.commit()?;
        Ok(())
    }
}

/// Runs an operation in which the library may panic if it did not write the file's bytes itself. A panic is
/// reported as corruption.
fn catch_panic<T>(run: impl FnOnce() -> Result<T, StoreError>) -> Result<T, StoreError> {
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let result = catch_unwind(AssertUnwindSafe(run));
    std::panic::set_hook(hook);
    result.unwrap_or_else(|_| Err(StoreError::Corrupt("the file cannot be read".into())))
}
