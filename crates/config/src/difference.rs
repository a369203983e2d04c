//! What a configuration changes against the one before it, in one line for the log.

use crate::configuration::{Configuration, Route, Share};
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};

/// Names written out in each part of the line; the rest is counted.
const MOST_NAMED: usize = 6;

/// What differs between two configurations. Its text is bounded: names beyond the first few are counted.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// Routes and services that the later one has in all.
    pub size: (usize, usize),
    /// Routes that only the later one has.
    pub added: Vec<String>,
    /// Routes that only the earlier one has.
    pub removed: Vec<String>,
    /// Routes that both have, each with what changed of it.
    pub changed: Vec<String>,
    /// Services that only one of them has, or that changed.
    pub services: Vec<String>,
    /// Subscribers that only one of them has, or that changed. Never their keys.
    pub subscribers: Vec<String>,
    /// The thresholds differ.
    pub thresholds: bool,
}

impl Difference {
    /// Of a configuration and the one that it follows, if there is one.
    pub fn between(before: Option<&Configuration>, after: &Configuration) -> Difference {
        let none = Configuration::default();
        let before = before.unwrap_or(&none);
        let changed = before.routing.iter().filter_map(|(name, old)| {
            let new = after.routing.get(name)?;
            (old != new).then(|| format!("{name} ({})", changes(old, new).join(", ")))
        });
        Difference {
            size: (after.routing.len(), after.targets.len()),
            added: only_in(&after.routing, &before.routing),
            removed: only_in(&before.routing, &after.routing),
            changed: changed.collect(),
            services: differing(&before.targets, &after.targets),
            subscribers: differing(&before.subscribers, &after.subscribers),
            thresholds: before.thresholds != after.thresholds,
        }
    }
}

/// Names that only the first table has.
fn only_in<T>(table: &BTreeMap<String, T>, other: &BTreeMap<String, T>) -> Vec<String> {
    table.keys().filter(|name| !other.contains_key(*name)).cloned().collect()
}

/// Names whose entries are not the same in both tables.
fn differing<T: PartialEq>(before: &BTreeMap<String, T>, after: &BTreeMap<String, T>) -> Vec<String> {
    let gone = only_in(before, after);
    let other = after.iter().filter(|(name, entry)| before.get(*name) != Some(entry));
    other.map(|(name, _)| name.clone()).chain(gone).collect()
}

/// Fields of a route that changed, with the values before and after.
fn changes(old: &Route, new: &Route) -> Vec<String> {
    let mut out = Vec::new();
    let mut note = |field: &str, old: String, new: String| {
        if old != new {
            out.push(format!("{field} {old} to {new}"));
        }
    };
    note("domain", old.domain.clone(), new.domain.clone());
    note("pathPrefix", old.path_prefix.clone(), new.path_prefix.clone());
    note("trafficClass", old.traffic_class.clone(), new.traffic_class.clone());
    note("guardS", old.guard_s.to_string(), new.guard_s.to_string());
    note("targetS", old.target_s.to_string(), new.target_s.to_string());
    note("priority", old.priority.to_string(), new.priority.to_string());
    note("target", goes_to(old), goes_to(new));
    note("maxTries", old.max_tries.to_string(), new.max_tries.to_string());
    note("servingRegions", old.serving_regions.join("+"), new.serving_regions.join("+"));
    note("keyless", old.keyless.to_string(), new.keyless.to_string());
    out
}

/// A route's services with their shares.
fn goes_to(route: &Route) -> String {
    let share = |part: &Share| format!("{}:{}", part.target, part.share);
    let parts: Vec<String> =
        route.target.iter().cloned().chain(route.distribution.iter().map(share)).collect();
    parts.join("+")
}

impl Display for Difference {
    fn fmt(&self, to: &mut Formatter<'_>) -> Result {
        write!(to, "{} routes, {} services", self.size.0, self.size.1)?;
        let parts = [
            ("added", &self.added),
            ("removed", &self.removed),
            ("changed", &self.changed),
            ("services", &self.services),
            ("subscribers", &self.subscribers),
        ];
        for (what, names) in parts.into_iter().filter(|(_, names)| !names.is_empty()) {
            let first: Vec<&str> = names.iter().take(MOST_NAMED).map(String::as_str).collect();
            write!(to, "; {what}: {}", first.join(", "))?;
            if names.len() > MOST_NAMED {
                write!(to, " and {} more", names.len() - MOST_NAMED)?;
            }
        }
        if self.thresholds {
            write!(to, "; thresholds")?;
        }
        Ok(())
    }
}
