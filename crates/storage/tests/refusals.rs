//! Disk errors at any call in the middle of a batch: the batch is retried until it is written, and a start in
//! the meantime finds either the state before the batch or all of it.

use milletwing_consensus::{Batch, StoredState};
use milletwing_storage::{LogStore, RetryingWriter, StoreError, WriteOutcome};
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// No limit on calls.
const UNLIMITED: usize = usize::MAX;

/// A disk in memory that allows a limited number of write calls, and fails all further ones.
#[derive(Clone, Debug)]
struct Disk {
    bytes: Arc<InMemoryBackend>,
    remaining_calls: Arc<AtomicUsize>,
}

impl Disk {
    fn new() -> Disk {
        Disk {
            bytes: Arc::new(InMemoryBackend::new()),
            remaining_calls: Arc::new(AtomicUsize::new(UNLIMITED)),
        }
    }

    /// Allows this many more write calls.
    fn allow(&self, calls: usize) {
        self.remaining_calls.store(calls, Ordering::SeqCst);
    }

    /// Counts a write call, which fails if no more are allowed.
    fn count_call(&self) -> Result<(), Error> {
        let decrement = |remaining_calls: usize| {
            if remaining_calls == UNLIMITED {
                Some(UNLIMITED)
            } else {
                remaining_calls.checked_sub(1)
            }
        };
        let counted = self.remaining_calls.fetch_update(Ordering::SeqCst, Ordering::SeqCst, decrement);
        counted.map(drop).map_err(|_| Error::from(ErrorKind::StorageFull))
    }

    fn open(&self) -> Result<LogStore, StoreError> {
        LogStore::with_backend(self.clone())
    }

    /// The data that a start would find now, on a disk that accepts writes again.
    fn stored_now(&self) -> StoredState {
        let remaining_calls = self.remaining_calls.swap(UNLIMITED, Ordering::SeqCst);
        let stored = self.open().unwrap().load().unwrap();
        self.allow(remaining_calls);
        stored
    }
}

impl StorageBackend for Disk {
    fn len(&self) -> Result<u64, Error> {
        self.bytes.len()
    }
    fn read(&self, offset: u64, out: &mut [u8]) -> Result<(), Error> {
        self.bytes.read(offset, out)
    }
    fn set_len(&self, len: u64) -> Result<(), Error> {
        self.count_call()?;
        self.bytes.set_len(len)
    }
    fn sync_data(&self) -> Result<(), Error> {
        self.count_call()?;
        self.bytes.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.count_call()?;
        self.bytes.write(offset, data)
    }
}

fn batch(number: u8) -> Batch {
    let from = 1 + 3 * u64::from(number);
    let entries = (from..from + 3).map(|index| (index, vec![number; 50_000])).collect();
    Batch { hard_state: Some(vec![number]), entries, snapshot: None }
}

/// Whether the store holds exactly the batches up to a number.
fn holds(stored: &StoredState, last: u8) -> bool {
    let entries: Vec<Vec<u8>> = (0..=last).flat_map(|it| vec![vec![it; 50_000]; 3]).collect();
    stored.hard_state == Some(vec![last]) && stored.entries == entries
}

#[test]
fn batch_that_fails_at_any_call_is_atomic_and_written_in_the_end() {
    let mut failed_batches = 0;
    for allowed_calls in 0..40 {
        let disk = Disk::new();
        let store = disk.open().unwrap();
        let disk_to_reopen = disk.clone();
        let mut writer = RetryingWriter::new(store, move || disk_to_reopen.open());
        writer.try_write(&batch(0)).unwrap();
        disk.allow(allowed_calls);
        let mut outcomes = Vec::new();
        let mut delays = Vec::new();
        let written = writer.write(
            &batch(1),
            |outcome| outcomes.push(outcome),
            |delay: Duration| {
                // While the batch is being retried, no partial write is visible.
                let stored_now = disk.stored_now();
                assert!(holds(&stored_now, 0) || holds(&stored_now, 1), "after {allowed_calls} calls");
                delays.push(delay);
                if delays.len() == 4 {
                    disk.allow(UNLIMITED);
                }
                true
            },
        );
        assert!(written);
        assert_eq!(outcomes.pop(), Some(WriteOutcome::Written));
        assert!(
            outcomes.iter().all(|outcome| matches!(outcome, WriteOutcome::Unavailable(_))),
            "{outcomes:?}"
        );
        assert!(delays.is_sorted() && delays.iter().all(|delay| *delay <= Duration::from_secs(1)));
        failed_batches += usize::from(!outcomes.is_empty());
        drop(writer);
        assert!(holds(&disk.stored_now(), 1), "after {allowed_calls} calls");
    }
    assert!(failed_batches > 5, "only {failed_batches} batches met a disk error");
}

#[test]
fn corrupt_file_is_moved_aside_and_one_that_cannot_be_opened_stays() {
    let folder = std::env::temp_dir().join(format!("store-refusals-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("core.redb");
    std::fs::write(&path, vec![7; 10_000]).unwrap();
    let opened = LogStore::open_or_replace(&path, 1 << 20, |_| Ok(())).unwrap();
    assert!(opened.damage.is_some() && opened.stored.hard_state.is_none());
    opened.store.write(&batch(3)).unwrap();
    drop(opened);
    // A file whose intact data fails validation is treated as corrupt too.
    let validate =
        |stored: &StoredState| if stored.hard_state.is_some() { Err("useless".into()) } else { Ok(()) };
    let opened = LogStore::open_or_replace(&path, 1 << 20, validate).unwrap();
    assert!(
        opened.damage.is_some_and(|damage| damage.contains("useless")) && opened.stored.hard_state.is_none()
    );
    drop(opened.store);
    // A directory in the file's place cannot be opened: that is a disk error, and nothing is moved.
    let directory = folder.join("taken.redb");
    std::fs::create_dir(&directory).unwrap();
    assert!(matches!(
        LogStore::open_or_replace(&directory, 1 << 20, |_| Ok(())),
        Err(StoreError::Unavailable(_))
    ));
    assert!(directory.is_dir());
    std::fs::remove_dir_all(&folder).unwrap();
}
