//! Writes that outlast temporary disk errors: each batch is retried with increasing delays, on a reopened
//! file, until it is written. No batch is reported as written before it is synced.

use crate::{LogStore, StoreError};
use milletwing_consensus::Batch;
use std::time::Duration;

/// The first and the longest delay before a retry.
const RETRY_DELAYS: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// The outcome of one attempt to write a batch.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// The batch is on disk.
    Written,
    /// The disk failed; the batch is retried.
    Unavailable(String),
    /// The file is corrupt and cannot be used any more.
    Corrupt(String),
}

/// Retry delays that double up to a maximum.
#[derive(Default)]
pub struct Backoff(u32);

impl Backoff {
    /// Returns the next delay.
    pub fn next_delay(&mut self) -> Duration {
        let delay = RETRY_DELAYS.0.saturating_mul(1 << self.0.min(16)).min(RETRY_DELAYS.1);
        self.0 += 1;
        delay
    }
}

/// Writes batches to a file that is reopened after each error.
pub struct RetryingWriter<Open> {
    store: Option<LogStore>,
    open: Open,
}

impl<Open: FnMut() -> Result<LogStore, StoreError>> RetryingWriter<Open> {
    /// `store` is the open file; `open` reopens it.
    pub fn new(store: LogStore, open: Open) -> RetryingWriter<Open> {
        RetryingWriter { store: Some(store), open }
    }

    /// Tries once to write and sync a batch. A batch may be written repeatedly: it replaces all entries from
    /// its first index on. Fails if the disk failed or the file is corrupt.
    pub fn try_write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let store = match self.store.take() {
            Some(store) => store,
            None => (self.open)()?,
        };
        store.write(batch)?;
        self.store = Some(store);
        Ok(())
    }

    /// Writes a batch, retrying until it succeeds, and reports the outcome of each attempt. `wait` waits for
    /// the given delay and returns false to give up. Returns whether the batch was written.
    pub fn write(
        &mut self,
        batch: &Batch,
        mut report: impl FnMut(WriteOutcome),
        mut wait: impl FnMut(Duration) -> bool,
    ) -> bool {
        let mut backoff = Backoff::default();
        loop {
            match self.try_write(batch) {
                Ok(()) => {
                    report(WriteOutcome::Written);
                    return true;
                }
                Err(StoreError::Corrupt(reason)) => {
                    report(WriteOutcome::Corrupt(reason));
                    return false;
                }
                Err(StoreError::Unavailable(reason)) => report(WriteOutcome::Unavailable(reason.to_string())),
            }
            if !wait(backoff.next_delay()) {
                return false;
            }
        }
    }
}
