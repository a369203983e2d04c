//! Requests that still need a response, and the marshal's counters. Each request gets exactly one response, and each
//! attempt exactly one end.

use crate::buffers::Buffer;
use crate::client::Client;
use milletwing_decision::interface::RequestId;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Instant;

/// A request that was admitted and needs a response.
pub struct PendingRequest {
    /// The id that the client gave it.
    pub id: RequestId,
    /// The client's connection and the message; `None` if another proxy carries the request and only asks for decisions.
    pub origin: Option<RequestOrigin>,
    /// Whether the request must not run more than once.
    pub at_most_once: bool,
    /// When the client stops waiting.
    pub deadline: Instant,
    answered: AtomicBool,
}

/// The connection that a request arrived on, and the message to forward.
pub struct RequestOrigin {
    /// The connection that gets the response.
    pub client: Arc<Client>,
    /// The message for a node: the head without its last lines, followed by the body.
    pub message: Buffer,
    /// The offset of the body in `message`.
    pub body_at: usize,
}

impl PendingRequest {
    /// A request that another proxy carries.
    pub fn carried_elsewhere(id: RequestId, at_most_once: bool, deadline: Instant) -> PendingRequest {
        PendingRequest { id, origin: None, at_most_once, deadline, answered: AtomicBool::new(false) }
    }
    /// A request that arrived on a client's connection.
    pub fn new(
        id: RequestId,
        client: Arc<Client>,
        message: Buffer,
        body_at: usize,
        deadline: Instant,
    ) -> PendingRequest {
        let origin = Some(RequestOrigin { client, message, body_at });
        PendingRequest { id, origin, at_most_once: false, deadline, answered: AtomicBool::new(false) }
    }
    /// Claims the right to respond; only the first caller gets it. A client that disconnects claims it too.
    #[must_use]
    pub fn claim(&self) -> bool {
        !self.answered.swap(true, SeqCst)
    }
    /// Whether the right to respond has been claimed.
    pub fn answered(&self) -> bool {
        self.answered.load(SeqCst)
    }
}

/// Totals since the marshal's start.
#[derive(Default)]
pub struct Counters {
    /// Client connections accepted.
    pub accepted: AtomicU64,
    /// Client connections closed to make room for others.
    pub gave_way: AtomicU64,
    /// Requests admitted.
    pub taken: AtomicU64,
    /// Requests answered with a node's response.
    pub served: AtomicU64,
    /// Requests refused.
    pub refused: AtomicU64,
    /// Requests failed.
    pub failed: AtomicU64,
    /// Clients that disconnected before their response.
    pub gone: AtomicU64,
    /// Attempts started.
    pub attempts: AtomicU64,
    /// Connections made to nodes.
    pub connections: AtomicU64,
    /// Messages answered as malformed.
    pub malformed: AtomicU64,
    /// Requests above the connection limit, refused without asking the module.
    pub turned_away: AtomicU64,
    /// Internal faults: overdue responses and panics.
    pub defects: AtomicU64,
}

/// Adds one to a counter.
pub fn increment(counter: &AtomicU64) {
    counter.fetch_add(1, Relaxed);
}

impl std::fmt::Display for Counters {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        let total = |counter: &AtomicU64| counter.load(Relaxed);
        write!(
            f,
            "taken {} served {} refused {} failed {} gone {} attempts {} connections {} malformed {} turned away {} accepted {} gave way {} defects {}",
            total(&self.taken),
            total(&self.served),
            total(&self.refused),
            total(&self.failed),
            total(&self.gone),
            total(&self.attempts),
            total(&self.connections),
            total(&self.malformed),
            total(&self.turned_away),
            total(&self.accepted),
            total(&self.gave_way),
            total(&self.defects)
        )
    }
}
