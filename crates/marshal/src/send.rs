//! Sending: one attempt at a node, written and read by a worker thread on a connection from the node's pool. Whether an
//! attempt may have run is determined by whether its last byte was written; nothing is retried here.

use crate::accounting::{increment, Counters, PendingRequest};
use crate::buffers::{Buffer, BufferPool};
use crate::client::write_all;
use crate::http::{self, ChunkedBody, Framing};
use crate::limits::Limits;
use crate::ports::{AttemptHandle, AttemptOrder, AttemptSender, DecisionInput};
use crate::relay::{self, StreamedResponse};
use crate::wire;
use crate::worker_pool::WorkerPool;
use crossbeam_channel::Sender;
use milletwing_decision::interface::{FleetUpdateKind, NodeEntry, NodeId, NodeState, Outcome};
use std::collections::{HashMap, HashSet};
use std::io::{self, Read};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError, Weak};
use std::time::{Duration, Instant};

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A connection to a node, counted as long as it exists.
pub struct NodeConnection {
    stream: TcpStream,
    open_connections: Arc<AtomicUsize>,
}

impl NodeConnection {
    /// Whether the connection is open, as far as can be seen, and no bytes are waiting on it.
    fn is_quiet(&self) -> bool {
        self.stream.set_nonblocking(true).is_ok()
            && matches!(self.stream.peek(&mut [0]), Err(problem) if problem.kind() == io::ErrorKind::WouldBlock)
            && self.stream.set_nonblocking(false).is_ok()
    }
}

impl Drop for NodeConnection {
    fn drop(&mut self) {
        self.open_connections.fetch_sub(1, SeqCst);
    }
}

/// A node's address and the idle connections to it, the most recently used last.
pub struct Node {
    /// The node's id.
    pub id: NodeId,
    /// The node's address.
    pub addr: SocketAddr,
    idle: Mutex<Vec<(Arc<NodeConnection>, Instant)>>,
    removed: AtomicBool,
}

impl Node {
    /// A node that discovery has listed.
    pub fn new(id: NodeId, addr: SocketAddr) -> Node {
        Node { id, addr, idle: Mutex::default(), removed: AtomicBool::new(false) }
    }
    /// Marks the node as removed: nothing is sent to it any more, and connections in progress are dropped.
    pub fn remove(&self) {
        self.removed.store(true, SeqCst);
        locked(&self.idle).clear();
    }
    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, max_idle_time: Duration) {
        locked(&self.idle).retain(|(_, since)| since.elapsed() < max_idle_time);
    }
    /// The number of idle connections.
    pub fn idle(&self) -> usize {
        locked(&self.idle).len()
    }
}

enum AttemptState {
    /// Not written yet.
    Waiting,
    /// Bound to a connection.
    InFlight(Arc<NodeConnection>),
    /// Cancelled by the module.
    Cancelled,
    /// Timed out.
    TimedOut,
    /// Ended.
    Ended,
}

/// One attempt.
pub struct Attempt {
    /// The request to respond to.
    pub request: Arc<PendingRequest>,
    /// The number of the attempt.
    pub number: u32,
    /// The node that it is sent to.
    pub node: Arc<Node>,
    /// When the module sent it.
    pub sent_at: Instant,
    /// When it times out.
    pub deadline: Instant,
    state: Mutex<AttemptState>,
    written: AtomicBool,
    streaming: AtomicBool,
    response_at: OnceLock<Instant>,
}

impl Attempt {
    /// An attempt that the module has ordered.
    pub fn new(
        request: Arc<PendingRequest>,
        number: u32,
        node: Arc<Node>,
        sent_at: Instant,
        deadline: Instant,
    ) -> Attempt {
        let (state, written, streaming) =
            (Mutex::new(AttemptState::Waiting), AtomicBool::new(false), AtomicBool::new(false));
        Attempt {
            request,
            number,
            node,
            sent_at,
            deadline,
            state,
            written,
            streaming,
            response_at: OnceLock::new(),
        }
    }

    fn abort(&self, new_state: AttemptState) {
        let mut state = locked(&self.state);
        match &*state {
            AttemptState::Ended | AttemptState::Cancelled | AttemptState::TimedOut => return,
            AttemptState::InFlight(connection) => {
                let _ = connection.stream.shutdown(Shutdown::Both); // it may already be closed
            }
            AttemptState::Waiting => {}
        }
        *state = new_state;
    }

    /// The outcome of an attempt that was cancelled or timed out.
    fn abort_outcome(&self) -> Option<Outcome> {
        match *locked(&self.state) {
            AttemptState::Cancelled => Some(Outcome::Cancelled),
            AttemptState::TimedOut if self.written.load(SeqCst) => Some(Outcome::Timeout),
            AttemptState::TimedOut => Some(Outcome::ConnectFailed), // the last byte was never written
            _ => None,
        }
    }

    /// Releases a connection on which the request was never written completely; false if the attempt was aborted.
    fn unbind(&self) -> bool {
        let mut state = locked(&self.state);
        let in_flight = matches!(*state, AttemptState::InFlight(_));
        if in_flight {
            *state = AttemptState::Waiting;
        }
        in_flight
    }

    /// Binds the attempt to its connection; false if the attempt was aborted.
    fn bind(&self, connection: &Arc<NodeConnection>) -> bool {
        let mut state = locked(&self.state);
        let waiting = matches!(*state, AttemptState::Waiting);
        if waiting {
            *state = AttemptState::InFlight(connection.clone());
        }
        waiting
    }

    /// Ends the attempt. True if its connection can be reused, false if it was shut down.
    fn release(&self) -> bool {
        let mut state = locked(&self.state);
        let reusable = matches!(*state, AttemptState::InFlight(_));
        *state = AttemptState::Ended;
        reusable
    }
}

impl AttemptHandle for Attempt {
    /// Bytes that are not written yet are never sent: the connection is shut down.
    fn cancel(&self) {
        self.abort(AttemptState::Cancelled);
    }
    fn time_out(&self) {
        self.abort(AttemptState::TimedOut);
    }
    fn is_streaming(&self) -> bool {
        self.streaming.load(SeqCst)
    }
    fn describe(&self) -> String {
        let state = match &*locked(&self.state) {
            AttemptState::Waiting => "waiting",
            AttemptState::InFlight(_) => "out",
            AttemptState::Cancelled => "cancelled",
            AttemptState::TimedOut => "late",
            AttemptState::Ended => "ended",
        };
        let written = self.written.load(SeqCst);
        let over = self.deadline.elapsed().as_millis();
        let age = self.sent_at.elapsed().as_millis();
        format!("to {} {state}, written {written}, sent {age} ms ago, overdue by {over} ms", self.node.id.0)
    }
}

/// Statistics of reused connections by idle time, in bands of doubling length: for each, the moving average share (per
/// mille) of connections that broke before any response. Guards against nodes and middleboxes that drop idle
/// connections earlier than announced and without notice.
#[derive(Default)]
pub struct ReuseStatistics {
    bands: [AtomicUsize; 8],
    overall: AtomicUsize,
}

impl ReuseStatistics {
    /// The upper bound of the first band.
    const FIRST: Duration = Duration::from_millis(50);

    fn update_share(share: &AtomicUsize, broke: bool, window: usize) {
        let sample = if broke { 1000 } else { 0 };
        // A concurrent update may be lost: this is an estimate.
        share.store((share.load(SeqCst) * (window - 1) + sample) / window, SeqCst);
    }

    /// Records the reuse of a connection, and whether it broke.
    pub fn record(&self, idle_time: Duration, broke: bool) {
        let band = (0..7).take_while(|&at| idle_time >= ReuseStatistics::FIRST * (1 << at)).count();
        ReuseStatistics::update_share(&self.bands[band], broke, 16);
        ReuseStatistics::update_share(&self.overall, broke, 64);
    }

    /// The share over all bands.
    pub fn overall(&self) -> usize {
        self.overall.load(SeqCst)
    }

    /// The longest idle time for reuse: up to the first band in which far more connections break than in the youngest.
    pub fn max_idle_time(&self, limits: &Limits) -> Duration {
        let share = |band: usize| self.bands[band].load(SeqCst);
        let stale = |band: &usize| share(*band) > limits.max_stale_per_mille.max(share(0) * 3);
        (1..8).find(stale).map_or(Duration::MAX, |band| ReuseStatistics::FIRST * (1 << (band - 1)))
    }

    /// Decays the shares, so that idle times that are no longer used are tried again eventually.
    pub fn decay(&self) {
        for share in &self.bands {
            let now = share.load(SeqCst);
            share.store(now - now.div_ceil(32), SeqCst);
        }
    }
}

/// The state shared by the worker threads.
pub struct AttemptExecutor {
    /// The limits on messages and connections.
    pub limits: Limits,
    /// The pool for responses.
    pub buffers: BufferPool,
    /// The counters.
    pub counters: Arc<Counters>,
    /// The input queue of the decision thread.
    pub inputs: Sender<DecisionInput>,
    open_connections: Arc<AtomicUsize>,
    nodes: Mutex<Vec<Weak<Node>>>,
    /// Statistics of reused connections.
    pub reuse_statistics: ReuseStatistics,
}

impl AttemptExecutor {
    /// Creates the shared state, without any worker.
    pub fn new(
        limits: &Limits,
        buffers: &BufferPool,
        counters: &Arc<Counters>,
        inputs: Sender<DecisionInput>,
    ) -> AttemptExecutor {
        AttemptExecutor {
            limits: limits.clone(),
            buffers: buffers.clone(),
            counters: counters.clone(),
            inputs,
            open_connections: Arc::default(),
            nodes: Mutex::default(),
            reuse_statistics: ReuseStatistics::default(),
        }
    }

    /// Registers a node, so that its idle connections can be closed to make room.
    pub fn add_node(&self, node: &Arc<Node>) {
        let mut nodes = locked(&self.nodes);
        nodes.retain(|node| node.strong_count() > 0);
        nodes.push(Arc::downgrade(node));
    }

    /// Runs one attempt; its end is always reported, even after a panic.
    pub fn run(&self, attempt: &Arc<Attempt>) {
        let result = catch_unwind(AssertUnwindSafe(|| self.send_and_receive(attempt)));
        let outcome = result.unwrap_or_else(|_| {
            increment(&self.counters.defects);
            log::error!("a sending thread panicked");
            let written = attempt.written.load(SeqCst);
            if written {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            }
        });
        attempt.release();
        // The time at which the response arrived: a client that reads slowly must not make the node look slow.
        let ended_at = attempt.response_at.get().copied().unwrap_or_else(Instant::now);
        let input = DecisionInput::AttemptEnded {
            id: attempt.request.id.clone(),
            attempt: attempt.number,
            outcome,
            ended_at,
        };
        let _ = self.inputs.send(input); // the decision thread ends only when the marshal stops
    }

    fn send_and_receive(&self, attempt: &Arc<Attempt>) -> Outcome {
        let left = attempt.deadline.saturating_duration_since(Instant::now());
        match attempt.abort_outcome() {
            Some(Outcome::Cancelled) => return Outcome::Cancelled,
            None if !left.is_zero() && !attempt.node.removed.load(SeqCst) => {}
            _ => return Outcome::NotSent, // the attempt never began
        }
        let mut reuses_left = self.limits.max_reuse_attempts;
        let (connection, idle_time) = loop {
            let idle = if reuses_left > 0 { self.take_idle(&attempt.node) } else { None };
            let idle_time = idle.as_ref().map(|(_, idle_time)| *idle_time);
            let connection = match idle {
                Some((connection, _)) => connection,
                None => match self.connect(&attempt.node, left) {
                    Ok(connection) => connection,
                    Err(outcome) => return attempt.abort_outcome().unwrap_or(outcome),
                },
            };
            // The node may have been removed, or the attempt aborted, while the connection was being made.
            if attempt.node.removed.load(SeqCst) {
                return Outcome::NotSent;
            }
            if !attempt.bind(&connection) {
                self.return_to_pool(&attempt.node, connection);
                return attempt.abort_outcome().unwrap_or(Outcome::ConnectFailed);
            }
            if self.write(attempt, &connection).is_ok() {
                break (connection, idle_time);
            }
            // The request was not sent completely: an idle connection that turns out to be dead is replaced within the
            // attempt. It says nothing about the node; a new connection that breaks does.
            reuses_left = reuses_left.saturating_sub(1);
            if idle_time.is_none() || !attempt.unbind() {
                return attempt.abort_outcome().unwrap_or(Outcome::ConnectFailed);
            }
        };
        let mut buffer = self.buffers.take();
        let answer = self.read(attempt, &connection, &mut buffer);
        if let Some(idle_time) = idle_time {
            let broke = answer.is_err() && buffer.bytes().is_empty() && attempt.abort_outcome().is_none();
            self.reuse_statistics.record(idle_time, broke);
        }
        match answer {
            Ok((outcome, keep)) => {
                if attempt.release() && keep {
                    self.return_to_pool(&attempt.node, connection);
                }
                outcome
            }
            Err(outcome) => {
                let abort_outcome = attempt.abort_outcome();
                if abort_outcome.is_none() {
                    let received = &buffer.bytes()[..buffer.bytes().len().min(200)];
                    let after = attempt.sent_at.elapsed();
                    let node = &attempt.node.id.0;
                    log::debug!("unusable response from {node} after {after:?}, connection idle for {idle_time:?}: {}", received.escape_ascii());
                }
                abort_outcome.unwrap_or(outcome)
            }
        }
    }

    /// Writes the request. Guards against connections that the other side has dropped unnoticed: if the request must
    /// not be repeated, or reused connections turn out to be dead, the last byte is delayed until the bytes before it
    /// have had time to be rejected. A request that breaks before that byte has never run.
    fn write(&self, attempt: &Attempt, connection: &NodeConnection) -> io::Result<()> {
        let Some(socket) = &attempt.request.origin else { return Err(io::ErrorKind::NotConnected.into()) };
        let (head, body) = socket.message.bytes().split_at(socket.body_at);
        let line = wire::remaining_header_line(attempt.deadline.saturating_duration_since(Instant::now()));
        let end: &[u8] = b"\r\n";
        let delay_last_byte = attempt.request.at_most_once
            || self.reuse_statistics.overall() > self.limits.max_broken_per_mille;
        if delay_last_byte {
            let (end, body, last) = match body.split_last() {
                Some((last, rest)) => (end, rest, *last),
                None => (&end[..1], body, b'\n'),
            };
            write_all(&connection.stream, &[head, line.as_bytes(), end, body])?;
            std::thread::sleep(self.limits.last_byte_delay);
            if !connection.is_quiet() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            write_all(&connection.stream, &[&[last]])?;
        } else {
            write_all(&connection.stream, &[head, line.as_bytes(), end, body])?;
        }
        attempt.written.store(true, SeqCst);
        Ok(())
    }

    /// Reads the response and forwards it if it is the first. The decision thread ends the wait by shutting down the
    /// connection: a timeout of the socket's own may fire up to an eighth late.
    fn read(
        &self,
        attempt: &Attempt,
        connection: &NodeConnection,
        buffer: &mut Buffer,
    ) -> Result<(Outcome, bool), Outcome> {
        let limits = &self.limits;
        let mut chunks = ChunkedBody::default();
        let mut interim = 0;
        loop {
            // The head is parsed again after each read: responses are short and mostly arrive in one piece.
            let bytes = buffer.bytes();
            let whole = match http::parse_response(bytes, limits) {
                Err(_) => return Err(Outcome::Reset),
                Ok(None) => None,
                // Guards against endless interim responses.
                Ok(Some(head)) if head.status < 200 && interim >= limits.max_interim_responses => {
                    return Err(Outcome::Reset)
                }
                Ok(Some(head)) if head.status < 200 => {
                    interim += 1;
                    let length = head.length;
                    buffer.remove(0..length); // an interim response; the final one follows
                    continue;
                }
                Ok(Some(head)) => {
                    let after = &bytes[head.length..];
                    let (parts, whole, rest) = match head.framing {
                        Framing::Length(size) if size > limits.max_body_bytes => {
                            if head.status != 200 {
                                return Ok((Outcome::Error, false));
                            }
                            return self.stream_response(attempt, connection, &head, (after, size));
                        }
                        Framing::Length(size) => {
                            let whole = after.len() >= size;
                            (std::iter::once(0..size).collect(), whole, after.len() > size)
                        }
                        // A response without a length cannot be told from a truncated one.
                        Framing::UntilClose => return Err(Outcome::Reset),
                        Framing::Chunked => {
                            let framed = chunks.read(after, limits).map_err(|_| Outcome::Reset)?;
                            let rest = framed.is_some_and(|framed| after.len() > framed);
                            (chunks.parts.clone(), framed.is_some(), rest)
                        }
                    };
                    whole.then_some((head, parts, rest))
                }
            };
            if let Some((head, parts, rest)) = whole {
                let after = &bytes[head.length..];
                let turned_away = head.get(wire::TURNED_AWAY_HEADER) == Some("1");
                let outcome = match head.status {
                    200 => Outcome::Ok,
                    503 | 504 if turned_away => Outcome::Rejected,
                    _ => Outcome::Error,
                };
                attempt.response_at.get_or_init(Instant::now);
                if outcome == Outcome::Ok && attempt.request.claim() {
                    let body: Vec<&[u8]> = parts.iter().map(|part| &after[part.clone()]).collect();
                    let written = relay::write_node_response(&attempt.request, &head, &body);
                    increment(if written { &self.counters.served } else { &self.counters.gone });
                }
                return Ok((outcome, head.keep && !rest));
            }
            let spare = buffer.spare_capacity();
            if spare.is_empty() {
                return Err(Outcome::Reset); // the response exceeds the size limit
            }
            match (&connection.stream).read(spare) {
                Ok(0) => return Err(Outcome::Reset),
                Ok(read) => buffer.advance(read),
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Outcome::Reset),
            }
        }
    }

    /// Streams a response that is too long to be buffered. From its first byte on the client gets this response and no
    /// other; if it breaks off, the client's connection is closed so that the client notices.
    fn stream_response(
        &self,
        attempt: &Attempt,
        connection: &NodeConnection,
        head: &http::Head<'_>,
        (received, size): (&[u8], usize),
    ) -> Result<(Outcome, bool), Outcome> {
        if !attempt.request.claim() {
            return Ok((Outcome::Ok, false));
        }
        attempt.streaming.store(true, SeqCst);
        let started = *attempt.response_at.get_or_init(Instant::now);
        let _ = self.inputs.send(DecisionInput::StreamStarted(attempt.request.id.clone(), attempt.number));
        // Ignored if the decision thread has ended, which it does only when the marshal stops. From here on the outcome is
        // determined by the node or the client, whoever ended the wait.
        let client_gone = || {
            increment(&self.counters.gone);
            Ok((Outcome::Cancelled, false))
        };
        let Some(mut streaming) = StreamedResponse::begin(&attempt.request, head, size) else {
            return client_gone();
        };
        if !streaming.write(received) {
            return client_gone();
        }
        let mut buffer = self.buffers.take();
        while streaming.remaining() > 0 {
            let read = match (&connection.stream).read(buffer.spare_capacity()) {
                Ok(read) if read > 0 => read,
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => continue,
                // The attempt timed out while most of the time went into a client that reads slowly: this says nothing
                // about the node.
                _ if attempt.abort_outcome().is_some() && streaming.write_time() > started.elapsed() / 2 => {
                    return client_gone()
                }
                _ => {
                    increment(&self.counters.failed);
                    return Err(Outcome::Reset);
                }
            };
            let rest = read > streaming.remaining();
            buffer.advance(read);
            if !streaming.write(buffer.bytes()) {
                return client_gone();
            }
            buffer.remove(0..read);
            if streaming.remaining() == 0 {
                increment(&self.counters.served);
                return Ok((Outcome::Ok, head.keep && !rest));
            }
        }
        increment(&self.counters.served);
        Ok((Outcome::Ok, head.keep && received.len() == size))
    }

    /// Takes an idle connection that is still open, the most recently used first, but preferably one that has been
    /// quiet for a moment. Guards against bytes that follow directly after a response: they must not be taken for the
    /// next response.
    fn take_idle(&self, node: &Node) -> Option<(Arc<NodeConnection>, Duration)> {
        loop {
            let (connection, since) = {
                let mut idle = locked(&node.idle);
                let quiet =
                    idle.iter().rposition(|(_, since)| since.elapsed() >= self.limits.node_quiet_time);
                let at = quiet.or(idle.len().checked_sub(1))?;
                idle.remove(at)
            };
            let max_idle_time =
                self.limits.node_idle_timeout.min(self.reuse_statistics.max_idle_time(&self.limits));
            if since.elapsed() >= max_idle_time {
                locked(&node.idle).retain(|(_, since)| since.elapsed() < max_idle_time);
                return None;
            }
            // Guards against writing to a connection that the node has closed, which would end as a reset.
            if connection.is_quiet() {
                return Some((connection, since.elapsed()));
            }
        }
    }

    fn return_to_pool(&self, node: &Node, connection: Arc<NodeConnection>) {
        let mut idle = locked(&node.idle);
        if !node.removed.load(SeqCst) && idle.len() < self.limits.max_idle_per_node {
            idle.push((connection, Instant::now()));
        }
    }

    /// Makes a new connection; at the limit, the connection that has been idle longest is closed.
    fn connect(&self, node: &Node, left: Duration) -> Result<Arc<NodeConnection>, Outcome> {
        if self.open_connections.fetch_add(1, SeqCst) >= self.limits.max_node_connections {
            self.make_room();
        }
        let open_connections = self.open_connections.clone();
        let connected = TcpStream::connect_timeout(&node.addr, left.min(self.limits.connect_timeout));
        let stream = match connected {
            Ok(stream) => stream,
            Err(problem) => {
                open_connections.fetch_sub(1, SeqCst);
                log::debug!("cannot connect to {}: {problem}", node.addr);
                let local_cause = matches!(problem.raw_os_error(), Some(23 | 24 | 99)); // ENFILE, EMFILE, EADDRNOTAVAIL
                return Err(if local_cause { Outcome::NotSent } else { Outcome::ConnectFailed });
            }
        };
        let connection = NodeConnection { stream, open_connections };
        let configured = connection.stream.set_nodelay(true);
        if configured
            .and_then(|()| connection.stream.set_write_timeout(Some(self.limits.node_write_timeout)))
            .is_err()
        {
            return Err(Outcome::ConnectFailed);
        }
        increment(&self.counters.connections);
        Ok(Arc::new(connection))
    }

    fn make_room(&self) {
        let nodes: Vec<Arc<Node>> = locked(&self.nodes).iter().filter_map(Weak::upgrade).collect();
        let oldest = nodes.iter().filter_map(|node| Some((locked(&node.idle).first()?.1, node)));
        if let Some((_, node)) = oldest.min_by_key(|(since, _)| *since) {
            let mut idle = locked(&node.idle);
            if !idle.is_empty() {
                idle.remove(0);
            }
        }
    }
}

/// The listed nodes, each with its connection pool, and the workers that send attempts to them.
pub struct NodePools {
    executor: Arc<AttemptExecutor>,
    workers: WorkerPool<Arc<Attempt>>,
    nodes: HashMap<NodeId, (Arc<Node>, NodeEntry)>,
}

impl NodePools {
    /// Creates the pools without any node.
    pub fn new(executor: Arc<AttemptExecutor>) -> io::Result<NodePools> {
        let (limits, shared) = (&executor.limits, executor.clone());
        let workers = WorkerPool::new(
            "send",
            limits.pool_options(limits.max_node_connections, limits.max_node_connections),
            move |attempt: Arc<Attempt>| {
                shared.run(&attempt);
            },
        )?;
        Ok(NodePools { executor, workers, nodes: HashMap::new() })
    }
}

impl AttemptSender for NodePools {
    fn start(&mut self, order: AttemptOrder) -> Option<Arc<dyn AttemptHandle>> {
        let AttemptOrder { request, attempt, node, sent_at, deadline } = order;
        let (node, _) = self.nodes.get(&node)?;
        let attempt = Arc::new(Attempt::new(request, attempt, node.clone(), sent_at, deadline));
        increment(&self.executor.counters.attempts);
        self.workers.submit(attempt.clone()).is_ok().then_some(attempt)
    }

    /// Closes the connections to a node that leaves or is restarted.
    fn update_fleet(&mut self, kind: FleetUpdateKind, entries: &[(NodeEntry, SocketAddr)]) {
        if matches!(kind, FleetUpdateKind::Replace | FleetUpdateKind::Restored) {
            let listed: HashSet<&NodeId> = entries.iter().map(|(entry, _)| &entry.node).collect();
            let gone = self.nodes.extract_if(|id, _| !listed.contains(id));
            gone.for_each(|(_, (node, _))| node.remove());
        }
        for (entry, addr) in entries {
            let before = self.nodes.get(&entry.node);
            let unchanged = before.is_some_and(|(node, b)| {
                b.started == entry.started && b.build == entry.build && node.addr == *addr
            });
            let in_service = entry.state == NodeState::InService;
            let returned_to_service = before.is_some_and(|(_, before)| before.state != NodeState::InService);
            if let Some((node, _)) = before.filter(|_| !unchanged || !in_service) {
                node.remove();
            }
            if entry.state == NodeState::Terminated {
                self.nodes.remove(&entry.node);
                continue;
            }
            let kept = before
                .map(|(node, _)| node.clone())
                .filter(|_| unchanged && !(in_service && returned_to_service));
            let node = kept.unwrap_or_else(|| {
                let node = Arc::new(Node::new(entry.node.clone(), *addr));
                if !in_service {
                    node.remove();
                }
                self.executor.add_node(&node);
                node
            });
            self.nodes.insert(entry.node.clone(), (node, entry.clone()));
        }
    }

    fn sweep(&mut self) {
        let limits = &self.executor.limits;
        let max_idle_time =
            limits.node_idle_timeout.min(self.executor.reuse_statistics.max_idle_time(limits));
        self.nodes.values().for_each(|(node, _)| node.sweep(max_idle_time));
        self.executor.reuse_statistics.decay();
    }

    fn report(&self) -> String {
        let (connections, workers) = (self.executor.open_connections.load(SeqCst), self.workers.threads());
        let idle: usize = self.nodes.values().map(|(node, _)| node.idle()).sum();
        format!("node connections {connections} idle {idle}, workers {workers}")
    }
}
