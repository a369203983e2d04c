//! Whether edges route by the committed state, as seen by one control-plane replica: applies
//! `milletwing-drift-detection` to this replica's view.

use milletwing_config::{event, Configuration};
use milletwing_consensus::MemberId;
use milletwing_drift_detection::{
    Checker, Digest, Finding, LeafHashes, Part, RepairOrder, Repairer, Sample, TableDigest,
};
use milletwing_replicated_state::View;
use milletwing_routing::expected_state;
use milletwing_routing::table::RouteTable;
use milletwing_routing::tenants::Salt;
use serde_json::json;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::Ipv4Addr;
use std::sync::Arc;

/// Milliseconds of a monotonic clock.
type Millis = u64;

/// Maximum number of routing decisions kept for operators who look up a request.
const MAX_SAMPLES: usize = 2_048;
/// A digest comparison with another replica that is older than this is ignored.
const DIGEST_FRESHNESS_MS: Millis = 3_000;
/// Maximum number of differences that are listed.
const MAX_LISTED_DIFFERENCES: usize = 8;

/// A sampled routing decision of an edge, with the result of its check.
struct CheckedDecision {
    at: Millis,
    edge: u32,
    sample: Sample,
    result: String,
}

/// Checks whether edges route by the committed state, and plans repairs.
pub struct DriftMonitor {
    /// Checks of the edges connected to this replica.
    pub checker: Checker,
    /// Findings on all edges and the repairs that follow; used while this replica leads.
    pub repairer: Repairer,
    /// The routing table of the configuration in force.
    table: (Option<Arc<Configuration>>, RouteTable),
    samples: VecDeque<CheckedDecision>,
    /// Number of decisions checked, and of those that contradicted the committed state.
    decision_counts: (u64, u64),
    /// The finding last logged of each drifted edge, and whether the alarm that most edges seem to drift
    /// was logged.
    logged_findings: BTreeMap<u32, String>,
    alarm_logged: bool,
    /// For each other replica, when its digest was last compared with this replica's for the same entry,
    /// and whether they matched.
    digest_matches: BTreeMap<MemberId, (Millis, bool)>,
}

impl DriftMonitor {
    /// `lag`: for how many milliseconds an edge may be behind.
    pub fn new(lag: Millis) -> DriftMonitor {
        DriftMonitor {
            checker: Checker::new(lag),
            repairer: Repairer::default(),
            table: (None, RouteTable::default()),
            samples: VecDeque::new(),
            decision_counts: (0, 0),
            logged_findings: BTreeMap::new(),
            alarm_logged: false,
            digest_matches: BTreeMap::new(),
        }
    }

    /// Rebuilds the routing table if the configuration has changed.
    fn refresh_table(&mut self, view: &View) {
        let Some(configuration) = view.configuration() else { return };
        if self.table.0.as_ref().is_none_or(|current| !Arc::ptr_eq(current, configuration)) {
            self.table = (Some(Arc::clone(configuration)), RouteTable::new(configuration, Salt::default()));
        }
    }

    /// Computes this replica's own digest as of the last applied entry, unless it exists.
    pub fn update_own_digest(&mut self, now: Millis, view: &View) {
        if view.index == 0 || self.checker.last_index() == Some(view.index) {
            return;
        }
        self.refresh_table(view);
        let mut digest = Digest::default();
        self.table.1.export_state(&mut digest);
        expected_state::export_shared(view, &mut digest);
        self.checker.record_core_digest(now, view.index, digest);
    }

    /// Returns the newest digest of this replica.
    pub fn newest_digest(&self) -> Option<(u64, Digest)> {
        let index = self.checker.last_index()?;
        self.checker.core_digest(index).map(|digest| (index, *digest))
    }

    /// Checks an edge's report.
    pub fn check_report(
        &mut self,
        now: Millis,
        view: &View,
        (edge, index): (u32, u64),
        table_digest: Option<TableDigest>,
        sample: Option<Sample>,
        fresh: bool,
    ) -> Vec<Finding> {
        let mut findings = Vec::new();
        findings.extend(self.checker.record_heartbeat(now, edge, index, fresh));
        if let Some(table_digest) = &table_digest {
            let expected = self.checker.core_digest(table_digest.index).copied().map(|mut expected| {
                if table_digest.index != view.index {
                    // What an edge may send to a cold marshal is known as of the last entry only.
                    return expected.with_part_of(&table_digest.digest, Part::Deals);
                }
                expected_state::export_cold_limits(view, edge, &mut expected);
                expected
            });
            findings.push(self.checker.check(now, edge, table_digest, expected, fresh));
        }
        if let Some(sample) = sample {
            // A decision made by a configuration other than the one in force here cannot be checked: it may
            // have been right when it was made.
            let same_revision = sample.revision == view.revision;
            let found = if same_revision { self.check_decision(view, &sample) } else { None };
            if let Some(contradiction) = &found {
                findings.push(Finding::Contradiction(contradiction.clone()));
            }
            let result =
                found
                    .unwrap_or_else(|| if same_revision { "as agreed".into() } else { "not checked".into() });
            self.samples.push_back(CheckedDecision { at: now, edge, sample, result });
            if self.samples.len() > MAX_SAMPLES {
                self.samples.pop_front();
            }
        }
        findings
    }

    /// Returns what is wrong with a decision under the configuration in force.
    fn check_decision(&mut self, view: &View, sample: &Sample) -> Option<String> {
        self.refresh_table(view);
        self.decision_counts.0 += 1;
        let contradiction =
            match (self.table.1.find(&sample.host, &sample.path), view.nodes.get(&sample.marshal)) {
                (None, _) => Some("no route".to_owned()),
                (Some(route), _) if route.name != sample.route => {
                    Some(format!("route {} for {}", sample.route, route.name))
                }
                (Some(route), _)
                    if !route.cumulative_shares.iter().any(|(service, _)| **service == *sample.service) =>
                {
                    Some(format!("service {} on route {}", sample.service, route.name))
                }
                (Some(_), Some(node)) if node.target != sample.service => {
                    Some(format!("{} for service {}", sample.marshal, sample.service))
                }
                // Not an error: the marshal may have left, or its zone may have been evacuated, since the
                // request was sent.
                _ => None,
            };
        self.decision_counts.1 += u64::from(contradiction.is_some());
        contradiction
    }

    /// Lists by name what differs between an edge's routing state and the committed state.
    pub fn list_differences(&mut self, view: &View, edge: u32, hashes: &LeafHashes) -> Vec<String> {
        self.refresh_table(view);
        let mut expected = LeafHashes::default();
        self.table.1.export_state(&mut expected);
        expected_state::export_shared(view, &mut expected);
        expected_state::export_cold_limits(view, edge, &mut expected);
        expected.differences(hashes, MAX_LISTED_DIFFERENCES)
    }

    /// Returns the leader's next repairs. Logs edges that drift and edges that have recovered.
    pub fn next_repairs(&mut self, now: Millis, ready: &[(u32, String)]) -> Vec<RepairOrder> {
        let orders = self.repairer.next_orders(now, ready);
        let mut drifted = BTreeSet::new();
        for (edge, standing) in self.repairer.edges() {
            if standing.since.is_none() {
                continue;
            }
            drifted.insert(edge);
            let description = standing.finding.describe();
            if standing.finding.is_drift() && self.logged_findings.get(&edge) != Some(&description) {
                event!(Drifted, "{} in {}: {description}", Ipv4Addr::from_bits(edge), standing.zone);
                self.logged_findings.insert(edge, description);
            }
        }
        self.logged_findings.retain(|edge, _| {
            let is_drifted = drifted.contains(edge);
            if !is_drifted {
                event!(Recovered, "{}", Ipv4Addr::from_bits(*edge));
            }
            is_drifted
        });
        if self.repairer.most_drifted && !self.alarm_logged {
            event!(AllDrift, "{} edges", drifted.len());
        }
        self.alarm_logged = self.repairer.most_drifted;
        orders
    }

    /// Records another replica's digest as of an entry. Returns whether that replica has only now begun to
    /// differ from this one.
    pub fn record_digest(&mut self, now: Millis, from: MemberId, index: u64, digest: &Digest) -> bool {
        let Some(own) = self.checker.core_digest(index) else { return false };
        let same = own.differing_parts(digest).is_empty();
        let before = self.digest_matches.insert(from, (now, same));
        !same && before.is_none_or(|(_, same)| same)
    }

    /// Whether this replica is the faulty one: of the other replicas with a recent digest, more differ from
    /// it than agree with it.
    pub fn is_outlier(&self, now: Millis) -> bool {
        let fresh =
            || self.digest_matches.values().filter(|(at, _)| now.saturating_sub(*at) < DIGEST_FRESHNESS_MS);
        let differing = fresh().filter(|(_, same)| !same).count();
        differing >= 2 && differing > fresh().count() - differing
    }

    /// Describes for operators all edges that were heard from, with the finding on each.
    pub fn describe(&self, now: Millis, view: &View, heard: &[(u32, String, Millis)]) -> serde_json::Value {
        let known: BTreeMap<u32, _> = self.repairer.edges().collect();
        let edges = heard.iter().map(|(edge, zone, silent)| {
            let standing = known.get(edge);
            let found = standing.filter(|it| now.saturating_sub(it.at) < 4_000 && *silent < 4_000);
            // An edge that is out of touch is unknown, not healthy.
            let state = found.map_or("unknown".to_owned(), |it| it.finding.describe());
            json!({"edge": Ipv4Addr::from_bits(*edge).to_string(), "zone": zone, "state": state, "silentMs": silent,
                "driftedMs": standing.and_then(|it| it.since).map(|since| now.saturating_sub(since)),
                "step": standing.and_then(|it| it.step).map(|(step, _)| step.as_str())})
        });
        let repairs = view.repairs.iter().map(|repair| {
            json!({"entry": repair.index, "edge": Ipv4Addr::from_bits(repair.edge).to_string(), "step": repair.step.as_str(),
                "why": repair.why})
        });
        json!({"edges": edges.collect::<Vec<_>>(), "repairs": repairs.collect::<Vec<_>>(), "allInDoubt": self.repairer.most_drifted,
            "digestsChecked": self.checker.checked, "digestsThatDiffered": self.checker.differed,
            "decisionsChecked": self.decision_counts.0, "decisionsThatDiffered": self.decision_counts.1})
    }

    /// Returns the sampled decisions on a request that were reported to this replica.
    pub fn decisions_on(&self, now: Millis, attempt: &str) -> Vec<serde_json::Value> {
        let found = self.samples.iter().filter(|it| it.sample.attempt == attempt);
        let decisions = found.map(|it| {
            json!({"edge": Ipv4Addr::from_bits(it.edge).to_string(), "agoMs": now.saturating_sub(it.at),
                "host": it.sample.host, "path": it.sample.path, "route": it.sample.route,
                "service": it.sample.service, "marshal": it.sample.marshal, "found": it.result})
        });
        decisions.collect()
    }
}
