//! Operators change the configuration concurrently while the three real core machines are killed,
//! suspended and restarted. The history that the operators observe is checked as in the tests in simulated
//! time: that of a register that is changed by compare-and-set, with calls whose outcome may be unknown.

mod cluster;
#[path = "../../control-plane/tests/control/history.rs"]
mod history;

use cluster::{exchange_with_timeout, Cluster, Process};
use history::{Change, History, Outcome, Read, Version};
use std::sync::mpsc::{channel, Sender};
use std::sync::Mutex;
use std::time::Duration;
use tokio::time::Instant;

const CORE: [u32; 3] = [1, 2, 3];
const OPERATORS: u64 = 4;
/// Changes that each operator makes.
const CHANGES: u64 = 25;
/// Most calls that are made for one change.
const MAX_ATTEMPTS: usize = 60;
/// Time without a response after which a client goes on to another machine, as the protocol demands.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(1);

/// A configuration whose second number tells it apart from others of the same revision.
fn configuration_json(version: Version) -> String {
    let (revision, idle_guard_s) = version;
    format!(
        r#"{{"revision":{revision},"routing":{{}},"targets":{{"s":{{"maxSessions":60}}}},"thresholds":{{"idleGuardS":{idle_guard_s}}}}}"#
    )
}

fn call(cluster: &Cluster, host: u32, method: &str, headers: &str, body: &str) -> Option<(u16, String)> {
    let text = format!(
        "{method} /milletwing/configuration HTTP/1.1\r\nHost: core\r\nConnection: close\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    );
    exchange_with_timeout(cluster.address(host, 8544), text.as_bytes(), RESPONSE_TIMEOUT)
        .map(|(status, _, body)| (status, body))
}

fn put(cluster: &Cluster, host: u32, version: Version, expected: u64) -> Outcome {
    let headers = format!("If-Match: {expected}\r\n");
    match call(cluster, host, "PUT", &headers, &configuration_json(version)) {
        Some((200, _)) => Outcome::Acknowledged,
        Some((412, _)) => Outcome::Refused,
        Some((status, body)) if status < 500 => panic!("{status} {body} for {version:?} on {expected}"),
        _ => Outcome::Unknown,
    }
}

/// Sends a change to the machines in round until its outcome is known.
fn put_until_known(cluster: &Cluster, start: u64, version: Version, expected: u64) -> Outcome {
    let hosts = CORE.iter().cycle().skip(start as usize % CORE.len()).take(MAX_ATTEMPTS);
    let mut outcomes = hosts.map(|host| put(cluster, *host, version, expected));
    outcomes.find(|outcome| *outcome != Outcome::Unknown).unwrap_or(Outcome::Unknown)
}

/// Reads the version in force. The outer `None`: the machine gave no usable response; the inner one:
/// there is no configuration yet.
fn read_version(cluster: &Cluster, host: u32) -> Option<Option<Version>> {
    let (status, text) = call(cluster, host, "GET", "", "")?;
    match status {
        200 => {
            let configuration: serde_json::Value = serde_json::from_str(&text).unwrap();
            let idle_guard_s = configuration["thresholds"]["idleGuardS"].as_f64().unwrap() as u64;
            Some(Some((configuration["revision"].as_u64().unwrap(), idle_guard_s)))
        }
        404 => Some(None),
        _ => None,
    }
}

/// Makes the changes of one operator, reads after each, and reports each on `change_made`.
fn run_operator(cluster: &Cluster, number: u64, history: &Mutex<History>, change_made: &Sender<()>) {
    let mut known_revision = 0;
    for change in 1..=CHANGES {
        let begun = Instant::now();
        let (version, expected) =
            ((known_revision + 1 + (change + number) % 3, number * 1_000 + change), known_revision);
        let outcome = put_until_known(cluster, change + number, version, expected);
        let ended = Instant::now();
        history.lock().unwrap().changes.push(Change { version, expected, begun, ended, outcome });
        if outcome == Outcome::Acknowledged {
            known_revision = version.0;
        }
        for host in CORE {
            let begun = Instant::now();
            if let Some(version) = read_version(cluster, host) {
                let ended = Instant::now();
                history.lock().unwrap().reads.push(Read { version, begun, ended });
                known_revision = version.map_or(0, |version| version.0);
                break;
            }
        }
        let _ = change_made.send(()); // the receiver may have stopped
    }
}

fn find_leader(cluster: &Cluster) -> Option<u32> {
    CORE.into_iter().find(|host| {
        let text = "GET /milletwing/members HTTP/1.1\r\nHost: core\r\nConnection: close\r\n\r\n";
        let response = exchange_with_timeout(cluster.address(*host, 8544), text.as_bytes(), RESPONSE_TIMEOUT);
        response.is_some_and(|(_, _, body)| body.contains("\"role\":\"Leader\""))
    })
}

#[test]
fn concurrent_configuration_changes_are_linearizable_while_core_machines_crash_and_hang() {
    let cluster = Cluster::new("races");
    let mut core: Vec<Option<Process>> = cluster.start_core().into_iter().map(Some).collect();
    let history = Mutex::new(History::default());
    let (change_made, changes) = channel();
    std::thread::scope(|scope| {
        for number in 1..=OPERATORS {
            let (cluster, history, change_made) = (&cluster, &history, change_made.clone());
            scope.spawn(move || run_operator(cluster, number, history, &change_made));
        }
        drop(change_made);
        // Every 8 changes, the leader or the machine after it is killed and restarted, or suspended
        // for 3 changes.
        for round in 0.. {
            if changes.iter().take(8).count() < 8 {
                break;
            }
            let Some(host) = find_leader(&cluster) else { continue };
            let index = (host as usize - 1 + round % 2) % CORE.len();
            if round % 3 == 2 {
                let Some(process) = &core[index] else { continue };
                process.signal("STOP");
                let _ = changes.iter().take(3).count();
                process.signal("CONT");
            } else {
                core[index] = None;
                let process = cluster.start("control-plane", index as u32 + 1, false);
                process.wait_for_log("M100");
                core[index] = Some(process);
            }
        }
    });
    let history = history.into_inner().unwrap();
    // Nothing else changes the register now: a change that was accepted is acknowledged again when it
    // is repeated, and any other is refused.
    let is_accepted = |version: &Version| {
        let change = history.changes.iter().find(|change| change.version == *version);
        let expected = change.map_or(0, |change| change.expected);
        put_until_known(&cluster, 0, *version, expected) == Outcome::Acknowledged
    };
    let accepted: Vec<Version> =
        history.changes.iter().map(|change| change.version).filter(|version| is_accepted(version)).collect();
    history.assert_linearizable(|version| accepted.contains(version));
    let acknowledged =
        history.changes.iter().filter(|change| change.outcome == Outcome::Acknowledged).count();
    assert!(acknowledged >= 20, "{acknowledged} changes acknowledged");
    let newest = accepted.iter().map(|version| version.0).max();
    let last = (0..100).find_map(|attempt| read_version(&cluster, CORE[attempt % 3]));
    assert_eq!(last.flatten().map(|version| version.0), newest, "the newest accepted version is in force");
}
