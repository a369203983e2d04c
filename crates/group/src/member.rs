//! One instance of the group: the consensus library, the record that its log makes, and the leases, grants and calls
//! above it. Inputs go in with the time, outputs come out; what `work` gives must be on the disk before `written`.

use crate::calls::{Calls, Stand, Step, Wanted};
use crate::grant::{grantable, Held, PeerNote};
use crate::lease::{Lease, Time};
use crate::log::{bytes, Batch, Log, Stored};
use crate::record::{Command, Effect, MemberId, Record, Standing};
use milletwing_decision::interface::{Build, Evidence, GroupNews, StageNews, Verdict, Vote};
use protobuf::Message as _;
use raft::eraftpb::MessageType;
use raft::prelude::{ConfChange, ConfChangeType, ConfState, Entry, EntryType, Message, Snapshot};
use raft::{Config, RawNode, StateRole};
use std::collections::BTreeMap;

/// The format of commands and snapshots; a later one is refused with a clear error.
pub const FORMAT: u8 = 1;

/// What an instance is told at its start.
#[derive(Clone, Debug)]
pub struct Options {
    /// Its number.
    pub id: MemberId,
    /// New with each start, and higher than before.
    pub series: u64,
    /// The store it has.
    pub store: u128,
    /// Milliseconds of a tick.
    pub tick: Time,
    /// Ticks without a leader before an election, at least.
    pub election: usize,
    /// Ticks between heartbeats.
    pub heartbeat: usize,
    /// How much any clock may run too fast or too slow, as a part.
    pub drift: f64,
    /// Life of a grant, in milliseconds.
    pub grant: Time,
    /// Time between reports of evidence, in milliseconds.
    pub report: Time,
    /// The platform's time for an answer, in milliseconds.
    pub settle: Time,
    /// One vote is enough for the platform: the leader alone calls.
    pub alone: bool,
    /// Entries after which a snapshot is taken.
    pub snapshot_every: u64,
}

/// What an instance wants done.
#[derive(Clone, Debug)]
pub enum Output {
    /// Consensus: to a peer, in the library's bytes.
    Send(MemberId, Vec<u8>),
    /// Beside it: to a peer.
    Tell(MemberId, PeerNote),
    /// To the module.
    News(GroupNews),
    /// Make this call as long as the lease holds.
    Call(Wanted),
    /// Tell the module that this call was never made.
    Refuse(u64),
    /// Read the platform's state afresh.
    Read(u64),
    /// What another part keeps in the record has changed: its number, and all of it.
    Kept(u64, Vec<u8>),
    /// For the log.
    Log(String),
}

/// How an instance stands, for operators.
#[derive(Clone, Debug)]
pub struct Status {
    /// Its number.
    pub id: MemberId,
    /// Its term.
    pub term: u64,
    /// Whom it takes for the leader; 0: nobody.
    pub leader: MemberId,
    /// It leads, and its lease holds.
    pub leads: bool,
    /// Milliseconds left of its lease.
    pub lease: Time,
    /// What is committed, and what is applied.
    pub commit: u64,
    /// The index applied.
    pub applied: u64,
    /// How many entries each peer is behind, where it leads.
    pub behind: BTreeMap<MemberId, u64>,
    /// The grant in force.
    pub grant: Option<(Build, f64)>,
}

/// Bytes that another part may keep in the record.
const MOST_KEPT: usize = 1 << 20;

/// Commits remembered until they are asked for.
const COMMITS: usize = 256;

/// One instance.
pub struct Member {
    set: Options,
    raft: RawNode<Log>,
    record: Record,
    applied: u64,
    lease: Lease,
    held: Held,
    calls: Calls,
    out: Vec<Output>,
    ready: Option<raft::Ready>,
    /// A batch is being ended; what is proposed meanwhile waits.
    ending: bool,
    later: Vec<Vec<u8>>,
    /// Until then it lends its vote to nobody: it may have promised a leader to listen before it was restarted.
    quiet: Time,
    ticked: Time,
    /// The term in which the module was told that it leads.
    led: Option<u64>,
    pooled: bool,
    seen: Option<Evidence>,
    last: Option<Evidence>,
    reported: (u64, Time),
    /// The report that is not committed yet, and how long the last ones took.
    waiting: Option<(u64, Time)>,
    commits: Vec<Time>,
    /// What the module judged last, in which term, and when that was proposed.
    judged: Option<(Command, Time)>,
    told: Option<(Standing, Time)>,
    bound: Time,
    /// Whom leadership is being handed to, and since when.
    handing: Option<(MemberId, Time, bool)>,
    /// Snapshots on their way, and since when.
    sending: BTreeMap<MemberId, Time>,
    /// The members have changed since the last snapshot. Guards against a newcomer that waits for one in which it stands:
    /// the library takes no other, and the next would come only once the log has grown.
    outdated: bool,
}

fn log_of(problem: impl std::fmt::Display) -> Output {
    Output::Log(problem.to_string())
}

/// Bytes with the format before them.
fn encode<T: serde::Serialize>(value: &T) -> Vec<u8> {
    postcard::to_extend(value, vec![FORMAT]).unwrap_or_default() // plain values can't fail
}

fn decode<T: serde::de::DeserializeOwned>(bytes: &[u8]) -> Result<T, String> {
    match bytes.split_first() {
        Some((&FORMAT, rest)) => postcard::from_bytes(rest).map_err(|problem| problem.to_string()),
        Some((format, _)) => Err(format!("format {format}; this version reads format {FORMAT}")),
        None => Err("nothing where a command should be".into()),
    }
}

/// What every founding member's store begins with: the same for all of them.
pub fn founding(members: &BTreeMap<MemberId, String>) -> Stored {
    let mut record = Record::default();
    for (id, address) in members {
        record.join(*id, address, true);
    }
    let mut snapshot = Snapshot::default();
    let meta = snapshot.mut_metadata();
    (meta.index, meta.term) = (1, 1);
    meta.set_conf_state(ConfState::from((members.keys().copied().collect::<Vec<_>>(), Vec::new())));
    snapshot.set_data(encode(&record).into());
    let mut hard = raft::prelude::HardState::default();
    (hard.term, hard.commit) = (1, 1);
    Stored { hard: Some(bytes(&hard)), entries: Vec::new(), snapshot: Some(bytes(&snapshot)) }
}

impl Member {
    /// Goes on from what a store holds; an empty one waits to be added to a group. Errors are for operators.
    pub fn new(set: Options, stored: &Stored, now: Time) -> Result<Member, String> {
        let log = Log::read(stored)?;
        let data = log.snapshot.get_data();
        let record: Record = if data.is_empty() { Record::default() } else { decode(data)? };
        if record.removed.contains(&set.id) {
            return Err(format!(
                "member {} was removed from the group; its number is not given again",
                set.id
            ));
        }
        let applied = log.snapshot.get_metadata().index;
        // Guards against a vote lent too early: what this member promised before its restart it doesn't remember.
        let fresh = log.hard.term <= 1 && stored.entries.is_empty();
        let config = Config {
            id: set.id,
            election_tick: set.election,
            heartbeat_tick: set.heartbeat,
            applied,
            check_quorum: true,
            pre_vote: true,
            max_size_per_msg: 256 << 10,
            max_inflight_msgs: 64,
            ..Config::default()
        };
        let logger = slog::Logger::root(slog::Discard, slog::o!());
        let raft = RawNode::new(&config, log, &logger).map_err(|problem| problem.to_string())?;
        let span = set.election as Time * set.tick;
        // A receiver's first tick may come at once after a heartbeat.
        let lease = Lease::new(span.saturating_sub(set.tick), set.drift);
        let quiet =
            if fresh { 0 } else { now + (span as f64 * (1.0 + set.drift) / (1.0 - set.drift)) as Time + 1 };
        let calls = Calls::new(set.id, set.series, set.alone, set.settle);
        let mut member = Member {
            raft,
            record,
            applied,
            lease,
            held: Held::default(),
            calls,
            out: Vec::new(),
            ready: None,
            ending: false,
            later: Vec::new(),
            quiet,
            ticked: now,
            led: None,
            pooled: false,
            seen: None,
            last: None,
            reported: (0, 0),
            waiting: None,
            commits: Vec::new(),
            judged: None,
            told: None,
            bound: 0,
            handing: None,
            sending: BTreeMap::new(),
            outdated: false,
            set,
        };
        member.restored();
        Ok(member)
    }

    /// What is committed, as far as it is applied here.
    pub fn record(&self) -> &Record {
        &self.record
    }

    /// How many milliseconds reports of this instance took from their proposal until they were applied here; since the
    /// last call.
    pub fn commits(&mut self) -> Vec<Time> {
        std::mem::take(&mut self.commits)
    }

    /// Outputs since the last call.
    pub fn outputs(&mut self) -> Vec<Output> {
        std::mem::take(&mut self.out)
    }

    /// Until when a call may go on, on this machine's steady clock; 0: none may begin.
    pub fn lease_until(&self) -> Time {
        if self.is_leader() {
            self.lease.until(self.raft.raft.term)
        } else {
            0
        }
    }

    fn is_leader(&self) -> bool {
        self.raft.raft.state == StateRole::Leader
    }

    fn stand(&self, now: Time) -> Stand {
        let term = self.raft.raft.term;
        Stand { now, term, leads: self.is_leader() && self.lease.holds(term, now) }
    }

    /// How it stands.
    pub fn status(&self, now: Time) -> Status {
        let raft = &self.raft.raft;
        let last = raft.raft_log.last_index();
        let behind = |(id, progress): (&u64, &raft::Progress)| (*id, last.saturating_sub(progress.matched));
        let stand = self.stand(now);
        Status {
            id: self.set.id,
            term: raft.term,
            leader: raft.leader_id,
            leads: stand.leads,
            lease: self.lease_until().saturating_sub(now),
            commit: raft.raft_log.committed,
            applied: self.applied,
            behind: if stand.leads { raft.prs().iter().map(behind).collect() } else { BTreeMap::new() },
            grant: self.held.now(now),
        }
    }

    fn propose(&mut self, command: &Command) {
        // Guards against a message of the library's between a batch and its end: one that has just lost the lead would pass the
        // proposal on, and the library panics at that.
        if self.ending {
            self.later.push(encode(command));
            return;
        }
        // Dropped where nobody leads; whatever matters is proposed again.
        let _ = self.raft.propose(Vec::new(), encode(command));
    }

    fn steps(&mut self, steps: Vec<Step>) {
        for step in steps {
            match step {
                Step::Propose(command) => self.propose(&command),
                Step::Call(wanted) => self.out.push(Output::Call(wanted)),
                Step::Refuse(number) => self.out.push(Output::Refuse(number)),
                Step::Read(number) => self.out.push(Output::Read(number)),
            }
        }
    }

    /// A tick of the clock; more often than the set time changes nothing. After a pause there is one tick, not many:
    /// guards against a promise to a leader that would end early.
    pub fn tick(&mut self, now: Time) {
        if now < self.ticked + self.set.tick {
            return;
        }
        self.ticked = now;
        self.raft.tick();
        let term = self.raft.raft.term;
        let heartbeat = self.set.heartbeat as Time * self.set.tick;
        if self.is_leader() && self.raft.raft.commit_to_current_term() {
            let number = self.lease.send(term, now);
            self.raft.read_index(number.to_be_bytes().to_vec());
        }
        self.role(now);
        self.hand_over(now);
        let stand = self.stand(now);
        let steps = self.calls.tick(&self.record, stand);
        self.steps(steps);
        // Grants: the leader's own, and what a member asks for well before the last one ends.
        if stand.leads {
            self.granted_self(now);
        } else {
            let leader = self.raft.raft.leader_id;
            let due = self.held.asked().is_none_or(|at| now >= at + (self.set.grant / 4).max(heartbeat));
            if leader != 0 && leader != self.set.id && due {
                let ask = self.held.ask(now);
                self.out.push(Output::Tell(leader, PeerNote::Ask(ask)));
            }
        }
        if let Some((build, cap)) = self.held.lapse(now) {
            self.out
                .push(log_of(format!("the grant for build {} has run out: nothing new goes to it", build.0)));
            self.out.push(Output::News(GroupNews::Grant(build, cap)));
        }
        self.report(now);
        self.snapshots(now);
        if stand.leads {
            self.again(now);
            self.promote();
            if std::mem::take(&mut self.pooled) {
                let pool = self.record.pool();
                self.out.extend(pool.map(|pool| Output::News(GroupNews::Pool(pool))));
            }
        }
    }

    /// Tells the module when this instance begins or ceases to lead.
    fn role(&mut self, now: Time) {
        let term = self.raft.raft.term;
        let leads = self.is_leader().then_some(term);
        if leads == self.led {
            return;
        }
        if leads.is_none() {
            self.lease.end();
            self.handing = None;
        }
        self.out.push(log_of(match leads {
            Some(term) => format!("leads in term {term}"),
            None => format!("leads no more; term {term}"),
        }));
        self.led = leads;
        self.pooled = true;
        self.judged = None;
        self.told = self.told.take().map(|(standing, _)| (standing, now));
        self.out.push(Output::News(GroupNews::Leads(leads.is_some())));
    }

    fn granted_self(&mut self, now: Time) {
        let Some((build, cap)) = grantable(&self.record) else { return };
        if self.held.now(now) == Some((build, cap))
            && self.held.asked().is_some_and(|at| now < at + self.set.grant / 4)
        {
            return;
        }
        let ask = self.held.ask(now);
        let note = self.grant(ask, build, cap);
        self.take_grant(&note, now);
    }

    fn grant(&self, ask: u64, build: Build, cap: f64) -> PeerNote {
        PeerNote::Grant { ask, term: self.raft.raft.term, build, cap, life: self.set.grant }
    }

    fn take_grant(&mut self, note: &PeerNote, now: Time) {
        let before = self.held.now(now);
        if let Some((build, cap)) = self.held.take(note, self.raft.raft.term, now) {
            if before != Some((build, cap)) {
                self.out.push(Output::News(GroupNews::Grant(build, cap)));
            }
        }
    }

    /// A word beside the log.
    pub fn peer(&mut self, now: Time, from: MemberId, note: &PeerNote) {
        match note {
            PeerNote::Ask(ask) => {
                // A deposed leader grants nothing, nor does one whose lease has ended unnoticed.
                if !self.stand(now).leads || !self.record.members.contains_key(&from) {
                    return;
                }
                if let Some((build, cap)) = grantable(&self.record) {
                    let grant = self.grant(*ask, build, cap);
                    self.out.push(Output::Tell(from, grant));
                }
            }
            PeerNote::Grant { .. } => self.take_grant(note, now),
        }
    }

    /// A message of the consensus library's, from a peer whose identity the host has checked. An error where it can't
    /// be read.
    pub fn receive(&mut self, now: Time, from: MemberId, bytes: &[u8]) -> Result<(), String> {
        let message = Message::parse_from_bytes(bytes).map_err(|problem| problem.to_string())?;
        let kind = message.get_msg_type();
        // Proposals are passed on to whoever leads, by whom they reached instead.
        if (message.from != from && kind != MessageType::MsgPropose) || message.to != self.set.id {
            return Err(format!("a message from {} to {} on {from}'s connection", message.from, message.to));
        }
        // Nobody outside the group is listened to: a removed member goes on talking, and may have a high term.
        let known = self.record.members.is_empty() || self.record.members.contains_key(&from);
        let vote = matches!(kind, MessageType::MsgRequestVote | MessageType::MsgRequestPreVote);
        if !known || (vote && now < self.quiet) {
            return Ok(());
        }
        if let Err(problem) = self.raft.step(message) {
            self.out.push(Output::Log(format!("a message of member {from} was not taken: {problem}")));
        }
        self.role(now);
        Ok(())
    }

    /// What this instance has seen.
    pub fn seen(&mut self, seen: Evidence) {
        self.seen = Some(seen);
    }

    fn report(&mut self, now: Time) {
        if now < self.reported.1 + self.set.report || self.raft.raft.leader_id == 0 {
            return;
        }
        let Some(seen) = self.seen.take() else { return };
        // What was told is not told again, but now and then, in case it got lost.
        if self.last.as_ref() == Some(&seen) && now < self.reported.1 + 20 * self.set.report {
            return;
        }
        self.last = Some(seen.clone());
        self.reported = (self.reported.0 + 1, now);
        self.waiting = Some((self.reported.0, now));
        let (member, series, number) = (self.set.id, self.set.series, self.reported.0);
        self.propose(&Command::Evidence { member, series, number, seen });
    }

    /// What the module makes of the pool, where this instance leads.
    pub fn judged(&mut self, now: Time, build: Build, stage: u32, vote: Vote) {
        let stand = self.stand(now);
        let command = Command::Verdict { term: stand.term, build, stage, vote };
        let out = self.judged.as_ref().is_some_and(|(last, at)| *last == command && now < at + 500);
        if stand.leads && !out {
            self.propose(&command);
            self.judged = Some((command, now));
        }
    }

    /// What the platform told this instance.
    pub fn told(&mut self, now: Time, news: &StageNews) {
        if news.verdict == Verdict::Ok {
            self.told = Some((Standing::of(news), 0));
            if self.stand(now).leads {
                self.again(now);
            }
        }
    }

    /// The leader commits what the platform told, again until it is there.
    fn again(&mut self, now: Time) {
        let Some((standing, at)) = &mut self.told else { return };
        let news =
            self.record.standing.as_ref().is_none_or(|old| old != standing && old.rank() <= standing.rank());
        if news && (*at == 0 || now >= *at + 500) {
            *at = now;
            let command = Command::Told(standing.clone());
            self.propose(&command);
        }
    }

    /// The module wants something said to the platform.
    pub fn cast(&mut self, now: Time, wanted: Wanted) {
        let stand = self.stand(now);
        let steps = if self.handing.is_some() {
            vec![Step::Refuse(wanted.number)]
        } else {
            self.calls.cast(wanted, stand)
        };
        self.steps(steps);
    }

    /// A call ended.
    pub fn answered(&mut self, now: Time, number: u64, news: &StageNews) {
        let stand = self.stand(now);
        self.told(now, news);
        let seen = (news.verdict == Verdict::Ok).then(|| Standing::of(news));
        let steps = self.calls.answered(number, news.verdict, seen.as_ref(), stand);
        self.steps(steps);
    }

    /// The platform's state, read afresh.
    pub fn read(&mut self, now: Time, number: u64, standing: &Standing) {
        let stand = self.stand(now);
        let steps = self.calls.read(number, standing, &self.record, stand);
        self.steps(steps);
    }

    fn may_lead(&self, now: Time) -> Result<(), String> {
        let Stand { term, leads, .. } = self.stand(now);
        let leader = self.raft.raft.leader_id;
        let hint = if leader == 0 || leader == self.set.id {
            String::new()
        } else {
            format!("; member {leader} may")
        };
        if leads {
            Ok(())
        } else {
            Err(format!("member {} does not lead in term {term}{hint}", self.set.id))
        }
    }

    /// Hands leadership to another member. From here on this one begins no call.
    pub fn transfer(&mut self, now: Time, to: MemberId) -> Result<(), String> {
        self.may_lead(now)?;
        if to == self.set.id {
            return Err(format!("member {to} leads already"));
        }
        if !self.record.members.get(&to).is_some_and(|member| member.votes) {
            return Err(format!("member {to} is no member that votes"));
        }
        if self.handing.is_some() {
            return Err("a hand-over is under way".into());
        }
        self.handing = Some((to, now, false));
        Ok(())
    }

    /// Goes on with a hand-over: first a call that is out has its end, then the lease is given up, then the other
    /// one is told. One that comes to nothing ends in an election: the message may still be on its way.
    fn hand_over(&mut self, now: Time) {
        let Some((to, since, begun)) = self.handing else { return };
        let limit = 2 * self.set.election as Time * self.set.tick;
        if !begun && !self.calls.out() {
            self.lease.bar(self.raft.raft.term);
            self.raft.transfer_leader(to);
            self.handing = Some((to, now, true));
        } else if begun && now >= since + limit {
            let term = self.raft.raft.term;
            self.raft.raft.become_follower(term, 0);
            self.role(now);
        }
    }

    fn change(&mut self, id: MemberId, kind: ConfChangeType, address: &str) -> Result<(), String> {
        if self.raft.raft.has_pending_conf() {
            return Err("another change of members is under way; try again".into());
        }
        let mut change = ConfChange { node_id: id, ..ConfChange::default() };
        change.set_change_type(kind);
        change.set_context(address.as_bytes().to_vec().into());
        self.raft.propose_conf_change(Vec::new(), change).map_err(|problem| problem.to_string())
    }

    /// Adds an instance, as a learner first; it votes once it has caught up.
    pub fn add(&mut self, now: Time, id: MemberId, address: &str) -> Result<(), String> {
        self.may_lead(now)?;
        if id == 0 || self.record.removed.contains(&id) {
            return Err(format!("number {id} was used before; a member that comes back takes a new one"));
        }
        if let Some(member) = self.record.members.get(&id) {
            return Err(format!("member {id} is there already, at {}", member.address));
        }
        self.change(id, ConfChangeType::AddLearnerNode, address)
    }

    /// Removes an instance; its number is never given again.
    pub fn remove(&mut self, now: Time, id: MemberId) -> Result<(), String> {
        self.may_lead(now)?;
        if !self.record.members.contains_key(&id) {
            return Err(format!("there is no member {id}"));
        }
        if id == self.set.id {
            return Err(format!("member {id} leads: hand leadership over first"));
        }
        self.change(id, ConfChangeType::RemoveNode, "")
    }

    /// Lets learners vote that have caught up and are known by their store.
    fn promote(&mut self) {
        if self.raft.raft.has_pending_conf() {
            return;
        }
        let commit = self.raft.raft.raft_log.committed;
        let ready = |id: &MemberId| {
            self.raft.raft.prs().get(*id).is_some_and(|progress| progress.matched + 16 >= commit)
        };
        let mut learners = self.record.members.iter().filter(|(_, member)| !member.votes);
        let next = learners.find(|(id, member)| member.store.is_some() && ready(id)).map(|(id, _)| *id);
        if let Some(id) = next {
            let _ = self.change(id, ConfChangeType::AddNode, ""); // tried again at the next tick
        }
    }

    /// A snapshot that went unanswered for long is taken for lost. Guards against a receiver that died with it: the
    /// library waits for the word that it arrived or failed, and sends nothing until then.
    fn snapshots(&mut self, now: Time) {
        let limit = 2 * self.set.election as Time * self.set.tick;
        let waiting = |(id, progress): (&u64, &raft::Progress)| {
            (self.is_leader() && progress.state == raft::ProgressState::Snapshot).then_some(*id)
        };
        let waiting: Vec<MemberId> = self.raft.raft.prs().iter().filter_map(waiting).collect();
        self.sending.retain(|id, _| waiting.contains(id));
        for id in waiting {
            if now >= *self.sending.entry(id).or_insert(now) + limit {
                self.sending.remove(&id);
                self.raft.report_snapshot(id, raft::SnapshotStatus::Failure);
            }
        }
    }

    /// Makes the store of this member known, until it is.
    pub fn bind(&mut self, now: Time) {
        let open = self.record.members.get(&self.set.id).is_some_and(|member| member.store.is_none());
        if open && self.raft.raft.leader_id != 0 && now >= self.bound + 500 {
            self.bound = now;
            let command = Command::Bind(self.set.id, self.set.store);
            self.propose(&command);
        }
    }

    /// What must be on the disk next, if anything is to be done; `written` goes on from there.
    pub fn work(&mut self) -> Option<Batch> {
        if self.ready.is_some() || !self.raft.has_ready() {
            return None;
        }
        let mut ready = self.raft.ready();
        let messages = ready.take_messages();
        self.send(messages);
        for state in ready.take_read_states() {
            let number = <[u8; 8]>::try_from(state.request_ctx.as_slice()).map_or(0, u64::from_be_bytes);
            self.lease.renew(self.raft.raft.term, number);
        }
        let snapshot = ready.snapshot();
        let batch = Batch {
            hard: ready.hs().map(bytes),
            entries: ready.entries().iter().map(|entry| (entry.index, bytes(entry))).collect(),
            snapshot: (snapshot.get_metadata().index > 0)
                .then(|| (bytes(snapshot), snapshot.get_metadata().index + 1)),
        };
        self.ready = Some(ready);
        Some(batch)
    }

    /// The last batch is on the disk. Gives a further one where a snapshot of our own was taken.
    pub fn written(&mut self, now: Time) -> Result<Option<Batch>, String> {
        let Some(ready) = self.ready.take() else { return Ok(None) };
        self.ending = true;
        let ended = self.end(now, ready);
        self.ending = false;
        for command in std::mem::take(&mut self.later) {
            let _ = self.raft.propose(Vec::new(), command);
        }
        ended?;
        self.role(now);
        Ok(self.compact())
    }

    fn end(&mut self, now: Time, mut ready: raft::Ready) -> Result<(), String> {
        if ready.snapshot().get_metadata().index > 0 {
            let snapshot = ready.snapshot().clone();
            self.record = decode(snapshot.get_data())?;
            self.applied = snapshot.get_metadata().index;
            self.raft.mut_store().restore(snapshot);
            self.restored();
        }
        let entries = ready.take_entries();
        self.raft.mut_store().append(&entries);
        if let Some(hard) = ready.hs() {
            self.raft.mut_store().hard = hard.clone();
        }
        let messages = ready.take_persisted_messages();
        self.send(messages);
        let committed = ready.take_committed_entries();
        self.apply(now, committed)?;
        let mut light = self.raft.advance(ready);
        if let Some(commit) = light.commit_index() {
            self.raft.mut_store().hard.commit = commit;
        }
        let messages = light.take_messages();
        self.send(messages);
        let committed = light.take_committed_entries();
        self.apply(now, committed)?;
        self.raft.advance_apply();
        Ok(())
    }

    fn send(&mut self, messages: Vec<Message>) {
        self.out.extend(messages.iter().map(|message| Output::Send(message.to, bytes(message))));
    }

    fn apply(&mut self, now: Time, entries: Vec<Entry>) -> Result<(), String> {
        for entry in entries {
            self.applied = entry.index;
            if entry.get_entry_type() == EntryType::EntryConfChange {
                self.changed(&entry)?;
            } else if !entry.get_data().is_empty() {
                let command = decode(entry.get_data())?;
                let stand = self.stand(now);
                if let Command::Evidence { member, series, number, .. } = &command {
                    let own = (*member, *series) == (self.set.id, self.set.series);
                    if let Some((_, at)) = self.waiting.filter(|(waits, _)| own && waits == number) {
                        self.waiting = None;
                        self.commits.push(now.saturating_sub(at));
                        self.commits.truncate(COMMITS);
                    }
                }
                for effect in self.record.apply(entry.term, command) {
                    self.happened(&effect, stand);
                }
            }
        }
        Ok(())
    }

    fn changed(&mut self, entry: &Entry) -> Result<(), String> {
        let change = ConfChange::parse_from_bytes(entry.get_data()).map_err(|problem| problem.to_string())?;
        let address = String::from_utf8_lossy(&change.context).into_owned();
        let id = change.node_id;
        let taken = match change.get_change_type() {
            ConfChangeType::AddLearnerNode => self.record.join(id, &address, false),
            ConfChangeType::AddNode => {
                self.record.members.contains_key(&id) && self.record.join(id, "", true)
            }
            ConfChangeType::RemoveNode => {
                self.record.leave(id);
                true
            }
        };
        // One that the record doesn't take must not count for the library either.
        let change = if taken { change } else { ConfChange::default() };
        self.outdated |= taken;
        let members = self.raft.apply_conf_change(&change).map_err(|problem| problem.to_string())?;
        self.out.push(log_of(format!("members: {:?}, learners: {:?}", members.voters, members.learners)));
        Ok(())
    }

    fn happened(&mut self, effect: &Effect, stand: Stand) {
        match effect {
            Effect::Pooled => self.pooled = true,
            Effect::Standing => self.pooled = true,
            Effect::Decided(build, stage, vote) => {
                self.out.push(log_of(format!("decided: build {} stage {stage} {vote:?}", build.0)));
                self.out.push(Output::News(GroupNews::Decided(*build, *stage, *vote)));
            }
            Effect::Void(intent, why) if intent.id.member == self.set.id => {
                self.out.push(log_of(format!("no call: {why}")));
            }
            Effect::Kept(_) => self.out_kept(),
            Effect::Opened(_) | Effect::Void(..) | Effect::Closed(..) => {}
        }
        let steps = self.calls.committed(effect, stand);
        self.steps(steps);
    }

    fn out_kept(&mut self) {
        let (number, body) = self.record.kept.clone();
        self.out.push(Output::Kept(number, body));
    }

    /// What another part of the instance keeps in the record, by the one that leads; in place of the number before, or
    /// not at all. Larger than a frame bears, it is refused.
    pub fn keep(&mut self, now: Time, after: u64, number: u64, body: Vec<u8>) -> bool {
        let taken = self.stand(now).leads && body.len() <= MOST_KEPT;
        if taken {
            self.propose(&Command::Keep { after, number, body });
        }
        taken
    }

    /// After a snapshot: the module hears what stands decided.
    fn restored(&mut self) {
        if self.record.kept.0 > 0 {
            self.out_kept();
        }
        let decided = self.record.decision();
        self.out
            .extend(decided.map(|(build, stage, vote)| Output::News(GroupNews::Decided(build, stage, vote))));
        self.pooled = true;
    }

    /// A snapshot of our own once the log has grown.
    fn compact(&mut self) -> Option<Batch> {
        let before = self.raft.store().snapshot.get_metadata().index;
        if !std::mem::take(&mut self.outdated) && self.applied < before + self.set.snapshot_every {
            return None;
        }
        use raft::Storage;
        let term = self.raft.store().term(self.applied).ok()?;
        let mut snapshot = Snapshot::default();
        let meta = snapshot.mut_metadata();
        (meta.index, meta.term) = (self.applied, term);
        meta.set_conf_state(self.raft.raft.prs().conf().to_conf_state());
        snapshot.set_data(encode(&self.record).into());
        let written = bytes(&snapshot);
        let keep = self.raft.mut_store().compact(snapshot, self.set.snapshot_every / 4);
        Some(Batch { snapshot: Some((written, keep)), ..Batch::default() })
    }
}
