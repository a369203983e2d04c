//! The limit on marshals for one request, over drawn histories of first sendings, retries, hedges, ends that take a try
//! back, and configurations that change the limit while requests are under way.

mod common;

use common::{arrive, body, edge, view};
use milletwing_replicated_state::View;
use milletwing_routing::{Attempt, AttemptOutcome, RoutedRequest, Router, Time};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeSet;
use std::rc::Rc;

const SEEDS: u64 = 2_000;
const STEPS: usize = 60;
/// Ends after which something may have arrived at the marshal.
const ARRIVED: [AttemptOutcome; 6] = [
    AttemptOutcome::Failed,
    AttemptOutcome::Rejected,
    AttemptOutcome::WrongInstance,
    AttemptOutcome::ConnectionBroken,
    AttemptOutcome::TimedOut,
    AttemptOutcome::Cancelled,
];
/// Ends after which nothing has.
const NOT_ARRIVED: [AttemptOutcome; 2] = [AttemptOutcome::ConnectFailed, AttemptOutcome::NotSent];

/// A view of twelve marshals whose routes allow so many tries.
fn with_limit(view: &mut View, revision: u64, limit: u32) {
    let text = String::from_utf8(body(revision)).unwrap();
    let text = text.replace(r#""maxTries":2"#, &format!(r#""maxTries":{limit}"#));
    let command = view.configure_command(revision, text.as_bytes()).unwrap();
    view.apply(view.index + 1, &command);
}

/// One request, with the sendings that are out and the marshals that something may have arrived at.
struct Request {
    ticket: RoutedRequest,
    out: Vec<Attempt>,
    reached: BTreeSet<Rc<str>>,
}

impl Request {
    /// Whoever asks for a sending, for whatever reason, asks here: a retry, a hedge, a caller that forgot to check.
    fn send(&mut self, router: &mut Router, now: Time, limit: u32) -> bool {
        let Ok(sending) = router.start_attempt(now, &mut self.ticket) else { return false };
        self.reached.insert(Rc::clone(&sending.id));
        self.out.push(sending);
        let reached = self.reached.len() as u32;
        assert!(reached <= limit, "{reached} marshals where {limit} are allowed");
        reached == limit
    }

    fn end(&mut self, router: &mut Router, now: Time, chance: &mut Pcg64Mcg) {
        if self.out.is_empty() {
            return;
        }
        let sending = self.out.swap_remove(chance.random_range(0..self.out.len()));
        let arrived = chance.random_bool(0.7);
        let ends: &[AttemptOutcome] = if arrived { &ARRIVED } else { &NOT_ARRIVED };
        let end = *ends.choose(chance).unwrap();
        router.finish_attempt(now, &mut self.ticket, &sending, end, None);
        if !arrived {
            self.reached.remove(&sending.id);
        }
    }
}

#[test]
fn no_history_sends_a_request_to_more_marshals_than_its_route_allows() {
    let mut at_the_limit = 0;
    for seed in 0..SEEDS {
        let mut chance = Pcg64Mcg::seed_from_u64(seed);
        let mut view = view(12);
        let at_arrival = chance.random_range(1..4);
        with_limit(&mut view, 2, at_arrival);
        let mut router = edge(seed as u32 % 7, &view, 1, 1);
        // Budget enough that the limit alone decides.
        (0..400).for_each(|_| drop(arrive(&mut router, 1, "/look/x")));
        let ticket = arrive(&mut router, 2, "/look/x");
        let mut request = Request { ticket, out: Vec::new(), reached: BTreeSet::new() };
        let (mut now, mut revision, mut current) = (2, 2, at_arrival);
        for _ in 0..STEPS {
            now += chance.random_range(1..20);
            match chance.random_range(0..10) {
                0..5 => {
                    let full = request.send(&mut router, now, at_arrival.min(current));
                    at_the_limit += u32::from(full && current > 1);
                }
                5..9 => request.end(&mut router, now, &mut chance),
                _ => {
                    // What is out stays out; the limit counts for what is sent from now on.
                    (revision, current) = (revision + 1, chance.random_range(1..4));
                    with_limit(&mut view, revision, current);
                    router.refresh(now, &view);
                }
            }
        }
    }
    assert!(
        at_the_limit > 1_000,
        "only {at_the_limit} sendings stood at the limit: the histories judge too little"
    );
}
