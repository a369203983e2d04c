//! Latest load of each host. An edge of a large fleet sends to a host only once in many seconds, so
//! the loads reported to that edge alone are old; all edges together reach every host several times
//! a second.

use crate::{HostObservation, Time};
use std::collections::BTreeMap;

/// Maximum number of hosts.
const MAX_HOSTS: usize = 16_384;
/// Loads older than this are not passed on, in milliseconds.
const LOAD_VALIDITY: Time = 2_000;

/// Latest loads by host.
#[derive(Debug, Default)]
pub struct LoadBoard {
    /// Load, time of the report, and whether it has not been passed on to edges yet.
    loads: BTreeMap<u32, (u16, Time, bool)>,
}

impl LoadBoard {
    /// Records the observations of an edge, made `ago` milliseconds ago.
    pub fn record(&mut self, now: Time, observations: &[HostObservation], ago: Time) {
        let observed_at = now.saturating_sub(ago);
        for observation in observations {
            let Some(load) = observation.load else { continue };
            let has_room = self.loads.len() < MAX_HOSTS;
            match self.loads.get_mut(&observation.host) {
                // An older report that arrived late must not replace a newer one.
                Some((_, known, _)) if *known > observed_at => {}
                Some(known) => *known = (load, observed_at, true),
                None if has_room => drop(self.loads.insert(observation.host, (load, observed_at, true))),
                None => {}
            }
        }
    }

    /// Takes the loads that have changed since the last call.
    pub fn take_updates(&mut self, now: Time) -> Vec<(u32, u16)> {
        self.loads.retain(|_, (_, at, _)| now.saturating_sub(*at) < LOAD_VALIDITY);
        let unsent = self.loads.iter_mut().filter(|(_, (_, _, pending))| *pending);
        unsent
            .map(|(host, known)| {
                known.2 = false;
                (*host, known.0)
            })
            .collect()
    }
}
