//! Measurements without failures: what planning takes by size, and what the gate costs a decision.

use milletwing_decision::interface::{
    Action, Build, Class, ClassId, DedupScope as Scope_, Event, FleetUpdateKind, Ms, NodeEntry, NodeId,
    Outcome as Verdict_, PermitTable, RequestId, RetrySafety, Settings, TenantId, ZoneId,
};
use milletwing_decision::Marshal;
use milletwing_releases::calendar::{Freeze, FreezeMode, FreezePeriod, FreezeScope};
use milletwing_releases::engine::{Change, State, Verdict};
use milletwing_releases::model::{Budgets, Dependency, DependencyScope, Edition, EditionSpec, Model};
use milletwing_releases::planner::Planner;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{json, Value};
use std::collections::HashSet;
use std::sync::Arc;
use std::time::Instant;

/// A model of so many services and buildings, each service with an edition to go out; fifty customers in four tranches of
/// ten minutes, a freeze each night, and needs among the twenty services before.
pub fn model(services: usize, buildings: usize) -> Model {
    let mut dice = Pcg64Mcg::seed_from_u64(9);
    let mut model = Model {
        services: (0..services).map(|at| format!("s{at}")).collect(),
        buildings: (0..buildings).map(|at| format!("b{at}")).collect(),
        customers: (0..50).map(|at| format!("c{at}")).collect(),
        tranches: (0..4)
            .map(|tranche| (0..50).filter(|customer| customer % 4 == tranche).collect())
            .collect(),
        customer_buildings: vec![Vec::new(); 50],
        min_tranche_s: 600,
        one_by_one: false,
        editions: Default::default(),
        budgets: Budgets { overall: buildings * 6, building: 8 },
        freezes: Vec::new(),
        exemptions: Vec::new(),
    };
    for service in 0..services {
        let mut needs = Vec::new();
        for _ in 0..if service > 0 { dice.random_range(0..3) } else { 0 } {
            let on = dice.random_range(service.saturating_sub(20)..service);
            needs.push(Dependency {
                service: on,
                min_build: 2,
                max_build: 2,
                scope: DependencyScope::Building,
            });
        }
        model
            .editions
            .insert(Edition { service, build: 1 }, EditionSpec { released: true, ..EditionSpec::default() });
        model
            .editions
            .insert(Edition { service, build: 2 }, EditionSpec { dependencies: needs, released: false });
    }
    let zone = jiff::tz::TimeZone::UTC;
    for day in 0..30 {
        let at = |second: i64| {
            jiff::Timestamp::from_second(day * 86_400 + second)
                .unwrap_or_default()
                .to_zoned(zone.clone())
                .datetime()
        };
        let period = FreezePeriod::Once(at(20_000), at(40_000));
        let (name, scope, mode) = (format!("night-{day}"), FreezeScope::default(), FreezeMode::Hold);
        model.freezes.push(Freeze { name, scope, period, mode, zone: zone.clone() });
    }
    model
}

/// What planning takes, on one core.
pub fn planning(services: usize, buildings: usize) -> Result<Value, String> {
    let model = model(services, buildings);
    let from = Instant::now();
    let mut planner = Planner::new(&model, &State::default(), 0)?;
    let plan_ms = from.elapsed().as_secs_f64() * 1000.0;
    let schedule = planner.schedule();
    // One edition in the middle is sent back; then one near the end.
    let mut again = Vec::new();
    for service in [services / 2, services - 1] {
        let edition = Edition { service, build: 2 };
        let mut state = State::default();
        state.apply(&Change::Verdict(edition, Verdict::Revert));
        let from = Instant::now();
        planner.replan(edition, &state, 0);
        again.push(from.elapsed().as_secs_f64() * 1000.0);
    }
    Ok(json!({
        "services": services, "buildings": buildings, "steps": schedule.steps.len(), "plan_ms": plan_ms,
        "finish_s": schedule.finish, "no_plan_before_s": schedule.lower_bound,
        "over_the_bound": schedule.finish as f64 / schedule.lower_bound.max(1) as f64, "replan_ms": again,
    }))
}

fn settings(gated: bool) -> Settings {
    let class = Class {
        latency_target: Ms(300.0),
        target_per_work: 0.0,
        client_timeout: Ms(1000.0),
        retry_safety: RetrySafety::Idempotent,
        dedup_scope: Scope_::All,
        dedup_window: Ms(500.0),
        late_value: 0.0,
        value: 1.0,
        streamed: false,
    };
    Settings {
        marshals: 1,
        tick: Ms(5.0),
        classes: vec![class],
        advance_votes: 1,
        revert_votes: 1,
        vote_ttl: Ms(6000.0),
        vote_answer_timeout: Ms(2000.0),
        votes_per_s: 100.0,
        exposure_allowance: 3.0,
        exposure_window: Ms(6000.0),
        stage_cap: vec![1.0],
        max_attempts: 6,
        cold_start_capacity: 0.4,
        warmup: Ms(4000.0),
        overload_multiple: 3.0,
        drain_grace: Ms(500.0),
        discovery_deadline: Ms(10_000.0),
        require_permits: gated,
        ..Settings::default()
    }
}

/// Nanoseconds of a decision and its end, over a hundred servers in twenty zones, with a table of so many entries or none.
fn decision(entries: usize, rounds: usize) -> f64 {
    let mut marshal = Marshal::new(settings(entries > 0), 1);
    let mut out = Vec::new();
    let list = (0..100u32)
        .map(|at| NodeEntry {
            node: NodeId(Arc::from(format!("n{at}").as_str())),
            zone: ZoneId(at % 20),
            build: Build(1),
            weight: 1.0,
            ..NodeEntry::default()
        })
        .collect();
    marshal.handle(Ms(1000.0), Event::Start, &mut out);
    marshal.handle(Ms(1000.0), Event::FleetUpdate(FleetUpdateKind::Restored, list), &mut out);
    if entries > 0 {
        let of =
            |at: usize| (Build(1 + (at / 1000) as u32), ZoneId((at % 20) as u32), TenantId(at / 20 % 50));
        let released: HashSet<_> = (0..entries).map(of).collect();
        let table = PermitTable { version: 1, ttl: Ms(1e12), released, in_rollout: HashSet::new() };
        marshal.handle(Ms(1000.0), Event::PermitTable(Arc::new(table)), &mut out);
    }
    let ids: Vec<RequestId> = (0..rounds).map(|at| RequestId(Arc::from(format!("q{at}").as_str()))).collect();
    let from = Instant::now();
    for (at, id) in ids.into_iter().enumerate() {
        out.clear();
        let now = Ms(2000.0 + at as f64 * 0.5);
        let (class, tenant, expires_in) = (ClassId(0), Some(TenantId(at % 50)), Ms(1000.0));
        let event = Event::Request {
            id: id.clone(),
            class,
            key: None,
            tenant,
            expires_in,
            work_hint: None,
            is_retry: false,
        };
        marshal.handle(now, event, &mut out);
        let Some(Action::Attempt { node, .. }) = out.first().cloned() else { continue };
        let (verdict, latency, settled, load) = (Verdict_::Ok, Ms(20.0), true, None);
        marshal.handle(
            now,
            Event::Completed { id, attempt: 0, node, outcome: verdict, latency, is_final: settled, load },
            &mut out,
        );
    }
    from.elapsed().as_nanos() as f64 / rounds as f64
}

/// What the gate costs a decision: medians of several runs, by turns.
pub fn gate(entries: usize) -> Value {
    let mut times = [Vec::new(), Vec::new()];
    for _ in 0..15 {
        times[0].push(decision(0, 40_000));
        times[1].push(decision(entries, 40_000));
    }
    let [without, with] = times.map(|mut list| {
        list.sort_by(f64::total_cmp);
        list[list.len() / 2]
    });
    json!({ "entries": entries, "without_ns": without, "with_ns": with, "more": with / without - 1.0 })
}

/// The machine's memory in megabytes; 0 where it can't be told.
pub fn total_memory_mb() -> u64 {
    field_kb("/proc/meminfo", "MemTotal:").unwrap_or(0) / 1024
}

/// Resident memory of a process in kilobytes; nothing once it has ended.
pub fn resident_kb(process: u32) -> Option<u64> {
    field_kb(&format!("/proc/{process}/status"), "VmRSS:")
}

fn field_kb(path: &str, name: &str) -> Option<u64> {
    let text = std::fs::read_to_string(path).ok()?;
    let line = text.lines().find_map(|line| line.strip_prefix(name))?;
    line.trim().trim_end_matches(" kB").parse().ok()
}
