//! One attempt at a time, without a decision thread: its end follows the protocol's table, and what was given up
//! is never written.

use crossbeam_channel::{bounded, Receiver};
use milletwing_decision::interface::{Ms, NodeId, RequestId, Verdict};
use milletwing_marshal::book::{Book, Open};
use milletwing_marshal::buffers::Buffers;
use milletwing_marshal::intake::Client;
use milletwing_marshal::limits::{Grant, Limits};
use milletwing_marshal::route::Note;
use milletwing_marshal::send::{Attempt, Node, Senders};
use milletwing_profile::Transport;
use milletwing_toy::node::{Node as Toy, Reply};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Line {
    senders: Arc<Senders>,
    buffers: Buffers,
    notes: Receiver<Note>,
    /// The client's side of the connection that answers go to.
    client: TcpStream,
    served: Arc<Client>,
}

fn line() -> Line {
    let transport = Transport { connect_timeout: Ms(250.0), keepalive: Ms(30_000.0), grace: Ms(20.0) };
    let limits = Limits::new(Grant { memory_mb: 192, sockets: 1024 }, &transport);
    let buffers = Buffers::new(limits.buffer, limits.spare_buffers);
    let (send, notes) = bounded(100);
    let senders = Arc::new(Senders::new(&limits, &buffers, &Arc::new(Book::default()), send));
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let served = Arc::new(Client::new(listener.accept().unwrap().0, Arc::default()));
    Line { senders, buffers, notes, client, served }
}

impl Line {
    fn attempt(&self, node: &Arc<Node>, wait: u64) -> Arc<Attempt> {
        let mut message = self.buffers.take();
        assert!(message.put(b"GET /api HTTP/1.1\r\nX-Txn: a\r\n"));
        let (now, wait) = (Instant::now(), Duration::from_millis(wait));
        let at = message.bytes().len();
        let open = Open::new(RequestId("a".into()), self.served.clone(), message, at, now + wait);
        Arc::new(Attempt::new(Arc::new(open), 0, node.clone(), now, now + wait))
    }
    fn end(&self) -> Verdict {
        match self.notes.recv_timeout(Duration::from_secs(20)) {
            Ok(Note::Ended { verdict, .. }) => verdict,
            _ => panic!("no end"),
        }
    }
    /// Hands it over and tells how it ended, once.
    fn run(&self, attempt: &Arc<Attempt>) -> Verdict {
        assert!(self.senders.hand(attempt.clone()));
        let verdict = self.end();
        assert!(self.notes.is_empty());
        verdict
    }
}

fn node(addr: SocketAddr) -> Arc<Node> {
    Arc::new(Node::new(NodeId("n".into()), addr))
}

fn toy(reply: fn() -> Reply) -> (Toy, Arc<Node>) {
    let toy = Toy::start("127.0.0.1:0", move |_| reply()).unwrap();
    let node = node(toy.addr);
    (toy, node)
}

#[test]
fn each_end_follows_the_table() {
    let line = line();
    let cases: [(fn() -> Reply, Verdict); 7] = [
        (|| Reply::Answer(200, b"x".to_vec()), Verdict::Ok),
        (|| Reply::Answer(500, Vec::new()), Verdict::Error),
        (|| Reply::Answer(503, Vec::new()), Verdict::Error),
        (|| Reply::TurnAway, Verdict::Full),
        (|| Reply::RawEnd(Vec::new()), Verdict::Reset),
        (|| Reply::RawEnd(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()), Verdict::Reset),
        (|| Reply::Raw(b"nonsense\r\n\r\n".to_vec()), Verdict::Reset),
    ];
    for (reply, verdict) in cases {
        let (toy, node) = toy(reply);
        assert_eq!(line.run(&line.attempt(&node, 20_000)), verdict);
        assert_eq!(toy.asked().len(), 1);
    }
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(line.run(&line.attempt(&node(nowhere), 20_000)), Verdict::ConnectFailed);
}

#[test]
fn what_was_given_up_before_it_began_is_never_written() {
    let line = line();
    let (toy, node) = toy(|| Reply::Answer(200, Vec::new()));
    let attempt = line.attempt(&node, 20_000);
    attempt.cancel();
    assert_eq!(line.run(&attempt), Verdict::Cancelled);
    let attempt = line.attempt(&node, 20_000);
    attempt.time_out();
    assert_eq!(line.run(&attempt), Verdict::Moot);
    assert_eq!(line.run(&line.attempt(&node, 0)), Verdict::Moot);
    node.leave();
    assert_eq!(line.run(&line.attempt(&node, 20_000)), Verdict::Moot);
    assert!(toy.asked().is_empty());
    assert_eq!(toy.connections().0, 0);
}

#[test]
fn an_attempt_that_is_out_ends_as_it_was_given_up_and_its_connection_is_not_used_again() {
    let line = line();
    let (toy, node) = toy(|| Reply::Silent);
    for (give_up, verdict) in
        [(Attempt::cancel as fn(&Attempt), Verdict::Cancelled), (Attempt::time_out, Verdict::Timeout)]
    {
        let attempt = line.attempt(&node, 20_000);
        assert!(line.senders.hand(attempt.clone()));
        let before = toy.asked().len();
        while toy.asked().len() == before && line.notes.is_empty() {
            std::thread::sleep(Duration::from_millis(2));
        }
        give_up(&attempt);
        give_up(&attempt);
        assert_eq!(line.end(), verdict);
        attempt.cancel();
        assert_eq!(node.idle(), 0);
    }
    assert_eq!(toy.connections().0, 2);
}

#[test]
fn a_second_answer_to_one_request_is_not_passed_on() {
    let line = line();
    let (_toy, node) = toy(|| Reply::Answer(200, b"once".to_vec()));
    let attempt = line.attempt(&node, 20_000);
    assert!(attempt.open.claim());
    assert!(!attempt.open.claim());
    assert_eq!(line.run(&attempt), Verdict::Ok);
    assert_eq!(node.idle(), 1);
    // Nothing came to the client.
    line.client.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(!matches!((&line.client).read(&mut [0]), Ok(1)));
}
