//! Terms and votes: when a machine stands, whom it votes for, when a leader steps down or hands over.

use super::{Member, Message, Progress, Role};
use crate::log::Payload;
use crate::{LogPosition, MemberId, Millis};
use rand::Rng;
use std::collections::BTreeSet;

impl Member {
    pub(super) fn rest(&mut self, now: Millis) {
        let wait = self.set.election_timeout + self.chance.random_range(0..=self.set.election_timeout);
        self.deadline = now + wait;
    }

    /// Asks for votes; `early` only asks beforehand.
    pub(super) fn stand(&mut self, now: Millis, pre_vote: bool) {
        // Whoever stands already comes again sooner than one that waits for a silent leader: votes may have been split.
        let wait = self.set.election_timeout;
        self.deadline = now + wait / 4 + self.chance.random_range(0..=wait * 3 / 4);
        self.votes = BTreeSet::from([self.set.id]);
        self.leader = None;
        if pre_vote {
            self.role = Role::Asking;
        } else {
            self.role = Role::Candidate;
            self.hard_state.term += 1;
            self.hard_state.vote = Some(self.set.id);
            self.dirty = true;
        }
        self.question(now);
        self.elected(now);
    }

    /// Puts the question to those who have not lent their vote.
    pub(super) fn question(&mut self, now: Millis) {
        self.asked = now;
        let pre_vote = self.role == Role::Asking;
        let (term, last) = (self.hard_state.term + u64::from(pre_vote), self.log.last_position());
        let others: Vec<MemberId> = self.others().into_iter().filter(|id| !self.votes.contains(id)).collect();
        for id in others {
            self.send(id, Message::RequestVote { term, pre_vote, last });
        }
    }

    pub(super) fn elected(&mut self, now: Millis) {
        if !self.majority(self.votes.len()) {
            return;
        }
        match self.role {
            Role::Asking => self.stand(now, false),
            Role::Candidate => {
                self.role = Role::Leader;
                self.leader = Some(self.set.id);
                self.deadline = now + 2 * self.set.election_timeout;
                let next = self.log.last_position().1 + 1;
                let peer = Progress { next, heard: now, ..Progress::default() };
                self.peers = self.others().into_iter().map(|id| (id, peer.clone())).collect();
                self.reads.clear();
                self.learners.clear();
                self.push(Payload::Noop);
                self.spread(now);
            }
            _ => {}
        }
    }

    pub(super) fn follow(&mut self, now: Millis, term: u64, leader: Option<MemberId>) {
        if term > self.hard_state.term {
            self.hard_state.term = term;
            self.hard_state.vote = None;
            self.dirty = true;
        }
        if self.role != Role::Follower || leader.is_some() {
            self.rest(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reads.clear();
        if leader.is_some() {
            self.heard = now;
        }
    }

    pub(super) fn answer_vote_request(
        &mut self,
        now: Millis,
        from: MemberId,
        term: u64,
        pre_vote: bool,
        last: LogPosition,
    ) {
        // A leader that still calls is not replaced; a machine that came back must not upset the others.
        let led = self.leader.is_some() && now.saturating_sub(self.heard) < self.set.election_timeout;
        let leads = self.role == Role::Leader && self.backed(now, self.set.election_timeout);
        if pre_vote {
            // Of two that ask each other at the same time with the same log, one yields: else both stand and neither is elected.
            let yields = self.role != Role::Asking || last > self.log.last_position() || from > self.set.id;
            // Also by one that doesn't know yet that it is a member: the candidate's log may say so, and that counts.
            let granted = yields && !led && !leads && term > self.hard_state.term && self.may_vote_for(last);
            // One that is behind in terms must learn of it, or the logs of two that can't be elected wait for each other.
            let term = if granted { term } else { self.hard_state.term };
            self.send(from, Message::VoteResponse { term, pre_vote, granted });
            return;
        }
        if term > self.hard_state.term {
            self.follow(now, term, None);
        }
        let free = self.hard_state.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard_state.term && free && self.may_vote_for(last);
        if granted {
            self.hard_state.vote = Some(from);
            self.dirty = true;
            self.rest(now);
        }
        self.send(from, Message::VoteResponse { term: self.hard_state.term, pre_vote, granted });
    }

    /// The peer that holds most, where this machine leads.
    pub(super) fn successor(&self) -> Option<MemberId> {
        let voters = self.peers.iter().filter(|(id, peer)| peer.quorum_eligible && self.members.contains(id));
        voters.max_by_key(|(_, peer)| (peer.match_index, peer.heard)).map(|(id, _)| *id)
    }

    /// The leader leaves: the peer that holds most stands for election at once.
    pub fn transfer_leadership(&mut self, now: Millis) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(id) = self.successor() {
            self.append(now, id, true);
            self.send(id, Message::TransferLeadership { term: self.hard_state.term });
        }
    }
}
