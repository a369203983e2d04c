//! Which marshal a request is sent to, and when a second one.

use super::{
    connections, unheard_bound, Attempt, RequestHead, RoutedRequest, Router, AWAY, BUDGET_PART, CROSSING,
    DEEP, HEARD, LONG, NEAR, STEP,
};
use crate::table::Route;
use crate::trial::{Out, Trial};
use crate::Time;
use milletwing_config::ErrorKind;
use milletwing_sequential_test::FINAL_STAGE;
use rand::Rng;
use std::rc::Rc;

impl Router {
    /// A request came. Errors: no configuration, no route, or no known key where the route needs one.
    pub fn route_request(&mut self, now: Time, head: RequestHead<'_>) -> Result<RoutedRequest, ErrorKind> {
        if self.of.is_none() {
            return Err(ErrorKind::NotConfigured);
        }
        // Guards against a refusal for good by what is known no longer.
        let unless_newer = |kind| if self.core_contact_lost(now) { ErrorKind::CoreUnreachable } else { kind };
        let route = self.table.find(head.host, head.path).ok_or_else(|| unless_newer(ErrorKind::NoRoute))?;
        let route = Rc::clone(route);
        let tenant = if self.table.tenants.any() && !route.keyless {
            let found = head.api_key.and_then(|key| self.table.tenants.find(key));
            Some(Rc::clone(found.ok_or_else(|| unless_newer(ErrorKind::Unauthorized))?))
        } else {
            None
        };
        let service = Rc::clone(route.service(self.chance.random()).ok_or(ErrorKind::NoReachableMarshal)?);
        let mut new = false;
        if let Some(service) = self.services.get_mut(&service) {
            service.budget.request(now);
            if let Some(trial) = &mut service.trial {
                trial.request(now, route.class);
                let slack = self.bounds.exposureSlack / (self.edges + 2.0);
                let heard = now.saturating_sub(self.heard) < HEARD;
                let draw = self.chance.random();
                new = trial.heads(now, route.class, draw, self.bounds.exposureShare, slack, heard);
            }
        }
        let hold = head.remaining_ms.unwrap_or(u64::MAX).min(route.guard);
        Ok(RoutedRequest {
            deadline: now + hold,
            route,
            tenant,
            service,
            tried: Vec::new(),
            sent: 0,
            missed: 0,
            may_have_run: false,
            new,
        })
    }

    /// Marshals that one request of this route may be sent to: as the route had it when the request came, or fewer where a
    /// newer configuration says so.
    pub(super) fn max_tries(&self, route: &Route) -> u32 {
        let current = self.of.as_ref().and_then(|of| of.routing.get(&route.name));
        let current = current.map_or(route.tries, |newer| newer.max_tries.max(1));
        route.tries.min(current)
    }

    /// Picks a marshal for a first sending, or for a further one. Errors: the request's time or its tries are used up, no
    /// marshal may be sent to, or the budget of further tries is spent.
    pub fn start_attempt(&mut self, now: Time, ticket: &mut RoutedRequest) -> Result<Attempt, ErrorKind> {
        if now >= ticket.deadline {
            return Err(if ticket.may_have_run {
                ErrorKind::ResponseTimeout
            } else {
                ErrorKind::DeadlineExceeded
            });
        }
        // The one place that owns the limit: whoever asks for a further sending is refused here, whatever was decided earlier.
        if ticket.sent >= self.max_tries(&ticket.route) {
            return Err(if ticket.may_have_run {
                ErrorKind::MarshalDisconnected
            } else {
                ErrorKind::RejectedByMarshal
            });
        }
        let key = self.cheapest(now, ticket)?;
        if ticket.sent > 0 {
            self.spend_retry(now, ticket)?;
        }
        self.begin(now, ticket, key)
    }

    /// The marshal at which a request costs least, of two drawn from each reach; of all, where none of those may be sent to.
    fn cheapest(&mut self, now: Time, ticket: &RoutedRequest) -> Result<u64, ErrorKind> {
        let out_of_touch = self.core_contact_lost(now);
        let Some(service) = self.services.get(&ticket.service) else {
            return Err(ErrorKind::NoReachableMarshal);
        };
        let repeatable = ticket.route.class.is_retry_safe();
        let kilobytes = self.weight.get(&ticket.route.name).copied().unwrap_or(4.0);
        let target = ticket.route.target as f64;
        // Under pressure room is left for what goes before; never less than what marshals work on at once and as much again.
        let deep = (DEEP - STEP * f64::from(ticket.rank())).max(2.0);
        let mut best: Option<(f64, u64)> = None;
        let mut full = false;
        let marshals = &mut self.marshals;
        let (usual, others) = (service.usual, service.others);
        // A further try of a request goes to the version that is known, as long as that has traffic.
        let last = service.trial.as_ref().is_some_and(|trial| trial.stage >= FINAL_STAGE);
        let wanted = last || (ticket.new && ticket.sent == 0);
        let tried = service.trial.is_some();
        let unheard = self
            .of
            .as_ref()
            .filter(|_| out_of_touch)
            .map(|of| unheard_bound(of, &ticket.service, &self.bounds, self.edges));
        let canaries = service.trial.as_ref().filter(|_| wanted && !last).map_or_else(Vec::new, |trial| {
            trial.canaries.of(|key| {
                marshals.get(&key).is_some_and(|marshal| {
                    let away = if marshal.mean > 0.0 { 0.0 } else { AWAY[marshal.reach as usize] };
                    // Guards against taking distance for a fault of the version.
                    let near = marshal.wait(now, usual, others) + away <= NEAR * target;
                    near && Trial::gives(true, now.saturating_sub(marshal.since))
                        && ticket.at_home(&marshal.region)
                })
            })
        });
        let mut weigh = |key: u64, side: Option<bool>, best: &mut Option<(f64, u64)>, full: &mut bool| {
            let Some(marshal) = marshals.get_mut(&key) else { return };
            if side.is_some_and(|side| side != marshal.new)
                || !ticket.at_home(&marshal.region)
                || ticket.tried.contains(&key)
                || !marshal.takes(now, repeatable, unheard)
            {
                return;
            }
            if marshal.jobs(now) >= deep * marshal.capacity {
                *full = true;
                return;
            }
            let reach = marshal.reach as usize;
            let away = if marshal.mean > 0.0 { 0.0 } else { AWAY[reach] };
            let late = (marshal.wait(now, usual, others) + away) / target;
            let cost = late.min(2.0) * late.min(2.0) + marshal.failing(now) + CROSSING[reach] * kilobytes;
            if best.is_none_or(|(least, _)| cost < least) {
                *best = Some((cost, key));
            }
        };
        let side = tried.then_some(wanted);
        if ticket.sent == 0 {
            // A look is a request that goes there first, so that it is known soon.
            service.looks.iter().for_each(|key| weigh(*key, side, &mut best, &mut full));
        }
        if best.is_none() {
            canaries.iter().for_each(|key| weigh(*key, side, &mut best, &mut full));
        }
        let found = best.is_some();
        for reach in service.reach.iter().filter(|_| !found) {
            if reach.len() <= 2 {
                reach.iter().for_each(|key| weigh(*key, side, &mut best, &mut full));
            } else {
                let first = self.chance.random_range(0..reach.len());
                let other = (first + self.chance.random_range(1..reach.len())) % reach.len();
                weigh(reach[first], side, &mut best, &mut full);
                weigh(reach[other], side, &mut best, &mut full);
            }
        }
        if best.is_none() {
            // None of those drawn may be sent to: look at all.
            service.reach.iter().flatten().for_each(|key| weigh(*key, side, &mut best, &mut full));
        }
        if best.is_none() && wanted {
            // The earlier version serves what the new one can't.
            service.reach.iter().flatten().for_each(|key| weigh(*key, None, &mut best, &mut full));
        }
        let none = if full { ErrorKind::AtCapacity } else { ErrorKind::NoReachableMarshal };
        best.map(|(_, key)| key).ok_or(if ticket.may_have_run {
            ErrorKind::MarshalDisconnected
        } else {
            none
        })
    }

    /// Takes a further sending from this edge's part of the budget.
    fn spend_retry(&mut self, now: Time, ticket: &RoutedRequest) -> Result<(), ErrorKind> {
        let ratio = self.bounds.retryBudgetRatio * BUDGET_PART;
        let slack = self.bounds.retrySlack * BUDGET_PART / (self.edges + 2.0);
        let Some(service) = self.services.get_mut(&ticket.service) else {
            return Err(ErrorKind::NoReachableMarshal);
        };
        if service.budget.take(now, ratio, slack) {
            return Ok(());
        }
        Err(if ticket.may_have_run { ErrorKind::MarshalDisconnected } else { ErrorKind::RejectedByMarshal })
    }

    /// Counts a sending that goes to this marshal now.
    fn begin(&mut self, now: Time, ticket: &mut RoutedRequest, key: u64) -> Result<Attempt, ErrorKind> {
        let Some(service) = self.services.get_mut(&ticket.service) else {
            return Err(ErrorKind::NoReachableMarshal);
        };
        let connections = connections(service.connections, self.edges);
        let Some(marshal) = self.marshals.get_mut(&key) else { return Err(ErrorKind::NoReachableMarshal) };
        marshal.send(now);
        self.sendings += 1;
        let number = self.sendings;
        if let Some(trial) = &mut service.trial {
            let class = ticket.route.class;
            let covariate = trial.covariate(now, class);
            let scored = Trial::gives(marshal.new, now.saturating_sub(marshal.since));
            let until = now + ticket.route.target;
            trial.sent(number, Out { class, new: marshal.new, covariate, scored, until, late: false });
        }
        ticket.tried.push(key);
        ticket.sent += 1;
        Ok(Attempt::to(key, marshal, now, connections, number))
    }

    /// Milliseconds after which a repeatable request without an answer is sent to a second marshal as well.
    pub fn hedge_delay(&self, ticket: &RoutedRequest, sending: &Attempt) -> Option<Time> {
        if !ticket.route.class.is_retry_safe() || ticket.sent >= self.max_tries(&ticket.route) {
            return None;
        }
        let mean = self.marshals.get(&sending.marshal_key).map_or(0.0, |marshal| marshal.mean);
        let usual = self.services.get(&ticket.service).map_or(50.0, |service| service.usual);
        Some((ticket.route.target as f64 * 0.6).max(4.0 * mean.max(usual)) as Time)
    }

    /// Milliseconds that a sending may well take: the expected wait many times over, and twice the route's aim at least.
    pub fn expected_duration_bound(&self, now: Time, ticket: &RoutedRequest, sending: &Attempt) -> Time {
        let service = self.services.get(&ticket.service);
        let (usual, others) = service.map_or((50.0, 0.0), |service| (service.usual, service.others));
        let marshal = self.marshals.get(&sending.marshal_key);
        let wait = marshal.map_or(usual, |marshal| marshal.wait(now, usual, others));
        (2 * ticket.route.target).max((LONG * wait) as Time)
    }
}
