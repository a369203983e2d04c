//! What an agreement must not forget, in one `redb` file: hard state, entries, a snapshot. A batch is one commit, synced
//! before the call returns. Each value has a checksum; a file that is damaged or another's is told, never repaired.

use milletwing_accord::{Batch, Stored};
use redb::backends::InMemoryBackend;
use redb::{Database, ReadableDatabase, ReadableTable, TableDefinition};
use std::path::{Path, PathBuf};

const META: TableDefinition<&str, &[u8]> = TableDefinition::new("meta");
const ENTRIES: TableDefinition<u64, &[u8]> = TableDefinition::new("entries");

/// Any fault of the file, in words.
pub type Fault = Box<dyn std::error::Error>;

/// An open file.
pub struct Archive(Database);

fn sealed(value: &[u8]) -> Vec<u8> {
    let mut out = crc32fast::hash(value).to_be_bytes().to_vec();
    out.extend_from_slice(value);
    out
}

fn unsealed(what: &str, bytes: &[u8]) -> Result<Vec<u8>, String> {
    let (sum, value) = bytes.split_at_checked(4).ok_or_else(|| format!("{what} is torn"))?;
    let fits = crc32fast::hash(value).to_be_bytes() == sum;
    fits.then(|| value.to_vec()).ok_or_else(|| format!("{what} does not fit its checksum"))
}

/// A number as [`Archive`]'s users keep it in a field; 0 where it isn't one.
pub fn number(bytes: Vec<u8>) -> u64 {
    <[u8; 8]>::try_from(bytes.as_slice()).map_or(0, u64::from_be_bytes)
}

impl Archive {
    /// One that ends with the process.
    pub fn memory() -> Result<Archive, Fault> {
        Ok(Archive(Database::builder().create_with_backend(InMemoryBackend::new())?))
    }

    /// Opens or makes the file. `cache`: bytes of memory that it may use for pages.
    pub fn file(path: &Path, cache: usize) -> Result<Archive, Fault> {
        Ok(Archive(Database::builder().set_cache_size(cache).create(path)?))
    }

    /// Opens the file, or moves one that can't be read out of the way and makes another: the machine then is one that
    /// lost its disk. Gives what was wrong, with the name under which the damaged file stays. The library may panic on a
    /// file that is no database any more.
    pub fn file_or_anew(path: &Path, cache: usize) -> Result<(Archive, Stored, Option<String>), String> {
        let open = || -> Result<(Archive, Stored), Fault> {
            let archive = Archive::file(path, cache)?;
            let stored = archive.load()?;
            Ok((archive, stored))
        };
        let hook = std::panic::take_hook();
        std::panic::set_hook(Box::new(|_| {}));
        let tried = std::panic::catch_unwind(open);
        std::panic::set_hook(hook);
        let why = match tried {
            Ok(Ok((archive, stored))) => return Ok((archive, stored, None)),
            Ok(Err(why)) => why.to_string(),
            Err(_) => "it can't be read".into(),
        };
        let aside = PathBuf::from(format!("{}.damaged", path.display()));
        let moved = |problem: std::io::Error| format!("{}: {why}; moving it away: {problem}", path.display());
        std::fs::rename(path, &aside).map_err(moved)?;
        let (archive, stored) = open().map_err(|again| format!("{}: {again}", path.display()))?;
        Ok((archive, stored, Some(format!("{}: {why}; it stays as {}", path.display(), aside.display()))))
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
        Ok(value.map(|value| unsealed(name, value.value())).transpose()?)
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
