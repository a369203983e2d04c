//! Trials of versions that some or all requests do not reach: their routes lead elsewhere for a while.

use milletwing_sequential_test::{
    OutcomeCount, RouteEvidence, Sums, Time, TrialDecision, TrialReport, TrialSchedule, TrialTally, Vote,
    CLASS_COUNT, FINAL_STAGE,
};
use std::collections::BTreeSet;

const PROXIES: u32 = 8;
const END: Time = 20_000;
const TERM: Time = 21_000;
const MIN_DURATION: Time = 1_600;
const STEP: usize = 250;

/// A route, with what each proxy has seen of it by a time.
#[derive(Clone, Copy)]
struct Route {
    name: &'static str,
    class: usize,
    /// Requests per second before the trial, over all proxies.
    rate_before: f64,
    /// Requests so far.
    requests: fn(Time) -> u32,
    /// Outcomes of the new version so far.
    outcomes: fn(Time) -> u32,
    /// How many of those failed.
    failed: fn(Time) -> u32,
}

/// A route of `class` 0 with an outcome of the new version for each request.
const STEADY: Route = Route {
    name: "steady",
    class: 0,
    rate_before: 40.0,
    requests: |now| (now / 200) as u32,
    outcomes: |now| (now / 200) as u32,
    failed: |_| 0,
};

/// A route of which all requests lead elsewhere after the first second of the trial.
const GONE: Route = Route {
    name: "gone",
    class: 2,
    rate_before: 40.0,
    requests: |now| (now.min(1_000) / 200) as u32,
    outcomes: |_| 0,
    failed: |_| 0,
};

impl Route {
    fn evidence(&self, now: Time) -> RouteEvidence {
        RouteEvidence {
            route: self.name.into(),
            class: self.class,
            rate_before: self.rate_before / f64::from(PROXIES),
            requests: f64::from((self.requests)(now)),
            active: now,
            outcomes: [OutcomeCount::default(), self.new_version(now)],
        }
    }

    fn new_version(&self, now: Time) -> OutcomeCount {
        OutcomeCount { count: f64::from((self.outcomes)(now)), failed: f64::from((self.failed)(now)) }
    }
}

/// The report of a proxy that votes to advance.
fn report(now: Time, stage: u32, stage_since: Time, routes: &[Route]) -> TrialReport {
    let mut sums = [[Sums::default(); 2]; CLASS_COUNT];
    let mut request_counts = [0.0; CLASS_COUNT];
    let total = |at: Time| routes.iter().map(|route| route.new_version(at).count).sum::<f64>();
    for route in routes {
        let OutcomeCount { count, failed } = route.new_version(now);
        for outcome in 0..count as u32 {
            sums[route.class][1].add(f64::from(u8::from(f64::from(outcome) < failed)), 0.0);
        }
        request_counts[route.class] += f64::from((route.requests)(now));
    }
    TrialReport {
        service: "s".into(),
        number: 1,
        stage,
        sums,
        request_counts,
        vote: Some(Vote::Advance),
        trial_age: now,
        stage_age: now - stage_since,
        stage_outcomes: total(now) - total(stage_since),
        exposed: total(now),
        routes: routes.iter().map(|route| route.evidence(now)).collect(),
    }
}

/// How a trial ended: the stage that it reached, and the time at which it was completed or rolled back.
#[derive(Debug, PartialEq)]
enum End {
    Completed(Time),
    RolledBack(u32, Time),
}

/// Runs a trial with a leader that is replaced at these times.
fn run_trial_with(
    routes: &[Route],
    schedule_at: impl Fn(Time) -> TrialSchedule,
    new_leaders: &[Time],
) -> End {
    let (mut tally, mut stage, mut stage_since) = (TrialTally::new(0, 0), 0, 0);
    for now in (0..=END).step_by(STEP) {
        if new_leaders.contains(&now) {
            tally = TrialTally::new(now, stage);
        }
        for proxy in 0..PROXIES {
            tally.record_report(now, proxy, 1, report(now, stage, stage_since, routes));
        }
        match tally.decide(now, &schedule_at(now)) {
            Some(TrialDecision::Advance) if stage == FINAL_STAGE => return End::Completed(now),
            Some(TrialDecision::Advance) => {
                (stage, stage_since) = (stage + 1, now);
                tally.set_stage(now, stage);
            }
            Some(TrialDecision::RollBack) => return End::RolledBack(stage, now),
            None => {}
        }
    }
    panic!("still at stage {stage} when its period was over")
}

fn schedule() -> TrialSchedule {
    TrialSchedule {
        min_duration: MIN_DURATION,
        end: END,
        term: TERM,
        exposure: (0.1, 50.0),
        ..TrialSchedule::default()
    }
}

fn run_trial(routes: &[Route]) -> End {
    run_trial_with(routes, |_| schedule(), &[])
}

/// When a trial is completed whose routes are all in use.
fn undisturbed_completion() -> Time {
    match run_trial(&[STEADY]) {
        End::Completed(at) => at,
        end => panic!("{end:?}"),
    }
}

/// Guards against EXPOSURE: a roll-out was completed on no outcome at all, while no request reached its
/// service.
#[test]
fn a_trial_without_outcomes_is_never_completed() {
    let unused = Route { requests: |_| 0, outcomes: |_| 0, ..STEADY };
    assert!(matches!(run_trial(&[unused]), End::RolledBack(0 | 1, _)));
    assert!(matches!(run_trial(&[]), End::RolledBack(1, _)), "not even the routes are known");
}

#[test]
fn a_trial_whose_requests_stop_waits_at_its_stage() {
    let stopping = Route {
        requests: |now| (now.min(5_000) / 500) as u32,
        outcomes: |now| (now.min(5_000) / 500) as u32,
        ..STEADY
    };
    let end = run_trial(&[stopping]);
    assert!(matches!(end, End::RolledBack(stage, _) if stage < FINAL_STAGE), "{end:?}");
}

#[test]
fn a_trial_with_sparse_outcomes_is_completed() {
    let sparse = Route {
        rate_before: 0.5,
        requests: |now| (now / 4_000) as u32,
        outcomes: |now| (now / 4_000) as u32,
        ..STEADY
    };
    let end = run_trial(&[sparse]);
    assert!(matches!(end, End::Completed(_)), "{end:?}");
}

/// Guards against EXPOSURE: a roll-out was completed on the outcomes of a healthy class, while the route of
/// the class for which the version was bad led elsewhere.
#[test]
fn a_class_without_outcomes_is_not_judged_by_another_class() {
    let end = run_trial(&[STEADY, GONE]);
    assert!(matches!(end, End::RolledBack(..)), "{end:?}");
}

/// The same for two routes of one class, as a version can be bad on a single route.
#[test]
fn a_route_without_outcomes_is_not_judged_by_another_route_of_its_class() {
    let end = run_trial(&[STEADY, Route { class: 0, ..GONE }]);
    assert!(matches!(end, End::RolledBack(..)), "{end:?}");
}

/// Guards against EXPOSURE: the route had left shortly before the order, and came back when the roll-out was
/// completed.
#[test]
fn a_route_that_left_before_the_trial_is_not_judged_by_another_route() {
    let end = run_trial(&[STEADY, Route { requests: |_| 0, ..GONE }]);
    assert!(matches!(end, End::RolledBack(..)), "{end:?}");
}

/// A route without significant traffic holds nothing up.
#[test]
fn a_route_with_a_hundredth_of_the_requests_holds_nothing_up() {
    let thin = Route { rate_before: 0.4, ..GONE };
    let thin = Route { requests: |now| (now / 16_000) as u32, ..thin };
    assert_eq!(run_trial(&[STEADY, thin]), End::Completed(undisturbed_completion()));
}

/// Guards against EXPOSURE: a stage advanced, and exposed more requests, on a single outcome, a bad one.
#[test]
fn a_single_bad_outcome_does_not_advance_a_stage() {
    let late =
        Route { requests: |now| (now / 200) as u32, outcomes: |now| u32::from(now >= 3_000), ..STEADY };
    let one_proxy_in_eight = Route { failed: late.outcomes, ..late };
    assert!(matches!(run_trial(&[one_proxy_in_eight]), End::RolledBack(0, _)));
}

/// A stage does not advance while a route that was led to the service just now has not had its time.
#[test]
fn a_route_that_was_just_added_holds_the_stage_for_its_minimum_duration() {
    let added = undisturbed_completion() - 250;
    let held = |now| TrialSchedule { routes_added: if now >= added { added } else { 0 }, ..schedule() };
    let end = run_trial_with(&[STEADY], held, &[]);
    let End::Completed(at) = end else { panic!("{end:?}") };
    assert!(at >= added + MIN_DURATION, "completed {} ms after a route was added", at - added);
}

/// Guards against EXPOSURE by a version that is bad under load: a trickle of its route is no load.
#[test]
fn a_version_is_not_completed_while_most_of_its_load_leads_elsewhere() {
    let away = |_| TrialSchedule { led_away: BTreeSet::from(["steady".to_owned()]), ..schedule() };
    let end = run_trial_with(&[STEADY], away, &[]);
    assert!(matches!(end, End::RolledBack(..)), "{end:?}");
}

/// A trial that can no longer be completed is rolled back well before its term, so that a lost leader does
/// not carry it beyond.
#[test]
fn a_trial_that_waits_is_rolled_back_before_the_time_of_its_next_stages() {
    let End::RolledBack(stage, at) = run_trial(&[STEADY, GONE]) else { panic!("completed") };
    assert!(at + u64::from(FINAL_STAGE - stage) * MIN_DURATION <= END + 250, "stage {stage}, {at} ms");
}

/// Guards against a roll-back after the term: a new leader counted the period from its own first look.
#[test]
fn a_new_leader_keeps_the_end_of_the_period() {
    let mut tally = TrialTally::new(500, 1);
    // The replica was started half a second ago, the trial much earlier.
    tally.record_report(600, 1, 1, report(12_000, 1, 5_000, &[STEADY, GONE]));
    assert_eq!((tally.age(700), tally.after_start(12_500)), (12_100, 1_100));
    assert_eq!(tally.after_start(1_000), 0, "the trial's first second is over");
}

/// Guards against EXPOSURE: a new leader counted the outcomes of earlier stages as those of its first stage.
#[test]
fn a_new_leader_does_not_count_earlier_outcomes_as_those_of_the_stage() {
    let until_first_stage_ends = Route { outcomes: |now| (now.min(4_000) / 200) as u32, ..STEADY };
    let until_first_stage_ends =
        Route { requests: |now| (now.min(4_000) / 200) as u32, ..until_first_stage_ends };
    for new_leader in [6_000, 8_000, 10_000] {
        let end = run_trial_with(&[until_first_stage_ends], |_| schedule(), &[new_leader]);
        assert!(matches!(end, End::RolledBack(1, _)), "{end:?} with a new leader at {new_leader}");
    }
}
