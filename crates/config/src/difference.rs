//! Describes the changes between two configurations in one line of the log.

use crate::configuration::{Configuration, Route, Share};
use std::collections::BTreeMap;
use std::fmt::{Display, Formatter, Result};

/// The number of names that each part of the line lists. The remaining ones are only counted.
const MAX_NAMES: usize = 6;

/// The differences between two configurations. The length of the text form is bounded.
#[derive(Debug, Default, PartialEq, Eq)]
pub struct Difference {
    /// The total numbers of routes and services of the later configuration.
    pub size: (usize, usize),
    /// Routes that only the later configuration has.
    pub added: Vec<String>,
    /// Routes that only the earlier configuration has.
    pub removed: Vec<String>,
    /// Routes that changed, each with its changes.
    pub changed: Vec<String>,
    /// Services that were added, removed or changed.
    pub services: Vec<String>,
    /// Subscribers that were added, removed or changed. Their keys are never included.
    pub subscribers: Vec<String>,
    /// Whether the thresholds differ.
    pub thresholds: bool,
}

impl Difference {
    /// Compares a configuration with the one before it, if there is one.
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

/// Returns the names that only the first table has.
fn only_in<T>(table: &BTreeMap<String, T>, other: &BTreeMap<String, T>) -> Vec<String> {
    table.keys().filter(|name| !other.contains_key(*name)).cloned().collect()
}

/// Returns the names of entries that are not the same in both tables.
fn differing<T: PartialEq>(before: &BTreeMap<String, T>, after: &BTreeMap<String, T>) -> Vec<String> {
    let removed = only_in(before, after);
    let new_or_changed = after.iter().filter(|(name, entry)| before.get(*name) != Some(entry));
    new_or_changed.map(|(name, _)| name.clone()).chain(removed).collect()
}

/// Describes the changed fields of a route, each with the value before and after.
fn changes(old: &Route, new: &Route) -> Vec<String> {
    let mut out = Vec::new();
    let mut record = |field: &str, old: String, new: String| {
        if old != new {
            out.push(format!("{field} {old} to {new}"));
        }
    };
    record("domain", old.domain.clone(), new.domain.clone());
    record("pathPrefix", old.path_prefix.clone(), new.path_prefix.clone());
    record("trafficClass", old.traffic_class.clone(), new.traffic_class.clone());
    record("guardS", old.guard_s.to_string(), new.guard_s.to_string());
    record("targetS", old.target_s.to_string(), new.target_s.to_string());
    record("priority", old.priority.to_string(), new.priority.to_string());
    record("target", destinations(old), destinations(new));
    record("maxTries", old.max_tries.to_string(), new.max_tries.to_string());
    record("servingRegions", old.serving_regions.join("+"), new.serving_regions.join("+"));
    record("keyless", old.keyless.to_string(), new.keyless.to_string());
    out
}

/// Describes the services of a route with their shares.
fn destinations(route: &Route) -> String {
    let share = |part: &Share| format!("{}:{}", part.target, part.share);
    let parts: Vec<String> =
        route.target.iter().cloned().chain(route.distribution.iter().map(share)).collect();
    parts.join("+")
}

impl Display for Difference {
    fn fmt(&self, formatter: &mut Formatter<'_>) -> Result {
        write!(formatter, "{} routes, {} services", self.size.0, self.size.1)?;
        let parts = [
            ("added", &self.added),
            ("removed", &self.removed),
            ("changed", &self.changed),
            ("services", &self.services),
            ("subscribers", &self.subscribers),
        ];
        for (what, names) in parts.into_iter().filter(|(_, names)| !names.is_empty()) {
            let first: Vec<&str> = names.iter().take(MAX_NAMES).map(String::as_str).collect();
            write!(formatter, "; {what}: {}", first.join(", "))?;
            if names.len() > MAX_NAMES {
                write!(formatter, " and {} more", names.len() - MAX_NAMES)?;
            }
        }
        if self.thresholds {
            write!(formatter, "; thresholds")?;
        }
        Ok(())
    }
}
