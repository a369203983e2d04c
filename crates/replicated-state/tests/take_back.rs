//! A zone is emptied and taken back while the lead changes hands, at each pair of moments: its marshals have turned cold just before, and
//! their reports do not say so yet. Nobody may enter that they are warm before their warm-up is over.

use milletwing_replicated_state::registry::BeatAction;
use milletwing_replicated_state::{Beat, Command, EdgeStatus, Phase, Registry, View};

/// Milliseconds of one step.
const STEP_MS: u64 = 100;
/// Steps at which the marshal reports, in between which nothing is heard of it.
const REPORTS_EVERY: u64 = 7;
const EMPTIED: u64 = 15;
const TAKEN_BACK: u64 = 20;
const WARMUP_S: f64 = 3.0;
const COLD_UNTIL: u64 = TAKEN_BACK + (WARMUP_S * 1_000.0) as u64 / STEP_MS;
/// Two hand-overs are tried at each pair of these steps.
const HAND_OVERS: std::ops::Range<u64> = 12..56;
/// By then it is warm, whoever leads.
const END: u64 = 110;

struct Machine {
    view: View,
    registry: Registry,
}

impl Machine {
    fn new(configured: &[Command]) -> Machine {
        let (mut view, mut registry) = (View::default(), Registry::default());
        fold(&mut view, configured, configured.len());
        let ingress = "10.0.0.20:80".parse().unwrap();
        let (zone, region) = ("a".into(), "north".into());
        registry.record_edge(0, EdgeStatus { id: 20, zone, region, ingress, ready: true, incarnation: 1 }, 0);
        Machine { view, registry }
    }
}

/// Folds what was agreed, up to so many entries.
fn fold(view: &mut View, log: &[Command], upto: usize) {
    let done = view.index as usize;
    for (index, command) in log.iter().enumerate().take(upto).skip(done) {
        view.apply(index as u64 + 1, command);
    }
}

fn warm_up(_: &str) -> f64 {
    WARMUP_S
}

fn report(number: u64, left_s: f64) -> Beat {
    let text = format!(
        r#"{{"target":"s","address":"10.0.0.9:80","zone":"a","revision":"v1","capacity":2,"state":"available",
        "warmupLeftS":{left_s},"callCounter":{number}}}"#
    );
    Beat::parse(text.as_bytes()).unwrap()
}

fn configuration() -> Command {
    let body = br#"{"revision":1,"routing":{"r":{"domain":"h","pathPrefix":"/p/","trafficClass":"idempotent","guardS":5,"target":"s"}},
        "targets":{"s":{"maxSessions":110,"warmupS":3.0,"warmupPerS":2.6}},"thresholds":{}}"#;
    View::default().configure_command(1, body).unwrap()
}

/// Plays one case. `lag`: steps after which the machine that does not lead folds what was agreed; it may come to lead before. Gives the steps
/// at which it was entered that the marshal is warm, after the zone was taken back.
fn warmed(hand_overs: [u64; 2], lag: usize) -> Vec<u64> {
    let mut log = vec![configuration()];
    let mut machines = [Machine::new(&log), Machine::new(&log)];
    let mut lengths = Vec::new();
    let (mut leads, mut warm_at) = (0, Vec::new());
    machines[0].registry.become_leader(0, &machines[0].view, &warm_up);
    for step in 1..END {
        let now = step * STEP_MS;
        lengths.push(log.len());
        for (at, machine) in machines.iter_mut().enumerate() {
            let behind = if at == leads { 0 } else { lag.min(lengths.len() - 1) };
            fold(&mut machine.view, &log, lengths[lengths.len() - 1 - behind]);
        }
        for _ in hand_overs.iter().filter(|at| **at == step) {
            machines[leads].registry.become_follower();
            leads = 1 - leads;
            let Machine { view, registry } = &mut machines[leads];
            registry.become_leader(now, view, &warm_up);
        }
        let mut entered = Vec::new();
        match step {
            EMPTIED => {
                entered.push(Command::Evacuate { zone: "a".into(), on: true, sure: false, deals: Vec::new() })
            }
            TAKEN_BACK => {
                let Machine { view, registry } = &mut machines[leads];
                fold(view, &log, log.len());
                entered.push(registry.restore_zone(now, view, "a", &warm_up));
            }
            _ => {}
        }
        if step % REPORTS_EVERY == 1 {
            // Cold for a second as it comes; what it says later is from before it turned cold again.
            let beat = report(step, if step == 1 { 1.0 } else { 0.0 });
            for at in [1 - leads, leads] {
                let Machine { view, registry } = &mut machines[at];
                let verdict = registry.handle_beat(now, view, "i-1", &beat);
                if let (BeatAction::Propose(command), true) = (verdict, at == leads) {
                    entered.push(command);
                }
            }
        }
        let Machine { view, registry } = &mut machines[leads];
        entered.extend(registry.sweep(now, view, 60_000, &warm_up));
        if step > TAKEN_BACK {
            let warm = entered.iter().filter(|command| matches!(command, Command::NodeWarm { .. }));
            warm_at.extend(warm.map(|_| step));
        }
        log.extend(entered);
    }
    let machine = &mut machines[leads];
    fold(&mut machine.view, &log, log.len());
    assert_eq!(machine.view.nodes["i-1"].phase, Phase::Warm, "{hand_overs:?}, {lag} behind: never warm");
    warm_at
}

/// Guards against FAILBACK: a new leader took a time that it had heard long before for that of the marshal's new coldness, and sent
/// it its full part at once.
#[test]
fn a_zone_taken_back_stays_cold_whoever_comes_to_lead() {
    for lag in [0, 1, 3] {
        for first in HAND_OVERS {
            for second in first..HAND_OVERS.end {
                let early: Vec<u64> =
                    warmed([first, second], lag).into_iter().filter(|step| *step < COLD_UNTIL).collect();
                assert!(
                    early.is_empty(),
                    "lead changes at {first} and {second}, {lag} behind: warm at {early:?}"
                );
            }
        }
    }
}
