use crate::common::freeze;
use jiff::civil::date;
use jiff::tz::TimeZone;
use milletwing_releases::calendar::{
    earliest_slot, frozen_intervals, Exemption, Freeze, FreezeMode, FreezePeriod, FreezeScope, FrozenInterval,
};
use milletwing_releases::model::Edition;

const HOUR: i64 = 3600;

fn zoned(name: &str, period: FreezePeriod) -> Freeze {
    let zone = TimeZone::get(name).unwrap();
    Freeze { name: "f".into(), scope: FreezeScope::default(), period, mode: FreezeMode::Hold, zone }
}

fn unix(text: &str) -> i64 {
    text.parse::<jiff::Timestamp>().unwrap().as_second()
}

#[test]
fn a_freeze_across_a_change_of_clocks_is_never_shorter_than_told() {
    // Berlin, 2026: clocks go forward on 29 March at 2:00, back on 25 October at 3:00.
    let hours = |from, to| {
        let freeze = zoned("Europe/Berlin", FreezePeriod::Once(from, to));
        let spans = freeze.intervals_between(unix("2026-01-01T00:00:00Z"), unix("2027-01-01T00:00:00Z"));
        (spans[0].1 - spans[0].0) / HOUR
    };
    assert_eq!(hours(date(2026, 3, 28).at(12, 0, 0, 0), date(2026, 3, 29).at(12, 0, 0, 0)), 23);
    assert_eq!(hours(date(2026, 10, 24).at(12, 0, 0, 0), date(2026, 10, 25).at(12, 0, 0, 0)), 25);
    // Half past two comes twice: from the first on, to the second.
    assert_eq!(hours(date(2026, 10, 25).at(2, 30, 0, 0), date(2026, 10, 25).at(4, 30, 0, 0)), 3);
    assert_eq!(hours(date(2026, 10, 25).at(1, 30, 0, 0), date(2026, 10, 25).at(2, 30, 0, 0)), 2);
    // Half past two does not come at all: nothing is lost of what was told.
    assert!(hours(date(2026, 3, 29).at(2, 30, 0, 0), date(2026, 3, 29).at(4, 30, 0, 0)) >= 1);
}

#[test]
fn yearly_freezes_cross_the_new_year_and_end_on_the_29th_of_february() {
    let harvest = zoned("America/Guatemala", FreezePeriod::Yearly([12, 20, 0, 0], [1, 6, 12, 0]));
    let spans = harvest.intervals_between(unix("2026-12-31T00:00:00Z"), unix("2027-01-02T00:00:00Z"));
    assert_eq!(spans, [(unix("2026-12-20T06:00:00Z"), unix("2027-01-06T18:00:00Z"))]);
    assert!(harvest.active_until(unix("2027-01-06T17:59:59Z")).is_some());
    assert!(harvest.active_until(unix("2027-01-06T18:00:00Z")).is_none());
    let leap = zoned("UTC", FreezePeriod::Yearly([2, 1, 0, 0], [2, 29, 12, 0]));
    assert_eq!(leap.active_until(unix("2028-02-29T11:00:00Z")), Some(unix("2028-02-29T12:00:00Z")));
    assert_eq!(leap.active_until(unix("2027-02-28T23:00:00Z")), Some(unix("2027-03-01T00:00:00Z")));
    assert!(leap.validate().is_ok());
    assert!(zoned("UTC", FreezePeriod::Yearly([2, 30, 0, 0], [3, 1, 0, 0])).validate().is_err());
    let backward =
        zoned("UTC", FreezePeriod::Once(date(2026, 2, 1).at(0, 0, 0, 0), date(2026, 1, 1).at(0, 0, 0, 0)));
    assert!(backward.validate().unwrap_err().contains("before it begins"));
}

#[test]
fn the_strictest_of_overlapping_freezes_counts_and_exemptions_cut_them_short() {
    let freezes = [
        freeze("a", 100, 300, FreezeMode::Finish),
        freeze("b", 200, 400, FreezeMode::Rollback),
        freeze("c", 350, 500, FreezeMode::Hold),
    ];
    let edition = Edition { service: 0, build: 2 };
    let of = |exemptions: &[Exemption]| frozen_intervals(&freezes, exemptions, (edition, 0, &[0]), (0, 1000));
    let span = |from, to, mode| FrozenInterval { from, to, mode };
    let whole = [
        span(100, 200, FreezeMode::Finish),
        span(200, 400, FreezeMode::Rollback),
        span(400, 500, FreezeMode::Hold),
    ];
    assert_eq!(of(&[]), whole);
    let leave = Exemption { name: "x".into(), reason: "r".into(), freeze: "b".into(), edition, until: 320 };
    let cut = [
        span(100, 300, FreezeMode::Finish),
        span(320, 400, FreezeMode::Rollback),
        span(400, 500, FreezeMode::Hold),
    ];
    assert_eq!(of(std::slice::from_ref(&leave)), cut);
    let other = Exemption { edition: Edition { service: 0, build: 3 }, ..leave };
    assert_eq!(of(&[other]), whole);
}

#[test]
fn a_tranche_fits_round_freezes_by_their_mode() {
    let one = |mode| vec![FrozenInterval { from: 100, to: 200, mode }];
    assert_eq!(earliest_slot(&one(FreezeMode::Hold), 0, 50), (0, 50));
    assert_eq!(earliest_slot(&one(FreezeMode::Hold), 60, 50), (60, 210), "it stands still while it is held");
    assert_eq!(earliest_slot(&one(FreezeMode::Finish), 60, 50), (60, 110));
    assert_eq!(earliest_slot(&one(FreezeMode::Rollback), 60, 50), (200, 250), "it would go back");
    for mode in [FreezeMode::Finish, FreezeMode::Hold, FreezeMode::Rollback] {
        assert_eq!(earliest_slot(&one(mode), 100, 50), (200, 250), "nothing begins in a freeze");
        assert_eq!(earliest_slot(&one(mode), 50, 50), (50, 100), "it ends as the freeze begins");
    }
}
