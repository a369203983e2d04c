//! Commands: the contents of the entries in the replicated log.

use milletwing_drift_detection::Step;
use serde::{Deserialize, Serialize};
use std::net::SocketAddrV4;

/// How much each edge may send to a cold marshal: pairs of an edge id and requests per second. An edge that is not listed
/// sends nothing.
pub type Deal = Vec<(u32, u32)>;

/// The lifecycle phase of a marshal.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Phase {
    /// Warming up: each edge sends no more than its share in the deal.
    Cold(Deal),
    /// Receives its normal share of the traffic.
    Warm,
    /// Shutting down: it receives no new requests.
    Draining,
}

/// A marshal, from one start of its process to its end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Node {
    /// The id, which is new with each start of the process.
    pub id: String,
    /// The name of its service.
    pub target: String,
    /// The address on which it listens.
    pub address: SocketAddrV4,
    /// The zone it runs in.
    pub zone: String,
    /// The version of its software.
    pub revision: String,
    /// The number of requests that it processes concurrently.
    pub capacity: u32,
    /// Its lifecycle phase.
    pub phase: Phase,
}

/// A command in the replicated log.
#[allow(missing_docs)] // the doc comment of each variant explains its fields
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// Replaces the configuration `if_match` by `revision`. `digest` is the digest of the bytes as they were sent; `packed`
    /// holds those bytes, compressed as a delta against the configuration in force.
    Configure { if_match: u64, revision: u64, digest: [u8; 32], packed: Vec<u8> },
    /// Adds a marshal.
    NodeUp(Node),
    /// Marks a marshal as draining, as it reported itself.
    NodeDrains { id: String },
    /// Removes a marshal that deregistered or, if `silent`, stopped sending heartbeats.
    NodeGone { id: String, silent: bool },
    /// Marks a marshal as warm.
    NodeWarm { id: String },
    /// Marks a marshal as cold.
    NodeCold { id: String, deal: Deal },
    /// Evacuates a zone if `on`; otherwise returns it to service, with its marshals cold until they are known to be warm.
    /// `sure` marks an order that cannot be a retransmission of an earlier one.
    Evacuate { zone: String, on: bool, sure: bool, deals: Vec<(String, Deal)> },
    /// Starts rolling out a version, to be completed within `period_ms`.
    RollOut { service: String, revision: String, period_ms: u64 },
    /// Moves a roll-out to a stage.
    Stage { service: String, number: u64, stage: u32 },
    /// Ends a roll-out: the new version is kept if `good`, and reverted otherwise.
    Settle { service: String, number: u64, good: bool },
    /// Takes a marshal that edges cannot reach out of service. Only the edges in `looks` go on probing it.
    Suspect { id: String, looks: Vec<u32> },
    /// Returns a suspected marshal to service.
    Trust { id: String },
    /// Repairs an edge that has drifted by one step, for the reason `why`. `life` is the incarnation of the edge.
    Repair { edge: u32, life: u64, step: Step, why: String },
}

/// What a command changes.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The configuration.
    Configuration,
    /// The marshal with this id.
    Marshal(String),
    /// The evacuation of this zone.
    Zone(String),
    /// The roll-outs of this service.
    Service(String),
    /// The edge with this id.
    Edge(u32),
}

impl Command {
    /// Returns what the command changes.
    pub fn subject(&self) -> Subject {
        match self {
            Command::Configure { .. } => Subject::Configuration,
            Command::NodeUp(node) => Subject::Marshal(node.id.clone()),
            Command::NodeDrains { id }
            | Command::NodeGone { id, .. }
            | Command::NodeWarm { id }
            | Command::NodeCold { id, .. }
            | Command::Suspect { id, .. }
            | Command::Trust { id } => Subject::Marshal(id.clone()),
            Command::Evacuate { zone, .. } => Subject::Zone(zone.clone()),
            Command::RollOut { service, .. }
            | Command::Stage { service, .. }
            | Command::Settle { service, .. } => Subject::Service(service.clone()),
            Command::Repair { edge, .. } => Subject::Edge(*edge),
        }
    }

    /// Encodes the command for the log.
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_stdvec(self).unwrap_or_default() // encoding plain values into memory cannot fail
    }

    /// Decodes a command.
    ///
    /// # Errors
    ///
    /// Describes why the bytes are not a command.
    pub fn from_bytes(bytes: &[u8]) -> Result<Command, String> {
        postcard::from_bytes(bytes).map_err(|error| format!("cannot decode log entry: {error}"))
    }
}
