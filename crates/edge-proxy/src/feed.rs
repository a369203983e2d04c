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
const BEAT: (Duration, Duration) = (Duration::from_millis(500), Duration::from_millis(250));
/// Hosts told of in one beat, at most.
const MOST_OBSERVED: usize = 256;
/// Milliseconds on the way from the edge that was told of a load to this one: half of a beat, of a round among the core's
/// machines and of a pulse, and the links between.
const SHARED: u64 = 400;
/// A core machine that says nothing for so long is left; its pulse comes five times a second.
const SILENCE: Duration = Duration::from_millis(900);
/// One that doesn't hear its leader for so long is left.
const STALE: Duration = Duration::from_millis(600);

/// Follows one core machine after the other.
pub async fn follow(edge: Rc<Edge>) {
    let mut cores: Vec<u32> = Vec::new();
    // Machines left lately, and until when.
    let mut left: Vec<(u32, Instant)> = Vec::new();
    loop {
        left.retain(|(_, until)| *until > Instant::now());
        let (seeds, port) = {
            let settings = edge.settings.borrow();
            (settings.seeds(), settings.network.internal_ports.0)
        };
        let mut all = cores.clone();
        all.extend(seeds);
        all.sort_unstable();
        all.dedup();
        let some: Vec<u32> =
            all.iter().copied().filter(|id| !left.iter().any(|(gone, _)| gone == id)).collect();
        if let Some((id, stream)) = nearest(if some.is_empty() { &all } else { &some }, port).await {
            let (read, write) = stream.into_split();
            let why = listen(&edge, read, write, &mut cores).await;
            event!(FeedLost, "{}: {why}", place(id, port));
            left.push((id, Instant::now() + Duration::from_secs(2)));
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
}

/// Dials all, and takes the first that answers.
async fn nearest(all: &[u32], port: u16) -> Option<(u32, TcpStream)> {
    let mut dials = JoinSet::new();
    for id in all.iter().copied() {
        let to: SocketAddrV4 = place(id, port);
        dials.spawn_local(async move { (id, wire::dial(to, Duration::from_millis(600)).await) });
    }
    while let Some(done) = dials.join_next().await {
        if let Ok((id, Ok(stream))) = done {
            return Some((id, stream));
        }
    }
    None
}

/// Folds what one machine sends, until it is to be left. Gives the reason.
pub async fn listen(
    edge: &Rc<Edge>,
    read: impl AsyncRead + Unpin,
    mut write: impl AsyncWrite + Unpin + 'static,
    cores: &mut Vec<u32>,
) -> String {
    let came = Rc::new(Cell::new(false));
    let mut read = BufReader::with_capacity(4096, Noted { read, came: Rc::clone(&came) });
    let greeting = Greeting::Edge(edge.heard(), edge.view.borrow().index);
    if let Err(problem) = write.write_all(&frame(&greeting)).await {
        return problem.to_string();
    }
    let beating = Rc::clone(edge);
    let beats = tokio::task::spawn_local(async move {
        let mut trials = false;
        let mut idle = 0;
        loop {
            let pause = if trials { BEAT.0 / 3 } else { BEAT.1 };
            let changed = tokio::time::timeout(pause, beating.changed.notified()).await.is_ok();
            let now = beating.now();
            let reports = beating.router.borrow_mut().trial_reports(now);
            let observed = beating.router.borrow_mut().take_observations(MOST_OBSERVED);
            trials = !reports.is_empty();
            // With nothing to tell, every second one is enough to say that it lives.
            let reflection = beating.reflection.take();
            let sample = beating.router.borrow_mut().take_sample();
            let news = !observed.is_empty() || reflection.is_some() || beating.asked.get();
            idle = if changed || trials || news { 0 } else { idle + 1 };
            if idle % 2 == 1 {
                continue;
            }
            let (edge, index) = (beating.heard(), beating.view.borrow().index);
            let said = EdgeReport { edge, index, reports, observed, reflection, sample };
            let mut bytes = frame(&FromEdge::Beat(Box::new(said)));
            if beating.asked.replace(false) {
                let mut names = Names::default();
                beating.router.borrow().export_state(&mut names);
                bytes.extend(frame(&FromEdge::Names(names)));
            }
            if write.write_all(&bytes).await.is_err() {
                return;
            }
        }
    });
    let mut fresh = Instant::now();
    let mut said = false;
    let why = loop {
        let down = {
            // Guards against taking bytes of the message before for a sign of life: silence would be noticed only the second time.
            came.set(false);
            let mut reading = std::pin::pin!(wire::read::<ToEdge>(&mut read));
            loop {
                match tokio::time::timeout(SILENCE, reading.as_mut()).await {
                    Ok(down) => break down.map_err(|problem| problem.to_string()),
                    // A long message on a narrow link is not silence.
                    Err(_) if came.replace(false) => {}
                    Err(_) => break Err("silent".into()),
                }
            }
        };
        let down = match down {
            Ok(down) => down,
            Err(problem) => break problem,
        };
        match down {
            ToEdge::Whole(packed) => match View::unpacked(&packed) {
                Ok(view) => whole(edge, view),
                Err(problem) => break problem,
            },
            ToEdge::Renew(packed) => match View::unpacked(&packed) {
                Ok(view) if view.index >= edge.view.borrow().index => {
                    *edge.view.borrow_mut() = view;
                    edge.renew();
                }
                Ok(_) => {} // within its life an edge never goes back
                Err(problem) => break problem,
            },
            ToEdge::Repair(step) => edge.repair(step),
            ToEdge::Names => edge.asked.set(true),
            ToEdge::Entries(entries) => {
                if let Err(problem) = fold(edge, entries) {
                    break problem;
                }
            }
            ToEdge::Pulse { fresh: now, index, cores: all, edges, loads } => {
                let behind = index < edge.view.borrow().index;
                if !behind {
                    // All that edges are told up to there came before on this connection; a leader's first entry, or a change
                    // of members, is none of it. Guards against standing behind the core for as long as nothing else comes.
                    edge.view.borrow_mut().index = index;
                }
                if now && !behind {
                    fresh = Instant::now();
                    edge.router.borrow_mut().core_heard(edge.now());
                    if !said {
                        said = true;
                        event!(FeedUp, "as of entry {index}");
                    }
                } else if fresh.elapsed() > STALE {
                    break "it does not hear its leader, or lags".into();
                }
                *cores = all;
                let now = edge.now();
                {
                    let router = &mut *edge.router.borrow_mut();
                    router.set_edge_count(edges);
                    router.apply_shared_loads(now, &loads, SHARED);
                }
                // The core has made its own digest as of this entry.
                if index == edge.view.borrow().index {
                    edge.reflect(now);
                }
            }
        }
    };
    beats.abort();
    why
}

/// Notes that bytes came.
struct Noted<R> {
    read: R,
    came: Rc<Cell<bool>>,
}

impl<R: AsyncRead + Unpin> AsyncRead for Noted<R> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let polled = Pin::new(&mut self.read).poll_read(context, buffer);
        if polled.is_ready() {
            self.came.set(true);
        }
        polled
    }
}

/// Takes a whole state, unless it is older than what is folded: within its life an edge never goes back.
fn whole(edge: &Edge, view: View) {
    if view.index > edge.view.borrow().index {
        *edge.view.borrow_mut() = view;
        edge.refresh();
    }
}

fn fold(edge: &Edge, entries: Vec<(u64, Vec<u8>)>) -> Result<(), String> {
    {
        let view = &mut *edge.view.borrow_mut();
        for (index, bytes) in entries {
            if index > view.index {
                view.apply(index, &Command::read(&bytes)?);
            }
        }
    }
    edge.refresh();
    Ok(())
}

/// Reads the settings again whenever the file changes.
pub async fn watch(edge: Rc<Edge>, path: PathBuf) {
    wire::watch(path, |settings| *edge.settings.borrow_mut() = settings).await;
}
