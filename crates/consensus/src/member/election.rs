//! Terms and votes: when a replica starts an election, whom it votes for, and when a leader steps down or
//! transfers its leadership.

use super::{Member, Message, Progress, Role};
use crate::log::Payload;
use crate::{LogPosition, MemberId, Millis};
use rand::Rng;
use std::collections::BTreeSet;

impl Member {
    /// Draws a new election deadline.
    pub(super) fn reset_deadline(&mut self, now: Millis) {
        let wait = self.options.election_timeout + self.rng.random_range(0..=self.options.election_timeout);
        self.deadline = now + wait;
    }

    /// Starts an election, or with `pre_vote` only asks whether it would be won.
    pub(super) fn start_campaign(&mut self, now: Millis, pre_vote: bool) {
        // A candidate retries sooner than a follower of a silent leader starts an election, since votes may
        // have been split.
        let wait = self.options.election_timeout;
        self.deadline = now + wait / 4 + self.rng.random_range(0..=wait * 3 / 4);
        self.votes = BTreeSet::from([self.options.id]);
        self.leader = None;
        if pre_vote {
            self.role = Role::Asking;
        } else {
            self.role = Role::Candidate;
            self.hard_state.term += 1;
            self.hard_state.voted_for = Some(self.options.id);
            self.hard_state_dirty = true;
        }
        self.request_votes(now);
        self.check_election(now);
    }

    /// Requests votes from the members that have not granted theirs.
    pub(super) fn request_votes(&mut self, now: Millis) {
        self.last_request_sent = now;
        let pre_vote = self.role == Role::Asking;
        let (term, last) = (self.hard_state.term + u64::from(pre_vote), self.log.last_position());
        let others: Vec<MemberId> =
            self.other_members().into_iter().filter(|id| !self.votes.contains(id)).collect();
        for id in others {
            self.send(id, Message::RequestVote { term, pre_vote, last });
        }
    }

    /// Acts on a majority of votes: a pre-candidate starts the real election, a candidate becomes leader.
    pub(super) fn check_election(&mut self, now: Millis) {
        if !self.is_majority(self.votes.len()) {
            return;
        }
        match self.role {
            Role::Asking => self.start_campaign(now, false),
            Role::Candidate => {
                self.role = Role::Leader;
                self.leader = Some(self.options.id);
                self.deadline = now + 2 * self.options.election_timeout;
                let next_index = self.log.last_position().1 + 1;
                let peer = Progress { next_index, last_heard: now, ..Progress::default() };
                self.peers = self.other_members().into_iter().map(|id| (id, peer.clone())).collect();
                self.pending_reads.clear();
                self.learners.clear();
                self.append_local(Payload::Noop);
                self.replicate_to_all(now);
            }
            _ => {}
        }
    }

    /// Becomes a follower of `leader`, if it is known, and moves to `term` if that is later.
    pub(super) fn become_follower(&mut self, now: Millis, term: u64, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.voted_for = None;
            self.hard_state_dirty = true;
        }
        if self.role != Role::Follower || leader.is_some() {
            self.reset_deadline(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.pending_reads.clear();
        if leader.is_some() {
            self.last_leader_contact = now;
        }
    }

    /// Grants or refuses a vote or a pre-vote.
    pub(super) fn handle_vote_request(
        &mut self,
        now: Millis,
        from: MemberId,
        term: u64,
        pre_vote: bool,
        last: LogPosition,
    ) {
        // A pre-vote is refused while a leader still sends heartbeats, so that a returning replica does not
        // disrupt the others.
        let has_leader = self.leader.is_some()
            && now.saturating_sub(self.last_leader_contact) < self.options.election_timeout;
        let is_active_leader =
            self.role == Role::Leader && self.has_quorum_contact(now, self.options.election_timeout);
        if pre_vote {
            // If two replicas with equal logs ask each other at the same time, one must yield: otherwise both
            // become candidates and neither is elected.
            let yields =
                self.role != Role::Asking || last > self.log.last_position() || from > self.options.id;
            // A replica that does not know yet that it is a member grants its vote too: the candidate's log
            // may say that it is a member, and then the vote counts.
            let granted = yields
                && !has_leader
                && !is_active_leader
                && term > self.hard_state.term
                && self.may_vote_for(last);
            // A requester with an older term must learn the current one. Otherwise two replicas that cannot
            // be elected would wait for each other.
            let term = if granted { term } else { self.hard_state.term };
            self.send(from, Message::VoteResponse { term, pre_vote, granted });
            return;
        }
        if term > self.hard_state.term {
            self.become_follower(now, term, None);
        }
        let vote_available = self.hard_state.voted_for.is_none_or(|candidate| candidate == from);
        let granted = term == self.hard_state.term && vote_available && self.may_vote_for(last);
        if granted {
            self.hard_state.voted_for = Some(from);
            self.hard_state_dirty = true;
            self.reset_deadline(now);
        }
        self.send(from, Message::VoteResponse { term: self.hard_state.term, pre_vote, granted });
    }

    /// The member that holds the most entries, while this replica is the leader.
    pub(super) fn best_transferee(&self) -> Option<MemberId> {
        let voters = self.peers.iter().filter(|(id, peer)| peer.quorum_eligible && self.members.contains(id));
        voters.max_by_key(|(_, peer)| (peer.match_index, peer.last_heard)).map(|(id, _)| *id)
    }

    /// Steps aside as leader: asks the member that holds the most entries to start an election at once.
    pub fn transfer_leadership(&mut self, now: Millis) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(id) = self.best_transferee() {
            self.send_append(now, id, true);
            self.send(id, Message::TransferLeadership { term: self.hard_state.term });
        }
    }
}
