//! Which hosts are taken out, and how they come back, by what all edges meet. No edge alone takes one out: several must have
//! found it gone, from two zones where edges stand in two, and none may have had an answer from it since. Decisions are the
//! core's entries; here is what they follow from.

use crate::{HostObservation, Time};
use std::collections::{BTreeMap, BTreeSet};

/// Edges that must have found a host gone.
const EDGES: usize = 2;
/// How long what an edge met counts, in milliseconds.
const FRESH: Time = 3_000;
/// Part of a service's hosts that may be out at once: beyond it the trouble is not the hosts'.
const MOST: f64 = 0.4;
/// The first and the longest time until a host is looked at again, in milliseconds.
const OUT: (Time, Time) = (2_000, 16_000);
/// Edges that look at once.
const LOOKS: usize = 2;
/// How long they look, in milliseconds.
const LOOK: Time = 2_000;
/// Hosts remembered at most.
const HOSTS: usize = 16_384;

/// How a host stands.
#[derive(Clone, Debug, Default)]
struct Host {
    /// Who found it gone, and when last.
    lost: BTreeMap<u32, Time>,
    /// When anyone had an answer from it.
    good: Time,
    /// How often in a row it was taken out, since when it is, and since when it is looked at.
    times: u32,
    out: Option<Time>,
    looked: Option<Time>,
}

/// What an edge met lately, of all hosts.
#[derive(Clone, Debug, Default)]
struct Edge {
    zone: String,
    /// Hosts that answered it, and hosts that it found gone, each with the time.
    good: BTreeMap<u32, Time>,
    lost: BTreeMap<u32, Time>,
}

/// What follows for a host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum HostAction {
    /// It is taken out.
    Eject(u32),
    /// These edges look at it, with repeatable requests.
    Retest(u32, Vec<u32>),
    /// It takes its part again.
    Restore(u32),
}

/// A host as the core knows it.
#[derive(Clone, Debug)]
pub struct KnownHost {
    /// Its number.
    pub host: u32,
    /// Its service.
    pub service: String,
    /// It may be taken out: it takes its part, and its version is not on trial, where the trial decides.
    pub ejectable: bool,
    /// It is out, by an entry.
    pub ejected: bool,
}

/// The evidence of all edges.
#[derive(Debug, Default)]
pub struct OutlierDetector {
    hosts: BTreeMap<u32, Host>,
    edges: BTreeMap<u32, Edge>,
}

impl OutlierDetector {
    /// What an edge met, so many milliseconds ago.
    pub fn record(&mut self, now: Time, edge: u32, zone: &str, observed: &[HostObservation], ago: Time) {
        let at = now.saturating_sub(ago);
        let own = self.edges.entry(edge).or_default();
        own.zone = zone.into();
        for observed in observed {
            if self.hosts.len() >= HOSTS && !self.hosts.contains_key(&observed.host) {
                continue;
            }
            let host = self.hosts.entry(observed.host).or_default();
            if observed.answered > 0 {
                own.good.insert(observed.host, at);
                host.good = host.good.max(at);
                host.lost.retain(|_, lost| *lost > at);
            } else if observed.unreachable > 0 && at > host.good {
                // Guards against a word that comes late: it was answered since.
                own.lost.insert(observed.host, at);
                host.lost.insert(edge, at);
            }
        }
    }

    /// Whether an edge finds so many hosts gone that its own link is the likelier cause.
    fn ill(&self, edge: u32) -> bool {
        self.edges.get(&edge).is_some_and(|own| {
            let lost = own.lost.iter().filter(|(host, at)| own.good.get(*host).is_none_or(|good| good < *at));
            lost.count() * 2 > own.good.len().max(own.lost.len())
        })
    }

    /// Who thinks what of a host, for operators: edges that found it gone, and the milliseconds since anyone had an answer.
    pub fn evidence(&self, now: Time, host: u32) -> (Vec<u32>, Option<Time>) {
        let Some(known) = self.hosts.get(&host) else { return (Vec::new(), None) };
        let since = (known.good > 0).then(|| now.saturating_sub(known.good));
        (known.lost.keys().copied().collect(), since)
    }

    /// What follows now. `known`: all hosts that are registered.
    pub fn decide(&mut self, now: Time, known: &[KnownHost]) -> Vec<HostAction> {
        let fresh = |at: &Time| now.saturating_sub(*at) <= FRESH;
        let there: BTreeSet<u32> = known.iter().map(|it| it.host).collect();
        self.hosts.retain(|host, _| there.contains(host));
        self.hosts.values_mut().for_each(|host| host.lost.retain(|_, at| fresh(at)));
        for edge in self.edges.values_mut() {
            edge.good.retain(|host, at| fresh(at) && there.contains(host));
            edge.lost.retain(|host, at| fresh(at) && there.contains(host));
        }
        self.edges.retain(|_, edge| !edge.good.is_empty() || !edge.lost.is_empty());
        let ill: BTreeSet<u32> = self.edges.keys().copied().filter(|edge| self.ill(*edge)).collect();
        let zones: BTreeSet<&str> = self.edges.values().map(|edge| edge.zone.as_str()).collect();
        let mut counts: BTreeMap<&str, (usize, usize)> = BTreeMap::new();
        for it in known.iter().filter(|it| it.ejectable || it.ejected) {
            let (all, out) = counts.entry(&it.service).or_default();
            *all += 1;
            *out += usize::from(it.ejected);
        }
        let mut moves = Vec::new();
        for it in known {
            let Some(host) = self.hosts.get_mut(&it.host) else { continue };
            if !it.ejected {
                if host.out.is_some() {
                    (host.out, host.looked) = (None, None);
                }
                let witnesses: Vec<u32> =
                    host.lost.keys().copied().filter(|edge| !ill.contains(edge)).collect();
                let from: BTreeSet<&str> = witnesses
                    .iter()
                    .filter_map(|edge| self.edges.get(edge))
                    .map(|edge| edge.zone.as_str())
                    .collect();
                let agreed = witnesses.len() >= EDGES && from.len() >= zones.len().min(2);
                let (all, out) = counts.entry(&it.service).or_default();
                if it.ejectable && agreed && (*out + 1) as f64 <= MOST * *all as f64 {
                    *out += 1;
                    moves.push(HostAction::Eject(it.host));
                }
                continue;
            }
            // A new leader begins to count where it finds one out.
            let since = *host.out.get_or_insert(now);
            let wait = (OUT.0 << host.times.min(4)).min(OUT.1);
            match host.looked {
                _ if host.good > since => {
                    (host.out, host.looked, host.times) = (None, None, 0);
                    moves.push(HostAction::Restore(it.host));
                }
                None if now >= since + wait => {
                    host.looked = Some(now);
                    let lookers =
                        self.edges.iter().filter(|(edge, _)| !ill.contains(edge)).map(|(edge, _)| *edge);
                    // Others each time: one of them may be cut off from it.
                    let skip = host.times as usize * LOOKS % self.edges.len().max(1);
                    let lookers: Vec<u32> = lookers.collect();
                    let some =
                        lookers.iter().cycle().skip(skip).take(LOOKS.min(lookers.len())).copied().collect();
                    moves.push(HostAction::Retest(it.host, some));
                }
                Some(at) if now >= at + LOOK => {
                    (host.out, host.looked) = (Some(now), None);
                    host.times += 1;
                    moves.push(HostAction::Eject(it.host));
                }
                _ => {}
            }
        }
        moves
    }
}
