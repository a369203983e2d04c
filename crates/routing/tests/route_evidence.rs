//! What an edge reports of the routes that lead to a service with a version on trial.

mod common;

use common::{edge, node, route_request, view};
use milletwing_replicated_state::{Command, Phase};
use milletwing_routing::{AttemptOutcome, Router};
use milletwing_sequential_test::{sampling_factor, RouteEvidence, TrialReport};

const MARSHALS: usize = 6;
const ORDERED_AT: u64 = 10_000;

/// Sends requests by turns on these paths, one each 20 ms, all served.
fn serve(router: &mut Router, times: std::ops::Range<u64>, paths: &[&str]) {
    for (turn, now) in times.step_by(20).enumerate() {
        router.core_heard(now);
        let mut request = route_request(router, now, paths[turn % paths.len()]);
        let attempt = router.start_attempt(now, &mut request).unwrap();
        router.finish_attempt(now + 5, &mut request, &attempt, AttemptOutcome::Served, None);
    }
}

/// An edge that serves `before` until a trial begins at [`ORDERED_AT`], and `after` for ten seconds.
fn report(before: &[&str], after: &[&str]) -> TrialReport {
    let mut view = view(MARSHALS);
    let mut router = edge(1, &view, 1, 1);
    serve(&mut router, 1..ORDERED_AT, before);
    view.apply(100, &Command::RollOut { service: "s".into(), revision: "v22".into(), period_ms: 16_000 });
    for at in 0..MARSHALS {
        view.apply(101 + at as u64, &Command::NodeUp(node(at, "v22", Phase::Warm)));
    }
    router.refresh(ORDERED_AT, &view);
    serve(&mut router, ORDERED_AT..ORDERED_AT + 5_000, after);
    view.apply(200, &Command::Stage { service: "s".into(), number: view.rollouts["s"].number, stage: 1 });
    router.refresh(ORDERED_AT + 5_000, &view);
    serve(&mut router, ORDERED_AT + 5_000..ORDERED_AT + 10_000, after);
    router.trial_reports(ORDERED_AT + 10_000).remove(0)
}

fn route<'a>(report: &'a TrialReport, name: &str) -> &'a RouteEvidence {
    report.routes.iter().find(|evidence| evidence.route == name).unwrap()
}

#[test]
fn each_route_has_outcomes_of_its_own() {
    let report = report(&["/look/x"], &["/look/x", "/order/x"]);
    let outcomes: f64 = report.sums.iter().flatten().map(|sums| sums.n).sum();
    let by_route = |name: &str| route(&report, name).outcomes.map(|outcomes| outcomes.count);
    let (look, order) = (by_route("look"), by_route("order"));
    assert!(look[1] > 0.0 && order[1] > 0.0, "{look:?} {order:?}");
    assert_eq!(look.iter().chain(&order).sum::<f64>(), outcomes);
    assert_eq!(route(&report, "order").requests, 250.0);
    assert!(report.exposed >= look[1] + order[1]);
}

/// Guards against EXPOSURE: a class whose route had left before the order was forgotten.
#[test]
fn a_route_that_left_before_the_trial_is_reported() {
    let report = report(&["/look/x", "/order/x"], &["/look/x"]);
    let order = route(&report, "order");
    assert!(order.rate_before > 20.0 && order.requests == 0.0, "{order:?}");
}

/// A new leader learns from it when the trial and its stage began, and what the stage has shown.
#[test]
fn a_report_tells_the_age_of_the_trial_and_of_its_stage() {
    let report = report(&["/look/x"], &["/look/x"]);
    let outcomes: f64 = report.sums.iter().map(|arms| arms[1].n).sum();
    assert_eq!((report.trial_age, report.stage_age), (10_000, 5_000));
    assert!(report.stage_outcomes > 0.0 && report.stage_outcomes < outcomes, "{report:?}");
}

#[test]
fn routes_with_few_requests_are_sampled_more_often_and_the_service_as_before() {
    for requests in [vec![850.0, 150.0], vec![500.0, 300.0, 200.0], vec![980.0, 20.0], vec![100.0, 100.0]] {
        let total: f64 = requests.iter().sum();
        let factors: Vec<f64> = (0..requests.len()).map(|at| sampling_factor(&requests, at)).collect();
        let sampled: f64 = factors.iter().zip(&requests).map(|(factor, count)| factor * count).sum();
        assert!((sampled - total).abs() < 1e-6 * total, "{requests:?}: {factors:?}");
        assert!(factors.is_sorted(), "{requests:?}: {factors:?}");
        assert!(factors.iter().all(|factor| (0.0..=2.0).contains(factor)), "{requests:?}: {factors:?}");
    }
    assert_eq!(sampling_factor(&[70.0, 0.0], 0), 1.0, "a route without requests takes nothing");
}
