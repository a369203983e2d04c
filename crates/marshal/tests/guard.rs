//! A vote whose guard no longer holds is never sent completely: an instance that has lost leadership sends nothing to
//! the platform.

use crossbeam_channel::bounded;
use milletwing_decision::interface::{Build, Ms, Outcome, Vote};
use milletwing_marshal::endpoint::Endpoint;
use milletwing_marshal::limits::{Grant, Limits};
use milletwing_marshal::platform::Platform;
use milletwing_marshal::ports::{DecisionInput, Guard, VoteRequest};
use milletwing_profile::{Names, TransportSettings};
use milletwing_toy::platform::Platform as Toy;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::sync::Arc;
use std::time::Duration;

/// Holds for a number of checks.
struct HoldsForChecks(AtomicUsize);

impl Guard for HoldsForChecks {
    fn holds(&self) -> bool {
        self.0.fetch_update(SeqCst, SeqCst, |left| left.checked_sub(1)).is_ok()
    }
}

#[test]
fn a_line_is_begun_and_finished_only_while_its_guard_holds() {
    let toy =
        Toy::start("127.0.0.1:0", "2 0 testing 0.2 0", |_| Some("OK 2 0 testing 0.2 0".into())).unwrap();
    let transport = TransportSettings {
        connect_timeout: Ms(250.0),
        idle_timeout: Ms(30_000.0),
        late_answer_grace: Ms(20.0),
    };
    let limits = Limits::new(Grant { memory_mb: 192, sockets: 1024 }, &transport);
    let (inputs, inputs_received) = bounded(100);
    let endpoint = Arc::new(Endpoint::new(toy.addr));
    let platform = Arc::new(Platform::new(&endpoint, &limits, &Names::default(), inputs));
    let (votes_sender, votes) = bounded(8);
    let (reader, writer) = (platform.clone(), platform);
    std::thread::spawn(move || reader.read());
    std::thread::spawn(move || writer.write(&votes));
    // The toy platform accepts truncated lines, as some implementations would: what must not arrive is the vote's word.
    let complete_lines = |toy: &Toy| toy.said().iter().filter(|call| call.contains("promote")).count();
    let mut number = 0;
    let mut cast_vote = |checks: Option<usize>| {
        let subscribed = toy.subscribed();
        number += 1;
        let guard = checks.map(|checks| -> Arc<dyn Guard> { Arc::new(HoldsForChecks(checks.into())) });
        votes_sender
            .send(VoteRequest { number, build: Build(2), stage: 0, vote: Vote::Advance, guard })
            .unwrap();
        let end = loop {
            match inputs_received.recv_timeout(Duration::from_secs(20)).expect("the vote is answered") {
                DecisionInput::VoteAnswered(of, end) if of == number => break end,
                _ => {}
            }
        };
        (end.map(|report| report.build), complete_lines(&toy), subscribed)
    };
    while toy.subscribed() == 0 {
        std::thread::sleep(Duration::from_millis(2));
    }
    // The guard fails before the line; fails within the line, so that the connection is dropped; holds to the end.
    assert_eq!(cast_vote(Some(0)), (Err(Outcome::NotSent), 0, 1));
    let (end, lines, subscribed_before) = cast_vote(Some(1));
    assert!(matches!(end, Err(Outcome::ConnectFailed | Outcome::Timeout)), "{end:?}");
    while toy.subscribed() == subscribed_before {
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!((lines, complete_lines(&toy)), (0, 0), "a truncated line was accepted");
    assert_eq!(cast_vote(Some(2)), (Ok(Build(2)), 1, 2));
    assert_eq!(cast_vote(None), (Ok(Build(2)), 2, 2));
    endpoint.close();
}
