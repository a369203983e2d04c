//! Discovery: the list of nodes, by a watch that is always on where changes are pushed, and begun by the
//! module's call where it must be asked.

use crate::buffers::{Buffer, Buffers};
use crate::http::{self, Chunks, Framing};
use crate::limits::Limits;
use crate::relay::write_all;
use crate::route::Note;
use crate::wire;
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use milletwing_decision::interface::{Build, FleetForm, KindId, Ms, NodeEntry, NodeId, NodeState, ZoneId};
use milletwing_profile::{position, Names};
use serde::Deserialize;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// What the module asks of discovery.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Ask {
    /// To be told of changes from now on.
    Subscribe,
    /// The whole list, once.
    Fetch,
}

/// A list as discovery words it; fields not known here are skipped.
#[derive(Debug, Default, Deserialize)]
pub struct Page {
    /// Its version.
    pub version: u64,
    /// Whether it is whole.
    #[serde(default)]
    pub full: bool,
    /// Its entries.
    #[serde(default)]
    pub servers: Vec<Server>,
}

/// An entry as discovery words it.
#[derive(Debug, Deserialize)]
pub struct Server {
    id: String,
    addr: String,
    #[serde(default)]
    zone: String,
    #[serde(default)]
    kind: String,
    #[serde(default)]
    cell: u32,
    state: String,
    #[serde(default = "one")]
    weight: f64,
    #[serde(default)]
    started_ms: f64,
    #[serde(default)]
    version_no: u32,
}

fn one() -> f64 {
    1.0
}

fn add(list: &mut Vec<String>, name: &str) -> u32 {
    position(list, name).unwrap_or_else(|| {
        list.push(name.to_string());
        list.len() as u32 - 1
    })
}

/// Turns a page into entries. One that can't be read is left out and logged: the others still count.
pub fn entries(page: &Page, names: &mut Names) -> Vec<(NodeEntry, SocketAddr)> {
    let mut out = Vec::with_capacity(page.servers.len());
    for server in &page.servers {
        let Some(state) = wire::state(&server.state) else {
            log::warn!("discovery: {} has an unknown state", server.id.escape_debug());
            continue;
        };
        let addr = match server.addr.parse::<SocketAddr>() {
            Ok(addr) => addr,
            // Nothing is sent to a node that has left.
            Err(_) if state == NodeState::Terminated => SocketAddr::from(([0, 0, 0, 0], 0)),
            Err(_) => {
                log::warn!("discovery: {} has an unreadable address", server.id.escape_debug());
                continue;
            }
        };
        let entry = NodeEntry {
            node: NodeId(Arc::from(server.id.as_str())),
            zone: ZoneId(add(&mut names.zones, &server.zone)),
            kind: KindId(add(&mut names.kinds, &server.kind)),
            cell: server.cell,
            state,
            weight: server.weight,
            build: Build(server.version_no),
            started: (server.started_ms > 0.0).then_some(Ms(server.started_ms)),
        };
        out.push((entry, addr));
    }
    out
}

/// A connection to discovery.
pub struct Line {
    stream: TcpStream,
    host: SocketAddr,
}

/// Calls discovery, on a connection that is kept.
pub struct Caller {
    at: SocketAddr,
    limits: Limits,
    buffers: Buffers,
    line: Option<Line>,
}

impl Caller {
    /// Not connected yet.
    pub fn new(at: SocketAddr, limits: &Limits, buffers: &Buffers) -> Caller {
        Caller { at, limits: limits.clone(), buffers: buffers.clone(), line: None }
    }

    /// One call. After a failure the next one connects anew.
    pub fn call(&mut self, query: &str, patience: Duration) -> io::Result<Page> {
        let line = match self.line.take() {
            Some(line) => line,
            None => {
                let stream = TcpStream::connect_timeout(&self.at, self.limits.connect)?;
                stream.set_nodelay(true)?;
                stream.set_write_timeout(Some(self.limits.node_write))?;
                Line { stream, host: self.at }
            }
        };
        let text = format!("GET {}{query} HTTP/1.1\r\nHost: {}\r\n\r\n", wire::LIST, line.host);
        write_all(&line.stream, &[text.as_bytes()])?;
        let until = Instant::now() + patience;
        let mut buffer = self.buffers.take();
        let (page, keep) = read(&line.stream, &mut buffer, until, &self.limits)?;
        if keep {
            self.line = Some(line);
        }
        Ok(page)
    }
}

fn garbled(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn read(
    stream: &TcpStream,
    buffer: &mut Buffer,
    until: Instant,
    limits: &Limits,
) -> io::Result<(Page, bool)> {
    let mut chunks = Chunks::default();
    let mut closed = false;
    loop {
        let bytes = buffer.bytes();
        let head = http::answer(bytes, limits).map_err(|_| garbled("no answer in HTTP"))?;
        if let Some(head) = head {
            let after = &bytes[head.length..];
            let body = match head.framing {
                Framing::Length(size) => after.get(..size).map(<[u8]>::to_vec),
                Framing::UntilClose => closed.then(|| after.to_vec()),
                Framing::Chunked => {
                    let whole = chunks.read(after, limits).map_err(|_| garbled("bad chunks"))?;
                    let joined = || chunks.parts.iter().flat_map(|part| after[part.clone()].iter().copied());
                    whole.map(|_| joined().collect())
                }
            };
            if let Some(body) = body {
                if head.status != 200 {
                    return Err(garbled("not answered by 200"));
                }
                let page = serde_json::from_slice(&body).map_err(|problem| garbled(&problem.to_string()))?;
                return Ok((page, head.keep));
            }
        }
        if closed {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let room = buffer.room();
        if room.is_empty() {
            return Err(garbled("longer than a list may be"));
        }
        match (&mut &*stream).read(room) {
            Ok(0) => closed = true,
            Ok(read) => buffer.grow(read),
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            Err(problem) => return Err(problem),
        }
    }
}

/// The watch: each answer is passed on, and the next call made at once.
pub struct Watch {
    /// Calls discovery.
    pub caller: Caller,
    /// Names met so far.
    pub names: Names,
    /// The version held.
    pub version: u64,
    /// Whether the module must ask.
    pub asked: bool,
}

impl Watch {
    /// Works until the decision thread has ended.
    pub fn run(mut self, asks: &Receiver<Ask>, notes: &Sender<Note>) {
        let limits = self.caller.limits.clone();
        let mut watching = !self.asked;
        let mut pause = limits.retry_first;
        let mut early = None;
        loop {
            // What the module asks for; a call that fails, or a watch that breaks, is told as unavailable.
            let ask = if let Some(ask) = early.take() {
                Some(ask)
            } else if watching {
                asks.try_recv().ok()
            } else {
                match asks.recv() {
                    Ok(ask) => Some(ask),
                    Err(_) => return,
                }
            };
            let whole = ask == Some(Ask::Fetch);
            let query = if whole {
                String::new()
            } else {
                // The answer to the call that begins a watch is due at once, even if nothing has changed.
                let wait = if ask.is_some() { Duration::ZERO } else { limits.watch };
                let [index, word] = wire::WATCH;
                format!("?{index}={}&{word}={}", self.version, wait.as_millis())
            };
            match self.caller.call(&query, limits.watch + limits.watch_margin) {
                Ok(page) => {
                    pause = limits.retry_first;
                    watching |= ask == Some(Ask::Subscribe);
                    let form = if page.full { FleetForm::Replace } else { FleetForm::Update };
                    let entries = entries(&page, &mut self.names);
                    self.version = page.version;
                    let news = page.full || !entries.is_empty() || ask.is_some();
                    if news && notes.send(Note::Fleet(form, entries)).is_err() {
                        return;
                    }
                }
                Err(problem) => {
                    log::warn!("discovery: {problem}");
                    if self.asked || ask.is_some() {
                        watching = !self.asked;
                        if notes.send(Note::Fleet(FleetForm::Unavailable, Vec::new())).is_err() {
                            return;
                        }
                    }
                    if watching {
                        // The list stays; the next call comes at once, then with growing pauses.
                        match asks.recv_timeout(pause) {
                            Err(RecvTimeoutError::Disconnected) => return,
                            Ok(ask) => early = Some(ask),
                            Err(RecvTimeoutError::Timeout) => {}
                        }
                        pause = (pause * 2).min(limits.retry_longest);
                    }
                }
            }
        }
    }
}
