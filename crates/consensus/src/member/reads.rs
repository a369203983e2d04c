//! Reads that are certain: a majority confirms, later than the read came, that this machine still leads.

use super::{Member, Role};
use crate::{MemberId, Millis};

impl Member {
    /// A read: `token` comes out of [`Member::reads`] once it is certain that nothing newer was acknowledged before it
    /// came. False where this machine doesn't lead.
    pub fn request_read(&mut self, now: Millis, token: u64) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        // Any message from now on has a later round.
        self.reads.push((self.round + 1, token));
        for id in self.others() {
            self.append(now, id, true);
        }
        true
    }

    /// Whether this machine leads and has applied everything that its predecessors committed: before that it may decide nothing.
    pub fn is_caught_up_leader(&self) -> bool {
        // Guards against a new leader that doesn't know yet what its predecessors committed.
        let sure = self.role == Role::Leader && self.log.term(self.commit) == Some(self.hard_state.term);
        sure && self.applied >= self.commit
    }

    /// Reads that may be answered, after everything committed has been applied.
    pub fn take_confirmed_reads(&mut self) -> Vec<u64> {
        if !self.is_caught_up_leader() {
            return Vec::new();
        }
        let (done, wait): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reads).into_iter().partition(|(round, _)| {
                let agree = |id: &MemberId| {
                    self.peers.get(id).is_some_and(|peer| peer.quorum_eligible && peer.round >= *round)
                };
                self.majority(self.others().iter().filter(|id| agree(id)).count() + 1)
            });
        self.reads = wait;
        done.into_iter().map(|(_, token)| token).collect()
    }

    pub(super) fn backed(&self, now: Millis, within: Millis) -> bool {
        let near = |id: &MemberId| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.quorum_eligible && now.saturating_sub(peer.heard) <= within)
        };
        let others = self.others().iter().filter(|id| near(id)).count();
        self.majority(others + usize::from(self.members.contains(&self.set.id)))
    }

    /// Whether a leader was heard of, or is it itself with a majority behind it, within a time.
    pub fn has_recent_state(&self, now: Millis, within: Millis) -> bool {
        match self.role {
            Role::Leader => self.backed(now, within),
            // Guards against one that hears its leader and gets nothing: calls are short, entries long, and its word may not
            // reach the leader, so that these are not sent again.
            _ => {
                let lags = self.behind.is_some_and(|since| now.saturating_sub(since) > within / 2);
                self.leader.is_some() && now.saturating_sub(self.heard) <= within && !lags
            }
        }
    }
}
