//! Marshals in their hundreds, each of which sees next to nothing: what the platform counts of all, and its budget of calls.

use crate::common::*;
use milletwing_decision::interface::*;

/// One of 300, of whom 75 must vote back; the platform takes 16 calls a second.
fn one_of_many(seed: u64) -> Bench {
    let set = Settings {
        marshals: 300,
        revert_votes: 75,
        advance_votes: 120,
        platform_calls_per_s: 16.0,
        ..settings()
    };
    let mut entries: Vec<NodeEntry> = (0..18).map(|i| node(&format!("n{i}"), 1)).collect();
    entries.extend((0..4).map(|i| node(&format!("t{i}"), 2)));
    let mut b = Bench::seeded(seed, set, entries, 1);
    b.give(news(2, 0, Phase::Trial, 0.16));
    b
}

fn tally(b: &mut Bench, build: u32, attempts: f64, failed: f64) {
    tally_of(b, 0.0, build, attempts, failed);
}

/// Of a period that ended so many seconds before the last.
fn tally_of(b: &mut Bench, before: f64, build: u32, attempts: f64, failed: f64) {
    let (age, class, latency) = (Ms(1200.0 + before * 1000.0), ClassId(0), Ms(40.0));
    b.give(Event::Metrics { age, class, build: Build(build), attempts, failed, latency });
}

fn backs(b: &Bench) -> usize {
    b.log.iter().filter(|a| matches!(a, Action::CastVote { vote: Vote::Revert, .. })).count()
}

fn answer(b: &mut Bench, verdict: Outcome) {
    b.give(Event::StageReport(StageReport {
        answers_vote: true,
        outcome: verdict,
        build: Build(if verdict == Outcome::Ok { 2 } else { 0 }),
        stage: 0,
        phase: Phase::Trial,
        cap: 0.16,
        age: Ms(3000.0),
    }));
}

/// Guards against a build whose harm all see and none sees enough of. Could harm where a few bad machines happen to be
/// among the new ones: then the others' errors show how common they are.
#[test]
fn a_marshal_that_saw_nothing_votes_by_the_platforms_counts() {
    let judged = |old: (f64, f64), new: (f64, f64)| {
        let mut b = one_of_many(7);
        for (build, (attempts, failed)) in [(1, old), (2, new)] {
            (0..4).for_each(|_| tally(&mut b, build, attempts / 4.0, failed / 4.0));
        }
        b.pass(100.0);
        backs(&b) > 0
    };
    assert!(judged((400.0, 4.0), (28.0, 12.0)));
    assert!(!judged((400.0, 4.0), (28.0, 0.0)));
    assert!(!judged((400.0, 4.0), (28.0, 2.0)), "two errors may be chance");
    assert!(!judged((1600.0, 80.0), (140.0, 16.0)), "as many bad machines as elsewhere, and a few more");
    // Chance alone would hardly give these; only what is asked of them besides keeps them from being judged.
    assert!(!judged((1600.0, 160.0), (400.0, 96.0)), "under three times the errors of the others");
    assert!(!judged((4000.0, 0.0), (4.0, 2.0)), "two errors, however unlikely");
    assert!(!judged((100.0, 2.0), (40.0, 6.0)), "six of eight errors may be chance");
}

/// Guards against a trouble of all builds that comes as the new one has most of the traffic: over all periods together the
/// new build would have nearly all errors, of a third of the outcomes.
#[test]
fn a_trouble_of_all_that_comes_late_is_not_the_builds() {
    let mut b = one_of_many(7);
    tally_of(&mut b, 4.0, 1, 400.0, 0.0);
    tally_of(&mut b, 4.0, 2, 20.0, 0.0);
    for second in 0..4 {
        tally_of(&mut b, f64::from(3 - second), 1, 20.0, 9.0);
        tally_of(&mut b, f64::from(3 - second), 2, 180.0, 81.0);
    }
    b.pass(100.0);
    assert_eq!(backs(&b), 0);
    // Worse than the others in each of the periods, it is.
    let mut b = one_of_many(7);
    for second in 0..4 {
        tally_of(&mut b, f64::from(3 - second), 1, 100.0, 2.0);
        tally_of(&mut b, f64::from(3 - second), 2, 40.0, 39.0);
    }
    b.pass(100.0);
    assert_eq!(backs(&b), 1);
}

#[test]
fn what_the_platform_told_before_a_build_was_offered_says_nothing_of_it() {
    let mut b = one_of_many(7);
    tally(&mut b, 2, 28.0, 12.0);
    tally(&mut b, 1, 400.0, 4.0);
    b.give(news(3, 0, Phase::Trial, 0.16));
    b.pass(100.0);
    assert_eq!(backs(&b), 0);
}

/// One that judges alone has all there is to see; where instances form a group, the group judges.
#[test]
fn who_judges_alone_or_in_a_group_goes_by_what_was_seen_there() {
    for (back_votes, shared) in [(1, false), (75, true)] {
        let set = Settings { marshals: 300, revert_votes: back_votes, group_decisions: shared, ..settings() };
        let mut b = Bench::new(set, (0..4).map(|i| node(&format!("t{i}"), 2)).collect(), 1);
        b.give(news(2, 0, Phase::Trial, 0.16));
        tally(&mut b, 1, 400.0, 4.0);
        tally(&mut b, 2, 28.0, 12.0);
        b.pass(100.0);
        assert_eq!(backs(&b), 0);
    }
}

/// Guards against hundreds that are turned away in one instant and come again in the next, all at once.
#[test]
fn votes_back_that_the_platform_turned_away_come_again_spread_out() {
    let mut times = Vec::new();
    for seed in 0..120 {
        let mut b = one_of_many(seed);
        tally(&mut b, 1, 400.0, 4.0);
        tally(&mut b, 2, 28.0, 12.0);
        b.pass(100.0);
        assert_eq!(backs(&b), 1);
        answer(&mut b, Outcome::Rejected);
        let from = b.now;
        while backs(&b) == 1 {
            b.pass(100.0);
        }
        times.push(b.now - from);
    }
    // Half of 300 / 16 s at most; no tenth of a second takes many of them.
    assert!(times.iter().all(|&t| t <= 9500.0), "{times:?}");
    let most = (0..95).map(|at| times.iter().filter(|&&t| (t / 100.0) as u32 == at).count()).max();
    assert!(most <= Some(8), "{most:?} of 120 within 100 ms");
}

/// Guards against calls that add nobody: one vote stands for its life, however long the platform takes.
#[test]
fn a_vote_back_that_stands_is_cast_anew_only_as_it_lapses() {
    let mut b = one_of_many(7);
    let life = settings().vote_ttl.0;
    tally(&mut b, 1, 400.0, 4.0);
    tally(&mut b, 2, 28.0, 12.0);
    b.pass(100.0);
    answer(&mut b, Outcome::Ok);
    let from = b.now;
    while b.now - from < life - 200.0 {
        b.pass(100.0);
    }
    assert_eq!(backs(&b), 1);
    (0..5).for_each(|_| b.pass(100.0));
    assert_eq!(backs(&b), 2);
}
