//! Intake: client connections, and the requests on them, one at a time. A connection's thread only reads, so that it
//! notices when the client disconnects during a request. Whoever has the response writes it.

use crate::accounting::{increment, Counters, PendingRequest};
use crate::admit::{admit, AdmissionContext};
use crate::buffers::{Buffer, BufferPool};
use crate::client::{write_all, Client};
use crate::http::{self, ChunkedBody, Framing, Malformed};
use crate::limits::Limits;
use crate::ports::{DecisionInput, LocalResponse};
use crate::relay;
use crate::wire;
use crate::worker_pool::WorkerPool;
use crossbeam_channel::Sender;
use std::collections::HashMap;
use std::io::{self, Read};
use std::net::{TcpListener, TcpStream};
use std::ops::Range;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::Relaxed, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Size of one read.
const CHUNK: usize = 4096;

/// All client connections.
#[derive(Default)]
pub struct ClientConnections {
    connections: Mutex<HashMap<u64, Arc<Client>>>,
    next: AtomicU64,
}

impl ClientConnections {
    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<Client>>> {
        self.connections.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// The number of connections.
    pub fn len(&self) -> usize {
        self.connections().len()
    }
    /// Whether there are no connections.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// The number of connections that the marshal is not closing.
    fn kept(&self) -> usize {
        self.connections().values().filter(|client| client.is_kept()).count()
    }
    /// The number of connections with a request that needs its response or is being received.
    pub fn busy(&self) -> usize {
        let is_busy = |client: &&Arc<Client>| {
            let state = client.state();
            state.busy || (state.receiving && !state.closed)
        };
        self.connections().values().filter(is_busy).count()
    }
    /// Closes one connection to make room: those that never sent a complete request before regular clients, and among
    /// equals the one that has waited longest. Returns whether one was closed.
    pub fn make_room(&self, partial_request_grace: Duration, min_idle: Duration) -> bool {
        let all = self.connections();
        let idle =
            all.values().filter_map(|client| Some((client.eviction_rank(partial_request_grace)?, client)));
        let idle = idle.filter(|((_, since), _)| since.elapsed() >= min_idle);
        let first = idle.min_by_key(|(rank, _)| *rank);
        first.is_some_and(|(_, client)| {
            client.evict();
            true
        })
    }
    /// Above the eviction threshold, closes connections that have been idle for some time, as many as exceed the
    /// threshold, in the order of `make_room`. Guards against clients that send one request and keep the connection:
    /// each client holds a limited number of connections, so where all are kept no new connection arrives that would
    /// trigger `make_room`. Returns the number of connections closed.
    pub fn evict_idle(&self, limits: &Limits) -> usize {
        let all = self.connections();
        let excess = (all.len() + 1).saturating_sub(limits.idle_eviction_threshold);
        if excess == 0 {
            return 0;
        }
        let idle = all
            .values()
            .filter_map(|client| Some((client.eviction_rank(limits.partial_request_grace)?, client)));
        let idle_long_enough = |(rank, since): &(u8, Instant)| {
            // A new connection is about to send its request.
            since.elapsed() >= if *rank < 2 { limits.partial_request_grace } else { limits.idle_eviction_age }
        };
        let mut idle: Vec<_> = idle.filter(|(rank, _)| idle_long_enough(rank)).collect();
        idle.sort_by_key(|(rank, _)| *rank);
        idle.iter().take(excess).for_each(|(_, client)| client.evict());
        excess.min(idle.len())
    }
    /// Closes all idle connections.
    pub fn shutdown_idle(&self) {
        for client in self.connections().values() {
            client.shutdown_if_idle();
        }
    }
}

/// The state shared by the intake threads.
pub struct Intake {
    /// The configuration and buffers for admitting requests.
    pub admission: AdmissionContext,
    /// The client connections.
    pub clients: ClientConnections,
    /// The input queue of the decision thread.
    pub inputs: Sender<DecisionInput>,
    /// The counters.
    pub counters: Arc<Counters>,
    /// Whether the marshal serves requests, for the readiness check.
    pub ready: AtomicBool,
    /// Set when the marshal is asked to stop.
    pub stopping: Arc<AtomicBool>,
    /// Set when no new connection is to be accepted.
    pub accepting_closed: AtomicBool,
    /// Whether a thread is closing idle connections.
    pub evicting: AtomicBool,
}

/// Accepts connections until told to stop: a connection that waits to be accepted may hold a request whose time is
/// running. Above the limit, and when no file descriptor is left, idle connections are closed to make room. If none is
/// idle, requests on the new connection are refused at once.
pub fn accept(intake: &Arc<Intake>, listener: &TcpListener, workers: &WorkerPool<(u64, Arc<Client>)>) {
    let limits = &intake.admission.limits;
    loop {
        let accepted = listener.accept();
        if intake.accepting_closed.load(SeqCst) {
            return;
        }
        match accepted {
            Ok((stream, _)) => {
                accept_client(intake, stream, workers);
                start_idle_eviction(intake);
            }
            Err(problem) => {
                // Out of file descriptors, or a connection that broke while it waited: neither ends the marshal.
                log::warn!("cannot accept a connection: {problem}");
                intake.clients.make_room(limits.partial_request_grace, Duration::ZERO);
                std::thread::sleep(limits.accept_pause);
            }
        }
        while intake.clients.len() >= limits.max_clients + limits.max_excess_clients
            && !intake.accepting_closed.load(SeqCst)
        {
            std::thread::sleep(limits.accept_pause);
        }
    }
}

/// Closes idle connections above the eviction threshold, in a thread that ends when the number is below it. Guards
/// against periodic checks every few milliseconds in hundreds of marshals that have few connections.
fn start_idle_eviction(intake: &Arc<Intake>) {
    let above_threshold = |intake: &Intake| {
        intake.clients.len() >= intake.admission.limits.idle_eviction_threshold
            && !intake.accepting_closed.load(SeqCst)
    };
    if !above_threshold(intake) || intake.evicting.swap(true, SeqCst) {
        return;
    }
    let shared = intake.clone();
    let work = move || loop {
        while above_threshold(&shared) {
            std::thread::sleep(shared.admission.limits.idle_eviction_interval);
            let ended = shared.clients.evict_idle(&shared.admission.limits);
            shared.counters.gave_way.fetch_add(ended as u64, Relaxed);
        }
        shared.evicting.store(false, SeqCst);
        // Checked once more: a connection accepted in between found this thread still registered.
        if !above_threshold(&shared) || shared.evicting.swap(true, SeqCst) {
            return;
        }
    };
    let thread = std::thread::Builder::new()
        .name("thin".into())
        .stack_size(intake.admission.limits.thread_stack_bytes);
    if let Err(problem) = thread.spawn(work) {
        log::warn!("cannot start the thread that closes idle connections: {problem}");
        intake.evicting.store(false, SeqCst); // the next connection tries again
    }
}

fn accept_client(intake: &Arc<Intake>, stream: TcpStream, workers: &WorkerPool<(u64, Arc<Client>)>) {
    let limits = &intake.admission.limits;
    let configured =
        stream.set_nodelay(true).and_then(|()| stream.set_write_timeout(Some(limits.client_write_timeout)));
    if configured.is_err() {
        return; // it is already closed
    }
    increment(&intake.counters.accepted);
    let number = intake.clients.next.fetch_add(1, Relaxed);
    let client = Arc::new(Client::new(stream, intake.stopping.clone()));
    // Below the limit the connections are not counted one by one: each accept would have to visit all of them.
    let room = intake.clients.len() < limits.max_clients
        || intake.clients.kept() < limits.max_clients
        || intake.clients.make_room(limits.partial_request_grace, Duration::ZERO);
    client.state().over_limit = !room;
    intake.clients.connections().insert(number, client.clone());
    if let Err((number, client)) = workers.submit((number, client)) {
        log::warn!("the queue for client connections is full; refusing one");
        relay::write_local(&client, LocalResponse::Refused(None), false);
        intake.clients.connections().remove(&number);
    }
}

/// Serves a client's connection from its first request to its end, on an intake thread.
pub fn serve_connection(intake: &Intake, number: u64, client: &Arc<Client>) {
    let mut latest = None;
    let end = catch_unwind(AssertUnwindSafe(|| read_requests(intake, client, &mut latest)));
    if end.is_err() {
        increment(&intake.counters.defects);
        log::error!("an intake thread panicked");
        if !client.state().busy {
            relay::write_local(client, LocalResponse::Status(500), false);
        }
    }
    // A client that disconnects while its request has no response has left, unless the response is already being
    // written.
    if let Some(request) = latest.filter(|request: &Arc<PendingRequest>| !request.answered()) {
        let _ = intake.inputs.send(DecisionInput::ClientLeft(request)); // the decision thread ends only when the marshal stops
    }
    intake.clients.connections().remove(&number);
}

/// Reads requests until the connection ends. `latest` is the latest admitted request.
fn read_requests(intake: &Intake, client: &Arc<Client>, latest: &mut Option<Arc<PendingRequest>>) {
    let limits = &intake.admission.limits;
    let mut chunk = [0u8; CHUNK];
    let mut incoming: Option<IncomingRequest> = None;
    let mut read_timeout = Duration::ZERO;
    loop {
        // Complete requests first: more than one may have arrived together.
        while let Some(request) = incoming.as_mut() {
            match request.take_request(intake, client, latest) {
                Ok(ReadStep::Incomplete) => break,
                Ok(ReadStep::Taken) => {}
                Ok(ReadStep::Close) => return drain(client, limits, &mut chunk),
                Err(Malformed(status)) => {
                    increment(&intake.counters.malformed);
                    let received = &request.buffer.bytes()[..request.buffer.bytes().len().min(300)];
                    log::debug!("malformed request, answered with {status}: {}", received.escape_ascii());
                    if client.begin(false) {
                        relay::write_local(client, LocalResponse::Status(status), false);
                        drain(client, limits, &mut chunk);
                    }
                    return;
                }
            }
            if request.buffer.bytes().is_empty() {
                incoming = None; // returns the buffer to its pool: idle connections hold none
            }
        }
        if client.state().closed {
            return drain(client, limits, &mut chunk);
        }
        let timeout = match &incoming {
            Some(request) => limits.client_read_timeout.saturating_sub(request.started_at.elapsed()),
            None => limits.client_idle_timeout,
        };
        // Guards against clients that send nothing, or never complete a request: the time for the first request counts
        // from connecting.
        let first = client.first_request_time_left(limits);
        let timeout = first.map_or(timeout, |left| timeout.min(left));
        if incoming.is_some() || read_timeout != timeout {
            read_timeout = timeout;
            if client.set_read_timeout(timeout).is_err() {
                return;
            }
        }
        match (&client.stream).read(&mut chunk) {
            Ok(0) => {
                // The marshal may have shut down the reading side itself: a request that was read at the moment at
                // which its connection was chosen for eviction is still answered, and not taken for one whose client
                // has left.
                if client.is_closing() {
                    client.wait_until_answered();
                }
                return;
            }
            Ok(read) => {
                let request = incoming.get_or_insert_with(|| IncomingRequest::new(&intake.admission.buffers));
                client.state().receiving = true;
                if !request.buffer.append(&chunk[..read]) {
                    if client.begin(false) {
                        increment(&intake.counters.malformed);
                        relay::write_local(client, LocalResponse::Status(413), false);
                        drain(client, limits, &mut chunk);
                    }
                    return;
                }
            }
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            Err(problem) if matches!(problem.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                let first_request_overdue =
                    client.first_request_time_left(limits).is_some_and(|left| left.is_zero());
                if incoming.as_ref().is_some_and(|request| {
                    first_request_overdue || request.started_at.elapsed() >= limits.client_read_timeout
                }) {
                    if client.begin(false) {
                        increment(&intake.counters.malformed);
                        relay::write_local(client, LocalResponse::Status(408), false);
                        drain(client, limits, &mut chunk);
                    }
                    return;
                }
                if incoming.is_none() {
                    client.shutdown_if_idle(); // unless a request is in progress; the next read finds the end of input
                }
            }
            Err(_) => return,
        }
    }
}

/// Reads and discards what arrives after the last response, so that the response isn't lost to a connection reset; of
/// an endless body only a limited amount, since reading it takes time from other requests.
fn drain(client: &Client, limits: &Limits, chunk: &mut [u8]) {
    let until = Instant::now() + limits.linger_timeout;
    let mut amount = 0;
    while amount < limits.max_linger_bytes {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || client.set_read_timeout(left).is_err() {
            return;
        }
        match (&client.stream).read(chunk) {
            Ok(read) if read > 0 => amount += read,
            _ => return,
        }
    }
}

/// What to do after examining the received bytes.
enum ReadStep {
    /// The request is incomplete.
    Incomplete,
    /// A request was taken; there may be another one.
    Taken,
    /// The connection is to be closed.
    Close,
}

/// A request that is being received.
struct IncomingRequest {
    buffer: Buffer,
    started_at: Instant,
    scanned: usize,
    chunks: ChunkedBody,
    continue_sent: bool,
}

impl IncomingRequest {
    fn new(buffers: &BufferPool) -> IncomingRequest {
        IncomingRequest {
            buffer: buffers.take(),
            started_at: Instant::now(),
            scanned: 0,
            chunks: ChunkedBody::default(),
            continue_sent: false,
        }
    }

    /// Takes one request if it is complete.
    fn take_request(
        &mut self,
        intake: &Intake,
        client: &Arc<Client>,
        latest: &mut Option<Arc<PendingRequest>>,
    ) -> Result<ReadStep, Malformed> {
        let limits = &intake.admission.limits;
        let bytes = self.buffer.bytes();
        if http::head_end(bytes, self.scanned).is_none() {
            self.scanned = bytes.len();
            return if bytes.len() > limits.max_head_bytes {
                Err(Malformed(431))
            } else {
                Ok(ReadStep::Incomplete)
            };
        }
        let Some(head) = http::parse_request(bytes, limits)? else { return Ok(ReadStep::Incomplete) };
        let after = &bytes[head.length..];
        let (parts, framed): (Vec<Range<usize>>, Option<usize>) = match head.framing {
            Framing::Length(size) => {
                (std::iter::once(0..size).collect(), (after.len() >= size).then_some(size))
            }
            _ => {
                let framed = self.chunks.read(after, limits)?;
                (self.chunks.parts.clone(), framed)
            }
        };
        let Some(framed) = framed else {
            let expects_continue =
                head.get("Expect").is_some_and(|word| word.eq_ignore_ascii_case("100-continue"));
            if expects_continue && !self.continue_sent && client.may_write_interim() {
                self.continue_sent = true;
                let _ = write_all(&client.stream, &[b"HTTP/1.1 100 Continue\r\n\r\n"]);
                // the client may have disconnected
            }
            return Ok(ReadStep::Incomplete);
        };
        let path = head.target.split('?').next().unwrap_or("");
        if path == wire::READINESS_PATH {
            let ready = intake.ready.load(SeqCst) && !intake.stopping.load(SeqCst);
            if !client.begin(head.keep) {
                return Ok(ReadStep::Close);
            }
            let status = if ready { 200 } else { 503 };
            relay::write_local(client, LocalResponse::Status(status), true);
        } else if client.is_over_limit() {
            if client.begin(false) {
                increment(&intake.counters.turned_away);
                relay::write_local(client, LocalResponse::Refused(None), false);
            }
            return Ok(ReadStep::Close);
        } else {
            let body: Vec<&[u8]> = parts.iter().map(|part| &after[part.clone()]).collect();
            let admitted = admit(&intake.admission, &head, &body, client, Instant::now())?;
            client.state().admitted_before = true;
            if !client.begin(head.keep) {
                return Ok(ReadStep::Close);
            }
            *latest = Some(admitted.request.clone());
            increment(&intake.counters.taken);
            if let Err(unsent) = intake.inputs.send(DecisionInput::RequestAdmitted(Box::new(admitted))) {
                // The decision thread has ended: nobody else would respond.
                if let DecisionInput::RequestAdmitted(admitted) = unsent.0 {
                    if admitted.request.claim() {
                        relay::write_local(client, LocalResponse::Failed, false);
                    }
                }
            }
        }
        let used = head.length + framed;
        self.buffer.remove(0..used);
        (self.scanned, self.chunks, self.continue_sent) = (0, ChunkedBody::default(), false);
        self.started_at = Instant::now();
        Ok(ReadStep::Taken)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::Config;
    use std::io::Write;
    use std::net::SocketAddr;

    /// The race between closing idle connections and a request that has just arrived, in its worst order.
    #[test]
    fn a_request_read_as_its_connection_is_ended_for_others_is_still_answered() {
        let text = include_str!("../../../examples/marshal.json");
        let config = Config::read(text, |_| None).unwrap();
        let limits = crate::Limits::new(config.grant, &config.transport);
        let (inputs, sent_inputs) = crossbeam_channel::bounded(8);
        let buffers = crate::buffers::BufferPool::new(limits.buffer_bytes, 4);
        let admission = AdmissionContext { settings: config.settings, names: config.names, limits, buffers };
        let intake = Intake {
            admission,
            clients: ClientConnections::default(),
            inputs,
            counters: Arc::default(),
            ready: AtomicBool::new(true),
            stopping: Arc::default(),
            accepting_closed: AtomicBool::new(false),
            evicting: AtomicBool::new(false),
        };
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let requester = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Arc::new(Client::new(listener.accept().unwrap().0, Arc::default()));
        let request = "GET /api HTTP/1.1\r\nX-Txn: a\r\nX-Lane: lookup\r\nX-Remaining: 9000m\r\n\r\n";
        (&requester).write_all(request.as_bytes()).unwrap();
        while client.stream.peek(&mut [0; 512]).unwrap() < request.len() {}
        client.evict();
        let served = client.clone();
        std::thread::scope(|scope| {
            let thread = scope.spawn(|| serve_connection(&intake, 0, &served));
            let Ok(DecisionInput::RequestAdmitted(admitted)) = sent_inputs.recv() else {
                panic!("the request is admitted")
            };
            // Long enough for the thread to find the end of input that the eviction caused.
            let next = sent_inputs.recv_timeout(Duration::from_millis(200));
            assert!(next.is_err(), "the client has not disconnected");
            assert!(admitted.request.claim());
            relay::write_local(&client, LocalResponse::Failed, true);
            thread.join().unwrap();
        });
        let mut answer = String::new();
        (&requester).read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert!(sent_inputs.is_empty());
    }
}
