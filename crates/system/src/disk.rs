//! What a stopped core machine's file holds.

use milletwing_consensus::{inspect, Payload};
use milletwing_replicated_state::{Command, View};
use milletwing_storage::LogStore;
use serde_json::json;
use std::net::Ipv4Addr;
use std::path::Path;

/// Bytes of pages in memory.
const CACHE: usize = 4 << 20;

/// Checks a file, or prints all of it. Nothing is written to it but what its library needs to open it; a file in use, one
/// that is missing and one that is none are told.
pub fn tell(call: &str, path: &str) -> Result<(), String> {
    let wrong = |problem: &dyn std::fmt::Display| format!("{path}: {problem}");
    if !Path::new(path).is_file() {
        return Err(wrong(&"there is no such file"));
    }
    let store = LogStore::open(Path::new(path), CACHE).map_err(|problem| wrong(&problem))?;
    let stored = store.load().map_err(|problem| wrong(&problem))?;
    let found = inspect(&stored).map_err(|problem| wrong(&problem))?;
    let mut view = View::from_compressed(&found.data).map_err(|problem| wrong(&problem))?;
    let mut entries = Vec::new();
    for entry in &found.entries {
        let said = match &entry.payload {
            Payload::Noop => "a leader begins".into(),
            Payload::Members(members) => format!("members {}", names(members)),
            Payload::Data(bytes) => {
                let command = Command::from_bytes(bytes).map_err(|problem| wrong(&problem))?;
                format!("{}: {:?}", brief(&command), view.apply(entry.index, &command))
            }
        };
        entries.push(json!({"index": entry.index, "term": entry.term, "is": said}));
    }
    if call == "dump" {
        let nodes: Vec<String> = view.nodes.values().map(|node| format!("{node:?}")).collect();
        let whole = json!({"term": found.term, "lost": found.lost, "members": names(&found.members),
            "snapshot": found.snapshot.1, "entries": entries, "asFolded": {"revision": view.revision,
            "configuration": serde_json::from_slice::<serde_json::Value>(&view.body).ok(), "nodes": nodes,
            "evacuated": view.evacuated}});
        println!("{whole:#}");
    } else {
        println!(
            "term {}, snapshot at {}, {} entries, members {}{}; if all entries are committed: revision {}, {} marshals",
            found.term,
            found.snapshot.1,
            found.entries.len(),
            names(&found.members),
            if found.lost { ", lost its disk and does not count yet" } else { "" },
            view.revision,
            view.nodes.len()
        );
    }
    Ok(())
}

fn names(members: &[u32]) -> String {
    members.iter().map(|id| Ipv4Addr::from_bits(*id).to_string()).collect::<Vec<_>>().join(" ")
}

fn brief(command: &Command) -> String {
    match command {
        Command::Configure { if_match, revision, packed, .. } => {
            format!("configuration {revision} on {if_match}, {} bytes", packed.len())
        }
        other => format!("{other:?}"),
    }
}
