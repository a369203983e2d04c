//! Membership changes, one replica at a time, through the log. A new replica is sent the log as a learner and
//! becomes a voting member only once it holds it. A replica that stops is removed only while the remaining
//! members can go on without it.

use super::{Member, Progress, Role};
use crate::log::Payload;
use crate::{MemberId, Millis};

/// A new replica that is sent the log and does not vote yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Learner {
    /// Index that the learner must reach: the end of the log when the catch-up round began.
    target: u64,
    /// When the round began.
    since: Millis,
}

/// The answer to a replica that wants to stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// It is no longer a member, or the others can go on without it: it may stop.
    MayStop,
    /// The entry at this index removes it: it may stop once the entry is committed.
    RemovedAt(u64),
    /// Other members do not hold everything yet: it should ask again for as long as it can.
    Wait,
}

/// A learner that has been silent for this many election timeouts is dropped. It asks to join again.
const LEARNER_TIMEOUT_ELECTIONS: Millis = 10;

impl Member {
    /// Changes the members, as leader, by one replica at a time. Returns false if the change is not possible
    /// now.
    pub fn change_membership(&mut self, now: Millis, members: Vec<MemberId>) -> bool {
        let differences = members.iter().filter(|id| !self.members.contains(id)).count()
            + self.members.iter().filter(|id| !members.contains(id)).count();
        // To keep any two majorities overlapping, there is only one change at a time, and none before an
        // entry of the current term is committed.
        let change_pending = self.log.has_membership_change_after(self.commit_index)
            || self.log.term(self.commit_index) != Some(self.hard_state.term);
        if self.role != Role::Leader || differences != 1 || change_pending || members.is_empty() {
            return false;
        }
        self.append_local(Payload::Members(members));
        self.members = self.log.members();
        let next_index = self.log.last_position().1;
        for id in self.other_members() {
            self.learners.remove(&id);
            self.peers.entry(id).or_insert(Progress { next_index, last_heard: now, ..Progress::default() });
        }
        self.replicate_to_all(now);
        true
    }

    /// Adds a replica that asks to join. The leader sends it the log and makes it a member once it holds the
    /// log. Returns true if the replica is now a learner.
    pub fn add_learner(&mut self, now: Millis, id: MemberId) -> bool {
        if self.role != Role::Leader || id == self.options.id || self.members.contains(&id) {
            return false;
        }
        if !self.learners.contains_key(&id) {
            let target = self.log.last_position().1;
            self.learners.insert(id, Learner { target, since: now });
            self.peers
                .insert(id, Progress { next_index: target + 1, last_heard: now, ..Progress::default() });
            self.send_append(now, id, true);
        }
        true
    }

    /// Makes learners that hold the log members, one at a time, and drops those that went silent.
    pub(super) fn promote_learners(&mut self, now: Millis) {
        if self.role != Role::Leader {
            return;
        }
        let (election_timeout, last) = (self.options.election_timeout, self.log.last_position().1);
        let peers = &self.peers;
        let last_heard = |id: &MemberId| peers.get(id).map_or(0, |peer| peer.last_heard);
        self.learners.retain(|id, _| {
            now.saturating_sub(last_heard(id)) <= LEARNER_TIMEOUT_ELECTIONS * election_timeout
        });
        let mut promotable = None;
        for (id, learner) in &mut self.learners {
            // A learner that held the log may have stopped since.
            let is_healthy = |peer: &&Progress| {
                peer.quorum_eligible && now.saturating_sub(peer.last_heard) <= election_timeout
            };
            let Some(peer) = peers.get(id).filter(is_healthy) else { continue };
            if peer.match_index < learner.target {
                continue;
            }
            // A new member must not still have a long way to go: its last catch-up round took at most an
            // election timeout.
            if now.saturating_sub(learner.since) <= election_timeout {
                promotable = Some(*id);
            } else {
                *learner = Learner { target: last, since: now };
            }
        }
        if let Some(id) = promotable {
            let mut members = self.members.clone();
            members.push(id);
            members.sort_unstable();
            self.change_membership(now, members); // retried on a later tick if not possible now
        }
    }

    /// The current learners, while this replica is the leader.
    pub fn learners(&self) -> Vec<MemberId> {
        self.learners.keys().copied().collect()
    }

    /// Handles the request of a member that is about to stop, temporarily or for good. If there are more
    /// members than the tolerated losses require, it is removed, so that its silence does not weaken any
    /// majority. Returns `None` if this replica is not the leader.
    pub fn retire(&mut self, now: Millis, id: MemberId) -> Option<Retirement> {
        if self.role != Role::Leader || id == self.options.id {
            return None;
        }
        if !self.members.contains(&id) {
            // A membership change takes effect when it is appended but may still be undone until it is
            // committed. A replica must not stop on the strength of an uncommitted change.
            let change_pending = self.log.has_membership_change_after(self.commit_index);
            return Some(if change_pending { Retirement::Wait } else { Retirement::MayStop });
        }
        let remaining: Vec<MemberId> = self.members.iter().copied().filter(|member| *member != id).collect();
        let healthy = self.count_healthy(now, &remaining);
        let remaining_quorum = healthy * 2 > remaining.len();
        if self.members.len() > self.min_members() && remaining_quorum {
            let changed = self.change_membership(now, remaining);
            return Some(if changed {
                Retirement::RemovedAt(self.log.last_position().1)
            } else {
                Retirement::Wait
            });
        }
        // A member may stop only if the others can go on without it: a majority must hold everything, and no
        // learner may be on its way in, since it may be this member's successor.
        let dispensable = self.is_majority(healthy) && self.learners.is_empty();
        Some(if dispensable { Retirement::MayStop } else { Retirement::Wait })
    }

    /// The number of members that the tolerated losses require.
    pub fn min_members(&self) -> usize {
        2 * self.options.tolerated_losses + 1
    }

    /// How many of these members have been heard from recently, are counted, and hold all committed entries.
    fn count_healthy(&self, now: Millis, members: &[MemberId]) -> usize {
        let is_healthy = |id: &&MemberId| {
            let peer = self.peers.get(id);
            **id == self.options.id
                || peer.is_some_and(|peer| {
                    peer.quorum_eligible
                        && peer.match_index >= self.commit_index
                        && now.saturating_sub(peer.last_heard) <= 2 * self.options.election_timeout
                })
        };
        members.iter().filter(is_healthy).count()
    }

    /// How many more members may be lost right now while a majority that holds everything remains. Only the
    /// leader knows.
    pub fn further_losses(&self, now: Millis) -> Option<usize> {
        let leads =
            self.role == Role::Leader && self.has_quorum_contact(now, 2 * self.options.election_timeout);
        leads.then(|| self.count_healthy(now, &self.members).saturating_sub(self.members.len() / 2 + 1))
    }

    /// A member that has been silent for this long while there are more members than the tolerated losses
    /// require. Another has taken its place, and counting it only makes a majority harder to reach.
    pub fn silent_surplus_member(&self, now: Millis, silence: Millis) -> Option<MemberId> {
        if self.role != Role::Leader || self.members.len() <= self.min_members() {
            return None;
        }
        let silent = |(id, peer): &(&MemberId, &Progress)| {
            self.members.contains(id) && now.saturating_sub(peer.last_heard) > silence
        };
        self.peers.iter().find(silent).map(|(id, _)| *id)
    }
}
