//! What a version on trial has been tried with. A version can be bad for one class of requests, or on one
//! route, so outcomes of the others say nothing about it: each route and each class that brings the service
//! a significant part of its requests needs outcomes of its own.

use crate::{Time, TrialReport, CLASS_COUNT};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;

/// Number of outcomes, and how many of them failed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct OutcomeCount {
    /// All outcomes.
    pub count: f64,
    /// Those that failed.
    pub failed: f64,
}

impl OutcomeCount {
    /// Adds outcomes.
    pub fn add(&mut self, other: OutcomeCount) {
        self.count += other.count;
        self.failed += other.failed;
    }

    fn failure_rate(&self) -> f64 {
        self.failed / self.count.max(1.0)
    }
}

/// Evidence on one route in one trial, as one proxy sees it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct RouteEvidence {
    /// Name of the route.
    pub route: String,
    /// Its class, as an index.
    pub class: usize,
    /// Requests per second that it sent the service shortly before the trial.
    pub rate_before: f64,
    /// Requests that it has sent the service since the trial began.
    pub requests: f64,
    /// Milliseconds from the first of these requests to the last.
    pub active: Time,
    /// Outcomes of the earlier version and of the new one.
    pub outcomes: [OutcomeCount; 2],
}

/// Share of the service's requests from which a route or a class is significant.
const SIGNIFICANT_SHARE: f64 = 0.05;
/// Requests without which a route or a class is not significant, whatever its share.
const SIGNIFICANT_REQUESTS: f64 = 5.0;
/// Requests per second before the trial that have the same weight.
const SIGNIFICANT_RATE: f64 = 0.2;
/// Shortest time in milliseconds from which a rate is computed.
const MIN_RATE_TIME: Time = 2_000;
/// Excess of the new version's failure rate on a route or a class above which it looks bad there.
const MAX_EXCESS: f64 = 0.25;

/// A route or a class with the evidence of all proxies.
#[derive(Clone, Debug, Default)]
struct Totals {
    rate_before: f64,
    requests: f64,
    active: Time,
    outcomes: [OutcomeCount; 2],
}

impl Totals {
    fn add(&mut self, evidence: &RouteEvidence) {
        self.rate_before += evidence.rate_before;
        self.requests += evidence.requests;
        self.active = self.active.max(evidence.active);
        for (total, addition) in self.outcomes.iter_mut().zip(&evidence.outcomes) {
            total.add(*addition);
        }
    }

    /// Requests per second that are to be expected: also of a route that leads elsewhere now, since it may
    /// come back.
    fn rate(&self) -> f64 {
        let in_trial = self.requests * 1_000.0 / self.active.max(MIN_RATE_TIME) as f64;
        in_trial.max(self.rate_before)
    }

    fn is_significant(&self, total_rate: f64) -> bool {
        let seen = self.requests >= SIGNIFICANT_REQUESTS || self.rate_before >= SIGNIFICANT_RATE;
        seen && self.rate() >= SIGNIFICANT_SHARE * total_rate
    }

    fn looks_bad(&self) -> bool {
        let [old, new] = &self.outcomes;
        new.failed > 0.0 && new.failure_rate() > old.failure_rate() + MAX_EXCESS
    }
}

/// What a version has been tried with, over all proxies.
#[derive(Clone, Debug, Default)]
pub struct Coverage {
    routes: BTreeMap<String, Totals>,
    route_classes: BTreeMap<String, usize>,
    classes: [Totals; CLASS_COUNT],
}

impl Coverage {
    /// Adds up the reports of all proxies.
    pub fn of<'a>(reports: impl Iterator<Item = &'a TrialReport>) -> Coverage {
        let mut coverage = Coverage::default();
        for evidence in reports.flat_map(|report| &report.routes) {
            coverage.routes.entry(evidence.route.clone()).or_default().add(evidence);
            coverage.route_classes.insert(evidence.route.clone(), evidence.class);
            if let Some(class) = coverage.classes.get_mut(evidence.class) {
                class.add(evidence);
            }
        }
        coverage
    }

    /// Requests per second that the service has to expect.
    pub fn rate(&self) -> f64 {
        self.routes.values().map(Totals::rate).sum()
    }

    /// Requests per second that these routes are expected to bring.
    pub fn rate_of<'a>(&self, routes: impl Iterator<Item = &'a String>) -> f64 {
        routes.filter_map(|route| self.routes.get(route)).map(Totals::rate).sum()
    }

    /// Significant routes and classes, each with its class.
    fn significant(&self) -> impl Iterator<Item = (String, usize, &Totals)> {
        let total_rate = self.rate();
        let routes = self.routes.iter().map(|(route, totals)| {
            (format!("route {route}"), self.route_classes.get(route).copied().unwrap_or(0), totals)
        });
        let classes =
            self.classes.iter().enumerate().map(|(class, totals)| (format!("class {class}"), class, totals));
        routes.chain(classes).filter(move |(.., totals)| totals.is_significant(total_rate))
    }

    /// Significant routes and classes for which the new version has fewer than `outcomes` outcomes.
    /// `class_is_tried` tells which classes the stage sends to the new version.
    pub fn untried(&self, outcomes: f64, class_is_tried: impl Fn(usize) -> bool) -> Vec<String> {
        self.significant()
            .filter(|(_, class, totals)| class_is_tried(*class) && totals.outcomes[1].count < outcomes)
            .map(|(name, ..)| name)
            .collect()
    }

    /// Significant routes and classes on which the new version fails much more often than the earlier one.
    pub fn failing(&self) -> Vec<String> {
        self.significant().filter(|(.., totals)| totals.looks_bad()).map(|(name, ..)| name).collect()
    }
}
