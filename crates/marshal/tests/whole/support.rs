//! A marshal with toy versions of the other parties, and a client that sends raw bytes.

use milletwing_marshal::{Config, Limits, Server};
use milletwing_toy::discovery::{Discovery, Host};
use milletwing_toy::node::{Node, Reply};
use milletwing_toy::platform::Platform;
use milletwing_toy::{read_message, Message};
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::time::Duration;

pub const EXAMPLE: &str = include_str!("../../../../examples/marshal.json");

/// The longest that a client waits, far beyond what any test needs.
const CLIENT_TIMEOUT: Duration = Duration::from_secs(20);

pub struct World {
    pub discovery: Discovery,
    pub platform: Platform,
    pub server: Server,
}

pub fn config(listen: &str, discovery: &Discovery, platform: &Platform) -> Config {
    let text = EXAMPLE
        .replace("127.0.0.1:4105", &platform.addr.to_string())
        .replace(r#"{"version": 0, "full": true, "servers": []}"#, &discovery.page());
    let (listen, discovery) = (listen.to_string(), discovery.addr.to_string());
    Config::read(&text, |name| match name {
        "GW_LISTEN" => Some(listen.clone()),
        "GW_DISCOVERY" => Some(discovery.clone()),
        _ => None,
    })
    .unwrap()
}

/// Short timeouts where the real ones would only slow down the tests.
pub fn limits(config: &Config) -> Limits {
    Limits {
        stop_accept_period: Duration::from_millis(100),
        watch_wait: Duration::from_millis(300),
        watch_margin: Duration::from_millis(300),
        client_read_timeout: Duration::from_millis(300),
        ..Limits::new(config.grant, &config.transport)
    }
}

impl World {
    /// A world with nodes of build 1, which is live.
    pub fn of(nodes: &[&Node]) -> World {
        World::with(nodes, |_| {})
    }
    pub fn with(nodes: &[&Node], change: impl FnOnce(&mut Limits)) -> World {
        let hosts: Vec<Host> =
            nodes.iter().enumerate().map(|(at, node)| Host::new(&format!("n{at}"), node.addr, 1)).collect();
        World::hosts(&hosts, "1 2 live 1 60000", |_| Some("OK 1 2 live 1 60000".into()), change)
    }
    pub fn hosts(
        hosts: &[Host],
        stage: &str,
        votes: impl Fn(&str) -> Option<String> + Send + Sync + 'static,
        change: impl FnOnce(&mut Limits),
    ) -> World {
        let discovery = Discovery::start("127.0.0.1:0", hosts).unwrap();
        let platform = Platform::start("127.0.0.1:0", stage, votes).unwrap();
        let mut config = config("127.0.0.1:0", &discovery, &platform);
        let words: Vec<&str> = stage.split(' ').collect();
        let numbers: Vec<f64> = [0, 1, 3, 4].iter().map(|&at| words[at].parse().unwrap()).collect();
        let phase = milletwing_marshal::wire::phase(words[2]).unwrap();
        let state = [numbers[0], numbers[1], numbers[2], numbers[3]];
        config.initial_stage = Some(milletwing_marshal::wire::stage_report(state, phase, false));
        let mut limits = limits(&config);
        change(&mut limits);
        let server = Server::start_with(config, limits).unwrap();
        World { discovery, platform, server }
    }
    pub fn client(&self) -> Client {
        Client::to(self.server.listen)
    }
    /// Sends one request on a connection of its own.
    pub fn ask(&self, request: &str) -> Message {
        let mut client = self.client();
        client.send(request.as_bytes());
        client.answer()
    }
}

pub fn node_answering(body: &str) -> Node {
    let body = body.as_bytes().to_vec();
    Node::start("127.0.0.1:0", move |_| Reply::Answer(200, body.clone())).unwrap()
}

pub fn node(behaviour: impl Fn(&Message) -> Reply + Send + Sync + 'static) -> Node {
    Node::start("127.0.0.1:0", behaviour).unwrap()
}

/// An address on which nothing listens.
pub fn unused_address() -> SocketAddr {
    let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

static NEXT: AtomicU64 = AtomicU64::new(1);

pub fn id() -> String {
    format!("t{:x}", NEXT.fetch_add(1, SeqCst))
}

/// A request of a class that is safe to repeat.
pub fn lookup(wait: &str) -> String {
    let id = id();
    format!("GET /api?q=1 HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: lookup\r\nX-Org: acme\r\nCookie: a=b; user=u7\r\nX-Remaining: {wait}\r\n\r\n")
}

/// A request of a class that must never run twice.
pub fn pay(wait: &str) -> String {
    let id = id();
    format!("POST /api HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: pay\r\nX-Remaining: {wait}\r\nContent-Length: 4\r\n\r\ncoin")
}

pub struct Client {
    pub stream: TcpStream,
    held: Vec<u8>,
}

impl Client {
    pub fn to(addr: SocketAddr) -> Client {
        let stream = TcpStream::connect(addr).unwrap();
        stream.set_read_timeout(Some(CLIENT_TIMEOUT)).unwrap();
        Client { stream, held: Vec::new() }
    }
    pub fn send(&mut self, bytes: &[u8]) {
        let _ = self.stream.write_all(bytes); // the test checks what the marshal does with it
    }
    pub fn answer(&mut self) -> Message {
        self.try_answer().expect("the marshal responds")
    }
    pub fn try_answer(&mut self) -> Option<Message> {
        read_message(&self.stream, &mut self.held).ok()?
    }
    /// Whether the marshal closes the connection, whatever it sends before that.
    pub fn ends(&mut self) -> bool {
        let mut rest = [0; 256];
        loop {
            match self.stream.read(&mut rest) {
                Ok(0) => return true,
                Ok(_) => {}
                Err(problem) => return problem.kind() == std::io::ErrorKind::ConnectionReset,
            }
        }
    }
}

/// Waits until a condition holds; fails the test after a time that is far longer than needed.
pub fn wait_until(what: &str, holds: impl Fn() -> bool) {
    for _ in 0..2000 {
        if holds() {
            return;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("timed out waiting until {what}");
}
