//! Edges that have lost the core: what they send to a marshal that turns cold meanwhile, and what they answer.

mod common;

use common::{arrive, edge, node, view};
use milletwing_config::settings::Guarantees;
use milletwing_config::ErrorKind;
use milletwing_replicated_state::{Command, Phase, View};
use milletwing_routing::{AttemptOutcome, RequestHead, Router, Time};

/// When the core falls silent, when the one marshal in reach turns cold, and the end.
const SILENT: Time = 1_000;
const COLD: Time = 6_000;
const END: Time = 12_000;
/// Milliseconds until a health answer is there.
const ANSWERS: Time = 20;
const WARMUP_PER_S: f64 = 26.0;

fn allowed() -> usize {
    let bounds = Guarantees::default();
    (WARMUP_PER_S * bounds.warmupExcess + bounds.warmupSlack) as usize
}

/// Sends as much as it may to the one marshal, and asks for its health as it is told to. Gives the times of what was sent.
fn press(router: &mut Router, probes: bool) -> Vec<Time> {
    let mut sent = Vec::new();
    let mut asked = Vec::new();
    for now in 2..END {
        if now <= SILENT {
            router.core_heard(now);
        }
        if now % 20 == 0 {
            // Fifty requests a second.
            let mut ticket = arrive(router, now, "/look/x");
            if let Ok(sending) = router.start_attempt(now, &mut ticket) {
                sent.push(now);
                router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::Served, None);
            }
        }
        if probes && now % 100 == 0 {
            asked.extend(router.due_probes(now, 8).into_iter().map(|probe| (now + ANSWERS, probe)));
        }
        for (_, probe) in asked.extract_if(.., |(at, _)| *at <= now) {
            router.record_probe_result(now, &probe, Some(now < COLD));
        }
    }
    sent
}

fn worst(sent: &[Time], from: Time) -> usize {
    let within = |start: &Time| sent.iter().filter(|at| (*start..*start + 1_000).contains(*at)).count();
    sent.iter().filter(|at| **at >= from).map(within).max().unwrap_or(0)
}

fn lone(view: &mut View) {
    view.apply(view.index + 1, &Command::NodeUp(node(0, "v1", Phase::Warm)));
}

#[test]
fn two_edges_of_a_zone_cut_off_keep_a_marshal_that_turns_cold_under_its_bound() {
    let mut view = view(0);
    lone(&mut view);
    let mut all = Vec::new();
    for id in [0, 4] {
        let mut router = edge(id, &view, 9, 1);
        let sent = press(&mut router, true);
        let warm = sent.iter().filter(|at| (4_500..5_500).contains(*at)).count();
        assert!(warm >= 45, "a marshal that says that it is warm gets its part: {warm} in a second");
        all.extend(sent);
    }
    all.sort_unstable();
    // The last health answer that said warm is believed for a while.
    let after = worst(&all, COLD);
    assert!(after <= allowed() + 25, "{after} in a second right after it turned cold");
    let later = worst(&all, COLD + 1_700);
    assert!(later <= allowed() / 4, "{later} in a second once that is known");
}

#[test]
fn without_health_answers_all_edges_together_stay_under_the_bound() {
    let mut view = view(0);
    lone(&mut view);
    let mut all = Vec::new();
    for id in 0..9 {
        let mut router = edge(id, &view, 9, 1);
        all.extend(press(&mut router, false));
    }
    all.sort_unstable();
    let after = worst(&all, SILENT + 4_100);
    assert!(after <= allowed(), "{after} in a second");
}

#[test]
fn an_edge_in_touch_asks_nobody_for_its_health() {
    let mut view = view(0);
    lone(&mut view);
    let mut router = edge(0, &view, 9, 1);
    for now in 1..10_000 {
        router.core_heard(now);
        let mut ticket = arrive(&mut router, now, "/look/x");
        if let Ok(sending) = router.start_attempt(now, &mut ticket) {
            router.finish_attempt(now, &mut ticket, &sending, AttemptOutcome::Served, None);
        }
        assert!(router.due_probes(now, 8).is_empty());
    }
}

#[test]
fn an_edge_that_lost_the_core_refuses_no_route_for_good() {
    let mut router = edge(0, &view(1), 9, 1);
    let refused = |router: &mut Router, now| {
        router
            .route_request(
                now,
                RequestHead { host: "h.example", path: "/newer/", remaining_ms: None, api_key: None },
            )
            .unwrap_err()
    };
    assert_eq!(refused(&mut router, 3_000), ErrorKind::NoRoute);
    let kind = refused(&mut router, 9_000);
    assert_eq!(
        (kind.clone(), kind.response().status, kind.response().not_executed),
        (ErrorKind::CoreUnreachable, 503, true)
    );
    router.core_heard(9_000);
    assert_eq!(refused(&mut router, 9_100), ErrorKind::NoRoute);
}

/// A key that is not known may be a newer one.
#[test]
fn an_edge_that_lost_the_core_refuses_no_key_for_good() {
    let mut view = view(1);
    let text = String::from_utf8(common::body(2)).unwrap();
    let text = text.replacen(
        "\"thresholds\"",
        "\"subscribers\":{\"t\":{\"credentials\":[\"known\"]}},\"thresholds\"",
        1,
    );
    let command = view.configure_command(2, text.as_bytes()).unwrap();
    view.apply(9, &command);
    let mut router = edge(0, &view, 9, 1);
    let come = |router: &mut Router, now, key| {
        let head = RequestHead { host: "h.example", path: "/look/", remaining_ms: None, api_key: Some(key) };
        router.route_request(now, head).map(|ticket| ticket.tenant.map(|tenant| tenant.name.to_string()))
    };
    assert_eq!(come(&mut router, 3_000, "newer").unwrap_err(), ErrorKind::Unauthorized);
    assert_eq!(come(&mut router, 9_000, "newer").unwrap_err(), ErrorKind::CoreUnreachable);
    assert_eq!(come(&mut router, 9_000, "known").unwrap(), Some("t".into()), "what is known still counts");
    router.core_heard(9_000);
    assert_eq!(come(&mut router, 9_100, "newer").unwrap_err(), ErrorKind::Unauthorized);
}
