//! Single parts: the record's order, a lease's arithmetic, a grant's life.

use milletwing_decision::interface::{Build, Evidence, Outcome, Phase, Vote};
use milletwing_decision::statistics::Sums;
use milletwing_group::calls::{Calls, Stand, Step, Wanted};
use milletwing_group::grant::{Held, PeerNote};
use milletwing_group::lease::Lease;
use milletwing_group::log::{Log, StoredState};
use milletwing_group::member::founding;
use milletwing_group::record::{CallId, Command, Effect, Ended, Intent, Record, Standing};

fn standing(stage: u32, phase: Phase) -> Standing {
    Standing { build: Build(2), stage, phase, cap: 0.1 }
}

fn record() -> Record {
    let mut record = Record::default();
    (1..=3).for_each(|id| assert!(record.join(id, "a", true)));
    record.apply(1, Command::Told(standing(0, Phase::Trial)));
    record
}

fn report(member: u64, series: u64, number: u64, errors: f64) -> Command {
    let sums = Sums { n: 10.0, y: errors, ..Sums::default() };
    let seen = Evidence {
        build: Build(2),
        test_sums: vec![[Sums::default(), sums]],
        objecting_instances: 1,
        ..Evidence::default()
    };
    Command::Evidence { member, series, number, seen }
}

fn pooled(record: &Record) -> (f64, f64) {
    let sums = record.pool().unwrap().test_sums.first().map_or(Sums::default(), |arms| arms[1]);
    (sums.n, sums.y)
}

#[test]
fn evidence_counts_once_however_often_and_in_whatever_order_it_comes() {
    let mut record = record();
    for command in [report(1, 1, 2, 5.0), report(1, 1, 2, 5.0), report(1, 1, 1, 9.0), report(2, 1, 1, 1.0)] {
        record.apply(1, command);
    }
    assert_eq!(pooled(&record), (20.0, 6.0));
    // A member that restarts starts a new series; what its last life had seen stays, and its late word does not count.
    record.apply(1, report(1, 2, 1, 2.0));
    record.apply(1, report(1, 1, 3, 100.0));
    assert_eq!(pooled(&record), (30.0, 8.0));
    assert_eq!(record.pool().unwrap().objecting_instances, 2);
    // Of a stranger, or of a stage that is over: nothing.
    record.apply(1, report(9, 1, 1, 7.0));
    record.apply(1, Command::Told(standing(1, Phase::Trial)));
    record.apply(1, report(1, 2, 2, 7.0));
    assert_eq!(pooled(&record), (0.0, 0.0));
}

#[test]
fn the_platforms_word_never_goes_back_and_nothing_is_decided_after_a_decision_back() {
    let mut record = record();
    record.apply(1, Command::Told(standing(2, Phase::Trial)));
    assert!(record.apply(1, Command::Told(standing(1, Phase::Trial))).is_empty());
    let verdict = |term, stage, vote| Command::Verdict { term, build: Build(2), stage, vote };
    assert!(record.apply(5, verdict(4, 2, Vote::Advance)).is_empty(), "a deposed leader's judgement");
    assert!(record.apply(5, verdict(5, 1, Vote::Advance)).is_empty(), "a stage that is over");
    assert_eq!(record.apply(5, verdict(5, 2, Vote::Revert)), [Effect::Decided(Build(2), 2, Vote::Revert)]);
    assert!(record.apply(5, verdict(5, 2, Vote::Advance)).is_empty());
    let id = |number| CallId { member: 1, series: 1, number };
    let intent = |number, term, vote| {
        Command::Intent(Intent { id: id(number), term, build: Build(2), stage: 2, vote })
    };
    let void = |effects: Vec<Effect>| matches!(effects[0], Effect::Void(..));
    assert!(void(record.apply(5, intent(1, 5, Vote::Advance))));
    assert!(void(record.apply(6, intent(2, 5, Vote::Revert))), "committed under another leader");
    assert!(!void(record.apply(6, intent(3, 6, Vote::Revert))));
    assert!(void(record.apply(6, intent(4, 6, Vote::Revert))), "one at a time");
    assert_eq!(
        record.apply(6, Command::Outcome(id(3), Ended::Stood, None)),
        [Effect::Closed(id(3), Ended::Stood)]
    );
    assert!(record.apply(6, Command::Outcome(id(3), Ended::Moved, None)).is_empty(), "the first end counts");
    assert!(!void(record.apply(6, intent(5, 6, Vote::Revert))));
    // The platform's move ends what is open.
    let effects = record.apply(6, Command::Told(standing(2, Phase::Withdrawn)));
    assert!(effects.contains(&Effect::Closed(id(5), Ended::Moved)));
    assert!(void(record.apply(6, intent(6, 6, Vote::Revert))));
    record.leave(3);
    assert!(!record.join(3, "again", false));
}

#[test]
fn a_lease_counts_from_the_sending_and_is_never_regained_in_a_term_that_gave_it_up() {
    let mut lease = Lease::new(1000, 0.01);
    let early = lease.send(3, 100);
    let late = lease.send(3, 400);
    assert!(!lease.holds(3, 400));
    lease.renew(3, early);
    let length = (1000.0_f64 * 0.99 / 1.01) as u64;
    assert_eq!(lease.until(3), 100 + length);
    lease.renew(3, late);
    lease.renew(3, early);
    assert!(lease.holds(3, 400 + length - 1) && !lease.holds(3, 400 + length) && !lease.holds(4, 401));
    let third = lease.send(3, 500);
    lease.bar(3);
    lease.renew(3, third);
    assert!(!lease.holds(3, 501));
    let next = lease.send(4, 600);
    lease.renew(4, next);
    assert!(lease.holds(4, 601));
}

#[test]
fn a_grant_lives_from_its_ask_and_a_deposed_leader_lengthens_none() {
    let mut held = Held::default();
    let grant = |ask, term, cap| PeerNote::Grant { ask, term, build: Build(2), cap, life: 600 };
    let ask = held.ask(1000);
    assert_eq!(held.take(&grant(ask, 3, 0.4), 3, 1500), Some((Build(2), 0.4)));
    assert_eq!(held.now(1599), Some((Build(2), 0.4)));
    assert_eq!((held.now(1600), held.lapse(1599)), (None, None));
    let next = held.ask(1590);
    assert_eq!(held.take(&grant(ask, 3, 1.0), 3, 1591), None, "an answer to an old ask");
    assert_eq!(held.take(&grant(next, 2, 1.0), 3, 1591), None, "a term that is over");
    assert_eq!(held.take(&grant(next, 2, 1.0), 1, 1591), None, "a lower term than a grant came from before");
    assert_eq!(held.lapse(1600), Some((Build(2), 0.0)));
    assert_eq!(held.lapse(1601), None, "told once");
    assert_eq!(held.take(&grant(next, 3, 1.0), 3, 2190), None, "it came too late to live");
}

#[test]
fn who_leads_no_more_between_intent_and_call_makes_no_call() {
    let leads = Stand { now: 0, term: 4, leads: true };
    let wanted = Wanted { number: 1, build: Build(2), stage: 0, vote: Vote::Advance };
    for (stand, called) in
        [(leads, true), (Stand { leads: false, ..leads }, false), (Stand { term: 5, ..leads }, false)]
    {
        let mut calls = Calls::new(1, 1, true, 300);
        let steps = calls.cast(wanted, leads);
        let [Step::Propose(Command::Intent(intent))] = steps[..] else { panic!("{steps:?}") };
        let steps = calls.committed(&Effect::Opened(intent), stand);
        assert_eq!(steps.contains(&Step::Call(wanted)), called);
        assert_eq!(calls.out(), called);
    }
    // Nor does one that does not lead begin.
    let mut calls = Calls::new(1, 1, true, 300);
    assert_eq!(calls.cast(wanted, Stand { leads: false, ..leads }), [Step::Refuse(1)]);
    // Each for itself: anybody may, again only once the last has its end.
    let mut calls = Calls::new(1, 1, false, 300);
    let steps = calls.cast(wanted, Stand { leads: false, ..leads });
    let [Step::Propose(Command::Intent(intent))] = steps[..] else { panic!("{steps:?}") };
    assert_eq!(calls.committed(&Effect::Opened(intent), leads), [Step::Call(wanted)]);
    assert_eq!(calls.cast(wanted, leads), [Step::Refuse(1)]);
    calls.answered(1, Outcome::Ok, None, leads);
    assert!(calls.committed(&Effect::Closed(intent.id, Ended::Answered(Outcome::Ok)), leads).is_empty());
    assert_eq!(calls.cast(wanted, leads).len(), 1);
}

#[test]
fn a_store_that_does_not_hold_together_is_told() {
    let whole = founding(&[(1, "a".to_string())].into());
    assert!(Log::read(&whole).is_ok() && Log::read(&StoredState::default()).is_ok());
    let torn = StoredState { entries: vec![vec![0xff, 0x01]], ..whole.clone() };
    assert!(Log::read(&torn).unwrap_err().contains("entry"));
    let headless = StoredState { snapshot: None, ..whole };
    assert!(Log::read(&headless).unwrap_err().contains("do not follow"));
}
