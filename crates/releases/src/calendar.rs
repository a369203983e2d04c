//! Freezes and exemptions, in a named time zone. A freeze is never shorter than it was told: where a clock shows a time
//! twice it begins at the first and ends at the second, and 29 February counts as the end of the 28th in other years.

use crate::names::{BuildingId, CustomerId, Edition, ServiceId};
use crate::Time;
use jiff::civil::{Date, DateTime};
use jiff::tz::TimeZone;
use std::collections::BTreeSet;

/// What becomes of a tranche that is half out as a freeze begins, the mildest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FreezeMode {
    /// It may complete.
    Finish,
    /// It stays as it is, and goes on after the freeze.
    Hold,
    /// It goes back.
    Rollback,
}

/// What a freeze is for; an empty set is all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FreezeScope {
    /// Services.
    pub services: BTreeSet<ServiceId>,
    /// Buildings.
    pub buildings: BTreeSet<BuildingId>,
    /// Customers.
    pub customers: BTreeSet<CustomerId>,
}

impl FreezeScope {
    /// Whether it holds for a service, a building and any of some customers.
    pub fn covers(&self, service: ServiceId, building: BuildingId, customers: &[CustomerId]) -> bool {
        let all = |set: &BTreeSet<usize>, one: usize| set.is_empty() || set.contains(&one);
        all(&self.services, service)
            && all(&self.buildings, building)
            && (self.customers.is_empty()
                || customers.iter().any(|customer| self.customers.contains(customer)))
    }
}

/// When: local times, the end not included.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FreezePeriod {
    /// Once.
    Once(DateTime, DateTime),
    /// Each year: month, day, hour and minute. An end that is not after its start is in the next year.
    Yearly([i8; 4], [i8; 4]),
}

/// A freeze.
#[derive(Clone, Debug, PartialEq)]
pub struct Freeze {
    /// Its name.
    pub name: String,
    /// For what.
    pub scope: FreezeScope,
    /// When.
    pub period: FreezePeriod,
    /// How.
    pub mode: FreezeMode,
    /// Where its times are told.
    pub zone: TimeZone,
}

/// Leave to move in spite of a freeze.
#[derive(Clone, Debug, PartialEq)]
pub struct Exemption {
    /// Its name.
    pub name: String,
    /// Why.
    pub reason: String,
    /// The freeze.
    pub freeze: String,
    /// The edition.
    pub edition: Edition,
    /// Until when.
    pub until: Time,
}

/// The moment of a local time. Of a time that a clock shows twice the earlier or the later; of one that it skips, the
/// moment of the change or after it.
pub fn resolve_local_time(zone: &TimeZone, at: DateTime, later: bool) -> Option<Time> {
    let ambiguous = zone.to_ambiguous_timestamp(at);
    let stamp = if later { ambiguous.later() } else { ambiguous.earlier() };
    stamp.ok().map(|stamp| stamp.as_second())
}

/// A day and time of a year; 29 February in a year without one is the start of 1 March.
fn date_in_year(year: i16, [month, day, hour, minute]: [i8; 4]) -> Option<DateTime> {
    if (month, day) == (2, 29) && !Date::new(year, 1, 1).ok()?.in_leap_year() {
        return DateTime::new(year, 3, 1, 0, 0, 0, 0).ok();
    }
    DateTime::new(year, month, day, hour, minute, 0, 0).ok()
}

impl Freeze {
    /// What is wrong with it.
    pub fn validate(&self) -> Result<(), String> {
        match self.period {
            FreezePeriod::Once(from, to) if to <= from => {
                Err(format!("it ends at {to}, before it begins at {from}"))
            }
            FreezePeriod::Once(..) => Ok(()),
            FreezePeriod::Yearly(from, to) => {
                let reads = |at| date_in_year(2024, at).is_some();
                if !reads(from) || !reads(to) {
                    Err("a day or time that no year has".into())
                } else if from == to {
                    Err("it ends as it begins".into())
                } else {
                    Ok(())
                }
            }
        }
    }

    /// Its times within a span, as moments.
    pub fn intervals_between(&self, from: Time, to: Time) -> Vec<(Time, Time)> {
        let at = |time: DateTime, later: bool| resolve_local_time(&self.zone, time, later);
        let pair = |start, end| Some((at(start, false)?, at(end, true)?));
        let meets = |(start, end): &(Time, Time)| *start < to && from < *end;
        match self.period {
            FreezePeriod::Once(start, end) => pair(start, end).filter(meets).into_iter().collect(),
            FreezePeriod::Yearly(start, end) => {
                let year = |time: Time| {
                    let stamp = jiff::Timestamp::from_second(time).unwrap_or(jiff::Timestamp::UNIX_EPOCH);
                    self.zone.to_datetime(stamp).year()
                };
                let years = year(from).saturating_sub(1)..=year(to).saturating_add(1);
                let of = |year: i16| {
                    let next = if end <= start { year + 1 } else { year };
                    pair(date_in_year(year, start)?, date_in_year(next, end)?)
                };
                years.filter_map(of).filter(meets).collect()
            }
        }
    }

    /// Whether it is in force.
    pub fn active_until(&self, now: Time) -> Option<Time> {
        self.intervals_between(now, now + 1).first().map(|(_, end)| *end)
    }
}

/// A span of time in which a tranche may not go on as usual.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrozenInterval {
    /// From.
    pub from: Time,
    /// To, not included.
    pub to: Time,
    /// The strictest mode in force.
    pub mode: FreezeMode,
}

/// The closed times of an edition's tranche in a building, one after another, the strictest mode first where freezes
/// overlap; without what it is exempt from.
pub fn frozen_intervals(
    freezes: &[Freeze],
    exemptions: &[Exemption],
    (edition, building, customers): (Edition, BuildingId, &[CustomerId]),
    (from, to): (Time, Time),
) -> Vec<FrozenInterval> {
    let mut spans: Vec<FrozenInterval> = Vec::new();
    for freeze in freezes.iter().filter(|freeze| freeze.scope.covers(edition.service, building, customers)) {
        let free = exemptions
            .iter()
            .filter(|e| e.freeze == freeze.name && e.edition == edition)
            .map(|e| e.until)
            .max();
        for (start, end) in freeze.intervals_between(from, to) {
            let start = free.map_or(start, |until| start.max(until));
            if start < end {
                spans.push(FrozenInterval { from: start, to: end, mode: freeze.mode });
            }
        }
    }
    let mut edges: Vec<Time> = spans.iter().flat_map(|span| [span.from, span.to]).collect();
    edges.sort_unstable();
    edges.dedup();
    let mut out: Vec<FrozenInterval> = Vec::new();
    for pair in edges.windows(2) {
        let here = spans.iter().filter(|span| span.from <= pair[0] && pair[1] <= span.to);
        let Some(mode) = here.map(|span| span.mode).max() else { continue };
        match out.last_mut() {
            Some(last) if last.to == pair[0] && last.mode == mode => last.to = pair[1],
            _ => out.push(FrozenInterval { from: pair[0], to: pair[1], mode }),
        }
    }
    out
}

/// The earliest time, not before `from`, at which a tranche of some length may start, and when it ends: it starts in no
/// freeze, stands still while one holds it, goes through one that lets it finish, and is not begun where one would send
/// it back.
pub fn earliest_slot(closed: &[FrozenInterval], from: Time, length: i64) -> (Time, Time) {
    let mut start = from;
    'again: loop {
        if let Some(span) = closed.iter().find(|span| span.from <= start && start < span.to) {
            start = span.to;
            continue;
        }
        let mut end = start + length;
        for span in closed.iter().filter(|span| span.from >= start) {
            if span.from >= end {
                break;
            }
            match span.mode {
                FreezeMode::Finish => {}
                FreezeMode::Hold => end += span.to - span.from,
                FreezeMode::Rollback => {
                    start = span.to;
                    continue 'again;
                }
            }
        }
        return (start, end);
    }
}
