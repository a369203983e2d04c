//! Digests of tables, and when an edge is said to have drifted.

use milletwing_drift_detection::{Checker, Digest, Finding, LeafHashes, LeafSink, Part, TableDigest};

/// Milliseconds that an edge may be behind.
const LAG: u64 = 1_000;
const EDGE: u32 = 7;
const LIFE: u64 = 1;

fn digest(leaves: &[(Part, &str, &[&[u8]])]) -> Digest {
    let mut digest = Digest::default();
    leaves.iter().for_each(|(part, name, about)| digest.leaf(*part, name, about));
    digest
}

fn one(name: &str) -> Digest {
    digest(&[(Part::Hosts, name, &[b"s", b"10.0.0.1:80"])])
}

#[test]
fn a_digest_is_of_the_things_and_not_of_their_order() {
    let a: (Part, &str, &[&[u8]]) = (Part::Hosts, "i-1", &[b"s"]);
    let b: (Part, &str, &[&[u8]]) = (Part::Routes, "look", &[b"/look/", b"s"]);
    let c: (Part, &str, &[&[u8]]) = (Part::Hosts, "i-2", &[b"s"]);
    assert_eq!(digest(&[a, b, c]), digest(&[c, a, b]));
    assert_eq!(digest(&[a, b]).differing_parts(&digest(&[a, b, c])), [Part::Hosts]);
    // The same twice is not the same once.
    assert_eq!(digest(&[a, a]).differing_parts(&digest(&[a])), [Part::Hosts]);
    assert_eq!(Digest::default().differing_parts(&Digest::default()), []);
}

#[test]
fn fields_can_not_run_into_each_other() {
    let split: [&[&[u8]]; 4] = [&[b"ab", b"c"], &[b"a", b"bc"], &[b"abc"], &[b"", b"abc"]];
    for (at, left) in split.iter().enumerate() {
        for (other, right) in split.iter().enumerate() {
            let same = digest(&[(Part::Deals, "x", left)]) == digest(&[(Part::Deals, "x", right)]);
            assert_eq!(same, at == other, "{left:?} {right:?}");
        }
    }
    // Neither can a name run into a field, nor a thing of one part into another's.
    assert_ne!(digest(&[(Part::Deals, "xy", &[])]), digest(&[(Part::Deals, "x", &[b"y"])]));
    let moved = digest(&[(Part::Hosts, "x", &[])]).differing_parts(&digest(&[(Part::Routes, "x", &[])]));
    assert_eq!(moved, [Part::Routes, Part::Hosts]);
}

#[test]
fn an_edges_own_part_is_compared_with_its_own() {
    let shared = digest(&[(Part::Hosts, "i-1", &[]), (Part::Deals, "i-1", &[&[3]])]);
    let edge = digest(&[(Part::Hosts, "i-1", &[]), (Part::Deals, "i-1", &[&[9]])]);
    assert_eq!(shared.differing_parts(&edge), [Part::Deals]);
    assert_eq!(shared.with_part_of(&edge, Part::Deals).differing_parts(&edge), []);
}

#[test]
fn what_differs_is_told_by_name_and_bounded() {
    let mut agreed = LeafHashes::default();
    let mut edge = LeafHashes::default();
    agreed.leaf(Part::Hosts, "i-1", &[b"s"]);
    agreed.leaf(Part::Hosts, "i-2", &[b"s"]);
    edge.leaf(Part::Hosts, "i-2", &[b"t"]);
    edge.leaf(Part::Routes, "old", &[]);
    let told = agreed.differences(&edge, 10);
    assert_eq!(told, ["hosts i-1 is missing", "hosts i-2 differs", "routes old is too many"]);
    assert_eq!(agreed.differences(&edge, 2).len(), 2);
    assert!(agreed.differences(&agreed, 10).is_empty());
}

/// A checker whose own digests are as of these entries, each made at a time.
fn checker(own: &[(u64, u64)]) -> Checker {
    let mut checker = Checker::new(LAG);
    checker.attach(0, EDGE, LIFE);
    own.iter().for_each(|(at, index)| checker.record_core_digest(*at, *index, one("i-1")));
    checker
}

#[test]
fn an_edge_that_folds_nothing_more_is_older_only_after_its_lag() {
    let mut checker = checker(&[(0, 1), (5_000, 2)]);
    let mut named = None;
    for now in (100..9_000).step_by(100) {
        // It beats on, and stays at the first entry.
        if let Some(finding) = checker.record_heartbeat(now, EDGE, 1, true) {
            named.get_or_insert((now, finding));
        }
    }
    assert_eq!(named, Some((6_100, Finding::Stale)), "the newer entry is there since 5,000");
}

#[test]
fn a_machine_that_does_not_hear_its_leader_names_nobody() {
    let mut checker = checker(&[(0, 1), (1_000, 2)]);
    for now in (100..9_000).step_by(100) {
        assert_eq!(checker.record_heartbeat(now, EDGE, 1, false), None);
    }
    assert!(checker.unreporting_edges(9_000).is_empty());
    // Nor an edge that was frozen or cut off, until it has had its time.
    for now in (20_000..21_000).step_by(100) {
        assert_eq!(checker.record_heartbeat(now, EDGE, 1, true), None, "at {now}");
    }
    let later = (21_000..22_000).step_by(100).find_map(|now| checker.record_heartbeat(now, EDGE, 1, true));
    assert_eq!(later, Some(Finding::Stale));
}

#[test]
fn the_same_entry_and_another_digest_is_drift_in_those_parts() {
    let mut checker = checker(&[(0, 1)]);
    let told = |digest| TableDigest { index: 1, digest };
    let wanted = checker.core_digest(1).copied();
    assert_eq!(checker.check(10, EDGE, &told(one("i-1")), wanted, true), Finding::InSync);
    let found = checker.check(20, EDGE, &told(one("i-2")), wanted, true);
    assert_eq!(found, Finding::Mismatch(vec![Part::Hosts]));
    assert!(found.is_drift() && !Finding::Lagging.is_drift());
    assert_eq!((checker.checked, checker.differed), (2, 1));
    // As of an entry of which no digest is kept nothing is said.
    assert_eq!(
        checker.check(30, EDGE, &TableDigest { index: 0, digest: one("i-9") }, None, true),
        Finding::Lagging
    );
}

#[test]
fn an_entry_that_was_never_agreed_is_too_new_only_where_the_core_has_settled() {
    let ahead = TableDigest { index: 5, digest: one("i-1") };
    for (now, fresh, wanted) in
        [(500, true, Finding::Lagging), (1_500, false, Finding::Lagging), (1_500, true, Finding::Ahead)]
    {
        let mut checker = checker(&[(0, 1)]);
        assert_eq!(checker.check(now, EDGE, &ahead, None, fresh), wanted, "at {now}, fresh {fresh}");
    }
}

#[test]
fn an_edge_that_beats_and_tells_nothing_is_stuck_and_one_that_is_not_heard_is_not() {
    let beats = |upto: u64| {
        let mut checker = checker(&[(0, 1)]);
        // Both stand at entries that differ at first, then at the same.
        (100..upto).step_by(100).for_each(|now| drop(checker.record_heartbeat(now, EDGE, 1, true)));
        checker
    };
    assert_eq!(beats(2_900).unreporting_edges(2_900), []);
    assert_eq!(beats(3_200).unreporting_edges(3_200), [(EDGE, LIFE)]);
    assert_eq!(beats(3_200).unreporting_edges(5_000), [], "it is not heard any more");
    let mut gone = beats(3_200);
    gone.detach(EDGE, LIFE + 1);
    assert_eq!(gone.unreporting_edges(3_200).len(), 1, "an earlier life's end says nothing of this one");
    gone.detach(EDGE, LIFE);
    assert_eq!(gone.unreporting_edges(3_200), []);
}
