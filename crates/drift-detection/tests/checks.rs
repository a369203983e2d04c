//! Tests digests of tables, and the conditions under which an edge counts as drifted.

use milletwing_drift_detection::{Checker, Digest, Finding, LeafHashes, LeafSink, Part, TableDigest};

/// The allowed lag of an edge in milliseconds.
const MAX_LAG: u64 = 1_000;
const EDGE: u32 = 7;
const INCARNATION: u64 = 1;

fn digest(leaves: &[(Part, &str, &[&[u8]])]) -> Digest {
    let mut digest = Digest::default();
    leaves.iter().for_each(|(part, name, properties)| digest.leaf(*part, name, properties));
    digest
}

fn single_host(name: &str) -> Digest {
    digest(&[(Part::Hosts, name, &[b"s", b"10.0.0.1:80"])])
}

#[test]
fn a_digest_does_not_depend_on_the_order_of_the_items() {
    let a: (Part, &str, &[&[u8]]) = (Part::Hosts, "i-1", &[b"s"]);
    let b: (Part, &str, &[&[u8]]) = (Part::Routes, "look", &[b"/look/", b"s"]);
    let c: (Part, &str, &[&[u8]]) = (Part::Hosts, "i-2", &[b"s"]);
    assert_eq!(digest(&[a, b, c]), digest(&[c, a, b]));
    assert_eq!(digest(&[a, b]).differing_parts(&digest(&[a, b, c])), [Part::Hosts]);
    // An item that is added twice does not give the same digest as one added once.
    assert_eq!(digest(&[a, a]).differing_parts(&digest(&[a])), [Part::Hosts]);
    assert_eq!(Digest::default().differing_parts(&Digest::default()), []);
}

#[test]
fn adjacent_fields_are_not_confused() {
    let split: [&[&[u8]]; 4] = [&[b"ab", b"c"], &[b"a", b"bc"], &[b"abc"], &[b"", b"abc"]];
    for (at, left) in split.iter().enumerate() {
        for (other, right) in split.iter().enumerate() {
            let same = digest(&[(Part::Deals, "x", left)]) == digest(&[(Part::Deals, "x", right)]);
            assert_eq!(same, at == other, "{left:?} {right:?}");
        }
    }
    // Nor is a name confused with a field, or an item of one part with an item of another.
    assert_ne!(digest(&[(Part::Deals, "xy", &[])]), digest(&[(Part::Deals, "x", &[b"y"])]));
    let moved = digest(&[(Part::Hosts, "x", &[])]).differing_parts(&digest(&[(Part::Routes, "x", &[])]));
    assert_eq!(moved, [Part::Routes, Part::Hosts]);
}

#[test]
fn the_part_that_is_specific_to_an_edge_can_be_replaced() {
    let shared = digest(&[(Part::Hosts, "i-1", &[]), (Part::Deals, "i-1", &[&[3]])]);
    let edge = digest(&[(Part::Hosts, "i-1", &[]), (Part::Deals, "i-1", &[&[9]])]);
    assert_eq!(shared.differing_parts(&edge), [Part::Deals]);
    assert_eq!(shared.with_part_of(&edge, Part::Deals).differing_parts(&edge), []);
}

#[test]
fn differences_are_listed_by_name_up_to_a_maximum() {
    let mut core = LeafHashes::default();
    let mut edge = LeafHashes::default();
    core.leaf(Part::Hosts, "i-1", &[b"s"]);
    core.leaf(Part::Hosts, "i-2", &[b"s"]);
    edge.leaf(Part::Hosts, "i-2", &[b"t"]);
    edge.leaf(Part::Routes, "old", &[]);
    let differences = core.differences(&edge, 10);
    assert_eq!(differences, ["hosts i-1 is missing", "hosts i-2 differs", "routes old is too many"]);
    assert_eq!(core.differences(&edge, 2).len(), 2);
    assert!(core.differences(&core, 10).is_empty());
}

/// Creates a checker that recorded digests of the core at these times, as of these entries.
fn checker(core_digests: &[(u64, u64)]) -> Checker {
    let mut checker = Checker::new(MAX_LAG);
    checker.attach(0, EDGE, INCARNATION);
    core_digests.iter().for_each(|(at, index)| checker.record_core_digest(*at, *index, single_host("i-1")));
    checker
}

#[test]
fn an_edge_that_stops_applying_entries_is_stale_only_after_the_allowed_lag() {
    let mut checker = checker(&[(0, 1), (5_000, 2)]);
    let mut reported = None;
    for now in (100..9_000).step_by(100) {
        // The edge goes on sending heartbeats, and stays at the first entry.
        if let Some(finding) = checker.record_heartbeat(now, EDGE, 1, true) {
            reported.get_or_insert((now, finding));
        }
    }
    assert_eq!(reported, Some((6_100, Finding::Stale)), "the newer entry exists since 5,000 ms");
}

#[test]
fn a_machine_without_leader_contact_reports_no_edge() {
    let mut checker = checker(&[(0, 1), (1_000, 2)]);
    for now in (100..9_000).step_by(100) {
        assert_eq!(checker.record_heartbeat(now, EDGE, 1, false), None);
    }
    assert!(checker.unreporting_edges(9_000).is_empty());
    // An edge that was suspended or disconnected is not reported until the allowed lag has passed again.
    for now in (20_000..21_000).step_by(100) {
        assert_eq!(checker.record_heartbeat(now, EDGE, 1, true), None, "at {now}");
    }
    let later = (21_000..22_000).step_by(100).find_map(|now| checker.record_heartbeat(now, EDGE, 1, true));
    assert_eq!(later, Some(Finding::Stale));
}

#[test]
fn a_different_digest_as_of_the_same_entry_is_a_mismatch_in_those_parts() {
    let mut checker = checker(&[(0, 1)]);
    let report = |digest| TableDigest { index: 1, digest };
    let expected = checker.core_digest(1).copied();
    assert_eq!(checker.check(10, EDGE, &report(single_host("i-1")), expected, true), Finding::InSync);
    let finding = checker.check(20, EDGE, &report(single_host("i-2")), expected, true);
    assert_eq!(finding, Finding::Mismatch(vec![Part::Hosts]));
    assert!(finding.is_drift() && !Finding::Lagging.is_drift());
    assert_eq!((checker.checked, checker.differed), (2, 1));
    // Without a digest of the core as of the same entry there is no mismatch.
    assert_eq!(
        checker.check(30, EDGE, &TableDigest { index: 0, digest: single_host("i-9") }, None, true),
        Finding::Lagging
    );
}

#[test]
fn an_edge_is_ahead_only_if_the_core_machine_has_caught_up() {
    let ahead = TableDigest { index: 5, digest: single_host("i-1") };
    for (now, leader_contact, expected) in
        [(500, true, Finding::Lagging), (1_500, false, Finding::Lagging), (1_500, true, Finding::Ahead)]
    {
        let mut checker = checker(&[(0, 1)]);
        assert_eq!(
            checker.check(now, EDGE, &ahead, None, leader_contact),
            expected,
            "at {now}, leader contact {leader_contact}"
        );
    }
}

#[test]
fn an_edge_is_unreporting_if_it_sends_heartbeats_without_reports() {
    let with_heartbeats = |until: u64| {
        let mut checker = checker(&[(0, 1)]);
        // The edge is at the same entry as the core and sends heartbeats only.
        (100..until).step_by(100).for_each(|now| drop(checker.record_heartbeat(now, EDGE, 1, true)));
        checker
    };
    assert_eq!(with_heartbeats(2_900).unreporting_edges(2_900), []);
    assert_eq!(with_heartbeats(3_200).unreporting_edges(3_200), [(EDGE, INCARNATION)]);
    assert_eq!(with_heartbeats(3_200).unreporting_edges(5_000), [], "the edge is no longer heard");
    let mut checker = with_heartbeats(3_200);
    checker.detach(EDGE, INCARNATION + 1);
    assert_eq!(
        checker.unreporting_edges(3_200).len(),
        1,
        "the end of another incarnation must not affect this one"
    );
    checker.detach(EDGE, INCARNATION);
    assert_eq!(checker.unreporting_edges(3_200), []);
}
