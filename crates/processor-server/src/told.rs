//! What streams and ports tell the thread that owns the table.

use crate::wire::{FromProxy, ToProxy};
use milletwing_decision::interface::{Outcome as End, RequestId};
use milletwing_marshal::accounting::PendingRequest;
use milletwing_marshal::ports::{AttemptOrder, LocalResponse};
use std::sync::Arc;
use tokio::sync::mpsc;

/// What the thread is told.
pub enum Told {
    /// A stream has begun; verdicts for it go there.
    Began(u64, mpsc::Sender<Result<ToProxy, tonic::Status>>),
    /// A stream has ended.
    Closed(u64),
    /// A message came on it.
    Came(u64, FromProxy),
    /// The module sends a try.
    Begin(AttemptOrder),
    /// The module gives up on one.
    GiveUp(RequestId, u32, End),
    /// The module answers.
    Word(Arc<PendingRequest>, LocalResponse),
}
