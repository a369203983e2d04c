//! How a drifted edge is brought back: step by step, each on the core's record before it is done, never more edges at once
//! than the rest can carry, never the last of a zone. Where most are found to have drifted it is the core that is wrong: then
//! nothing is done but to say so.

use crate::check::Finding;
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// What an edge is told to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Step {
    /// It is well again: it takes its part.
    Back,
    /// It is sent again what it lacks.
    Again,
    /// It is sent the whole state, and makes its tables anew.
    Renew,
    /// It leaves the directory and isn't ready, until it is well; what it has taken it finishes.
    Rest,
    /// It ends in order; the platform starts it again.
    End,
}

impl Step {
    /// For operators.
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

/// A step that is to be entered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RepairOrder {
    /// The edge.
    pub edge: u32,
    /// Its life.
    pub incarnation: u64,
    /// What it is to do.
    pub step: Step,
    /// Why.
    pub why: String,
}

/// How an edge stands.
#[derive(Clone, Debug)]
pub struct EdgeStanding {
    /// Its life.
    pub incarnation: u64,
    /// Its zone.
    pub zone: String,
    /// What was found last.
    pub finding: Finding,
    /// When that was.
    pub at: Millis,
    /// Since when it has drifted.
    pub since: Option<Millis>,
    /// The last step taken, and when.
    pub step: Option<(Step, Millis)>,
}

/// Milliseconds between two steps with one edge.
const PAUSE: Millis = 1_500;
/// Milliseconds that an edge rests before it is ended.
const RESTS: Millis = 6_000;
/// Milliseconds between the ends of two edges.
const ENDS: Millis = 30_000;
/// What was found longer ago than this says nothing.
const FRESH: Millis = 4_000;
/// One of so many edges may rest at once.
const PART: usize = 8;

/// The leader's record of all edges.
#[derive(Debug, Default)]
pub struct Repairer {
    edges: BTreeMap<u32, EdgeStanding>,
    ended: Option<Millis>,
    /// Most have drifted.
    pub most_drifted: bool,
}

impl Repairer {
    /// What a machine of the core found of an edge that it tells.
    pub fn record_finding(&mut self, now: Millis, edge: u32, incarnation: u64, zone: &str, finding: Finding) {
        let drift = finding.is_drift();
        let standing = self.edges.entry(edge).or_insert_with(|| EdgeStanding {
            incarnation,
            zone: zone.into(),
            finding: Finding::Lagging,
            at: now,
            since: None,
            step: None,
        });
        if standing.incarnation != incarnation {
            // A new life begins with nothing: what was done to the last one is over.
            (standing.incarnation, standing.since, standing.step) = (incarnation, None, None);
        }
        let well = finding == Finding::InSync;
        (standing.finding, standing.at) = (finding, now);
        if drift {
            standing.since.get_or_insert(now);
        } else if well {
            standing.since = None;
        }
    }

    /// All edges.
    pub fn edges(&self) -> impl Iterator<Item = (u32, &EdgeStanding)> {
        self.edges.iter().map(|(edge, standing)| (*edge, standing))
    }

    /// What follows. `ready`: edges that take traffic, with their zones.
    pub fn next_orders(&mut self, now: Millis, ready: &[(u32, String)]) -> Vec<RepairOrder> {
        self.edges.retain(|_, it| now.saturating_sub(it.at) < 60_000);
        let fresh = |it: &EdgeStanding| now.saturating_sub(it.at) < FRESH;
        let heard = self.edges.values().filter(|it| fresh(it)).count();
        let drifted = self.edges.values().filter(|it| fresh(it) && it.since.is_some()).count();
        // One of one, or of two, may be wrong by itself.
        self.most_drifted = drifted >= 2 && drifted * 2 > heard;
        let mut resting = self.edges.values().filter(|it| matches!(it.step, Some((Step::Rest, _)))).count();
        let mut out = Vec::new();
        for (edge, it) in &mut self.edges {
            let order = |step: Step, it: &EdgeStanding| RepairOrder {
                edge: *edge,
                incarnation: it.incarnation,
                step,
                why: it.finding.describe(),
            };
            if it.since.is_none() {
                // Well again: whatever was begun is taken back.
                if matches!(it.step, Some((Step::Rest, _))) && it.finding == Finding::InSync {
                    out.push(order(Step::Back, it));
                }
                it.step = None;
                continue;
            }
            if self.most_drifted || now.saturating_sub(it.at) >= FRESH {
                continue;
            }
            let next = match it.step {
                None => Step::Again,
                Some((_, at)) if now < at + PAUSE => continue,
                Some((Step::Again, _)) => Step::Renew,
                Some((Step::Renew, _)) => {
                    let others =
                        ready.iter().filter(|(other, zone)| other != edge && *zone == it.zone).count();
                    if others == 0 || resting >= (ready.len() / PART).max(1) {
                        continue;
                    }
                    resting += 1;
                    Step::Rest
                }
                Some((Step::Rest, at)) => {
                    let free = self.ended.is_none_or(|last| now >= last + ENDS);
                    if now < at + RESTS || !free {
                        continue;
                    }
                    self.ended = Some(now);
                    Step::End
                }
                Some((Step::End | Step::Back, _)) => continue,
            };
            it.step = Some((next, now));
            out.push(order(next, it));
        }
        out
    }
}
