//! Calls that this replica has forwarded to the leader. An answer is delivered only to the call that it
//! belongs to: one made by this incarnation of the process, and sent to the replica that answers. Any other
//! answer is dropped: it may be for a call of an earlier incarnation that waited in a queue, or for a call
//! that was given up on and sent again.

use milletwing_consensus::MemberId;
use milletwing_wire::{Answer, CallId};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// A call that was sent to `replica` and waits for its answer.
struct PendingCall {
    replica: MemberId,
    answer: oneshot::Sender<Answer>,
}

/// Forwarded calls that wait for an answer.
pub struct ForwardedCalls {
    /// Identifies this run of the process; drawn at random at its start.
    incarnation: u64,
    last_number: u64,
    pending: HashMap<u64, PendingCall>,
}

impl ForwardedCalls {
    /// Starts without calls. `incarnation` is drawn at random at each start of the process.
    pub fn new(incarnation: u64) -> ForwardedCalls {
        ForwardedCalls { incarnation, last_number: 0, pending: HashMap::new() }
    }

    /// Registers a call to a replica. Returns the id to send with the call, and the receiver of its answer.
    pub fn begin(&mut self, replica: MemberId) -> (CallId, oneshot::Receiver<Answer>) {
        self.last_number += 1;
        let (answer, receiver) = oneshot::channel();
        self.pending.insert(self.last_number, PendingCall { replica, answer });
        (CallId { incarnation: self.incarnation, number: self.last_number }, receiver)
    }

    /// Delivers an answer. Returns false if no call of this incarnation waits for an answer from that
    /// replica.
    pub fn deliver(&mut self, from: MemberId, call: CallId, answer: Answer) -> bool {
        if call.incarnation != self.incarnation
            || self.pending.get(&call.number).is_none_or(|pending| pending.replica != from)
        {
            return false;
        }
        let pending = self.pending.remove(&call.number);
        pending.is_some_and(|pending| pending.answer.send(answer).is_ok())
    }

    /// Removes calls whose callers have given up.
    pub fn remove_abandoned(&mut self) {
        self.pending.retain(|_, pending| !pending.answer.is_closed());
    }
}
