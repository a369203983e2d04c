//! The decision thread: it alone owns the module, the table of requests and the timers. It waits for nothing
//! but its one channel, and does what the module says.

use crate::book::{count, Book, Open};
use crate::clock::{span, Clock};
use crate::limits::Limits;
use crate::stage::{
    Admitted, Answering, Ask, Ballot, Carrier, Grouping, Listing, Note, Order, Out, Voting, Watching, Word,
};
use crossbeam_channel::{Receiver, RecvTimeoutError};
use milletwing_decision::interface::{
    Action, Build, Event, FleetUpdateKind, Ms, NodeEntry, NodeId, NodeState, Outcome, Phase, RequestId,
    Settings, StageReport,
};
use milletwing_decision::Marshal;
use std::collections::{BTreeMap, HashMap};
use std::net::SocketAddr;
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::Arc;
use std::time::Instant;

enum Due {
    Alarm(String),
    Answer(RequestId),
    Attempt(RequestId, u32),
    Vote(u64),
    Sweep,
    Report,
}

type When = (Instant, u64);

/// An attempt that is out.
struct Flying {
    copy: u32,
    node: NodeId,
    sent: Instant,
    /// The timer that cuts it off.
    when: When,
    held: Arc<dyn Out>,
}

/// A request that owes its answer or has attempts out.
struct Entry {
    open: Arc<Open>,
    copies: u32,
    out: Vec<Flying>,
    due: Option<When>,
}

impl Entry {
    fn describe(&self) -> Vec<String> {
        self.out.iter().map(|flying| flying.held.describe()).collect()
    }
    fn cancel(&self) {
        self.out.iter().for_each(|flying| flying.held.cancel());
    }
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
    /// Who carries attempts.
    pub carrier: Box<dyn Carrier>,
    /// Who hands out answers that no node made.
    pub answers: Box<dyn Answering>,
    /// Who speaks with the platform.
    pub votes: Box<dyn Voting>,
    /// Who asks discovery.
    pub lists: Box<dyn Listing>,
    /// The group of instances that judge as one, where there is one.
    pub group: Option<Box<dyn Grouping>>,
    /// Who follows what becomes of builds, where somebody does.
    pub watcher: Option<Box<dyn Watching>>,
}

/// The decision thread's own.
pub struct Route {
    tools: Tools,
    marshal: Marshal,
    actions: Vec<Action>,
    /// The list and the news as told last, for a module that has to begin anew.
    listed: BTreeMap<NodeId, NodeEntry>,
    news: Option<StageReport>,
    table: HashMap<RequestId, Entry>,
    timers: BTreeMap<When, Due>,
    votes: HashMap<u64, When>,
    numbers: u64,
}

impl Route {
    /// Begins with the list and the news that the configuration holds.
    pub fn new(tools: Tools, known: Vec<(NodeEntry, SocketAddr)>, news: Option<StageReport>) -> Route {
        let marshal = Marshal::new(tools.settings.clone(), tools.seed);
        let mut route = Route {
            tools,
            marshal,
            actions: Vec::new(),
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
        route.take(Note::Fleet(FleetUpdateKind::Restored, known));
        if let Some(news) = news {
            route.take(Note::Told(Event::StageReport(news)));
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
            entry.cancel();
            if entry.open.claim() {
                count(&self.tools.book.failed);
                self.tools.answers.hand(entry.open.clone(), Word::Failed);
            }
        }
        self.timers.retain(|_, due| !matches!(due, Due::Alarm(_)));
        self.marshal = Marshal::new(self.tools.settings.clone(), self.tools.seed.wrapping_add(self.numbers));
        self.marshal.handle(now, Event::Start, actions);
        let list = self.listed.values().cloned().collect();
        self.marshal.handle(now, Event::FleetUpdate(FleetUpdateKind::Replace, list), actions);
        if let Some(news) = self.news.clone() {
            self.marshal.handle(now, Event::StageReport(news), actions);
        }
    }

    fn take(&mut self, note: Note) {
        match note {
            Note::Taken(admitted) => self.taken(*admitted),
            Note::Gone(open) => {
                if open.claim() {
                    count(&self.tools.book.gone);
                    if let Some(entry) = self.table.get(&open.id) {
                        let out = entry.describe();
                        let left = open.deadline.saturating_duration_since(Instant::now());
                        log::debug!("client left with {left:?} to go, {} copies, out: {out:?}", entry.copies);
                    }
                    self.finished(&open.id);
                    self.deliver(Event::ClientGone(open.id.clone()));
                }
            }
            Note::Started(id, copy) => self.deliver(Event::StreamStarted(id, copy)),
            Note::Ended { id, copy, verdict, at } => self.ended(id, copy, verdict, at),
            Note::Fleet(form, entries) => self.fleet(form, entries),
            Note::Told(event) => {
                if let Event::StageReport(news) = &event {
                    self.news = Some(news.clone());
                    self.tools.group.iter().for_each(|group| group.told(news));
                    self.tools.watcher.iter().for_each(|watcher| watcher.told(news));
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
                self.tools.answers.hand(open, Word::Status(409));
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

    fn ended(&mut self, id: RequestId, copy: u32, verdict: Outcome, at: Instant) {
        let Some(entry) = self.table.get_mut(&id) else { return };
        let Some(place) = entry.out.iter().position(|flying| flying.copy == copy) else { return };
        let Flying { node, sent, when, .. } = entry.out.swap_remove(place);
        self.timers.remove(&when);
        let settled = entry.open.answered();
        if settled {
            self.finished(&id);
        }
        let latency = Ms(at.saturating_duration_since(sent).as_secs_f64() * 1000.0);
        self.deliver(Event::Completed {
            id,
            attempt: copy,
            node,
            outcome: verdict,
            latency,
            is_final: settled,
            load: None,
        });
    }

    /// Follows the list, and keeps it for a module that has to begin anew.
    fn fleet(&mut self, form: FleetUpdateKind, entries: Vec<(NodeEntry, SocketAddr)>) {
        self.tools.carrier.fleet(form, &entries);
        if matches!(form, FleetUpdateKind::Replace | FleetUpdateKind::Restored) {
            self.listed.clear();
        }
        for (entry, _) in &entries {
            if entry.state == NodeState::Terminated {
                self.listed.remove(&entry.node);
            } else {
                self.listed.insert(entry.node.clone(), entry.clone());
            }
        }
        self.deliver(Event::FleetUpdate(form, entries.into_iter().map(|(entry, _)| entry).collect()));
    }

    fn voted(&mut self, number: u64, answer: Result<StageReport, Outcome>) {
        let Some(when) = self.votes.remove(&number) else { return }; // it timed out before
        self.timers.remove(&when);
        let news = answer.unwrap_or_else(|verdict| StageReport {
            answers_vote: true,
            outcome: verdict,
            build: Build(0),
            stage: 0,
            phase: Phase::Trial,
            cap: 0.0,
            age: Ms(0.0),
        });
        if let Some(group) = &self.tools.group {
            group.answered(number, &news);
        }
        if news.outcome == Outcome::Ok {
            self.tools.watcher.iter().for_each(|watcher| watcher.told(&news));
            self.news = Some(StageReport { answers_vote: false, ..news.clone() });
        }
        self.deliver(Event::StageReport(news));
    }

    fn fire(&mut self, when: When, due: Due) {
        match due {
            Due::Alarm(key) => self.deliver(Event::Timer(key)),
            Due::Vote(number) => self.voted(number, Err(Outcome::Timeout)),
            // Whoever carries it tells the rest. A socket's own time-out may come an eighth later.
            Due::Attempt(id, copy) => self.cut_off(&id, copy, when),
            Due::Answer(id) => {
                let Some(entry) = self.table.get_mut(&id).filter(|entry| entry.due == Some(when)) else {
                    return;
                };
                entry.due = None;
                let out = entry.describe();
                entry.cancel();
                if entry.open.claim() {
                    count(&self.tools.book.defects);
                    count(&self.tools.book.failed);
                    let copies = entry.copies;
                    log::error!("request {} failed by the book; of {copies} attempts out: {out:?}", id.0);
                    self.tools.answers.hand(entry.open.clone(), Word::Failed);
                    self.finished(&id);
                    self.deliver(Event::ClientGone(id));
                }
            }
            Due::Sweep => {
                self.tools.carrier.sweep();
                self.set(when.0 + self.tools.limits.sweep, Due::Sweep);
            }
            Due::Report => {
                let held = self.table.len();
                log::info!("{}; held {held}, {}", self.tools.book, self.tools.carrier.report());
                self.set(when.0 + self.tools.limits.report, Due::Report);
            }
        }
    }

    /// An attempt's time is over; but an answer that is on its way to the client already has until its deadline.
    fn cut_off(&mut self, id: &RequestId, copy: u32, when: When) {
        let Some(entry) = self.table.get_mut(id) else { return };
        let deadline = entry.open.deadline;
        let Some(flying) = entry.out.iter_mut().find(|flying| flying.copy == copy) else { return };
        if !flying.held.passes() || when.0 >= deadline {
            return flying.held.time_out();
        }
        self.numbers += 1;
        flying.when = (deadline, self.numbers);
        self.timers.insert(flying.when, Due::Attempt(id.clone(), copy));
    }

    fn act(&mut self, action: Action) {
        match action {
            Action::Attempt { id, node, timeout } => self.attempt(id, &node, timeout),
            Action::Refuse(id, wait) => self.word(&id, Word::Refused(wait)),
            Action::Fail(id) => self.word(&id, Word::Failed),
            Action::Cancel(id, copy) => {
                let out = self.table.get(&id).map(|entry| entry.out.as_slice()).unwrap_or_default();
                out.iter().filter(|out| out.copy == copy).for_each(|out| out.held.cancel());
            }
            Action::CastVote { build, stage, vote } => {
                self.tools.watcher.iter().for_each(|watcher| watcher.cast(build, vote));
                self.numbers += 1;
                let number = self.numbers;
                let when = self
                    .set(Instant::now() + span(self.tools.settings.vote_answer_timeout), Due::Vote(number));
                self.votes.insert(number, when);
                if !self.tools.votes.cast(Ballot { number, build, stage, vote, guard: None }) {
                    self.voted(number, Err(Outcome::ConnectFailed));
                }
            }
            Action::ShareEvidence(seen) => {
                if let Some(group) = &self.tools.group {
                    group.seen(*seen);
                }
            }
            Action::ProposeDecision { build, stage, vote } => {
                if let Some(group) = &self.tools.group {
                    group.judged(build, stage, vote);
                }
            }
            Action::Subscribe => self.ask(Ask::Subscribe),
            Action::FetchFleet => self.ask(Ask::Fetch),
            Action::Probe(node) => {
                // The protocol has no probe: it never ran.
                self.deliver(Event::ProbeCompleted(node, Outcome::NotSent, Ms(0.0), None));
            }
            Action::BroadcastToPeers(_) => log::debug!("the protocol has no messages among marshals"),
            Action::SetTimer(key, at) => {
                let at = self.tools.clock.instant(at);
                self.set(at, Due::Alarm(key));
            }
            Action::Log(text) => log::info!("{}", text.escape_debug()),
        }
    }

    fn ask(&mut self, ask: Ask) {
        if !self.tools.lists.ask(ask) {
            self.deliver(Event::FleetUpdate(FleetUpdateKind::Unavailable, Vec::new()));
        }
    }

    fn word(&mut self, id: &RequestId, word: Word) {
        let Some(entry) = self.table.get(id) else { return };
        if entry.open.claim() {
            let refused = matches!(word, Word::Refused(_));
            count(if refused { &self.tools.book.refused } else { &self.tools.book.failed });
            if !self.tools.answers.hand(entry.open.clone(), word) {
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
        let moot = entry.open.answered() || copy >= self.tools.settings.max_attempts || until <= now;
        let order = Order { open: entry.open.clone(), copy, node: node.clone(), sent: now, until };
        if let Some(held) = Some(order).filter(|_| !moot).and_then(|order| self.tools.carrier.begin(order)) {
            let when = self.set(until, Due::Attempt(id.clone(), copy));
            let flying = Flying { copy, node: node.clone(), sent: now, when, held };
            self.table.entry(id).and_modify(|entry| entry.out.push(flying));
            return;
        }
        // Never sent: the request is over, its node has left, or no worker is free.
        let settled = entry.open.answered();
        let node = node.clone();
        let (verdict, latency) = (Outcome::NotSent, Ms(0.0));
        self.deliver(Event::Completed {
            id,
            attempt: copy,
            node,
            outcome: verdict,
            latency,
            is_final: settled,
            load: None,
        });
    }
}
