//! Discovery: the list of nodes, by a watch that is always on where changes are pushed, and begun by the
//! module's call where it must be asked.

use crate::buffers::{Buffer, BufferPool};
use crate::client::write_all;
use crate::endpoint::Endpoint;
use crate::http::{self, ChunkedBody, Framing};
use crate::limits::Limits;
use crate::ports::{DecisionInput, DiscoveryRequest};
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
pub struct NodeList {
    /// Its version.
    pub version: u64,
    /// Whether it is whole.
    #[serde(default)]
    pub full: bool,
    /// Its entries.
    #[serde(default)]
    pub servers: Vec<ListedNode>,
}

/// An entry as discovery words it.
#[derive(Debug, Deserialize)]
pub struct ListedNode {
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

fn index_or_insert(list: &mut Vec<String>, name: &str) -> u32 {
    index_of(list, name).unwrap_or_else(|| {
        list.push(name.to_string());
        list.len() as u32 - 1
    })
}

/// Turns a page into entries. One that can't be read is left out and logged; whether that happened is told too.
pub fn entries(list: &NodeList, names: &mut Names) -> (Vec<(NodeEntry, SocketAddr)>, bool) {
    let mut out = Vec::with_capacity(list.servers.len());
    let mut whole = true;
    for server in &list.servers {
        let Some(state) = wire::node_state(&server.state) else {
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
            zone: ZoneId(index_or_insert(&mut names.zones, &server.zone)),
            machine_kind: MachineKindId(index_or_insert(&mut names.machine_kinds, &server.kind)),
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
struct Connection {
    stream: Arc<TcpStream>,
    host: SocketAddr,
    generation: u64,
}

/// Calls discovery, on a connection that is kept.
pub struct DiscoveryClient {
    endpoint: Arc<Endpoint>,
    limits: Limits,
    buffers: BufferPool,
    connection: Option<Connection>,
}

impl DiscoveryClient {
    /// Not connected yet. A list may be longer than any other message: its one buffer is of its own size.
    pub fn new(endpoint: &Arc<Endpoint>, limits: &Limits) -> DiscoveryClient {
        let limits = Limits {
            max_body_bytes: limits.max_list_bytes,
            max_response_bytes: limits.max_list_bytes,
            ..limits.clone()
        };
        let buffers = BufferPool::new(limits.max_head_bytes + limits.max_list_bytes, 1);
        DiscoveryClient { endpoint: endpoint.clone(), limits, buffers, connection: None }
    }

    /// One call. After a failure, or where discovery has moved, the next one connects anew.
    pub fn call(&mut self, query: &str, timeout: Duration) -> io::Result<NodeList> {
        let (at, generation) = self.endpoint.current();
        let connection = match self.connection.take().filter(|connection| connection.generation == generation)
        {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&at, self.limits.connect_timeout)?;
                stream.set_nodelay(true)?;
                stream.set_write_timeout(Some(self.limits.node_write_timeout))?;
                Connection { stream: Arc::new(stream), host: at, generation }
            }
        };
        if !self.endpoint.register(generation, &connection.stream) {
            return Err(io::Error::new(io::ErrorKind::NotConnected, "it has moved"));
        }
        let text =
            format!("GET {}{query} HTTP/1.1\r\nHost: {}\r\n\r\n", wire::NODE_LIST_PATH, connection.host);
        write_all(&*connection.stream, &[text.as_bytes()])?;
        let until = Instant::now() + timeout;
        let mut buffer = self.buffers.take();
        let (list, keep) = read(&connection.stream, &mut buffer, until, &self.limits)?;
        if keep {
            self.connection = Some(connection);
        }
        Ok(list)
    }

    /// The connection is of no further use.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }
}

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn read(
    stream: &TcpStream,
    buffer: &mut Buffer,
    mut until: Instant,
    limits: &Limits,
) -> io::Result<(NodeList, bool)> {
    let mut chunks = ChunkedBody::default();
    let mut closed = false;
    loop {
        let bytes = buffer.bytes();
        let head = http::answer(bytes, limits).map_err(|_| invalid_data("no answer in HTTP"))?;
        if let Some(head) = head {
            let after = &bytes[head.length..];
            let (body, rest) = match head.framing {
                Framing::Length(size) => (after.get(..size).map(<[u8]>::to_vec), after.len() > size),
                Framing::UntilClose => (closed.then(|| after.to_vec()), false),
                Framing::Chunked => {
                    let whole = chunks.read(after, limits).map_err(|_| invalid_data("bad chunks"))?;
                    let joined = || chunks.parts.iter().flat_map(|part| after[part.clone()].iter().copied());
                    (whole.map(|_| joined().collect()), whole.is_some_and(|whole| after.len() > whole))
                }
            };
            if let Some(body) = body {
                if head.status != 200 {
                    return Err(invalid_data("not answered by 200"));
                }
                let list =
                    serde_json::from_slice(&body).map_err(|problem| invalid_data(&problem.to_string()))?;
                return Ok((list, head.keep && !rest));
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
        let room = buffer.spare_capacity();
        if room.is_empty() {
            return Err(invalid_data("longer than a list may be"));
        }
        match (&mut &*stream).read(room) {
            Ok(0) => closed = true,
            Ok(read) => buffer.advance(read),
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            Err(problem) => {
                let received = &buffer.bytes()[..buffer.bytes().len().min(200)];
                log::debug!("discovery: until then {}", received.escape_ascii());
                return Err(problem);
            }
        }
        if before == 0 && !buffer.bytes().is_empty() {
            // Guards against an answer of which only a part comes: what has begun comes at once.
            until = until.min(Instant::now() + limits.partial_response_timeout);
        }
    }
}

/// The watch: each answer is passed on, and the next call made at once.
pub struct DiscoveryWatch {
    /// Calls discovery.
    pub client: DiscoveryClient,
    /// Names met so far.
    pub names: Names,
    /// The version held.
    pub version: u64,
    /// Whether the module must ask.
    pub on_request: bool,
}

impl DiscoveryWatch {
    /// Works until the decision thread has ended.
    pub fn run(mut self, requests: &Receiver<DiscoveryRequest>, inputs: &Sender<DecisionInput>) {
        let limits = self.client.limits.clone();
        let mut watching = !self.on_request;
        let mut retry_delay = limits.first_retry_delay;
        let mut generation = self.client.endpoint.current().1;
        // The whole list is wanted, whatever version we hold: discovery has moved, or an entry was unreadable.
        let (mut refetch, mut unreadable_before) = (false, false);
        loop {
            if self.client.endpoint.is_closed() {
                return;
            }
            let before = std::mem::replace(&mut generation, self.client.endpoint.current().1);
            (refetch, retry_delay) =
                if before == generation { (refetch, retry_delay) } else { (true, limits.first_retry_delay) };
            // What the module asks for; a call that fails, or a watch that breaks, is told as unavailable.
            let request = if watching || refetch {
                match requests.try_recv() {
                    Ok(request) => Some(request),
                    Err(TryRecvError::Empty) => None,
                    Err(TryRecvError::Disconnected) => return,
                }
            } else {
                match requests.recv() {
                    Ok(request) => Some(request),
                    Err(_) => return,
                }
            };
            let query = if refetch || request == Some(DiscoveryRequest::Fetch) {
                String::new()
            } else {
                // The answer to the call that begins a watch is due at once, even if nothing has changed.
                let wait = if request.is_some() { Duration::ZERO } else { limits.watch_wait };
                let [index, word] = wire::WATCH_PARAMETERS;
                format!("?{index}={}&{word}={}", self.version, wait.as_millis())
            };
            let mut response =
                self.client.call(&query, limits.watch_wait + limits.watch_margin).map(|list| {
                    let (entries, whole) = entries(&list, &mut self.names);
                    (list, entries, whole)
                });
            // An answer is true if it can be read whole. Guards against losing the change that an unreadable entry
            // held: the whole list is asked for once more. If it says the same again, the rest of it counts.
            if let Ok((_, _, false)) = response {
                self.client.disconnect();
                if !unreadable_before {
                    response = Err(invalid_data("an entry that can't be read"));
                }
                (refetch, unreadable_before) = (!unreadable_before, !unreadable_before);
            }
            match response {
                Ok((list, entries, whole)) => {
                    retry_delay = limits.first_retry_delay;
                    (refetch, unreadable_before) = (false, unreadable_before && !whole);
                    watching |= request == Some(DiscoveryRequest::Subscribe);
                    let kind = if list.full { FleetUpdateKind::Replace } else { FleetUpdateKind::Update };
                    self.version = list.version;
                    let changed = list.full || !entries.is_empty() || request.is_some();
                    if changed && inputs.send(DecisionInput::FleetUpdate(kind, entries)).is_err() {
                        return;
                    }
                }
                Err(problem) => {
                    log::warn!("discovery: {problem}");
                    let moved = self.client.endpoint.current().1 != generation;
                    // A move is no failure: the list is asked for anew at the new address, and the watch goes on.
                    if request.is_some() || (self.on_request && !moved && !refetch) {
                        watching = !self.on_request;
                        if inputs
                            .send(DecisionInput::FleetUpdate(FleetUpdateKind::Unavailable, Vec::new()))
                            .is_err()
                        {
                            return;
                        }
                    }
                    if watching || refetch {
                        // The list stays; the next call comes at once, then with growing pauses.
                        self.client.endpoint.pause(generation, retry_delay);
                        retry_delay = (retry_delay * 2).min(limits.max_retry_delay);
                    }
                }
            }
        }
    }
}
