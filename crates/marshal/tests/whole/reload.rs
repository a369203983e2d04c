//! Reloading the configuration while the marshal serves: new addresses take effect at once, everything else stays.

use crate::support::*;
use milletwing_marshal::Config;
use milletwing_toy::discovery::{Discovery, Host};
use milletwing_toy::platform::Platform;

const STAGE: &str = "1 2 live 1 60000";

fn config_with_addresses(discovery: &str, platform: &str) -> Result<Config, String> {
    let text = EXAMPLE.replace("127.0.0.1:4104", discovery).replace("127.0.0.1:4105", platform);
    Config::read(&text, |_| None)
}

#[test]
fn new_addresses_take_effect_at_once_without_affecting_requests() {
    let (first, second) = (node_answering("first"), node_answering("second"));
    let world = World::of(&[&first]);
    wait_until("the marshal subscribes", || world.platform.subscribed() == 1);
    wait_until("the watch begins", || !world.discovery.calls().is_empty());
    let discovery = Discovery::start("127.0.0.1:0", &[Host::new("n9", second.addr, 1)]).unwrap();
    let platform = Platform::start("127.0.0.1:0", STAGE, |_| None).unwrap();
    // Neither a waiting call nor a service that does not respond delays the change.
    world.discovery.silent(true);
    for _ in 0..3 {
        world.server.reload(config_with_addresses(&discovery.addr.to_string(), &platform.addr.to_string()));
    }
    wait_until("the new list takes effect", || world.ask(&lookup("5000m")).body == b"second");
    wait_until("the marshal subscribes at the new address", || platform.subscribed() == 1);
    // The complete list comes first: the version held from the old address means nothing at the new one.
    assert_eq!(discovery.calls()[0], "/discovery/hosts");
    let asked = world.discovery.calls().len();
    discovery.set(Host { started_ms: 1, ..Host::new("n9", first.addr, 1) });
    wait_until("the watch continues at the new address", || world.ask(&lookup("5000m")).body == b"first");
    assert_eq!(world.discovery.calls().len(), asked);
    assert_eq!(world.platform.subscribed(), 1);
    assert!(world.server.stop());
}

#[test]
fn services_that_were_unreachable_are_reached_at_their_new_addresses() {
    let node = node_answering("ok");
    let world = World::of(&[&node]);
    let unreachable = unused_address().to_string();
    world.server.reload(config_with_addresses(&unreachable, &unreachable));
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
    let discovery = Discovery::start("127.0.0.1:0", &[Host::new("n0", node.addr, 1)]).unwrap();
    let platform = Platform::start("127.0.0.1:0", STAGE, |_| None).unwrap();
    world.server.reload(config_with_addresses(&discovery.addr.to_string(), &platform.addr.to_string()));
    wait_until("discovery is asked", || !discovery.calls().is_empty());
    wait_until("the marshal subscribes", || platform.subscribed() == 1);
}

#[test]
fn votes_left_unanswered_by_an_address_change_are_repeated() {
    let (old, new) = (node_answering("old"), node_answering("new"));
    let hosts = [Host::new("n0", old.addr, 1), Host::new("n1", new.addr, 2)];
    let stage = "2 0 testing 0.5 9000";
    let world = World::hosts(&hosts, stage, |_| None, |_| {});
    wait_until("a vote waits for its answer", || world.platform.said().len() == 1);
    let platform = Platform::start("127.0.0.1:0", stage, move |_| Some(format!("OK {stage}"))).unwrap();
    world.server.reload(config_with_addresses(&world.discovery.addr.to_string(), &platform.addr.to_string()));
    wait_until("the vote is repeated", || platform.said() == ["SAY 2 0 promote"]);
}

#[test]
fn an_invalid_configuration_leaves_the_running_one_in_effect() {
    let node = node_answering("ok");
    let world = World::of(&[&node]);
    wait_until("the marshal subscribes", || world.platform.subscribed() == 1);
    for text in
        ["", "{", "{}", &EXAMPLE[..EXAMPLE.len() / 2], &EXAMPLE.replace("127.0.0.1:4104", "somewhere")]
    {
        world.server.reload(Config::read(text, |_| None));
    }
    world.server.reload(Config::again("no such file"));
    assert_eq!(world.ask(&lookup("5000m")).word(1), "200");
    let second = node_answering("second");
    world.discovery.set(Host::new("n0", second.addr, 1));
    wait_until("the watch continues", || world.ask(&lookup("5000m")).body == b"second");
    assert_eq!(world.platform.subscribed(), 1);
}
