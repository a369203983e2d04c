//! Evidence on a build: the paper's adjusted test (equations 4, 7), looks, clock (page), other signs (ours).

use super::*;

/// The time between looks, so that they span a stage at any traffic.
const BETWEEN: Ms = Ms(1500.0);
/// Clock after the newest start (page); the hold lasts as long again.
const CLOCK: Ms = Ms(2500.0);
/// Harm in step: level of answer times over the calm, fit (squared correlation; after a release above the
/// 0.83 of shared slowness on good builds), spread of dose, beats, least part of warm capacity, fading.
const STEP_LEVEL: f64 = 1.8;
const STEP_FIT: f64 = 0.7;
const STEP_FIT_LATE: f64 = 0.88;
const STEP_SPREAD: f64 = 0.003;
const STEP_BEATS: u32 = 8;
const STRAIN: f64 = 0.99;
const FADE: f64 = 0.995;
/// After this long a stage's news has settled: answer times are calm again.
const SETTLED: Ms = Ms(10000.0);

impl Marshal {
    /// The covariate: the earlier build's mean score for the class just before the send (page).
    pub(super) fn covariate(&mut self, class: ClassId) -> f64 {
        let lane = &mut self.heard.earlier[class.0];
        while lane.front().is_some_and(|&(at, _)| at < self.now - Ms(COVARIATE_WINDOW as f64)) {
            lane.pop_front();
        }
        lane.iter().map(|&(_, score)| score).sum::<f64>() / (lane.len() as f64).max(1.0)
    }

    /// Weight of one outcome in a mean over about a second of our traffic.
    pub(super) fn pace(&mut self) -> f64 {
        (RATE_SPAN.0 / 1000.0 / self.flow.recent.trim(self.now - RATE_SPAN).max(1) as f64).clamp(0.01, 0.03)
    }

    /// A unit of evidence: errors and time-outs score 1 (page). Slowness shows only through time-outs, so an
    /// attempt that outlasts `SLOW_MEANS` of the earlier build's mean on such a machine scores as one.
    pub(super) fn score(&mut self, id: &NodeId, attempt: &Attempt, verdict: Outcome, latency: Ms) {
        let newest = self.is_newest(attempt.build);
        // Less warm capacity than before the build, as its machines replace others, slows all by itself.
        let strained = self.warm[1] < STRAIN * self.step.whole;
        let (full, pace) = (self.pace(), if strained { 0.0 } else { self.pace() });
        self.step.dose += pace * (f64::from(u8::from(newest)) - self.step.dose);
        // No evidence on a build: a node that answers nothing; what came while we stood still.
        let dead = matches!(verdict, Outcome::ConnectFailed | Outcome::Reset)
            || self.nodes.get(id).is_some_and(|n| n.silent >= SILENT);
        let told = attempt.scored && !dead && !self.stood;
        if !told || matches!(verdict, Outcome::NotSent | Outcome::Cancelled | Outcome::Rejected) {
            return;
        }
        let new = self.on_trial(attempt.build).is_some();
        let aim = self.set.classes[attempt.class.0].latency_target.0;
        let took = if verdict == Outcome::Ok { latency.0.min(aim) } else { aim };
        let calm = self.heard.calm.entry((attempt.class, attempt.kind)).or_default();
        let settled = self.now - self.trial.since > SETTLED;
        if !new && settled && self.news.as_ref().is_some_and(|n| n.phase != Phase::Trial) {
            calm.add(took, FRESH * 0.2);
        }
        let level = if calm.n < 4.0 { 1.0 } else { took / calm.value.max(1.0) };
        if verdict != Outcome::Error {
            self.step.level += pace * (level - self.step.level);
            self.step.missed += full * (f64::from(u8::from(took >= aim)) - self.step.missed);
        }
        let mean = self.heard.means.entry((attempt.class, attempt.kind)).or_default();
        let slow = mean.n >= 4.0 && latency.0 > self.bars.2 * mean.value;
        let score = f64::from(u8::from(verdict != Outcome::Ok || slow));
        if !new {
            if verdict == Outcome::Ok {
                mean.add(latency.0, FRESH * 0.2);
                self.heard.mean.add(latency.0, FRESH * 0.2);
            }
            self.heard.earlier[attempt.class.0].push_back((self.now, score));
        }
        // Sent into a jam of the earlier build: what differs then is how crowded the few new machines are.
        if attempt.covariate < WIDESPREAD {
            self.trial.sums[attempt.class.0][usize::from(new)].add(score, attempt.covariate);
        }
        let error = f64::from(u8::from(verdict == Outcome::Error));
        self.after[attempt.class.0][usize::from(newest)].add(error, 0.0);
        self.nodes.get_mut(id).into_iter().for_each(|node| node.errors += error as u32);
    }

    /// A wrong answer scores 1 in place of its 0.
    pub(super) fn complaint(&mut self, id: &NodeId, class: ClassId) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.errors += 1;
        let build = node.entry.build;
        let (new, newest) = (self.on_trial(build).is_some(), self.is_newest(build));
        self.trial.sums[class.0][usize::from(new)].fail_one();
        self.after[class.0][usize::from(newest)].fail_one();
    }

    /// What this instance has seen of the stage.
    fn evidence(&self, news: &StageReport) -> Evidence {
        let of = self.nodes.iter().filter(|(_, n)| n.entry.build == news.build && n.errors > 0);
        Evidence {
            build: news.build,
            stage: news.stage,
            test_sums: self.trial.sums.clone(),
            failure_sums: self.after.clone(),
            request_counts: self.flow.counts.clone(),
            errors_by_node: of.map(|(id, n)| (id.clone(), f64::from(n.errors))).collect(),
            looks: self.trial.looks as u32,
            objecting_instances: u32::from(self.group.objects),
        }
    }

    /// Where judging is shared, tells the group what was seen; sums so far, so that a repeat changes nothing.
    pub(super) fn share(&self, out: &mut Vec<Action>) {
        let news = self.news.as_ref().filter(|_| self.set.group_decisions);
        out.extend(news.map(|news| Action::ShareEvidence(Box::new(self.evidence(news)))));
    }

    /// The looks of a stage, and its clock (page). Where judging is shared, the one that leads takes them, of
    /// what all have seen; looks that an earlier leader took count.
    pub(super) fn judge(&mut self, out: &mut Vec<Action>) {
        let open = |news: &StageReport| !self.condemned.contains(&news.build);
        let Some(news) = self.news.clone().filter(open) else { return };
        let of = |pool: &&Evidence| (pool.build, pool.stage) == (news.build, news.stage);
        let seen = match (self.set.group_decisions, self.group.leads) {
            (false, _) => Some(self.evidence(&news)),
            (true, leads) => self.group.pool.as_ref().filter(of).filter(|_| leads).cloned(),
        };
        seen.iter().for_each(|seen| self.watch(seen, out));
        if news.phase == Phase::Trial || self.now - self.trial.since < SETTLED {
            self.in_step(news.build, out);
        }
        let Some(seen) = seen.filter(|_| news.phase == Phase::Trial) else { return };
        self.trial.looks = self.trial.looks.max(seen.looks as usize);
        let outcomes: f64 = seen.test_sums.iter().map(|arms| arms[1].n).sum();
        if self.trial.looks < LOOKS as usize && outcomes >= self.bars.1 && self.now >= self.trial.next_look {
            self.trial.looks += 1;
            self.trial.next_look = self.now + BETWEEN;
            let (delta, _, _, p) = adjusted_test(&seen.test_sums, &seen.request_counts);
            if p < self.bars.0 / f64::from(LOOKS) && delta > self.bars.3 {
                self.condemn(news.build, "on trial", p, out);
            } else if p >= HOLD_P || delta <= self.bars.3 {
                self.trial.clean = true;
            }
        }
        let starts = self.nodes.values().filter(|n| n.entry.build == news.build);
        let newest = starts.filter_map(|n| n.entry.started).fold(self.trial.since, Ms::max);
        if self.now - newest >= CLOCK && !self.trial.clean {
            let held = *self.trial.held.get_or_insert(self.now);
            let (_, _, _, p) = adjusted_test(&seen.test_sums, &seen.request_counts);
            self.trial.clean = p >= HOLD_P || self.now - held >= CLOCK;
        }
    }

    /// From here on we stand for sending the build back.
    fn condemn(&mut self, build: Build, how: &str, p: f64, out: &mut Vec<Action>) {
        self.condemned.insert(build);
        out.push(Action::Log(format!("back: build {} {how}, p or fit {p:.4}", build.0)));
    }

    /// A build may turn bad late: its errors and wrong answers (not slowness), rare as they are, are tested
    /// against its part of the outcomes, if even over a fourth of its machines, as many as may be of a kind.
    fn watch(&mut self, seen: &Evidence, out: &mut Vec<Action>) {
        let own = Excess::of(&seen.failure_sums);
        let all = self.nodes.values().filter(|n| n.entry.build == seen.build).count() as f64;
        let (sum, squares) = seen.errors_by_node.values().fold((0.0, 0.0), |(s, q), e| (s + e, q + e * e));
        let harm = own.score >= self.bars.1 * 0.2 && own.surplus > self.bars.3 * own.units;
        let even = sum * sum >= (sum / 2.0).min(all / 4.0) * squares;
        if harm && even && own.units >= self.bars.1 && own.p() < self.bars.0 / f64::from(LOOKS) {
            self.condemn(seen.build, "by its errors", own.p(), out);
        }
        // The platform counts what each sees a few of; all judge it alike, far below a quorum's level. A few
        // bad machines among the new are no bad build: it must have three times the errors of the others.
        let (told, alone) = (self.told.excess(), self.set.group_decisions || self.set.revert_votes <= 1);
        let harm = told.score > 2.0 && told.surplus > (self.bars.3 * told.units).max(told.score / 1.5);
        if harm && !alone && told.p() < ALPHA * 0.1 {
            self.condemn(seen.build, "by the platform's counts", told.p(), out);
        }
        // As many as could vote it back alone; where judging is not shared, nobody objects but by voting.
        if self.set.group_decisions && seen.objecting_instances >= self.set.revert_votes.max(1) {
            self.condemn(seen.build, "in step at several", 0.0, out);
        }
    }

    /// Harm that slows every server leaves no difference, but rises with the dose: answer times regressed on
    /// the build's share of our attempts. Could harm where a shared trouble sets in as a stage moves on.
    fn in_step(&mut self, build: Build, out: &mut Vec<Action>) {
        self.step.sums.scale(FADE);
        self.step.sums.add(self.step.level.max(1e-3).ln(), self.step.dose);
        let (xx, yy, xy) = self.step.sums.centred();
        let fit = if xx > 1e-9 && yy > 1e-9 && xy > 0.0 { xy * xy / (xx * yy) } else { 0.0 };
        let released = self.news.as_ref().is_some_and(|n| n.phase == Phase::Released);
        let collapse = !released || (self.step.missed >= 0.5 && fit >= STEP_FIT_LATE);
        // Milder signs from each, as for a look, where earlier machines stay and can't be what is missed.
        let ease = if self.set.side_by_side { 0.65 + 0.35 * self.bars.1 / MIN_N } else { 1.0 };
        let signs = (fit / STEP_FIT).min(self.step.level.ln() / STEP_LEVEL.ln());
        let harm = signs >= ease && xx / self.step.sums.n > STEP_SPREAD;
        self.step.beats = if harm && collapse { self.step.beats + 1 } else { 0 };
        self.group.objects =
            self.set.group_decisions && (self.group.objects || self.step.beats >= STEP_BEATS);
        if self.step.beats >= STEP_BEATS && !self.set.group_decisions {
            self.condemn(build, "in step", fit, out);
        }
    }
}
