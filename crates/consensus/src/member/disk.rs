//! A disk that takes no writes for a while, full, hanging or failing. Nothing that depends on a write leaves: no vote, no
//! acknowledgement that counts, no leadership. The machine goes on to follow its leader in memory, so that what needs no
//! disk is served from a state that is not old.

use super::{Member, Memory, Message, Role};
use crate::{Id, Time};

/// Entries that wait for a disk at most; a leader's further ones are not taken, and come again.
pub(super) const MOST_UNWRITTEN: usize = 4_096;
/// Bytes of them.
pub(super) const MOST_UNWRITTEN_BYTES: usize = 8 << 20;

impl Message {
    /// What of a message may leave though nothing can be written: answers that count for nothing, refusals, and a leader's
    /// word that it leaves. Everything else would promise.
    fn unbound(self) -> Option<Message> {
        match self {
            Message::Appended { term, fits, matched, round, .. } => {
                Some(Message::Appended { term, fits, matched, round, counts: false })
            }
            Message::Installed { term, last, have, round, .. } => {
                Some(Message::Installed { term, last, have, round, counts: false })
            }
            refused @ Message::Vote { granted: false, .. } => Some(refused),
            unsure @ Message::StateReport { memory: Memory::Unconfirmed | Memory::Lost, .. } => Some(unsure),
            asked @ (Message::QueryState { .. } | Message::TransferLeadership { .. }) => Some(asked),
            Message::RequestVote { .. }
            | Message::DistrustDisk { .. }
            | Message::Vote { .. }
            | Message::Append { .. }
            | Message::Install { .. }
            | Message::StateReport { .. } => None,
        }
    }
}

impl Member {
    /// Hands a message to the driver: with the next batch, or at once where it promises nothing and nothing can be written.
    pub(super) fn send(&mut self, to: Id, message: Message) {
        if !self.suspended {
            self.out.push((to, message));
        } else if let Some(message) = message.unbound() {
            self.unbound.push((to, message));
        }
    }

    /// Writes fail or hang from now on, until the driver calls [`Member::saved`]. A leader steps down and hands over at once.
    /// The driver keeps the batch that is out and tries it again; messages that came with a batch that failed are dropped.
    pub fn suspend(&mut self, now: Time) {
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
                self.send(successor, Message::TransferLeadership { term: self.hard.term });
            }
        }
        if self.role != Role::Follower {
            self.follow(now, self.hard.term, None);
        }
    }

    /// Whether writes fail or hang.
    pub fn suspended(&self) -> bool {
        self.suspended
    }

    /// Messages that may leave while nothing can be written.
    pub fn unbound(&mut self) -> Vec<(Id, Message)> {
        std::mem::take(&mut self.unbound)
    }

    /// Ends the suspension: what was out is on the disk. What came meanwhile goes with the next batch.
    pub(super) fn resume(&mut self, now: Time) {
        if std::mem::take(&mut self.suspended) {
            self.rest(now);
        }
    }

    /// Whether so much waits for the disk that no more is taken.
    pub(super) fn backlogged(&self) -> bool {
        self.suspended
            && (self.fresh.len() >= MOST_UNWRITTEN
                || self.fresh.iter().map(|entry| entry.size()).sum::<usize>() >= MOST_UNWRITTEN_BYTES)
    }
}
