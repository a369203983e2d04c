//! Nodes, builds, client connections and keys are replaced many times: after each half the resources that a marshal
//! holds are back within their bound, in the second half as in the first. A process of its own, because it counts
//! threads.

#[allow(dead_code)]
#[path = "whole/support.rs"]
mod support;

use milletwing_toy::discovery::Host;
use std::sync::Mutex;
use std::time::Duration;
use support::{id, node_answering, wait_until, World};

/// The latest line of counters that the marshal logged.
static LATEST_COUNTERS: Mutex<String> = Mutex::new(String::new());

struct CounterLogger;

impl log::Log for CounterLogger {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }
    fn log(&self, record: &log::Record<'_>) {
        let text = record.args().to_string();
        if text.starts_with("taken ") {
            *LATEST_COUNTERS.lock().unwrap() = text;
        }
    }
    fn flush(&self) {}
}

/// The number after a word in the latest line.
fn logged_counter(word: &str) -> u64 {
    let line = LATEST_COUNTERS.lock().unwrap().clone();
    let words: Vec<&str> = line.split([' ', ';', ',']).filter(|word| !word.is_empty()).collect();
    let at = words.iter().position(|other| *other == word);
    at.and_then(|at| words.get(at + 1)?.parse().ok()).unwrap_or(u64::MAX)
}

fn threads(name: &str) -> usize {
    let tasks = std::fs::read_dir("/proc/self/task").unwrap();
    let names = tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok());
    names.filter(|other| other.trim() == name).count()
}

fn descriptors() -> usize {
    std::fs::read_dir("/proc/self/fd").unwrap().count()
}

fn request_with_key() -> String {
    let (id, key) = (id(), id());
    format!("GET /api HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: lookup\r\nCookie: user={key}\r\nX-Remaining: 5000m\r\n\r\n")
}

#[test]
fn held_resources_stay_bounded_however_often_nodes_and_clients_change() {
    log::set_logger(&CounterLogger).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let nodes = [node_answering("a"), node_answering("b"), node_answering("c")];
    let world = World::with(&[&nodes[0], &nodes[1], &nodes[2]], |limits| {
        limits.report_interval = Duration::from_millis(20);
        limits.worker_idle_timeout = Duration::from_millis(50);
    });
    let mut held = Vec::new();
    let mut asked = 0;
    for half in 0..2 {
        for round in 0..80 {
            // Each round's nodes have new ids at the same addresses, and another build.
            let turn = half * 80 + round;
            let build = 2 + turn;
            for (at, node) in nodes.iter().enumerate() {
                let gone = if turn == 0 { format!("n{at}") } else { format!("t{}-{at}", turn - 1) };
                world.discovery.set(Host { state: "left", ..Host::new(&gone, node.addr, build - 1) });
                world.discovery.set(Host::new(&format!("t{turn}-{at}"), node.addr, build));
            }
            world.platform.stage(&format!("{build} 2 live 1 60000"));
            let mut clients: Vec<_> = (0..16).map(|_| world.client()).collect();
            for _ in 0..2 {
                clients.iter_mut().for_each(|client| client.send(request_with_key().as_bytes()));
                for client in &mut clients {
                    // While one list replaces the other, there may be no node for a moment.
                    let word = client.answer().word(1).to_string();
                    assert!(word == "200" || word == "503", "{word}");
                    asked += 1;
                }
            }
        }
        wait_until("all clients have disconnected", || world.server.clients() == 0);
        wait_until("all requests are counted", || {
            logged_counter("taken") == asked && logged_counter("held") == 0
        });
        wait_until("idle threads have exited", || {
            threads("client") == 1 && threads("send") == 1 && threads("relay") == 1 && threads("thin") == 0
        });
        wait_until("connections to removed nodes are closed", || node_connections() <= 48);
        held.push((node_connections(), descriptors()));
    }
    assert!(
        logged_counter("served") > asked / 2,
        "most requests are served: {}",
        LATEST_COUNTERS.lock().unwrap()
    );
    assert_eq!(logged_counter("defects"), 0);
    // At most as many connections as concurrent requests, to each of the current nodes.
    let ((first, before), (second, after)) = (held[0], held[1]);
    assert!(first <= 48 && second <= 48, "{held:?}");
    assert!(after <= before + 48, "descriptors {held:?}");
    assert!(world.server.stop());
}

/// The connections to nodes, which follow two words in the line.
fn node_connections() -> u64 {
    let line = LATEST_COUNTERS.lock().unwrap().clone();
    let rest = line.split("node connections ").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    rest.unwrap_or(u64::MAX)
}
