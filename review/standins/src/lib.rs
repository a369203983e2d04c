//! A small deployment on loopback for the review's scripts: the project's own programs as separate processes, and stand-ins
//! for clients, marshals and the operator that follow PROTOCOL.md. Standard library only.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

pub const INTERNAL: (u16, u16) = (7540, 7555);
pub const CONTROL: u16 = 8544;
pub const DIRECTORY: u16 = 8546;
pub const INGRESS: u16 = 8548;
pub const READINESS: u16 = 8542;
pub const MARSHAL: u16 = 8361;

/// Bounds of the small deployment (laerling-gw's sheet).
pub const DRAIN_S: f64 = 3.0;
pub const GRACE_S: f64 = 6.0;
pub const CONTACT_S: f64 = 5.0;
pub const REPORT_S: f64 = 1.3;

pub fn sleep(seconds: f64) {
    std::thread::sleep(Duration::from_secs_f64(seconds.max(0.0)));
}

/// What was sent, answered and run, one line each, with the seconds since the start.
#[derive(Clone)]
pub struct Record(Arc<Mutex<File>>, Instant);

impl Record {
    pub fn new() -> Record {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        Record(Arc::new(Mutex::new(File::create(path).expect("record.txt"))), Instant::now())
    }
    pub fn now(&self) -> f64 {
        self.1.elapsed().as_secs_f64()
    }
    pub fn line(&self, text: &str) {
        let line = format!("{:8.3} {text}\n", self.now());
        let _ = self.0.lock().unwrap().write_all(line.as_bytes());
    }
}

/// With `TROUBLE=0` the script does the same without the disruption.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |it| it != "0")
}

/// Ends the script: 1 if the rule was broken, 0 if it held.
pub fn verdict(record: &Record, broken: bool, what: &str) -> i32 {
    record.line(&format!("VERDICT {}: {what}", if broken { "broken" } else { "held" }));
    println!("{}: {what}", if broken { "broken" } else { "held" });
    i32::from(broken)
}

/// A process of the system; killed when dropped.
pub struct Process {
    pub child: Child,
    pub name: String,
}

impl Process {
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
    }
    pub fn ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        STARTED.lock().unwrap().retain(|id| *id != self.child.id());
    }
}

/// The deployment: a loopback net of its own, a temporary folder, three core machines in three zones.
pub struct Site {
    net: u32,
    pub folder: PathBuf,
    pub record: Record,
    repository: PathBuf,
}

const ZONES: [(&str, &str); 3] = [("bgo-a", "bergen"), ("trd-a", "trondheim"), ("tos-a", "tromso")];

impl Site {
    pub fn new(record: &Record) -> Site {
        let repository = std::env::current_dir().expect("current folder");
        let program = repository.join("target/release/milletwing-system");
        if !program.exists() {
            cannot("target/release/milletwing-system is not built; run from the repository's root");
        }
        let pid = std::process::id();
        let free = (0..200u32).map(|at| 0x7f00_0000 + ((pid + at * 7) % 250 + 2) * 0x1_0000 + 0x100).find(|net| {
            let bind = |host: u32, port: u16| TcpListener::bind(SocketAddrV4::new(Ipv4Addr::from_bits(net + host), port));
            (1..=3).all(|host| bind(host, INTERNAL.0).is_ok() && bind(host, CONTROL).is_ok() && bind(host, INTERNAL.1).is_ok())
                && bind(20, INGRESS).is_ok()
        });
        let Some(net) = free else { cannot("no free loopback net") };
        let folder = std::env::temp_dir().join(format!("milletwing-review-{pid}"));
        let _ = std::fs::remove_dir_all(&folder);
        if std::fs::create_dir_all(&folder).is_err() {
            cannot("no temporary folder");
        }
        Site { net, folder, record: record.clone(), repository }
    }

    pub fn ip(&self, host: u32) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.net + host)
    }
    pub fn at(&self, host: u32, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), port)
    }

    /// Starts a role on a machine: hosts 1 to 3 are the core, 20 and on are edges. `zone`: 0 to 2.
    pub fn start(&self, role: &str, host: u32, zone: usize, first: bool) -> Process {
        let (zone, region) = ZONES[zone];
        let core = role == "control-plane";
        let seeds: Vec<String> = (1..=3).map(|host| format!("\"{}\"", self.at(host, CONTROL))).collect();
        let name = format!("{}-{zone}-{host}", if core { "core" } else { "edge" });
        let disk = self.folder.join(format!("disk{host}"));
        let _ = std::fs::create_dir_all(&disk);
        let state = if core { format!("stateDir = \"{}\"\n", disk.display()) } else { String::new() };
        let bindings = if core {
            format!("controlPlane = \"{}\"\ndirectoryPort = \"{}\"\n", self.at(host, CONTROL), self.at(host, DIRECTORY))
        } else {
            format!("ingress = \"{}\"\nreadiness = \"{}\"\n", self.at(host, INGRESS), self.at(host, READINESS))
        };
        let zones: String = ZONES.iter().map(|(zone, region)| format!("{zone} = \"{region}\"\n")).collect();
        let text = format!(
            "[self]\nnodeName = \"{name}\"\nfunction = \"{role}\"\nmachineClass = \"{}\"\nservedPlanes = [{}]\nipAddress = \"{}\"\n\
             zone = \"{zone}\"\nregion = \"{region}\"\ncounted = {core}\ninitialAttach = {first}\n{state}\
             [self.thresholds]\ncpuQuota = 0.6\ncoreCount = 1\nmemoryMb = 256\nmaxFiles = 4096\nlinkMbps = 1000.0\ndiskMb = {}\n\
             [network]\ninternalPorts = [{}, {}]\nseedList = [{}]\n[network.bindings]\n{bindings}[network.zones]\n{zones}\
             [provider]\ndiscovery = \"registration\"\nentry = \"directory\"\nreportS = {REPORT_S:?}\n\
             [timers]\nactiveClauses = [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"places\", \"rollout\"]\n\
             [timers.resilience]\nmachineLosses = 1\nzones = 1\nregionLosses = 1\n\
             [timers.guarantees]\nseedLagS = 3\nreuseS = 2\ncontactS = {CONTACT_S:?}\nackS = 6\nsyncS = 4\ndrainS = {DRAIN_S:?}\n\
             graceS = {GRACE_S:?}\nlossSlackS = 0.2\napplyS = 3\nrevertSlackS = 0.25\nstretchS = 10\nretryBudgetRatio = 0.2\n\
             retryWindowS = 10\nretrySlack = 56\nexposureShare = 0.1\nexposureSlack = 50\nrollbackS = 5\nwarmupExcess = 1.5\n\
             warmupSlack = 5\nevacuationS = 5\nrecoveryS = 15\nttl_max_s = 5\n",
            if core { "core" } else { "edge" },
            if core { "\"control\", \"directory\"" } else { "\"edge\"" },
            self.ip(host),
            if core { 256 } else { 0 },
            INTERNAL.0,
            INTERNAL.1,
            seeds.join(", "),
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, text).expect("settings");
        let log = File::create(self.folder.join(format!("{name}.log"))).expect("log");
        let mut command = Command::new("target/release/milletwing-system");
        command.args([role, "--metrics", "7555/metrics"]).current_dir(&self.repository).env_clear();
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.env("MILLETWING_BOOT", &path).stdin(Stdio::null());
        command.stderr(log.try_clone().expect("log")).stdout(log);
        let child = command.spawn().unwrap_or_else(|_| cannot("the system's program can't be started"));
        STARTED.lock().unwrap().push(child.id());
        self.record.line(&format!("process {name} starts as {}", child.id()));
        Process { child, name }
    }

    pub fn core(&self) -> Vec<Process> {
        (1..=3).map(|host| self.start("control-plane", host, host as usize - 1, true)).collect()
    }

    /// A call to `control`, as callers make it: from machine to machine until a clear answer comes.
    pub fn call(&self, method: &str, path: &str, extra: &str, body: &str, within: f64) -> Option<(u16, String)> {
        let end = Instant::now() + Duration::from_secs_f64(within);
        let mut pause = 0.05;
        while Instant::now() < end {
            for host in 1..=3 {
                let text = format!(
                    "{method} {path} HTTP/1.1\r\nHost: {}\r\nConnection: close\r\nContent-Type: application/json\r\n{extra}Content-Length: {}\r\n\r\n{body}",
                    self.at(host, CONTROL),
                    body.len()
                );
                if let Some(answer) = ask(self.at(host, CONTROL), text.as_bytes(), 1.0) {
                    if answer.status < 500 && answer.status != 408 && answer.status != 429 {
                        return Some((answer.status, String::from_utf8_lossy(&answer.body).into_owned()));
                    }
                }
            }
            sleep(pause);
            pause = f64::min(pause * 2.0, 0.5);
        }
        None
    }

    /// The operator's configuration, sent until it is taken.
    pub fn configure(&self, on: u64, body: &str) {
        let extra = format!("If-Match: {on}\r\n");
        match self.call("PUT", "/milletwing/configuration", &extra, body, 20.0) {
            Some((200, _)) => self.record.line("the configuration is acknowledged"),
            other => cannot(&format!("the configuration was not taken: {other:?}")),
        }
    }

    /// Waits until an edge is ready, as the platform asks.
    pub fn ready(&self, host: u32) {
        let text = format!("GET /milletwing/readiness HTTP/1.1\r\nHost: {}\r\nConnection: close\r\n\r\n", self.ip(host));
        for _ in 0..200 {
            if ask(self.at(host, READINESS), text.as_bytes(), 1.0).is_some_and(|it| it.status == 200) {
                self.record.line(&format!("edge {host} is ready"));
                return;
            }
            sleep(0.1);
        }
        cannot("an edge does not become ready");
    }
}

impl Drop for Site {
    fn drop(&mut self) {
        if std::env::var("KEEP").is_err() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// Processes that were started, to be ended whatever happens.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// The case could not run: ends what was started.
pub fn cannot(why: &str) -> ! {
    eprintln!("could not run: {why}");
    for id in STARTED.lock().map(|it| it.clone()).unwrap_or_default() {
        let _ = Command::new("kill").args(["-s", "KILL", &id.to_string()]).status();
    }
    std::process::exit(2)
}

#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: String,
    pub body: Vec<u8>,
}

impl Answer {
    pub fn field(&self, name: &str) -> Option<String> {
        field(&self.head, name)
    }
}

pub fn field(head: &str, name: &str) -> Option<String> {
    head.lines().skip(1).find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.trim().eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    })
}

/// Reads a head up to its empty line; nothing where the connection ends before.
pub fn head(from: &mut impl BufRead) -> std::io::Result<Option<String>> {
    let mut bytes = Vec::new();
    loop {
        let count = from.read_until(b'\n', &mut bytes)?;
        if count == 0 {
            return Ok(None);
        }
        if bytes.ends_with(b"\r\n\r\n") {
            return Ok(Some(String::from_utf8_lossy(&bytes).into_owned()));
        }
    }
}

/// Reads a body by its length or in chunks. An error where it ends early.
pub fn body(from: &mut impl BufRead, head: &str) -> std::io::Result<Vec<u8>> {
    let early = || std::io::Error::from(std::io::ErrorKind::UnexpectedEof);
    let mut out = Vec::new();
    if field(head, "transfer-encoding").is_some_and(|it| it.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            if from.read_line(&mut line)? == 0 {
                return Err(early());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(|_| early())?;
            let mut chunk = vec![0; size + 2];
            from.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(out);
            }
            out.extend_from_slice(&chunk[..size]);
        }
    }
    let length = field(head, "content-length").and_then(|it| it.parse().ok()).unwrap_or(0);
    out.resize(length, 0);
    from.read_exact(&mut out)?;
    Ok(out)
}

/// Reads an answer; an error is the connection's end or silence.
pub fn read_answer(from: &mut impl BufRead) -> std::io::Result<Answer> {
    loop {
        let head = head(from)?.ok_or(std::io::ErrorKind::UnexpectedEof)?;
        let status = head.split(' ').nth(1).and_then(|it| it.parse().ok()).unwrap_or(0);
        if (100..200).contains(&status) {
            continue;
        }
        let body = if status == 204 || status == 304 { Vec::new() } else { body(from, &head)? };
        return Ok(Answer { status, head, body });
    }
}

/// One request on a connection of its own.
pub fn ask(to: SocketAddrV4, bytes: &[u8], silence: f64) -> Option<Answer> {
    let mut stream = connect(to, silence)?;
    stream.write_all(bytes).ok()?;
    read_answer(&mut BufReader::new(stream)).ok()
}

/// A new connection gets one second to come up.
pub fn connect(to: SocketAddrV4, silence: f64) -> Option<TcpStream> {
    let stream = TcpStream::connect_timeout(&to.into(), Duration::from_secs(1)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs_f64(silence))).ok()?;
    Some(stream)
}

/// How a run at a marshal went.
#[derive(Clone, Debug)]
pub struct Run {
    pub marshal: String,
    pub began: f64,
    pub ended: Option<f64>,
    pub path: String,
}

/// What all marshals of a site ran, by the request's id.
pub type Runs = Arc<Mutex<BTreeMap<String, Vec<Run>>>>;

/// A marshal's stand-in. It works for as long as `work` says of a path (milliseconds), on `capacity` requests at once, queues a
/// few more, and tells the truth about all of it.
pub struct Marshal {
    pub id: String,
    pub address: SocketAddrV4,
    stop: Arc<AtomicBool>,
}

pub struct Kind {
    pub target: &'static str,
    pub capacity: u32,
    /// Milliseconds of work on a request, by its path.
    pub work: fn(&str) -> u64,
    /// Milliseconds from the head of a request until the marshal reads its body: it has begun to work on it by then.
    pub pause: fn(&str) -> u64,
}

/// Reads the body at once.
pub fn at_once(_: &str) -> u64 {
    0
}

impl Marshal {
    pub fn start(site: &Site, host: u32, zone: usize, id: &str, kind: Kind, runs: &Runs) -> Marshal {
        let address = site.at(host, MARSHAL);
        let listener = TcpListener::bind(address).unwrap_or_else(|_| cannot("a marshal's address is taken"));
        let stop = Arc::new(AtomicBool::new(false));
        let load = Arc::new(AtomicU64::new(0));
        let (record, runs, own) = (site.record.clone(), Arc::clone(runs), id.to_owned());
        let (capacity, work, pause) = (kind.capacity, kind.work, kind.pause);
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let _ = stream.set_nodelay(true);
                let (record, runs, own, load) = (record.clone(), Arc::clone(&runs), own.clone(), Arc::clone(&load));
                std::thread::spawn(move || {
                    let _ = serve(stream, &own, capacity, (work, pause), &load, &record, &runs);
                });
            }
        });
        // Its beats: about every `reportS`, to the next machine where one gives no 2xx within a second.
        let controls: Vec<SocketAddrV4> = (0..3).map(|at| site.at(1 + (host + at) % 3, CONTROL)).collect();
        let (stopped, id_of, target) = (Arc::clone(&stop), id.to_owned(), kind.target);
        let zone = ZONES[zone].0;
        std::thread::spawn(move || {
            let (mut counter, mut at) = (0u64, 0usize);
            while !stopped.load(Ordering::SeqCst) {
                for _ in 0..3 {
                    counter += 1;
                    let body = format!(
                        "{{\"target\":\"{target}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"revision\":\"v1\",\"capacity\":{capacity},\"state\":\"available\",\"warmupLeftS\":0,\"callCounter\":{counter}}}"
                    );
                    let text = format!(
                        "PUT /milletwing/nodes/{id_of} HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: {}\r\n\r\n{body}",
                        controls[at],
                        body.len()
                    );
                    if ask(controls[at], text.as_bytes(), 1.0).is_some_and(|it| it.status / 100 == 2) {
                        break;
                    }
                    at = (at + 1) % 3;
                }
                sleep(REPORT_S);
            }
        });
        site.record.line(&format!("marshal {id} of {} listens at {address}", kind.target));
        Marshal { id: id.into(), address, stop }
    }
}

impl Drop for Marshal {
    fn drop(&mut self) {
        self.stop.store(true, Ordering::SeqCst);
    }
}

fn serve(
    stream: TcpStream,
    own: &str,
    capacity: u32,
    (work, pause): (fn(&str) -> u64, fn(&str) -> u64),
    load: &AtomicU64,
    record: &Record,
    runs: &Runs,
) -> std::io::Result<()> {
    let mut read = BufReader::new(stream.try_clone()?);
    let mut write = stream;
    while let Some(head) = head(&mut read)? {
        let path = head.split(' ').nth(1).unwrap_or("").to_owned();
        if path == "/health" {
            write!(write, "HTTP/1.1 200 OK\r\nX-Milletwing-Node-Id: {own}\r\nContent-Length: 0\r\n\r\n")?;
            continue;
        }
        let id = field(&head, "X-Milletwing-Attempt-Id").unwrap_or_default();
        let refuse = |status: &str| {
            format!("HTTP/1.1 {status}\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
        };
        let why = if id.is_empty() {
            Some("400 Bad Request")
        } else if field(&head, "X-Milletwing-Target-Node").is_some_and(|node| node != own) {
            Some("421 Misdirected Request")
        } else if load.fetch_add(1, Ordering::SeqCst) >= u64::from(capacity) {
            load.fetch_sub(1, Ordering::SeqCst);
            Some("503 Service Unavailable")
        } else {
            None
        };
        if let Some(why) = why {
            body(&mut read, &head)?;
            write.write_all(refuse(why).as_bytes())?;
            continue;
        }
        let remaining: u64 =
            field(&head, "X-Milletwing-Remaining-Ms").and_then(|it| it.parse().ok()).unwrap_or(60_000);
        let began = record.now();
        let run = Run { marshal: own.into(), began, ended: None, path: path.clone() };
        runs.lock().unwrap().entry(id.clone()).or_default().push(run);
        record.line(&format!("marshal {own} runs {id} {path}, handed {remaining} ms"));
        let (took, paused) = (work(&path), pause(&path));
        if path.contains("/early") {
            // It answers before it has read the body, keeps the connection and reads on later.
            let text = "the marshal's own bytes\n";
            write!(write, "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: {own}.{id}\r\nContent-Length: {}\r\n\r\n{text}", text.len())?;
            sleep(paused as f64 / 1000.0);
            let rest = body(&mut read, &head);
            load.fetch_sub(1, Ordering::SeqCst);
            let how = match &rest {
                Ok(bytes) => format!("has its whole body, {} bytes", bytes.len()),
                Err(problem) => format!("does not get the rest of its body: {}", problem.kind()),
            };
            record.line(&format!("marshal {own} answered {id} early with 200 and {how}"));
            rest?;
            continue;
        }
        sleep(paused.min(remaining) as f64 / 1000.0);
        if let Err(problem) = body(&mut read, &head) {
            load.fetch_sub(1, Ordering::SeqCst);
            record.line(&format!("marshal {own}: the edge broke off {id} while its body was read: {}", problem.kind()));
            return Err(problem);
        }
        // It stops work at the value that it is handed.
        sleep(took.min(remaining.saturating_sub(paused)) as f64 / 1000.0);
        let running = load.fetch_sub(1, Ordering::SeqCst);
        let ended = record.now();
        if let Some(run) = runs.lock().unwrap().get_mut(&id).and_then(|list| list.last_mut()) {
            run.ended = Some(ended);
        }
        let (status, text) =
            if took + paused > remaining { ("504 Gateway Timeout", "late\n") } else { ("200 OK", "the marshal's own bytes\n") };
        let answer = format!(
            "HTTP/1.1 {status}\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: {own}.{id}\r\nX-Milletwing-Node-Load: {},0,{capacity}\r\nContent-Length: {}\r\n\r\n{text}",
            running.saturating_sub(1),
            text.len()
        );
        let sent = write.write_all(answer.as_bytes());
        record.line(&format!("marshal {own} ends {id} with {status}{}", if sent.is_err() { ", its caller is gone" } else { "" }));
        sent?;
    }
    Ok(())
}
