//! Real instances of a group on loopback, in processes of their own, under faults drawn from a seed.

use crate::client::{Client, Counts};
use crate::config;
use crate::faults::{draw, Fault};
use crate::links::Link;
use crate::world::{locked, Broken, World};
use hdrhistogram::Histogram;
use indicatif::{ProgressBar, ProgressStyle};
use milletwing_admin as admin;
use milletwing_group_server::admin::Call;
use milletwing_group_server::settings::Settings;
use milletwing_group_server::store::Store;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;
use rustix::process::{kill_process, Pid, Signal};
use serde_json::{json, Value};
use std::collections::BTreeSet;
use std::net::{SocketAddr, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// What a run is told.
#[derive(Clone, Debug)]
pub struct Options {
    /// Instances.
    pub instances: usize,
    /// The seed of its faults and builds.
    pub seed: u64,
    /// Its length.
    pub seconds: u64,
    /// Without faults.
    pub calm: bool,
    /// Without traffic.
    pub idle: bool,
    /// Without the group: each judges alone.
    pub alone: bool,
    /// Without a progress line.
    pub quiet: bool,
    /// The program that runs an instance, and its first words.
    pub program: PathBuf,
}

/// Ticks of the instances, in milliseconds, and ticks of an election.
const TICK_MS: u64 = 25;
const ELECTION: u64 = 10;

/// Ended with the trial, whatever becomes of it.
struct Running(Child);

impl Drop for Running {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

struct Instance {
    listen: SocketAddr,
    admin: SocketAddr,
    files: [PathBuf; 2],
    running: Option<Running>,
    /// Odd while it is disturbed: killed or paused.
    epoch: Arc<AtomicU64>,
    /// What it said last of itself: leads, term, when.
    said: Arc<Mutex<Option<(bool, u64, Instant)>>>,
    back_at: Option<(Instant, bool)>,
}

impl Instance {
    fn start(&mut self, program: &Path, alone: bool, logs: &Path) -> Result<(), String> {
        let log =
            std::fs::OpenOptions::new().create(true).append(true).open(logs).map_err(|p| p.to_string())?;
        let mut command = Command::new(program);
        command.arg("instance").arg("--config").arg(&self.files[0]);
        if !alone {
            command.arg("--group").arg(&self.files[1]);
        }
        let spawned = command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(log).spawn();
        self.running = Some(Running(spawned.map_err(|problem| format!("{}: {problem}", program.display()))?));
        let until = Instant::now() + Duration::from_secs(10);
        while TcpStream::connect_timeout(&self.listen, Duration::from_millis(200)).is_err() {
            if Instant::now() >= until {
                return Err(format!("the instance at {} did not start; see {}", self.listen, logs.display()));
            }
            std::thread::sleep(Duration::from_millis(5));
        }
        Ok(())
    }
    fn sign(&self, signal: Signal) {
        let pid = self.running.as_ref().and_then(|running| Pid::from_raw(running.0.id() as i32));
        if let Some(pid) = pid {
            let _ = kill_process(pid, signal); // our own child; it may have ended
        }
    }
    fn running(&self) -> bool {
        self.epoch.load(SeqCst).is_multiple_of(2)
    }
}

/// Links by sender and receiver.
type Links = Vec<Vec<Option<Link>>>;

fn free() -> Result<SocketAddr, String> {
    milletwing_toy::free().map_err(|problem| problem.to_string())
}

/// Processor time and memory of a process, in milliseconds and KiB, as the kernel tells them.
fn usage(pid: u32) -> (u64, u64) {
    let stat = std::fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after = stat.rsplit(") ").next().unwrap_or_default().split(' ').collect::<Vec<_>>();
    let ticks: u64 = [11, 12].iter().filter_map(|at| after.get(*at)?.parse::<u64>().ok()).sum();
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let rss =
        status.lines().find_map(|line| line.strip_prefix("VmRSS:")?.trim().strip_suffix(" kB")?.parse().ok());
    (ticks * 10, rss.unwrap_or(0))
}

fn setup(options: &Options, world: &World, folder: &Path) -> Result<(Vec<Instance>, Links), String> {
    let count = options.instances;
    let listens: Vec<SocketAddr> = (0..count).map(|_| free()).collect::<Result<_, _>>()?;
    let links: Links = (0..count)
        .map(|from| {
            (0..count)
                .map(|to| (from != to).then(|| Link::start(listens[to])).transpose())
                .collect::<Result<_, _>>()
        })
        .collect::<Result<_, _>>()
        .map_err(|problem| problem.to_string())?;
    std::fs::write(folder.join("secret"), "a secret of trials, 16 bytes and more")
        .map_err(|p| p.to_string())?;
    let members: serde_json::Map<String, Value> = listens
        .iter()
        .enumerate()
        .map(|(at, listen)| ((at + 1).to_string(), json!(listen.to_string())))
        .collect();
    let mut instances = Vec::new();
    for at in 0..count {
        let (listen, admin) = (free()?, free()?);
        let (discovery, platform) = world.places(at);
        let text = config::marshal(&format!("i{}", at + 1), discovery, platform, |value| {
            value["listen"] = json!(listen.to_string());
            value["seed"] = json!(format!("{:016x}", options.seed.wrapping_mul(31).wrapping_add(at as u64)));
            value["platform"]["news"] =
                json!({"image": 1, "ring": 2, "progress": "live", "ceiling": 1.0, "lag_ms": 60000});
            value["settings"]["balancers"] = json!(count);
            value["settings"]["me"] = json!(at);
            value["settings"]["domain"]["answer-wait-ms"] = json!(500);
            value["settings"]["domain"]["stage-cap"] = json!(crate::world::STAGES.map(|stage| stage.0));
        })?;
        let routes: serde_json::Map<String, Value> = (links[at].iter().enumerate())
            .filter_map(|(to, link)| Some(((to + 1).to_string(), json!(link.as_ref()?.at.to_string()))))
            .collect();
        let group = json!({
            "group": "trial", "member": at + 1, "listen": listens[at].to_string(), "admin": admin.to_string(),
            "secret_file": "secret", "store": format!("store-{}.redb", at + 1), "members": members, "routes": routes,
            "tick_ms": TICK_MS, "election_ticks": ELECTION, "grant_ms": 1500, "report_ms": 100, "snapshot_every": 256,
        });
        let files =
            [folder.join(format!("marshal-{}.json", at + 1)), folder.join(format!("group-{}.json5", at + 1))];
        std::fs::write(&files[0], text).map_err(|problem| problem.to_string())?;
        std::fs::write(&files[1], group.to_string()).map_err(|problem| problem.to_string())?;
        if !options.alone {
            Store::make(&Settings::from_file(&files[1].display().to_string())?, true)?;
        }
        let (epoch, said) = (Arc::default(), Arc::default());
        instances.push(Instance { listen, admin, files, running: None, epoch, said, back_at: None });
    }
    Ok((instances, links))
}

/// What clients count together.
struct Traffic {
    counts: Mutex<Counts>,
    lost: AtomicU64,
    over: AtomicBool,
    times: Mutex<Histogram<u64>>,
}

fn traffic(at: usize, number: u64, instance: &Instance, world: &World, traffic: &Arc<Traffic>) {
    let (listen, epoch, life) = (instance.listen, instance.epoch.clone(), world.lives[at].clone());
    let (seen, traffic) = (world.seen.clone(), traffic.clone());
    std::thread::spawn(move || {
        let mut client = Client::new(listen);
        for round in 0u64.. {
            if traffic.over.load(SeqCst) {
                return;
            }
            std::thread::sleep(Duration::from_millis(15));
            let before = epoch.load(SeqCst);
            if before % 2 == 1 {
                client = Client::new(listen);
                continue;
            }
            locked(&seen).asked.entry((at, life.load(SeqCst))).or_default().push(Instant::now());
            let from = Instant::now();
            let status = client.ask(round as usize % 3, &format!("t{at}-{number}-{round}"));
            locked(&traffic.counts).add(status);
            let _ = locked(&traffic.times).record(from.elapsed().as_micros() as u64); // within its range
                                                                                      // What a marshal held when it was killed or stood still is no longer its duty.
            if status.is_none() && epoch.load(SeqCst) == before {
                traffic.lost.fetch_add(1, SeqCst);
            }
        }
    });
}

/// Asks an instance how it stands, often, as long as the trial goes on.
fn watch(instance: &Instance, over: &Arc<Traffic>, pause: Duration) {
    let (admin, said, over) = (instance.admin, instance.said.clone(), over.clone());
    std::thread::spawn(move || {
        while !over.over.load(SeqCst) {
            let status = admin::call(admin, &Call::Status).ok();
            let leads = status.map(|s| (s["leads"] == true, s["term"].as_u64().unwrap_or(0), Instant::now()));
            *locked(&said) = leads;
            std::thread::sleep(pause);
        }
    });
}

/// Runs a trial. An error where something could not start.
pub fn run(options: &Options) -> Result<Value, String> {
    let folder = tempfile::tempdir().map_err(|problem| problem.to_string())?;
    let world = World::start(options.instances, options.seed).map_err(|problem| problem.to_string())?;
    let (mut instances, links) = setup(options, &world, folder.path())?;
    let logs = |at: usize| folder.path().join(format!("log-{}", at + 1));
    for (at, instance) in instances.iter_mut().enumerate() {
        instance.start(&options.program, options.alone, &logs(at))?;
    }
    let clients = Arc::new(Traffic {
        counts: Mutex::default(),
        lost: AtomicU64::new(0),
        over: AtomicBool::new(false),
        times: Mutex::new(
            Histogram::new_with_bounds(1, 60_000_000, 3).map_err(|problem| problem.to_string())?,
        ),
    });
    for (at, instance) in instances.iter().enumerate() {
        if !options.alone {
            // What is measured while idle must not be its being asked.
            watch(instance, &clients, Duration::from_millis(if options.idle { 1000 } else { 10 }));
        }
        for number in 0..if options.idle { 0 } else { 3 } {
            traffic(at, number, instance, &world, &clients);
        }
    }
    let bar = if options.quiet { ProgressBar::hidden() } else { ProgressBar::new(options.seconds) };
    let style =
        ProgressStyle::with_template("{elapsed_precise} {bar:30} {msg}").map_err(|p| p.to_string())?;
    bar.set_style(style);
    let mut dice = Pcg64Mcg::seed_from_u64(options.seed);
    let began = Instant::now();
    let end = began + Duration::from_secs(options.seconds);
    let down = |instances: &[Instance]| instances.iter().filter(|instance| !instance.running()).count();
    let (wait, mut fault) = draw(&mut dice, options.instances, 0);
    let mut next = began + Duration::from_millis(wait + 1500);
    let (mut partitions, mut kills, mut pauses, mut handovers) = (0u64, 0u64, 0u64, 0u64);
    let mut apart: BTreeSet<usize> = BTreeSet::new();
    let mut terms = BTreeSet::new();
    let mut gaps =
        Histogram::<u64>::new_with_bounds(1, 3_600_000, 3).map_err(|problem| problem.to_string())?;
    let mut gap: Option<(Instant, bool)> = None;
    let mut told = (1, 2, "live");
    let mut usages: [Vec<(u64, u64)>; 2] = Default::default();
    while Instant::now() < end {
        std::thread::sleep(Duration::from_millis(5));
        let now = Instant::now();
        if !options.idle {
            world.follow(&mut told);
        } else if usages[0].is_empty() && began.elapsed() > Duration::from_secs(2) {
            usages[0] = measure(&instances);
        }
        for (at, instance) in instances.iter_mut().enumerate() {
            if let Some((_, killed)) = instance.back_at.filter(|(due, _)| now >= *due) {
                instance.back_at = None;
                if killed {
                    world.lives[at].fetch_add(1, SeqCst);
                    instance.start(&options.program, options.alone, &logs(at))?;
                } else {
                    instance.sign(Signal::CONT);
                }
                instance.epoch.fetch_add(1, SeqCst);
            }
            if instance.running.as_mut().is_some_and(|r| r.0.try_wait().is_ok_and(|ended| ended.is_some()))
                && instance.back_at.is_none()
            {
                return Err(format!("instance {} ended by itself: {}", at + 1, tail(&logs(at))));
            }
        }
        // Whether somebody leads, where a majority could elect one.
        let could = options.instances - down(&instances) - apart.len() > options.instances / 2;
        let fresh = |said: &(bool, u64, Instant)| said.0 && said.2.elapsed() < Duration::from_millis(100);
        let leads: Vec<u64> =
            instances.iter().filter_map(|i| locked(&i.said).filter(fresh).map(|said| said.1)).collect();
        terms.extend(leads.iter().copied());
        // A time without a leader counts where a majority could have elected one all along.
        match (leads.is_empty(), &mut gap) {
            (true, None) => gap = Some((now, could)),
            (true, Some((_, clean))) => *clean &= could,
            (false, _) => {
                if let Some((since, _)) = gap.take().filter(|(_, clean)| *clean && !options.alone) {
                    let _ = gaps.record(since.elapsed().as_millis() as u64); // within its range
                }
            }
        }
        if options.calm || now < next {
            continue;
        }
        match &fault {
            Fault::Partition { apart: some, one_way } => {
                partitions += 1;
                apart = some.iter().copied().collect();
                for (from, row) in links.iter().enumerate() {
                    for (to, link) in row.iter().enumerate() {
                        let out = some.contains(&from) && !some.contains(&to);
                        let back = !some.contains(&from) && some.contains(&to);
                        link.iter().for_each(|link| link.cut(out || (back && !one_way)));
                    }
                }
            }
            Fault::Heal => {
                apart.clear();
                links.iter().flatten().flatten().for_each(|link| link.cut(false));
            }
            Fault::Pause(at, time) | Fault::Kill(at, time) if instances[*at].running() => {
                let instance = &mut instances[*at];
                instance.epoch.fetch_add(1, SeqCst);
                let killed = matches!(fault, Fault::Kill(..));
                if killed {
                    kills += 1;
                    instance.running = None;
                } else {
                    pauses += 1;
                    instance.sign(Signal::STOP);
                }
                instance.back_at = Some((now + Duration::from_millis(*time), killed));
            }
            Fault::Pause(..) | Fault::Kill(..) => {}
            Fault::HandOver => {
                let leads = |i: &Instance| i.running() && locked(&i.said).filter(fresh).is_some();
                if let Some(at) = instances.iter().position(leads) {
                    let to = (at + 1) % options.instances;
                    let call = Call::Transfer { to: to as u64 + 1 };
                    handovers += u64::from(admin::call(instances[at].admin, &call).is_ok());
                }
            }
        }
        bar.set_position(began.elapsed().as_secs());
        let (build, stage, phase, _) = world.news();
        bar.set_message(format!("build {build} stage {stage} {phase}; {fault:?}"));
        let wait;
        (wait, fault) = draw(&mut dice, options.instances, down(&instances));
        next = Instant::now() + Duration::from_millis(wait);
    }
    bar.finish_and_clear();
    clients.over.store(true, SeqCst);
    if options.idle {
        usages[1] = measure(&instances);
    }
    let status = instances
        .iter()
        .filter(|i| i.running() && !options.alone)
        .find_map(|i| admin::call(i.admin, &Call::Status).ok().filter(|status| status["leads"] == true));
    for instance in &instances {
        instance.sign(Signal::CONT);
    }
    std::thread::sleep(Duration::from_millis(1200)); // what is out has its answer by then
    let broken = world.check();
    let counts = *locked(&clients.counts);
    let lost = clients.lost.load(SeqCst);
    let (builds, good_back, bad_live) = world.misjudged();
    let times = locked(&clients.times);
    let election = (TICK_MS * ELECTION) as f64;
    let [gap_p50, gap_p99] = [0.5, 0.99].map(|part| gaps.value_at_quantile(part));
    let Broken { two_leaders_acted, advanced_twice, advanced_after_back, effects_twice, cap_broken } =
        broken.clone();
    let held = broken == Broken::default() && lost == 0;
    let mut result = json!({
        "instances": options.instances, "seed": options.seed, "seconds": options.seconds,
        "elections": terms.len(), "handovers": handovers, "partitions": partitions, "kills": kills, "pauses": pauses,
        "calls": locked(&world.seen).calls.len(),
        "two_leaders_acted": two_leaders_acted, "advanced_twice": advanced_twice,
        "advanced_after_back": advanced_after_back, "lost_requests": lost, "effects_twice": effects_twice,
        "cap_broken": cap_broken, "held": held,
        "without_leader_ms": { "times": gaps.len(), "p50": gap_p50, "p99": gap_p99 },
        "without_leader_elections": { "p50": gap_p50 as f64 / election, "p99": gap_p99 as f64 / election },
        "builds_ended": builds, "good_sent_back": good_back, "bad_released": bad_live,
        "requests": counts, "per_second": counts.asked as f64 / options.seconds as f64,
        "answer_ms": { "p50": times.value_at_quantile(0.5) as f64 / 1000.0, "p99": times.value_at_quantile(0.99) as f64 / 1000.0 },
    });
    if options.idle {
        let seconds = began.elapsed().as_secs_f64() - 2.0 - 1.2;
        let cpu: u64 = usages[1].iter().zip(&usages[0]).map(|(after, before)| after.0 - before.0).sum();
        let sent: u64 = usages[1].iter().zip(&usages[0]).map(|(after, before)| after.1 - before.1).sum();
        result["idle"] =
            json!({ "cpu_ms_per_s": cpu as f64 / seconds, "bytes_per_s": sent as f64 / seconds });
    }
    if let Some(status) = status {
        result["commit_ms"] = status["commit_ms"].clone();
    }
    if !held {
        let kept = folder.keep();
        result["logs"] = json!(kept.display().to_string());
        result["heard"] = json!(locked(&world.seen).calls);
    }
    Ok(result)
}

fn tail(path: &Path) -> String {
    let text = std::fs::read_to_string(path).unwrap_or_default();
    text.lines().rev().take(3).collect::<Vec<_>>().join(" | ")
}

/// Processor milliseconds and bytes sent of each instance so far.
fn measure(instances: &[Instance]) -> Vec<(u64, u64)> {
    let of = |instance: &Instance| {
        let cpu = instance.running.as_ref().map_or(0, |running| usage(running.0.id()).0);
        let sent =
            admin::call(instance.admin, &Call::Status).ok().and_then(|status| status["bytes_sent"].as_u64());
        (cpu, sent.unwrap_or(0))
    };
    instances.iter().map(of).collect()
}
