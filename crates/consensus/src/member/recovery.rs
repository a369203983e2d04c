//! The return of a machine that lost its disk: it asks what the others hold before it counts again.

use super::Member;
use crate::{Id, Mark, Time};
use rand::Rng;

impl Member {
    /// All but `losses` of the members have said what they hold: one of them holds whatever this machine helped to
    /// acknowledge before its disk was lost. It counts again once its log holds the most of what they told.
    pub(super) fn recalled(
        &mut self,
        now: Time,
        from: Id,
        term: u64,
        last: Mark,
        members: Vec<Id>,
        whole: bool,
    ) {
        if !whole || members.is_empty() {
            self.answers.remove(&from);
            return;
        }
        if self.members.is_empty() || !self.members.contains(&from) {
            self.members = members.clone(); // whom to ask next; replaced by the log's own word later
        }
        self.answers.insert(from, (term, last, members));
        // The answer that holds most says who votes: a change of members that was acknowledged is in it as soon as enough
        // have answered.
        let Some((_, _, members)) = self.answers.values().max_by_key(|it| it.1) else { return };
        let need = members.len().saturating_sub(self.set.losses).max(1);
        let heard: Vec<_> =
            self.answers.iter().filter(|(id, _)| members.contains(id)).map(|(_, it)| it).collect();
        if heard.len() >= need {
            let term = heard.iter().map(|it| it.0).max().unwrap_or(0);
            let most = heard.iter().map(|it| it.1).max().unwrap_or((0, 0));
            // One that was never a member has promised nothing that counts.
            let target = if members.contains(&self.set.id) { most } else { (0, 0) };
            self.begin(now, term, target);
        }
    }

    pub(super) fn begin(&mut self, now: Time, term: u64, target: Mark) {
        self.hard.term = self.hard.term.max(term);
        // Guards against a second vote in a term in which this machine may have lent one: none is lent in it.
        self.hard.vote = Some(0);
        self.hard.target = Some(target);
        self.dirty = true;
        // Of a disk that is empty, nobody; whoever sends the log says more.
        self.members = self.log.members();
        self.rest(now);
        self.caught_up();
    }

    /// This machine's disk holds less than it had told: it asks the others, as after the loss of it.
    pub(super) fn forget(&mut self, now: Time) {
        (self.hard.lost, self.hard.target) = (true, None);
        (self.dirty, self.whole) = (true, false);
        self.answers.clear();
        self.call = self.chance.random();
        self.asked = 0;
        self.rest(now);
    }

    /// Ends the return of a lost disk once the log holds what it must.
    pub(super) fn caught_up(&mut self) {
        if self.hard.lost && self.hard.target.is_some_and(|target| self.log.last() >= target) {
            (self.hard.lost, self.hard.target) = (false, None);
            self.dirty = true;
        }
    }
}
