//! Tenants and their keys at an edge: where their requests may run, what marshals are told about
//! them, and what is refused.

use super::SILENT_CLIENT_TIMEOUT;
use super::{configured_edge, node, ok_response, run};
use crate::pool::Connector;
use crate::server;
use crate::user_timeout::UnreadTracker;
use crate::Edge;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};

/// Two regions of one zone each; the edge is in the north.
const SETTINGS: &str =
    "[self]\nnodeName = \"edge\"\nipAddress = \"10.0.0.9\"\nzone = \"a\"\nregion = \"north\"\n\
    [network]\ninternalPorts = [7540, 7555]\n[network.zones]\na = \"north\"\nb = \"south\"\n";
const CONFIGURATION: &str = r#"{"revision":1,"routing":{
    "any":{"domain":"h","pathPrefix":"/any/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2},
    "south":{"domain":"h","pathPrefix":"/south/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2,
        "servingRegions":["south"]},
    "open":{"domain":"h","pathPrefix":"/open/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","keyless":true}},
    "targets":{"s":{"maxSessions":110,"warmupS":3,"warmupPerS":26}},
    "subscribers":{"northerner":{"credentials":["key-n1","key-n2"],"servingRegions":["north"]},
        "southerner":{"credentials":["key-s"],"servingRegions":["south"]},
        "traveller":{"credentials":["key-t"],"priority":0,"servingRegions":[]}},
    "thresholds":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerGuardS":3,"idleGuardS":15}}"#;

/// The request heads that marshals have read, each with the zone of the marshal.
type RequestHeads = Rc<RefCell<Vec<(&'static str, String)>>>;

/// Reads one head; `None` if the connection ends first.
async fn read_head(stream: &mut DuplexStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8(bytes).ok()?.to_ascii_lowercase())
}

/// An edge with four marshals, two in each zone, that answer every request and record the heads.
fn edge() -> (Rc<Edge>, RequestHeads) {
    let heads = RequestHeads::default();
    let recorded = Rc::clone(&heads);
    let connector: Connector = Box::new(move |address, _| {
        let (edge_end, mut marshal_end) = duplex(1 << 20);
        let zone = if address.ip().octets()[3] < 2 { "a" } else { "b" };
        let recorded = Rc::clone(&recorded);
        tokio::task::spawn_local(async move {
            while let Some(head) = read_head(&mut marshal_end).await {
                recorded.borrow_mut().push((zone, head));
                if marshal_end.write_all(ok_response("i").as_bytes()).await.is_err() {
                    return;
                }
            }
        });
        Box::pin(async move { Ok(Box::new(edge_end) as Box<dyn crate::pool::Transport>) })
    });
    let nodes = (0..4).map(|index| node(index, if index < 2 { "a" } else { "b" }));
    (configured_edge(SETTINGS, CONFIGURATION, nodes, connector), heads)
}

/// Sends a request on a new connection and returns the response head.
async fn send_request(edge: &Rc<Edge>, path: &str, fields: &str) -> String {
    let (mut client, server) = duplex(1 << 20);
    tokio::task::spawn_local(server::serve_connection(
        Rc::clone(edge),
        server,
        UnreadTracker::new(SILENT_CLIENT_TIMEOUT),
    ));
    let text = format!(
        "GET {path} HTTP/1.1\r\nHost: h\r\nX-Milletwing-Attempt-Id: i\r\nX-Milletwing-Remaining-Ms: 3000\r\n{fields}\r\n"
    );
    client.write_all(text.as_bytes()).await.unwrap();
    read_head(&mut client).await.expect("a response")
}

#[test]
fn requests_run_only_in_the_tenants_serving_regions() {
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
                let response = send_request(&edge, path, &format!("Authorization: Token {key}\r\n")).await;
                assert!(response.starts_with("http/1.1 200"), "{path} {key}: {response}");
            }
            let misplaced: Vec<_> =
                heads.borrow().iter().filter(|(zone, _)| !zones.contains(zone)).cloned().collect();
            assert!(misplaced.is_empty(), "{path} {key}: {} of 40 ran elsewhere", misplaced.len());
        }
    });
}

/// All values of a header field in a head.
fn fields<'a>(head: &'a str, name: &str) -> Vec<&'a str> {
    head.lines()
        .filter_map(|line| line.split_once(": ").filter(|field| field.0 == name))
        .map(|field| field.1)
        .collect()
}

#[test]
fn marshals_receive_the_tenant_name_but_never_the_key() {
    run(async {
        let (edge, heads) = edge();
        let forged = "X-Milletwing-Subscriber: southerner\r\nx-milletwing-SUBSCRIBER: traveller\r\n";
        for (path, sent, expected) in [
            ("/any/x", "Authorization: Token key-n1\r\n", &["northerner"][..]),
            ("/any/x", "authorization: tOKEN   key-n2 \r\n", &["northerner"]),
            // The field is ignored when a client sends it, however often and in whatever case.
            ("/any/x", &format!("{forged}Authorization: Token key-n1\r\n{forged}"), &["northerner"]),
            // A client that lists the field in `Connection`, so that the edge might remove it as
            // hop-by-hop after setting it.
            (
                "/any/x",
                "Connection: X-Milletwing-Subscriber\r\nAuthorization: Token key-t\r\n",
                &["traveller"],
            ),
            ("/open/x", forged, &[]),
            ("/open/x", "Authorization: Token key-t\r\n", &[]),
            ("/open/x", "", &[]),
        ] {
            heads.borrow_mut().clear();
            assert!(send_request(&edge, path, sent).await.starts_with("http/1.1 200"), "{path} {sent}");
            let (_, head) = heads.borrow()[0].clone();
            assert_eq!(fields(&head, "x-milletwing-subscriber"), expected, "{path} {sent}: {head}");
            assert!(
                !head.contains("key-") && fields(&head, "authorization").is_empty(),
                "{path} {sent}: {head}"
            );
        }
    });
}

#[test]
fn request_without_a_known_key_reaches_no_marshal() {
    run(async {
        let (edge, heads) = edge();
        for sent in [
            "",
            "Authorization: Token key\r\n",
            "Authorization: Token key-n1x\r\n",
            "Authorization: Token KEY-N1\r\n",
            "Authorization: Token\r\n",
            "Authorization: Basic key-n1\r\n",
            "Authorization: key-n1\r\n",
            "Authorization: Token key-n1\r\nAuthorization: Token key-n1\r\n",
            "X-Milletwing-Subscriber: northerner\r\n",
        ] {
            let response = send_request(&edge, "/any/x", sent).await;
            assert!(response.starts_with("http/1.1 401"), "{sent}: {response}");
            assert_eq!(fields(&response, "www-authenticate"), ["token"], "{sent}: {response}");
        }
        assert!(heads.borrow().is_empty());
    });
}

#[test]
fn open_connections_follow_key_changes() {
    run(async {
        let (edge, heads) = edge();
        let (mut client, server) = duplex(1 << 20);
        tokio::task::spawn_local(server::serve_connection(
            Rc::clone(&edge),
            server,
            UnreadTracker::new(SILENT_CLIENT_TIMEOUT),
        ));
        let text = "GET /any/x HTTP/1.1\r\nHost: h\r\nX-Milletwing-Attempt-Id: i\r\nAuthorization: Token key-t\r\n\r\n";
        let mut index = 100;
        let bodies = [
            (2, CONFIGURATION.replace("\"key-t\"", "\"key-u\""), "http/1.1 401"),
            (3, CONFIGURATION.into(), "http/1.1 200"),
            (4, CONFIGURATION.replace("\"traveller\"", "\"other\""), "http/1.1 200"),
        ];
        for (revision, body, expected) in bodies {
            let body = body.replace("\"revision\":1", &format!("\"revision\":{revision}"));
            let command = edge.view.borrow().configure_command(revision, body.as_bytes()).unwrap();
            index += 1;
            edge.view.borrow_mut().apply(index, &command);
            edge.apply_view();
            heads.borrow_mut().clear();
            client.write_all(text.as_bytes()).await.unwrap();
            let response = read_head(&mut client).await.expect("a response on the same connection");
            assert!(response.starts_with(expected), "revision {revision}: {response}");
            let length: usize = fields(&response, "content-length")[0].parse().unwrap();
            client.read_exact(&mut vec![0; length]).await.unwrap();
            assert_eq!(heads.borrow().len(), usize::from(expected.ends_with("200")), "revision {revision}");
        }
        let (_, last) = heads.borrow()[0].clone();
        assert_eq!(fields(&last, "x-milletwing-subscriber"), ["other"]);
    });
}
