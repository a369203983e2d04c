//! Votes cast and stages told (page; when a vote is cast again is ours).

use super::*;

impl Marshal {
    /// What the group tells. A decision to send back stands above all; one to go on holds for its stage.
    pub(super) fn group(&mut self, news: GroupMessage, out: &mut Vec<Action>) {
        match news {
            GroupMessage::Leadership(leads) => self.group.leads = leads,
            GroupMessage::PooledEvidence(pool) => self.group.pool = Some(pool),
            GroupMessage::ExposureGrant(build, cap) => self.group.granted = Some((build, cap)),
            GroupMessage::Decided(build, stage, vote) => {
                if vote == Vote::Revert {
                    self.condemned.insert(build);
                }
                let back = |(of, _, was): (Build, u32, Vote)| of == build && was == Vote::Revert;
                if !self.group.decided.is_some_and(back) {
                    self.group.decided = Some((build, stage, vote));
                }
                self.vote(out);
            }
        }
    }

    /// Casts the vote for what this marshal holds, again when it lapses or went unheard.
    pub(super) fn vote(&mut self, out: &mut Vec<Action>) {
        let (Some(news), held) = (&self.news, self.trial.held.is_some()) else { return };
        let agreed = self.group.decided == Some((news.build, news.stage, Vote::Advance));
        let vote = match (news.phase, self.condemned.contains(&news.build), self.set.control) {
            (Phase::Trial | Phase::Released, true, _) => Vote::Revert,
            (Phase::Trial, false, StageControl::Votes) if self.trial.clean || agreed => Vote::Advance,
            (Phase::Trial, false, StageControl::Timed) if held && !self.trial.clean => Vote::Hold,
            _ => return,
        };
        if self.set.group_decisions && vote != Vote::Hold {
            // Only what the group has decided is voted: by the one that leads where one vote is enough, by
            // all where several are wanted. Guards against two instances that act on two judgements.
            let (build, stage) = (news.build, news.stage);
            if !self.group.decided.is_some_and(|(of, at, was)| (of, was) == (build, vote) && at <= stage)
                || (vote == Vote::Advance && self.group.decided.map(|(_, at, _)| at) != Some(stage))
            {
                out.extend(self.group.leads.then_some(Action::ProposeDecision { build, stage, vote }));
                return;
            }
            let wanted = if vote == Vote::Revert { self.set.revert_votes } else { self.set.advance_votes };
            if wanted <= 1 && !self.group.leads {
                return;
            }
        }
        if let Some(cast) = &self.calls.cast {
            let same = cast.what == (news.build, news.stage, vote);
            // One that still stands adds nobody: renewed late where the platform's calls are few for so many.
            let stands = self.calls.turn.max(self.set.vote_ttl * 0.5).min(self.set.vote_ttl);
            let life = if cast.answered { stands } else { self.set.vote_answer_timeout };
            let waits = vote != Vote::Revert || cast.what.2 == vote; // a first vote back takes no turn
            if (same && self.now < cast.at + life) || (waits && self.now < self.calls.next_call) {
                return;
            }
        }
        self.calls.next_call = self.now + if vote == Vote::Revert { BEAT } else { self.calls.turn.max(BEAT) };
        self.calls.cast = Some(Cast { what: (news.build, news.stage, vote), at: self.now, answered: false });
        out.push(Action::CastVote { build: news.build, stage: news.stage, vote });
    }

    /// News of the newest build, or the answer to a vote.
    pub(super) fn stage(&mut self, news: StageReport, out: &mut Vec<Action>) {
        if let (true, Some(cast)) = (news.answers_vote, &mut self.calls.cast) {
            cast.answered = news.outcome == Outcome::Ok;
            if !cast.answered {
                // Unheard, or maybe so: again, but not into a platform that is full, nor hundreds at once.
                let wait = self.calls.turn.max(PAUSE * 2.0) * (0.5 * self.dice.part());
                cast.at = Ms(f64::MIN);
                self.calls.next_call = self.calls.next_call.max(self.now + wait);
            }
        }
        let before = self.news.as_ref().map(|old| (old.build, old.stage, old.phase, old.cap));
        if news.outcome != Outcome::Ok || before.is_some_and(|(build, ..)| news.build < build) {
            return;
        }
        if let Some((build, _, _, cap)) = before {
            if build == news.build && news.cap != cap {
                self.flow.cut = (news.cap < cap).then_some((self.now, cap)); // a raise counts all
            }
            if build < news.build {
                (self.flow.cut, self.step.dose, self.step.sums) = (None, 0.0, Sums::default());
                self.step.whole = self.warm[1];
                self.group.objects = false;
                self.told = Periods::new(self.set.classes.len());
                self.flow.exposed.retain(|&b, _| b >= news.build);
                self.moved.clear();
                // A build that was kept is what the next one is compared with.
                let kept = !self.condemned.contains(&build);
                for arms in self.after.iter_mut().filter(|arms| kept && arms[1].n > 0.0) {
                    arms[0] = arms[1];
                }
                self.condemned.retain(|&old| old >= news.build); // builds never stop being new
            }
        }
        if matches!(news.phase, Phase::Reverting | Phase::Withdrawn) {
            self.condemned.insert(news.build);
            self.moved.clear();
        }
        if before.map(|(b, s, p, _)| (b, s, p)) != Some((news.build, news.stage, news.phase)) {
            // Units of a stage that was never looked at are still fresh for the next one.
            let same = before.is_some_and(|(build, ..)| build == news.build);
            let sums = std::mem::take(&mut self.trial.sums);
            let sums =
                if same && self.trial.looks == 0 { sums } else { vec![Default::default(); sums.len()] };
            let new = before.is_some() || news.phase == Phase::Trial;
            let since = if new { self.now - news.age } else { Ms(f64::MIN) };
            self.trial = Trial { sums, since, ..Trial::default() };
            // Harm that comes late must not drown in clean earlier stages; signs of harm are kept.
            let all = self.after.iter().fold(Sums::default(), |sum, arms| sum.plus(&arms[1]));
            for arms in self.after.iter_mut().filter(|_| !same || all.y <= self.bars.3 * all.n) {
                arms[1] = Sums::default();
            }
        }
        self.news = Some(news);
        self.survey();
        self.vote(out);
    }
}
