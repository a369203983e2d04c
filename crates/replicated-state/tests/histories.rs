//! Tests sequences of log entries and heartbeats, and the state that they produce.

use milletwing_config::{Configuration, ErrorKind};
use milletwing_replicated_state::registry::BeatAction;
use milletwing_replicated_state::{
    Beat, Command, EdgeHeartbeat, EdgeStatus, Node, Outcome, Phase, Registry, RollOutState, View,
};
use std::collections::BTreeMap;

fn body(revision: u64, routes: usize) -> Vec<u8> {
    let route = |number: usize| {
        format!(
            r#""r{number}":{{"domain":"h{number}.example","pathPrefix":"/p{number}/","trafficClass":"idempotent","guardS":5,"target":"s"}}"#
        )
    };
    let routes: Vec<String> = (0..routes).map(route).collect();
    format!(
        r#"{{"revision":{revision},"routing":{{{}}},"targets":{{"s":{{"maxSessions":110,"warmupS":3.0,"warmupPerS":26.0}},
        "thin":{{"maxSessions":110,"warmupS":3.0,"warmupPerS":2.6}}}},"thresholds":{{}}}}"#,
        routes.join(",")
    )
    .into_bytes()
}

fn view_with_configuration(revision: u64) -> View {
    let mut view = View::default();
    let command = view.configure_command(revision, &body(revision, 1)).unwrap();
    assert_eq!(view.apply(1, &command), Outcome::Done);
    view
}

fn beat(target: &str, address: &str, state: &str, warmup_left_s: f64, counter: u64) -> Beat {
    let text = format!(
        r#"{{"target":"{target}","address":"{address}","zone":"a","revision":"v1","capacity":2,"state":"{state}",
        "warmupLeftS":{warmup_left_s},"callCounter":{counter}}}"#
    );
    Beat::parse(text.as_bytes()).unwrap()
}

fn edge(id: u32, zone: &str, region: &str) -> EdgeStatus {
    EdgeStatus {
        id,
        zone: zone.into(),
        region: region.into(),
        ingress: format!("10.0.0.{}:80", id % 250).parse().unwrap(),
        ready: true,
        incarnation: 1,
    }
}

/// Processes a heartbeat and applies the entry that it requires, if any. Returns whether it required one.
fn process(view: &mut View, registry: &mut Registry, now: u64, id: &str, beat: &Beat) -> bool {
    match registry.handle_beat(now, view, id, beat) {
        BeatAction::Acknowledge => false,
        BeatAction::Propose(command) => {
            let index = view.index + 1;
            view.apply(index, &command);
            true
        }
    }
}

#[test]
fn one_of_two_concurrent_configurations_wins_and_a_repeated_one_is_accepted() {
    let mut view = view_with_configuration(4);
    let (first, second) =
        (view.configure_command(7, &body(7, 2)).unwrap(), view.configure_command(9, &body(9, 3)).unwrap());
    assert_eq!(view.apply(2, &first), Outcome::Done);
    assert_eq!(view.apply(3, &second), Outcome::Refused(ErrorKind::RevisionMismatch(7)));
    assert_eq!(view.apply(4, &first), Outcome::Done, "a call without a clear answer is sent again unchanged");
    assert_eq!((view.revision, view.body.as_slice()), (7, body(7, 2).as_slice()));
    let old = view.configure_command(6, &body(6, 1)).unwrap();
    assert_eq!(view.apply(5, &old), Outcome::Refused(ErrorKind::OutdatedRevision(6, 7)));
    // A configuration accepted earlier is still recognised, and does not come into force again.
    let next = view.configure_command(12, &body(12, 1)).unwrap();
    assert_eq!(view.apply(6, &next), Outcome::Done);
    assert_eq!(view.apply(7, &first), Outcome::Done);
    assert_eq!(view.revision, 12);
}

#[test]
fn a_configuration_is_sent_as_a_delta_and_restored_byte_for_byte() {
    let mut view = view_with_configuration(1);
    let large = view.configure_command(2, &body(2, 1500)).unwrap();
    view.apply(2, &large);
    let mut more = body(3, 1501);
    let next = view.configure_command(3, &more).unwrap();
    assert!(
        next.to_bytes().len() * 50 < more.len(),
        "{} bytes for one more route in a configuration of {} bytes",
        next.to_bytes().len(),
        more.len()
    );
    assert_eq!(view.apply(3, &next), Outcome::Done);
    assert_eq!(view.body.as_slice(), more);
    // A configuration with a flipped bit is refused.
    let mut corrupted = view.configure_command(4, &body(4, 1)).unwrap();
    if let Command::Configure { digest, .. } = &mut corrupted {
        digest[0] ^= 1;
    }
    assert!(matches!(view.apply(4, &corrupted), Outcome::Refused(ErrorKind::Unreadable(_))));
    assert_eq!(view.revision, 3);
    more.clear();
    let decoded = View::from_bytes(&view.to_bytes()).unwrap();
    assert_eq!(decoded.to_bytes(), view.to_bytes());
    assert_eq!(decoded.configuration().unwrap().routing.len(), 1501);
}

#[test]
fn a_draining_marshal_keeps_its_phase_when_heartbeats_arrive_late() {
    let (mut view, mut registry) = (view_with_configuration(1), Registry::default());
    let up = beat("s", "10.0.0.9:80", "available", 0.0, 1);
    assert!(process(&mut view, &mut registry, 10, "i-1", &up));
    assert!(!process(&mut view, &mut registry, 20, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 2)));
    assert!(process(&mut view, &mut registry, 30, "i-1", &beat("s", "10.0.0.9:80", "draining", 0.0, 4)));
    // A heartbeat arrives out of order, both here and at a machine that did not receive the later one.
    let late = beat("s", "10.0.0.9:80", "available", 0.0, 3);
    process(&mut view, &mut registry, 40, "i-1", &late);
    process(&mut view, &mut Registry::default(), 40, "i-1", &late);
    assert_eq!(view.nodes["i-1"].phase, Phase::Draining);
    let BeatAction::Propose(gone) = registry.handle_leave(&view, "i-1") else {
        panic!("deregistration must be committed to the log")
    };
    view.apply(view.index + 1, &gone);
    process(&mut view, &mut registry, 50, "i-1", &late);
    process(&mut view, &mut Registry::default(), 50, "i-1", &late);
    assert!(view.nodes.is_empty(), "a late heartbeat added a marshal that had left");
}

#[test]
fn a_late_heartbeat_does_not_add_a_marshal_that_has_announced_its_end() {
    let up = beat("s", "10.0.0.9:80", "available", 0.0, 1);
    // The marshal deregisters or drains, before or after the core knows it.
    for known in [false, true] {
        for drains in [false, true] {
            let (mut view, mut registry) = (view_with_configuration(1), Registry::default());
            if known {
                assert!(process(&mut view, &mut registry, 10, "i-1", &up));
            }
            let action = match drains {
                true => registry.handle_beat(20, &view, "i-1", &beat("s", "10.0.0.9:80", "draining", 0.0, 2)),
                false => registry.handle_leave(&view, "i-1"),
            };
            let BeatAction::Propose(command) = action else {
                panic!("it must be committed before it is acknowledged")
            };
            view.apply(view.index + 1, &command);
            // The late heartbeat arrives here, and at a newly elected leader that has not heard of the marshal.
            process(&mut view, &mut registry, 30, "i-1", &up);
            process(&mut view, &mut Registry::default(), 40, "i-1", &up);
            let eligible = view.nodes.get("i-1").is_some_and(|node| view.eligibility(node).0);
            assert!(!eligible, "it receives requests again (known before: {known}, drains: {drains})");
            assert!(view.is_leaving("i-1"));
        }
    }
}

#[test]
fn a_new_marshal_at_an_address_replaces_the_earlier_one() {
    let (mut view, mut registry) = (view_with_configuration(1), Registry::default());
    process(&mut view, &mut registry, 10, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 1));
    // No configuration names its service yet: the marshal is kept, and receives nothing until a route leads to it.
    process(&mut view, &mut registry, 20, "i-2", &beat("unheard", "10.0.0.9:80", "available", 0.0, 1));
    assert_eq!(view.nodes.keys().collect::<Vec<_>>(), ["i-2"]);
    for invalid in [
        r#"{"target":"s"}"#,
        "",
        "{",
        r#"{"target":"s","address":"x","zone":"a","revision":"v","capacity":1,"state":"available"}"#,
    ] {
        assert!(matches!(Beat::parse(invalid.as_bytes()), Err(ErrorKind::InvalidBeat(_))), "{invalid}");
    }
}

/// The shares of all edges add up to what a cold marshal can handle, whatever the number and zones of the edges.
#[test]
fn the_shares_of_a_cold_marshal_add_up_to_its_capacity() {
    for edges in [0, 1, 2, 9, 40, 91] {
        for (service, capacity) in [("s", 26), ("thin", 2), ("unheard", 0)] {
            let (view, mut registry) = (view_with_configuration(1), Registry::default());
            for id in 1..=edges {
                let zone = ["a", "b", "c"][id as usize % 3];
                registry.record_edge(100, edge(id, zone, if zone == "c" { "south" } else { "north" }), 0);
            }
            let deal = registry.allocate_warmup(100, &view, service, "a");
            let sum: u32 = deal.iter().map(|(_, share)| share).sum();
            assert_eq!(sum, if edges == 0 { 0 } else { capacity }, "{edges} edges, {service}: {deal:?}");
            let listed: std::collections::BTreeSet<_> = deal.iter().map(|(id, _)| id).collect();
            assert_eq!(listed.len(), deal.len(), "an edge has more than one share");
        }
    }
}

#[test]
fn marshals_of_a_restored_zone_are_cold_despite_earlier_heartbeats() {
    let (mut view, mut registry) = (view_with_configuration(1), Registry::default());
    registry.record_edge(0, edge(1, "a", "north"), 0);
    process(&mut view, &mut registry, 10, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 1));
    let on = Command::Evacuate { zone: "a".into(), on: true, sure: false, deals: Vec::new() };
    view.apply(view.index + 1, &on);
    let restore = registry.restore_zone(1_000, &view, "a", &|_| 3.0);
    view.apply(view.index + 1, &restore);
    // A heartbeat that was in flight reports the marshal as warm.
    assert!(!process(&mut view, &mut registry, 1_100, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 2)));
    assert!(matches!(view.nodes["i-1"].phase, Phase::Cold(_)));
    assert!(registry.sweep(4_000, &view, 60_000, &|_| 3.0).is_empty());
    assert_eq!(registry.sweep(4_600, &view, 60_000, &|_| 3.0), [Command::NodeWarm { id: "i-1".into() }]);
    // The same order sent again changes nothing.
    let before = view.nodes.clone();
    view.apply(view.index + 1, &restore);
    assert_eq!(view.nodes, before);
}

#[test]
fn a_zone_evacuated_twice_is_restored_once_both_orders_are_withdrawn() {
    let (mut view, mut registry) = (view_with_configuration(1), Registry::default());
    process(&mut view, &mut registry, 10, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 1));
    let order = |on| Command::Evacuate { zone: "a".into(), on, sure: false, deals: Vec::new() };
    for (on, evacuated) in [
        (true, true),
        (true, true),
        (false, true),
        (false, false),
        (false, false),
        (true, true),
        (false, false),
    ] {
        view.apply(view.index + 1, &order(on));
        assert_eq!(view.evacuated.contains_key("a"), evacuated);
    }
    // The count of a call that is sent again and again is bounded.
    (0..100).for_each(|_| drop(view.apply(view.index + 1, &order(true))));
    (0..3).for_each(|_| drop(view.apply(view.index + 1, &order(false))));
    assert!(view.evacuated.is_empty());
}

/// An order that may be a retransmission does not keep a zone evacuated once all distinct orders are withdrawn.
#[test]
fn only_distinct_orders_keep_a_zone_evacuated() {
    let mut view = view_with_configuration(1);
    let order = |view: &mut View, on, sure| {
        view.apply(view.index + 1, &Command::Evacuate { zone: "a".into(), on, sure, deals: Vec::new() });
        view.evacuated.get("a").map(|evacuation| (evacuation.orders, evacuation.certain))
    };
    // One order sent twice and one distinct order: after two withdrawals only the possible retransmission is left.
    assert_eq!(order(&mut view, true, false), Some((1, 1)));
    assert_eq!(order(&mut view, true, false), Some((2, 1)));
    assert_eq!(order(&mut view, true, true), Some((3, 2)));
    assert_eq!(order(&mut view, false, false), Some((2, 1)));
    assert_eq!(order(&mut view, false, false), Some((1, 0)));
    // Another order while that retransmission still counts: only the new order is distinct.
    assert_eq!(order(&mut view, true, true), Some((2, 1)));
    assert_eq!(order(&mut view, false, false), Some((1, 0)));
    assert_eq!(order(&mut view, false, false), None);
}

/// A new leader applies entries of earlier leaders. It has not heard from the marshals that these entries made cold.
#[test]
fn a_new_leader_does_not_warm_marshals_it_knows_only_from_the_log() {
    let (mut view, mut earlier) = (view_with_configuration(1), Registry::default());
    earlier.record_edge(0, edge(1, "a", "north"), 0);
    process(&mut view, &mut earlier, 10, "i-1", &beat("s", "10.0.0.9:80", "available", 3.0, 1));
    assert!(matches!(view.nodes["i-1"].phase, Phase::Cold(_)));
    let mut leader = Registry::default();
    leader.become_leader(100, &View::default(), &|_| 3.0);
    leader.record_heard(110, &["i-1".into()]);
    assert!(leader.sweep(120, &view, 60_000, &|_| 3.0).is_empty());
    assert_eq!(leader.sweep(3_200, &view, 60_000, &|_| 3.0), [Command::NodeWarm { id: "i-1".into() }]);
}

#[test]
fn silent_marshals_are_removed_unless_most_are_silent() {
    let (mut view, mut registry) = (view_with_configuration(1), Registry::default());
    for at in 0..10 {
        let address = format!("10.0.0.{at}:80");
        process(&mut view, &mut registry, 10, &format!("i-{at}"), &beat("s", &address, "available", 0.0, 1));
    }
    let ids = |range: std::ops::Range<u32>| range.map(|at| format!("i-{at}")).collect::<Vec<_>>();
    registry.record_heard(6_000, &ids(0..4));
    assert!(
        registry.sweep(7_000, &view, 5_000, &|_| 3.0).is_empty(),
        "six of ten are silent: the fault is at this machine"
    );
    registry.record_heard(7_000, &ids(4..8));
    let gone = registry.sweep(7_000, &view, 5_000, &|_| 3.0);
    assert_eq!(gone.len(), 2, "{gone:?}");
    for command in &gone {
        view.apply(view.index + 1, command);
    }
    assert!(
        process(&mut view, &mut registry, 8_000, "i-9", &beat("s", "10.0.0.9:80", "available", 0.0, 2)),
        "it was only unreachable for a while"
    );
}

#[test]
fn a_roll_out_only_moves_forward_and_its_end_is_final() {
    let mut view = view_with_configuration(1);
    let node = Node {
        id: "i-1".into(),
        target: "s".into(),
        address: "10.0.0.9:80".parse().unwrap(),
        zone: "a".into(),
        revision: "v1".into(),
        capacity: 2,
        phase: Phase::Warm,
    };
    view.apply(2, &Command::NodeUp(node.clone()));
    let new = Node {
        id: "i-2".into(),
        address: "10.0.0.8:80".parse().unwrap(),
        revision: "v2".into(),
        ..node.clone()
    };
    view.apply(3, &Command::NodeUp(new.clone()));
    assert!(!view.in_service(&new) && view.trial(&new).is_none(), "no roll-out was ordered");
    let order = Command::RollOut { service: "s".into(), revision: "v2".into(), period_ms: 12_000 };
    view.apply(4, &order);
    let stage = |number, stage| Command::Stage { service: "s".into(), number, stage };
    view.apply(5, &stage(4, 2));
    view.apply(6, &stage(4, 1)); // from a deposed leader
    view.apply(7, &stage(3, 3)); // for another roll-out
    view.apply(8, &order); // the order sent again
    assert_eq!(view.trial(&new).map(|roll| (roll.number, roll.stage)), Some((4, 2)));
    view.apply(9, &Command::Settle { service: "s".into(), number: 4, good: true });
    view.apply(10, &Command::Settle { service: "s".into(), number: 4, good: false });
    assert_eq!(view.rollouts["s"].state, RollOutState::Completed);
    assert!(view.in_service(&new) && !view.in_service(&node));
    let versions: BTreeMap<_, _> = view.serving_versions.clone();
    assert_eq!(
        (versions["s"].as_str(), view.revision),
        ("v2", 1),
        "a stage must not change the revision of the configuration"
    );
}

/// Two machines gossip about edges. Whatever message is lost, the receiver agrees with the sender on which edges are ready
/// and on their incarnations; and an edge that has not changed is sent as a short heartbeat.
#[test]
fn gossip_carries_the_full_status_of_an_edge_only_after_a_change() {
    let (mut sender, mut receiver) = (Registry::default(), Registry::default());
    let mut sent = BTreeMap::new();
    let (mut full_count, mut heartbeat_count) = (0, 0);
    let mut incarnation = 1;
    for step in 0u64..400 {
        let now = 10_000 + step * 500;
        incarnation += u64::from(step % 50 == 49);
        let ready = step % 20 < 15;
        sender.record_edge(now, EdgeStatus { ready, incarnation, ..edge(7, "a", "north") }, 0);
        sender.record_edge(now, EdgeStatus { ready: true, ..edge(8, "b", "north") }, 0);
        let (changed, heartbeats) = sender.gossip(now, &mut sent);
        (full_count, heartbeat_count) = (full_count + changed.len(), heartbeat_count + heartbeats.len());
        if step % 7 == 3 {
            sent.clear(); // the receiver restarted, or this message was lost with its connection
            receiver = Registry::default();
            continue;
        }
        changed.into_iter().for_each(|(status, ago)| receiver.record_edge(now, status, ago));
        heartbeats.iter().for_each(|heartbeat| receiver.record_edge_heartbeat(now, heartbeat));
        let received: Vec<(u32, u64)> =
            receiver.ready_edges(now).iter().map(|status| (status.id, status.incarnation)).collect();
        let expected: Vec<(u32, u64)> =
            sender.ready_edges(now).iter().map(|status| (status.id, status.incarnation)).collect();
        assert_eq!(received, expected, "step {step}");
    }
    assert!(heartbeat_count > 3 * full_count, "{full_count} full, {heartbeat_count} heartbeats");
    // A heartbeat of an earlier incarnation does not keep the current one alive.
    let mut registry = Registry::default();
    registry.record_edge(1, EdgeStatus { incarnation: 2, ..edge(7, "a", "north") }, 0);
    registry.record_edge_heartbeat(2_000, &EdgeHeartbeat { id: 7, incarnation: 1, ready: true, ago: 0 });
    assert!(registry.ready_edges(2_000).is_empty());
}

/// A configuration that an earlier version accepted stays in force although validation would refuse it today: in a stored
/// state, in the log, and as the base of the next change.
#[test]
fn an_accepted_configuration_stays_valid_when_validation_becomes_stricter() {
    let old = String::from_utf8(body(7, 1)).unwrap().replacen("\"guardS\":5", "\"guardS\":0", 1);
    assert!(Configuration::parse(old.as_bytes()).is_err(), "validation should refuse it");
    let mut view = View::default();
    let command = view.configure_command(7, old.as_bytes()).unwrap();
    assert_eq!(view.apply(1, &command), Outcome::Done);
    let mut decoded = View::from_compressed(&view.to_compressed()).unwrap();
    assert_eq!((decoded.revision, &*decoded.body), (7, &old.into_bytes()));
    let next = decoded.configure_command(8, &body(8, 1)).unwrap();
    assert_eq!(decoded.apply(2, &next), Outcome::Done);
    assert_eq!(decoded.configuration().unwrap().revision, 8);
}

/// An absurdly long warm-up neither overflows the clock nor keeps a marshal cold forever.
#[test]
fn absurd_warm_ups_are_bounded() {
    for (warmup_s, capped_at_an_hour) in [(1e300, true), (f64::MAX, true), (-1e300, false), (f64::NAN, false)]
    {
        let (mut view, mut registry) = (view_with_configuration(1), Registry::default());
        let cold = beat("s", "10.1.0.1:80", "available", 3.0, 1);
        assert!(process(&mut view, &mut registry, 1, "i-1", &cold));
        let restore = registry.restore_zone(2, &view, "a", &|_| warmup_s);
        assert!(matches!(restore, Command::Evacuate { on: false, .. }));
        let mut warm = |now| {
            let commands = registry.sweep(now, &view, u64::MAX, &|_| warmup_s);
            commands.iter().any(|command| matches!(command, Command::NodeWarm { .. }))
        };
        assert_eq!(warm(60_000), !capped_at_an_hour, "{warmup_s}");
        assert!(warm(3_700_000), "{warmup_s}");
    }
}
