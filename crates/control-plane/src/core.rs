//! What one machine of the core knows and decides by: the agreement's member, the view folded from its log, and what was
//! heard of marshals and edges. Inputs come from links, the disk, callers and the clock; after each, `pump` does what has
//! become possible.

mod directory;
mod evidence;
mod folding;
mod membership;
mod orders;
mod peers;
mod rollouts;
mod subscriptions;

use crate::calls::Calls;
use crate::drift::Drift;
use crate::metrics::Metrics;
use membership::Margin;
use milletwing_config::{event, Settings};
use milletwing_consensus::{LogPosition, Member, MemberId, Message, Options, Role};
use milletwing_drift_detection::Finding;
use milletwing_outlier_detection::{HostObservation, LoadBoard, OutlierDetector};
use milletwing_replicated_state::{EdgeStatus, Registry, View};
use milletwing_sequential_test::{self as sequential_test};
use milletwing_wire::{Answer, PeerMessage};
use orders::{reverted_services, Changed, Orders};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::Instant;

/// The one thread's hold on it; never across an await.
pub type Shared = Rc<RefCell<Core>>;
/// Milliseconds since the process began.
pub type Time = u64;

/// Frames that wait for one link.
const QUEUE: usize = 64;
/// A leader that was not heard for so long, or entries that lack for half of it, make this machine's word stale.
const FRESH: Time = 700;
/// After an edge came, or came back, others are expected for so long.
const GROWING: Time = 3_000;
/// A write that takes longer hangs: half of the time after which a silent leader is replaced.
const HANGS: Time = 300;
/// Milliseconds between two pulses to edges.
const PULSE: Time = 200;
/// Between two times that other machines are told of edges in whole.
const RETELL: Time = 3_000;
/// Members at most.
const MOST_MEMBERS: usize = 9;
/// Entries, and bytes of them, kept for edges that resume.
const RECENT: (usize, usize) = (4096, 4 << 20);

/// A link's queue, and the word that its machine has dialled this one.
type Link = (mpsc::Sender<Rc<Vec<u8>>>, Rc<Notify>);

struct Judged {
    /// Since when this leader has known of it, and of its newest marshal.
    begun: Time,
    started: Time,
    nodes: usize,
    tally: sequential_test::TrialTally,
}

/// What goes to an edge; a pulse with the time when it was made.
pub type Word = (Option<Time>, Rc<Vec<u8>>);

struct Feed {
    edge: u32,
    incarnation: u64,
    /// The last entry that it was sent, and the last that it said to have folded.
    sent: u64,
    folded: u64,
    send: mpsc::Sender<Word>,
}

/// A batch that is being written.
struct Out {
    /// Where the log ends with it.
    last: LogPosition,
    /// What may leave once it is on the disk.
    messages: Vec<(MemberId, Message)>,
    /// When it was handed out.
    since: Time,
}

/// What the disk gave at the start, and the way to it.
pub struct Writes {
    /// What stood on it.
    pub stored: milletwing_consensus::StoredState,
    /// Batches to be written, one at a time.
    pub send: std::sync::mpsc::SyncSender<milletwing_consensus::Batch>,
}

/// One machine of the core.
pub struct Core {
    /// What it was told at its start, and since.
    pub settings: Settings,
    /// When the process began: the clock that all decisions go by.
    pub began: Instant,
    /// What it counts for operators.
    pub metrics: Metrics,
    /// Its part in the agreement.
    pub member: Member,
    /// The state folded from the log.
    pub view: View,
    /// Marshals and edges as they were heard of.
    pub registry: Registry,
    /// Other machines of the core that were heard of.
    pub known: Vec<MemberId>,
    links: HashMap<MemberId, Link>,
    /// The newest connection that each machine has made to this one.
    connections: HashMap<MemberId, u64>,
    feeds: BTreeMap<u64, Feed>,
    next: u64,
    chance: Pcg64Mcg,
    recent: VecDeque<(u64, Rc<Vec<u8>>)>,
    recent_bytes: usize,
    disk: std::sync::mpsc::SyncSender<milletwing_consensus::Batch>,
    /// The batch that is out.
    out: Option<Out>,
    waiters: BTreeMap<u64, Vec<(u64, oneshot::Sender<Answer>)>>,
    reads: HashMap<u64, oneshot::Sender<Answer>>,
    calls: Calls,
    /// Evacuations that were entered here, by the order's number.
    orders: Orders,
    /// SIGTERM has come.
    leaving: bool,
    /// Further losses that are borne, as they were told.
    margin: Margin,
    role: Role,
    leader: Option<MemberId>,
    swept: Time,
    told: Time,
    beaten: Time,
    /// Loads of marshals as edges were told them; and what the edges of this machine met, for the others.
    board: LoadBoard,
    /// What edges met at hosts, as this machine weighs it while it leads.
    tally: OutlierDetector,
    met: BTreeMap<u32, (u64, Time, Vec<HostObservation>)>,
    /// Whether edges route by what was agreed.
    pub drift: Drift,
    /// Edges as the others were told of them in whole, and when all were last.
    gossiped: BTreeMap<u32, EdgeStatus>,
    retold: Time,
    lost: bool,
    /// Its start is confirmed, as it was told; and up to where its log lacked entries when that was told.
    confirmed: bool,
    behind: Option<LogPosition>,
    members: Vec<MemberId>,
    /// Trials under way, as this machine judges them while it leads.
    trials: BTreeMap<u64, Judged>,
    /// Edges that took traffic when last looked at, and when one was new among them; at a start, that moment.
    ready: BTreeSet<u32>,
    grown: Time,
    /// The newest entries about zones and about roll-outs, as far as this machine has folded them one by one.
    changed: Changed,
    /// When this machine folded the newest order to empty a zone.
    emptied: BTreeMap<String, Time>,
    /// Since when a zone waits for its other order to be taken back.
    lingers: BTreeMap<String, Time>,
    /// When this machine folded the bad end of a service's roll-out.
    reverted: BTreeMap<String, Time>,
    /// When machines asked to be taken in.
    joins: BTreeMap<MemberId, Time>,
    /// The whole state as edges get it, as of an entry: made once for all that ask.
    whole: Option<(u64, Rc<Vec<u8>>)>,
}

impl Core {
    /// Goes on from what the disk gave. `seed`: drawn by chance at each start of a process. Errors are for operators: what the disk
    /// gave can't be read.
    pub fn start(settings: Settings, writes: Writes, seed: u64) -> Result<Shared, String> {
        let seeds = settings.seeds();
        let options = Options {
            id: settings.id(),
            election_timeout: 600,
            heartbeat_interval: 100,
            tolerated_losses: settings.timers.resilience.machine_losses,
            snapshot_after_entries: 1_000,
            snapshot_after_bytes: 8 << 20,
            snapshot_chunk_bytes: 128 << 10,
            seed,
        };
        let founders = settings.own.initial_attach.then_some(seeds.as_slice());
        let member = Member::new(options, &writes.stored, founders, &seeds, 1)?;
        let view = View::from_compressed(&member.snapshot().data)?;
        let restored = view.index;
        // Half of what may pass until a change is in force: the rest is for the way here.
        let lag = (settings.timers.guarantees.applyS * 500.0) as Time;
        let lost = member.has_lost_state();
        // As if just now: when these came to their bad ends is not known.
        let reverted = reverted_services(&view).map(|service| (service, 1)).collect();
        if lost {
            event!(DiskLost, "{}: asks the others", settings.own.node_name);
        }
        Ok(Rc::new(RefCell::new(Core {
            known: seeds.iter().copied().filter(|id| *id != settings.id()).collect(),
            settings,
            began: Instant::now(),
            metrics: Metrics::default(),
            member,
            view,
            registry: Registry::default(),
            links: HashMap::new(),
            connections: HashMap::new(),
            feeds: BTreeMap::new(),
            next: 0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            recent: VecDeque::new(),
            recent_bytes: 0,
            disk: writes.send,
            out: None,
            waiters: BTreeMap::new(),
            reads: HashMap::new(),
            calls: Calls::new(seed),
            orders: Orders::default(),
            leaving: false,
            margin: Margin::default(),
            role: Role::Follower,
            leader: None,
            swept: 0,
            told: 0,
            beaten: 0,
            drift: Drift::new(lag),
            board: LoadBoard::default(),
            tally: OutlierDetector::default(),
            met: BTreeMap::new(),
            gossiped: BTreeMap::new(),
            retold: 0,
            lost,
            confirmed: false,
            behind: None,
            members: Vec::new(),
            trials: BTreeMap::new(),
            whole: None,
            joins: BTreeMap::new(),
            reverted,
            lingers: BTreeMap::new(),
            emptied: BTreeMap::new(),
            changed: Changed::since(restored),
            ready: BTreeSet::new(),
            grown: 1,
        })))
    }

    /// A number by chance.
    fn draw(&mut self) -> u64 {
        self.chance.random()
    }

    /// Milliseconds since the process began; never 0.
    pub fn now(&self) -> Time {
        self.began.elapsed().as_millis() as Time + 1
    }

    /// Seconds for which a service's marshals stay cold.
    fn cold_for(view: &View) -> impl Fn(&str) -> f64 + '_ {
        |service| view.configuration().and_then(|it| it.targets.get(service)).map_or(3.0, |it| it.warmup_s)
    }

    /// Does whatever has become possible. Called after every input.
    pub fn pump(shared: &Shared) {
        let core = &mut *shared.borrow_mut();
        loop {
            core.fold();
            core.note_changes();
            for (to, message) in core.member.take_immediate_messages() {
                core.post(to, &PeerMessage::Consensus(message));
            }
            if core.out.is_some() {
                return;
            }
            let Some(work) = core.member.take_ready() else { return };
            if work.batch.is_empty() {
                for (to, message) in work.messages {
                    core.post(to, &PeerMessage::Consensus(message));
                }
                continue;
            }
            let since = core.now();
            core.out = Some(Out { last: work.last, messages: work.messages, since });
            if core.disk.send(work.batch).is_err() {
                event!(DiskUnusable, "the disk's thread has ended");
                std::process::exit(3);
            }
            return;
        }
    }

    /// The batch that was out is on the disk.
    pub fn saved(shared: &Shared) {
        {
            let core = &mut *shared.borrow_mut();
            if let Some(out) = core.out.take() {
                let now = core.now();
                core.metrics.written(Duration::from_millis(now.saturating_sub(out.since)));
                if core.member.writes_suspended() {
                    event!(DiskBack, "after {} ms", now.saturating_sub(out.since));
                }
                core.member.on_persisted(now, out.last);
                for (to, message) in out.messages {
                    core.post(to, &PeerMessage::Consensus(message));
                }
            }
        }
        Core::pump(shared);
    }

    /// The disk refused the batch that is out; it is tried again.
    pub fn refused(shared: &Shared, why: &str) {
        {
            let core = &mut *shared.borrow_mut();
            if let Some(out) = &mut core.out {
                // They were made when this machine could still promise; whoever waits for them asks again.
                out.messages.clear();
            }
            core.suspend(why);
        }
        Core::pump(shared);
    }

    /// Promises nothing until the disk is back.
    fn suspend(&mut self, why: &str) {
        if !self.member.writes_suspended() {
            event!(DiskFailed, "{why}: nothing is promised until it is back");
            let now = self.now();
            self.member.suspend_writes(now);
        }
    }

    /// Notices what changed about this machine's place.
    fn note_changes(&mut self) {
        let now = self.now();
        let (role, leader) = (self.member.role(), self.member.leader());
        if role == Role::Leader && self.role != Role::Leader {
            event!(Leads, "term {}", self.member.term());
            self.trials.clear();
            self.tally = OutlierDetector::default();
            self.lingers.clear();
            self.registry.become_leader(now, &self.view, &Core::cold_for(&self.view));
        }
        if role != Role::Leader && self.role == Role::Leader {
            self.registry.become_follower();
        }
        if leader != self.leader && role != Role::Leader {
            let name = leader.map_or("nobody".into(), |id| std::net::Ipv4Addr::from_bits(id).to_string());
            event!(Follows, "term {}: {name}", self.member.term());
        }
        (self.role, self.leader) = (role, leader);
        if self.lost && !self.member.has_lost_state() {
            self.lost = false;
            event!(Whole, "as of entry {}", self.view.index);
        }
        self.note_start();
        if self.members != self.member.members() {
            self.members = self.member.members().to_vec();
            let names: Vec<String> =
                self.members.iter().map(|id| std::net::Ipv4Addr::from_bits(*id).to_string()).collect();
            event!(Members, "{}", names.join(" "));
            for id in self.members.clone() {
                self.meet(id);
            }
        }
    }

    /// A peer's message on a connection that it made. False where that was replaced by a newer one: the message may be an earlier
    /// life's and counts for nothing, and the connection is to be closed, so that a peer that lives makes another.
    pub fn heard(shared: &Shared, from: MemberId, connection: u64, peer: PeerMessage) -> bool {
        {
            let core = &mut *shared.borrow_mut();
            if core.connections.get(&from) != Some(&connection) {
                return false;
            }
            let now = core.now();
            match peer {
                PeerMessage::Consensus(message) => core.member.step(now, from, message),
                PeerMessage::Gossip { nodes, edges, heartbeats } => {
                    core.registry.record_heard(now, &nodes);
                    edges.into_iter().for_each(|(edge, ago)| core.registry.record_edge(now, edge, ago));
                    heartbeats.iter().for_each(|it| core.registry.record_edge_heartbeat(now, it));
                }
                PeerMessage::Call { call, request } => {
                    let shared = Rc::clone(shared);
                    tokio::task::spawn_local(async move {
                        let answer = Core::lead(&shared, request).await;
                        shared.borrow().post(from, &PeerMessage::Reply { call, answer });
                    });
                }
                PeerMessage::Reply { call, answer } => {
                    core.calls.answered(from, call, answer); // one that nobody waits for is dropped
                }
                PeerMessage::Reports { edge, incarnation, reports } => {
                    if core.role == Role::Leader {
                        core.reports(edge, incarnation, reports);
                    }
                }
                PeerMessage::Drift { edge, incarnation, zone, finding } => {
                    if core.role == Role::Leader {
                        core.drift.repairer.record_finding(now, edge, incarnation, &zone, finding);
                    }
                }
                PeerMessage::ViewDigest(index, digest) => core.view_digest(now, from, index, &digest),
                PeerMessage::Observed(told) => {
                    for (edge, ago, observed) in told {
                        core.board.record(now, &observed, ago);
                        core.suspect(now, edge, &observed, ago);
                    }
                }
                PeerMessage::Join => {
                    core.joins.insert(from, now);
                    let replaced = core.replaced();
                    core.joins.retain(|_, at| now.saturating_sub(*at) < replaced);
                    if core.member.members().len() < MOST_MEMBERS {
                        core.member.add_learner(now, from);
                    }
                }
            }
        }
        Core::pump(shared);
        true
    }

    /// Time passes.
    fn tick(shared: &Shared) {
        {
            let core = &mut *shared.borrow_mut();
            let now = core.now();
            if core.out.as_ref().is_some_and(|out| now > out.since + HANGS) {
                core.suspend("a write hangs");
            }
            core.member.tick(now);
            if now >= core.beaten + PULSE {
                core.beaten = now;
                core.pulse(now);
            }
            if now >= core.swept + 250 {
                core.swept = now;
                core.sweep(now);
            }
        }
        Core::pump(shared);
    }

    fn sweep(&mut self, now: Time) {
        let ready: BTreeSet<u32> = self.registry.ready_edges(now).iter().map(|edge| edge.id).collect();
        if !ready.is_subset(&self.ready) {
            self.grown = now;
        }
        self.ready = ready;
        let silence = (self.settings.provider.report_s * 3_000.0) as Time + 1_000;
        if self.role == Role::Leader {
            let mut commands = self.registry.sweep(now, &self.view, silence, &Core::cold_for(&self.view));
            commands.extend(self.judge(now));
            commands.extend(self.linger(now));
            commands.extend(self.bring_back(now));
            commands.extend(self.suspects(now));
            for command in commands {
                self.member.propose(now, command.to_bytes());
            }
            self.replace(now);
        }
        self.waiters.retain(|_, list| {
            list.retain(|(_, waiter)| !waiter.is_closed());
            !list.is_empty()
        });
        self.reads.retain(|_, read| !read.is_closed());
        self.calls.forget();
        self.tell_margin(now);
        self.registry.expire_edges(now);
        for (edge, incarnation) in self.drift.checker.unreporting_edges(now) {
            self.found(now, edge, incarnation, Finding::Stuck);
        }
        if !self.met.is_empty() {
            let met = std::mem::take(&mut self.met).into_iter();
            let told =
                met.map(|(edge, (_, at, observed))| (edge, now.saturating_sub(at), observed)).collect();
            self.post_all(&PeerMessage::Observed(told));
        }
        if now >= self.told + 500 {
            self.told = now;
            if let Some((index, digest)) = self.drift.own() {
                self.post_all(&PeerMessage::ViewDigest(index, digest));
            }
            let nodes = self.registry.take_heard_ids();
            // Guards against a machine that has just come up, or whose link lost a message: now and then all is told again.
            if now >= self.retold + RETELL {
                self.retold = now;
                self.gossiped.clear();
            }
            let (edges, heartbeats) = self.registry.gossip(now, &mut self.gossiped);
            self.post_all(&PeerMessage::Gossip { nodes, edges, heartbeats });
            // One that is not a member, or that hears no leader and may have been replaced, asks all it knows: whoever leads
            // takes it in.
            let outside = !self.member.members().contains(&self.settings.id());
            if !self.leaving
                && !self.member.has_lost_state()
                && (outside || !self.member.has_recent_state(now, 2_000))
            {
                for id in self.known.clone() {
                    self.post(id, &PeerMessage::Join);
                }
            }
        }
    }
}

/// The clock's task.
pub async fn ticks(core: Shared) {
    let mut every = tokio::time::interval(Duration::from_millis(25));
    every.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        every.tick().await;
        Core::tick(&core);
    }
}

/// Reads the settings again whenever the file changes: other seeds are other machines to ask.
pub async fn watch(core: Shared, path: PathBuf) {
    let take = |settings: Settings| {
        let core = &mut *core.borrow_mut();
        settings.seeds().into_iter().for_each(|id| core.meet(id));
        core.settings.timers = settings.timers;
    };
    milletwing_wire::watch_settings(path, take).await;
}
