//! A group on one thread: instances with clocks of their own, a network that loses and cuts, a platform that takes
//! every call and counts, kills and pauses. Every run follows from its seed.

use milletwing_decision::interface::{Build, Evidence, GroupMessage, Ms, Outcome, Phase, StageReport, Vote};
use milletwing_group::calls::Wanted;
use milletwing_group::grant::PeerNote;
use milletwing_group::log::{Batch, StoredState};
use milletwing_group::member::{founding, Status};
use milletwing_group::record::Standing;
use milletwing_group::{Member, MemberId, Options, Output};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

pub const LAST: u32 = 3;

/// Accepts every call, whatever stage it names, and moves on with each.
pub struct Platform {
    pub standing: Standing,
    pub calls: Vec<(MemberId, Wanted)>,
    /// Advances by build, stage; and those after a call back.
    pub twice: usize,
    pub after_back: usize,
    pub silent: bool,
    /// Turns calls away, uncounted.
    pub busy: bool,
}

impl Platform {
    fn call(&mut self, from: MemberId, wanted: Wanted) {
        let same = |(_, c): &&(MemberId, Wanted)| {
            (c.build, c.stage, c.vote) == (wanted.build, wanted.stage, wanted.vote)
        };
        self.twice += usize::from(self.calls.iter().any(|c| same(&c)));
        let back = self.calls.iter().any(|(_, c)| c.build == wanted.build && c.vote == Vote::Revert);
        self.after_back += usize::from(back && wanted.vote == Vote::Advance);
        self.calls.push((from, wanted));
        let s = &mut self.standing;
        match wanted.vote {
            Vote::Advance if s.stage < LAST => s.stage += 1,
            Vote::Advance => s.phase = Phase::Released,
            _ => s.phase = Phase::Withdrawn,
        }
    }
    pub fn news(&self) -> StageReport {
        let Standing { build, stage, phase, cap } = self.standing.clone();
        StageReport { answers_vote: false, outcome: Outcome::Ok, build, stage, phase, cap, age: Ms(0.0) }
    }
}

enum Wire {
    Raft(Vec<u8>),
    Note(PeerNote),
}

pub struct Place {
    pub member: Option<Member>,
    pub stored: StoredState,
    pub paused: bool,
    /// How its clock runs against the true time.
    pub rate: f64,
    pub offset: u64,
    pub leads: bool,
    pub decided: Option<(Build, u32, Vote)>,
    pub grant: Option<(Build, f64)>,
    /// Calls that were let through to the socket, and when they arrive.
    out: Vec<(u64, Wanted)>,
    series: u64,
    number: u64,
    pub cast: Option<(Build, u32, Vote)>,
    pub kept: (u64, Vec<u8>),
}

pub struct Cluster {
    pub now: u64,
    pub places: BTreeMap<MemberId, Place>,
    pub platform: Platform,
    /// Pairs from which nothing reaches.
    pub cut: BTreeSet<(MemberId, MemberId)>,
    wires: Vec<(u64, MemberId, MemberId, Wire)>,
    pub dice: Pcg64Mcg,
    /// What the module of whoever leads would judge.
    pub verdict: Vote,
    pub call_takes: u64,
    /// Instances that held a lease at one moment.
    pub most_leading: usize,
    /// Nothing is told or seen: the log stands still.
    pub still: bool,
    pub log: Vec<String>,
}

pub fn options(id: MemberId, series: u64) -> Options {
    Options {
        id,
        series,
        store: u128::from(id),
        tick: 20,
        election: 10,
        heartbeat: 2,
        drift: 0.01,
        grant: 600,
        report: 100,
        settle: 300,
        alone: true,
        snapshot_every: 64,
    }
}

pub fn keep(stored: &mut StoredState, batch: &Batch, index: impl Fn(&[u8]) -> u64) {
    if let Some(hard) = &batch.hard_state {
        stored.hard_state = Some(hard.clone());
    }
    if let Some((from, _)) = batch.entries.first() {
        stored.entries.retain(|bytes| index(bytes) < *from);
        stored.entries.extend(batch.entries.iter().map(|(_, bytes)| bytes.clone()));
    }
    if let Some((snapshot, from)) = &batch.snapshot {
        stored.snapshot = Some(snapshot.clone());
        stored.entries.retain(|bytes| index(bytes) >= *from);
    }
}

fn index(bytes: &[u8]) -> u64 {
    use protobuf::Message;
    raft::prelude::Entry::parse_from_bytes(bytes).unwrap().index
}

impl Cluster {
    pub fn new(size: u64, seed: u64) -> Cluster {
        let names = (1..=size).map(|id| (id, format!("place-{id}"))).collect();
        let stored = founding(&names);
        let standing = Standing { build: Build(2), stage: 0, phase: Phase::Trial, cap: 0.1 };
        let platform =
            Platform { standing, calls: Vec::new(), twice: 0, after_back: 0, silent: false, busy: false };
        let mut cluster = Cluster {
            now: 0,
            places: BTreeMap::new(),
            platform,
            cut: BTreeSet::new(),
            wires: Vec::new(),
            dice: Pcg64Mcg::seed_from_u64(seed),
            verdict: Vote::Advance,
            call_takes: 10,
            most_leading: 0,
            still: false,
            log: Vec::new(),
        };
        for id in 1..=size {
            cluster.place(id, stored.clone());
        }
        cluster
    }
    pub fn place(&mut self, id: MemberId, stored: StoredState) {
        let place = Place {
            member: None,
            stored,
            paused: false,
            rate: 1.0,
            offset: 1000 * id,
            leads: false,
            decided: None,
            grant: None,
            out: Vec::new(),
            series: 0,
            number: 0,
            cast: None,
            kept: (0, Vec::new()),
        };
        self.places.insert(id, place);
        self.start(id);
    }
    pub fn start(&mut self, id: MemberId) {
        let now = self.clock(id);
        let place = self.places.get_mut(&id).unwrap();
        place.series += 1;
        (place.leads, place.decided, place.grant, place.cast) = (false, None, None, None);
        place.member = Some(Member::new(options(id, place.series), &place.stored, now).unwrap());
    }
    /// Ends it at once; a call that has left goes on its way.
    pub fn kill(&mut self, id: MemberId) {
        self.places.get_mut(&id).unwrap().member = None;
    }
    pub fn clock(&self, id: MemberId) -> u64 {
        let place = &self.places[&id];
        place.offset + (self.now as f64 * place.rate) as u64
    }
    pub fn member(&mut self, id: MemberId) -> &mut Member {
        self.places.get_mut(&id).unwrap().member.as_mut().unwrap()
    }
    pub fn status(&self, id: MemberId) -> Option<Status> {
        let now = self.clock(id);
        self.places[&id].member.as_ref().map(|member| member.status(now))
    }
    /// Who leads with a lease, by its own clock.
    pub fn leaders(&self) -> Vec<MemberId> {
        let leads = |id: &&MemberId| self.status(**id).is_some_and(|status| status.leads);
        self.places.keys().filter(leads).copied().collect()
    }
    /// Calls of an instance that have left and not arrived.
    pub fn calls_out(&self, id: MemberId) -> usize {
        self.places[&id].out.len()
    }
    pub fn split(&mut self, one: &[MemberId]) {
        let all: Vec<MemberId> = self.places.keys().copied().collect();
        for &a in &all {
            for &b in all.iter().filter(|b| one.contains(&a) != one.contains(b)) {
                self.cut.insert((a, b));
            }
        }
    }
    pub fn heal(&mut self) {
        self.cut.clear();
    }
    /// Goes on for so many milliseconds.
    pub fn run(&mut self, ms: u64) {
        for _ in 0..ms / 5 {
            self.step();
        }
    }
    /// Goes on until something holds; it must within a minute.
    pub fn until(&mut self, what: &str, holds: impl Fn(&Cluster) -> bool) {
        for _ in 0..12_000 {
            if holds(self) {
                return;
            }
            self.step();
        }
        panic!("never: {what}; {:#?}", self.log.iter().rev().take(30).collect::<Vec<_>>());
    }
    pub fn leader(&mut self) -> MemberId {
        self.until("one leads", |c| c.leaders().len() == 1);
        self.leaders()[0]
    }
    pub fn step(&mut self) {
        self.now += 5;
        let (due, later) = std::mem::take(&mut self.wires).into_iter().partition(|(at, ..)| *at <= self.now);
        self.wires = later;
        let due: Vec<(u64, MemberId, MemberId, Wire)> = due;
        for (_, from, to, wire) in due {
            if !self.places.contains_key(&to) {
                continue; // it was never started
            }
            let now = self.clock(to);
            let cut = self.cut.contains(&(from, to));
            let Some(place) = self.places.get_mut(&to).filter(|place| !place.paused && !cut) else {
                continue;
            };
            let Some(member) = place.member.as_mut() else { continue };
            match wire {
                Wire::Raft(bytes) => member.receive(now, from, &bytes).unwrap(),
                Wire::Note(note) => member.peer(now, from, &note),
            }
        }
        let ids: Vec<MemberId> = self.places.keys().copied().collect();
        for id in ids {
            self.turn(id);
        }
        self.most_leading = self.most_leading.max(self.leaders().len());
    }
    fn turn(&mut self, id: MemberId) {
        let now = self.clock(id);
        let arrived: Vec<Wanted> = {
            let place = self.places.get_mut(&id).unwrap();
            let (due, later) =
                std::mem::take(&mut place.out).into_iter().partition(|(at, _)| *at <= self.now);
            place.out = later;
            let due: Vec<(u64, Wanted)> = due;
            due.into_iter().map(|(_, wanted)| wanted).collect()
        };
        // Bytes that have left arrive, whatever became of their sender.
        let busy = self.platform.busy;
        for wanted in arrived.iter().filter(|_| !busy) {
            self.platform.call(id, *wanted);
        }
        let (news, silent, verdict) = (self.platform.news(), self.platform.silent, self.verdict);
        let still = self.still;
        let place = self.places.get_mut(&id).unwrap();
        let Some(member) = place.member.as_mut().filter(|_| !place.paused) else { return };
        for wanted in arrived {
            let verdict = if busy { Outcome::Rejected } else { Outcome::Ok };
            if !silent {
                member.answered(now, wanted.number, &StageReport { outcome: verdict, ..news.clone() });
                place.cast = if busy { None } else { place.cast };
            }
        }
        member.tick(now);
        member.bind(now);
        if !silent {
            member.told(now, &news);
        }
        if !still {
            member.seen(Evidence {
                build: news.build,
                stage: news.stage,
                request_counts: vec![(self.now / 100) as f64],
                ..Evidence::default()
            });
        }
        // The module's part: judge where we lead, say what was decided.
        if place.leads && news.phase == Phase::Trial && verdict != Vote::None {
            member.judged(now, news.build, news.stage, verdict);
        }
        let decided = place.decided.filter(|(build, stage, vote)| {
            *build == news.build
                && (*vote == Vote::Revert || *stage == news.stage)
                && news.phase == Phase::Trial
        });
        if let Some((build, stage, vote)) =
            decided.filter(|decided| place.leads && place.cast != Some(*decided))
        {
            place.cast = decided;
            place.number += 1;
            member.cast(now, Wanted { number: place.number, build, stage, vote });
        }
        while let Some(batch) = member.work() {
            keep(&mut place.stored, &batch, index);
            if let Some(more) = member.written(now).unwrap() {
                keep(&mut place.stored, &more, index);
            }
        }
        for output in member.outputs() {
            match output {
                Output::Send(to, bytes) => {
                    let at = self.now + self.dice.random_range(1..15);
                    self.wires.push((at, id, to, Wire::Raft(bytes)));
                }
                Output::Tell(to, note) => {
                    let at = self.now + self.dice.random_range(1..15);
                    self.wires.push((at, id, to, Wire::Note(note)));
                }
                Output::News(GroupMessage::Leadership(leads)) => (place.leads, place.cast) = (leads, None),
                Output::News(GroupMessage::Decided(build, stage, vote)) => {
                    place.decided = Some((build, stage, vote))
                }
                Output::News(GroupMessage::ExposureGrant(build, cap)) => place.grant = Some((build, cap)),
                Output::News(GroupMessage::PooledEvidence(_)) => {}
                Output::Call(wanted) if member.lease_until() > now => {
                    place.out.push((self.now + self.call_takes, wanted));
                }
                Output::Call(wanted) => {
                    let news = StageReport { outcome: Outcome::NotSent, ..news.clone() };
                    member.answered(now, wanted.number, &news);
                }
                Output::Refuse(number) if number == place.number => place.cast = None,
                Output::Refuse(_) => {}
                Output::Read(number) if !silent => member.read(now, number, &Standing::of(&news)),
                Output::Read(_) => {}
                Output::Kept(number, body) => place.kept = (number, body),
                Output::Log(text) => self.log.push(format!("{} member {id}: {text}", self.now)),
            }
        }
    }
    pub fn check(&self, what: &str) {
        let p = &self.platform;
        let bad = (self.most_leading > 1) || p.twice > 0 || p.after_back > 0;
        assert!(
            !bad,
            "{what}: {} leading at once, {} twice, {} after back\n{:#?}\n{:#?}",
            self.most_leading, p.twice, p.after_back, p.calls, self.log
        );
    }
}
