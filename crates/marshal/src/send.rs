//! Sending: one attempt at a node, written and read by a worker on a connection from the node's pool. Whether
//! an attempt may have run is known by whether its last byte was written; nothing is sent again from here.

use crate::book::{count, Book, Open};
use crate::buffers::{Buffer, Buffers};
use crate::client::write_all;
use crate::crew::Crew;
use crate::http::{self, Chunks, Framing};
use crate::limits::Limits;
use crate::relay::{self, Passing};
use crate::stage::{Carrier, Note, Order, Out};
use crate::wire;
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
pub struct Link {
    stream: TcpStream,
    open: Arc<AtomicUsize>,
}

impl Link {
    /// Whether it stands, as far as can be seen, and nothing has come on it.
    fn quiet(&self) -> bool {
        self.stream.set_nonblocking(true).is_ok()
            && matches!(self.stream.peek(&mut [0]), Err(problem) if problem.kind() == io::ErrorKind::WouldBlock)
            && self.stream.set_nonblocking(false).is_ok()
    }
}

impl Drop for Link {
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
    idle: Mutex<Vec<(Arc<Link>, Instant)>>,
    leaving: AtomicBool,
}

impl Node {
    /// A node that was listed.
    pub fn new(id: NodeId, addr: SocketAddr) -> Node {
        Node { id, addr, idle: Mutex::default(), leaving: AtomicBool::new(false) }
    }
    /// From here on nothing is sent there; what is being connected is dropped.
    pub fn leave(&self) {
        self.leaving.store(true, SeqCst);
        locked(&self.idle).clear();
    }
    /// Drops connections that have stood idle for too long.
    pub fn sweep(&self, longest: Duration) {
        locked(&self.idle).retain(|(_, since)| since.elapsed() < longest);
    }
    /// Idle connections.
    pub fn idle(&self) -> usize {
        locked(&self.idle).len()
    }
}

enum Slot {
    /// Not written yet.
    Waiting,
    /// On its way.
    Out(Arc<Link>),
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
    pub open: Arc<Open>,
    /// Its number.
    pub copy: u32,
    /// Its node.
    pub node: Arc<Node>,
    /// When the module sent it.
    pub sent: Instant,
    /// When it times out.
    pub until: Instant,
    slot: Mutex<Slot>,
    written: AtomicBool,
    passing: AtomicBool,
    heard: OnceLock<Instant>,
}

impl Attempt {
    /// One that the module wants.
    pub fn new(open: Arc<Open>, copy: u32, node: Arc<Node>, sent: Instant, until: Instant) -> Attempt {
        let (slot, written, passing) =
            (Mutex::new(Slot::Waiting), AtomicBool::new(false), AtomicBool::new(false));
        Attempt { open, copy, node, sent, until, slot, written, passing, heard: OnceLock::new() }
    }

    fn shut(&self, why: Slot) {
        let mut slot = locked(&self.slot);
        match &*slot {
            Slot::Ended | Slot::Cancelled | Slot::Late => return,
            Slot::Out(link) => {
                let _ = link.stream.shutdown(Shutdown::Both); // it may have ended by itself
            }
            Slot::Waiting => {}
        }
        *slot = why;
    }

    /// Why it was given up, if it was.
    fn given_up(&self) -> Option<Outcome> {
        match *locked(&self.slot) {
            Slot::Cancelled => Some(Outcome::Cancelled),
            Slot::Late if self.written.load(SeqCst) => Some(Outcome::Timeout),
            Slot::Late => Some(Outcome::ConnectFailed), // its last byte was never written
            _ => None,
        }
    }

    /// Lets go of a connection on which it was never whole; false where it was given up.
    fn unbind(&self) -> bool {
        let mut slot = locked(&self.slot);
        let out = matches!(*slot, Slot::Out(_));
        if out {
            *slot = Slot::Waiting;
        }
        out
    }

    /// Binds the attempt to its connection, unless it was given up.
    fn bind(&self, link: &Arc<Link>) -> bool {
        let mut slot = locked(&self.slot);
        let waits = matches!(*slot, Slot::Waiting);
        if waits {
            *slot = Slot::Out(link.clone());
        }
        waits
    }

    /// The connection is free again; false where it was shut.
    fn release(&self) -> bool {
        let mut slot = locked(&self.slot);
        let free = matches!(*slot, Slot::Out(_));
        *slot = Slot::Ended;
        free
    }
}

impl Out for Attempt {
    /// What isn't written yet never will be: its connection can't send any more.
    fn cancel(&self) {
        self.shut(Slot::Cancelled);
    }
    fn time_out(&self) {
        self.shut(Slot::Late);
    }
    fn passes(&self) -> bool {
        self.passing.load(SeqCst)
    }
    fn describe(&self) -> String {
        let slot = match &*locked(&self.slot) {
            Slot::Waiting => "waiting",
            Slot::Out(_) => "out",
            Slot::Cancelled => "cancelled",
            Slot::Late => "late",
            Slot::Ended => "ended",
        };
        let written = self.written.load(SeqCst);
        let over = self.until.elapsed().as_millis();
        let age = self.sent.elapsed().as_millis();
        format!("to {} {slot}, written {written}, sent {age} ms ago, over for {over} ms", self.node.id.0)
    }
}

/// How kept connections fare by the time that they stood idle, in bands of doubling length: in each the running
/// share, in thousandths, of those that broke before any answer. Guards against sides that let go of connections
/// sooner than they say, and say nothing when they do.
#[derive(Default)]
pub struct Wear {
    bands: [AtomicUsize; 8],
    all: AtomicUsize,
}

impl Wear {
    /// The end of the first band.
    const FIRST: Duration = Duration::from_millis(50);

    fn note(share: &AtomicUsize, broke: bool, of: usize) {
        let news = if broke { 1000 } else { 0 };
        // Another thread's update may get lost between: it is an estimate.
        share.store((share.load(SeqCst) * (of - 1) + news) / of, SeqCst);
    }

    /// One was used again.
    pub fn reused(&self, stood: Duration, broke: bool) {
        let band = (0..7).take_while(|&at| stood >= Wear::FIRST * (1 << at)).count();
        Wear::note(&self.bands[band], broke, 16);
        Wear::note(&self.all, broke, 64);
    }

    /// The share of all.
    pub fn all(&self) -> usize {
        self.all.load(SeqCst)
    }

    /// For how long one may have stood: to the first band in which far more break than in the youngest.
    pub fn longest(&self, limits: &Limits) -> Duration {
        let share = |band: usize| self.bands[band].load(SeqCst);
        let worn = |band: &usize| share(*band) > limits.worn_share.max(share(0) * 3);
        (1..8).find(worn).map_or(Duration::MAX, |band| Wear::FIRST * (1 << (band - 1)))
    }

    /// Forgets a little, so that what is not used any more is tried again some day.
    pub fn ease(&self) {
        for share in &self.bands {
            let now = share.load(SeqCst);
            share.store(now - now.div_ceil(32), SeqCst);
        }
    }
}

/// What the workers share.
pub struct Senders {
    /// The limits.
    pub limits: Limits,
    /// The pool.
    pub buffers: Buffers,
    /// The counters.
    pub book: Arc<Book>,
    /// The way back to the decision thread.
    pub notes: Sender<Note>,
    open: Arc<AtomicUsize>,
    nodes: Mutex<Vec<Weak<Node>>>,
    /// How kept connections fare.
    pub wear: Wear,
}

impl Senders {
    /// No worker yet.
    pub fn new(limits: &Limits, buffers: &Buffers, book: &Arc<Book>, notes: Sender<Note>) -> Senders {
        Senders {
            limits: limits.clone(),
            buffers: buffers.clone(),
            book: book.clone(),
            notes,
            open: Arc::default(),
            nodes: Mutex::default(),
            wear: Wear::default(),
        }
    }

    /// Makes a node's idle connections known to those who need room.
    pub fn list(&self, node: &Arc<Node>) {
        let mut nodes = locked(&self.nodes);
        nodes.retain(|node| node.strong_count() > 0);
        nodes.push(Arc::downgrade(node));
    }

    /// One attempt from beginning to end; it always gets its end, whatever happens in between.
    pub fn work(&self, attempt: &Arc<Attempt>) {
        let done = catch_unwind(AssertUnwindSafe(|| self.exchange(attempt)));
        let verdict = done.unwrap_or_else(|_| {
            count(&self.book.defects);
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
        let at = attempt.heard.get().copied().unwrap_or_else(Instant::now);
        let note = Note::Ended { id: attempt.open.id.clone(), copy: attempt.copy, verdict, at };
        let _ = self.notes.send(note); // it ends only with us
    }

    fn exchange(&self, attempt: &Arc<Attempt>) -> Outcome {
        let left = attempt.until.saturating_duration_since(Instant::now());
        match attempt.given_up() {
            Some(Outcome::Cancelled) => return Outcome::Cancelled,
            None if !left.is_zero() && !attempt.node.leaving.load(SeqCst) => {}
            _ => return Outcome::NotSent, // it never began
        }
        let mut kept = self.limits.kept_tries;
        let (link, stood) = loop {
            let idle = if kept > 0 { self.idle(&attempt.node) } else { None };
            let stood = idle.as_ref().map(|(_, stood)| *stood);
            let link = match idle {
                Some((link, _)) => link,
                None => match self.connect(&attempt.node, left) {
                    Ok(link) => link,
                    Err(verdict) => return attempt.given_up().unwrap_or(verdict),
                },
            };
            // The list may have changed, and the module its mind, while the connection came up.
            if attempt.node.leaving.load(SeqCst) {
                return Outcome::NotSent;
            }
            if !attempt.bind(&link) {
                self.put_back(&attempt.node, link);
                return attempt.given_up().unwrap_or(Outcome::ConnectFailed);
            }
            if self.write(attempt, &link).is_ok() {
                break (link, stood);
            }
            // Nothing whole has left: a kept connection that turns out dead is replaced within the attempt. It
            // tells nothing of the node; a new one that breaks does.
            kept = kept.saturating_sub(1);
            if stood.is_none() || !attempt.unbind() {
                return attempt.given_up().unwrap_or(Outcome::ConnectFailed);
            }
        };
        let mut buffer = self.buffers.take();
        let answer = self.read(attempt, &link, &mut buffer);
        if let Some(stood) = stood {
            let broke = answer.is_err() && buffer.bytes().is_empty() && attempt.given_up().is_none();
            self.wear.reused(stood, broke);
        }
        match answer {
            Ok((verdict, keep)) => {
                if attempt.release() && keep {
                    self.put_back(&attempt.node, link);
                }
                verdict
            }
            Err(verdict) => {
                let given_up = attempt.given_up();
                if given_up.is_none() {
                    let came = &buffer.bytes()[..buffer.bytes().len().min(200)];
                    let after = attempt.sent.elapsed();
                    let node = &attempt.node.id.0;
                    log::debug!("spoilt by {node} after {after:?}, stood {stood:?}: {}", came.escape_ascii());
                }
                given_up.unwrap_or(verdict)
            }
        }
    }

    /// Writes the request. Guards against connections that the other side has dropped unseen: where a repeat is not
    /// allowed, or kept connections turn out dead, its last byte is held until what came before it has had time
    /// to be refused. What breaks before that byte has never run.
    fn write(&self, attempt: &Attempt, link: &Link) -> io::Result<()> {
        let Some(socket) = &attempt.open.socket else { return Err(io::ErrorKind::NotConnected.into()) };
        let (head, body) = socket.message.bytes().split_at(socket.body_at);
        let line = wire::remaining_line(attempt.until.saturating_duration_since(Instant::now()));
        let end: &[u8] = b"\r\n";
        let wary = attempt.open.once || self.wear.all() > self.limits.broken_share;
        if wary {
            let (end, body, last) = match body.split_last() {
                Some((last, rest)) => (end, rest, *last),
                None => (&end[..1], body, b'\n'),
            };
            write_all(&link.stream, &[head, line.as_bytes(), end, body])?;
            std::thread::sleep(self.limits.hold_last);
            if !link.quiet() {
                return Err(io::ErrorKind::ConnectionReset.into());
            }
            write_all(&link.stream, &[&[last]])?;
        } else {
            write_all(&link.stream, &[head, line.as_bytes(), end, body])?;
        }
        attempt.written.store(true, SeqCst);
        Ok(())
    }

    /// Reads the answer and passes it on if it is the first. The decision thread ends the wait, by shutting
    /// the connection: a time-out of the socket's own may come an eighth later.
    fn read(&self, attempt: &Attempt, link: &Link, buffer: &mut Buffer) -> Result<(Outcome, bool), Outcome> {
        let limits = &self.limits;
        let mut chunks = Chunks::default();
        let mut interim = 0;
        loop {
            // The head is read anew with each piece: answers are short and come in one.
            let bytes = buffer.bytes();
            let whole = match http::answer(bytes, limits) {
                Err(_) => return Err(Outcome::Reset),
                Ok(None) => None,
                // Guards against interim answers without end.
                Ok(Some(head)) if head.status < 200 && interim >= limits.interim => {
                    return Err(Outcome::Reset)
                }
                Ok(Some(head)) if head.status < 200 => {
                    interim += 1;
                    let length = head.length;
                    buffer.cut(0..length); // an interim answer; the real one follows
                    continue;
                }
                Ok(Some(head)) => {
                    let after = &bytes[head.length..];
                    let (parts, whole, rest) = match head.framing {
                        Framing::Length(size) if size > limits.body => {
                            if head.status != 200 {
                                return Ok((Outcome::Error, false));
                            }
                            return self.pass_on(attempt, link, &head, (after, size));
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
                let turned = head.get(wire::TURNED_AWAY) == Some("1");
                let verdict = match head.status {
                    200 => Outcome::Ok,
                    503 | 504 if turned => Outcome::Rejected,
                    _ => Outcome::Error,
                };
                attempt.heard.get_or_init(Instant::now);
                if verdict == Outcome::Ok && attempt.open.claim() {
                    let body: Vec<&[u8]> = parts.iter().map(|part| &after[part.clone()]).collect();
                    let written = relay::served(&attempt.open, &head, &body);
                    count(if written { &self.book.served } else { &self.book.gone });
                }
                return Ok((verdict, head.keep && !rest));
            }
            let room = buffer.room();
            if room.is_empty() {
                return Err(Outcome::Reset); // longer than an answer may be
            }
            match (&link.stream).read(room) {
                Ok(0) => return Err(Outcome::Reset),
                Ok(read) => buffer.grow(read),
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
                Err(_) => return Err(Outcome::Reset),
            }
        }
    }

    /// Passes an answer on as it comes, too long to be held whole. From its first byte on the client has this one
    /// answer and no other; where it breaks off, the client's connection ends and it can tell.
    fn pass_on(
        &self,
        attempt: &Attempt,
        link: &Link,
        head: &http::Head<'_>,
        (came, size): (&[u8], usize),
    ) -> Result<(Outcome, bool), Outcome> {
        if !attempt.open.claim() {
            return Ok((Outcome::Ok, false));
        }
        attempt.passing.store(true, SeqCst);
        let began = *attempt.heard.get_or_init(Instant::now);
        let _ = self.notes.send(Note::Started(attempt.open.id.clone(), attempt.copy)); // it ends only with us
                                                                                       // From here on the verdict is the node's or the client's, whoever ended the wait.
        let gone = || {
            count(&self.book.gone);
            Ok((Outcome::Cancelled, false))
        };
        let Some(mut passing) = Passing::begin(&attempt.open, head, size) else { return gone() };
        if !passing.put(came) {
            return gone();
        }
        let mut buffer = self.buffers.take();
        while passing.left() > 0 {
            let read = match (&link.stream).read(buffer.room()) {
                Ok(read) if read > 0 => read,
                Err(problem) if problem.kind() == io::ErrorKind::Interrupted => continue,
                // Its time ran out, and most of it went into a client that reads slowly: nothing is told of the node.
                _ if attempt.given_up().is_some() && passing.writing() > began.elapsed() / 2 => {
                    return gone()
                }
                _ => {
                    count(&self.book.failed);
                    return Err(Outcome::Reset);
                }
            };
            let rest = read > passing.left();
            buffer.grow(read);
            if !passing.put(buffer.bytes()) {
                return gone();
            }
            buffer.cut(0..read);
            if passing.left() == 0 {
                count(&self.book.served);
                return Ok((Outcome::Ok, head.keep && !rest));
            }
        }
        count(&self.book.served);
        Ok((Outcome::Ok, head.keep && came.len() == size))
    }

    /// An idle connection that is still open, the latest used first; but rather one that has been quiet for a
    /// moment. Guards against bytes that come right behind an answer: they must not pass for the next one's.
    fn idle(&self, node: &Node) -> Option<(Arc<Link>, Duration)> {
        loop {
            let (link, since) = {
                let mut idle = locked(&node.idle);
                let quiet = idle.iter().rposition(|(_, since)| since.elapsed() >= self.limits.node_quiet);
                let at = quiet.or(idle.len().checked_sub(1))?;
                idle.remove(at)
            };
            let longest = self.limits.node_idle.min(self.wear.longest(&self.limits));
            if since.elapsed() >= longest {
                locked(&node.idle).retain(|(_, since)| since.elapsed() < longest);
                return None;
            }
            // Guards against writing to one that the node has closed: that would end as a reset.
            if link.quiet() {
                return Some((link, since.elapsed()));
            }
        }
    }

    fn put_back(&self, node: &Node, link: Arc<Link>) {
        let mut idle = locked(&node.idle);
        if !node.leaving.load(SeqCst) && idle.len() < self.limits.idle_per_node {
            idle.push((link, Instant::now()));
        }
    }

    /// A new connection; at the limit, the one that has stood idle for longest gives way.
    fn connect(&self, node: &Node, left: Duration) -> Result<Arc<Link>, Outcome> {
        if self.open.fetch_add(1, SeqCst) >= self.limits.node_connections {
            self.make_room();
        }
        let open = self.open.clone();
        let made = TcpStream::connect_timeout(&node.addr, left.min(self.limits.connect));
        let stream = match made {
            Ok(stream) => stream,
            Err(problem) => {
                open.fetch_sub(1, SeqCst);
                log::debug!("connecting to {}: {problem}", node.addr);
                let ours = matches!(problem.raw_os_error(), Some(23 | 24 | 99)); // no descriptor, no port
                return Err(if ours { Outcome::NotSent } else { Outcome::ConnectFailed });
            }
        };
        let link = Link { stream, open };
        let set = link.stream.set_nodelay(true);
        if set.and_then(|()| link.stream.set_write_timeout(Some(self.limits.node_write))).is_err() {
            return Err(Outcome::ConnectFailed);
        }
        count(&self.book.connections);
        Ok(Arc::new(link))
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
pub struct Pools {
    senders: Arc<Senders>,
    crew: Crew<Arc<Attempt>>,
    nodes: HashMap<NodeId, (Arc<Node>, NodeEntry)>,
}

impl Pools {
    /// No node yet.
    pub fn new(senders: Arc<Senders>) -> io::Result<Pools> {
        let (limits, shared) = (&senders.limits, senders.clone());
        let crew = Crew::new(
            "send",
            limits.crew(limits.node_connections, limits.node_connections),
            move |attempt: Arc<Attempt>| {
                shared.work(&attempt);
            },
        )?;
        Ok(Pools { senders, crew, nodes: HashMap::new() })
    }
}

impl Carrier for Pools {
    fn begin(&mut self, order: Order) -> Option<Arc<dyn Out>> {
        let Order { open, copy, node, sent, until } = order;
        let (node, _) = self.nodes.get(&node)?;
        let attempt = Arc::new(Attempt::new(open, copy, node.clone(), sent, until));
        count(&self.senders.book.attempts);
        self.crew.hand(attempt.clone()).is_ok().then_some(attempt)
    }

    /// Connections to a node that leaves, or comes back anew, are dropped.
    fn fleet(&mut self, form: FleetUpdateKind, entries: &[(NodeEntry, SocketAddr)]) {
        if matches!(form, FleetUpdateKind::Replace | FleetUpdateKind::Restored) {
            let listed: HashSet<&NodeId> = entries.iter().map(|(entry, _)| &entry.node).collect();
            let gone = self.nodes.extract_if(|id, _| !listed.contains(id));
            gone.for_each(|(_, (node, _))| node.leave());
        }
        for (entry, addr) in entries {
            let before = self.nodes.get(&entry.node);
            let same = before.is_some_and(|(node, b)| {
                b.started == entry.started && b.build == entry.build && node.addr == *addr
            });
            let serves = entry.state == NodeState::InService;
            let back = before.is_some_and(|(_, before)| before.state != NodeState::InService);
            if let Some((node, _)) = before.filter(|_| !same || !serves) {
                node.leave();
            }
            if entry.state == NodeState::Terminated {
                self.nodes.remove(&entry.node);
                continue;
            }
            let kept = before.map(|(node, _)| node.clone()).filter(|_| same && !(serves && back));
            let node = kept.unwrap_or_else(|| {
                let node = Arc::new(Node::new(entry.node.clone(), *addr));
                if !serves {
                    node.leave();
                }
                self.senders.list(&node);
                node
            });
            self.nodes.insert(entry.node.clone(), (node, entry.clone()));
        }
    }

    fn sweep(&mut self) {
        let limits = &self.senders.limits;
        let longest = limits.node_idle.min(self.senders.wear.longest(limits));
        self.nodes.values().for_each(|(node, _)| node.sweep(longest));
        self.senders.wear.ease();
    }

    fn report(&self) -> String {
        let (links, workers) = (self.senders.open.load(SeqCst), self.crew.threads());
        let idle: usize = self.nodes.values().map(|(node, _)| node.idle()).sum();
        format!("node connections {links} idle {idle}, workers {workers}")
    }
}
