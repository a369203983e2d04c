//! The instance's thread: it alone owns the member and the store. What the member wants written is synced before what
//! depends on it is sent; it waits for nothing but its queue and the disk.

use crate::admin::Call;
use crate::frame::{NOTE, RAFT};
use crate::link::{Arrived, Links};
use crate::settings::Settings;
use crate::store::Store;
use crossbeam_channel::{bounded, never, select, tick, Receiver, Sender};
use hdrhistogram::Histogram;
use milletwing_admin::PendingCall;
use milletwing_decision::interface::{
    Build, Event, Evidence, GroupMessage, Outcome, Phase, Settings as Decisions, StageReport, Vote,
};
use milletwing_group::calls::Wanted;
use milletwing_group::grant::PeerNote;
use milletwing_group::record::Standing;
use milletwing_group::{Member, Options, Output};
use milletwing_marshal::endpoint::Endpoint;
use milletwing_marshal::ports::{DecisionInput, GroupObserver, Guard, VoteRequest, VoteSender};
use milletwing_marshal::server::GroupJoiner;
use milletwing_marshal::wire::{self, PlatformLine};
use serde_json::{json, Value};
use std::collections::BTreeMap;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Words of the decision thread that may wait.
const WORDS: usize = 1024;
/// Time for reading the platform's state afresh.
const READING: Duration = Duration::from_secs(2);

/// The lease as those see it who write to the platform: checked before a line begins and before its last word.
#[derive(Default)]
struct LeaseGuard {
    /// Milliseconds after `base`; 0: none.
    until: AtomicU64,
    base: Option<Instant>,
}

impl Guard for LeaseGuard {
    fn holds(&self) -> bool {
        self.base.is_some_and(|base| (base.elapsed().as_millis() as u64) < self.until.load(SeqCst))
    }
}

/// A value that is kept, and its number.
pub type Kept = (u64, Vec<u8>);

/// What another part of the instance keeps in the group's record: one value, by the one that leads, told to all.
#[derive(Clone)]
pub struct Keeping {
    words: Sender<Word>,
    leads: Arc<AtomicBool>,
    /// Each value as it is committed, with its number; the last one at once after a start.
    pub kept: Receiver<Kept>,
}

impl Keeping {
    /// Whether this instance leads, with a lease.
    pub fn leads(&self) -> bool {
        self.leads.load(SeqCst)
    }
    /// Wants a value kept in place of the one with the number before. Whether it was, `kept` tells.
    pub fn put(&self, after: u64, number: u64, body: Vec<u8>) {
        let _ = self.words.try_send(Word::Keep(after, number, body)); // put again where nothing comes of it
    }
}

/// What the decision thread and others tell the instance.
enum Word {
    Keep(u64, u64, Vec<u8>),
    Seen(Evidence),
    Judged(Build, u32, Vote),
    Told(StageReport),
    Answered(u64, StageReport),
    Cast(Wanted),
    Read(u64, Option<Standing>),
}

/// The decision thread's ends. Never waits: what doesn't fit is told again by the module.
#[derive(Clone)]
struct Ports {
    words: Sender<Word>,
    over: Arc<AtomicBool>,
}

impl VoteSender for Ports {
    fn cast(&self, ballot: VoteRequest) -> bool {
        let VoteRequest { number, build, stage, vote, .. } = ballot;
        !self.over.load(SeqCst)
            && self.words.try_send(Word::Cast(Wanted { number, build, stage, vote })).is_ok()
    }
}

impl GroupObserver for Ports {
    fn evidence_collected(&self, evidence: Evidence) {
        let _ = self.words.try_send(Word::Seen(evidence)); // the next one holds all of it
    }
    fn decision_proposed(&self, build: Build, stage: u32, vote: Vote) {
        let _ = self.words.try_send(Word::Judged(build, stage, vote)); // judged again at the next beat
    }
    fn stage_reported(&self, news: &StageReport) {
        let _ = self.words.try_send(Word::Told(news.clone())); // the platform tells again
    }
    fn vote_answered(&self, number: u64, news: &StageReport) {
        let _ = self.words.try_send(Word::Answered(number, news.clone())); // settled by a read otherwise
    }
}

/// An instance that is to start with its marshal.
pub struct Joiner {
    /// The operator's file.
    pub settings: Settings,
    words: (Sender<Word>, Receiver<Word>),
    kept: (Sender<Kept>, Receiver<Kept>),
    leads: Arc<AtomicBool>,
}

struct Node {
    settings: Settings,
    member: Member,
    store: Store,
    links: Links,
    notes: Sender<DecisionInput>,
    ballots: Sender<VoteRequest>,
    platform: Arc<Endpoint>,
    words: Sender<Word>,
    guard: Arc<LeaseGuard>,
    base: Instant,
    alone: bool,
    reading: Arc<AtomicBool>,
    /// Milliseconds that commits took.
    commits: Histogram<u64>,
    /// Where what others keep is told, and whether this instance leads.
    kept: Sender<Kept>,
    leads: Arc<AtomicBool>,
}

impl Joiner {
    /// Reads the operator's file.
    pub fn from_file(path: &str) -> Result<Joiner, String> {
        let settings = Settings::from_file(path)?;
        Ok(Joiner { settings, words: bounded(WORDS), kept: bounded(WORDS), leads: Arc::default() })
    }

    /// What another part of the instance may keep in the record.
    pub fn keeping(&self) -> Keeping {
        Keeping { words: self.words.0.clone(), leads: self.leads.clone(), kept: self.kept.1.clone() }
    }
}

impl GroupJoiner for Joiner {
    fn settings(&self, decisions: &mut Decisions) {
        decisions.group_decisions = true;
    }

    fn join(
        self: Box<Self>,
        decisions: &Decisions,
        notes: Sender<DecisionInput>,
        ballots: Sender<VoteRequest>,
        platform: Arc<Endpoint>,
    ) -> io::Result<(Box<dyn VoteSender>, Box<dyn GroupObserver>)> {
        let wrong = |why: String| io::Error::other(format!("group: {why}"));
        let Joiner { settings, words: (words, heard), kept: (kept, _), leads } = *self;
        let (store, stored) = Store::open(&settings).map_err(wrong)?;
        let base = Instant::now();
        let alone = decisions.advance_votes.max(decisions.revert_votes) <= 1;
        let options = Options {
            id: settings.member,
            series: store.series,
            store: store.id,
            tick: settings.tick_ms,
            election: settings.election_ticks,
            heartbeat: settings.heartbeat_ticks,
            drift: settings.clock_drift,
            grant: settings.grant_ms,
            report: settings.report_ms,
            settle: decisions.vote_answer_timeout.0.max(0.0) as u64 + 500,
            alone,
            snapshot_every: settings.snapshot_every,
        };
        let member = Member::new(options, &stored, 0).map_err(wrong)?;
        let (arriving, arrived) = bounded(4096);
        let links = Links::start(&settings, store.id, arriving)
            .map_err(|problem| wrong(format!("listen {}: {problem}", settings.listen)))?;
        let (calls, asked) = bounded(16);
        milletwing_admin::listen(settings.admin, calls, "this instance has left the group; see its log")
            .map_err(|problem| wrong(format!("admin {}: {problem}", settings.admin)))?;
        let ports = Ports { words: words.clone(), over: Arc::default() };
        let over = ports.over.clone();
        let guard = Arc::new(LeaseGuard { until: AtomicU64::new(0), base: Some(base) });
        log::info!("group {}: member {} listens at {}", settings.group, settings.member, settings.listen);
        let commits =
            Histogram::new_with_bounds(1, 60_000, 2).map_err(|problem| wrong(problem.to_string()))?;
        let node = Node {
            settings,
            member,
            store,
            links,
            notes,
            ballots,
            platform,
            words,
            guard,
            base,
            alone,
            reading: Arc::default(),
            commits,
            kept,
            leads,
        };
        let thread = std::thread::Builder::new().name("group".into()).stack_size(2 << 20);
        thread.spawn(move || node.run(&arrived, &heard, &asked, &over))?;
        Ok((Box::new(ports.clone()), Box::new(ports)))
    }
}

impl Node {
    fn now(&self) -> u64 {
        self.base.elapsed().as_millis() as u64
    }

    fn run(
        mut self,
        arrived: &Receiver<Arrived>,
        heard: &Receiver<Word>,
        asked: &Receiver<PendingCall<Call>>,
        over: &AtomicBool,
    ) {
        let work = std::panic::AssertUnwindSafe(|| self.work(arrived, heard, asked));
        let end =
            std::panic::catch_unwind(work).unwrap_or_else(|_| Err("the group's thread panicked".into()));
        // Out of the group, whatever the cause: it begins no call, votes for nobody, and exposes nothing new. The
        // marshal goes on routing.
        self.guard.until.store(0, SeqCst);
        over.store(true, SeqCst);
        self.leads.store(false, SeqCst);
        self.links.end();
        let news = |news| DecisionInput::Event(Event::GroupMessage(news));
        let _ = self.notes.send(news(GroupMessage::Leadership(false))); // it may have ended
        if let Some(standing) = &self.member.record().standing {
            let _ = self.notes.send(news(GroupMessage::ExposureGrant(standing.build, 0.0)));
            // it may have ended
        }
        if let Err(why) = end {
            log::error!("group: this instance has left: {why}. It routes on, and exposes no build on trial");
        }
    }

    fn work(
        &mut self,
        arrived: &Receiver<Arrived>,
        heard: &Receiver<Word>,
        asked: &Receiver<PendingCall<Call>>,
    ) -> Result<(), String> {
        let ticks = tick(Duration::from_millis((self.settings.tick_ms / 2).max(1)));
        let never = never();
        self.outputs();
        loop {
            let mut asked = asked;
            select! {
                recv(arrived) -> peer => {
                    let Ok(peer) = peer else { return Ok(()) };
                    self.arrived(&peer);
                    // What came with it is taken along: one write for all.
                    for _ in 0..64 {
                        match arrived.try_recv() {
                            Ok(peer) => self.arrived(&peer),
                            Err(_) => break,
                        }
                    }
                }
                recv(heard) -> word => match word {
                    Ok(word) => self.word(word),
                    Err(_) => return Ok(()),
                },
                recv(asked) -> call => match call {
                    Ok((call, reply)) => {
                        let _ = reply.send(self.call(&call)); // who asked may have gone
                    }
                    Err(_) => asked = &never,
                },
                recv(ticks) -> _ => {}
            }
            let _ = asked;
            if self.platform.is_closed() {
                return Ok(());
            }
            let now = self.now();
            self.member.tick(now);
            self.member.bind(now);
            while let Some(batch) = self.member.work() {
                self.store.write(&batch).map_err(|why| format!("writing the store: {why}"))?;
                if let Some(more) = self.member.written(now)? {
                    self.store.write(&more).map_err(|why| format!("writing the store: {why}"))?;
                }
            }
            for took in self.member.commits() {
                let _ = self.commits.record(took.clamp(1, 60_000)); // within its range
            }
            let record = self.member.record();
            self.links.roll(&record.members, !record.members.is_empty());
            if record.removed.contains(&self.settings.member) {
                return Err("it was removed".into());
            }
            // The lease is known to those who write before anything leaves that could end it.
            self.guard.until.store(self.member.lease_until(), SeqCst);
            self.leads.store(self.member.status(now).leads, SeqCst);
            self.outputs();
        }
    }

    fn arrived(&mut self, peer: &Arrived) {
        let now = self.now();
        let taken = match peer.kind {
            RAFT => self.member.receive(now, peer.from, &peer.body),
            _ => postcard::from_bytes::<PeerNote>(&peer.body)
                .map(|note| self.member.peer(now, peer.from, &note))
                .map_err(|problem| problem.to_string()),
        };
        if let Err(why) = taken {
            self.links
                .shared
                .troubles
                .count("a message that can't be read", &format!("member {}: {why}", peer.from));
        }
    }

    fn word(&mut self, word: Word) {
        let now = self.now();
        match word {
            Word::Seen(evidence) => self.member.seen(evidence),
            Word::Judged(build, stage, vote) => self.member.judged(now, build, stage, vote),
            Word::Told(news) => self.member.told(now, &news),
            Word::Answered(number, news) => self.member.answered(now, number, &news),
            Word::Keep(after, number, body) => {
                if !self.member.keep(now, after, number, body) {
                    log::debug!("group: not kept: number {number}");
                }
            }
            Word::Cast(wanted) => self.member.cast(now, wanted),
            Word::Read(number, Some(standing)) => self.member.read(now, number, &standing),
            Word::Read(_, None) => {} // asked again
        }
    }

    fn outputs(&mut self) {
        for output in self.member.outputs() {
            match output {
                Output::Send(to, bytes) => self.links.send(to, RAFT, bytes),
                Output::Tell(to, note) => {
                    let bytes = postcard::to_stdvec(&note).unwrap_or_default(); // plain values can't fail
                    self.links.send(to, NOTE, bytes);
                }
                Output::News(news) => {
                    let _ = self.notes.send(DecisionInput::Event(Event::GroupMessage(news)));
                    // it ends only with us
                }
                Output::Call(Wanted { number, build, stage, vote }) => {
                    let guard = self.alone.then(|| -> Arc<dyn Guard> { self.guard.clone() });
                    log::info!("group: calls: build {} stage {stage} {vote:?}", build.0);
                    if self.ballots.try_send(VoteRequest { number, build, stage, vote, guard }).is_err() {
                        self.unheard(number, Outcome::ConnectFailed);
                    }
                }
                Output::Refuse(number) => self.unheard(number, Outcome::NotSent),
                Output::Read(number) => self.read(number),
                // Who keeps something takes it soon, or has ended; the next value holds all of it.
                Output::Kept(number, body) => drop(self.kept.try_send((number, body))),
                Output::Log(text) => log::info!("group: {text}"),
            }
        }
    }

    /// Tells the module, and by it ourselves, that a call was never made.
    fn unheard(&self, number: u64, verdict: Outcome) {
        let _ = self.notes.send(DecisionInput::VoteAnswered(number, Err(verdict)));
        // it ends only with us
    }

    /// Reads the platform's state on a connection of its own: what stands there now, not what was on its way.
    fn read(&self, number: u64) {
        if self.reading.swap(true, SeqCst) {
            return; // asked again
        }
        let (at, _) = self.platform.current();
        let (words, reading) = (self.words.clone(), self.reading.clone());
        let thread = std::thread::Builder::new().name("group-read-platform".into()).stack_size(128 << 10);
        let spawned = thread.spawn(move || {
            let standing =
                platform_state(at).map_err(|problem| log::warn!("group: reading the platform: {problem}"));
            reading.store(false, SeqCst);
            let _ = words.try_send(Word::Read(number, standing.ok())); // asked again
        });
        if spawned.is_err() {
            self.reading.store(false, SeqCst);
        }
    }

    fn call(&mut self, call: &Call) -> Result<Value, String> {
        let now = self.now();
        match call {
            Call::Status => Ok(self.status(now)),
            Call::Transfer { to } => {
                self.member.transfer(now, *to).map(|()| json!({ "handing_over_to": to }))
            }
            Call::Add { member, address } => {
                address.parse::<SocketAddr>().map_err(|_| format!("`{address}` is no address and port"))?;
                self.member.add(now, *member, address).map(|()| json!({ "adding": member }))
            }
            Call::Remove { member } => {
                self.member.remove(now, *member).map(|()| json!({ "removing": member }))
            }
        }
    }

    fn status(&self, now: u64) -> Value {
        let status = self.member.status(now);
        let record = self.member.record();
        let word = |phase: Phase| match phase {
            Phase::Trial => "testing",
            Phase::Reverting => "recalling",
            Phase::Released => "live",
            Phase::Withdrawn => "recalled",
        };
        let build = record.standing.as_ref().map(|standing| {
            let decided = record.decided.get(&standing.build);
            json!({
                "build": standing.build.0,
                "stage": standing.stage,
                "phase": word(standing.phase),
                "cap": standing.cap,
                "decided_on": decided.and_then(|decided| decided.on),
                "decided_back": decided.is_some_and(|decided| decided.back.is_some()),
                "reporting": record.reporting(),
                "outcomes": record.pool().map(|pool| pool.test_sums.iter().map(|arms| arms[1].n).sum::<f64>()),
            })
        });
        let members: BTreeMap<String, Value> = (record.members.iter())
            .map(|(id, member)| {
                let behind = status.behind.get(id);
                let role = if member.votes { "voter" } else { "learner" };
                (id.to_string(), json!({ "address": member.address, "role": role, "behind": behind }))
            })
            .collect();
        json!({
            "group": self.settings.group,
            "member": status.id,
            "leads": status.leads,
            "lease_ms": status.lease,
            "leader": status.leader,
            "term": status.term,
            "committed": status.commit,
            "applied": status.applied,
            "grant": status.grant.map(|(build, cap)| json!({ "build": build.0, "cap": cap })),
            "build": build,
            "open_calls": record.open().count(),
            "members": members,
            "removed": record.removed,
            "troubles": self.links.shared.troubles.all(),
            "commit_ms": {
                "times": self.commits.len(),
                "p50": self.commits.value_at_quantile(0.5),
                "p99": self.commits.value_at_quantile(0.99),
            },
            "bytes_sent": self.links.shared.sent.load(SeqCst),
        })
    }
}

/// Asks the platform to be told, and takes its first word.
fn platform_state(at: SocketAddr) -> io::Result<Standing> {
    let stream = TcpStream::connect_timeout(&at, READING)?;
    stream.set_read_timeout(Some(READING))?;
    stream.set_write_timeout(Some(READING))?;
    (&stream).write_all(wire::SUBSCRIBE_COMMAND.as_bytes())?;
    let until = Instant::now() + READING;
    for line in BufReader::new(&stream).lines() {
        if let PlatformLine::Stage(state, phase) = wire::parse_platform_line(line?.trim_end()) {
            return Ok(Standing::of(&wire::stage_report(state, phase, false)));
        }
        if Instant::now() >= until {
            break;
        }
    }
    Err(io::ErrorKind::TimedOut.into())
}
