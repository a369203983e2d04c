//! A module that panics loses no request: what is open fails, and a new one goes on with the list as last told.

use crossbeam_channel::bounded;
use milletwing_decision::interface::{ClassId, FleetUpdateKind, Ms, NodeEntry, NodeId, RequestId};
use milletwing_marshal::accounting::{Counters, PendingRequest};
use milletwing_marshal::buffers::BufferPool;
use milletwing_marshal::client::Client;
use milletwing_marshal::clock::Clock;
use milletwing_marshal::ports::{AdmittedRequest, DecisionInput};
use milletwing_marshal::relay::ResponseWriters;
use milletwing_marshal::route::{DecisionContext, DecisionThread};
use milletwing_marshal::send::{AttemptExecutor, NodePools};
use milletwing_marshal::{Config, Limits};
use milletwing_toy::node::{Node, Reply};
use milletwing_toy::read_message;
use std::net::{TcpListener, TcpStream};
use std::sync::Arc;
use std::time::{Duration, Instant};

const EXAMPLE: &str = include_str!("../../../examples/marshal.json");

#[test]
fn a_module_that_panics_loses_no_request_and_the_next_one_serves() {
    let config = Config::read(EXAMPLE, |_| None).unwrap();
    let limits = Limits::new(config.grant, &config.transport);
    let buffers = BufferPool::new(limits.buffer_bytes, limits.max_pooled_buffers);
    let counters = Arc::new(Counters::default());
    let (notes, inbox) = bounded(limits.decision_queue_capacity);
    let ((ballots, _votes), (asks, _asked)) = (bounded(8), bounded(8));
    let relays = ResponseWriters::new(&limits).unwrap();
    let senders = Arc::new(AttemptExecutor::new(&limits, &buffers, &counters, notes.clone()));
    let tools = DecisionContext {
        settings: config.settings,
        seed: 1,
        limits: limits.clone(),
        clock: Clock::default(),
        counters: counters.clone(),
        attempt_sender: Box::new(NodePools::new(senders).unwrap()),
        responses: Box::new(relays),
        vote_sender: Box::new(ballots),
        discovery: Box::new(asks),
        group: None,
        rollout_observer: None,
    };
    let node = Node::start("127.0.0.1:0", |message| match message.get("X-Txn") {
        Some("held") => Reply::Silent,
        _ => Reply::Answer(200, b"fine".to_vec()),
    })
    .unwrap();
    let entry = NodeEntry { node: NodeId("n".into()), ..NodeEntry::default() };
    let route = DecisionThread::new(tools, vec![(entry.clone(), node.addr)], config.news);
    let thread = std::thread::spawn(move || route.run(&inbox));
    notes.send(DecisionInput::FleetUpdate(FleetUpdateKind::Replace, vec![(entry, node.addr)])).unwrap();

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // The class decides: one that the settings don't have is what makes the module panic here.
    let ask = |id: &str, class: usize| {
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let client = Arc::new(Client::new(listener.accept().unwrap().0, Arc::default()));
        let mut message = buffers.take();
        assert!(message.append(format!("GET /api HTTP/1.1\r\nX-Txn: {id}\r\n").as_bytes()));
        let (at, deadline) = (message.bytes().len(), Instant::now() + Duration::from_secs(60));
        let open = Arc::new(PendingRequest::new(RequestId(id.into()), client, message, at, deadline));
        let (class, work_hint) = (ClassId(class), None::<Ms>);
        let admitted =
            AdmittedRequest { request: open, class, key: None, tenant: None, work_hint, is_retry: false };
        notes.send(DecisionInput::RequestAdmitted(Box::new(admitted))).unwrap();
        stream
    };
    let status =
        |stream: &TcpStream| read_message(stream, &mut Vec::new()).unwrap().unwrap().word(1).to_string();
    let held = ask("held", 2);
    while node.asked().is_empty() {
        std::thread::sleep(Duration::from_millis(2));
    }
    let fatal = ask("fatal", 99);
    assert_eq!((status(&held).as_str(), status(&fatal).as_str()), ("502", "502"));
    assert_eq!(status(&ask("next", 0)), "200");
    assert!(format!("{counters}").contains("defects 1"), "{counters}");
    notes.send(DecisionInput::Stop).unwrap();
    thread.join().unwrap();
}
