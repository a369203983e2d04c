//! Follows the core: one connection to the machine that answers first, resumed at another by the last entry folded. A
//! machine that goes silent, or that doesn't hear its leader, is left for another.

use crate::edge::Edge;
use milletwing_config::event;
use milletwing_drift_detection::Names;
use milletwing_replicated_state::{Command, View};
use milletwing_wire::{self as wire, frame, place, EdgeReport, FromEdge, Greeting, ToEdge};
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

/// Between an edge's beats, and between them while it has something to tell.
const REPORT_INTERVAL: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(250));
/// Hosts told of in one beat, at most.
const MAX_OBSERVATIONS_PER_REPORT: usize = 256;
/// Milliseconds on the way from the edge that was told of a load to this one: half of a beat, of a round among the core's
/// machines and of a pulse, and the links between.
const LOAD_AGE_MS: u64 = 400;
/// A core machine that says nothing for so long is left; its pulse comes five times a second.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(900);
/// One that doesn't hear its leader for so long is left.
const STALE_TIMEOUT: Duration = Duration::from_millis(600);

/// Follows one core machine after the other.
pub async fn follow(edge: Rc<Edge>) {
    let mut cores: Vec<u32> = Vec::new();
    // Machines left lately, and until when.
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
            event!(FeedLost, "{}: {reason}", place(id, port));
            recently_left.push((id, Instant::now() + Duration::from_secs(2)));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Dials all, and takes the first that answers.
async fn connect_first(known: &[u32], port: u16) -> Option<(u32, TcpStream)> {
    let mut connecting = JoinSet::new();
    for id in known.iter().copied() {
        let address: SocketAddrV4 = place(id, port);
        connecting.spawn_local(async move { (id, wire::dial(address, Duration::from_millis(600)).await) });
    }
    while let Some(connected) = connecting.join_next().await {
        if let Ok((id, Ok(stream))) = connected {
            return Some((id, stream));
        }
    }
    None
}

/// Folds what one machine sends, until it is to be left. Gives the reason.
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
    if let Err(error) = writer.write_all(&frame(&greeting)).await {
        return error.to_string();
    }
    let reporter = Rc::clone(edge);
    let report_task = tokio::task::spawn_local(async move {
        let mut has_reports = false;
        let mut idle_rounds = 0;
        loop {
            let interval = if has_reports { REPORT_INTERVAL.0 / 3 } else { REPORT_INTERVAL.1 };
            let changed = tokio::time::timeout(interval, reporter.status_changed.notified()).await.is_ok();
            let now = reporter.now();
            let reports = reporter.router.borrow_mut().reports(now);
            let observed = reporter.router.borrow_mut().observed(MAX_OBSERVATIONS_PER_REPORT);
            has_reports = !reports.is_empty();
            // With nothing to tell, every second one is enough to say that it lives.
            let reflection = reporter.pending_digest.take();
            let sample = reporter.router.borrow_mut().sample();
            let has_updates = !observed.is_empty() || reflection.is_some() || reporter.names_requested.get();
            idle_rounds = if changed || has_reports || has_updates { 0 } else { idle_rounds + 1 };
            if idle_rounds % 2 == 1 {
                continue;
            }
            let (edge, index) = (reporter.status(), reporter.view.borrow().index);
            let report = EdgeReport { edge, index, reports, observed, reflection, sample };
            let mut bytes = frame(&FromEdge::Beat(Box::new(report)));
            if reporter.names_requested.replace(false) {
                let mut names = Names::default();
                reporter.router.borrow().reflect(&mut names);
                bytes.extend(frame(&FromEdge::Names(names)));
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
            // Guards against taking bytes of the message before for a sign of life: silence would be noticed only the second time.
            received.set(false);
            let mut next_message = std::pin::pin!(wire::read::<ToEdge>(&mut reader));
            loop {
                match tokio::time::timeout(SILENCE_TIMEOUT, next_message.as_mut()).await {
                    Ok(message) => break message.map_err(|error| error.to_string()),
                    // A long message on a narrow link is not silence.
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
            ToEdge::Whole(packed) => match View::unpacked(&packed) {
                Ok(view) => adopt_view(edge, view),
                Err(error) => break error,
            },
            ToEdge::Renew(packed) => match View::unpacked(&packed) {
                Ok(view) if view.index >= edge.view.borrow().index => {
                    *edge.view.borrow_mut() = view;
                    edge.rebuild();
                }
                Ok(_) => {} // within its life an edge never goes back
                Err(error) => break error,
            },
            ToEdge::Repair(step) => edge.apply_repair(step),
            ToEdge::Names => edge.names_requested.set(true),
            ToEdge::Entries(entries) => {
                if let Err(error) = apply_entries(edge, entries) {
                    break error;
                }
            }
            ToEdge::Pulse { fresh: hears_leader, index, cores: members, edges, loads } => {
                let lags = index < edge.view.borrow().index;
                if !lags {
                    // All that edges are told up to there came before on this connection; a leader's first entry, or a change
                    // of members, is none of it. Guards against standing behind the core for as long as nothing else comes.
                    edge.view.borrow_mut().index = index;
                }
                if hears_leader && !lags {
                    last_fresh = Instant::now();
                    edge.router.borrow_mut().heard(edge.now());
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
                    router.edges(edges);
                    router.loads(now, &loads, LOAD_AGE_MS);
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

/// Notes that bytes came.
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

/// Takes a whole state, unless it is older than what is folded: within its life an edge never goes back.
fn adopt_view(edge: &Edge, view: View) {
    if view.index > edge.view.borrow().index {
        *edge.view.borrow_mut() = view;
        edge.apply_view();
    }
}

fn apply_entries(edge: &Edge, entries: Vec<(u64, Vec<u8>)>) -> Result<(), String> {
    {
        let view = &mut *edge.view.borrow_mut();
        for (index, bytes) in entries {
            if index > view.index {
                view.apply(index, &Command::read(&bytes)?);
            }
        }
    }
    edge.apply_view();
    Ok(())
}

/// Reads the settings again whenever the file changes.
pub async fn watch_settings(edge: Rc<Edge>, path: PathBuf) {
    wire::watch(path, |settings| *edge.settings.borrow_mut() = settings).await;
}
