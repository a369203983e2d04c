//! What the group has committed: where the newest build stands, what each instance has seen, what was decided, and
//! every call to the platform. The same commands in the same order give the same record everywhere.

use milletwing_decision::interface::{Build, Evidence, Outcome, Phase, StageReport, Vote};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// An instance, by its number in the group. Never given twice.
pub type MemberId = u64;

/// Where a build stands, as the platform told it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Standing {
    /// The newest build.
    pub build: Build,
    /// Its stage.
    pub stage: u32,
    /// Its phase.
    pub phase: Phase,
    /// The cap of exposure, as a part.
    pub cap: f64,
}

/// Caps are numbers as they were read, never the result of arithmetic.
impl Eq for Standing {}

impl std::hash::Hash for Standing {
    fn hash<H: std::hash::Hasher>(&self, to: &mut H) {
        (self.rank(), self.cap.to_bits()).hash(to);
    }
}

impl Standing {
    /// Of the platform's news.
    pub fn of(news: &StageReport) -> Standing {
        Standing { build: news.build, stage: news.stage, phase: news.phase, cap: news.cap }
    }

    /// Whether what a call meant has come to pass, or can't any more.
    pub fn past(&self, intent: &Intent) -> bool {
        let open = match intent.vote {
            Vote::Revert => matches!(self.phase, Phase::Trial | Phase::Released),
            _ => self.phase == Phase::Trial && self.stage == intent.stage,
        };
        self.build != intent.build || !open
    }

    /// How far it has come. The platform never goes back on that; what is told with a lower one is old.
    pub fn rank(&self) -> (Build, u8, u32) {
        let phase = match self.phase {
            Phase::Trial => 0,
            Phase::Released => 1,
            Phase::Reverting => 2,
            Phase::Withdrawn => 3,
        };
        (self.build, phase, self.stage)
    }
}

/// A call's name: who makes it, in which of its lives, and its number there.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct CallId {
    /// The instance.
    pub member: MemberId,
    /// Its series: new with each start.
    pub series: u64,
    /// Its number.
    pub number: u64,
}

/// A call that is to be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Intent {
    /// Its name.
    pub id: CallId,
    /// The term of the leader that makes it; 0 where each member makes its own.
    pub term: u64,
    /// The build.
    pub build: Build,
    /// The stage meant.
    pub stage: u32,
    /// The vote.
    pub vote: Vote,
}

/// How a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub enum Ended {
    /// It was never made.
    Never,
    /// The platform answered so.
    Answered(Outcome),
    /// Nobody knows, but the platform has moved on: it is not repeated.
    Moved,
    /// Nobody knows, and the platform, read anew, stands where it stood: it did not take.
    Stood,
}

/// What instances commit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Command {
    /// The platform told.
    Told(Standing),
    /// What an instance has seen of a stage so far.
    Evidence {
        /// Who.
        member: MemberId,
        /// In which of its lives.
        series: u64,
        /// Rises with each report of that life; an older one changes nothing.
        number: u64,
        /// What.
        seen: Evidence,
    },
    /// The leader's judgement.
    Verdict {
        /// Its term.
        term: u64,
        /// The build.
        build: Build,
        /// The stage.
        stage: u32,
        /// On or back.
        vote: Vote,
    },
    /// A call that is to be made.
    Intent(Intent),
    /// How it ended, and where the platform was seen to stand by then. Together in one entry: guards against an outcome
    /// without the state that it brought, after which the same call would be made again.
    Outcome(CallId, Ended, Option<Standing>),
    /// The store that an instance has; it is known by it from then on.
    Bind(MemberId, u128),
    /// What another part of the instances keeps here, whole, in place of what it kept under the number before.
    Keep {
        /// The number it replaces; another one by then, and nothing is kept. Guards against two that write at once.
        after: u64,
        /// Its own number, higher.
        number: u64,
        /// The content.
        body: Vec<u8>,
    },
}

/// What a command changed.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// The platform stands elsewhere.
    Standing,
    /// The pool has grown.
    Pooled,
    /// Decided, once and for all.
    Decided(Build, u32, Vote),
    /// The call may be made.
    Opened(Intent),
    /// It may not, and why.
    Void(Intent, &'static str),
    /// It has ended.
    Closed(CallId, Ended),
    /// Something else is kept, under this number.
    Kept(u64),
}

/// An instance as the group knows it.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Member {
    /// Where it listens.
    pub address: String,
    /// The store it is known by.
    pub store: Option<u128>,
    /// Whether it votes; a learner doesn't yet.
    pub votes: bool,
}

/// One instance's part in the pool of the present stage.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
struct Part {
    series: u64,
    number: u64,
    now: Evidence,
    /// Of its earlier lives.
    before: Evidence,
}

/// What was decided of a build.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decided {
    /// The last stage that it may leave.
    pub on: Option<u32>,
    /// Sent back, in this stage.
    pub back: Option<u32>,
}

/// A call with its end, if it has one.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The call.
    pub intent: Intent,
    /// Its end.
    pub ended: Option<Ended>,
}

/// The record.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Record {
    /// Where the newest build stands.
    pub standing: Option<Standing>,
    pool: BTreeMap<MemberId, Part>,
    /// What was decided, by build; of the last few.
    pub decided: BTreeMap<Build, Decided>,
    /// Calls in the order of their commitment; the last few that have ended, and all that have not.
    pub calls: VecDeque<Call>,
    /// The instances.
    pub members: BTreeMap<MemberId, Member>,
    /// Those that are none any more; their numbers are never given again.
    pub removed: BTreeSet<MemberId>,
    /// What each instance sent last, over all stages; guards against old reports after a new stage began.
    reports: BTreeMap<MemberId, (u64, u64)>,
    /// What another part keeps here, and its number.
    pub kept: (u64, Vec<u8>),
}

impl Record {
    /// Builds, and ended calls, that are remembered.
    const MOST: usize = 32;

    /// Applies a command that the entry of a term holds.
    pub fn apply(&mut self, term: u64, command: Command) -> Vec<Effect> {
        match command {
            Command::Told(standing) => self.told(standing),
            Command::Evidence { member, series, number, seen } => self.seen(member, series, number, seen),
            // A judgement counts in its leader's own term only. Guards against one that a deposed leader formed and a
            // later one carried into the log.
            Command::Verdict { term: of, build, stage, vote } if of == term => {
                self.judged(build, stage, vote)
            }
            Command::Verdict { .. } => Vec::new(),
            Command::Intent(intent) => vec![match self.objection(term, &intent) {
                Some(why) => Effect::Void(intent, why),
                None => {
                    self.calls.push_back(Call { intent, ended: None });
                    Effect::Opened(intent)
                }
            }],
            Command::Outcome(id, ended, standing) => {
                // The call's own end first: a state that has moved on would end it as unknown.
                let mut effects = self.ended(id, ended);
                effects.extend(standing.into_iter().flat_map(|standing| self.told(standing)));
                effects
            }
            Command::Keep { after, number, body } if after == self.kept.0 && number > after => {
                self.kept = (number, body);
                vec![Effect::Kept(number)]
            }
            Command::Keep { .. } => Vec::new(),
            Command::Bind(member, store) => {
                if let Some(member) = self.members.get_mut(&member).filter(|member| member.store.is_none()) {
                    member.store = Some(store);
                }
                Vec::new()
            }
        }
    }

    fn told(&mut self, standing: Standing) -> Vec<Effect> {
        let rank = standing.rank();
        let before = self.standing.as_ref().map(Standing::rank);
        // Guards against an answer of the platform that comes only after the state has moved on.
        if before.is_some_and(|before| rank < before) || self.standing.as_ref() == Some(&standing) {
            return Vec::new();
        }
        let stage = |rank: (Build, u8, u32)| (rank.0, rank.2);
        if before.map(stage) != Some(stage(rank)) {
            self.pool.clear();
        }
        self.standing = Some(standing);
        let mut effects = vec![Effect::Standing];
        // What a call meant has come to pass, or can't any more.
        let passed: Vec<CallId> = self.open().filter(|call| self.moved(call)).map(|call| call.id).collect();
        for id in passed {
            effects.extend(self.ended(id, Ended::Moved));
        }
        effects
    }

    /// Whether the platform has moved past what a call meant.
    pub fn moved(&self, intent: &Intent) -> bool {
        self.standing.as_ref().is_some_and(|now| now.past(intent))
    }

    fn seen(&mut self, member: MemberId, series: u64, number: u64, seen: Evidence) -> Vec<Effect> {
        let here = self.standing.as_ref().is_some_and(|s| (s.build, s.stage) == (seen.build, seen.stage));
        // Reports hold all that a life has seen so far: a repeat, or an older one that comes late, adds nothing. A life
        // that was followed by another reports no more.
        let stale = self.reports.get(&member).is_some_and(|last| (series, number) <= *last);
        if stale || !here || !self.members.contains_key(&member) {
            return Vec::new();
        }
        self.reports.insert(member, (series, number));
        let part = self.pool.entry(member).or_default();
        if part.series != series {
            let done = std::mem::take(&mut part.now);
            part.before = part.before.plus(&Evidence { objecting_instances: 0, ..done });
        }
        (part.series, part.number, part.now) = (series, number, seen);
        vec![Effect::Pooled]
    }

    /// What all have seen of the present stage.
    pub fn pool(&self) -> Option<Evidence> {
        let standing = self.standing.as_ref()?;
        let empty = Evidence { build: standing.build, stage: standing.stage, ..Evidence::default() };
        Some(self.pool.values().fold(empty, |sum, part| sum.plus(&part.now).plus(&part.before)))
    }

    /// Instances that have told of the present stage.
    pub fn reporting(&self) -> usize {
        self.pool.len()
    }

    fn judged(&mut self, build: Build, stage: u32, vote: Vote) -> Vec<Effect> {
        let id = CallId { member: 0, series: 0, number: 0 };
        let meant = Intent { id, term: 0, build, stage, vote };
        let current = self.standing.as_ref().is_some_and(|now| !now.past(&meant));
        if !current || self.sent_back(build) {
            return Vec::new();
        }
        let decided = self.decided.entry(build).or_default();
        match vote {
            Vote::Revert => decided.back = Some(stage),
            Vote::Advance if decided.on.is_none_or(|on| on < stage) => decided.on = Some(stage),
            _ => return Vec::new(),
        }
        while self.decided.len() > Record::MOST {
            self.decided.pop_first();
        }
        vec![Effect::Decided(build, stage, vote)]
    }

    /// Whether the group has sent a build back.
    pub fn sent_back(&self, build: Build) -> bool {
        self.decided.get(&build).is_some_and(|decided| decided.back.is_some())
    }

    /// What was decided of the present stage, in the words of its effect.
    pub fn decision(&self) -> Option<(Build, u32, Vote)> {
        let now = self.standing.as_ref()?;
        let decided = self.decided.get(&now.build)?;
        match decided {
            Decided { back: Some(stage), .. } => Some((now.build, *stage, Vote::Revert)),
            Decided { on: Some(stage), .. } => Some((now.build, *stage, Vote::Advance)),
            _ => None,
        }
    }

    /// Why a call may not be made, if so.
    pub fn objection(&self, term: u64, intent: &Intent) -> Option<&'static str> {
        let alone = intent.term != 0;
        let decided = self.decided.get(&intent.build).copied().unwrap_or_default();
        let held = |call: &Intent| if alone { call.term != 0 } else { call.id.member == intent.id.member };
        if alone && intent.term != term {
            Some("its leader was deposed before it was committed")
        } else if !self.members.contains_key(&intent.id.member) {
            Some("its instance is no member")
        } else if self.standing.is_none() || self.moved(intent) {
            Some("the platform has moved on")
        } else if intent.vote != Vote::Revert && decided.back.is_some() {
            Some("the build is sent back")
        } else if intent.vote == Vote::Revert && decided.back.is_none() {
            Some("nothing is decided")
        } else if intent.vote == Vote::Advance && decided.on != Some(intent.stage) {
            Some("nothing is decided of this stage")
        } else if self.open().any(held) {
            Some("an earlier call has no outcome yet")
        } else {
            None
        }
    }

    /// Calls without an outcome.
    pub fn open(&self) -> impl Iterator<Item = &Intent> {
        self.calls.iter().filter(|call| call.ended.is_none()).map(|call| &call.intent)
    }

    fn ended(&mut self, id: CallId, ended: Ended) -> Vec<Effect> {
        // The first end counts. Guards against a call's own late answer after another leader has settled it.
        let Some(call) = self.calls.iter_mut().find(|call| call.intent.id == id && call.ended.is_none())
        else {
            return Vec::new();
        };
        call.ended = Some(ended);
        while self.calls.len() > Record::MOST && self.calls.front().is_some_and(|call| call.ended.is_some()) {
            self.calls.pop_front();
        }
        vec![Effect::Closed(id, ended)]
    }

    /// Takes on an instance, as a learner or with a vote. False where its number was used before.
    pub fn join(&mut self, id: MemberId, address: &str, votes: bool) -> bool {
        if self.removed.contains(&id) {
            return false;
        }
        let member = self.members.entry(id).or_default();
        member.votes = votes;
        if !address.is_empty() {
            member.address = address.to_string();
        }
        true
    }

    /// Lets one go. What it has seen of the present stage stays in the pool.
    pub fn leave(&mut self, id: MemberId) {
        self.members.remove(&id);
        self.removed.insert(id);
        self.reports.remove(&id);
    }
}
