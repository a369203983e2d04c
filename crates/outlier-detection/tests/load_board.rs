//! Sharing of host loads between edges.

use milletwing_outlier_detection::{host_key, HostObservation, LoadBoard};
use std::collections::BTreeMap;

/// Reports with different delays: the latest observation wins, each is passed on once, and old ones
/// are not passed on.
#[test]
fn latest_load_is_passed_on_once() {
    let mut loads = LoadBoard::default();
    let mut reported: BTreeMap<u32, (u64, u16)> = BTreeMap::new();
    let mut received: BTreeMap<u32, u16> = BTreeMap::new();
    let mut update_count = 0;
    for step in 0u64..2_000 {
        let now = 10_000 + step * 10;
        // A report on one of 40 hosts arrives up to 400 ms after the observation.
        let host = host_key(&format!("i-{}", step * 7 % 40));
        let (ago, load) = (step * 131 % 400, (step % 97) as u16);
        loads.record(now, &[HostObservation { host, load: Some(load), ..HostObservation::default() }], ago);
        if reported.get(&host).is_none_or(|(at, _)| now - ago >= *at) {
            reported.insert(host, (now - ago, load));
        }
        if step % 20 == 19 {
            let updates = loads.take_updates(now);
            update_count += updates.len();
            received.extend(updates);
            for (host, load) in &received {
                assert_eq!(reported[host].1, *load, "step {step}");
            }
            assert!(loads.take_updates(now).is_empty(), "an update was passed on twice");
        }
    }
    assert!(update_count > 500, "{update_count}");
    // Old loads are not passed on.
    loads.record(40_000, &[HostObservation { host: 1, load: Some(3), ..HostObservation::default() }], 0);
    assert!(loads.take_updates(43_000).is_empty());
}
