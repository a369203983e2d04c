use crate::common::freeze;
use jiff::civil::date;
use jiff::tz::TimeZone;
use milletwing_releases::calendar::{
    earliest_slot, frozen_intervals, Exemption, Freeze, FreezeMode, FreezePeriod, FreezeScope, FrozenInterval,
};
use milletwing_releases::model::Edition;

const HOUR: i64 = 3600;

fn freeze_in_zone(name: &str, period: FreezePeriod) -> Freeze {
    let zone = TimeZone::get(name).unwrap();
    Freeze { name: "f".into(), scope: FreezeScope::default(), period, mode: FreezeMode::Hold, zone }
}

fn unix(text: &str) -> i64 {
    text.parse::<jiff::Timestamp>().unwrap().as_second()
}

#[test]
fn a_freeze_across_a_clock_change_is_never_shortened() {
    // Berlin, 2026: clocks are set forward on 29 March at 2:00 and back on 25 October at 3:00.
    let hours = |from, to| {
        let freeze = freeze_in_zone("Europe/Berlin", FreezePeriod::Once(from, to));
        let spans = freeze.intervals_between(unix("2026-01-01T00:00:00Z"), unix("2027-01-01T00:00:00Z"));
        (spans[0].1 - spans[0].0) / HOUR
    };
    assert_eq!(hours(date(2026, 3, 28).at(12, 0, 0, 0), date(2026, 3, 29).at(12, 0, 0, 0)), 23);
    assert_eq!(hours(date(2026, 10, 24).at(12, 0, 0, 0), date(2026, 10, 25).at(12, 0, 0, 0)), 25);
    // 2:30 occurs twice: a freeze starts at the first occurrence and ends at the second.
    assert_eq!(hours(date(2026, 10, 25).at(2, 30, 0, 0), date(2026, 10, 25).at(4, 30, 0, 0)), 3);
    assert_eq!(hours(date(2026, 10, 25).at(1, 30, 0, 0), date(2026, 10, 25).at(2, 30, 0, 0)), 2);
    // 2:30 does not occur: the freeze still covers all of the remaining time.
    assert!(hours(date(2026, 3, 29).at(2, 30, 0, 0), date(2026, 3, 29).at(4, 30, 0, 0)) >= 1);
}

#[test]
fn yearly_freezes_may_cross_the_new_year_and_end_on_29_february() {
    let harvest = freeze_in_zone("America/Guatemala", FreezePeriod::Yearly([12, 20, 0, 0], [1, 6, 12, 0]));
    let spans = harvest.intervals_between(unix("2026-12-31T00:00:00Z"), unix("2027-01-02T00:00:00Z"));
    assert_eq!(spans, [(unix("2026-12-20T06:00:00Z"), unix("2027-01-06T18:00:00Z"))]);
    assert!(harvest.active_until(unix("2027-01-06T17:59:59Z")).is_some());
    assert!(harvest.active_until(unix("2027-01-06T18:00:00Z")).is_none());
    let leap = freeze_in_zone("UTC", FreezePeriod::Yearly([2, 1, 0, 0], [2, 29, 12, 0]));
    assert_eq!(leap.active_until(unix("2028-02-29T11:00:00Z")), Some(unix("2028-02-29T12:00:00Z")));
    assert_eq!(leap.active_until(unix("2027-02-28T23:00:00Z")), Some(unix("2027-03-01T00:00:00Z")));
    assert!(leap.validate().is_ok());
    assert!(freeze_in_zone("UTC", FreezePeriod::Yearly([2, 30, 0, 0], [3, 1, 0, 0])).validate().is_err());
    let backward = freeze_in_zone(
        "UTC",
        FreezePeriod::Once(date(2026, 2, 1).at(0, 0, 0, 0), date(2026, 1, 1).at(0, 0, 0, 0)),
    );
    assert!(backward.validate().unwrap_err().contains("before it begins"));
}

#[test]
fn the_strictest_of_overlapping_freezes_counts_and_exemptions_shorten_them() {
    let freezes = [
        freeze("a", 100, 300, FreezeMode::Finish),
        freeze("b", 200, 400, FreezeMode::Rollback),
        freeze("c", 350, 500, FreezeMode::Hold),
    ];
    let edition = Edition { service: 0, build: 2 };
    let intervals =
        |exemptions: &[Exemption]| frozen_intervals(&freezes, exemptions, (edition, 0, &[0]), (0, 1000));
    let interval = |from, to, mode| FrozenInterval { from, to, mode };
    let without_exemption = [
        interval(100, 200, FreezeMode::Finish),
        interval(200, 400, FreezeMode::Rollback),
        interval(400, 500, FreezeMode::Hold),
    ];
    assert_eq!(intervals(&[]), without_exemption);
    let exemption =
        Exemption { name: "x".into(), reason: "r".into(), freeze: "b".into(), edition, until: 320 };
    let with_exemption = [
        interval(100, 300, FreezeMode::Finish),
        interval(320, 400, FreezeMode::Rollback),
        interval(400, 500, FreezeMode::Hold),
    ];
    assert_eq!(intervals(std::slice::from_ref(&exemption)), with_exemption);
    let other = Exemption { edition: Edition { service: 0, build: 3 }, ..exemption };
    assert_eq!(intervals(&[other]), without_exemption);
}

#[test]
fn a_tranche_is_placed_around_freezes_by_their_mode() {
    let single = |mode| vec![FrozenInterval { from: 100, to: 200, mode }];
    assert_eq!(earliest_slot(&single(FreezeMode::Hold), 0, 50), (0, 50));
    assert_eq!(earliest_slot(&single(FreezeMode::Hold), 60, 50), (60, 210), "it pauses while it is held");
    assert_eq!(earliest_slot(&single(FreezeMode::Finish), 60, 50), (60, 110));
    assert_eq!(earliest_slot(&single(FreezeMode::Rollback), 60, 50), (200, 250), "it would be rolled back");
    for mode in [FreezeMode::Finish, FreezeMode::Hold, FreezeMode::Rollback] {
        assert_eq!(earliest_slot(&single(mode), 100, 50), (200, 250), "no tranche starts within a freeze");
        assert_eq!(earliest_slot(&single(mode), 50, 50), (50, 100), "it ends as the freeze starts");
    }
}
