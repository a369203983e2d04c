//! The state folded from the log. The same entries give the same state everywhere.

use crate::command::{Command, Deal, Node, Phase};
use crate::pack::{pack, unpack};
use milletwing_config::{Configuration, ErrorKind};
use milletwing_drift_detection::Step;
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

/// Bytes of a configuration: one of some twenty thousand routes.
pub const MAX_CONFIGURATION_BYTES: usize = 4 << 20;
/// Bytes of a state unpacked that a machine reads.
const MOST_STATE: usize = 16 << 20;
/// Bytes of a state beyond which nothing more is taken into it: what is on its way at that moment still fits.
pub const MAX_ADMITTED_BYTES: usize = 14 << 20;
/// Bytes of an item in the state beside its strings, at most: numbers, addresses, lengths.
const ITEM: usize = 48;
/// Bytes of one edge's part of a cold marshal, at most.
const PART: usize = 10;
/// Configurations remembered, so that one sent again is known as taken.
const REMEMBERED: usize = 1024;
/// Orders to empty a zone that are counted.
const ORDERS: u32 = 3;
/// Steps to bring edges back that are remembered.
const HEALS: usize = 256;
/// Marshals that have left remembered, so that a late beat doesn't bring one back.
const LEFT: usize = 4096;

/// The digest by which a configuration is known.
pub fn configuration_digest(body: &[u8]) -> [u8; 32] {
    Sha256::digest(body).into()
}

impl Node {
    /// About how many bytes it has in a state, and not fewer.
    pub fn max_encoded_size(&self) -> usize {
        let deal = match &self.phase {
            Phase::Cold(deal) => deal.len() * PART,
            Phase::Warm | Phase::Draining => 0,
        };
        let texts = 2 * self.id.len() + self.target.len() + self.zone.len() + self.revision.len();
        2 * ITEM + texts + deal
    }
}

/// How far a roll-out is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RollOutState {
    /// Under way.
    Active,
    /// The new version has all.
    Completed,
    /// The earlier version has all.
    Reverted,
}

impl RollOutState {
    /// The protocol's word.
    pub fn as_str(self) -> &'static str {
        match self {
            RollOutState::Active => "active",
            RollOutState::Completed => "completed",
            RollOutState::Reverted => "reverted",
        }
    }
}

/// A zone that is emptied.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ZoneEvacuation {
    /// Orders to empty it that were not taken back.
    pub orders: u32,
    /// One was taken back while another stands.
    pub back: bool,
    /// How many of them are certainly orders of their own: any other may be one of these, sent again.
    pub certain: u32,
}

/// A roll-out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RollOut {
    /// The index of its entry.
    pub number: u64,
    /// The version brought in.
    pub to: String,
    /// Milliseconds that it may take.
    pub period_ms: u64,
    /// How far it is.
    pub state: RollOutState,
    /// And at which stage, while it is under way.
    pub stage: u32,
}

/// A step to bring an edge back, as it was agreed.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Repair {
    /// Its entry.
    pub index: u64,
    /// The edge.
    pub edge: u32,
    /// Its life.
    pub incarnation: u64,
    /// What it was to do.
    pub step: Step,
    /// Why.
    pub why: String,
}

/// What became of an entry.
#[derive(Clone, Debug, PartialEq)]
pub enum Outcome {
    /// It holds, now or since earlier.
    Done,
    /// It doesn't.
    Refused(ErrorKind),
}

/// The state.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct View {
    /// The last entry folded.
    pub index: u64,
    /// The configuration's number; 0: none yet.
    pub revision: u64,
    /// The configuration as it was sent.
    pub body: Arc<Vec<u8>>,
    /// Numbers and digests of those taken, oldest first.
    taken: VecDeque<(u64, [u8; 32])>,
    /// Marshals by id.
    pub nodes: BTreeMap<String, Node>,
    /// Ids of those that said that they are gone, oldest first.
    left: VecDeque<String>,
    /// Zones that are emptied.
    pub evacuated: BTreeMap<String, ZoneEvacuation>,
    /// The newest roll-out of each service.
    pub rollouts: BTreeMap<String, RollOut>,
    /// The version of each service that has its traffic.
    pub serving_versions: BTreeMap<String, String>,
    /// Steps to bring edges back, oldest first. Its bytes stand behind the others', so that a state that was written before
    /// there were any is read as one without.
    #[serde(skip)]
    pub repairs: VecDeque<Repair>,
    /// Marshals that are taken out as edges find them gone, with the edges that look at them; behind the others as well.
    #[serde(skip)]
    pub suspected: BTreeMap<String, Vec<u32>>,
    #[serde(skip)]
    read: Option<Arc<Configuration>>,
}

impl View {
    /// Its bytes.
    pub fn to_bytes(&self) -> Vec<u8> {
        let bytes = postcard::to_stdvec(self).unwrap_or_default(); // plain values can't fail
        let bytes = postcard::to_extend(&self.repairs, bytes).unwrap_or_default();
        postcard::to_extend(&self.suspected, bytes).unwrap_or_default()
    }

    /// From its bytes; from none, the state before any entry.
    pub fn from_bytes(bytes: &[u8]) -> Result<View, String> {
        if bytes.is_empty() {
            return Ok(View::default());
        }
        let wrong = |problem| format!("state: {problem}");
        let (mut view, rest): (View, &[u8]) = postcard::take_from_bytes(bytes).map_err(wrong)?;
        if !rest.is_empty() {
            let (repairs, rest) = postcard::take_from_bytes(rest).map_err(wrong)?;
            view.repairs = repairs;
            if !rest.is_empty() {
                view.suspected = postcard::from_bytes(rest).map_err(wrong)?;
            }
        }
        if view.revision > 0 {
            view.read = Some(Arc::new(Configuration::decode(&view.body).map_err(|kind| kind.to_string())?));
        }
        Ok(view)
    }

    /// About how many bytes it has, and not fewer.
    pub fn max_encoded_size(&self) -> usize {
        let texts = |list: &[&str]| ITEM + list.iter().map(|text| text.len()).sum::<usize>();
        let nodes: usize = self.nodes.values().map(Node::max_encoded_size).sum();
        let left: usize = self.left.iter().map(|id| texts(&[id])).sum();
        let settled: usize =
            self.serving_versions.iter().map(|(service, version)| texts(&[service, version])).sum();
        let rollouts: usize = self.rollouts.iter().map(|(service, roll)| texts(&[service, &roll.to])).sum();
        let evacuated: usize = self.evacuated.keys().map(|zone| texts(&[zone])).sum();
        let suspected: usize =
            self.suspected.iter().map(|(id, looks)| texts(&[id]) + looks.len() * PART).sum();
        let repairs: usize = self.repairs.iter().map(|repair| texts(&[&repair.why])).sum();
        let taken = self.taken.len() * ITEM;
        self.body.len() + taken + nodes + left + settled + rollouts + evacuated + suspected + repairs + ITEM
    }

    /// Whether so many further bytes may be taken into it; the error says how many there would be.
    pub fn check_admission(&self, further: usize) -> Result<(), ErrorKind> {
        let whole = self.max_encoded_size() + further;
        if whole <= MAX_ADMITTED_BYTES {
            return Ok(());
        }
        Err(ErrorKind::StateTooLarge(whole, MAX_ADMITTED_BYTES))
    }

    /// Its bytes, packed: for disks and links.
    pub fn to_compressed(&self) -> Vec<u8> {
        pack(&self.to_bytes(), &[]).unwrap_or_default() // writing to memory can't fail
    }

    /// From its packed bytes; from none, the state before any entry.
    pub fn from_compressed(packed: &[u8]) -> Result<View, String> {
        if packed.is_empty() {
            return Ok(View::default());
        }
        View::from_bytes(&unpack(packed, &[], MOST_STATE).map_err(|problem| format!("state: {problem}"))?)
    }

    /// The configuration in force.
    pub fn configuration(&self) -> Option<&Arc<Configuration>> {
        self.read.as_ref()
    }

    /// Whether a life has ended by its own word.
    pub fn has_left(&self, id: &str) -> bool {
        self.left.iter().any(|gone| gone == id)
    }

    /// Whether a life is known to drain, or to have ended.
    pub fn is_leaving(&self, id: &str) -> bool {
        self.has_left(id) || self.nodes.get(id).is_some_and(|node| node.phase == Phase::Draining)
    }

    /// Folds an entry. What is refused changes nothing but the index.
    pub fn apply(&mut self, index: u64, command: &Command) -> Outcome {
        self.index = index;
        match command {
            Command::Configure { if_match, revision, digest, packed } => {
                self.configure(*if_match, *revision, digest, packed)
            }
            Command::NodeUp(node) => self.up(node),
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
                    self.bury(id);
                }
                Outcome::Done
            }
            Command::NodeWarm { id } => {
                self.turn(id, Phase::Warm);
                Outcome::Done
            }
            Command::NodeCold { id, deal } => {
                self.turn(id, Phase::Cold(deal.clone()));
                Outcome::Done
            }
            Command::Evacuate { zone, on, sure, deals } => self.evacuate(zone, *on, *sure, deals),
            Command::RollOut { service, revision, period_ms } => {
                self.roll_out(index, service, revision, *period_ms)
            }
            Command::Stage { service, number, stage } => {
                if let Some(roll) = self.rollouts.get_mut(service) {
                    if roll.number == *number && roll.state == RollOutState::Active {
                        roll.stage = roll.stage.max(*stage); // a deposed leader's word comes late
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
                if self.repairs.len() > HEALS {
                    self.repairs.pop_front();
                }
                Outcome::Done
            }
        }
    }

    fn bury(&mut self, id: &str) {
        self.left.push_back(id.into());
        if self.left.len() > LEFT {
            self.left.pop_front();
        }
    }

    /// A marshal that drains stays so.
    fn turn(&mut self, id: &str, phase: Phase) {
        if let Some(node) = self.nodes.get_mut(id).filter(|node| node.phase != Phase::Draining) {
            node.phase = phase;
        }
    }

    /// Whether exactly this configuration has been taken, now or earlier.
    pub fn has_accepted(&self, revision: u64, digest: &[u8; 32]) -> bool {
        self.taken.iter().any(|(number, known)| *number == revision && known == digest)
    }

    /// The entry for a configuration on top of the one in force. Errors are the packing library's.
    pub fn configure_command(&self, revision: u64, body: &[u8]) -> Result<Command, ErrorKind> {
        let packed = pack(body, &self.body).map_err(|problem| ErrorKind::Unreadable(problem.to_string()))?;
        Ok(Command::Configure {
            if_match: self.revision,
            revision,
            digest: configuration_digest(body),
            packed,
        })
    }

    fn configure(&mut self, if_match: u64, revision: u64, known: &[u8; 32], packed: &[u8]) -> Outcome {
        if self.has_accepted(revision, known) {
            return Outcome::Done;
        }
        if if_match != self.revision {
            return Outcome::Refused(ErrorKind::RevisionMismatch(self.revision));
        }
        let read = || -> Result<(Vec<u8>, Configuration), ErrorKind> {
            let body = unpack(packed, &self.body, MAX_CONFIGURATION_BYTES)
                .map_err(|it| ErrorKind::Unreadable(it.to_string()))?;
            if configuration_digest(&body) != *known {
                return Err(ErrorKind::Unreadable("it does not fit its digest".into()));
            }
            let configuration = Configuration::decode(&body)?;
            Ok((body, configuration))
        };
        let (body, configuration) = match read() {
            Ok(read) => read,
            Err(kind) => return Outcome::Refused(kind),
        };
        if revision <= self.revision || revision != configuration.revision {
            return Outcome::Refused(ErrorKind::OutdatedRevision(revision, self.revision));
        }
        self.revision = revision;
        self.body = Arc::new(body);
        self.read = Some(Arc::new(configuration));
        self.taken.push_back((revision, *known));
        if self.taken.len() > REMEMBERED {
            self.taken.pop_front();
        }
        Outcome::Done
    }

    fn up(&mut self, node: &Node) -> Outcome {
        if self.has_left(&node.id) || self.nodes.get(&node.id).is_some_and(|it| it.phase == Phase::Draining) {
            return Outcome::Done; // a late beat
        }
        // Another life at the same address means that the earlier one is over.
        self.nodes.retain(|id, other| other.address != node.address || *id == node.id);
        let nodes = &self.nodes;
        self.suspected.retain(|id, _| nodes.contains_key(id));
        self.serving_versions.entry(node.target.clone()).or_insert_with(|| node.revision.clone());
        self.nodes.insert(node.id.clone(), node.clone());
        Outcome::Done
    }

    fn evacuate(&mut self, zone: &str, on: bool, sure: bool, deals: &[(String, Deal)]) -> Outcome {
        if on {
            let emptied = self.evacuated.entry(zone.into()).or_insert(ZoneEvacuation {
                orders: 0,
                back: false,
                certain: 0,
            });
            // Bounded: a call that goes out again counts as an order, too, and nobody takes it back.
            let own = sure || emptied.orders == 0;
            let certain = (emptied.certain + u32::from(own)).min(ORDERS);
            *emptied = ZoneEvacuation { orders: (emptied.orders + 1).min(ORDERS), back: false, certain };
            return Outcome::Done;
        }
        let Some(emptied) = self.evacuated.get_mut(zone) else { return Outcome::Done };
        if emptied.orders > 1 {
            // Guards against filling a zone that another order still wants empty.
            let certain = emptied.certain.saturating_sub(1);
            *emptied = ZoneEvacuation { orders: emptied.orders - 1, back: true, certain };
            return Outcome::Done;
        }
        self.evacuated.remove(zone);
        // Whatever is not dealt for stays cold without a part: nobody knows whether it is warm.
        let ids: Vec<String> =
            self.nodes.values().filter(|node| node.zone == zone).map(|node| node.id.clone()).collect();
        for id in ids {
            let deal = deals.iter().find(|(dealt, _)| *dealt == id).map(|(_, deal)| deal.clone());
            self.turn(&id, Phase::Cold(deal.unwrap_or_default()));
        }
        Outcome::Done
    }

    fn roll_out(&mut self, index: u64, service: &str, revision: &str, period_ms: u64) -> Outcome {
        let same = |roll: &RollOut| roll.to == revision && roll.state == RollOutState::Active;
        if self.rollouts.get(service).is_some_and(same) {
            return Outcome::Done; // the same order again
        }
        let state = match self.serving_versions.get(service) {
            Some(settled) if settled == revision => RollOutState::Completed,
            _ => RollOutState::Active,
        };
        let roll = RollOut { number: index, to: revision.into(), period_ms, state, stage: 0 };
        self.rollouts.insert(service.into(), roll);
        Outcome::Done
    }

    fn settle(&mut self, service: &str, number: u64, good: bool) -> Outcome {
        let Some(roll) = self.rollouts.get_mut(service) else { return Outcome::Done };
        if roll.number == number && roll.state == RollOutState::Active {
            roll.state = if good { RollOutState::Completed } else { RollOutState::Reverted };
            if good {
                self.serving_versions.insert(service.into(), roll.to.clone());
            }
        }
        Outcome::Done
    }

    /// The roll-out that a marshal's version is on trial in.
    pub fn trial(&self, node: &Node) -> Option<&RollOut> {
        let roll = self.rollouts.get(&node.target)?;
        (roll.state == RollOutState::Active && roll.to == node.revision && !self.in_service(node))
            .then_some(roll)
    }

    /// Whether a marshal may be sent to as far as its phase, zone and version go; and whether its version is on trial.
    pub fn eligibility(&self, node: &Node) -> (bool, bool) {
        let new = self.trial(node).is_some();
        let here = node.phase != Phase::Draining
            && !self.evacuated.contains_key(&node.zone)
            && !self.suspected.contains_key(&node.id);
        (here && (new || self.in_service(node)), new)
    }

    /// Whether an edge rests until it is well again.
    pub fn is_resting(&self, edge: u32, incarnation: u64) -> bool {
        let last =
            self.repairs.iter().rev().find(|repair| (repair.edge, repair.incarnation) == (edge, incarnation));
        last.is_some_and(|repair| matches!(repair.step, Step::Rest | Step::End))
    }

    /// Whether a marshal's version has its service's traffic.
    pub fn in_service(&self, node: &Node) -> bool {
        self.serving_versions.get(&node.target).is_none_or(|settled| *settled == node.revision)
    }
}
