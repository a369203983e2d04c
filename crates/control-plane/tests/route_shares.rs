//! Which routes a trial has to know of, by the configurations of the last minute.

use milletwing_config::Configuration;
use milletwing_control_plane::route_shares::RouteShares;
use serde_json::json;
use std::collections::BTreeSet;

const MINUTE_MS: u64 = 60_000;

/// A configuration of which route `r` leads this share to the service `s` and the rest to `other`.
fn configuration(share: f64) -> Configuration {
    let route = json!({"domain": "h.example", "pathPrefix": "/", "trafficClass": "idempotent", "guardS": 5,
        "targetS": 1, "distribution": [{"target": "s", "share": share}, {"target": "other", "share": 1.0 - share}]});
    let target = json!({"probePath": "/health", "maxSessions": 9, "warmupS": 1, "warmupPerS": 1});
    let text = json!({"revision": 1, "routing": {"r": route}, "targets": {"s": target, "other": target},
        "thresholds": {"maxHeaderBytes": 16_384, "maxBodyBytes": 1_000_000, "headerGuardS": 3, "idleGuardS": 15}});
    Configuration::decode(text.to_string().as_bytes()).unwrap()
}

fn away(shares: &RouteShares, trial_started: u64) -> bool {
    shares.led_away("s", trial_started) == BTreeSet::from(["r".to_owned()])
}

#[test]
fn a_route_is_led_away_from_less_than_half_of_its_highest_share_on() {
    let mut shares = RouteShares::default();
    shares.record(0, &configuration(1.0));
    shares.record(1_000, &configuration(0.5));
    assert!(!away(&shares, 500));
    shares.record(2_000, &configuration(0.06));
    assert!(away(&shares, 500));
    shares.record(3_000, &configuration(1.0));
    assert!(!away(&shares, 500));
}

/// Guards against EXPOSURE: a route that had left shortly before the order was forgotten.
#[test]
fn a_route_that_left_within_a_minute_before_the_order_is_still_known() {
    let mut shares = RouteShares::default();
    shares.record(0, &configuration(1.0));
    shares.record(1_000, &configuration(0.0));
    assert!(away(&shares, MINUTE_MS) && !away(&shares, 1_000 + MINUTE_MS));
}

#[test]
fn a_share_that_grows_is_told_with_its_time_and_one_that_shrinks_is_not() {
    let mut shares = RouteShares::default();
    assert_eq!(shares.last_increase("s"), 0);
    shares.record(1_000, &configuration(0.2));
    shares.record(2_000, &configuration(0.1));
    assert_eq!(shares.last_increase("s"), 1_000);
    shares.record(3_000, &configuration(0.9));
    assert_eq!((shares.last_increase("s"), shares.last_increase("other")), (3_000, 2_000));
}
