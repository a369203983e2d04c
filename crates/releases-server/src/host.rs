//! The thread that owns the engine and the journal. Changes are written to disk before the table is sent to marshals. Each
//! table is sent again well before its time to live ends, so that editions in rollout become forbidden only if this thread
//! stops.

use crate::journal::{Journal, OperatorAdditions};
use crate::settings::{parse_exemption, parse_freeze, ExemptionSettings, FreezeSettings, Settings};
use crossbeam_channel::{bounded, never, select, tick, Receiver, Sender};
use milletwing_admin::PendingCall;
use milletwing_decision::interface::{
    Build, Event, Ms, PermitTable, Phase as StagePhase, Settings as DecisionSettings, StageReport, TenantId,
    Vote, ZoneId,
};
use milletwing_marshal::ports::{DecisionInput, RolloutObserver};
use milletwing_marshal::server::ReleaseGate;
use milletwing_releases::engine::{Change, ClockReading, Engine, Phase, State, Verdict};
use milletwing_releases::model::{Edition, Model};
use milletwing_releases::planner::Planner;
use serde::{Deserialize, Serialize};
use serde_json::{json, Value};
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// Interval at which the engine is advanced.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// A request of an operator.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum AdminRequest {
    /// Status of all editions.
    Status,
    /// The schedule of all outstanding releases.
    Plan,
    /// Reasons for which an edition waits.
    Explain {
        /// Service of the edition.
        service: String,
        /// Build of the edition.
        build: u32,
        /// Restricts the answer to one building.
        building: Option<String>,
        /// Asks also whether the edition may serve this customer.
        customer: Option<String>,
    },
    /// Adds a freeze.
    Freeze(FreezeSettings),
    /// Adds an exemption.
    Exempt(ExemptionSettings),
    /// Sets the verdict on an edition, usually of another service.
    #[serde(rename = "say")]
    SetVerdict {
        /// Service of the edition.
        service: String,
        /// Build of the edition.
        build: u32,
        /// `on` (proceed) or `back` (revert).
        verdict: String,
    },
}

/// A connected marshal, with its identifiers of the model's buildings and customers, in the model's order.
#[derive(Clone, Debug)]
struct AttachedMarshal {
    service: usize,
    zones: Vec<ZoneId>,
    tenants: Vec<TenantId>,
    notes: Sender<DecisionInput>,
}

/// A message to the thread.
enum Command {
    Attach(AttachedMarshal, Sender<()>),
    SetVerdict(usize, Build, Verdict),
    Stop,
}

/// A replicated record shared by several instances: the leader proposes its value, and all instances receive each committed
/// value. It replaces the journal.
pub trait SharedRecord: Send {
    /// Whether this instance is the leader.
    fn is_leader(&self) -> bool;
    /// Proposes a value with the given revision, to replace the value with revision `after`.
    fn propose(&self, after: u64, revision: u64, body: Vec<u8>);
    /// Delivers each committed revision and its value.
    fn commits(&self) -> Receiver<(u64, Vec<u8>)>;
}

/// Where the engine's state is stored.
enum StateStore {
    Local(Journal),
    Shared(Box<SharedState>),
}

/// The state in a record that is shared between instances.
struct SharedState {
    record: Box<dyn SharedRecord>,
    /// Revision of the latest committed value.
    revision: u64,
    /// When a value was proposed that has not been committed yet.
    proposed_at: Option<Instant>,
    /// Verdicts that are not in the committed state yet; proposed once this instance leads.
    pending_verdicts: Vec<(Edition, Verdict)>,
    /// A freeze or exemption that is not committed yet, as the extended model and additions, and where to send the answer.
    pending_addition: Option<(Model, OperatorAdditions, Reply)>,
}

/// Channel for the answer to a request.
type Reply = Sender<Result<Value, String>>;

/// A proposed value that has not been committed after this time is considered lost.
const PROPOSAL_TIMEOUT: Duration = Duration::from_secs(2);

/// Handle of a running release gate.
#[derive(Clone)]
pub struct Host {
    commands: Sender<Command>,
    model: Model,
    /// The service of the instance that started it.
    pub service: usize,
}

/// State of the thread that owns the engine.
struct GateThread {
    engine: Engine,
    store: StateStore,
    added: OperatorAdditions,
    /// Settings as read from the file, without `added`.
    settings: Settings,
    attached: Vec<AttachedMarshal>,
    /// Wall-clock time at start-up, and the monotonic time of that moment.
    clock_base: (i64, Instant),
    /// When the table was last sent to all marshals.
    last_sent: Instant,
}

fn wall_clock() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64)
}

/// The model of the settings file, extended by the additions of operators.
fn extended_model(settings: &Settings, added: &OperatorAdditions) -> Result<Model, String> {
    let mut model = settings.model.clone();
    for text in &added.freezes {
        model.freezes.push(parse_freeze(&model, &settings.zone, text)?);
    }
    for text in &added.exemptions {
        model.exemptions.push(parse_exemption(&model, &settings.zone, text)?);
    }
    Ok(model)
}

/// Opens the journal and creates an engine from its state and the settings.
fn open_journal(settings: &Settings) -> Result<(Engine, Journal, OperatorAdditions), String> {
    let names: Vec<String> =
        settings.model.services.iter().chain(&settings.model.buildings).cloned().collect();
    let (journal, state, added) = Journal::open(&settings.journal, &names)?;
    let model = extended_model(settings, &added)?;
    Ok((Engine::new(model, state, settings.table_life_ms, settings.grace_s), journal, added))
}

impl Host {
    /// Starts a gate from its journal. Errors are texts for operators.
    pub fn start(settings: Settings) -> Result<Host, String> {
        let (mut engine, mut journal, added) = open_journal(&settings)?;
        let changes = engine.renumber();
        journal.append(&changes, engine.state())?;
        Host::run(settings, engine, StateStore::Local(journal), added)
    }

    /// Starts a gate from the shared record. Until the first value is received, only editions that the settings file marks
    /// as released are permitted.
    pub fn start_shared(settings: Settings, record: Box<dyn SharedRecord>) -> Result<Host, String> {
        let (revision, proposed_at, pending_verdicts, pending_addition) = (0, None, Vec::new(), None);
        let state = State::default();
        let engine = Engine::new(settings.model.clone(), state, settings.table_life_ms, settings.grace_s);
        Host::run(
            settings,
            engine,
            StateStore::Shared(Box::new(SharedState {
                record,
                revision,
                proposed_at,
                pending_verdicts,
                pending_addition,
            })),
            OperatorAdditions::default(),
        )
    }

    fn run(
        settings: Settings,
        engine: Engine,
        store: StateStore,
        added: OperatorAdditions,
    ) -> Result<Host, String> {
        let (commands, command_receiver) = bounded(1024);
        let (requests, request_receiver) = bounded(16);
        milletwing_admin::listen(
            settings.admin,
            requests,
            "the gate of this instance has ended; see its log",
        )
        .map_err(|problem| format!("admin {}: {problem}", settings.admin))?;
        let (model, service) = (engine.model().clone(), settings.service);
        let (clock_base, last_sent) = ((wall_clock(), Instant::now()), Instant::now());
        let mut gate_thread =
            GateThread { engine, store, added, settings, attached: Vec::new(), clock_base, last_sent };
        let thread = std::thread::Builder::new().name("releases".into()).stack_size(2 << 20);
        let run = move || {
            let guarded_run =
                std::panic::AssertUnwindSafe(|| gate_thread.run(&command_receiver, &request_receiver));
            if let Err(why) =
                std::panic::catch_unwind(guarded_run).unwrap_or_else(|_| Err("its thread panicked".into()))
            {
                log::error!("releases: the gate has ended: {why}. Editions in rollout will be forbidden when the last table expires");
            }
        };
        thread.spawn(run).map_err(|problem| problem.to_string())?;
        Ok(Host { commands, model, service })
    }

    /// Stops the gate. Tables that were sent expire.
    pub fn stop(&self) {
        let _ = self.commands.send(Command::Stop); // fails if the thread has ended
    }

    /// Connects a marshal of a service. It is sent the table before this returns, and then whenever the table changes.
    pub fn attach(
        &self,
        service: usize,
        zones: &[String],
        tenants: &[String],
        notes: Sender<DecisionInput>,
    ) -> Result<Watcher, String> {
        let index_of = |list: &[String], what: &str, name: &String| {
            let index = list.iter().position(|other| other == name);
            index.ok_or_else(|| format!("releases: the marshal's settings have no {what} `{name}`"))
        };
        let zones = self.model.buildings.iter().map(|name| Ok(ZoneId(index_of(zones, "zone", name)? as u32)));
        let zones = zones.collect::<Result<Vec<_>, String>>()?;
        let tenants =
            self.model.customers.iter().map(|name| Ok(TenantId(index_of(tenants, "tenant", name)?)));
        let tenants = tenants.collect::<Result<Vec<_>, String>>()?;
        let (sent, first_table) = bounded(1);
        let attached = AttachedMarshal { service, zones, tenants, notes };
        // Both calls fail if the thread has ended; the marshal then gets no table, so nothing is permitted.
        let _ = self.commands.send(Command::Attach(attached, sent));
        let _ = first_table.recv_timeout(Duration::from_secs(10));
        Ok(self.watcher(service))
    }

    /// An observer that reports what a marshal of a service sees.
    pub fn watcher(&self, service: usize) -> Watcher {
        Watcher { commands: self.commands.clone(), service }
    }
}

/// Reports a marshal's stage reports and votes on its service's builds to the gate.
pub struct Watcher {
    commands: Sender<Command>,
    service: usize,
}

impl RolloutObserver for Watcher {
    fn stage_reported(&self, news: &StageReport) {
        let verdict = match news.phase {
            StagePhase::Reverting | StagePhase::Withdrawn => Verdict::Revert,
            StagePhase::Released => Verdict::Proceed,
            StagePhase::Trial if news.stage > 0 => Verdict::Proceed,
            StagePhase::Trial => return,
        };
        let _ = self.commands.try_send(Command::SetVerdict(self.service, news.build, verdict));
        // on a full channel the report is dropped; the platform repeats it
    }
    fn vote_cast(&self, build: Build, vote: Vote) {
        // A vote to proceed waits for the platform's decision; a vote to revert takes effect at once.
        if vote == Vote::Revert {
            let _ = self.commands.try_send(Command::SetVerdict(self.service, build, Verdict::Revert));
            // on a full channel the vote is dropped; the marshal repeats it
        }
    }
}

// The gate of the service that this instance routes.
impl ReleaseGate for Host {
    fn settings(&self, decisions: &mut DecisionSettings) {
        decisions.require_permits = true;
    }
    fn join(
        self: Box<Self>,
        zones: &[String],
        tenants: &[String],
        notes: Sender<DecisionInput>,
    ) -> io::Result<Box<dyn RolloutObserver>> {
        let watcher = self.attach(self.service, zones, tenants, notes).map_err(io::Error::other)?;
        Ok(Box::new(watcher))
    }
}

impl GateThread {
    /// Both clocks; the monotonic one counts from the wall-clock time at start-up.
    fn now(&self) -> ClockReading {
        ClockReading {
            wall: wall_clock(),
            monotonic: self.clock_base.0 + self.clock_base.1.elapsed().as_secs() as i64,
        }
    }

    fn run(
        &mut self,
        command_receiver: &Receiver<Command>,
        request_receiver: &Receiver<PendingCall<AdminRequest>>,
    ) -> Result<(), String> {
        let ticks = tick(TICK_INTERVAL);
        let commits = match &self.store {
            StateStore::Local(_) => never(),
            StateStore::Shared(shared) => shared.record.commits(),
        };
        loop {
            select! {
                recv(command_receiver) -> command => match command {
                    Ok(Command::Attach(attached, sent)) => {
                        self.send_table(&attached);
                        self.attached.push(attached);
                        let _ = sent.send(()); // the marshal may have stopped waiting
                    }
                    Ok(Command::SetVerdict(service, build, verdict)) => self.handle_verdict(Edition { service, build: build.0 }, verdict)?,
                    Ok(Command::Stop) | Err(_) => return Ok(()),
                },
                recv(request_receiver) -> message => if let Ok((request, reply)) = message {
                    self.answer(&request, reply);
                },
                recv(commits) -> value => match value {
                    Ok((revision, body)) => self.apply_commit(revision, &body)?,
                    Err(_) => return Err("the group has ended".into()),
                },
                recv(ticks) -> _ => {}
            }
            let now = self.now();
            let renew = self.last_sent.elapsed() >= Duration::from_millis(self.settings.table_life_ms / 3);
            if matches!(self.store, StateStore::Shared(_)) {
                self.propose_next_state(now, renew)?;
                continue;
            }
            let changes = self.engine.tick(now);
            self.persist(&changes)?;
            if !changes.is_empty() || renew {
                self.send_table_to_all();
            }
        }
    }

    fn send_table_to_all(&mut self) {
        self.last_sent = Instant::now();
        self.attached.iter().for_each(|marshal| self.send_table(marshal));
    }

    /// On the leader, proposes the next state, one at a time: with all changes, pending verdicts and additions, and again
    /// before the table's time to live ends. Only committed states take effect and are sent to marshals.
    fn propose_next_state(&mut self, now: ClockReading, renew: bool) -> Result<(), String> {
        let StateStore::Shared(shared) = &mut self.store else { return Ok(()) };
        if !shared.record.is_leader() {
            if let Some((.., reply)) = shared.pending_addition.take() {
                let _ = reply.send(Err("leadership was lost meanwhile; ask the one that leads".into()));
                // the requester may have disconnected
            }
            return Ok(());
        }
        if shared.proposed_at.is_some_and(|at| at.elapsed() < PROPOSAL_TIMEOUT) {
            return Ok(());
        }
        let mut next = self.engine.clone();
        let mut added = self.added.clone();
        let mut changed = shared.revision == 0 || shared.pending_addition.is_some();
        // Pending verdicts and additions are kept until they are committed, since a proposed value may be lost.
        if let Some((model, additions, _)) = &shared.pending_addition {
            next.replace_model(model.clone());
            added = additions.clone();
        }
        for (edition, verdict) in &shared.pending_verdicts {
            changed |= !next.record_verdict(*edition, *verdict, now).is_empty();
        }
        changed |= !next.tick(now).is_empty();
        if changed || renew {
            let revision = shared.revision + 1;
            let body = postcard::to_stdvec(&(next.state(), &added)).map_err(|problem| problem.to_string())?;
            shared.record.propose(shared.revision, revision, body);
            shared.proposed_at = Some(Instant::now());
        }
        Ok(())
    }

    /// Takes over a committed state.
    fn apply_commit(&mut self, revision: u64, body: &[u8]) -> Result<(), String> {
        let StateStore::Shared(shared) = &mut self.store else { return Ok(()) };
        if revision <= shared.revision {
            return Ok(());
        }
        (shared.revision, shared.proposed_at) = (revision, None);
        let (state, added) =
            postcard::from_bytes(body).map_err(|problem| format!("decoding the shared state: {problem}"))?;
        let model = extended_model(&self.settings, &added)?;
        let state: State = state;
        let in_force = |edition: Edition, verdict| {
            [Some(verdict), Some(Verdict::Revert)].contains(&state.verdict(edition))
        };
        shared.pending_verdicts.retain(|(edition, verdict)| !in_force(*edition, *verdict));
        if let Some((.., reply)) = shared.pending_addition.take_if(|(_, pending, _)| *pending == added) {
            let _ = reply.send(Ok(json!({ "committed": revision }))); // the requester may have disconnected
        }
        let changed = self.engine.state() != &state;
        self.engine = Engine::new(model, state, self.settings.table_life_ms, self.settings.grace_s);
        self.added = added;
        if changed {
            log::info!("releases: shared state {revision}, table {}", self.engine.state().table_number);
        }
        self.send_table_to_all();
        Ok(())
    }

    /// Records a verdict, or queues it where the state is shared.
    fn handle_verdict(&mut self, edition: Edition, verdict: Verdict) -> Result<(), String> {
        let now = self.now();
        match &mut self.store {
            StateStore::Shared(shared) => {
                let known = self.engine.state().verdict(edition);
                // Marshals repeat their verdicts; those that are in force already are ignored.
                let is_new = known != Some(verdict) && known != Some(Verdict::Revert);
                if is_new
                    && !shared.pending_verdicts.contains(&(edition, verdict))
                    && shared.pending_verdicts.len() < 1024
                {
                    shared.pending_verdicts.push((edition, verdict));
                }
                Ok(())
            }
            StateStore::Local(_) => {
                let changes = self.engine.record_verdict(edition, verdict, now);
                self.persist(&changes)?;
                if !changes.is_empty() {
                    self.send_table_to_all();
                }
                Ok(())
            }
        }
    }

    /// Checks that this instance accepts changes by operators.
    fn may_change(&self) -> Result<(), String> {
        match &self.store {
            StateStore::Shared(shared) if !shared.record.is_leader() => {
                Err("this instance does not lead its group; `milletwing group status` tells who does".into())
            }
            _ => Ok(()),
        }
    }

    /// Logs changes and writes them to the journal, if there is one.
    fn persist(&mut self, changes: &[Change]) -> Result<(), String> {
        for change in changes {
            if let Change::Progress(edition, building, progress) = change {
                let (name, building) =
                    (self.engine.model().edition_name(*edition), &self.engine.model().buildings[*building]);
                let held = if progress.held { ", held" } else { "" };
                log::info!(
                    "releases: {name} in {building}: {:?}, {} tranches released{held}",
                    progress.phase,
                    progress.tranches_done
                );
            }
        }
        let StateStore::Local(journal) = &mut self.store else { return Ok(()) };
        journal.append(changes, self.engine.state()).map_err(|why| format!("writing the journal: {why}"))
    }

    /// Sends a marshal the part of the table that concerns its service.
    fn send_table(&self, attached: &AttachedMarshal) {
        let table = self.engine.release_table();
        let model = self.engine.model();
        let of_service = |list: &std::collections::BTreeSet<(Edition, usize, usize)>| {
            let entries = list.iter().filter(|(edition, ..)| edition.service == attached.service);
            entries.map(|(e, b, c)| (Build(e.build), attached.zones[*b], attached.tenants[*c])).collect()
        };
        let (mut released, in_rollout): (std::collections::HashSet<_>, _) =
            (of_service(&table.released), of_service(&table.in_rollout));
        // Requests without a customer are served where an edition has been released to all customers.
        for (edition, spec) in model.editions.iter().filter(|(e, _)| e.service == attached.service) {
            for building in 0..model.buildings.len() {
                let progress = self.engine.state().progress(*edition, building);
                if progress.phase != Phase::Withdrawn && (spec.released || progress.phase == Phase::Released)
                {
                    released.insert((Build(edition.build), attached.zones[building], PermitTable::NO_TENANT));
                }
            }
        }
        let (version, ttl) = (table.number, Ms(table.ttl_ms as f64));
        let permits = Arc::new(PermitTable { version, ttl, released, in_rollout });
        let _ = attached.notes.send(DecisionInput::Event(Event::PermitTable(permits)));
        // fails if the marshal has ended
    }

    /// Answers a request. One that has to be committed by the group is answered after the commit.
    fn answer(&mut self, request: &AdminRequest, reply: Reply) {
        if let Some(answer) = self.handle_request(request, &reply).transpose() {
            let _ = reply.send(answer); // the requester may have disconnected
        }
    }

    /// Handles a request; `None` if the answer is sent later.
    fn handle_request(&mut self, request: &AdminRequest, reply: &Reply) -> Result<Option<Value>, String> {
        let now = self.now();
        self.engine.set_time(now);
        let model = self.engine.model().clone();
        let find_edition = |service: &str, build: u32| {
            let at = model.services.iter().position(|name| name == service);
            let edition = at.map(|service| Edition { service, build });
            let known = edition.filter(|edition| model.editions.contains_key(edition));
            known.ok_or_else(|| format!("there is no edition {service} {build}"))
        };
        match request {
            AdminRequest::Status => Ok(Some(status(&self.engine))),
            AdminRequest::Plan => plan(&self.engine, now.monotonic).map(Some),
            AdminRequest::Explain { service, build, building, customer } => explain(
                &self.engine,
                find_edition(service, *build)?,
                building.as_deref(),
                customer.as_deref(),
            )
            .map(Some),
            AdminRequest::Freeze(text) => {
                let mut model = model.clone();
                if model.freezes.iter().any(|freeze| freeze.name == text.name) {
                    return Err(format!("there is a freeze {} already", text.name));
                }
                model.freezes.push(parse_freeze(&model, &self.settings.zone, text)?);
                let mut added = self.added.clone();
                added.freezes.push(text.clone());
                self.add_settings(model, added, reply)
            }
            AdminRequest::Exempt(text) => {
                let mut model = model.clone();
                model.exemptions.push(parse_exemption(&model, &self.settings.zone, text)?);
                let mut added = self.added.clone();
                added.exemptions.push(text.clone());
                self.add_settings(model, added, reply)
            }
            AdminRequest::SetVerdict { service, build, verdict } => {
                let edition = find_edition(service, *build)?;
                let verdict = match verdict.as_str() {
                    "on" => Verdict::Proceed,
                    "back" => Verdict::Revert,
                    other => return Err(format!("`{other}` is neither on nor back")),
                };
                self.may_change()?;
                self.handle_verdict(edition, verdict)?;
                Ok(Some(json!({ "edition": model.edition_name(edition) })))
            }
        }
    }

    /// Adds a freeze or an exemption, which is stored before it takes effect.
    fn add_settings(
        &mut self,
        model: Model,
        added: OperatorAdditions,
        reply: &Reply,
    ) -> Result<Option<Value>, String> {
        self.may_change()?;
        match &mut self.store {
            StateStore::Shared(shared) if shared.pending_addition.is_some() => {
                Err("another change is under way; try again".into())
            }
            StateStore::Shared(shared) => {
                shared.pending_addition = Some((model, added, reply.clone()));
                Ok(None)
            }
            StateStore::Local(journal) => {
                journal.write_additions(&added)?;
                self.added = added;
                let changes = self.engine.replace_model(model);
                journal.append(&changes, self.engine.state())?;
                Ok(Some(json!({ "table": self.engine.state().table_number })))
            }
        }
    }
}

/// Status of all outstanding editions in all buildings.
pub fn status(engine: &Engine) -> Value {
    let model = engine.model();
    let rows: Vec<Value> = (model.editions.iter())
        .filter(|(_, spec)| !spec.released)
        .flat_map(|(edition, _)| (0..model.buildings.len()).map(move |building| (*edition, building)))
        .map(|(edition, building)| {
            let progress = engine.state().progress(edition, building);
            json!({
                "edition": model.edition_name(edition),
                "building": model.buildings[building],
                "phase": format!("{:?}", progress.phase).to_lowercase(),
                "tranches_out": progress.tranches_done,
                "of": model.tranches.len(),
                "held": progress.held,
                "waits": engine.wait_reasons(edition, building),
            })
        })
        .collect();
    json!({ "table": engine.state().table_number, "editions": rows })
}

/// The schedule of all outstanding releases.
pub fn plan(engine: &Engine, now: i64) -> Result<Value, String> {
    let model = engine.model();
    let schedule = Planner::new(model, engine.state(), now)?.schedule();
    let steps: Vec<Value> = schedule
        .steps
        .iter()
        .map(|step| {
            json!({
                "edition": model.edition_name(step.edition),
                "building": model.buildings[step.building],
                "tranche": step.tranche + 1,
                "start": step.start,
                "end": step.end,
            })
        })
        .collect();
    let unschedulable: Vec<Value> = schedule
        .unschedulable
        .iter()
        .map(|(edition, why)| json!({ "edition": model.edition_name(*edition), "why": why }))
        .collect();
    Ok(
        json!({ "now": now, "finish": schedule.finish, "no_plan_before": schedule.lower_bound, "best": schedule.optimal,
        "steps": steps, "stuck": unschedulable }),
    )
}

/// Status of an edition in all buildings or one, with the reasons for which it waits.
pub fn explain(
    engine: &Engine,
    edition: Edition,
    building: Option<&str>,
    customer: Option<&str>,
) -> Result<Value, String> {
    let model = engine.model();
    let index_of = |list: &[String], what: &str, name: &str| {
        list.iter().position(|other| other == name).ok_or_else(|| format!("there is no {what} {name}"))
    };
    let requested = building.map(|name| index_of(&model.buildings, "building", name)).transpose()?;
    let customer = customer.map(|name| index_of(&model.customers, "customer", name)).transpose()?;
    let table = engine.release_table();
    let buildings =
        (0..model.buildings.len()).filter(|at| requested.is_none_or(|requested| requested == *at));
    let rows: Vec<Value> = buildings
        .map(|building| {
            let progress = engine.state().progress(edition, building);
            let entry = customer.map(|customer| (edition, building, customer));
            let permitted =
                entry.map(|entry| table.released.contains(&entry) || table.in_rollout.contains(&entry));
            json!({
                "building": model.buildings[building],
                "phase": format!("{:?}", progress.phase).to_lowercase(),
                "tranches_out": progress.tranches_done,
                "waits": engine.wait_reasons(edition, building),
                "carries_the_customer": permitted,
            })
        })
        .collect();
    Ok(json!({ "edition": model.edition_name(edition), "buildings": rows }))
}
