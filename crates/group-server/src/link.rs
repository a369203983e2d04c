//! Links to peers: a thread each that dials, greets and writes what waits, and one for each connection that was
//! accepted, which checks and reads. Whatever is oversized, garbled, foreign or stale ends its connection, is counted,
//! and leaves at most one line a minute in the log.

use crate::frame::{self, framed, Hello, Session, Welcome, GREETING, LONGEST};
use crate::settings::Settings;
use crossbeam_channel::{bounded, Receiver, RecvTimeoutError, Sender};
use milletwing_group::record::Member;
use milletwing_group::MemberId;
use prost::Message;
use rand::Rng;
use std::collections::BTreeMap;
use std::io::{self, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time for a connection to come up, for a greeting, and for a write.
const PATIENCE: Duration = Duration::from_secs(1);
/// Silence after which a connection that was accepted ends.
const IDLE: Duration = Duration::from_secs(30);
/// First and longest pause before dialling again.
const PAUSES: (Duration, Duration) = (Duration::from_millis(20), Duration::from_secs(1));
/// Connections accepted at once.
const MOST: usize = 512;

/// What a peer sent.
pub struct Arrived {
    /// Who.
    pub from: MemberId,
    /// `frame::RAFT` or `frame::NOTE`.
    pub kind: u32,
    /// The content.
    pub body: Vec<u8>,
}

/// What went wrong on links, by cause.
#[derive(Default)]
pub struct Troubles {
    counts: Mutex<BTreeMap<String, (u64, Option<Instant>)>>,
}

fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

impl Troubles {
    /// Counts one, and tells of its kind once a minute at most.
    pub fn count(&self, why: &str, detail: &str) {
        let mut counts = locked(&self.counts);
        // Causes are words of this program; nothing that a stranger sends makes a new one.
        let (count, told) = counts.entry(why.to_string()).or_default();
        *count += 1;
        if told.is_none_or(|at| at.elapsed() >= Duration::from_secs(60)) {
            *told = Some(Instant::now());
            log::warn!("group: {why} ({count} so far): {}", detail.escape_debug());
        }
    }
    /// All counts.
    pub fn all(&self) -> BTreeMap<String, u64> {
        locked(&self.counts).iter().map(|(why, (count, _))| (why.clone(), *count)).collect()
    }
}

/// Who is in the group, as links need to know it.
#[derive(Default)]
pub struct Roll {
    /// Members by the record; empty before anything is known.
    pub members: BTreeMap<MemberId, Member>,
    /// Whether the record is known.
    pub known: bool,
}

/// What the threads of links share.
pub struct Shared {
    settings: Settings,
    store: u128,
    roll: Mutex<Roll>,
    /// What went wrong.
    pub troubles: Troubles,
    open: Mutex<BTreeMap<u64, TcpStream>>,
    accepted: AtomicUsize,
    numbers: AtomicU64,
    over: AtomicBool,
    /// Bytes written to peers.
    pub sent: AtomicU64,
}

impl Shared {
    fn address(&self, to: MemberId) -> Option<SocketAddr> {
        let own = locked(&self.roll).members.get(&to).map(|member| member.address.clone());
        let routed = self.settings.routes.get(&to).cloned();
        routed.or(own).or_else(|| self.settings.members.get(&to).cloned())?.parse().ok()
    }

    /// Why a peer is not listened to, if so.
    fn objection(&self, hello: &Hello) -> Option<&'static str> {
        let roll = locked(&self.roll);
        if !roll.known {
            return None;
        }
        match roll.members.get(&hello.from) {
            None => Some("no member"),
            // Guards against one that lost its store and goes on voting under its old number.
            Some(member) if member.store.is_some_and(|store| store != hello.store()) => {
                Some("another store than the member's")
            }
            Some(_) => None,
        }
    }
}

/// All links of an instance.
pub struct Links {
    /// What they share.
    pub shared: Arc<Shared>,
    peers: BTreeMap<MemberId, Sender<(u32, Vec<u8>)>>,
    stack: usize,
}

fn spawn(name: &str, stack: usize, work: impl FnOnce() + Send + 'static) -> io::Result<()> {
    std::thread::Builder::new().name(name.into()).stack_size(stack).spawn(work).map(drop)
}

fn read_framed(mut stream: &TcpStream, longest: usize) -> io::Result<Vec<u8>> {
    let mut size = [0; 4];
    stream.read_exact(&mut size)?;
    let size = u32::from_be_bytes(size) as usize;
    if size > longest {
        return Err(io::Error::new(io::ErrorKind::InvalidData, format!("a frame of {size} bytes")));
    }
    // Grows with what comes: a length alone takes no memory.
    let mut body = Vec::new();
    stream.take(size as u64).read_to_end(&mut body)?;
    if body.len() < size {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(body)
}

impl Links {
    /// Listens, and hands on what comes; who is listened to is told by `roll`.
    pub fn start(settings: &Settings, store: u128, arrived: Sender<Arrived>) -> io::Result<Links> {
        let listener = TcpListener::bind(settings.listen)?;
        let shared = Arc::new(Shared {
            settings: settings.clone(),
            store,
            roll: Mutex::default(),
            troubles: Troubles::default(),
            open: Mutex::default(),
            accepted: AtomicUsize::new(0),
            numbers: AtomicU64::new(0),
            over: AtomicBool::new(false),
            sent: AtomicU64::new(0),
        });
        let stack = 256 << 10;
        let accepting = shared.clone();
        spawn("group-accept", stack, move || accept(&accepting, &listener, &arrived, stack))?;
        Ok(Links { shared, peers: BTreeMap::new(), stack })
    }

    /// Who is in the group from now on. Connections of those who are not end.
    pub fn roll(&mut self, members: &BTreeMap<MemberId, Member>, known: bool) {
        {
            let mut roll = locked(&self.shared.roll);
            if roll.known == known && roll.members == *members {
                return;
            }
            (roll.members, roll.known) = (members.clone(), known);
        }
        self.peers.retain(|id, _| members.contains_key(id)); // a thread whose queue has gone ends
        for stream in locked(&self.shared.open).values() {
            let _ = stream.shutdown(Shutdown::Both); // peers that are still welcome dial again
        }
    }

    /// Queues something for a peer. What doesn't fit is dropped and counted: whatever matters is sent again.
    pub fn send(&mut self, to: MemberId, kind: u32, body: Vec<u8>) {
        if !self.peers.contains_key(&to) {
            let (send, queue) = bounded(self.shared.settings.queue);
            let shared = self.shared.clone();
            if let Err(problem) = spawn("group-peer", self.stack, move || write(&shared, to, &queue)) {
                return self.shared.troubles.count("no thread for a peer", &problem.to_string());
            }
            self.peers.insert(to, send);
        }
        if self.peers[&to].try_send((kind, body)).is_err() {
            self.shared.troubles.count("a peer's queue is full", &format!("member {to}"));
        }
    }

    /// Ends all of them.
    pub fn end(&mut self) {
        self.shared.over.store(true, SeqCst);
        self.peers.clear();
        locked(&self.shared.open).values().for_each(|stream| {
            let _ = stream.shutdown(Shutdown::Both); // it may have ended by itself
        });
        let wake = TcpStream::connect_timeout(&self.shared.settings.listen, PATIENCE);
        drop(wake); // whoever accepts sees that it is over
    }
}

fn dial(shared: &Shared, to: MemberId) -> io::Result<(TcpStream, Session)> {
    let address = shared.address(to).ok_or(io::ErrorKind::AddrNotAvailable)?;
    let stream = TcpStream::connect_timeout(&address, PATIENCE)?;
    stream.set_nodelay(true)?;
    stream.set_write_timeout(Some(PATIENCE))?;
    stream.set_read_timeout(Some(PATIENCE))?;
    let Settings { secret, group, member, .. } = &shared.settings;
    let hello = Hello::new(secret, group, *member, to, shared.store);
    (&stream).write_all(&framed(&hello))?;
    let answer = read_framed(&stream, GREETING)?;
    let welcome = Welcome::decode(answer.as_slice()).ok().filter(|welcome| welcome.fits(secret, &hello));
    let welcome =
        welcome.ok_or_else(|| io::Error::new(io::ErrorKind::PermissionDenied, "not greeted by a member"))?;
    let session = Session::new(secret, &hello, &welcome);
    Ok((stream, session))
}

/// Writes what waits for a peer until its queue is dropped.
fn write(shared: &Shared, to: MemberId, queue: &Receiver<(u32, Vec<u8>)>) {
    let mut line: Option<(TcpStream, Session)> = None;
    let mut pause = PAUSES.0;
    let mut next = Instant::now();
    loop {
        let (kind, body) = match queue.recv_timeout(IDLE / 2) {
            Ok(waiting) => waiting,
            Err(RecvTimeoutError::Timeout) => continue,
            Err(RecvTimeoutError::Disconnected) => return,
        };
        if line.is_none() {
            // What is queued while the peer is away is old by the time it is back: it is dropped, not kept.
            if Instant::now() < next {
                continue;
            }
            match dial(shared, to) {
                Ok(made) => (line, pause) = (Some(made), PAUSES.0),
                Err(problem) => {
                    shared.troubles.count("a peer can't be reached", &format!("member {to}: {problem}"));
                    next = Instant::now() + pause.mul_f64(rand::rng().random_range(0.5..1.5));
                    pause = (pause * 2).min(PAUSES.1);
                    continue;
                }
            }
        }
        if let Some((stream, session)) = &mut line {
            let frame = session.seal(kind, body);
            shared.sent.fetch_add(frame.len() as u64, SeqCst);
            if stream.write_all(&frame).is_err() {
                line = None;
            }
        }
    }
}

fn accept(shared: &Arc<Shared>, listener: &TcpListener, arrived: &Sender<Arrived>, stack: usize) {
    loop {
        let accepted = listener.accept();
        if shared.over.load(SeqCst) {
            return;
        }
        let Ok((stream, from)) = accepted else {
            shared.troubles.count("accepting failed", "");
            std::thread::sleep(Duration::from_millis(20));
            continue;
        };
        if shared.accepted.load(SeqCst) >= MOST {
            shared.troubles.count("too many connections", &from.to_string());
            continue;
        }
        shared.accepted.fetch_add(1, SeqCst);
        let (own, arrived) = (shared.clone(), arrived.clone());
        let spawned = spawn("group-read", stack, move || {
            let number = own.numbers.fetch_add(1, SeqCst);
            if let Ok(other) = stream.try_clone() {
                locked(&own.open).insert(number, other);
            }
            if let Err((why, detail)) = serve(&own, &stream, &arrived) {
                own.troubles.count(why, &format!("{from}: {detail}"));
            }
            let _ = stream.shutdown(Shutdown::Both); // it may have ended by itself
            locked(&own.open).remove(&number);
            own.accepted.fetch_sub(1, SeqCst);
        });
        if spawned.is_err() {
            shared.accepted.fetch_sub(1, SeqCst);
        }
    }
}

fn serve(
    shared: &Shared,
    stream: &TcpStream,
    arrived: &Sender<Arrived>,
) -> Result<(), (&'static str, String)> {
    let settings = &shared.settings;
    let broken = |problem: io::Error| ("a greeting that did not come", problem.to_string());
    stream.set_nodelay(true).map_err(broken)?;
    stream.set_read_timeout(Some(PATIENCE)).map_err(broken)?;
    stream.set_write_timeout(Some(PATIENCE)).map_err(broken)?;
    let bytes = read_framed(stream, GREETING).map_err(|problem| match problem.kind() {
        io::ErrorKind::InvalidData => ("an oversized greeting", problem.to_string()),
        _ => broken(problem),
    })?;
    let hello =
        Hello::decode(bytes.as_slice()).map_err(|problem| ("a garbled greeting", problem.to_string()))?;
    if let Some(why) = hello.objection(&settings.secret, &settings.group, settings.member) {
        return Err(("a foreign greeting", format!("{why}: group {}, member {}", hello.group, hello.from)));
    }
    if let Some(why) = shared.objection(&hello) {
        return Err(("a peer that is turned away", format!("{why}: member {}", hello.from)));
    }
    let welcome = Welcome::new(&settings.secret, &hello);
    let mut writer = stream;
    writer.write_all(&framed(&welcome)).map_err(broken)?;
    let mut session = Session::new(&settings.secret, &hello, &welcome);
    stream.set_read_timeout(Some(IDLE)).map_err(broken)?;
    loop {
        let bytes = match read_framed(stream, LONGEST) {
            Ok(bytes) => bytes,
            Err(problem) if problem.kind() == io::ErrorKind::InvalidData => {
                return Err(("an oversized frame", problem.to_string()));
            }
            Err(_) => return Ok(()), // it ended, or was idle
        };
        let (kind, body) = session
            .open(&bytes)
            .map_err(|why| ("a frame that does not fit", format!("member {}: {why}", hello.from)))?;
        if kind != frame::RAFT && kind != frame::NOTE {
            return Err(("a frame of an unknown kind", format!("member {}: {kind}", hello.from)));
        }
        if arrived.send(Arrived { from: hello.from, kind, body }).is_err() {
            return Ok(());
        }
    }
}
