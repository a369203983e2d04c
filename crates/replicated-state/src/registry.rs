//! How beats become entries. Each machine of the core keeps one; the leader's decides. What is known already is
//! acknowledged at once; what changes a marshal's life is an entry first, so that it outlives the machine that heard it.

use crate::command::{Command, Deal, Node, Phase};
use crate::view::View;
use milletwing_config::ErrorKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// A marshal's beat, as the protocol has it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Beat {
    /// Its service.
    pub target: String,
    /// Where it listens.
    pub address: SocketAddrV4,
    /// Its zone.
    pub zone: String,
    /// Its version.
    pub revision: String,
    /// Requests at once.
    pub capacity: u32,
    /// `available` or `draining`.
    pub state: String,
    /// Seconds for which it stays cold.
    #[serde(default)]
    pub warmup_left_s: f64,
    /// Rises with every call.
    #[serde(default)]
    pub call_counter: u64,
}

impl Beat {
    /// Reads a beat. The error says what doesn't fit.
    pub fn parse(bytes: &[u8]) -> Result<Beat, ErrorKind> {
        let beat: Beat =
            serde_json::from_slice(bytes).map_err(|why| ErrorKind::InvalidBeat(why.to_string()))?;
        match beat.state.as_str() {
            "available" | "draining" if beat.capacity > 0 => Ok(beat),
            "available" | "draining" => Err(ErrorKind::InvalidBeat("capacity is 0".into())),
            other => Err(ErrorKind::InvalidBeat(format!("state {other}"))),
        }
    }
}

/// What is heard of an edge.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeStatus {
    /// Its address as a number.
    pub id: u32,
    /// Its zone.
    pub zone: String,
    /// Its region.
    pub region: String,
    /// Where clients reach it.
    pub ingress: SocketAddrV4,
    /// It takes traffic.
    pub ready: bool,
    /// New at each start.
    pub incarnation: u64,
}

/// An edge of which nothing but the time is new.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeHeartbeat {
    /// Its number.
    pub id: u32,
    /// Its life.
    pub incarnation: u64,
    /// It takes traffic.
    pub ready: bool,
    /// Milliseconds since it was heard.
    pub ago: Time,
}

/// What to do with a beat.
#[derive(Clone, Debug, PartialEq)]
pub enum BeatAction {
    /// Acknowledge it.
    Acknowledge,
    /// Acknowledge it once this entry is committed.
    Propose(Command),
}

/// Milliseconds.
pub type Time = u64;

#[derive(Clone, Debug, Default)]
struct Life {
    heard: Time,
    counter: u64,
    /// Cold until then, as far as this machine knows; `held`: whatever its beats say.
    cold: Option<Time>,
    held: bool,
}

impl Life {
    /// Cold until then, whatever its beats say.
    fn hold(&mut self, until: Time) {
        (self.cold, self.held) = (Some(until), true);
    }
}

/// Beats and edges as one machine of the core has heard of them.
#[derive(Debug, Default)]
pub struct Registry {
    lives: BTreeMap<String, Life>,
    edges: BTreeMap<u32, (EdgeStatus, Time)>,
    /// Ids heard since they were told to the others.
    fresh: Vec<String>,
    /// This machine leads.
    leads: bool,
}

/// Milliseconds from the proposal of an entry until it is in force at edges.
const ENTRY_TRAVEL: Time = 500;
/// An edge that was not heard for so long isn't in the directory.
const EDGE_SILENT: Time = 1_500;
/// Edges heard within this time are told to the others.
const TELL: Time = 2_000;
/// Lives remembered at most.
const LIVES: usize = 16_384;

/// Seconds for which a marshal is cold, at most: what a report or a configuration says beyond is no time that was meant.
const LONGEST_WARMUP_S: f64 = 3_600.0;

/// Milliseconds of a warm-up that is told in seconds.
fn warmup(told_s: f64) -> Time {
    (told_s.clamp(0.0, LONGEST_WARMUP_S) * 1_000.0) as Time
}

impl Registry {
    /// Takes a beat.
    pub fn handle_beat(&mut self, now: Time, view: &View, id: &str, beat: &Beat) -> BeatAction {
        if self.lives.len() >= LIVES && !self.lives.contains_key(id) {
            self.lives.retain(|id, _| view.nodes.contains_key(id));
        }
        let life = self.lives.entry(id.into()).or_default();
        life.heard = now;
        self.fresh.push(id.into());
        let late = beat.call_counter < life.counter;
        life.counter = life.counter.max(beat.call_counter);
        if late || view.has_left(id) {
            return BeatAction::Acknowledge;
        }
        let left = warmup(beat.warmup_left_s);
        let until = now + left;
        let known = view.nodes.get(id);
        if beat.state == "draining" {
            return match known {
                Some(node) if node.phase != Phase::Draining => {
                    BeatAction::Propose(Command::NodeDrains { id: id.into() })
                }
                Some(_) => BeatAction::Acknowledge,
                // Guards against a report of its that comes late: whoever drains must not be taken for one that has come.
                None => BeatAction::Propose(Command::NodeGone { id: id.into(), silent: false }),
            };
        }
        let Some(node) = known.filter(|node| node.address == beat.address) else {
            life.cold = Some(until);
            life.held = false;
            let phase = if left > 0 {
                Phase::Cold(self.allocate_warmup(now, view, &beat.target, &beat.zone))
            } else {
                Phase::Warm
            };
            return BeatAction::Propose(Command::NodeUp(Node {
                id: id.into(),
                target: beat.target.clone(),
                address: beat.address,
                zone: beat.zone.clone(),
                revision: beat.revision.clone(),
                capacity: beat.capacity,
                phase,
            }));
        };
        match &node.phase {
            Phase::Warm if left > 0 => {
                (life.cold, life.held) = (Some(until), false);
                let deal = self.allocate_warmup(now, view, &beat.target, &beat.zone);
                BeatAction::Propose(Command::NodeCold { id: id.into(), deal })
            }
            Phase::Cold(_) => {
                if left > 0 {
                    life.cold = Some(life.cold.unwrap_or(0).max(until));
                } else if !life.held && (!self.leads || life.cold.is_some()) {
                    return BeatAction::Propose(Command::NodeWarm { id: id.into() });
                }
                BeatAction::Acknowledge
            }
            _ => BeatAction::Acknowledge,
        }
    }

    /// A marshal says that it is gone.
    pub fn handle_leave(&mut self, view: &View, id: &str) -> BeatAction {
        self.lives.remove(id);
        // Also one that is not known: a report of its may still be on its way, and must not bring it in.
        if view.has_left(id) {
            return BeatAction::Acknowledge;
        }
        BeatAction::Propose(Command::NodeGone { id: id.into(), silent: false })
    }

    /// An edge was heard of, so many milliseconds ago.
    pub fn record_edge(&mut self, now: Time, heard: EdgeStatus, ago: Time) {
        let at = now.saturating_sub(ago);
        if self.edges.get(&heard.id).is_none_or(|(_, known)| at >= *known) {
            self.edges.insert(heard.id, (heard, at));
        }
    }

    /// An edge that may be known already was heard of, so many milliseconds ago; another life of it is not the one known.
    pub fn record_edge_heartbeat(&mut self, now: Time, still: &EdgeHeartbeat) {
        let at = now.saturating_sub(still.ago);
        if let Some((edge, known)) =
            self.edges.get_mut(&still.id).filter(|(edge, _)| edge.incarnation == still.incarnation)
        {
            if at >= *known {
                (edge.ready, *known) = (still.ready, at);
            }
        }
    }

    /// What the others are told of edges: in whole those of which something is new since `told`, else by number, life and
    /// whether they take traffic. `told` is brought up to date.
    pub fn gossip(
        &self,
        now: Time,
        told: &mut BTreeMap<u32, EdgeStatus>,
    ) -> (Vec<(EdgeStatus, Time)>, Vec<EdgeHeartbeat>) {
        let (mut whole, mut still) = (Vec::new(), Vec::new());
        for (edge, ago) in self.edges(now).filter(|(_, ago)| *ago < TELL) {
            if told.get(&edge.id) == Some(edge) {
                still.push(EdgeHeartbeat {
                    id: edge.id,
                    incarnation: edge.incarnation,
                    ready: edge.ready,
                    ago,
                });
            } else {
                whole.push((edge.clone(), ago));
                told.insert(edge.id, edge.clone());
            }
        }
        told.retain(|id, _| self.edges.contains_key(id));
        (whole, still)
    }

    /// All edges with the milliseconds since each was heard.
    pub fn edges(&self, now: Time) -> impl Iterator<Item = (&EdgeStatus, Time)> {
        self.edges.values().map(move |(heard, at)| (heard, now.saturating_sub(*at)))
    }

    /// Edges that take traffic and were heard lately.
    pub fn ready_edges(&self, now: Time) -> Vec<&EdgeStatus> {
        self.edges(now)
            .filter(|(edge, ago)| edge.ready && *ago <= EDGE_SILENT)
            .map(|(edge, _)| edge)
            .collect()
    }

    /// Drops edges that were silent for long.
    pub fn expire_edges(&mut self, now: Time) {
        self.edges.retain(|_, (_, at)| now.saturating_sub(*at) < 60_000);
    }

    /// Ids of marshals heard since the last call, for the others.
    pub fn take_heard_ids(&mut self) -> Vec<String> {
        let mut fresh = std::mem::take(&mut self.fresh);
        fresh.sort_unstable();
        fresh.dedup();
        fresh
    }

    /// Another machine has heard these marshals.
    pub fn record_heard(&mut self, now: Time, ids: &[String]) {
        for id in ids {
            self.lives.entry(id.clone()).or_default().heard = now;
        }
    }

    /// This machine leads from now on: it knows nothing of how long others were silent, nor how cold they are. What it heard, or
    /// decided in an earlier term, is no measure: a leader in between may have entered that they are cold anew, by an
    /// order that only that leader held them for. So each cold marshal is held for the whole of its warm-up.
    pub fn become_leader(&mut self, now: Time, view: &View, cold_for: &dyn Fn(&str) -> f64) {
        self.leads = true;
        for life in self.lives.values_mut() {
            (life.cold, life.held) = (None, false);
        }
        for node in view.nodes.values() {
            let life = self.lives.entry(node.id.clone()).or_default();
            life.heard = now;
            if matches!(node.phase, Phase::Cold(_)) {
                life.hold(now + warmup(cold_for(&node.target)));
            }
        }
    }

    /// Another machine leads, or none.
    pub fn become_follower(&mut self) {
        self.leads = false;
    }

    /// Marshals of a zone that is taken back: cold until their time is over, whatever their beats say, since those may
    /// have been sent before they turned cold.
    pub fn restore_zone(
        &mut self,
        now: Time,
        view: &View,
        zone: &str,
        cold_for: &dyn Fn(&str) -> f64,
    ) -> Command {
        let mut deals = Vec::new();
        for node in view.nodes.values().filter(|node| node.zone == zone) {
            let life = self.lives.entry(node.id.clone()).or_default();
            life.hold(now + warmup(cold_for(&node.target)) + ENTRY_TRAVEL);
            deals.push((node.id.clone(), self.allocate_warmup(now, view, &node.target, zone)));
        }
        Command::Evacuate { zone: zone.into(), on: false, sure: false, deals }
    }

    /// What the leader enters by itself: marshals that have become warm, and silent ones as long as most are heard.
    pub fn sweep(
        &mut self,
        now: Time,
        view: &View,
        silence: Time,
        cold_for: &dyn Fn(&str) -> f64,
    ) -> Vec<Command> {
        let mut out = Vec::new();
        let silent: Vec<&Node> = view
            .nodes
            .values()
            .filter(|node| {
                self.lives.get(&node.id).is_some_and(|life| now.saturating_sub(life.heard) > silence)
            })
            .collect();
        // Where most are silent, it is this side that doesn't hear.
        if silent.len() * 2 <= view.nodes.len() {
            out.extend(silent.iter().map(|node| Command::NodeGone { id: node.id.clone(), silent: true }));
        }
        for node in view.nodes.values() {
            let life = self.lives.entry(node.id.clone()).or_insert(Life { heard: now, ..Life::default() });
            if !matches!(node.phase, Phase::Cold(_)) {
                continue;
            }
            // Guards against warming what this machine has only read of: a new leader folds earlier entries after it
            // was elected, and how long those marshals stay cold it has not heard.
            if life.cold.is_none() {
                life.hold(now + warmup(cold_for(&node.target)));
            }
            if life.cold.is_some_and(|until| now >= until) {
                out.push(Command::NodeWarm { id: node.id.clone() });
            }
        }
        out
    }

    /// Deals out what a cold marshal bears: `warmupPerS` in all, to edges that take traffic, near ones first, in whole
    /// requests a second. The part is given once for each time that it is cold, so that edges that can't be reached any
    /// more and those that can never have more than this together.
    pub fn allocate_warmup(&self, now: Time, view: &View, target: &str, zone: &str) -> Deal {
        let per_s =
            view.configuration().and_then(|it| it.targets.get(target)).map_or(0.0, |it| it.warmup_per_s);
        let whole = per_s.max(0.0) as u32;
        let ready = self.ready_edges(now);
        let region = ready.iter().find(|edge| edge.zone == zone).map(|edge| edge.region.clone());
        let rank = |edge: &&&EdgeStatus| (edge.zone != zone, Some(&edge.region) != region.as_ref(), edge.id);
        let mut near: Vec<&&EdgeStatus> = ready.iter().collect();
        near.sort_by_key(rank);
        let same = near.iter().filter(|edge| Some(&edge.region) == region.as_ref()).count();
        near.truncate(same.max(1).min(whole as usize));
        let count = near.len() as u32;
        near.iter()
            .enumerate()
            .map(|(at, edge)| (edge.id, whole / count + u32::from((at as u32) < whole % count)))
            .collect()
    }
}
