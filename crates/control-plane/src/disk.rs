//! The thread that writes the log: one batch at a time, synced and then reported as written. While a write
//! hangs, nothing that depends on it is sent, and everything else goes on. A write that is refused, because
//! the disk is full or has another fault, is retried with growing pauses on a newly opened file. A file
//! that turns out to be damaged ends the process, whose next start gets the state from the other replicas.

use crate::core::{Core, LogStorage, SharedCore};
use milletwing_config::{event, Settings};
use milletwing_consensus::{Batch, StoredState};
use milletwing_replicated_state::View;
use milletwing_storage::{Backoff, LogStore, OpenedStore, RetryingWriter, StoreError, WriteOutcome};
use std::path::PathBuf;
use std::sync::mpsc::sync_channel;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// Page cache of the storage library, in bytes.
const CACHE_BYTES: usize = 1 << 20;

fn open_file(path: &std::path::Path) -> Result<OpenedStore, StoreError> {
    if let Some(directory) = path.parent() {
        std::fs::create_dir_all(directory).map_err(StoreError::Unavailable)?;
    }
    LogStore::open_or_replace(path, CACHE_BYTES, check_contents)
}

/// Checks that the contents of a file are consistent, including the replicated state in it.
fn check_contents(stored: &StoredState) -> Result<(), String> {
    let found = milletwing_consensus::inspect(stored)?;
    View::from_compressed(&found.data).map(drop)
}

/// Opens this replica's file, retrying while the disk refuses. Without a `stateDir` the log is kept in
/// memory, and each start counts as one with a lost disk. Errors: the file is damaged and cannot be
/// replaced, or the thread cannot be created.
pub async fn open(settings: &Settings) -> Result<(LogStorage, UnboundedReceiver<WriteOutcome>), String> {
    let path = settings.own.state_dir.as_ref().map(|directory| PathBuf::from(directory).join("core.redb"));
    let (store, stored) = match &path {
        Some(path) => {
            let opened = open_with_retry(path)
                .await
                .map_err(|why| format!("self.stateDir {}: {why}", path.display()))?;
            if let Some(damage) = opened.damage {
                event!(DiskLost, "{damage}");
            }
            (opened.store, opened.stored)
        }
        None => (LogStore::in_memory().map_err(|problem| problem.to_string())?, StoredState::default()),
    };
    let reopen = move || match &path {
        Some(path) => LogStore::open(path, CACHE_BYTES),
        None => Err(StoreError::Corrupt("a log kept in memory cannot be opened again".into())),
    };
    // One batch is written at a time: the next is handed out once the report on the last has come.
    let (sender, batches) = sync_channel::<Batch>(1);
    let (reports, disk_reports) = unbounded_channel();
    let write_batches = move || {
        let mut writer = RetryingWriter::new(store, reopen);
        for batch in batches {
            let report = |report| {
                let _ = reports.send(report); // nobody listens any more: the process is ending
            };
            let pause = |pause| {
                std::thread::sleep(pause);
                !reports.is_closed()
            };
            if !writer.write(&batch, report, pause) {
                break;
            }
        }
    };
    std::thread::Builder::new()
        .name("disk".into())
        .stack_size(512 << 10)
        .spawn(write_batches)
        .map_err(|problem| format!("cannot start the disk thread: {problem}"))?;
    Ok((LogStorage { stored, sender }, disk_reports))
}

/// Opens the file. If the disk refuses, this is logged once and retried.
async fn open_with_retry(path: &std::path::Path) -> Result<OpenedStore, String> {
    let mut backoff = Backoff::default();
    let mut logged = false;
    loop {
        match open_file(path) {
            Ok(opened) => {
                if logged {
                    event!(DiskBack, "opened {}", path.display());
                }
                return Ok(opened);
            }
            Err(StoreError::Corrupt(why)) => return Err(why),
            Err(StoreError::Unavailable(why)) if !logged => {
                logged = true;
                event!(DiskFailed, "cannot open {}: {why}; retrying", path.display());
            }
            Err(StoreError::Unavailable(_)) => {}
        }
        tokio::time::sleep(backoff.next_delay()).await;
    }
}

/// Passes the disk thread's reports on to the replica.
pub async fn forward_reports(core: SharedCore, mut reports: UnboundedReceiver<WriteOutcome>) {
    while let Some(report) = reports.recv().await {
        match report {
            WriteOutcome::Written => Core::on_batch_written(&core),
            WriteOutcome::Unavailable(why) => Core::on_write_refused(&core, &why),
            WriteOutcome::Corrupt(why) => {
                // Guards against acknowledging what is on no disk: the next start treats the disk as lost.
                event!(DiskUnusable, "{why}");
                std::process::exit(3);
            }
        }
    }
}
