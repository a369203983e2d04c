//! Who votes: changed by one machine at a time, through the log. A newcomer is sent the log as a learner, and counts only once
//! it holds it; a machine that leaves is taken out only while those that stay can go on without it.

use super::{Member, Progress, Role};
use crate::log::Payload;
use crate::{MemberId, Millis};

/// A newcomer that is sent the log and doesn't vote yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct Learner {
    /// What it has to hold: the log's end when the round began.
    target: u64,
    /// When the round began.
    since: Millis,
}

/// What a machine that is to stop is told.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Retirement {
    /// It is a member no more, or will not be missed: it may stop.
    MayStop,
    /// It is taken out by this entry: it may stop once that is committed.
    RemovedAt(u64),
    /// Others don't hold everything yet: it should ask again while it has time.
    Wait,
}

/// A learner that was not heard for so many election times is forgotten; it asks again.
const FORGOTTEN: Millis = 10;

impl Member {
    /// The leader changes who votes, by one machine at a time. False where it can't now.
    pub fn change_membership(&mut self, now: Millis, members: Vec<MemberId>) -> bool {
        let differ = members.iter().filter(|id| !self.members.contains(id)).count()
            + self.members.iter().filter(|id| !members.contains(id)).count();
        // Guards against two majorities that don't meet: one change at a time, and none before an entry of this term is
        // committed.
        let open = self.log.has_membership_change_after(self.commit)
            || self.log.term(self.commit) != Some(self.hard_state.term);
        if self.role != Role::Leader || differ != 1 || open || members.is_empty() {
            return false;
        }
        self.push(Payload::Members(members));
        self.members = self.log.members();
        let next = self.log.last_position().1;
        for id in self.others() {
            self.learners.remove(&id);
            self.peers.entry(id).or_insert(Progress { next, heard: now, ..Progress::default() });
        }
        self.spread(now);
        true
    }

    /// A machine that is no member asks to be one: where this machine leads, it is sent the log, and voted in once it holds it.
    /// True where it is on its way in.
    pub fn add_learner(&mut self, now: Millis, id: MemberId) -> bool {
        if self.role != Role::Leader || id == self.set.id || self.members.contains(&id) {
            return false;
        }
        if !self.learners.contains_key(&id) {
            let target = self.log.last_position().1;
            self.learners.insert(id, Learner { target, since: now });
            self.peers.insert(id, Progress { next: target + 1, heard: now, ..Progress::default() });
            self.append(now, id, true);
        }
        true
    }

    /// Learners that hold the log become members, one at a time; those that went silent are forgotten.
    pub(super) fn promote(&mut self, now: Millis) {
        if self.role != Role::Leader {
            return;
        }
        let (election, last) = (self.set.election_timeout, self.log.last_position().1);
        let peers = &self.peers;
        let heard = |id: &MemberId| peers.get(id).map_or(0, |peer| peer.heard);
        self.learners.retain(|id, _| now.saturating_sub(heard(id)) <= FORGOTTEN * election);
        let mut ready = None;
        for (id, learner) in &mut self.learners {
            // Guards against one that held the log and is gone again.
            let sound = |peer: &&Progress| peer.quorum_eligible && now.saturating_sub(peer.heard) <= election;
            let Some(peer) = peers.get(id).filter(sound) else { continue };
            if peer.match_index < learner.target {
                continue;
            }
            // Guards against a newcomer that counts while it has far to go: the last round was as short as an election.
            if now.saturating_sub(learner.since) <= election {
                ready = Some(*id);
            } else {
                *learner = Learner { target: last, since: now };
            }
        }
        if let Some(id) = ready {
            let mut members = self.members.clone();
            members.push(id);
            members.sort_unstable();
            self.change_membership(now, members); // one that can't be made now is tried again
        }
    }

    /// Machines on their way in, as far as this machine leads.
    pub fn learners(&self) -> Vec<MemberId> {
        self.learners.keys().copied().collect()
    }

    /// A member is to stop, for a while or for good. Where there are more members than the losses to be borne ask for, it is
    /// taken out, so that its silence weighs on no majority. Nothing where this machine doesn't lead.
    pub fn retire(&mut self, now: Millis, id: MemberId) -> Option<Retirement> {
        if self.role != Role::Leader || id == self.set.id {
            return None;
        }
        if !self.members.contains(&id) {
            // Guards against stopping on a change that may still be undone: it counts from its append on, and is certain only
            // once it is committed.
            let open = self.log.has_membership_change_after(self.commit);
            return Some(if open { Retirement::Wait } else { Retirement::MayStop });
        }
        let rest: Vec<MemberId> = self.members.iter().copied().filter(|member| *member != id).collect();
        let sound = self.sound(now, &rest);
        let enough = sound * 2 > rest.len();
        if self.members.len() > self.min_members() && enough {
            let changed = self.change_membership(now, rest);
            return Some(if changed {
                Retirement::RemovedAt(self.log.last_position().1)
            } else {
                Retirement::Wait
            });
        }
        // Guards against stopping one that the others can't go on without: they must be a majority that holds everything, and
        // a newcomer that is on its way in may be its successor.
        let go = self.majority(sound) && self.learners.is_empty();
        Some(if go { Retirement::MayStop } else { Retirement::Wait })
    }

    /// Members that the losses to be borne ask for.
    pub fn min_members(&self) -> usize {
        2 * self.set.tolerated_losses + 1
    }

    /// How many of these are heard, count, and hold everything that is committed.
    fn sound(&self, now: Millis, members: &[MemberId]) -> usize {
        let sound = |id: &&MemberId| {
            let peer = self.peers.get(id);
            **id == self.set.id
                || peer.is_some_and(|peer| {
                    peer.quorum_eligible
                        && peer.match_index >= self.commit
                        && now.saturating_sub(peer.heard) <= 2 * self.set.election_timeout
                })
        };
        members.iter().filter(sound).count()
    }

    /// How many further members may be lost right now with a majority left that holds everything: known to the leader alone.
    pub fn further_losses(&self, now: Millis) -> Option<usize> {
        let leads = self.role == Role::Leader && self.backed(now, 2 * self.set.election_timeout);
        leads.then(|| self.sound(now, &self.members).saturating_sub(self.members.len() / 2 + 1))
    }

    /// A member that is silent for so long while there are more members than the losses to be borne ask for: another has
    /// taken its place, and its vote would only stand in the way of a majority.
    pub fn silent_surplus_member(&self, now: Millis, silence: Millis) -> Option<MemberId> {
        if self.role != Role::Leader || self.members.len() <= self.min_members() {
            return None;
        }
        let silent = |(id, peer): &(&MemberId, &Progress)| {
            self.members.contains(id) && now.saturating_sub(peer.heard) > silence
        };
        self.peers.iter().find(silent).map(|(id, _)| *id)
    }
}
