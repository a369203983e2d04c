//! Digests of the routing state of an edge. A digest is a tree of two levels with SHA-256 hashes as its leaves. The digest of a
//! part is the sum of the hashes of its leaves, so that the order in which tables are traversed does not matter. Two tables that
//! differ in at least one leaf have the same sum with a probability of 1 in 2^128.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A part of the routing state of an edge.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    /// Routes by host and prefix, with their shares and limits.
    Routes,
    /// Marshals: their services and addresses, and whether they may receive requests.
    Hosts,
    /// The request rates at which this edge may send to cold marshals.
    Deals,
    /// The stages of trials.
    Trials,
    /// Tenants: their serving regions, their priorities and the digests of their keys.
    Tenants,
}

impl Part {
    /// All parts, in the order in which a digest holds them.
    pub const ALL: [Part; 5] = [Part::Routes, Part::Hosts, Part::Deals, Part::Trials, Part::Tenants];

    /// The name of the part, as operators see it.
    pub fn as_str(self) -> &'static str {
        match self {
            Part::Routes => "routes",
            Part::Hosts => "hosts",
            Part::Deals => "deals",
            Part::Trials => "trials",
            Part::Tenants => "tenants",
        }
    }
}

/// Receives the leaves of a routing state.
pub trait LeafSink {
    /// Adds an item with its name and the encodings of all its properties.
    fn leaf(&mut self, part: Part, name: &str, properties: &[&[u8]]);
}

fn hash(part: Part, name: &str, properties: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    hasher.update([part as u8]);
    for field in std::iter::once(&name.as_bytes()).chain(properties) {
        // The length precedes each field, so that different lists of fields never have the same bytes.
        hasher.update((field.len() as u32).to_be_bytes());
        hasher.update(field);
    }
    let bytes: [u8; 32] = hasher.finalize().into();
    bytes.iter().take(16).fold(0, |sum, byte| (sum << 8) | u128::from(*byte))
}

/// The digest of a routing state, with one sum for each part.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    sums: [u128; Part::ALL.len()],
}

impl LeafSink for Digest {
    fn leaf(&mut self, part: Part, name: &str, properties: &[&[u8]]) {
        let sum = &mut self.sums[part as usize];
        *sum = sum.wrapping_add(hash(part, name, properties));
    }
}

impl Digest {
    /// Returns this digest with one part replaced by that of `other`.
    pub fn with_part_of(mut self, other: &Digest, part: Part) -> Digest {
        self.sums[part as usize] = other.sums[part as usize];
        self
    }

    /// Returns the parts in which two digests differ.
    pub fn differing_parts(&self, other: &Digest) -> Vec<Part> {
        Part::ALL.into_iter().filter(|part| self.sums[*part as usize] != other.sums[*part as usize]).collect()
    }
}

/// The hashes of all leaves with their names, to find out which leaves differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafHashes(pub Vec<(Part, String, u64)>);

impl LeafSink for LeafHashes {
    fn leaf(&mut self, part: Part, name: &str, properties: &[&[u8]]) {
        self.0.push((part, name.into(), hash(part, name, properties) as u64));
    }
}

impl LeafHashes {
    /// Describes the leaves that are missing from `other`, differ there, or are only there: `max_count` at most.
    pub fn differences(&self, other: &LeafHashes, max_count: usize) -> Vec<String> {
        let find = |hashes: &LeafHashes, part: Part, name: &str| {
            hashes.0.iter().find(|leaf| leaf.0 == part && leaf.1 == name).map(|leaf| leaf.2)
        };
        let mut out = Vec::new();
        for (part, name, hash) in &self.0 {
            match find(other, *part, name) {
                None => out.push(format!("{} {name} is missing", part.as_str())),
                Some(theirs) if theirs != *hash => out.push(format!("{} {name} differs", part.as_str())),
                Some(_) => {}
            }
        }
        let extra = other.0.iter().filter(|leaf| find(self, leaf.0, &leaf.1).is_none());
        out.extend(extra.map(|(part, name, _)| format!("{} {name} is too many", part.as_str())));
        out.truncate(max_count);
        out
    }
}
