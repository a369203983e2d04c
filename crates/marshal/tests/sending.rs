//! Single attempts, without a decision thread: the outcomes follow the protocol's table, and nothing is written for an
//! aborted attempt.

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

struct Harness {
    workers: WorkerPool<Arc<Attempt>>,
    buffers: BufferPool,
    inputs: Receiver<DecisionInput>,
    /// The client's side of the connection that responses are written to.
    client: TcpStream,
    server_side: Arc<Client>,
}

fn limits() -> Limits {
    let transport = TransportSettings {
        connect_timeout: Ms(250.0),
        idle_timeout: Ms(30_000.0),
        late_answer_grace: Ms(20.0),
    };
    Limits::new(Grant { memory_mb: 192, sockets: 1024 }, &transport)
}

fn harness() -> Harness {
    let limits = limits();
    let buffers = BufferPool::new(limits.buffer_bytes, limits.max_pooled_buffers);
    let (inputs_sender, inputs) = bounded(100);
    let executor = AttemptExecutor::new(&limits, &buffers, &Arc::new(Counters::default()), inputs_sender);
    let workers = WorkerPool::new("send", limits.pool_options(4, 4), move |attempt: Arc<Attempt>| {
        executor.run(&attempt)
    })
    .unwrap();
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let client = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
    let server_side = Arc::new(Client::new(listener.accept().unwrap().0, Arc::default()));
    Harness { workers, buffers, inputs, client, server_side }
}

impl Harness {
    fn attempt(&self, node: &Arc<Node>, wait: u64) -> Arc<Attempt> {
        let mut message = self.buffers.take();
        assert!(message.append(b"GET /api HTTP/1.1\r\nX-Txn: a\r\n"));
        let (now, wait) = (Instant::now(), Duration::from_millis(wait));
        let at = message.bytes().len();
        let request =
            PendingRequest::new(RequestId("a".into()), self.server_side.clone(), message, at, now + wait);
        Arc::new(Attempt::new(Arc::new(request), 0, node.clone(), now, now + wait))
    }
    fn wait_for_outcome(&self) -> Outcome {
        match self.inputs.recv_timeout(Duration::from_secs(20)) {
            Ok(DecisionInput::AttemptEnded { outcome, .. }) => outcome,
            _ => panic!("the attempt did not end"),
        }
    }
    /// Runs an attempt and returns its outcome, checking that it ends once.
    fn run(&self, attempt: &Arc<Attempt>) -> Outcome {
        assert!(self.workers.submit(attempt.clone()).is_ok());
        let outcome = self.wait_for_outcome();
        assert!(self.inputs.is_empty());
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
fn each_outcome_follows_the_protocol_table() {
    let harness = harness();
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
        assert_eq!(harness.run(&harness.attempt(&node, 20_000)), outcome);
        assert_eq!(toy.asked().len(), 1);
    }
    let nowhere = TcpListener::bind("127.0.0.1:0").unwrap().local_addr().unwrap();
    assert_eq!(harness.run(&harness.attempt(&node(nowhere), 20_000)), Outcome::ConnectFailed);
}

#[test]
fn an_attempt_aborted_before_it_starts_is_never_written() {
    let harness = harness();
    let (toy, node) = toy(|| Reply::Answer(200, Vec::new()));
    let attempt = harness.attempt(&node, 20_000);
    attempt.cancel();
    assert_eq!(harness.run(&attempt), Outcome::Cancelled);
    let attempt = harness.attempt(&node, 20_000);
    attempt.time_out();
    assert_eq!(harness.run(&attempt), Outcome::NotSent);
    assert_eq!(harness.run(&harness.attempt(&node, 0)), Outcome::NotSent);
    node.remove();
    assert_eq!(harness.run(&harness.attempt(&node, 20_000)), Outcome::NotSent);
    assert!(toy.asked().is_empty());
    assert_eq!(toy.connections().0, 0);
}

#[test]
fn an_aborted_attempt_ends_with_its_cause_and_its_connection_is_not_reused() {
    let harness = harness();
    let (toy, node) = toy(|| Reply::Silent);
    for (abort, outcome) in
        [(Attempt::cancel as fn(&Attempt), Outcome::Cancelled), (Attempt::time_out, Outcome::Timeout)]
    {
        let attempt = harness.attempt(&node, 20_000);
        // Counted before the attempt is submitted: the node may be asked at once, and does not answer.
        let before = toy.asked().len();
        assert!(harness.workers.submit(attempt.clone()).is_ok());
        while toy.asked().len() == before && harness.inputs.is_empty() {
            std::thread::sleep(Duration::from_millis(2));
        }
        abort(&attempt);
        abort(&attempt);
        assert_eq!(harness.wait_for_outcome(), outcome);
        attempt.cancel();
        assert_eq!(node.idle(), 0);
    }
    assert_eq!(toy.connections().0, 2);
}

#[test]
fn a_second_response_to_one_request_is_not_forwarded() {
    let harness = harness();
    let (_toy, node) = toy(|| Reply::Answer(200, b"once".to_vec()));
    let attempt = harness.attempt(&node, 20_000);
    assert!(attempt.request.claim());
    assert!(!attempt.request.claim());
    assert_eq!(harness.run(&attempt), Outcome::Ok);
    assert_eq!(node.idle(), 1);
    // Nothing was sent to the client.
    harness.client.set_read_timeout(Some(Duration::from_millis(50))).unwrap();
    assert!(!matches!((&harness.client).read(&mut [0]), Ok(1)));
}

/// Guards against a node that appears slow because the client reads slowly: the response's time is when it arrived, and
/// a long response that its client does not read ends as the client's fault, not as the node's timeout.
#[test]
fn a_client_that_reads_slowly_does_not_make_the_node_look_slow() {
    let harness = harness();
    let (_toy, node) = toy(|| Reply::Answer(200, vec![b'x'; 8 << 20]));
    let attempt = harness.attempt(&node, 20_000);
    assert!(harness.workers.submit(attempt.clone()).is_ok());
    assert!(matches!(
        harness.inputs.recv_timeout(Duration::from_secs(20)),
        Ok(DecisionInput::StreamStarted(..))
    ));
    let reading_since = Instant::now();
    let mut client = harness.client.try_clone().unwrap();
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
    match harness.inputs.recv_timeout(Duration::from_secs(20)) {
        Ok(DecisionInput::AttemptEnded { outcome: Outcome::Ok, ended_at, .. }) => {
            assert!(ended_at < reading_since)
        }
        _ => panic!("the attempt did not end"),
    }
    assert!(reader.join().unwrap() >= 8 << 20);
    // An attempt that times out while its client reads nothing and then disconnects.
    let attempt = harness.attempt(&node, 20_000);
    let Harness { workers, inputs, client, .. } = harness;
    assert!(workers.submit(attempt.clone()).is_ok());
    assert!(matches!(inputs.recv_timeout(Duration::from_secs(20)), Ok(DecisionInput::StreamStarted(..))));
    attempt.time_out();
    drop(client);
    let end = inputs.recv_timeout(Duration::from_secs(20));
    assert!(matches!(
        end,
        Ok(DecisionInput::AttemptEnded { outcome: Outcome::Cancelled | Outcome::Timeout, .. })
    ));
}

/// Guards against idle connections that the other side drops earlier than announced: those that were idle for long
/// break, younger ones don't; an idle time that is never used again is tried once more after a while.
#[test]
fn connections_that_break_after_long_idle_times_are_kept_for_less_time() {
    let limits = limits();
    let statistics = ReuseStatistics::default();
    let (young, old) = (Duration::from_millis(20), Duration::from_millis(250));
    for at in 0..40 {
        statistics.record(young, at % 20 == 0);
        statistics.record(old, false);
    }
    assert_eq!(statistics.max_idle_time(&limits), Duration::MAX);
    (0..16).for_each(|at| statistics.record(old, at % 2 == 0));
    assert_eq!(statistics.max_idle_time(&limits), Duration::from_millis(200));
    (0..100).for_each(|_| statistics.decay());
    assert_eq!(statistics.max_idle_time(&limits), Duration::MAX);
    // If the youngest connections break as often, idle time is not the cause.
    (0..40).for_each(|_| (statistics.record(young, true), statistics.record(old, true)).0);
    assert_eq!(statistics.max_idle_time(&limits), Duration::MAX);
}
