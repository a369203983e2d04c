//! Discovery and the platform: what they tell is followed, and their failures are lived with.

use crate::support::*;
use milletwing_toy::discovery::Host;
use milletwing_toy::node::Reply;
use std::sync::atomic::{AtomicUsize, Ordering::SeqCst};
use std::time::Duration;

#[test]
fn changes_of_the_list_are_followed() {
    let (first, second, third) = (serving("first"), serving("second"), serving("third"));
    let world = World::of(&[&first]);
    assert_eq!(world.ask(&lookup("5000m")).body, b"first");
    world.discovery.set(Host::new("n1", second.addr, 1));
    until("the new node is used", || world.ask(&lookup("5000m")).body == b"second");
    // One that leaves gets nothing new and finishes what it has.
    world.discovery.set(Host { state: "leaving", ..Host::new("n0", first.addr, 1) });
    until("the old one's connections end", || first.connections().0 == first.connections().1);
    let before = first.asked().len();
    for _ in 0..10 {
        assert_eq!(world.ask(&lookup("5000m")).body, b"second");
    }
    assert_eq!(first.asked().len(), before);
    world.discovery.set(Host { state: "left", ..Host::new("n0", first.addr, 1) });
    // The other comes back under its id at another address: the old one gets nothing more.
    world.discovery.set(Host { started_ms: 1, ..Host::new("n1", third.addr, 1) });
    until("the new address is used", || world.ask(&lookup("5000m")).body == b"third");
    let before = second.asked().len();
    for _ in 0..10 {
        assert_eq!(world.ask(&lookup("5000m")).body, b"third");
    }
    assert_eq!(second.asked().len(), before);
}

#[test]
fn a_watch_goes_on_after_its_answers_and_after_silence() {
    let (first, second) = (serving("first"), serving("second"));
    let world = World::of(&[&first]);
    until("it watches on", || world.discovery.calls().len() >= 3);
    assert!(world.discovery.calls().iter().all(|call| call.starts_with("/discovery/hosts?index=1&wait=")));
    world.discovery.silent(true);
    assert_eq!(world.ask(&lookup("5000m")).body, b"first");
    let silent_from = world.discovery.calls().len();
    until("it calls anew", || world.discovery.calls().len() > silent_from);
    world.discovery.silent(false);
    world.discovery.set(Host { started_ms: 1, ..Host::new("n0", second.addr, 1) });
    until("the change is followed", || world.ask(&lookup("5000m")).body == b"second");
}

#[test]
fn news_lowers_the_cap_at_once() {
    let (old, new) = (serving("old"), serving("new"));
    let hosts = [Host::new("n0", old.addr, 1), Host::new("n1", new.addr, 2)];
    let world = World::hosts(&hosts, "2 0 testing 0.5 0", |_| None, |_| {});
    until("the build on trial is asked", || world.ask(&lookup("5000m")).body == b"new");
    until("it subscribes", || world.platform.subscribed() == 1);
    world.platform.stage("2 0 recalled 0 0");
    // Behind this line's news the platform's next one is read, too: wait for an effect that shows it.
    until("nothing goes there any more", || {
        let before = new.asked().len();
        for _ in 0..40 {
            assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
        }
        new.asked().len() == before
    });
}

#[test]
fn votes_are_cast_again_after_any_failure_until_one_counts() {
    let (old, new) = (serving("old"), serving("new"));
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
    until("a vote counts", || {
        world.ask(&lookup("5000m"));
        world.platform.said().len() >= 4
    });
    assert!(world.platform.said().iter().all(|call| call == "SAY 2 0 promote"));
    // The answer that can't be read has cost the connection; another stands.
    until("it has subscribed again", || world.platform.subscribed() == 2);
}

#[test]
fn a_platform_that_ends_the_connection_is_asked_again_and_votes_wait_for_no_answer_for_ever() {
    let (old, new) = (serving("old"), serving("new"));
    let hosts = [Host::new("n0", old.addr, 1), Host::new("n1", new.addr, 2)];
    let world = World::hosts(&hosts, "2 0 testing 0.5 9000", |_| None, |_| {});
    until("it subscribes", || world.platform.subscribed() == 1);
    world.platform.cut();
    until("it subscribes again", || world.platform.subscribed() == 2);
    until("an unanswered vote is cast again", || world.platform.said().len() >= 2);
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
}

#[test]
fn where_discovery_must_be_asked_nothing_is_called_unasked() {
    use milletwing_marshal::{Config, Server};
    use milletwing_toy::{discovery::Discovery, platform::Platform};
    let node = serving("ok");
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
    // The list of the configuration is empty: the module's call brings the node, and the watch goes on.
    until("the node is used", || {
        let mut client = Client::to(server.listen);
        client.send(lookup("900m").as_bytes());
        client.answer().word(1) == "200"
    });
    let second = serving("second");
    discovery.set(Host { started_ms: 1, ..Host::new("n0", second.addr, 1) });
    until("the change is followed", || {
        let mut client = Client::to(server.listen);
        client.send(lookup("900m").as_bytes());
        client.answer().body == b"second"
    });
    // A watch that breaks is begun again by the module's next call.
    discovery.answer_raw(b"nonsense\r\n\r\n");
    let third = serving("third");
    discovery.set(Host { started_ms: 2, ..Host::new("n0", third.addr, 1) });
    until("the change is followed", || {
        let mut client = Client::to(server.listen);
        client.send(lookup("900m").as_bytes());
        client.answer().body == b"third"
    });
}

#[test]
fn many_clients_at_once_are_served_within_few_threads_and_connections() {
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
    // The last is counted once it is written, which its client may see first.
    until("all are counted", || {
        format!("{}", world.server.counters()).contains(&format!("served {served} "))
    });
    let counters = format!("{}", world.server.counters());
    assert!(counters.contains("taken 400 ") && counters.contains("defects 0"), "{counters}");
    assert!(served > 0 && counters.contains(&format!("served {served} ")), "{counters}");
}
