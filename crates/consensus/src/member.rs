//! One replica. Everything that it promises is in [`Ready::batch`] before the messages that depend on it.
//!
//! Invariants, and where they are enforced:
//! - One leader per term: a replica votes once per term, and its vote is on disk before the response is sent
//!   (`handle_vote_request`).
//! - Committed entries are kept: a replica votes only for candidates whose logs are at least as up to date as
//!   its own (`handle_vote_request`), a leader counts replicas only for entries of its own term
//!   (`advance_commit`), and only copies on disk count (`on_persisted`, `persisted_index`).
//! - A replica that lost its disk is not counted for any majority until all but `tolerated_losses` of the
//!   members have reported their state and it holds all of that (`handle_report_after_disk_loss`). One of the
//!   reports covers whatever the lost disk helped to acknowledge.
//! - A replica that restarts with its disk queries the others as well, because the disk may have been rolled
//!   back to an earlier state. It does not vote in any term that they know of, and votes only for logs that
//!   hold what they reported (`try_confirm_start`).
//! - A read is answered only after a majority has confirmed, in messages sent after the read arrived, that
//!   this replica is still the leader.

mod disk;
mod election;
mod inspection;
mod membership;
mod message;
mod reads;
mod recovery;
mod replication;
mod snapshots;
mod validity;

use inspection::read_hard_state;
pub use inspection::{inspect, Inspection};
use membership::Learner;
pub use membership::Retirement;
pub use message::{Message, StateIntegrity};

use crate::log::{encode, Batch, Entry, Log, Snapshot, StoredState};
use crate::{LogPosition, MemberId, Millis};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// Configuration of a replica.
#[derive(Clone, Debug)]
pub struct Options {
    /// The replica's own ID.
    pub id: MemberId,
    /// Minimum time without contact from a leader before a replica starts an election, in milliseconds. The
    /// actual timeout is drawn between this and twice as much.
    pub election_timeout: Millis,
    /// Milliseconds between a leader's heartbeats.
    pub heartbeat_interval: Millis,
    /// How many disks may be lost at the same time.
    pub tolerated_losses: usize,
    /// Number of entries after which a snapshot is taken. A quarter as many entries are kept behind the
    /// snapshot.
    pub snapshot_after_entries: u64,
    /// Total size of entries, in bytes, after which a snapshot is taken as well.
    pub snapshot_after_bytes: usize,
    /// Bytes of snapshot data in one message.
    pub snapshot_chunk_bytes: usize,
    /// Seed of the random number generator; different at each start.
    pub seed: u64,
}

/// A replica's role in its current term.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows a leader, or knows none.
    Follower,
    /// Pre-candidate: asks whether it would be elected, without starting a new term.
    Asking,
    /// Requests votes in a new term.
    Candidate,
    /// Leads the term.
    Leader,
}

/// Pending output. The driver writes and syncs `batch`, calls [`Member::on_persisted`] and then sends the
/// messages.
#[derive(Debug, Default)]
pub struct Ready {
    /// Data to persist first.
    pub batch: Batch,
    /// Messages to send afterwards.
    pub messages: Vec<(MemberId, Message)>,
    /// Last position of the log including this batch, to be passed to [`Member::on_persisted`].
    pub last: LogPosition,
}

/// The state that must survive a restart besides the log.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct HardState {
    term: u64,
    voted_for: Option<MemberId>,
    /// The disk was lost, and the replica has not caught up yet.
    disk_lost: bool,
    /// The position that the log must reach before the replica is counted again.
    catch_up_target: Option<LogPosition>,
    /// Always true once written: distinguishes an initialized disk from an empty one.
    initialized: bool,
}

/// The state that another replica has reported.
#[derive(Clone, Debug)]
struct ReportedState {
    term: u64,
    last: LogPosition,
    members: Vec<MemberId>,
    integrity: StateIntegrity,
}

/// Whether the replica has confirmed, since it started, that its disk was not rolled back to an earlier
/// state.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Startup {
    /// It has been querying the others since this time.
    Querying(Millis),
    /// The others have entries that this replica's disk lacks. Until its log reaches this position, it does
    /// not start an election, votes only for candidates whose logs reach it, and does not report its state as
    /// complete.
    CatchingUp(LogPosition),
    /// Its disk holds everything that the others reported.
    Confirmed,
}

/// A leader's view of a peer.
#[derive(Clone, Debug, Default)]
struct Progress {
    /// Index of the next entry to send.
    next_index: u64,
    /// Index up to which the peer's log is known to match, on its disk.
    match_index: u64,
    /// Whether the peer may be counted for a majority.
    quorum_eligible: bool,
    last_heard: Millis,
    last_sent: Millis,
    /// When the entries or the chunk in flight were sent, and in which round.
    in_flight: Option<(Millis, u64)>,
    /// The newest round that the peer has answered.
    acked_round: u64,
    /// The round of the response that last reported `match_index`.
    match_round: u64,
    /// The snapshot being sent, and how many of its bytes have arrived.
    snapshot_progress: (LogPosition, u64),
    /// The peer has been sent a chunk of a snapshot and does not hold the snapshot's entries yet.
    installing: bool,
}

/// A replica: a voting member, or a learner about to become one.
pub struct Member {
    options: Options,
    hard_state: HardState,
    log: Log,
    members: Vec<MemberId>,
    /// Index up to which entries are on this replica's disk.
    persisted_index: u64,
    commit_index: u64,
    applied_index: u64,
    role: Role,
    leader: Option<MemberId>,
    /// Since when the leader has reported committed entries that have not arrived.
    lagging_since: Option<Millis>,
    /// When a leader was last heard from.
    last_leader_contact: Millis,
    /// When to start an election; for a leader, when to check that a majority still responds.
    deadline: Millis,
    /// The members that have granted their vote or pre-vote in the current election.
    votes: BTreeSet<MemberId>,
    /// Progress of the other members and the learners, while this replica is the leader.
    peers: BTreeMap<MemberId, Progress>,
    /// The round of the leader's last message. Each message has its own.
    round: u64,
    /// Reads to be confirmed: the first round that confirms each, and its token.
    pending_reads: Vec<(u64, u64)>,
    /// Identifies the current state queries.
    query_id: u64,
    /// Reports that answer the current state queries.
    state_reports: BTreeMap<MemberId, ReportedState>,
    /// When state queries or vote requests were last sent.
    last_request_sent: Millis,
    /// What is known about the disk that this process started with.
    startup: Startup,
    /// Replicas to query before any members are known.
    seed_peers: Vec<MemberId>,
    rng: Pcg64Mcg,
    /// The hard state on disk says that the replica's state is not lost.
    state_intact_on_disk: bool,
    /// The hard state has changed since the last batch.
    hard_state_dirty: bool,
    /// Entries for the next batch.
    unsaved_entries: Vec<Entry>,
    /// A snapshot for the next batch, and the first index to keep with it.
    unsaved_snapshot: Option<(Snapshot, u64)>,
    /// Position and received bytes of a snapshot that a leader is sending in chunks.
    incoming_snapshot: Option<(LogPosition, Vec<u8>)>,
    /// Messages to be sent once the next batch is on disk.
    outbox: Vec<(MemberId, Message)>,
    /// Learners, while this replica is the leader.
    learners: BTreeMap<MemberId, Learner>,
    /// Writes fail or hang: the replica promises nothing until the pending batch is on disk.
    suspended: bool,
    /// Term and newest round of the leader messages accepted so far.
    latest_leader_round: (u64, u64),
    /// Time of the last tick.
    last_tick: Millis,
    /// Messages without promises, created while writes are suspended.
    immediate_messages: Vec<(MemberId, Message)>,
}

/// Maximum size of the entries in one message, in bytes.
const MAX_APPEND_BYTES: usize = 256 << 10;

impl Member {
    /// Restores a replica from its disk. `founders` are the initial members, given only at the first start of
    /// the cluster: at any later start an empty disk is treated as lost. `seed_peers` are the replicas to
    /// query as long as no members are known. Fails if the stored data is inconsistent.
    pub fn new(
        options: Options,
        stored: &StoredState,
        founders: Option<&[MemberId]>,
        seed_peers: &[MemberId],
        now: Millis,
    ) -> Result<Member, String> {
        let log = Log::load(stored)?;
        let hard_state = read_hard_state(stored)?;
        let mut rng = Pcg64Mcg::seed_from_u64(options.seed);
        let query_id = rng.random();
        let mut member = Member {
            hard_state: hard_state.unwrap_or_default(),
            members: log.members(),
            persisted_index: log.last_position().1,
            commit_index: log.snapshot.last.1,
            applied_index: log.snapshot.last.1,
            log,
            role: Role::Follower,
            leader: None,
            lagging_since: None,
            last_leader_contact: 0,
            deadline: 0,
            votes: BTreeSet::new(),
            peers: BTreeMap::new(),
            round: 0,
            pending_reads: Vec::new(),
            query_id,
            state_reports: BTreeMap::new(),
            last_request_sent: 0,
            startup: Startup::Querying(now),
            seed_peers: seed_peers.iter().copied().filter(|seed| *seed != options.id).collect(),
            rng,
            state_intact_on_disk: false,
            hard_state_dirty: false,
            unsaved_entries: Vec::new(),
            unsaved_snapshot: None,
            incoming_snapshot: None,
            outbox: Vec::new(),
            learners: BTreeMap::new(),
            suspended: false,
            latest_leader_round: (0, 0),
            last_tick: now,
            immediate_messages: Vec::new(),
            options,
        };
        if !member.hard_state.initialized {
            member.hard_state.initialized = true;
            member.hard_state_dirty = true;
            match founders {
                Some(founders) if founders.contains(&member.options.id) => {
                    // Every founder starts with the same empty snapshot, which names the members. It occupies
                    // a position in the log so that it is sent to a replica that has nothing: the entries
                    // after it alone would not tell that replica the members.
                    let mut members = founders.to_vec();
                    members.sort_unstable();
                    members.dedup();
                    let snapshot = Snapshot { last: (1, 1), members, data: Vec::new() };
                    member.hard_state.term = 1;
                    member.members = snapshot.members.clone();
                    member.log.restore(snapshot.clone());
                    (member.commit_index, member.applied_index, member.persisted_index) = (1, 1, 1);
                    member.unsaved_snapshot = Some((snapshot, 2));
                    // This replica has not promised anything before.
                    member.startup = Startup::Confirmed;
                }
                // An empty disk may be a lost one, so the replica must not vote before it has recovered.
                _ => member.hard_state.disk_lost = true,
            }
        }
        // A disk without a log names no members. There is nothing to resume from, and only the seed peers can
        // be queried.
        if !member.hard_state.disk_lost && member.members.is_empty() {
            (member.hard_state.disk_lost, member.hard_state.catch_up_target, member.hard_state_dirty) =
                (true, None, true);
        }
        member.state_intact_on_disk = !member.hard_state.disk_lost;
        // The first election timeout is a quarter of the usual one. If there is a leader, the others reject
        // the pre-vote; after a failure of all replicas, there is no other candidate to wait for.
        member.reset_deadline(now);
        member.deadline = now + (member.deadline - now) / 4;
        Ok(member)
    }

    /// The replica's current role.
    pub fn role(&self) -> Role {
        self.role
    }

    /// The leader that the replica follows, if it knows one.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// The current term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// The voting members.
    pub fn members(&self) -> &[MemberId] {
        &self.members
    }

    /// The commit index, and the position of the last entry.
    pub fn commit_and_last(&self) -> (u64, LogPosition) {
        (self.commit_index, self.log.last_position())
    }

    /// Whether the replica lost its disk and has not recovered, or its recovery is not on disk yet.
    pub fn has_lost_state(&self) -> bool {
        !self.state_intact_on_disk
    }

    /// Whether the replica has queried the others since its start, and holds everything that they reported.
    pub fn start_confirmed(&self) -> bool {
        self.startup == Startup::Confirmed
    }

    /// The position that the log must reach before the replica's state is complete, if the others reported
    /// more at its start than its disk held.
    pub fn catch_up_target(&self) -> Option<LogPosition> {
        match self.startup {
            Startup::CatchingUp(target) => Some(target),
            Startup::Querying(_) | Startup::Confirmed => None,
        }
    }

    /// For each peer, while this replica is the leader: its ID, when it was last heard from, its match index,
    /// and whether it may be counted for a majority.
    pub fn peers(&self) -> impl Iterator<Item = (MemberId, Millis, u64, bool)> + '_ {
        self.peers.iter().map(|(id, peer)| (*id, peer.last_heard, peer.match_index, peer.quorum_eligible))
    }

    /// Index of the first entry that is kept.
    pub fn first_index(&self) -> u64 {
        self.log.first_index()
    }

    /// The stored snapshot, from which the application state is restored at startup.
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    /// Whether the replica is a member that holds everything it ever helped to acknowledge. Only then may it
    /// start elections and count its own copies of entries.
    fn is_complete_member(&self) -> bool {
        self.has_complete_state() && self.members.contains(&self.options.id)
    }

    /// Whether this many members are a majority.
    fn is_majority(&self, count: usize) -> bool {
        !self.members.is_empty() && count * 2 > self.members.len()
    }

    /// All replicas that are sent the log: the other members and the learners.
    fn replication_targets(&self) -> Vec<MemberId> {
        self.other_members().into_iter().chain(self.learners.keys().copied()).collect()
    }

    /// The other voting members.
    fn other_members(&self) -> Vec<MemberId> {
        self.members.iter().copied().filter(|id| *id != self.options.id).collect()
    }

    /// Advances the clock: starts elections, sends heartbeats, and repeats the queries of a recovering
    /// replica.
    pub fn tick(&mut self, now: Millis) {
        self.last_tick = now;
        if self.hard_state.disk_lost && self.hard_state.catch_up_target.is_none() {
            self.query_peers(now);
            return;
        }
        if self.hard_state.disk_lost && now >= self.deadline + 4 * self.options.election_timeout {
            // No leader sends the missing entries. The replica may have been removed in the meantime, so it
            // queries again.
            self.hard_state.catch_up_target = None;
            self.hard_state_dirty = true;
            self.restart_queries();
            self.reset_deadline(now);
            return;
        }
        self.tick_startup(now);
        if self.role == Role::Leader {
            // A leader without contact to a majority steps down, so that it does not act beside a newer
            // leader.
            if now >= self.deadline {
                if self.has_quorum_contact(now, 2 * self.options.election_timeout) {
                    self.deadline = now + self.options.election_timeout;
                } else {
                    self.become_follower(now, self.hard_state.term, None);
                    return;
                }
            }
            self.promote_learners(now);
            for id in self.replication_targets() {
                let due = self
                    .peers
                    .get(&id)
                    .is_none_or(|peer| now >= peer.last_sent + self.options.heartbeat_interval);
                if due {
                    self.send_append(now, id, true);
                }
            }
        } else if now >= self.deadline && self.is_complete_member() {
            self.start_campaign(now, true);
        } else if self.role == Role::Asking && now >= self.last_request_sent + self.options.heartbeat_interval
        {
            // A pre-vote request promises nothing, so it can be repeated for replicas that were not running
            // yet.
            self.request_votes(now);
        }
    }

    /// Handles a message from another replica.
    pub fn step(&mut self, now: Millis, from: MemberId, message: Message) {
        if !message.is_valid() {
            return;
        }
        match message {
            Message::QueryState { query_id } => {
                let (term, last) = (self.hard_state.term, self.log.last_position());
                let (members, integrity) = (self.members.clone(), self.integrity());
                self.send(from, Message::StateReport { query_id, term, last, members, integrity });
                self.query_back(from);
            }
            Message::StateReport { query_id, term, last, members, integrity } => {
                let report = ReportedState { term, last, members, integrity };
                if query_id != self.query_id {
                    // response to an earlier query
                } else if self.hard_state.disk_lost && self.hard_state.catch_up_target.is_none() {
                    self.handle_report_after_disk_loss(now, from, report);
                } else if !self.hard_state.disk_lost && matches!(self.startup, Startup::Querying(_)) {
                    self.state_reports.insert(from, report);
                    self.try_confirm_start(now);
                }
            }
            // A replica without state must not follow a leader that may have been deposed long ago.
            _ if self.hard_state.disk_lost && self.hard_state.catch_up_target.is_none() => {}
            Message::RequestVote { term, pre_vote, last } => {
                self.handle_vote_request(now, from, term, pre_vote, last)
            }
            Message::VoteResponse { term, pre_vote, granted } => {
                if !granted && term > self.hard_state.term {
                    self.become_follower(now, term, None);
                }
                let expected = match self.role {
                    Role::Asking => pre_vote && term == self.hard_state.term + 1,
                    Role::Candidate => !pre_vote && term == self.hard_state.term,
                    _ => false,
                };
                if expected && granted && self.members.contains(&from) {
                    self.votes.insert(from);
                    self.check_election(now);
                }
            }
            Message::AppendEntries { term, previous, entries, commit, round } => {
                if self.accept_leader(now, from, term, round) {
                    let round = self.latest_leader_round.1;
                    self.handle_append_entries(from, previous, entries, commit, round);
                    self.lagging_since =
                        (commit > self.commit_index).then(|| self.lagging_since.unwrap_or(now));
                }
            }
            Message::InstallSnapshot { term, last, members, offset, chunk, total, checksum, round } => {
                if self.accept_leader(now, from, term, round) {
                    let round = self.latest_leader_round.1;
                    self.handle_install_snapshot(
                        from,
                        (last, members),
                        (offset, chunk, total, checksum),
                        round,
                    );
                }
            }
            Message::SnapshotChunkResponse { term, last, received, round, quorum_eligible } => {
                if term > self.hard_state.term {
                    self.become_follower(now, term, None);
                } else if term == self.hard_state.term && self.role == Role::Leader {
                    self.handle_snapshot_chunk_response(now, from, last, received, round, quorum_eligible);
                }
            }
            Message::AppendResponse { term, accepted, match_index, round, quorum_eligible } => {
                if term > self.hard_state.term {
                    self.become_follower(now, term, None);
                } else if term == self.hard_state.term && self.role == Role::Leader {
                    self.handle_append_response(now, from, accepted, match_index, round, quorum_eligible);
                }
            }
            Message::DistrustDisk { term } => {
                if term == self.hard_state.term && self.leader == Some(from) && !self.hard_state.disk_lost {
                    self.discard_local_state(now);
                }
            }
            Message::TransferLeadership { term } => {
                if term == self.hard_state.term && self.is_complete_member() && self.leader == Some(from) {
                    self.start_campaign(now, false);
                }
            }
        }
    }

    /// Whether this replica's copies of entries count towards a majority: it knows that its disk was not
    /// rolled back, and its writes reach the disk. A replica that is catching up counts too, for the entries
    /// that it holds: the leader may need it for a majority, and its log grows only by what a leader sends.
    fn is_quorum_eligible(&self) -> bool {
        !self.hard_state.disk_lost && !self.suspended && !matches!(self.startup, Startup::Querying(_))
    }

    /// Whether the replica holds everything that it ever helped to acknowledge.
    fn has_complete_state(&self) -> bool {
        self.is_quorum_eligible() && self.startup == Startup::Confirmed
    }

    /// Takes the pending output, or returns `None` if there is none. The caller must persist it before
    /// anything else.
    pub fn take_ready(&mut self) -> Option<Ready> {
        if !self.hard_state_dirty
            && self.unsaved_entries.is_empty()
            && self.unsaved_snapshot.is_none()
            && self.outbox.is_empty()
        {
            return None;
        }
        let hard_state = std::mem::take(&mut self.hard_state_dirty).then(|| encode(&self.hard_state));
        let entries = self.unsaved_entries.drain(..).map(|entry| (entry.index, encode(&entry))).collect();
        let snapshot = self.unsaved_snapshot.take().map(|(snapshot, from)| (encode(&snapshot), from));
        let messages = std::mem::take(&mut self.outbox);
        let last = self.log.last_position();
        Some(Ready { batch: Batch { hard_state, entries, snapshot }, messages, last })
    }

    /// Reports that the batch whose log ended at this position is on disk.
    pub fn on_persisted(&mut self, now: Millis, last: LogPosition) {
        self.resume_writes(now);
        // Entries that have been replaced since then must not count as persisted.
        if self.log.term(last.1) == Some(last.0) {
            self.persisted_index = self.persisted_index.max(last.1);
        }
        self.state_intact_on_disk |= !self.hard_state.disk_lost && !self.hard_state_dirty;
        self.advance_commit(now);
    }

    /// Takes the committed entries that are to be applied next, in order.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let mut out = Vec::new();
        while self.applied_index < self.commit_index {
            let Some(entry) = self.log.get(self.applied_index + 1) else { break };
            out.push(entry.clone());
            self.applied_index += 1;
        }
        out
    }
}
