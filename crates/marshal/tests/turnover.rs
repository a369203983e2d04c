//! Nodes, builds, connections of clients and keys turned over many times: what a whole marshal holds is back at its bound
//! after each half, the second as the first. A process of its own, since it counts threads.

#[allow(dead_code)]
#[path = "whole/support.rs"]
mod support;

use milletwing_toy::discovery::Host;
use std::sync::Mutex;
use std::time::Duration;
use support::{id, serving, until, World};

/// The marshal's latest line of counters.
static LATEST: Mutex<String> = Mutex::new(String::new());

struct Listener;

impl log::Log for Listener {
    fn enabled(&self, _: &log::Metadata<'_>) -> bool {
        true
    }
    fn log(&self, record: &log::Record<'_>) {
        let text = record.args().to_string();
        if text.starts_with("taken ") {
            *LATEST.lock().unwrap() = text;
        }
    }
    fn flush(&self) {}
}

/// The number behind a word of the latest line.
fn told(word: &str) -> u64 {
    let line = LATEST.lock().unwrap().clone();
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

fn keyed() -> String {
    let (id, key) = (id(), id());
    format!("GET /api HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: lookup\r\nCookie: user={key}\r\nX-Remaining: 5000m\r\n\r\n")
}

#[test]
fn what_a_marshal_holds_is_back_at_its_bound_however_often_all_around_it_changes() {
    log::set_logger(&Listener).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let nodes = [serving("a"), serving("b"), serving("c")];
    let world = World::with(&[&nodes[0], &nodes[1], &nodes[2]], |limits| {
        limits.report_interval = Duration::from_millis(20);
        limits.worker_idle_timeout = Duration::from_millis(50);
    });
    let mut held = Vec::new();
    let mut asked = 0;
    for half in 0..2 {
        for round in 0..80 {
            // Each round's nodes have new ids at the old addresses, and another build.
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
                clients.iter_mut().for_each(|client| client.send(keyed().as_bytes()));
                for client in &mut clients {
                    // While one list follows the other there may be no node for a moment.
                    let word = client.answer().word(1).to_string();
                    assert!(word == "200" || word == "503", "{word}");
                    asked += 1;
                }
            }
        }
        until("all clients have left", || world.server.clients() == 0);
        until("all is counted", || told("taken") == asked && told("held") == 0);
        until("threads have gone", || {
            threads("client") == 1 && threads("send") == 1 && threads("relay") == 1 && threads("thin") == 0
        });
        until("connections to nodes that left are gone", || links() <= 48);
        held.push((links(), descriptors()));
    }
    assert!(told("served") > asked / 2, "most are served: {}", LATEST.lock().unwrap());
    assert_eq!(told("defects"), 0);
    // At most as many connections as requests were out at once, to each of the nodes that there are.
    let ((first, before), (second, after)) = (held[0], held[1]);
    assert!(first <= 48 && second <= 48, "{held:?}");
    assert!(after <= before + 48, "descriptors {held:?}");
    assert!(world.server.stop());
}

/// Connections to nodes, of which the line tells behind two words.
fn links() -> u64 {
    let line = LATEST.lock().unwrap().clone();
    let rest = line.split("node connections ").nth(1).and_then(|rest| rest.split(' ').next()?.parse().ok());
    rest.unwrap_or(u64::MAX)
}
