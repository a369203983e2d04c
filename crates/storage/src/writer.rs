//! Writes that go on over a disk that refuses for a while: each batch is tried again with growing pauses, on the file opened anew,
//! until it is down. Nothing is reported as written before it is synced.

use crate::{LogStore, StoreError};
use milletwing_consensus::Batch;
use std::time::Duration;

/// The first and the longest pause before what was refused is tried again.
const RETRY: (Duration, Duration) = (Duration::from_millis(50), Duration::from_secs(1));

/// What became of the batch that is out.
#[derive(Debug, PartialEq, Eq)]
pub enum WriteOutcome {
    /// It is on the disk.
    Written,
    /// It is not, and is tried again.
    Unavailable(String),
    /// The file can't be used any more.
    Corrupt(String),
}

/// Pauses that double up to a bound.
#[derive(Default)]
pub struct Backoff(u32);

impl Backoff {
    /// The next pause.
    pub fn next_delay(&mut self) -> Duration {
        let pause = RETRY.0.saturating_mul(1 << self.0.min(16)).min(RETRY.1);
        self.0 += 1;
        pause
    }
}

/// Writes batches to a file that is opened anew after each refusal.
pub struct RetryingWriter<Open> {
    store: Option<LogStore>,
    open: Open,
}

impl<Open: FnMut() -> Result<LogStore, StoreError>> RetryingWriter<Open> {
    /// `store` is open; `open` opens it again.
    pub fn new(store: LogStore, open: Open) -> RetryingWriter<Open> {
        RetryingWriter { store: Some(store), open }
    }

    /// Tries once to write and sync a batch. The same batch may be written any number of times: it replaces what stands from its
    /// first index on. Errors: the disk refused, or the file is damaged.
    pub fn try_write(&mut self, batch: &Batch) -> Result<(), StoreError> {
        let store = match self.store.take() {
            Some(store) => store,
            None => (self.open)()?,
        };
        store.write(batch)?;
        self.store = Some(store);
        Ok(())
    }

    /// Writes a batch for as long as it takes, reporting each refusal. `pause` waits; it says whether to go on.
    pub fn write(
        &mut self,
        batch: &Batch,
        mut report: impl FnMut(WriteOutcome),
        mut pause: impl FnMut(Duration) -> bool,
    ) -> bool {
        let mut backoff = Backoff::default();
        loop {
            match self.try_write(batch) {
                Ok(()) => {
                    report(WriteOutcome::Written);
                    return true;
                }
                Err(StoreError::Corrupt(why)) => {
                    report(WriteOutcome::Corrupt(why));
                    return false;
                }
                Err(StoreError::Unavailable(why)) => report(WriteOutcome::Unavailable(why.to_string())),
            }
            if !pause(backoff.next_delay()) {
                return false;
            }
        }
    }
}
