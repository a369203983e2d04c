//! Terms and votes: when a machine stands, whom it votes for, when a leader steps down or hands over.

use super::{Member, Message, Progress, Role};
use crate::log::Payload;
use crate::{Id, LogPosition, Time};
use rand::Rng;
use std::collections::BTreeSet;

impl Member {
    pub(super) fn rest(&mut self, now: Time) {
        let wait = self.set.election + self.chance.random_range(0..=self.set.election);
        self.deadline = now + wait;
    }

    /// Asks for votes; `early` only asks beforehand.
    pub(super) fn stand(&mut self, now: Time, early: bool) {
        // Whoever stands already comes again sooner than one that waits for a silent leader: votes may have been split.
        let wait = self.set.election;
        self.deadline = now + wait / 4 + self.chance.random_range(0..=wait * 3 / 4);
        self.votes = BTreeSet::from([self.set.id]);
        self.leader = None;
        if early {
            self.role = Role::Asking;
        } else {
            self.role = Role::Candidate;
            self.hard.term += 1;
            self.hard.vote = Some(self.set.id);
            self.dirty = true;
        }
        self.question(now);
        self.elected(now);
    }

    /// Puts the question to those who have not lent their vote.
    pub(super) fn question(&mut self, now: Time) {
        self.asked = now;
        let early = self.role == Role::Asking;
        let (term, last) = (self.hard.term + u64::from(early), self.log.last());
        let others: Vec<Id> = self.others().into_iter().filter(|id| !self.votes.contains(id)).collect();
        for id in others {
            self.send(id, Message::RequestVote { term, early, last });
        }
    }

    pub(super) fn elected(&mut self, now: Time) {
        if !self.majority(self.votes.len()) {
            return;
        }
        match self.role {
            Role::Asking => self.stand(now, false),
            Role::Candidate => {
                self.role = Role::Leader;
                self.leader = Some(self.set.id);
                self.deadline = now + 2 * self.set.election;
                let next = self.log.last().1 + 1;
                let peer = Progress { next, heard: now, ..Progress::default() };
                self.peers = self.others().into_iter().map(|id| (id, peer.clone())).collect();
                self.reads.clear();
                self.learners.clear();
                self.push(Payload::Blank);
                self.spread(now);
            }
            _ => {}
        }
    }

    pub(super) fn follow(&mut self, now: Time, term: u64, leader: Option<Id>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
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
        now: Time,
        from: Id,
        term: u64,
        early: bool,
        last: LogPosition,
    ) {
        // A leader that still calls is not replaced; a machine that came back must not upset the others.
        let led = self.leader.is_some() && now.saturating_sub(self.heard) < self.set.election;
        let leads = self.role == Role::Leader && self.backed(now, self.set.election);
        if early {
            // Of two that ask each other at the same time with the same log, one yields: else both stand and neither is elected.
            let yields = self.role != Role::Asking || last > self.log.last() || from > self.set.id;
            // Also by one that doesn't know yet that it is a member: the candidate's log may say so, and that counts.
            let granted = yields && !led && !leads && term > self.hard.term && self.may_vote_for(last);
            // One that is behind in terms must learn of it, or the logs of two that can't be elected wait for each other.
            let term = if granted { term } else { self.hard.term };
            self.send(from, Message::Vote { term, early, granted });
            return;
        }
        if term > self.hard.term {
            self.follow(now, term, None);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard.term && free && self.may_vote_for(last);
        if granted {
            self.hard.vote = Some(from);
            self.dirty = true;
            self.rest(now);
        }
        self.send(from, Message::Vote { term: self.hard.term, early, granted });
    }

    /// The peer that holds most, where this machine leads.
    pub(super) fn successor(&self) -> Option<Id> {
        let voters = self.peers.iter().filter(|(id, peer)| peer.counts && self.members.contains(id));
        voters.max_by_key(|(_, peer)| (peer.matched, peer.heard)).map(|(id, _)| *id)
    }

    /// The leader leaves: the peer that holds most stands for election at once.
    pub fn hand_over(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        if let Some(id) = self.successor() {
            self.append(now, id, true);
            self.send(id, Message::TransferLeadership { term: self.hard.term });
        }
    }
}
