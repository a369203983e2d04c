//! The gate on a disk: the operator's file, the journal, and what marshals are told.

use crossbeam_channel::{bounded, unbounded, Receiver, Sender};
use milletwing_decision::interface::{Build, Event, PermitTable, TenantId, ZoneId};
use milletwing_marshal::ports::{DecisionInput, RolloutObserver};
use milletwing_releases::engine::{Change, ClockReading, Engine, State, Verdict};
use milletwing_releases::model::Edition;
use milletwing_releases_server::journal::Journal;
use milletwing_releases_server::{chart, host, AdminRequest, Host, Settings, SharedRecord};
use milletwing_toy::Folder;
use std::path::Path;
use std::sync::{Arc, Mutex};
use std::time::Duration;

const SHIPPED: &str = include_str!("../../../deploy/releases.json5");

#[test]
fn the_operators_file_is_checked_and_errors_name_field_and_line() {
    let whole = Settings::parse(SHIPPED).unwrap();
    assert!(
        whole.summary().contains("gates service pedidos by 2 services, 4 editions (2 to go out)"),
        "{}",
        whole.summary()
    );
    for (from, to, told) in [
        (
            "service: \"pedidos\",\n  // Written",
            "service: \"pedido\",\n  // Written",
            "line 5: service: there is no service `pedido`",
        ),
        ("America/Guatemala", "America/Nowhere", "line 10: time_zone"),
        ("127.0.0.1:4401", "10.0.0.1:4401", "line 9: admin"),
        ("tranche_minutes: 30", "tranche_minutes: 0", "line 11: tranche_minutes"),
        (
            "\"licores-lago\": [\"nave-1\"]",
            "\"licores-lago\": [\"nave-9\"]",
            "customers: there is no building `nave-9`",
        ),
        ("[[\"dulces-antigua\"]", "[[\"dulces\"]", "tranches: there is no customer `dulces`"),
        ("[[\"dulces-antigua\"], ", "[", "customer dulces-antigua stands in 0 tranches"),
        (
            "service: \"prensa\", from: 7",
            "service: \"prensas\", from: 7",
            "needs: there is no service `prensas`",
        ),
        ("from: 7,", "from: 9,", "no edition is in that range"),
        ("from: 7,", "from: 7, to: 6,", "empty range"),
        ("overall: 4", "overall: 0", "budgets: with a budget of nothing"),
        ("services: [\"pedidos\"]", "services: [\"nada\"]", "freezes: cosecha: there is no service `nada`"),
        (
            "from: \"11-15 00:00\", to: \"01-07 06:00\"",
            "from: \"2026-12-02\", to: \"2026-12-01\"",
            "before it begins",
        ),
        ("from: \"11-15 00:00\"", "from: \"2026-11-15\"", "no two times of one kind"),
        ("mode: \"hold\"", "mode: \"stop\"", "`stop` is no mode"),
        ("reason: \"new labels by law\"", "reason: \" \"", "exemptions: etiquetas: a reason is wanted"),
        ("freeze: \"cosecha\"", "freeze: \"cosechas\"", "there is no freeze cosechas"),
        ("build: 2, until", "build: 3, until", "there is no edition pedidos 3"),
        ("grace_s: 1", "grace: 1", "unknown field"),
    ] {
        assert!(SHIPPED.contains(from), "{from}");
        let why = Settings::parse(&SHIPPED.replacen(from, to, 1)).expect_err(to);
        assert!(why.contains(told) && why.contains("line"), "{to}: {why}");
    }
    let plan =
        host::plan(&Engine::new(whole.model.clone(), State::default(), 1000, 1), 1_796_000_000).unwrap();
    assert_eq!(plan["steps"].as_array().unwrap().len(), 8);
    let schedule =
        milletwing_releases::planner::Planner::new(&whole.model, &State::default(), 0).unwrap().schedule();
    let svg = chart::render_svg(&whole.model, &schedule, 0).unwrap();
    assert!(svg.starts_with("<svg") && svg.contains("prensa 7") && svg.contains("nave-2"));
}

fn names() -> Vec<String> {
    ["s", "b"].map(String::from).into()
}

#[test]
fn a_journal_gives_back_what_was_written_and_tells_what_is_not_its_own() {
    let folder = Folder::new("journal").unwrap();
    let path = folder.0.join("a.redb");
    let (mut journal, mut state, _) = Journal::open(&path, &names()).unwrap();
    assert_eq!(state, State::default());
    // More than are kept one by one: they are folded into the state they make.
    for number in 1..=50 {
        let changes: Vec<Change> = (number * 100..number * 100 + 100).map(Change::Table).collect();
        changes.iter().for_each(|change| state.apply(change));
        journal.append(&changes, &state).unwrap();
    }
    let edition = Edition { service: 0, build: 2 };
    let change = Change::Verdict(edition, Verdict::Revert);
    state.apply(&change);
    journal.append(&[change], &state).unwrap();
    assert!(Journal::open(&path, &names()).err().unwrap().contains("already open"));
    drop(journal);
    let (journal, again, _) = Journal::open(&path, &names()).unwrap();
    assert_eq!(again, state);
    drop(journal);
    let other = Journal::open(&path, &["s".into(), "c".into()]).err().unwrap();
    assert!(other.contains("it knows `b`"), "{other}");
    // A byte turned, an end cut off.
    let bytes = std::fs::read(&path).unwrap();
    let read = |bytes: &[u8]| {
        std::fs::write(&path, bytes).unwrap();
        Journal::open(&path, &names()).map(|(_, state, _)| state)
    };
    let mut told = 0;
    for at in (0..bytes.len()).step_by(bytes.len() / 40) {
        let mut turned = bytes.clone();
        turned[at] ^= 0x55;
        match read(&turned) {
            Ok(read) => assert_eq!(read, state),
            Err(why) => told += usize::from(why.starts_with("journal ")),
        }
    }
    assert!(told > 0 && read(&bytes[..bytes.len() / 2]).is_err());
}

fn settings(folder: &Path, minutes: &str) -> Settings {
    let text = SHIPPED
        .replace("127.0.0.1:4401", &milletwing_toy::free().unwrap().to_string())
        .replace("tranche_minutes: 30", &format!("tranche_minutes: {minutes}"))
        .replace("from: \"11-15 00:00\", to: \"01-07 06:00\"", "from: \"2020-01-01\", to: \"2020-01-02\"")
        .replace("until: \"2026-12-24 12:00\"", "until: \"2020-01-01\"");
    let file = folder.join("releases.json5");
    std::fs::write(&file, text).unwrap();
    Settings::from_file(&file.display().to_string()).unwrap()
}

fn attach(host: &Host, service: usize) -> (Receiver<DecisionInput>, impl RolloutObserver) {
    let (notes, told) = bounded(1000);
    let zones = ["nave-2", "nave-1"].map(String::from);
    let tenants = ["dulces-antigua", "licores-lago", "cafetera-sur"].map(String::from);
    let watcher = host.attach(service, &zones, &tenants, notes).unwrap();
    (told, watcher)
}

fn table(told: &Receiver<DecisionInput>) -> Arc<PermitTable> {
    match told.recv_timeout(Duration::from_secs(20)).expect("a table") {
        DecisionInput::Event(Event::PermitTable(table)) => table,
        _ => panic!("something else"),
    }
}

/// What a marshal is told: by its own numbers, written first, and after a restart never an older number.
#[test]
fn marshals_are_told_tables_by_their_own_names_and_a_restart_goes_on() {
    let folder = Folder::new("gate").unwrap();
    let host = Host::start(settings(&folder.0, "0.02")).unwrap();
    let (prensa, watch) = attach(&host, 1);
    let first = std::iter::repeat_with(|| table(&prensa)).find(|table| !table.in_rollout.is_empty()).unwrap();
    // nave-1 is the marshal's zone 1; the first tranche is dulces-antigua, its tenant 0.
    assert!(first.in_rollout.contains(&(Build(7), ZoneId(1), TenantId(0))), "{first:?}");
    assert_eq!(first.in_rollout.len(), 1);
    assert!(first.released.contains(&(Build(6), ZoneId(0), PermitTable::NO_TENANT)));
    assert!(
        !first.released.iter().any(|(_, zone, tenant)| (*zone, *tenant) == (ZoneId(0), TenantId(1))),
        "not at home"
    );
    let strangers = host.attach(0, &["nave-1".into()], &[], bounded(1).0);
    assert!(strangers.err().unwrap().contains("no zone `nave-2`"));
    watch.stage_reported(&milletwing_marshal::wire::stage_report(
        [7.0, 2.0, 1.0, 0.0],
        milletwing_decision::interface::Phase::Released,
        false,
    ));
    let (pedidos, _) = attach(&host, 0);
    loop {
        let table = table(&pedidos);
        if table.in_rollout.contains(&(Build(2), ZoneId(1), TenantId(0))) {
            break;
        }
        assert!(!table.released.contains(&(Build(2), ZoneId(1), TenantId(0))));
    }
    let last = prensa.try_iter().last();
    let Some(DecisionInput::Event(Event::PermitTable(last))) = last else { panic!("tables are renewed") };
    assert!(last.released.contains(&(Build(7), ZoneId(1), TenantId(1))));
    host.stop();
    let mut again = settings(&folder.0, "0.02");
    let host = loop {
        match Host::start(again.clone()) {
            Ok(host) => break host,
            Err(why) => assert!(why.contains("already open"), "{why}"),
        }
        again.admin = milletwing_toy::free().unwrap();
        std::thread::sleep(Duration::from_millis(5));
    };
    let (told, _) = attach(&host, 1);
    let table = table(&told);
    assert!(
        table.version >= last.version && table.released.is_superset(&last.released),
        "{table:?} {last:?}"
    );
    // Operators add what lasts, and hear why not.
    let call = |call: &AdminRequest| milletwing_admin::call(again.admin, call);
    let freeze = |name: &str, to: &str| {
        AdminRequest::Freeze(milletwing_releases_server::settings::FreezeSettings {
            name: name.into(),
            services: vec!["pedidos".into()],
            buildings: Vec::new(),
            customers: Vec::new(),
            from: "2020-01-01".into(),
            to: to.into(),
            mode: "hold".into(),
        })
    };
    assert!(call(&freeze("now", "2099-01-01")).is_ok());
    assert!(call(&freeze("now", "2099-01-01")).unwrap_err().contains("already"));
    assert!(call(&freeze("bad", "2019-01-01")).unwrap_err().contains("before it begins"));
    let explain = |building: Option<&str>| AdminRequest::Explain {
        service: "pedidos".into(),
        build: 2,
        building: building.map(String::from),
        customer: Some("licores-lago".into()),
    };
    assert!(call(&explain(None)).unwrap().to_string().contains("\"name\":\"now\""));
    assert!(call(&explain(Some("nave-9"))).unwrap_err().contains("no building nave-9"));
    let say = |build, verdict: &str| AdminRequest::SetVerdict {
        service: "prensa".into(),
        build,
        verdict: verdict.into(),
    };
    assert!(call(&say(7, "maybe")).unwrap_err().contains("neither on nor back"));
    assert!(call(&say(8, "back")).unwrap_err().contains("no edition prensa 8"));
    assert!(call(&say(7, "back")).is_ok());
    let gone =
        || call(&AdminRequest::Status).unwrap()["editions"].to_string().matches("withdrawn").count() == 4;
    for _ in 0..2000 {
        if gone() {
            break;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    assert!(gone(), "{}", call(&AdminRequest::Status).unwrap());
    host.stop();
}

type Told = Sender<(u64, Vec<u8>)>;

/// A record that instances share, with a leader and a link to each of them that can be cut.
#[derive(Default)]
struct Register {
    value: (u64, Vec<u8>),
    leader: usize,
    /// So many values that are put get lost.
    lose: usize,
    members: Vec<(bool, Told)>,
}

struct Member(usize, Arc<Mutex<Register>>, Receiver<(u64, Vec<u8>)>);

impl SharedRecord for Member {
    fn is_leader(&self) -> bool {
        self.1.lock().unwrap().leader == self.0
    }
    fn propose(&self, after: u64, number: u64, body: Vec<u8>) {
        let mut register = self.1.lock().unwrap();
        if register.lose > 0 {
            register.lose -= 1;
        } else if register.value.0 == after {
            register.value = (number, body);
            let value = register.value.clone();
            register
                .members
                .iter()
                .filter(|(cut, _)| !cut)
                .for_each(|(_, to)| to.send(value.clone()).unwrap());
        }
    }
    fn commits(&self) -> Receiver<(u64, Vec<u8>)> {
        self.2.clone()
    }
}

/// Two instances of one service under one gate: whoever leads moves it, both are told the same, and one that is cut off
/// hears nothing more, so that what is on its way runs out there.
#[test]
fn instances_share_one_state_and_one_that_is_cut_off_is_told_nothing_more() {
    let folder = Folder::new("gate-shared").unwrap();
    let register: Arc<Mutex<Register>> = Arc::default();
    let start = |at: usize| {
        let (send, kept) = unbounded();
        register.lock().unwrap().members.push((false, send));
        let mut own = settings(&folder.0, "0.02");
        own.admin = milletwing_toy::free().unwrap();
        (Host::start_shared(own.clone(), Box::new(Member(at, register.clone(), kept))).unwrap(), own.admin)
    };
    register.lock().unwrap().leader = 9;
    let hosts = [start(0), start(1)];
    let told = [attach(&hosts[0].0, 1).0, attach(&hosts[1].0, 1).0];
    assert!(told.iter().all(|told| table(told).in_rollout.is_empty()), "nobody leads yet");
    register.lock().unwrap().lose = 1; // put again after a while
    register.lock().unwrap().leader = 0;
    let moving = |told: &Receiver<DecisionInput>| {
        std::iter::repeat_with(|| table(told)).find(|t| !t.in_rollout.is_empty()).unwrap()
    };
    let [first, other] = [moving(&told[0]), moving(&told[1])];
    assert_eq!((first.version, &first.in_rollout), (other.version, &other.in_rollout));
    let say = |verdict: &str| AdminRequest::SetVerdict {
        service: "prensa".into(),
        build: 7,
        verdict: verdict.into(),
    };
    let refused = milletwing_admin::call(hosts[1].1, &say("on")).unwrap_err();
    assert!(refused.contains("does not lead its group"), "{refused}");
    milletwing_admin::call(hosts[0].1, &say("on")).unwrap();
    let out = |told: &Receiver<DecisionInput>| {
        let entry = (Build(7), ZoneId(1), TenantId(1));
        std::iter::repeat_with(|| table(told)).find(|table| table.released.contains(&entry)).unwrap()
    };
    assert_eq!(out(&told[0]).released, out(&told[1]).released);
    // Cut off: the other one goes on and withdraws; this one is told nothing of either.
    register.lock().unwrap().members[0].0 = true;
    register.lock().unwrap().leader = 1;
    milletwing_admin::call(hosts[1].1, &say("back")).unwrap();
    let gone = |told: &Receiver<DecisionInput>| {
        std::iter::repeat_with(|| table(told))
            .find(|table| !table.released.iter().any(|(b, ..)| *b == Build(7)))
    };
    gone(&told[1]).unwrap();
    std::thread::sleep(Duration::from_millis(300));
    while told[0].try_recv().is_ok() {}
    assert!(
        told[0].recv_timeout(Duration::from_millis(2500)).is_err(),
        "a table would have been renewed by now"
    );
    // Back again, it takes on what it missed.
    register.lock().unwrap().members[0].0 = false;
    gone(&told[0]).unwrap();
}

/// A process that is killed between any two writes finds its journal whole: each is one transaction.
#[test]
fn changes_of_one_step_stand_together_or_not_at_all() {
    let folder = Folder::new("journal-step").unwrap();
    let path = folder.0.join("a.redb");
    let settings = settings(&folder.0, "0.02");
    let (mut journal, state, _) = Journal::open(&path, &names()).unwrap();
    let mut engine = Engine::new(settings.model, state, 1000, 1);
    let changes = engine.tick(ClockReading::at(1_000_000));
    assert!(changes.len() > 1);
    journal.append(&changes, engine.state()).unwrap();
    drop(journal);
    let (_, read, _) = Journal::open(&path, &names()).unwrap();
    assert_eq!(&read, engine.state());
}
