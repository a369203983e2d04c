//! The decision thread: the only owner of the module, the table of requests and the timers. It blocks on nothing but
//! its input queue, and executes the actions that the module returns.

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
    ResponseOverdue(RequestId),
    Attempt(RequestId, u32),
    Vote(u64),
    Sweep,
    Report,
}

type TimerKey = (Instant, u64);

/// An attempt in progress.
struct OutstandingAttempt {
    attempt: u32,
    node: NodeId,
    sent_at: Instant,
    /// The timer that times the attempt out.
    timer: TimerKey,
    handle: Arc<dyn AttemptHandle>,
}

/// A request that needs its response or has attempts in progress.
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

/// The configuration and components that the decision thread works with.
pub struct DecisionContext {
    /// The module's settings.
    pub settings: Settings,
    /// The seed of the module.
    pub seed: u64,
    /// The intervals and timeouts.
    pub limits: Limits,
    /// The clock that the module's times refer to.
    pub clock: Clock,
    /// The counters.
    pub counters: Arc<Counters>,
    /// Sends attempts to nodes.
    pub attempt_sender: Box<dyn AttemptSender>,
    /// Sends responses that the marshal generates itself.
    pub responses: Box<dyn ResponseSender>,
    /// Sends votes to the platform.
    pub vote_sender: Box<dyn VoteSender>,
    /// Requests node lists from discovery.
    pub discovery: Box<dyn DiscoveryRequester>,
    /// The group of instances that decide as one, if there is one.
    pub group: Option<Box<dyn GroupObserver>>,
    /// Follows the rollout of builds, if configured.
    pub rollout_observer: Option<Box<dyn RolloutObserver>>,
}

/// The state of the decision thread.
pub struct DecisionThread {
    context: DecisionContext,
    marshal: Marshal,
    actions: Vec<Action>,
    /// The latest node list and stage, for restarting the module after a panic.
    nodes: BTreeMap<NodeId, NodeEntry>,
    stage: Option<StageReport>,
    requests: HashMap<RequestId, TrackedRequest>,
    timers: BTreeMap<TimerKey, TimerEvent>,
    votes: HashMap<u64, TimerKey>,
    last_number: u64,
}

impl DecisionThread {
    /// Starts the module with the node list and the stage from the configuration.
    pub fn new(
        context: DecisionContext,
        known: Vec<(NodeEntry, SocketAddr)>,
        stage: Option<StageReport>,
    ) -> DecisionThread {
        let marshal = Marshal::new(context.settings.clone(), context.seed);
        let mut thread = DecisionThread {
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
        thread.set_timer(now + thread.context.limits.sweep_interval, TimerEvent::Sweep);
        thread.set_timer(now + thread.context.limits.report_interval, TimerEvent::Report);
        thread.deliver(Event::Start);
        thread.handle(DecisionInput::FleetUpdate(FleetUpdateKind::Restored, known));
        if let Some(stage) = stage {
            thread.handle(DecisionInput::Event(Event::StageReport(stage)));
        }
        thread
    }

    /// Runs until told to stop.
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
                let (timer, due) = entry.remove_entry();
                self.fire(timer, due);
            }
        }
    }

    fn set_timer(&mut self, at: Instant, due: TimerEvent) -> TimerKey {
        self.last_number += 1;
        self.timers.insert((at, self.last_number), due);
        (at, self.last_number)
    }

    /// Delivers an event to the module and executes the returned actions. If the module panics, no request is lost:
    /// pending requests fail, and a new module starts with the latest node list and stage.
    fn deliver(&mut self, event: Event) {
        let now = self.context.clock.ms(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        let result = catch_unwind(AssertUnwindSafe(|| self.marshal.handle(now, event, &mut actions)));
        if result.is_err() {
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
        log::error!("the module panicked: pending requests fail, and the module restarts");
        for tracked in self.requests.values_mut() {
            tracked.cancel();
            if tracked.request.claim() {
                increment(&self.context.counters.failed);
                self.context.responses.enqueue(tracked.request.clone(), LocalResponse::Failed);
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
                    if let Some(tracked) = self.requests.get(&request.id) {
                        let out = tracked.describe();
                        let left = request.deadline.saturating_duration_since(Instant::now());
                        log::debug!(
                            "client disconnected {left:?} before its deadline; {} attempts started, outstanding: {out:?}",
                            tracked.attempts_started
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
            // Two pending requests with the same id could not be told apart; the first one continues.
            if request.claim() {
                increment(&self.context.counters.malformed);
                self.context.responses.enqueue(request, LocalResponse::Status(409));
            }
            return;
        }
        let id = request.id.clone();
        let due = self.set_timer(
            request.deadline + self.context.limits.response_overdue_after,
            TimerEvent::ResponseOverdue(id.clone()),
        );
        let left = request.deadline.saturating_duration_since(Instant::now());
        let expires_in = Ms(left.as_secs_f64() * 1000.0);
        self.requests.insert(
            id.clone(),
            TrackedRequest { request, attempts_started: 0, outstanding: Vec::new(), due: Some(due) },
        );
        self.deliver(Event::Request { id, class, key, tenant, expires_in, work_hint, is_retry });
    }

    /// Called once a request has its response, so that it can no longer become overdue. It is removed with its last
    /// attempt.
    fn finished(&mut self, id: &RequestId) {
        let Some(tracked) = self.requests.get_mut(id) else { return };
        if let Some(due) = tracked.due.take() {
            self.timers.remove(&due);
        }
        if tracked.outstanding.is_empty() {
            self.requests.remove(id);
        }
    }

    fn attempt_ended(&mut self, id: RequestId, attempt: u32, outcome: Outcome, at: Instant) {
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let Some(place) = tracked.outstanding.iter().position(|outstanding| outstanding.attempt == attempt)
        else {
            return;
        };
        let OutstandingAttempt { node, sent_at, timer, .. } = tracked.outstanding.swap_remove(place);
        self.timers.remove(&timer);
        let answered = tracked.request.answered();
        if answered {
            self.finished(&id);
        }
        let latency = Ms(at.saturating_duration_since(sent_at).as_secs_f64() * 1000.0);
        self.deliver(Event::Completed {
            id,
            attempt,
            node,
            outcome,
            latency,
            is_final: answered,
            load: None,
        });
    }

    /// Applies a change of the node list, and keeps the list for a restart of the module.
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
        let Some(timer) = self.votes.remove(&number) else { return }; // it has already timed out
        self.timers.remove(&timer);
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

    fn fire(&mut self, timer: TimerKey, due: TimerEvent) {
        match due {
            TimerEvent::Module(key) => self.deliver(Event::Timer(key)),
            TimerEvent::Vote(number) => self.vote_answered(number, Err(Outcome::Timeout)),
            // The component that carries the attempt reports its end. A socket's own timeout may fire up to an eighth late.
            TimerEvent::Attempt(id, attempt) => self.time_out_attempt(&id, attempt, timer),
            TimerEvent::ResponseOverdue(id) => {
                let Some(tracked) = self.requests.get_mut(&id).filter(|tracked| tracked.due == Some(timer))
                else {
                    return;
                };
                tracked.due = None;
                let out = tracked.describe();
                tracked.cancel();
                if tracked.request.claim() {
                    increment(&self.context.counters.defects);
                    increment(&self.context.counters.failed);
                    let attempts_started = tracked.attempts_started;
                    log::error!("request {} got no response in time; {attempts_started} attempts started, outstanding: {out:?}", id.0);
                    self.context.responses.enqueue(tracked.request.clone(), LocalResponse::Failed);
                    self.finished(&id);
                    self.deliver(Event::ClientGone(id));
                }
            }
            TimerEvent::Sweep => {
                self.context.attempt_sender.sweep();
                self.set_timer(timer.0 + self.context.limits.sweep_interval, TimerEvent::Sweep);
            }
            TimerEvent::Report => {
                let held = self.requests.len();
                log::info!(
                    "{}; held {held}, {}",
                    self.context.counters,
                    self.context.attempt_sender.report()
                );
                self.set_timer(timer.0 + self.context.limits.report_interval, TimerEvent::Report);
            }
        }
    }

    /// The attempt has timed out; but a response that is already being streamed to the client has until the client's
    /// deadline.
    fn time_out_attempt(&mut self, id: &RequestId, attempt: u32, timer: TimerKey) {
        let Some(tracked) = self.requests.get_mut(id) else { return };
        let deadline = tracked.request.deadline;
        let Some(outstanding) =
            tracked.outstanding.iter_mut().find(|outstanding| outstanding.attempt == attempt)
        else {
            return;
        };
        if !outstanding.handle.is_streaming() || timer.0 >= deadline {
            return outstanding.handle.time_out();
        }
        self.last_number += 1;
        outstanding.timer = (deadline, self.last_number);
        self.timers.insert(outstanding.timer, TimerEvent::Attempt(id.clone(), attempt));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Attempt { id, node, timeout } => self.attempt(id, &node, timeout),
            Action::Refuse(id, wait) => self.respond(&id, LocalResponse::Refused(wait)),
            Action::Fail(id) => self.respond(&id, LocalResponse::Failed),
            Action::Cancel(id, attempt) => {
                let out =
                    self.requests.get(&id).map(|tracked| tracked.outstanding.as_slice()).unwrap_or_default();
                out.iter().filter(|out| out.attempt == attempt).for_each(|out| out.handle.cancel());
            }
            Action::CastVote { build, stage, vote } => {
                self.context
                    .rollout_observer
                    .iter()
                    .for_each(|rollout_observer| rollout_observer.vote_cast(build, vote));
                self.last_number += 1;
                let number = self.last_number;
                let timer = self.set_timer(
                    Instant::now() + to_duration(self.context.settings.vote_answer_timeout),
                    TimerEvent::Vote(number),
                );
                self.votes.insert(number, timer);
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
                // The protocol has no probes: the probe was never sent.
                self.deliver(Event::ProbeCompleted(node, Outcome::NotSent, Ms(0.0), None));
            }
            Action::BroadcastToPeers(_) => log::debug!("the protocol has no messages between marshals"),
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

    fn respond(&mut self, id: &RequestId, response: LocalResponse) {
        let Some(tracked) = self.requests.get(id) else { return };
        if tracked.request.claim() {
            let refused = matches!(response, LocalResponse::Refused(_));
            increment(if refused { &self.context.counters.refused } else { &self.context.counters.failed });
            if !self.context.responses.enqueue(tracked.request.clone(), response) {
                increment(&self.context.counters.defects);
                log::error!("the response queue is full; no response to {}", id.0);
            }
            self.finished(id);
        }
    }

    fn attempt(&mut self, id: RequestId, node: &NodeId, timeout: Option<Ms>) {
        let now = Instant::now();
        let Some(tracked) = self.requests.get_mut(&id) else { return };
        let attempt = tracked.attempts_started;
        tracked.attempts_started += 1;
        let deadline = tracked.request.deadline;
        let attempt_deadline = timeout.map_or(deadline, |timeout| deadline.min(now + to_duration(timeout)));
        let already_over = tracked.request.answered()
            || attempt >= self.context.settings.max_attempts
            || attempt_deadline <= now;
        let order = AttemptOrder {
            request: tracked.request.clone(),
            attempt,
            node: node.clone(),
            sent_at: now,
            deadline,
        };
        if let Some(handle) =
            Some(order).filter(|_| !already_over).and_then(|order| self.context.attempt_sender.start(order))
        {
            let timer = self.set_timer(attempt_deadline, TimerEvent::Attempt(id.clone(), attempt));
            let outstanding = OutstandingAttempt { attempt, node: node.clone(), sent_at: now, timer, handle };
            self.requests.entry(id).and_modify(|tracked| tracked.outstanding.push(outstanding));
            return;
        }
        // Never sent: the request is already over, its node has been removed, or no worker is free.
        let answered = tracked.request.answered();
        let node = node.clone();
        let (outcome, latency) = (Outcome::NotSent, Ms(0.0));
        self.deliver(Event::Completed {
            id,
            attempt,
            node,
            outcome,
            latency,
            is_final: answered,
            load: None,
        });
    }
}
