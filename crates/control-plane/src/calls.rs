//! Calls that this machine has passed on to the leader. An answer belongs to the call that asked for it: made in this life of the
//! process, and sent to the machine that answers. Anything else is dropped: it may be the answer to a call of an earlier life that
//! waited in a queue, or to one given up on and sent anew.

use milletwing_consensus::MemberId;
use milletwing_wire::{Answer, CallId};
use std::collections::HashMap;
use tokio::sync::oneshot;

struct Pending {
    asked: MemberId,
    answer: oneshot::Sender<Answer>,
}

/// Calls that wait for an answer.
pub struct Calls {
    /// Drawn at the process's start.
    incarnation: u64,
    next: u64,
    pending: HashMap<u64, Pending>,
}

impl Calls {
    /// None yet. `life`: drawn by chance at each start.
    pub fn new(incarnation: u64) -> Calls {
        Calls { incarnation, next: 0, pending: HashMap::new() }
    }

    /// A call to a machine: the name to send with it, and where its answer comes out.
    pub fn begin(&mut self, asked: MemberId) -> (CallId, oneshot::Receiver<Answer>) {
        self.next += 1;
        let (answer, wait) = oneshot::channel();
        self.pending.insert(self.next, Pending { asked, answer });
        (CallId { incarnation: self.incarnation, number: self.next }, wait)
    }

    /// A machine answers. False where no call of this life waits for a word from it.
    pub fn answered(&mut self, from: MemberId, call: CallId, answer: Answer) -> bool {
        if call.incarnation != self.incarnation
            || self.pending.get(&call.number).is_none_or(|it| it.asked != from)
        {
            return false;
        }
        let pending = self.pending.remove(&call.number);
        pending.is_some_and(|pending| pending.answer.send(answer).is_ok())
    }

    /// Drops calls whose callers have given up.
    pub fn forget(&mut self) {
        self.pending.retain(|_, pending| !pending.answer.is_closed());
    }
}
