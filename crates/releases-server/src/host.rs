//! The thread that owns the engine and the journal. What changes is written before it is told; a table is told again
//! well within its life, so that marshals forbid what is on its way once this thread is gone.

use crate::journal::{Journal, OperatorAdditions};
use crate::settings::{parse_exemption, parse_freeze, ExemptionSettings, FreezeSettings, Settings};
use crossbeam_channel::{bounded, never, select, tick, Receiver, Sender};
use milletwing_admin::PendingCall;
use milletwing_decision::interface::{
    Build, Event, Ms, PermitTable, Phase as Told, Settings as Decisions, StageReport, TenantId, Vote, ZoneId,
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

/// Between looks at the time.
const LOOK: Duration = Duration::from_millis(100);

/// What an operator asks.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", tag = "call")]
pub enum AdminRequest {
    /// How all editions stand.
    Status,
    /// The plan from now on.
    Plan,
    /// Why an edition waits.
    Explain {
        /// Its service.
        service: String,
        /// Its build.
        build: u32,
        /// In one building.
        building: Option<String>,
        /// For one customer.
        customer: Option<String>,
    },
    /// Adds a freeze.
    Freeze(FreezeSettings),
    /// Adds an exemption.
    Exempt(ExemptionSettings),
    /// Says of an edition of another service that it may go on, or goes back.
    #[serde(rename = "say")]
    SetVerdict {
        /// Its service.
        service: String,
        /// Its build.
        build: u32,
        /// `on` or `back`.
        verdict: String,
    },
}

/// Where a marshal's names stand.
#[derive(Clone, Debug)]
struct Attached {
    service: usize,
    zones: Vec<ZoneId>,
    tenants: Vec<TenantId>,
    notes: Sender<DecisionInput>,
}

enum Word {
    Attach(Attached, Sender<()>),
    Say(usize, Build, Verdict),
    Stop,
}

/// A record that several instances share: one value, put by whoever leads, told to all. Where there is one, it stands in
/// place of the journal.
pub trait SharedRecord: Send {
    /// Whether this instance leads.
    fn is_leader(&self) -> bool;
    /// Wants a value kept in place of the one with the number before.
    fn propose(&self, after: u64, number: u64, body: Vec<u8>);
    /// Each value as it is committed.
    fn commits(&self) -> Receiver<(u64, Vec<u8>)>;
}

/// Where the state is kept.
enum Kept {
    Own(Journal),
    Shared(Box<SharedState>),
}

/// The state in a record that instances share.
struct SharedState {
    record: Box<dyn SharedRecord>,
    /// The number of the last value.
    number: u64,
    /// What was put and is not told yet, and when.
    put: Option<Instant>,
    /// What is to be said of editions as soon as this instance may.
    said: Vec<(Edition, Verdict)>,
    /// What an operator wants added, and who waits to hear of it.
    adding: Option<(Model, OperatorAdditions, Reply)>,
}

/// Where a call's answer goes.
type Reply = Sender<Result<Value, String>>;

/// After so long a value that was put and not told is given up.
const LOST: Duration = Duration::from_secs(2);

/// A host that runs.
#[derive(Clone)]
pub struct Host {
    words: Sender<Word>,
    model: Model,
    /// The service of the instance that started it.
    pub service: usize,
}

struct Keeper {
    engine: Engine,
    kept: Kept,
    added: OperatorAdditions,
    settings: Settings,
    attached: Vec<Attached>,
    base: (i64, Instant),
    renewed: Instant,
}

fn wall() -> i64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |time| time.as_secs() as i64)
}

/// The file's model with what operators added in service.
fn with_added(settings: &Settings, added: &OperatorAdditions) -> Result<Model, String> {
    let mut model = settings.model.clone();
    for text in &added.freezes {
        model.freezes.push(parse_freeze(&model, &settings.zone, text)?);
    }
    for text in &added.exemptions {
        model.exemptions.push(parse_exemption(&model, &settings.zone, text)?);
    }
    Ok(model)
}

/// The state as the journal and the file give it.
fn open(settings: &Settings) -> Result<(Engine, Journal, OperatorAdditions), String> {
    let names: Vec<String> =
        settings.model.services.iter().chain(&settings.model.buildings).cloned().collect();
    let (journal, state, added) = Journal::open(&settings.journal, &names)?;
    let model = with_added(settings, &added)?;
    Ok((Engine::new(model, state, settings.table_life_ms, settings.grace_s), journal, added))
}

impl Host {
    /// Goes on from the journal. Errors are for operators.
    pub fn start(settings: Settings) -> Result<Host, String> {
        let (mut engine, mut journal, added) = open(&settings)?;
        let changes = engine.renumber();
        journal.append(&changes, engine.state())?;
        Host::run(settings, engine, Kept::Own(journal), added)
    }

    /// Goes on from what instances share; until that is told, nothing is permitted but what the file calls released.
    pub fn start_shared(settings: Settings, record: Box<dyn SharedRecord>) -> Result<Host, String> {
        let (number, put, said, adding) = (0, None, Vec::new(), None);
        let state = State::default();
        let engine = Engine::new(settings.model.clone(), state, settings.table_life_ms, settings.grace_s);
        Host::run(
            settings,
            engine,
            Kept::Shared(Box::new(SharedState { record, number, put, said, adding })),
            OperatorAdditions::default(),
        )
    }

    fn run(settings: Settings, engine: Engine, kept: Kept, added: OperatorAdditions) -> Result<Host, String> {
        let (words, heard) = bounded(1024);
        let (calls, asked) = bounded(16);
        milletwing_admin::listen(settings.admin, calls, "the gate of this instance has ended; see its log")
            .map_err(|problem| format!("admin {}: {problem}", settings.admin))?;
        let (model, service) = (engine.model().clone(), settings.service);
        let (base, renewed) = ((wall(), Instant::now()), Instant::now());
        let mut keeper = Keeper { engine, kept, added, settings, attached: Vec::new(), base, renewed };
        let thread = std::thread::Builder::new().name("releases".into()).stack_size(2 << 20);
        let run = move || {
            let work = std::panic::AssertUnwindSafe(|| keeper.run(&heard, &asked));
            if let Err(why) =
                std::panic::catch_unwind(work).unwrap_or_else(|_| Err("its thread panicked".into()))
            {
                log::error!("releases: the gate has ended: {why}. What is on its way is forbidden as its table runs out");
            }
        };
        thread.spawn(run).map_err(|problem| problem.to_string())?;
        Ok(Host { words, model, service })
    }

    /// Ends it; tables that were told run out.
    pub fn stop(&self) {
        let _ = self.words.send(Word::Stop); // it may have ended
    }

    /// A marshal of a service: it is told the table before this returns, and whenever it changes.
    pub fn attach(
        &self,
        service: usize,
        zones: &[String],
        tenants: &[String],
        notes: Sender<DecisionInput>,
    ) -> Result<Watcher, String> {
        let at = |list: &[String], what: &str, name: &String| {
            let place = list.iter().position(|other| other == name);
            place.ok_or_else(|| format!("releases: the marshal's settings have no {what} `{name}`"))
        };
        let zones = self.model.buildings.iter().map(|name| Ok(ZoneId(at(zones, "zone", name)? as u32)));
        let zones = zones.collect::<Result<Vec<_>, String>>()?;
        let tenants = self.model.customers.iter().map(|name| Ok(TenantId(at(tenants, "tenant", name)?)));
        let tenants = tenants.collect::<Result<Vec<_>, String>>()?;
        let (told, first) = bounded(1);
        let attached = Attached { service, zones, tenants, notes };
        let _ = self.words.send(Word::Attach(attached, told)); // it may have ended: nothing is permitted then
        let _ = first.recv_timeout(Duration::from_secs(10)); // the same
        Ok(self.watcher(service))
    }

    /// Who tells what a marshal of a service sees.
    pub fn watcher(&self, service: usize) -> Watcher {
        Watcher { words: self.words.clone(), service }
    }
}

/// Tells the host what a marshal sees and says of its service's builds.
pub struct Watcher {
    words: Sender<Word>,
    service: usize,
}

impl RolloutObserver for Watcher {
    fn stage_reported(&self, news: &StageReport) {
        let verdict = match news.phase {
            Told::Reverting | Told::Withdrawn => Verdict::Revert,
            Told::Released => Verdict::Proceed,
            Told::Trial if news.stage > 0 => Verdict::Proceed,
            Told::Trial => return,
        };
        let _ = self.words.try_send(Word::Say(self.service, news.build, verdict));
        // the platform tells again
    }
    fn vote_cast(&self, build: Build, vote: Vote) {
        // Going on is the platform's to say; going back counts from the vote on.
        if vote == Vote::Revert {
            let _ = self.words.try_send(Word::Say(self.service, build, Verdict::Revert));
            // cast again
        }
    }
}

/// The gate of an instance's own service.
impl ReleaseGate for Host {
    fn settings(&self, decisions: &mut Decisions) {
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

impl Keeper {
    fn now(&self) -> ClockReading {
        ClockReading { wall: wall(), monotonic: self.base.0 + self.base.1.elapsed().as_secs() as i64 }
    }

    fn run(
        &mut self,
        heard: &Receiver<Word>,
        asked: &Receiver<PendingCall<AdminRequest>>,
    ) -> Result<(), String> {
        let looks = tick(LOOK);
        let told = match &self.kept {
            Kept::Own(_) => never(),
            Kept::Shared(shared) => shared.record.commits(),
        };
        loop {
            select! {
                recv(heard) -> word => match word {
                    Ok(Word::Attach(attached, told)) => {
                        self.tell(&attached);
                        self.attached.push(attached);
                        let _ = told.send(()); // who asked may have gone
                    }
                    Ok(Word::Say(service, build, verdict)) => self.say(Edition { service, build: build.0 }, verdict)?,
                    Ok(Word::Stop) | Err(_) => return Ok(()),
                },
                recv(asked) -> call => if let Ok((call, reply)) = call {
                    self.answer(&call, reply);
                },
                recv(told) -> value => match value {
                    Ok((number, body)) => self.taken(number, &body)?,
                    Err(_) => return Err("the group has ended".into()),
                },
                recv(looks) -> _ => {}
            }
            let now = self.now();
            let renew = self.renewed.elapsed() >= Duration::from_millis(self.settings.table_life_ms / 3);
            if matches!(self.kept, Kept::Shared(_)) {
                self.put(now, renew)?;
                continue;
            }
            let changes = self.engine.tick(now);
            self.written(&changes)?;
            if !changes.is_empty() || renew {
                self.tell_all();
            }
        }
    }

    fn tell_all(&mut self) {
        self.renewed = Instant::now();
        self.attached.iter().for_each(|attached| self.tell(attached));
    }

    /// The one that leads puts the next state, one at a time: what has changed, what was said and added, and before the
    /// table's life is over the same once more. Told, and in force, is only what was committed.
    fn put(&mut self, now: ClockReading, renew: bool) -> Result<(), String> {
        let Kept::Shared(shared) = &mut self.kept else { return Ok(()) };
        if !shared.record.is_leader() {
            if let Some((.., reply)) = shared.adding.take() {
                let _ = reply.send(Err("leadership was lost meanwhile; ask the one that leads".into()));
                // it may have gone
            }
            return Ok(());
        }
        if shared.put.is_some_and(|at| at.elapsed() < LOST) {
            return Ok(());
        }
        let mut next = self.engine.clone();
        let mut added = self.added.clone();
        let mut changed = shared.number == 0 || shared.adding.is_some();
        // What is wanted stays wanted until it is told: a value that was put may get lost.
        if let Some((model, more, _)) = &shared.adding {
            next.replace_model(model.clone());
            added = more.clone();
        }
        for (edition, verdict) in &shared.said {
            changed |= !next.record_verdict(*edition, *verdict, now).is_empty();
        }
        changed |= !next.tick(now).is_empty();
        if changed || renew {
            let number = shared.number + 1;
            let body = postcard::to_stdvec(&(next.state(), &added)).map_err(|problem| problem.to_string())?;
            shared.record.propose(shared.number, number, body);
            shared.put = Some(Instant::now());
        }
        Ok(())
    }

    /// What instances share has changed.
    fn taken(&mut self, number: u64, body: &[u8]) -> Result<(), String> {
        let Kept::Shared(shared) = &mut self.kept else { return Ok(()) };
        if number <= shared.number {
            return Ok(());
        }
        (shared.number, shared.put) = (number, None);
        let (state, added) =
            postcard::from_bytes(body).map_err(|problem| format!("what is shared: {problem}"))?;
        let model = with_added(&self.settings, &added)?;
        let state: State = state;
        let stands = |edition: Edition, verdict| {
            [Some(verdict), Some(Verdict::Revert)].contains(&state.verdict(edition))
        };
        shared.said.retain(|(edition, verdict)| !stands(*edition, *verdict));
        if let Some((.., reply)) = shared.adding.take_if(|(_, wanted, _)| *wanted == added) {
            let _ = reply.send(Ok(json!({ "committed": number }))); // who asked may have gone
        }
        let changed = self.engine.state() != &state;
        self.engine = Engine::new(model, state, self.settings.table_life_ms, self.settings.grace_s);
        self.added = added;
        if changed {
            log::info!("releases: shared state {number}, table {}", self.engine.state().table_number);
        }
        self.tell_all();
        Ok(())
    }

    fn say(&mut self, edition: Edition, verdict: Verdict) -> Result<(), String> {
        let now = self.now();
        match &mut self.kept {
            Kept::Shared(shared) => {
                let known = self.engine.state().verdict(edition);
                // Said again and again by marshals: what stands is not said once more.
                let news = known != Some(verdict) && known != Some(Verdict::Revert);
                if news && !shared.said.contains(&(edition, verdict)) && shared.said.len() < 1024 {
                    shared.said.push((edition, verdict));
                }
                Ok(())
            }
            Kept::Own(_) => {
                let changes = self.engine.record_verdict(edition, verdict, now);
                self.written(&changes)?;
                if !changes.is_empty() {
                    self.tell_all();
                }
                Ok(())
            }
        }
    }

    /// Whether operators may change something here.
    fn may_change(&self) -> Result<(), String> {
        match &self.kept {
            Kept::Shared(shared) if !shared.record.is_leader() => {
                Err("this instance does not lead its group; `milletwing group status` tells who does".into())
            }
            _ => Ok(()),
        }
    }

    fn written(&mut self, changes: &[Change]) -> Result<(), String> {
        for change in changes {
            if let Change::Progress(edition, building, progress) = change {
                let (name, place) =
                    (self.engine.model().edition_name(*edition), &self.engine.model().buildings[*building]);
                let held = if progress.held { ", held" } else { "" };
                log::info!(
                    "releases: {name} in {place}: {:?}, {} tranches out{held}",
                    progress.phase,
                    progress.tranches_done
                );
            }
        }
        let Kept::Own(journal) = &mut self.kept else { return Ok(()) };
        journal.append(changes, self.engine.state()).map_err(|why| format!("writing the journal: {why}"))
    }

    /// The part of the table that is a marshal's.
    fn tell(&self, attached: &Attached) {
        let table = self.engine.release_table();
        let model = self.engine.model();
        let own = |list: &std::collections::BTreeSet<(Edition, usize, usize)>| {
            let own = list.iter().filter(|(edition, ..)| edition.service == attached.service);
            own.map(|(e, b, c)| (Build(e.build), attached.zones[*b], attached.tenants[*c])).collect()
        };
        let (mut released, moving): (std::collections::HashSet<_>, _) =
            (own(&table.released), own(&table.in_rollout));
        // Requests of nobody go where an edition is out for everybody.
        for (edition, plan) in model.editions.iter().filter(|(e, _)| e.service == attached.service) {
            for building in 0..model.buildings.len() {
                let progress = self.engine.state().progress(*edition, building);
                if progress.phase != Phase::Withdrawn && (plan.released || progress.phase == Phase::Released)
                {
                    released.insert((Build(edition.build), attached.zones[building], PermitTable::NO_TENANT));
                }
            }
        }
        let (number, life) = (table.number, Ms(table.ttl_ms as f64));
        let permits = Arc::new(PermitTable { version: number, ttl: life, released, in_rollout: moving });
        let _ = attached.notes.send(DecisionInput::Event(Event::PermitTable(permits)));
        // the marshal may have ended
    }

    /// Answers a call; one that waits for the group is answered once that has taken it.
    fn answer(&mut self, call: &AdminRequest, reply: Reply) {
        if let Some(answer) = self.call(call, &reply).transpose() {
            let _ = reply.send(answer); // who asked may have gone
        }
    }

    /// `None`: the answer comes later.
    fn call(&mut self, call: &AdminRequest, reply: &Reply) -> Result<Option<Value>, String> {
        let now = self.now();
        self.engine.set_time(now);
        let model = self.engine.model().clone();
        let named = |service: &str, build: u32| {
            let at = model.services.iter().position(|name| name == service);
            let edition = at.map(|service| Edition { service, build });
            let known = edition.filter(|edition| model.editions.contains_key(edition));
            known.ok_or_else(|| format!("there is no edition {service} {build}"))
        };
        match call {
            AdminRequest::Status => Ok(Some(status(&self.engine))),
            AdminRequest::Plan => plan(&self.engine, now.monotonic).map(Some),
            AdminRequest::Explain { service, build, building, customer } => {
                explain(&self.engine, named(service, *build)?, building.as_deref(), customer.as_deref())
                    .map(Some)
            }
            AdminRequest::Freeze(text) => {
                let mut model = model.clone();
                if model.freezes.iter().any(|freeze| freeze.name == text.name) {
                    return Err(format!("there is a freeze {} already", text.name));
                }
                model.freezes.push(parse_freeze(&model, &self.settings.zone, text)?);
                let mut added = self.added.clone();
                added.freezes.push(text.clone());
                self.add(model, added, reply)
            }
            AdminRequest::Exempt(text) => {
                let mut model = model.clone();
                model.exemptions.push(parse_exemption(&model, &self.settings.zone, text)?);
                let mut added = self.added.clone();
                added.exemptions.push(text.clone());
                self.add(model, added, reply)
            }
            AdminRequest::SetVerdict { service, build, verdict } => {
                let edition = named(service, *build)?;
                let verdict = match verdict.as_str() {
                    "on" => Verdict::Proceed,
                    "back" => Verdict::Revert,
                    other => return Err(format!("`{other}` is neither on nor back")),
                };
                self.may_change()?;
                self.say(edition, verdict)?;
                Ok(Some(json!({ "edition": model.edition_name(edition) })))
            }
        }
    }

    /// Written first, in force then.
    fn add(
        &mut self,
        model: Model,
        added: OperatorAdditions,
        reply: &Reply,
    ) -> Result<Option<Value>, String> {
        self.may_change()?;
        match &mut self.kept {
            Kept::Shared(shared) if shared.adding.is_some() => {
                Err("another change is under way; try again".into())
            }
            Kept::Shared(shared) => {
                shared.adding = Some((model, added, reply.clone()));
                Ok(None)
            }
            Kept::Own(journal) => {
                journal.write_additions(&added)?;
                self.added = added;
                let changes = self.engine.replace_model(model);
                journal.append(&changes, self.engine.state())?;
                Ok(Some(json!({ "table": self.engine.state().table_number })))
            }
        }
    }
}

/// How all editions stand.
pub fn status(engine: &Engine) -> Value {
    let model = engine.model();
    let rows: Vec<Value> = (model.editions.iter())
        .filter(|(_, plan)| !plan.released)
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

/// The plan from now on.
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

/// Why an edition waits.
pub fn explain(
    engine: &Engine,
    edition: Edition,
    building: Option<&str>,
    customer: Option<&str>,
) -> Result<Value, String> {
    let model = engine.model();
    let find = |list: &[String], what: &str, name: &str| {
        list.iter().position(|other| other == name).ok_or_else(|| format!("there is no {what} {name}"))
    };
    let only = building.map(|name| find(&model.buildings, "building", name)).transpose()?;
    let customer = customer.map(|name| find(&model.customers, "customer", name)).transpose()?;
    let table = engine.release_table();
    let places = (0..model.buildings.len()).filter(|at| only.is_none_or(|only| only == *at));
    let rows: Vec<Value> = places
        .map(|building| {
            let progress = engine.state().progress(edition, building);
            let entry = customer.map(|customer| (edition, building, customer));
            let carries =
                entry.map(|entry| table.released.contains(&entry) || table.in_rollout.contains(&entry));
            json!({
                "building": model.buildings[building],
                "phase": format!("{:?}", progress.phase).to_lowercase(),
                "tranches_out": progress.tranches_done,
                "waits": engine.wait_reasons(edition, building),
                "carries_the_customer": carries,
            })
        })
        .collect();
    Ok(json!({ "edition": model.edition_name(edition), "buildings": rows }))
}
