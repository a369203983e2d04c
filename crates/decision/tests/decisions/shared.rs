//! Judging that several instances share: only what the group has decided is voted, and exposure needs a grant.

use crate::common::*;
use milletwing_decision::interface::*;
use milletwing_decision::statistics::Sums;

fn shared(back_votes: u32) -> Bench {
    let mut entries: Vec<NodeEntry> = (0..9).map(|i| node(&format!("n{i}"), 1)).collect();
    entries.extend((0..3).map(|i| node(&format!("t{i}"), 2)));
    let set = Settings {
        group_decisions: true,
        marshals: 10,
        advance_votes: back_votes,
        revert_votes: back_votes,
        ..settings()
    };
    let mut b = Bench::new(set, entries, 1);
    b.give(news(2, 1, Phase::Trial, 0.4));
    b
}

/// Sums of so many outcomes on either side, of which so many of the new build's failed.
fn pool(outcomes: u32, failed: u32, objecting: u32) -> Event {
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

fn judged(b: &Bench, wanted: Vote) -> bool {
    b.log.iter().any(|action| matches!(action, Action::ProposeDecision { vote, .. } if *vote == wanted))
}

fn rest(b: &mut Bench, beats: usize) {
    (0..beats).for_each(|_| b.pass(100.0));
}

#[test]
fn the_one_that_leads_judges_the_pool_and_votes_only_what_was_decided() {
    for (failed, verdict) in [(12, Vote::Revert), (1, Vote::Advance)] {
        let mut b = shared(1);
        b.give(pool(40, failed, 0));
        rest(&mut b, 5);
        assert!(!judged(&b, verdict), "it does not lead");
        b.give(Event::GroupMessage(GroupMessage::Leadership(true)));
        rest(&mut b, 5);
        assert!(judged(&b, verdict) && !b.cast(2, verdict), "{failed}: {:?}", b.log.last());
        b.give(Event::GroupMessage(GroupMessage::Decided(Build(2), 1, verdict)));
        assert!(b.cast(2, verdict));
    }
}

#[test]
fn what_was_decided_is_cast_by_all_where_several_votes_are_wanted_and_else_by_the_one_that_leads() {
    for (votes, casts) in [(1, false), (3, true)] {
        let mut b = shared(votes);
        b.give(Event::GroupMessage(GroupMessage::Decided(Build(2), 1, Vote::Revert)));
        // A later word of another kind changes nothing.
        b.give(Event::GroupMessage(GroupMessage::Decided(Build(2), 1, Vote::Advance)));
        rest(&mut b, 5);
        assert_eq!((b.cast(2, Vote::Revert), b.cast(2, Vote::Advance)), (casts, false));
        let mut b = shared(votes);
        b.give(Event::GroupMessage(GroupMessage::Decided(Build(2), 0, Vote::Advance)));
        rest(&mut b, 5);
        assert!(!b.cast(2, Vote::Advance), "decided of an earlier stage");
    }
}

#[test]
fn without_a_grant_nothing_goes_to_a_build_on_trial_and_no_more_than_it_allows() {
    let exposed = |b: &mut Bench, asks: usize| {
        let mut new = 0;
        for i in 0..asks {
            b.pass(5.0);
            let (id, out) = b.ask(i % 3);
            let Some(to) = sent(&out) else { continue };
            new += usize::from(to.0.starts_with('t'));
            b.end(&id, 0, &to, Outcome::Ok, 20.0);
        }
        new
    };
    let mut b = shared(1);
    assert_eq!(exposed(&mut b, 300), 0);
    b.give(Event::GroupMessage(GroupMessage::ExposureGrant(Build(1), 1.0)));
    assert_eq!(exposed(&mut b, 100), 0, "a grant for another build");
    b.give(Event::GroupMessage(GroupMessage::ExposureGrant(Build(2), 0.2)));
    let new = exposed(&mut b, 800);
    assert!((20..=163).contains(&new), "{new}");
    // It runs out, and never comes back by itself.
    b.give(Event::GroupMessage(GroupMessage::ExposureGrant(Build(2), 0.0)));
    assert_eq!(exposed(&mut b, 800), 0);
    b.give(Event::GroupMessage(GroupMessage::ExposureGrant(Build(2), 1.0)));
    let new = exposed(&mut b, 1200);
    assert!((100..=483).contains(&new), "the platform's cap of 0.4 holds: {new}");
    b.give(Event::GroupMessage(GroupMessage::Decided(Build(2), 1, Vote::Revert)));
    assert!(exposed(&mut b, 300) < 4);
}

#[test]
fn harm_in_step_that_as_many_see_as_could_vote_is_judged_and_looks_of_an_earlier_leader_count() {
    for (objecting, back) in [(2, false), (3, true)] {
        let mut b = shared(3);
        b.give(Event::GroupMessage(GroupMessage::Leadership(true)));
        b.give(pool(2, 0, objecting));
        rest(&mut b, 3);
        assert_eq!(judged(&b, Vote::Revert), back);
    }
    let mut b = shared(1);
    b.give(Event::GroupMessage(GroupMessage::Leadership(true)));
    let Event::GroupMessage(GroupMessage::PooledEvidence(pool)) = pool(40, 1, 0) else { unreachable!() };
    b.give(Event::GroupMessage(GroupMessage::PooledEvidence(Evidence { looks: 3, ..pool })));
    rest(&mut b, 5);
    assert!(!judged(&b, Vote::Advance), "three looks were taken; only the clock is left");
    let told = b.log.iter().rev().find_map(|action| match action {
        Action::ShareEvidence(seen) => Some(seen.looks),
        _ => None,
    });
    assert_eq!(told, Some(3));
}
