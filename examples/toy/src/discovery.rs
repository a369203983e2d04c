//! Discovery: a list with versions, and watches on it.

use crate::{locked, read_message};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

/// An entry of the list.
#[derive(Clone, Debug)]
pub struct Host {
    /// Its id.
    pub id: String,
    /// Its address.
    pub addr: String,
    /// Its state, in the list's words.
    pub state: &'static str,
    /// Its latest start, in Unix milliseconds; 0 for long ago.
    pub started_ms: u64,
    /// The build it runs.
    pub build: u32,
    /// Its zone.
    pub zone: String,
}

impl Host {
    /// One that has been there for long.
    pub fn new(id: &str, addr: SocketAddr, build: u32) -> Host {
        Host {
            id: id.into(),
            addr: addr.to_string(),
            state: "active",
            started_ms: 0,
            build,
            zone: "a".into(),
        }
    }
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"m1","cell":0,"state":"{}","weight":1.0,"started_ms":{},"version_no":{}}}"#,
            self.id, self.addr, self.zone, self.state, self.started_ms, self.build
        )
    }
}

/// The list as JSON.
pub fn page(version: u64, full: bool, hosts: &[Host]) -> String {
    let entries: Vec<String> = hosts.iter().map(Host::json).collect();
    format!(r#"{{"version":{version},"full":{full},"servers":[{}]}}"#, entries.join(","))
}

#[derive(Default)]
struct State {
    version: u64,
    /// Each change, by the version that brought it.
    changes: Vec<(u64, Host)>,
    /// Bytes to answer the next call with, in place of the list.
    raw: Option<Vec<u8>>,
    /// Whether the connection stays open behind them, with nothing more to come.
    stays: bool,
    silent: bool,
    calls: Vec<String>,
}

impl State {
    fn hosts(&self, after: u64) -> Vec<Host> {
        let mut out: Vec<Host> = Vec::new();
        for (version, host) in &self.changes {
            out.retain(|other| other.id != host.id);
            if *version > after {
                out.push(host.clone());
            }
        }
        out
    }
}

type Shared = Arc<(Mutex<State>, Condvar)>;

/// Discovery that listens.
pub struct Discovery {
    /// Where.
    pub addr: SocketAddr,
    state: Shared,
}

impl Discovery {
    /// Starts with a list at version 1; it lives as long as the program.
    pub fn start(at: &str, hosts: &[Host]) -> io::Result<Discovery> {
        let listener = TcpListener::bind(at)?;
        let addr = listener.local_addr()?;
        let changes = hosts.iter().map(|host| (1, host.clone())).collect();
        let state: Shared =
            Arc::new((Mutex::new(State { version: 1, changes, ..State::default() }), Condvar::new()));
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = shared.clone();
                thread::spawn(move || serve(&stream, &shared));
            }
        });
        Ok(Discovery { addr, state })
    }
    /// Changes an entry, or adds it.
    pub fn set(&self, host: Host) {
        let mut state = locked(&self.state.0);
        state.version += 1;
        let version = state.version;
        state.changes.push((version, host));
        self.state.1.notify_all();
    }
    /// The list as it stands.
    pub fn page(&self) -> String {
        let state = locked(&self.state.0);
        page(state.version, true, &state.hosts(0))
    }
    /// Answers the next call with these bytes, then ends its connection; calls that wait get them at once.
    pub fn answer_raw(&self, bytes: &[u8]) {
        self.raw(bytes, false);
    }
    /// The same, but the connection stays open and says nothing more.
    pub fn answer_part(&self, bytes: &[u8]) {
        self.raw(bytes, true);
    }
    fn raw(&self, bytes: &[u8], stays: bool) {
        let mut state = locked(&self.state.0);
        (state.raw, state.stays) = (Some(bytes.to_vec()), stays);
        self.state.1.notify_all();
    }
    /// Says nothing from now on, or speaks again.
    pub fn silent(&self, silent: bool) {
        locked(&self.state.0).silent = silent;
        self.state.1.notify_all();
    }
    /// The targets called so far.
    pub fn calls(&self) -> Vec<String> {
        locked(&self.state.0).calls.clone()
    }
}

fn serve(mut stream: &TcpStream, shared: &Shared) -> io::Result<()> {
    let mut held = Vec::new();
    while let Some(message) = read_message(stream, &mut held)? {
        let target = message.word(1).to_string();
        let number = |name: &str| {
            let pair = target.split(['?', '&']).find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='));
            pair.and_then(|text| text.parse::<u64>().ok())
        };
        let (index, wait) = (number("index"), number("wait").unwrap_or(0));
        let until = Instant::now() + Duration::from_millis(wait);
        let mut state = locked(&shared.0);
        state.calls.push(target.clone());
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let news = index.is_none_or(|index| index < state.version);
            if state.raw.is_some() || (!state.silent && (news || left.is_zero())) {
                break;
            }
            let left = if state.silent { Duration::from_millis(50) } else { left };
            state = shared.1.wait_timeout(state, left).unwrap_or_else(PoisonError::into_inner).0;
        }
        if let Some(bytes) = state.raw.take() {
            let stays = state.stays;
            drop(state);
            stream.write_all(&bytes)?;
            while stays && read_message(stream, &mut held)?.is_some() {}
            return Ok(());
        }
        let body = match index {
            None => page(state.version, true, &state.hosts(0)),
            Some(index) => page(state.version, false, &state.hosts(index)),
        };
        drop(state);
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.write_all(&[head.as_bytes(), body.as_bytes()].concat())?;
    }
    Ok(())
}
