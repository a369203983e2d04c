//! Draws plans from a seed: a version that is bad in some way, beside routes that leave its service, come back,
//! come for the first time and are split, and beside core machines that are killed or stopped.

use super::plan::{ClassPlan, Event, EventKind, HowBad, Plan, RouteShare, ServicePlan};
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;

const MAIN: &str = "main";
const OTHER: &str = "other";
const LENGTH_S: f64 = 32.0;
/// When the roll-out is ordered, in seconds.
const ORDER_S: std::ops::Range<f64> = 0.5..3.0;
const PERIODS_S: [f64; 4] = [10.0, 12.0, 16.0, 16.0];
/// Moments of route changes, in seconds; also before the order, and after a completion.
const CHANGES_S: std::ops::Range<f64> = 0.0..17.0;
/// When a class comes to the service for the first time, in seconds after the order.
const FIRST_CHANGE_S: std::ops::Range<f64> = 0.0..5.0;
const FAULTS_S: std::ops::Range<f64> = 0.5..17.0;
const FREEZE_S: std::ops::Range<f64> = 0.5..5.0;
const RATES_PER_S: std::ops::Range<f64> = 6.0..26.0;
/// Shares of a route that is split.
const SPLITS: [f64; 5] = [0.06, 0.12, 0.25, 0.5, 0.75];
const KINDS: [&str; 3] = ["idempotent", "downlink", "non_idempotent"];

impl Plan {
    /// Draws a plan.
    pub fn draw(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let classes = draw_classes(&mut random);
        let rollout = draw_rollout(&mut random, &classes);
        let mut plan = Vec::new();
        for class in &classes {
            // A class that the service has never had comes while its version is tried: what comes only when the
            // version is completed can't be known before.
            let first = (class.service != MAIN).then(|| rollout.at + random.random_range(FIRST_CHANGE_S));
            plan.extend(draw_changes(&mut random, class, first));
        }
        plan.push(rollout);
        plan.extend(draw_faults(&mut random));
        if random.random_bool(0.15) {
            plan.push(Event { service: OTHER.into(), ..draw_rollout(&mut random, &classes) });
        }
        plan.sort_by(|a, b| a.at.total_cmp(&b.at));
        let services = [MAIN, OTHER].map(|name| ServicePlan { name: name.into(), marshals: 5 });
        Plan { length_s: LENGTH_S, core: 3, edges: 4, services: services.into(), classes, plan }
    }
}

/// One to three classes at the main service, and now and then one that comes there later for the first time.
fn draw_classes(random: &mut Pcg64Mcg) -> Vec<ClassPlan> {
    let count = random.random_range(1..=3);
    let mut classes: Vec<ClassPlan> = (0..count)
        .map(|number| ClassPlan {
            name: format!("c{number}"),
            kind: KINDS[random.random_range(0..KINDS.len())].into(),
            service: MAIN.into(),
            per_s: random.random_range(RATES_PER_S),
        })
        .collect();
    if random.random_bool(0.3) {
        let per_s = random.random_range(RATES_PER_S);
        classes.push(ClassPlan { name: "new".into(), kind: KINDS[0].into(), service: OTHER.into(), per_s });
    }
    classes
}

fn event(at: f64, kind: EventKind) -> Event {
    Event {
        at,
        kind,
        how: HowBad::Errors,
        for_s: 0.0,
        share: 0.5,
        gap_s: 0.0,
        service: String::new(),
        class: String::new(),
        to: Vec::new(),
        on: String::new(),
        zone: String::new(),
    }
}

fn draw_rollout(random: &mut Pcg64Mcg, classes: &[ClassPlan]) -> Event {
    let at = random.random_range(ORDER_S);
    let how =
        *[HowBad::OneClass, HowBad::OneClass, HowBad::OneClass, HowBad::Errors, HowBad::Late, HowBad::Slow]
            .choose(random)
            .unwrap_or(&HowBad::OneClass);
    let kind = if random.random_bool(0.15) { EventKind::RolloutGood } else { EventKind::RolloutBad };
    let class = classes.choose(random).map_or_else(String::new, |class| class.name.clone());
    let for_s = *PERIODS_S.choose(random).unwrap_or(&PERIODS_S[0]);
    Event { how, class, for_s, gap_s: 3.0, service: MAIN.into(), ..event(at, kind) }
}

/// Series of changes of a route, which ends at the main service.
fn draw_changes(random: &mut Pcg64Mcg, class: &ClassPlan, first: Option<f64>) -> Vec<Event> {
    let mut moments: Vec<f64> =
        (0..random.random_range(0..=4)).map(|_| random.random_range(CHANGES_S)).collect();
    moments.retain(|at| first.is_none_or(|first| *at > first));
    moments.extend(first);
    moments.sort_by(f64::total_cmp);
    let last = moments.len().saturating_sub(1);
    let to = |share: f64| {
        let part = |service: &str, share: f64| RouteShare { service: service.into(), share };
        let parts = [part(MAIN, share), part(OTHER, 1.0 - share)];
        parts.into_iter().filter(|part| part.share > 0.0).collect::<Vec<RouteShare>>()
    };
    let changes = moments.into_iter().enumerate().map(|(number, at)| {
        let share = match random.random_range(0..4) {
            _ if number == last || (number == 0 && first.is_some()) => 1.0,
            0 => 1.0,
            1 => *SPLITS.choose(random).unwrap_or(&1.0),
            _ => 0.0,
        };
        Event { class: class.name.clone(), to: to(share), ..event(at, EventKind::ConfigChange) }
    });
    changes.collect()
}

fn draw_faults(random: &mut Pcg64Mcg) -> Vec<Event> {
    let count = [0, 0, 1, 2][random.random_range(0..4)];
    let mut faults = Vec::new();
    for _ in 0..count {
        let at = random.random_range(FAULTS_S);
        let on = (*["leader", "leader", "core", "edge"].choose(random).unwrap_or(&"core")).to_owned();
        faults.push(if random.random_bool(0.5) {
            Event { on, ..event(at, EventKind::NodeKill) }
        } else {
            Event { on, for_s: random.random_range(FREEZE_S), ..event(at, EventKind::NodeFreeze) }
        });
    }
    faults
}
