//! Counters of a control-plane server (`docs/metrics.md`).

use milletwing_metrics::{exponential_buckets, Histogram};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// Upper bound of the first bucket for disk waits, in seconds, and the number of buckets, each twice as
/// wide as the one before: up to 8 s.
const MIN_DISK_WAIT_S: f64 = 0.001;
const DISK_WAIT_BUCKETS: u16 = 14;

/// Counters of a control-plane server since its process began.
pub struct Metrics {
    pub(crate) calls: RefCell<BTreeMap<(&'static str, u16), u64>>,
    pub(crate) disk_waits: Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            calls: RefCell::default(),
            disk_waits: Histogram::new(exponential_buckets(MIN_DISK_WAIT_S, 2.0, DISK_WAIT_BUCKETS)),
        }
    }
}

impl Metrics {
    /// Counts an answered call. `resource` is the first segment of its path after the prefix.
    pub fn record_call(&self, resource: &str, status: u16) {
        *self.calls.borrow_mut().entry((resource_label(resource), status)).or_default() += 1;
    }

    /// Records the time from handing out a batch until it was on disk.
    pub fn record_disk_wait(&self, waited: Duration) {
        self.disk_waits.observe(waited.as_secs_f64());
    }
}

/// Maps the resource to a fixed set of labels, since paths come from callers and are unbounded.
fn resource_label(resource: &str) -> &'static str {
    const KNOWN: [&str; 9] = [
        "nodes",
        "configuration",
        "rollouts",
        "evacuation",
        "resolution",
        "members",
        "trials",
        "drift",
        "suspects",
    ];
    KNOWN.into_iter().find(|known| *known == resource).unwrap_or("other")
}
