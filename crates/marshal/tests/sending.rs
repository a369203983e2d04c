//! One attempt at a time, without a decision thread: its end follows the protocol's table, and what was given up
//! is never written.

use crossbeam_channel::{bounded, Receiver};
use milletwing_decision::interface::{Ms, NodeId, Outcome, RequestId};
use milletwing_marshal::accounting::{Counters, PendingRequest};
use milletwing_marshal::buffers::BufferPool;
use milletwing_marshal::client::Client;
use milletwing_marshal::limits::{Grant, Limits};
use milletwing_marshal::ports::{AttemptHandle, DecisionInput};
use milletwing_marshal::send::{Attempt, AttemptExecutor, Node, ReuseStatistics};
use milletwing_marshal::worker_pool::WorkerPool;
use milletwing_profile::TransportSettings;
use milletwing_toy::node::{Node as Toy, Reply};
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Line {
    senders: WorkerPool<Arc<Attempt>>,
    buffers: BufferPool,
    notes: Receiver<DecisionInput>,
    /// The client's side of the connection that answers go to.
    client: TcpStream,
    served: Arc<Client>,
}

fn limits() -> Limits {
    let transport = TransportSettings {
        connect_timeout: Ms(250.0),
        idle_timeout: Ms(30_000.0),
        late_answer_grace: Ms(20.0),
    };
    Limits::new(Grant { memory_mb: 192, sockets: 1024 }, &transport)
}

fn line() -> Line {
    let limits = limits();
    let buffers = BufferPool::new(limits.buffer_bytes, limits.max_pooled_buffers);
    let (send, notes) = bounded(100);
    let senders = AttemptExecutor::new(&limits, &buffers, &Arc::new(Counters::default()), send);
    let senders =
        WorkerPool::new("send", limits.pool_options(4, 4), move |it: Arc<Attempt>| senders.run(&it)).unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let served = Arc::new(Client::new(listener.accept().unwrap().0, Arc::default()));
    Line { senders, buffers, notes, client, served }
}

impl Line {
    fn attempt(&self, node: &Arc<Node>, wait: u64) -> Arc<Attempt> {
        let mut message = self.buffers.take();
        assert!(message.append(b"GET /api HTTP/1.1\r\nX-Txn: a\r\n"));
        let (now, wait) = (Instant::now(), Duration::from_millis(wait));
        let at = message.bytes().len();
        let open = PendingRequest::new(RequestId("a".into()), self.served.clone(), message, at, now + wait);
        Arc::new(Attempt::new(Arc::new(open), 0, node.clone(), now, now + wait))
    }
    fn end(&self) -> Outcome {
        match self.notes.recv_timeout(Duration::from_secs(20)) {
            Ok(DecisionInput::AttemptEnded { outcome, .. }) => outcome,
            _ => panic!("no end"),
        }
    }
    /// Hands it over and tells how it ended, once.
    fn run(&self, attempt: &Arc<Attempt>) -> Outcome {
        assert!(self.senders.submit(attempt.clone()).is_ok());
        let outcome = self.end();
        assert!(self.notes.is_empty());
        outcome
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
    let cases: [(fn() -> Reply, Outcome); 7] = [
        (|| Reply::Answer(200, b"x".to_vec()), Outcome::Ok),
        (|| Reply::Answer(500, Vec::new()), Outcome::Error),
        (|| Reply::Answer(503, Vec::new()), Outcome::Error),
        (|| Reply::TurnAway, Outcome::Rejected),
        (|| Reply::RawEnd(Vec::new()), Outcome::Reset),
        (|| Reply::RawEnd(b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf".to_vec()), Outcome::Reset),
        (|| Reply::Raw(b"nonsense\r\n\r\n".to_vec()), Outcome::Reset),
    ];
    for (reply, outcome) in cases {
        let (toy, node) = toy(reply);
        assert_eq!(line.run(&line.attempt(&node, 20_000)), outcome);
        assert_eq!(toy.asked().len(), 1);
    }
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(line.run(&line.attempt(&node(nowhere), 20_000)), Outcome::ConnectFailed);
}

#[test]
fn what_was_given_up_before_it_began_is_never_written() {
    let line = line();
    let (toy, node) = toy(|| Reply::Answer(200, Vec::new()));
    let attempt = line.attempt(&node, 20_000);
    attempt.cancel();
    assert_eq!(line.run(&attempt), Outcome::Cancelled);
    let attempt = line.attempt(&node, 20_000);
    attempt.time_out();
    assert_eq!(line.run(&attempt), Outcome::NotSent);
    assert_eq!(line.run(&line.attempt(&node, 0)), Outcome::NotSent);
    node.remove();
    assert_eq!(line.run(&line.attempt(&node, 20_000)), Outcome::NotSent);
    assert!(toy.asked().is_empty());
    assert_eq!(toy.connections().0, 0);
}

#[test]
fn an_attempt_that_is_out_ends_as_it_was_given_up_and_its_connection_is_not_used_again() {
    let line = line();
    let (toy, node) = toy(|| Reply::Silent);
    for (give_up, outcome) in
        [(Attempt::cancel as fn(&Attempt), Outcome::Cancelled), (Attempt::time_out, Outcome::Timeout)]
    {
        let attempt = line.attempt(&node, 20_000);
        // Counted before it is handed over: the node may be asked at once, and answers nothing.
        let before = toy.asked().len();
        assert!(line.senders.submit(attempt.clone()).is_ok());
        while toy.asked().len() == before && line.notes.is_empty() {
            std::thread::sleep(Duration::from_millis(2));
        }
        give_up(&attempt);
        give_up(&attempt);
        assert_eq!(line.end(), outcome);
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
    assert!(attempt.request.claim());
    assert!(!attempt.request.claim());
    assert_eq!(line.run(&attempt), Outcome::Ok);
    assert_eq!(node.idle(), 1);
    // Nothing came to the client.
    line.client.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(!matches!((&line.client).read(&mut [0]), Ok(1)));
}

/// Guards against taking a client that reads slowly for a slow node: an answer's time is when it came, and a long one
/// that its client does not take ends as the client's, not as the node's time-out.
#[test]
fn a_client_that_reads_slowly_makes_no_node_slow() {
    let line = line();
    let (_toy, node) = toy(|| Reply::Answer(200, vec![b'x'; 8 << 20]));
    let attempt = line.attempt(&node, 20_000);
    assert!(line.senders.submit(attempt.clone()).is_ok());
    assert!(matches!(line.notes.recv_timeout(Duration::from_secs(20)), Ok(DecisionInput::StreamStarted(..))));
    let reads_from = Instant::now();
    let mut client = line.client.try_clone().unwrap();
    let reader = std::thread::spawn(move || {
        let (mut chunk, mut all) = (vec![0; 64 << 10], 0);
        while all < 8 << 20 {
            match client.read(&mut chunk) {
                Ok(read) if read > 0 => all += read,
                _ => break,
            }
        }
        all
    });
    match line.notes.recv_timeout(Duration::from_secs(20)) {
        Ok(DecisionInput::AttemptEnded { outcome: Outcome::Ok, ended_at, .. }) => {
            assert!(ended_at < reads_from)
        }
        _ => panic!("no end"),
    }
    assert!(reader.join().unwrap() >= 8 << 20);
    // One that is given up while its client takes nothing, and then leaves.
    let attempt = line.attempt(&node, 20_000);
    let Line { senders, notes, client, .. } = line;
    assert!(senders.submit(attempt.clone()).is_ok());
    assert!(matches!(notes.recv_timeout(Duration::from_secs(20)), Ok(DecisionInput::StreamStarted(..))));
    attempt.time_out();
    drop(client);
    let end = notes.recv_timeout(Duration::from_secs(20));
    assert!(matches!(
        end,
        Ok(DecisionInput::AttemptEnded { outcome: Outcome::Cancelled | Outcome::Timeout, .. })
    ));
}

/// Guards against connections that the other side lets go of sooner than it says: those that stood for long break,
/// younger ones don't; what is never used again is forgotten and tried once more.
#[test]
fn connections_that_break_after_standing_for_long_are_kept_for_less() {
    let limits = limits();
    let reuse = ReuseStatistics::default();
    let (young, old) = (Duration::from_millis(20), Duration::from_millis(250));
    for at in 0..40 {
        reuse.record(young, at % 20 == 0);
        reuse.record(old, false);
    }
    assert_eq!(reuse.max_idle_time(&limits), Duration::MAX);
    (0..16).for_each(|at| reuse.record(old, at % 2 == 0));
    assert_eq!(reuse.max_idle_time(&limits), Duration::from_millis(200));
    (0..100).for_each(|_| reuse.decay());
    assert_eq!(reuse.max_idle_time(&limits), Duration::MAX);
    // Where the youngest break as often, standing is not the cause.
    (0..40).for_each(|_| (reuse.record(young, true), reuse.record(old, true)).0);
    assert_eq!(reuse.max_idle_time(&limits), Duration::MAX);
}
