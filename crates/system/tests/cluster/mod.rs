//! A system of its own on loopback: the real programs, stand-ins of marshals, callers over HTTP.
#![allow(dead_code)] // each test file uses a part of it

use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddrV4, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::mpsc::{channel, Receiver};
use std::sync::{Arc, Mutex};
use std::time::Duration;

pub const PATIENCE: Duration = Duration::from_secs(60);
/// The port of every process's metrics.
pub const METRICS: u16 = 7553;
pub static NETS: AtomicU32 = AtomicU32::new(0);

pub struct Process {
    pub child: Child,
    pub lines: Receiver<String>,
}

impl Process {
    /// Reads the log up to the first line with these words.
    pub fn until(&self, words: &str) -> String {
        loop {
            let line = self.lines.recv_timeout(PATIENCE).unwrap_or_else(|_| panic!("no {words}"));
            if line.contains(words) {
                return line;
            }
        }
    }

    pub fn signal(&self, name: &str) {
        let killed = Command::new("kill").args(["-s", name, &self.child.id().to_string()]).status();
        assert!(killed.unwrap().success());
    }
}

/// The first line with these words in the log of any of them; nothing once `stop` says so.
pub fn until_any(processes: &[Process], words: &str, stop: impl Fn() -> bool) -> Option<String> {
    const LOOK: Duration = Duration::from_millis(10);
    let looks = PATIENCE.as_millis() / LOOK.as_millis() / processes.len() as u128;
    for process in (0..looks).flat_map(|_| processes) {
        while let Ok(line) = process.lines.recv_timeout(LOOK) {
            if line.contains(words) {
                return Some(line);
            }
        }
        if stop() {
            return None;
        }
    }
    panic!("no {words}");
}

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// A system of its own: a loopback net, a folder, three seeds.
pub struct Cluster {
    pub net: u32,
    pub folder: PathBuf,
}

impl Cluster {
    pub fn new(name: &str) -> Cluster {
        let at = NETS.fetch_add(1, Ordering::SeqCst);
        let net = 0x7f00_0000 + (std::process::id() % 199 + 1) * 0x1_0000 + (at + 1) * 0x100;
        let folder = std::env::temp_dir().join(format!("system-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&folder);
        std::fs::create_dir_all(&folder).unwrap();
        Cluster { net, folder }
    }

    pub fn ip(&self, host: u32) -> Ipv4Addr {
        Ipv4Addr::from_bits(self.net + host)
    }

    pub fn at(&self, host: u32, port: u16) -> SocketAddrV4 {
        SocketAddrV4::new(self.ip(host), port)
    }

    pub fn start(&self, role: &str, host: u32, first: bool) -> Process {
        self.start_by(role, host, first, &[1, 2, 3])
    }

    pub fn start_by(&self, role: &str, host: u32, first: bool, seeds: &[u32]) -> Process {
        let seeds: Vec<String> = seeds.iter().map(|host| format!("\"{}\"", self.at(*host, 8544))).collect();
        let disk = self.folder.join(format!("disk{host}"));
        let text = format!(
            "[self]\nnodeName = \"{role}-{host}\"\nipAddress = \"{}\"\nzone = \"a\"\nregion = \"north\"\ninitialAttach = {first}\n\
             stateDir = \"{}\"\n[self.thresholds]\nmaxFiles = 400\n[network]\ninternalPorts = [7540, 7555]\nseedList = [{}]\n\
             [network.bindings]\ncontrolPlane = \"{}\"\ndirectoryPort = \"{}\"\ningress = \"{}\"\nreadiness = \"{}\"\n\
             [network.zones]\na = \"north\"\n[timers.guarantees]\ngraceS = 4\n",
            self.ip(host),
            disk.display(),
            seeds.join(", "),
            self.at(host, 8544),
            self.at(host, 8546),
            self.at(host, 8548),
            self.at(host, 8542),
        );
        let path = self.folder.join(format!("{role}{host}.toml"));
        std::fs::write(&path, text).unwrap();
        let mut child = Command::new(env!("CARGO_BIN_EXE_milletwing-system"))
            .arg(role)
            .args(["--metrics", &format!("{METRICS}/metrics")])
            .env("MILLETWING_BOOT", &path)
            .env("MILLETWING_LOG", "debug")
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let out = BufReader::new(child.stdout.take().unwrap());
        let (send, lines) = channel();
        std::thread::spawn(move || out.lines().map_while(Result::ok).try_for_each(|line| send.send(line)));
        Process { child, lines }
    }

    pub fn core(&self) -> Vec<Process> {
        let core: Vec<Process> = (1..=3).map(|host| self.start("control-plane", host, true)).collect();
        core.iter().for_each(|process| drop(process.until("M100")));
        core
    }

    /// Stands between an edge and a core machine, and drops one message of entries once it is told to.
    pub fn between(&self, host: u32, core: u32) -> Arc<AtomicU32> {
        let (listener, to) = (TcpListener::bind(self.at(host, 7540)).unwrap(), self.at(core, 7540));
        let drops = Arc::new(AtomicU32::new(0));
        let told = Arc::clone(&drops);
        std::thread::spawn(move || {
            for edge in listener.incoming().map_while(Result::ok) {
                let Ok(core) = TcpStream::connect(to) else { continue };
                let (mut up, mut on) = (edge.try_clone().unwrap(), core.try_clone().unwrap());
                std::thread::spawn(move || std::io::copy(&mut up, &mut on));
                let told = Arc::clone(&told);
                std::thread::spawn(move || down(core, edge, &told));
            }
        });
        drops
    }

    /// A call to the core, again and again until it is clear, as the protocol has it.
    pub fn order(&self, hosts: &[u32], method: &str, path: &str, extra: &str, body: &str) -> (u16, String) {
        for _ in 0..200 {
            for host in hosts {
                let text = format!(
                    "{method} {path} HTTP/1.1\r\nHost: core\r\nConnection: close\r\n{extra}Content-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                if let Some(answer) =
                    raw(self.at(*host, 8544), text.as_bytes()).filter(|(status, ..)| *status < 500)
                {
                    return (answer.0, answer.2);
                }
            }
        }
        panic!("no clear answer to {method} {path}");
    }

    pub fn configure(&self, hosts: &[u32], on: u64, revision: u64) -> u16 {
        let extra = format!("If-Match: {on}\r\nContent-Type: application/json\r\n");
        self.order(hosts, "PUT", "/milletwing/configuration", &extra, &body(revision)).0
    }

    pub fn beat(&self, hosts: &[u32], id: &str, address: SocketAddrV4) -> u16 {
        let body = format!(
            r#"{{"target":"s","address":"{address}","zone":"a","revision":"v1","capacity":4,"state":"available","warmupLeftS":0,"callCounter":1}}"#
        );
        self.order(hosts, "PUT", &format!("/milletwing/nodes/{id}"), "", &body).0
    }

    pub fn command(&self, arguments: &[&str]) -> (bool, String) {
        let out = Command::new(env!("CARGO_BIN_EXE_milletwing-system")).args(arguments).output().unwrap();
        let text = [out.stdout, out.stderr].concat();
        (out.status.success(), String::from_utf8_lossy(&text).into_owned())
    }
}

/// Passes messages on, each a length in four bytes and its bytes, of which the first says its kind.
pub fn down(mut from: TcpStream, mut to: TcpStream, drops: &AtomicU32) -> Option<()> {
    const ENTRIES: u8 = 4;
    loop {
        let mut length = [0; 4];
        from.read_exact(&mut length).ok()?;
        let mut bytes = vec![0; u32::from_be_bytes(length) as usize];
        from.read_exact(&mut bytes).ok()?;
        let entries = bytes.first() == Some(&ENTRIES);
        if entries
            && drops.fetch_update(Ordering::SeqCst, Ordering::SeqCst, |left| left.checked_sub(1)).is_ok()
        {
            continue;
        }
        to.write_all(&[&length[..], &bytes].concat()).ok()?;
    }
}

impl Drop for Cluster {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}

pub fn body(revision: u64) -> String {
    format!(
        r#"{{"revision":{revision},"routing":{{"look":{{"domain":"h.example","pathPrefix":"/look/","trafficClass":"idempotent",
        "guardS":5,"targetS":1,"target":"s","maxTries":2}},"order":{{"domain":"h.example","pathPrefix":"/order/",
        "trafficClass":"non_idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2}}}},
        "targets":{{"s":{{"maxSessions":60}}}},"thresholds":{{"maxHeaderBytes":4096,"maxBodyBytes":100000,"headerGuardS":1,"idleGuardS":1}}}}"#
    )
}

/// Sends bytes and reads to the end of the connection, or of an answer that says its length. Gives status, head, body.
pub fn raw(to: SocketAddrV4, bytes: &[u8]) -> Option<(u16, String, String)> {
    raw_within(to, bytes, PATIENCE)
}

/// The same, given up after so long a silence.
pub fn raw_within(to: SocketAddrV4, bytes: &[u8], silence: Duration) -> Option<(u16, String, String)> {
    let mut stream = TcpStream::connect(to).ok()?;
    stream.set_read_timeout(Some(silence)).ok()?;
    stream.write_all(bytes).ok()?;
    answer(&mut BufReader::new(stream))
}

pub fn answer(stream: &mut impl BufRead) -> Option<(u16, String, String)> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let length = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).ok()?;
    Some((status, head, String::from_utf8_lossy(&body).into_owned()))
}

/// Asks an edge until it knows a marshal: it may have its first state from a core machine that is a step behind.
pub fn served(to: SocketAddrV4) {
    let asked = (0..20_000).find(|at| {
        let answer = raw(to, request("GET", "/look/ready", &format!("ready-{at}"), "", "").as_bytes());
        answer.is_some_and(|(status, ..)| status == 200)
    });
    assert!(asked.is_some(), "{to} serves nobody");
}

pub fn request(method: &str, path: &str, id: &str, extra: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: h.example\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Remaining-Ms: 4000\r\n{extra}\r\n{body}"
    )
}

pub type Runs = Arc<Mutex<BTreeMap<String, u32>>>;

/// A marshal's stand-in: counts what it runs by id, and answers as the path's last part says.
pub fn marshal(at: SocketAddrV4, node: &'static str) -> (SocketAddrV4, Runs) {
    let listener = TcpListener::bind(at).unwrap();
    let at: SocketAddrV4 = listener.local_addr().unwrap().to_string().parse().unwrap();
    let runs = Runs::default();
    let counted = Arc::clone(&runs);
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let counted = Arc::clone(&counted);
            std::thread::spawn(move || serve(stream, node, &counted));
        }
    });
    (at, runs)
}

pub fn serve(stream: TcpStream, node: &str, runs: &Runs) -> Option<()> {
    let mut read = BufReader::new(stream.try_clone().ok()?);
    let mut write = stream;
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if read.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let field = |name: &str| {
            head.lines().find_map(|line| {
                let (key, value) = line.split_once(": ")?;
                key.eq_ignore_ascii_case(name).then(|| value.to_owned())
            })
        };
        let mut body = vec![0; field("content-length").and_then(|it| it.parse().ok()).unwrap_or(0)];
        read.read_exact(&mut body).ok()?;
        let id = field("x-milletwing-attempt-id").unwrap_or_default();
        if field("x-milletwing-target-node").as_deref() != Some(node) {
            write.write_all(b"HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n").ok()?;
            continue;
        }
        let path = head.split(' ').nth(1).unwrap_or("").to_owned();
        if path.ends_with("/full") {
            write
                .write_all(b"HTTP/1.1 503 Busy\r\nX-Milletwing-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n")
                .ok()?;
            continue;
        }
        *runs.lock().unwrap().entry(id.clone()).or_default() += 1;
        let said =
            format!("{path} {} {}", head.split(' ').next().unwrap_or(""), String::from_utf8_lossy(&body));
        let whole = |id: &str, extra: &str| {
            format!(
                "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: seal\r\n{extra}Content-Length: {}\r\n\r\n{said}",
                said.len()
            )
        };
        let text = match path.rsplit('/').next().unwrap_or("") {
            "other" => whole("somebody-else", ""),
            "packed" => whole(&id, "Content-Encoding: gzip\r\n"),
            "unsealed" => whole(&id, "").replace("X-Milletwing-Server-Seal: seal\r\n", ""),
            "short" => whole(&id, "").replace("Content-Length: ", "Content-Length: 9"),
            "garbage" => "\u{1}\u{2} no answer\r\n\r\n".into(),
            "extra" => whole(&id, "") + &whole(&id, ""),
            _ => whole(&id, ""),
        };
        write.write_all(text.as_bytes()).ok()?;
        if ["short", "garbage"].iter().any(|end| path.ends_with(end)) {
            return None;
        }
    }
}
