//! Linearizable reads: a majority confirms, after the read arrived, that this replica is still the leader.

use super::{Member, Role};
use crate::{MemberId, Millis};

impl Member {
    /// Registers a read. [`Member::take_confirmed_reads`] returns `token` once nothing newer can have been
    /// acknowledged before the read arrived. Returns false if this replica is not the leader.
    pub fn request_read(&mut self, now: Millis, token: u64) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        // All messages sent from now on have a later round.
        self.pending_reads.push((self.round + 1, token));
        for id in self.other_members() {
            self.send_append(now, id, true);
        }
        true
    }

    /// Whether this replica is the leader and has applied everything that earlier leaders committed. Before
    /// that it must not make decisions.
    pub fn is_caught_up_leader(&self) -> bool {
        // A new leader does not know what earlier leaders committed until an entry of its own term is
        // committed.
        let commit_known =
            self.role == Role::Leader && self.log.term(self.commit_index) == Some(self.hard_state.term);
        commit_known && self.applied_index >= self.commit_index
    }

    /// Takes the reads that may be answered. All committed entries must have been applied before.
    pub fn take_confirmed_reads(&mut self) -> Vec<u64> {
        if !self.is_caught_up_leader() {
            return Vec::new();
        }
        let (confirmed, waiting): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.pending_reads).into_iter().partition(|(round, _)| {
                let has_acked = |id: &MemberId| {
                    self.peers.get(id).is_some_and(|peer| peer.quorum_eligible && peer.acked_round >= *round)
                };
                self.is_majority(self.other_members().iter().filter(|id| has_acked(id)).count() + 1)
            });
        self.pending_reads = waiting;
        confirmed.into_iter().map(|(_, token)| token).collect()
    }

    /// Whether a majority, including this replica if it is a member, has been heard from within a time.
    pub(super) fn has_quorum_contact(&self, now: Millis, within: Millis) -> bool {
        let recently_heard = |id: &MemberId| {
            self.peers
                .get(id)
                .is_some_and(|peer| peer.quorum_eligible && now.saturating_sub(peer.last_heard) <= within)
        };
        let others = self.other_members().iter().filter(|id| recently_heard(id)).count();
        self.is_majority(others + usize::from(self.members.contains(&self.options.id)))
    }

    /// Whether the replica's state is at most `within` old: it follows a leader that was heard from within
    /// that time, or is a leader in contact with a majority.
    pub fn has_recent_state(&self, now: Millis, within: Millis) -> bool {
        match self.role {
            Role::Leader => self.has_quorum_contact(now, within),
            // A follower may receive heartbeats but not the entries: heartbeats are short and entries long,
            // and if its responses do not reach the leader, the entries are not sent again. Its state is
            // stale then.
            _ => {
                let is_stale = self.lagging_since.is_some_and(|since| now.saturating_sub(since) > within / 2);
                self.leader.is_some() && now.saturating_sub(self.last_leader_contact) <= within && !is_stale
            }
        }
    }
}
