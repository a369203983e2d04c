//! Discovery and the platform: their reports take effect, and their failures are tolerated.

use crate::support::*;
use milletwing_toy::discovery::Host;
use milletwing_toy::node::Reply;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;

#[test]
fn changes_of_the_node_list_take_effect() {
    let (first, second, third) = (node_answering("first"), node_answering("second"), node_answering("third"));
    let world = World::of(&[&first]);
    assert_eq!(world.ask(&lookup("5000m")).body, b"first");
    world.discovery.set(Host::new("n1", second.addr, 1));
    wait_until("the new node is used", || world.ask(&lookup("5000m")).body == b"second");
    // A leaving node gets no new requests and completes its current ones.
    world.discovery.set(Host { state: "leaving", ..Host::new("n0", first.addr, 1) });
    wait_until("the connections to the leaving node are closed", || {
        first.connections().0 == first.connections().1
    });
    let before = first.asked().len();
    for _ in 0..10 {
        assert_eq!(world.ask(&lookup("5000m")).body, b"second");
    }
    assert_eq!(first.asked().len(), before);
    world.discovery.set(Host { state: "left", ..Host::new("n0", first.addr, 1) });
    // The other node returns under its id at another address: the old address gets nothing more.
    world.discovery.set(Host { started_ms: 1, ..Host::new("n1", third.addr, 1) });
    wait_until("the new address is used", || world.ask(&lookup("5000m")).body == b"third");
    let before = second.asked().len();
    for _ in 0..10 {
        assert_eq!(world.ask(&lookup("5000m")).body, b"third");
    }
    assert_eq!(second.asked().len(), before);
}

#[test]
fn a_watch_continues_after_responses_and_after_silence() {
    let (first, second) = (node_answering("first"), node_answering("second"));
    let world = World::of(&[&first]);
    wait_until("the watch continues", || world.discovery.calls().len() >= 3);
    assert!(world.discovery.calls().iter().all(|call| call.starts_with("/discovery/hosts?index=1&wait=")));
    world.discovery.silent(true);
    assert_eq!(world.ask(&lookup("5000m")).body, b"first");
    let calls_before_silence = world.discovery.calls().len();
    wait_until("the client calls again", || world.discovery.calls().len() > calls_before_silence);
    world.discovery.silent(false);
    world.discovery.set(Host { started_ms: 1, ..Host::new("n0", second.addr, 1) });
    wait_until("the change takes effect", || world.ask(&lookup("5000m")).body == b"second");
}

#[test]
fn a_reported_stage_lowers_the_cap_at_once() {
    let (old, new) = (node_answering("old"), node_answering("new"));
    let hosts = [Host::new("n0", old.addr, 1), Host::new("n1", new.addr, 2)];
    let world = World::hosts(&hosts, "2 0 testing 0.5 0", |_| None, |_| {});
    wait_until("the build on trial is used", || world.ask(&lookup("5000m")).body == b"new");
    wait_until("the marshal subscribes", || world.platform.subscribed() == 1);
    world.platform.stage("2 0 recalled 0 0");
    // The platform's next line is parsed too: waits for an effect that shows it.
    wait_until("the withdrawn build gets no more requests", || {
        let before = new.asked().len();
        for _ in 0..40 {
            assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
        }
        new.asked().len() == before
    });
}

#[test]
fn votes_are_repeated_after_any_failure_until_one_is_accepted() {
    let (old, new) = (node_answering("old"), node_answering("new"));
    let hosts = [Host::new("n0", old.addr, 1), Host::new("n1", new.addr, 2)];
    let heard = AtomicUsize::new(0);
    let votes = move |_: &str| {
        Some(match heard.fetch_add(1, SeqCst) {
            0 => "ERR BUSY".to_string(),
            1 => "ERR FAILED".to_string(),
            2 => "WHAT".to_string(),
            _ => "OK 2 0 testing 0.5 9000".to_string(),
        })
    };
    let world = World::hosts(&hosts, "2 0 testing 0.5 9000", votes, |_| {});
    wait_until("a vote is accepted", || {
        world.ask(&lookup("5000m"));
        world.platform.said().len() >= 4
    });
    assert!(world.platform.said().iter().all(|call| call == "SAY 2 0 promote"));
    // The malformed answer has ended the connection, and there is a new one.
    wait_until("the marshal has subscribed again", || world.platform.subscribed() == 2);
}

#[test]
fn the_marshal_reconnects_to_the_platform_and_repeats_unanswered_votes() {
    let (old, new) = (node_answering("old"), node_answering("new"));
    let hosts = [Host::new("n0", old.addr, 1), Host::new("n1", new.addr, 2)];
    let world = World::hosts(&hosts, "2 0 testing 0.5 9000", |_| None, |_| {});
    wait_until("the marshal subscribes", || world.platform.subscribed() == 1);
    world.platform.cut();
    wait_until("the marshal subscribes again", || world.platform.subscribed() == 2);
    wait_until("an unanswered vote is repeated", || world.platform.said().len() >= 2);
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
}

#[test]
fn on_request_discovery_is_called_only_at_the_module_s_request() {
    use milletwing_marshal::{Config, Server};
    use milletwing_toy::{discovery::Discovery, platform::Platform};
    let node = node_answering("ok");
    let discovery = Discovery::start("127.0.0.1:0", &[Host::new("n0", node.addr, 1)]).unwrap();
    let platform = Platform::start("127.0.0.1:0", "1 2 live 1 60000", |_| None).unwrap();
    let text = EXAMPLE
        .replace("\"pushed\"", "\"on_request\"")
        .replace("127.0.0.1:4105", &platform.addr.to_string())
        .replace("127.0.0.1:4104", &discovery.addr.to_string())
        .replace("127.0.0.1:4000", "127.0.0.1:0");
    let config = Config::read(&text, |_| None).unwrap();
    let limits = limits(&config);
    let server = Server::start_with(config, limits).unwrap();
    // The configuration's list is empty: the module's request brings the node, and the watch continues.
    wait_until("the node is used", || {
        let mut client = Client::to(server.listen);
        client.send(lookup("900m").as_bytes());
        client.answer().word(1) == "200"
    });
    let second = node_answering("second");
    discovery.set(Host { started_ms: 1, ..Host::new("n0", second.addr, 1) });
    wait_until("the change takes effect", || {
        let mut client = Client::to(server.listen);
        client.send(lookup("900m").as_bytes());
        client.answer().body == b"second"
    });
    // A broken watch is started again by the module's next request.
    discovery.answer_raw(b"nonsense\r\n\r\n");
    let third = node_answering("third");
    discovery.set(Host { started_ms: 2, ..Host::new("n0", third.addr, 1) });
    wait_until("the change takes effect", || {
        let mut client = Client::to(server.listen);
        client.send(lookup("900m").as_bytes());
        client.answer().body == b"third"
    });
}

#[test]
fn many_concurrent_clients_are_served_and_counted() {
    let node =
        node(|_| Reply::After(Duration::from_millis(20), Box::new(Reply::Answer(200, vec![b'a'; 2000]))));
    let world = World::of(&[&node]);
    let listen = world.server.listen;
    let clients: Vec<_> = (0..40)
        .map(|_| {
            std::thread::spawn(move || {
                let mut client = Client::to(listen);
                let served = (0..10).filter(|_| {
                    client.send(lookup("20000m").as_bytes());
                    client.answer().word(1) == "200"
                });
                served.count()
            })
        })
        .collect();
    let served: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
    // The last response is counted after it is written, which its client may see first.
    wait_until("all responses are counted", || {
        format!("{}", world.server.counters()).contains(&format!("served {served} "))
    });
    let counters = format!("{}", world.server.counters());
    assert!(counters.contains("taken 400 ") && counters.contains("defects 0"), "{counters}");
    assert!(served > 0 && counters.contains(&format!("served {served} ")), "{counters}");
}
