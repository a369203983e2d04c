//! Discovery: the node list. Where discovery pushes changes, a watch is always active; where it must be asked, a watch
//! begins with the module's request.

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

/// A node list as sent by discovery; unknown fields are ignored.
#[derive(Debug, Default, Deserialize)]
pub struct NodeList {
    /// The version of the list.
    pub version: u64,
    /// Whether the list is complete rather than a list of changes.
    #[serde(default)]
    pub full: bool,
    /// The listed nodes.
    #[serde(default)]
    pub servers: Vec<ListedNode>,
}

/// A node as sent by discovery.
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
    #[serde(default = "default_weight")]
    weight: f64,
    #[serde(default)]
    started_ms: f64,
    #[serde(default)]
    version_no: u32,
}

fn default_weight() -> f64 {
    1.0
}

fn index_or_insert(list: &mut Vec<String>, name: &str) -> u32 {
    index_of(list, name).unwrap_or_else(|| {
        list.push(name.to_string());
        list.len() as u32 - 1
    })
}

/// Converts a list into entries. Entries that cannot be parsed are left out and logged; the second value is false if
/// there were any.
pub fn entries(list: &NodeList, names: &mut Names) -> (Vec<(NodeEntry, SocketAddr)>, bool) {
    let mut result = Vec::with_capacity(list.servers.len());
    let mut all_readable = true;
    for server in &list.servers {
        let Some(state) = wire::node_state(&server.state) else {
            log::warn!("discovery: node {} has an unknown state", server.id.escape_debug());
            all_readable = false;
            continue;
        };
        let addr = match server.addr.parse::<SocketAddr>() {
            Ok(addr) => addr,
            // Nothing is sent to a node that has terminated, so that it needs no address.
            Err(_) if state == NodeState::Terminated => SocketAddr::from(([0, 0, 0, 0], 0)),
            Err(_) => {
                log::warn!("discovery: node {} has an invalid address", server.id.escape_debug());
                all_readable = false;
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
        result.push((entry, addr));
    }
    (result, all_readable)
}

/// A connection to discovery.
struct Connection {
    stream: Arc<TcpStream>,
    address: SocketAddr,
    generation: u64,
}

/// Calls discovery, on a connection that is kept open.
pub struct DiscoveryClient {
    endpoint: Arc<Endpoint>,
    limits: Limits,
    buffers: BufferPool,
    connection: Option<Connection>,
}

impl DiscoveryClient {
    /// Creates a client that is not connected yet. A list may be longer than any other message, so that its buffer has
    /// a size of its own.
    pub fn new(endpoint: &Arc<Endpoint>, limits: &Limits) -> DiscoveryClient {
        let limits = Limits {
            max_body_bytes: limits.max_list_bytes,
            max_response_bytes: limits.max_list_bytes,
            ..limits.clone()
        };
        let buffers = BufferPool::new(limits.max_head_bytes + limits.max_list_bytes, 1);
        DiscoveryClient { endpoint: endpoint.clone(), limits, buffers, connection: None }
    }

    /// Makes one call. After a failure, or if discovery's address has changed, the next call makes a new connection.
    pub fn call(&mut self, query: &str, timeout: Duration) -> io::Result<NodeList> {
        let (address, generation) = self.endpoint.current();
        let connection = match self.connection.take().filter(|connection| connection.generation == generation)
        {
            Some(connection) => connection,
            None => {
                let stream = TcpStream::connect_timeout(&address, self.limits.connect_timeout)?;
                stream.set_nodelay(true)?;
                stream.set_write_timeout(Some(self.limits.node_write_timeout))?;
                Connection { stream: Arc::new(stream), address, generation }
            }
        };
        if !self.endpoint.register(generation, &connection.stream) {
            return Err(io::Error::new(io::ErrorKind::NotConnected, "discovery's address has changed"));
        }
        let text =
            format!("GET {}{query} HTTP/1.1\r\nHost: {}\r\n\r\n", wire::NODE_LIST_PATH, connection.address);
        write_all(&*connection.stream, &[text.as_bytes()])?;
        let deadline = Instant::now() + timeout;
        let mut buffer = self.buffers.take();
        let (list, keep) = read_response(&connection.stream, &mut buffer, deadline, &self.limits)?;
        if keep {
            self.connection = Some(connection);
        }
        Ok(list)
    }

    /// Drops the connection.
    pub fn disconnect(&mut self) {
        self.connection = None;
    }
}

fn invalid_data(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}

fn read_response(
    stream: &TcpStream,
    buffer: &mut Buffer,
    mut deadline: Instant,
    limits: &Limits,
) -> io::Result<(NodeList, bool)> {
    let mut chunks = ChunkedBody::default();
    let mut closed = false;
    loop {
        let bytes = buffer.bytes();
        let head =
            http::parse_response(bytes, limits).map_err(|_| invalid_data("the response is not HTTP"))?;
        if let Some(head) = head {
            let after = &bytes[head.length..];
            let (body, has_trailing_bytes) = match head.framing {
                Framing::Length(size) => (after.get(..size).map(<[u8]>::to_vec), after.len() > size),
                Framing::UntilClose => (closed.then(|| after.to_vec()), false),
                Framing::Chunked => {
                    let whole = chunks
                        .read(after, limits)
                        .map_err(|_| invalid_data("the chunked body is malformed"))?;
                    let joined = || chunks.parts.iter().flat_map(|part| after[part.clone()].iter().copied());
                    (whole.map(|_| joined().collect()), whole.is_some_and(|whole| after.len() > whole))
                }
            };
            if let Some(body) = body {
                if head.status != 200 {
                    return Err(invalid_data("the response status is not 200"));
                }
                let list =
                    serde_json::from_slice(&body).map_err(|problem| invalid_data(&problem.to_string()))?;
                return Ok((list, head.keep && !has_trailing_bytes));
            }
        }
        if closed {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let left = deadline.saturating_duration_since(Instant::now());
        if left.is_zero() {
            return Err(io::ErrorKind::TimedOut.into());
        }
        stream.set_read_timeout(Some(left))?;
        let received_before = bytes.len();
        let spare = buffer.spare_capacity();
        if spare.is_empty() {
            return Err(invalid_data("the list exceeds the size limit"));
        }
        match (&mut &*stream).read(spare) {
            Ok(0) => closed = true,
            Ok(read) => buffer.advance(read),
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            Err(problem) => {
                let received = &buffer.bytes()[..buffer.bytes().len().min(200)];
                log::debug!("discovery: received before the failure: {}", received.escape_ascii());
                return Err(problem);
            }
        }
        if received_before == 0 && !buffer.bytes().is_empty() {
            // Guards against a response that stops halfway: once begun, the rest must follow promptly.
            deadline = deadline.min(Instant::now() + limits.partial_response_timeout);
        }
    }
}

/// The watch: passes each response on and makes the next call at once.
pub struct DiscoveryWatch {
    /// The client for the calls.
    pub client: DiscoveryClient,
    /// The names of zones and machine kinds seen so far.
    pub names: Names,
    /// The version of the list that is held.
    pub version: u64,
    /// Whether discovery is only asked at the module's request.
    pub on_request: bool,
}

impl DiscoveryWatch {
    /// Runs until the decision thread has ended.
    pub fn run(mut self, requests: &Receiver<DiscoveryRequest>, inputs: &Sender<DecisionInput>) {
        let limits = self.client.limits.clone();
        let mut watching = !self.on_request;
        let mut retry_delay = limits.first_retry_delay;
        let mut generation = self.client.endpoint.current().1;
        // Whether to fetch the complete list regardless of the version held, because discovery's address has changed or
        // an entry was unreadable.
        let (mut refetch, mut unreadable_before) = (false, false);
        loop {
            if self.client.endpoint.is_closed() {
                return;
            }
            let previous = std::mem::replace(&mut generation, self.client.endpoint.current().1);
            (refetch, retry_delay) = if previous == generation {
                (refetch, retry_delay)
            } else {
                (true, limits.first_retry_delay)
            };
            // The module's request, if any; a failed call for it, or a broken watch, is reported as unavailable.
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
                // The call that begins a watch must return at once, even if nothing has changed.
                let wait = if request.is_some() { Duration::ZERO } else { limits.watch_wait };
                let [version, wait_time] = wire::WATCH_PARAMETERS;
                format!("?{version}={}&{wait_time}={}", self.version, wait.as_millis())
            };
            let mut response =
                self.client.call(&query, limits.watch_wait + limits.watch_margin).map(|list| {
                    let (entries, all_readable) = entries(&list, &mut self.names);
                    (list, entries, all_readable)
                });
            // A response counts only if all of it can be parsed. Guards against losing the change in an unreadable
            // entry: the complete list is fetched once more. If it is unreadable again, its readable part counts.
            if let Ok((_, _, false)) = response {
                self.client.disconnect();
                if !unreadable_before {
                    response = Err(invalid_data("the list has an entry that cannot be parsed"));
                }
                (refetch, unreadable_before) = (!unreadable_before, !unreadable_before);
            }
            match response {
                Ok((list, entries, all_readable)) => {
                    retry_delay = limits.first_retry_delay;
                    (refetch, unreadable_before) = (false, unreadable_before && !all_readable);
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
                    // A change of address is not a failure: the list is fetched again from the new address, and the
                    // watch continues.
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
                        // The list stays in effect; the next call follows after a short delay, which then grows.
                        self.client.endpoint.pause(generation, retry_delay);
                        retry_delay = (retry_delay * 2).min(limits.max_retry_delay);
                    }
                }
            }
        }
    }
}
