//! What edges report of themselves and of marshals, and what follows from it.

use super::{Core, Time, FRESH};
use milletwing_config::event;
use milletwing_consensus::{MemberId, Role};
use milletwing_drift_detection::{Digest, Finding, LeafHashes, RepairOrder};
use milletwing_outlier_detection::{host_key, HostAction, HostObservation, KnownHost};
use milletwing_replicated_state::{Command, EdgeStatus};
use milletwing_wire::{encode_frame, EdgeReport, PeerMessage, ToEdge};
use std::rc::Rc;

impl Core {
    /// An edge's beat.
    pub fn beaten(&mut self, id: u64, said: EdgeReport) {
        let now = self.now();
        let EdgeReport { edge, index, reports, observed, table_digest, sample } = said;
        if let Some(feed) = self.feeds.get_mut(&id) {
            feed.folded = index;
        }
        if !reports.is_empty() {
            self.reports(edge.id, edge.incarnation, reports);
        }
        self.observed(now, &edge, observed);
        let fresh = self.member.has_recent_state(now, FRESH) && !self.member.has_lost_state();
        let findings = self.drift.beat(now, &self.view, (edge.id, index), table_digest, sample, fresh);
        let (number, incarnation) = (edge.id, edge.incarnation);
        self.registry.record_edge(now, edge, 0);
        for finding in findings {
            if matches!(finding, Finding::Mismatch(_)) {
                if let Some(feed) = self.feeds.get(&id) {
                    let _ = feed.send.try_send((None, Rc::new(encode_frame(&ToEdge::LeafHashes))));
                    // it will be asked again
                }
            }
            self.found(now, number, incarnation, finding);
        }
    }

    /// What an edge routes by, thing by thing: for operators, where it differs.
    pub fn named(&mut self, id: u64, names: &LeafHashes) {
        let Some(edge) = self.feeds.get(&id).map(|feed| feed.edge) else { return };
        let differences = self.drift.compare(&self.view, edge, names);
        if !differences.is_empty() {
            event!(Drifted, "{}: {}", std::net::Ipv4Addr::from_bits(edge), differences.join(", "));
        }
    }

    /// What this machine found of an edge that it tells: to whoever leads.
    pub(super) fn found(&mut self, now: Time, edge: u32, incarnation: u64, finding: Finding) {
        let zone = self.registry.edges(now).find(|(it, _)| it.id == edge).map(|(it, _)| it.zone.clone());
        let zone = zone.unwrap_or_default();
        if self.role == Role::Leader {
            self.drift.repairer.record_finding(now, edge, incarnation, &zone, finding);
        } else if let Some(leader) = self.leader {
            self.post(leader, &PeerMessage::Drift { edge, incarnation, zone, finding });
        }
    }

    /// What an edge met, as evidence on hosts: where this machine leads.
    pub(super) fn suspect(&mut self, now: Time, edge: u32, observed: &[HostObservation], ago: Time) {
        if self.role == Role::Leader {
            let zone = self.registry.edges(now).find(|(it, _)| it.id == edge).map(|(it, _)| it.zone.clone());
            self.tally.record(now, edge, &zone.unwrap_or_default(), observed, ago);
        }
    }

    /// What follows for hosts that edges find gone.
    pub(super) fn suspects(&mut self, now: Time) -> Vec<Command> {
        let known: Vec<KnownHost> = self
            .view
            .nodes
            .values()
            .map(|node| {
                let (open, new) = self.view.eligibility(node);
                let (host, service) = (host_key(&node.id), node.target.clone());
                let warm = node.phase == milletwing_replicated_state::Phase::Warm;
                KnownHost {
                    host,
                    service,
                    ejectable: open && !new && warm,
                    ejected: self.view.suspected.contains_key(&node.id),
                }
            })
            .collect();
        let id =
            |host: u32| self.view.nodes.keys().find(|id| host_key(id) == host).cloned().unwrap_or_default();
        let moves = self.tally.decide(now, &known).into_iter();
        moves
            .map(|it| match it {
                HostAction::Eject(host) => Command::Suspect { id: id(host), looks: Vec::new() },
                HostAction::Retest(host, looks) => Command::Suspect { id: id(host), looks },
                HostAction::Restore(host) => Command::Trust { id: id(host) },
            })
            .collect()
    }

    /// Hosts that are taken out, or that edges find gone; evidence where this machine leads.
    pub fn suspected(&self) -> serde_json::Value {
        let now = self.now();
        let name = |edge: &u32| std::net::Ipv4Addr::from_bits(*edge).to_string();
        let hosts = self.view.nodes.values().filter_map(|node| {
            let looks = self.view.suspected.get(&node.id);
            let (by, answered) = self.tally.evidence(now, host_key(&node.id));
            (looks.is_some() || !by.is_empty()).then(|| {
                serde_json::json!({"marshal": node.id, "service": node.target, "zone": node.zone,
                    "out": looks.is_some(), "lookedAtBy": looks.into_iter().flatten().map(name).collect::<Vec<_>>(),
                    "foundGoneBy": by.iter().map(name).collect::<Vec<_>>(), "answeredMs": answered})
            })
        });
        serde_json::json!({"suspects": hosts.collect::<Vec<_>>()})
    }

    /// Whether edges route by what was agreed; complete where this machine leads.
    pub fn drifted(&self) -> serde_json::Value {
        let now = self.now();
        let heard: Vec<(u32, String, Time)> =
            self.registry.edges(now).map(|(edge, ago)| (edge.id, edge.zone.clone(), ago)).collect();
        self.drift.tell(now, &self.view, &heard)
    }

    /// What follows for edges that have drifted.
    pub(super) fn bring_back(&mut self, now: Time) -> Vec<Command> {
        let ready = self.registry.ready_edges(now).into_iter();
        let ready: Vec<(u32, String)> = ready
            .filter(|edge| !self.view.is_resting(edge.id, edge.incarnation))
            .map(|edge| (edge.id, edge.zone.clone()))
            .collect();
        let orders = self.drift.step(now, &ready);
        orders
            .into_iter()
            .map(|RepairOrder { edge, incarnation, step, why }| Command::Repair {
                edge,
                life: incarnation,
                step,
                why,
            })
            .collect()
    }

    /// Another machine of the core says what its entries make.
    pub(super) fn view_digest(&mut self, now: Time, from: MemberId, index: u64, digest: &Digest) {
        if self.drift.view_digest(now, from, index, digest) {
            event!(CoreDiffers, "{}, as of entry {index}", std::net::Ipv4Addr::from_bits(from));
        }
    }

    /// What an edge of this machine met at hosts.
    pub(super) fn observed(&mut self, now: Time, edge: &EdgeStatus, observed: Vec<HostObservation>) {
        if observed.is_empty() {
            return;
        }
        self.board.record(now, &observed, 0);
        self.suspect(now, edge.id, &observed, 0);
        let (_, at, met) = self.met.entry(edge.id).or_insert((edge.incarnation, now, Vec::new()));
        *at = now;
        // Bounded by what is told on four times a second; what doesn't fit is told by the edge's next requests.
        met.extend(observed.into_iter().take(1024usize.saturating_sub(met.len())));
    }
}
