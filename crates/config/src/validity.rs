//! What makes a configuration invalid: the protocol's list, and what can't be meant, since a route by it could serve nothing
//! or nobody could say which of two entries counts.

use crate::configuration::{Configuration, Route, Subscriber};
use crate::kind::ErrorKind;
use crate::shape;
use std::collections::BTreeMap;

/// The shortest time for which a route may hold a request: edges count in milliseconds.
const SHORTEST_GUARD_S: f64 = 0.001;
/// The longest.
const LONGEST_GUARD_S: f64 = 600.0;
/// A route's aim lies less than so many seconds over its guard.
const AIM_OVER_GUARD_S: f64 = 60.0;

impl Configuration {
    /// Reads and checks a configuration that is to be taken. Errors: it can't be read, or the first thing that makes it
    /// invalid.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ErrorKind> {
        let configuration = Configuration::decode(bytes)?;
        let text =
            std::str::from_utf8(bytes).map_err(|problem| ErrorKind::Unreadable(problem.to_string()))?;
        shape::check(text).map_err(|problem| ErrorKind::Unreadable(problem.to_string()))?;
        check(&configuration)?;
        Ok(configuration)
    }
}

/// Checks a whole configuration. Errors: the first thing that is wrong, with the entry's name.
fn check(configuration: &Configuration) -> Result<(), ErrorKind> {
    for (name, route) in &configuration.routing {
        services(name, route, configuration)?;
        form(name, route)?;
        times(name, route)?;
    }
    for (name, target) in &configuration.targets {
        not_below_zero(name, [("warmupS", target.warmup_s), ("warmupPerS", target.warmup_per_s)])?;
    }
    if let Some(it) = &configuration.thresholds {
        not_below_zero("thresholds", [("headerGuardS", it.header_guard_s), ("idleGuardS", it.idle_guard_s)])?;
    }
    places(&configuration.routing)?;
    subscribers(&configuration.subscribers)
}

/// A route's services are known, also those that are not in use, and one of them can be drawn.
fn services(name: &str, route: &Route, configuration: &Configuration) -> Result<(), ErrorKind> {
    let parts = route.distribution.iter().map(|part| part.target.as_str());
    for service in route.target.as_deref().into_iter().chain(parts) {
        if !configuration.targets.contains_key(service) {
            return Err(ErrorKind::UnknownService(name.into(), service.into()));
        }
    }
    if route.distribution.iter().any(|part| part.share.is_nan() || part.share < 0.0) {
        return Err(ErrorKind::NegativeShare(name.into()));
    }
    let shares = route.shares();
    if shares.is_empty() {
        return Err(ErrorKind::NoService(name.into()));
    }
    if shares.iter().all(|(_, share)| *share == 0.0) {
        return Err(ErrorKind::ZeroShares(name.into()));
    }
    Ok(())
}

/// An entry's numbers that count or measure are not below 0.
fn not_below_zero<const COUNT: usize>(
    entry: &str,
    fields: [(&'static str, f64); COUNT],
) -> Result<(), ErrorKind> {
    match fields.into_iter().find(|(_, value)| *value < 0.0) {
        Some((field, _)) => Err(ErrorKind::NegativeValue(entry.into(), field)),
        None => Ok(()),
    }
}

/// Its class is one of those named, and its prefix is one.
fn form(name: &str, route: &Route) -> Result<(), ErrorKind> {
    if route.class().is_none() {
        return Err(ErrorKind::UnknownTrafficClass(name.into(), route.traffic_class.clone()));
    }
    if !route.path_prefix.starts_with('/') {
        return Err(ErrorKind::InvalidPathPrefix(name.into()));
    }
    Ok(())
}

/// Its times are within bounds; a route that may hold a request for no time can't serve one.
fn times(name: &str, route: &Route) -> Result<(), ErrorKind> {
    not_below_zero(name, [("targetS", route.target_s)])?;
    if route.guard_s.is_nan() || route.guard_s < SHORTEST_GUARD_S {
        return Err(ErrorKind::GuardTooShort(name.into()));
    }
    if route.guard_s > LONGEST_GUARD_S {
        return Err(ErrorKind::GuardTooLong(name.into()));
    }
    if route.target_s.is_nan() || route.target_s >= route.guard_s + AIM_OVER_GUARD_S {
        return Err(ErrorKind::TargetTooLong(name.into()));
    }
    Ok(())
}

/// No two routes have one host and prefix.
fn places(routing: &BTreeMap<String, Route>) -> Result<(), ErrorKind> {
    let mut known = BTreeMap::new();
    for (name, route) in routing {
        if let Some(other) = known.insert((route.normalized_host(), route.path_prefix.as_str()), name) {
            return Err(ErrorKind::DuplicateRoute(other.clone(), name.clone()));
        }
    }
    Ok(())
}

/// No key belongs to two subscribers, and each one's name can be written in a header.
fn subscribers(subscribers: &BTreeMap<String, Subscriber>) -> Result<(), ErrorKind> {
    let mut known = BTreeMap::new();
    for (name, subscriber) in subscribers {
        if name.is_empty() || name.chars().any(char::is_control) {
            return Err(ErrorKind::InvalidSubscriberName(name.escape_default().to_string()));
        }
        for key in &subscriber.credentials {
            match known.insert(key.as_str(), name) {
                Some(other) if other != name => {
                    return Err(ErrorKind::DuplicateKey(other.clone(), name.clone()))
                }
                _ => {}
            }
        }
    }
    Ok(())
}
