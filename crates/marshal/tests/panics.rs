//! If the module panics, no request is lost: pending requests fail, and a new module continues with the latest node
//! list.

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
fn a_module_panic_loses_no_request_and_the_restarted_module_serves() {
    let config = Config::read(EXAMPLE, |_| None).unwrap();
    let limits = Limits::new(config.grant, &config.transport);
    let buffers = BufferPool::new(limits.buffer_bytes, limits.max_pooled_buffers);
    let counters = Arc::new(Counters::default());
    let (inputs, input_queue) = bounded(limits.decision_queue_capacity);
    let ((votes, _vote_queue), (requests, _request_queue)) = (bounded(8), bounded(8));
    let writers = ResponseWriters::new(&limits).unwrap();
    let executor = Arc::new(AttemptExecutor::new(&limits, &buffers, &counters, inputs.clone()));
    let context = DecisionContext {
        settings: config.settings,
        seed: 1,
        limits: limits.clone(),
        clock: Clock::default(),
        counters: counters.clone(),
        attempt_sender: Box::new(NodePools::new(executor).unwrap()),
        responses: Box::new(writers),
        vote_sender: Box::new(votes),
        discovery: Box::new(requests),
        group: None,
        rollout_observer: None,
    };
    let node = Node::start("127.0.0.1:0", |message| match message.get("X-Txn") {
        Some("held") => Reply::Silent,
        _ => Reply::Answer(200, b"fine".to_vec()),
    })
    .unwrap();
    let entry = NodeEntry { node: NodeId("n".into()), ..NodeEntry::default() };
    let decision_thread =
        DecisionThread::new(context, vec![(entry.clone(), node.addr)], config.initial_stage);
    let thread = std::thread::spawn(move || decision_thread.run(&input_queue));
    inputs.send(DecisionInput::FleetUpdate(FleetUpdateKind::Replace, vec![(entry, node.addr)])).unwrap();

    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    // A class that the settings do not have makes the module panic here.
    let send_request = |id: &str, class: usize| {
        let stream = TcpStream::connect(listener.local_addr().unwrap()).unwrap();
        stream.set_read_timeout(Some(Duration::from_secs(20))).unwrap();
        let client = Arc::new(Client::new(listener.accept().unwrap().0, Arc::default()));
        let mut message = buffers.take();
        assert!(message.append(format!("GET /api HTTP/1.1\r\nX-Txn: {id}\r\n").as_bytes()));
        let (at, deadline) = (message.bytes().len(), Instant::now() + Duration::from_secs(60));
        let request = Arc::new(PendingRequest::new(RequestId(id.into()), client, message, at, deadline));
        let (class, work_hint) = (ClassId(class), None::<Ms>);
        let admitted =
            AdmittedRequest { request, class, key: None, tenant: None, work_hint, is_retry: false };
        inputs.send(DecisionInput::RequestAdmitted(Box::new(admitted))).unwrap();
        stream
    };
    let status =
        |stream: &TcpStream| read_message(stream, &mut Vec::new()).unwrap().unwrap().word(1).to_string();
    let held = send_request("held", 2);
    while node.asked().is_empty() {
        std::thread::sleep(Duration::from_millis(2));
    }
    let fatal = send_request("fatal", 99);
    assert_eq!((status(&held).as_str(), status(&fatal).as_str()), ("502", "502"));
    assert_eq!(status(&send_request("next", 0)), "200");
    assert!(format!("{counters}").contains("defects 1"), "{counters}");
    inputs.send(DecisionInput::Stop).unwrap();
    thread.join().unwrap();
}
