//! What a machine asks the others before it counts: at each start, since an earlier state of its disk may have been put back, and
//! after the loss of its disk.
//!
//! What is relied on at a start: the machines whose disk was lost or put back, and those that don't answer within
//! [`ABSENT`] of the start, are no more than `losses` together. Then one that answers holds whatever the disk that was put
//! back had helped to acknowledge, and one has heard of each term in which it voted. A machine whose disk is sound serves with
//! any majority: at once where all members answer, else once the silent ones are taken for absent.

use super::{Held, Member, Message, Start, StateIntegrity};
use crate::{LogPosition, MemberId, Millis};
use rand::Rng;

/// Half election times after which a member that doesn't answer a machine that starts is taken for absent. Machines that start
/// together, also after a loss of all power, are up within this.
const ABSENT: Millis = 5;
/// Milliseconds between two questions to a machine that has not answered.
const ASK_AGAIN: Millis = 200;
/// Election times without progress after which a machine that waits for entries asks anew: whoever had them may be gone.
const ASK_ANEW: Millis = 4;

impl Member {
    /// How far this machine's word can be relied on.
    pub(super) fn integrity(&self) -> StateIntegrity {
        match self.complete() {
            true => StateIntegrity::Complete,
            false if self.hard_state.lost => StateIntegrity::Lost,
            false => StateIntegrity::Unconfirmed,
        }
    }

    /// Asks those that have not answered yet what they hold.
    pub(super) fn ask_others(&mut self, now: Millis) {
        if self.asked != 0 && now < self.asked + ASK_AGAIN {
            return;
        }
        self.asked = now.max(1);
        // Those that came in while this machine was away are known to whoever answers.
        let told = self.answers.values().flat_map(|held| &held.members);
        let known = self.seeds.iter().chain(&self.members).chain(told).copied();
        // One without a memory may have one by now.
        let remembers =
            |id: &MemberId| self.answers.get(id).is_some_and(|held| held.integrity != StateIntegrity::Lost);
        let mut whom: Vec<MemberId> = known.filter(|id| *id != self.set.id && !remembers(id)).collect();
        whom.sort_unstable();
        whom.dedup();
        let query_id = self.query_id;
        for id in whom {
            self.send(id, Message::QueryState { query_id });
        }
    }

    /// Whoever asks has just come up: where this machine waits for its answer, it is asked at once.
    pub(super) fn ask_back(&mut self, from: MemberId) {
        let waits = !self.hard_state.lost && matches!(self.start, Start::Asking(_));
        if waits && !self.answers.contains_key(&from) {
            let query_id = self.query_id;
            self.send(from, Message::QueryState { query_id });
        }
    }

    /// Answers to earlier questions count no more.
    pub(super) fn begin_asking(&mut self) {
        self.answers.clear();
        self.query_id = self.chance.random();
        self.asked = 0;
    }

    /// Time passes for a machine that has not confirmed its start.
    pub(super) fn check_start(&mut self, now: Millis) {
        match self.start {
            Start::Asking(_) if !self.hard_state.lost => {
                self.ask_others(now);
                self.confirm_start(now);
            }
            Start::Behind(_) if now >= self.deadline + ASK_ANEW * self.set.election_timeout => {
                self.start = Start::Asking(now);
                self.begin_asking();
            }
            _ => {}
        }
    }

    /// Goes on from its disk once all other members have answered, or a majority with itself while the rest is taken for absent.
    pub(super) fn confirm_start(&mut self, now: Millis) {
        let Start::Asking(since) = self.start else { return };
        // The answer that holds most says who votes.
        let newest = self
            .answers
            .values()
            .max_by_key(|held| held.last)
            .filter(|it| it.last > self.log.last_position());
        let members = newest.map_or(&self.members, |held| &held.members);
        let others = || members.iter().filter(|id| **id != self.set.id);
        let all = others().all(|id| self.answers.contains_key(id));
        let remember =
            |id: &&MemberId| self.answers.get(id).is_some_and(|held| held.integrity != StateIntegrity::Lost);
        // A majority goes on, whatever losses are to be borne: it could lead without the rest.
        let enough = (others().filter(remember).count() + 1) * 2 > members.len();
        let absent = now >= since + ABSENT * self.set.election_timeout / 2;
        let may_go_on = all || (enough && absent);
        if !may_go_on {
            return;
        }
        // Only what members hold may be committed: a learner's further entries may be on no other machine.
        let told: Vec<&Held> = others().filter_map(|id| self.answers.get(id)).collect();
        let term = told.iter().map(|held| held.term).max().unwrap_or(0);
        let most = told.iter().map(|held| held.last).max().unwrap_or((0, 0));
        self.hard_state.term = self.hard_state.term.max(term);
        // Guards against a second vote in a term in which this machine may have voted before its disk was put back.
        self.hard_state.vote = Some(0);
        self.dirty = true;
        self.answers.clear();
        if most > self.log.last_position() {
            self.start = Start::Behind(most);
            self.rest(now); // it waits for what it lacks from now on
        } else {
            self.start = Start::Confirmed;
        }
    }

    /// Whether this machine may vote for a candidate whose log ends here.
    pub(super) fn may_vote_for(&self, last: LogPosition) -> bool {
        // Guards against electing one that lacks what this machine's disk held before an earlier state of it was put back.
        let holds = self.catch_up_target().is_none_or(|most| last >= most);
        self.is_quorum_eligible() && holds && last >= self.log.last_position()
    }

    /// All but `losses` of the members have said what they hold: one of them holds whatever this machine helped to
    /// acknowledge before its disk was lost. It counts again once its log holds the most of what they told.
    pub(super) fn recalled(&mut self, now: Millis, from: MemberId, held: Held) {
        if held.integrity != StateIntegrity::Complete || held.members.is_empty() {
            self.answers.remove(&from);
            return;
        }
        if self.members.is_empty() || !self.members.contains(&from) {
            self.members = held.members.clone(); // whom to ask next; replaced by the log's own word later
        }
        self.answers.insert(from, held);
        // The answer that holds most says who votes: a change of members that was acknowledged is in it as soon as enough
        // have answered.
        let Some(newest) = self.answers.values().max_by_key(|held| held.last) else { return };
        let members = &newest.members;
        let need = members.len().saturating_sub(self.set.tolerated_losses).max(1);
        let heard: Vec<&Held> =
            self.answers.iter().filter(|(id, _)| members.contains(id)).map(|(_, held)| held).collect();
        if heard.len() >= need {
            let term = heard.iter().map(|held| held.term).max().unwrap_or(0);
            let most = heard.iter().map(|held| held.last).max().unwrap_or((0, 0));
            // One that was never a member has promised nothing that counts.
            let target = if members.contains(&self.set.id) { most } else { (0, 0) };
            self.begin(now, term, target);
        }
    }

    pub(super) fn begin(&mut self, now: Millis, term: u64, target: LogPosition) {
        self.hard_state.term = self.hard_state.term.max(term);
        // Guards against a second vote in a term in which this machine may have lent one: none is lent in it.
        self.hard_state.vote = Some(0);
        self.hard_state.target = Some(target);
        self.dirty = true;
        // What it must hold stands on its disk from now on.
        self.start = Start::Confirmed;
        // Of a disk that is empty, nobody; whoever sends the log says more.
        self.members = self.log.members();
        self.rest(now);
        self.caught_up();
    }

    /// This machine's disk holds less than it had told: it asks the others, as after the loss of it.
    pub(super) fn forget(&mut self, now: Millis) {
        (self.hard_state.lost, self.hard_state.target) = (true, None);
        (self.dirty, self.whole) = (true, false);
        self.begin_asking();
        self.rest(now);
    }

    /// Ends the return of a lost disk, or of one that was behind, once the log holds what it must.
    pub(super) fn caught_up(&mut self) {
        if matches!(self.start, Start::Behind(most) if self.log.last_position() >= most) {
            self.start = Start::Confirmed;
        }
        if self.hard_state.lost
            && self.hard_state.target.is_some_and(|target| self.log.last_position() >= target)
        {
            (self.hard_state.lost, self.hard_state.target) = (false, None);
            self.dirty = true;
        }
    }
}
