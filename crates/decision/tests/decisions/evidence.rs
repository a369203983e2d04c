//! The adjusted test against results computed by hand, and the evidence that leads to a vote.

use crate::common::*;
use milletwing_decision::interface::*;
use milletwing_decision::policy::adjusted_test;
use milletwing_decision::statistics::Sums;

fn sums(units: &[(f64, f64)]) -> Sums {
    let mut sums = Sums::default();
    units.iter().for_each(|&(y, x)| sums.add(y, x));
    sums
}
fn near(a: f64, b: f64) -> bool {
    (a - b).abs() < 1e-9
}

#[test]
fn theta_is_zero_without_variance_of_the_covariate() {
    // Scores 0 0 1 1 against 0 0 0 1, covariate 0.5 throughout: the plain difference of means, -1/4.
    let old = sums(&[(0.0, 0.5), (0.0, 0.5), (1.0, 0.5), (1.0, 0.5)]);
    let new = sums(&[(0.0, 0.5), (0.0, 0.5), (0.0, 0.5), (1.0, 0.5)]);
    let (delta, error, ..) = adjusted_test(&[[old, new]], &[1.0]);
    assert!(near(delta, -0.25));
    // Variances 1/3 and 1/4 over four units each: 7/48.
    assert!(near(error, (7.0f64 / 48.0).sqrt()));
}

#[test]
fn theta_is_pooled_covariance_over_variance() {
    // Old (0,0) (1,1), new (1,0) (1,1): pooled x variance sum 1, product sum 1/2, so theta 1/2.
    // Old mean 1/2 - 1/4, new mean 1 - 1/4: delta 1/2. Adjusted old 0, 1/2: variance 1/8; new 1, 1/2: 1/8.
    let old = sums(&[(0.0, 0.0), (1.0, 1.0)]);
    let new = sums(&[(1.0, 0.0), (1.0, 1.0)]);
    let (delta, error, t, p) = adjusted_test(&[[old, new]], &[1.0]);
    assert!(near(delta, 0.5) && near(error, 0.125f64.sqrt()) && near(t, 0.5 / 0.125f64.sqrt()));
    // Student's t at 2 degrees of freedom: P(T > sqrt 2) = 1/2 - t / (2 sqrt(2 + t^2)) = 0.1464.
    assert!((p - 0.146_446_609).abs() < 1e-6, "{p}");
}

#[test]
fn zero_error_gives_statistic_zero() {
    let (delta, error, t, p) = adjusted_test(&[[sums(&[(0.0, 0.0); 5]), sums(&[(1.0, 0.0); 5])]], &[1.0]);
    assert!(near(delta, 1.0) && near(error, 0.0) && near(t, 0.0) && near(p, 0.5));
}

#[test]
fn classes_are_weighted_by_their_share_of_requests() {
    // Class deltas 1/2 and 0 at shares 3 to 1: 3/8. A class with outcomes of only one build does not count.
    let half = sums(&[(0.0, 0.0), (1.0, 0.0)]);
    let none = sums(&[(0.0, 0.0), (0.0, 0.0)]);
    let classes = [[none, half], [none, none], [none, Sums::default()]];
    assert!(near(adjusted_test(&classes, &[3.0, 1.0, 8.0]).0, 0.375));
}

/// Nine nodes of build 1 and three with build 2 on trial, all warm. `answer` gives the outcome and latency by
/// the class, whether the node runs build 2, and the request number.
fn run_trial(seconds: f64, answer: impl Fn(usize, bool, u32) -> (Outcome, f64)) -> Harness {
    let mut entries: Vec<NodeEntry> = (0..9).map(|i| node(&format!("n{i}"), 1)).collect();
    entries.extend((0..3).map(|i| node(&format!("t{i}"), 2)));
    let mut harness = Harness::new(settings(), entries, 1);
    let mut count = 0;
    for i in 0..200 {
        harness.advance(5.0);
        harness.serve(i % 3, |_| (Outcome::Ok, 40.0));
    }
    harness.handle(stage_report(2, 1, Phase::Trial, 0.4));
    let end = harness.now + seconds * 1000.0;
    while harness.now < end {
        harness.advance(5.0);
        count += 1;
        harness.serve(count as usize % 3, |to| answer(count as usize % 3, to.0.starts_with('t'), count));
    }
    harness
}

#[test]
fn a_build_with_errors_is_reverted_and_a_good_one_advanced() {
    let errors =
        run_trial(6.0, |_, new, i| (if new && i % 4 == 0 { Outcome::Error } else { Outcome::Ok }, 40.0));
    assert!(errors.has_cast(2, Vote::Revert));
    let good = run_trial(6.0, |_, _, _| (Outcome::Ok, 40.0));
    assert!(good.has_cast(2, Vote::Advance) && !good.has_cast(2, Vote::Revert));
}

#[test]
fn a_build_that_fails_one_class_is_reverted() {
    let harness = run_trial(6.0, |class, new, i| {
        (if new && class == 2 && i % 2 == 0 { Outcome::Error } else { Outcome::Ok }, 40.0)
    });
    assert!(harness.has_cast(2, Vote::Revert));
}

/// Slowness scores only as the time-outs that scoring assigns to slow attempts, not as time-outs of the
/// client.
#[test]
fn a_slow_build_is_reverted_and_a_slightly_slower_one_is_not() {
    let spread = |i: u32| 20.0 + f64::from(i * 7 % 10) * 4.0;
    let slow = run_trial(6.0, |_, new, i| (Outcome::Ok, if new && i % 3 == 0 { 600.0 } else { spread(i) }));
    assert!(slow.has_cast(2, Vote::Revert));
    let good = run_trial(6.0, |_, new, i| (Outcome::Ok, spread(i) * if new { 1.15 } else { 1.0 }));
    assert!(!good.has_cast(2, Vote::Revert));
}

/// A problem that affects both builds alike is no evidence against the new one.
#[test]
fn errors_on_both_builds_revert_nothing() {
    let harness =
        run_trial(6.0, |_, _, i| (if i > 400 && i % 5 == 0 { Outcome::Error } else { Outcome::Ok }, 40.0));
    assert!(!harness.has_cast(2, Vote::Revert));
}

/// A dead or disconnected node is no evidence on the build it runs.
#[test]
fn a_node_that_answers_nothing_is_no_evidence() {
    let harness =
        run_trial(6.0, |_, new, _| if new { (Outcome::ConnectFailed, 250.0) } else { (Outcome::Ok, 40.0) });
    assert!(!harness.has_cast(2, Vote::Revert));
}

#[test]
fn reported_wrong_answers_count_as_failures() {
    let mut harness = run_trial(2.0, |_, _, _| (Outcome::Ok, 40.0));
    for i in 0..600 {
        harness.advance(5.0);
        harness.serve(i % 3, |_| (Outcome::Ok, 40.0));
        if i % 20 == 0 {
            let node = NodeId(format!("t{}", i / 20 % 3).into());
            harness.handle(Event::WrongAnswer { node, class: ClassId(i % 3), age: Ms(1000.0) });
        }
    }
    assert!(harness.has_cast(2, Vote::Revert));
}

/// Guards against a build that turns bad after its last stage, with errors on most of its machines compared
/// to the build before it. A third of the machines may be the one kind that the build harms. Two of twelve
/// machines are machine failures.
#[test]
fn errors_after_the_release_revert_it_unless_few_machines_have_them() {
    for (bad, expected) in [(12, true), (4, true), (2, false)] {
        let mut harness = run_trial(3.0, |_, _, _| (Outcome::Ok, 40.0));
        let entries = (0..12).map(|i| node(&format!("u{i}"), 2)).collect();
        harness.handle(Event::FleetUpdate(FleetUpdateKind::Replace, entries));
        harness.handle(stage_report(2, 3, Phase::Released, 1.0));
        let attempts = std::cell::Cell::new(0u32);
        for i in 0..1500u32 {
            harness.advance(5.0);
            harness.serve(i as usize % 3, |to| {
                let machine: u32 = to.0[1..].parse().unwrap();
                attempts.set(attempts.get() + 1);
                (
                    if machine < bad && attempts.get().is_multiple_of(8) {
                        Outcome::Error
                    } else {
                        Outcome::Ok
                    },
                    40.0,
                )
            });
        }
        assert_eq!(harness.has_cast(2, Vote::Revert), expected, "{bad} machines");
    }
}

/// Guards against invalid requests, which fail on every server, and which begin during a rollout or after a
/// release: they must neither revert the build nor cause retries that cannot help.
#[test]
fn errors_caused_by_the_request_revert_no_build_and_cause_few_retries() {
    for released in [false, true] {
        let mut harness = run_trial(2.0, |_, _, _| (Outcome::Ok, 40.0));
        if released {
            harness.handle(Event::FleetUpdate(
                FleetUpdateKind::Replace,
                (0..12).map(|i| node(&format!("u{i}"), 2)).collect(),
            ));
            harness.handle(stage_report(2, 3, Phase::Released, 1.0));
        }
        for i in 0..2000u32 {
            harness.advance(5.0);
            harness.serve(i as usize % 3, |_| {
                if i % 3 == 0 {
                    (Outcome::Error, 2.0)
                } else {
                    (Outcome::Ok, 40.0)
                }
            });
        }
        assert!(!harness.has_cast(2, Vote::Revert), "released: {released}");
        let attempts = harness.actions.iter().filter(|a| matches!(a, Action::Attempt { .. })).count();
        assert!(attempts < 2_950, "{attempts} attempts for 2,600 requests");
    }
}

/// Harm that slows down every server rises with the build's share of traffic; an independent problem does
/// not.
#[test]
fn slowness_that_rises_with_the_share_is_reverted_and_independent_slowness_is_not() {
    for (rises_with_share, expected) in [(true, true), (false, false)] {
        let mut harness = run_trial(0.0, |_, _, _| (Outcome::Ok, 40.0));
        for stage in 1..4u32 {
            let part = [0.0, 0.25, 0.5, 0.9][stage as usize];
            let new = (part * 12.0) as usize;
            let fleet = (0..12).map(|i| node(&format!("m{stage}-{i}"), if i < new { 2 } else { 1 }));
            harness.handle(Event::FleetUpdate(FleetUpdateKind::Replace, fleet.collect()));
            harness.handle(stage_report(2, stage, Phase::Trial, [0.1, 0.4, 1.0, 1.0][stage as usize]));
            for i in 0..600u32 {
                harness.advance(5.0);
                let affected = stage == 2 && i > 200;
                let independent = if affected { 2.5 } else { 1.0 };
                let slow = if rises_with_share { 1.0 + 3.0 * part } else { independent };
                let ms = (30.0 + f64::from(i * 7 % 10) * 2.0) * slow;
                harness.serve(i as usize % 3, |_| (Outcome::Ok, ms));
            }
        }
        assert_eq!(harness.has_cast(2, Vote::Revert), expected, "rises with the share: {rises_with_share}");
    }
}

/// A marshal with hardly any traffic votes after the stage time-out, and repeats a vote that got no answer.
#[test]
fn the_stage_timeout_advances_with_few_outcomes_and_an_unanswered_vote_is_repeated() {
    let mut entries = vec![node("a", 1), node("b", 1)];
    entries.push(NodeEntry { started: Some(Ms(1000.0)), ..node("new", 2) });
    let mut harness = Harness::new(settings(), entries, 1);
    harness.handle(stage_report(2, 0, Phase::Trial, 0.1));
    let advance_votes_cast = |harness: &Harness| {
        harness.actions.iter().filter(|a| matches!(a, Action::CastVote { vote: Vote::Advance, .. })).count()
    };
    for _ in 0..24 {
        harness.advance(100.0);
    }
    assert_eq!(advance_votes_cast(&harness), 0);
    harness.advance(200.0);
    assert_eq!(advance_votes_cast(&harness), 1);
    let Event::StageReport(answer) = stage_report(2, 0, Phase::Trial, 0.1) else { unreachable!() };
    harness.handle(Event::StageReport(StageReport {
        answers_vote: true,
        outcome: Outcome::Timeout,
        ..answer
    }));
    for _ in 0..10 {
        harness.advance(100.0);
    }
    assert_eq!(advance_votes_cast(&harness), 2);
}

#[test]
fn a_timed_stage_gets_no_advance_votes() {
    let entries = vec![node("a", 1), NodeEntry { started: Some(Ms(1000.0)), ..node("new", 2) }];
    let mut harness =
        Harness::new(Settings { control: StageControl::Timed, hold_votes: 1, ..settings() }, entries, 1);
    harness.handle(stage_report(2, 0, Phase::Trial, 0.1));
    for _ in 0..100 {
        harness.advance(100.0);
    }
    assert!(!harness.has_cast(2, Vote::Advance));
}

/// Doubt at the stage time-out holds a stage once: with timed stages by a vote to hold.
#[test]
fn doubt_with_few_outcomes_holds_a_timed_stage() {
    let entries = vec![node("a", 1), node("b", 1), node("new", 2)];
    let mut harness =
        Harness::new(Settings { control: StageControl::Timed, hold_votes: 1, ..settings() }, entries, 1);
    for i in 0..100 {
        harness.advance(5.0);
        harness.serve(i % 3, |_| (Outcome::Ok, 40.0));
    }
    harness.handle(stage_report(2, 1, Phase::Trial, 0.4));
    let mut new = 0;
    while new < 12 {
        harness.advance(5.0);
        let (id, out) = harness.request(2);
        let to = attempted_node(&out).unwrap();
        new += u32::from(&*to.0 == "new");
        let bad = &*to.0 == "new" && new % 3 == 0;
        harness.complete(&id, 0, &to, if bad { Outcome::Error } else { Outcome::Ok }, 40.0);
    }
    for _ in 0..40 {
        harness.advance(100.0);
    }
    assert!(
        harness.has_cast(2, Vote::Hold)
            && !harness.has_cast(2, Vote::Revert)
            && !harness.has_cast(2, Vote::Advance)
    );
}

/// Guards against a marshal whose process was paused and that attributes the delay to the new build: answers
/// that arrived during the pause, and answers to the burst of requests that it sent after it.
#[test]
fn outcomes_around_a_pause_of_the_marshal_are_no_evidence() {
    for burst in [false, true] {
        let mut harness = run_trial(0.0, |_, _, _| (Outcome::Ok, 40.0));
        for i in 0..60u32 {
            let paused = i % 2 == 0;
            harness.advance(if burst && paused { 1500.0 } else { 40.0 });
            let requests: Vec<_> = (0..8).map(|n| harness.request(n % 3)).collect();
            harness.advance(if !burst && paused { 1500.0 } else { 40.0 });
            for (id, out) in requests {
                let Some(to) = attempted_node(&out) else { continue };
                // Only answers of the new build's nodes are delayed by the pause.
                let delayed = paused && to.0.starts_with('t');
                harness.complete(&id, 0, &to, Outcome::Ok, if delayed { 1500.0 } else { 40.0 });
            }
        }
        assert!(!harness.has_cast(2, Vote::Revert), "burst: {burst}");
    }
}

/// Of hundreds of marshals with few outcomes each, a quorum must detect a build that fails a fifth of its
/// attempts.
#[test]
fn enough_of_hundreds_of_marshals_with_few_requests_find_a_bad_build() {
    for (part, least, most) in [(5, 50, 200), (1_000_000, 0, 20)] {
        let mut reverting = 0;
        for seed in 0..200u32 {
            let mut entries: Vec<NodeEntry> = (0..9).map(|i| node(&format!("n{i}"), 1)).collect();
            entries.extend((0..3).map(|i| node(&format!("t{i}"), 2)));
            let config = Settings { marshals: 200, advance_votes: 80, revert_votes: 50, ..settings() };
            let mut harness = Harness::seeded(u64::from(seed), config, entries, 1);
            harness.handle(stage_report(2, 1, Phase::Trial, 0.4));
            let attempts = std::cell::Cell::new(seed * 37);
            for i in 0..120 {
                harness.advance(90.0);
                harness.serve(i % 3, |to| {
                    attempts.set(attempts.get() + 1);
                    let bad = to.0.starts_with('t') && attempts.get().is_multiple_of(part);
                    (if bad { Outcome::Error } else { Outcome::Ok }, 40.0)
                });
            }
            reverting += u32::from(harness.has_cast(2, Vote::Revert));
        }
        assert!((least..=most).contains(&reverting), "{reverting} of 200 at one in {part}");
    }
}

/// Clients that disconnect early must neither hide a slow build nor make a good one look slow.
#[test]
fn abandoned_attempts_count_only_after_the_time_of_a_slow_one() {
    for (slow, expected) in [(1000.0, true), (60.0, false)] {
        let harness =
            run_trial(
                8.0,
                |_, new, i| {
                    if new && i % 3 == 0 {
                        (Outcome::Cancelled, slow)
                    } else {
                        (Outcome::Ok, 40.0)
                    }
                },
            );
        assert_eq!(harness.has_cast(2, Vote::Revert), expected, "disconnected after {slow} ms");
    }
}

/// Guards against votes that all marshals cast at once under overload: the earlier build is overloaded, and
/// the few new machines even more. Outcomes of attempts sent during the overload are no evidence on the
/// build.
#[test]
fn outcomes_during_an_overload_of_the_earlier_build_are_no_evidence() {
    let harness = run_trial(8.0, |_, new, i| {
        let late = i % 10 < if new { 9 } else { 4 };
        (if late { Outcome::Timeout } else { Outcome::Ok }, if late { 300.0 } else { 40.0 })
    });
    assert!(!harness.has_cast(2, Vote::Revert));
}

/// Wrong answers are reported late and rarely, so only a few are known when a stage advances. A few are
/// enough if the build before had hardly any; but not if one machine gave them all or they are as rare as
/// before.
#[test]
fn a_few_wrong_answers_after_the_release_suffice_if_from_many_machines() {
    for (every, machines, expected) in [(40, 12, true), (40, 4, true), (40, 1, false), (1000, 12, false)] {
        let mut harness = run_trial(3.0, |_, _, _| (Outcome::Ok, 40.0));
        let entries = (0..12).map(|i| node(&format!("u{i}"), 2)).collect();
        harness.handle(Event::FleetUpdate(FleetUpdateKind::Replace, entries));
        harness.handle(stage_report(2, 3, Phase::Released, 1.0));
        for i in 0..400u32 {
            harness.advance(10.0);
            harness.serve(i as usize % 3, |_| (Outcome::Ok, 40.0));
            if i % every == every - 1 {
                let name = format!("u{}", (i / every) % machines);
                let (class, age) = (ClassId(i as usize % 3), Ms(1500.0));
                harness.handle(Event::WrongAnswer {
                    node: NodeId(std::sync::Arc::from(name.as_str())),
                    class,
                    age,
                });
            }
        }
        assert_eq!(harness.has_cast(2, Vote::Revert), expected, "one of {every} at {machines} machines");
    }
}

/// Stages advance faster than wrong answers are reported: the few failures of one stage must count in the
/// next. Clean outcomes must not, since they would hide harm that begins late.
#[test]
fn failures_are_kept_for_the_next_stage_and_clean_outcomes_are_not() {
    for (early, late, expected) in [(2, 2, true), (0, 3, false), (0, 8, true)] {
        let mut harness = run_trial(3.0, |_, _, _| (Outcome::Ok, 40.0));
        let entries = (0..12).map(|i| node(&format!("u{i}"), 2)).collect();
        harness.handle(Event::FleetUpdate(FleetUpdateKind::Replace, entries));
        for (stage, requests, reports) in [(2, 60, early), (3, 60, late)] {
            harness.handle(stage_report(2, stage, Phase::Trial, 1.0));
            for i in 0..requests {
                harness.advance(10.0);
                harness.serve(i % 3, |_| (Outcome::Ok, 40.0));
            }
            for i in 0..reports {
                let name = format!("u{}", stage + 2 * i);
                let (class, age) = (ClassId(i as usize % 3), Ms(1500.0));
                harness.handle(Event::WrongAnswer {
                    node: NodeId(std::sync::Arc::from(name.as_str())),
                    class,
                    age,
                });
            }
        }
        harness.advance(100.0);
        assert_eq!(
            harness.has_cast(2, Vote::Revert),
            expected,
            "{early} failures in the first stage, then {late}"
        );
    }
}
