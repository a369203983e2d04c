//! Calls to the platform, one at a time: an intent is committed before, an outcome after. Whoever leads and finds an
//! intent without outcome reads the platform first, and never repeats a call whose stage has moved.

use crate::lease::Time;
use crate::record::{CallId, Command, Effect, Ended, Intent, MemberId, Record, Standing};
use milletwing_decision::interface::{Build, Outcome, Vote};

/// What the module wants said.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Wanted {
    /// The host's number for it.
    pub number: u64,
    /// The build.
    pub build: Build,
    /// The stage meant.
    pub stage: u32,
    /// The vote.
    pub vote: Vote,
}

/// What to do next.
#[derive(Clone, Debug, PartialEq)]
pub enum Step {
    /// Commit this.
    Propose(Command),
    /// Make the call, as long as the lease that stands behind it holds.
    Call(Wanted),
    /// Tell the module that the call was never made.
    Refuse(u64),
    /// Read the platform's state afresh, under this number.
    Read(u64),
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
enum Stage {
    #[default]
    Idle,
    /// The intent is on its way into the log.
    Proposed(CallId, Wanted, Time),
    /// The call is out.
    Calling(CallId, Wanted),
    /// Its end is on its way into the log; sent again until it is there.
    Closing(CallId, Ended, Time),
    /// Somebody's call, ours or a former leader's, has an unknown end since then; the platform is asked.
    Settling(CallId, Time, Option<(u64, Time)>),
}

/// How an instance stands in the group at the moment.
#[derive(Clone, Copy, Debug)]
pub struct Stand {
    /// Its own clock.
    pub now: Time,
    /// Its term.
    pub term: u64,
    /// It leads, and its lease holds.
    pub leads: bool,
}

/// One instance's calls.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Calls {
    member: MemberId,
    series: u64,
    /// One vote is enough for the platform: the leader alone calls.
    alone: bool,
    /// After this long a call that is still on its way can't be hoped for any more.
    settle: Time,
    stage: Stage,
    /// The platform's state that the end being committed came with.
    seen: Option<Standing>,
    numbers: u64,
    reads: u64,
}

impl Calls {
    /// How long a proposal may take before it is sent again.
    const AGAIN: Time = 500;
    /// How long an intent may take to be committed.
    const PATIENCE: Time = 2000;

    /// None yet. `settle` is the platform's time for an answer, in milliseconds.
    pub fn new(member: MemberId, series: u64, alone: bool, settle: Time) -> Calls {
        Calls { member, series, alone, settle, ..Calls::default() }
    }

    /// Whether a call of ours is out, or may be.
    pub fn out(&self) -> bool {
        matches!(self.stage, Stage::Calling(..))
    }

    /// The module wants something said.
    pub fn cast(&mut self, wanted: Wanted, stand: Stand) -> Vec<Step> {
        if self.stage != Stage::Idle || (self.alone && !stand.leads) {
            return vec![Step::Refuse(wanted.number)];
        }
        self.numbers += 1;
        let id = CallId { member: self.member, series: self.series, number: self.numbers };
        let Wanted { build, stage, vote, .. } = wanted;
        let term = if self.alone { stand.term } else { 0 };
        self.stage = Stage::Proposed(id, wanted, stand.now);
        vec![Step::Propose(Command::Intent(Intent { id, term, build, stage, vote }))]
    }

    /// Something was committed.
    pub fn committed(&mut self, effect: &Effect, stand: Stand) -> Vec<Step> {
        match (effect, self.stage.clone()) {
            (Effect::Opened(intent), Stage::Proposed(id, wanted, _)) if intent.id == id => {
                // Between the intent and the call: whoever leads no more does not make it.
                let ours = !self.alone || (stand.leads && intent.term == stand.term);
                if ours {
                    self.stage = Stage::Calling(id, wanted);
                    return vec![Step::Call(wanted)];
                }
                let mut steps = self.close(id, Ended::Never, None, stand);
                steps.push(Step::Refuse(wanted.number));
                steps
            }
            (Effect::Void(intent, _), Stage::Proposed(id, wanted, _)) if intent.id == id => {
                self.stage = Stage::Idle;
                vec![Step::Refuse(wanted.number)]
            }
            // One that we had given up on: it was never made.
            (Effect::Opened(intent), _) if self.own(&intent.id) => {
                vec![Step::Propose(Command::Outcome(intent.id, Ended::Never, None))]
            }
            (Effect::Closed(closed, _), Stage::Closing(id, ..) | Stage::Settling(id, ..))
                if *closed == id =>
            {
                self.stage = Stage::Idle;
                Vec::new()
            }
            _ => Vec::new(),
        }
    }

    fn own(&self, id: &CallId) -> bool {
        (id.member, id.series) == (self.member, self.series)
    }

    fn close(&mut self, id: CallId, ended: Ended, seen: Option<&Standing>, stand: Stand) -> Vec<Step> {
        self.stage = Stage::Closing(id, ended, stand.now);
        self.seen = seen.cloned();
        vec![Step::Propose(Command::Outcome(id, ended, self.seen.clone()))]
    }

    /// The call with that number ended, perhaps with the platform's state. `Timeout`: it may have been carried out, or
    /// may yet be.
    pub fn answered(
        &mut self,
        number: u64,
        verdict: Outcome,
        seen: Option<&Standing>,
        stand: Stand,
    ) -> Vec<Step> {
        let Stage::Calling(id, wanted) = self.stage.clone() else { return Vec::new() };
        if wanted.number != number {
            return Vec::new();
        }
        match verdict {
            Outcome::Timeout => {
                self.stage = Stage::Settling(id, stand.now, None);
                Vec::new()
            }
            // Its line was never whole: the platform has not heard it.
            Outcome::ConnectFailed => self.close(id, Ended::Never, None, stand),
            verdict => self.close(id, Ended::Answered(verdict), seen, stand),
        }
    }

    /// The platform's state was read for that number: what is committed of it stands in the record already.
    pub fn read(&mut self, number: u64, standing: &Standing, record: &Record, stand: Stand) -> Vec<Step> {
        let Stage::Settling(id, _, Some((ask, _))) = self.stage else { return Vec::new() };
        let Some(intent) = record.open().find(|intent| intent.id == id).filter(|_| ask == number) else {
            return Vec::new();
        };
        let ended = if standing.past(intent) { Ended::Moved } else { Ended::Stood };
        self.close(id, ended, Some(standing), stand)
    }

    /// Looks at the time: proposals that got lost are sent again, and open calls of those that can't end them are
    /// settled, by the leader where it alone calls, else each by its member.
    pub fn tick(&mut self, record: &Record, stand: Stand) -> Vec<Step> {
        let Stand { now, .. } = stand;
        let gone = |id: CallId| !record.open().any(|intent| intent.id == id);
        match self.stage.clone() {
            Stage::Idle => {
                // Idle, we are at work on none of them: whoever was has been deposed, has died, or lost its lease.
                let ours = |intent: &&Intent| match intent.term {
                    0 => intent.id.member == self.member,
                    _ => self.alone && stand.leads,
                };
                if let Some(intent) = record.open().find(ours) {
                    self.stage = Stage::Settling(intent.id, now, None);
                }
                Vec::new()
            }
            Stage::Proposed(_, wanted, at) if now >= at + Calls::PATIENCE => {
                self.stage = Stage::Idle;
                vec![Step::Refuse(wanted.number)]
            }
            Stage::Closing(id, ..) | Stage::Settling(id, ..) if gone(id) => {
                self.stage = Stage::Idle;
                Vec::new()
            }
            Stage::Closing(id, ended, at) if now >= at + Calls::AGAIN => {
                let seen = self.seen.take();
                self.close(id, ended, seen.as_ref(), stand)
            }
            // Only the leader settles where it alone calls.
            Stage::Settling(..) if self.alone && !stand.leads => {
                self.stage = Stage::Idle;
                Vec::new()
            }
            // Guards against reading too early: the call may still be on its way, and be carried out after the read.
            Stage::Settling(id, since, asked) if now >= since + self.settle => {
                if asked.is_some_and(|(_, at)| now < at + Calls::PATIENCE) {
                    return Vec::new();
                }
                self.reads += 1;
                self.stage = Stage::Settling(id, since, Some((self.reads, now)));
                vec![Step::Read(self.reads)]
            }
            _ => Vec::new(),
        }
    }
}
