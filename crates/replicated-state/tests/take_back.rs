//! A zone is evacuated and restored while the leadership changes twice, at each pair of times. Its marshals have just turned
//! cold, and their heartbeats do not report it yet. No leader may declare them warm before their warm-up is over.

use milletwing_replicated_state::registry::BeatAction;
use milletwing_replicated_state::{Beat, Command, EdgeStatus, Phase, Registry, View};

/// The duration of a step in milliseconds.
const STEP_MS: u64 = 100;
/// The number of steps between two heartbeats of the marshal.
const HEARTBEAT_STEPS: u64 = 7;
const EVACUATED_AT: u64 = 15;
const RESTORED_AT: u64 = 20;
const WARMUP_S: f64 = 3.0;
const COLD_UNTIL: u64 = RESTORED_AT + (WARMUP_S * 1_000.0) as u64 / STEP_MS;
/// The leadership changes at each pair of these steps.
const LEADER_CHANGES: std::ops::Range<u64> = 12..56;
/// By this step the marshal is warm, whichever machine leader.
const END: u64 = 110;

struct Machine {
    view: View,
    registry: Registry,
}

impl Machine {
    fn new(initial_log: &[Command]) -> Machine {
        let (mut view, mut registry) = (View::default(), Registry::default());
        apply_log(&mut view, initial_log, initial_log.len());
        let ingress = "10.0.0.20:80".parse().unwrap();
        let (zone, region) = ("a".into(), "north".into());
        registry.record_edge(0, EdgeStatus { id: 20, zone, region, ingress, ready: true, incarnation: 1 }, 0);
        Machine { view, registry }
    }
}

/// Applies the log up to an entry.
fn apply_log(view: &mut View, log: &[Command], up_to: usize) {
    let applied = view.index as usize;
    for (index, command) in log.iter().enumerate().take(up_to).skip(applied) {
        view.apply(index as u64 + 1, command);
    }
}

fn warm_up(_: &str) -> f64 {
    WARMUP_S
}

fn heartbeat(call_counter: u64, warmup_left_s: f64) -> Beat {
    let text = format!(
        r#"{{"target":"s","address":"10.0.0.9:80","zone":"a","revision":"v1","capacity":2,"state":"available",
        "warmupLeftS":{warmup_left_s},"callCounter":{call_counter}}}"#
    );
    Beat::parse(text.as_bytes()).unwrap()
}

fn configuration() -> Command {
    let body = br#"{"revision":1,"routing":{"r":{"domain":"h","pathPrefix":"/p/","trafficClass":"idempotent","guardS":5,"target":"s"}},
        "targets":{"s":{"maxSessions":110,"warmupS":3.0,"warmupPerS":2.6}},"thresholds":{}}"#;
    View::default().configure_command(1, body).unwrap()
}

/// Runs one case. The follower applies entries `lag` steps late, and may become the leader before it has caught up.
/// Returns the steps after the end of the evacuation at which a leader declared the marshal warm.
fn warm_steps(leader_changes: [u64; 2], lag: usize) -> Vec<u64> {
    let mut log = vec![configuration()];
    let mut machines = [Machine::new(&log), Machine::new(&log)];
    let mut log_lengths = Vec::new();
    let (mut leader, mut warm_at) = (0, Vec::new());
    machines[0].registry.become_leader(0, &machines[0].view, &warm_up);
    for step in 1..END {
        let now = step * STEP_MS;
        log_lengths.push(log.len());
        for (number, machine) in machines.iter_mut().enumerate() {
            let behind = if number == leader { 0 } else { lag.min(log_lengths.len() - 1) };
            apply_log(&mut machine.view, &log, log_lengths[log_lengths.len() - 1 - behind]);
        }
        for _ in leader_changes.iter().filter(|change| **change == step) {
            machines[leader].registry.become_follower();
            leader = 1 - leader;
            let Machine { view, registry } = &mut machines[leader];
            registry.become_leader(now, view, &warm_up);
        }
        let mut commands = Vec::new();
        match step {
            EVACUATED_AT => commands.push(Command::Evacuate {
                zone: "a".into(),
                on: true,
                sure: false,
                deals: Vec::new(),
            }),
            RESTORED_AT => {
                let Machine { view, registry } = &mut machines[leader];
                apply_log(view, &log, log.len());
                commands.push(registry.restore_zone(now, view, "a", &warm_up));
            }
            _ => {}
        }
        if step % HEARTBEAT_STEPS == 1 {
            // The marshal starts cold for a second. Later heartbeats predate the time at which it turned cold again.
            let beat = heartbeat(step, if step == 1 { 1.0 } else { 0.0 });
            for number in [1 - leader, leader] {
                let Machine { view, registry } = &mut machines[number];
                let action = registry.handle_beat(now, view, "i-1", &beat);
                if let (BeatAction::Propose(command), true) = (action, number == leader) {
                    commands.push(command);
                }
            }
        }
        let Machine { view, registry } = &mut machines[leader];
        commands.extend(registry.sweep(now, view, 60_000, &warm_up));
        if step > RESTORED_AT {
            let warm = commands.iter().filter(|command| matches!(command, Command::NodeWarm { .. }));
            warm_at.extend(warm.map(|_| step));
        }
        log.extend(commands);
    }
    let machine = &mut machines[leader];
    apply_log(&mut machine.view, &log, log.len());
    assert_eq!(
        machine.view.nodes["i-1"].phase,
        Phase::Warm,
        "leader changes at {leader_changes:?}, lag {lag}: never warm"
    );
    warm_at
}

/// Regression test: a new leader took a warm-up time that it had heard long before for that of the current cold phase, so that
/// the marshal received its full share of the traffic at once.
#[test]
fn marshals_of_a_restored_zone_stay_cold_across_leader_changes() {
    for lag in [0, 1, 3] {
        for first in LEADER_CHANGES {
            for second in first..LEADER_CHANGES.end {
                let early: Vec<u64> =
                    warm_steps([first, second], lag).into_iter().filter(|step| *step < COLD_UNTIL).collect();
                assert!(
                    early.is_empty(),
                    "leader changes at {first} and {second}, lag {lag}: warm at {early:?}"
                );
            }
        }
    }
}
