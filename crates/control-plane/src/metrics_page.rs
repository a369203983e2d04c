//! The metrics page of a control-plane server (`docs/metrics.md`).

use crate::core::Core;
use crate::http_api::OpenConnections;
use milletwing_consensus::Role;
use milletwing_metrics::{Labels, Page};
use milletwing_replicated_state::Phase;
use std::collections::BTreeMap;

/// Renders the current metrics.
pub fn page(core: &Core, connections: &OpenConnections) -> String {
    let mut page = Page::new("milletwing_control");
    let now = core.now();
    let calls = core.metrics.calls.borrow();
    let label = |resource: &&'static str, status: &u16| -> Labels {
        vec![("resource", (*resource).to_owned()), ("status", status.to_string())]
    };
    page.counters(
        "calls",
        "Calls of marshals, operators and clients by resource and status",
        calls.iter().map(|((resource, status), count)| (label(resource, status), *count)),
    );
    page.duration_histogram(
        "disk_wait",
        "From handing out a batch to its being on the disk",
        &core.metrics.disk_waits,
    );
    page.gauge("connections", "Open connections of callers", connections.count() as f64);
    consensus(&mut page, core, now);
    let view = &core.view;
    page.gauge("folded_index", "Last entry of the log that is folded", view.index as f64);
    page.gauge("configuration_revision", "Version of the configuration in force", view.revision as f64);
    page.gauge(
        "state_bytes",
        "Upper bound of the bytes of the replicated state",
        view.max_encoded_size() as f64,
    );
    page.gauge("evacuated_zones", "Zones that are emptied", view.evacuated.len() as f64);
    let mut phases = BTreeMap::from([("warm", 0_u64), ("cold", 0), ("draining", 0), ("ejected", 0)]);
    for node in view.nodes.values() {
        let phase = match node.phase {
            _ if view.suspected.contains_key(&node.id) => "ejected",
            Phase::Warm => "warm",
            Phase::Cold(_) => "cold",
            Phase::Draining => "draining",
        };
        *phases.entry(phase).or_default() += 1;
    }
    let phases = phases.into_iter().map(|(phase, count)| (vec![("phase", phase.to_owned())], count as f64));
    page.gauges("marshals", "Marshals that are known, by phase", phases);
    page.gauge("edges_ready", "Edges that take traffic", core.registry.ready_edges(now).len() as f64);
    page.resident_memory();
    page.render()
}

fn consensus(page: &mut Page, core: &Core, now: u64) {
    let member = &core.member;
    let flag = |set: bool| f64::from(u8::from(set));
    let (commit, last) = member.commit_and_last();
    page.gauge("term", "Term of the consensus", member.term() as f64);
    page.gauge("commit_index", "Last entry that is committed", commit as f64);
    page.gauge("last_index", "Last entry of the log", last.1 as f64);
    page.gauge("leads", "1 where this machine leads", flag(member.role() == Role::Leader));
    page.gauge("has_leader", "1 where this machine leads or knows a leader", flag(member.leader().is_some()));
    page.gauge("members", "Machines that vote", member.members().len() as f64);
    page.gauge("disk_suspended", "1 while the disk takes no writes", flag(member.writes_suspended()));
    page.gauge(
        "start_confirmed",
        "1 once the others were asked since the start",
        flag(member.start_confirmed()),
    );
    if let Some(losses) = member.further_losses(now) {
        page.gauge("further_losses", "Further losses that are borne, at the leader", losses as f64);
    }
}
