//! Tenants and their keys at an edge: where their requests may run, what marshals are told of them, and what is refused.

use super::{answer, edge_of, node, run};
use crate::front;
use crate::pool::Dial;
use crate::Edge;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};

/// Two regions of one zone each; the edge is in the north.
const SETTINGS: &str =
    "[self]\nnodeName = \"edge\"\nipAddress = \"10.0.0.9\"\nzone = \"a\"\nregion = \"north\"\n\
    [network]\ninternalPorts = [7540, 7555]\n[network.zones]\na = \"north\"\nb = \"south\"\n";
const BODY: &str = r#"{"revision":1,"routing":{
    "any":{"domain":"h","pathPrefix":"/any/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2},
    "south":{"domain":"h","pathPrefix":"/south/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2,
        "servingRegions":["south"]},
    "open":{"domain":"h","pathPrefix":"/open/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","keyless":true}},
    "targets":{"s":{"maxSessions":110,"warmupS":3,"warmupPerS":26}},
    "subscribers":{"northerner":{"credentials":["key-n1","key-n2"],"servingRegions":["north"]},
        "southerner":{"credentials":["key-s"],"servingRegions":["south"]},
        "traveller":{"credentials":["key-t"],"priority":0,"servingRegions":[]}},
    "thresholds":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerGuardS":3,"idleGuardS":15}}"#;

/// The heads that marshals have read, each with the zone of the marshal.
type Heads = Rc<RefCell<Vec<(&'static str, String)>>>;

/// Reads one head; nothing where the connection ends before.
async fn head(stream: &mut DuplexStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(bytes).ok()?.to_ascii_lowercase())
}

/// An edge before four marshals, two in each zone, that answer all and note what they read.
fn edge() -> (Rc<Edge>, Heads) {
    let heads = Heads::default();
    let noted = Rc::clone(&heads);
    let dial: Dial = Box::new(move |address| {
        let (near, mut far) = duplex(1 << 20);
        let zone = if address.ip().octets()[3] < 2 { "a" } else { "b" };
        let noted = Rc::clone(&noted);
        tokio::task::spawn_local(async move {
            while let Some(head) = head(&mut far).await {
                noted.borrow_mut().push((zone, head));
                if far.write_all(answer("i").as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        Box::pin(async move { Ok(Box::new(near) as Box<dyn crate::pool::Wire>) })
    });
    let nodes = (0..4).map(|at| node(at, if at < 2 { "a" } else { "b" }));
    (edge_of(SETTINGS, BODY, nodes, dial), heads)
}

/// Asks on a connection of its own; gives the answer's head.
async fn ask(edge: &Rc<Edge>, path: &str, fields: &str) -> String {
    let (mut client, server) = duplex(1 << 20);
    tokio::task::spawn_local(front::connection(Rc::clone(edge), server));
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nX-Milletwing-Attempt-Id: i\r\nX-Milletwing-Remaining-Ms: 3000\r\n{fields}\r\n"
    );
    client.write_all(text.as_bytes()).await.unwrap();
    head(&mut client).await.expect("an answer")
}

#[test]
fn a_request_runs_only_where_its_tenant_is_at_home() {
    run(async {
        let (edge, heads) = edge();
        for (path, key, zones) in [
            ("/any/x", "key-n1", &["a"][..]),
            ("/any/x", "key-n2", &["a"]),
            ("/any/x", "key-s", &["b"]),
            ("/any/x", "key-t", &["a", "b"]),
            ("/south/x", "key-t", &["b"]),
            ("/south/x", "key-s", &["b"]),
        ] {
            heads.borrow_mut().clear();
            for _ in 0..40 {
                let got = ask(&edge, path, &format!("Authorization: Token {key}\r\n")).await;
                assert!(got.starts_with("http/1.1 200"), "{path} {key}: {got}");
            }
            let strays: Vec<_> =
                heads.borrow().iter().filter(|(zone, _)| !zones.contains(zone)).cloned().collect();
            assert!(strays.is_empty(), "{path} {key}: {} of 40 ran elsewhere", strays.len());
        }
    });
}
