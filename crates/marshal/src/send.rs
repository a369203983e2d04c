//! Sending: one attempt at a node, written and read by a worker on a connection from the node's pool. Whether
//! an attempt may have run is known by whether its last byte was written; nothing is sent again from here.

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

/// A connection to a node, counted as long as it lives.
pub struct NodeConnection {
    stream: TcpStream,
    open: Arc<AtomicUsize>,
}

impl NodeConnection {
    /// Whether it stands, as far as can be seen, and nothing has come on it.
    fn is_quiet(&self) -> bool {
        self.stream.set_nonblocking(true).is_ok()
            && matches!(self.stream.peek(&mut [0]), Err(problem) if problem.kind() == io::ErrorKind::WouldBlock)
            && self.stream.set_nonblocking(false).is_ok()
    }
}

impl Drop for NodeConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, SeqCst);
    }
}

/// A node's address and the idle connections to it, the latest used last.
pub struct Node {
    /// Its id.
    pub id: NodeId,
    /// Its address.
    pub addr: SocketAddr,
    idle: Mutex<Vec<(Arc<NodeConnection>, Instant)>>,
    removed: AtomicBool,
}

impl Node {
    /// A node that was listed.
    pub fn new(id: NodeId, addr: SocketAddr) -> Node {
        Node { id, addr, idle: Mutex::default(), removed: AtomicBool::new(false) }
    }
    /// From here on nothing is sent there; what is being connected is dropped.
    pub fn remove(&self) {
        self.removed.store(true, SeqCst);
        locked(&self.idle).clear();
    }
    /// Drops connections that have stood idle for too long.
    pub fn sweep(&self, max_idle_time: Duration) {
        locked(&self.idle).retain(|(_, since)| since.elapsed() < max_idle_time);
    }
    /// Idle connections.
    pub fn idle(&self) -> usize {
        locked(&self.idle).len()
    }
}

enum AttemptState {
    /// Not written yet.
    Waiting,
    /// On its way.
    AttemptHandle(Arc<NodeConnection>),
    /// Given up by the module.
    Cancelled,
    /// Its time ran out.
    Late,
    /// It has its end.
    Ended,
}

/// One attempt.
pub struct Attempt {
    /// Its request.
    pub request: Arc<PendingRequest>,
    /// Its number.
    pub number: u32,
    /// Its node.
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
    /// One that the module wants.
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

    fn abort(&self, why: AttemptState) {
        let mut state = locked(&self.state);
        match &*state {
            AttemptState::Ended | AttemptState::Cancelled | AttemptState::Late => return,
            AttemptState::AttemptHandle(connection) => {
                let _ = connection.stream.shutdown(Shutdown::Both); // it may have ended by itself
            }
            AttemptState::Waiting => {}
        }
        *state = why;
    }

    /// Why it was given up, if it was.
    fn abort_outcome(&self) -> Option<Outcome> {
        match *locked(&self.state) {
            AttemptState::Cancelled => Some(Outcome::Cancelled),
            AttemptState::Late if self.written.load(SeqCst) => Some(Outcome::Timeout),
            AttemptState::Late => Some(Outcome::ConnectFailed), // its last byte was never written
            _ => None,
        }
    }

    /// Lets go of a connection on which it was never whole; false where it was given up.
    fn unbind(&self) -> bool {
        let mut state = locked(&self.state);
        let out = matches!(*state, AttemptState::AttemptHandle(_));
        if out {
            *state = AttemptState::Waiting;
        }
        out
    }

    /// Binds the attempt to its connection, unless it was given up.
    fn bind(&self, connection: &Arc<NodeConnection>) -> bool {
        let mut state = locked(&self.state);
        let waits = matches!(*state, AttemptState::Waiting);
        if waits {
            *state = AttemptState::AttemptHandle(connection.clone());
        }
        waits
    }

    /// The connection is free again; false where it was shut.
    fn release(&self) -> bool {
        let mut state = locked(&self.state);
        let free = matches!(*state, AttemptState::AttemptHandle(_));
        *state = AttemptState::Ended;
        free
    }
}

impl AttemptHandle for Attempt {
    /// What isn't written yet never will be: its connection can't send any more.
    fn cancel(&self) {
        self.abort(AttemptState::Cancelled);
    }
    fn time_out(&self) {
        self.abort(AttemptState::Late);
    }
    fn is_streaming(&self) -> bool {
        self.streaming.load(SeqCst)
    }
    fn describe(&self) -> String {
        let state = match &*locked(&self.state) {
            AttemptState::Waiting => "waiting",
            AttemptState::AttemptHandle(_) => "out",
            AttemptState::Cancelled => "cancelled",
            AttemptState::Late => "late",
            AttemptState::Ended => "ended",
        };
        let written = self.written.load(SeqCst);
        let over = self.deadline.elapsed().as_millis();
        let age = self.sent_at.elapsed().as_millis();
        format!("to {} {state}, written {written}, sent {age} ms ago, overdue by {over} ms", self.node.id.0)
    }
}

/// How kept connections fare by the time that they stood idle, in bands of doubling length: in each the running
/// share, in thousandths, of those that broke before any answer. Guards against sides that let go of connections
/// sooner than they say, and say nothing when they do.
#[derive(Default)]
pub struct ReuseStatistics {
    bands: [AtomicUsize; 8],
    overall: AtomicUsize,
}

impl ReuseStatistics {
    /// The end of the first band.
    const FIRST: Duration = Duration::from_millis(50);

    fn update_share(share: &AtomicUsize, broke: bool, of: usize) {
        let news = if broke { 1000 } else { 0 };
        // Another thread's update may get lost between: it is an estimate.
        share.store((share.load(SeqCst) * (of - 1) + news) / of, SeqCst);
    }

    /// One was used again.
    pub fn record(&self, idle_time: Duration, broke: bool) {
        let band = (0..7).take_while(|&at| idle_time >= ReuseStatistics::FIRST * (1 << at)).count();
        ReuseStatistics::update_share(&self.bands[band], broke, 16);
        ReuseStatistics::update_share(&self.overall, broke, 64);
    }

    /// The share of all.
    pub fn overall(&self) -> usize {
        self.overall.load(SeqCst)
    }

    /// For how long one may have stood: to the first band in which far more break than in the youngest.
    pub fn max_idle_time(&self, limits: &Limits) -> Duration {
        let share = |band: usize| self.bands[band].load(SeqCst);
        let stale = |band: &usize| share(*band) > limits.max_stale_per_mille.max(share(0) * 3);
        (1..8).find(stale).map_or(Duration::MAX, |band| ReuseStatistics::FIRST * (1 << (band - 1)))
    }

    /// Forgets a little, so that what is not used any more is tried again some day.
    pub fn decay(&self) {
        for share in &self.bands {
            let now = share.load(SeqCst);
            share.store(now - now.div_ceil(32), SeqCst);
        }
    }
}

/// What the workers share.
pub struct AttemptExecutor {
    /// The limits.
    pub limits: Limits,
    /// The pool.
    pub buffers: BufferPool,
    /// The counters.
    pub counters: Arc<Counters>,
    /// The way back to the decision thread.
    pub inputs: Sender<DecisionInput>,
    open: Arc<AtomicUsize>,
    nodes: Mutex<Vec<Weak<Node>>>,
    /// How kept connections fare.
    pub reuse: ReuseStatistics,
}

impl AttemptExecutor {
    /// No worker yet.
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
            open: Arc::default(),
            nodes: Mutex::default(),
            reuse: ReuseStatistics::default(),
        }
    }

    /// Makes a node's idle connections known to those who need room.
    pub fn add_node(&self, node: &Arc<Node>) {
        let mut nodes = locked(&self.nodes);
        nodes.retain(|node| node.strong_count() > 0);
        nodes.push(Arc::downgrade(node));
    }

    /// One attempt from beginning to end; it always gets its end, whatever happens in between.
    pub fn run(&self, attempt: &Arc<Attempt>) {
        let done = catch_unwind(AssertUnwindSafe(|| self.exchange(attempt)));
        let outcome = done.unwrap_or_else(|_| {
            increment(&self.counters.defects);
            log::error!("a thread of sending panicked");
            let written = attempt.written.load(SeqCst);
            if written {
                Outcome::Reset
            } else {
                Outcome::ConnectFailed
            }
        });
        attempt.release();
        // Guards against taking a client that reads slowly for a slow node: the answer's time is when it came.
        let ended_at = attempt.response_at.get().copied().unwrap_or_else(Instant::now);
        let note = DecisionInput::AttemptEnded {
            id: attempt.request.id.clone(),
            attempt: attempt.number,
            outcome,
            ended_at,
        };
        let _ = self.inputs.send(note); // it ends only with us
    }

    fn exchange(&self, attempt: &Arc<Attempt>) -> Outcome {
        let left = attempt.deadline.saturating_duration_since(Instant::now());
        match attempt.abort_outcome() {
            Some(Outcome::Cancelled) => return Outcome::Cancelled,
            None if !left.is_zero() && !attempt.node.removed.load(SeqCst) => {}
            _ => return Outcome::NotSent, // it never began
        }
        let mut kept = self.limits.max_reuse_attempts;
        let (connection, idle_time) = loop {
            let idle = if kept > 0 { self.idle(&attempt.node) } else { None };
            let idle_time = idle.as_ref().map(|(_, idle_time)| *idle_time);
            let connection = match idle {
                Some((connection, _)) => connection,
                None => match self.connect(&attempt.node, left) {
                    Ok(connection) => connection,
                    Err(outcome) => return attempt.abort_outcome().unwrap_or(outcome),
                },
            };
            // The list may have changed, and the module its mind, while the connection came up.
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
            // Nothing whole has left: a kept connection that turns out dead is replaced within the attempt. It
            // tells nothing of the node; a new one that breaks does.
            kept = kept.saturating_sub(1);
            if idle_time.is_none() || !attempt.unbind() {
                return attempt.abort_outcome().unwrap_or(Outcome::ConnectFailed);
            }
        };
        let mut buffer = self.buffers.take();
        let answer = self.read(attempt, &connection, &mut buffer);
        if let Some(idle_time) = idle_time {
            let broke = answer.is_err() && buffer.bytes().is_empty() && attempt.abort_outcome().is_none();
            self.reuse.record(idle_time, broke);
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

    /// Writes the request. Guards against connections that the other side has dropped unseen: where a repeat is not
    /// allowed, or kept connections turn out dead, its last byte is held until what came before it has had time
    /// to be refused. What breaks before that byte has never run.
    fn write(&self, attempt: &Attempt, connection: &NodeConnection) -> io::Result<()> {
        let Some(socket) = &attempt.request.origin else { return Err(io::ErrorKind::NotConnected.into()) };
        let (head, body) = socket.message.bytes().split_at(socket.body_at);
        let line = wire::remaining_header_line(attempt.deadline.saturating_duration_since(Instant::now()));
        let end: &[u8] = b"\r\n";
        let delay_last_byte =
            attempt.request.at_most_once || self.reuse.overall() > self.limits.max_broken_per_mille;
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

    /// Reads the answer and passes it on if it is the first. The decision thread ends the wait, by shutting
    /// the connection: a time-out of the socket's own may come an eighth later.
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
            // The head is read anew with each piece: answers are short and come in one.
            let bytes = buffer.bytes();
            let whole = match http::answer(bytes, limits) {
                Err(_) => return Err(Outcome::Reset),
                Ok(None) => None,
                // Guards against interim answers without end.
                Ok(Some(head)) if head.status < 200 && interim >= limits.max_interim_responses => {
                    return Err(Outcome::Reset)
                }
                Ok(Some(head)) if head.status < 200 => {
                    interim += 1;
                    let length = head.length;
                    buffer.remove(0..length); // an interim answer; the real one follows
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
                        // Guards against half an answer: nothing tells one that a break cut short.
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
            let room = buffer.spare_capacity();
            if room.is_empty() {
                return Err(Outcome::Reset); // longer than an answer may be
            }
            match (&connection.stream).read(room) {
                Ok(0) => return Err(Outcome::Reset),
                Ok(read) => buffer.advance(read),
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Outcome::Reset),
            }
        }
    }

    /// Passes an answer on as it comes, too long to be held whole. From its first byte on the client has this one
    /// answer and no other; where it breaks off, the client's connection ends and it can tell.
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
        let began = *attempt.response_at.get_or_init(Instant::now);
        let _ = self.inputs.send(DecisionInput::StreamStarted(attempt.request.id.clone(), attempt.number)); // it ends only with us
                                                                                                            // From here on the verdict is the node's or the client's, whoever ended the wait.
        let gone = || {
            increment(&self.counters.gone);
            Ok((Outcome::Cancelled, false))
        };
        let Some(mut streaming) = StreamedResponse::begin(&attempt.request, head, size) else {
            return gone();
        };
        if !streaming.write(received) {
            return gone();
        }
        let mut buffer = self.buffers.take();
        while streaming.remaining() > 0 {
            let read = match (&connection.stream).read(buffer.spare_capacity()) {
                Ok(read) if read > 0 => read,
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => continue,
                // Its time ran out, and most of it went into a client that reads slowly: nothing is told of the node.
                _ if attempt.abort_outcome().is_some() && streaming.write_time() > began.elapsed() / 2 => {
                    return gone()
                }
                _ => {
                    increment(&self.counters.failed);
                    return Err(Outcome::Reset);
                }
            };
            let rest = read > streaming.remaining();
            buffer.advance(read);
            if !streaming.write(buffer.bytes()) {
                return gone();
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

    /// An idle connection that is still open, the latest used first; but rather one that has been quiet for a
    /// moment. Guards against bytes that come right behind an answer: they must not pass for the next one's.
    fn idle(&self, node: &Node) -> Option<(Arc<NodeConnection>, Duration)> {
        loop {
            let (connection, since) = {
                let mut idle = locked(&node.idle);
                let quiet =
                    idle.iter().rposition(|(_, since)| since.elapsed() >= self.limits.node_quiet_time);
                let at = quiet.or(idle.len().checked_sub(1))?;
                idle.remove(at)
            };
            let max_idle_time = self.limits.node_idle_timeout.min(self.reuse.max_idle_time(&self.limits));
            if since.elapsed() >= max_idle_time {
                locked(&node.idle).retain(|(_, since)| since.elapsed() < max_idle_time);
                return None;
            }
            // Guards against writing to one that the node has closed: that would end as a reset.
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

    /// A new connection; at the limit, the one that has stood idle for longest gives way.
    fn connect(&self, node: &Node, left: Duration) -> Result<Arc<NodeConnection>, Outcome> {
        if self.open.fetch_add(1, SeqCst) >= self.limits.max_node_connections {
            self.make_room();
        }
        let open = self.open.clone();
        let made = TcpStream::connect_timeout(&node.addr, left.min(self.limits.connect_timeout));
        let stream = match made {
            Ok(stream) => stream,
            Err(problem) => {
                open.fetch_sub(1, SeqCst);
                log::debug!("connecting to {}: {problem}", node.addr);
                let ours = matches!(problem.raw_os_error(), Some(23 | 24 | 99)); // no descriptor, no port
                return Err(if ours { Outcome::NotSent } else { Outcome::ConnectFailed });
            }
        };
        let connection = NodeConnection { stream, open };
        let set = connection.stream.set_nodelay(true);
        if set
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

/// The nodes as listed, each with its pool, and the workers that carry attempts to them.
pub struct NodePools {
    executor: Arc<AttemptExecutor>,
    workers: WorkerPool<Arc<Attempt>>,
    nodes: HashMap<NodeId, (Arc<Node>, NodeEntry)>,
}

impl NodePools {
    /// No node yet.
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

    /// Connections to a node that leaves, or comes back anew, are dropped.
    fn update_fleet(&mut self, kind: FleetUpdateKind, entries: &[(NodeEntry, SocketAddr)]) {
        if matches!(kind, FleetUpdateKind::Replace | FleetUpdateKind::Restored) {
            let listed: HashSet<&NodeId> = entries.iter().map(|(entry, _)| &entry.node).collect();
            let gone = self.nodes.extract_if(|id, _| !listed.contains(id));
            gone.for_each(|(_, (node, _))| node.remove());
        }
        for (entry, addr) in entries {
            let before = self.nodes.get(&entry.node);
            let same = before.is_some_and(|(node, b)| {
                b.started == entry.started && b.build == entry.build && node.addr == *addr
            });
            let serves = entry.state == NodeState::InService;
            let back = before.is_some_and(|(_, before)| before.state != NodeState::InService);
            if let Some((node, _)) = before.filter(|_| !same || !serves) {
                node.remove();
            }
            if entry.state == NodeState::Terminated {
                self.nodes.remove(&entry.node);
                continue;
            }
            let kept = before.map(|(node, _)| node.clone()).filter(|_| same && !(serves && back));
            let node = kept.unwrap_or_else(|| {
                let node = Arc::new(Node::new(entry.node.clone(), *addr));
                if !serves {
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
        let max_idle_time = limits.node_idle_timeout.min(self.executor.reuse.max_idle_time(limits));
        self.nodes.values().for_each(|(node, _)| node.sweep(max_idle_time));
        self.executor.reuse.decay();
    }

    fn report(&self) -> String {
        let (connections, workers) = (self.executor.open.load(SeqCst), self.workers.threads());
        let idle: usize = self.nodes.values().map(|(node, _)| node.idle()).sum();
        format!("node connections {connections} idle {idle}, workers {workers}")
    }
}
