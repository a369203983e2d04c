//! The program itself: its signs and its end.

use milletwing_toy::discovery::{Discovery, Host};
use milletwing_toy::node::{Node, Reply};
use milletwing_toy::platform::Platform;
use milletwing_toy::read_message;
use std::collections::HashMap;
use std::io::Write;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::process::{Child, Command};
use std::sync::atomic::{AtomicU64, Ordering::SeqCst};
use std::sync::{Arc, Mutex};
use std::thread::sleep;
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../../../examples/marshal.json");

/// Ended with the test, whatever becomes of it.
struct Program(Child);

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.0.kill(); // it may have ended
        let _ = self.0.wait();
    }
}

fn until(what: &str, mut holds: impl FnMut() -> bool) {
    for _ in 0..2000 {
        if holds() {
            return;
        }
        sleep(Duration::from_millis(10));
    }
    panic!("never: {what}");
}

fn status(listen: SocketAddr, text: &str) -> Option<String> {
    let mut stream = TcpStream::connect(listen).ok()?;
    stream.write_all(text.as_bytes()).ok()?;
    Some(read_message(&stream, &mut Vec::new()).ok()??.word(1).to_string())
}

/// The program among stand-ins of its own: two places for discovery and the platform, the first of which it starts with.
struct Running {
    program: Program,
    listen: SocketAddr,
    places: [(Discovery, Platform); 2],
    folder: std::path::PathBuf,
}

impl Running {
    fn start(name: &str, node: SocketAddr) -> Running {
        let host = [Host::new("n0", node, 1)];
        let place = || {
            let discovery = Discovery::start("127.0.0.1:0", &host).unwrap();
            let platform = Platform::start("127.0.0.1:0", "1 2 live 1 60000", |_| None).unwrap();
            (discovery, platform)
        };
        let places = [place(), place()];
        let listen = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
        let folder = std::env::temp_dir().join(format!("milletwing-{name}-{}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        let file = folder.join("marshal.json");
        std::fs::write(&file, text(listen, &places[0])).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_milletwing"))
            .args(["serve", "--config"])
            .arg(&file)
            .env("GW_DISCOVERY", places[0].0.addr.to_string())
            .spawn()
            .unwrap();
        let running = Running { program: Program(child), listen, places, folder };
        until("it is ready", || status(listen, "GET /up HTTP/1.1\r\n\r\n").as_deref() == Some("200"));
        running
    }
    /// The configuration that names one of the places.
    fn text(&self, place: usize) -> String {
        text(self.listen, &self.places[place])
    }
    fn file(&self) -> std::path::PathBuf {
        self.folder.join("marshal.json")
    }
    fn sign(&self, name: &str) {
        let sent = Command::new("sh").args(["-c", &format!("kill -{name} {}", self.program.0.id())]).status();
        assert!(sent.unwrap().success());
    }
    /// The names of its threads.
    fn threads(&self) -> Vec<String> {
        let tasks = std::fs::read_dir(format!("/proc/{}/task", self.program.0.id())).unwrap();
        tasks.filter_map(|task| std::fs::read_to_string(task.ok()?.path().join("comm")).ok()).collect()
    }
    fn ends_well(mut self) {
        let ended = self.program.0.wait().unwrap();
        assert!(ended.success(), "{ended}");
        let _ = std::fs::remove_dir_all(&self.folder); // the next run has another
    }
}

fn text(listen: SocketAddr, (discovery, platform): &(Discovery, Platform)) -> String {
    EXAMPLE
        .replace("\"127.0.0.1:4000\"", &format!("\"{}\"", listen))
        .replace("\"127.0.0.1:4104\"", &format!("\"{}\"", discovery.addr))
        .replace("\"127.0.0.1:4105\"", &format!("\"{}\"", platform.addr))
}

fn ask(id: &str) -> String {
    format!("GET /api HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: lookup\r\nX-Remaining: 9000m\r\n\r\n")
}

fn quick_node() -> Node {
    Node::start("127.0.0.1:0", |_| Reply::Answer(200, b"ok".to_vec())).unwrap()
}

/// Guards against a hang-up that ends the program, and against the variable, which still names the old address.
#[test]
fn at_a_hang_up_the_file_is_read_again_and_the_sign_to_stop_still_ends_it_well() {
    let node = quick_node();
    let running = Running::start("hang-up", node.addr);
    until("it subscribes", || running.places[0].1.subscribed() == 1);
    std::fs::write(running.file(), &running.text(1)[..40]).unwrap();
    running.sign("HUP");
    std::fs::write(running.file(), running.text(1)).unwrap();
    running.sign("HUP");
    running.sign("HUP");
    until("the new platform is used", || running.places[1].1.subscribed() == 1);
    until("the new discovery is used", || !running.places[1].0.calls().is_empty());
    assert_eq!(status(running.listen, &ask("p1")).as_deref(), Some("200"));
    running.sign("TERM");
    running.sign("HUP");
    running.ends_well();
}

/// Guards against hundreds of marshals on one machine that together hold all of its threads while they do nothing.
#[test]
fn a_marshal_at_rest_holds_few_threads_and_a_further_one_only_for_what_is_out_at_once() {
    let node = quick_node();
    let running = Running::start("threads", node.addr);
    let senders = || running.threads().iter().filter(|name| name.trim() == "send").count();
    assert_eq!(senders(), 1);
    assert!(running.threads().len() <= 9, "{:?}", running.threads());
    // A marshal that is up and has not read its list yet refuses, rightly.
    until("the node is known", || status(running.listen, &ask("first")).as_deref() == Some("200"));
    for number in 0..20 {
        assert_eq!(
            status(running.listen, &ask(&format!("t{number}"))).as_deref(),
            Some("200"),
            "request {number}"
        );
    }
    // A worker may still be counted as busy for a moment after its answer has left.
    assert!(senders() <= 3, "{:?}", running.threads());
    running.sign("TERM");
    running.ends_well();
}

/// A request that must not run twice.
fn pay(id: &str) -> String {
    format!("POST /api HTTP/1.1\r\nX-Txn: {id}\r\nX-Lane: pay\r\nX-Remaining: 9000m\r\nContent-Length: 1\r\n\r\n1")
}

/// What clients saw that went on asking while their marshal was told to stop, as the front has them do: new connections
/// for a while yet, kept ones for as long as they stand.
#[derive(Default)]
struct Seen {
    answered: AtomicU64,
    /// Requests that were the first on their connection and got no answer.
    lost: Mutex<Vec<String>>,
    /// Answers that were none of a node's.
    other: Mutex<Vec<String>>,
}

/// One client: a fresh connection for every third request, the rest on one that is kept. New ones until `no_more`.
fn keep_asking(who: usize, listen: SocketAddr, no_more: &Mutex<Option<Instant>>, seen: &Seen) {
    let mut kept: Option<TcpStream> = None;
    for number in 0.. {
        let id = format!("c{who}-{number}");
        let text = if number % 2 == 0 { ask(&id) } else { pay(&id) };
        if number % 3 == 0 {
            kept = None;
        }
        // A connection that is closed as a request crosses it: the request goes out once more, on a new one.
        loop {
            let fresh = kept.is_none();
            if fresh && no_more.lock().unwrap().is_some_and(|at| Instant::now() >= at) {
                return;
            }
            let stream = match kept.take() {
                Some(stream) => stream,
                None => TcpStream::connect(listen).expect("new connections are taken for a while yet"),
            };
            stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
            let written = (&stream).write_all(text.as_bytes()).is_ok();
            let answer = read_message(&stream, &mut Vec::new());
            match answer {
                Ok(Some(answer)) => {
                    seen.answered.fetch_add(1, SeqCst);
                    if answer.word(1) != "200" {
                        seen.other.lock().unwrap().push(format!("{id}: {}", answer.word(1)));
                    }
                    kept = (answer.get("Connection") != Some("close")).then_some(stream);
                    break;
                }
                _ if fresh => {
                    seen.lost.lock().unwrap().push(format!("{id}, written {written}"));
                    return;
                }
                _ => {}
            }
        }
    }
}

/// Stops a marshal under load, in its own way; every request is answered by a node, and none that must not ran twice.
fn stopped_under_load(name: &str, stop: impl FnOnce(&Running)) {
    let ran: Arc<Mutex<HashMap<String, u32>>> = Arc::default();
    let counts = ran.clone();
    let node = Node::start("127.0.0.1:0", move |message| {
        *counts.lock().unwrap().entry(message.get("X-Txn").unwrap_or("").to_string()).or_default() += 1;
        Reply::After(Duration::from_millis(15), Box::new(Reply::Answer(200, b"ok".to_vec())))
    });
    let node = node.unwrap();
    let running = Running::start(name, node.addr);
    // A marshal that has not read its list yet refuses, rightly; what is judged here begins after that.
    let first = AtomicU64::new(0);
    until("the node is known", || {
        let id = format!("first-{}", first.fetch_add(1, SeqCst));
        status(running.listen, &ask(&id)).as_deref() == Some("200")
    });
    let (seen, no_more) = (Seen::default(), Mutex::new(None));
    std::thread::scope(|scope| {
        for who in 0..8 {
            let (seen, no_more, listen) = (&seen, &no_more, running.listen);
            scope.spawn(move || keep_asking(who, listen, no_more, seen));
        }
        until("clients ask", || seen.answered.load(SeqCst) > 100);
        stop(&running);
        *no_more.lock().unwrap() = Some(Instant::now() + Duration::from_millis(350));
    });
    assert_eq!(*seen.lost.lock().unwrap(), Vec::<String>::new());
    assert_eq!(*seen.other.lock().unwrap(), Vec::<String>::new());
    let ran = ran.lock().unwrap();
    let twice: Vec<_> = ran.iter().filter(|(_, count)| **count > 1).collect();
    assert!(twice.is_empty(), "{twice:?}");
    assert!(ran.len() as u64 >= seen.answered.load(SeqCst));
    running.ends_well();
}

#[test]
fn the_sign_to_stop_under_load_loses_no_request() {
    stopped_under_load("stop", |running| running.sign("TERM"));
}

/// Guards against a reload that holds up or undoes a stop, in whatever order the two are heard.
#[test]
fn a_hang_up_with_the_sign_to_stop_loses_no_request() {
    stopped_under_load("both", |running| {
        std::fs::write(running.file(), running.text(1)).unwrap();
        let id = running.program.0.id();
        let both = format!("kill -HUP {id}; kill -TERM {id}; kill -HUP {id}; kill -HUP {id}");
        assert!(Command::new("sh").args(["-c", &both]).status().unwrap().success());
    });
}

/// Guards against a file that is gone or wrong at the moment of the stop, or between two signs.
#[test]
fn hang_ups_without_a_file_or_with_a_wrong_one_change_nothing_and_the_stop_loses_no_request() {
    stopped_under_load("wrong", |running| {
        std::fs::remove_file(running.file()).unwrap();
        running.sign("HUP");
        std::fs::write(running.file(), "{\"listen\": 7").unwrap();
        running.sign("HUP");
        running.sign("HUP");
        assert_eq!(status(running.listen, &ask("between")).as_deref(), Some("200"));
        running.sign("TERM");
    });
}
