//! The stand-ins around a group of instances, and what they saw: nodes that know who asked, and a platform that takes
//! every call, whatever it names, and counts. The checks of the rules read from that alone.

use milletwing_toy::discovery::{Discovery, Host};
use milletwing_toy::node::{Node, Reply};
use milletwing_toy::platform::Platform;
use std::collections::{BTreeMap, BTreeSet, HashMap};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Nodes, and how many of them run the build on trial at each stage; the caps of the stages.
pub const NODES: usize = 6;
/// The stages.
pub const STAGES: [(f64, usize); 3] = [(0.2, 2), (0.4, 3), (1.0, 4)];
/// The exposure rule of the example's settings: attempts free of the cap, and the window.
const ALLOWANCE: f64 = 3.0;
const WINDOW: Duration = Duration::from_secs(6);

/// A lock that a panicked thread doesn't spoil.
pub fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// An attempt as its node saw it.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// The instance that sent it, and which of its lives.
    pub by: (usize, u64),
    /// The build that the node ran.
    pub build: u32,
    /// When.
    pub at: Instant,
}

/// A call as the platform heard it.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Call {
    /// Milliseconds after the start.
    pub at_ms: u64,
    /// The instance.
    pub by: usize,
    /// The build and the stage that it named.
    pub build: u32,
    /// The stage.
    pub stage: u32,
    /// The verdict, in the platform's words.
    pub verdict: String,
}

struct Standing {
    build: u32,
    stage: u32,
    phase: &'static str,
    cap: f64,
    since: Instant,
}

/// How a build's trial ended, and when.
pub type End = (&'static str, Instant);

/// What the stand-ins saw.
pub struct Seen {
    began: Instant,
    /// Attempts at nodes.
    pub attempts: Vec<Attempt>,
    /// How often each request of a class that must not run twice has run.
    runs: HashMap<String, u32>,
    /// Requests sent to each life of an instance.
    pub asked: BTreeMap<(usize, u64), Vec<Instant>>,
    /// Calls of the platform.
    pub calls: Vec<Call>,
    /// Caps as they were told: when, build, cap.
    told: Vec<(Instant, u32, f64)>,
    /// When each build's trial began, and how it ended.
    pub builds: BTreeMap<u32, (Instant, Option<End>)>,
}

/// What the rules say of it.
#[derive(Clone, Debug, Default, PartialEq, serde::Serialize)]
pub struct Broken {
    /// Stages that two instances left by their calls.
    pub two_leaders_acted: u64,
    /// Stages left twice.
    pub advanced_twice: u64,
    /// Calls on after one back of the same build.
    pub advanced_after_back: u64,
    /// Requests that must not run twice and did.
    pub effects_twice: u64,
    /// Instances and builds whose exposure went above the cap.
    pub cap_broken: u64,
}

/// The world.
pub struct World {
    /// What was seen.
    pub seen: Arc<Mutex<Seen>>,
    standing: Arc<Mutex<Standing>>,
    /// By instance: its discovery, with node addresses of its own, and its platform.
    discoveries: Vec<Discovery>,
    platforms: Vec<Platform>,
    hosts: Vec<Vec<SocketAddr>>,
    runs: Vec<Arc<AtomicU32>>,
    /// Which life each instance is in.
    pub lives: Vec<Arc<AtomicU64>>,
    bad: fn(u64, u32) -> bool,
    seed: u64,
}

/// Whether a build is bad: of each seed's builds every second or so.
fn bad(seed: u64, build: u32) -> bool {
    use rand::{Rng, SeedableRng};
    rand_pcg::Pcg64Mcg::seed_from_u64(seed ^ (u64::from(build) << 32)).random_bool(0.5)
}

impl World {
    /// Stand-ins for so many instances.
    pub fn start(instances: usize, seed: u64) -> io::Result<World> {
        let began = Instant::now();
        let seen = Arc::new(Mutex::new(Seen {
            began,
            attempts: Vec::new(),
            runs: HashMap::new(),
            asked: BTreeMap::new(),
            calls: Vec::new(),
            told: Vec::new(),
            builds: BTreeMap::new(),
        }));
        let standing = Standing { build: 1, stage: 2, phase: "live", cap: 1.0, since: began };
        let standing = Arc::new(Mutex::new(standing));
        let runs: Vec<Arc<AtomicU32>> = (0..NODES).map(|_| Arc::new(AtomicU32::new(1))).collect();
        let lives: Vec<Arc<AtomicU64>> = (0..instances).map(|_| Arc::default()).collect();
        let (mut discoveries, mut platforms, mut hosts) = (Vec::new(), Vec::new(), Vec::new());
        for (by, life) in lives.iter().enumerate() {
            let mut own = Vec::new();
            for build in &runs {
                let (seen, build, life) = (seen.clone(), build.clone(), life.clone());
                let count = AtomicU64::new(0);
                let node = Node::start("127.0.0.1:0", move |message| {
                    let build = build.load(SeqCst);
                    {
                        let mut seen = locked(&seen);
                        seen.attempts.push(Attempt {
                            by: (by, life.load(SeqCst)),
                            build,
                            at: Instant::now(),
                        });
                        if message.get("X-Lane") == Some("pay") {
                            let id = message.get("X-Txn").unwrap_or_default().to_string();
                            *seen.runs.entry(id).or_default() += 1;
                        }
                    }
                    let fails = build > 1 && bad(seed, build) && count.fetch_add(1, SeqCst) % 5 < 2;
                    let reply = if fails {
                        Reply::Answer(500, Vec::new())
                    } else {
                        Reply::Answer(200, b"ok".to_vec())
                    };
                    Reply::After(Duration::from_millis(4), Box::new(reply))
                })?;
                own.push(node.addr);
            }
            let entries: Vec<Host> =
                own.iter().enumerate().map(|(at, addr)| Host::new(&format!("node-{at}"), *addr, 1)).collect();
            discoveries.push(Discovery::start("127.0.0.1:0", &entries)?);
            hosts.push(own);
            let (shared, state) = (seen.clone(), standing.clone());
            platforms.push(Platform::start("127.0.0.1:0", "1 2 live 1 60000", move |line| {
                Some(heard(by, line, &shared, &state))
            })?);
        }
        Ok(World { seen, standing, discoveries, platforms, hosts, runs, lives, bad, seed })
    }

    /// Where an instance finds discovery and the platform.
    pub fn places(&self, instance: usize) -> (SocketAddr, SocketAddr) {
        (self.discoveries[instance].addr, self.platforms[instance].addr)
    }

    /// The state in the platform's words.
    pub fn news(&self) -> (u32, u32, &'static str, f64) {
        let now = locked(&self.standing);
        (now.build, now.stage, now.phase, now.cap)
    }

    /// Follows what calls have done: tells it, places builds, and offers the next one. To be called often.
    pub fn follow(&self, told: &mut (u32, u32, &'static str)) {
        let (build, stage, phase, cap) = {
            let mut now = locked(&self.standing);
            let over = now.phase != "testing" && now.since.elapsed() >= Duration::from_millis(700);
            if over {
                *now = Standing {
                    build: now.build + 1,
                    stage: 0,
                    phase: "testing",
                    cap: STAGES[0].0,
                    since: Instant::now(),
                };
            }
            (now.build, now.stage, now.phase, now.cap)
        };
        if *told == (build, stage, phase) {
            return;
        }
        *told = (build, stage, phase);
        {
            let mut seen = locked(&self.seen);
            seen.told.push((Instant::now(), build, cap));
            let entry = seen.builds.entry(build).or_insert((Instant::now(), None));
            if phase != "testing" {
                entry.1 = Some((phase, Instant::now()));
            }
        }
        let old = if phase == "live" { build } else { self.last_kept(build) };
        let new = match phase {
            "testing" => STAGES[stage as usize].1,
            "live" => NODES,
            _ => 0,
        };
        // News first, then the list: as the marshals' cap is told, so are the machines.
        for platform in &self.platforms {
            platform.stage(&format!("{build} {stage} {phase} {cap} 0"));
        }
        for at in 0..NODES {
            let wanted = if at < new { build } else { old };
            if self.runs[at].swap(wanted, SeqCst) != wanted {
                for (discovery, hosts) in self.discoveries.iter().zip(&self.hosts) {
                    discovery.set(Host::new(&format!("node-{at}"), hosts[at], wanted));
                }
            }
        }
    }

    fn last_kept(&self, before: u32) -> u32 {
        let seen = locked(&self.seen);
        let kept = seen
            .builds
            .iter()
            .filter(|(build, end)| **build < before && end.1.is_some_and(|e| e.0 == "live"));
        kept.map(|(build, _)| *build).max().unwrap_or(1)
    }

    /// Builds that ended as they should not have: good ones sent back, and bad ones released.
    pub fn misjudged(&self) -> (u64, u64, u64) {
        let seen = locked(&self.seen);
        let ended = |wanted: &str, was_bad: bool| {
            let builds = seen.builds.iter().filter(|(build, (_, end))| {
                **build > 1
                    && (self.bad)(self.seed, **build) == was_bad
                    && end.is_some_and(|end| end.0 == wanted)
            });
            builds.count() as u64
        };
        let all = seen.builds.iter().filter(|(build, (_, end))| **build > 1 && end.is_some()).count();
        (all as u64, ended("recalled", false), ended("live", true))
    }

    /// What the rules say.
    pub fn check(&self) -> Broken {
        let seen = locked(&self.seen);
        let mut broken = Broken::default();
        let mut left: BTreeMap<(u32, u32), Vec<usize>> = BTreeMap::new();
        let mut back = BTreeSet::new();
        for call in &seen.calls {
            match call.verdict.as_str() {
                "promote" => {
                    broken.advanced_after_back += u64::from(back.contains(&call.build));
                    left.entry((call.build, call.stage)).or_default().push(call.by);
                }
                "abort" => drop(back.insert(call.build)),
                _ => {}
            }
        }
        for by in left.values() {
            broken.advanced_twice += u64::from(by.len() > 1);
            broken.two_leaders_acted += u64::from(by.iter().collect::<BTreeSet<_>>().len() > 1);
        }
        broken.effects_twice = seen.runs.values().filter(|runs| **runs > 1).count() as u64;
        broken.cap_broken = seen.cap_broken();
        broken
    }
}

impl Seen {
    /// In any window, attempts at a build on trial number at most the allowance, 2 more, and 4% above the highest cap
    /// that was told in it or 150 ms before, of what was asked.
    fn cap_broken(&self) -> u64 {
        let mut groups: BTreeMap<((usize, u64), u32), Vec<Instant>> = BTreeMap::new();
        for attempt in &self.attempts {
            groups.entry((attempt.by, attempt.build)).or_default().push(attempt.at);
        }
        let mut broken = 0;
        for ((by, build), mut times) in groups {
            let Some((_, end)) = self.builds.get(&build) else { continue };
            // Once it is released nothing is capped.
            let released = end.filter(|(how, _)| *how == "live").map(|(_, at)| at);
            times.sort();
            let empty = Vec::new();
            let asked = self.asked.get(&by).unwrap_or(&empty);
            let above = times.iter().enumerate().any(|(at, time)| {
                if released.is_some_and(|released| *time >= released) {
                    return false;
                }
                let from = time.checked_sub(WINDOW).unwrap_or(self.began);
                let count = times[..=at].iter().filter(|other| **other > from).count() as f64;
                let taken = asked.iter().filter(|asked| **asked > from && **asked <= *time).count() as f64;
                let early = from.checked_sub(Duration::from_millis(150)).unwrap_or(self.began);
                let caps = self.told.iter().filter(|(_, of, _)| *of == build);
                // The cap in force as the window began, and those told in it.
                let before = caps.clone().rfind(|(told, ..)| *told <= early).map(|(_, _, cap)| *cap);
                let within =
                    caps.filter(|(told, ..)| *told > early && *told <= *time).map(|(_, _, cap)| *cap);
                let first = STAGES[0].0; // not yet announced, a build counts as in its first stage
                let cap = within.chain(before).fold(first * f64::from(u8::from(before.is_none())), f64::max);
                count > ALLOWANCE + 2.0 + cap * 1.04 * taken
            });
            broken += u64::from(above);
        }
        broken
    }
}

/// The platform hears a call, and takes it whatever it names.
fn heard(by: usize, line: &str, seen: &Mutex<Seen>, standing: &Mutex<Standing>) -> String {
    let words: Vec<&str> = line.split(' ').collect();
    let number = |at: usize| words.get(at).and_then(|word| word.parse::<u32>().ok()).unwrap_or(0);
    let verdict = words.get(3).copied().unwrap_or("").to_string();
    let mut now = locked(standing);
    {
        let mut seen = locked(seen);
        let at_ms = seen.began.elapsed().as_millis() as u64;
        seen.calls.push(Call { at_ms, by, build: number(1), stage: number(2), verdict: verdict.clone() });
    }
    // It moves on with every call, whatever stage that names, as long as something is on trial.
    let (stage, phase, cap) = match verdict.as_str() {
        "promote" if now.phase == "testing" && (now.stage as usize) + 1 < STAGES.len() => {
            (now.stage + 1, "testing", STAGES[now.stage as usize + 1].0)
        }
        "promote" if now.phase == "testing" => (now.stage, "live", 1.0),
        "abort" => (now.stage, "recalled", 0.0),
        _ => (now.stage, now.phase, now.cap),
    };
    if (stage, phase) != (now.stage, now.phase) {
        (now.stage, now.phase, now.cap, now.since) = (stage, phase, cap, Instant::now());
    }
    format!("OK {} {} {} {} {}", now.build, now.stage, now.phase, now.cap, now.since.elapsed().as_millis())
}
