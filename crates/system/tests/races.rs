//! Operators that race each other against three real core machines which are killed, stopped and started again meanwhile. What they
//! saw is judged as in simulated time: a register changed by compare-and-set, with calls whose outcome is not known.

mod cluster;
#[path = "../../control-plane/tests/control/history.rs"]
mod history;

use cluster::{raw_within, Cluster, Process};
use history::{Change, History, Outcome, Read, Version};
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

const CORE: [u32; 3] = [1, 2, 3];
const OPERATORS: u64 = 4;
/// Changes that each operator makes.
const CHANGES: u64 = 25;
/// Calls of one order at most.
const TRIES: usize = 60;
/// Silence after which a caller goes to another machine, as the protocol has it.
const SILENCE: Duration = Duration::from_secs(1);

fn body(version: Version) -> String {
    let (revision, idle) = version;
    format!(
        r#"{{"revision":{revision},"routing":{{}},"targets":{{"s":{{"maxSessions":60}}}},"thresholds":{{"idleGuardS":{idle}}}}}"#
    )
}

fn call(cluster: &Cluster, host: u32, method: &str, extra: &str, body: &str) -> Option<(u16, String)> {
    let text = format!(
        "{method} /milletwing/configuration HTTP/1.1\r\nHost: core\r\nConnection: close\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    raw_within(cluster.at(host, 8544), text.as_bytes(), SILENCE).map(|(status, _, body)| (status, body))
}

fn put(cluster: &Cluster, host: u32, version: Version, expected: u64) -> Outcome {
    let extra = format!("If-Match: {expected}\r\n");
    match call(cluster, host, "PUT", &extra, &body(version)) {
        Some((200, _)) => Outcome::Acknowledged,
        Some((412, _)) => Outcome::Refused,
        Some((status, said)) if status < 500 => panic!("{status} {said} for {version:?} on {expected}"),
        _ => Outcome::Unknown,
    }
}

/// Sends a change to one machine after the other until what became of it is clear.
fn insist(cluster: &Cluster, from: u64, version: Version, expected: u64) -> Outcome {
    let hosts = CORE.iter().cycle().skip(from as usize % CORE.len()).take(TRIES);
    let mut answers = hosts.map(|host| put(cluster, *host, version, expected));
    answers.find(|answer| *answer != Outcome::Unknown).unwrap_or(Outcome::Unknown)
}

fn read(cluster: &Cluster, host: u32) -> Option<Option<Version>> {
    let (status, text) = call(cluster, host, "GET", "", "")?;
    match status {
        200 => {
            let read: serde_json::Value = serde_json::from_str(&text).unwrap();
            let idle = read["thresholds"]["idleGuardS"].as_f64().unwrap() as u64;
            Some(Some((read["revision"].as_u64().unwrap(), idle)))
        }
        404 => Some(None),
        _ => None,
    }
}

fn operator(cluster: &Cluster, number: u64, history: &Mutex<History>, told: &Sender<()>) {
    let mut seen = 0;
    for made in 1..=CHANGES {
        let begun = Instant::now();
        let (version, expected) = ((seen + 1 + (made + number) % 3, number * 1_000 + made), seen);
        let outcome = insist(cluster, made + number, version, expected);
        let ended = Instant::now();
        history.lock().unwrap().changes.push(Change { version, expected, begun, ended, outcome });
        if outcome == Outcome::Acknowledged {
            seen = version.0;
        }
        for host in CORE {
            let begun = Instant::now();
            if let Some(version) = read(cluster, host) {
                let ended = Instant::now();
                history.lock().unwrap().reads.push(Read { version, begun, ended });
                seen = version.map_or(0, |version| version.0);
                break;
            }
        }
        let _ = told.send(()); // the machines' turn may be over
    }
}

fn leader(cluster: &Cluster) -> Option<u32> {
    CORE.into_iter().find(|host| {
        let text = "GET /milletwing/members HTTP/1.1\r\nHost: core\r\nConnection: close\r\n\r\n";
        let said = raw_within(cluster.at(*host, 8544), text.as_bytes(), SILENCE);
        said.is_some_and(|(_, _, said)| said.contains("\"role\":\"Leader\""))
    })
}

#[test]
fn racing_operators_see_one_register_while_core_machines_die_and_hang() {
    let cluster = Cluster::new("races");
    let mut core: Vec<Option<Process>> = cluster.core().into_iter().map(Some).collect();
    let history = Mutex::new(History::default());
    let (told, changes) = channel();
    std::thread::scope(|scope| {
        for number in 1..=OPERATORS {
            let (cluster, history, told) = (&cluster, &history, told.clone());
            scope.spawn(move || operator(cluster, number, history, &told));
        }
        drop(told);
        // Every few changes something happens to whoever leads, then to another.
        for turn in 0.. {
            if changes.iter().take(8).count() < 8 {
                break;
            }
            let Some(host) = leader(&cluster) else { continue };
            let at = (host as usize - 1 + turn % 2) % CORE.len();
            if turn % 3 == 2 {
                let Some(process) = &core[at] else { continue };
                process.signal("STOP");
                let _ = changes.iter().take(3).count();
                process.signal("CONT");
            } else {
                core[at] = None;
                let process = cluster.start("control-plane", at as u32 + 1, false);
                process.until("M100");
                core[at] = Some(process);
            }
        }
    });
    let history = history.into_inner().unwrap();
    // What was taken is acknowledged again, what was not is refused: nothing else changes the register now.
    let taken = |version: &Version| {
        let change = history.changes.iter().find(|it| it.version == *version);
        let expected = change.map_or(0, |change| change.expected);
        insist(&cluster, 0, *version, expected) == Outcome::Acknowledged
    };
    let known: Vec<Version> = history.changes.iter().map(|it| it.version).filter(|it| taken(it)).collect();
    history.assert_linearizable(|version| known.contains(version));
    let acknowledged = history.changes.iter().filter(|it| it.outcome == Outcome::Acknowledged).count();
    assert!(acknowledged >= 20, "{acknowledged} changes acknowledged");
    let newest = known.iter().map(|version| version.0).max();
    let last = (0..100).find_map(|at| read(&cluster, CORE[at % 3]));
    assert_eq!(last.flatten().map(|version| version.0), newest, "the newest of what was taken is in force");
}
