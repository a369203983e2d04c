//! One machine of the core. Everything that it promises is in [`Work::batch`] before the messages that depend on it.
//!
//! What holds, and by which line:
//! - one leader a term: a machine lends its vote once a term, and the vote is on disk before it is told (`lend`);
//! - what is committed stays: a vote goes only to a log that is not behind (`lend`), a leader commits only entries of its
//!   own term by count (`count`), and only copies that are on disk count (`saved`, `written`);
//! - a machine that lost its disk counts for nothing until it has asked all but `losses` of the members what they hold and
//!   has all of it (`recalled`): one of them has whatever the lost disk helped to acknowledge;
//! - a read is answered only after a majority has confirmed, later than the read came, that this machine still leads.

use crate::log::{bytes, read, Batch, Entry, Log, Payload, Snapshot, Stored};
use crate::{Id, Mark, Time};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};

/// What a machine is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Itself.
    pub id: Id,
    /// Silence of a leader after which others ask for votes: at least this, at most twice as much; milliseconds.
    pub election: Time,
    /// Milliseconds between a leader's calls.
    pub heartbeat: Time,
    /// How many disks may be lost at once.
    pub losses: usize,
    /// Entries after which a snapshot is taken; a quarter of it stays behind the snapshot.
    pub snapshot_every: u64,
    /// Bytes of a snapshot in one message.
    pub part: usize,
    /// Where its chance begins: another one at each start.
    pub seed: u64,
}

/// What machines of the core say to each other.
#[allow(missing_docs)] // each variant's line says what its fields are
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Message {
    /// Would you lend me your vote for this term? `early`: only a question, nothing is promised.
    Ask { term: u64, early: bool, last: Mark },
    /// The answer.
    Lend { term: u64, early: bool, granted: bool },
    /// A leader's entries, or none; `round` is given back.
    Append { term: u64, before: Mark, entries: Vec<Entry>, commit: u64, round: u64 },
    /// What stands on the follower's disk up to `matched`, or where the leader should try next. `counts`: this machine
    /// may be counted for a majority.
    Appended { term: u64, fits: bool, matched: u64, round: u64, counts: bool },
    /// A part of a snapshot in place of entries that the leader has no more: what it stands for, its bytes from `offset` on,
    /// how many there are in all, and their checksum.
    Install {
        term: u64,
        last: Mark,
        members: Vec<Id>,
        offset: u64,
        part: Vec<u8>,
        total: u64,
        sum: u32,
        round: u64,
    },
    /// So much of that snapshot is here: the next part begins there.
    Installed { term: u64, last: Mark, have: u64, round: u64, counts: bool },
    /// Stand for election at once: the leader leaves.
    Hand { term: u64 },
    /// A machine without memory asks what there is. `call` is drawn at its start.
    Recall { call: u64 },
    /// The answer; `whole` is false where the one who answers has lost its disk as well.
    Recalled { call: u64, term: u64, last: Mark, members: Vec<Id>, whole: bool },
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
pub struct Work {
    /// First this.
    pub batch: Batch,
    /// Then these.
    pub messages: Vec<(Id, Message)>,
    /// Where the log ends with this batch: to be handed to [`Member::saved`].
    pub last: Mark,
}

#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Hard {
    term: u64,
    vote: Option<Id>,
    /// The machine lost its disk and has not caught up.
    lost: bool,
    /// What its log must hold before it counts again.
    target: Option<Mark>,
    /// A life begun: a disk that holds this is not empty.
    begun: bool,
}

#[derive(Clone, Debug, Default)]
struct Progress {
    next: u64,
    matched: u64,
    counts: bool,
    heard: Time,
    sent: Time,
    /// When entries went out that are not answered yet.
    waiting: Option<Time>,
    round: u64,
    /// The snapshot that it is sent, and how much of it has arrived.
    snapshot: (Mark, u64),
}

/// What a stopped machine's disk holds, for operators.
#[derive(Clone, Debug, Serialize)]
pub struct Inspection {
    /// The term.
    pub term: u64,
    /// Whom it lent its vote in that term.
    pub vote: Option<Id>,
    /// It lost its disk and does not count yet.
    pub lost: bool,
    /// The snapshot.
    pub snapshot: Mark,
    /// Who votes, as of the last entry.
    pub members: Vec<Id>,
    /// The entries behind the snapshot.
    pub entries: Vec<Entry>,
    /// The user's state in the snapshot.
    #[serde(skip)]
    pub data: Vec<u8>,
}

/// Reads what a disk holds without taking part. Errors say what doesn't hold together.
pub fn inspect(stored: &Stored) -> Result<Inspection, String> {
    let log = Log::load(stored)?;
    let hard: Hard = stored.hard.as_deref().map_or(Ok(Hard::default()), |bytes| read("hard state", bytes))?;
    Ok(Inspection {
        term: hard.term,
        vote: hard.vote,
        lost: hard.lost,
        snapshot: log.snapshot.last,
        members: log.members(),
        entries: log.from(log.first(), usize::MAX),
        data: log.snapshot.data,
    })
}

/// One machine.
pub struct Member {
    set: Options,
    hard: Hard,
    log: Log,
    members: Vec<Id>,
    /// Entries up to here are on this machine's disk.
    written: u64,
    commit: u64,
    applied: u64,
    role: Role,
    leader: Option<Id>,
    /// Since when the leader has told of committed entries that have not come.
    behind: Option<Time>,
    /// When a leader was heard of last, and when to ask for votes.
    heard: Time,
    deadline: Time,
    votes: BTreeSet<Id>,
    peers: BTreeMap<Id, Progress>,
    round: u64,
    reads: Vec<(u64, u64)>,
    /// The call and the answers of a machine that lost its disk.
    call: u64,
    answers: BTreeMap<Id, (u64, Mark, Vec<Id>)>,
    asked: Time,
    /// Machines to ask before any members are known.
    seeds: Vec<Id>,
    chance: Pcg64Mcg,
    /// The disk says that it counts.
    whole: bool,
    dirty: bool,
    fresh: Vec<Entry>,
    placed: Option<(Snapshot, u64)>,
    /// A leader's snapshot of which parts have come.
    coming: Option<(Mark, Vec<u8>)>,
    out: Vec<(Id, Message)>,
}

/// Bytes of entries in one message.
const MOST_BYTES: usize = 256 << 10;

impl Member {
    /// Goes on from what the disk holds. `founders`: at the very first start of the system, who founds it; empty disks of
    /// any later start are taken for lost ones. `seeds`: whom a machine without memory asks. Errors are for operators.
    pub fn new(
        set: Options,
        stored: &Stored,
        founders: Option<&[Id]>,
        seeds: &[Id],
        now: Time,
    ) -> Result<Member, String> {
        let log = Log::load(stored)?;
        let hard: Option<Hard> = stored.hard.as_deref().map(|bytes| read("hard state", bytes)).transpose()?;
        let mut chance = Pcg64Mcg::seed_from_u64(set.seed);
        let call = chance.random();
        let mut member = Member {
            hard: hard.unwrap_or_default(),
            members: log.members(),
            written: log.last().1,
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
            call,
            answers: BTreeMap::new(),
            asked: 0,
            seeds: seeds.iter().copied().filter(|seed| *seed != set.id).collect(),
            chance,
            whole: false,
            dirty: false,
            fresh: Vec::new(),
            placed: None,
            coming: None,
            out: Vec::new(),
            set,
        };
        if !member.hard.begun {
            member.hard.begun = true;
            member.dirty = true;
            match founders {
                Some(founders) if founders.contains(&member.set.id) => {
                    // The same on every founder: an empty snapshot that says who votes. It has a place in the log, so that
                    // whoever has nothing is sent it: one that only had the entries after it would know no members.
                    let mut members = founders.to_vec();
                    members.sort_unstable();
                    members.dedup();
                    let snapshot = Snapshot { last: (1, 1), members, data: Vec::new() };
                    member.hard.term = 1;
                    member.members = snapshot.members.clone();
                    member.log.restore(snapshot.clone());
                    (member.commit, member.applied, member.written) = (1, 1, 1);
                    member.placed = Some((snapshot, 2));
                }
                // Guards against forgetting: an empty disk may be a lost one.
                _ => member.hard.lost = true,
            }
        }
        member.whole = !member.hard.lost;
        // A start waits less: if there is a leader, the others refuse at the question beforehand, and after a loss of all
        // machines nobody else will stand.
        member.rest(now);
        member.deadline = now + (member.deadline - now) / 4;
        Ok(member)
    }

    fn rest(&mut self, now: Time) {
        let wait = self.set.election + self.chance.random_range(0..=self.set.election);
        self.deadline = now + wait;
    }

    /// How it stands.
    pub fn role(&self) -> Role {
        self.role
    }
    /// Whom it takes for the leader.
    pub fn leader(&self) -> Option<Id> {
        self.leader
    }
    /// The term.
    pub fn term(&self) -> u64 {
        self.hard.term
    }
    /// Who votes.
    pub fn members(&self) -> &[Id] {
        &self.members
    }
    /// What is committed, and the last entry.
    pub fn marks(&self) -> (u64, Mark) {
        (self.commit, self.log.last())
    }
    /// It lost its disk and doesn't count yet, or that it counts is not on its disk yet.
    pub fn lost(&self) -> bool {
        !self.whole
    }
    /// Whether a leader was heard of, or is it itself with a majority behind it, within a time.
    pub fn fresh(&self, now: Time, within: Time) -> bool {
        match self.role {
            Role::Leader => self.backed(now, within),
            // Guards against one that hears its leader and gets nothing: calls are short, entries long, and its word may not
            // reach the leader, so that these are not sent again.
            _ => {
                let lags = self.behind.is_some_and(|since| now.saturating_sub(since) > within / 2);
                self.leader.is_some() && now.saturating_sub(self.heard) <= within && !lags
            }
        }
    }
    /// When each peer was heard last, as far as this machine leads.
    pub fn peers(&self) -> impl Iterator<Item = (Id, Time, u64, bool)> + '_ {
        self.peers.iter().map(|(id, peer)| (*id, peer.heard, peer.matched, peer.counts))
    }
    /// The snapshot kept, for a user's state at the start.
    pub fn snapshot(&self) -> &Snapshot {
        &self.log.snapshot
    }

    fn votes_here(&self) -> bool {
        !self.hard.lost && self.members.contains(&self.set.id)
    }

    fn majority(&self, count: usize) -> bool {
        !self.members.is_empty() && count * 2 > self.members.len()
    }

    fn others(&self) -> Vec<Id> {
        self.members.iter().copied().filter(|id| *id != self.set.id).collect()
    }

    fn backed(&self, now: Time, within: Time) -> bool {
        let near = |id: &Id| {
            self.peers.get(id).is_some_and(|peer| peer.counts && now.saturating_sub(peer.heard) <= within)
        };
        let others = self.others().iter().filter(|id| near(id)).count();
        self.majority(others + usize::from(self.members.contains(&self.set.id)))
    }

    /// Time passes: elections, a leader's calls, questions of a machine without memory.
    pub fn tick(&mut self, now: Time) {
        if self.hard.lost && self.hard.target.is_none() {
            if self.asked == 0 || now >= self.asked + 200 {
                self.asked = now.max(1);
                let call = self.call;
                let known = self.answers.keys().copied().collect::<BTreeSet<_>>();
                let mut whom: BTreeSet<Id> = self.seeds.iter().chain(self.members.iter()).copied().collect();
                whom.remove(&self.set.id);
                self.out.extend(whom.difference(&known).map(|id| (*id, Message::Recall { call })));
            }
            return;
        }
        if self.hard.lost && now >= self.deadline + 4 * self.set.election {
            // No leader sends what it waits for: it may have been replaced meanwhile, and has to ask anew.
            self.hard.target = None;
            self.dirty = true;
            self.answers.clear();
            self.call = self.chance.random();
            self.rest(now);
            return;
        }
        if self.role == Role::Leader {
            // Guards against two leaders that both think they lead: one without a majority stands down.
            if now >= self.deadline {
                if self.backed(now, 2 * self.set.election) {
                    self.deadline = now + self.set.election;
                } else {
                    self.follow(now, self.hard.term, None);
                    return;
                }
            }
            for id in self.others() {
                let due = self.peers.get(&id).is_none_or(|peer| now >= peer.sent + self.set.heartbeat);
                if due {
                    self.append(now, id, true);
                }
            }
        } else if now >= self.deadline && self.votes_here() {
            self.stand(now, true);
        } else if self.role == Role::Asking && now >= self.asked + self.set.heartbeat {
            // A question promises nothing, so that it may be put again and again to those who were not up yet.
            self.question(now);
        }
    }

    /// Asks for votes; `early` only asks beforehand.
    fn stand(&mut self, now: Time, early: bool) {
        // Whoever stands already comes again sooner than one that waits for a silent leader: votes may have been split.
        let wait = self.set.election;
        self.deadline = now + wait / 4 + self.chance.random_range(0..=wait * 3 / 4);
        self.votes = BTreeSet::from([self.set.id]);
        self.leader = None;
        if early {
            self.role = Role::Asking;
        } else {
            self.role = Role::Candidate;
            self.hard.term += 1;
            self.hard.vote = Some(self.set.id);
            self.dirty = true;
        }
        self.question(now);
        self.elected(now);
    }

    /// Puts the question to those who have not lent their vote.
    fn question(&mut self, now: Time) {
        self.asked = now;
        let early = self.role == Role::Asking;
        let (term, last) = (self.hard.term + u64::from(early), self.log.last());
        let others = self.others().into_iter().filter(|id| !self.votes.contains(id));
        self.out.extend(others.map(|id| (id, Message::Ask { term, early, last })).collect::<Vec<_>>());
    }

    fn elected(&mut self, now: Time) {
        if !self.majority(self.votes.len()) {
            return;
        }
        match self.role {
            Role::Asking => self.stand(now, false),
            Role::Candidate => {
                self.role = Role::Leader;
                self.leader = Some(self.set.id);
                self.deadline = now + 2 * self.set.election;
                let next = self.log.last().1 + 1;
                let peer = Progress { next, heard: now, ..Progress::default() };
                self.peers = self.others().into_iter().map(|id| (id, peer.clone())).collect();
                self.reads.clear();
                self.push(Payload::Blank);
                self.spread(now);
            }
            _ => {}
        }
    }

    fn follow(&mut self, now: Time, term: u64, leader: Option<Id>) {
        if term > self.hard.term {
            self.hard.term = term;
            self.hard.vote = None;
            self.dirty = true;
        }
        if self.role != Role::Follower || leader.is_some() {
            self.rest(now);
        }
        self.role = Role::Follower;
        self.leader = leader;
        self.reads.clear();
        if leader.is_some() {
            self.heard = now;
        }
    }

    /// The leader takes an entry. Gives its index and term, or nothing where this machine doesn't lead.
    pub fn propose(&mut self, now: Time, data: Vec<u8>) -> Option<Mark> {
        (self.role == Role::Leader).then(|| {
            let mark = self.push(Payload::Data(data));
            self.spread(now);
            mark
        })
    }

    /// The leader changes who votes, by one machine at a time. False where it can't now.
    pub fn change(&mut self, now: Time, members: Vec<Id>) -> bool {
        let differ = members.iter().filter(|id| !self.members.contains(id)).count()
            + self.members.iter().filter(|id| !members.contains(id)).count();
        // Guards against two majorities that don't meet: one change at a time, and none before an entry of this term is
        // committed.
        let open = self.log.changes_after(self.commit) || self.log.term(self.commit) != Some(self.hard.term);
        if self.role != Role::Leader || differ != 1 || open || members.is_empty() {
            return false;
        }
        self.push(Payload::Members(members));
        self.members = self.log.members();
        let next = self.log.last().1;
        for id in self.others() {
            self.peers.entry(id).or_insert(Progress { next, heard: now, ..Progress::default() });
        }
        self.spread(now);
        true
    }

    /// A member that is silent for so long while there are more members than the losses to be borne ask for: another has
    /// taken its place, and its vote would only stand in the way of a majority.
    pub fn superfluous(&self, now: Time, silence: Time) -> Option<Id> {
        if self.role != Role::Leader || self.members.len() <= 2 * self.set.losses + 1 {
            return None;
        }
        let silent = |(id, peer): &(&Id, &Progress)| {
            self.members.contains(id) && now.saturating_sub(peer.heard) > silence
        };
        self.peers.iter().find(silent).map(|(id, _)| *id)
    }

    fn push(&mut self, payload: Payload) -> Mark {
        let entry = Entry { term: self.hard.term, index: self.log.last().1 + 1, payload };
        let mark = (entry.term, entry.index);
        self.fresh.push(entry.clone());
        self.log.put(entry);
        mark
    }

    fn spread(&mut self, now: Time) {
        for id in self.others() {
            self.append(now, id, false);
        }
    }

    /// Sends a peer what it lacks, unless that is on its way already: then, with `even_empty`, a call without entries.
    /// What was on its way for long is sent again.
    fn append(&mut self, now: Time, id: Id, even_empty: bool) {
        let last = self.log.last().1;
        let (term, commit, round) = (self.hard.term, self.commit, self.round);
        let Some(peer) = self.peers.get_mut(&id) else { return };
        let out = peer.waiting.is_some_and(|at| now < at + 2 * self.set.election);
        if !even_empty && (out || peer.next > last) {
            return;
        }
        peer.sent = now;
        if out {
            // Guards against sending the same again and again on a link that it fills.
            let before = self.log.term(peer.matched).map_or((0, 0), |term| (term, peer.matched));
            self.out.push((id, Message::Append { term, before, entries: Vec::new(), commit, round }));
            return;
        }
        if peer.next <= last || self.log.term(peer.next.max(1) - 1).is_none() {
            peer.waiting = Some(now);
        }
        let next = peer.next.max(1);
        let message = match self.log.term(next - 1) {
            Some(before) => {
                let entries = self.log.from(next, MOST_BYTES);
                Message::Append { term, before: (before, next - 1), entries, commit, round }
            }
            None => {
                let Snapshot { last, members, data } = &self.log.snapshot;
                if peer.snapshot.0 != *last {
                    peer.snapshot = (*last, 0);
                }
                let from = (peer.snapshot.1 as usize).min(data.len());
                let part = data[from..(from + self.set.part.max(1)).min(data.len())].to_vec();
                Message::Install {
                    term,
                    last: *last,
                    members: members.clone(),
                    offset: from as u64,
                    part,
                    total: data.len() as u64,
                    sum: crc32fast::hash(data),
                    round,
                }
            }
        };
        self.out.push((id, message));
    }

    /// A read: `token` comes out of [`Member::reads`] once it is certain that nothing newer was acknowledged before it
    /// came. False where this machine doesn't lead.
    pub fn read(&mut self, now: Time, token: u64) -> bool {
        if self.role != Role::Leader {
            return false;
        }
        self.round += 1;
        self.reads.push((self.round, token));
        for id in self.others() {
            self.append(now, id, true);
        }
        true
    }

    /// Reads that may be answered, after everything committed has been applied.
    pub fn reads(&mut self) -> Vec<u64> {
        // Guards against a new leader that doesn't know yet what its predecessors committed.
        let sure = self.role == Role::Leader && self.log.term(self.commit) == Some(self.hard.term);
        if !sure || self.applied < self.commit {
            return Vec::new();
        }
        let (done, wait): (Vec<_>, Vec<_>) =
            std::mem::take(&mut self.reads).into_iter().partition(|(round, _)| {
                let agree =
                    |id: &Id| self.peers.get(id).is_some_and(|peer| peer.counts && peer.round >= *round);
                self.majority(self.others().iter().filter(|id| agree(id)).count() + 1)
            });
        self.reads = wait;
        done.into_iter().map(|(_, token)| token).collect()
    }

    /// The leader leaves: the peer that holds most stands for election at once.
    pub fn hand_over(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let best = self.peers.iter().filter(|(id, peer)| peer.counts && self.members.contains(id));
        let best = best.max_by_key(|(_, peer)| (peer.matched, peer.heard)).map(|(id, _)| *id);
        if let Some(id) = best {
            self.append(now, id, true);
            self.out.push((id, Message::Hand { term: self.hard.term }));
        }
    }

    /// A message came.
    pub fn step(&mut self, now: Time, from: Id, message: Message) {
        match message {
            Message::Recall { call } => {
                let (term, last) = (self.hard.term, self.log.last());
                let (members, whole) = (self.members.clone(), !self.hard.lost);
                self.out.push((from, Message::Recalled { call, term, last, members, whole }));
            }
            Message::Recalled { call, term, last, members, whole } => {
                if call == self.call && self.hard.lost && self.hard.target.is_none() {
                    self.recalled(now, from, term, last, members, whole);
                }
            }
            // Guards against a machine without memory that follows a leader deposed long ago.
            _ if self.hard.lost && self.hard.target.is_none() => {}
            Message::Ask { term, early, last } => self.lend(now, from, term, early, last),
            Message::Lend { term, early, granted } => {
                if !granted && term > self.hard.term {
                    self.follow(now, term, None);
                }
                let fits = match self.role {
                    Role::Asking => early && term == self.hard.term + 1,
                    Role::Candidate => !early && term == self.hard.term,
                    _ => false,
                };
                if fits && granted && self.members.contains(&from) {
                    self.votes.insert(from);
                    self.elected(now);
                }
            }
            Message::Append { term, before, entries, commit, round } => {
                if self.heed(now, from, term, round) {
                    self.take(from, before, entries, commit, round);
                    self.behind = (commit > self.commit).then(|| self.behind.unwrap_or(now));
                }
            }
            Message::Install { term, last, members, offset, part, total, sum, round } => {
                if self.heed(now, from, term, round) {
                    self.install(from, (last, members), (offset, part, total, sum), round);
                }
            }
            Message::Installed { term, last, have, round, counts } => {
                if term > self.hard.term {
                    self.follow(now, term, None);
                } else if term == self.hard.term && self.role == Role::Leader {
                    self.arrived(now, from, last, have, round, counts);
                }
            }
            Message::Appended { term, fits, matched, round, counts } => {
                if term > self.hard.term {
                    self.follow(now, term, None);
                } else if term == self.hard.term && self.role == Role::Leader {
                    self.appended(now, from, fits, matched, round, counts);
                }
            }
            Message::Hand { term } => {
                if term == self.hard.term && self.votes_here() && self.leader == Some(from) {
                    self.stand(now, false);
                }
            }
        }
    }

    /// All but `losses` of the members have said what they hold: one of them holds whatever this machine helped to
    /// acknowledge before its disk was lost. It counts again once its log holds the most of what they told.
    fn recalled(&mut self, now: Time, from: Id, term: u64, last: Mark, members: Vec<Id>, whole: bool) {
        if !whole || members.is_empty() {
            self.answers.remove(&from);
            return;
        }
        if self.members.is_empty() || !self.members.contains(&from) {
            self.members = members.clone(); // whom to ask next; replaced by the log's own word later
        }
        self.answers.insert(from, (term, last, members));
        // The answer that holds most says who votes: a change of members that was acknowledged is in it as soon as enough
        // have answered.
        let Some((_, _, members)) = self.answers.values().max_by_key(|it| it.1) else { return };
        let need = members.len().saturating_sub(self.set.losses).max(1);
        let heard: Vec<_> =
            self.answers.iter().filter(|(id, _)| members.contains(id)).map(|(_, it)| it).collect();
        if heard.len() >= need {
            let term = heard.iter().map(|it| it.0).max().unwrap_or(0);
            let most = heard.iter().map(|it| it.1).max().unwrap_or((0, 0));
            // One that was never a member has promised nothing that counts.
            let target = if members.contains(&self.set.id) { most } else { (0, 0) };
            self.begin(now, term, target);
        }
    }

    fn begin(&mut self, now: Time, term: u64, target: Mark) {
        self.hard.term = self.hard.term.max(term);
        // Guards against a second vote in a term in which this machine may have lent one: none is lent in it.
        self.hard.vote = Some(0);
        self.hard.target = Some(target);
        self.dirty = true;
        self.members.clear();
        self.rest(now);
        self.caught_up();
    }

    /// Ends the return of a lost disk once the log holds what it must.
    fn caught_up(&mut self) {
        if self.hard.lost && self.hard.target.is_some_and(|target| self.log.last() >= target) {
            (self.hard.lost, self.hard.target) = (false, None);
            self.dirty = true;
        }
    }

    fn lend(&mut self, now: Time, from: Id, term: u64, early: bool, last: Mark) {
        // A leader that still calls is not replaced; a machine that came back must not upset the others.
        let led = self.leader.is_some() && now.saturating_sub(self.heard) < self.set.election;
        let leads = self.role == Role::Leader && self.backed(now, self.set.election);
        if early {
            // Of two that ask each other at the same time with the same log, one yields: else both stand and neither is elected.
            let yields = self.role != Role::Asking || last > self.log.last() || from > self.set.id;
            // Also by one that doesn't know yet that it is a member: the candidate's log may say so, and that counts.
            let granted = yields
                && !led
                && !leads
                && !self.hard.lost
                && term > self.hard.term
                && last >= self.log.last();
            // One that is behind in terms must learn of it, or the logs of two that can't be elected wait for each other.
            let term = if granted { term } else { self.hard.term };
            self.out.push((from, Message::Lend { term, early, granted }));
            return;
        }
        if term > self.hard.term {
            self.follow(now, term, None);
        }
        let free = self.hard.vote.is_none_or(|vote| vote == from);
        let granted = term == self.hard.term && free && !self.hard.lost && last >= self.log.last();
        if granted {
            self.hard.vote = Some(from);
            self.dirty = true;
            self.rest(now);
        }
        self.out.push((from, Message::Lend { term: self.hard.term, early, granted }));
    }

    /// Whether a leader's message is of this term.
    fn heed(&mut self, now: Time, from: Id, term: u64, round: u64) -> bool {
        if term < self.hard.term {
            let (term, counts) = (self.hard.term, false);
            self.out.push((from, Message::Appended { term, fits: false, matched: 0, round, counts }));
            return false;
        }
        self.follow(now, term, Some(from));
        self.rest(now);
        true
    }

    fn take(&mut self, from: Id, before: Mark, entries: Vec<Entry>, commit: u64, round: u64) {
        let term = self.hard.term;
        let fits = before.1 < self.log.first() - 1 || self.log.term(before.1) == Some(before.0);
        if !fits {
            let matched = self.log.last().1.min(before.1.saturating_sub(1)).max(self.commit);
            let counts = self.counts();
            self.out.push((from, Message::Appended { term, fits: false, matched, round, counts }));
            return;
        }
        let mut matched = before.1;
        for entry in entries {
            matched = entry.index;
            if entry.index < self.log.first() || self.log.term(entry.index) == Some(entry.term) {
                continue;
            }
            self.fresh.retain(|other| other.index < entry.index);
            self.fresh.push(entry.clone());
            self.written = self.written.min(entry.index - 1);
            self.log.put(entry);
            self.members = self.log.members();
        }
        self.caught_up();
        self.commit = self.commit.max(commit.min(matched));
        let counts = self.counts();
        self.out.push((from, Message::Appended { term, fits: true, matched, round, counts }));
    }

    /// Takes a part of a snapshot; the last one puts it in place, if all together are what the leader has.
    fn install(
        &mut self,
        from: Id,
        (last, members): (Mark, Vec<Id>),
        (offset, part, total, sum): (u64, Vec<u8>, u64, u32),
        round: u64,
    ) {
        let (term, index) = (self.hard.term, last.1);
        // One that is behind what is committed here brings nothing.
        if index > self.commit {
            // Parts that came before are kept over a change of leaders: the same mark stands for the same state.
            let mut data = match self.coming.take() {
                Some((mark, data)) if mark == last => data,
                _ => Vec::new(),
            };
            if offset == data.len() as u64 {
                data.extend_from_slice(&part);
            }
            let have = data.len() as u64;
            // Guards against a state put together wrongly: it begins anew.
            let wrong = have > total || (have == total && crc32fast::hash(&data) != sum);
            if have < total || wrong {
                let (have, counts) = (if wrong { 0 } else { have }, self.counts());
                self.coming = (!wrong).then_some((last, data));
                self.out.push((from, Message::Installed { term, last, have, round, counts }));
                return;
            }
            let snapshot = Snapshot { last, members, data };
            self.fresh.clear();
            self.log.restore(snapshot.clone());
            self.members = self.log.members();
            (self.commit, self.written) = (index, index);
            self.placed = Some((snapshot, index + 1));
        }
        self.coming = None;
        self.caught_up();
        let (matched, counts) = (index, self.counts());
        self.out.push((from, Message::Appended { term, fits: true, matched, round, counts }));
    }

    /// A part of a snapshot has arrived: the next one goes.
    fn arrived(&mut self, now: Time, from: Id, last: Mark, have: u64, round: u64, counts: bool) {
        let Some(peer) = self.peers.get_mut(&from) else { return };
        (peer.heard, peer.counts) = (now, counts);
        peer.round = peer.round.max(round);
        if !counts {
            peer.matched = 0;
        }
        if peer.snapshot.0 == last {
            peer.snapshot.1 = have;
            peer.waiting = None;
            self.append(now, from, true);
        }
    }

    fn counts(&self) -> bool {
        !self.hard.lost
    }

    fn appended(&mut self, now: Time, from: Id, fits: bool, matched: u64, round: u64, counts: bool) {
        let last = self.log.last().1;
        let Some(peer) = self.peers.get_mut(&from) else { return };
        peer.heard = now;
        if counts && !peer.counts {
            peer.matched = 0;
        }
        peer.counts = counts;
        if !counts {
            peer.matched = 0; // its disk is lost: what it told before is void
        }
        if !fits || matched >= peer.next {
            peer.waiting = None;
        }
        if fits {
            peer.matched = peer.matched.max(matched.min(last));
            peer.next = peer.next.max(matched + 1).min(last + 1);
            peer.round = peer.round.max(round);
        } else {
            peer.next = (matched + 1).min(peer.next.saturating_sub(1)).max(1);
        }
        if !fits || peer.next <= last {
            self.append(now, from, true);
        }
        self.count(now);
    }

    /// Commits what stands on the disks of a majority.
    fn count(&mut self, now: Time) {
        if self.role != Role::Leader {
            return;
        }
        let own = if self.votes_here() { Some(self.written) } else { None };
        let others = self.others();
        let there = others.iter().filter_map(|id| self.peers.get(id)).filter(|peer| peer.counts);
        let mut marks: Vec<u64> = there.map(|peer| peer.matched).chain(own).collect();
        marks.sort_unstable_by(|a, b| b.cmp(a));
        let Some(&index) = marks.get(self.members.len() / 2) else { return };
        // Guards against committing by count what a later leader may still replace: entries of this term only.
        if index > self.commit && self.log.term(index) == Some(self.hard.term) {
            self.commit = index;
            for id in others {
                self.append(now, id, true); // the word of it goes at once
            }
        }
    }

    /// What is to be done next; nothing while there is none. Whoever takes it writes it before anything else.
    pub fn work(&mut self) -> Option<Work> {
        if !self.dirty && self.fresh.is_empty() && self.placed.is_none() && self.out.is_empty() {
            return None;
        }
        let hard = std::mem::take(&mut self.dirty).then(|| bytes(&self.hard));
        let entries = self.fresh.drain(..).map(|entry| (entry.index, bytes(&entry))).collect();
        let snapshot = self.placed.take().map(|(snapshot, from)| (bytes(&snapshot), from));
        let messages = std::mem::take(&mut self.out);
        let last = self.log.last();
        Some(Work { batch: Batch { hard, entries, snapshot }, messages, last })
    }

    /// The work whose log ended at this mark is on the disk.
    pub fn saved(&mut self, now: Time, last: Mark) {
        // Guards against counting what has been replaced since.
        if self.log.term(last.1) == Some(last.0) {
            self.written = self.written.max(last.1);
        }
        self.whole |= !self.hard.lost && !self.dirty;
        self.count(now);
    }

    /// Committed entries to be applied now, in order.
    pub fn committed(&mut self) -> Vec<Entry> {
        let mut out = Vec::new();
        while self.applied < self.commit {
            let Some(entry) = self.log.get(self.applied + 1) else { break };
            out.push(entry.clone());
            self.applied += 1;
        }
        out
    }

    /// Whether a leader's snapshot took the place of entries that were never applied: the user's state comes from it.
    pub fn restored(&mut self) -> Option<Vec<u8>> {
        (self.applied < self.log.snapshot.last.1).then(|| {
            self.applied = self.log.snapshot.last.1;
            self.log.snapshot.data.clone()
        })
    }

    /// Whether it is time for a snapshot of the user's state as of the last entry applied.
    pub fn wants_snapshot(&self) -> bool {
        self.applied >= self.log.snapshot.last.1 + self.set.snapshot_every
    }

    /// Takes the user's state as of the last entry applied.
    pub fn take_snapshot(&mut self, data: Vec<u8>) {
        let Some(term) = self.log.term(self.applied) else { return };
        let members = self.log.members_at(self.applied);
        let snapshot = Snapshot { last: (term, self.applied), members, data };
        let from = self.log.cut(snapshot.clone(), self.set.snapshot_every / 4);
        self.placed = Some((snapshot, from));
    }
}
