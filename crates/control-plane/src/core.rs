//! The state of one control-plane replica: the consensus member, the state machine built from its log, and
//! the status reports of marshals and edges. Inputs come from links, the disk, callers and the clock; after
//! each input, `advance` does all work that has become possible.

mod apply;
mod directory;
mod edge_reports;
mod membership;
mod peers;
mod proposals;
mod requests;
mod rollouts;
mod subscriptions;

use crate::drift::DriftMonitor;
use crate::forwarded_calls::ForwardedCalls;
use crate::metrics::Metrics;
use crate::route_shares::RouteShares;
use membership::LossMargin;
use milletwing_config::{event, Settings};
use milletwing_consensus::{LogPosition, Member, MemberId, Message, Options, Role};
use milletwing_drift_detection::Finding;
use milletwing_outlier_detection::{HostObservation, LoadBoard, OutlierDetector};
use milletwing_replicated_state::{EdgeStatus, Registry, View};
use milletwing_sequential_test::{self as sequential_test};
use milletwing_wire::{Answer, PeerMessage};
use proposals::PendingProposals;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use requests::{reverted_services, NewestEntries, ProposedEvacuations};
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet, HashMap, VecDeque};
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::time::Instant;

/// The shared handle of the single thread; must not be borrowed across an await.
pub type SharedCore = Rc<RefCell<Core>>;
/// Milliseconds since the process began.
pub type Millis = u64;

/// Frames that may wait for one link.
const LINK_QUEUE_FRAMES: usize = 64;
/// If the leader was not heard from for this long, or log entries have been missing for half of it, this
/// replica's state counts as stale.
const FRESHNESS_MS: Millis = 700;
/// After an edge has arrived or come back, further arrivals are expected for this long.
const EDGE_ARRIVAL_WINDOW_MS: Millis = 3_000;
/// A write that takes longer counts as hanging: half of the time after which a silent leader is replaced.
const WRITE_HANG_TIMEOUT_MS: Millis = 300;
/// Milliseconds between two heartbeats to edges.
const HEARTBEAT_INTERVAL_MS: Millis = 200;
/// Interval in milliseconds at which the full status of all edges is sent to the other replicas.
const FULL_GOSSIP_INTERVAL_MS: Millis = 3_000;
/// Maximum number of consensus members.
const MAX_MEMBERS: usize = 9;
/// Maximum number of entries, and of their bytes, kept for edges that resume.
const MAX_RECENT_ENTRIES_AND_BYTES: (usize, usize) = (4096, 4 << 20);

/// A link's queue, and the notification that its replica has dialled this one.
type Link = (mpsc::Sender<Rc<Vec<u8>>>, Rc<Notify>);

/// A version trial, as judged by the leader.
struct Trial {
    /// When this leader first saw the trial's newest marshal.
    newest_marshal_since: Millis,
    marshals: usize,
    tally: sequential_test::TrialTally,
}

/// A frame for an edge. A heartbeat carries the time when it was made.
pub type EdgeFrame = (Option<Millis>, Rc<Vec<u8>>);

/// The connection of one edge.
struct EdgeFeed {
    edge: u32,
    incarnation: u64,
    /// The last entry that was sent to the edge, and the last that the edge reported as applied.
    sent_index: u64,
    applied_index: u64,
    sender: mpsc::Sender<EdgeFrame>,
}

/// A batch that is being written.
struct PendingWrite {
    /// Log position at the end of the batch.
    log_end: LogPosition,
    /// Messages that may be sent only once the batch is on disk.
    messages: Vec<(MemberId, Message)>,
    /// When the batch was handed to the disk thread.
    handed_out_at: Millis,
}

/// What the log on disk contained at the start, and the channel to the disk thread.
pub struct LogStorage {
    /// The log and state found on disk.
    pub stored: milletwing_consensus::StoredState,
    /// Batches to write, one at a time.
    pub sender: std::sync::mpsc::SyncSender<milletwing_consensus::Batch>,
}

/// One control-plane replica.
pub struct Core {
    /// The settings from the start, with timers updated when the file changes.
    pub settings: Settings,
    /// When the process began: the reference of the clock used for all decisions.
    pub started_at: Instant,
    /// Counters for operators.
    pub metrics: Metrics,
    /// This replica's consensus member.
    pub member: Member,
    /// The replicated state, built from the log.
    pub view: View,
    /// The last reported status of marshals and edges.
    pub registry: Registry,
    /// All other replicas that this one has learnt of.
    pub known_replicas: Vec<MemberId>,
    links: HashMap<MemberId, Link>,
    /// The newest connection that each replica has made to this one.
    connections: HashMap<MemberId, u64>,
    /// Connections of edges, by connection number.
    feeds: BTreeMap<u64, EdgeFeed>,
    /// The last number given to a connection, a feed or a read.
    last_id: u64,
    rng: Pcg64Mcg,
    /// The newest applied entries with their index, and their size, kept for edges that resume.
    recent_entries: VecDeque<(u64, Rc<Vec<u8>>)>,
    recent_bytes: usize,
    disk_writes: std::sync::mpsc::SyncSender<milletwing_consensus::Batch>,
    /// The batch that is being written.
    pending_write: Option<PendingWrite>,
    /// Callers that wait for the outcome of the entry at an index, each with the term of its entry.
    waiters: BTreeMap<u64, Vec<(u64, oneshot::Sender<Answer>)>>,
    /// Reads that wait until this replica may answer them, by number.
    pending_reads: HashMap<u64, oneshot::Sender<Answer>>,
    forwarded_calls: ForwardedCalls,
    /// Evacuation requests that were proposed here, by request number.
    proposed_evacuations: ProposedEvacuations,
    /// Entries that were proposed here and are not applied yet.
    pending_proposals: PendingProposals,
    /// Set once SIGTERM has been received.
    shutting_down: bool,
    /// How many further losses can be tolerated, as last logged.
    loss_margin: LossMargin,
    /// Role and leader as last logged.
    role: Role,
    leader: Option<MemberId>,
    last_periodic_work: Millis,
    last_gossip: Millis,
    last_heartbeat: Millis,
    /// The newest loads of marshals.
    host_loads: LoadBoard,
    /// Evidence about hosts from the observations of all edges, weighed while this replica leads.
    host_evidence: OutlierDetector,
    /// Observations of this replica's edges that have not been sent to the other replicas yet, with the
    /// edge's incarnation and the time of the last one.
    unsent_observations: BTreeMap<u32, (u64, Millis, Vec<HostObservation>)>,
    /// Whether edges route by the committed state.
    pub drift: DriftMonitor,
    /// Edges as last sent to the other replicas, and when the full status was last sent.
    gossiped_edges: BTreeMap<u32, EdgeStatus>,
    last_full_gossip: Millis,
    /// Its disk was lost at the start, and it has not caught up since.
    disk_lost: bool,
    /// Whether the confirmed start has been logged, and the log position that this replica was last logged
    /// to be behind.
    start_confirmed: bool,
    logged_behind: Option<LogPosition>,
    /// Consensus members, as last logged.
    logged_members: Vec<MemberId>,
    /// When this replica applied the entries of the active rollouts, by their numbers.
    rollouts_applied_at: BTreeMap<u64, Millis>,
    /// What the configurations have led to each service lately.
    route_shares: RouteShares,
    /// Version trials in progress, as judged while this replica leads.
    trials: BTreeMap<u64, Trial>,
    /// Edges that were ready when last checked, and when a new one last appeared among them; initially the
    /// start of the process.
    ready_edges: BTreeSet<u32>,
    last_edge_arrival: Millis,
    /// The newest entries about zones and rollouts, as far as this replica has applied them one by one.
    newest_entries: NewestEntries,
    /// When this replica applied the newest request to evacuate a zone.
    evacuated_at: BTreeMap<String, Millis>,
    /// Since when a zone has had one of its evacuation requests cancelled while another still stands.
    unmatched_since: BTreeMap<String, Millis>,
    /// When this replica applied the revert of a service's rollout.
    reverted_at: BTreeMap<String, Millis>,
    /// When replicas asked to join.
    join_requests: BTreeMap<MemberId, Millis>,
    /// The snapshot of the state that is sent to edges, as of an entry: encoded once for all edges that need
    /// it.
    snapshot_frame: Option<(u64, Rc<Vec<u8>>)>,
}

impl Core {
    /// Resumes from what was found on disk. `seed` is drawn at random at each start of the process. Errors
    /// are meant for operators: the data found on disk cannot be read.
    pub fn start(settings: Settings, storage: LogStorage, seed: u64) -> Result<SharedCore, String> {
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
        let member = Member::new(options, &storage.stored, founders, &seeds, 1)?;
        let view = View::from_compressed(&member.snapshot().data)?;
        let restored_index = view.index;
        // An edge may use half of the time within which a change must be in force; the other half is for the
        // change to reach this replica.
        let lag = (settings.timers.guarantees.applyS * 500.0) as Millis;
        let lost = member.has_lost_state();
        // Treated as reverted just now, since the actual time is unknown.
        let reverted = reverted_services(&view).map(|service| (service, 1)).collect();
        let mut route_shares = RouteShares::default();
        if let Some(configuration) = view.configuration() {
            route_shares.record(0, configuration);
        }
        if lost {
            event!(DiskLost, "{}: asking the other replicas for the state", settings.own.node_name);
        }
        Ok(Rc::new(RefCell::new(Core {
            known_replicas: seeds.iter().copied().filter(|id| *id != settings.id()).collect(),
            settings,
            started_at: Instant::now(),
            metrics: Metrics::default(),
            member,
            view,
            registry: Registry::default(),
            links: HashMap::new(),
            connections: HashMap::new(),
            feeds: BTreeMap::new(),
            last_id: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            recent_entries: VecDeque::new(),
            recent_bytes: 0,
            disk_writes: storage.sender,
            pending_write: None,
            waiters: BTreeMap::new(),
            pending_reads: HashMap::new(),
            forwarded_calls: ForwardedCalls::new(seed),
            proposed_evacuations: ProposedEvacuations::default(),
            pending_proposals: PendingProposals::default(),
            shutting_down: false,
            loss_margin: LossMargin::default(),
            role: Role::Follower,
            leader: None,
            last_periodic_work: 0,
            last_gossip: 0,
            last_heartbeat: 0,
            drift: DriftMonitor::new(lag),
            host_loads: LoadBoard::default(),
            host_evidence: OutlierDetector::default(),
            unsent_observations: BTreeMap::new(),
            gossiped_edges: BTreeMap::new(),
            last_full_gossip: 0,
            disk_lost: lost,
            start_confirmed: false,
            logged_behind: None,
            logged_members: Vec::new(),
            rollouts_applied_at: BTreeMap::new(),
            route_shares,
            trials: BTreeMap::new(),
            snapshot_frame: None,
            join_requests: BTreeMap::new(),
            reverted_at: reverted,
            unmatched_since: BTreeMap::new(),
            evacuated_at: BTreeMap::new(),
            newest_entries: NewestEntries::from_snapshot(restored_index),
            ready_edges: BTreeSet::new(),
            last_edge_arrival: 1,
        })))
    }

    /// Draws a random number.
    fn random_u64(&mut self) -> u64 {
        self.rng.random()
    }

    /// Milliseconds since the process began; never 0.
    pub fn now(&self) -> Millis {
        self.started_at.elapsed().as_millis() as Millis + 1
    }

    /// Returns for how many seconds a service's marshals stay cold.
    fn warmup_seconds(view: &View) -> impl Fn(&str) -> f64 + '_ {
        |service| {
            view.configuration().and_then(|it| it.targets.get(service)).map_or(3.0, |target| target.warmup_s)
        }
    }

    /// Does all work that has become possible. Called after every input.
    pub fn advance(shared: &SharedCore) {
        let core = &mut *shared.borrow_mut();
        loop {
            core.apply_committed();
            core.on_role_changes();
            for (to, message) in core.member.take_immediate_messages() {
                core.send_to(to, &PeerMessage::Consensus(message));
            }
            if core.pending_write.is_some() {
                return;
            }
            let Some(ready) = core.member.take_ready() else { return };
            if ready.batch.is_empty() {
                for (to, message) in ready.messages {
                    core.send_to(to, &PeerMessage::Consensus(message));
                }
                continue;
            }
            let handed_out_at = core.now();
            core.pending_write =
                Some(PendingWrite { log_end: ready.last, messages: ready.messages, handed_out_at });
            if core.disk_writes.send(ready.batch).is_err() {
                event!(DiskUnusable, "the disk thread has ended");
                std::process::exit(3);
            }
            return;
        }
    }

    /// Handles the report that the batch being written is on disk.
    pub fn on_batch_written(shared: &SharedCore) {
        {
            let core = &mut *shared.borrow_mut();
            if let Some(write) = core.pending_write.take() {
                let now = core.now();
                core.metrics.record_disk_wait(Duration::from_millis(now.saturating_sub(write.handed_out_at)));
                if core.member.writes_suspended() {
                    event!(DiskBack, "after {} ms", now.saturating_sub(write.handed_out_at));
                }
                core.member.on_persisted(now, write.log_end);
                for (to, message) in write.messages {
                    core.send_to(to, &PeerMessage::Consensus(message));
                }
            }
        }
        Core::advance(shared);
    }

    /// Handles the report that the disk refused the batch being written. The disk thread retries it.
    pub fn on_write_refused(shared: &SharedCore, why: &str) {
        {
            let core = &mut *shared.borrow_mut();
            if let Some(write) = &mut core.pending_write {
                // The messages were made when this replica could still promise durability; their receivers
                // ask again.
                write.messages.clear();
            }
            core.suspend_disk(why);
        }
        Core::advance(shared);
    }

    /// Stops promising durability until the disk works again.
    fn suspend_disk(&mut self, why: &str) {
        if !self.member.writes_suspended() {
            event!(DiskFailed, "{why}: nothing is acknowledged until the disk works again");
            let now = self.now();
            self.member.suspend_writes(now);
        }
    }

    /// Logs and handles changes of this replica's role, leader and members.
    fn on_role_changes(&mut self) {
        let now = self.now();
        let (role, leader) = (self.member.role(), self.member.leader());
        if role == Role::Leader && self.role != Role::Leader {
            self.trials.clear();
            self.host_evidence = OutlierDetector::default();
            self.unmatched_since.clear();
            self.pending_proposals.clear();
            let (kept_cold, until) =
                self.registry.become_leader(now, &self.view, &Core::warmup_seconds(&self.view));
            let term = self.member.term();
            event!(Leads, "term {term}, {kept_cold} marshals are kept cold for {} ms", until - now);
        }
        if role != Role::Leader && self.role == Role::Leader {
            self.registry.become_follower();
        }
        if leader != self.leader && role != Role::Leader {
            let name =
                leader.map_or("no leader known".into(), |id| std::net::Ipv4Addr::from_bits(id).to_string());
            event!(Follows, "term {}: {name}", self.member.term());
        }
        (self.role, self.leader) = (role, leader);
        if self.disk_lost && !self.member.has_lost_state() {
            self.disk_lost = false;
            event!(Whole, "caught up as of entry {}", self.view.index);
        }
        self.log_start_progress();
        if self.logged_members != self.member.members() {
            self.logged_members = self.member.members().to_vec();
            let names: Vec<String> =
                self.logged_members.iter().map(|id| std::net::Ipv4Addr::from_bits(*id).to_string()).collect();
            event!(Members, "{}", names.join(" "));
            for id in self.logged_members.clone() {
                self.add_known_replica(id);
            }
        }
    }

    /// Handles a message from another replica. Returns false if the connection was replaced by a newer one:
    /// the message may be from an earlier incarnation of the sender and is ignored, and the connection is
    /// to be closed, so that a running sender makes a new one.
    pub fn on_peer_message(
        shared: &SharedCore,
        from: MemberId,
        connection: u64,
        message: PeerMessage,
    ) -> bool {
        {
            let core = &mut *shared.borrow_mut();
            if core.connections.get(&from) != Some(&connection) {
                return false;
            }
            let now = core.now();
            match message {
                PeerMessage::Consensus(message) => core.member.step(now, from, message),
                PeerMessage::Gossip { nodes, edges, heartbeats } => {
                    core.registry.record_heard(now, &nodes);
                    edges.into_iter().for_each(|(edge, ago)| core.registry.record_edge(now, edge, ago));
                    heartbeats
                        .iter()
                        .for_each(|heartbeat| core.registry.record_edge_heartbeat(now, heartbeat));
                }
                PeerMessage::Call { call, request } => {
                    let shared = Rc::clone(shared);
                    tokio::task::spawn_local(async move {
                        let answer = Core::execute_as_leader(&shared, request).await;
                        shared.borrow().send_to(from, &PeerMessage::Reply { call, answer });
                    });
                }
                PeerMessage::Reply { call, answer } => {
                    // An answer that no caller waits for is dropped.
                    core.forwarded_calls.deliver(from, call, answer);
                }
                PeerMessage::Reports { edge, incarnation, reports } => {
                    if core.role == Role::Leader {
                        core.on_trial_reports(edge, incarnation, reports);
                    }
                }
                PeerMessage::Drift { edge, incarnation, zone, finding } => {
                    if core.role == Role::Leader {
                        core.drift.repairer.record_finding(now, edge, incarnation, &zone, finding);
                    }
                }
                PeerMessage::ViewDigest(index, digest) => core.on_view_digest(now, from, index, &digest),
                PeerMessage::Observed(observations) => {
                    for (edge, ago, observed) in observations {
                        core.host_loads.record(now, &observed, ago);
                        core.record_host_evidence(now, edge, &observed, ago);
                    }
                }
                PeerMessage::Join => {
                    core.join_requests.insert(from, now);
                    let silence = core.replacement_silence();
                    core.join_requests.retain(|_, at| now.saturating_sub(*at) < silence);
                    if core.member.members().len() < MAX_MEMBERS {
                        core.member.add_learner(now, from);
                    }
                }
            }
        }
        Core::advance(shared);
        true
    }

    /// Runs the work that is due by the clock.
    fn tick(shared: &SharedCore) {
        {
            let core = &mut *shared.borrow_mut();
            let now = core.now();
            if core
                .pending_write
                .as_ref()
                .is_some_and(|write| now > write.handed_out_at + WRITE_HANG_TIMEOUT_MS)
            {
                core.suspend_disk("a write takes too long");
            }
            core.member.tick(now);
            if now >= core.last_heartbeat + HEARTBEAT_INTERVAL_MS {
                core.last_heartbeat = now;
                core.broadcast_heartbeat(now);
            }
            if now >= core.last_periodic_work + 250 {
                core.last_periodic_work = now;
                core.run_periodic_work(now);
            }
        }
        Core::advance(shared);
    }

    /// Does the work that is due four times a second: proposals of the leader, clean-up and gossip.
    fn run_periodic_work(&mut self, now: Millis) {
        let ready: BTreeSet<u32> = self.registry.ready_edges(now).iter().map(|edge| edge.id).collect();
        if !ready.is_subset(&self.ready_edges) {
            self.last_edge_arrival = now;
        }
        self.ready_edges = ready;
        if self.role == Role::Leader {
            self.propose_due_commands(now);
            self.remove_replaced_member(now);
        }
        self.waiters.retain(|_, waiters| {
            waiters.retain(|(_, waiter)| !waiter.is_closed());
            !waiters.is_empty()
        });
        self.pending_reads.retain(|_, read| !read.is_closed());
        self.forwarded_calls.remove_abandoned();
        self.log_loss_margin(now);
        self.registry.expire_edges(now);
        for (edge, incarnation) in self.drift.checker.unreporting_edges(now) {
            self.report_finding(now, edge, incarnation, Finding::Stuck);
        }
        if !self.unsent_observations.is_empty() {
            let unsent = std::mem::take(&mut self.unsent_observations).into_iter();
            let observations =
                unsent.map(|(edge, (_, at, observed))| (edge, now.saturating_sub(at), observed)).collect();
            self.broadcast(&PeerMessage::Observed(observations));
        }
        if now >= self.last_gossip + 500 {
            self.last_gossip = now;
            if let Some((index, digest)) = self.drift.newest_digest() {
                self.broadcast(&PeerMessage::ViewDigest(index, digest));
            }
            let nodes = self.registry.take_heard_ids();
            // Guards against a replica that has just started, or whose link lost a message: the full status
            // is sent periodically.
            if now >= self.last_full_gossip + FULL_GOSSIP_INTERVAL_MS {
                self.last_full_gossip = now;
                self.gossiped_edges.clear();
            }
            let (edges, heartbeats) = self.registry.gossip(now, &mut self.gossiped_edges);
            self.broadcast(&PeerMessage::Gossip { nodes, edges, heartbeats });
            // A replica that is not a member, or that hears no leader and may have been replaced, asks all
            // replicas that it knows to join; the leader admits it.
            let outside = !self.member.members().contains(&self.settings.id());
            if !self.shutting_down
                && !self.member.has_lost_state()
                && (outside || !self.member.has_recent_state(now, 2_000))
            {
                for id in self.known_replicas.clone() {
                    self.send_to(id, &PeerMessage::Join);
                }
            }
        }
    }
}

/// Runs the clock.
pub async fn run_clock(core: SharedCore) {
    let mut interval = tokio::time::interval(Duration::from_millis(25));
    interval.set_missed_tick_behavior(tokio::time::MissedTickBehavior::Delay);
    loop {
        interval.tick().await;
        Core::tick(&core);
    }
}

/// Reads the settings again whenever the file changes; new seeds are further replicas to contact.
pub async fn watch_settings(core: SharedCore, path: PathBuf) {
    let apply = |settings: Settings| {
        let core = &mut *core.borrow_mut();
        settings.seeds().into_iter().for_each(|id| core.add_known_replica(id));
        core.settings.timers = settings.timers;
    };
    milletwing_wire::watch_settings(path, apply).await;
}
