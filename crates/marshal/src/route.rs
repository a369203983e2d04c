//! The decision thread: it alone owns the module, the table of requests and the timers. It waits for nothing
//! but its one channel, and does what the module says.

use crate::admit::Admitted;
use crate::book::{count, Book, Open};
use crate::clock::{span, Clock};
use crate::discovery::Ask;
use crate::limits::Limits;
use crate::platform::Ballot;
use crate::relay::{Relays, Word};
use crate::send::{Attempt, Node, Senders};
use crossbeam_channel::{Receiver, RecvTimeoutError, Sender};
use milletwing_decision::interface::{
    Action, Build, Event, FleetForm, Ms, NodeEntry, NodeId, NodeState, Phase, RequestId, Settings, StageNews,
    Verdict,
};
use milletwing_decision::Marshal;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Instant;

/// What the decision thread is told.
pub enum Note {
    /// A request was taken.
    Taken(Box<Admitted>),
    /// Its client left.
    Gone(Arc<Open>),
    /// An attempt ended.
    Ended {
        /// The attempt.
        attempt: Arc<Attempt>,
        /// How.
        verdict: Verdict,
        /// When.
        at: Instant,
    },
    /// The answer to an attempt is being passed on as it comes.
    Started(RequestId, u32),
    /// Discovery told something; addresses beside the entries.
    Fleet(FleetForm, Vec<(NodeEntry, SocketAddr)>),
    /// The platform told something.
    Told(Event),
    /// A vote was answered, or went unheard; `None`: by what is no state.
    Vote(u64, Result<StageNews, Verdict>),
    /// The end; for embedding.
    Stop,
}

enum Due {
    Alarm(String),
    Answer(RequestId),
    Attempt(Arc<Attempt>),
    Vote(u64),
    Sweep,
    Report,
}

type When = (Instant, u64);

/// A request that owes its answer or has attempts out.
struct Entry {
    open: Arc<Open>,
    copies: u32,
    /// Attempts and the timers that cut them off.
    out: Vec<(Arc<Attempt>, When)>,
    due: Option<When>,
}

/// What the decision thread works with.
pub struct Tools {
    /// The module's settings.
    pub settings: Settings,
    /// Its seed.
    pub seed: u64,
    /// The limits.
    pub limits: Limits,
    /// The clock.
    pub clock: Clock,
    /// The counters.
    pub book: Arc<Book>,
    /// Who sends attempts.
    pub senders: Arc<Senders>,
    /// Who words answers.
    pub relays: Relays,
    /// Who speaks with the platform.
    pub ballots: Sender<Ballot>,
    /// Who asks discovery.
    pub asks: Sender<Ask>,
}

/// The decision thread's own.
pub struct Route {
    tools: Tools,
    marshal: Marshal,
    actions: Vec<Action>,
    nodes: HashMap<NodeId, Arc<Node>>,
    /// The list and the news as told last, for a module that has to begin anew.
    listed: BTreeMap<NodeId, NodeEntry>,
    news: Option<StageNews>,
    table: HashMap<RequestId, Entry>,
    timers: BTreeMap<When, Due>,
    votes: HashMap<u64, When>,
    numbers: u64,
}

impl Route {
    /// Begins with the list and the news that the configuration holds.
    pub fn new(tools: Tools, known: Vec<(NodeEntry, SocketAddr)>, news: Option<StageNews>) -> Route {
        let marshal = Marshal::new(tools.settings.clone(), tools.seed);
        let mut route = Route {
            tools,
            marshal,
            actions: Vec::new(),
            nodes: HashMap::new(),
            listed: BTreeMap::new(),
            news: None,
            table: HashMap::new(),
            timers: BTreeMap::new(),
            votes: HashMap::new(),
            numbers: 0,
        };
        let now = Instant::now();
        route.set(now + route.tools.limits.sweep, Due::Sweep);
        route.set(now + route.tools.limits.report, Due::Report);
        route.deliver(Event::Start);
        route.take(Note::Fleet(FleetForm::Restored, known));
        if let Some(news) = news {
            route.take(Note::Told(Event::Stage(news)));
        }
        route
    }

    /// Works until told to stop.
    pub fn run(mut self, notes: &Receiver<Note>) {
        loop {
            let next = match self.timers.first_key_value() {
                Some((&(at, _), _)) => notes.recv_deadline(at),
                None => notes.recv().map_err(|_| RecvTimeoutError::Disconnected),
            };
            match next {
                Ok(Note::Stop) | Err(RecvTimeoutError::Disconnected) => return,
                Ok(note) => self.take(note),
                Err(RecvTimeoutError::Timeout) => {}
            }
            let now = Instant::now();
            while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
                let (when, due) = entry.remove_entry();
                self.fire(when, due);
            }
        }
    }

    fn set(&mut self, at: Instant, due: Due) -> When {
        self.numbers += 1;
        self.timers.insert((at, self.numbers), due);
        (at, self.numbers)
    }

    /// Tells the module, and does what it says. A module that panics loses no request: what is open fails,
    /// and a new one begins with the list and the news as told last.
    fn deliver(&mut self, event: Event) {
        let now = self.tools.clock.ms(Instant::now());
        let mut actions = std::mem::take(&mut self.actions);
        let told = catch_unwind(AssertUnwindSafe(|| self.marshal.handle(now, event, &mut actions)));
        if told.is_err() {
            actions.clear();
            self.begin_anew(now, &mut actions);
        }
        for action in actions.drain(..) {
            self.act(action);
        }
        self.actions = actions;
    }

    fn begin_anew(&mut self, now: Ms, actions: &mut Vec<Action>) {
        count(&self.tools.book.defects);
        log::error!("the module panicked: what is open fails, and it begins anew");
        for entry in self.table.values_mut() {
            entry.out.iter().for_each(|(attempt, _)| attempt.cancel());
            if entry.open.claim() {
                count(&self.tools.book.failed);
                self.tools.relays.hand(entry.open.clone(), Word::Failed);
            }
        }
        self.timers.retain(|_, due| !matches!(due, Due::Alarm(_)));
        self.marshal = Marshal::new(self.tools.settings.clone(), self.tools.seed.wrapping_add(self.numbers));
        self.marshal.handle(now, Event::Start, actions);
        let list = self.listed.values().cloned().collect();
        self.marshal.handle(now, Event::Fleet(FleetForm::Replace, list), actions);
        if let Some(news) = self.news.clone() {
            self.marshal.handle(now, Event::Stage(news), actions);
        }
    }

    fn take(&mut self, note: Note) {
        match note {
            Note::Taken(admitted) => self.taken(*admitted),
            Note::Gone(open) => {
                if open.claim() {
                    count(&self.tools.book.gone);
                    if let Some(entry) = self.table.get(&open.id) {
                        let out: Vec<String> = entry.out.iter().map(|(a, _)| a.describe()).collect();
                        let left = open.deadline.saturating_duration_since(Instant::now());
                        log::debug!("client left with {left:?} to go, {} copies, out: {out:?}", entry.copies);
                    }
                    self.finished(&open.id);
                    self.deliver(Event::ClientGone(open.id.clone()));
                }
            }
            Note::Started(id, copy) => self.deliver(Event::Started(id, copy)),
            Note::Ended { attempt, verdict, at } => self.ended(&attempt, verdict, at),
            Note::Fleet(form, entries) => self.fleet(form, entries),
            Note::Told(event) => {
                if let Event::Stage(news) = &event {
                    self.news = Some(news.clone());
                }
                self.deliver(event);
            }
            Note::Vote(number, answer) => self.voted(number, answer),
            Note::Stop => {}
        }
    }

    fn taken(&mut self, admitted: Admitted) {
        let Admitted { open, class, key, tenant, work_hint, is_retry } = admitted;
        if self.table.contains_key(&open.id) {
            // Two open requests with one id could not be told apart; the first goes on.
            if open.claim() {
                count(&self.tools.book.malformed);
                self.tools.relays.hand(open, Word::Status(409));
            }
            return;
        }
        let id = open.id.clone();
        let due = self.set(open.deadline + self.tools.limits.overdue, Due::Answer(id.clone()));
        let left = open.deadline.saturating_duration_since(Instant::now());
        let expires_in = Ms(left.as_secs_f64() * 1000.0);
        self.table.insert(id.clone(), Entry { open, copies: 0, out: Vec::new(), due: Some(due) });
        self.deliver(Event::Request { id, class, key, tenant, expires_in, work_hint, is_retry });
    }

    /// A request has its answer: nothing is overdue any more. It is forgotten with its last attempt.
    fn finished(&mut self, id: &RequestId) {
        let Some(entry) = self.table.get_mut(id) else { return };
        if let Some(due) = entry.due.take() {
            self.timers.remove(&due);
        }
        if entry.out.is_empty() {
            self.table.remove(id);
        }
    }

    fn ended(&mut self, attempt: &Arc<Attempt>, verdict: Verdict, at: Instant) {
        let id = attempt.open.id.clone();
        let Some(entry) = self.table.get_mut(&id) else { return };
        let Some(place) = entry.out.iter().position(|(out, _)| Arc::ptr_eq(out, attempt)) else { return };
        let (_, when) = entry.out.swap_remove(place);
        self.timers.remove(&when);
        let settled = attempt.open.answered();
        if settled {
            self.finished(&id);
        }
        let took = at.saturating_duration_since(attempt.sent);
        self.deliver(Event::Completed {
            id,
            copy: attempt.copy,
            node: attempt.node.id.clone(),
            verdict,
            latency: Ms(took.as_secs_f64() * 1000.0),
            settled,
            load: None,
        });
    }

    /// Follows the list: connections to a node that leaves, or comes back anew, are dropped.
    fn fleet(&mut self, form: FleetForm, entries: Vec<(NodeEntry, SocketAddr)>) {
        if matches!(form, FleetForm::Replace | FleetForm::Restored) {
            let gone: Vec<NodeId> = self
                .nodes
                .keys()
                .filter(|id| !entries.iter().any(|(entry, _)| entry.node == **id))
                .cloned()
                .collect();
            for id in gone {
                self.listed.remove(&id);
                self.nodes.remove(&id).iter().for_each(|node| node.leave());
            }
        }
        for (entry, addr) in &entries {
            let before = self.listed.get(&entry.node);
            let same = before.is_some_and(|b| b.started == entry.started && b.build == entry.build)
                && self.nodes.get(&entry.node).is_some_and(|node| node.addr == *addr);
            let serves = entry.state == NodeState::InService;
            if !same || !serves {
                if let Some(node) = self.nodes.get(&entry.node) {
                    node.leave();
                }
            }
            let back = before.is_some_and(|before| before.state != NodeState::InService);
            if entry.state == NodeState::Terminated {
                self.nodes.remove(&entry.node);
                self.listed.remove(&entry.node);
                continue;
            }
            if !same || (serves && back) {
                let node = Arc::new(Node::new(entry.node.clone(), *addr));
                if !serves {
                    node.leave();
                }
                self.tools.senders.list(&node);
                self.nodes.insert(entry.node.clone(), node);
            }
            self.listed.insert(entry.node.clone(), entry.clone());
        }
        self.deliver(Event::Fleet(form, entries.into_iter().map(|(entry, _)| entry).collect()));
    }

    fn voted(&mut self, number: u64, answer: Result<StageNews, Verdict>) {
        let Some(when) = self.votes.remove(&number) else { return }; // it timed out before
        self.timers.remove(&when);
        let news = answer.unwrap_or_else(|verdict| StageNews {
            answers_vote: true,
            verdict,
            build: Build(0),
            stage: 0,
            phase: Phase::Trial,
            cap: 0.0,
            age: Ms(0.0),
        });
        if news.verdict == Verdict::Ok {
            self.news = Some(StageNews { answers_vote: false, ..news.clone() });
        }
        self.deliver(Event::Stage(news));
    }

    fn fire(&mut self, when: When, due: Due) {
        match due {
            Due::Alarm(key) => self.deliver(Event::Alarm(key)),
            Due::Vote(number) => self.voted(number, Err(Verdict::Timeout)),
            // Its worker tells the rest. A socket's own time-out may come an eighth later.
            // An answer that is on its way to the client already has until the client's deadline.
            Due::Attempt(attempt) if attempt.passes() && when.0 < attempt.open.deadline => {
                let later = self.set(attempt.open.deadline, Due::Attempt(attempt.clone()));
                let out = self.table.get_mut(&attempt.open.id).map(|entry| entry.out.iter_mut());
                let own = out.into_iter().flatten().find(|(other, _)| Arc::ptr_eq(other, &attempt));
                own.into_iter().for_each(|(_, timer)| *timer = later);
            }
            Due::Attempt(attempt) => attempt.time_out(),
            Due::Answer(id) => {
                let Some(entry) = self.table.get_mut(&id).filter(|entry| entry.due == Some(when)) else {
                    return;
                };
                entry.due = None;
                let out: Vec<String> = entry.out.iter().map(|(attempt, _)| attempt.describe()).collect();
                entry.out.iter().for_each(|(attempt, _)| attempt.cancel());
                if entry.open.claim() {
                    count(&self.tools.book.defects);
                    count(&self.tools.book.failed);
                    let copies = entry.copies;
                    log::error!("request {} failed by the book; of {copies} attempts out: {out:?}", id.0);
                    self.tools.relays.hand(entry.open.clone(), Word::Failed);
                    self.finished(&id);
                    self.deliver(Event::ClientGone(id));
                }
            }
            Due::Sweep => {
                let limits = &self.tools.limits;
                let longest = limits.node_idle.min(self.tools.senders.wear.longest(limits));
                self.nodes.values().for_each(|node| node.sweep(longest));
                self.tools.senders.wear.ease();
                self.set(when.0 + self.tools.limits.sweep, Due::Sweep);
            }
            Due::Report => {
                let (links, workers) = self.tools.senders.size();
                let idle: usize = self.nodes.values().map(|node| node.idle()).sum();
                let held = self.table.len();
                log::info!(
                    "{}; held {held}, node connections {links} idle {idle}, workers {workers}",
                    self.tools.book
                );
                self.set(when.0 + self.tools.limits.report, Due::Report);
            }
        }
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Attempt { id, node, timeout } => self.attempt(id, &node, timeout),
            Action::Refuse(id, wait) => self.word(&id, Word::Refused(wait)),
            Action::Fail(id) => self.word(&id, Word::Failed),
            Action::Cancel(id, copy) => {
                let out = self.table.get(&id).map(|entry| entry.out.as_slice()).unwrap_or_default();
                out.iter().filter(|(out, _)| out.copy == copy).for_each(|(out, _)| out.cancel());
            }
            Action::Cast { build, stage, vote } => {
                self.numbers += 1;
                let number = self.numbers;
                let when =
                    self.set(Instant::now() + span(self.tools.settings.answer_wait), Due::Vote(number));
                self.votes.insert(number, when);
                if self.tools.ballots.try_send(Ballot { number, build, stage, vote }).is_err() {
                    self.voted(number, Err(Verdict::ConnectFailed));
                }
            }
            Action::Subscribe => self.ask(Ask::Subscribe),
            Action::FetchAll => self.ask(Ask::Fetch),
            Action::Probe(node) => {
                // The protocol has no probe: it never ran.
                self.deliver(Event::Probed(node, Verdict::Moot, Ms(0.0), None));
            }
            Action::TellPeers(_) => log::debug!("the protocol has no messages among marshals"),
            Action::SetAlarm(key, at) => {
                let at = self.tools.clock.instant(at);
                self.set(at, Due::Alarm(key));
            }
            Action::Log(text) => log::info!("{}", text.escape_debug()),
        }
    }

    fn ask(&mut self, ask: Ask) {
        if self.tools.asks.try_send(ask).is_err() {
            self.deliver(Event::Fleet(FleetForm::Unavailable, Vec::new()));
        }
    }

    fn word(&mut self, id: &RequestId, word: Word) {
        let Some(entry) = self.table.get(id) else { return };
        if entry.open.claim() {
            let refused = matches!(word, Word::Refused(_));
            count(if refused { &self.tools.book.refused } else { &self.tools.book.failed });
            if !self.tools.relays.hand(entry.open.clone(), word) {
                count(&self.tools.book.defects);
                log::error!("no room for an answer to {}", id.0);
            }
            self.finished(id);
        }
    }

    fn attempt(&mut self, id: RequestId, node: &NodeId, timeout: Option<Ms>) {
        let now = Instant::now();
        let Some(entry) = self.table.get_mut(&id) else { return };
        let copy = entry.copies;
        entry.copies += 1;
        let deadline = entry.open.deadline;
        let until = timeout.map_or(deadline, |timeout| deadline.min(now + span(timeout)));
        let moot = entry.open.answered() || copy >= self.tools.settings.try_limit || until <= now;
        if let Some(to) = self.nodes.get(node).filter(|_| !moot) {
            let attempt = Arc::new(Attempt::new(entry.open.clone(), copy, to.clone(), now, until));
            count(&self.tools.book.attempts);
            if self.tools.senders.hand(attempt.clone()) {
                let when = self.set(until, Due::Attempt(attempt.clone()));
                self.table.entry(id).and_modify(|entry| entry.out.push((attempt, when)));
                return;
            }
        }
        // Never sent: the request is over, its node has left, or no worker is free.
        let settled = entry.open.answered();
        let node = node.clone();
        let (verdict, latency) = (Verdict::Moot, Ms(0.0));
        self.deliver(Event::Completed { id, copy, node, verdict, latency, settled, load: None });
    }
}
