//! Evidence on a build: the paper's adjusted test (equations 4, 7) at looks, a stage time-out, other signs.

use super::*;

const LOOK_INTERVAL: Ms = Ms(1500.0); // between looks: spreads them over a stage at any request rate
/// Time after the newest start when a stage advances without a look; doubt holds it as long again.
const STAGE_TIMEOUT: Ms = Ms(2500.0);
const HARM_LATENCY_RATIO: f64 = 1.8; // signs of dose-response harm: minimum latency ratio,
const HARM_FIT: f64 = 0.7; // minimum fit (squared correlation),
const HARM_FIT_RELEASED: f64 = 0.88; // after a release: above the 0.83 of shared slowness on good builds,
const HARM_DOSE_VARIANCE: f64 = 0.003; // minimum variance of the dose,
const HARM_STREAK: u32 = 8; // timer periods in a row
const FULL_CAPACITY: f64 = 0.99; // least part of the warm capacity, as missing capacity slows by itself
const DECAY: f64 = 0.995; // of the dose-response sums in each period
const SETTLE_TIME: Ms = Ms(10000.0); // after a stage change, until latencies are back at their baseline

impl Marshal {
    /// The covariate: the earlier build's mean score for the class in the window before the send.
    pub(super) fn covariate(&mut self, class: ClassId) -> f64 {
        let scores = &mut self.stats.earlier_scores[class.0];
        while scores.front().is_some_and(|&(at, _)| at < self.now - Ms(COVARIATE_WINDOW as f64)) {
            scores.pop_front();
        }
        scores.iter().map(|&(_, score)| score).sum::<f64>() / (scores.len() as f64).max(1.0)
    }

    /// The weight of one outcome in a mean over about a second of this marshal's requests.
    pub(super) fn outcome_weight(&mut self) -> f64 {
        (WINDOW.0 / 1000.0 / self.traffic.recent.trim(self.now - WINDOW).max(1) as f64).clamp(0.01, 0.03)
    }

    /// Adds an outcome to the evidence. Errors and time-outs score 1. A slow attempt (`SLOW_FACTOR`, compared
    /// on the same machine kind) scores as a time-out, since slowness shows in the test in no other way.
    pub(super) fn record_outcome(&mut self, id: &NodeId, attempt: &Attempt, outcome: Outcome, latency: Ms) {
        let newest = self.is_newest(attempt.build);
        // With less warm capacity than before the build, while machines are replaced, latency rises anyway.
        let reduced = self.warm[1] < FULL_CAPACITY * self.response.initial_capacity;
        let (full, weight) = (self.outcome_weight(), if reduced { 0.0 } else { self.outcome_weight() });
        self.response.dose += weight * (f64::from(u8::from(newest)) - self.response.dose);
        // A node that answers nothing and outcomes from a pause of this marshal are no evidence on a build.
        let dead = matches!(outcome, Outcome::ConnectFailed | Outcome::Reset)
            || self.nodes.get(id).is_some_and(|n| n.unanswered >= MAX_UNANSWERED);
        let usable = attempt.is_evidence && !dead && !self.stalled;
        if !usable || matches!(outcome, Outcome::NotSent | Outcome::Cancelled | Outcome::Rejected) {
            return;
        }
        let on_trial = self.trial_cap(attempt.build).is_some();
        let target = self.settings.classes[attempt.class.0].latency_target.0;
        let took = if outcome == Outcome::Ok { latency.0.min(target) } else { target };
        let baseline = self.stats.baseline.entry((attempt.class, attempt.machine_kind)).or_default();
        let settled = self.now - self.trial.since > SETTLE_TIME;
        if !on_trial && settled && self.report.as_ref().is_some_and(|n| n.phase != Phase::Trial) {
            baseline.add(took, MIN_WEIGHT * 0.2);
        }
        let ratio = if baseline.n < 4.0 { 1.0 } else { took / baseline.value.max(1.0) };
        if outcome != Outcome::Error {
            self.response.latency_ratio += weight * (ratio - self.response.latency_ratio);
            self.response.late_rate += full * (f64::from(u8::from(took >= target)) - self.response.late_rate);
        }
        let mean = self.stats.mean_by_kind.entry((attempt.class, attempt.machine_kind)).or_default();
        let slow = mean.n >= 4.0 && latency.0 > self.limit.slow * mean.value;
        let score = f64::from(u8::from(outcome != Outcome::Ok || slow));
        if !on_trial {
            if outcome == Outcome::Ok {
                mean.add(latency.0, MIN_WEIGHT * 0.2);
                self.stats.latency.add(latency.0, MIN_WEIGHT * 0.2);
            }
            self.stats.earlier_scores[attempt.class.0].push_back((self.now, score));
        }
        // While the earlier build is overloaded, outcomes differ by the load on the few new machines.
        if attempt.covariate < WIDESPREAD {
            self.trial.sums[attempt.class.0][usize::from(on_trial)].add(score, attempt.covariate);
        }
        let error = f64::from(u8::from(outcome == Outcome::Error));
        self.failures[attempt.class.0][usize::from(newest)].add(error, 0.0);
        self.nodes.get_mut(id).into_iter().for_each(|node| node.errors += error as u32);
    }

    /// Changes the score of one outcome from 0 to 1: its answer was reported as wrong.
    pub(super) fn record_wrong_answer(&mut self, id: &NodeId, class: ClassId) {
        let Some(node) = self.nodes.get_mut(id) else { return };
        node.errors += 1;
        let build = node.entry.build;
        let (on_trial, newest) = (self.trial_cap(build).is_some(), self.is_newest(build));
        self.trial.sums[class.0][usize::from(on_trial)].fail_one();
        self.failures[class.0][usize::from(newest)].fail_one();
    }

    /// This instance's evidence on the present stage.
    fn evidence(&self, report: &StageReport) -> Evidence {
        let bad_nodes = self.nodes.iter().filter(|(_, n)| n.entry.build == report.build && n.errors > 0);
        Evidence {
            build: report.build,
            stage: report.stage,
            test_sums: self.trial.sums.clone(),
            failure_sums: self.failures.clone(),
            request_counts: self.traffic.request_counts.clone(),
            errors_by_node: bad_nodes.map(|(id, n)| (id.clone(), f64::from(n.errors))).collect(),
            looks: self.trial.looks as u32,
            objecting_instances: u32::from(self.group.objecting),
        }
    }

    /// Sends the evidence to the group. These are totals, so a repetition changes nothing.
    pub(super) fn share_evidence(&self, out: &mut Vec<Action>) {
        let report = self.report.as_ref().filter(|_| self.settings.group_decisions);
        out.extend(report.map(|report| Action::ShareEvidence(Box::new(self.evidence(report)))));
    }

    /// Takes the looks of a stage and applies its time limit. With group decisions only the leader looks, at
    /// the pooled evidence; looks that an earlier leader took count.
    pub(super) fn evaluate(&mut self, out: &mut Vec<Action>) {
        let undecided = |report: &StageReport| !self.to_revert.contains(&report.build);
        let Some(report) = self.report.clone().filter(undecided) else { return };
        let current = |pool: &&Evidence| (pool.build, pool.stage) == (report.build, report.stage);
        let evidence = match (self.settings.group_decisions, self.group.is_leader) {
            (false, _) => Some(self.evidence(&report)),
            (true, is_leader) => self.group.pool.as_ref().filter(current).filter(|_| is_leader).cloned(),
        };
        evidence.iter().for_each(|evidence| self.check_failures(evidence, out));
        if report.phase == Phase::Trial || self.now - self.trial.since < SETTLE_TIME {
            self.check_dose_response(report.build, out);
        }
        let Some(evidence) = evidence.filter(|_| report.phase == Phase::Trial) else { return };
        self.trial.looks = self.trial.looks.max(evidence.looks as usize);
        let n: f64 = evidence.test_sums.iter().map(|arms| arms[1].n).sum();
        if self.trial.looks < LOOKS as usize && n >= self.limit.n && self.now >= self.trial.next_look {
            self.trial.looks += 1;
            self.trial.next_look = self.now + LOOK_INTERVAL;
            let (delta, _, _, p) = adjusted_test(&evidence.test_sums, &evidence.request_counts);
            if p < self.limit.alpha / f64::from(LOOKS) && delta > self.limit.min_harm {
                self.mark_for_revert(report.build, "on trial", p, out);
            } else if p >= HOLD_P || delta <= self.limit.min_harm {
                self.trial.passed = true;
            }
        }
        let nodes = self.nodes.values().filter(|n| n.entry.build == report.build);
        let newest_start = nodes.filter_map(|n| n.entry.started).fold(self.trial.since, Ms::max);
        if self.now - newest_start >= STAGE_TIMEOUT && !self.trial.passed {
            let held_since = *self.trial.held_since.get_or_insert(self.now);
            let (_, _, _, p) = adjusted_test(&evidence.test_sums, &evidence.request_counts);
            self.trial.passed = p >= HOLD_P || self.now - held_since >= STAGE_TIMEOUT;
        }
    }

    /// From now on this marshal votes to revert the build.
    fn mark_for_revert(&mut self, build: Build, reason: &str, p: f64, out: &mut Vec<Action>) {
        self.to_revert.insert(build);
        out.push(Action::Log(format!("back: build {} {reason}, p or fit {p:.4}", build.0)));
    }

    /// A build may turn bad late: its errors and wrong answers (not slowness), rare as they are, are tested
    /// against its share of outcomes, if even over a fourth of its machines: a harmed kind may be so small.
    fn check_failures(&mut self, evidence: &Evidence, out: &mut Vec<Action>) {
        let own = FailureExcess::of(&evidence.failure_sums);
        let all = self.nodes.values().filter(|n| n.entry.build == evidence.build).count() as f64;
        let (sum, sumsq) = evidence.errors_by_node.values().fold((0.0, 0.0), |(s, q), e| (s + e, q + e * e));
        let harm = own.failures >= self.limit.n * 0.2 && own.surplus > self.limit.min_harm * own.units;
        let even = sum * sum >= (sum / 2.0).min(all / 4.0) * sumsq;
        if harm && even && own.units >= self.limit.n && own.p_value() < self.limit.alpha / f64::from(LOOKS) {
            self.mark_for_revert(evidence.build, "by its errors", own.p_value(), out);
        }
        // The platform counts what each sees little of. All judge that alike: far below a quorum's level.
        // A few bad machines among the new are no bad build: it must have three times the others' errors.
        let (total, alone) =
            (self.platform_counts.excess(), self.settings.group_decisions || self.settings.revert_votes <= 1);
        let harm = total.failures > 2.0
            && total.surplus > (self.limit.min_harm * total.units).max(total.failures / 1.5);
        if harm && !alone && total.p_value() < ALPHA * 0.1 {
            self.mark_for_revert(evidence.build, "by the platform's counts", total.p_value(), out);
        }
        // As many as could revert it by votes; without group decisions, votes are the only objection.
        if self.settings.group_decisions && evidence.objecting_instances >= self.settings.revert_votes.max(1)
        {
            self.mark_for_revert(evidence.build, "in step at several", 0.0, out);
        }
    }

    /// Harm that slows every server shows no difference between builds, but rises with the dose: a regression
    /// of latency on the build's share of attempts. Could misjudge a shared problem that begins with a stage.
    fn check_dose_response(&mut self, build: Build, out: &mut Vec<Action>) {
        self.response.sums.scale(DECAY);
        self.response.sums.add(self.response.latency_ratio.max(1e-3).ln(), self.response.dose);
        let (xx, yy, xy) = self.response.sums.centred();
        let fit = if xx > 1e-9 && yy > 1e-9 && xy > 0.0 { xy * xy / (xx * yy) } else { 0.0 };
        let released = self.report.as_ref().is_some_and(|n| n.phase == Phase::Released);
        let collapse = !released || (self.response.late_rate >= 0.5 && fit >= HARM_FIT_RELEASED);
        // Milder signs suffice, as in a look, where earlier machines stay: missing ones can't be the cause.
        let ease = if self.settings.side_by_side { 0.65 + 0.35 * self.limit.n / MIN_N } else { 1.0 };
        let signs = (fit / HARM_FIT).min(self.response.latency_ratio.ln() / HARM_LATENCY_RATIO.ln());
        let harm = signs >= ease && xx / self.response.sums.n > HARM_DOSE_VARIANCE;
        self.response.streak = if harm && collapse { self.response.streak + 1 } else { 0 };
        self.group.objecting =
            self.settings.group_decisions && (self.group.objecting || self.response.streak >= HARM_STREAK);
        if self.response.streak >= HARM_STREAK && !self.settings.group_decisions {
            self.mark_for_revert(build, "in step", fit, out);
        }
    }
}
