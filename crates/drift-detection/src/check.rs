//! Compares the routing state that an edge reports with the one that the core derives from the same log entry. Each core machine
//! checks the edges that are connected to it; all core machines apply the same entries.

use crate::digest::{Digest, Part};
use crate::Millis;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// The digest of the routing state of an edge, as of a log entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TableDigest {
    /// The last log entry that the edge has applied.
    pub index: u64,
    /// The digest of the tables it routes with.
    pub digest: Digest,
}

/// A routing decision that an edge reports to be checked by the core.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Sample {
    /// The revision of the configuration with which it was made.
    pub revision: u64,
    /// The attempt id of the request.
    pub attempt: String,
    /// The `Host` of the request.
    pub host: String,
    /// The path of the request.
    pub path: String,
    /// The name of the route that matched.
    pub route: String,
    /// The service that was chosen.
    pub service: String,
    /// The id of the marshal that received the request.
    pub marshal: String,
}

/// The result of checking an edge.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Finding {
    /// The edge routes by the committed state.
    InSync,
    /// The edge is behind, but within the allowed lag.
    Lagging,
    /// The edge has routed by an earlier state for longer than the allowed lag.
    Stale,
    /// As of the same entry, the state of the edge differs in these parts.
    Mismatch(Vec<Part>),
    /// The edge has applied an entry that was never committed.
    Ahead,
    /// The edge sends heartbeats without reporting its routing state.
    Stuck,
    /// A decision of the edge contradicts the routing state it reports.
    Contradiction(String),
}

impl Finding {
    /// Whether the finding is drift.
    pub fn is_drift(&self) -> bool {
        !matches!(self, Finding::InSync | Finding::Lagging)
    }

    /// Describes the finding for operators.
    pub fn describe(&self) -> String {
        match self {
            Finding::InSync => "well".into(),
            Finding::Lagging => "lags".into(),
            Finding::Stale => "older".into(),
            Finding::Mismatch(parts) => {
                let names: Vec<&str> = parts.iter().map(|part| part.as_str()).collect();
                format!("partial: {}", names.join(", "))
            }
            Finding::Ahead => "too new".into(),
            Finding::Stuck => "stuck".into(),
            Finding::Contradiction(what) => format!("contradicts itself: {what}"),
        }
    }
}

/// The number of digests of the core that are kept. At five per second they cover every allowed lag.
const MAX_CORE_DIGESTS: usize = 128;

/// The time without a heartbeat after which an edge counts as unreachable.
const SILENCE_TIMEOUT_MS: Millis = 1_500;

/// The digest of the core as of a log entry.
struct CoreDigest {
    index: u64,
    recorded_at: Millis,
    digest: Digest,
}

/// An edge that is connected to this machine.
struct EdgeRecord {
    incarnation: u64,
    /// When the edge last reported its routing state, or was first heard after a silence.
    reported_at: Millis,
    /// When the edge was last heard.
    heard_at: Millis,
    /// Since when the edge has been heard without a silence while this machine has heard its leader.
    attached_at: Millis,
}

/// The checks of one core machine of the edges that are connected to it.
pub struct Checker {
    /// The time that an edge may be behind.
    max_lag: Millis,
    core_digests: VecDeque<CoreDigest>,
    edges: BTreeMap<u32, EdgeRecord>,
    /// The number of digests compared.
    pub checked: u64,
    /// The number of digests that differed.
    pub differed: u64,
}

impl Checker {
    /// Creates a checker of edges that may be behind for up to `max_lag`.
    pub fn new(max_lag: Millis) -> Checker {
        Checker { max_lag, core_digests: VecDeque::new(), edges: BTreeMap::new(), checked: 0, differed: 0 }
    }

    /// Returns the log entry of the latest core digest.
    pub fn last_index(&self) -> Option<u64> {
        self.core_digests.back().map(|entry| entry.index)
    }

    /// Records the digest of the core as of a log entry, without the parts that are specific to an edge.
    pub fn record_core_digest(&mut self, now: Millis, index: u64, digest: Digest) {
        if self.last_index().is_none_or(|last| last < index) {
            self.core_digests.push_back(CoreDigest { index, recorded_at: now, digest });
        }
        if self.core_digests.len() > MAX_CORE_DIGESTS {
            self.core_digests.pop_front();
        }
    }

    /// Returns the digest of the core as of a log entry, if it is kept.
    pub fn core_digest(&self, index: u64) -> Option<&Digest> {
        self.core_digests.iter().rev().find(|entry| entry.index == index).map(|entry| &entry.digest)
    }

    /// Records that an edge is connected to this machine from now on.
    pub fn attach(&mut self, now: Millis, edge: u32, incarnation: u64) {
        self.edges
            .insert(edge, EdgeRecord { incarnation, reported_at: now, heard_at: now, attached_at: now });
    }

    /// Records a heartbeat of an edge that has applied the log up to `index`. After a silence the allowed lag starts again, since
    /// the edge was suspended or disconnected. `leader_contact` tells whether this machine hears its leader.
    pub fn record_heartbeat(
        &mut self,
        now: Millis,
        edge: u32,
        index: u64,
        leader_contact: bool,
    ) -> Option<Finding> {
        let last = self.last_index();
        let record = self.edges.get_mut(&edge)?;
        let was_silent = now.saturating_sub(record.heard_at) > SILENCE_TIMEOUT_MS;
        record.heard_at = now;
        // An edge reports its routing state when it and this machine are at the same entry. A machine that is behind or has just
        // started must not blame its edges.
        if was_silent || !leader_contact || last != Some(index) {
            record.reported_at = now;
        }
        if was_silent || !leader_contact {
            record.attached_at = now;
        }
        let exceeds_lag = |since: Millis| now.saturating_sub(since) > self.max_lag;
        let next = self.core_digests.iter().find(|digest| digest.index > index);
        (exceeds_lag(record.attached_at) && next.is_some_and(|next| exceeds_lag(next.recorded_at)))
            .then_some(Finding::Stale)
    }

    /// Records that an edge is no longer connected to this machine. It may be connected to another one, which then checks it.
    pub fn detach(&mut self, edge: u32, incarnation: u64) {
        if self.edges.get(&edge).is_some_and(|record| record.incarnation == incarnation) {
            self.edges.remove(&edge);
        }
    }

    /// Checks the routing state that an edge reports. `expected` is the digest of the core for that edge as of the reported entry,
    /// if it is kept. `leader_contact` tells whether this machine hears its leader and therefore has all committed entries.
    pub fn check(
        &mut self,
        now: Millis,
        edge: u32,
        table_digest: &TableDigest,
        expected: Option<Digest>,
        leader_contact: bool,
    ) -> Finding {
        if let Some(record) = self.edges.get_mut(&edge) {
            record.reported_at = now;
        }
        if let Some(expected) = expected {
            self.checked += 1;
            let parts = expected.differing_parts(&table_digest.digest);
            self.differed += u64::from(!parts.is_empty());
            if !parts.is_empty() {
                return Finding::Mismatch(parts);
            }
        }
        let Some(last) = self.core_digests.back() else { return Finding::Lagging };
        if table_digest.index > last.index {
            // The edge may have been connected to another machine that is ahead of this one.
            let caught_up = leader_contact && now.saturating_sub(last.recorded_at) > self.max_lag;
            return if caught_up { Finding::Ahead } else { Finding::Lagging };
        }
        // Whether the edge is behind is decided by its heartbeats.
        if expected.is_some() {
            Finding::InSync
        } else {
            Finding::Lagging
        }
    }

    /// Returns the edges that have not reported their routing state for longer than allowed, each with its incarnation.
    pub fn unreporting_edges(&self, now: Millis) -> Vec<(u32, u64)> {
        let limit = self.max_lag + 2_000;
        let unreporting = self.edges.iter().filter(|(_, record)| {
            // An edge that is not heard at all is excluded, since nothing is known of it.
            now.saturating_sub(record.heard_at) <= SILENCE_TIMEOUT_MS
                && now.saturating_sub(record.reported_at) > limit
        });
        unreporting.map(|(edge, record)| (*edge, record.incarnation)).collect()
    }
}
