//! One machine of the core. Everything that it promises is in [`Work::batch`] before the messages that depend on it.
//!
//! What holds, and by which line:
//! - one leader a term: a machine votes once a term, and the vote is on disk before it is told (`answer_vote_request`);
//! - what is committed stays: a vote goes only to a log that is not behind (`answer_vote_request`), a leader commits only entries of its
//!   own term by count (`count`), and only copies that are on disk count (`saved`, `written`);
//! - a machine that lost its disk counts for nothing until it has asked all but `losses` of the members what they hold and
//!   has all of it (`recalled`): one of them has whatever the lost disk helped to acknowledge;
//! - a machine that starts with a disk asks as well, since an earlier state of it may have been put back: it votes in no
//!   term that the others have heard of, and only for logs that hold what they told (`confirm_start`);
//! - a read is answered only after a majority has confirmed, later than the read came, that this machine still leads.

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

use inspection::hard_state;
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

/// What a machine is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Itself.
    pub id: MemberId,
    /// Silence of a leader after which others ask for votes: at least this, at most twice as much; milliseconds.
    pub election_timeout: Millis,
    /// Milliseconds between a leader's calls.
    pub heartbeat_interval: Millis,
    /// How many disks may be lost at once.
    pub tolerated_losses: usize,
    /// Entries after which a snapshot is taken; a quarter of it stays behind the snapshot.
    pub snapshot_after_entries: u64,
    /// Bytes of entries after which one is taken, too.
    pub snapshot_after_bytes: usize,
    /// Bytes of a snapshot in one message.
    pub snapshot_chunk_bytes: usize,
    /// Where its chance begins: another one at each start.
    pub seed: u64,
}

/// How a machine stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Follows, or knows nobody.
    Follower,
    /// Asks beforehand whether it would be elected.
    Asking,
    /// Stands for election.
    Candidate,
    /// Leads.
    Leader,
}

/// What is to be done: write and sync `batch`, call [`Member::saved`], then send.
#[derive(Debug, Default)]
pub struct Ready {
    /// First this.
    pub batch: Batch,
    /// Then these.
    pub messages: Vec<(MemberId, Message)>,
    /// Where the log ends with this batch: to be handed to [`Member::saved`].
    pub last: LogPosition,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct HardState {
    term: u64,
    vote: Option<MemberId>,
    /// The machine lost its disk and has not caught up.
    lost: bool,
    /// What its log must hold before it counts again.
    target: Option<LogPosition>,
    /// A life begun: a disk that holds this is not empty.
    begun: bool,
}

/// What another machine has told that it holds.
#[derive(Clone, Debug)]
struct Held {
    term: u64,
    last: LogPosition,
    members: Vec<MemberId>,
    integrity: StateIntegrity,
}

/// Whether a machine has confirmed, since its start, that its disk is no earlier state of itself.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Start {
    /// It asks the others, since this moment.
    Asking(Millis),
    /// They hold more than this machine's disk. Until its log ends here or later it does not stand for election, votes only
    /// for logs that do, and tells nobody that it holds everything.
    Behind(LogPosition),
    /// Its disk holds everything that they told.
    Confirmed,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    next: u64,
    match_index: u64,
    quorum_eligible: bool,
    heard: Millis,
    sent: Millis,
    /// When entries went out that are not answered yet, and in which round.
    waiting: Option<(Millis, u64)>,
    round: u64,
    /// The round of the answer by which `matched` was told last.
    told: u64,
    /// The snapshot that it is sent, and how much of it has arrived.
    snapshot: (LogPosition, u64),
    /// It was sent a part of a snapshot.
    installing: bool,
}

/// One machine.
pub struct Member {
    set: Options,
    hard_state: HardState,
    log: Log,
    members: Vec<MemberId>,
    /// Entries up to here are on this machine's disk.
    written: u64,
    commit: u64,
    applied: u64,
    role: Role,
    leader: Option<MemberId>,
    /// Since when the leader has told of committed entries that have not come.
    behind: Option<Millis>,
    /// When a leader was heard of last, and when to ask for votes.
    heard: Millis,
    deadline: Millis,
    votes: BTreeSet<MemberId>,
    peers: BTreeMap<MemberId, Progress>,
    round: u64,
    reads: Vec<(u64, u64)>,
    /// The call and the answers of a machine that lost its disk.
    query_id: u64,
    answers: BTreeMap<MemberId, Held>,
    asked: Millis,
    /// What is known of the disk that this process began with.
    start: Start,
    /// Machines to ask before any members are known.
    seeds: Vec<MemberId>,
    chance: Pcg64Mcg,
    /// The disk says that it counts.
    whole: bool,
    dirty: bool,
    fresh: Vec<Entry>,
    placed: Option<(Snapshot, u64)>,
    /// A leader's snapshot of which parts have come.
    coming: Option<(LogPosition, Vec<u8>)>,
    out: Vec<(MemberId, Message)>,
    /// Machines on their way in, as far as this machine leads.
    learners: BTreeMap<MemberId, Learner>,
    /// Writes fail or hang: nothing is promised until they are down.
    suspended: bool,
    /// The newest round of a leader that was heeded, behind its term.
    heeded: (u64, u64),
    /// When the clock ticked last.
    ticked: Millis,
    /// Messages that promise nothing, made while writes are suspended.
    unbound: Vec<(MemberId, Message)>,
}

/// Bytes of entries in one message.
const MOST_BYTES: usize = 256 << 10;

impl Member {
    /// Goes on from what the disk holds. `founders`: at the very first start of the system, who founds it; empty disks of
    /// any later start are taken for lost ones. `seeds`: whom a machine without memory asks. Errors are for operators.
    pub fn new(
        set: Options,
        stored: &StoredState,
        founders: Option<&[MemberId]>,
        seeds: &[MemberId],
        now: Millis,
    ) -> Result<Member, String> {
        let log = Log::load(stored)?;
        let hard_state = hard_state(stored)?;
        let mut chance = Pcg64Mcg::seed_from_u64(set.seed);
        let query_id = chance.random();
        let mut member = Member {
            hard_state: hard_state.unwrap_or_default(),
            members: log.members(),
            written: log.last_position().1,
            commit: log.snapshot.last.1,
            applied: log.snapshot.last.1,
            log,
            role: Role::Follower,
            leader: None,
            behind: None,
            heard: 0,
            deadline: 0,
            votes: BTreeSet::new(),
            peers: BTreeMap::new(),
            round: 0,
            reads: Vec::new(),
            query_id,
            answers: BTreeMap::new(),
            asked: 0,
            start: Start::Asking(now),
            seeds: seeds.iter().copied().filter(|seed| *seed != set.id).collect(),
            chance,
            whole: false,
            dirty: false,
            fresh: Vec::new(),
            placed: None,
            coming: None,
            out: Vec::new(),
            learners: BTreeMap::new(),
            suspended: false,
            heeded: (0, 0),
            ticked: now,
            unbound: Vec::new(),
            set,
        };
        if !member.hard_state.begun {
            member.hard_state.begun = true;
            member.dirty = true;
            match founders {
                Some(founders) if founders.contains(&member.set.id) => {
                    // The same on every founder: an empty snapshot that says who votes. It has a place in the log, so that
                    // whoever has nothing is sent it: one that only had the entries after it would know no members.
                    let mut members = founders.to_vec();
                    members.sort_unstable();
                    members.dedup();
                    let snapshot = Snapshot { last: (1, 1), members, data: Vec::new() };
                    member.hard_state.term = 1;
                    member.members = snapshot.members.clone();
                    member.log.restore(snapshot.clone());
                    (member.commit, member.applied, member.written) = (1, 1, 1);
                    member.placed = Some((snapshot, 2));
                    // Nothing was promised before.
                    member.start = Start::Confirmed;
                }
                // Guards against forgetting: an empty disk may be a lost one.
                _ => member.hard_state.lost = true,
            }
        }
        // A disk without a log has nothing to go on from, and knows nobody to ask but the seeds.
        if !member.hard_state.lost && member.members.is_empty() {
            (member.hard_state.lost, member.hard_state.target, member.dirty) = (true, None, true);
        }
        member.whole = !member.hard_state.lost;
        // A start waits less: if there is a leader, the others refuse at the question beforehand, and after a loss of all
        // machines nobody else will stand.
        member.rest(now);
        member.deadline = now + (member.deadline - now) / 4;
        Ok(member)
    }

    /// How it stands.
    pub fn role(&self) -> Role {
        self.role
    }

    /// Whom it takes for the leader.
    pub fn leader(&self) -> Option<MemberId> {
        self.leader
    }

    /// The term.
    pub fn term(&self) -> u64 {
        self.hard_state.term
    }

    /// Who votes.
    pub fn members(&self) -> &[MemberId] {
        &self.members
    }

    /// What is committed, and the last entry.
    pub fn commit_and_last(&self) -> (u64, LogPosition) {
        (self.commit, self.log.last_position())
    }

    /// It lost its disk and doesn't count yet, or that it counts is not on its disk yet.
    pub fn has_lost_state(&self) -> bool {
        !self.whole
    }

    /// Whether it has asked the others since its start, and holds what they told.
    pub fn start_confirmed(&self) -> bool {
        self.start == Start::Confirmed
    }

    /// What its log must hold before it counts, where the others told that they hold more than its disk at the start.
    pub fn catch_up_target(&self) -> Option<LogPosition> {
        match self.start {
            Start::Behind(most) => Some(most),
            Start::Asking(_) | Start::Confirmed => None,
        }
    }

    /// When each peer was heard last, as far as this machine leads.
    pub fn peers(&self) -> impl Iterator<Item = (MemberId, Millis, u64, bool)> + '_ {
        self.peers.iter().map(|(id, peer)| (*id, peer.heard, peer.match_index, peer.quorum_eligible))
    }

    /// The first index that is kept as an entry.
    pub fn first_index(&self) -> u64 {
        self.log.first_index()
    }
    /// The snapshot kept, for a user's state at the start.
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    fn votes_here(&self) -> bool {
        self.complete() && self.members.contains(&self.set.id)
    }

    fn majority(&self, count: usize) -> bool {
        !self.members.is_empty() && count * 2 > self.members.len()
    }

    /// All that are sent the log: members and learners.
    fn followers(&self) -> Vec<MemberId> {
        self.others().into_iter().chain(self.learners.keys().copied()).collect()
    }

    /// Other members.
    fn others(&self) -> Vec<MemberId> {
        self.members.iter().copied().filter(|id| *id != self.set.id).collect()
    }

    /// Time passes: elections, a leader's calls, questions of a machine without memory.
    pub fn tick(&mut self, now: Millis) {
        self.ticked = now;
        if self.hard_state.lost && self.hard_state.target.is_none() {
            self.ask_others(now);
            return;
        }
        if self.hard_state.lost && now >= self.deadline + 4 * self.set.election_timeout {
            // No leader sends what it waits for: it may have been replaced meanwhile, and has to ask anew.
            self.hard_state.target = None;
            self.dirty = true;
            self.begin_asking();
            self.rest(now);
            return;
        }
        self.check_start(now);
        if self.role == Role::Leader {
            // Guards against two leaders that both think they lead: one without a majority stands down.
            if now >= self.deadline {
                if self.backed(now, 2 * self.set.election_timeout) {
                    self.deadline = now + self.set.election_timeout;
                } else {
                    self.follow(now, self.hard_state.term, None);
                    return;
                }
            }
            self.promote(now);
            for id in self.followers() {
                let due =
                    self.peers.get(&id).is_none_or(|peer| now >= peer.sent + self.set.heartbeat_interval);
                if due {
                    self.append(now, id, true);
                }
            }
        } else if now >= self.deadline && self.votes_here() {
            self.stand(now, true);
        } else if self.role == Role::Asking && now >= self.asked + self.set.heartbeat_interval {
            // A question promises nothing, so that it may be put again and again to those who were not up yet.
            self.question(now);
        }
    }

    /// A message came.
    pub fn step(&mut self, now: Millis, from: MemberId, message: Message) {
        if !message.is_valid() {
            return;
        }
        match message {
            Message::QueryState { query_id } => {
                let (term, last) = (self.hard_state.term, self.log.last_position());
                let (members, integrity) = (self.members.clone(), self.integrity());
                self.send(from, Message::StateReport { query_id, term, last, members, integrity });
                self.ask_back(from);
            }
            Message::StateReport { query_id, term, last, members, integrity } => {
                let held = Held { term, last, members, integrity };
                if query_id != self.query_id {
                    // an answer to an earlier question
                } else if self.hard_state.lost && self.hard_state.target.is_none() {
                    self.recalled(now, from, held);
                } else if !self.hard_state.lost && matches!(self.start, Start::Asking(_)) {
                    self.answers.insert(from, held);
                    self.confirm_start(now);
                }
            }
            // Guards against a machine without memory that follows a leader deposed long ago.
            _ if self.hard_state.lost && self.hard_state.target.is_none() => {}
            Message::RequestVote { term, pre_vote, last } => {
                self.answer_vote_request(now, from, term, pre_vote, last)
            }
            Message::VoteResponse { term, pre_vote, granted } => {
                if !granted && term > self.hard_state.term {
                    self.follow(now, term, None);
                }
                let accepted = match self.role {
                    Role::Asking => pre_vote && term == self.hard_state.term + 1,
                    Role::Candidate => !pre_vote && term == self.hard_state.term,
                    _ => false,
                };
                if accepted && granted && self.members.contains(&from) {
                    self.votes.insert(from);
                    self.elected(now);
                }
            }
            Message::AppendEntries { term, previous, entries, commit, round } => {
                if self.heed(now, from, term, round) {
                    let round = self.heeded.1;
                    self.take(from, previous, entries, commit, round);
                    self.behind = (commit > self.commit).then(|| self.behind.unwrap_or(now));
                }
            }
            Message::InstallSnapshot { term, last, members, offset, chunk, total, checksum, round } => {
                if self.heed(now, from, term, round) {
                    let round = self.heeded.1;
                    self.install(from, (last, members), (offset, chunk, total, checksum), round);
                }
            }
            Message::SnapshotChunkResponse { term, last, received, round, quorum_eligible } => {
                if term > self.hard_state.term {
                    self.follow(now, term, None);
                } else if term == self.hard_state.term && self.role == Role::Leader {
                    self.arrived(now, from, last, received, round, quorum_eligible);
                }
            }
            Message::AppendResponse { term, accepted, match_index, round, quorum_eligible } => {
                if term > self.hard_state.term {
                    self.follow(now, term, None);
                } else if term == self.hard_state.term && self.role == Role::Leader {
                    self.appended(now, from, accepted, match_index, round, quorum_eligible);
                }
            }
            Message::DistrustDisk { term } => {
                if term == self.hard_state.term && self.leader == Some(from) && !self.hard_state.lost {
                    self.forget(now);
                }
            }
            Message::TransferLeadership { term } => {
                if term == self.hard_state.term && self.votes_here() && self.leader == Some(from) {
                    self.stand(now, false);
                }
            }
        }
    }

    /// Whether copies of entries on this machine count: what it says of its disk is true, and what it promises reaches it. One that
    /// is behind counts as well, for what it holds: a leader needs it, and its log grows only by what a leader sends.
    fn is_quorum_eligible(&self) -> bool {
        !self.hard_state.lost && !self.suspended && !matches!(self.start, Start::Asking(_))
    }

    /// Whether it holds everything that it ever helped to acknowledge.
    fn complete(&self) -> bool {
        self.is_quorum_eligible() && self.start == Start::Confirmed
    }

    /// What is to be done next; nothing while there is none. Whoever takes it writes it before anything else.
    pub fn take_ready(&mut self) -> Option<Ready> {
        if !self.dirty && self.fresh.is_empty() && self.placed.is_none() && self.out.is_empty() {
            return None;
        }
        let hard_state = std::mem::take(&mut self.dirty).then(|| encode(&self.hard_state));
        let entries = self.fresh.drain(..).map(|entry| (entry.index, encode(&entry))).collect();
        let snapshot = self.placed.take().map(|(snapshot, from)| (encode(&snapshot), from));
        let messages = std::mem::take(&mut self.out);
        let last = self.log.last_position();
        Some(Ready { batch: Batch { hard_state, entries, snapshot }, messages, last })
    }

    /// The work whose log ended at this mark is on the disk.
    pub fn on_persisted(&mut self, now: Millis, last: LogPosition) {
        self.resume(now);
        // Guards against counting what has been replaced since.
        if self.log.term(last.1) == Some(last.0) {
            self.written = self.written.max(last.1);
        }
        self.whole |= !self.hard_state.lost && !self.dirty;
        self.count(now);
    }

    /// Committed entries to be applied now, in order.
    pub fn take_committed(&mut self) -> Vec<Entry> {
        let mut out = Vec::new();
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else { break };
            out.push(entry.clone());
            self.applied += 1;
        }
        out
    }
}
