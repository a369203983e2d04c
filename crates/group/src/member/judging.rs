//! Pooled evidence, votes, and calls to the platform.

use super::Member;
use crate::calls::Step;
use crate::calls::Wanted;
use crate::lease::Time;
use crate::record::Command;
use crate::record::Standing;
use milletwing_decision::interface::Build;
use milletwing_decision::interface::Evidence;
use milletwing_decision::interface::Outcome;
use milletwing_decision::interface::StageReport;
use milletwing_decision::interface::Vote;

impl Member {
    /// What this instance has seen.
    pub fn seen(&mut self, seen: Evidence) {
        self.seen = Some(seen);
    }

    pub(super) fn report(&mut self, now: Time) {
        if now < self.reported.1 + self.set.report || self.raft.raft.leader_id == 0 {
            return;
        }
        let Some(seen) = self.seen.take() else { return };
        // What was told is not told again, but now and then, in case it got lost.
        if self.last.as_ref() == Some(&seen) && now < self.reported.1 + 20 * self.set.report {
            return;
        }
        self.last = Some(seen.clone());
        self.reported = (self.reported.0 + 1, now);
        self.waiting = Some((self.reported.0, now));
        let (member, series, number) = (self.set.id, self.set.series, self.reported.0);
        self.propose(&Command::Evidence { member, series, number, seen });
    }

    /// What the module makes of the pool, where this instance leads.
    pub fn judged(&mut self, now: Time, build: Build, stage: u32, vote: Vote) {
        let stand = self.stand(now);
        let command = Command::Verdict { term: stand.term, build, stage, vote };
        let out = self.judged.as_ref().is_some_and(|(last, at)| *last == command && now < at + 500);
        if stand.leads && !out {
            self.propose(&command);
            self.judged = Some((command, now));
        }
    }

    /// What the platform told this instance.
    pub fn told(&mut self, now: Time, news: &StageReport) {
        if news.outcome == Outcome::Ok {
            self.told = Some((Standing::of(news), 0));
            if self.stand(now).leads {
                self.again(now);
            }
        }
    }

    /// The leader commits what the platform told, again until it is there.
    pub(super) fn again(&mut self, now: Time) {
        let Some((standing, at)) = &mut self.told else { return };
        let news =
            self.record.standing.as_ref().is_none_or(|old| old != standing && old.rank() <= standing.rank());
        if news && (*at == 0 || now >= *at + 500) {
            *at = now;
            let command = Command::Told(standing.clone());
            self.propose(&command);
        }
    }

    /// The module wants something said to the platform.
    pub fn cast(&mut self, now: Time, wanted: Wanted) {
        let stand = self.stand(now);
        let steps = if self.handing.is_some() {
            vec![Step::Refuse(wanted.number)]
        } else {
            self.calls.cast(wanted, stand)
        };
        self.steps(steps);
    }

    /// A call ended.
    pub fn answered(&mut self, now: Time, number: u64, news: &StageReport) {
        let stand = self.stand(now);
        self.told(now, news);
        let seen = (news.outcome == Outcome::Ok).then(|| Standing::of(news));
        let steps = self.calls.answered(number, news.outcome, seen.as_ref(), stand);
        self.steps(steps);
    }

    /// The platform's state, read afresh.
    pub fn read(&mut self, now: Time, number: u64, standing: &Standing) {
        let stand = self.stand(now);
        let steps = self.calls.read(number, standing, &self.record, stand);
        self.steps(steps);
    }
}
