//! The decision thread: it alone owns the module, the table of requests and the timers. It waits for nothing
//! but its one channel, and does what the module says.

use crate::accounting::{increment, Counters, PendingRequest};
use crate::clock::{to_duration, Clock};
use crate::limits::Limits;
use crate::ports::{
    AdmittedRequest, AttemptHandle, AttemptOrder, AttemptSender, DecisionInput, DiscoveryRequest,
    DiscoveryRequester, GroupObserver, LocalResponse, ResponseSender, RolloutObserver, VoteRequest,
    VoteSender,
};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use milletwing_decision::interface::{
    Action, Build, Event, FleetUpdateKind, Ms, NodeEntry, NodeId, NodeState, Outcome, Phase, RequestId,
    Settings, StageReport,
};
use milletwing_decision::Marshal;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Instant;

enum TimerEvent {
    Module(String),
    Answer(RequestId),
    Attempt(RequestId, u32),
    Vote(u64),
    Sweep,
    Report,
}

type TimerKey = (Instant, u64);

/// An attempt that is out.
struct OutstandingAttempt {
    attempt: u32,
    node: NodeId,
    sent: Instant,
    /// The timer that cuts it off.
    when: TimerKey,
    handle: Arc<dyn AttemptHandle>,
}

/// A request that owes its answer or has attempts out.
struct TrackedRequest {
    request: Arc<PendingRequest>,
    attempts_started: u32,
    outstanding: Vec<OutstandingAttempt>,
    due: Option<TimerKey>,
}

impl TrackedRequest {
    fn describe(&self) -> Vec<String> {
        self.outstanding.iter().map(|outstanding| outstanding.handle.describe()).collect()
    }
    fn cancel(&self) {
        self.outstanding.iter().for_each(|outstanding| outstanding.handle.cancel());
    }
}

/// What the decision thread works with.
pub struct DecisionContext {
    /// The module's settings.
    pub settings: Settings,
    /// Its seed.
    pub seed: u64,
    /// The limits.
    pub limits: Limits,
    /// The clock.
    pub clock: Clock,
    /// The counters.
    pub counters: Arc<Counters>,
    /// Who carries attempts.
    pub attempt_sender: Box<dyn AttemptSender>,
    /// Who hands out answers that no node made.
    pub responses: Box<dyn ResponseSender>,
    /// Who speaks with the platform.
    pub vote_sender: Box<dyn VoteSender>,
    /// Who asks discovery.
    pub discovery: Box<dyn DiscoveryRequester>,
    /// The group of instances that judge as one, where there is one.
    pub group: Option<Box<dyn GroupObserver>>,
    /// Who follows what becomes of builds, where somebody does.
    pub rollout_observer: Option<Box<dyn RolloutObserver>>,
}

/// The decision thread's own.
pub struct DecisionThread {
    context: DecisionContext,
    marshal: Marshal,
    actions: Vec<Action>,
    /// The list and the news as told last, for a module that has to begin anew.
    nodes: BTreeMap<NodeId, NodeEntry>,
    stage: Option<StageReport>,
    requests: HashMap<RequestId, TrackedRequest>,
    timers: BTreeMap<TimerKey, TimerEvent>,
    votes: HashMap<u64, TimerKey>,
    last_number: u64,
}

impl DecisionThread {
    /// Begins with the list and the news that the configuration holds.
    pub fn new(
        context: DecisionContext,
        known: Vec<(NodeEntry, SocketAddr)>,
        stage: Option<StageReport>,
    ) -> DecisionThread {
        let marshal = Marshal::new(context.settings.clone(), context.seed);
        let mut route = DecisionThread {
            context,
            marshal,
            actions: Vec::new(),
            nodes: BTreeMap::new(),
            stage: None,
            requests: HashMap::new(),
            timers: BTreeMap::new(),
            votes: HashMap::new(),
            last_number: 0,
        };
        let now = Instant::now();
        route.set_timer(now + route.context.limits.sweep_interval, TimerEvent::Sweep);
        route.set_timer(now + route.context.limits.report_interval, TimerEvent::Report);
        route.deliver(Event::Start);
        route.handle(DecisionInput::FleetUpdate(FleetUpdateKind::Restored, known));
        if let Some(stage) = stage {
            route.handle(DecisionInput::Event(Event::StageReport(stage)));
        }
        route
    }

    /// Works until told to stop.
    pub fn run(mut self, inputs: &Receiver<DecisionInput>) {
        loop {
            let next = match self.timers.first_key_value() {
                Some((&(at, _), _)) => inputs.recv_deadline(at),
                None => inputs.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match next {
                Ok(DecisionInput::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(input) => self.handle(input),
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = Instant::now();
            while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
                let (when, due) = entry.remove_entry();
                self.fire(when, due);
            }
        }
    }

    fn set_timer(&mut self, at: Instant, due: TimerEvent) -> TimerKey {
        self.last_number += 1;
        self.timers.insert((at, self.last_number), due);
        (at, self.last_number)
    }

    /// Tells the module, and does what it says. A module that panics loses no request: what is open fails,
    /// and a new one begins with the list and the news as told last.
    fn deliver(&mut self, event: Event) {
        let now = self.context.clock.ms(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        let told = catch_unwind(AssertUnwindSafe(|| self.marshal.handle(now, event, &mut actions)));
        if told.is_err() {
            actions.clear();
            self.restart_module(now, &mut actions);
        }
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn restart_module(&mut self, now: Ms, actions: &mut Vec<Action>) {
        increment(&self.context.counters.defects);
        log::error!("the module panicked: what is open fails, and it begins anew");
        for entry in self.requests.values_mut() {
            entry.cancel();
            if entry.request.claim() {
                increment(&self.context.counters.failed);
                self.context.responses.enqueue(entry.request.clone(), LocalResponse::Failed);
            }
        }
        self.timers.retain(|_, due| !matches!(due, TimerEvent::Module(_)));
        self.marshal =
            Marshal::new(self.context.settings.clone(), self.context.seed.wrapping_add(self.last_number));
        self.marshal.handle(now, Event::Start, actions);
        let list = self.nodes.values().cloned().collect();
        self.marshal.handle(now, Event::FleetUpdate(FleetUpdateKind::Replace, list), actions);
        if let Some(stage) = self.stage.clone() {
            self.marshal.handle(now, Event::StageReport(stage), actions);
        }
    }

    fn handle(&mut self, input: DecisionInput) {
        match input {
            DecisionInput::RequestAdmitted(admitted) => self.request_admitted(*admitted),
            DecisionInput::ClientLeft(request) => {
                if request.claim() {
                    increment(&self.context.counters.gone);
                    if let Some(entry) = self.requests.get(&request.id) {
                        let out = entry.describe();
                        let left = request.deadline.saturating_duration_since(Instant::now());
                        log::debug!(
                            "client left with {left:?} to go, {} copies, out: {out:?}",
                            entry.attempts_started
                        );
                    }
                    self.finished(&request.id);
                    self.deliver(Event::ClientGone(request.id.clone()));
                }
            }
            DecisionInput::StreamStarted(id, attempt) => self.deliver(Event::StreamStarted(id, attempt)),
            DecisionInput::AttemptEnded { id, attempt, outcome, ended_at } => {
                self.attempt_ended(id, attempt, outcome, ended_at)
            }
            DecisionInput::FleetUpdate(kind, entries) => self.fleet_update(kind, entries),
            DecisionInput::Event(event) => {
                if let Event::StageReport(stage) = &event {
                    self.stage = Some(stage.clone());
                    self.context.group.iter().for_each(|group| group.stage_reported(stage));
                    self.context
                        .rollout_observer
                        .iter()
                        .for_each(|rollout_observer| rollout_observer.stage_reported(stage));
                }
                self.deliver(event);
            }
            DecisionInput::VoteAnswered(number, answer) => self.vote_answered(number, answer),
            DecisionInput::Stop => {}
        }
    }

    fn request_admitted(&mut self, admitted: AdmittedRequest) {
        let AdmittedRequest { request, class, key, tenant, work_hint, is_retry } = admitted;
        if self.requests.contains_key(&request.id) {
            // Two open requests with one id could not be told apart; the first goes on.
            if request.claim() {
                increment(&self.context.counters.malformed);
                self.context.responses.enqueue(request, LocalResponse::Status(409));
            }
            return;
        }
        let id = request.id.clone();
        let due = self.set_timer(
            request.deadline + self.context.limits.response_overdue_after,
            TimerEvent::Answer(id.clone()),
        );
        let left = request.deadline.saturating_duration_since(Instant::now());
        let expires_in = Ms(left.as_secs_f64() * 1000.0);
        self.requests.insert(
            id.clone(),
            TrackedRequest { request, attempts_started: 0, outstanding: Vec::new(), due: Some(due) },
        );
        self.deliver(Event::Request { id, class, key, tenant, expires_in, work_hint, is_retry });
    }

    /// A request has its answer: nothing is overdue any more. It is forgotten with its last attempt.
    fn finished(&mut self, id: &RequestId) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        if let Some(due) = entry.due.take() {
            self.timers.remove(&due);
        }
        if entry.outstanding.is_empty() {
            self.requests.remove(id);
        }
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome, at: Instant) {
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let Some(place) = entry.outstanding.iter().position(|outstanding| outstanding.attempt == attempt)
        else {
            return;
        };
        let OutstandingAttempt { node, sent, when, .. } = entry.outstanding.swap_remove(place);
        self.timers.remove(&when);
        let answered = entry.request.answered();
        if answered {
            self.finished(&id);
        }
        let latency = Ms(at.saturating_duration_since(sent).as_secs_f64() * 1000.0);
        self.deliver(Event::Completed {
            id,
            attempt: attempt,
            node,
            outcome,
            latency,
            is_final: answered,
            load: None,
        });
    }

    /// Follows the list, and keeps it for a module that has to begin anew.
    fn fleet_update(&mut self, kind: FleetUpdateKind, entries: Vec<(NodeEntry, SocketAddr)>) {
        self.context.attempt_sender.update_fleet(kind, &entries);
        if matches!(kind, FleetUpdateKind::Replace | FleetUpdateKind::Restored) {
            self.nodes.clear();
        }
        for (entry, _) in &entries {
            if entry.state == NodeState::Terminated {
                self.nodes.remove(&entry.node);
            } else {
                self.nodes.insert(entry.node.clone(), entry.clone());
            }
        }
        self.deliver(Event::FleetUpdate(kind, entries.into_iter().map(|(entry, _)| entry).collect()));
    }

    fn vote_answered(&mut self, number: u64, answer: Result<StageReport, Outcome>) {
        let Some(when) = self.votes.remove(&number) else { return }; // it timed out before
        self.timers.remove(&when);
        let stage = answer.unwrap_or_else(|outcome| StageReport {
            answers_vote: true,
            outcome,
            build: Build(0),
            stage: 0,
            phase: Phase::Trial,
            cap: 0.0,
            age: Ms(0.0),
        });
        if let Some(group) = &self.context.group {
            group.vote_answered(number, &stage);
        }
        if stage.outcome == Outcome::Ok {
            self.context
                .rollout_observer
                .iter()
                .for_each(|rollout_observer| rollout_observer.stage_reported(&stage));
            self.stage = Some(StageReport { answers_vote: false, ..stage.clone() });
        }
        self.deliver(Event::StageReport(stage));
    }

    fn fire(&mut self, when: TimerKey, due: TimerEvent) {
        match due {
            TimerEvent::Module(key) => self.deliver(Event::Timer(key)),
            TimerEvent::Vote(number) => self.vote_answered(number, Err(Outcome::Timeout)),
            // Whoever carries it tells the rest. A socket's own time-out may come an eighth later.
            TimerEvent::Attempt(id, attempt) => self.time_out_attempt(&id, attempt, when),
            TimerEvent::Answer(id) => {
                let Some(entry) = self.requests.get_mut(&id).filter(|entry| entry.due == Some(when)) else {
                    return;
                };
                entry.due = None;
                let out = entry.describe();
                entry.cancel();
                if entry.request.claim() {
                    increment(&self.context.counters.defects);
                    increment(&self.context.counters.failed);
                    let attempts_started = entry.attempts_started;
                    log::error!("request {} got no response in time; {attempts_started} attempts started, outstanding: {out:?}", id.0);
                    self.context.responses.enqueue(entry.request.clone(), LocalResponse::Failed);
                    self.finished(&id);
                    self.deliver(Event::ClientGone(id));
                }
            }
            TimerEvent::Sweep => {
                self.context.attempt_sender.sweep();
                self.set_timer(when.0 + self.context.limits.sweep_interval, TimerEvent::Sweep);
            }
            TimerEvent::Report => {
                let held = self.requests.len();
                log::info!(
                    "{}; held {held}, {}",
                    self.context.counters,
                    self.context.attempt_sender.report()
                );
                self.set_timer(when.0 + self.context.limits.report_interval, TimerEvent::Report);
            }
        }
    }

    /// An attempt's time is over; but an answer that is on its way to the client already has until its deadline.
    fn time_out_attempt(&mut self, id: &RequestId, attempt: u32, when: TimerKey) {
        let Some(entry) = self.requests.get_mut(id) else { return };
        let deadline = entry.request.deadline;
        let Some(outstanding) =
            entry.outstanding.iter_mut().find(|outstanding| outstanding.attempt == attempt)
        else {
            return;
        };
        if !outstanding.handle.is_streaming() || when.0 >= deadline {
            return outstanding.handle.time_out();
        }
        self.last_number += 1;
        outstanding.when = (deadline, self.last_number);
        self.timers.insert(outstanding.when, TimerEvent::Attempt(id.clone(), attempt));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Attempt { id, node, timeout } => self.attempt(id, &node, timeout),
            Action::Refuse(id, wait) => self.respond(&id, LocalResponse::Refused(wait)),
            Action::Fail(id) => self.respond(&id, LocalResponse::Failed),
            Action::Cancel(id, attempt) => {
                let out =
                    self.requests.get(&id).map(|entry| entry.outstanding.as_slice()).unwrap_or_default();
                out.iter().filter(|out| out.attempt == attempt).for_each(|out| out.handle.cancel());
            }
            Action::CastVote { build, stage, vote } => {
                self.context
                    .rollout_observer
                    .iter()
                    .for_each(|rollout_observer| rollout_observer.vote_cast(build, vote));
                self.last_number += 1;
                let number = self.last_number;
                let when = self.set_timer(
                    Instant::now() + to_duration(self.context.settings.vote_answer_timeout),
                    TimerEvent::Vote(number),
                );
                self.votes.insert(number, when);
                if !self.context.vote_sender.cast(VoteRequest { number, build, stage, vote, guard: None }) {
                    self.vote_answered(number, Err(Outcome::ConnectFailed));
                }
            }
            Action::ShareEvidence(seen) => {
                if let Some(group) = &self.context.group {
                    group.evidence_collected(*seen);
                }
            }
            Action::ProposeDecision { build, stage, vote } => {
                if let Some(group) = &self.context.group {
                    group.decision_proposed(build, stage, vote);
                }
            }
            Action::Subscribe => self.ask(DiscoveryRequest::Subscribe),
            Action::FetchFleet => self.ask(DiscoveryRequest::Fetch),
            Action::Probe(node) => {
                // The protocol has no probe: it never ran.
                self.deliver(Event::ProbeCompleted(node, Outcome::NotSent, Ms(0.0), None));
            }
            Action::BroadcastToPeers(_) => log::debug!("the protocol has no messages among marshals"),
            Action::SetTimer(key, at) => {
                let at = self.context.clock.instant(at);
                self.set_timer(at, TimerEvent::Module(key));
            }
            Action::Log(text) => log::info!("{}", text.escape_debug()),
        }
    }

    fn ask(&mut self, ask: DiscoveryRequest) {
        if !self.context.discovery.request(ask) {
            self.deliver(Event::FleetUpdate(FleetUpdateKind::Unavailable, Vec::new()));
        }
    }

    fn respond(&mut self, id: &RequestId, word: LocalResponse) {
        let Some(entry) = self.requests.get(id) else { return };
        if entry.request.claim() {
            let refused = matches!(word, LocalResponse::Refused(_));
            increment(if refused { &self.context.counters.refused } else { &self.context.counters.failed });
            if !self.context.responses.enqueue(entry.request.clone(), word) {
                increment(&self.context.counters.defects);
                log::error!("no room for an answer to {}", id.0);
            }
            self.finished(id);
        }
    }

    fn attempt(&mut self, id: RequestId, node: &NodeId, timeout: Option<Ms>) {
        let now = Instant::now();
        let Some(entry) = self.requests.get_mut(&id) else { return };
        let attempt = entry.attempts_started;
        entry.attempts_started += 1;
        let deadline = entry.request.deadline;
        let until = timeout.map_or(deadline, |timeout| deadline.min(now + to_duration(timeout)));
        let moot = entry.request.answered() || attempt >= self.context.settings.max_attempts || until <= now;
        let order = AttemptOrder {
            request: entry.request.clone(),
            attempt,
            node: node.clone(),
            sent_at: now,
            deadline,
        };
        if let Some(handle) =
            Some(order).filter(|_| !moot).and_then(|order| self.context.attempt_sender.start(order))
        {
            let when = self.set_timer(until, TimerEvent::Attempt(id.clone(), attempt));
            let outstanding = OutstandingAttempt { attempt, node: node.clone(), sent: now, when, handle };
            self.requests.entry(id).and_modify(|entry| entry.outstanding.push(outstanding));
            return;
        }
        // Never sent: the request is over, its node has left, or no worker is free.
        let answered = entry.request.answered();
        let node = node.clone();
        let (outcome, latency) = (Outcome::NotSent, Ms(0.0));
        self.deliver(Event::Completed {
            id,
            attempt: attempt,
            node,
            outcome,
            latency,
            is_final: answered,
            load: None,
        });
    }
}
