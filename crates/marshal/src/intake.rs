//! Intake: connections of clients, and the requests on them, one at a time. A connection's thread only reads;
//! so it also sees its client leave while the request is out. Whoever has the answer writes it.

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

/// Bytes read at once.
const CHUNK: usize = 4096;

/// All connections of clients.
#[derive(Default)]
pub struct ClientConnections {
    open: Mutex<HashMap<u64, Arc<Client>>>,
    next: AtomicU64,
}

impl ClientConnections {
    fn connections(&self) -> MutexGuard<'_, HashMap<u64, Arc<Client>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// How many.
    pub fn len(&self) -> usize {
        self.connections().len()
    }
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// How many have not been ended by us.
    fn kept(&self) -> usize {
        self.connections().values().filter(|client| client.is_kept()).count()
    }
    /// How many have a request that owes its answer, or one that is coming in.
    pub fn busy(&self) -> usize {
        let owes = |client: &&Arc<Client>| {
            let state = client.state();
            state.busy || (state.receiving && !state.closed)
        };
        self.connections().values().filter(owes).count()
    }
    /// Ends one for another's sake: those that never sent a whole request before usual clients, and among them the
    /// one that has stood so for longest.
    pub fn make_room(&self, first_bytes: Duration, stood: Duration) -> bool {
        let all = self.connections();
        let idle = all.values().filter_map(|client| Some((client.eviction_rank(first_bytes)?, client)));
        let idle = idle.filter(|((_, since), _)| since.elapsed() >= stood);
        let first = idle.min_by_key(|(order, _)| *order);
        first.is_some_and(|(_, client)| {
            client.evict();
            true
        })
    }
    /// In a crowd, ends those that have stood idle for some time, as many as are too many: the order is that of
    /// `make_room`. Guards against connections that asked once and stay. Clients hold only so many, so that where all
    /// of them stay no new one comes, at which room could be made. Gives how many were ended.
    pub fn evict_idle(&self, limits: &Limits) -> usize {
        let all = self.connections();
        let many = (all.len() + 1).saturating_sub(limits.idle_eviction_threshold);
        if many == 0 {
            return 0;
        }
        let idle = all
            .values()
            .filter_map(|client| Some((client.eviction_rank(limits.partial_request_grace)?, client)));
        let stood = |(order, since): &(u8, Instant)| {
            // Who has just connected is about to ask.
            since.elapsed()
                >= if *order < 2 { limits.partial_request_grace } else { limits.idle_eviction_age }
        };
        let mut idle: Vec<_> = idle.filter(|(order, _)| stood(order)).collect();
        idle.sort_by_key(|(order, _)| *order);
        idle.iter().take(many).for_each(|(_, client)| client.evict());
        many.min(idle.len())
    }
    /// Ends sending on all that stand idle.
    pub fn shutdown_idle(&self) {
        for client in self.connections().values() {
            client.shutdown_if_idle();
        }
    }
}

/// What the threads of intake share.
pub struct Intake {
    /// What admission needs.
    pub admission: AdmissionContext,
    /// The connections.
    pub clients: ClientConnections,
    /// The way to the decision thread.
    pub inputs: Sender<DecisionInput>,
    /// The counters.
    pub counters: Arc<Counters>,
    /// Whether we serve, for the front.
    pub ready: AtomicBool,
    /// Set by the sign to stop.
    pub stopping: Arc<AtomicBool>,
    /// Set when no new connection is wanted.
    pub accepting_closed: AtomicBool,
    /// Whether a thread keeps a crowd thin.
    pub evicting: AtomicBool,
}

/// Accepts until told otherwise: a connection that waits to be accepted may hold a request whose time runs.
/// Above the limit, and where no descriptor is left, idle connections give way. Where none is idle, what comes
/// on the new one is turned away at once.
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
                // Out of descriptors, or a connection that broke while it waited: neither ends the marshal.
                log::warn!("accepting: {problem}");
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

/// Keeps a crowd of idle connections thin, by a thread that goes with the crowd. Guards against a look every few
/// milliseconds by each of hundreds of marshals that have none.
fn start_idle_eviction(intake: &Arc<Intake>) {
    let crowded = |intake: &Intake| {
        intake.clients.len() >= intake.admission.limits.idle_eviction_threshold
            && !intake.accepting_closed.load(SeqCst)
    };
    if !crowded(intake) || intake.evicting.swap(true, SeqCst) {
        return;
    }
    let shared = intake.clone();
    let work = move || loop {
        while crowded(&shared) {
            std::thread::sleep(shared.admission.limits.idle_eviction_interval);
            let ended = shared.clients.evict_idle(&shared.admission.limits);
            shared.counters.gave_way.fetch_add(ended as u64, Relaxed);
        }
        shared.evicting.store(false, SeqCst);
        // One more look: who came in between found this thread still there.
        if !crowded(&shared) || shared.evicting.swap(true, SeqCst) {
            return;
        }
    };
    let thread = std::thread::Builder::new()
        .name("thin".into())
        .stack_size(intake.admission.limits.thread_stack_bytes);
    if let Err(problem) = thread.spawn(work) {
        log::warn!("no thread to thin a crowd: {problem}");
        intake.evicting.store(false, SeqCst); // the next connection tries again
    }
}

fn accept_client(intake: &Arc<Intake>, stream: TcpStream, workers: &WorkerPool<(u64, Arc<Client>)>) {
    let limits = &intake.admission.limits;
    let set =
        stream.set_nodelay(true).and_then(|()| stream.set_write_timeout(Some(limits.client_write_timeout)));
    if set.is_err() {
        return; // it is gone already
    }
    increment(&intake.counters.accepted);
    let number = intake.clients.next.fetch_add(1, Relaxed);
    let client = Arc::new(Client::new(stream, intake.stopping.clone()));
    // Below the limit nobody is counted one by one: that would cost each accept a look at all connections.
    let room = intake.clients.len() < limits.max_clients
        || intake.clients.kept() < limits.max_clients
        || intake.clients.make_room(limits.partial_request_grace, Duration::ZERO);
    client.state().over_limit = !room;
    intake.clients.connections().insert(number, client.clone());
    if let Err((number, client)) = workers.submit((number, client)) {
        log::warn!("no room for a client");
        relay::write_local(&client, LocalResponse::Refused(None), false);
        intake.clients.connections().remove(&number);
    }
}

/// A client's connection from its first request to its end: the work of a thread of intake.
pub fn serve_connection(intake: &Intake, number: u64, client: &Arc<Client>) {
    let mut open = None;
    let end = catch_unwind(AssertUnwindSafe(|| read_requests(intake, client, &mut open)));
    if end.is_err() {
        increment(&intake.counters.defects);
        log::error!("a thread of intake panicked");
        if !client.state().busy {
            relay::write_local(client, LocalResponse::Status(500), false);
        }
    }
    // Whoever leaves with a request out has gone away, unless its answer is on its way already.
    if let Some(open) = open.filter(|open: &Arc<PendingRequest>| !open.answered()) {
        let _ = intake.inputs.send(DecisionInput::ClientLeft(open)); // it ends only with us
    }
    intake.clients.connections().remove(&number);
}

/// Reads requests until the connection ends. `open` is the request taken last.
fn read_requests(intake: &Intake, client: &Arc<Client>, open: &mut Option<Arc<PendingRequest>>) {
    let limits = &intake.admission.limits;
    let mut chunk = [0u8; CHUNK];
    let mut incoming: Option<IncomingRequest> = None;
    let mut read_timeout = Duration::ZERO;
    loop {
        // Whole requests first: more than one may have come together.
        while let Some(part) = incoming.as_mut() {
            match part.take_request(intake, client, open) {
                Ok(Step::More) => break,
                Ok(Step::Next) => {}
                Ok(Step::End) => return drain(client, limits, &mut chunk),
                Err(Malformed(status)) => {
                    increment(&intake.counters.malformed);
                    let came = &part.buffer.bytes()[..part.buffer.bytes().len().min(300)];
                    log::debug!("a malformed request, answered {status}: {}", came.escape_ascii());
                    if client.begin(false) {
                        relay::write_local(client, LocalResponse::Status(status), false);
                        drain(client, limits, &mut chunk);
                    }
                    return;
                }
            }
            if part.buffer.bytes().is_empty() {
                incoming = None; // the buffer returns to its pool: idle connections hold none
            }
        }
        if client.state().closed {
            return drain(client, limits, &mut chunk);
        }
        let timeout = match &incoming {
            Some(part) => limits.client_read_timeout.saturating_sub(part.started_at.elapsed()),
            None => limits.client_idle_timeout,
        };
        // Guards against clients that say nothing, or never come to an end: the first request has its time from
        // connecting on.
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
                // Guards against taking an end of our own for the client's: a request that was read in the moment in
                // which its connection was chosen to give way is still answered.
                if client.is_closing() {
                    client.wait_until_answered();
                }
                return;
            }
            Ok(read) => {
                let part = incoming.get_or_insert_with(|| IncomingRequest::new(&intake.admission.buffers));
                client.state().receiving = true;
                if !part.buffer.append(&chunk[..read]) {
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
                let first_over = client.first_request_time_left(limits).is_some_and(|left| left.is_zero());
                if incoming
                    .as_ref()
                    .is_some_and(|part| first_over || part.started_at.elapsed() >= limits.client_read_timeout)
                {
                    if client.begin(false) {
                        increment(&intake.counters.malformed);
                        relay::write_local(client, LocalResponse::Status(408), false);
                        drain(client, limits, &mut chunk);
                    }
                    return;
                }
                if incoming.is_none() {
                    client.shutdown_if_idle(); // unless a request is out; reading goes on, and finds the end
                }
            }
            Err(_) => return,
        }
    }
}

/// Reads what still comes after our last answer, so that it isn't cut off by a reset; of a body without end only so
/// much, since reading it costs time that others need.
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

/// What to do after a look at what has come.
enum Step {
    /// It needs more bytes.
    More,
    /// A request was taken; look again.
    Next,
    /// The connection ends.
    End,
}

/// A request as it comes in.
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

    /// Takes one request if it is there whole.
    fn take_request(
        &mut self,
        intake: &Intake,
        client: &Arc<Client>,
        open: &mut Option<Arc<PendingRequest>>,
    ) -> Result<Step, Malformed> {
        let limits = &intake.admission.limits;
        let bytes = self.buffer.bytes();
        if http::head_end(bytes, self.scanned).is_none() {
            self.scanned = bytes.len();
            return if bytes.len() > limits.max_head_bytes { Err(Malformed(431)) } else { Ok(Step::More) };
        }
        let Some(head) = http::request(bytes, limits)? else { return Ok(Step::More) };
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
            let expects = head.get("Expect").is_some_and(|word| word.eq_ignore_ascii_case("100-continue"));
            if expects && !self.continue_sent && client.may_write_interim() {
                self.continue_sent = true;
                let _ = write_all(&client.stream, &[b"HTTP/1.1 100 Continue\r\n\r\n"]);
                // or it won't
            }
            return Ok(Step::More);
        };
        let path = head.target.split('?').next().unwrap_or("");
        if path == wire::READINESS_PATH {
            let serves = intake.ready.load(SeqCst) && !intake.stopping.load(SeqCst);
            if !client.begin(head.keep) {
                return Ok(Step::End);
            }
            let status = if serves { 200 } else { 503 };
            relay::write_local(client, LocalResponse::Status(status), true);
        } else if client.is_over_limit() {
            if client.begin(false) {
                increment(&intake.counters.turned_away);
                relay::write_local(client, LocalResponse::Refused(None), false);
            }
            return Ok(Step::End);
        } else {
            let body: Vec<&[u8]> = parts.iter().map(|part| &after[part.clone()]).collect();
            let admitted = admit(&intake.admission, &head, &body, client, Instant::now())?;
            client.state().admitted_before = true;
            if !client.begin(head.keep) {
                return Ok(Step::End);
            }
            *open = Some(admitted.request.clone());
            increment(&intake.counters.taken);
            if let Err(back) = intake.inputs.send(DecisionInput::RequestAdmitted(Box::new(admitted))) {
                // The decision thread has ended: nobody else would answer.
                if let DecisionInput::RequestAdmitted(admitted) = back.0 {
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
        Ok(Step::Next)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::config::Config;
    use std::io::Write;
    use std::net::SocketAddr;

    /// The race between a look for idle connections and a request that has just come, in its worst order.
    #[test]
    fn a_request_read_as_its_connection_is_ended_for_others_is_still_answered() {
        let text = include_str!("../../../examples/marshal.json");
        let config = Config::read(text, |_| None).unwrap();
        let limits = crate::Limits::new(config.grant, &config.transport);
        let (inputs, told) = crossbeam_channel::bounded(8);
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
        let asks = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Arc::new(Client::new(listener.accept().unwrap().0, Arc::default()));
        let request = "GET /api HTTP/1.1\r\nX-Txn: a\r\nX-Lane: lookup\r\nX-Remaining: 9000m\r\n\r\n";
        (&asks).write_all(request.as_bytes()).unwrap();
        while client.stream.peek(&mut [0; 512]).unwrap() < request.len() {}
        client.evict();
        let attended = client.clone();
        std::thread::scope(|scope| {
            let thread = scope.spawn(|| serve_connection(&intake, 0, &attended));
            let Ok(DecisionInput::RequestAdmitted(admitted)) = told.recv() else { panic!("it is taken") };
            // Time enough for the thread to find the end that we made.
            let next = told.recv_timeout(Duration::from_millis(200));
            assert!(next.is_err(), "its client has not left");
            assert!(admitted.request.claim());
            relay::write_local(&client, LocalResponse::Failed, true);
            thread.join().unwrap();
        });
        let mut answer = String::new();
        (&asks).read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert!(told.is_empty());
    }
}
