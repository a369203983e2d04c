//! Releases of three services in three buildings, under one gate: freezes, bad editions and kills of the gate drawn from a
//! seed. The judge reads only what the stand-in servers saw, and when tables were told.

use crate::client::{Client, Counts};
use crate::config;
use crate::world::locked;
use indicatif::{ProgressBar, ProgressStyle};
use milletwing_admin as admin;
use milletwing_decision::interface::{Build, Event, Ms, PermitTable, TenantId, ZoneId};
use milletwing_marshal::ports::{DecisionInput, RolloutObserver};
use milletwing_marshal::server::{Extensions, ReleaseGate};
use milletwing_marshal::{Limits, Server};
use milletwing_releases_server::settings::{FreezeSettings, Settings};
use milletwing_releases_server::{AdminRequest, Host};
use milletwing_toy::discovery::{Discovery, Host as Listed};
use milletwing_toy::node::{Node, Reply};
use milletwing_toy::platform::Platform;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::{BTreeMap, BTreeSet, HashMap, HashSet};
use std::io::{BufRead, BufReader, Read};
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const SERVICES: [&str; 3] = ["pedidos", "prensa", "sellos"];
const BUILDINGS: [&str; 3] = ["nave-1", "nave-2", "nave-3"];
const CUSTOMERS: [&str; 3] = ["cafetera", "dulces", "licores"];
/// Editions of each service: 1 is out, 2 to 4 are to go out one after another.
const LAST: u32 = 4;
/// How long after a table was told something begun before may still arrive at a node.
const GRACE: Duration = Duration::from_millis(500);

/// What a run is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// The seed.
    pub seed: u64,
    /// Its length.
    pub seconds: u64,
    /// Without a progress line.
    pub quiet: bool,
    /// The program that runs the gate and the marshals.
    pub program: PathBuf,
}

/// An attempt as its node saw it: service, build, building, customer, when.
type Attempt = (usize, u32, usize, usize, Instant);
/// An entry of a table.
type Entry = (Build, ZoneId, TenantId);
/// A table as it was told to a service's marshal.
type ToldTable = (Instant, usize, Arc<PermitTable>);

#[derive(Default)]
struct Seen {
    attempts: Vec<Attempt>,
    runs: HashMap<String, u32>,
    tables: Vec<ToldTable>,
}

/// What the rules say.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Broken {
    /// Attempts at editions that no table in force permitted.
    pub forbidden_served: u64,
    /// Attempts at editions in a building where what they need was not permitted.
    pub dependency_broken: u64,
    /// Windows with more editions on their way in a building than its budget.
    pub cap_broken: u64,
    /// Requests that must not run twice and did.
    pub effects_twice: u64,
}

/// What is done with a table as it is told to a service's marshal.
type Heard = Arc<dyn Fn(usize, &Arc<PermitTable>) + Send + Sync>;

/// The gate by way of an ear of the trial's own: what is told is noted before it is.
struct Ear {
    host: Host,
    service: usize,
    heard: Heard,
}

impl ReleaseGate for Ear {
    fn settings(&self, decisions: &mut milletwing_decision::interface::Settings) {
        decisions.require_permits = true;
    }
    fn join(
        self: Box<Self>,
        zones: &[String],
        tenants: &[String],
        notes: crossbeam_channel::Sender<DecisionInput>,
    ) -> std::io::Result<Box<dyn RolloutObserver>> {
        let (ear, told) = crossbeam_channel::bounded(1024);
        let (heard, service) = (self.heard.clone(), self.service);
        std::thread::spawn(move || {
            while let Ok(note) = told.recv() {
                if let DecisionInput::Event(Event::PermitTable(table)) = &note {
                    heard(service, table);
                }
                if notes.send(note).is_err() {
                    return;
                }
            }
        });
        let watcher = self.host.attach(service, zones, tenants, ear).map_err(std::io::Error::other)?;
        Ok(Box::new(watcher))
    }
}

fn file(admin: SocketAddr, seed: u64) -> String {
    let needs =
        |service: &str, from: u32, reach: &str| json!([{ "service": service, "from": from, "where": reach }]);
    let mut dice = Pcg64Mcg::seed_from_u64(seed);
    let editions = |of: usize, dice: &mut Pcg64Mcg| {
        let mut all = serde_json::Map::new();
        all.insert("1".into(), json!({ "released": true }));
        for build in 2..=LAST {
            // Each service's editions need the ones of the service before it: three levels.
            let reach = if dice.random_bool(0.3) { "everywhere" } else { "building" };
            let wants = if of == 0 { json!([]) } else { needs(SERVICES[of - 1], build, reach) };
            all.insert(build.to_string(), json!({ "needs": wants }));
        }
        Value::Object(all)
    };
    let services: serde_json::Map<String, Value> = SERVICES
        .iter()
        .enumerate()
        .map(|(of, name)| ((*name).to_string(), editions(of, &mut dice)))
        .collect();
    json!({
        "service": SERVICES[0], "journal": "releases.redb", "admin": admin.to_string(), "time_zone": "UTC",
        "tranche_minutes": 1.0 / 60.0, "buildings": BUILDINGS,
        "customers": { CUSTOMERS[0]: [], CUSTOMERS[1]: [], CUSTOMERS[2]: ["nave-1", "nave-2"] },
        "tranches": [[CUSTOMERS[0]], [CUSTOMERS[1], CUSTOMERS[2]]],
        "budgets": { "overall": 6, "building": 3 }, "services": services, "table_life_ms": 1500, "grace_s": 1,
    })
    .to_string()
}

struct Site {
    server: Option<Server>,
    listen: SocketAddr,
    around: (Platform, Discovery),
}

/// A service: in each building a node of each edition, all listed from the start; only the table holds them apart.
fn site(
    service: usize,
    seen: &Arc<Mutex<Seen>>,
    bad: &Arc<Mutex<BTreeSet<(usize, u32)>>>,
) -> Result<Site, String> {
    let failed = |problem: std::io::Error| problem.to_string();
    let mut hosts = Vec::new();
    for (building, place) in BUILDINGS.iter().enumerate() {
        for build in 1..=LAST {
            let (seen, bad) = (seen.clone(), bad.clone());
            let node = Node::start("127.0.0.1:0", move |message| {
                let customer =
                    CUSTOMERS.iter().position(|name| message.get("X-Org") == Some(name)).unwrap_or(9);
                {
                    let mut seen = locked(&seen);
                    seen.attempts.push((service, build, building, customer, Instant::now()));
                    if message.get("X-Lane") == Some("pay") {
                        *seen
                            .runs
                            .entry(message.get("X-Txn").unwrap_or_default().to_string())
                            .or_default() += 1;
                    }
                }
                let fails = locked(&bad).contains(&(service, build))
                    && message.get("X-Txn").is_some_and(|id| id.ends_with('3'));
                let reply =
                    if fails { Reply::Answer(500, Vec::new()) } else { Reply::Answer(200, b"ok".to_vec()) };
                Reply::After(Duration::from_millis(3), Box::new(reply))
            })
            .map_err(failed)?;
            let host = Listed::new(&format!("{place}-{build}"), node.addr, build);
            hosts.push(Listed { zone: (*place).into(), ..host });
        }
    }
    let discovery = Discovery::start("127.0.0.1:0", &hosts).map_err(failed)?;
    // The platform has released the last edition; how far each goes out is the gate's.
    let state = format!("{LAST} 2 live 1 60000");
    let answer = state.clone();
    let platform =
        Platform::start("127.0.0.1:0", &state, move |_| Some(format!("OK {answer}"))).map_err(failed)?;
    let listen = milletwing_toy::free().map_err(failed)?;
    Ok(Site { server: None, listen, around: (platform, discovery) })
}

impl Site {
    /// Ends its marshal, what is held first.
    fn stop(&mut self) {
        if let Some(server) = self.server.take() {
            server.stop();
        }
    }

    /// Its marshal's configuration, at the address that it always has.
    fn config(&self, service: usize) -> Result<String, String> {
        let (platform, discovery) = &self.around;
        config::marshal(SERVICES[service], discovery.addr, platform.addr, |value| {
            value["listen"] = json!(self.listen.to_string());
            value["platform"]["news"] =
                json!({"image": LAST, "ring": 2, "progress": "live", "ceiling": 1.0, "lag_ms": 60000});
            value["settings"]["zones"] = json!(BUILDINGS);
            value["settings"]["locality"] = json!(BUILDINGS[0]);
            let projects: Vec<Value> = CUSTOMERS
                .iter()
                .map(|name| json!({ "name": name, "share": 0.33, "quota-per-s": 1000 }))
                .collect();
            value["settings"]["projects"] = json!(projects);
        })
    }

    /// Starts its marshal.
    fn serve(&mut self, service: usize, gate: Box<dyn ReleaseGate>) -> Result<(), String> {
        self.server = Some(serve(&self.config(service)?, gate)?);
        Ok(())
    }
}

fn serve(text: &str, gate: Box<dyn ReleaseGate>) -> Result<Server, String> {
    let config = config::read(text)?;
    let limits = Limits::new(config.grant, &config.transport);
    let server = Server::start_with_extensions(
        config,
        limits,
        Extensions { gate: Some(gate), ..Extensions::default() },
    );
    server.map_err(|problem| problem.to_string())
}

/// A table in words, for a pipe.
#[derive(serde::Serialize, serde::Deserialize)]
struct Line {
    service: usize,
    number: u64,
    life_ms: f64,
    released: Vec<(u32, u32, u64)>,
    moving: Vec<(u32, u32, u64)>,
}

/// The program that `run` starts and kills: the gate and the marshals of all services. Each table is written to standard
/// output before it is told.
pub fn gated(releases: &str, configs: &[String]) -> Result<bool, String> {
    let host = Host::start(Settings::from_file(releases)?)?;
    let heard: Heard = Arc::new(|service, table: &Arc<PermitTable>| {
        let words = |list: &HashSet<Entry>| list.iter().map(|(b, z, t)| (b.0, z.0, t.0 as u64)).collect();
        let (released, moving) = (words(&table.released), words(&table.in_rollout));
        let line = Line { service, number: table.version, life_ms: table.ttl.0, released, moving };
        let text = serde_json::to_string(&line).unwrap_or_default();
        println!("{text}");
    });
    let mut servers = Vec::new();
    for (service, path) in configs.iter().enumerate() {
        let text = std::fs::read_to_string(path).map_err(|problem| format!("{path}: {problem}"))?;
        let ear = Ear { host: host.clone(), service, heard: heard.clone() };
        servers.push(serve(&text, Box::new(ear))?);
    }
    // Until it is killed, or whoever started it has gone.
    let _ = std::io::stdin().read(&mut [0]);
    Ok(servers.into_iter().all(Server::stop))
}

/// That program as it runs; ended with the trial.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

/// Starts it, and waits until all its marshals listen.
fn spawn(
    program: &Path,
    releases: &Path,
    configs: &[PathBuf],
    listens: &[SocketAddr],
    seen: &Arc<Mutex<Seen>>,
) -> Result<Running, String> {
    let mut command = Command::new(program);
    command.arg("gated").arg("--releases").arg(releases).args(configs);
    let log = std::fs::OpenOptions::new().create(true).append(true).open(releases.with_extension("log"));
    command.stdin(Stdio::piped()).stdout(Stdio::piped()).stderr(log.map_err(|problem| problem.to_string())?);
    let mut running = Running(command.spawn().map_err(|problem| problem.to_string())?);
    let (out, seen) = (running.0.stdout.take(), seen.clone());
    std::thread::spawn(move || {
        for line in out.into_iter().flat_map(|out| BufReader::new(out).lines()).map_while(Result::ok) {
            let Ok(line) = serde_json::from_str::<Line>(&line) else { continue }; // cut short by a kill
            let words = |list: Vec<(u32, u32, u64)>| -> HashSet<Entry> {
                list.into_iter().map(|(b, z, t)| (Build(b), ZoneId(z), TenantId(t as usize))).collect()
            };
            let (released, moving) = (words(line.released), words(line.moving));
            let table =
                PermitTable { version: line.number, ttl: Ms(line.life_ms), released, in_rollout: moving };
            locked(&seen).tables.push((Instant::now(), line.service, Arc::new(table)));
        }
    });
    let until = Instant::now() + Duration::from_secs(10);
    for listen in listens {
        while TcpStream::connect_timeout(listen, Duration::from_millis(200)).is_err() {
            if Instant::now() >= until || running.0.try_wait().is_ok_and(|ended| ended.is_some()) {
                let log = std::fs::read_to_string(releases.with_extension("log")).unwrap_or_default();
                return Err(format!("the gate did not start: {}", log.lines().last().unwrap_or("")));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
    }
    Ok(running)
}

/// Reads what was seen.
fn judge(seen: &Seen, needs: &BTreeMap<(usize, u32), (usize, u32, bool)>, budget: usize) -> Broken {
    let mut broken = Broken::default();
    let zone = |building: usize| ZoneId(building as u32);
    // Tables that were in force for a service at a time, or within the grace before it.
    let of = |service: usize, at: Instant| {
        let told: Vec<&ToldTable> = seen.tables.iter().filter(|(_, of, _)| *of == service).collect();
        let last = told.iter().rposition(|(told, ..)| *told <= at).unwrap_or(0);
        let from = told.iter().rposition(|(told, ..)| *told + GRACE <= at).unwrap_or(0);
        told[from..=last].iter().map(|(at, _, table)| (*at, table.clone())).collect::<Vec<_>>()
    };
    let permits = |service: usize, edition: u32, building: usize, customer: Option<usize>, at: Instant| {
        of(service, at).iter().any(|(told, table)| {
            let lives = at <= *told + Duration::from_secs_f64(table.ttl.0 / 1000.0) + GRACE;
            (0..CUSTOMERS.len()).filter(|c| customer.is_none_or(|only| only == *c)).any(|customer| {
                let entry = (Build(edition), zone(building), TenantId(customer));
                table.released.contains(&entry) || (lives && table.in_rollout.contains(&entry))
            })
        })
    };
    for (service, edition, building, customer, at) in &seen.attempts {
        if !permits(*service, *edition, *building, Some(*customer), *at) {
            broken.forbidden_served += 1;
        }
        if let Some((other, least, everywhere)) = needs.get(&(*service, *edition)) {
            let places = if *everywhere { 0..BUILDINGS.len() } else { *building..*building + 1 };
            let met = |place: usize| (*least..=LAST).any(|build| permits(*other, build, place, None, *at));
            broken.dependency_broken += u64::from(!places.into_iter().all(met));
        }
    }
    // In each table, editions on their way in a building.
    let mut moving: BTreeMap<(u64, usize), BTreeSet<(usize, u32)>> = BTreeMap::new();
    for (_, service, table) in &seen.tables {
        for (build, zone, _) in &table.in_rollout {
            moving.entry((table.version, zone.0 as usize)).or_default().insert((*service, build.0));
        }
    }
    broken.cap_broken = moving.values().filter(|moving| moving.len() > budget).count() as u64;
    broken.effects_twice = seen.runs.values().filter(|runs| **runs > 1).count() as u64;
    broken
}

/// Runs a trial. An error where something could not start.
pub fn run(options: &Options) -> Result<Value, String> {
    let folder = tempfile::tempdir().map_err(|problem| problem.to_string())?;
    let admin_at = milletwing_toy::free().map_err(|problem| problem.to_string())?;
    let path = folder.path().join("releases.json5");
    let text = file(admin_at, options.seed);
    std::fs::write(&path, &text).map_err(|problem| problem.to_string())?;
    let (seen, bad) = (Arc::new(Mutex::new(Seen::default())), Arc::new(Mutex::new(BTreeSet::new())));
    let mut sites = Vec::new();
    let mut configs = Vec::new();
    for service in 0..SERVICES.len() {
        let site = site(service, &seen, &bad)?;
        let file = folder.path().join(format!("marshal-{service}.json"));
        std::fs::write(&file, site.config(service)?).map_err(|problem| problem.to_string())?;
        configs.push(file);
        sites.push(site);
    }
    let listens: Vec<SocketAddr> = sites.iter().map(|site| site.listen).collect();
    let mut running = Some(spawn(&options.program, &path, &configs, &listens, &seen)?);
    // Odd while it is killed.
    let epoch = Arc::new(AtomicU64::new(0));
    let lost = Arc::new(AtomicU64::new(0));
    let counts = Arc::new(Mutex::new(Counts::default()));
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (service, site) in sites.iter().enumerate() {
        for (customer, name) in CUSTOMERS.iter().enumerate() {
            let (listen, counts, over) = (site.listen, counts.clone(), over.clone());
            let (epoch, lost) = (epoch.clone(), lost.clone());
            clients.push(std::thread::spawn(move || {
                let mut client = Client::of(listen, name);
                for round in 0u64.. {
                    if over.load(SeqCst) {
                        return;
                    }
                    let before = epoch.load(SeqCst);
                    if before % 2 == 1 {
                        client = Client::of(listen, name);
                        std::thread::sleep(Duration::from_millis(10));
                        continue;
                    }
                    let status = client.ask(round as usize % 3, &format!("r{service}-{customer}-{round}"));
                    locked(&counts).add(status);
                    // What was held as it was killed is no longer its duty.
                    if status.is_none() && epoch.load(SeqCst) == before {
                        lost.fetch_add(1, SeqCst);
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            }));
        }
    }
    let bar = if options.quiet { ProgressBar::hidden() } else { ProgressBar::new(options.seconds) };
    let style =
        ProgressStyle::with_template("{elapsed_precise} {bar:30} {msg}").map_err(|p| p.to_string())?;
    bar.set_style(style);
    let mut dice = Pcg64Mcg::seed_from_u64(options.seed);
    let began = Instant::now();
    let end = began + Duration::from_secs(options.seconds);
    let (mut freezes, mut withdrawals, mut kills) = (0u64, 0u64, 0u64);
    let mut plan_ms: Vec<f64> = Vec::new();
    let mut next = began + Duration::from_millis(1500);
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(20));
        bar.set_position(began.elapsed().as_secs());
        if Instant::now() < next {
            continue;
        }
        next = Instant::now() + Duration::from_millis(dice.random_range(400..1500));
        let service = dice.random_range(0..SERVICES.len());
        let build = dice.random_range(2..=LAST);
        let say = |verdict: &str| {
            let call = AdminRequest::SetVerdict {
                service: SERVICES[service].into(),
                build,
                verdict: verdict.into(),
            };
            admin::call(admin_at, &call).is_ok()
        };
        match dice.random_range(0..10) {
            0..=3 => {
                for (service, build) in (0..SERVICES.len()).flat_map(|s| (2..=LAST).map(move |b| (s, b))) {
                    if dice.random_bool(0.6) {
                        let call = AdminRequest::SetVerdict {
                            service: SERVICES[service].into(),
                            build,
                            verdict: "on".into(),
                        };
                        let _ = admin::call(admin_at, &call); // one that was sent back stays so
                    }
                }
            }
            // Early editions rather than the last, so that something is left to go out.
            4 if dice.random_bool(0.5) => {
                locked(&bad).insert((service, build));
                withdrawals += u64::from(say("back"));
            }
            5 | 6 => {
                let now =
                    std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
                let clock = |seconds: i64| {
                    let stamp =
                        jiff::Timestamp::from_second(now.as_secs() as i64 + seconds).unwrap_or_default();
                    stamp.to_zoned(jiff::tz::TimeZone::UTC).strftime("%FT%T").to_string()
                };
                freezes += 1;
                let text = FreezeSettings {
                    name: format!("drawn-{freezes}"),
                    services: vec![SERVICES[service].into()],
                    buildings: if dice.random_bool(0.5) {
                        vec![BUILDINGS[dice.random_range(0..3)].into()]
                    } else {
                        Vec::new()
                    },
                    customers: Vec::new(),
                    from: clock(dice.random_range(0..2)),
                    to: clock(dice.random_range(3..6)),
                    mode: ["hold", "settle", "finish"][dice.random_range(0..3)].into(),
                };
                admin::call(admin_at, &AdminRequest::Freeze(text))?;
            }
            7 => {
                // The gate and its marshals are killed, and go on from the journal.
                kills += 1;
                epoch.fetch_add(1, SeqCst);
                drop(running.take());
                std::thread::sleep(Duration::from_millis(dice.random_range(50..1500)));
                running = Some(spawn(&options.program, &path, &configs, &listens, &seen)?);
                epoch.fetch_add(1, SeqCst);
            }
            _ => {
                let from = Instant::now();
                if admin::call(admin_at, &AdminRequest::Plan).is_ok() {
                    plan_ms.push(from.elapsed().as_secs_f64() * 1000.0);
                }
            }
        }
    }
    bar.finish_and_clear();
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    drop(running);
    let model = Settings::from_file(&path.display().to_string())?.model;
    let needs: BTreeMap<(usize, u32), (usize, u32, bool)> = (model.editions.iter())
        .filter_map(|(edition, plan)| {
            let need = plan.dependencies.first()?;
            let place = |service: usize| SERVICES.iter().position(|name| *name == model.services[service]);
            let everywhere = need.scope == milletwing_releases::model::DependencyScope::Everywhere;
            Some((
                (place(edition.service)?, edition.build),
                (place(need.service)?, need.min_build, everywhere),
            ))
        })
        .collect();
    let seen = locked(&seen);
    let broken = judge(&seen, &needs, 3);
    let counts = *locked(&counts);
    let lost = lost.load(SeqCst);
    let held = broken == Broken::default() && lost == 0;
    plan_ms.sort_by(f64::total_cmp);
    let steps: BTreeSet<(usize, u32, u32, usize)> = (seen.tables.iter())
        .flat_map(|(_, service, table)| {
            table.released.iter().map(|(b, z, t)| (*service, b.0, z.0, t.0)).collect::<Vec<_>>()
        })
        .filter(|(_, build, ..)| *build > 1)
        .collect();
    Ok(json!({
        "seed": options.seed, "seconds": options.seconds, "steps": steps.len(), "tables": seen.tables.len(),
        "freezes": freezes, "withdrawals": withdrawals, "kills": kills, "requests": counts,
        "attempts": seen.attempts.len(), "refused": counts.refused,
        "forbidden_served": broken.forbidden_served, "dependency_broken": broken.dependency_broken,
        "cap_broken": broken.cap_broken, "lost_requests": lost, "effects_twice": broken.effects_twice,
        "plan_ms": plan_ms.get(plan_ms.len() / 2), "held": held,
    }))
}

/// Service while three levels go back: by the gate's withdrawal, or by stopping and starting everything with a file that
/// knows the editions no more. Five seconds from the moment it is decided.
pub fn withdrawal(plain: bool) -> Result<Value, String> {
    let folder = tempfile::tempdir().map_err(|problem| problem.to_string())?;
    let admin_at = milletwing_toy::free().map_err(|problem| problem.to_string())?;
    let path = folder.path().join("releases.json5");
    std::fs::write(&path, file(admin_at, 1)).map_err(|problem| problem.to_string())?;
    let settings = || Settings::from_file(&path.display().to_string());
    let mut host = Host::start(settings()?)?;
    let (seen, bad) = (Arc::<Mutex<Seen>>::default(), Arc::default());
    let heard: Heard = Arc::new(|_, _| {});
    let ear = |host: &Host, service| Box::new(Ear { host: host.clone(), service, heard: heard.clone() });
    let mut sites = Vec::new();
    for service in 0..SERVICES.len() {
        let mut site = site(service, &seen, &bad)?;
        site.serve(service, ear(&host, service))?;
        sites.push(site);
    }
    // Edition 2 of all goes out.
    let until = Instant::now() + Duration::from_secs(60);
    let out = loop {
        for service in SERVICES {
            let call = AdminRequest::SetVerdict { service: service.into(), build: 2, verdict: "on".into() };
            admin::call(admin_at, &call)?;
        }
        let status = admin::call(admin_at, &AdminRequest::Status)?;
        let rows = status["editions"].as_array().cloned().unwrap_or_default();
        let of = |row: &&Value| row["edition"].as_str().is_some_and(|name| name.ends_with(" 2"));
        if rows.iter().filter(of).all(|row| row["phase"] == "released") {
            break true;
        }
        if Instant::now() >= until {
            break false;
        }
        std::thread::sleep(Duration::from_millis(100));
    };
    if !out {
        return Err("edition 2 was not out within a minute".into());
    }
    let counts = Arc::new(Mutex::new(Counts::default()));
    let longest = Arc::new(Mutex::new(Duration::ZERO));
    let over = Arc::new(AtomicBool::new(false));
    let mut clients = Vec::new();
    for (service, site) in sites.iter().enumerate() {
        for name in CUSTOMERS {
            let (listen, counts, over, longest) =
                (site.listen, counts.clone(), over.clone(), longest.clone());
            clients.push(std::thread::spawn(move || {
                let mut client = Client::of(listen, name);
                let mut last = Instant::now();
                for round in 0u64.. {
                    if over.load(SeqCst) {
                        return;
                    }
                    let status = client.ask(round as usize % 3, &format!("w{service}-{name}-{round}"));
                    locked(&counts).add(status);
                    if status == Some(200) {
                        let mut most = locked(&longest);
                        *most = (*most).max(last.elapsed());
                        last = Instant::now();
                    }
                    std::thread::sleep(Duration::from_millis(10));
                }
            }));
        }
    }
    std::thread::sleep(Duration::from_millis(500));
    (*locked(&counts), *locked(&longest)) = (Counts::default(), Duration::ZERO);
    let began = Instant::now();
    if plain {
        sites.iter_mut().for_each(Site::stop);
        host.stop();
        let mut text: Value =
            serde_json::from_str(&file(admin_at, 1)).map_err(|problem| problem.to_string())?;
        for service in SERVICES {
            text["services"][service] = json!({ "1": { "released": true } });
        }
        text["journal"] = json!("anew.redb");
        std::fs::write(&path, text.to_string()).map_err(|problem| problem.to_string())?;
        let admin = milletwing_toy::free().map_err(|problem| problem.to_string())?;
        host = Host::start(Settings { admin, ..settings()? })?;
        for (service, site) in sites.iter_mut().enumerate() {
            site.serve(service, ear(&host, service))?;
        }
    } else {
        admin::call(
            admin_at,
            &AdminRequest::SetVerdict { service: SERVICES[0].into(), build: 2, verdict: "back".into() },
        )?;
    }
    let decided = began.elapsed();
    std::thread::sleep(Duration::from_secs(5).saturating_sub(decided));
    over.store(true, SeqCst);
    clients.into_iter().for_each(|client| drop(client.join()));
    let counts = *locked(&counts);
    let last =
        locked(&seen).attempts.iter().filter(|(_, build, ..)| *build == 2).map(|attempt| attempt.4).max();
    let after = last.map_or(0.0, |at| at.saturating_duration_since(began).as_secs_f64());
    sites.iter_mut().for_each(Site::stop);
    Ok(json!({
        "plain": plain, "requests": counts, "longest_without_an_answer_s": locked(&longest).as_secs_f64(),
        "last_attempt_at_the_edition_s": after,
    }))
}
