//! The thread that writes: one batch at a time, synced, reported when it is down. While a write hangs, nothing that depends on
//! it leaves and everything else goes on. A write that is refused, for lack of room or another fault of the disk, is tried again
//! with growing pauses on the file opened anew; a file that turns out damaged ends the process, whose next start asks the others.

use crate::core::{Core, Shared, Writes};
use milletwing_config::{event, Settings};
use milletwing_consensus::{Batch, StoredState};
use milletwing_replicated_state::View;
use milletwing_storage::{Backoff, LogStore, OpenedStore, RetryingWriter, StoreError, WriteOutcome};
use std::path::PathBuf;
use std::sync::mpsc::sync_channel;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// Bytes of pages that the file's library keeps in memory.
const CACHE: usize = 1 << 20;
fn open_file(path: &std::path::Path) -> Result<OpenedStore, StoreError> {
    if let Some(folder) = path.parent() {
        std::fs::create_dir_all(folder).map_err(StoreError::Unavailable)?;
    }
    LogStore::open_or_replace(path, CACHE, sound)
}

/// Whether what a file holds hangs together, down to the state in it.
fn sound(stored: &StoredState) -> Result<(), String> {
    let found = milletwing_consensus::inspect(stored)?;
    View::from_compressed(&found.data).map(drop)
}

/// Opens the machine's file, for as long as its disk refuses; without a `stateDir` it lives in memory, and each start is that of
/// a lost disk. Errors: the file is damaged and can't be replaced, or the thread can't be made.
pub async fn open(settings: &Settings) -> Result<(Writes, UnboundedReceiver<WriteOutcome>), String> {
    let path = settings.own.state_dir.as_ref().map(|folder| PathBuf::from(folder).join("core.redb"));
    let (store, stored) = match &path {
        Some(path) => {
            let opened =
                opened(path).await.map_err(|why| format!("self.stateDir {}: {why}", path.display()))?;
            if let Some(damage) = opened.damage {
                event!(DiskLost, "{damage}");
            }
            (opened.store, opened.stored)
        }
        None => (LogStore::in_memory().map_err(|problem| problem.to_string())?, StoredState::default()),
    };
    let reopen = move || match &path {
        Some(path) => LogStore::open(path, CACHE),
        None => Err(StoreError::Corrupt("a state in memory can't be opened again".into())),
    };
    // One batch is out at a time: the driver hands out the next when it hears of the last.
    let (send, batches) = sync_channel::<Batch>(1);
    let (back, written) = unbounded_channel();
    let work = move || {
        let mut writer = RetryingWriter::new(store, reopen);
        for batch in batches {
            let report = |report| {
                let _ = back.send(report); // nobody listens any more: the process ends
            };
            let pause = |pause| {
                std::thread::sleep(pause);
                !back.is_closed()
            };
            if !writer.write(&batch, report, pause) {
                break;
            }
        }
    };
    std::thread::Builder::new()
        .name("disk".into())
        .stack_size(512 << 10)
        .spawn(work)
        .map_err(|problem| format!("the disk's thread: {problem}"))?;
    Ok((Writes { stored, send }, written))
}

/// Opens the file; a disk that refuses is asked again, told once.
async fn opened(path: &std::path::Path) -> Result<OpenedStore, String> {
    let mut backoff = Backoff::default();
    let mut told = false;
    loop {
        match open_file(path) {
            Ok(opened) => {
                if told {
                    event!(DiskBack, "{} is open", path.display());
                }
                return Ok(opened);
            }
            Err(StoreError::Corrupt(why)) => return Err(why),
            Err(StoreError::Unavailable(why)) if !told => {
                told = true;
                event!(DiskFailed, "{} can't be opened: {why}", path.display());
            }
            Err(StoreError::Unavailable(_)) => {}
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

/// Hears of what was written.
pub async fn listen(core: Shared, mut written: UnboundedReceiver<WriteOutcome>) {
    while let Some(report) = written.recv().await {
        match report {
            WriteOutcome::Written => Core::saved(&core),
            WriteOutcome::Unavailable(why) => Core::refused(&core, &why),
            WriteOutcome::Corrupt(why) => {
                // Guards against promises that are on no disk: the next start takes the disk for a lost one.
                event!(DiskUnusable, "{why}");
                std::process::exit(3);
            }
        }
    }
}
