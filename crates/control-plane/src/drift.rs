//! Whether edges route by what was agreed, as one machine of the core sees it: `milletwing-drift-detection` with this machine's view.

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

/// Milliseconds of a steady clock.
type Time = u64;

/// Decisions remembered, for operators who ask after a request.
const SAMPLES: usize = 2_048;
/// What another machine of the core said longer ago says nothing.
const FRESH: Time = 3_000;
/// Differences named at most.
const NAMED: usize = 8;

struct Decision {
    at: Time,
    edge: u32,
    sample: Sample,
    found: String,
}

/// Checks of the edges that this machine tells, and the leader's record of all.
pub struct Drift {
    pub checker: Checker,
    pub repairer: Repairer,
    /// Routes as they are looked up, of the configuration in force.
    table: (Option<Arc<Configuration>>, RouteTable),
    samples: VecDeque<Decision>,
    /// Decisions checked, and those that were not as agreed.
    decided: (u64, u64),
    /// Edges named, and whether all were in doubt.
    named: BTreeMap<u32, String>,
    doubt: bool,
    /// What other machines of the core last said of the same entry: whether it is what this one has.
    others: BTreeMap<MemberId, (Time, bool)>,
}

impl Drift {
    /// Of edges that may be behind for so many milliseconds.
    pub fn new(lag: Time) -> Drift {
        Drift {
            checker: Checker::new(lag),
            repairer: Repairer::default(),
            table: (None, RouteTable::default()),
            samples: VecDeque::new(),
            decided: (0, 0),
            named: BTreeMap::new(),
            doubt: false,
            others: BTreeMap::new(),
        }
    }

    fn follow(&mut self, view: &View) {
        let Some(configuration) = view.configuration() else { return };
        if self.table.0.as_ref().is_none_or(|of| !Arc::ptr_eq(of, configuration)) {
            self.table = (Some(Arc::clone(configuration)), RouteTable::new(configuration, Salt::default()));
        }
    }

    /// Makes this machine's own digest as of the last entry folded, unless that is there.
    pub fn reflect(&mut self, now: Time, view: &View) {
        if view.index == 0 || self.checker.last_index() == Some(view.index) {
            return;
        }
        self.follow(view);
        let mut digest = Digest::default();
        self.table.1.export_state(&mut digest);
        expected_state::export_shared(view, &mut digest);
        self.checker.record_core_digest(now, view.index, digest);
    }

    /// The newest own digest.
    pub fn own(&self) -> Option<(u64, Digest)> {
        let index = self.checker.last_index()?;
        self.checker.core_digest(index).map(|digest| (index, *digest))
    }

    /// What an edge's beat shows.
    pub fn beat(
        &mut self,
        now: Time,
        view: &View,
        (edge, index): (u32, u64),
        table_digest: Option<TableDigest>,
        sample: Option<Sample>,
        fresh: bool,
    ) -> Vec<Finding> {
        let mut out = Vec::new();
        out.extend(self.checker.record_heartbeat(now, edge, index, fresh));
        if let Some(table_digest) = &table_digest {
            let wanted = self.checker.core_digest(table_digest.index).copied().map(|mut wanted| {
                if table_digest.index != view.index {
                    // Who may send what to a cold marshal is known as of the last entry only.
                    return wanted.with_part_of(&table_digest.digest, Part::Deals);
                }
                expected_state::export_cold_limits(view, edge, &mut wanted);
                wanted
            });
            out.push(self.checker.check(now, edge, table_digest, wanted, fresh));
        }
        if let Some(sample) = sample {
            // By another configuration than the one in force here it was right, or wrong, in its own time.
            let as_of = sample.revision == view.revision;
            let found = if as_of { self.decide(view, &sample) } else { None };
            if let Some(what) = &found {
                out.push(Finding::Contradiction(what.clone()));
            }
            let found =
                found.unwrap_or_else(|| if as_of { "as agreed".into() } else { "not checked".into() });
            self.samples.push_back(Decision { at: now, edge, sample, found });
            if self.samples.len() > SAMPLES {
                self.samples.pop_front();
            }
        }
        out
    }

    /// What is wrong with a decision, by the configuration in force.
    fn decide(&mut self, view: &View, sample: &Sample) -> Option<String> {
        self.follow(view);
        self.decided.0 += 1;
        let wrong = match (self.table.1.find(&sample.host, &sample.path), view.nodes.get(&sample.marshal)) {
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
            // Others may have left, or been emptied, since it was sent.
            _ => None,
        };
        self.decided.1 += u64::from(wrong.is_some());
        wrong
    }

    /// What differs between what an edge routes by and what was agreed, by name.
    pub fn compare(&mut self, view: &View, edge: u32, names: &LeafHashes) -> Vec<String> {
        self.follow(view);
        let mut wanted = LeafHashes::default();
        self.table.1.export_state(&mut wanted);
        expected_state::export_shared(view, &mut wanted);
        expected_state::export_cold_limits(view, edge, &mut wanted);
        wanted.differences(names, NAMED)
    }

    /// What the leader does next; edges that drift or are well again are told to operators.
    pub fn step(&mut self, now: Time, ready: &[(u32, String)]) -> Vec<RepairOrder> {
        let orders = self.repairer.next_orders(now, ready);
        let mut drifted = BTreeSet::new();
        for (edge, standing) in self.repairer.edges() {
            if standing.since.is_none() {
                continue;
            }
            drifted.insert(edge);
            let word = standing.finding.describe();
            if standing.finding.is_drift() && self.named.get(&edge) != Some(&word) {
                event!(Drifted, "{} in {}: {word}", Ipv4Addr::from_bits(edge), standing.zone);
                self.named.insert(edge, word);
            }
        }
        self.named.retain(|edge, _| {
            let still = drifted.contains(edge);
            if !still {
                event!(Recovered, "{}", Ipv4Addr::from_bits(*edge));
            }
            still
        });
        if self.repairer.most_drifted && !self.doubt {
            event!(AllDrift, "{} edges", drifted.len());
        }
        self.doubt = self.repairer.most_drifted;
        orders
    }

    /// Another machine of the core has this digest as of an entry. Whether it is news that it differs from this one's.
    pub fn view_digest(&mut self, now: Time, from: MemberId, index: u64, digest: &Digest) -> bool {
        let Some(own) = self.checker.core_digest(index) else { return false };
        let same = own.differing_parts(digest).is_empty();
        let before = self.others.insert(from, (now, same));
        !same && before.is_none_or(|(_, same)| same)
    }

    /// Whether this machine is the one that is wrong: of the others that speak of the same entries more differ than agree.
    pub fn odd(&self, now: Time) -> bool {
        let fresh = || self.others.values().filter(|(at, _)| now.saturating_sub(*at) < FRESH);
        let differ = fresh().filter(|(_, same)| !same).count();
        differ >= 2 && differ > fresh().count() - differ
    }

    /// For operators: all edges that were heard, with what was found of each.
    pub fn tell(&self, now: Time, view: &View, heard: &[(u32, String, Time)]) -> serde_json::Value {
        let known: BTreeMap<u32, _> = self.repairer.edges().collect();
        let edges = heard.iter().map(|(edge, zone, silent)| {
            let standing = known.get(edge);
            let found = standing.filter(|it| now.saturating_sub(it.at) < 4_000 && *silent < 4_000);
            // Out of touch is unknown, not well.
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
            "decisionsChecked": self.decided.0, "decisionsThatDiffered": self.decided.1})
    }

    /// The decisions on a request that this machine was told.
    pub fn explain(&self, now: Time, attempt: &str) -> Vec<serde_json::Value> {
        let found = self.samples.iter().filter(|it| it.sample.attempt == attempt);
        let told = found.map(|it| {
            json!({"edge": Ipv4Addr::from_bits(it.edge).to_string(), "agoMs": now.saturating_sub(it.at),
                "host": it.sample.host, "path": it.sample.path, "route": it.sample.route,
                "service": it.sample.service, "marshal": it.sample.marshal, "found": it.found})
        });
        told.collect()
    }
}
