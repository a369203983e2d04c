//! What a control plane server counts (`docs/metrics.md`).

use milletwing_metrics::{exponential_buckets, Histogram};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::time::Duration;

/// The shortest wait for a disk that is told apart, in seconds, and how many buckets double it: up to 8 s.
const SHORTEST_S: f64 = 0.001;
const BUCKETS: u16 = 14;

/// Counters of a control plane server since its process began.
pub struct Metrics {
    pub(crate) calls: RefCell<BTreeMap<(&'static str, u16), u64>>,
    pub(crate) disk_waits: Histogram,
}

impl Default for Metrics {
    fn default() -> Metrics {
        Metrics {
            calls: RefCell::default(),
            disk_waits: Histogram::new(exponential_buckets(SHORTEST_S, 2.0, BUCKETS)),
        }
    }
}

impl Metrics {
    /// A call was answered. `resource`: the first part of its path behind the prefix.
    pub fn answered(&self, resource: &str, status: u16) {
        *self.calls.borrow_mut().entry((resource_label(resource), status)).or_default() += 1;
    }

    /// A batch is on the disk, so long after it was handed out.
    pub fn written(&self, waited: Duration) {
        self.disk_waits.observe(waited.as_secs_f64());
    }
}

/// A bounded set of words: paths are the callers'.
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
