//! Inspects the database file of a stopped core machine.

use milletwing_consensus::{inspect, Payload};
use milletwing_replicated_state::{Command, View};
use milletwing_storage::LogStore;
use serde_json::json;
use std::net::Ipv4Addr;
use std::path::Path;

/// Size of the database's page cache, in bytes.
const CACHE_BYTES: usize = 4 << 20;

/// Checks the file and prints a summary, or its whole content as JSON if `subcommand` is `dump`.
///
/// Opening the file may write what the database library needs for that; nothing else is written.
/// A file that is missing, in use, or not such a database is an error.
pub fn inspect_file(subcommand: &str, path: &str) -> Result<(), String> {
    let file_error = |error: &dyn std::fmt::Display| format!("{path}: {error}");
    if !Path::new(path).is_file() {
        return Err(file_error(&"no such file"));
    }
    let store = LogStore::open(Path::new(path), CACHE_BYTES).map_err(|error| file_error(&error))?;
    let stored = store.load().map_err(|error| file_error(&error))?;
    let inspection = inspect(&stored).map_err(|error| file_error(&error))?;
    let mut view = View::from_compressed(&inspection.data).map_err(|error| file_error(&error))?;
    let mut entries = Vec::new();
    for entry in &inspection.entries {
        let description = match &entry.payload {
            Payload::Noop => "a leader begins".into(),
            Payload::Members(members) => format!("members {}", addresses(members)),
            Payload::Data(bytes) => {
                let command = Command::from_bytes(bytes).map_err(|error| file_error(&error))?;
                format!("{}: {:?}", describe(&command), view.apply(entry.index, &command))
            }
        };
        entries.push(json!({"index": entry.index, "term": entry.term, "is": description}));
    }
    if subcommand == "dump" {
        let nodes: Vec<String> = view.nodes.values().map(|node| format!("{node:?}")).collect();
        let dump = json!({"term": inspection.term, "lost": inspection.lost, "members": addresses(&inspection.members),
            "snapshot": inspection.snapshot.1, "entries": entries, "asFolded": {"revision": view.revision,
            "configuration": serde_json::from_slice::<serde_json::Value>(&view.body).ok(), "nodes": nodes,
            "evacuated": view.evacuated}});
        println!("{dump:#}");
    } else {
        println!(
            "term {}, snapshot at {}, {} entries, members {}{}; if all entries are committed: revision {}, {} marshals",
            inspection.term,
            inspection.snapshot.1,
            inspection.entries.len(),
            addresses(&inspection.members),
            if inspection.lost { ", lost its disk and does not count yet" } else { "" },
            view.revision,
            view.nodes.len()
        );
    }
    Ok(())
}

/// The IPv4 addresses that serve as the members' ids.
fn addresses(members: &[u32]) -> String {
    members.iter().map(|id| Ipv4Addr::from_bits(*id).to_string()).collect::<Vec<_>>().join(" ")
}

/// A description of a command that gives the size of a configuration in place of its bytes.
fn describe(command: &Command) -> String {
    match command {
        Command::Configure { if_match, revision, packed, .. } => {
            format!("configuration {revision} on {if_match}, {} bytes", packed.len())
        }
        other => format!("{other:?}"),
    }
}
