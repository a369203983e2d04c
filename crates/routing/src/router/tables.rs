//! Builds the routing tables of an edge from the agreed state.

use super::{Router, Service};
use crate::budget::Budget;
use crate::canary::Canaries;
use crate::expected_state;
use crate::marshal::{Marshal, Proximity};
use crate::route_traffic::RouteTraffic;
use crate::table::RouteTable;
use crate::trial::Trial;
use crate::Time;
use milletwing_drift_detection::LeafSink;
use milletwing_replicated_state::{RollOutState, View};
use milletwing_sequential_test::BURN_IN;
use std::rc::Rc;
use std::sync::Arc;

impl Router {
    /// Exports the routing state in use.
    pub fn export_state(&self, sink: &mut impl LeafSink) {
        self.table.export_state(sink);
        // Uses the marshal lists of each service, which are what requests are routed by.
        for (name, service) in &self.services {
            let listed = service.by_proximity.iter().flatten().filter_map(|key| self.marshals.get(key));
            let mut has_marshals = false;
            for marshal in listed {
                has_marshals = true;
                let flags = (marshal.eligible, marshal.on_trial, marshal.cold_limit.is_some());
                expected_state::export_marshal(sink, &marshal.id, name, marshal.address, flags);
                expected_state::export_cold_limit(sink, &marshal.id, marshal.cold_limit.unwrap_or(0));
            }
            if let Some(trial) = service.trial.as_ref().filter(|_| has_marshals) {
                expected_state::export_trial(sink, name, trial.number, trial.stage);
            }
        }
    }

    /// Brings the tables up to date. `rebuild` also renews the agreed state of known marshals.
    pub(super) fn build_tables(&mut self, now: Time, view: &View, rebuild: bool) {
        if let Some(configuration) = view.configuration() {
            if self.configuration.as_ref().is_none_or(|current| !Arc::ptr_eq(current, configuration)) {
                self.table = RouteTable::new(configuration, self.salt);
                self.configuration = Some(Arc::clone(configuration));
                self.response_kilobytes.retain(|name, _| configuration.routing.contains_key(name));
            }
        }
        let removed: Vec<String> =
            self.key_by_id.keys().filter(|id| !view.nodes.contains_key(id.as_str())).cloned().collect();
        for id in removed {
            if let Some(marshal) = self.key_by_id.remove(&id).and_then(|key| self.marshals.remove(&key)) {
                self.key_by_host.remove(&marshal.observation.host);
            }
        }
        let window = (self.guarantees.retryWindowS * 1000.0) as Time;
        for service in self.services.values_mut() {
            service.by_proximity.iter_mut().for_each(Vec::clear);
            service.retested.clear();
        }
        for (id, node) in &view.nodes {
            let key = match self.key_by_id.get(id) {
                Some(key) => *key,
                None => {
                    self.last_key += 1;
                    self.key_by_id.insert(id.clone(), self.last_key);
                    self.last_key
                }
            };
            let region =
                self.location.zone_regions.get(&node.zone).map_or(node.zone.as_str(), String::as_str);
            let proximity = if node.zone == self.location.zone {
                Proximity::SameZone
            } else if region == self.location.region {
                Proximity::SameRegion
            } else {
                Proximity::OtherRegion
            };
            let marshal =
                self.marshals.entry(key).or_insert_with(|| Marshal::new(node, region, proximity, now));
            if rebuild {
                marshal.rebuild_from(Marshal::new(node, region, proximity, now));
            }
            self.key_by_host.insert(marshal.observation.host, key);
            marshal.set_phase(&node.phase, self.location.id);
            (marshal.eligible, marshal.on_trial) = view.eligibility(node);
            marshal.retest = view.is_retested_by(node, self.location.id);
            let is_retested = marshal.retest;
            let max_sessions = self
                .configuration
                .as_ref()
                .and_then(|configuration| configuration.targets.get(&node.target))
                .map_or(64, |target| target.max_sessions);
            let service = self.services.entry(Rc::from(node.target.as_str())).or_insert_with(|| Service {
                by_proximity: Default::default(),
                retested: Vec::new(),
                budget: Budget::new(window),
                mean_latency: 50.0,
                other_load: 0.0,
                max_sessions,
                route_traffic: RouteTraffic::default(),
                trial: None,
            });
            service.max_sessions = max_sessions;
            service.by_proximity[proximity as usize].push(key);
            if is_retested {
                service.retested.push(key);
            }
        }
        self.update_trials(now, view);
    }

    /// Brings the trials of all services up to date.
    fn update_trials(&mut self, now: Time, view: &View) {
        for (name, service) in &mut self.services {
            let rollout =
                view.rollouts.get(name.as_ref()).filter(|rollout| rollout.state == RollOutState::Active);
            let Some(rollout) = rollout else {
                service.trial = None;
                continue;
            };
            if service.trial.as_ref().is_none_or(|trial| trial.number != rollout.number) {
                service.trial = Some(Trial::new(now, rollout, &service.route_traffic));
            }
            let Some(trial) = &mut service.trial else { continue };
            trial.set_stage(now, rollout.stage);
            let (mut trial_capacity, mut total_capacity, mut earliest) = (0.0, 0.0, now);
            for marshal in service.by_proximity.iter().flatten().filter_map(|key| self.marshals.get(key)) {
                if marshal.eligible && marshal.cold_limit.is_none() {
                    total_capacity += marshal.capacity;
                    trial_capacity += if marshal.on_trial { marshal.capacity } else { 0.0 };
                }
                if marshal.on_trial {
                    trial.newest_registered = trial.newest_registered.max(marshal.first_seen);
                    earliest = earliest.min(marshal.first_seen);
                }
            }
            trial.capacity_share = trial_capacity / f64::max(total_capacity, 1.0);
            trial.evidence_from = earliest + BURN_IN;
            let traffic_share = trial.traffic_share(self.guarantees.exposureShare);
            let marshals = self.marshals.iter().filter(|(_, marshal)| marshal.service == *name);
            trial.canaries = Canaries::choose(marshals, traffic_share, service.other_load);
        }
    }
}
