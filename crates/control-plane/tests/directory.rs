//! Which edges a client is led to when those of its own region are gone.

use milletwing_config::Settings;
use milletwing_control_plane::core::{Core, Writes};
use milletwing_replicated_state::{EdgeStatus, View};

const SETTINGS: &str =
    "[self]\nnodeName = \"core\"\nipAddress = \"10.0.0.1\"\nzone = \"a\"\nregion = \"north\"\n\
    [network]\ninternalPorts = [7540, 7555]\nseedList = [\"10.0.0.1:8544\"]\n";
const BODY: &str = r#"{"revision":1,"routing":{
    "order":{"domain":"h.example","pathPrefix":"/order/","trafficClass":"non_idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2,
        "servingRegions":["north","south"]},
    "look":{"domain":"h.example","pathPrefix":"/look/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2},
    "far":{"domain":"g.example","pathPrefix":"/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2}},
    "targets":{"s":{"maxSessions":110}},"thresholds":{}}"#;

fn edge(number: u32, region: &str, ready: bool) -> EdgeStatus {
    EdgeStatus {
        id: number,
        zone: region.into(),
        region: region.into(),
        ingress: format!("10.2.0.{number}:80").parse().unwrap(),
        ready,
        incarnation: 1,
    }
}

#[tokio::test]
async fn without_edges_of_its_own_region_a_client_is_led_to_homes() {
    let (send, _batches) = std::sync::mpsc::sync_channel(1);
    let writes = Writes { stored: Default::default(), send };
    let core = Core::start(Settings::parse(SETTINGS).unwrap(), writes, 1).unwrap();
    let core = &mut *core.borrow_mut();
    let command = View::default().configure_command(1, BODY.as_bytes()).unwrap();
    core.view.apply(1, &command);
    let now = core.now();
    for (number, region, ready) in [(1, "north", false), (2, "south", true), (3, "west", true)] {
        core.registry.record_edge(now, edge(number, region, ready), 0);
    }
    let led = |core: &Core, host: &str, region: &str| -> Vec<u8> {
        core.resolve(host, region).edges.iter().map(|edge| edge.ip().octets()[3]).collect()
    };
    assert_eq!(led(core, "h.example", "north"), [2], "west is no home of its orders");
    assert_eq!(led(core, "h.example", "west"), [3], "the client's own region goes first");
    assert_eq!(led(core, "g.example", "north"), [2, 3], "without homes anywhere is as good");
    assert_eq!(led(core, "g.example", "east"), [2, 3], "better anywhere than nowhere");
    // No home is left: the one of its own region that leaves, and not for long.
    core.registry.record_edge(now + 1, edge(2, "south", false), 0);
    assert_eq!(led(core, "h.example", "north"), [1]);
    assert!(core.resolve("h.example", "north").hold_s <= 1.0);
    assert_eq!(led(core, "h.example", "east"), [3]);
}
