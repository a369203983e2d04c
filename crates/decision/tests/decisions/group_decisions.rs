//! Group decisions: an instance votes only for what the group has decided, and exposure needs a grant.

use crate::common::*;
use milletwing_decision::interface::*;
use milletwing_decision::statistics::Sums;

fn group_member(revert_votes: u32) -> Harness {
    let mut entries: Vec<NodeEntry> = (0..9).map(|i| node(&format!("n{i}"), 1)).collect();
    entries.extend((0..3).map(|i| node(&format!("t{i}"), 2)));
    let config = Settings {
        group_decisions: true,
        marshals: 10,
        advance_votes: revert_votes,
        revert_votes,
        ..settings()
    };
    let mut harness = Harness::new(config, entries, 1);
    harness.handle(stage_report(2, 1, Phase::Trial, 0.4));
    harness
}

/// Pooled evidence with `outcomes` of each build; `failed` of those of the new build failed.
fn pooled_evidence(outcomes: u32, failed: u32, objecting: u32) -> Event {
    let sums = |bad: u32| {
        let mut sums = Sums::default();
        (0..outcomes).for_each(|i| sums.add(f64::from(u8::from(i < bad)), 0.01 * f64::from(i % 3)));
        sums
    };
    let pair = vec![[sums(1), sums(failed)]];
    let errors = (0..failed).map(|i| (NodeId(format!("t{}", i % 3).as_str().into()), 1.0)).collect();
    Event::GroupMessage(GroupMessage::PooledEvidence(Evidence {
        build: Build(2),
        stage: 1,
        test_sums: pair.clone(),
        failure_sums: pair,
        request_counts: vec![100.0],
        errors_by_node: errors,
        objecting_instances: objecting,
        ..Evidence::default()
    }))
}

fn proposed(harness: &Harness, expected: Vote) -> bool {
    harness
        .actions
        .iter()
        .any(|action| matches!(action, Action::ProposeDecision { vote, .. } if *vote == expected))
}

fn advance_periods(harness: &mut Harness, periods: usize) {
    (0..periods).for_each(|_| harness.advance(100.0));
}

#[test]
fn the_leader_judges_the_pool_and_votes_only_for_what_was_decided() {
    for (failed, vote) in [(12, Vote::Revert), (1, Vote::Advance)] {
        let mut harness = group_member(1);
        harness.handle(pooled_evidence(40, failed, 0));
        advance_periods(&mut harness, 5);
        assert!(!proposed(&harness, vote), "not the leader");
        harness.handle(Event::GroupMessage(GroupMessage::Leadership(true)));
        advance_periods(&mut harness, 5);
        assert!(
            proposed(&harness, vote) && !harness.has_cast(2, vote),
            "{failed}: {:?}",
            harness.actions.last()
        );
        harness.handle(Event::GroupMessage(GroupMessage::Decided(Build(2), 1, vote)));
        assert!(harness.has_cast(2, vote));
    }
}

#[test]
fn a_decision_is_voted_for_by_all_where_several_votes_are_needed_else_by_the_leader() {
    for (votes, expected) in [(1, false), (3, true)] {
        let mut harness = group_member(votes);
        harness.handle(Event::GroupMessage(GroupMessage::Decided(Build(2), 1, Vote::Revert)));
        // A later decision to advance does not replace a decision to revert.
        harness.handle(Event::GroupMessage(GroupMessage::Decided(Build(2), 1, Vote::Advance)));
        advance_periods(&mut harness, 5);
        assert_eq!(
            (harness.has_cast(2, Vote::Revert), harness.has_cast(2, Vote::Advance)),
            (expected, false)
        );
        let mut harness = group_member(votes);
        harness.handle(Event::GroupMessage(GroupMessage::Decided(Build(2), 0, Vote::Advance)));
        advance_periods(&mut harness, 5);
        assert!(!harness.has_cast(2, Vote::Advance), "a decision on an earlier stage");
    }
}

#[test]
fn a_build_on_trial_gets_no_more_traffic_than_its_grant_allows() {
    let exposed = |harness: &mut Harness, count: usize| {
        let mut new = 0;
        for i in 0..count {
            harness.advance(5.0);
            let (id, out) = harness.request(i % 3);
            let Some(to) = attempted_node(&out) else { continue };
            new += usize::from(to.0.starts_with('t'));
            harness.complete(&id, 0, &to, Outcome::Ok, 20.0);
        }
        new
    };
    let mut harness = group_member(1);
    assert_eq!(exposed(&mut harness, 300), 0);
    harness.handle(Event::GroupMessage(GroupMessage::ExposureGrant(Build(1), 1.0)));
    assert_eq!(exposed(&mut harness, 100), 0, "a grant for another build");
    harness.handle(Event::GroupMessage(GroupMessage::ExposureGrant(Build(2), 0.2)));
    let new = exposed(&mut harness, 800);
    assert!((20..=163).contains(&new), "{new}");
    // A grant that expired stays expired.
    harness.handle(Event::GroupMessage(GroupMessage::ExposureGrant(Build(2), 0.0)));
    assert_eq!(exposed(&mut harness, 800), 0);
    harness.handle(Event::GroupMessage(GroupMessage::ExposureGrant(Build(2), 1.0)));
    let new = exposed(&mut harness, 1200);
    assert!((100..=483).contains(&new), "the platform's cap of 0.4 holds: {new}");
    harness.handle(Event::GroupMessage(GroupMessage::Decided(Build(2), 1, Vote::Revert)));
    assert!(exposed(&mut harness, 300) < 4);
}

#[test]
fn objections_of_a_quorum_revert_and_looks_of_an_earlier_leader_count() {
    for (objecting, reverts) in [(2, false), (3, true)] {
        let mut harness = group_member(3);
        harness.handle(Event::GroupMessage(GroupMessage::Leadership(true)));
        harness.handle(pooled_evidence(2, 0, objecting));
        advance_periods(&mut harness, 3);
        assert_eq!(proposed(&harness, Vote::Revert), reverts);
    }
    let mut harness = group_member(1);
    harness.handle(Event::GroupMessage(GroupMessage::Leadership(true)));
    let Event::GroupMessage(GroupMessage::PooledEvidence(pool)) = pooled_evidence(40, 1, 0) else {
        unreachable!()
    };
    harness.handle(Event::GroupMessage(GroupMessage::PooledEvidence(Evidence { looks: 3, ..pool })));
    advance_periods(&mut harness, 5);
    assert!(
        !proposed(&harness, Vote::Advance),
        "all three looks were taken; only the stage time-out is left"
    );
    let shared_looks = harness.actions.iter().rev().find_map(|action| match action {
        Action::ShareEvidence(seen) => Some(seen.looks),
        _ => None,
    });
    assert_eq!(shared_looks, Some(3));
}
