//! The limit on marshals per request, over random histories of first attempts, retries, hedges,
//! undelivered attempts, and configurations that change the limit while requests are in flight.

mod common;

use common::{body, edge, route_request, view};
use milletwing_replicated_state::View;
use milletwing_routing::{Attempt, AttemptOutcome, RoutedRequest, Router, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::rc::Rc;

const SEEDS: u64 = 2_000;
const STEPS: usize = 60;
/// Outcomes after which something may have reached the marshal.
const MAY_HAVE_ARRIVED: [AttemptOutcome; 6] = [
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::WrongInstance,
    AttemptOutcome::ConnectionBroken,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Cancelled,
];
/// Outcomes after which nothing has reached the marshal.
const NOT_ARRIVED: [AttemptOutcome; 2] = [AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent];

/// Changes the limit on attempts in all routes that allow two.
fn with_limit(view: &mut View, revision: u64, limit: u32) {
    let text = String::from_utf8(body(revision)).unwrap();
    let text = text.replace(r#""maxTries":2"#, &format!(r#""maxTries":{limit}"#));
    let command = view.configure_command(revision, text.as_bytes()).unwrap();
    view.apply(view.index + 1, &command);
}

/// One request, with its attempts in flight and the marshals that it may have reached.
struct Request {
    routed: RoutedRequest,
    in_flight: Vec<Attempt>,
    reached: BTreeSet<Rc<str>>,
}

impl Request {
    /// Asks for an attempt. Every caller passes here: a retry, a hedge, or a caller that forgot to
    /// check.
    fn send(&mut self, router: &mut Router, now: Time, limit: u32) -> bool {
        let Ok(attempt) = router.start_attempt(now, &mut self.routed) else { return false };
        self.reached.insert(Rc::clone(&attempt.id));
        self.in_flight.push(attempt);
        let reached = self.reached.len() as u32;
        assert!(reached <= limit, "{reached} marshals where {limit} are allowed");
        reached == limit
    }

    fn end(&mut self, router: &mut Router, now: Time, rng: &mut Pcg64Mcg) {
        if self.in_flight.is_empty() {
            return;
        }
        let attempt = self.in_flight.swap_remove(rng.random_range(0..self.in_flight.len()));
        let arrived = rng.random_bool(0.7);
        let outcomes: &[AttemptOutcome] = if arrived { &MAY_HAVE_ARRIVED } else { &NOT_ARRIVED };
        let outcome = *outcomes.choose(rng).unwrap();
        router.finish_attempt(now, &mut self.routed, &attempt, outcome, None);
        if !arrived {
            self.reached.remove(&attempt.id);
        }
    }
}

#[test]
fn no_history_exceeds_the_limit_on_marshals_per_request() {
    let mut at_the_limit = 0;
    for seed in 0..SEEDS {
        let mut rng = Pcg64Mcg::seed_from_u64(seed);
        let mut view = view(12);
        let limit_at_arrival = rng.random_range(1..4);
        with_limit(&mut view, 2, limit_at_arrival);
        let mut router = edge(seed as u32 % 7, &view, 1, 1);
        // The retry budget is large enough that only the limit decides.
        (0..400).for_each(|_| drop(route_request(&mut router, 1, "/look/x")));
        let routed = route_request(&mut router, 2, "/look/x");
        let mut request = Request { routed, in_flight: Vec::new(), reached: BTreeSet::new() };
        let (mut now, mut revision, mut current_limit) = (2, 2, limit_at_arrival);
        for _ in 0..STEPS {
            now += rng.random_range(1..20);
            match rng.random_range(0..10) {
                0..5 => {
                    let full = request.send(&mut router, now, limit_at_arrival.min(current_limit));
                    at_the_limit += u32::from(full && current_limit > 1);
                }
                5..9 => request.end(&mut router, now, &mut rng),
                _ => {
                    // Attempts in flight stay; the new limit applies to those started from now on.
                    (revision, current_limit) = (revision + 1, rng.random_range(1..4));
                    with_limit(&mut view, revision, current_limit);
                    router.refresh(now, &view);
                }
            }
        }
    }
    assert!(
        at_the_limit > 1_000,
        "only {at_the_limit} attempts reached the limit: the histories cover too little"
    );
}
