//! Selects the marshals that serve the traffic of a version on trial.
//!
//! A small share of traffic spread over all marshals of the new version would load none of them,
//! and a fault that only shows under load would appear only after the full roll-out. The share
//! therefore goes to as few marshals as can serve it at a load that any marshal of the service may
//! reach.

use crate::marshal::Marshal;

/// Target load of a canary as a fraction of its capacity: above the usual load of most marshals,
/// and below the point where requests start to queue.
const CANARY_LOAD: f64 = 0.5;

/// The eligible, warm marshals of a version on trial, and how many of them serve its traffic.
#[derive(Debug, Default)]
pub struct Canaries {
    keys: Vec<u64>,
    count: usize,
}

impl Canaries {
    /// Selects among the marshals of one service. `traffic_share` is the share of the service's requests
    /// that may go to the new version; `load` is the mean load of the service's marshals as a
    /// fraction of their capacity.
    pub fn choose<'a>(
        marshals: impl Iterator<Item = (&'a u64, &'a Marshal)>,
        traffic_share: f64,
        load: f64,
    ) -> Canaries {
        let (mut capacity, mut candidates) = (0.0, Vec::new());
        for (key, marshal) in marshals.filter(|(_, marshal)| marshal.eligible && marshal.cold_limit.is_none())
        {
            capacity += marshal.capacity;
            if marshal.on_trial {
                candidates.push((marshal, *key));
            }
        }
        // Sorted by id, so that all edges that know the same marshals choose the same canaries.
        candidates.sort_unstable_by(|(one, _), (other, _)| one.id.cmp(&other.id));
        let mean_capacity = candidates.iter().map(|(marshal, _)| marshal.capacity).sum::<f64>()
            / (candidates.len() as f64).max(1.0);
        let by_load = traffic_share * load * capacity / (CANARY_LOAD * mean_capacity.max(1.0));
        // With this many, each canary bears the load that it will bear after the full roll-out.
        let by_share = traffic_share * candidates.len() as f64;
        let count = by_load.min(by_share).ceil().max(1.0) as usize;
        Canaries { keys: candidates.into_iter().map(|(_, key)| key).collect(), count }
    }

    /// The canaries among the marshals that pass the filter.
    pub fn select(&self, is_allowed: impl Fn(u64) -> bool) -> Vec<u64> {
        self.keys.iter().copied().filter(|key| is_allowed(*key)).take(self.count).collect()
    }
}
