//! One instance of the group: the consensus library, the record that its log makes, and the leases, grants and calls
//! above it. Inputs go in with the time, outputs come out; what `work` gives must be on the disk before `written`.

mod grants;
mod judging;
mod membership;
mod persistence;

use crate::calls::{Calls, Stand, Step, Wanted};
use crate::grant::{Held, PeerNote};
use crate::lease::{Lease, Time};
use crate::log::{bytes, Log, StoredState};
use crate::record::{Command, MemberId, Record, Standing};
use milletwing_decision::interface::{Build, Evidence, GroupMessage};
use raft::prelude::{ConfState, Snapshot};
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
    News(GroupMessage),
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
pub fn founding(members: &BTreeMap<MemberId, String>) -> StoredState {
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
    StoredState { hard_state: Some(bytes(&hard)), entries: Vec::new(), snapshot: Some(bytes(&snapshot)) }
}

impl Member {
    /// Goes on from what a store holds; an empty one waits to be added to a group. Errors are for operators.
    pub fn new(set: Options, stored: &StoredState, now: Time) -> Result<Member, String> {
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
            self.out.push(Output::News(GroupMessage::ExposureGrant(build, cap)));
        }
        self.report(now);
        self.snapshots(now);
        if stand.leads {
            self.again(now);
            self.promote();
            if std::mem::take(&mut self.pooled) {
                let pool = self.record.pool();
                self.out.extend(pool.map(|pool| Output::News(GroupMessage::PooledEvidence(pool))));
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
        self.out.push(Output::News(GroupMessage::Leadership(leads.is_some())));
    }
}
