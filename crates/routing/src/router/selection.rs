//! Selects the marshal of an attempt, and when to hedge with a second one.

use super::{
    max_connections, unconfirmed_limit, Attempt, RequestHead, RoutedRequest, Router, CANARY_LATENCY_SHARE,
    EXPOSURE_CONTACT_LIMIT, LOAD_FACTOR_PER_RANK, MAX_LOAD_FACTOR, NETWORK_LATENCY, RETRY_BUDGET_FRACTION,
    TRANSFER_COST_PER_KB,
};
use crate::table::{class_index, Route};
use crate::trial::{PendingAttempt, Trial};
use crate::Time;
use milletwing_config::ErrorKind;
use milletwing_sequential_test::FINAL_STAGE;
use rand::Rng;
use std::rc::Rc;

impl Router {
    /// Routes an incoming request. Errors: no configuration, no route, or no valid API key where
    /// one is needed.
    pub fn route_request(&mut self, now: Time, head: RequestHead<'_>) -> Result<RoutedRequest, ErrorKind> {
        if self.configuration.is_none() {
            return Err(ErrorKind::NotConfigured);
        }
        // Without contact the refusal must not be final: a newer configuration may know the route
        // or key.
        let unless_outdated =
            |kind| if self.core_contact_lost(now) { ErrorKind::CoreUnreachable } else { kind };
        let route =
            self.table.find(head.host, head.path).ok_or_else(|| unless_outdated(ErrorKind::NoRoute))?;
        let route = Rc::clone(route);
        let tenant = if self.table.tenants.key_required() && !route.keyless {
            let found = head.api_key.and_then(|key| self.table.tenants.find(key));
            Some(Rc::clone(found.ok_or_else(|| unless_outdated(ErrorKind::Unauthorized))?))
        } else {
            None
        };
        let service = Rc::clone(route.service_for(self.rng.random()).ok_or(ErrorKind::NoReachableMarshal)?);
        let mut for_trial_version = false;
        if let Some(service) = self.services.get_mut(&service) {
            service.budget.record_request(now);
            service.route_traffic.record(now, &route.name, class_index(route.class));
            if let Some(trial) = &mut service.trial {
                trial.record_request(now, route.class, &route.name);
                let slack = self.guarantees.exposureSlack / (self.edge_count + 2.0);
                let in_contact = now.saturating_sub(self.last_core_contact) < EXPOSURE_CONTACT_LIMIT;
                let draw = self.rng.random();
                for_trial_version = trial.draw_trial_version(
                    now,
                    &route,
                    draw,
                    self.guarantees.exposureShare,
                    slack,
                    in_contact,
                );
            }
        }
        let time_allowed = head.remaining_ms.unwrap_or(u64::MAX).min(route.time_limit);
        Ok(RoutedRequest {
            deadline: now + time_allowed,
            route,
            tenant,
            service,
            tried_marshals: Vec::new(),
            attempts: 0,
            undelivered: 0,
            may_have_run: false,
            for_trial_version,
        })
    }

    /// Maximum number of marshals that one request of this route may be sent to: the limit at the
    /// time of its arrival, or a lower one from a newer configuration.
    pub(super) fn max_attempts(&self, route: &Route) -> u32 {
        let current =
            self.configuration.as_ref().and_then(|configuration| configuration.routing.get(&route.name));
        let current = current.map_or(route.max_attempts, |newer| newer.max_tries.max(1));
        route.max_attempts.min(current)
    }

    /// Selects a marshal and starts an attempt: the first, a retry or a hedge. Errors: the time or
    /// the attempts are used up, no marshal is available, or the retry budget is exhausted.
    pub fn start_attempt(&mut self, now: Time, request: &mut RoutedRequest) -> Result<Attempt, ErrorKind> {
        if now >= request.deadline {
            return Err(if request.may_have_run {
                ErrorKind::ResponseTimeout
            } else {
                ErrorKind::DeadlineExceeded
            });
        }
        // The limit is enforced here for every attempt, whatever the caller decided earlier.
        if request.attempts >= self.max_attempts(&request.route) {
            return Err(if request.may_have_run {
                ErrorKind::MarshalDisconnected
            } else {
                ErrorKind::RejectedByMarshal
            });
        }
        let key = self.select_cheapest(now, request)?;
        if request.attempts > 0 {
            self.spend_retry(now, request)?;
        }
        self.record_start(now, request, key)
    }

    /// The cheapest of two random marshals of each proximity; of all marshals if none of those is
    /// available.
    fn select_cheapest(&mut self, now: Time, request: &RoutedRequest) -> Result<u64, ErrorKind> {
        let contact_lost = self.core_contact_lost(now);
        let Some(service) = self.services.get(&request.service) else {
            return Err(ErrorKind::NoReachableMarshal);
        };
        let retry_safe = request.route.class.is_retry_safe();
        let kilobytes = self.response_kilobytes.get(&request.route.name).copied().unwrap_or(4.0);
        let target_latency = request.route.target_latency as f64;
        // Under load, capacity is reserved for requests that rank first. The limit never falls
        // below twice the capacity.
        let max_load_factor =
            (MAX_LOAD_FACTOR - LOAD_FACTOR_PER_RANK * f64::from(request.priority_rank())).max(2.0);
        let mut best: Option<(f64, u64)> = None;
        let mut full = false;
        let marshals = &mut self.marshals;
        let (typical_latency, other_load) = (service.mean_latency, service.other_load);
        // Retries go to the earlier version as long as it has traffic.
        let at_final_stage = service.trial.as_ref().is_some_and(|trial| trial.stage >= FINAL_STAGE);
        let trial_version = at_final_stage || (request.for_trial_version && request.attempts == 0);
        let has_trial = service.trial.is_some();
        let limit = self.configuration.as_ref().filter(|_| contact_lost).map(|configuration| {
            unconfirmed_limit(configuration, &request.service, &self.guarantees, self.edge_count)
        });
        let canaries = service.trial.as_ref().filter(|_| trial_version && !at_final_stage).map_or_else(
            Vec::new,
            |trial| {
                trial.canaries.select(|key| {
                    marshals.get(&key).is_some_and(|marshal| {
                        let network_latency = if marshal.mean_latency > 0.0 {
                            0.0
                        } else {
                            NETWORK_LATENCY[marshal.proximity as usize]
                        };
                        // Network distance must not be taken for slowness of the version.
                        let fast_enough = marshal.expected_latency(now, typical_latency, other_load)
                            + network_latency
                            <= CANARY_LATENCY_SHARE * target_latency;
                        fast_enough
                            && Trial::gives_evidence(true, now.saturating_sub(marshal.first_seen))
                            && request.allowed_in(&marshal.region)
                    })
                })
            },
        );
        let mut consider =
            |key: u64, version: Option<bool>, best: &mut Option<(f64, u64)>, full: &mut bool| {
                let Some(marshal) = marshals.get_mut(&key) else { return };
                if version.is_some_and(|version| version != marshal.on_trial)
                    || !request.allowed_in(&marshal.region)
                    || request.tried_marshals.contains(&key)
                    || !marshal.accepts(now, retry_safe, limit)
                {
                    return;
                }
                if marshal.estimated_load(now) >= max_load_factor * marshal.capacity {
                    *full = true;
                    return;
                }
                let proximity = marshal.proximity as usize;
                let network_latency =
                    if marshal.mean_latency > 0.0 { 0.0 } else { NETWORK_LATENCY[proximity] };
                let lateness = (marshal.expected_latency(now, typical_latency, other_load) + network_latency)
                    / target_latency;
                let cost = lateness.min(2.0) * lateness.min(2.0)
                    + marshal.failure_rate(now)
                    + TRANSFER_COST_PER_KB[proximity] * kilobytes;
                if best.is_none_or(|(least, _)| cost < least) {
                    *best = Some((cost, key));
                }
            };
        let version = has_trial.then_some(trial_version);
        if request.attempts == 0 {
            // Retests go first, so that the state of an ejected marshal is known soon.
            service.retested.iter().for_each(|key| consider(*key, version, &mut best, &mut full));
        }
        if best.is_none() {
            canaries.iter().for_each(|key| consider(*key, version, &mut best, &mut full));
        }
        let found = best.is_some();
        for candidates in service.by_proximity.iter().filter(|_| !found) {
            if candidates.len() <= 2 {
                candidates.iter().for_each(|key| consider(*key, version, &mut best, &mut full));
            } else {
                let first = self.rng.random_range(0..candidates.len());
                let other = (first + self.rng.random_range(1..candidates.len())) % candidates.len();
                consider(candidates[first], version, &mut best, &mut full);
                consider(candidates[other], version, &mut best, &mut full);
            }
        }
        if best.is_none() {
            // None of the drawn marshals is available: consider all.
            service
                .by_proximity
                .iter()
                .flatten()
                .for_each(|key| consider(*key, version, &mut best, &mut full));
        }
        if best.is_none() && trial_version {
            // The earlier version serves what the new one cannot.
            service.by_proximity.iter().flatten().for_each(|key| consider(*key, None, &mut best, &mut full));
        }
        let refusal = if full { ErrorKind::AtCapacity } else { ErrorKind::NoReachableMarshal };
        best.map(|(_, key)| key).ok_or(if request.may_have_run {
            ErrorKind::MarshalDisconnected
        } else {
            refusal
        })
    }

    /// Takes one retry from this edge's part of the retry budget.
    fn spend_retry(&mut self, now: Time, request: &RoutedRequest) -> Result<(), ErrorKind> {
        let ratio = self.guarantees.retryBudgetRatio * RETRY_BUDGET_FRACTION;
        let slack = self.guarantees.retrySlack * RETRY_BUDGET_FRACTION / (self.edge_count + 2.0);
        let Some(service) = self.services.get_mut(&request.service) else {
            return Err(ErrorKind::NoReachableMarshal);
        };
        if service.budget.try_take(now, ratio, slack) {
            return Ok(());
        }
        Err(if request.may_have_run { ErrorKind::MarshalDisconnected } else { ErrorKind::RejectedByMarshal })
    }

    /// Records the start of an attempt on this marshal.
    fn record_start(
        &mut self,
        now: Time,
        request: &mut RoutedRequest,
        key: u64,
    ) -> Result<Attempt, ErrorKind> {
        let Some(service) = self.services.get_mut(&request.service) else {
            return Err(ErrorKind::NoReachableMarshal);
        };
        let limit = max_connections(service.max_sessions, self.edge_count);
        let Some(marshal) = self.marshals.get_mut(&key) else { return Err(ErrorKind::NoReachableMarshal) };
        marshal.attempt_started(now);
        self.attempt_count += 1;
        let number = self.attempt_count;
        if let Some(trial) = &mut service.trial {
            let class = request.route.class;
            let covariate = trial.covariate(now, class);
            let route = trial.route_number(&request.route.name, class);
            let scored = Trial::gives_evidence(marshal.on_trial, now.saturating_sub(marshal.first_seen));
            let due = now + request.route.target_latency;
            trial.attempt_started(
                number,
                PendingAttempt {
                    class,
                    route,
                    on_trial: marshal.on_trial,
                    covariate,
                    scored,
                    due,
                    timed_out: false,
                },
            );
        }
        request.tried_marshals.push(key);
        request.attempts += 1;
        Ok(Attempt::new(key, marshal, now, limit, number))
    }

    /// Milliseconds after which a retry-safe request is hedged, which means sent to a second
    /// marshal as well; `None` if it may not be.
    pub fn hedge_delay(&self, request: &RoutedRequest, attempt: &Attempt) -> Option<Time> {
        if !request.route.class.is_retry_safe() || request.attempts >= self.max_attempts(&request.route) {
            return None;
        }
        let marshal_mean =
            self.marshals.get(&attempt.marshal_key).map_or(0.0, |marshal| marshal.mean_latency);
        let typical_latency =
            self.services.get(&request.service).map_or(50.0, |service| service.mean_latency);
        Some((request.route.target_latency as f64 * 0.6).max(4.0 * marshal_mean.max(typical_latency)) as Time)
    }
}
