//! Follows the core over one connection, to the machine that accepts it first. After a change of
//! machine, the feed resumes at the last log entry applied. The edge leaves a machine that is
//! silent or has lost contact with its leader.

use crate::edge::Edge;
use milletwing_config::event;
use milletwing_drift_detection::LeafHashes;
use milletwing_replicated_state::{Command, View};
use milletwing_wire::{self as wire, encode_frame, internal_address, EdgeReport, FromEdge, Greeting, ToEdge};
use std::cell::Cell;
use std::net::SocketAddrV4;
use std::path::PathBuf;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, AsyncWriteExt, BufReader, ReadBuf};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio::time::Instant;

/// Interval between reports without updates, and with updates. While a version is on trial and
/// there are results to report, a third of the former is used.
const REPORT_INTERVAL: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(250));
/// Maximum number of hosts whose observations are sent in one report.
const MAX_OBSERVATIONS_PER_REPORT: usize = 256;
/// Typical time in milliseconds that the load of a marshal takes from the edge that received it to
/// this one: half a report interval, half a round among the core machines, half a pulse interval,
/// and the network latency between them.
const LOAD_AGE_MS: u64 = 400;
/// A core machine that sends nothing for this long is left; normally it sends five pulses a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// A core machine that has had no contact with its leader for this long is left.
const STALE_TIMEOUT: Duration = Duration::from_millis(600);

/// Follows one core machine after another.
pub async fn follow(edge: Rc<Edge>) {
    let mut cores: Vec<u32> = Vec::new();
    // Machines that were left recently, and until when they are avoided.
    let mut recently_left: Vec<(u32, Instant)> = Vec::new();
    loop {
        recently_left.retain(|(_, until)| *until > Instant::now());
        let (seeds, port) = {
            let settings = edge.settings.borrow();
            (settings.seeds(), settings.network.internal_ports.0)
        };
        let mut known = cores.clone();
        known.extend(seeds);
        known.sort_unstable();
        known.dedup();
        let candidates: Vec<u32> = known
            .iter()
            .copied()
            .filter(|id| !recently_left.iter().any(|(left_id, _)| left_id == id))
            .collect();
        if let Some((id, stream)) =
            connect_first(if candidates.is_empty() { &known } else { &candidates }, port).await
        {
            let (reader, writer) = stream.into_split();
            let reason = listen(&edge, reader, writer, &mut cores).await;
            event!(FeedLost, "{}: {reason}", internal_address(id, port));
            recently_left.push((id, Instant::now() + Duration::from_secs(2)));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Connects to all machines at once and takes the first connection that is established.
async fn connect_first(known: &[u32], port: u16) -> Option<(u32, TcpStream)> {
    let mut connecting = JoinSet::new();
    for id in known.iter().copied() {
        let address: SocketAddrV4 = internal_address(id, port);
        connecting.spawn_local(async move { (id, wire::connect(address, Duration::from_millis(600)).await) });
    }
    while let Some(connected) = connecting.join_next().await {
        if let Ok((id, Ok(stream))) = connected {
            return Some((id, stream));
        }
    }
    None
}

/// Applies the messages of one core machine until the machine has to be left, and updates `cores`
/// with the members of the core. Returns the reason for leaving.
pub async fn listen(
    edge: &Rc<Edge>,
    reader: impl AsyncRead + Unpin,
    mut writer: impl AsyncWrite + Unpin + 'static,
    cores: &mut Vec<u32>,
) -> String {
    let received = Rc::new(Cell::new(false));
    let mut reader =
        BufReader::with_capacity(4096, ActivityReader { reader, received: Rc::clone(&received) });
    let greeting = Greeting::Edge(edge.status(), edge.view.borrow().index);
    if let Err(error) = writer.write_all(&encode_frame(&greeting)).await {
        return error.to_string();
    }
    let reporter = Rc::clone(edge);
    let report_task = tokio::task::spawn_local(async move {
        let mut has_trial_reports = false;
        let mut idle_rounds = 0;
        loop {
            let interval = if has_trial_reports { REPORT_INTERVAL.0 / 3 } else { REPORT_INTERVAL.1 };
            let changed = tokio::time::timeout(interval, reporter.status_changed.notified()).await.is_ok();
            let now = reporter.now();
            let reports = reporter.router.borrow_mut().trial_reports(now);
            let observed = reporter.router.borrow_mut().take_observations(MAX_OBSERVATIONS_PER_REPORT);
            has_trial_reports = !reports.is_empty();
            // Without updates, every second report is enough to show that the edge is alive.
            let table_digest = reporter.pending_digest.take();
            let sample = reporter.router.borrow_mut().take_sample();
            let has_updates =
                !observed.is_empty() || table_digest.is_some() || reporter.names_requested.get();
            idle_rounds = if changed || has_trial_reports || has_updates { 0 } else { idle_rounds + 1 };
            if idle_rounds % 2 == 1 {
                continue;
            }
            let (edge, index) = (reporter.status(), reporter.view.borrow().index);
            let report = EdgeReport { edge, index, reports, observed, table_digest, sample };
            let mut bytes = encode_frame(&FromEdge::Report(Box::new(report)));
            if reporter.names_requested.replace(false) {
                let mut names = LeafHashes::default();
                reporter.router.borrow().export_state(&mut names);
                bytes.extend(encode_frame(&FromEdge::LeafHashes(names)));
            }
            if writer.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut last_fresh = Instant::now();
    let mut announced = false;
    let reason = loop {
        let message = {
            // Bytes of the previous message must not count as activity: silence would be detected
            // only after a second timeout.
            received.set(false);
            let mut next_message = std::pin::pin!(wire::read_frame::<ToEdge>(&mut reader));
            loop {
                match tokio::time::timeout(SILENCE_TIMEOUT, next_message.as_mut()).await {
                    Ok(message) => break message.map_err(|error| error.to_string()),
                    // A long message on a slow link is not silence.
                    Err(_) if received.replace(false) => {}
                    Err(_) => break Err("silent".into()),
                }
            }
        };
        let message = match message {
            Ok(message) => message,
            Err(error) => break error,
        };
        match message {
            ToEdge::Snapshot(packed) => match View::from_compressed(&packed) {
                Ok(view) => adopt_view(edge, view),
                Err(error) => break error,
            },
            ToEdge::Rebuild(packed) => match View::from_compressed(&packed) {
                Ok(view) if view.index >= edge.view.borrow().index => {
                    log_evacuations(&evacuated_zones(&edge.view.borrow()), &view);
                    *edge.view.borrow_mut() = view;
                    edge.rebuild();
                }
                Ok(_) => {} // an edge never goes back to an older state while it runs
                Err(error) => break error,
            },
            ToEdge::Repair(step) => edge.apply_repair(step),
            ToEdge::LeafHashes => edge.names_requested.set(true),
            ToEdge::Entries(entries) => {
                if let Err(error) = apply_entries(edge, entries) {
                    break error;
                }
            }
            ToEdge::Heartbeat { leader_contact: hears_leader, index, cores: members, edges, loads } => {
                let lags = index < edge.view.borrow().index;
                if !lags {
                    // Everything that edges receive up to this entry came earlier on this
                    // connection. A leader's first entry and a change of members are not sent to
                    // edges, so without this the index would lag behind the core until the next
                    // entry that is.
                    edge.view.borrow_mut().index = index;
                }
                if hears_leader && !lags {
                    last_fresh = Instant::now();
                    edge.router.borrow_mut().core_heard(edge.now());
                    if !announced {
                        announced = true;
                        event!(FeedUp, "as of entry {index}");
                    }
                } else if last_fresh.elapsed() > STALE_TIMEOUT {
                    break "core machine lost contact with its leader, or lags".into();
                }
                *cores = members;
                let now = edge.now();
                {
                    let router = &mut *edge.router.borrow_mut();
                    router.set_edge_count(edges);
                    router.apply_shared_loads(now, &loads, LOAD_AGE_MS);
                }
                // The core has made its own digest as of this entry.
                if index == edge.view.borrow().index {
                    edge.update_digest(now);
                }
            }
        }
    };
    report_task.abort();
    reason
}

/// A reader that records when bytes are received.
struct ActivityReader<R> {
    reader: R,
    received: Rc<Cell<bool>>,
}

impl<R: AsyncRead + Unpin> AsyncRead for ActivityReader<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.reader).poll_read(context, buffer);
        if polled.is_ready() {
            self.received.set(true);
        }
        polled
    }
}

/// Adopts a full state, unless it is older than the current one: an edge never goes back to an
/// older state while it runs.
fn adopt_view(edge: &Edge, view: View) {
    if view.index > edge.view.borrow().index {
        let before = std::mem::replace(&mut *edge.view.borrow_mut(), view);
        log_evacuations(&evacuated_zones(&before), &edge.view.borrow());
        edge.apply_view();
    }
}

/// Names of the evacuated zones.
fn evacuated_zones(view: &View) -> Vec<String> {
    view.evacuated.keys().cloned().collect()
}

/// Logs which zones have been evacuated or returned to service.
fn log_evacuations(before: &[String], view: &View) {
    for zone in view.evacuated.keys().filter(|zone| !before.contains(zone)) {
        event!(Evacuated, "entry {}: {zone} is evacuated", view.index);
    }
    for zone in before.iter().filter(|zone| !view.evacuated.contains_key(*zone)) {
        event!(Evacuated, "entry {}: {zone} is no longer evacuated", view.index);
    }
}

fn apply_entries(edge: &Edge, entries: Vec<(u64, Vec<u8>)>) -> Result<(), String> {
    {
        let view = &mut *edge.view.borrow_mut();
        for (index, bytes) in entries {
            if index > view.index {
                let before = evacuated_zones(view);
                view.apply(index, &Command::from_bytes(&bytes)?);
                log_evacuations(&before, view);
            }
        }
    }
    edge.apply_view();
    Ok(())
}

/// Reloads the settings whenever their file changes.
pub async fn watch_settings(edge: Rc<Edge>, path: PathBuf) {
    wire::watch_settings(path, |settings| *edge.settings.borrow_mut() = settings).await;
}
