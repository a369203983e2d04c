//! Casting votes, and reports on the newest build.

use super::*;

impl Marshal {
    /// Handles a group message. A decision to revert is final; one to advance is valid for its stage.
    pub(super) fn handle_group_message(&mut self, message: GroupMessage, out: &mut Vec<Action>) {
        match message {
            GroupMessage::Leadership(is_leader) => self.group.is_leader = is_leader,
            GroupMessage::PooledEvidence(pool) => self.group.pool = Some(pool),
            GroupMessage::ExposureGrant(build, cap) => self.group.grant = Some((build, cap)),
            GroupMessage::Decided(build, stage, vote) => {
                if vote == Vote::Revert {
                    self.to_revert.insert(build);
                }
                let reverted = |(of, _, was): (Build, u32, Vote)| of == build && was == Vote::Revert;
                if !self.group.decided.is_some_and(reverted) {
                    self.group.decided = Some((build, stage, vote));
                }
                self.cast_vote(out);
            }
        }
    }

    /// Casts this marshal's vote, and repeats it when it expires or stays unanswered.
    pub(super) fn cast_vote(&mut self, out: &mut Vec<Action>) {
        let (Some(report), held) = (&self.report, self.trial.held_since.is_some()) else { return };
        let agreed = self.group.decided == Some((report.build, report.stage, Vote::Advance));
        let vote = match (report.phase, self.to_revert.contains(&report.build), self.settings.control) {
            (Phase::Trial | Phase::Released, true, _) => Vote::Revert,
            (Phase::Trial, false, StageControl::Votes) if self.trial.passed || agreed => Vote::Advance,
            (Phase::Trial, false, StageControl::Timed) if held && !self.trial.passed => Vote::Hold,
            _ => return,
        };
        if self.settings.group_decisions && vote != Vote::Hold {
            let (build, stage) = (report.build, report.stage);
            // Only group decisions are voted for: by the leader where one vote is enough, by all instances
            // where several are needed. Guards against two instances that act on different judgements.
            if !self.group.decided.is_some_and(|(of, at, was)| (of, was) == (build, vote) && at <= stage)
                || (vote == Vote::Advance && self.group.decided.map(|(_, at, _)| at) != Some(stage))
            {
                out.extend(self.group.is_leader.then_some(Action::ProposeDecision { build, stage, vote }));
                return;
            }
            let needed =
                if vote == Vote::Revert { self.settings.revert_votes } else { self.settings.advance_votes };
            if needed <= 1 && !self.group.is_leader {
                return;
            }
        }
        if let Some(last) = &self.calls.last_vote {
            let same = last.ballot == (report.build, report.stage, vote);
            // Repeating a valid vote adds nothing: renewed late where the call budget is small for so many.
            let renewal = self.calls.interval.max(self.settings.vote_ttl * 0.5).min(self.settings.vote_ttl);
            let valid_for = if last.answered { renewal } else { self.settings.vote_answer_timeout };
            let throttled = vote != Vote::Revert || last.ballot.2 == vote; // a first vote to revert is not
            if (same && self.now < last.at + valid_for) || (throttled && self.now < self.calls.next_vote) {
                return;
            }
        }
        self.calls.next_vote =
            self.now + if vote == Vote::Revert { PERIOD } else { self.calls.interval.max(PERIOD) };
        self.calls.last_vote =
            Some(SentVote { ballot: (report.build, report.stage, vote), at: self.now, answered: false });
        out.push(Action::CastVote { build: report.build, stage: report.stage, vote });
    }

    /// Handles a report on the newest build, or the answer to a vote.
    pub(super) fn handle_report(&mut self, report: StageReport, out: &mut Vec<Action>) {
        if let (true, Some(last)) = (report.answers_vote, &mut self.calls.last_vote) {
            last.answered = report.outcome == Outcome::Ok;
            if !last.answered {
                // Maybe lost: repeated after a random pause, or hundreds would call a full platform at once.
                let pause = self.calls.interval.max(BACKOFF * 2.0) * (0.5 * self.rng.fraction());
                last.at = Ms(f64::MIN);
                self.calls.next_vote = self.calls.next_vote.max(self.now + pause);
            }
        }
        let before = self.report.as_ref().map(|old| (old.build, old.stage, old.phase, old.cap));
        if report.outcome != Outcome::Ok || before.is_some_and(|(build, ..)| report.build < build) {
            return;
        }
        if let Some((build, _, _, cap)) = before {
            if build == report.build && report.cap != cap {
                // Only a lower cap counts attempts anew: a raise counts all.
                self.traffic.lowered = (report.cap < cap).then_some((self.now, cap));
            }
            if build < report.build {
                (self.traffic.lowered, self.response.dose, self.response.sums) = (None, 0.0, Sums::default());
                self.response.initial_capacity = self.warm[1];
                self.group.objecting = false;
                self.platform_counts = PeriodCounts::new(self.settings.classes.len());
                self.traffic.exposed.retain(|&exposed, _| exposed >= report.build);
                self.keys_on_newest.clear();
                // The next build is compared with this one, unless this one was rejected.
                let kept = !self.to_revert.contains(&build);
                for arms in self.failures.iter_mut().filter(|arms| kept && arms[1].n > 0.0) {
                    arms[0] = arms[1];
                }
                self.to_revert.retain(|&old| old >= report.build); // else the set would grow without bound
            }
        }
        if matches!(report.phase, Phase::Reverting | Phase::Withdrawn) {
            self.to_revert.insert(report.build);
            self.keys_on_newest.clear();
        }
        if before.map(|(b, s, p, _)| (b, s, p)) != Some((report.build, report.stage, report.phase)) {
            // Outcomes of a stage without a look are still unused, and are kept for the next stage.
            let same = before.is_some_and(|(build, ..)| build == report.build);
            let old = std::mem::take(&mut self.trial.sums);
            let sums = if same && self.trial.looks == 0 { old } else { vec![Default::default(); old.len()] };
            let is_new = before.is_some() || report.phase == Phase::Trial;
            let since = if is_new { self.now - report.age } else { Ms(f64::MIN) };
            self.trial = Trial { sums, since, ..Trial::default() };
            // Clean outcomes of earlier stages would hide harm that begins late; signs of harm are kept.
            let all = self.failures.iter().fold(Sums::default(), |sum, arms| sum.plus(&arms[1]));
            for arms in self.failures.iter_mut().filter(|_| !same || all.y <= self.limit.min_harm * all.n) {
                arms[1] = Sums::default();
            }
        }
        self.report = Some(report);
        self.refresh_candidates();
        self.cast_vote(out);
    }
}
