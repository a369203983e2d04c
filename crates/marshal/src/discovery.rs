//! Discovery: the list of nodes, by a watch that is always on where changes are pushed, and begun by the
//! module's call where it must be asked.

use crate::buffers::{Buffer, Buffers};
use crate::client::write_all;
use crate::http::{self, Chunks, Framing};
use crate::limits::Limits;
use crate::place::Place;
use crate::stage::{Ask, Note};
use crate::wire;
use crossbeam_channel::{Receiver, Sender, TryRecvError};
use milletwing_decision::interface::{
    Build, FleetUpdateKind, MachineKindId, Ms, NodeEntry, NodeId, NodeState, ZoneId,
};
use milletwing_profile::{index_of, Names};
use serde::Deserialize;
use std::io::{self, Read};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

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
    index_of(list, name).unwrap_or_else(|| {
        list.push(name.to_string());
        list.len() as u32 - 1
    })
}

/// Turns a page into entries. One that can't be read is left out and logged; whether that happened is told too.
pub fn entries(page: &Page, names: &mut Names) -> (Vec<(NodeEntry, SocketAddr)>, bool) {
    let mut out = Vec::with_capacity(page.servers.len());
    let mut whole = true;
    for server in &page.servers {
        let Some(state) = wire::state(&server.state) else {
            log::warn!("discovery: {} has an unknown state", server.id.escape_debug());
            whole = false;
            continue;
        };
        let addr = match server.addr.parse::<SocketAddr>() {
            Ok(addr) => addr,
            // Nothing is sent to a node that has left.
            Err(_) if state == NodeState::Terminated => SocketAddr::from(([0, 0, 0, 0], 0)),
            Err(_) => {
                log::warn!("discovery: {} has an unreadable address", server.id.escape_debug());
                whole = false;
                continue;
            }
        };
        let entry = NodeEntry {
            node: NodeId(Arc::from(server.id.as_str())),
            zone: ZoneId(add(&mut names.zones, &server.zone)),
            machine_kind: MachineKindId(add(&mut names.machine_kinds, &server.kind)),
            cell: server.cell,
            state,
            weight: server.weight,
            build: Build(server.version_no),
            started: (server.started_ms > 0.0).then_some(Ms(server.started_ms)),
        };
        out.push((entry, addr));
    }
    (out, whole)
}

/// A connection to discovery.
struct Line {
    stream: Arc<TcpStream>,
    host: SocketAddr,
    turn: u64,
}

/// Calls discovery, on a connection that is kept.
pub struct Caller {
    place: Arc<Place>,
    limits: Limits,
    buffers: Buffers,
    line: Option<Line>,
}

impl Caller {
    /// Not connected yet. A list may be longer than any other message: its one buffer is of its own size.
    pub fn new(place: &Arc<Place>, limits: &Limits) -> Caller {
        let limits = Limits { body: limits.list, answer: limits.list, ..limits.clone() };
        let buffers = Buffers::new(limits.head + limits.list, 1);
        Caller { place: place.clone(), limits, buffers, line: None }
    }

    /// One call. After a failure, or where discovery has moved, the next one connects anew.
    pub fn call(&mut self, query: &str, patience: Duration) -> io::Result<Page> {
        let (at, turn) = self.place.now();
        let line = match self.line.take().filter(|line| line.turn == turn) {
            Some(line) => line,
            None => {
                let stream = TcpStream::connect_timeout(&at, self.limits.connect)?;
                stream.set_nodelay(true)?;
                stream.set_write_timeout(Some(self.limits.node_write))?;
                Line { stream: Arc::new(stream), host: at, turn }
            }
        };
        if !self.place.lend(turn, &line.stream) {
            return Err(io::Error::new(io::ErrorKind::NotConnected, "it has moved"));
        }
        let text = format!("GET {}{query} HTTP/1.1\r\nHost: {}\r\n\r\n", wire::LIST, line.host);
        write_all(&*line.stream, &[text.as_bytes()])?;
        let until = Instant::now() + patience;
        let mut buffer = self.buffers.take();
        let (page, keep) = read(&line.stream, &mut buffer, until, &self.limits)?;
        if keep {
            self.line = Some(line);
        }
        Ok(page)
    }

    /// The connection is of no further use.
    pub fn drop_line(&mut self) {
        self.line = None;
    }
}

fn garbled(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn read(
    stream: &TcpStream,
    buffer: &mut Buffer,
    mut until: Instant,
    limits: &Limits,
) -> io::Result<(Page, bool)> {
    let mut chunks = Chunks::default();
    let mut closed = false;
    loop {
        let bytes = buffer.bytes();
        let head = http::answer(bytes, limits).map_err(|_| garbled("no answer in HTTP"))?;
        if let Some(head) = head {
            let after = &bytes[head.length..];
            let (body, rest) = match head.framing {
                Framing::Length(size) => (after.get(..size).map(<[u8]>::to_vec), after.len() > size),
                Framing::UntilClose => (closed.then(|| after.to_vec()), false),
                Framing::Chunked => {
                    let whole = chunks.read(after, limits).map_err(|_| garbled("bad chunks"))?;
                    let joined = || chunks.parts.iter().flat_map(|part| after[part.clone()].iter().copied());
                    (whole.map(|_| joined().collect()), whole.is_some_and(|whole| after.len() > whole))
                }
            };
            if let Some(body) = body {
                if head.status != 200 {
                    return Err(garbled("not answered by 200"));
                }
                let page = serde_json::from_slice(&body).map_err(|problem| garbled(&problem.to_string()))?;
                return Ok((page, head.keep && !rest));
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
        let before = bytes.len();
        let room = buffer.room();
        if room.is_empty() {
            return Err(garbled("longer than a list may be"));
        }
        match (&mut &*stream).read(room) {
            Ok(0) => closed = true,
            Ok(read) => buffer.grow(read),
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            Err(problem) => {
                let came = &buffer.bytes()[..buffer.bytes().len().min(200)];
                log::debug!("discovery: until then {}", came.escape_ascii());
                return Err(problem);
            }
        }
        if before == 0 && !buffer.bytes().is_empty() {
            // Guards against an answer of which only a part comes: what has begun comes at once.
            until = until.min(Instant::now() + limits.rest_of_answer);
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
        let mut turn = self.caller.place.now().1;
        // The whole list is wanted, whatever version we hold: discovery has moved, or an entry was unreadable.
        let (mut anew, mut doubted) = (false, false);
        loop {
            if self.caller.place.over() {
                return;
            }
            let before = std::mem::replace(&mut turn, self.caller.place.now().1);
            (anew, pause) = if before == turn { (anew, pause) } else { (true, limits.retry_first) };
            // What the module asks for; a call that fails, or a watch that breaks, is told as unavailable.
            let ask = if watching || anew {
                match asks.try_recv() {
                    Ok(ask) => Some(ask),
                    Err(TryRecvError::Empty) => None,
                    Err(TryRecvError::Disconnected) => return,
                }
            } else {
                match asks.recv() {
                    Ok(ask) => Some(ask),
                    Err(_) => return,
                }
            };
            let query = if anew || ask == Some(Ask::Fetch) {
                String::new()
            } else {
                // The answer to the call that begins a watch is due at once, even if nothing has changed.
                let wait = if ask.is_some() { Duration::ZERO } else { limits.watch };
                let [index, word] = wire::WATCH;
                format!("?{index}={}&{word}={}", self.version, wait.as_millis())
            };
            let mut told = self.caller.call(&query, limits.watch + limits.watch_margin).map(|page| {
                let (entries, whole) = entries(&page, &mut self.names);
                (page, entries, whole)
            });
            // An answer is true if it can be read whole. Guards against losing the change that an unreadable entry
            // held: the whole list is asked for once more. If it says the same again, the rest of it counts.
            if let Ok((_, _, false)) = told {
                self.caller.drop_line();
                if !doubted {
                    told = Err(garbled("an entry that can't be read"));
                }
                (anew, doubted) = (!doubted, !doubted);
            }
            match told {
                Ok((page, entries, whole)) => {
                    pause = limits.retry_first;
                    (anew, doubted) = (false, doubted && !whole);
                    watching |= ask == Some(Ask::Subscribe);
                    let form = if page.full { FleetUpdateKind::Replace } else { FleetUpdateKind::Update };
                    self.version = page.version;
                    let news = page.full || !entries.is_empty() || ask.is_some();
                    if news && notes.send(Note::Fleet(form, entries)).is_err() {
                        return;
                    }
                }
                Err(problem) => {
                    log::warn!("discovery: {problem}");
                    let moved = self.caller.place.now().1 != turn;
                    // A move is no failure: the list is asked for anew at the new address, and the watch goes on.
                    if ask.is_some() || (self.asked && !moved && !anew) {
                        watching = !self.asked;
                        if notes.send(Note::Fleet(FleetUpdateKind::Unavailable, Vec::new())).is_err() {
                            return;
                        }
                    }
                    if watching || anew {
                        // The list stays; the next call comes at once, then with growing pauses.
                        self.caller.place.rest(turn, pause);
                        pause = (pause * 2).min(limits.retry_longest);
                    }
                }
            }
        }
    }
}
