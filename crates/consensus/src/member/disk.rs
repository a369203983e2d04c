//! Operation while the disk accepts no writes because it is full, hangs or fails. Nothing that depends on a
//! write is sent: the replica grants no votes, sends no acknowledgements that count, and does not lead. It
//! keeps following its leader in memory, so that requests which need no disk are served from recent state.

use super::{Member, Message, Role, StateIntegrity};
use crate::{MemberId, Millis};

/// Maximum number of entries waiting for the disk. Further ones are ignored; the leader sends them again.
pub(super) const MAX_UNWRITTEN_ENTRIES: usize = 4_096;
/// Maximum total size of the entries waiting for the disk.
pub(super) const MAX_UNWRITTEN_BYTES: usize = 8 << 20;

impl Message {
    /// The form in which a message may be sent although nothing can be written: acknowledgements that do not
    /// count, refusals, and a leader's request to take over. Any other message would promise something.
    fn without_promises(self) -> Option<Message> {
        match self {
            Message::AppendResponse { term, accepted, match_index, round, .. } => {
                Some(Message::AppendResponse { term, accepted, match_index, round, quorum_eligible: false })
            }
            Message::SnapshotChunkResponse { term, last, received, round, .. } => {
                Some(Message::SnapshotChunkResponse { term, last, received, round, quorum_eligible: false })
            }
            refusal @ Message::VoteResponse { granted: false, .. } => Some(refusal),
            uncertain @ Message::StateReport {
                integrity: StateIntegrity::Unconfirmed | StateIntegrity::Lost,
                ..
            } => Some(uncertain),
            request @ (Message::QueryState { .. } | Message::TransferLeadership { .. }) => Some(request),
            Message::RequestVote { .. }
            | Message::DistrustDisk { .. }
            | Message::VoteResponse { .. }
            | Message::AppendEntries { .. }
            | Message::InstallSnapshot { .. }
            | Message::StateReport { .. } => None,
        }
    }
}

impl Member {
    /// Queues a message for the driver. It is sent with the next batch, or at once if nothing can be written
    /// and the message promises nothing.
    pub(super) fn send(&mut self, to: MemberId, message: Message) {
        if !self.suspended {
            self.outbox.push((to, message));
        } else if let Some(message) = message.without_promises() {
            self.immediate_messages.push((to, message));
        }
    }

    /// Reports that writes fail or hang. This state lasts until the driver calls [`Member::on_persisted`]. A
    /// leader steps down and transfers leadership at once. The driver keeps the pending batch and retries it;
    /// messages that came with a batch that failed are dropped.
    pub fn suspend_writes(&mut self, now: Millis) {
        if self.suspended {
            return;
        }
        let successor = self.best_transferee();
        let was_leader = self.role == Role::Leader;
        self.suspended = true;
        // These messages depend on data that is not on disk.
        self.outbox.clear();
        if was_leader {
            if let Some(successor) = successor {
                self.send(successor, Message::TransferLeadership { term: self.hard_state.term });
            }
        }
        if self.role != Role::Follower {
            self.become_follower(now, self.hard_state.term, None);
        }
    }

    /// Whether writes fail or hang.
    pub fn writes_suspended(&self) -> bool {
        self.suspended
    }

    /// Takes the messages that may be sent while nothing can be written.
    pub fn take_immediate_messages(&mut self) -> Vec<(MemberId, Message)> {
        std::mem::take(&mut self.immediate_messages)
    }

    /// Ends the suspension: the pending batch is on disk. What arrived in the meantime goes into the next
    /// batch.
    pub(super) fn resume_writes(&mut self, now: Millis) {
        if std::mem::take(&mut self.suspended) {
            self.reset_deadline(now);
        }
    }

    /// Whether so many entries wait for the disk that no more are accepted.
    pub(super) fn write_backlog_full(&self) -> bool {
        self.suspended
            && (self.unsaved_entries.len() >= MAX_UNWRITTEN_ENTRIES
                || self.unsaved_entries.iter().map(|entry| entry.approximate_size()).sum::<usize>()
                    >= MAX_UNWRITTEN_BYTES)
    }
}
