//! A disk that takes no writes for a while, full, hanging or failing. Nothing that depends on a write leaves: no vote, no
//! acknowledgement that counts, no leadership. The machine goes on to follow its leader in memory, so that what needs no
//! disk is served from a state that is not old.

use super::{Member, Message, Role, StateIntegrity};
use crate::{MemberId, Millis};

/// Entries that wait for a disk at most; a leader's further ones are not taken, and come again.
pub(super) const MOST_UNWRITTEN: usize = 4_096;
/// Bytes of them.
pub(super) const MOST_UNWRITTEN_BYTES: usize = 8 << 20;

impl Message {
    /// What of a message may leave though nothing can be written: answers that count for nothing, refusals, and a leader's
    /// word that it leaves. Everything else would promise.
    fn take_immediate_messages(self) -> Option<Message> {
        match self {
            Message::AppendResponse { term, accepted, match_index, round, .. } => {
                Some(Message::AppendResponse { term, accepted, match_index, round, quorum_eligible: false })
            }
            Message::SnapshotChunkResponse { term, last, received, round, .. } => {
                Some(Message::SnapshotChunkResponse { term, last, received, round, quorum_eligible: false })
            }
            refused @ Message::VoteResponse { granted: false, .. } => Some(refused),
            unsure @ Message::StateReport {
                integrity: StateIntegrity::Unconfirmed | StateIntegrity::Lost,
                ..
            } => Some(unsure),
            asked @ (Message::QueryState { .. } | Message::TransferLeadership { .. }) => Some(asked),
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
    /// Hands a message to the driver: with the next batch, or at once where it promises nothing and nothing can be written.
    pub(super) fn send(&mut self, to: MemberId, message: Message) {
        if !self.suspended {
            self.out.push((to, message));
        } else if let Some(message) = message.take_immediate_messages() {
            self.unbound.push((to, message));
        }
    }

    /// Writes fail or hang from now on, until the driver calls [`Member::saved`]. A leader steps down and hands over at once.
    /// The driver keeps the batch that is out and tries it again; messages that came with a batch that failed are dropped.
    pub fn suspend_writes(&mut self, now: Millis) {
        if self.suspended {
            return;
        }
        let successor = self.successor();
        let led = self.role == Role::Leader;
        self.suspended = true;
        // They depend on what is not on the disk.
        self.out.clear();
        if led {
            if let Some(successor) = successor {
                self.send(successor, Message::TransferLeadership { term: self.hard_state.term });
            }
        }
        if self.role != Role::Follower {
            self.follow(now, self.hard_state.term, None);
        }
    }

    /// Whether writes fail or hang.
    pub fn writes_suspended(&self) -> bool {
        self.suspended
    }

    /// Messages that may leave while nothing can be written.
    pub fn take_immediate_messages(&mut self) -> Vec<(MemberId, Message)> {
        std::mem::take(&mut self.unbound)
    }

    /// Ends the suspension: what was out is on the disk. What came meanwhile goes with the next batch.
    pub(super) fn resume(&mut self, now: Millis) {
        if std::mem::take(&mut self.suspended) {
            self.rest(now);
        }
    }

    /// Whether so much waits for the disk that no more is taken.
    pub(super) fn backlogged(&self) -> bool {
        self.suspended
            && (self.fresh.len() >= MOST_UNWRITTEN
                || self.fresh.iter().map(|entry| entry.approximate_size()).sum::<usize>()
                    >= MOST_UNWRITTEN_BYTES)
    }
}
