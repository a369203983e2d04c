//! A call whose guard falls is never finished: whoever leads no more says nothing to the platform.

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

/// Holds for so many looks.
struct Falls(AtomicUsize);

impl Guard for Falls {
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
    let (notes, told) = bounded(100);
    let endpoint = Arc::new(Endpoint::new(toy.addr));
    let platform = Arc::new(Platform::new(&endpoint, &limits, &Names::default(), notes));
    let (send, ballots) = bounded(8);
    let (reader, writer) = (platform.clone(), platform);
    std::thread::spawn(move || reader.read());
    std::thread::spawn(move || writer.write(&ballots));
    // The toy takes a line cut short, as some would: what must not have come is the word.
    let whole = |toy: &Toy| toy.said().iter().filter(|call| call.contains("promote")).count();
    let mut number = 0;
    let mut cast = |looks: Option<usize>| {
        let subscribed = toy.subscribed();
        number += 1;
        let guard = looks.map(|looks| -> Arc<dyn Guard> { Arc::new(Falls(looks.into())) });
        send.send(VoteRequest { number, build: Build(2), stage: 0, vote: Vote::Advance, guard }).unwrap();
        let end = loop {
            match told.recv_timeout(Duration::from_secs(20)).expect("an end") {
                DecisionInput::VoteAnswered(of, end) if of == number => break end,
                _ => {}
            }
        };
        (end.map(|news| news.build), whole(&toy), subscribed)
    };
    while toy.subscribed() == 0 {
        std::thread::sleep(Duration::from_millis(2));
    }
    // Not begun; begun and not finished, on a connection that is dropped; whole.
    assert_eq!(cast(Some(0)), (Err(Outcome::NotSent), 0, 1));
    let (end, said, before) = cast(Some(1));
    assert!(matches!(end, Err(Outcome::ConnectFailed | Outcome::Timeout)), "{end:?}");
    while toy.subscribed() == before {
        std::thread::sleep(Duration::from_millis(2));
    }
    assert_eq!((said, whole(&toy)), (0, 0), "half a line was heard");
    assert_eq!(cast(Some(2)), (Ok(Build(2)), 1, 2));
    assert_eq!(cast(None), (Ok(Build(2)), 2, 2));
    endpoint.close();
}
