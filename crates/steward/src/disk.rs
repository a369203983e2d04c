//! The thread that writes: one batch at a time, synced, told back when it is down. While the disk stalls, nothing that
//! depends on it leaves, and everything else goes on.

use crate::core::{Core, Shared, Writes};
use milletwing_accord::{Batch, Stored};
use milletwing_archive::Archive;
use milletwing_tenet::{tell, Settings};
use std::path::PathBuf;
use std::sync::mpsc::sync_channel;
use tokio::sync::mpsc::{unbounded_channel, UnboundedReceiver};

/// Bytes of pages that the file's library keeps in memory.
const CACHE: usize = 1 << 20;

/// Opens the machine's file; without a `stateDir` it lives in memory, and each start is that of a lost disk.
pub fn open(settings: &Settings) -> Result<(Writes, UnboundedReceiver<Result<(), String>>), String> {
    let (archive, stored) = match &settings.own.state_dir {
        Some(folder) => {
            std::fs::create_dir_all(folder)
                .map_err(|problem| format!("self.stateDir {folder}: {problem}"))?;
            let path = PathBuf::from(folder).join("core.redb");
            let (archive, stored, damage) = Archive::file_or_anew(&path, CACHE)?;
            if let Some(damage) = damage {
                tell!(DiskLost, "{damage}");
            }
            (archive, stored)
        }
        None => (Archive::memory().map_err(|problem| problem.to_string())?, Stored::default()),
    };
    // One batch is out at a time: the driver hands out the next when it hears of the last.
    let (send, batches) = sync_channel::<Batch>(1);
    let (back, written) = unbounded_channel();
    let work = move || {
        for batch in batches {
            let result = archive.write(&batch).map_err(|problem| problem.to_string());
            if back.send(result).is_err() {
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

/// Hears of what was written.
pub async fn listen(core: Shared, mut written: UnboundedReceiver<Result<(), String>>) {
    while let Some(result) = written.recv().await {
        match result {
            Ok(()) => Core::saved(&core),
            Err(problem) => {
                // Guards against promises that are on no disk: the next start reads what is there.
                tell!(DiskFailed, "{problem}");
                std::process::exit(3);
            }
        }
    }
}
