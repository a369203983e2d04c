//! Histories of entries and beats, judged after the fact.

use milletwing_config::{Configuration, ErrorKind};
use milletwing_replicated_state::registry::BeatAction;
use milletwing_replicated_state::{
    Beat, Command, EdgeHeartbeat, EdgeStatus, Node, Outcome, Phase, Registry, RollOutState, View,
};
use std::collections::BTreeMap;

fn body(revision: u64, routes: usize) -> Vec<u8> {
    let route = |at: usize| {
        format!(
            r#""r{at}":{{"domain":"h{at}.example","pathPrefix":"/p{at}/","trafficClass":"idempotent","guardS":5,"target":"s"}}"#
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

fn configured(revision: u64) -> View {
    let mut view = View::default();
    let command = view.configure_command(revision, &body(revision, 1)).unwrap();
    assert_eq!(view.apply(1, &command), Outcome::Done);
    view
}

fn beat(target: &str, address: &str, state: &str, left: f64, counter: u64) -> Beat {
    let text = format!(
        r#"{{"target":"{target}","address":"{address}","zone":"a","revision":"v1","capacity":2,"state":"{state}",
        "warmupLeftS":{left},"callCounter":{counter}}}"#
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

/// Takes a beat, and folds the entry that it asks for.
fn take(view: &mut View, registry: &mut Registry, now: u64, id: &str, beat: &Beat) -> bool {
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
fn of_two_configurations_on_one_version_one_wins_and_the_same_again_is_taken() {
    let mut view = configured(4);
    let (first, second) =
        (view.configure_command(7, &body(7, 2)).unwrap(), view.configure_command(9, &body(9, 3)).unwrap());
    assert_eq!(view.apply(2, &first), Outcome::Done);
    assert_eq!(view.apply(3, &second), Outcome::Refused(ErrorKind::RevisionMismatch(7)));
    assert_eq!(
        view.apply(4, &first),
        Outcome::Done,
        "a call that got no clear answer goes out again unchanged"
    );
    assert_eq!((view.revision, view.body.as_slice()), (7, body(7, 2).as_slice()));
    let old = view.configure_command(6, &body(6, 1)).unwrap();
    assert_eq!(view.apply(5, &old), Outcome::Refused(ErrorKind::OutdatedRevision(6, 7)));
    // Taken long ago, it is still known as taken, and doesn't come back into force.
    let next = view.configure_command(12, &body(12, 1)).unwrap();
    assert_eq!(view.apply(6, &next), Outcome::Done);
    assert_eq!(view.apply(7, &first), Outcome::Done);
    assert_eq!(view.revision, 12);
}

#[test]
fn a_configuration_is_a_difference_and_comes_out_as_it_was_sent() {
    let mut view = configured(1);
    let large = view.configure_command(2, &body(2, 1500)).unwrap();
    view.apply(2, &large);
    let mut more = body(3, 1501);
    let next = view.configure_command(3, &more).unwrap();
    assert!(
        next.to_bytes().len() * 50 < more.len(),
        "{} bytes for one route more of {}",
        next.to_bytes().len(),
        more.len()
    );
    assert_eq!(view.apply(3, &next), Outcome::Done);
    assert_eq!(view.body.as_slice(), more);
    // A bit turned on the way is not another configuration.
    let mut turned = view.configure_command(4, &body(4, 1)).unwrap();
    if let Command::Configure { digest, .. } = &mut turned {
        digest[0] ^= 1;
    }
    assert!(matches!(view.apply(4, &turned), Outcome::Refused(ErrorKind::Unreadable(_))));
    assert_eq!(view.revision, 3);
    more.clear();
    let again = View::from_bytes(&view.to_bytes()).unwrap();
    assert_eq!(again.to_bytes(), view.to_bytes());
    assert_eq!(again.configuration().unwrap().routing.len(), 1501);
}

#[test]
fn a_marshal_that_drains_stays_so_whatever_comes_late() {
    let (mut view, mut registry) = (configured(1), Registry::default());
    let up = beat("s", "10.0.0.9:80", "available", 0.0, 1);
    assert!(take(&mut view, &mut registry, 10, "i-1", &up));
    assert!(!take(&mut view, &mut registry, 20, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 2)));
    assert!(take(&mut view, &mut registry, 30, "i-1", &beat("s", "10.0.0.9:80", "draining", 0.0, 4)));
    // A beat that was overtaken, here and at a machine that never heard the later one.
    let late = beat("s", "10.0.0.9:80", "available", 0.0, 3);
    take(&mut view, &mut registry, 40, "i-1", &late);
    take(&mut view, &mut Registry::default(), 40, "i-1", &late);
    assert_eq!(view.nodes["i-1"].phase, Phase::Draining);
    let BeatAction::Propose(gone) = registry.handle_leave(&view, "i-1") else {
        panic!("its end is an entry")
    };
    view.apply(view.index + 1, &gone);
    take(&mut view, &mut registry, 50, "i-1", &late);
    take(&mut view, &mut Registry::default(), 50, "i-1", &late);
    assert!(view.nodes.is_empty(), "a late beat brings back what has left");
}

#[test]
fn a_marshal_that_says_first_that_it_leaves_is_never_taken_in_by_a_report_that_comes_late() {
    let up = beat("s", "10.0.0.9:80", "available", 0.0, 1);
    // It deletes itself, or drains, before the core knows it; and while it is known.
    for known in [false, true] {
        for drains in [false, true] {
            let (mut view, mut registry) = (configured(1), Registry::default());
            if known {
                assert!(take(&mut view, &mut registry, 10, "i-1", &up));
            }
            let verdict = match drains {
                true => registry.handle_beat(20, &view, "i-1", &beat("s", "10.0.0.9:80", "draining", 0.0, 2)),
                false => registry.handle_leave(&view, "i-1"),
            };
            let BeatAction::Propose(word) = verdict else { panic!("what is acknowledged is an entry") };
            view.apply(view.index + 1, &word);
            // Here, and at a leader elected since, that has heard nothing of it.
            take(&mut view, &mut registry, 30, "i-1", &up);
            take(&mut view, &mut Registry::default(), 40, "i-1", &up);
            let open = view.nodes.get("i-1").is_some_and(|node| view.eligibility(node).0);
            assert!(!open, "it gets requests again: known before {known}, drains {drains}");
            assert!(view.is_leaving("i-1"));
        }
    }
}

#[test]
fn another_life_at_an_address_ends_the_earlier_one() {
    let (mut view, mut registry) = (configured(1), Registry::default());
    take(&mut view, &mut registry, 10, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 1));
    // Of a service that no configuration names yet: it is kept, and gets nothing as long as no route leads there.
    take(&mut view, &mut registry, 20, "i-2", &beat("unheard", "10.0.0.9:80", "available", 0.0, 1));
    assert_eq!(view.nodes.keys().collect::<Vec<_>>(), ["i-2"]);
    for wrong in [
        r#"{"target":"s"}"#,
        "",
        "{",
        r#"{"target":"s","address":"x","zone":"a","revision":"v","capacity":1,"state":"available"}"#,
    ] {
        assert!(matches!(Beat::parse(wrong.as_bytes()), Err(ErrorKind::InvalidBeat(_))), "{wrong}");
    }
}

/// What is dealt out of a cold marshal is what it bears, whoever the edges are and whether they can still be reached.
#[test]
fn a_cold_marshals_parts_add_up_to_what_it_bears() {
    for edges in [0, 1, 2, 9, 40, 91] {
        for (service, bears) in [("s", 26), ("thin", 2), ("unheard", 0)] {
            let (view, mut registry) = (configured(1), Registry::default());
            for id in 1..=edges {
                let zone = ["a", "b", "c"][id as usize % 3];
                registry.record_edge(100, edge(id, zone, if zone == "c" { "south" } else { "north" }), 0);
            }
            let deal = registry.allocate_warmup(100, &view, service, "a");
            let sum: u32 = deal.iter().map(|(_, part)| part).sum();
            assert_eq!(sum, if edges == 0 { 0 } else { bears }, "{edges} edges, {service}: {deal:?}");
            let named: std::collections::BTreeSet<_> = deal.iter().map(|(id, _)| id).collect();
            assert_eq!(named.len(), deal.len(), "an edge has one part");
        }
    }
}

#[test]
fn a_zone_taken_back_is_cold_whatever_its_marshals_said_before() {
    let (mut view, mut registry) = (configured(1), Registry::default());
    registry.record_edge(0, edge(1, "a", "north"), 0);
    take(&mut view, &mut registry, 10, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 1));
    let on = Command::Evacuate { zone: "a".into(), on: true, sure: false, deals: Vec::new() };
    view.apply(view.index + 1, &on);
    let back = registry.restore_zone(1_000, &view, "a", &|_| 3.0);
    view.apply(view.index + 1, &back);
    // A beat that was on its way says that it is warm.
    assert!(!take(&mut view, &mut registry, 1_100, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 2)));
    assert!(matches!(view.nodes["i-1"].phase, Phase::Cold(_)));
    assert!(registry.sweep(4_000, &view, 60_000, &|_| 3.0).is_empty());
    assert_eq!(registry.sweep(4_600, &view, 60_000, &|_| 3.0), [Command::NodeWarm { id: "i-1".into() }]);
    // The same order again changes nothing.
    let before = view.nodes.clone();
    view.apply(view.index + 1, &back);
    assert_eq!(view.nodes, before);
}

#[test]
fn a_zone_ordered_empty_twice_is_back_only_when_both_are_taken_back() {
    let (mut view, mut registry) = (configured(1), Registry::default());
    take(&mut view, &mut registry, 10, "i-1", &beat("s", "10.0.0.9:80", "available", 0.0, 1));
    let order = |on| Command::Evacuate { zone: "a".into(), on, sure: false, deals: Vec::new() };
    for (on, emptied) in [
        (true, true),
        (true, true),
        (false, true),
        (false, false),
        (false, false),
        (true, true),
        (false, false),
    ] {
        view.apply(view.index + 1, &order(on));
        assert_eq!(view.evacuated.contains_key("a"), emptied);
    }
    // A call that goes out again and again is not counted without bound.
    (0..100).for_each(|_| drop(view.apply(view.index + 1, &order(true))));
    (0..3).for_each(|_| drop(view.apply(view.index + 1, &order(false))));
    assert!(view.evacuated.is_empty());
}

/// Orders that may be one order sent again don't keep a zone empty once those that are certainly of their own are taken back.
#[test]
fn only_orders_that_are_certainly_of_their_own_keep_a_zone_empty() {
    let mut view = configured(1);
    let order = |view: &mut View, on, sure| {
        view.apply(view.index + 1, &Command::Evacuate { zone: "a".into(), on, sure, deals: Vec::new() });
        view.evacuated.get("a").map(|it| (it.orders, it.certain))
    };
    // One order sent twice, and one that is certainly another: two to be taken back, and what may be a repeat is left.
    assert_eq!(order(&mut view, true, false), Some((1, 1)));
    assert_eq!(order(&mut view, true, false), Some((2, 1)));
    assert_eq!(order(&mut view, true, true), Some((3, 2)));
    assert_eq!(order(&mut view, false, false), Some((2, 1)));
    assert_eq!(order(&mut view, false, false), Some((1, 0)));
    // A further order while that repeat is not forgotten yet: it alone counts.
    assert_eq!(order(&mut view, true, true), Some((2, 1)));
    assert_eq!(order(&mut view, false, false), Some((1, 0)));
    assert_eq!(order(&mut view, false, false), None);
}

/// A machine that has just come to lead folds what earlier leaders entered: whom that calls cold it has never heard.
#[test]
fn a_new_leader_warms_nobody_that_it_has_only_read_of() {
    let (mut view, mut before) = (configured(1), Registry::default());
    before.record_edge(0, edge(1, "a", "north"), 0);
    take(&mut view, &mut before, 10, "i-1", &beat("s", "10.0.0.9:80", "available", 3.0, 1));
    assert!(matches!(view.nodes["i-1"].phase, Phase::Cold(_)));
    let mut leader = Registry::default();
    leader.become_leader(100, &View::default(), &|_| 3.0);
    leader.record_heard(110, &["i-1".into()]);
    assert!(leader.sweep(120, &view, 60_000, &|_| 3.0).is_empty());
    assert_eq!(leader.sweep(3_200, &view, 60_000, &|_| 3.0), [Command::NodeWarm { id: "i-1".into() }]);
}

#[test]
fn silent_marshals_are_taken_out_unless_most_are_silent() {
    let (mut view, mut registry) = (configured(1), Registry::default());
    for at in 0..10 {
        let address = format!("10.0.0.{at}:80");
        take(&mut view, &mut registry, 10, &format!("i-{at}"), &beat("s", &address, "available", 0.0, 1));
    }
    let ids = |range: std::ops::Range<u32>| range.map(|at| format!("i-{at}")).collect::<Vec<_>>();
    registry.record_heard(6_000, &ids(0..4));
    assert!(
        registry.sweep(7_000, &view, 5_000, &|_| 3.0).is_empty(),
        "six of ten silent: this side doesn't hear"
    );
    registry.record_heard(7_000, &ids(4..8));
    let gone = registry.sweep(7_000, &view, 5_000, &|_| 3.0);
    assert_eq!(gone.len(), 2, "{gone:?}");
    for command in &gone {
        view.apply(view.index + 1, command);
    }
    assert!(
        take(&mut view, &mut registry, 8_000, "i-9", &beat("s", "10.0.0.9:80", "available", 0.0, 2)),
        "it was only cut off"
    );
}

#[test]
fn a_roll_out_moves_forward_only_and_its_end_holds() {
    let mut view = configured(1);
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
    assert!(!view.in_service(&new) && view.trial(&new).is_none(), "nobody ordered it");
    let order = Command::RollOut { service: "s".into(), revision: "v2".into(), period_ms: 12_000 };
    view.apply(4, &order);
    let stage = |number, stage| Command::Stage { service: "s".into(), number, stage };
    view.apply(5, &stage(4, 2));
    view.apply(6, &stage(4, 1)); // of a leader deposed since
    view.apply(7, &stage(3, 3)); // of another roll-out
    view.apply(8, &order); // the same order again
    assert_eq!(view.trial(&new).map(|roll| (roll.number, roll.stage)), Some((4, 2)));
    view.apply(9, &Command::Settle { service: "s".into(), number: 4, good: true });
    view.apply(10, &Command::Settle { service: "s".into(), number: 4, good: false });
    assert_eq!(view.rollouts["s"].state, RollOutState::Completed);
    assert!(view.in_service(&new) && !view.in_service(&node));
    let kept: BTreeMap<_, _> = view.serving_versions.clone();
    assert_eq!((kept["s"].as_str(), view.revision), ("v2", 1), "a stage is no version of the configuration");
}

/// Three machines that tell each other of edges: whatever is lost or comes late, none believes an edge ready that another
/// has told it isn't, nor takes a new life for the old one; and while nothing changes little is said.
#[test]
fn edges_are_told_in_whole_once_and_by_number_while_nothing_changes() {
    let (mut near, mut far) = (Registry::default(), Registry::default());
    let mut told = BTreeMap::new();
    let (mut wholes, mut stills) = (0, 0);
    let mut incarnation = 1;
    for step in 0u64..400 {
        let now = 10_000 + step * 500;
        incarnation += u64::from(step % 50 == 49);
        let ready = step % 20 < 15;
        near.record_edge(now, EdgeStatus { ready, incarnation, ..edge(7, "a", "north") }, 0);
        near.record_edge(now, EdgeStatus { ready: true, ..edge(8, "b", "north") }, 0);
        let (whole, still) = near.gossip(now, &mut told);
        (wholes, stills) = (wholes + whole.len(), stills + still.len());
        if step % 7 == 3 {
            told.clear(); // the other end has come up anew, or this message was lost with its link
            far = Registry::default();
            continue;
        }
        whole.into_iter().for_each(|(heard, ago)| far.record_edge(now, heard, ago));
        still.iter().for_each(|it| far.record_edge_heartbeat(now, it));
        let believed: Vec<(u32, u64)> =
            far.ready_edges(now).iter().map(|heard| (heard.id, heard.incarnation)).collect();
        let true_now: Vec<(u32, u64)> =
            near.ready_edges(now).iter().map(|heard| (heard.id, heard.incarnation)).collect();
        assert_eq!(believed, true_now, "step {step}");
    }
    assert!(stills > 3 * wholes, "{wholes} in whole, {stills} by number");
    // Another life is not kept alive by the earlier one's number.
    let mut registry = Registry::default();
    registry.record_edge(1, EdgeStatus { incarnation: 2, ..edge(7, "a", "north") }, 0);
    registry.record_edge_heartbeat(2_000, &EdgeHeartbeat { id: 7, incarnation: 1, ready: true, ago: 0 });
    assert!(registry.ready_edges(2_000).is_empty());
}

/// What an earlier version took holds, though it would be refused today: in a state on disk, in the log, and as what the next
/// change builds on.
#[test]
fn an_agreed_configuration_holds_whatever_is_refused_today() {
    let old = String::from_utf8(body(7, 1)).unwrap().replacen("\"guardS\":5", "\"guardS\":0", 1);
    assert!(Configuration::parse(old.as_bytes()).is_err(), "it is refused today");
    let mut view = View::default();
    let command = view.configure_command(7, old.as_bytes()).unwrap();
    assert_eq!(view.apply(1, &command), Outcome::Done);
    let mut again = View::from_compressed(&view.to_compressed()).unwrap();
    assert_eq!((again.revision, &*again.body), (7, &old.into_bytes()));
    let next = again.configure_command(8, &body(8, 1)).unwrap();
    assert_eq!(again.apply(2, &next), Outcome::Done);
    assert_eq!(again.configuration().unwrap().revision, 8);
}

/// A time beyond any that is meant neither overflows the clock nor leaves a marshal cold for good.
#[test]
fn absurd_warm_ups_are_bounded() {
    for (told, hour) in [(1e300, true), (f64::MAX, true), (-1e300, false), (f64::NAN, false)] {
        let (mut view, mut registry) = (configured(1), Registry::default());
        let cold = beat("s", "10.1.0.1:80", "available", 3.0, 1);
        assert!(take(&mut view, &mut registry, 1, "i-1", &cold));
        let back = registry.restore_zone(2, &view, "a", &|_| told);
        assert!(matches!(back, Command::Evacuate { on: false, .. }));
        let mut warm = |now| {
            let entered = registry.sweep(now, &view, u64::MAX, &|_| told);
            entered.iter().any(|it| matches!(it, Command::NodeWarm { .. }))
        };
        assert_eq!(warm(60_000), !hour, "{told}");
        assert!(warm(3_700_000), "{told}");
    }
}
