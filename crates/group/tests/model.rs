//! The layer above consensus, explored in full within bounds: lease, intent, call, outcome, grant, hand-over, crash and
//! pause in any order. The record, the calls and the grants are the real ones; the consensus library is taken at its
//! word (one log, one leader a term), and a lease for what `lease` makes it: no election while one holds.

use milletwing_decision::interface::{Build, Outcome, Phase, Vote};
use milletwing_group::calls::{Calls, Stand, Step, Wanted};
use milletwing_group::grant::{grantable, Held, PeerNote};
use milletwing_group::record::{CallId, Command, Effect, Ended, Intent, Record, Standing};
use stateright::{Checker, HasDiscoveries, Model, Property};

const BUILD: Build = Build(2);
const LIFE: u64 = 2;

/// What may be left out, to see that it is found.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    None,
    /// A call is written whatever has become of the lease.
    NoLeaseCheck,
    /// A new leader takes an open call for one that did not take.
    OutcomeNotAwaited,
    /// A grant has no end.
    GrantWithoutEnd,
}

/// A committed entry in a form that can be compared.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Entry {
    Told(u32, Phase),
    Verdict(u64, u32, Vote),
    Intent(Intent),
    Outcome(CallId, Ended, Option<(u32, Phase)>),
}

fn standing(stage: u32, phase: Phase) -> Standing {
    Standing { build: BUILD, stage, phase, cap: 0.1 }
}

impl Entry {
    fn of(command: &Command) -> Entry {
        match command {
            Command::Told(told) => Entry::Told(told.stage, told.phase),
            Command::Verdict { term, stage, vote, .. } => Entry::Verdict(*term, *stage, *vote),
            Command::Intent(intent) => Entry::Intent(*intent),
            Command::Outcome(id, ended, seen) => {
                Entry::Outcome(*id, *ended, seen.as_ref().map(|seen| (seen.stage, seen.phase)))
            }
            Command::Evidence { .. } | Command::Bind(..) | Command::Keep { .. } => {
                unreachable!("the model proposes none")
            }
        }
    }
    fn command(&self) -> Command {
        match self.clone() {
            Entry::Told(stage, phase) => Command::Told(standing(stage, phase)),
            Entry::Verdict(term, stage, vote) => Command::Verdict { term, build: BUILD, stage, vote },
            Entry::Intent(intent) => Command::Intent(intent),
            Entry::Outcome(id, ended, seen) => {
                Command::Outcome(id, ended, seen.map(|(stage, phase)| standing(stage, phase)))
            }
        }
    }
}

#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
struct Instance {
    /// The term in which it takes itself for the leader, and whether its lease holds.
    leads: Option<u64>,
    lease: bool,
    /// The log as it led: it has applied that much before its lease begins.
    since: usize,
    series: u64,
    calls: Calls,
    applied: usize,
    /// With the term of the log they stand in; 0: on their way to whoever leads.
    proposals: Vec<(u64, Entry)>,
    /// A call that is to be written: it may be paused between.
    line: Option<Wanted>,
    /// One that has left, with its answer still to come.
    waits: Option<Wanted>,
    /// What the platform answered, once the call has arrived.
    answer: Option<(u32, Phase)>,
    casts: u64,
    /// Cap, and end of its grant.
    grant: Option<u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct World {
    now: u64,
    term: u64,
    log: Vec<(u64, Entry)>,
    instances: Vec<Instance>,
    stage: u32,
    phase: Phase,
    /// Calls that are on their way to the platform: they arrive or are lost.
    flying: Vec<(usize, Wanted)>,
    /// Advances by the stage they named, whatever stood; and whether one came after a call back.
    advances: Vec<(u32, usize)>,
    backed: bool,
    after_back: bool,
    decided_back: Option<u64>,
    crashes: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum Act {
    Elect(usize),
    LeaseEnds(usize),
    StepsDown(usize),
    Judge(usize, Vote),
    Tell(usize),
    Cast(usize),
    Commit(usize),
    Lose(usize),
    Apply(usize),
    Write(usize),
    Arrive(usize),
    Lost(usize),
    Answer(usize, Outcome),
    Read(usize),
    Crash(usize),
    Grant(usize, usize),
    Clock,
}

struct Group {
    fault: Fault,
    size: usize,
    terms: u64,
    entries: usize,
    clock: u64,
    crashes: u32,
    /// Calls that each instance's module wants, at most.
    casts: u64,
    /// Grants are explored by themselves: they touch nothing else.
    grants: bool,
}

fn record(world: &World, upto: usize) -> Record {
    let mut record = Record::default();
    (1..=world.instances.len() as u64).for_each(|id| assert!(record.join(id, "", true)));
    record.apply(1, Command::Told(standing(0, Phase::Trial)));
    for (term, entry) in &world.log[..upto] {
        record.apply(*term, entry.command());
    }
    record
}

fn stand(instance: &Instance) -> Stand {
    // Far beyond any patience: what waits for time is drawn by the model's acts instead.
    Stand { now: 0, term: instance.leads.unwrap_or(0), leads: leads(instance) }
}

fn leads(instance: &Instance) -> bool {
    instance.leads.is_some() && instance.lease && instance.applied >= instance.since
}

fn propose(instance: &mut Instance, entry: Entry) {
    instance.proposals.push((instance.leads.unwrap_or(0), entry));
}

fn take(instance: &mut Instance, steps: Vec<Step>) {
    for step in steps {
        match step {
            Step::Propose(command) => propose(instance, Entry::of(&command)),
            Step::Call(wanted) => instance.line = Some(wanted),
            Step::Refuse(_) | Step::Read(_) => {}
        }
    }
}

impl World {
    /// A call that has left is at the platform, which takes every one.
    fn arrive(&mut self, at: usize) {
        let (by, wanted) = self.flying.remove(at);
        match wanted.vote {
            Vote::Advance => {
                self.after_back |= self.backed;
                match self.advances.iter_mut().find(|(stage, _)| *stage == wanted.stage) {
                    Some((_, times)) => *times += 1,
                    None => self.advances.push((wanted.stage, 1)),
                }
                self.stage += 1;
            }
            _ => (self.backed, self.phase) = (true, Phase::Withdrawn),
        }
        // The answer goes to whoever still waits for it.
        let waits = self.instances[by].waits == Some(wanted);
        self.instances[by].answer = waits.then_some((self.stage, self.phase));
    }

    /// Whoever leads now, by the log: what is committed it has applied.
    fn leader(&self) -> Option<usize> {
        let leads =
            |instance: &Instance| instance.leads == Some(self.term) && instance.applied == self.log.len();
        self.instances.iter().position(leads)
    }

    fn apply(&mut self, at: usize) {
        let applied = self.instances[at].applied;
        let (term, entry) = self.log[applied].clone();
        let effects = record(self, applied).apply(term, entry.command());
        let instance = &mut self.instances[at];
        instance.applied += 1;
        for effect in effects {
            let stand = stand(instance);
            let steps = instance.calls.committed(&effect, stand);
            take(instance, steps);
        }
    }
}

impl Model for Group {
    type State = World;
    type Action = Act;

    fn init_states(&self) -> Vec<World> {
        let instances = (0..self.size).map(|at| Instance {
            series: 1,
            calls: Calls::new(at as u64 + 1, 1, true, 0),
            ..Instance::default()
        });
        vec![World {
            now: 0,
            term: 1,
            log: Vec::new(),
            instances: instances.collect(),
            stage: 0,
            phase: Phase::Trial,
            flying: Vec::new(),
            advances: Vec::new(),
            backed: false,
            after_back: false,
            decided_back: None,
            crashes: 0,
        }]
    }

    fn actions(&self, world: &World, acts: &mut Vec<Act>) {
        let leased = world.instances.iter().any(|instance| instance.lease);
        if self.grants && world.now < self.clock {
            acts.push(Act::Clock);
        }
        for (at, instance) in world.instances.iter().enumerate() {
            if !leased && world.term < self.terms && instance.leads.is_none() {
                acts.push(Act::Elect(at));
            }
            if instance.lease {
                acts.push(Act::LeaseEnds(at));
            }
            if instance.leads.is_some() && !instance.lease {
                acts.push(Act::StepsDown(at));
            }
            if leads(instance) && instance.proposals.is_empty() {
                let known = record(world, instance.applied);
                let open = known.standing.as_ref().is_some_and(|told| told.phase == Phase::Trial);
                if open && !known.sent_back(BUILD) {
                    acts.push(Act::Judge(at, Vote::Revert));
                    if !self.grants {
                        acts.push(Act::Judge(at, Vote::Advance));
                    }
                }
                if known.standing != Some(standing(world.stage, world.phase)) {
                    acts.push(Act::Tell(at));
                }
            }
            if self.grants {
                for to in 0..self.size {
                    acts.push(Act::Grant(at, to));
                }
            }
            if instance.applied < world.log.len() {
                acts.push(Act::Apply(at));
            }
            if !instance.proposals.is_empty() {
                if world.log.len() < self.entries && world.leader().is_some() {
                    acts.push(Act::Commit(at));
                }
                if !instance.lease {
                    acts.push(Act::Lose(at));
                }
            }
            if self.grants {
                continue;
            }
            if leads(instance) && instance.proposals.is_empty() && instance.casts < self.casts {
                acts.push(Act::Cast(at));
            }
            if instance.line.is_some() {
                acts.push(Act::Write(at));
            }
            if instance.waits.is_some() {
                acts.push(Act::Answer(at, Outcome::Timeout));
                if instance.answer.is_some() {
                    acts.push(Act::Answer(at, Outcome::Ok));
                }
            }
            // What settling waits for: by then a call has arrived or is lost.
            if leads(instance) && instance.applied == world.log.len() && world.flying.is_empty() {
                acts.push(Act::Read(at));
            }
            if world.crashes < self.crashes {
                acts.push(Act::Crash(at));
            }
        }
        for at in 0..world.flying.len() {
            acts.push(Act::Arrive(at));
            acts.push(Act::Lost(at));
        }
    }

    fn next_state(&self, last: &World, act: Act) -> Option<World> {
        let mut world = last.clone();
        match act {
            Act::Elect(at) => {
                world.term += 1;
                let instance = &mut world.instances[at];
                (instance.leads, instance.lease, instance.since) = (Some(world.term), true, last.log.len());
            }
            Act::LeaseEnds(at) => world.instances[at].lease = false,
            Act::StepsDown(at) => world.instances[at].leads = None,
            Act::Judge(at, vote) => {
                let stage = record(last, last.instances[at].applied).standing?.stage;
                let term = last.instances[at].leads?;
                propose(&mut world.instances[at], Entry::Verdict(term, stage, vote));
            }
            Act::Tell(at) => propose(&mut world.instances[at], Entry::Told(last.stage, last.phase)),
            Act::Cast(at) => {
                let known = record(last, last.instances[at].applied);
                let (build, stage, vote) = known.decision()?;
                let instance = &mut world.instances[at];
                instance.casts += 1;
                let wanted = Wanted { number: instance.casts, build, stage, vote };
                let stand = stand(instance);
                let steps = instance.calls.cast(wanted, stand);
                take(instance, steps);
            }
            Act::Commit(at) => {
                let leader = last.leader()?;
                let (term, entry) = world.instances[at].proposals.remove(0);
                let term = if term == 0 { world.term } else { term };
                let before = record(last, last.log.len());
                let effects = before.clone().apply(term, entry.command());
                if effects.contains(&Effect::Decided(BUILD, before.standing?.stage, Vote::Revert)) {
                    world.decided_back = Some(world.now);
                }
                world.log.push((term, entry));
                world.apply(leader);
            }
            Act::Lose(at) => drop(world.instances[at].proposals.remove(0)),
            // A follower's lag shows only as it takes over: it catches up at one go.
            Act::Apply(at) => (last.instances[at].applied..last.log.len()).for_each(|_| world.apply(at)),
            Act::Write(at) => {
                let instance = &mut world.instances[at];
                let wanted = instance.line.take()?;
                if instance.lease || self.fault == Fault::NoLeaseCheck {
                    instance.waits = Some(wanted);
                    world.flying.push((at, wanted));
                } else {
                    let stand = stand(instance);
                    let steps = instance.calls.answered(wanted.number, Outcome::NotSent, None, stand);
                    take(instance, steps);
                }
            }
            Act::Arrive(at) => world.arrive(at),
            Act::Lost(at) => drop(world.flying.remove(at)),
            Act::Answer(at, verdict) => {
                let instance = &mut world.instances[at];
                let wanted = instance.waits.take()?;
                let seen = instance.answer.take().filter(|_| verdict == Outcome::Ok);
                let seen = seen.map(|(stage, phase)| standing(stage, phase));
                let stand = stand(instance);
                let steps = instance.calls.answered(wanted.number, verdict, seen.as_ref(), stand);
                take(instance, steps);
            }
            Act::Read(at) => {
                let known = record(last, last.instances[at].applied);
                let instance = &mut world.instances[at];
                if self.fault == Fault::OutcomeNotAwaited {
                    let open = known.open().next()?;
                    propose(instance, Entry::Outcome(open.id, Ended::Stood, None));
                } else {
                    let stand = stand(instance);
                    instance.calls.tick(&known, stand);
                    let steps = instance.calls.tick(&known, stand);
                    let read = steps.iter().find_map(|step| match step {
                        Step::Read(number) => Some(*number),
                        _ => None,
                    });
                    take(instance, steps);
                    let told = standing(last.stage, last.phase);
                    let steps = instance.calls.read(read?, &told, &known, stand);
                    take(instance, steps);
                }
            }
            Act::Crash(at) => {
                world.crashes += 1;
                let before = &last.instances[at];
                let series = before.series + 1;
                let calls = Calls::new(at as u64 + 1, series, true, 0);
                world.instances[at] = Instance { series, calls, casts: before.casts, ..Instance::default() };
                // What it had promised a leader it keeps: the host waits before it lends its vote. Its own lease is gone.
            }
            Act::Grant(from, to) => {
                let granter = &last.instances[from];
                let known = record(last, granter.applied);
                if !leads(granter) {
                    return None;
                }
                let (build, cap) = grantable(&known)?;
                let life = if self.fault == Fault::GrantWithoutEnd { 1000 } else { LIFE };
                let mut held = Held::default();
                let ask = held.ask(last.now);
                let note = PeerNote::Grant { ask, term: granter.leads?, build, cap, life };
                held.take(&note, 0, last.now)?;
                let until =
                    (last.now..=last.now + life).find(|now| held.now(*now).is_none()).unwrap_or(u64::MAX);
                world.instances[to].grant = (cap > 0.0).then_some(until);
            }
            Act::Clock => world.now += 1,
        }
        Some(world)
    }

    fn properties(&self) -> Vec<Property<Self>> {
        vec![
            Property::always("no stage is left twice", |_, world: &World| {
                world.advances.iter().all(|(_, times)| *times <= 1)
            }),
            Property::always("no advance after a committed back", |_, world: &World| !world.after_back),
            Property::always("one lease at a time", |_, world: &World| {
                world.instances.iter().filter(|instance| instance.lease).count() <= 1
            }),
            Property::always(
                "a build sent back is exposed no longer than a grant lives",
                |_, world: &World| {
                    let over = world.decided_back.is_some_and(|at| world.now > at + LIFE);
                    !over
                        || world
                            .instances
                            .iter()
                            .all(|instance| instance.grant.is_none_or(|until| world.now >= until))
                },
            ),
            Property::sometimes("a build moves on", |_, world: &World| world.stage > 0),
            Property::sometimes("a build goes back", |_, world: &World| world.backed),
        ]
    }

    fn within_boundary(&self, world: &World) -> bool {
        world.term <= self.terms && world.log.len() <= self.entries && world.stage <= 2
    }
}

/// Three leaders one after another, and a crash.
fn hand_overs(fault: Fault) -> Group {
    Group { fault, size: 2, terms: 3, entries: 4, clock: 0, crashes: 1, casts: 1, grants: false }
}

/// Several calls by each.
fn calls(fault: Fault) -> Group {
    Group { fault, size: 2, terms: 3, entries: 4, clock: 0, crashes: 0, casts: 2, grants: false }
}

fn grants(fault: Fault) -> Group {
    Group { fault, size: 2, terms: 3, entries: 2, clock: 5, crashes: 0, casts: 0, grants: true }
}

/// Explores all of it; gives the properties that don't hold.
fn broken(model: Group) -> Vec<&'static str> {
    let checker = model.checker().threads(4).finish_when(HasDiscoveries::AnyFailures).spawn_bfs().join();
    println!("{} states, {} of them different", checker.state_count(), checker.unique_state_count());
    let always = |name: &&&str| !name.starts_with("a build moves") && !name.starts_with("a build goes");
    checker.discoveries().keys().filter(always).copied().collect()
}

#[test]
fn every_order_of_lease_intent_call_outcome_and_hand_over_keeps_the_properties() {
    assert_eq!(broken(hand_overs(Fault::None)), Vec::<&str>::new());
    assert_eq!(broken(calls(Fault::None)), Vec::<&str>::new());
}

#[test]
fn every_order_of_grants_keeps_the_properties() {
    assert_eq!(broken(grants(Fault::None)), Vec::<&str>::new());
}

#[test]
fn each_deliberate_fault_is_found() {
    assert!(!broken(hand_overs(Fault::NoLeaseCheck)).is_empty());
    assert!(!broken(hand_overs(Fault::OutcomeNotAwaited)).is_empty());
    assert_eq!(
        broken(grants(Fault::GrantWithoutEnd)),
        ["a build sent back is exposed no longer than a grant lives"]
    );
}

/// What the model must be able to reach, or its properties would hold for nothing.
#[test]
fn builds_move_on_and_go_back_in_the_model() {
    let reached = |model: Group| {
        let wanted = ["a build moves on", "a build goes back"].into();
        model
            .checker()
            .threads(4)
            .finish_when(HasDiscoveries::AllOf(wanted))
            .spawn_bfs()
            .join()
            .discoveries()
            .len()
    };
    assert_eq!(reached(hand_overs(Fault::None)), 2);
}
