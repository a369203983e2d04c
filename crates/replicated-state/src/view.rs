//! The replicated state machine. The same log entries produce the same state on every machine.

use crate::command::{Command, Deal, Node, Phase};
use crate::pack::{pack, unpack};
use milletwing_config::{Configuration, ErrorKind};
use milletwing_drift_detection::Step;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// The largest configuration in bytes. It holds about twenty thousand routes.
pub const MAX_CONFIGURATION_BYTES: usize = 4 << 20;
/// The largest decompressed state in bytes that a machine reads.
const MAX_STATE_BYTES: usize = 16 << 20;
/// The size of the state in bytes above which further additions are refused. It lies below [`MAX_STATE_BYTES`], so that
/// commands that are already in flight still fit.
pub const MAX_ADMITTED_BYTES: usize = 14 << 20;
/// An upper bound for the encoded size of an item in the state without its strings: numbers, addresses, lengths.
const ITEM_BYTES: usize = 48;
/// An upper bound for the encoded size of an edge in a deal or among those that probe a suspected marshal.
const EDGE_ENTRY_BYTES: usize = 10;
/// How many accepted configurations are remembered, to recognise one that is sent again.
const MAX_ACCEPTED: usize = 1024;
/// The highest number of evacuation orders that is counted for a zone.
const MAX_ORDERS: u32 = 3;
/// How many repair steps are remembered.
const MAX_REPAIRS: usize = 256;
/// How many ids of marshals that have left are remembered, so that a late heartbeat does not add one of them again.
const MAX_LEFT: usize = 4096;

/// Returns the SHA-256 digest that identifies a configuration.
pub fn configuration_digest(body: &[u8]) -> [u8; 32] {
    Sha256::digest(body).into()
}

impl Node {
    /// An upper bound for the encoded size of the marshal in the state.
    pub fn max_encoded_size(&self) -> usize {
        let deal = match &self.phase {
            Phase::Cold(deal) => deal.len() * EDGE_ENTRY_BYTES,
            Phase::Warm | Phase::Draining => 0,
        };
        let texts = 2 * self.id.len() + self.target.len() + self.zone.len() + self.revision.len();
        2 * ITEM_BYTES + texts + deal
    }
}

/// The state of a roll-out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RollOutState {
    /// In progress.
    Active,
    /// Ended: the new version receives all traffic.
    Completed,
    /// Ended: the earlier version receives all traffic again.
    Reverted,
}

impl RollOutState {
    /// The name in the control API.
    pub fn as_str(self) -> &'static str {
        match self {
            RollOutState::Active => "active",
            RollOutState::Completed => "completed",
            RollOutState::Reverted => "reverted",
        }
    }
}

/// The evacuation of a zone.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// The number of evacuation orders that have not been withdrawn.
    pub orders: u32,
    /// An order was withdrawn while another one remains.
    pub back: bool,
    /// How many of the orders are known to be distinct. Any other may be a retransmission of one of these.
    pub certain: u32,
}

/// A roll-out of a version.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollOut {
    /// The index of the log entry that started it.
    pub number: u64,
    /// The new version.
    pub to: String,
    /// The time within which it is to be completed, in milliseconds.
    pub period_ms: u64,
    /// Whether it is in progress or how it ended.
    pub state: RollOutState,
    /// The stage it has reached while it is in progress.
    pub stage: u32,
}

/// A committed step to repair an edge that has drifted.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Repair {
    /// The index of its log entry.
    pub index: u64,
    /// The id of the edge.
    pub edge: u32,
    /// The incarnation of the edge.
    pub incarnation: u64,
    /// What the edge is to do.
    pub step: Step,
    /// The reason.
    pub why: String,
}

/// The result of applying a command.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// The command is in effect, either by this entry or by an earlier one.
    Done,
    /// The command was refused and has no effect.
    Refused(ErrorKind),
}

/// The replicated state, as of a log entry.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The index of the last log entry applied.
    pub index: u64,
    /// The revision of the configuration in force, or 0 if there is none yet.
    pub revision: u64,
    /// The configuration in force, as it was sent.
    pub body: Arc<Vec<u8>>,
    /// Revisions and digests of the accepted configurations, oldest first.
    accepted: VecDeque<(u64, [u8; 32])>,
    /// Marshals by id.
    pub nodes: BTreeMap<String, Node>,
    /// Ids of marshals that deregistered, oldest first.
    left: VecDeque<String>,
    /// Evacuated zones by name.
    pub evacuated: BTreeMap<String, ZoneEvacuation>,
    /// The latest roll-out of each service.
    pub rollouts: BTreeMap<String, RollOut>,
    /// The version of each service that receives its traffic outside a trial.
    pub serving_versions: BTreeMap<String, String>,
    /// Steps to repair edges, oldest first. They are encoded after the derived fields, so that a state that an earlier
    /// version wrote without them can still be read.
    #[serde(skip)]
    pub repairs: VecDeque<Repair>,
    /// Marshals taken out of service because edges cannot reach them, each with the edges that go on probing it. They are
    /// encoded after `repairs`, for the same reason.
    #[serde(skip)]
    pub suspected: BTreeMap<String, Vec<u32>>,
    #[serde(skip)]
    parsed: Option<Arc<Configuration>>,
}

impl View {
    /// Encodes the state.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = postcard::to_stdvec(self).unwrap_or_default(); // encoding plain values into memory cannot fail
        let bytes = postcard::to_extend(&self.repairs, bytes).unwrap_or_default();
        postcard::to_extend(&self.suspected, bytes).unwrap_or_default()
    }

    /// Decodes a state. No bytes at all are the initial state.
    ///
    /// # Errors
    ///
    /// Describes why the bytes are not a state.
    pub fn from_bytes(bytes: &[u8]) -> Result<View, String> {
        if bytes.is_empty() {
            return Ok(View::default());
        }
        let describe = |error| format!("cannot decode state: {error}");
        let (mut view, rest): (View, &[u8]) = postcard::take_from_bytes(bytes).map_err(describe)?;
        if !rest.is_empty() {
            let (repairs, rest) = postcard::take_from_bytes(rest).map_err(describe)?;
            view.repairs = repairs;
            if !rest.is_empty() {
                view.suspected = postcard::from_bytes(rest).map_err(describe)?;
            }
        }
        if view.revision > 0 {
            view.parsed =
                Some(Arc::new(Configuration::decode(&view.body).map_err(|error| error.to_string())?));
        }
        Ok(view)
    }

    /// An upper bound for the encoded size of the state.
    pub fn max_encoded_size(&self) -> usize {
        let strings = |list: &[&str]| ITEM_BYTES + list.iter().map(|string| string.len()).sum::<usize>();
        let nodes: usize = self.nodes.values().map(Node::max_encoded_size).sum();
        let left: usize = self.left.iter().map(|id| strings(&[id])).sum();
        let versions: usize =
            self.serving_versions.iter().map(|(service, version)| strings(&[service, version])).sum();
        let rollouts: usize =
            self.rollouts.iter().map(|(service, rollout)| strings(&[service, &rollout.to])).sum();
        let evacuated: usize = self.evacuated.keys().map(|zone| strings(&[zone])).sum();
        let suspected: usize =
            self.suspected.iter().map(|(id, looks)| strings(&[id]) + looks.len() * EDGE_ENTRY_BYTES).sum();
        let repairs: usize = self.repairs.iter().map(|repair| strings(&[&repair.why])).sum();
        let accepted = self.accepted.len() * ITEM_BYTES;
        self.body.len()
            + accepted
            + nodes
            + left
            + versions
            + rollouts
            + evacuated
            + suspected
            + repairs
            + ITEM_BYTES
    }

    /// Checks whether the state has room for `additional` bytes.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::StateTooLarge`] if it has not.
    pub fn check_admission(&self, additional: usize) -> Result<(), ErrorKind> {
        let size = self.max_encoded_size() + additional;
        if size <= MAX_ADMITTED_BYTES {
            return Ok(());
        }
        Err(ErrorKind::StateTooLarge(size, MAX_ADMITTED_BYTES))
    }

    /// Encodes and compresses the state, for storage and transfer.
    pub fn to_compressed(&self) -> Vec<u8> {
        pack(&self.to_bytes(), &[]).unwrap_or_default() // writing to memory cannot fail
    }

    /// Decodes a compressed state. No bytes at all are the initial state.
    ///
    /// # Errors
    ///
    /// Describes why the bytes are not a state.
    pub fn from_compressed(packed: &[u8]) -> Result<View, String> {
        if packed.is_empty() {
            return Ok(View::default());
        }
        View::from_bytes(
            &unpack(packed, &[], MAX_STATE_BYTES)
                .map_err(|error| format!("cannot decompress state: {error}"))?,
        )
    }

    /// Returns the configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.parsed.as_ref()
    }

    /// Whether a marshal has deregistered.
    pub fn has_left(&self, id: &str) -> bool {
        self.left.iter().any(|left| left == id)
    }

    /// Whether a marshal is draining or has deregistered.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.has_left(id) || self.nodes.get(id).is_some_and(|node| node.phase == Phase::Draining)
    }

    /// Applies a log entry. A refused command changes nothing but the index.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        self.index = index;
        match command {
            Command::Configure { if_match, revision, digest, packed } => {
                self.configure(*if_match, *revision, digest, packed)
            }
            Command::NodeUp(node) => self.node_up(node),
            Command::NodeDrains { id } => {
                if let Some(node) = self.nodes.get_mut(id) {
                    node.phase = Phase::Draining;
                }
                Outcome::Done
            }
            Command::NodeGone { id, silent } => {
                self.nodes.remove(id);
                self.suspected.remove(id);
                if !silent {
                    self.remember_left(id);
                }
                Outcome::Done
            }
            Command::NodeWarm { id } => {
                self.set_phase(id, Phase::Warm);
                Outcome::Done
            }
            Command::NodeCold { id, deal } => {
                self.set_phase(id, Phase::Cold(deal.clone()));
                Outcome::Done
            }
            Command::Evacuate { zone, on, sure, deals } => self.evacuate(zone, *on, *sure, deals),
            Command::RollOut { service, revision, period_ms } => {
                self.roll_out(index, service, revision, *period_ms)
            }
            Command::Stage { service, number, stage } => {
                if let Some(rollout) = self.rollouts.get_mut(service) {
                    if rollout.number == *number && rollout.state == RollOutState::Active {
                        rollout.stage = rollout.stage.max(*stage); // a command of a deposed leader may arrive late
                    }
                }
                Outcome::Done
            }
            Command::Settle { service, number, good } => self.settle(service, *number, *good),
            Command::Suspect { id, looks } => {
                if self.nodes.contains_key(id) {
                    self.suspected.insert(id.clone(), looks.clone());
                }
                Outcome::Done
            }
            Command::Trust { id } => {
                self.suspected.remove(id);
                Outcome::Done
            }
            Command::Repair { edge, life: incarnation, step, why } => {
                let (edge, incarnation, step) = (*edge, *incarnation, *step);
                self.repairs.push_back(Repair { index, edge, incarnation, step, why: why.clone() });
                if self.repairs.len() > MAX_REPAIRS {
                    self.repairs.pop_front();
                }
                Outcome::Done
            }
        }
    }

    fn remember_left(&mut self, id: &str) {
        self.left.push_back(id.into());
        if self.left.len() > MAX_LEFT {
            self.left.pop_front();
        }
    }

    /// Sets the phase of a marshal. A draining marshal keeps its phase.
    fn set_phase(&mut self, id: &str, phase: Phase) {
        if let Some(node) = self.nodes.get_mut(id).filter(|node| node.phase != Phase::Draining) {
            node.phase = phase;
        }
    }

    /// Whether exactly this configuration has been accepted, now or earlier.
    pub fn has_accepted(&self, revision: u64, digest: &[u8; 32]) -> bool {
        self.accepted.iter().any(|(accepted, known)| *accepted == revision && known == digest)
    }

    /// Returns the command that replaces the configuration in force by `body`.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::Unreadable`] if the compression fails.
    pub fn configure_command(&self, revision: u64, body: &[u8]) -> Result<Command, ErrorKind> {
        let packed = pack(body, &self.body).map_err(|error| ErrorKind::Unreadable(error.to_string()))?;
        Ok(Command::Configure {
            if_match: self.revision,
            revision,
            digest: configuration_digest(body),
            packed,
        })
    }

    fn configure(
        &mut self,
        if_match: u64,
        revision: u64,
        expected_digest: &[u8; 32],
        packed: &[u8],
    ) -> Outcome {
        if self.has_accepted(revision, expected_digest) {
            return Outcome::Done;
        }
        if if_match != self.revision {
            return Outcome::Refused(ErrorKind::RevisionMismatch(self.revision));
        }
        let decode = || -> Result<(Vec<u8>, Configuration), ErrorKind> {
            let body = unpack(packed, &self.body, MAX_CONFIGURATION_BYTES)
                .map_err(|error| ErrorKind::Unreadable(error.to_string()))?;
            if configuration_digest(&body) != *expected_digest {
                return Err(ErrorKind::Unreadable("it does not fit its digest".into()));
            }
            let configuration = Configuration::decode(&body)?;
            Ok((body, configuration))
        };
        let (body, configuration) = match decode() {
            Ok(decoded) => decoded,
            Err(error) => return Outcome::Refused(error),
        };
        if revision <= self.revision || revision != configuration.revision {
            return Outcome::Refused(ErrorKind::OutdatedRevision(revision, self.revision));
        }
        self.revision = revision;
        self.body = Arc::new(body);
        self.parsed = Some(Arc::new(configuration));
        self.accepted.push_back((revision, *expected_digest));
        if self.accepted.len() > MAX_ACCEPTED {
            self.accepted.pop_front();
        }
        Outcome::Done
    }

    fn node_up(&mut self, node: &Node) -> Outcome {
        if self.has_left(&node.id)
            || self.nodes.get(&node.id).is_some_and(|known| known.phase == Phase::Draining)
        {
            return Outcome::Done; // a heartbeat that arrived late
        }
        // A new marshal at an address replaces the one that was known there.
        self.nodes.retain(|id, other| other.address != node.address || *id == node.id);
        let nodes = &self.nodes;
        self.suspected.retain(|id, _| nodes.contains_key(id));
        self.serving_versions.entry(node.target.clone()).or_insert_with(|| node.revision.clone());
        self.nodes.insert(node.id.clone(), node.clone());
        Outcome::Done
    }

    fn evacuate(&mut self, zone: &str, on: bool, sure: bool, deals: &[(String, Deal)]) -> Outcome {
        if on {
            let evacuation = self.evacuated.entry(zone.into()).or_insert(ZoneEvacuation {
                orders: 0,
                back: false,
                certain: 0,
            });
            // The count is bounded, since a retransmitted call counts as an order as well and is never withdrawn.
            let distinct = sure || evacuation.orders == 0;
            let certain = (evacuation.certain + u32::from(distinct)).min(MAX_ORDERS);
            *evacuation =
                ZoneEvacuation { orders: (evacuation.orders + 1).min(MAX_ORDERS), back: false, certain };
            return Outcome::Done;
        }
        let Some(evacuation) = self.evacuated.get_mut(zone) else { return Outcome::Done };
        if evacuation.orders > 1 {
            // The zone stays evacuated as long as another order for it remains.
            let certain = evacuation.certain.saturating_sub(1);
            *evacuation = ZoneEvacuation { orders: evacuation.orders - 1, back: true, certain };
            return Outcome::Done;
        }
        self.evacuated.remove(zone);
        // A marshal without a deal becomes cold and receives no requests, since it is not known to be warm.
        let ids: Vec<String> =
            self.nodes.values().filter(|node| node.zone == zone).map(|node| node.id.clone()).collect();
        for id in ids {
            let deal = deals.iter().find(|(node_id, _)| *node_id == id).map(|(_, deal)| deal.clone());
            self.set_phase(&id, Phase::Cold(deal.unwrap_or_default()));
        }
        Outcome::Done
    }

    fn roll_out(&mut self, index: u64, service: &str, revision: &str, period_ms: u64) -> Outcome {
        let is_repeat = |rollout: &RollOut| rollout.to == revision && rollout.state == RollOutState::Active;
        if self.rollouts.get(service).is_some_and(is_repeat) {
            return Outcome::Done; // the order was sent again
        }
        let state = match self.serving_versions.get(service) {
            Some(serving) if serving == revision => RollOutState::Completed,
            _ => RollOutState::Active,
        };
        let rollout = RollOut { number: index, to: revision.into(), period_ms, state, stage: 0 };
        self.rollouts.insert(service.into(), rollout);
        Outcome::Done
    }

    fn settle(&mut self, service: &str, number: u64, good: bool) -> Outcome {
        let Some(rollout) = self.rollouts.get_mut(service) else { return Outcome::Done };
        if rollout.number == number && rollout.state == RollOutState::Active {
            rollout.state = if good { RollOutState::Completed } else { RollOutState::Reverted };
            if good {
                self.serving_versions.insert(service.into(), rollout.to.clone());
            }
        }
        Outcome::Done
    }

    /// Returns the active roll-out of the version of a marshal, if that version is still on trial.
    pub fn trial(&self, node: &Node) -> Option<&RollOut> {
        let rollout = self.rollouts.get(&node.target)?;
        (rollout.state == RollOutState::Active && rollout.to == node.revision && !self.in_service(node))
            .then_some(rollout)
    }

    /// Returns whether a marshal may receive requests, judged by its phase, zone and version and by whether it is suspected;
    /// and whether its version is on trial.
    pub fn eligibility(&self, node: &Node) -> (bool, bool) {
        let on_trial = self.trial(node).is_some();
        (self.takes_traffic(node) && !self.suspected.contains_key(&node.id), on_trial)
    }

    /// Whether a marshal's phase, zone and version let it receive requests.
    pub fn takes_traffic(&self, node: &Node) -> bool {
        let on_trial = self.trial(node).is_some();
        node.phase != Phase::Draining
            && !self.evacuated.contains_key(&node.zone)
            && (on_trial || self.in_service(node))
    }

    /// Whether an edge retests a suspected marshal with requests: only one that is out of service for nothing else.
    pub fn is_retested_by(&self, node: &Node, edge: u32) -> bool {
        self.takes_traffic(node) && self.suspected.get(&node.id).is_some_and(|edges| edges.contains(&edge))
    }

    /// Whether an incarnation of an edge was taken out of service to be repaired.
    pub fn is_resting(&self, edge: u32, incarnation: u64) -> bool {
        let last =
            self.repairs.iter().rev().find(|repair| (repair.edge, repair.incarnation) == (edge, incarnation));
        last.is_some_and(|repair| matches!(repair.step, Step::Rest | Step::End))
    }

    /// Whether the version of a marshal receives the traffic of its service outside a trial.
    pub fn in_service(&self, node: &Node) -> bool {
        self.serving_versions.get(&node.target).is_none_or(|serving| *serving == node.revision)
    }
}
