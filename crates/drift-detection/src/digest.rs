//! What an edge routes by, in a few bytes: a tree of two levels, SHA-256 at its leaves. A part's digest is the sum of its
//! leaves', so that the order in which tables are walked does not matter; two tables that differ in one leaf or more have
//! the same sum once in 2^128.

use serde::{Deserialize, Serialize};
use sha2::{Digest as _, Sha256};

/// A part of what an edge routes by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Part {
    /// Routes by host and prefix, with their shares and limits.
    Routes,
    /// Lives of marshals: service, address, and whether they may be sent to.
    Hosts,
    /// What this edge may send to cold ones.
    Deals,
    /// Stages of trials.
    Trials,
    /// Tenants with their homes and priorities, and digests of their keys.
    Tenants,
}

impl Part {
    /// All of them, in the order of a digest.
    pub const ALL: [Part; 5] = [Part::Routes, Part::Hosts, Part::Deals, Part::Trials, Part::Tenants];

    /// For operators.
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

/// Takes the leaves of what is routed by.
pub trait LeafSink {
    /// One thing, by its name, with all that matters about it.
    fn leaf(&mut self, part: Part, name: &str, about: &[&[u8]]);
}

fn hash(part: Part, name: &str, about: &[&[u8]]) -> u128 {
    let mut hasher = Sha256::new();
    hasher.update([part as u8]);
    for field in std::iter::once(&name.as_bytes()).chain(about) {
        // Lengths go before, so that no two lists of fields have the same bytes.
        hasher.update((field.len() as u32).to_be_bytes());
        hasher.update(field);
    }
    let bytes: [u8; 32] = hasher.finalize().into();
    bytes.iter().take(16).fold(0, |sum, byte| (sum << 8) | u128::from(*byte))
}

/// The digests of the parts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Digest {
    parts: [u128; Part::ALL.len()],
}

impl LeafSink for Digest {
    fn leaf(&mut self, part: Part, name: &str, about: &[&[u8]]) {
        let sum = &mut self.parts[part as usize];
        *sum = sum.wrapping_add(hash(part, name, about));
    }
}

impl Digest {
    /// The same, but for one part that is as another has it.
    pub fn with_part_of(mut self, other: &Digest, part: Part) -> Digest {
        self.parts[part as usize] = other.parts[part as usize];
        self
    }

    /// The parts in which two differ.
    pub fn differing_parts(&self, other: &Digest) -> Vec<Part> {
        Part::ALL
            .into_iter()
            .filter(|part| self.parts[*part as usize] != other.parts[*part as usize])
            .collect()
    }
}

/// Leaves by name, for those who want to know which of them differ.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeafHashes(pub Vec<(Part, String, u64)>);

impl LeafSink for LeafHashes {
    fn leaf(&mut self, part: Part, name: &str, about: &[&[u8]]) {
        self.0.push((part, name.into(), hash(part, name, about) as u64));
    }
}

impl LeafHashes {
    /// What is missing there, what is there beside it, and what differs: so many at most.
    pub fn differences(&self, other: &LeafHashes, most: usize) -> Vec<String> {
        let find = |names: &LeafHashes, part: Part, name: &str| {
            names.0.iter().find(|it| it.0 == part && it.1 == name).map(|it| it.2)
        };
        let mut out = Vec::new();
        for (part, name, hash) in &self.0 {
            match find(other, *part, name) {
                None => out.push(format!("{} {name} is missing", part.as_str())),
                Some(theirs) if theirs != *hash => out.push(format!("{} {name} differs", part.as_str())),
                Some(_) => {}
            }
        }
        let extra = other.0.iter().filter(|it| find(self, it.0, &it.1).is_none());
        out.extend(extra.map(|(part, name, _)| format!("{} {name} is too many", part.as_str())));
        out.truncate(most);
        out
    }
}
