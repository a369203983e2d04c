//! Validates configurations: the rules of the control API, and checks against entries that cannot be intended, since a route
//! could not serve any request or two entries would be ambiguous.

use crate::configuration::{Configuration, Route, Subscriber};
use crate::kind::ErrorKind;
use crate::shape;
use std::collections::BTreeMap;

/// The shortest time limit of a route. Edges measure time in milliseconds.
const MIN_GUARD_S: f64 = 0.001;
/// The longest time limit of a route.
const MAX_GUARD_S: f64 = 600.0;
/// The target of a route must exceed its time limit by less than this.
const MAX_TARGET_EXCESS_S: f64 = 60.0;

impl Configuration {
    /// Parses and validates a new configuration.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreadable`] if it cannot be decoded; otherwise the first violation found.
    pub fn parse(bytes: &[u8]) -> Result<Configuration, ErrorKind> {
        let configuration = Configuration::decode(bytes)?;
        let text = std::str::from_utf8(bytes).map_err(|error| ErrorKind::Unreadable(error.to_string()))?;
        shape::check(text).map_err(|error| ErrorKind::Unreadable(error.to_string()))?;
        validate(&configuration)?;
        Ok(configuration)
    }
}

/// Validates a configuration. The error is the first violation found, with the name of the entry.
fn validate(configuration: &Configuration) -> Result<(), ErrorKind> {
    for (name, route) in &configuration.routing {
        check_services(name, route, configuration)?;
        check_class_and_prefix(name, route)?;
        check_times(name, route)?;
    }
    for (name, target) in &configuration.targets {
        check_not_negative(name, [("warmupS", target.warmup_s), ("warmupPerS", target.warmup_per_s)])?;
    }
    if let Some(thresholds) = &configuration.thresholds {
        check_not_negative(
            "thresholds",
            [("headerGuardS", thresholds.header_guard_s), ("idleGuardS", thresholds.idle_guard_s)],
        )?;
    }
    check_unique_routes(&configuration.routing)?;
    check_subscribers(&configuration.subscribers)
}

/// Checks that all services of a route are known, including those that are not in use, and that one of them can be chosen.
fn check_services(name: &str, route: &Route, configuration: &Configuration) -> Result<(), ErrorKind> {
    let distributed = route.distribution.iter().map(|share| share.target.as_str());
    for service in route.target.as_deref().into_iter().chain(distributed) {
        if !configuration.targets.contains_key(service) {
            return Err(ErrorKind::UnknownService(name.into(), service.into()));
        }
    }
    if route.distribution.iter().any(|share| share.share.is_nan() || share.share < 0.0) {
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

/// Checks that the given fields of an entry are not negative.
fn check_not_negative<const COUNT: usize>(
    entry: &str,
    fields: [(&'static str, f64); COUNT],
) -> Result<(), ErrorKind> {
    match fields.into_iter().find(|(_, value)| *value < 0.0) {
        Some((field, _)) => Err(ErrorKind::NegativeValue(entry.into(), field)),
        None => Ok(()),
    }
}

/// Checks that the traffic class is defined and that the prefix starts with a slash.
fn check_class_and_prefix(name: &str, route: &Route) -> Result<(), ErrorKind> {
    if route.class().is_none() {
        return Err(ErrorKind::UnknownTrafficClass(name.into(), route.traffic_class.clone()));
    }
    if !route.path_prefix.starts_with('/') {
        return Err(ErrorKind::InvalidPathPrefix(name.into()));
    }
    Ok(())
}

/// Checks that the times are within bounds. A route with a time limit of zero could not serve any request.
fn check_times(name: &str, route: &Route) -> Result<(), ErrorKind> {
    check_not_negative(name, [("targetS", route.target_s)])?;
    if route.guard_s.is_nan() || route.guard_s < MIN_GUARD_S {
        return Err(ErrorKind::GuardTooShort(name.into()));
    }
    if route.guard_s > MAX_GUARD_S {
        return Err(ErrorKind::GuardTooLong(name.into()));
    }
    if route.target_s.is_nan() || route.target_s >= route.guard_s + MAX_TARGET_EXCESS_S {
        return Err(ErrorKind::TargetTooLong(name.into()));
    }
    Ok(())
}

/// Checks that no two routes have the same host and prefix.
fn check_unique_routes(routing: &BTreeMap<String, Route>) -> Result<(), ErrorKind> {
    let mut known = BTreeMap::new();
    for (name, route) in routing {
        if let Some(other) = known.insert((route.normalized_host(), route.path_prefix.as_str()), name) {
            return Err(ErrorKind::DuplicateRoute(other.clone(), name.clone()));
        }
    }
    Ok(())
}

/// Checks that no key belongs to two subscribers, and that each name is a valid header value.
fn check_subscribers(subscribers: &BTreeMap<String, Subscriber>) -> Result<(), ErrorKind> {
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
