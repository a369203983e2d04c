//! Holds what an edge says it routes by against what the core's entries make of it, as of the same entry. Each machine of
//! the core checks the edges that it tells; all of them fold the same entries.

use crate::digest::{Digest, Part};
use crate::Time;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// What an edge routes by, as of an entry.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reflection {
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
    Well,
    /// It is a little behind, as it may be.
    Lags,
    /// It routes by what was agreed before, for longer than it may.
    Older,
    /// As of the same entry it routes by something else, in these parts.
    Partial(Vec<Part>),
    /// It has folded what was never agreed.
    Ahead,
    /// It says that it lives, and nothing of what it routes by.
    Stuck,
    /// A decision of its own contradicts what it says it routes by.
    Contradicts(String),
}

impl Finding {
    /// Whether it is drift.
    pub fn drift(&self) -> bool {
        !matches!(self, Finding::Well | Finding::Lags)
    }

    /// For operators.
    pub fn word(&self) -> String {
        match self {
            Finding::Well => "well".into(),
            Finding::Lags => "lags".into(),
            Finding::Older => "older".into(),
            Finding::Partial(parts) => {
                let words: Vec<&str> = parts.iter().map(|part| part.word()).collect();
                format!("partial: {}", words.join(", "))
            }
            Finding::Ahead => "too new".into(),
            Finding::Stuck => "stuck".into(),
            Finding::Contradicts(what) => format!("contradicts itself: {what}"),
        }
    }
}

/// The core's own digests kept: at five a second as many as cover every lag that is allowed.
const KEPT: usize = 128;

/// Milliseconds without a beat after which an edge is out of touch.
const SILENT: Time = 1_500;

struct Own {
    index: u64,
    at: Time,
    digest: Digest,
}

struct Told {
    life: u64,
    /// When it reflected last, or was first heard after a silence.
    at: Time,
    /// When it was heard last, and since when this machine tells it.
    heard: Time,
    attached: Time,
}

/// One core machine's checks of the edges that it tells.
pub struct Checker {
    /// Milliseconds that an edge may be behind.
    lag: Time,
    own: VecDeque<Own>,
    edges: BTreeMap<u32, Told>,
    /// Digests compared.
    pub checked: u64,
    /// Those of them that differed.
    pub differed: u64,
}

impl Checker {
    /// Of edges that may be behind for so long.
    pub fn new(lag: Time) -> Checker {
        Checker { lag, own: VecDeque::new(), edges: BTreeMap::new(), checked: 0, differed: 0 }
    }

    /// The last entry that the core's own digest was made of.
    pub fn index(&self) -> Option<u64> {
        self.own.back().map(|own| own.index)
    }

    /// The core's own digest as of an entry, without the parts that are an edge's own.
    pub fn own(&mut self, now: Time, index: u64, digest: Digest) {
        if self.index().is_none_or(|last| last < index) {
            self.own.push_back(Own { index, at: now, digest });
        }
        if self.own.len() > KEPT {
            self.own.pop_front();
        }
    }

    /// The core's own digest as of an entry, if it is kept.
    pub fn kept(&self, index: u64) -> Option<&Digest> {
        self.own.iter().rev().find(|own| own.index == index).map(|own| &own.digest)
    }

    /// An edge is told by this machine from now on, or no more.
    pub fn attach(&mut self, now: Time, edge: u32, life: u64) {
        self.edges.insert(edge, Told { life, at: now, heard: now, attached: now });
    }

    /// An edge was heard, and has folded so much. After a silence it has its time anew: it was frozen, or cut off. `fresh`: this
    /// machine hears its leader.
    pub fn heard(&mut self, now: Time, edge: u32, index: u64, fresh: bool) -> Option<Finding> {
        let last = self.index();
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
        let over = |at: Time| now.saturating_sub(at) > self.lag;
        let next = self.own.iter().find(|own| own.index > index);
        (over(told.attached) && next.is_some_and(|next| over(next.at))).then_some(Finding::Older)
    }

    /// An edge is no longer told by this machine: it may be elsewhere, which is for others to say.
    pub fn detach(&mut self, edge: u32, life: u64) {
        if self.edges.get(&edge).is_some_and(|told| told.life == life) {
            self.edges.remove(&edge);
        }
    }

    /// What an edge says it routes by. `wanted`: the core's digest for that edge, as of the entry that the edge names, where
    /// it is kept. `fresh`: this machine hears its leader, so that what it has folded is what there is.
    pub fn check(
        &mut self,
        now: Time,
        edge: u32,
        reflection: &Reflection,
        wanted: Option<Digest>,
        fresh: bool,
    ) -> Finding {
        if let Some(told) = self.edges.get_mut(&edge) {
            told.at = now;
        }
        if let Some(wanted) = wanted {
            self.checked += 1;
            let parts = wanted.differs(&reflection.digest);
            self.differed += u64::from(!parts.is_empty());
            if !parts.is_empty() {
                return Finding::Partial(parts);
            }
        }
        let Some(last) = self.own.back() else { return Finding::Lags };
        if reflection.index > last.index {
            // Guards against naming an edge that was told by another machine which is ahead of this one.
            let settled = fresh && now.saturating_sub(last.at) > self.lag;
            return if settled { Finding::Ahead } else { Finding::Lags };
        }
        // Whether it is behind its beats tell.
        if wanted.is_some() {
            Finding::Well
        } else {
            Finding::Lags
        }
    }

    /// Edges that have said nothing of what they route by for longer than they may.
    pub fn silent(&self, now: Time) -> Vec<(u32, u64)> {
        let over = self.lag + 2_000;
        let silent = self.edges.iter().filter(|(_, told)| {
            // Guards against naming one that is not heard at all: of that nothing is known.
            now.saturating_sub(told.heard) <= SILENT && now.saturating_sub(told.at) > over
        });
        silent.map(|(edge, told)| (*edge, told.life)).collect()
    }
}
