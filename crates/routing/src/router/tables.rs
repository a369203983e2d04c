//! The tables that an edge routes by, made from what the core has agreed.

use super::{Router, Service};
use crate::budget::Budget;
use crate::canary::Canaries;
use crate::expected_state;
use crate::marshal::{Marshal, Reach};
use crate::table::RouteTable;
use crate::trial::Trial;
use crate::Time;
use milletwing_drift_detection::LeafSink;
use milletwing_replicated_state::{RollOutState, View};
use milletwing_sequential_test::BURN_IN;
use std::rc::Rc;
use std::sync::Arc;

impl Router {
    /// What it routes by, from the tables in use.
    pub fn export_state(&self, sink: &mut impl LeafSink) {
        self.table.export_state(sink);
        // As picks find them: from the lists of each service.
        for (name, service) in &self.services {
            let listed = service.reach.iter().flatten().filter_map(|key| self.marshals.get(key));
            let mut known = false;
            for marshal in listed {
                known = true;
                let flags = (marshal.open, marshal.new, marshal.part.is_some());
                expected_state::export_marshal(sink, &marshal.id, name, marshal.address, flags);
                expected_state::export_cold_limit(sink, &marshal.id, marshal.part.unwrap_or(0));
            }
            if let Some(trial) = service.trial.as_ref().filter(|_| known) {
                expected_state::export_trial(sink, name, trial.number, trial.stage);
            }
        }
    }

    pub(super) fn build(&mut self, now: Time, view: &View, renew: bool) {
        if let Some(configuration) = view.configuration() {
            if self.of.as_ref().is_none_or(|of| !Arc::ptr_eq(of, configuration)) {
                self.table = RouteTable::new(configuration, self.salt);
                self.of = Some(Arc::clone(configuration));
                self.weight.retain(|name, _| configuration.routing.contains_key(name));
            }
        }
        let gone: Vec<String> =
            self.keys.keys().filter(|id| !view.nodes.contains_key(id.as_str())).cloned().collect();
        for id in gone {
            if let Some(marshal) = self.keys.remove(&id).and_then(|key| self.marshals.remove(&key)) {
                self.hosts.remove(&marshal.observed.host);
            }
        }
        let window = (self.bounds.retryWindowS * 1000.0) as Time;
        for service in self.services.values_mut() {
            service.reach.iter_mut().for_each(Vec::clear);
            service.looks.clear();
        }
        for (id, node) in &view.nodes {
            let key = match self.keys.get(id) {
                Some(key) => *key,
                None => {
                    self.next += 1;
                    self.keys.insert(id.clone(), self.next);
                    self.next
                }
            };
            let region = self.place.zone_regions.get(&node.zone).map_or(node.zone.as_str(), String::as_str);
            let reach = if node.zone == self.place.zone {
                Reach::Zone
            } else if region == self.place.region {
                Reach::Region
            } else {
                Reach::Far
            };
            let marshal = self.marshals.entry(key).or_insert_with(|| Marshal::new(node, region, reach, now));
            if renew {
                marshal.renew(Marshal::new(node, region, reach, now));
            }
            self.hosts.insert(marshal.observed.host, key);
            marshal.phase(&node.phase, self.place.id);
            (marshal.open, marshal.new) = view.eligibility(node);
            marshal.look = view.suspected.get(id).is_some_and(|looks| looks.contains(&self.place.id));
            let sessions =
                self.of.as_ref().and_then(|it| it.targets.get(&node.target)).map_or(64, |it| it.max_sessions);
            let service = self.services.entry(Rc::from(node.target.as_str())).or_insert_with(|| Service {
                reach: Default::default(),
                looks: Vec::new(),
                budget: Budget::new(window),
                usual: 50.0,
                others: 0.0,
                connections: sessions,
                trial: None,
            });
            service.connections = sessions;
            service.reach[reach as usize].push(key);
            if view.suspected.get(id).is_some_and(|looks| looks.contains(&self.place.id)) {
                service.looks.push(key);
            }
        }
        self.trials(now, view);
    }

    fn trials(&mut self, now: Time, view: &View) {
        for (name, service) in &mut self.services {
            let roll = view.rollouts.get(name.as_ref()).filter(|roll| roll.state == RollOutState::Active);
            let Some(roll) = roll else {
                service.trial = None;
                continue;
            };
            if service.trial.as_ref().is_none_or(|trial| trial.number != roll.number) {
                service.trial = Some(Trial::new(now, roll));
            }
            let Some(trial) = &mut service.trial else { continue };
            trial.moved(now, roll.stage);
            let (mut new, mut all, mut first) = (0.0, 0.0, now);
            for marshal in service.reach.iter().flatten().filter_map(|key| self.marshals.get(key)) {
                if marshal.open && marshal.part.is_none() {
                    all += marshal.capacity;
                    new += if marshal.new { marshal.capacity } else { 0.0 };
                }
                if marshal.new {
                    trial.started = trial.started.max(marshal.since);
                    first = first.min(marshal.since);
                }
            }
            trial.even = new / f64::max(all, 1.0);
            trial.evidence_from = first + BURN_IN;
            let part = trial.part(self.bounds.exposureShare);
            let marshals = self.marshals.iter().filter(|(_, marshal)| marshal.service == *name);
            trial.canaries = Canaries::choose(marshals, part, service.others);
        }
    }
}
