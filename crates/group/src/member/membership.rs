//! Who belongs to the group, and who leads it.

use super::Member;
use crate::calls::Stand;
use crate::lease::Time;
use crate::record::MemberId;
use raft::prelude::ConfChange;
use raft::prelude::ConfChangeType;

impl Member {
    pub(super) fn may_lead(&self, now: Time) -> Result<(), String> {
        let Stand { term, leads, .. } = self.stand(now);
        let leader = self.raft.raft.leader_id;
        let hint = if leader == 0 || leader == self.set.id {
            String::new()
        } else {
            format!("; member {leader} may")
        };
        if leads {
            Ok(())
        } else {
            Err(format!("member {} does not lead in term {term}{hint}", self.set.id))
        }
    }

    /// Hands leadership to another member. From here on this one begins no call.
    pub fn transfer(&mut self, now: Time, to: MemberId) -> Result<(), String> {
        self.may_lead(now)?;
        if to == self.set.id {
            return Err(format!("member {to} leads already"));
        }
        if !self.record.members.get(&to).is_some_and(|member| member.votes) {
            return Err(format!("member {to} is no member that votes"));
        }
        if self.handing.is_some() {
            return Err("a hand-over is under way".into());
        }
        self.handing = Some((to, now, false));
        Ok(())
    }

    /// Goes on with a hand-over: first a call that is out has its end, then the lease is given up, then the other
    /// one is told. One that comes to nothing ends in an election: the message may still be on its way.
    pub(super) fn hand_over(&mut self, now: Time) {
        let Some((to, since, begun)) = self.handing else { return };
        let limit = 2 * self.set.election as Time * self.set.tick;
        if !begun && !self.calls.out() {
            self.lease.bar(self.raft.raft.term);
            self.raft.transfer_leader(to);
            self.handing = Some((to, now, true));
        } else if begun && now >= since + limit {
            let term = self.raft.raft.term;
            self.raft.raft.become_follower(term, 0);
            self.role(now);
        }
    }

    pub(super) fn change(&mut self, id: MemberId, kind: ConfChangeType, address: &str) -> Result<(), String> {
        if self.raft.raft.has_pending_conf() {
            return Err("another change of members is under way; try again".into());
        }
        let mut change = ConfChange { node_id: id, ..ConfChange::default() };
        change.set_change_type(kind);
        change.set_context(address.as_bytes().to_vec().into());
        self.raft.propose_conf_change(Vec::new(), change).map_err(|problem| problem.to_string())
    }

    /// Adds an instance, as a learner first; it votes once it has caught up.
    pub fn add(&mut self, now: Time, id: MemberId, address: &str) -> Result<(), String> {
        self.may_lead(now)?;
        if id == 0 || self.record.removed.contains(&id) {
            return Err(format!("number {id} was used before; a member that comes back takes a new one"));
        }
        if let Some(member) = self.record.members.get(&id) {
            return Err(format!("member {id} is there already, at {}", member.address));
        }
        self.change(id, ConfChangeType::AddLearnerNode, address)
    }

    /// Removes an instance; its number is never given again.
    pub fn remove(&mut self, now: Time, id: MemberId) -> Result<(), String> {
        self.may_lead(now)?;
        if !self.record.members.contains_key(&id) {
            return Err(format!("there is no member {id}"));
        }
        if id == self.set.id {
            return Err(format!("member {id} leads: hand leadership over first"));
        }
        self.change(id, ConfChangeType::RemoveNode, "")
    }

    /// Lets learners vote that have caught up and are known by their store.
    pub(super) fn promote(&mut self) {
        if self.raft.raft.has_pending_conf() {
            return;
        }
        let commit = self.raft.raft.raft_log.committed;
        let ready = |id: &MemberId| {
            self.raft.raft.prs().get(*id).is_some_and(|progress| progress.matched + 16 >= commit)
        };
        let mut learners = self.record.members.iter().filter(|(_, member)| !member.votes);
        let next = learners.find(|(id, member)| member.store.is_some() && ready(id)).map(|(id, _)| *id);
        if let Some(id) = next {
            let _ = self.change(id, ConfChangeType::AddNode, ""); // tried again at the next tick
        }
    }
}
