//! A disk that refuses at any call, in the middle of a batch: the batch is tried again until it is down, and whatever a start
//! finds meanwhile is what stood before it or all of it.

use milletwing_consensus::{Batch, StoredState};
use milletwing_storage::{LogStore, RetryingWriter, StoreError, WriteOutcome};
use redb::backends::InMemoryBackend;
use redb::StorageBackend;
use std::io::{Error, ErrorKind};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// No limit on calls.
const FREE: usize = usize::MAX;

/// Memory that takes so many more writes, and refuses all after them.
#[derive(Clone, Debug)]
struct Disk {
    bytes: Arc<InMemoryBackend>,
    room: Arc<AtomicUsize>,
}

impl Disk {
    fn new() -> Disk {
        Disk { bytes: Arc::new(InMemoryBackend::new()), room: Arc::new(AtomicUsize::new(FREE)) }
    }

    fn allow(&self, calls: usize) {
        self.room.store(calls, Ordering::SeqCst);
    }

    fn take(&self) -> Result<(), Error> {
        let less = |room: usize| if room == FREE { Some(FREE) } else { room.checked_sub(1) };
        let taken = self.room.fetch_update(Ordering::SeqCst, Ordering::SeqCst, less);
        taken.map(drop).map_err(|_| Error::from(ErrorKind::StorageFull))
    }

    fn open(&self) -> Result<LogStore, StoreError> {
        LogStore::with_backend(self.clone())
    }

    /// What a start finds now, on a disk that takes writes again.
    fn found(&self) -> StoredState {
        let room = self.room.swap(FREE, Ordering::SeqCst);
        let stored = self.open().unwrap().load().unwrap();
        self.allow(room);
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
        self.take()?;
        self.bytes.set_len(len)
    }
    fn sync_data(&self) -> Result<(), Error> {
        self.take()?;
        self.bytes.sync_data()
    }
    fn write(&self, offset: u64, data: &[u8]) -> Result<(), Error> {
        self.take()?;
        self.bytes.write(offset, data)
    }
}

fn batch(number: u8) -> Batch {
    let from = 1 + 3 * u64::from(number);
    let entries = (from..from + 3).map(|index| (index, vec![number; 50_000])).collect();
    Batch { hard_state: Some(vec![number]), entries, snapshot: None }
}

fn holds(stored: &StoredState, upto: u8) -> bool {
    let entries: Vec<Vec<u8>> = (0..=upto).flat_map(|it| vec![vec![it; 50_000]; 3]).collect();
    stored.hard_state == Some(vec![upto]) && stored.entries == entries
}

#[test]
fn a_batch_refused_at_any_call_counts_whole_or_not_at_all_and_is_down_in_the_end() {
    let mut refused_batches = 0;
    for calls in 0..40 {
        let disk = Disk::new();
        let store = disk.open().unwrap();
        let opening = disk.clone();
        let mut writer = RetryingWriter::new(store, move || opening.open());
        writer.try_write(&batch(0)).unwrap();
        disk.allow(calls);
        let mut reports = Vec::new();
        let mut pauses = Vec::new();
        let done = writer.write(
            &batch(1),
            |report| reports.push(report),
            |pause: Duration| {
                // While it is refused, nothing half written counts.
                let found = disk.found();
                assert!(holds(&found, 0) || holds(&found, 1), "after {calls} calls");
                pauses.push(pause);
                if pauses.len() == 4 {
                    disk.allow(FREE);
                }
                true
            },
        );
        assert!(done);
        assert_eq!(reports.pop(), Some(WriteOutcome::Written));
        assert!(reports.iter().all(|report| matches!(report, WriteOutcome::Unavailable(_))), "{reports:?}");
        assert!(pauses.is_sorted() && pauses.iter().all(|pause| *pause <= Duration::from_secs(1)));
        refused_batches += usize::from(!reports.is_empty());
        drop(writer);
        assert!(holds(&disk.found(), 1), "after {calls} calls");
    }
    assert!(refused_batches > 5, "only {refused_batches} batches met a refusal");
}

#[test]
fn a_file_that_is_damaged_is_moved_away_and_one_that_cant_be_opened_stays() {
    let folder = std::env::temp_dir().join(format!("store-refusals-{}", std::process::id()));
    let _ = std::fs::remove_dir_all(&folder);
    std::fs::create_dir_all(&folder).unwrap();
    let path = folder.join("core.redb");
    std::fs::write(&path, vec![7; 10_000]).unwrap();
    let opened = LogStore::open_or_replace(&path, 1 << 20, |_| Ok(())).unwrap();
    assert!(opened.damage.is_some() && opened.stored.hard_state.is_none());
    opened.store.write(&batch(3)).unwrap();
    drop(opened);
    // What it holds whole, and can't be used, is damaged as well.
    let useless =
        |stored: &StoredState| if stored.hard_state.is_some() { Err("useless".into()) } else { Ok(()) };
    let opened = LogStore::open_or_replace(&path, 1 << 20, useless).unwrap();
    assert!(
        opened.damage.is_some_and(|damage| damage.contains("useless")) && opened.stored.hard_state.is_none()
    );
    drop(opened.store);
    // A folder in the file's place can be opened by nobody: an error of the disk, and nothing is moved.
    let taken = folder.join("taken.redb");
    std::fs::create_dir(&taken).unwrap();
    assert!(matches!(
        LogStore::open_or_replace(&taken, 1 << 20, |_| Ok(())),
        Err(StoreError::Unavailable(_))
    ));
    assert!(taken.is_dir());
    std::fs::remove_dir_all(&folder).unwrap();
}
