//! What an entry of the log says.

use milletwing_drift_detection::Step;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// Who may send a cold marshal how much: an edge's number, and requests in any second. Who is not named sends nothing.
pub type Deal = Vec<(u32, u32)>;

/// How far a marshal is.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Bears little: only what is dealt out.
    Cold(Deal),
    /// Takes its part.
    Warm,
    /// Leaves: nothing new goes there.
    Draining,
}

/// A marshal's life.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// New with each start.
    pub id: String,
    /// Its service.
    pub target: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// The version of its software.
    pub revision: String,
    /// Requests that it works on at once.
    pub capacity: u32,
    /// How far it is.
    pub phase: Phase,
}

/// An entry.
#[allow(missing_docs)] // each variant's line says what its fields are
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// A configuration on top of a revision: its number, the digest of its bytes as they were sent, and those bytes packed
    /// as what differs from the configuration before.
    Configure { if_match: u64, revision: u64, digest: [u8; 32], packed: Vec<u8> },
    /// A marshal's life begins.
    NodeUp(Node),
    /// It leaves, as it said itself.
    NodeDrains { id: String },
    /// It is gone: it said so, or it is silent.
    NodeGone { id: String, silent: bool },
    /// It takes its part from now on.
    NodeWarm { id: String },
    /// It has turned cold.
    NodeCold { id: String, deal: Deal },
    /// A zone is emptied; or taken back, its marshals cold until they are known to be warm. `sure`: an order that can't be an
    /// earlier one sent again.
    Evacuate { zone: String, on: bool, sure: bool, deals: Vec<(String, Deal)> },
    /// A version is to be brought in, within so many milliseconds.
    RollOut { service: String, revision: String, period_ms: u64 },
    /// A roll-out moves to a stage.
    Stage { service: String, number: u64, stage: u32 },
    /// A roll-out ends: the new version stays, or goes back.
    Settle { service: String, number: u64, good: bool },
    /// A marshal that edges find gone is taken out, but for looks of these edges.
    Suspect { id: String, looks: Vec<u32> },
    /// It takes its part again.
    Trust { id: String },
    /// An edge that has drifted, in this life of it, is to be brought back by this step; and why.
    Repair { edge: u32, life: u64, step: Step, why: String },
}

impl Command {
    /// Its bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // plain values can't fail
    }

    /// From its bytes. The error says what doesn't fit.
    pub fn from_bytes(bytes: &[u8]) -> Result<Command, String> {
        postcard::from_bytes(bytes).map_err(|problem| format!("entry: {problem}"))
    }
}
