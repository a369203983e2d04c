//! The newest load of each host. An edge of a large fleet meets a host once in many seconds, so that what it was told itself
//! is old; all edges together meet every host several times a second.

use crate::{HostObservation, Time};
use std::collections::BTreeMap;

/// Hosts at most.
const MOST: usize = 16_384;
/// A load older than this is told to nobody, in milliseconds.
const OLD: Time = 2_000;

/// Loads by host.
#[derive(Debug, Default)]
pub struct LoadBoard {
    /// Load, when it was told, and whether edges have not heard of it yet.
    loads: BTreeMap<u32, (u16, Time, bool)>,
}

impl LoadBoard {
    /// Takes what an edge met, so many milliseconds ago.
    pub fn record(&mut self, now: Time, observed: &[HostObservation], ago: Time) {
        let at = now.saturating_sub(ago);
        for observed in observed {
            let Some(load) = observed.load else { continue };
            let room = self.loads.len() < MOST;
            match self.loads.get_mut(&observed.host) {
                // Guards against an older word that went a longer way.
                Some((_, known, _)) if *known > at => {}
                Some(known) => *known = (load, at, true),
                None if room => drop(self.loads.insert(observed.host, (load, at, true))),
                None => {}
            }
        }
    }

    /// What is new since the last call.
    pub fn take_updates(&mut self, now: Time) -> Vec<(u32, u16)> {
        self.loads.retain(|_, (_, at, _)| now.saturating_sub(*at) < OLD);
        let fresh = self.loads.iter_mut().filter(|(_, (_, _, fresh))| *fresh);
        fresh
            .map(|(host, known)| {
                known.2 = false;
                (*host, known.0)
            })
            .collect()
    }
}
