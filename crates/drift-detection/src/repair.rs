//! Decides how drifted edges are repaired. Repair proceeds in steps, each of which is committed to the log before it is executed.
//! No more edges are taken out of service at once than the others can replace, and never the last one of a zone. If most edges seem
//! to have drifted, the fault is with the core: then no edge is repaired, and an alarm is raised.

use crate::check::Finding;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// A repair step: what an edge is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Step {
    /// The edge is in sync again and returns to service.
    Back,
    /// The entries that the edge lacks are sent again.
    Again,
    /// The edge receives the whole state and rebuilds its tables.
    Renew,
    /// The edge leaves the directory and is not ready until it is in sync. It completes the requests it has accepted.
    Rest,
    /// The edge shuts down gracefully, and the platform restarts it.
    End,
}

impl Step {
    /// The name of the step, as operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Step::Back => "back",
            Step::Again => "again",
            Step::Renew => "renew",
            Step::Rest => "rest",
            Step::End => "end",
        }
    }
}

/// A repair step that is to be committed to the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairOrder {
    /// The id of the edge.
    pub edge: u32,
    /// The incarnation of the edge.
    pub incarnation: u64,
    /// What the edge is to do.
    pub step: Step,
    /// The reason.
    pub why: String,
}

/// What is known about the drift of an edge.
#[derive(Clone, Debug)]
pub struct EdgeStanding {
    /// The incarnation of the edge.
    pub incarnation: u64,
    /// The zone of the edge.
    pub zone: String,
    /// The latest finding.
    pub finding: Finding,
    /// The time of the latest finding.
    pub at: Millis,
    /// Since when the edge has drifted.
    pub since: Option<Millis>,
    /// The last repair step and its time.
    pub step: Option<(Step, Millis)>,
}

/// The minimum time between two repair steps of an edge.
const STEP_INTERVAL_MS: Millis = 1_500;
/// The time that an edge stays out of service before it is restarted.
const REST_MS: Millis = 6_000;
/// The minimum time between the restarts of two edges.
const RESTART_INTERVAL_MS: Millis = 30_000;
/// Findings older than this are ignored.
const MAX_FINDING_AGE_MS: Millis = 4_000;
/// At most one in this many edges may be out of service at the same time.
const REST_DIVISOR: usize = 8;

/// Decides on repair steps. Used by the leader of the core, for all edges.
#[derive(Debug, Default)]
pub struct Repairer {
    edges: BTreeMap<u32, EdgeStanding>,
    /// When an edge was last told to shut down.
    last_restart: Option<Millis>,
    /// Whether most edges seem to have drifted.
    pub most_drifted: bool,
}

impl Repairer {
    /// Records what a core machine found about an edge that is connected to it.
    pub fn record_finding(&mut self, now: Millis, edge: u32, incarnation: u64, zone: &str, finding: Finding) {
        let drifted = finding.is_drift();
        let standing = self.edges.entry(edge).or_insert_with(|| EdgeStanding {
            incarnation,
            zone: zone.into(),
            finding: Finding::Lagging,
            at: now,
            since: None,
            step: None,
        });
        if standing.incarnation != incarnation {
            // A new incarnation starts without a history of drift and repair.
            (standing.incarnation, standing.since, standing.step) = (incarnation, None, None);
        }
        let in_sync = finding == Finding::InSync;
        (standing.finding, standing.at) = (finding, now);
        if drifted {
            standing.since.get_or_insert(now);
        } else if in_sync {
            standing.since = None;
        }
    }

    /// Iterates over all known edges.
    pub fn edges(&self) -> impl Iterator<Item = (u32, &EdgeStanding)> {
        self.edges.iter().map(|(edge, standing)| (*edge, standing))
    }

    /// Returns the next repair steps. `ready` lists the edges that accept traffic, with their zones.
    pub fn next_orders(&mut self, now: Millis, ready: &[(u32, String)]) -> Vec<RepairOrder> {
        self.edges.retain(|_, standing| now.saturating_sub(standing.at) < 60_000);
        let is_recent = |standing: &EdgeStanding| now.saturating_sub(standing.at) < MAX_FINDING_AGE_MS;
        let recent = self.edges.values().filter(|standing| is_recent(standing)).count();
        let drifted =
            self.edges.values().filter(|standing| is_recent(standing) && standing.since.is_some()).count();
        // A single drifted edge may be at fault itself, even if there are only one or two edges.
        self.most_drifted = drifted >= 2 && drifted * 2 > recent;
        let mut resting =
            self.edges.values().filter(|standing| matches!(standing.step, Some((Step::Rest, _)))).count();
        let mut out = Vec::new();
        for (edge, standing) in &mut self.edges {
            let order = |step: Step, standing: &EdgeStanding| RepairOrder {
                edge: *edge,
                incarnation: standing.incarnation,
                step,
                why: standing.finding.describe(),
            };
            if standing.since.is_none() {
                // The edge has recovered: a repair in progress is reverted.
                if matches!(standing.step, Some((Step::Rest, _))) && standing.finding == Finding::InSync {
                    out.push(order(Step::Back, standing));
                }
                standing.step = None;
                continue;
            }
            if self.most_drifted || now.saturating_sub(standing.at) >= MAX_FINDING_AGE_MS {
                continue;
            }
            let next = match standing.step {
                None => Step::Again,
                Some((_, at)) if now < at + STEP_INTERVAL_MS => continue,
                Some((Step::Again, _)) => Step::Renew,
                Some((Step::Renew, _)) => {
                    let others_in_zone =
                        ready.iter().filter(|(other, zone)| other != edge && *zone == standing.zone).count();
                    if others_in_zone == 0 || resting >= (ready.len() / REST_DIVISOR).max(1) {
                        continue;
                    }
                    resting += 1;
                    Step::Rest
                }
                Some((Step::Rest, at)) => {
                    let may_restart = self.last_restart.is_none_or(|last| now >= last + RESTART_INTERVAL_MS);
                    if now < at + REST_MS || !may_restart {
                        continue;
                    }
                    self.last_restart = Some(now);
                    Step::End
                }
                Some((Step::End | Step::Back, _)) => continue,
            };
            standing.step = Some((next, now));
            out.push(order(next, standing));
        }
        out
    }
}
