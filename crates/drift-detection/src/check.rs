//! Holds what an edge says it routes by against what the core's entries make of it, as of the same entry. Each machine of
//! the core checks the edges that it tells; all of them fold the same entries.

use crate::digest::{Digest, Part};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What an edge routes by, as of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// The last entry that it has folded.
    pub index: u64,
    /// The digest of its tables in use.
    pub digest: Digest,
}

/// A decision, as the core checks it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The configuration by which it was made.
    pub revision: u64,
    /// The request's attempt id.
    pub attempt: String,
    /// Its `Host`.
    pub host: String,
    /// Its path.
    pub path: String,
    /// The route that it was given.
    pub route: String,
    /// The service that was drawn.
    pub service: String,
    /// The marshal's life that it went to.
    pub marshal: String,
}

/// What is found of an edge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// It routes by what was agreed.
    InSync,
    /// It is a little behind, as it may be.
    Lagging,
    /// It routes by what was agreed before, for longer than it may.
    Stale,
    /// As of the same entry it routes by something else, in these parts.
    Mismatch(Vec<Part>),
    /// It has folded what was never agreed.
    Ahead,
    /// It says that it lives, and nothing of what it routes by.
    Stuck,
    /// A decision of its own contradicts what it says it routes by.
    Contradiction(String),
}

impl Finding {
    /// Whether it is drift.
    pub fn is_drift(&self) -> bool {
        !matches!(self, Finding::InSync | Finding::Lagging)
    }

    /// For operators.
    pub fn describe(&self) -> String {
        match self {
            Finding::InSync => "well".into(),
            Finding::Lagging => "lags".into(),
            Finding::Stale => "older".into(),
            Finding::Mismatch(parts) => {
                let words: Vec<&str> = parts.iter().map(|part| part.as_str()).collect();
                format!("partial: {}", words.join(", "))
            }
            Finding::Ahead => "too new".into(),
            Finding::Stuck => "stuck".into(),
            Finding::Contradiction(what) => format!("contradicts itself: {what}"),
        }
    }
}

/// The core's own digests kept: at five a second as many as cover every lag that is allowed.
const KEPT: usize = 128;

/// Milliseconds without a beat after which an edge is out of touch.
const SILENT: Millis = 1_500;

struct Own {
    index: u64,
    at: Millis,
    digest: Digest,
}

struct Told {
    incarnation: u64,
    /// When it reflected last, or was first heard after a silence.
    at: Millis,
    /// When it was heard last, and since when this machine tells it.
    heard: Millis,
    attached: Millis,
}

/// One core machine's checks of the edges that it tells.
pub struct Checker {
    /// Milliseconds that an edge may be behind.
    lag: Millis,
    own: VecDeque<Own>,
    edges: BTreeMap<u32, Told>,
    /// Digests compared.
    pub checked: u64,
    /// Those of them that differed.
    pub differed: u64,
}

impl Checker {
    /// Of edges that may be behind for so long.
    pub fn new(lag: Millis) -> Checker {
        Checker { lag, own: VecDeque::new(), edges: BTreeMap::new(), checked: 0, differed: 0 }
    }

    /// The last entry that the core's own digest was made of.
    pub fn last_index(&self) -> Option<u64> {
        self.own.back().map(|own| own.index)
    }

    /// The core's own digest as of an entry, without the parts that are an edge's own.
    pub fn record_core_digest(&mut self, now: Millis, index: u64, digest: Digest) {
        if self.last_index().is_none_or(|last| last < index) {
            self.own.push_back(Own { index, at: now, digest });
        }
        if self.own.len() > KEPT {
            self.own.pop_front();
        }
    }

    /// The core's own digest as of an entry, if it is kept.
    pub fn core_digest(&self, index: u64) -> Option<&Digest> {
        self.own.iter().rev().find(|own| own.index == index).map(|own| &own.digest)
    }

    /// An edge is told by this machine from now on, or no more.
    pub fn attach(&mut self, now: Millis, edge: u32, incarnation: u64) {
        self.edges.insert(edge, Told { incarnation, at: now, heard: now, attached: now });
    }

    /// An edge was heard, and has folded so much. After a silence it has its time anew: it was frozen, or cut off. `fresh`: this
    /// machine hears its leader.
    pub fn record_heartbeat(&mut self, now: Millis, edge: u32, index: u64, fresh: bool) -> Option<Finding> {
        let last = self.last_index();
        let told = self.edges.get_mut(&edge)?;
        let anew = now.saturating_sub(told.heard) > SILENT;
        told.heard = now;
        // Guards against naming edges of a machine that itself is behind, or has just come up: an edge says what it routes by
        // when both stand at the same entry.
        if anew || !fresh || last != Some(index) {
            told.at = now;
        }
        if anew || !fresh {
            told.attached = now;
        }
        let over = |at: Millis| now.saturating_sub(at) > self.lag;
        let next = self.own.iter().find(|own| own.index > index);
        (over(told.attached) && next.is_some_and(|next| over(next.at))).then_some(Finding::Stale)
    }

    /// An edge is no longer told by this machine: it may be elsewhere, which is for others to say.
    pub fn detach(&mut self, edge: u32, incarnation: u64) {
        if self.edges.get(&edge).is_some_and(|told| told.incarnation == incarnation) {
            self.edges.remove(&edge);
        }
    }

    /// What an edge says it routes by. `wanted`: the core's digest for that edge, as of the entry that the edge names, where
    /// it is kept. `fresh`: this machine hears its leader, so that what it has folded is what there is.
    pub fn check(
        &mut self,
        now: Millis,
        edge: u32,
        table_digest: &TableDigest,
        wanted: Option<Digest>,
        fresh: bool,
    ) -> Finding {
        if let Some(told) = self.edges.get_mut(&edge) {
            told.at = now;
        }
        if let Some(wanted) = wanted {
            self.checked += 1;
            let parts = wanted.differing_parts(&table_digest.digest);
            self.differed += u64::from(!parts.is_empty());
            if !parts.is_empty() {
                return Finding::Mismatch(parts);
            }
        }
        let Some(last) = self.own.back() else { return Finding::Lagging };
        if table_digest.index > last.index {
            // Guards against naming an edge that was told by another machine which is ahead of this one.
            let settled = fresh && now.saturating_sub(last.at) > self.lag;
            return if settled { Finding::Ahead } else { Finding::Lagging };
        }
        // Whether it is behind its beats tell.
        if wanted.is_some() {
            Finding::InSync
        } else {
            Finding::Lagging
        }
    }

    /// Edges that have said nothing of what they route by for longer than they may.
    pub fn unreporting_edges(&self, now: Millis) -> Vec<(u32, u64)> {
        let over = self.lag + 2_000;
        let silent = self.edges.iter().filter(|(_, told)| {
            // Guards against naming one that is not heard at all: of that nothing is known.
            now.saturating_sub(told.heard) <= SILENT && now.saturating_sub(told.at) > over
        });
        silent.map(|(edge, told)| (*edge, told.incarnation)).collect()
    }
}
