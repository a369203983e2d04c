//! A simulated cluster for the consensus tests: a network that loses, reorders and blocks messages in one
//! direction or both; disks that lose unsynced writes or everything, hang, or refuse writes; processes killed
//! between any two steps; and replicas that are replaced.
#![allow(dead_code)] // each test file uses only a part of it

use milletwing_consensus::{
    Batch, Entry, Member, MemberId, Message, Millis, Options, Payload, Retirement, Role, StoredState,
};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::collections::{BTreeMap, BTreeSet};

/// Milliseconds after which the driver considers a write to be hanging.
const HANG_TIMEOUT_MS: Millis = 150;

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

/// A write in progress.
pub struct PendingWrite {
    pub started: Millis,
    /// When the write is on disk, unless the disk hangs.
    pub completes_at: Millis,
    pub ready: milletwing_consensus::Ready,
}

pub struct Replica {
    pub disk: Disk,
    pub member: Option<Member>,
    /// The application state: index and value of each applied entry.
    pub state: Vec<(u64, u64)>,
    pub pending_write: Option<PendingWrite>,
    /// Until then the disk accepts no writes.
    pub disk_blocked_until: Millis,
    pub restart_at: Millis,
    pub is_founder: bool,
    /// Clock speed relative to simulated time.
    pub clock_rate: f64,
}

impl Replica {
    pub fn clock(&self, now: Millis) -> Millis {
        (now as f64 * self.clock_rate) as Millis + 1
    }
}

pub struct Cluster {
    pub now: Millis,
    pub rng: Pcg64Mcg,
    pub replicas: BTreeMap<MemberId, Replica>,
    /// Messages by delivery time and number, with sender and receiver.
    pub in_flight: BTreeMap<(Millis, u64), (MemberId, MemberId, Message)>,
    pub sent_messages: u64,
    /// Sender and receiver of each blocked link.
    pub blocked_links: BTreeSet<(MemberId, MemberId)>,
    pub loss_rate: f64,
    pub tolerated_losses: usize,
    /// The value that was first applied at each index.
    pub applied: BTreeMap<u64, u64>,
    /// The acknowledged value at each index.
    pub acked: BTreeMap<u64, u64>,
    /// Replica, term, index and value of each proposal that is not applied yet.
    pub pending_proposals: Vec<(MemberId, u64, u64, u64)>,
    /// By replica and token, the last index that was acknowledged before the read.
    pub pending_reads: BTreeMap<(MemberId, u64), u64>,
    pub next_value: u64,
    pub answered_reads: usize,
    /// Replicas whose disk was lost and that have not recovered yet.
    pub lost_disks: BTreeSet<MemberId>,
    /// Replicas whose disk was lost or rolled back at any time.
    pub ever_lost: BTreeSet<MemberId>,
    /// The replica that was replaced, until its removal is committed and known to all.
    pub replaced: Option<MemberId>,
    /// The end of the longest log at the moment when the members were exactly the remaining replicas.
    pub removal_index: Option<u64>,
    pub newest_id: MemberId,
    /// Bytes of snapshot data in one message.
    pub snapshot_chunk_bytes: usize,
    /// The replica that was asked to stop.
    pub stopping: Option<MemberId>,
}

impl Cluster {
    pub fn new(seed: u64, count: u32) -> Cluster {
        let mut cluster = Cluster {
            now: 0,
            rng: Pcg64Mcg::seed_from_u64(seed),
            replicas: BTreeMap::new(),
            in_flight: BTreeMap::new(),
            sent_messages: 0,
            blocked_links: BTreeSet::new(),
            loss_rate: 0.0,
            tolerated_losses: (count as usize - 1) / 2,
            applied: BTreeMap::new(),
            acked: BTreeMap::new(),
            pending_proposals: Vec::new(),
            pending_reads: BTreeMap::new(),
            next_value: 0,
            answered_reads: 0,
            lost_disks: BTreeSet::new(),
            ever_lost: BTreeSet::new(),
            replaced: None,
            removal_index: None,
            newest_id: count,
            stopping: None,
            snapshot_chunk_bytes: 64,
        };
        for id in 1..=count {
            let restart_at = cluster.rng.random_range(1..400);
            let replica = cluster.new_replica(restart_at, true);
            cluster.replicas.insert(id, replica);
        }
        cluster
    }

    /// A stopped replica with an empty disk.
    pub fn new_replica(&mut self, restart_at: Millis, is_founder: bool) -> Replica {
        let clock_rate = self.rng.random_range(0.9..1.1);
        Replica {
            disk: Disk::default(),
            member: None,
            state: Vec::new(),
            pending_write: None,
            disk_blocked_until: 0,
            restart_at,
            is_founder,
            clock_rate,
        }
    }

    pub fn start(&mut self, id: MemberId) {
        let founders: Vec<MemberId> = vec![1, 2, 3];
        let seed_peers: Vec<MemberId> = self.replicas.keys().copied().collect();
        let options = Options {
            id,
            election_timeout: 300,
            heartbeat_interval: 50,
            tolerated_losses: self.tolerated_losses,
            snapshot_after_entries: 20,
            snapshot_after_bytes: 1 << 20,
            snapshot_chunk_bytes: self.snapshot_chunk_bytes,
            seed: self.rng.random(),
        };
        let replica = self.replicas.get_mut(&id).unwrap();
        let is_founder = std::mem::take(&mut replica.is_founder);
        let stored = replica.disk.stored();
        let member = Member::new(
            options,
            &stored,
            is_founder.then_some(&founders),
            &seed_peers,
            replica.clock(self.now),
        )
        .unwrap();
        replica.state = decode_state(&member.snapshot().data);
        replica.member = Some(member);
    }

    /// Ends a process. A write in progress reaches the disk or not, at random.
    pub fn kill(&mut self, id: MemberId, wipe: bool, downtime: Millis) {
        let written = self.rng.random_bool(0.5);
        let replica = self.replicas.get_mut(&id).unwrap();
        if let Some(pending_write) = replica.pending_write.take().filter(|_| written) {
            replica.disk.write(&pending_write.ready.batch);
        }
        if wipe {
            replica.disk = Disk::default();
            self.lost_disks.insert(id);
            self.ever_lost.insert(id);
        }
        replica.member = None;
        replica.restart_at = self.now + downtime;
        self.pending_proposals.retain(|(at, ..)| *at != id);
        self.pending_reads.retain(|(at, _), _| *at != id);
    }

    /// The number of lost disks that have not been recovered yet.
    pub fn lost_disk_count(&mut self) -> usize {
        let recovered =
            |id: &MemberId| self.replicas[id].member.as_ref().is_some_and(|member| !member.has_lost_state());
        self.lost_disks.retain(|id| !recovered(id));
        self.lost_disks.len() + usize::from(self.replaced.is_some())
    }

    /// Advances the simulation by 5 ms: starts processes, delivers messages and runs the drivers.
    pub fn step(&mut self) {
        self.now += 5;
        let ids: Vec<MemberId> = self.replicas.keys().copied().collect();
        for id in &ids {
            let replica = &self.replicas[id];
            if replica.member.is_none() && self.now >= replica.restart_at {
                self.start(*id);
            }
        }
        while let Some(((at, _), _)) = self.in_flight.first_key_value() {
            if *at > self.now {
                break;
            }
            let (_, (from, to, message)) = self.in_flight.pop_first().unwrap();
            let Some(replica) = self.replicas.get_mut(&to) else { continue };
            let clock = replica.clock(self.now);
            if let Some(member) = replica.member.as_mut() {
                member.step(clock, from, message);
            }
        }
        for id in ids {
            self.drive(id);
        }
    }

    /// Does the work of one replica's driver, and checks what it applies and reads.
    pub fn drive(&mut self, id: MemberId) {
        let (now, write_time) = (self.now, self.rng.random_range(0..30));
        let replica = self.replicas.get_mut(&id).unwrap();
        let clock = replica.clock(now);
        let Some(member) = replica.member.as_mut() else { return };
        if now.is_multiple_of(25) {
            member.tick(clock);
        }
        let mut messages = member.take_immediate_messages();
        let disk_blocked_until = replica.disk_blocked_until;
        if let Some(pending_write) =
            replica.pending_write.take_if(|it| now >= it.completes_at.max(disk_blocked_until))
        {
            replica.disk.write(&pending_write.ready.batch);
            member.on_persisted(clock, pending_write.ready.last);
            messages.extend(pending_write.ready.messages);
        }
        if let Some(pending_write) =
            replica.pending_write.as_mut().filter(|it| now > it.started + HANG_TIMEOUT_MS)
        {
            if !member.writes_suspended() && now.is_multiple_of(2) {
                pending_write.ready.messages.clear(); // the disk refused the write, and the driver retries it
            }
            member.suspend_writes(clock);
        }
        if let Some(data) = member.take_restored_state() {
            replica.state = decode_state(&data);
        }
        for entry in member.take_committed() {
            let Entry { term, index, payload } = entry;
            if let Payload::Data(data) = payload {
                let value = u64::from_le_bytes(data.try_into().unwrap());
                replica.state.push((index, value));
                let first_value = *self.applied.entry(index).or_insert(value);
                assert_eq!(first_value, value, "replicas applied two different values at entry {index}");
                self.pending_proposals.retain(|(at, proposed_term, entry_index, expected_value)| {
                    let done = *at == id && *entry_index == index;
                    if done && *proposed_term == term {
                        assert_eq!(*expected_value, value);
                        self.acked.insert(index, value);
                    }
                    !done
                });
            }
        }
        if member.should_snapshot() {
            member.save_snapshot(encode_state(&replica.state));
        }
        for token in member.take_confirmed_reads() {
            if let Some(min_index) = self.pending_reads.remove(&(id, token)) {
                let newest = replica.state.last().map_or(0, |(index, _)| *index);
                assert!(
                    newest >= min_index,
                    "read returned state as of entry {newest}, but entry {min_index} was acknowledged before"
                );
                self.answered_reads += 1;
            }
        }
        if replica.pending_write.is_none() {
            if let Some(ready) = member.take_ready() {
                let completes_at = now + if ready.batch.is_empty() { 0 } else { write_time };
                replica.pending_write = Some(PendingWrite { started: now, completes_at, ready });
            }
        }
        for (to, message) in messages {
            self.send(id, to, message);
        }
    }

    /// Sends a message, which is lost or delayed at random.
    pub fn send(&mut self, from: MemberId, to: MemberId, message: Message) {
        // A replica whose disk was lost may be counted again before the leader learns of the loss, and is then
        // told to distrust its disk. No replica with an intact disk may be told so.
        let distrusts = matches!(message, Message::DistrustDisk { .. });
        assert!(
            !distrusts || self.ever_lost.contains(&to),
            "{from} tells {to} to distrust its disk, which was never lost"
        );
        if self.blocked_links.contains(&(from, to)) || self.rng.random_bool(self.loss_rate) {
            return;
        }
        self.sent_messages += 1;
        let at = self.now + self.rng.random_range(1..60);
        self.in_flight.insert((at, self.sent_messages), (from, to, message));
    }

    /// Acts as clients: proposes and reads at every replica that considers itself the leader.
    pub fn propose_and_read(&mut self) {
        let acked = self.acked.keys().last().copied().unwrap_or(0);
        for (id, replica) in &mut self.replicas {
            let clock = replica.clock(self.now);
            let Some(member) = replica.member.as_mut().filter(|member| member.role() == Role::Leader) else {
                continue;
            };
            self.next_value += 1;
            if self.next_value.is_multiple_of(3) {
                if member.request_read(clock, self.next_value) {
                    self.pending_reads.insert((*id, self.next_value), acked);
                }
            } else if let Some((term, index)) = member.propose(clock, self.next_value.to_le_bytes().to_vec())
            {
                self.pending_proposals.push((*id, term, index, self.next_value));
            }
        }
    }

    /// Lets replicas that are not members join, one at a time, and removes members that have been replaced.
    pub fn update_membership(&mut self, silence: Millis) {
        // Only a replica that has queried the others and recovered its state asks to join.
        let stopping = self.stopping;
        let may_join = |(id, replica): (&MemberId, &Replica)| {
            if stopping == Some(*id) {
                return None;
            }
            replica.member.as_ref().is_some_and(|member| !member.has_lost_state()).then_some(*id)
        };
        let all: Vec<MemberId> = self.replicas.iter().filter_map(may_join).collect();
        for replica in self.replicas.values_mut() {
            let clock = replica.clock(self.now);
            let Some(member) = replica.member.as_mut().filter(|member| member.role() == Role::Leader) else {
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
        // The replaced replica counts as a loss until every remaining replica knows that its removal is
        // committed.
        if self.all_joined() {
            let last = |it: &Replica| it.member.as_ref().map_or(0, |it| it.commit_and_last().1 .1);
            let end = self.replicas.values().map(last).max().unwrap_or(0);
            let removal = *self.removal_index.get_or_insert(end);
            let knows = |it: &Replica| it.member.as_ref().is_some_and(|it| it.commit_and_last().0 >= removal);
            if self.replicas.values().all(knows) {
                (self.replaced, self.removal_index) = (None, None);
            }
        } else {
            self.removal_index = None;
        }
    }

    /// The replica that leads.
    pub fn leader(&self) -> Option<MemberId> {
        let leads = |it: &Replica| it.member.as_ref().is_some_and(|it| it.role() == Role::Leader);
        self.replicas.iter().find(|(_, it)| leads(it)).map(|(id, _)| *id)
    }

    /// Asks the leader to let a member stop, repeatedly. Returns true once it may stop.
    pub fn may_stop(&mut self, old: MemberId) -> bool {
        self.stopping = Some(old);
        let now = self.now;
        let leader = self.replicas.values_mut().find_map(|replica| {
            let clock = replica.clock(now);
            replica.member.as_mut().filter(|it| it.role() == Role::Leader).map(|it| (clock, it))
        });
        let Some((clock, leader)) = leader else { return false };
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

    /// Whether all replicas are members with recovered state.
    pub fn all_joined(&self) -> bool {
        let all: Vec<MemberId> = self.replicas.keys().copied().collect();
        self.replicas
            .values()
            .all(|it| it.member.as_ref().is_some_and(|it| !it.has_lost_state() && it.members() == all))
    }

    /// Removes a replica for good. An empty one takes its place under a new ID.
    pub fn replace(&mut self, id: MemberId, downtime: Millis) {
        self.kill(id, true, 0);
        self.replicas.remove(&id);
        self.lost_disks.remove(&id);
        self.replaced = Some(id);
        self.newest_id += 1;
        let replica = self.new_replica(self.now + downtime, false);
        self.replicas.insert(self.newest_id, replica);
    }

    /// Injects a random fault, or ends the network faults.
    pub fn inject_fault(&mut self) {
        let ids: Vec<MemberId> = self.replicas.keys().copied().collect();
        let target = ids[self.rng.random_range(0..ids.len())];
        let downtime = self.rng.random_range(50..1500);
        match self.rng.random_range(0..10) {
            0 => self.kill(target, false, downtime),
            1 if self.lost_disk_count() < self.tolerated_losses => self.kill(target, true, downtime),
            2 => ids.iter().for_each(|id| self.kill(*id, false, downtime)),
            // The replica that acknowledged last loses its disk while all others lose power.
            3 if self.lost_disk_count() < self.tolerated_losses => {
                let leads = |id: &&MemberId| {
                    self.replicas[*id].member.as_ref().is_some_and(|it| it.role() == Role::Leader)
                };
                let leader = ids.iter().find(leads).copied().unwrap_or(target);
                ids.iter().for_each(|id| self.kill(*id, *id == leader, downtime));
            }
            4 => self
                .blocked_links
                .extend(ids.iter().filter(|id| **id != target).flat_map(|id| [(*id, target), (target, *id)])),
            5 => self.blocked_links.extend(ids.iter().filter(|id| **id != target).map(|id| (target, *id))),
            8 if self.lost_disk_count() == 0 && self.all_joined() => self.replace(target, downtime),
            9 => {
                let replica = self.replicas.get_mut(&target).unwrap();
                replica.disk_blocked_until = self.now + 2 * downtime;
            }
            6 => self.loss_rate = self.rng.random_range(0.0..0.3),
            _ => {
                self.blocked_links.clear();
                self.loss_rate = 0.0;
            }
        }
    }

    /// Runs a cluster through random faults, then checks that it recovers with all acknowledged entries.
    /// Returns the numbers of acknowledged entries and answered reads.
    pub fn run(seed: u64, count: u32) -> (usize, usize) {
        let mut cluster = Cluster::new(seed, count);
        while cluster.now < 2_000 {
            cluster.step();
            cluster.update_membership(1_000);
        }
        while cluster.now < 14_000 {
            cluster.step();
            if cluster.rng.random_bool(0.05) {
                cluster.propose_and_read();
            }
            if cluster.rng.random_bool(0.01) {
                cluster.inject_fault();
            }
            if cluster.now.is_multiple_of(100) {
                cluster.update_membership(1_000);
            }
        }
        cluster.blocked_links.clear();
        cluster.loss_rate = 0.0;
        cluster.replicas.values_mut().for_each(|replica| replica.disk_blocked_until = 0);
        let end = cluster.now + 12_000;
        let mut recovered = false;
        while cluster.now < end && !recovered {
            cluster.step();
            let has_leader = cluster
                .replicas
                .values()
                .filter_map(|it| it.member.as_ref())
                .any(|it| it.role() == Role::Leader);
            if has_leader && cluster.now.is_multiple_of(500) {
                cluster.propose_and_read();
            }
            if cluster.now.is_multiple_of(100) {
                cluster.update_membership(1_000);
            }
            let has_all_acked = |replica: &Replica| {
                replica.member.as_ref().is_some_and(|member| !member.has_lost_state())
                    && cluster.acked.iter().all(|(index, value)| replica.state.contains(&(*index, *value)))
            };
            recovered = cluster.now.is_multiple_of(1_000)
                && has_leader
                && cluster.replicas.values().all(has_all_acked);
        }
        for (id, replica) in &cluster.replicas {
            let member = replica.member.as_ref();
            let status = member.map(|it| {
                (it.role(), it.term(), it.has_lost_state(), it.members().to_vec(), it.commit_and_last())
            });
            if std::env::var("CONSENSUS_SEED").is_ok() {
                println!("{id}: {status:?}");
            }
        }
        for (id, replica) in &cluster.replicas {
            assert!(
                replica.member.as_ref().is_some_and(|member| !member.has_lost_state()),
                "replica {id} has not recovered its state"
            );
            for (index, value) in &cluster.acked {
                assert!(
                    replica.state.contains(&(*index, *value)),
                    "replica {id} lacks acknowledged entry {index}"
                );
            }
        }
        (cluster.acked.len(), cluster.answered_reads)
    }
}

fn decode_state(data: &[u8]) -> Vec<(u64, u64)> {
    data.chunks_exact(16)
        .map(|pair| {
            let (index, value) = pair.split_at(8);
            (u64::from_le_bytes(index.try_into().unwrap()), u64::from_le_bytes(value.try_into().unwrap()))
        })
        .collect()
}

fn encode_state(state: &[(u64, u64)]) -> Vec<u8> {
    state.iter().flat_map(|(index, value)| [index.to_le_bytes(), value.to_le_bytes()].concat()).collect()
}
