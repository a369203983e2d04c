//! Freezes and exemptions in a named time zone. A freeze is never shorter than its settings say: where a local time occurs
//! twice, a freeze starts at the first occurrence and ends at the second, and in a year without 29 February that day
//! stands for the end of the 28th.

use crate::names::{BuildingId, CustomerId, Edition, ServiceId};
use crate::Time;
use jiff::civil::{Date, DateTime};
use jiff::tz::TimeZone;
use std::collections::BTreeSet;

/// What happens to a tranche that is in rollout when a freeze starts. Ordered from the mildest to the strictest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum FreezeMode {
    /// The tranche may complete.
    Finish,
    /// The tranche pauses, and continues after the freeze.
    Hold,
    /// The tranche is rolled back, and starts anew after the freeze.
    Rollback,
}

/// What a freeze applies to; an empty set means all.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FreezeScope {
    /// Services to which it applies.
    pub services: BTreeSet<ServiceId>,
    /// Buildings to which it applies.
    pub buildings: BTreeSet<BuildingId>,
    /// Customers to which it applies.
    pub customers: BTreeSet<CustomerId>,
}

impl FreezeScope {
    /// Whether it applies to a service in a building and to any of `customers`.
    pub fn covers(&self, service: ServiceId, building: BuildingId, customers: &[CustomerId]) -> bool {
        let includes = |set: &BTreeSet<usize>, id: usize| set.is_empty() || set.contains(&id);
        includes(&self.services, service)
            && includes(&self.buildings, building)
            && (self.customers.is_empty()
                || customers.iter().any(|customer| self.customers.contains(customer)))
    }
}

/// When a freeze is in force, in local time; the end is exclusive.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum FreezePeriod {
    /// A single interval.
    Once(DateTime, DateTime),
    /// Each year, as month, day, hour and minute. An end that is not after its start is in the next year.
    Yearly([i8; 4], [i8; 4]),
}

/// A time in which releases are restricted.
#[derive(Clone, Debug, PartialEq)]
pub struct Freeze {
    /// Unique name, by which exemptions refer to it.
    pub name: String,
    /// What it applies to.
    pub scope: FreezeScope,
    /// When it is in force.
    pub period: FreezePeriod,
    /// What it does to tranches that are in rollout.
    pub mode: FreezeMode,
    /// Time zone of its local times.
    pub zone: TimeZone,
}

/// Permission to release an edition in spite of a freeze.
#[derive(Clone, Debug, PartialEq)]
pub struct Exemption {
    /// Name for operators.
    pub name: String,
    /// Why it was granted.
    pub reason: String,
    /// Name of the freeze.
    pub freeze: String,
    /// The exempted edition.
    pub edition: Edition,
    /// When the exemption ends.
    pub until: Time,
}

/// Unix time of a local time. Of a local time that occurs twice, or that a clock change skips, it is the earlier or the
/// later of the two candidates.
pub fn resolve_local_time(zone: &TimeZone, at: DateTime, later: bool) -> Option<Time> {
    let ambiguous = zone.to_ambiguous_timestamp(at);
    let stamp = if later { ambiguous.later() } else { ambiguous.earlier() };
    stamp.ok().map(|stamp| stamp.as_second())
}

/// Local time of a yearly date in a given year; 29 February in a year without one is the start of 1 March.
fn date_in_year(year: i16, [month, day, hour, minute]: [i8; 4]) -> Option<DateTime> {
    if (month, day) == (2, 29) && !Date::new(year, 1, 1).ok()?.in_leap_year() {
        return DateTime::new(year, 3, 1, 0, 0, 0, 0).ok();
    }
    DateTime::new(year, month, day, hour, minute, 0, 0).ok()
}

impl Freeze {
    /// Checks that its start and end are valid times, and that a single interval ends after it starts.
    pub fn validate(&self) -> Result<(), String> {
        match self.period {
            FreezePeriod::Once(from, to) if to <= from => {
                Err(format!("it ends at {to}, before it begins at {from}"))
            }
            FreezePeriod::Once(..) => Ok(()),
            FreezePeriod::Yearly(from, to) => {
                let is_valid = |at| date_in_year(2024, at).is_some();
                if !is_valid(from) || !is_valid(to) {
                    Err("a day or time that no year has".into())
                } else if from == to {
                    Err("it ends as it begins".into())
                } else {
                    Ok(())
                }
            }
        }
    }

    /// The intervals in which it is in force, of those that overlap `from..to`.
    pub fn intervals_between(&self, from: Time, to: Time) -> Vec<(Time, Time)> {
        let resolve = |time: DateTime, later: bool| resolve_local_time(&self.zone, time, later);
        let interval = |start, end| Some((resolve(start, false)?, resolve(end, true)?));
        let overlaps = |(start, end): &(Time, Time)| *start < to && from < *end;
        match self.period {
            FreezePeriod::Once(start, end) => interval(start, end).filter(overlaps).into_iter().collect(),
            FreezePeriod::Yearly(start, end) => {
                let year = |time: Time| {
                    let stamp = jiff::Timestamp::from_second(time).unwrap_or(jiff::Timestamp::UNIX_EPOCH);
                    self.zone.to_datetime(stamp).year()
                };
                let years = year(from).saturating_sub(1)..=year(to).saturating_add(1);
                let in_year = |year: i16| {
                    let end_year = if end <= start { year + 1 } else { year };
                    interval(date_in_year(year, start)?, date_in_year(end_year, end)?)
                };
                years.filter_map(in_year).filter(overlaps).collect()
            }
        }
    }

    /// When it ends, if it is in force now.
    pub fn active_until(&self, now: Time) -> Option<Time> {
        self.intervals_between(now, now + 1).first().map(|(_, end)| *end)
    }
}

/// An interval in which freezes restrict a tranche.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct FrozenInterval {
    /// Start.
    pub from: Time,
    /// End, exclusive.
    pub to: Time,
    /// The strictest mode of the freezes in force.
    pub mode: FreezeMode,
}

/// The intervals of `from..to` in which freezes restrict a tranche of an edition in a building: disjoint, in order of time
/// and without what the edition is exempt from. Where freezes overlap, the strictest mode counts.
pub fn frozen_intervals(
    freezes: &[Freeze],
    exemptions: &[Exemption],
    (edition, building, customers): (Edition, BuildingId, &[CustomerId]),
    (from, to): (Time, Time),
) -> Vec<FrozenInterval> {
    let mut intervals: Vec<FrozenInterval> = Vec::new();
    for freeze in freezes.iter().filter(|freeze| freeze.scope.covers(edition.service, building, customers)) {
        let exempt_until = exemptions
            .iter()
            .filter(|exemption| exemption.freeze == freeze.name && exemption.edition == edition)
            .map(|exemption| exemption.until)
            .max();
        for (start, end) in freeze.intervals_between(from, to) {
            let start = exempt_until.map_or(start, |until| start.max(until));
            if start < end {
                intervals.push(FrozenInterval { from: start, to: end, mode: freeze.mode });
            }
        }
    }
    let mut edges: Vec<Time> = intervals.iter().flat_map(|interval| [interval.from, interval.to]).collect();
    edges.sort_unstable();
    edges.dedup();
    let mut merged: Vec<FrozenInterval> = Vec::new();
    for pair in edges.windows(2) {
        let covering = intervals.iter().filter(|interval| interval.from <= pair[0] && pair[1] <= interval.to);
        let Some(mode) = covering.map(|interval| interval.mode).max() else { continue };
        match merged.last_mut() {
            Some(last) if last.to == pair[0] && last.mode == mode => last.to = pair[1],
            _ => merged.push(FrozenInterval { from: pair[0], to: pair[1], mode }),
        }
    }
    merged
}

/// Start and end of the earliest slot for a tranche of the given length, not before `from`. A tranche never starts within
/// a freeze. It pauses during a freeze of mode `Hold`, runs through one of mode `Finish`, and does not start where one of
/// mode `Rollback` would begin before its end.
pub fn earliest_slot(frozen: &[FrozenInterval], from: Time, length: i64) -> (Time, Time) {
    let mut start = from;
    'retry: loop {
        if let Some(interval) = frozen.iter().find(|interval| interval.from <= start && start < interval.to) {
            start = interval.to;
            continue;
        }
        let mut end = start + length;
        for interval in frozen.iter().filter(|interval| interval.from >= start) {
            if interval.from >= end {
                break;
            }
            match interval.mode {
                FreezeMode::Finish => {}
                FreezeMode::Hold => end += interval.to - interval.from,
                FreezeMode::Rollback => {
                    start = interval.to;
                    continue 'retry;
                }
            }
        }
        return (start, end);
    }
}
