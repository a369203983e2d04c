//! A simulated world for the agreement: a network that loses, reorders and cuts one way, disks that lose what was not synced or
//! all they hold, that hang or refuse, kills between any two steps, machines that are replaced.
#![allow(dead_code)] // each test file uses a part of it

use milletwing_consensus::{
    Batch, Entry, Member, MemberId, Message, Millis, Options, Payload, Retirement, Role, StoredState,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds after which a driver takes a write for one that hangs.
const HANGS: Millis = 150;

#[derive(Default, Clone)]
pub struct Disk {
    hard_state: Option<Vec<u8>>,
    entries: BTreeMap<u64, Vec<u8>>,
    snapshot: Option<Vec<u8>>,
}

impl Disk {
    pub fn write(&mut self, batch: &Batch) {
        self.hard_state = batch.hard_state.clone().or(self.hard_state.take());
        if let Some((from, _)) = batch.entries.first() {
            self.entries.split_off(from);
        }
        self.entries.extend(batch.entries.iter().cloned());
        if let Some((snapshot, from)) = &batch.snapshot {
            self.snapshot = Some(snapshot.clone());
            self.entries = self.entries.split_off(from);
        }
    }

    pub fn stored(&self) -> StoredState {
        StoredState {
            hard_state: self.hard_state.clone(),
            entries: self.entries.values().cloned().collect(),
            snapshot: self.snapshot.clone(),
        }
    }
}

/// A write under way.
pub struct Writing {
    pub begun: Millis,
    /// When it is down, unless the disk hangs.
    pub due: Millis,
    pub work: milletwing_consensus::Ready,
}

pub struct Machine {
    pub disk: Disk,
    pub member: Option<Member>,
    /// The state folded from the log: index and value.
    pub state: Vec<(u64, u64)>,
    pub writing: Option<Writing>,
    /// Until then its disk takes nothing.
    pub stuck: Millis,
    pub back: Millis,
    pub first: bool,
    /// How fast its clock runs.
    pub rate: f64,
}

impl Machine {
    pub fn clock(&self, now: Millis) -> Millis {
        (now as f64 * self.rate) as Millis + 1
    }
}

pub struct World {
    pub now: Millis,
    pub chance: Pcg64Mcg,
    pub machines: BTreeMap<MemberId, Machine>,
    pub wire: BTreeMap<(Millis, u64), (MemberId, MemberId, Message)>,
    pub sent: u64,
    pub cuts: BTreeSet<(MemberId, MemberId)>,
    pub loss: f64,
    pub losses: usize,
    pub truth: BTreeMap<u64, u64>,
    pub acked: BTreeMap<u64, u64>,
    pub waiting: Vec<(MemberId, u64, u64, u64)>,
    pub reads: BTreeMap<(MemberId, u64), u64>,
    pub next: u64,
    pub answered: usize,
    pub wiped: BTreeSet<MemberId>,
    /// Machines whose disk was lost at any time.
    pub ever_lost: BTreeSet<MemberId>,
    pub gone: Option<MemberId>,
    /// Where the longest log ended when all machines left were the members of each other.
    pub out_by: Option<u64>,
    pub newest: MemberId,
    /// Bytes of a snapshot in one message.
    pub part: usize,
    /// The machine that was told to stop.
    pub leaving: Option<MemberId>,
}

impl World {
    pub fn new(seed: u64, count: u32) -> World {
        let mut world = World {
            now: 0,
            chance: Pcg64Mcg::seed_from_u64(seed),
            machines: BTreeMap::new(),
            wire: BTreeMap::new(),
            sent: 0,
            cuts: BTreeSet::new(),
            loss: 0.0,
            losses: (count as usize - 1) / 2,
            truth: BTreeMap::new(),
            acked: BTreeMap::new(),
            waiting: Vec::new(),
            reads: BTreeMap::new(),
            next: 0,
            answered: 0,
            wiped: BTreeSet::new(),
            ever_lost: BTreeSet::new(),
            gone: None,
            out_by: None,
            newest: count,
            leaving: None,
            part: 64,
        };
        for id in 1..=count {
            let back = world.chance.random_range(1..400);
            let machine = world.machine(back, true);
            world.machines.insert(id, machine);
        }
        world
    }

    pub fn machine(&mut self, back: Millis, first: bool) -> Machine {
        let rate = self.chance.random_range(0.9..1.1);
        Machine {
            disk: Disk::default(),
            member: None,
            state: Vec::new(),
            writing: None,
            stuck: 0,
            back,
            first,
            rate,
        }
    }

    pub fn start(&mut self, id: MemberId) {
        let founders: Vec<MemberId> = vec![1, 2, 3];
        let seeds: Vec<MemberId> = self.machines.keys().copied().collect();
        let options = Options {
            id,
            election_timeout: 300,
            heartbeat_interval: 50,
            tolerated_losses: self.losses,
            snapshot_after_entries: 20,
            snapshot_after_bytes: 1 << 20,
            snapshot_chunk_bytes: self.part,
            seed: self.chance.random(),
        };
        let machine = self.machines.get_mut(&id).unwrap();
        let attach = std::mem::take(&mut machine.first);
        let stored = machine.disk.stored();
        let member =
            Member::new(options, &stored, attach.then_some(&founders), &seeds, machine.clock(self.now))
                .unwrap();
        machine.state = fold(&member.snapshot().data);
        machine.member = Some(member);
    }

    /// Ends a process. A write under way is down, or not.
    pub fn kill(&mut self, id: MemberId, wipe: bool, back: Millis) {
        let down = self.chance.random_bool(0.5);
        let machine = self.machines.get_mut(&id).unwrap();
        if let Some(writing) = machine.writing.take().filter(|_| down) {
            machine.disk.write(&writing.work.batch);
        }
        if wipe {
            machine.disk = Disk::default();
            self.wiped.insert(id);
            self.ever_lost.insert(id);
        }
        machine.member = None;
        machine.back = self.now + back;
        self.waiting.retain(|(at, ..)| *at != id);
        self.reads.retain(|(at, _), _| *at != id);
    }

    /// Disks that are lost and not made whole yet.
    pub fn lost(&mut self) -> usize {
        let whole =
            |id: &MemberId| self.machines[id].member.as_ref().is_some_and(|member| !member.has_lost_state());
        self.wiped.retain(|id| !whole(id));
        self.wiped.len() + usize::from(self.gone.is_some())
    }

    pub fn step(&mut self) {
        self.now += 5;
        let ids: Vec<MemberId> = self.machines.keys().copied().collect();
        for id in &ids {
            let machine = &self.machines[id];
            if machine.member.is_none() && self.now >= machine.back {
                self.start(*id);
            }
        }
        while let Some(((at, _), _)) = self.wire.first_key_value() {
            if *at > self.now {
                break;
            }
            let (_, (from, to, message)) = self.wire.pop_first().unwrap();
            let Some(machine) = self.machines.get_mut(&to) else { continue };
            let clock = machine.clock(self.now);
            if let Some(member) = machine.member.as_mut() {
                member.step(clock, from, message);
            }
        }
        for id in ids {
            self.drive(id);
        }
    }

    pub fn drive(&mut self, id: MemberId) {
        let (now, slow) = (self.now, self.chance.random_range(0..30));
        let machine = self.machines.get_mut(&id).unwrap();
        let clock = machine.clock(now);
        let Some(member) = machine.member.as_mut() else { return };
        if now.is_multiple_of(25) {
            member.tick(clock);
        }
        let mut out = member.take_immediate_messages();
        let stuck = machine.stuck;
        if let Some(writing) = machine.writing.take_if(|it| now >= it.due.max(stuck)) {
            machine.disk.write(&writing.work.batch);
            member.on_persisted(clock, writing.work.last);
            out.extend(writing.work.messages);
        }
        if let Some(writing) = machine.writing.as_mut().filter(|it| now > it.begun + HANGS) {
            if !member.writes_suspended() && now.is_multiple_of(2) {
                writing.work.messages.clear(); // the disk refused, and the driver tries again
            }
            member.suspend_writes(clock);
        }
        if let Some(data) = member.take_restored_state() {
            machine.state = fold(&data);
        }
        for entry in member.take_committed() {
            let Entry { term, index, payload } = entry;
            if let Payload::Data(data) = payload {
                let value = u64::from_le_bytes(data.try_into().unwrap());
                machine.state.push((index, value));
                let known = *self.truth.entry(index).or_insert(value);
                assert_eq!(known, value, "two values at entry {index}");
                self.waiting.retain(|(at, in_term, place, wanted)| {
                    let done = *at == id && *place == index;
                    if done && *in_term == term {
                        assert_eq!(*wanted, value);
                        self.acked.insert(index, value);
                    }
                    !done
                });
            }
        }
        if member.should_snapshot() {
            member.save_snapshot(unfold(&machine.state));
        }
        for token in member.take_confirmed_reads() {
            if let Some(least) = self.reads.remove(&(id, token)) {
                let newest = machine.state.last().map_or(0, |(index, _)| *index);
                assert!(newest >= least, "a read as of entry {newest} follows an acknowledged {least}");
                self.answered += 1;
            }
        }
        if machine.writing.is_none() {
            if let Some(work) = member.take_ready() {
                let due = now + if work.batch.is_empty() { 0 } else { slow };
                machine.writing = Some(Writing { begun: now, due, work });
            }
        }
        for (to, message) in out {
            self.post(id, to, message);
        }
    }

    pub fn post(&mut self, from: MemberId, to: MemberId, message: Message) {
        // No disk is put back here, but one that was lost may count again before a leader hears that it was: others never.
        let forgot = matches!(message, Message::DistrustDisk { .. });
        assert!(!forgot || self.ever_lost.contains(&to), "{from} says that {to} has forgotten");
        if self.cuts.contains(&(from, to)) || self.chance.random_bool(self.loss) {
            return;
        }
        self.sent += 1;
        let at = self.now + self.chance.random_range(1..60);
        self.wire.insert((at, self.sent), (from, to, message));
    }

    /// Clients: proposals and reads at whoever thinks that it leads.
    pub fn call(&mut self) {
        let acked = self.acked.keys().last().copied().unwrap_or(0);
        for (id, machine) in &mut self.machines {
            let clock = machine.clock(self.now);
            let Some(member) = machine.member.as_mut().filter(|member| member.role() == Role::Leader) else {
                continue;
            };
            self.next += 1;
            if self.next.is_multiple_of(3) {
                if member.request_read(clock, self.next) {
                    self.reads.insert((*id, self.next), acked);
                }
            } else if let Some((term, index)) = member.propose(clock, self.next.to_le_bytes().to_vec()) {
                self.waiting.push((*id, term, index, self.next));
            }
        }
    }

    /// Machines that are no members join, one at a time; those that others have replaced are taken out.
    pub fn join(&mut self, silence: Millis) {
        // Only one that has asked the others and owes nothing asks to be taken in.
        let leaving = self.leaving;
        let asks = |(id, machine): (&MemberId, &Machine)| {
            if leaving == Some(*id) {
                return None;
            }
            machine.member.as_ref().is_some_and(|member| !member.has_lost_state()).then_some(*id)
        };
        let all: Vec<MemberId> = self.machines.iter().filter_map(asks).collect();
        for machine in self.machines.values_mut() {
            let clock = machine.clock(self.now);
            let Some(member) = machine.member.as_mut().filter(|member| member.role() == Role::Leader) else {
                continue;
            };
            let mut members = member.members().to_vec();
            for new in all.iter().filter(|id| !members.contains(id)) {
                member.add_learner(clock, *new);
            }
            if let Some(old) = member.silent_surplus_member(clock, silence) {
                members.retain(|id| *id != old);
                member.change_membership(clock, members);
            }
        }
        // It counts among the losses until every machine that is left knows that it is out for good: that is committed.
        if self.joined() {
            let last = |it: &Machine| it.member.as_ref().map_or(0, |it| it.commit_and_last().1 .1);
            let end = self.machines.values().map(last).max().unwrap_or(0);
            let out = *self.out_by.get_or_insert(end);
            let knows = |it: &Machine| it.member.as_ref().is_some_and(|it| it.commit_and_last().0 >= out);
            if self.machines.values().all(knows) {
                (self.gone, self.out_by) = (None, None);
            }
        } else {
            self.out_by = None;
        }
    }

    /// Whoever leads.
    pub fn leader(&self) -> Option<MemberId> {
        let leads = |it: &Machine| it.member.as_ref().is_some_and(|it| it.role() == Role::Leader);
        self.machines.iter().find(|(_, it)| leads(it)).map(|(id, _)| *id)
    }

    /// A member that is to stop asks whoever leads, as often as it takes. True once it may stop.
    pub fn retired(&mut self, old: MemberId) -> bool {
        self.leaving = Some(old);
        let now = self.now;
        let led = self.machines.values_mut().find_map(|machine| {
            let clock = machine.clock(now);
            machine.member.as_mut().filter(|it| it.role() == Role::Leader).map(|it| (clock, it))
        });
        let Some((clock, leader)) = led else { return false };
        if leader.leader() == Some(old) {
            leader.transfer_leadership(clock);
            return false;
        }
        let committed = leader.commit_and_last().0;
        match leader.retire(clock, old) {
            Some(Retirement::MayStop) => true,
            Some(Retirement::RemovedAt(index)) => committed >= index,
            Some(Retirement::Wait) | None => false,
        }
    }

    /// Whether all machines are members that count.
    pub fn joined(&self) -> bool {
        let all: Vec<MemberId> = self.machines.keys().copied().collect();
        self.machines
            .values()
            .all(|it| it.member.as_ref().is_some_and(|it| !it.has_lost_state() && it.members() == all))
    }

    /// A machine is gone for good; an empty one comes in its place, under another number.
    pub fn replace(&mut self, id: MemberId, back: Millis) {
        self.kill(id, true, 0);
        self.machines.remove(&id);
        self.wiped.remove(&id);
        self.gone = Some(id);
        self.newest += 1;
        let machine = self.machine(self.now + back, false);
        self.machines.insert(self.newest, machine);
    }

    pub fn trouble(&mut self) {
        let ids: Vec<MemberId> = self.machines.keys().copied().collect();
        let pick = ids[self.chance.random_range(0..ids.len())];
        let back = self.chance.random_range(50..1500);
        match self.chance.random_range(0..10) {
            0 => self.kill(pick, false, back),
            1 if self.lost() < self.losses => self.kill(pick, true, back),
            2 => ids.iter().for_each(|id| self.kill(*id, false, back)),
            // The machine that acknowledged last loses its disk while all others lose power.
            3 if self.lost() < self.losses => {
                let led = |id: &&MemberId| {
                    self.machines[*id].member.as_ref().is_some_and(|it| it.role() == Role::Leader)
                };
                let leader = ids.iter().find(led).copied().unwrap_or(pick);
                ids.iter().for_each(|id| self.kill(*id, *id == leader, back));
            }
            4 => self
                .cuts
                .extend(ids.iter().filter(|id| **id != pick).flat_map(|id| [(*id, pick), (pick, *id)])),
            5 => self.cuts.extend(ids.iter().filter(|id| **id != pick).map(|id| (pick, *id))),
            8 if self.lost() == 0 && self.joined() => self.replace(pick, back),
            9 => {
                let machine = self.machines.get_mut(&pick).unwrap();
                machine.stuck = self.now + 2 * back;
            }
            6 => self.loss = self.chance.random_range(0.0..0.3),
            _ => {
                self.cuts.clear();
                self.loss = 0.0;
            }
        }
    }

    pub fn play(seed: u64, count: u32) -> (usize, usize) {
        let mut world = World::new(seed, count);
        while world.now < 2_000 {
            world.step();
            world.join(1_000);
        }
        while world.now < 14_000 {
            world.step();
            if world.chance.random_bool(0.05) {
                world.call();
            }
            if world.chance.random_bool(0.01) {
                world.trouble();
            }
            if world.now.is_multiple_of(100) {
                world.join(1_000);
            }
        }
        world.cuts.clear();
        world.loss = 0.0;
        world.machines.values_mut().for_each(|machine| machine.stuck = 0);
        let end = world.now + 12_000;
        let mut healed = false;
        while world.now < end && !healed {
            world.step();
            let led = world
                .machines
                .values()
                .filter_map(|it| it.member.as_ref())
                .any(|it| it.role() == Role::Leader);
            if led && world.now.is_multiple_of(500) {
                world.call();
            }
            if world.now.is_multiple_of(100) {
                world.join(1_000);
            }
            let done = |machine: &Machine| {
                machine.member.as_ref().is_some_and(|member| !member.has_lost_state())
                    && world.acked.iter().all(|(index, value)| machine.state.contains(&(*index, *value)))
            };
            healed = world.now.is_multiple_of(1_000) && led && world.machines.values().all(done);
        }
        for (id, machine) in &world.machines {
            let member = machine.member.as_ref();
            let said = member.map(|it| {
                (it.role(), it.term(), it.has_lost_state(), it.members().to_vec(), it.commit_and_last())
            });
            if std::env::var("CONSENSUS_SEED").is_ok() {
                println!("{id}: {said:?}");
            }
        }
        for (id, machine) in &world.machines {
            assert!(
                machine.member.as_ref().is_some_and(|member| !member.has_lost_state()),
                "machine {id} is not whole again"
            );
            for (index, value) in &world.acked {
                assert!(
                    machine.state.contains(&(*index, *value)),
                    "machine {id} lacks the acknowledged entry {index}"
                );
            }
        }
        (world.acked.len(), world.answered)
    }
}

fn fold(data: &[u8]) -> Vec<(u64, u64)> {
    data.chunks_exact(16)
        .map(|pair| {
            let (index, value) = pair.split_at(8);
            (u64::from_le_bytes(index.try_into().unwrap()), u64::from_le_bytes(value.try_into().unwrap()))
        })
        .collect()
}

fn unfold(state: &[(u64, u64)]) -> Vec<u8> {
    state.iter().flat_map(|(index, value)| [index.to_le_bytes(), value.to_le_bytes()].concat()).collect()
}
