//! Core machines in simulated time: their links lose, delay and cut, their disks hang, refuse and are lost, their processes are
//! killed between any two steps. One thread, a paused clock, chance from a seed.

use milletwing_config::Settings;
use milletwing_consensus::Batch;
use milletwing_control_plane::core::{ticks, Core, Shared, Writes};
use milletwing_storage::LogStore;
use milletwing_wire::{self as wire, PeerMessage};
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::sync::mpsc::{sync_channel, Receiver, TryRecvError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::{sleep, Instant};

pub const MACHINES: u32 = 3;
/// Between two looks of a simulated disk at what there is to write.
const DISK: Duration = Duration::from_millis(2);
/// Between two tries of a write that is refused.
const REFUSED: Duration = Duration::from_millis(50);

pub fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// A machine's number: its address.
pub fn id(at: u32) -> u32 {
    0x0a00_0000 + at
}

fn settings(at: u32, first: bool) -> Settings {
    let seeds: Vec<String> = (1..=MACHINES).map(|it| format!("\"10.0.0.{it}:8544\"")).collect();
    let text = format!(
        "[self]\nnodeName = \"core-{at}\"\nipAddress = \"10.0.0.{at}\"\nzone = \"a\"\nregion = \"north\"\ninitialAttach = {first}\n\
         [network]\ninternalPorts = [7540, 7555]\nseedList = [{}]\n[network.zones]\na = \"north\"\nb = \"north\"\n",
        seeds.join(", ")
    );
    Settings::parse(&text).unwrap()
}

/// A process of the core.
struct Life {
    core: Shared,
    tasks: Vec<JoinHandle<()>>,
    /// What the disk is writing.
    writing: Rc<RefCell<Option<Batch>>>,
    /// Kept when the process has ended: whoever still holds it then writes nothing more.
    batches: Rc<Receiver<Batch>>,
}

struct Machine {
    store: Rc<LogStore>,
    life: Option<Life>,
    first: bool,
    /// Until then its disk hangs, or refuses.
    stuck: Rc<Cell<Instant>>,
    refuses: Rc<Cell<bool>>,
}

/// All machines and what is between them.
pub struct World {
    machines: RefCell<BTreeMap<u32, Machine>>,
    cuts: RefCell<BTreeSet<(u32, u32)>>,
    chance: RefCell<Pcg64Mcg>,
    ended: RefCell<Vec<Rc<Receiver<Batch>>>>,
}

pub type Net = Rc<World>;

impl World {
    pub fn new(seed: u64) -> Net {
        let machine = |at| {
            let store = Rc::new(LogStore::in_memory().unwrap());
            let stuck = Rc::new(Cell::new(Instant::now()));
            (at, Machine { store, life: None, first: true, stuck, refuses: Rc::default() })
        };
        Rc::new(World {
            machines: RefCell::new((1..=MACHINES).map(machine).collect()),
            cuts: RefCell::default(),
            chance: RefCell::new(Pcg64Mcg::seed_from_u64(seed)),
            ended: RefCell::default(),
        })
    }

    pub fn draw(&self, span: std::ops::Range<u64>) -> u64 {
        self.chance.borrow_mut().random_range(span)
    }

    pub fn odds(&self, share: f64) -> bool {
        self.chance.borrow_mut().random_bool(share)
    }

    /// The process of a machine, if it runs.
    pub fn core(&self, at: u32) -> Option<Shared> {
        self.machines.borrow()[&at].life.as_ref().map(|life| Rc::clone(&life.core))
    }

    pub fn cores(&self) -> Vec<(u32, Shared)> {
        (1..=MACHINES).filter_map(|at| Some((at, self.core(at)?))).collect()
    }

    pub fn start(self: &Net, at: u32) {
        if self.core(at).is_some() {
            return;
        }
        let (store, first, stuck, refuses) = {
            let machines = &mut *self.machines.borrow_mut();
            let machine = machines.get_mut(&at).unwrap();
            let first = std::mem::take(&mut machine.first);
            (Rc::clone(&machine.store), first, Rc::clone(&machine.stuck), Rc::clone(&machine.refuses))
        };
        let (send, batches) = sync_channel(1);
        let batches = Rc::new(batches);
        let writes = Writes { stored: store.load().unwrap(), send };
        let core = Core::start(settings(at, first), writes, self.draw(0..u64::MAX)).unwrap();
        let writing = Rc::new(RefCell::new(None));
        let disk = Disk { store, stuck, refuses, writing: Rc::clone(&writing) };
        let mut tasks = vec![
            tokio::task::spawn_local(ticks(Rc::clone(&core))),
            tokio::task::spawn_local(disk.run(Rc::clone(self), Rc::clone(&core), Rc::clone(&batches))),
        ];
        tasks.extend((1..=MACHINES).filter(|to| *to != at).map(|to| self.link(&core, at, to)));
        self.machines.borrow_mut().get_mut(&at).unwrap().life = Some(Life { core, tasks, writing, batches });
    }

    /// What a machine sends to another, in order, on a connection of this life of both. What is on its way when a process is
    /// killed may still arrive.
    fn link(self: &Net, core: &Shared, from: u32, to: u32) -> JoinHandle<()> {
        let (mut queue, _) = core.borrow_mut().link(id(to));
        let net = Rc::clone(self);
        let own = Rc::downgrade(core);
        tokio::task::spawn_local(async move {
            let mut dialled: Option<(Shared, u64)> = None;
            while let Some(bytes) = queue.recv().await {
                sleep(ms(net.draw(1..15))).await;
                let Some(peer) = net.core(to).filter(|_| !net.cuts.borrow().contains(&(from, to))) else {
                    dialled = None;
                    continue;
                };
                // A process that has ended makes no connection.
                let lives =
                    own.upgrade().is_some_and(|own| net.core(from).is_some_and(|it| Rc::ptr_eq(&it, &own)));
                let known = dialled.as_ref().filter(|(known, _)| Rc::ptr_eq(known, &peer)).map(|(_, it)| *it);
                let connection = match known {
                    Some(number) => number,
                    None if lives => peer.borrow_mut().dialled_by(id(from)),
                    None => continue,
                };
                let message = wire::read_frame::<PeerMessage>(&mut bytes.as_slice()).await.unwrap();
                let current = Core::heard(&peer, id(from), connection, message);
                dialled = current.then_some((peer, connection));
            }
        })
    }

    /// Ends a process. What its disk was writing is down, or not; `wipe`: the disk is lost.
    pub fn kill(&self, at: u32, wipe: bool) {
        let down = self.odds(0.5);
        let machine = &mut *self.machines.borrow_mut();
        let machine = machine.get_mut(&at).unwrap();
        if let Some(life) = machine.life.take() {
            // Its clock and its disk; what its links hold may still arrive.
            life.tasks.iter().take(2).for_each(|task| task.abort());
            self.ended.borrow_mut().push(Rc::clone(&life.batches));
            if let Some(batch) = life.writing.borrow_mut().take().filter(|_| down) {
                machine.store.write(&batch).unwrap();
            }
        }
        if wipe {
            machine.store = Rc::new(LogStore::in_memory().unwrap());
        }
    }

    /// Whether no disk is lost or on its way back.
    pub fn whole(&self) -> bool {
        self.cores().len() == MACHINES as usize
            && self.cores().iter().all(|(_, core)| !core.borrow().member.has_lost_state())
    }

    pub fn cut(&self, at: u32, both_ways: bool) {
        for other in (1..=MACHINES).filter(|other| *other != at) {
            self.cuts.borrow_mut().insert((at, other));
            if both_ways {
                self.cuts.borrow_mut().insert((other, at));
            }
        }
    }

    pub fn join(&self) {
        self.cuts.borrow_mut().clear();
    }

    /// The disk hangs for so long; or refuses.
    pub fn stick(&self, at: u32, time: Duration, refuses: bool) {
        let machine = &self.machines.borrow()[&at];
        machine.stuck.set(Instant::now() + time);
        machine.refuses.set(refuses);
    }
}

struct Disk {
    store: Rc<LogStore>,
    stuck: Rc<Cell<Instant>>,
    refuses: Rc<Cell<bool>>,
    writing: Rc<RefCell<Option<Batch>>>,
}

impl Disk {
    async fn run(self, net: Net, core: Shared, batches: Rc<Receiver<Batch>>) {
        loop {
            let batch = match batches.try_recv() {
                Ok(batch) => batch,
                Err(TryRecvError::Empty) => {
                    sleep(DISK).await;
                    continue;
                }
                Err(TryRecvError::Disconnected) => return,
            };
            *self.writing.borrow_mut() = Some(batch);
            sleep(ms(net.draw(0..12))).await;
            while Instant::now() < self.stuck.get() {
                if self.refuses.get() {
                    Core::refused(&core, "no room");
                }
                sleep(REFUSED).await;
            }
            if let Some(batch) = self.writing.borrow_mut().take() {
                self.store.write(&batch).unwrap();
            }
            Core::saved(&core);
        }
    }
}
