//! Hundreds of marshals with few requests each: votes by the platform's counts, and the platform's call
//! budget.

use crate::common::*;
use milletwing_decision::interface::*;

/// One of 300 marshals, of which 75 must vote to revert; the platform accepts 16 calls per second.
fn one_of_many(seed: u64) -> Harness {
    let config =
        Settings { marshals: 300, revert_votes: 75, advance_votes: 120, votes_per_s: 16.0, ..settings() };
    let mut entries: Vec<NodeEntry> = (0..18).map(|i| node(&format!("n{i}"), 1)).collect();
    entries.extend((0..4).map(|i| node(&format!("t{i}"), 2)));
    let mut harness = Harness::seeded(seed, config, entries, 1);
    harness.handle(stage_report(2, 0, Phase::Trial, 0.16));
    harness
}

fn report_counts(harness: &mut Harness, build: u32, attempts: f64, failed: f64) {
    report_earlier_counts(harness, 0.0, build, attempts, failed);
}

/// Reports the counts of a period that ended `seconds` before the last one.
fn report_earlier_counts(harness: &mut Harness, seconds: f64, build: u32, attempts: f64, failed: f64) {
    let (age, class, latency) = (Ms(1200.0 + seconds * 1000.0), ClassId(0), Ms(40.0));
    harness.handle(Event::Metrics { age, class, build: Build(build), attempts, failed, latency });
}

fn revert_votes(harness: &Harness) -> usize {
    harness.actions.iter().filter(|a| matches!(a, Action::CastVote { vote: Vote::Revert, .. })).count()
}

fn answer_vote(harness: &mut Harness, outcome: Outcome) {
    harness.handle(Event::StageReport(StageReport {
        answers_vote: true,
        outcome,
        build: Build(if outcome == Outcome::Ok { 2 } else { 0 }),
        stage: 0,
        phase: Phase::Trial,
        cap: 0.16,
        age: Ms(3000.0),
    }));
}

/// Guards against a build whose harm no marshal sees enough of to judge it alone. It could misjudge a build
/// when a few bad machines happen to be among the new ones: the errors of the other machines show how common
/// that is.
#[test]
fn a_marshal_without_own_evidence_votes_by_the_platforms_counts() {
    let reverts = |old: (f64, f64), new: (f64, f64)| {
        let mut harness = one_of_many(7);
        for (build, (attempts, failed)) in [(1, old), (2, new)] {
            (0..4).for_each(|_| report_counts(&mut harness, build, attempts / 4.0, failed / 4.0));
        }
        harness.advance(100.0);
        revert_votes(&harness) > 0
    };
    assert!(reverts((400.0, 4.0), (28.0, 12.0)));
    assert!(!reverts((400.0, 4.0), (28.0, 0.0)));
    assert!(!reverts((400.0, 4.0), (28.0, 2.0)), "two errors may be chance");
    assert!(!reverts((1600.0, 80.0), (140.0, 16.0)), "only a few more bad machines than elsewhere");
    // Chance alone hardly explains these; only the further conditions keep the build from being reverted.
    assert!(!reverts((1600.0, 160.0), (400.0, 96.0)), "under three times the errors of the others");
    assert!(!reverts((4000.0, 0.0), (4.0, 2.0)), "two errors are too few, however unlikely");
    assert!(!reverts((100.0, 2.0), (40.0, 6.0)), "six of eight errors may be chance");
}

/// Guards against a problem of all builds that begins when the new one has most of the traffic. Over all
/// periods together the new build would have nearly all errors, but only a third of the outcomes.
#[test]
fn a_late_problem_of_all_builds_is_not_attributed_to_the_newest() {
    let mut harness = one_of_many(7);
    report_earlier_counts(&mut harness, 4.0, 1, 400.0, 0.0);
    report_earlier_counts(&mut harness, 4.0, 2, 20.0, 0.0);
    for second in 0..4 {
        report_earlier_counts(&mut harness, f64::from(3 - second), 1, 20.0, 9.0);
        report_earlier_counts(&mut harness, f64::from(3 - second), 2, 180.0, 81.0);
    }
    harness.advance(100.0);
    assert_eq!(revert_votes(&harness), 0);
    // A build that is worse than the others in each period is reverted.
    let mut harness = one_of_many(7);
    for second in 0..4 {
        report_earlier_counts(&mut harness, f64::from(3 - second), 1, 100.0, 2.0);
        report_earlier_counts(&mut harness, f64::from(3 - second), 2, 40.0, 39.0);
    }
    harness.advance(100.0);
    assert_eq!(revert_votes(&harness), 1);
}

#[test]
fn counts_from_before_a_build_was_offered_are_ignored() {
    let mut harness = one_of_many(7);
    report_counts(&mut harness, 2, 28.0, 12.0);
    report_counts(&mut harness, 1, 400.0, 4.0);
    harness.handle(stage_report(3, 0, Phase::Trial, 0.16));
    harness.advance(100.0);
    assert_eq!(revert_votes(&harness), 0);
}

/// A marshal that decides alone sees all outcomes itself; with group decisions the group judges the pooled
/// evidence.
#[test]
fn a_single_judge_and_a_group_ignore_the_platforms_counts() {
    for (quorum, group_decisions) in [(1, false), (75, true)] {
        let config = Settings { marshals: 300, revert_votes: quorum, group_decisions, ..settings() };
        let mut harness = Harness::new(config, (0..4).map(|i| node(&format!("t{i}"), 2)).collect(), 1);
        harness.handle(stage_report(2, 0, Phase::Trial, 0.16));
        report_counts(&mut harness, 1, 400.0, 4.0);
        report_counts(&mut harness, 2, 28.0, 12.0);
        harness.advance(100.0);
        assert_eq!(revert_votes(&harness), 0);
    }
}

/// Guards against hundreds of marshals whose votes are rejected at one time and that all repeat them at the
/// same time.
#[test]
fn rejected_revert_votes_are_repeated_at_random_times() {
    let mut times = Vec::new();
    for seed in 0..120 {
        let mut harness = one_of_many(seed);
        report_counts(&mut harness, 1, 400.0, 4.0);
        report_counts(&mut harness, 2, 28.0, 12.0);
        harness.advance(100.0);
        assert_eq!(revert_votes(&harness), 1);
        answer_vote(&mut harness, Outcome::Rejected);
        let from = harness.now;
        while revert_votes(&harness) == 1 {
            harness.advance(100.0);
        }
        times.push(harness.now - from);
    }
    // Within half of 300 / 16 s, and few of them within the same tenth of a second.
    assert!(times.iter().all(|&t| t <= 9500.0), "{times:?}");
    let most = (0..95).map(|at| times.iter().filter(|&&t| (t / 100.0) as u32 == at).count()).max();
    assert!(most <= Some(8), "{most:?} of 120 within 100 ms");
}

/// Guards against useless calls: a vote is valid for its time to live, however long the platform takes.
#[test]
fn a_valid_revert_vote_is_repeated_only_when_it_expires() {
    let mut harness = one_of_many(7);
    let vote_ttl = settings().vote_ttl.0;
    report_counts(&mut harness, 1, 400.0, 4.0);
    report_counts(&mut harness, 2, 28.0, 12.0);
    harness.advance(100.0);
    answer_vote(&mut harness, Outcome::Ok);
    let from = harness.now;
    while harness.now - from < vote_ttl - 200.0 {
        harness.advance(100.0);
    }
    assert_eq!(revert_votes(&harness), 1);
    (0..5).for_each(|_| harness.advance(100.0));
    assert_eq!(revert_votes(&harness), 2);
}
