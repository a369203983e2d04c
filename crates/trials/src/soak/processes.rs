//! The processes of a soak: their settings, starts, signals and ends.

use super::calls::call;
use super::ledger::{Ledger, Life};
use super::Options;
use rustix::process::{kill_process, Pid, Signal};
use std::collections::BTreeMap;
use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::os::unix::process::ExitStatusExt;
use std::path::PathBuf;
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Ports, the same on every address.
pub const CONTROL: u16 = 8544;
const DIRECTORY: u16 = 8546;
/// Where edges take clients.
pub const INGRESS: u16 = 8548;
const READINESS: u16 = 8542;
const METRICS: u16 = 7553;
/// Seconds that a process has to leave, before it is killed.
pub const GRACE_S: u64 = 4;
/// Seconds within which an order is acknowledged, and within which an evacuated zone gets nothing more.
pub const ACK_S: u64 = 2;
pub const EVACUATION_S: u64 = 1;
/// Loopback networks to choose from, and the host by which one is reserved.
const NETWORKS: u32 = 199;
const RESERVATION_HOST: u32 = 65_000;
/// The first host of the edges, and of the marshals.
const EDGES: u32 = 20;
const MARSHALS: u32 = 2_000;
/// Zones with their regions: machines stand in them by turns.
pub const ZONES: [(&str, &str); 4] = [("a", "north"), ("b", "south"), ("c", "north"), ("d", "south")];
/// Between two looks at what has ended or is not there yet.
const LOOK: Duration = Duration::from_millis(20);

/// What a machine runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// Carries requests.
    Edge,
    /// Agrees.
    Core,
}

impl Role {
    fn word(self) -> &'static str {
        match self {
            Role::Edge => "edge-proxy",
            Role::Core => "control-plane",
        }
    }
}

struct Machine {
    role: Role,
    child: Option<Child>,
    life: u64,
    /// It was told to end, and when.
    leaves: Option<Instant>,
    /// It was killed by us.
    killed: bool,
    still: bool,
}

/// A process in one life of a host.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Running {
    host: u32,
    life: u64,
    pid: Pid,
}

/// All machines.
pub struct Site {
    base: u32,
    /// Keeps other sites from the same network.
    _reservation: TcpListener,
    folder: tempfile::TempDir,
    program: PathBuf,
    core: u32,
    edges: u32,
    machines: Mutex<BTreeMap<u32, Machine>>,
    starts: Mutex<u64>,
    began: Instant,
    ledger: Arc<Ledger>,
    guarantees: String,
}

/// Finds a loopback network that no other site uses. Errors: there is none.
fn reserve_network() -> Result<(u32, TcpListener), String> {
    let networks = (0..NETWORKS).map(|turn| (std::process::id() + turn) % NETWORKS + 1);
    let reserved = networks.into_iter().find_map(|network| {
        let base = 0x7f00_0000 + network * 0x1_0000;
        let address = SocketAddrV4::new(Ipv4Addr::from_bits(base + RESERVATION_HOST), CONTROL);
        Some((base, TcpListener::bind(address).ok()?))
    });
    reserved.ok_or_else(|| "no free loopback network".into())
}

impl Site {
    /// Nothing runs yet. Errors: no folder.
    pub fn new(options: &Options, ledger: Arc<Ledger>) -> Result<Site, String> {
        let (base, reservation) = reserve_network()?;
        let folder = tempfile::Builder::new().prefix("soak-").tempdir().map_err(|why| why.to_string())?;
        Ok(Site {
            base,
            _reservation: reservation,
            folder,
            program: options.program.clone(),
            core: options.core,
            edges: options.edges,
            machines: Mutex::default(),
            starts: Mutex::default(),
            began: Instant::now(),
            ledger,
            guarantees: format!("graceS = {GRACE_S}\nackS = {ACK_S}\nevacuationS = {EVACUATION_S}\n"),
        })
    }

    /// Other guarantees, as lines of the settings file.
    pub fn with_guarantees(mut self, guarantees: String) -> Site {
        self.guarantees = guarantees;
        self
    }

    fn machines(&self) -> MutexGuard<'_, BTreeMap<u32, Machine>> {
        self.machines.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// An address of a host.
    pub fn at(&self, host: u32, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from_bits(self.base + host), port)
    }

    /// Hosts of a role.
    pub fn hosts(&self, role: Role) -> Vec<u32> {
        match role {
            Role::Core => (1..=self.core).collect(),
            Role::Edge => (EDGES..EDGES + self.edges).collect(),
        }
    }

    /// The core machines.
    pub fn core_hosts(&self) -> Vec<u32> {
        self.hosts(Role::Core)
    }

    /// The edges.
    pub fn edge_hosts(&self) -> Vec<u32> {
        self.hosts(Role::Edge)
    }

    /// The host of a marshal.
    pub fn marshal(&self, number: u32) -> u32 {
        MARSHALS + number
    }

    /// A host's zone and region.
    pub fn zone(&self, host: u32) -> (&'static str, &'static str) {
        ZONES[host as usize % ZONES.len()]
    }

    /// The life that a host is in.
    pub fn life(&self, host: u32) -> Life {
        (host, self.machines().get(&host).map_or(0, |machine| machine.life))
    }

    /// Where clients of a region are sent by a machine of the core, if it says so.
    pub async fn resolve(&self, core: u32, region: &str) -> Option<Vec<SocketAddrV4>> {
        let path = format!("/milletwing/resolution?name=h.example&region={region}");
        let (status, text) = call(self.at(core, DIRECTORY), "GET", &path, "", "").await?;
        let read: serde_json::Value = serde_json::from_str(&text).ok().filter(|_| status == 200)?;
        let addresses = read["addresses"].as_array()?;
        Some(addresses.iter().filter_map(|it| it.as_str()?.parse().ok()).collect())
    }

    /// The host of an edge's address.
    pub fn host_of(&self, address: SocketAddrV4) -> u32 {
        address.ip().to_bits().wrapping_sub(self.base)
    }

    /// Writes a host's settings; `turn` moves the seeds round.
    pub fn settle(&self, role: Role, host: u32, first: bool, turn: u32) -> Result<PathBuf, String> {
        let seeds: Vec<String> = (0..self.core.min(3))
            .map(|at| format!("\"{}\"", self.at(1 + (at + turn) % self.core, CONTROL)))
            .collect();
        let zones: Vec<String> =
            ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        let (zone, region) = self.zone(host);
        let disk = self.folder.path().join(format!("disk{host}"));
        let text = format!(
            "[self]\nnodeName = \"{role}-{host}\"\nipAddress = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\n\
             counted = {counted}\ninitialAttach = {first}\nstateDir = \"{disk}\"\n\
             [self.thresholds]\nmaxFiles = 1000\n\
             [network]\ninternalPorts = [7540, 7555]\nseedList = [{seeds}]\n\
             [network.bindings]\ncontrolPlane = \"{control}\"\ndirectoryPort = \"{directory}\"\ningress = \"{ingress}\"\n\
             readiness = \"{readiness}\"\n\
             [network.zones]\n{zones}[timers.resilience]\nmachineLosses = {losses}\n[timers.guarantees]\n{guarantees}",
            role = role.word(),
            ip = self.at(host, 0).ip(),
            counted = role == Role::Core,
            disk = disk.display(),
            seeds = seeds.join(", "),
            control = self.at(host, CONTROL),
            directory = self.at(host, DIRECTORY),
            ingress = self.at(host, INGRESS),
            readiness = self.at(host, READINESS),
            zones = zones.concat(),
            losses = (self.core - 1) / 2,
            guarantees = self.guarantees,
        );
        let path = self.folder.path().join(format!("settings{host}.toml"));
        // Whole at any moment: a process may start, or look, just now. A file of its own for each call: another may settle the same host.
        let new = tempfile::NamedTempFile::new_in(self.folder.path()).map_err(|why| why.to_string())?;
        std::fs::write(new.path(), text).map_err(|why| why.to_string())?;
        new.persist(&path).map_err(|why| why.to_string())?;
        Ok(path)
    }

    /// A line in the soak's own log, with milliseconds from its start: what was done to whom.
    fn note(&self, what: &str) {
        let line = format!("{:>7} {what}\n", self.began.elapsed().as_millis());
        let log = File::options().create(true).append(true).open(self.folder.path().join("soak.log"));
        let _ = log.and_then(|mut log| log.write_all(line.as_bytes())); // the judge doesn't need it
    }

    fn start(&self, role: Role, host: u32, first: bool) -> Result<(), String> {
        // At the very first start all are told the same seeds; later lists may differ.
        let settings = self.settle(role, host, first, if first { 0 } else { host })?;
        let log = self.folder.path().join(format!("{}-{host}.log", role.word()));
        let log = File::options().create(true).append(true).open(log).map_err(|why| why.to_string())?;
        // Counted before it runs: what it says at once must not be taken for a word of the life before.
        let life = self.begin_life(role, host);
        let child = Command::new(&self.program)
            .arg(role.word())
            .args(["--metrics", &format!("{METRICS}/metrics")])
            .env("MILLETWING_BOOT", settings)
            .stderr(log.try_clone().map_err(|why| why.to_string())?)
            .stdout(log)
            .stdin(Stdio::null())
            .spawn()
            .map_err(|why| format!("{}: {why}", self.program.display()))?;
        if let Some(machine) = self.machines().get_mut(&host) {
            machine.child = Some(child);
        }
        self.note(&format!("starts {host}, life {life}"));
        *self.starts.lock().unwrap_or_else(PoisonError::into_inner) += 1;
        Ok(())
    }

    /// A host's next life, whose process is not there yet.
    fn begin_life(&self, role: Role, host: u32) -> u64 {
        let machines = &mut *self.machines();
        let life = machines.get(&host).map_or(0, |machine| machine.life) + 1;
        let machine = Machine { role, child: None, life, leaves: None, killed: false, still: false };
        machines.insert(host, machine);
        self.ledger.disturbed(host, role == Role::Core);
        life
    }

    /// Starts all machines, for the first time.
    pub fn start_all(&self) -> Result<(), String> {
        for role in [Role::Core, Role::Edge] {
            self.hosts(role).into_iter().try_for_each(|host| self.start(role, host, true))?;
        }
        Ok(())
    }

    /// Sends a signal to a host's process, if it runs and was not told to end before. Gives whether it was sent.
    pub fn signal(&self, host: u32, signal: Signal) -> bool {
        let machines = &mut *self.machines();
        let Some(machine) = machines.get_mut(&host) else { return false };
        let Some(child) = machine.child.as_mut() else { return false };
        if matches!(child.try_wait(), Ok(Some(_)) | Err(_)) {
            return false;
        }
        let again = machine.leaves.is_some() && signal == Signal::TERM;
        let Some(pid) = Pid::from_raw(child.id() as i32).filter(|_| !again) else { return false };
        match signal {
            Signal::TERM => {
                machine.leaves = Some(Instant::now());
                self.ledger.told_to_end((host, machine.life));
            }
            Signal::KILL => machine.killed = true,
            Signal::STOP => machine.still = true,
            Signal::CONT => machine.still = false,
            _ => {}
        }
        self.note(&format!("{signal:?} to {host}, life {}", machine.life));
        if signal != Signal::HUP {
            self.ledger.disturbed(host, machine.role == Role::Core);
        }
        if matches!(signal, Signal::KILL | Signal::STOP) {
            self.ledger.harmed((host, machine.life));
        }
        kill_process(pid, signal).is_ok()
    }

    /// The process that a host runs now, unless it stands still.
    pub fn running(&self, host: u32) -> Option<Running> {
        let machines = self.machines();
        let machine = machines.get(&host).filter(|machine| !machine.still)?;
        Some(Running { host, life: machine.life, pid: Pid::from_raw(machine.child.as_ref()?.id() as i32)? })
    }

    /// Stops a process for a moment, or lets it go on, unless it has ended or was told to stand still; this is no harm of which
    /// nothing would be asked. Gives whether it was done.
    pub fn interrupt(&self, process: &Running, signal: Signal) -> bool {
        let machines = &mut *self.machines();
        let machine = machines.get_mut(&process.host);
        let Some(machine) = machine.filter(|machine| machine.life == process.life && !machine.still) else {
            return false;
        };
        self.ledger.disturbed(process.host, machine.role == Role::Core);
        let runs = machine.child.as_mut().is_some_and(|child| matches!(child.try_wait(), Ok(None)));
        runs && kill_process(process.pid, signal).is_ok()
    }

    /// Hosts whose processes stand still.
    pub fn still(&self) -> Vec<u32> {
        self.machines().iter().filter(|(_, machine)| machine.still).map(|(host, _)| *host).collect()
    }

    /// Notes what has ended, kills what had its time to leave, and starts again what is down.
    pub fn tend(&self) {
        let mut down = Vec::new();
        for (host, machine) in self.machines().iter_mut() {
            let Some(child) = machine.child.as_mut() else { continue };
            if let Ok(Some(status)) = child.try_wait() {
                self.note_end(*host, machine, status);
                down.push((*host, machine.role));
            } else if machine.leaves.is_some_and(|since| since.elapsed() > Duration::from_secs(GRACE_S)) {
                machine.killed = true;
                self.ledger.harmed((*host, machine.life));
                let _ = child.kill(); // it may have ended meanwhile
            }
        }
        for (host, role) in down {
            if let Err(why) = self.start(role, host, false) {
                self.ledger.broken("START", why);
            }
        }
    }

    fn note_end(&self, host: u32, machine: &mut Machine, status: ExitStatus) {
        machine.child = None;
        self.ledger.disturbed(host, machine.role == Role::Core);
        self.note(&format!("ended {host}, life {}: {status}", machine.life));
        // One that was told to end as it started ends by the signal itself.
        let in_order = status.success() || status.signal() == Some(Signal::TERM.as_raw());
        let asked = machine.killed || (machine.leaves.is_some() && in_order);
        if !asked {
            self.ledger.harmed((host, machine.life));
            self.ledger.broken("FAULT", format!("{:?} {host} ended by itself: {status}", machine.role));
        }
    }

    /// Everything runs again, and is left alone.
    pub fn calm(&self) {
        for host in self.still() {
            self.signal(host, Signal::CONT);
        }
    }

    /// Waits until so many edges are ready. Errors: they are not in that time.
    pub async fn serving(&self, edges: u32, within: Duration) -> Result<(), String> {
        let end = Instant::now() + within;
        while Instant::now() < end {
            self.tend();
            let mut ready = 0;
            for host in self.hosts(Role::Edge) {
                let answer = call(self.at(host, READINESS), "GET", "/milletwing/readiness", "", "").await;
                ready += u32::from(answer.is_some_and(|(status, _)| status == 200));
            }
            if ready >= edges {
                return Ok(());
            }
            tokio::time::sleep(LOOK).await;
        }
        Err(format!("not {edges} edges are ready after {within:?}"))
    }

    /// Asks edges which configuration they route by.
    pub async fn look(&self, hosts: &[u32]) -> Vec<Option<u64>> {
        let mut out = Vec::new();
        for host in hosts {
            let life = self.life(*host);
            let page = call(self.at(*host, METRICS), "GET", "/metrics", "", "").await;
            let revision = page.and_then(|(_, page)| {
                let line =
                    page.lines().find(|line| line.starts_with("milletwing_edge_configuration_revision "))?;
                line.rsplit(' ').next()?.parse::<f64>().ok().map(|it| it as u64)
            });
            if let Some(revision) = revision.filter(|_| self.life(*host) == life) {
                self.ledger.routes_by(life, revision);
            }
            out.push(revision);
        }
        out
    }

    /// Waits until all edges route by a configuration; one that does not in that time breaks a rule.
    pub async fn all_at(&self, revision: u64, within: Duration) {
        let end = Instant::now() + within;
        let hosts = self.hosts(Role::Edge);
        loop {
            self.tend();
            let told = self.look(&hosts).await;
            if told.iter().all(|told| *told == Some(revision)) {
                return;
            }
            if Instant::now() > end {
                let late = hosts.iter().zip(&told).filter(|(_, told)| **told != Some(revision));
                let late: Vec<_> = late.take(5).collect();
                return self.ledger.broken("CONFIG", format!("{revision} is not in force: {late:?}"));
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Processes started so far.
    pub fn starts(&self) -> u64 {
        *self.starts.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Resident memory of all processes together.
    pub fn resident_mb(&self) -> u64 {
        let machines = self.machines();
        let children = machines.values().filter_map(|machine| machine.child.as_ref());
        children.filter_map(|child| crate::measure::resident_kb(child.id())).sum::<u64>() / 1024
    }

    /// Ends all. The folder with the logs is kept, and named, unless all is well.
    pub fn end(&self, well: bool) -> Option<PathBuf> {
        for machine in self.machines().values_mut() {
            if let Some(mut child) = machine.child.take() {
                let _ = child.kill(); // it may have ended by itself
                let _ = child.wait();
            }
        }
        (!well).then(|| {
            let kept = std::env::temp_dir().join(format!("soak-kept-{}-{}", std::process::id(), self.base));
            let _ = std::fs::rename(self.folder.path(), &kept); // where it can't be moved, the logs are lost
            kept
        })
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        self.end(true);
    }
}
