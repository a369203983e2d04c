//! Turns heartbeats of marshals into log entries. Each core machine has a registry; only the leader's proposes entries.
//! A heartbeat that changes nothing is acknowledged at once. One that changes the phase of a marshal is committed to the
//! log first, so that the change survives the loss of the machine that received it.

use crate::command::{Command, Deal, Node, Phase};
use crate::view::View;
use milletwing_config::ErrorKind;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::net::SocketAddrV4;

/// The heartbeat of a marshal, as defined by the control API.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "camelCase")]
pub struct Beat {
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
    /// `available` or `draining`.
    pub state: String,
    /// Seconds for which it remains cold.
    #[serde(default)]
    pub warmup_left_s: f64,
    /// A counter that the marshal increases with each call. It exposes heartbeats that arrive out of order.
    #[serde(default)]
    pub call_counter: u64,
}

impl Beat {
    /// Parses and validates a heartbeat.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::InvalidBeat`] with the reason.
    pub fn parse(bytes: &[u8]) -> Result<Beat, ErrorKind> {
        let beat: Beat =
            serde_json::from_slice(bytes).map_err(|error| ErrorKind::InvalidBeat(error.to_string()))?;
        match beat.state.as_str() {
            "available" | "draining" if beat.capacity > 0 => Ok(beat),
            "available" | "draining" => Err(ErrorKind::InvalidBeat("capacity is 0".into())),
            other => Err(ErrorKind::InvalidBeat(format!("state {other}"))),
        }
    }
}

/// The status of an edge, as it reports it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeStatus {
    /// The id: its IPv4 address as a number.
    pub id: u32,
    /// The zone it runs in.
    pub zone: String,
    /// The region of its zone.
    pub region: String,
    /// The address at which clients reach it.
    pub ingress: SocketAddrV4,
    /// Whether it accepts traffic.
    pub ready: bool,
    /// A number that is drawn at each start of the process.
    pub incarnation: u64,
}

/// The heartbeat of an edge whose zone, region and address the receiver already knows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EdgeHeartbeat {
    /// The id of the edge.
    pub id: u32,
    /// The incarnation of the edge.
    pub incarnation: u64,
    /// Whether it accepts traffic.
    pub ready: bool,
    /// Milliseconds since the sender last heard from it.
    pub ago: Millis,
}

/// What to do with a heartbeat.
#[derive(Clone, Debug, PartialEq)]
pub enum BeatAction {
    /// Acknowledge it at once.
    Acknowledge,
    /// Propose this command, and acknowledge the heartbeat once the command is committed.
    Propose(Command),
}

/// A point in time or a duration, in milliseconds.
pub type Millis = u64;

/// What this machine knows about the heartbeats of one marshal.
#[derive(Clone, Debug, Default)]
struct HeartbeatRecord {
    last_heard: Millis,
    /// The highest call counter received.
    call_counter: u64,
    /// When the warm-up ends, as far as this machine knows.
    cold_until: Option<Millis>,
    /// Heartbeats that report a finished warm-up do not end the cold phase before `cold_until`.
    forced_cold: bool,
}

impl HeartbeatRecord {
    /// Keeps the marshal cold until the given time, even if its heartbeats report that it is warm.
    fn force_cold(&mut self, until: Millis) {
        (self.cold_until, self.forced_cold) = (Some(until), true);
    }
}

/// The heartbeats of marshals and edges that one core machine has received, directly or from other core machines.
#[derive(Debug, Default)]
pub struct Registry {
    records: BTreeMap<String, HeartbeatRecord>,
    /// Edges by id, each with the time when it was last heard.
    edges: BTreeMap<u32, (EdgeStatus, Millis)>,
    /// Ids of marshals heard since the last gossip message.
    heard_ids: Vec<String>,
    is_leader: bool,
}

/// The time from the proposal of an entry until it takes effect on the edges.
const ENTRY_PROPAGATION_MS: Millis = 500;
/// An edge that has been silent for longer is left out of the directory.
const EDGE_TIMEOUT_MS: Millis = 1_500;
/// Edges heard within this time are included in gossip messages.
const GOSSIP_WINDOW_MS: Millis = 2_000;
/// When there are this many records, those of marshals that are no longer in the state are dropped.
const MAX_RECORDS: usize = 16_384;

/// The longest warm-up in seconds. A higher value in a heartbeat or a configuration cannot be intended.
const MAX_WARMUP_S: f64 = 3_600.0;

/// Converts a warm-up time to milliseconds, within bounds.
fn warmup_ms(warmup_s: f64) -> Millis {
    (warmup_s.clamp(0.0, MAX_WARMUP_S) * 1_000.0) as Millis
}

impl Registry {
    /// Processes the heartbeat of a marshal.
    pub fn handle_beat(&mut self, now: Millis, view: &View, id: &str, beat: &Beat) -> BeatAction {
        if self.records.len() >= MAX_RECORDS && !self.records.contains_key(id) {
            self.records.retain(|id, _| view.nodes.contains_key(id));
        }
        let record = self.records.entry(id.into()).or_default();
        record.last_heard = now;
        self.heard_ids.push(id.into());
        let out_of_order = beat.call_counter < record.call_counter;
        record.call_counter = record.call_counter.max(beat.call_counter);
        if out_of_order || view.has_left(id) {
            return BeatAction::Acknowledge;
        }
        let remaining = warmup_ms(beat.warmup_left_s);
        let until = now + remaining;
        let known = view.nodes.get(id);
        if beat.state == "draining" {
            return match known {
                Some(node) if node.phase != Phase::Draining => {
                    BeatAction::Propose(Command::NodeDrains { id: id.into() })
                }
                Some(_) => BeatAction::Acknowledge,
                // Recorded as gone, so that an earlier heartbeat that arrives late does not add a marshal that is
                // already draining.
                None => BeatAction::Propose(Command::NodeGone { id: id.into(), silent: false }),
            };
        }
        let Some(node) = known.filter(|node| node.address == beat.address) else {
            record.cold_until = Some(until);
            record.forced_cold = false;
            let phase = if remaining > 0 {
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
            Phase::Warm if remaining > 0 => {
                (record.cold_until, record.forced_cold) = (Some(until), false);
                let deal = self.allocate_warmup(now, view, &beat.target, &beat.zone);
                BeatAction::Propose(Command::NodeCold { id: id.into(), deal })
            }
            Phase::Cold(_) => {
                if remaining > 0 {
                    record.cold_until = Some(record.cold_until.unwrap_or(0).max(until));
                } else if !record.forced_cold && (!self.is_leader || record.cold_until.is_some()) {
                    return BeatAction::Propose(Command::NodeWarm { id: id.into() });
                }
                BeatAction::Acknowledge
            }
            _ => BeatAction::Acknowledge,
        }
    }

    /// Processes the deregistration of a marshal.
    pub fn handle_leave(&mut self, view: &View, id: &str) -> BeatAction {
        self.records.remove(id);
        // Applies to an unknown marshal as well: a heartbeat of it that is still in flight must not add it.
        if view.has_left(id) {
            return BeatAction::Acknowledge;
        }
        BeatAction::Propose(Command::NodeGone { id: id.into(), silent: false })
    }

    /// Records the status of an edge that was heard `ago` milliseconds ago.
    pub fn record_edge(&mut self, now: Millis, status: EdgeStatus, ago: Millis) {
        let heard_at = now.saturating_sub(ago);
        if self.edges.get(&status.id).is_none_or(|(_, last_heard)| heard_at >= *last_heard) {
            self.edges.insert(status.id, (status, heard_at));
        }
    }

    /// Records the heartbeat of an edge. It has no effect if the edge is not known or is known in another incarnation.
    pub fn record_edge_heartbeat(&mut self, now: Millis, heartbeat: &EdgeHeartbeat) {
        let heard_at = now.saturating_sub(heartbeat.ago);
        if let Some((edge, last_heard)) =
            self.edges.get_mut(&heartbeat.id).filter(|(edge, _)| edge.incarnation == heartbeat.incarnation)
        {
            if heard_at >= *last_heard {
                (edge.ready, *last_heard) = (heartbeat.ready, heard_at);
            }
        }
    }

    /// Returns what the other core machines are sent about edges: the full status of those that changed since they were
    /// last sent, and heartbeats of the others. `sent` holds the status last sent of each edge and is updated.
    pub fn gossip(
        &self,
        now: Millis,
        sent: &mut BTreeMap<u32, EdgeStatus>,
    ) -> (Vec<(EdgeStatus, Millis)>, Vec<EdgeHeartbeat>) {
        let (mut changed, mut heartbeats) = (Vec::new(), Vec::new());
        for (edge, ago) in self.edges(now).filter(|(_, ago)| *ago < GOSSIP_WINDOW_MS) {
            if sent.get(&edge.id) == Some(edge) {
                heartbeats.push(EdgeHeartbeat {
                    id: edge.id,
                    incarnation: edge.incarnation,
                    ready: edge.ready,
                    ago,
                });
            } else {
                changed.push((edge.clone(), ago));
                sent.insert(edge.id, edge.clone());
            }
        }
        sent.retain(|id, _| self.edges.contains_key(id));
        (changed, heartbeats)
    }

    /// Iterates over all edges, each with the milliseconds since it was last heard.
    pub fn edges(&self, now: Millis) -> impl Iterator<Item = (&EdgeStatus, Millis)> {
        self.edges.values().map(move |(status, heard_at)| (status, now.saturating_sub(*heard_at)))
    }

    /// Returns the edges that accept traffic and have not timed out.
    pub fn ready_edges(&self, now: Millis) -> Vec<&EdgeStatus> {
        self.edges(now)
            .filter(|(edge, ago)| edge.ready && *ago <= EDGE_TIMEOUT_MS)
            .map(|(edge, _)| edge)
            .collect()
    }

    /// Removes edges that have been silent for a minute.
    pub fn expire_edges(&mut self, now: Millis) {
        self.edges.retain(|_, (_, heard_at)| now.saturating_sub(*heard_at) < 60_000);
    }

    /// Returns the ids of marshals heard since the last call, to be sent to the other core machines.
    pub fn take_heard_ids(&mut self) -> Vec<String> {
        let mut ids = std::mem::take(&mut self.heard_ids);
        ids.sort_unstable();
        ids.dedup();
        ids
    }

    /// Records that another core machine has heard these marshals.
    pub fn record_heard(&mut self, now: Millis, ids: &[String]) {
        for id in ids {
            self.records.entry(id.clone()).or_default().last_heard = now;
        }
    }

    /// Records that this machine has become the leader.
    ///
    /// The silence of marshals is counted from now, and each cold marshal stays cold for a full warm-up. What this
    /// machine heard or decided in an earlier term cannot be used: a leader in between may have made a marshal cold
    /// again, and only that leader knew for how long.
    ///
    /// Returns how many marshals are kept cold, and until when the last of them.
    pub fn become_leader(
        &mut self,
        now: Millis,
        view: &View,
        warmup_s_of: &dyn Fn(&str) -> f64,
    ) -> (usize, Millis) {
        self.is_leader = true;
        for record in self.records.values_mut() {
            (record.cold_until, record.forced_cold) = (None, false);
        }
        let (mut kept_cold, mut last_until) = (0, now);
        for node in view.nodes.values() {
            let record = self.records.entry(node.id.clone()).or_default();
            record.last_heard = now;
            if matches!(node.phase, Phase::Cold(_)) {
                let until = now + warmup_ms(warmup_s_of(&node.target));
                record.force_cold(until);
                kept_cold += 1;
                last_until = last_until.max(until);
            }
        }
        (kept_cold, last_until)
    }

    /// Records that another machine is the leader, or that there is none.
    pub fn become_follower(&mut self) {
        self.is_leader = false;
    }

    /// Returns the command that ends the evacuation of a zone. Its marshals are kept cold for a full warm-up whatever
    /// their heartbeats report, since those may have been sent before the marshals turned cold.
    pub fn restore_zone(
        &mut self,
        now: Millis,
        view: &View,
        zone: &str,
        warmup_s_of: &dyn Fn(&str) -> f64,
    ) -> Command {
        let mut deals = Vec::new();
        for node in view.nodes.values().filter(|node| node.zone == zone) {
            let record = self.records.entry(node.id.clone()).or_default();
            record.force_cold(now + warmup_ms(warmup_s_of(&node.target)) + ENTRY_PROPAGATION_MS);
            deals.push((node.id.clone(), self.allocate_warmup(now, view, &node.target, zone)));
        }
        Command::Evacuate { zone: zone.into(), on: false, sure: false, deals }
    }

    /// Returns the commands that the leader proposes on its own: marshals whose warm-up has ended become warm, and those
    /// that have been silent for longer than `timeout` are removed, unless most are silent.
    pub fn sweep(
        &mut self,
        now: Millis,
        view: &View,
        timeout: Millis,
        warmup_s_of: &dyn Fn(&str) -> f64,
    ) -> Vec<Command> {
        let mut out = Vec::new();
        let silent: Vec<&Node> = view
            .nodes
            .values()
            .filter(|node| {
                self.records
                    .get(&node.id)
                    .is_some_and(|record| now.saturating_sub(record.last_heard) > timeout)
            })
            .collect();
        // If most marshals are silent, the fault is more likely at this machine.
        if silent.len() * 2 <= view.nodes.len() {
            out.extend(silent.iter().map(|node| Command::NodeGone { id: node.id.clone(), silent: true }));
        }
        for node in view.nodes.values() {
            let record = self
                .records
                .entry(node.id.clone())
                .or_insert(HeartbeatRecord { last_heard: now, ..HeartbeatRecord::default() });
            if !matches!(node.phase, Phase::Cold(_)) {
                continue;
            }
            // A new leader may apply entries of earlier terms only after its election. It does not know how long the
            // marshals in them stay cold, and must not declare them warm too early.
            if record.cold_until.is_none() {
                record.force_cold(now + warmup_ms(warmup_s_of(&node.target)));
            }
            if record.cold_until.is_some_and(|until| now >= until) {
                out.push(Command::NodeWarm { id: node.id.clone() });
            }
        }
        out
    }

    /// Divides the request rate that a cold marshal can handle, `warmupPerS`, among the edges that accept traffic, nearest
    /// first, in whole requests per second.
    ///
    /// The shares are assigned once per cold phase and not reassigned when an edge becomes unreachable. All edges
    /// together therefore never exceed the rate, even if some of them do not learn of changes.
    pub fn allocate_warmup(&self, now: Millis, view: &View, target: &str, zone: &str) -> Deal {
        let rate_per_s = view
            .configuration()
            .and_then(|configuration| configuration.targets.get(target))
            .map_or(0.0, |target| target.warmup_per_s);
        let total = rate_per_s.max(0.0) as u32;
        let ready = self.ready_edges(now);
        let region = ready.iter().find(|edge| edge.zone == zone).map(|edge| edge.region.clone());
        let distance =
            |edge: &&&EdgeStatus| (edge.zone != zone, Some(&edge.region) != region.as_ref(), edge.id);
        let mut nearest: Vec<&&EdgeStatus> = ready.iter().collect();
        nearest.sort_by_key(distance);
        let in_region = nearest.iter().filter(|edge| Some(&edge.region) == region.as_ref()).count();
        nearest.truncate(in_region.max(1).min(total as usize));
        let count = nearest.len() as u32;
        nearest
            .iter()
            .enumerate()
            .map(|(position, edge)| (edge.id, total / count + u32::from((position as u32) < total % count)))
            .collect()
    }
}
