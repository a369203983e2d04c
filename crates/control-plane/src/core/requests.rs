//! Requests and heartbeats: executed here if this replica leads, otherwise forwarded to the leader, for as
//! long as their callers wait.

use super::{Core, Millis, SharedCore};
use milletwing_config::{event, Configuration, ErrorKind};
use milletwing_consensus::{LogPosition, Role};
use milletwing_replicated_state::registry::BeatAction;
use milletwing_replicated_state::view::configuration_digest;
use milletwing_replicated_state::{Beat, Command, RollOutState, Subject, View};
use milletwing_wire::{Answer, CoreRequest, PeerMessage};
use std::cell::Cell;
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;
use tokio::sync::oneshot;
use tokio::time::Instant;

/// Milliseconds without hearing the leader after which a replica acknowledges no heartbeat: an election is
/// over by then.
const HEARTBEAT_ACK_FRESHNESS_MS: Millis = 2_000;
/// Pause before a request without a definite answer is retried within its caller's time.
const RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long to wait for the leader's answer before the request is forwarded again.
const FORWARD_TIMEOUT: Duration = Duration::from_millis(450);
/// Maximum number of evacuation requests remembered by their number.
const MAX_REMEMBERED_REQUESTS: usize = 256;
/// The state in the heartbeats of a marshal that is leaving.
const DRAINING: &str = "draining";

/// Evacuation requests that this replica proposed as leader, so that a request forwarded twice is proposed
/// once.
#[derive(Default)]
pub(super) struct ProposedEvacuations(VecDeque<(u64, LogPosition)>);

impl ProposedEvacuations {
    /// Returns the log position at which a request was proposed.
    fn position_of(&self, request_number: u64) -> Option<LogPosition> {
        self.0.iter().find(|(known, _)| *known == request_number).map(|(_, position)| *position)
    }

    /// Records a request proposed here.
    fn record(&mut self, request_number: u64, position: LogPosition) {
        self.0.push_back((request_number, position));
        if self.0.len() > MAX_REMEMBERED_REQUESTS {
            self.0.pop_front();
        }
    }
}

/// The newest entries about each zone and each service's rollouts, applied here one by one or proposed here
/// and not applied yet. If the state came as a snapshot, its last entry counts as a change of everything.
pub(super) struct NewestEntries {
    snapshot_index: u64,
    zones: BTreeMap<String, u64>,
    services: BTreeMap<String, u64>,
}

impl NewestEntries {
    /// Starts from a snapshot as of this entry, of which nothing else is known.
    pub(super) fn from_snapshot(index: u64) -> NewestEntries {
        NewestEntries { snapshot_index: index, zones: BTreeMap::new(), services: BTreeMap::new() }
    }

    /// Records an applied entry.
    pub(super) fn record(&mut self, index: u64, command: &Command) {
        match command {
            Command::Evacuate { zone, .. } => self.set_zone(zone, index),
            Command::RollOut { service, .. } | Command::Settle { service, .. } => {
                self.set_service(service, index);
            }
            _ => {}
        }
    }

    fn set_zone(&mut self, zone: &str, index: u64) {
        self.zones.insert(zone.into(), index);
    }

    fn set_service(&mut self, service: &str, index: u64) {
        self.services.insert(service.into(), index);
    }

    /// Whether there is, or may be, an entry about this zone after the entry `basis`.
    fn zone_changed_after(&self, zone: &str, basis: u64) -> bool {
        self.zones.get(zone).copied().unwrap_or(self.snapshot_index) > basis
    }

    /// The same for the rollouts of a service.
    fn service_changed_after(&self, service: &str, basis: u64) -> bool {
        self.services.get(service).copied().unwrap_or(self.snapshot_index) > basis
    }
}

/// Wraps an answer that is available immediately.
fn ready_answer(answer: Answer) -> oneshot::Receiver<Answer> {
    let (sender, outcome) = oneshot::channel();
    let _ = sender.send(answer); // the receiver is right here, so this cannot fail
    outcome
}

/// Services whose newest rollout was reverted.
pub(super) fn reverted_services(view: &View) -> impl Iterator<Item = String> + '_ {
    let reverted = view.rollouts.iter().filter(|(_, rollout)| rollout.state == RollOutState::Reverted);
    reverted.map(|(service, _)| service.clone())
}

impl Core {
    /// Proposes an entry, and returns a receiver of its outcome.
    pub(super) fn propose(&mut self, command: &Command) -> Option<oneshot::Receiver<Answer>> {
        let (term, index) = self.propose_entry(command)?;
        Some(self.wait_for_entry(term, index))
    }

    /// Executes a request, if this replica leads and knows everything that was committed before.
    pub(super) async fn execute_as_leader(shared: &SharedCore, request: CoreRequest) -> Answer {
        let outcome = {
            let core = &mut *shared.borrow_mut();
            // Guards against a new leader that decides by a state to which not all committed entries were
            // applied. A read waits for that by itself.
            if core.member.role() != Role::Leader
                || (request != CoreRequest::ReadIndex && !core.member.is_caught_up_leader())
            {
                return Answer::NotAccepted;
            }
            core.execute(request)
        };
        Core::advance(shared);
        match outcome {
            Some(outcome) => outcome.await.unwrap_or(Answer::Unknown),
            None => Answer::NotAccepted,
        }
    }

    /// Executes a request as leader. Returns a receiver of its outcome, or none if it cannot be accepted.
    fn execute(&mut self, request: CoreRequest) -> Option<oneshot::Receiver<Answer>> {
        let now = self.now();
        match request {
            // Retried when that entry is applied, which may change what the marshal is told.
            CoreRequest::Beat { ref id, .. } | CoreRequest::Leave { ref id }
                if self.has_pending_entry(&Subject::Marshal(id.clone())) =>
            {
                None
            }
            CoreRequest::Beat { id, beat } => {
                let action = self.registry.handle_beat(now, &self.view, &id, &beat);
                self.execute_beat_action(action)
            }
            CoreRequest::Leave { id } => {
                let action = self.registry.handle_leave(&self.view, &id);
                self.execute_beat_action(action)
            }
            CoreRequest::Configure(command) => self.propose(&command),
            CoreRequest::RollOut { service, revision, .. }
                if self.was_just_reverted(now, &service, &revision) =>
            {
                self.execute_beat_action(BeatAction::Acknowledge)
            }
            CoreRequest::RollOut { basis, service, revision, period_ms } => {
                let current = self.view.rollouts.get(&service);
                let same = current
                    .is_some_and(|rollout| rollout.to == revision && rollout.state == RollOutState::Active);
                if !same && self.newest_entries.service_changed_after(&service, basis) {
                    return Some(ready_answer(Answer::Superseded));
                }
                self.newest_entries.set_service(&service, self.member.commit_and_last().1 .1 + 1);
                self.propose(&Command::RollOut { service, revision, period_ms })
            }
            CoreRequest::Evacuate { order: request_number, basis, zone, on } => {
                self.propose_evacuation(now, (request_number, basis), zone, on)
            }
            CoreRequest::ReadIndex => {
                self.last_id += 1;
                let token = self.last_id;
                let (sender, outcome) = oneshot::channel();
                self.pending_reads.insert(token, sender);
                self.member.request_read(now, token).then_some(outcome)
            }
            CoreRequest::RequestStop { id } => self.retire(now, id),
        }
    }

    /// Proposes to evacuate a zone or to end its evacuation, once however often the request is forwarded to
    /// this leader.
    fn propose_evacuation(
        &mut self,
        now: Millis,
        (request_number, basis): (u64, u64),
        zone: String,
        on: bool,
    ) -> Option<oneshot::Receiver<Answer>> {
        if let Some((term, index)) = self
            .proposed_evacuations
            .position_of(request_number)
            .filter(|(term, _)| *term == self.member.term())
        {
            if self.view.index >= index {
                return self.execute_beat_action(BeatAction::Acknowledge);
            }
            return Some(self.wait_for_entry(term, index));
        }
        // Guards against a call that was delayed until a later request about this zone was acknowledged.
        if self.newest_entries.zone_changed_after(&zone, basis) {
            return Some(ready_answer(Answer::Superseded));
        }
        let command = if on {
            let sure = self.is_new_evacuation(now, &zone);
            Command::Evacuate { zone: zone.clone(), on: true, sure, deals: Vec::new() }
        } else {
            self.end_evacuation_command(now, zone.clone())
        };
        let position = self.propose_entry(&command)?;
        event!(Ordered, "entry {}: {zone}, order {request_number:016x} on entry {basis}", position.1);
        self.newest_entries.set_zone(&zone, position.1);
        self.proposed_evacuations.record(request_number, position);
        Some(self.wait_for_entry(position.0, position.1))
    }

    /// Returns a receiver of the outcome of the entry at this index and term.
    pub(super) fn wait_for_entry(&mut self, term: u64, index: u64) -> oneshot::Receiver<Answer> {
        let (sender, outcome) = oneshot::channel();
        self.waiters.entry(index).or_default().push((term, sender));
        outcome
    }

    /// Records the reverted rollouts in a received snapshot as reverted just now, since the actual time is
    /// unknown.
    pub(super) fn record_reverted_rollouts(&mut self) {
        let now = self.now();
        for service in reverted_services(&self.view) {
            self.reverted_at.entry(service).or_insert(now);
        }
    }

    /// Whether a request to evacuate a zone that is already evacuated is certainly a new one and no retry:
    /// a call is retried for `ackS` at most.
    pub(super) fn is_new_evacuation(&self, now: Millis, zone: &str) -> bool {
        let retry_window = (self.settings.timers.guarantees.ackS * 1_000.0) as Millis + 1_000;
        self.evacuated_at.get(zone).is_some_and(|at| now > at + retry_window)
    }

    /// Builds the command that ends a zone's evacuation.
    pub(super) fn end_evacuation_command(&mut self, now: Millis, zone: String) -> Command {
        if self.view.evacuated.get(&zone).is_some_and(|emptied| emptied.orders == 1) {
            return self.registry.restore_zone(now, &self.view, &zone, &Core::warmup_seconds(&self.view));
        }
        Command::Evacuate { zone, on: false, sure: false, deals: Vec::new() }
    }

    /// Returns commands for zones with two evacuation requests of which one was cancelled: after a while the
    /// other is taken for a retry of the same request, and cancelled too.
    pub(super) fn end_unmatched_evacuations(&mut self, now: Millis) -> Vec<Command> {
        let half_cancelled: Vec<String> = self
            .view
            .evacuated
            .iter()
            .filter(|(_, emptied)| emptied.back && emptied.certain == 0)
            .map(|(zone, _)| zone.clone())
            .collect();
        self.unmatched_since.retain(|zone, _| half_cancelled.contains(zone));
        let bounds = &self.settings.timers.guarantees;
        let retry_window = (bounds.evacuationS.max(bounds.ackS) * 1_000.0) as Millis;
        let mut due: Vec<String> = half_cancelled
            .into_iter()
            .filter(|zone| now >= *self.unmatched_since.entry(zone.clone()).or_insert(now) + retry_window)
            .collect();
        due.retain(|zone| !self.has_pending_entry(&Subject::Zone(zone.clone())));
        due.into_iter().map(|zone| self.end_evacuation_command(now, zone)).collect()
    }

    /// Whether a request names a rollout that was reverted just now. Guards against a call that got no
    /// definite answer and is retried: it must not try the bad version a second time.
    pub(super) fn was_just_reverted(&self, now: Millis, service: &str, revision: &str) -> bool {
        let retry_window = (self.settings.timers.guarantees.ackS * 2_000.0) as Millis;
        let rollout = self.view.rollouts.get(service);
        let same =
            rollout.is_some_and(|rollout| rollout.to == revision && rollout.state == RollOutState::Reverted);
        same && self.reverted_at.get(service).is_some_and(|at| now < at + retry_window)
    }

    /// Executes the registry's decision on a heartbeat or a departure.
    pub(super) fn execute_beat_action(&mut self, action: BeatAction) -> Option<oneshot::Receiver<Answer>> {
        match action {
            // Twice the weight: the first marshal of a service also records the version that has its
            // traffic.
            BeatAction::Propose(Command::NodeUp(node)) => {
                match self.view.check_admission(2 * node.max_encoded_size()) {
                    Ok(()) => self.propose(&Command::NodeUp(node)),
                    Err(kind) => {
                        event!(Refused, "{}: {kind}", node.id);
                        Some(ready_answer(Answer::Refused(kind.response().status, kind.to_string())))
                    }
                }
            }
            BeatAction::Propose(command) => self.propose(&command),
            BeatAction::Acknowledge => Some(ready_answer(Answer::Done(self.view.index))),
        }
    }

    /// Executes a request here or at the leader, retrying for as long as its caller waits.
    /// [`Answer::NotAccepted`] is definite: no leader has accepted it.
    pub async fn submit(shared: &SharedCore, request: CoreRequest, timeout: Duration) -> Answer {
        let maybe_accepted = Cell::new(false);
        let attempts = async {
            loop {
                let answer = if shared.borrow().member.role() == Role::Leader {
                    // Until the answer comes, the request may have been proposed.
                    let accepted_before = maybe_accepted.replace(true);
                    let answer = Core::execute_as_leader(shared, request.clone()).await;
                    maybe_accepted.set(accepted_before || !answer.not_applied());
                    answer
                } else {
                    Core::forward_to_leader(shared, request.clone(), &maybe_accepted).await
                };
                match answer {
                    Answer::Done(_) | Answer::Refused(..) => return answer,
                    // Definite, unless an earlier attempt was accepted by a leader that is gone.
                    Answer::Superseded if !maybe_accepted.get() => return answer,
                    Answer::Unknown | Answer::NotAccepted | Answer::Superseded => {
                        tokio::time::sleep(RETRY_PAUSE).await
                    }
                }
            }
        };
        match tokio::time::timeout(timeout, attempts).await {
            Ok(answer) => answer,
            Err(_) if maybe_accepted.get() => Answer::Unknown,
            Err(_) => Answer::NotAccepted,
        }
    }

    /// Forwards a request to the leader. `maybe_accepted` is set while the leader may have accepted it.
    async fn forward_to_leader(
        shared: &SharedCore,
        request: CoreRequest,
        maybe_accepted: &Cell<bool>,
    ) -> Answer {
        let outcome = {
            let core = &mut *shared.borrow_mut();
            let Some(leader) = core.leader.filter(|leader| *leader != core.settings.id()) else {
                return Answer::NotAccepted;
            };
            let (call, outcome) = core.forwarded_calls.begin(leader);
            core.send_to(leader, &PeerMessage::Call { call, request });
            outcome
        };
        let accepted_before = maybe_accepted.replace(true);
        let answer = tokio::time::timeout(FORWARD_TIMEOUT, outcome).await;
        let answer = answer.map_or(Answer::Unknown, |answer| answer.unwrap_or(Answer::Unknown));
        maybe_accepted.set(accepted_before || !answer.not_applied());
        answer
    }

    /// Handles a marshal's heartbeat: known facts are acknowledged here, everything else goes to the
    /// leader. A replica that has not heard its leader for long acknowledges nothing, so that the marshal
    /// tries another.
    pub async fn heartbeat(shared: &SharedCore, id: String, beat: Beat, timeout: Duration) -> Answer {
        let known = {
            let core = &mut *shared.borrow_mut();
            let now = core.now();
            let leads = core.member.role() == Role::Leader;
            if !leads && !core.member.has_recent_state(now, HEARTBEAT_ACK_FRESHNESS_MS) {
                return Answer::NotAccepted;
            }
            // Guards against acknowledging the departure of a marshal whose arrival this replica has not
            // applied yet.
            let certain = beat.state != DRAINING || core.view.is_leaving(&id);
            let action = (!leads).then(|| core.registry.handle_beat(now, &core.view, &id, &beat));
            (action == Some(BeatAction::Acknowledge) && certain).then_some(core.view.index)
        };
        match known {
            Some(index) => Answer::Done(index),
            None => Core::submit(shared, CoreRequest::Beat { id, beat }, timeout).await,
        }
    }

    /// Changes the configuration if the version in force is `if_match`. Errors: the configuration is
    /// invalid, or certainly builds on another version than the one in force; either way nothing is
    /// changed.
    pub async fn configure(
        shared: &SharedCore,
        if_match: Option<u64>,
        body: &[u8],
        timeout: Duration,
    ) -> Result<Answer, ErrorKind> {
        let revision = Configuration::parse(body)?.revision;
        let body_digest = configuration_digest(body);
        let deadline = Instant::now() + timeout;
        // A 412 is definite only once this replica knows everything that was acknowledged before the call.
        for is_up_to_date in [false, true] {
            let command = {
                let core = shared.borrow();
                if core.view.has_accepted(revision, &body_digest) {
                    return Ok(Answer::Done(core.view.index));
                }
                let if_match = if_match.ok_or(ErrorKind::InvalidIfMatch)?;
                if core.view.revision == if_match {
                    // Checked before the entry is proposed, to guard against a state too large for replicas
                    // to read.
                    core.view.check_admission(body.len().saturating_sub(core.view.body.len()))?;
                    Some(core.view.configure_command(revision, body)?)
                } else if is_up_to_date {
                    return Err(ErrorKind::RevisionMismatch(core.view.revision));
                } else {
                    None
                }
            };
            let remaining = deadline.saturating_duration_since(Instant::now());
            match command {
                Some(command) => {
                    return Ok(Core::submit(shared, CoreRequest::Configure(command), remaining).await)
                }
                None => drop(Core::read_barrier(shared, remaining).await?),
            }
        }
        Ok(Answer::NotAccepted)
    }

    /// Evacuates a zone on an operator's request, or ends its evacuation. [`Answer::Superseded`]: a request
    /// about this zone has come after the entry `basis`, up to which the operator knew the log.
    pub async fn set_evacuation(
        shared: &SharedCore,
        zone: &str,
        on: bool,
        basis: u64,
        timeout: Duration,
    ) -> Answer {
        let number = shared.borrow_mut().random_u64();
        let request = CoreRequest::Evacuate { order: number, basis, zone: zone.into(), on };
        let answer = Core::submit(shared, request, timeout).await;
        let wish = if on { "evacuate" } else { "end the evacuation of" };
        event!(Ordered, "order {number:016x}, {wish} {zone}: {answer}");
        answer
    }

    /// Starts a rollout of a version on an operator's request; `basis` as in [`Core::set_evacuation`].
    pub async fn start_rollout(
        shared: &SharedCore,
        (service, revision): (String, String),
        period_ms: u64,
        basis: u64,
        timeout: Duration,
    ) -> Result<Answer, ErrorKind> {
        let deadline = Instant::now() + timeout;
        let is_known = |core: &Core| {
            core.view.configuration().is_none_or(|configuration| configuration.targets.contains_key(&service))
        };
        if !is_known(&shared.borrow()) {
            // This replica may lag behind: not knowing the service yet is no reason to refuse.
            Core::read_barrier(shared, timeout).await?;
            if !is_known(&shared.borrow()) {
                return Err(ErrorKind::NotFound(format!("service {service}")));
            }
        }
        let description = format!("roll out {revision} of {service}");
        let request = CoreRequest::RollOut { basis, service, revision, period_ms };
        let remaining = deadline.saturating_duration_since(Instant::now());
        let answer = Core::submit(shared, request, remaining).await;
        event!(Ordered, "{description}: {answer}");
        Ok(answer)
    }

    /// Waits until everything that was acknowledged before this call is applied here. Returns the index of
    /// the last such entry.
    pub async fn read_barrier(shared: &SharedCore, timeout: Duration) -> Result<u64, ErrorKind> {
        let deadline = Instant::now() + timeout;
        let Answer::Done(index) = Core::submit(shared, CoreRequest::ReadIndex, timeout).await else {
            return Err(ErrorKind::NoLeader); // a read changes nothing, so an unknown outcome is no concern
        };
        while shared.borrow().view.index < index {
            if Instant::now() >= deadline {
                return Err(ErrorKind::NoLeader);
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(index)
    }
}
