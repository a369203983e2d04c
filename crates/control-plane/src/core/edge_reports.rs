//! Handles what edges report of themselves and of marshals, and derives commands from it.

use super::{Core, Millis, FRESHNESS_MS};
use milletwing_config::event;
use milletwing_consensus::{MemberId, Role};
use milletwing_drift_detection::{Digest, Finding, LeafHashes, RepairOrder};
use milletwing_outlier_detection::{host_key, HostAction, HostObservation, KnownHost};
use milletwing_replicated_state::{Command, EdgeStatus};
use milletwing_wire::{encode_frame, EdgeReport, PeerMessage, ToEdge};
use std::rc::Rc;

impl Core {
    /// Handles the report of an edge that is connected to this replica.
    pub fn on_edge_report(&mut self, id: u64, report: EdgeReport) {
        let now = self.now();
        let EdgeReport { edge, index, reports, observed, table_digest, sample } = report;
        if let Some(feed) = self.feeds.get_mut(&id) {
            feed.applied_index = index;
        }
        if !reports.is_empty() {
            self.on_trial_reports(edge.id, edge.incarnation, reports);
        }
        self.record_observations(now, &edge, observed);
        let fresh = self.member.has_recent_state(now, FRESHNESS_MS) && !self.member.has_lost_state();
        let findings =
            self.drift.check_report(now, &self.view, (edge.id, index), table_digest, sample, fresh);
        let (edge_id, incarnation) = (edge.id, edge.incarnation);
        self.registry.record_edge(now, edge, 0);
        for finding in findings {
            if matches!(finding, Finding::Mismatch(_)) {
                if let Some(feed) = self.feeds.get(&id) {
                    let _ = feed.sender.try_send((None, Rc::new(encode_frame(&ToEdge::LeafHashes))));
                    // If the queue is full, the next such finding asks again.
                }
            }
            self.report_finding(now, edge_id, incarnation, finding);
        }
    }

    /// Compares the routing state that an edge listed by name with the committed state, and logs the
    /// differences for operators.
    pub fn on_leaf_hashes(&mut self, id: u64, hashes: &LeafHashes) {
        let Some(edge) = self.feeds.get(&id).map(|feed| feed.edge) else { return };
        let differences = self.drift.list_differences(&self.view, edge, hashes);
        if !differences.is_empty() {
            event!(Drifted, "{}: {}", std::net::Ipv4Addr::from_bits(edge), differences.join(", "));
        }
    }

    /// Passes a finding on an edge of this replica on to the leader.
    pub(super) fn report_finding(&mut self, now: Millis, edge: u32, incarnation: u64, finding: Finding) {
        let zone = self
            .registry
            .edges(now)
            .find(|(status, _)| status.id == edge)
            .map(|(status, _)| status.zone.clone());
        let zone = zone.unwrap_or_default();
        if self.role == Role::Leader {
            self.drift.repairer.record_finding(now, edge, incarnation, &zone, finding);
        } else if let Some(leader) = self.leader {
            self.send_to(leader, &PeerMessage::Drift { edge, incarnation, zone, finding });
        }
    }

    /// Records an edge's observations as evidence on hosts, if this replica leads.
    pub(super) fn record_host_evidence(
        &mut self,
        now: Millis,
        edge: u32,
        observed: &[HostObservation],
        ago: Millis,
    ) {
        if self.role == Role::Leader {
            let zone = self
                .registry
                .edges(now)
                .find(|(status, _)| status.id == edge)
                .map(|(status, _)| status.zone.clone());
            self.host_evidence.record(now, edge, &zone.unwrap_or_default(), observed, ago);
        }
    }

    /// Returns commands to eject, retest or restore hosts.
    pub(super) fn ejection_commands(&mut self, now: Millis) -> Vec<Command> {
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
                    retestable: self.view.takes_traffic(node),
                }
            })
            .collect();
        let id =
            |host: u32| self.view.nodes.keys().find(|id| host_key(id) == host).cloned().unwrap_or_default();
        let changes = self.host_evidence.decide(now, &known).into_iter();
        changes
            .map(|change| match change {
                HostAction::Eject(host) => Command::Suspect { id: id(host), looks: Vec::new() },
                HostAction::Retest(host, looks) => Command::Suspect { id: id(host), looks },
                HostAction::Restore(host) => Command::Trust { id: id(host) },
            })
            .collect()
    }

    /// Lists hosts that are ejected, or that edges found unreachable; the evidence is complete only at the
    /// leader.
    pub fn suspects_json(&self) -> serde_json::Value {
        let now = self.now();
        let address = |edge: &u32| std::net::Ipv4Addr::from_bits(*edge).to_string();
        let hosts = self.view.nodes.values().filter_map(|node| {
            let retesting_edges = self.view.suspected.get(&node.id);
            let (found_by, answered_ago) = self.host_evidence.evidence(now, host_key(&node.id));
            (retesting_edges.is_some() || !found_by.is_empty()).then(|| {
                serde_json::json!({"marshal": node.id, "service": node.target, "zone": node.zone,
                    "out": retesting_edges.is_some(), "lookedAtBy": retesting_edges.into_iter().flatten().map(address).collect::<Vec<_>>(),
                    "foundGoneBy": found_by.iter().map(address).collect::<Vec<_>>(), "answeredMs": answered_ago})
            })
        });
        serde_json::json!({"suspects": hosts.collect::<Vec<_>>()})
    }

    /// Describes whether edges route by the committed state; complete only at the leader.
    pub fn drift_json(&self) -> serde_json::Value {
        let now = self.now();
        let heard: Vec<(u32, String, Millis)> =
            self.registry.edges(now).map(|(edge, ago)| (edge.id, edge.zone.clone(), ago)).collect();
        self.drift.describe(now, &self.view, &heard)
    }

    /// Returns commands to repair drifted edges.
    pub(super) fn repair_commands(&mut self, now: Millis) -> Vec<Command> {
        let ready = self.registry.ready_edges(now).into_iter();
        let ready: Vec<(u32, String)> = ready
            .filter(|edge| !self.view.is_resting(edge.id, edge.incarnation))
            .map(|edge| (edge.id, edge.zone.clone()))
            .collect();
        let orders = self.drift.next_repairs(now, &ready);
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

    /// Handles another replica's digest of its state.
    pub(super) fn on_view_digest(&mut self, now: Millis, from: MemberId, index: u64, digest: &Digest) {
        if self.drift.record_digest(now, from, index, digest) {
            event!(CoreDiffers, "{}, as of entry {index}", std::net::Ipv4Addr::from_bits(from));
        }
    }

    /// Records the observations that an edge of this replica made at hosts.
    pub(super) fn record_observations(
        &mut self,
        now: Millis,
        edge: &EdgeStatus,
        observed: Vec<HostObservation>,
    ) {
        if observed.is_empty() {
            return;
        }
        self.host_loads.record(now, &observed, 0);
        self.record_host_evidence(now, edge.id, &observed, 0);
        let (_, at, unsent) =
            self.unsent_observations.entry(edge.id).or_insert((edge.incarnation, now, Vec::new()));
        *at = now;
        // Bounded, as they are sent on four times a second; what does not fit is made up for by the edge's
        // next requests.
        unsent.extend(observed.into_iter().take(1024usize.saturating_sub(unsent.len())));
    }
}
