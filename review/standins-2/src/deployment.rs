//! A small deployment on loopback addresses: three core machines and a few edges, started with the
//! commands of the deploy file.

use std::fs::File;
use std::io::Write;
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::Mutex;
use std::time::{Duration, Instant};

pub const CORE: [u32; 3] = [1, 2, 3];
const CONTROL: u16 = 8544;
const DIRECTORY: u16 = 8546;
const INGRESS: u16 = 8548;
const READINESS: u16 = 8542;
const INTERNAL: u16 = 7540;

/// Figures as in the settings that the users' pages print.
pub const REPORT_S: f64 = 1.3;
pub const APPLY_S: f64 = 3.0;
pub const CONTACT_S: f64 = 5.0;
pub const GRACE_S: f64 = 6.0;
pub const DRAIN_S: f64 = 3.0;

/// The ids of all processes that this program has started and not ended.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends all processes that this program has started.
pub fn kill_all_started() {
    for id in STARTED.lock().map(|ids| ids.clone()).unwrap_or_default() {
        let _ = Command::new("kill").args(["-s", "KILL", &id.to_string()]).status();
    }
}

pub struct Process {
    child: Child,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        if let Ok(mut ids) = STARTED.lock() {
            ids.retain(|id| *id != self.child.id());
        }
    }
}

pub struct Deployment {
    network: u32,
    directory: PathBuf,
}

impl Deployment {
    /// Picks a loopback network of which all ports are free.
    pub fn new(name: &str) -> Result<Deployment, String> {
        let start = std::process::id();
        for attempt in 0..64 {
            let network =
                0x7f00_0000 + ((start + attempt * 37) % 200 + 20) * 0x1_0000 + (start % 250) * 0x100;
            let deployment = Deployment {
                network,
                directory: std::env::temp_dir().join(format!("review-{name}-{start}-{attempt}")),
            };
            let free = |host: u32, port: u16| TcpListener::bind(deployment.address(host, port)).is_ok();
            let ports = [CONTROL, DIRECTORY, INGRESS, READINESS, INTERNAL, 7555];
            if (1..=26).all(|host| ports.iter().all(|port| free(host, *port))) {
                std::fs::create_dir_all(&deployment.directory).map_err(|error| error.to_string())?;
                return Ok(deployment);
            }
        }
        Err("no free loopback network".into())
    }

    pub fn address(&self, host: u32, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(Ipv4Addr::from(self.network + host), port)
    }

    pub fn control(&self, host: u32) -> SocketAddrV4 {
        self.address(host, CONTROL)
    }

    pub fn ingress(&self, host: u32) -> SocketAddrV4 {
        self.address(host, INGRESS)
    }

    pub fn readiness(&self, host: u32) -> SocketAddrV4 {
        self.address(host, READINESS)
    }

    /// Starts the role whose name the deploy file gives, on a host in the zone `bgo-a`.
    pub fn start(&self, role: &str, host: u32, first_start: bool) -> Result<Process, String> {
        self.start_in(role, host, first_start, "bgo-a")
    }

    /// Starts the role on a host in a zone.
    pub fn start_in(&self, role: &str, host: u32, first_start: bool, zone: &str) -> Result<Process, String> {
        let command = run_command(role)?;
        let settings = self.settings(role, host, first_start, zone);
        let path = self.directory.join(format!("{role}-{host}.toml"));
        std::fs::write(&path, settings).map_err(|error| error.to_string())?;
        let log = File::create(self.directory.join(format!("{role}-{host}.log")))
            .map_err(|error| error.to_string())?;
        let errors = log.try_clone().map_err(|error| error.to_string())?;
        let mut words = command.split_whitespace();
        let program = words.next().ok_or("empty command")?;
        let mut start = Command::new(program);
        start.args(words).env("MILLETWING_BOOT", &path);
        if let Ok(level) = std::env::var("REVIEW_LOG") {
            start.env("MILLETWING_LOG", level);
        }
        let child = start
            .stdin(Stdio::null())
            .stdout(log)
            .stderr(errors)
            .spawn()
            .map_err(|error| format!("{program}: {error}"))?;
        if let Ok(mut ids) = STARTED.lock() {
            ids.push(child.id());
        }
        // Read by the script, which ends what is left if this program is ended from outside.
        if let Some(list) = std::env::var_os("REVIEW_PROCESSES") {
            let list = std::fs::OpenOptions::new().append(true).create(true).open(list);
            let _ = list.and_then(|mut list| writeln!(list, "{}", child.id()));
        }
        Ok(Process { child })
    }

    fn settings(&self, role: &str, host: u32, first_start: bool, zone: &str) -> String {
        let seeds: Vec<String> = CORE.iter().map(|seed| format!("\"{}\"", self.control(*seed))).collect();
        let core = role == "control-plane";
        let (planes, bindings, state) = if core {
            (
                "\"control\",\"directory\"",
                format!(
                    "controlPlane = \"{}\"\ndirectoryPort = \"{}\"",
                    self.control(host),
                    self.address(host, DIRECTORY)
                ),
                format!("stateDir = \"{}\"\n", self.directory.join(format!("disk-{host}")).display()),
            )
        } else {
            (
                "\"edge\"",
                format!("ingress = \"{}\"\nreadiness = \"{}\"", self.ingress(host), self.readiness(host)),
                String::new(),
            )
        };
        format!(
            "[self]\nnodeName = \"{role}-{host}\"\nfunction = \"{role}\"\nmachineClass = \"{class}\"\nservedPlanes = [{planes}]\n\
             ipAddress = \"{ip}\"\nzone = \"{zone}\"\nregion = \"{region}\"\ncounted = {core}\ninitialAttach = {first_start}\n{state}\
             [self.thresholds]\ncpuQuota = 0.6\ncoreCount = 1\nmemoryMb = 260\nmaxFiles = 4100\nlinkMbps = 1000.0\ndiskMb = 256\n\
             [network]\ninternalPorts = [{INTERNAL},7555]\nseedList = [{seeds}]\n[network.bindings]\n{bindings}\n\
             [network.zones]\nbgo-a = \"bergen\"\nbgo-b = \"bergen\"\nbgo-c = \"bergen\"\nbgo-d = \"bergen\"\ntrd-a = \"trondheim\"\n\
             [provider]\ndiscovery = \"registration\"\nentry = \"directory\"\nreportS = {REPORT_S}\n\
             [timers]\nactiveClauses = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"places\",\"rollout\"]\n\
             [timers.resilience]\nmachineLosses = 1\nzones = 1\nregionLosses = 1\n\
             [timers.guarantees]\nseedLagS = 3\nreuseS = 2\ncontactS = {CONTACT_S}\nackS = 6\nsyncS = 4\ndrainS = {DRAIN_S}\ngraceS = {GRACE_S}\n\
             lossSlackS = 0.2\napplyS = {APPLY_S}\nrevertSlackS = 0.25\nstretchS = 10\nretryBudgetRatio = 0.2\nretryWindowS = 10\n\
             retrySlack = 56\nexposureShare = 0.1\nexposureSlack = 50\nrollbackS = 5\nwarmupExcess = 1.5\nwarmupSlack = 5\n\
             evacuationS = 5\nrecoveryS = 15\nttl_max_s = 5\n",
            region = if zone.starts_with("bgo") { "bergen" } else { "trondheim" },
            class = if core { "core" } else { "edge" },
            ip = Ipv4Addr::from(self.network + host),
            seeds = seeds.join(","),
        )
    }
}

impl Drop for Deployment {
    fn drop(&mut self) {
        if std::env::var_os("REVIEW_KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.directory);
        } else {
            eprintln!("kept {}", self.directory.display());
        }
    }
}

/// The command of a role, from the deploy file.
fn run_command(role: &str) -> Result<String, String> {
    let text =
        std::fs::read_to_string("deploy/system.toml").map_err(|error| format!("deploy file: {error}"))?;
    let mut in_role = false;
    for line in text.lines() {
        if line.trim().starts_with('[') {
            in_role = line.trim() == format!("[roles.{role}]");
        } else if let Some(value) = line.trim().strip_prefix("run = \"").filter(|_| in_role) {
            return Ok(value.trim_end_matches('"').to_owned());
        }
    }
    Err(format!("the deploy file has no role {role}"))
}

/// What was sent, answered and run: each line with the seconds since the start.
pub struct Record {
    started: Instant,
    file: Mutex<File>,
}

impl Record {
    pub fn create(path: &std::path::Path) -> Result<Record, String> {
        let file = File::create(path).map_err(|error| format!("{}: {error}", path.display()))?;
        Ok(Record { started: Instant::now(), file: Mutex::new(file) })
    }

    pub fn line(&self, text: &str) {
        let at = self.started.elapsed().as_secs_f64();
        if let Ok(mut file) = self.file.lock() {
            let _ = writeln!(file, "{at:8.3} s  {text}");
        }
    }
}

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds));
}
