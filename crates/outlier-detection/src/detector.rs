//! Decides from the reports of all edges which hosts are ejected and how they come back. No edge
//! alone can eject a host: several must have found it unreachable, from two zones if there are
//! edges in two, and none may have had an answer from it since. The control plane puts the
//! decisions into effect with log entries.

use crate::{HostObservation, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Number of edges that must have found a host unreachable.
const MIN_WITNESSES: usize = 2;
/// Milliseconds for which an observation counts.
const OBSERVATION_VALIDITY: Time = 3_000;
/// Maximum fraction of a service's hosts that may be ejected at once. Beyond it the cause is not
/// the hosts.
const MAX_EJECTED_SHARE: f64 = 0.4;
/// Shortest and longest time until an ejected host is retested, in milliseconds.
const EJECTION_TIME: (Time, Time) = (2_000, 16_000);
/// Number of edges that retest a host at the same time.
const RETEST_EDGES: usize = 2;
/// Duration of a retest in milliseconds.
const RETEST_DURATION: Time = 2_000;
/// Maximum number of hosts that are tracked.
const MAX_HOSTS: usize = 16_384;

/// State of a host.
#[derive(Clone, Debug, Default)]
struct Host {
    /// Edges that found it unreachable, each with the latest time.
    unreachable: BTreeMap<u32, Time>,
    /// When any edge last had an answer from it.
    answered: Time,
    /// Number of consecutive ejections.
    ejections: u32,
    /// Since when it is ejected, or since the last retest failed.
    ejected_at: Option<Time>,
    /// When the current retest began.
    retest_started: Option<Time>,
}

/// Recent observations of an edge over all hosts.
#[derive(Clone, Debug, Default)]
struct Edge {
    zone: String,
    /// Hosts that answered it, with the time of the last answer.
    answered: BTreeMap<u32, Time>,
    /// Hosts that it found unreachable, with the latest time.
    unreachable: BTreeMap<u32, Time>,
}

/// Action to take on a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostAction {
    /// Eject the host.
    Eject(u32),
    /// Let these edges retest it with retry-safe requests.
    Retest(u32, Vec<u32>),
    /// Restore the host.
    Restore(u32),
}

/// A registered host.
#[derive(Clone, Debug)]
pub struct KnownHost {
    /// Numeric key of the host.
    pub host: u32,
    /// Name of its service.
    pub service: String,
    /// Whether it may be ejected: it serves traffic, and its version is not on trial, since there
    /// the trial decides.
    pub ejectable: bool,
    /// Whether a log entry has ejected it.
    pub ejected: bool,
    /// Whether it would serve traffic if it were not ejected; otherwise it is not retested.
    pub retestable: bool,
}

/// The reports of all edges.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    hosts: BTreeMap<u32, Host>,
    edges: BTreeMap<u32, Edge>,
}

impl OutlierDetector {
    /// Records the observations of an edge, made `ago` milliseconds ago.
    pub fn record(&mut self, now: Time, edge: u32, zone: &str, observations: &[HostObservation], ago: Time) {
        let observed_at = now.saturating_sub(ago);
        let edge_state = self.edges.entry(edge).or_default();
        edge_state.zone = zone.into();
        for observation in observations {
            if self.hosts.len() >= MAX_HOSTS && !self.hosts.contains_key(&observation.host) {
                continue;
            }
            let host = self.hosts.entry(observation.host).or_default();
            if observation.answered > 0 {
                edge_state.answered.insert(observation.host, observed_at);
                host.answered = host.answered.max(observed_at);
                host.unreachable.retain(|_, found_at| *found_at > observed_at);
            } else if observation.unreachable > 0 && observed_at > host.answered {
                // A late report does not count if the host has answered since.
                edge_state.unreachable.insert(observation.host, observed_at);
                host.unreachable.insert(edge, observed_at);
            }
        }
    }

    /// Whether an edge finds so many hosts unreachable that its own network is the likelier cause.
    fn has_network_fault(&self, edge: u32) -> bool {
        self.edges.get(&edge).is_some_and(|edge_state| {
            let unreachable = edge_state
                .unreachable
                .iter()
                .filter(|(host, at)| edge_state.answered.get(*host).is_none_or(|answered| answered < *at));
            unreachable.count() * 2 > edge_state.answered.len().max(edge_state.unreachable.len())
        })
    }

    /// Evidence on a host, for operators: the edges that found it unreachable, and the milliseconds
    /// since its last answer to any edge.
    pub fn evidence(&self, now: Time, host: u32) -> (Vec<u32>, Option<Time>) {
        let Some(known) = self.hosts.get(&host) else { return (Vec::new(), None) };
        let since_answer = (known.answered > 0).then(|| now.saturating_sub(known.answered));
        (known.unreachable.keys().copied().collect(), since_answer)
    }

    /// The actions to take now. `known` lists all registered hosts.
    pub fn decide(&mut self, now: Time, known: &[KnownHost]) -> Vec<HostAction> {
        let recent = |at: &Time| now.saturating_sub(*at) <= OBSERVATION_VALIDITY;
        let registered: BTreeSet<u32> = known.iter().map(|host| host.host).collect();
        self.hosts.retain(|host, _| registered.contains(host));
        self.hosts.values_mut().for_each(|host| host.unreachable.retain(|_, at| recent(at)));
        for edge in self.edges.values_mut() {
            edge.answered.retain(|host, at| recent(at) && registered.contains(host));
            edge.unreachable.retain(|host, at| recent(at) && registered.contains(host));
        }
        self.edges.retain(|_, edge| !edge.answered.is_empty() || !edge.unreachable.is_empty());
        let faulty_edges: BTreeSet<u32> =
            self.edges.keys().copied().filter(|edge| self.has_network_fault(*edge)).collect();
        let zones: BTreeSet<&str> = self.edges.values().map(|edge| edge.zone.as_str()).collect();
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for candidate in known.iter().filter(|host| host.ejectable || host.ejected) {
            let (total, ejected) = counts.entry(&candidate.service).or_default();
            *total += 1;
            *ejected += usize::from(candidate.ejected);
        }
        let mut actions = Vec::new();
        for candidate in known {
            if candidate.ejected {
                // Also without any observation: a new leader may have heard nothing of a host that gets no
                // requests, and has to retest it all the same.
                self.hosts.entry(candidate.host).or_default();
            }
            let Some(host) = self.hosts.get_mut(&candidate.host) else { continue };
            if !candidate.ejected {
                if host.ejected_at.is_some() {
                    (host.ejected_at, host.retest_started) = (None, None);
                }
                let witnesses: Vec<u32> =
                    host.unreachable.keys().copied().filter(|edge| !faulty_edges.contains(edge)).collect();
                let witness_zones: BTreeSet<&str> = witnesses
                    .iter()
                    .filter_map(|edge| self.edges.get(edge))
                    .map(|edge| edge.zone.as_str())
                    .collect();
                let agreed = witnesses.len() >= MIN_WITNESSES && witness_zones.len() >= zones.len().min(2);
                let (total, ejected) = counts.entry(&candidate.service).or_default();
                if candidate.ejectable && agreed && (*ejected + 1) as f64 <= MAX_EJECTED_SHARE * *total as f64
                {
                    *ejected += 1;
                    actions.push(HostAction::Eject(candidate.host));
                }
                continue;
            }
            if !candidate.retestable {
                (host.ejected_at, host.retest_started) = (Some(now), None);
                continue;
            }
            // A new leader starts the waiting time when it first sees the host ejected.
            let ejected_at = *host.ejected_at.get_or_insert(now);
            let retest_delay = (EJECTION_TIME.0 << host.ejections.min(4)).min(EJECTION_TIME.1);
            match host.retest_started {
                _ if host.answered > ejected_at => {
                    (host.ejected_at, host.retest_started, host.ejections) = (None, None, 0);
                    actions.push(HostAction::Restore(candidate.host));
                }
                None if now >= ejected_at + retest_delay => {
                    host.retest_started = Some(now);
                    let retesters = self
                        .edges
                        .iter()
                        .filter(|(edge, _)| !faulty_edges.contains(edge))
                        .map(|(edge, _)| *edge);
                    // Uses different edges each time, because one of them may be cut off from the
                    // host.
                    let skip = host.ejections as usize * RETEST_EDGES % self.edges.len().max(1);
                    let retesters: Vec<u32> = retesters.collect();
                    let selected = retesters
                        .iter()
                        .cycle()
                        .skip(skip)
                        .take(RETEST_EDGES.min(retesters.len()))
                        .copied()
                        .collect();
                    actions.push(HostAction::Retest(candidate.host, selected));
                }
                Some(at) if now >= at + RETEST_DURATION => {
                    (host.ejected_at, host.retest_started) = (Some(now), None);
                    host.ejections += 1;
                    actions.push(HostAction::Eject(candidate.host));
                }
                _ => {}
            }
        }
        actions
    }
}
