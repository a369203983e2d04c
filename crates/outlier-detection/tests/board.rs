//! What edges tell each other of loads, judged after the fact.

use milletwing_outlier_detection::{host_key, HostObservation, LoadBoard};
use std::collections::BTreeMap;

/// Words that come by ways of different lengths: the newest that was spoken holds, each is told once, and an old one to
/// nobody.
#[test]
fn the_newest_word_on_a_load_is_told_once() {
    let mut board = LoadBoard::default();
    let mut spoken: BTreeMap<u32, (u64, u16)> = BTreeMap::new();
    let mut told: BTreeMap<u32, u16> = BTreeMap::new();
    let mut calls = 0;
    for step in 0u64..2_000 {
        let now = 10_000 + step * 10;
        // A word on one of 40 hosts, up to 400 ms after it was spoken.
        let host = host_key(&format!("i-{}", step * 7 % 40));
        let (ago, load) = (step * 131 % 400, (step % 97) as u16);
        board.record(now, &[HostObservation { host, load: Some(load), ..HostObservation::default() }], ago);
        if spoken.get(&host).is_none_or(|(at, _)| now - ago >= *at) {
            spoken.insert(host, (now - ago, load));
        }
        if step % 20 == 19 {
            let news = board.take_updates(now);
            calls += news.len();
            told.extend(news);
            for (host, load) in &told {
                assert_eq!(spoken[host].1, *load, "step {step}");
            }
            assert!(board.take_updates(now).is_empty(), "nothing is told twice");
        }
    }
    assert!(calls > 500, "{calls}");
    // Nobody spoke for a while: what is left is no news.
    board.record(40_000, &[HostObservation { host: 1, load: Some(3), ..HostObservation::default() }], 0);
    assert!(board.take_updates(43_000).is_empty());
}
