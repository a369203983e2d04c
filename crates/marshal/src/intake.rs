//! Intake: connections of clients, and the requests on them, one at a time. A connection's thread only reads;
//! so it also sees its client leave while the request is out. Whoever has the answer writes it.

use crate::admit::{admit, Gate};
use crate::book::{count, Book, Open};
use crate::buffers::{Buffer, Buffers};
use crate::client::{write_all, Client};
use crate::crew::Crew;
use crate::http::{self, Chunks, Framing, Malformed};
use crate::limits::Limits;
use crate::relay;
use crate::stage::{Note, Word};
use crate::wire;
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
pub struct Clients {
    open: Mutex<HashMap<u64, Arc<Client>>>,
    next: AtomicU64,
}

impl Clients {
    fn all(&self) -> MutexGuard<'_, HashMap<u64, Arc<Client>>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }
    /// How many.
    pub fn len(&self) -> usize {
        self.all().len()
    }
    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
    /// How many have not been ended by us.
    fn staying(&self) -> usize {
        self.all().values().filter(|client| client.stays()).count()
    }
    /// How many have a request that owes its answer, or one that is coming in.
    pub fn busy(&self) -> usize {
        let owes = |client: &&Arc<Client>| {
            let standing = client.standing();
            standing.busy || (standing.begun && !standing.parted)
        };
        self.all().values().filter(owes).count()
    }
    /// Ends one for another's sake: those that never sent a whole request before usual clients, and among them the
    /// one that has stood so for longest.
    pub fn make_room(&self, first_bytes: Duration, stood: Duration) -> bool {
        let all = self.all();
        let idle = all.values().filter_map(|client| Some((client.gives_way(first_bytes)?, client)));
        let idle = idle.filter(|((_, since), _)| since.elapsed() >= stood);
        let first = idle.min_by_key(|(order, _)| *order);
        first.is_some_and(|(_, client)| {
            client.give_way();
            true
        })
    }
    /// In a crowd, ends those that have stood idle for some time, as many as are too many: the order is that of
    /// `make_room`. Guards against connections that asked once and stay. Clients hold only so many, so that where all
    /// of them stay no new one comes, at which room could be made. Gives how many were ended.
    pub fn thin(&self, limits: &Limits) -> usize {
        let all = self.all();
        let many = (all.len() + 1).saturating_sub(limits.crowd);
        if many == 0 {
            return 0;
        }
        let idle = all.values().filter_map(|client| Some((client.gives_way(limits.first_bytes)?, client)));
        let stood = |(order, since): &(u8, Instant)| {
            // Who has just connected is about to ask.
            since.elapsed() >= if *order < 2 { limits.first_bytes } else { limits.crowd_idle }
        };
        let mut idle: Vec<_> = idle.filter(|(order, _)| stood(order)).collect();
        idle.sort_by_key(|(order, _)| *order);
        idle.iter().take(many).for_each(|(_, client)| client.give_way());
        many.min(idle.len())
    }
    /// Ends sending on all that stand idle.
    pub fn part_idle(&self) {
        for client in self.all().values() {
            client.part();
        }
    }
}

/// What the threads of intake share.
pub struct Intake {
    /// What admission needs.
    pub gate: Gate,
    /// The connections.
    pub clients: Clients,
    /// The way to the decision thread.
    pub notes: Sender<Note>,
    /// The counters.
    pub book: Arc<Book>,
    /// Whether we serve, for the front.
    pub ready: AtomicBool,
    /// Set by the sign to stop.
    pub stopping: Arc<AtomicBool>,
    /// Set when no new connection is wanted.
    pub closed: AtomicBool,
    /// Whether a thread keeps a crowd thin.
    pub thinning: AtomicBool,
}

/// Accepts until told otherwise: a connection that waits to be accepted may hold a request whose time runs.
/// Above the limit, and where no descriptor is left, idle connections give way. Where none is idle, what comes
/// on the new one is turned away at once.
pub fn accept(intake: &Arc<Intake>, listener: &TcpListener, crew: &Crew<(u64, Arc<Client>)>) {
    let limits = &intake.gate.limits;
    loop {
        let accepted = listener.accept();
        if intake.closed.load(SeqCst) {
            return;
        }
        match accepted {
            Ok((stream, _)) => {
                take(intake, stream, crew);
                keep_thin(intake);
            }
            Err(problem) => {
                // Out of descriptors, or a connection that broke while it waited: neither ends the marshal.
                log::warn!("accepting: {problem}");
                intake.clients.make_room(limits.first_bytes, Duration::ZERO);
                std::thread::sleep(limits.accept_pause);
            }
        }
        while intake.clients.len() >= limits.clients + limits.spare_clients && !intake.closed.load(SeqCst) {
            std::thread::sleep(limits.accept_pause);
        }
    }
}

/// Keeps a crowd of idle connections thin, by a thread that goes with the crowd. Guards against a look every few
/// milliseconds by each of hundreds of marshals that have none.
fn keep_thin(intake: &Arc<Intake>) {
    let crowded =
        |intake: &Intake| intake.clients.len() >= intake.gate.limits.crowd && !intake.closed.load(SeqCst);
    if !crowded(intake) || intake.thinning.swap(true, SeqCst) {
        return;
    }
    let shared = intake.clone();
    let work = move || loop {
        while crowded(&shared) {
            std::thread::sleep(shared.gate.limits.crowd_look);
            let ended = shared.clients.thin(&shared.gate.limits);
            shared.book.gave_way.fetch_add(ended as u64, Relaxed);
        }
        shared.thinning.store(false, SeqCst);
        // One more look: who came in between found this thread still there.
        if !crowded(&shared) || shared.thinning.swap(true, SeqCst) {
            return;
        }
    };
    let thread = std::thread::Builder::new().name("thin".into()).stack_size(intake.gate.limits.stack);
    if let Err(problem) = thread.spawn(work) {
        log::warn!("no thread to thin a crowd: {problem}");
        intake.thinning.store(false, SeqCst); // the next connection tries again
    }
}

fn take(intake: &Arc<Intake>, stream: TcpStream, crew: &Crew<(u64, Arc<Client>)>) {
    let limits = &intake.gate.limits;
    let set = stream.set_nodelay(true).and_then(|()| stream.set_write_timeout(Some(limits.client_write)));
    if set.is_err() {
        return; // it is gone already
    }
    count(&intake.book.accepted);
    let number = intake.clients.next.fetch_add(1, Relaxed);
    let client = Arc::new(Client::new(stream, intake.stopping.clone()));
    // Below the limit nobody is counted one by one: that would cost each accept a look at all connections.
    let room = intake.clients.len() < limits.clients
        || intake.clients.staying() < limits.clients
        || intake.clients.make_room(limits.first_bytes, Duration::ZERO);
    client.standing().over = !room;
    intake.clients.all().insert(number, client.clone());
    if let Err((number, client)) = crew.hand((number, client)) {
        log::warn!("no room for a client");
        relay::word(&client, Word::Refused(None), false);
        intake.clients.all().remove(&number);
    }
}

/// A client's connection from its first request to its end: the work of a thread of intake.
pub fn attend(intake: &Intake, number: u64, client: &Arc<Client>) {
    let mut open = None;
    let end = catch_unwind(AssertUnwindSafe(|| read_requests(intake, client, &mut open)));
    if end.is_err() {
        count(&intake.book.defects);
        log::error!("a thread of intake panicked");
        if !client.standing().busy {
            relay::word(client, Word::Status(500), false);
        }
    }
    // Whoever leaves with a request out has gone away, unless its answer is on its way already.
    if let Some(open) = open.filter(|open: &Arc<Open>| !open.answered()) {
        let _ = intake.notes.send(Note::Gone(open)); // it ends only with us
    }
    intake.clients.all().remove(&number);
}

/// Reads requests until the connection ends. `open` is the request taken last.
fn read_requests(intake: &Intake, client: &Arc<Client>, open: &mut Option<Arc<Open>>) {
    let limits = &intake.gate.limits;
    let mut chunk = [0u8; CHUNK];
    let mut coming: Option<Coming> = None;
    let mut patience = Duration::ZERO;
    loop {
        // Whole requests first: more than one may have come together.
        while let Some(part) = coming.as_mut() {
            match part.whole(intake, client, open) {
                Ok(Step::More) => break,
                Ok(Step::Next) => {}
                Ok(Step::End) => return drain(client, limits, &mut chunk),
                Err(Malformed(status)) => {
                    count(&intake.book.malformed);
                    let came = &part.buffer.bytes()[..part.buffer.bytes().len().min(300)];
                    log::debug!("a malformed request, answered {status}: {}", came.escape_ascii());
                    if client.begin(false) {
                        relay::word(client, Word::Status(status), false);
                        drain(client, limits, &mut chunk);
                    }
                    return;
                }
            }
            if part.buffer.bytes().is_empty() {
                coming = None; // the buffer returns to its pool: idle connections hold none
            }
        }
        if client.standing().parted {
            return drain(client, limits, &mut chunk);
        }
        let wanted = match &coming {
            Some(part) => limits.client_read.saturating_sub(part.began.elapsed()),
            None => limits.client_idle,
        };
        // Guards against clients that say nothing, or never come to an end: the first request has its time from
        // connecting on.
        let first = client.first_left(limits);
        let wanted = first.map_or(wanted, |left| wanted.min(left));
        if coming.is_some() || patience != wanted {
            patience = wanted;
            if client.wait_at_most(wanted).is_err() {
                return;
            }
        }
        match (&client.stream).read(&mut chunk) {
            Ok(0) => {
                // Guards against taking an end of our own for the client's: a request that was read in the moment in
                // which its connection was chosen to give way is still answered.
                if client.ending() {
                    client.finish();
                }
                return;
            }
            Ok(read) => {
                let part = coming.get_or_insert_with(|| Coming::new(&intake.gate.buffers));
                client.standing().begun = true;
                if !part.buffer.put(&chunk[..read]) {
                    if client.begin(false) {
                        count(&intake.book.malformed);
                        relay::word(client, Word::Status(413), false);
                        drain(client, limits, &mut chunk);
                    }
                    return;
                }
            }
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            Err(problem) if matches!(problem.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {
                let first_over = client.first_left(limits).is_some_and(|left| left.is_zero());
                if coming
                    .as_ref()
                    .is_some_and(|part| first_over || part.began.elapsed() >= limits.client_read)
                {
                    if client.begin(false) {
                        count(&intake.book.malformed);
                        relay::word(client, Word::Status(408), false);
                        drain(client, limits, &mut chunk);
                    }
                    return;
                }
                if coming.is_none() {
                    client.part(); // unless a request is out; reading goes on, and finds the end
                }
            }
            Err(_) => return,
        }
    }
}

/// Reads what still comes after our last answer, so that it isn't cut off by a reset; of a body without end only so
/// much, since reading it costs time that others need.
fn drain(client: &Client, limits: &Limits, chunk: &mut [u8]) {
    let until = Instant::now() + limits.linger;
    let mut amount = 0;
    while amount < limits.linger_bytes {
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || client.wait_at_most(left).is_err() {
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
struct Coming {
    buffer: Buffer,
    began: Instant,
    seen: usize,
    chunks: Chunks,
    told_to_go_on: bool,
}

impl Coming {
    fn new(buffers: &Buffers) -> Coming {
        Coming {
            buffer: buffers.take(),
            began: Instant::now(),
            seen: 0,
            chunks: Chunks::default(),
            told_to_go_on: false,
        }
    }

    /// Takes one request if it is there whole.
    fn whole(
        &mut self,
        intake: &Intake,
        client: &Arc<Client>,
        open: &mut Option<Arc<Open>>,
    ) -> Result<Step, Malformed> {
        let limits = &intake.gate.limits;
        let bytes = self.buffer.bytes();
        if http::head_end(bytes, self.seen).is_none() {
            self.seen = bytes.len();
            return if bytes.len() > limits.head { Err(Malformed(431)) } else { Ok(Step::More) };
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
            if expects && !self.told_to_go_on && client.idle_for_more() {
                self.told_to_go_on = true;
                let _ = write_all(&client.stream, &[b"HTTP/1.1 100 Continue\r\n\r\n"]);
                // or it won't
            }
            return Ok(Step::More);
        };
        let path = head.target.split('?').next().unwrap_or("");
        if path == wire::READY {
            let serves = intake.ready.load(SeqCst) && !intake.stopping.load(SeqCst);
            if !client.begin(head.keep) {
                return Ok(Step::End);
            }
            let status = if serves { 200 } else { 503 };
            relay::word(client, Word::Status(status), true);
        } else if client.over() {
            if client.begin(false) {
                count(&intake.book.turned_away);
                relay::word(client, Word::Refused(None), false);
            }
            return Ok(Step::End);
        } else {
            let body: Vec<&[u8]> = parts.iter().map(|part| &after[part.clone()]).collect();
            let admitted = admit(&intake.gate, &head, &body, client, Instant::now())?;
            client.standing().proven = true;
            if !client.begin(head.keep) {
                return Ok(Step::End);
            }
            *open = Some(admitted.open.clone());
            count(&intake.book.taken);
            if let Err(back) = intake.notes.send(Note::Taken(Box::new(admitted))) {
                // The decision thread has ended: nobody else would answer.
                if let Note::Taken(admitted) = back.0 {
                    if admitted.open.claim() {
                        relay::word(client, Word::Failed, false);
                    }
                }
            }
        }
        let used = head.length + framed;
        self.buffer.cut(0..used);
        (self.seen, self.chunks, self.told_to_go_on) = (0, Chunks::default(), false);
        self.began = Instant::now();
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
        let (notes, told) = crossbeam_channel::bounded(8);
        let buffers = crate::buffers::Buffers::new(limits.buffer, 4);
        let gate = Gate { settings: config.settings, names: config.names, limits, buffers };
        let intake = Intake {
            gate,
            clients: Clients::default(),
            notes,
            book: Arc::default(),
            ready: AtomicBool::new(true),
            stopping: Arc::default(),
            closed: AtomicBool::new(false),
            thinning: AtomicBool::new(false),
        };
        let listener = TcpListener::bind(SocketAddr::from(([127, 0, 0, 1], 0))).unwrap();
        let asks = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        let client = Arc::new(Client::new(listener.accept().unwrap().0, Arc::default()));
        let request = "GET /api HTTP/1.1\r\nX-Txn: a\r\nX-Lane: lookup\r\nX-Remaining: 9000m\r\n\r\n";
        (&asks).write_all(request.as_bytes()).unwrap();
        while client.stream.peek(&mut [0; 512]).unwrap() < request.len() {}
        client.give_way();
        let attended = client.clone();
        std::thread::scope(|scope| {
            let thread = scope.spawn(|| attend(&intake, 0, &attended));
            let Ok(Note::Taken(admitted)) = told.recv() else { panic!("it is taken") };
            // Time enough for the thread to find the end that we made.
            let next = told.recv_timeout(Duration::from_millis(200));
            assert!(next.is_err(), "its client has not left");
            assert!(admitted.open.claim());
            relay::word(&client, Word::Failed, true);
            thread.join().unwrap();
        });
        let mut answer = String::new();
        (&asks).read_to_string(&mut answer).unwrap();
        assert!(answer.starts_with("HTTP/1.1 502 "), "{answer}");
        assert!(told.is_empty());
    }
}
