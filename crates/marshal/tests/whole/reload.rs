//! A configuration read anew while the marshal serves: new addresses are used at once, all else stays.

use crate::support::*;
use milletwing_marshal::Config;
use milletwing_toy::discovery::{Discovery, Host};
use milletwing_toy::platform::Platform;

const STAGE: &str = "1 2 live 1 60000";

fn named(discovery: &str, platform: &str) -> Result<Config, String> {
    let text = EXAMPLE.replace("127.0.0.1:4104", discovery).replace("127.0.0.1:4105", platform);
    Config::read(&text, |_| None)
}

#[test]
fn new_addresses_are_used_at_once_and_requests_notice_nothing() {
    let (first, second) = (serving("first"), serving("second"));
    let world = World::of(&[&first]);
    until("it subscribes", || world.platform.subscribed() == 1);
    until("it watches", || !world.discovery.calls().is_empty());
    let discovery = Discovery::start("127.0.0.1:0", &[Host::new("n9", second.addr, 1)]).unwrap();
    let platform = Platform::start("127.0.0.1:0", STAGE, |_| None).unwrap();
    // A call that waits, and one whose party says nothing, don't hold the move up.
    world.discovery.silent(true);
    for _ in 0..3 {
        world.server.reload(named(&discovery.addr.to_string(), &platform.addr.to_string()));
    }
    until("the new list counts", || world.ask(&lookup("5000m")).body == b"second");
    until("it subscribes anew", || platform.subscribed() == 1);
    // The whole list first: what the old place held tells nothing of the new one's versions.
    assert_eq!(discovery.calls()[0], "/discovery/hosts");
    let asked = world.discovery.calls().len();
    discovery.set(Host { started_ms: 1, ..Host::new("n9", first.addr, 1) });
    until("the watch goes on there", || world.ask(&lookup("5000m")).body == b"first");
    assert_eq!(world.discovery.calls().len(), asked);
    assert_eq!(world.platform.subscribed(), 1);
    assert!(world.server.stop());
}

#[test]
fn a_party_that_was_down_before_the_move_is_reached_after_it() {
    let node = serving("ok");
    let world = World::of(&[&node]);
    let gone = nowhere().to_string();
    world.server.reload(named(&gone, &gone));
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
    let discovery = Discovery::start("127.0.0.1:0", &[Host::new("n0", node.addr, 1)]).unwrap();
    let platform = Platform::start("127.0.0.1:0", STAGE, |_| None).unwrap();
    world.server.reload(named(&discovery.addr.to_string(), &platform.addr.to_string()));
    until("discovery is asked", || !discovery.calls().is_empty());
    until("it subscribes", || platform.subscribed() == 1);
}

#[test]
fn votes_that_a_move_leaves_unanswered_are_cast_anew() {
    let (old, new) = (serving("old"), serving("new"));
    let hosts = [Host::new("n0", old.addr, 1), Host::new("n1", new.addr, 2)];
    let stage = "2 0 testing 0.5 9000";
    let world = World::hosts(&hosts, stage, |_| None, |_| {});
    until("a vote waits for its answer", || world.platform.said().len() == 1);
    let platform = Platform::start("127.0.0.1:0", stage, move |_| Some(format!("OK {stage}"))).unwrap();
    world.server.reload(named(&world.discovery.addr.to_string(), &platform.addr.to_string()));
    until("it is cast anew", || platform.said() == ["SAY 2 0 promote"]);
}

#[test]
fn what_can_t_be_read_leaves_the_running_configuration() {
    let node = serving("ok");
    let world = World::of(&[&node]);
    until("it subscribes", || world.platform.subscribed() == 1);
    for text in
        ["", "{", "{}", &EXAMPLE[..EXAMPLE.len() / 2], &EXAMPLE.replace("127.0.0.1:4104", "somewhere")]
    {
        world.server.reload(Config::read(text, |_| None));
    }
    world.server.reload(Config::again("no such file"));
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
    let second = serving("second");
    world.discovery.set(Host::new("n0", second.addr, 1));
    until("the watch goes on", || world.ask(&lookup("5000m")).body == b"second");
    assert_eq!(world.platform.subscribed(), 1);
}
