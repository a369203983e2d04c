//! Marshals that begin on a request and read its body later, before the real programs: such a marshal is alive, and its edge waits
//! for it. Time passes as the product tells it: by a request beside that no marshal answers until its own time is over.

mod cluster;

use cluster::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddrV4, TcpListener, TcpStream};
use std::sync::mpsc::{channel, Receiver, Sender};

/// Bytes of an order's body: more than a marshal's host takes for it unread.
const LARGE: usize = 8_000_000;
/// Milliseconds of a request that no marshal answers: several times as long as a host without power is waited for.
const HELD_MS: u64 = 2_500;

/// What the stand-in tells the test.
#[derive(Debug, PartialEq)]
enum Seen {
    /// It has begun on the order, and its body is unread.
    Begun,
    /// The order's whole body has come, or this many bytes and then the connection's end.
    Body(usize),
}

/// A marshal that answers `/look/ready` at once and `/look/held` never, and reads the body of an order once it is told to.
struct LateReader {
    seen: Receiver<Seen>,
    read: Sender<()>,
}

impl LateReader {
    fn start(at: SocketAddrV4, answer_first: bool) -> LateReader {
        let listener = TcpListener::bind(at).unwrap();
        let (tell, seen) = channel();
        let (read, told) = channel();
        let told = std::sync::Arc::new(std::sync::Mutex::new(told));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (tell, told) = (tell.clone(), std::sync::Arc::clone(&told));
                std::thread::spawn(move || {
                    let _ = serve_late(stream, answer_first, &tell, &told); // its caller may have gone
                });
            }
        });
        LateReader { seen, read }
    }

    fn sees(&self) -> Seen {
        self.seen.recv_timeout(PATIENCE).unwrap()
    }
}

fn field(head: &str, name: &str) -> String {
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    fields
        .find(|(key, _)| key.eq_ignore_ascii_case(name))
        .map(|(_, value)| value.to_owned())
        .unwrap_or_default()
}

fn serve_late(
    stream: TcpStream,
    answer_first: bool,
    tell: &Sender<Seen>,
    told: &std::sync::Mutex<Receiver<()>>,
) -> std::io::Result<()> {
    let mut from = BufReader::new(stream.try_clone()?);
    let mut to = stream;
    loop {
        let head = read_head(&mut from)?;
        let id = field(&head, "x-milletwing-attempt-id");
        let answer = format!(
            "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: seal\r\nContent-Length: 2\r\n\r\nok"
        );
        if head.contains("/look/held") {
            continue;
        }
        if head.starts_with("POST") {
            if answer_first {
                to.write_all(answer.as_bytes())?;
            }
            let _ = tell.send(Seen::Begun); // the test may be over
            let _ = told.lock().map(|told| told.recv());
            let length: u64 = field(&head, "content-length").parse().unwrap_or(0);
            let count = std::io::copy(&mut (&mut from).take(length), &mut std::io::sink()).unwrap_or(0);
            let _ = tell.send(Seen::Body(count as usize));
            if answer_first {
                continue;
            }
        }
        to.write_all(answer.as_bytes())?;
    }
}

fn read_head(from: &mut impl Read) -> std::io::Result<String> {
    let mut bytes = Vec::new();
    let mut byte = [0];
    while !bytes.ends_with(b"\r\n\r\n") {
        from.read_exact(&mut byte)?;
        bytes.extend(byte);
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// A core, an edge and one such marshal, which has served a first request.
fn place(name: &str, answer_first: bool) -> (Cluster, Vec<Process>, Process, LateReader) {
    let cluster = Cluster::new(name);
    let core = cluster.core();
    let configuration = body(3).replace("100000", "67108864");
    let headers = "If-Match: 0\r\nContent-Type: application/json\r\n";
    let put = cluster.order(&[1, 2, 3], "PUT", "/milletwing/configuration", headers, &configuration);
    assert_eq!(put.0, 200, "{}", put.1);
    let late = LateReader::start(cluster.at(100, 80), answer_first);
    assert_eq!(cluster.beat(&[1], "i-1", cluster.at(100, 80)), 200);
    let edge = cluster.start("edge-proxy", 20, true);
    edge.until("M130");
    served(cluster.at(20, 8548));
    (cluster, core, edge, late)
}

/// Sends an order and gives its answer's status, or nothing where the connection ends without one.
fn order(to: SocketAddrV4, bytes: usize) -> std::thread::JoinHandle<Option<(u16, String)>> {
    std::thread::spawn(move || {
        let length = format!("Content-Length: {bytes}\r\n");
        let text = request("POST", "/order/late", "late", &length, &"a".repeat(bytes));
        raw(to, text.as_bytes()).map(|(status, head, _)| (status, head))
    })
}

/// Returns once a request that no marshal answers has run out of its time.
fn let_time_pass(to: SocketAddrV4) {
    let text = request("GET", "/look/held", "held", "", "").replace("4000", &HELD_MS.to_string());
    assert_eq!(raw(to, text.as_bytes()).map(|(status, ..)| status), Some(504));
}

/// An order whose marshal reads its body late, and after it has answered where `answer_first` is set: the whole body arrives. Gives the
/// answer's status and head.
fn read_late(name: &str, answer_first: bool) -> (u16, String) {
    let (cluster, _core, _edge, late) = place(name, answer_first);
    let to = cluster.at(20, 8548);
    let waiting = order(to, LARGE);
    assert_eq!(late.sees(), Seen::Begun);
    let_time_pass(to);
    late.read.send(()).unwrap();
    assert_eq!(late.sees(), Seen::Body(LARGE));
    waiting.join().unwrap().expect("an answer")
}

/// Guards against LOST: an edge took a live marshal that had not read an order's body for a host without power, reset the
/// connection and answered 502 in the marshal's place.
#[test]
fn an_order_is_answered_by_a_marshal_that_reads_its_body_late() {
    let (status, head) = read_late("late", false);
    assert!(status == 200 && head.to_ascii_lowercase().contains("x-milletwing-server-seal: seal"), "{head}");
}

/// Guards against a body cut short behind its answer: the edge reset the connection of a marshal that had answered before it read.
#[test]
fn the_rest_of_a_body_reaches_a_marshal_that_answered_before_it_read() {
    assert_eq!(read_late("early", true).0, 200);
}

/// Guards against a request that waits behind a body which its marshal answered early and has not read.
#[test]
fn the_next_request_does_not_wait_behind_a_body_that_was_answered_early() {
    /// Bytes that the hosts of both sides take unread, so that the edge has sent all of them.
    const TAKEN: usize = 400_000;
    let (cluster, _core, _edge, late) = place("next", true);
    let to = cluster.at(20, 8548);
    assert_eq!(order(to, TAKEN).join().unwrap().map(|(status, _)| status), Some(200));
    assert_eq!(late.sees(), Seen::Begun);
    let next = raw(to, request("GET", "/look/ready", "next", "", "").as_bytes());
    assert_eq!(next.map(|(status, ..)| status), Some(200));
    late.read.send(()).unwrap();
    assert_eq!(late.sees(), Seen::Body(TAKEN));
}
