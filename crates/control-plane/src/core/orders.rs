//! Orders and beats: decided here where this machine leads, else passed on to the leader, for as long as their callers wait.

use super::{Core, Shared, Time};
use milletwing_config::{event, Configuration, ErrorKind};
use milletwing_consensus::{LogPosition, Role};
use milletwing_replicated_state::registry::BeatAction;
use milletwing_replicated_state::view::configuration_digest;
use milletwing_replicated_state::{Beat, Command, RollOutState, View};
use milletwing_wire::{Answer, CoreRequest, PeerMessage};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Milliseconds without its leader's word after which a machine acknowledges no beat: an election is over by then.
const ACKNOWLEDGES: Time = 2_000;
/// Before an order without a clear answer is tried again within its caller's time.
const AGAIN: Duration = Duration::from_millis(50);
/// How long the leader's answer is waited for before the order is passed on again.
const PASSED_ON: Duration = Duration::from_millis(450);
/// How long after its coming a call may learn of orders that stood before it: less than any caller waits before it calls again.
const JUST_CAME: Duration = Duration::from_millis(400);
/// Evacuations remembered by their order's number.
const MOST_ORDERS: usize = 256;
/// The state of a marshal that leaves, in its beats.
const DRAINING: &str = "draining";

/// Evacuations that this machine has entered while it led, so that one passed on twice is one order.
#[derive(Default)]
pub(super) struct Orders(VecDeque<(u64, LogPosition)>);

impl Orders {
    /// Where an order was entered.
    fn entered(&self, order: u64) -> Option<LogPosition> {
        self.0.iter().find(|(known, _)| *known == order).map(|(_, mark)| *mark)
    }

    /// An order was entered here.
    fn note(&mut self, order: u64, mark: LogPosition) {
        self.0.push_back((order, mark));
        if self.0.len() > MOST_ORDERS {
            self.0.pop_front();
        }
    }
}

/// The newest entries about zones and about services' roll-outs: folded here one by one, or proposed here and not folded yet. What
/// came with a state from elsewhere counts as changed by its last entry.
pub(super) struct Changed {
    since: u64,
    zones: BTreeMap<String, u64>,
    services: BTreeMap<String, u64>,
}

impl Changed {
    /// Nothing is known but a state as of this entry.
    pub(super) fn since(index: u64) -> Changed {
        Changed { since: index, zones: BTreeMap::new(), services: BTreeMap::new() }
    }

    /// An entry was folded.
    pub(super) fn note(&mut self, index: u64, command: &Command) {
        match command {
            Command::Evacuate { zone, .. } => self.propose_zone(zone, index),
            Command::RollOut { service, .. } | Command::Settle { service, .. } => {
                self.propose_service(service, index);
            }
            _ => {}
        }
    }

    fn propose_zone(&mut self, zone: &str, index: u64) {
        self.zones.insert(zone.into(), index);
    }

    fn propose_service(&mut self, service: &str, index: u64) {
        self.services.insert(service.into(), index);
    }

    /// Whether an entry about this zone stands, or may stand, behind this one.
    fn zone_after(&self, zone: &str, seen: u64) -> bool {
        self.zones.get(zone).copied().unwrap_or(self.since) > seen
    }

    /// The same of a service's roll-outs.
    fn service_after(&self, service: &str, seen: u64) -> bool {
        self.services.get(service).copied().unwrap_or(self.since) > seen
    }
}

/// An answer that is there already.
fn at_once(answer: Answer) -> oneshot::Receiver<Answer> {
    let (send, wait) = oneshot::channel();
    let _ = send.send(answer); // its other end is here
    wait
}

/// Services whose newest roll-out came to a bad end.
pub(super) fn reverted_services(view: &View) -> impl Iterator<Item = String> + '_ {
    let reverted = view.rollouts.iter().filter(|(_, roll)| roll.state == RollOutState::Reverted);
    reverted.map(|(service, _)| service.clone())
}

impl Core {
    /// Proposes an entry, and waits for what becomes of it.
    pub(super) fn enter(&mut self, command: &Command) -> Option<oneshot::Receiver<Answer>> {
        let now = self.now();
        let (term, index) = self.member.propose(now, command.to_bytes())?;
        Some(self.wait_for(term, index))
    }

    /// Decides an order, where this machine leads and knows everything that was committed before.
    pub(super) async fn lead(shared: &Shared, ask: CoreRequest) -> Answer {
        let wait = {
            let core = &mut *shared.borrow_mut();
            // Guards against a new leader that acknowledges by what it has not folded yet. A read waits for that by itself.
            if core.member.role() != Role::Leader
                || (ask != CoreRequest::ReadIndex && !core.member.is_caught_up_leader())
            {
                return Answer::NotAccepted;
            }
            core.decide(ask)
        };
        Core::pump(shared);
        match wait {
            Some(wait) => wait.await.unwrap_or(Answer::Unknown),
            None => Answer::NotAccepted,
        }
    }

    /// What becomes of an order comes out of what is given back; nothing where it can't be taken.
    fn decide(&mut self, ask: CoreRequest) -> Option<oneshot::Receiver<Answer>> {
        let now = self.now();
        match ask {
            CoreRequest::Beat { id, beat } => {
                let verdict = self.registry.handle_beat(now, &self.view, &id, &beat);
                self.verdict(verdict)
            }
            CoreRequest::Leave { id } => {
                let verdict = self.registry.handle_leave(&self.view, &id);
                self.verdict(verdict)
            }
            CoreRequest::Configure(command) => self.enter(&command),
            CoreRequest::RollOut { service, revision, .. }
                if self.just_reverted(now, &service, &revision) =>
            {
                self.verdict(BeatAction::Acknowledge)
            }
            CoreRequest::RollOut { seen, service, revision, period_ms } => {
                let rolling = self.view.rollouts.get(&service);
                let same =
                    rolling.is_some_and(|roll| roll.to == revision && roll.state == RollOutState::Active);
                if !same && self.changed.service_after(&service, seen) {
                    return Some(at_once(Answer::Superseded));
                }
                self.changed.propose_service(&service, self.member.commit_and_last().1 .1 + 1);
                self.enter(&Command::RollOut { service, revision, period_ms })
            }
            CoreRequest::Evacuate { order, seen, zone, on } => self.evacuate(now, (order, seen), zone, on),
            CoreRequest::ReadIndex => {
                self.next += 1;
                let token = self.next;
                let (send, wait) = oneshot::channel();
                self.reads.insert(token, send);
                self.member.request_read(now, token).then_some(wait)
            }
            CoreRequest::RequestStop { id } => self.retire(now, id),
        }
    }

    /// An order to empty a zone or to take it back, entered once however often it is passed on to this leader.
    fn evacuate(
        &mut self,
        now: Time,
        (order, seen): (u64, u64),
        zone: String,
        on: bool,
    ) -> Option<oneshot::Receiver<Answer>> {
        if let Some((term, index)) =
            self.orders.entered(order).filter(|(term, _)| *term == self.member.term())
        {
            if self.view.index >= index {
                return self.verdict(BeatAction::Acknowledge);
            }
            return Some(self.wait_for(term, index));
        }
        // Guards against a call that was held up until a later order about this zone was acknowledged.
        if self.changed.zone_after(&zone, seen) {
            return Some(at_once(Answer::Superseded));
        }
        let command = if on {
            let sure = self.another(now, &zone);
            Command::Evacuate { zone: zone.clone(), on: true, sure, deals: Vec::new() }
        } else {
            self.take_back(now, zone.clone())
        };
        let mark = self.member.propose(now, command.to_bytes())?;
        self.changed.propose_zone(&zone, mark.1);
        self.orders.note(order, mark);
        Some(self.wait_for(mark.0, mark.1))
    }

    /// What becomes of the entry of this term at this index.
    pub(super) fn wait_for(&mut self, term: u64, index: u64) -> oneshot::Receiver<Answer> {
        let (send, wait) = oneshot::channel();
        self.waiters.entry(index).or_default().push((term, send));
        wait
    }

    /// Notes the roll-outs that a state brought here came with as reverted: as if just now, since when is not known.
    pub(super) fn note_reverted(&mut self) {
        let now = self.now();
        for service in reverted_services(&self.view) {
            self.reverted.entry(service).or_insert(now);
        }
    }

    /// Whether an order to empty a zone that is empty is certainly another than the one before: a call goes out again for
    /// `ackS` at most.
    pub(super) fn another(&self, now: Time, zone: &str) -> bool {
        let again = (self.settings.timers.guarantees.ackS * 1_000.0) as Time + 1_000;
        self.emptied.get(zone).is_some_and(|at| now > at + again)
    }

    /// The entry that takes a zone back.
    pub(super) fn take_back(&mut self, now: Time, zone: String) -> Command {
        if self.view.evacuated.get(&zone).is_some_and(|emptied| emptied.orders == 1) {
            return self.registry.restore_zone(now, &self.view, &zone, &Core::cold_for(&self.view));
        }
        Command::Evacuate { zone, on: false, sure: false, deals: Vec::new() }
    }

    /// Zones of which one order was taken back while another stands: after a while the other is taken for the same call,
    /// sent twice.
    pub(super) fn linger(&mut self, now: Time) -> Vec<Command> {
        let back: Vec<String> = self
            .view
            .evacuated
            .iter()
            .filter(|(_, it)| it.back && it.certain == 0)
            .map(|(zone, _)| zone.clone())
            .collect();
        self.lingers.retain(|zone, _| back.contains(zone));
        let bounds = &self.settings.timers.guarantees;
        let wait = (bounds.evacuationS.max(bounds.ackS) * 1_000.0) as Time;
        let due: Vec<String> = back
            .into_iter()
            .filter(|zone| now >= *self.lingers.entry(zone.clone()).or_insert(now) + wait)
            .collect();
        due.into_iter().map(|zone| self.take_back(now, zone)).collect()
    }

    /// Whether an order is one that has been carried out to its bad end just now. Guards against a call that got no clear
    /// answer and goes out again: it must not try the bad version a second time.
    pub(super) fn just_reverted(&self, now: Time, service: &str, revision: &str) -> bool {
        let again = (self.settings.timers.guarantees.ackS * 2_000.0) as Time;
        let roll = self.view.rollouts.get(service);
        let same = roll.is_some_and(|roll| roll.to == revision && roll.state == RollOutState::Reverted);
        same && self.reverted.get(service).is_some_and(|at| now < at + again)
    }

    pub(super) fn verdict(&mut self, verdict: BeatAction) -> Option<oneshot::Receiver<Answer>> {
        match verdict {
            // Twice: the first of a service brings the version that has its traffic as well.
            BeatAction::Propose(Command::NodeUp(node)) => {
                match self.view.check_admission(2 * node.max_encoded_size()) {
                    Ok(()) => self.enter(&Command::NodeUp(node)),
                    Err(kind) => {
                        event!(Refused, "{}: {kind}", node.id);
                        Some(at_once(Answer::Refused(kind.response().status, kind.to_string())))
                    }
                }
            }
            BeatAction::Propose(command) => self.enter(&command),
            BeatAction::Acknowledge => Some(at_once(Answer::Done(self.view.index))),
        }
    }

    /// Has an order decided, here or by the leader, for as long as its caller waits. [`Answer::NotAccepted`] is certain: nobody was
    /// there to take it.
    pub async fn order(shared: &Shared, ask: CoreRequest, within: Duration) -> Answer {
        let taken = Cell::new(false);
        let whole = async {
            loop {
                let answer = if shared.borrow().member.role() == Role::Leader {
                    // Until the answer comes it may have been proposed.
                    let before = taken.replace(true);
                    let answer = Core::lead(shared, ask.clone()).await;
                    taken.set(before || !answer.not_applied());
                    answer
                } else {
                    Core::pass_on(shared, ask.clone(), &taken).await
                };
                match answer {
                    Answer::Done(_) | Answer::Refused(..) => return answer,
                    // Unless an earlier try was taken by a leader that is gone.
                    Answer::Superseded if !taken.get() => return answer,
                    Answer::Unknown | Answer::NotAccepted | Answer::Superseded => {
                        tokio::time::sleep(AGAIN).await
                    }
                }
            }
        };
        match tokio::time::timeout(within, whole).await {
            Ok(answer) => answer,
            Err(_) if taken.get() => Answer::Unknown,
            Err(_) => Answer::NotAccepted,
        }
    }

    /// Passes an order on to the leader. `taken` is set while the leader may have it.
    async fn pass_on(shared: &Shared, ask: CoreRequest, taken: &Cell<bool>) -> Answer {
        let wait = {
            let core = &mut *shared.borrow_mut();
            let Some(leader) = core.leader.filter(|leader| *leader != core.settings.id()) else {
                return Answer::NotAccepted;
            };
            let (call, wait) = core.calls.begin(leader);
            core.post(leader, &PeerMessage::Call { call, request: ask });
            wait
        };
        let before = taken.replace(true);
        let answer = tokio::time::timeout(PASSED_ON, wait).await;
        let answer = answer.map_or(Answer::Unknown, |answer| answer.unwrap_or(Answer::Unknown));
        taken.set(before || !answer.not_applied());
        answer
    }

    /// Takes a beat: what is known is acknowledged here, the rest is the leader's. A machine that has not heard its leader for
    /// long acknowledges nothing: the marshal goes on to one that has.
    pub async fn beat(shared: &Shared, id: String, beat: Beat, within: Duration) -> Answer {
        let known = {
            let core = &mut *shared.borrow_mut();
            let now = core.now();
            let leads = core.member.role() == Role::Leader;
            if !leads && !core.member.has_recent_state(now, ACKNOWLEDGES) {
                return Answer::NotAccepted;
            }
            // Guards against acknowledging that one leaves of which this machine has not folded that it came.
            let certain = beat.state != DRAINING || core.view.is_leaving(&id);
            let verdict = (!leads).then(|| core.registry.handle_beat(now, &core.view, &id, &beat));
            (verdict == Some(BeatAction::Acknowledge) && certain).then_some(core.view.index)
        };
        match known {
            Some(index) => Answer::Done(index),
            None => Core::order(shared, CoreRequest::Beat { id, beat }, within).await,
        }
    }

    /// Takes a configuration on top of `if_match`. Errors: it is invalid, or certainly builds on another version than the one in
    /// force; both change nothing.
    pub async fn configure(
        shared: &Shared,
        if_match: Option<u64>,
        body: &[u8],
        within: Duration,
    ) -> Result<Answer, ErrorKind> {
        let revision = Configuration::parse(body)?.revision;
        let known = configuration_digest(body);
        let end = Instant::now() + within;
        // A 412 is certain only once this machine knows what was acknowledged before the call.
        for sure in [false, true] {
            let command = {
                let core = shared.borrow();
                if core.view.has_accepted(revision, &known) {
                    return Ok(Answer::Done(core.view.index));
                }
                let if_match = if_match.ok_or(ErrorKind::InvalidIfMatch)?;
                if core.view.revision == if_match {
                    // Guards against a state that no machine could read any more: before it is agreed.
                    core.view.check_admission(body.len().saturating_sub(core.view.body.len()))?;
                    Some(core.view.configure_command(revision, body)?)
                } else if sure {
                    return Err(ErrorKind::RevisionMismatch(core.view.revision));
                } else {
                    None
                }
            };
            let left = end.saturating_duration_since(Instant::now());
            match command {
                Some(command) => return Ok(Core::order(shared, CoreRequest::Configure(command), left).await),
                None => drop(Core::read(shared, left).await?),
            }
        }
        Ok(Answer::NotAccepted)
    }

    /// An operator's order to empty a zone, or to take it back. A call that is held up on its way and comes after a later order
    /// changes nothing.
    pub async fn evacuation(shared: &Shared, zone: &str, on: bool, within: Duration) -> Answer {
        let order = shared.borrow_mut().draw();
        let ask = |seen| CoreRequest::Evacuate { order, seen, zone: zone.into(), on };
        Core::fenced(shared, ask, within).await
    }

    /// An operator's order to bring in a version; held up, it changes nothing either.
    pub async fn rollout(
        shared: &Shared,
        service: String,
        revision: String,
        period_ms: u64,
        within: Duration,
    ) -> Result<Answer, ErrorKind> {
        let end = Instant::now() + within;
        let known =
            |core: &Core| core.view.configuration().is_none_or(|it| it.targets.contains_key(&service));
        if !known(&shared.borrow()) {
            // This machine may lag: what it doesn't know yet is no reason to refuse.
            Core::read(shared, within).await?;
            if !known(&shared.borrow()) {
                return Err(ErrorKind::NotFound(format!("service {service}")));
            }
        }
        let ask = |seen| {
            let (service, revision) = (service.clone(), revision.clone());
            CoreRequest::RollOut { seen, service, revision, period_ms }
        };
        Ok(Core::fenced(shared, ask, end.saturating_duration_since(Instant::now())).await)
    }

    /// An order that is void once a later one stands. A machine may lag behind what its caller has already been told: then it asks how
    /// far the log was, as long as its call has just come.
    async fn fenced(shared: &Shared, ask: impl Fn(u64) -> CoreRequest, within: Duration) -> Answer {
        let (begun, end) = (Instant::now(), Instant::now() + within);
        let seen = shared.borrow().view.index;
        let answer = Core::order(shared, ask(seen), within).await;
        if answer != Answer::Superseded {
            return answer;
        }
        let Some(left) = JUST_CAME.checked_sub(begun.elapsed()) else { return answer };
        match Core::read(shared, left).await {
            Ok(seen) => Core::order(shared, ask(seen), end.saturating_duration_since(Instant::now())).await,
            Err(_) => answer,
        }
    }

    /// Waits until everything acknowledged before this moment is folded here. Gives the last entry of it.
    pub async fn read(shared: &Shared, within: Duration) -> Result<u64, ErrorKind> {
        let end = Instant::now() + within;
        let Answer::Done(index) = Core::order(shared, CoreRequest::ReadIndex, within).await else {
            return Err(ErrorKind::NoLeader); // reads change nothing
        };
        while shared.borrow().view.index < index {
            if Instant::now() >= end {
                return Err(ErrorKind::NoLeader);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(index)
    }
}
