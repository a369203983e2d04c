//! Marshals that fail or misbehave at each byte of a message, over in-memory streams and a paused
//! clock: which response a client gets, and which requests are sent a second time.

mod bodies;
mod core_silence;
mod framing;
mod guarantees;
mod responses;
mod shutdown;
mod tenants;
mod uploads;

use crate::edge::Edge;
use crate::pool::{Connector, Transport};
use crate::server;
use crate::user_timeout::UnreadTracker;
use milletwing_config::Settings;
use milletwing_replicated_state::{Command, Node, Phase, View};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};

/// Time after which a client that acknowledges nothing is disconnected; has no effect on in-memory
/// streams.
const SILENT_CLIENT_TIMEOUT: Duration = Duration::from_secs(10);
const IDEMPOTENT: &str = "/look/x";
const NON_IDEMPOTENT: &str = "/order/x";
const LARGE_RESPONSE: &str = "/export/x";
const SETTINGS: &str =
    "[self]\nnodeName = \"edge\"\nipAddress = \"10.0.0.9\"\nzone = \"a\"\nregion = \"north\"\n\
    [network]\ninternalPorts = [7540, 7555]\n[network.zones]\na = \"north\"\n";
const CONFIGURATION: &str = r#"{"revision":1,"routing":{
    "export":{"domain":"h","pathPrefix":"/export/","trafficClass":"downlink","guardS":12,"targetS":1,"target":"s","maxTries":2},
    "look":{"domain":"h","pathPrefix":"/look/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2},
    "order":{"domain":"h","pathPrefix":"/order/","trafficClass":"non_idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2}},
    "targets":{"s":{"maxSessions":110,"warmupS":3,"warmupPerS":26}},
    "thresholds":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerGuardS":3,"idleGuardS":15}}"#;

/// On how many connections marshals have received the request with a given id, in whole or in part.
#[derive(Clone, Default)]
struct Arrivals(Rc<RefCell<BTreeMap<String, u32>>>);

impl Arrivals {
    fn of(&self, id: &str) -> u32 {
        self.0.borrow().get(id).copied().unwrap_or(0)
    }

    fn record(&self, id: String) {
        *self.0.borrow_mut().entry(id).or_default() += 1;
    }
}

/// On how many connections the request with the id `i` has arrived.
fn arrivals_of_i(arrivals: &Arrivals) -> u32 {
    arrivals.of("i")
}

/// Serves one connection of a simulated marshal. The first argument is the index of the connection,
/// from 0.
type MarshalStub = dyn Fn(u32, DuplexStream, Arrivals) -> std::pin::Pin<Box<dyn Future<Output = ()>>>;

fn edge(count: usize, arrivals: &Arrivals, stub: Rc<MarshalStub>) -> Rc<Edge> {
    edge_with_transport(count, arrivals, stub, |stream| Box::new(stream))
}

/// Like [`edge`], with connections to marshals that are wrapped by `wrap`.
fn edge_with_transport(
    count: usize,
    arrivals: &Arrivals,
    stub: Rc<MarshalStub>,
    wrap: fn(DuplexStream) -> Box<dyn Transport>,
) -> Rc<Edge> {
    let (connections, arrivals) = (Rc::new(RefCell::new(0)), arrivals.clone());
    let connector: Connector = Box::new(move |_, _| {
        let (edge_end, marshal_end) = duplex(1 << 20);
        let connection = connections.replace_with(|connection| *connection + 1);
        tokio::task::spawn_local(stub(connection, marshal_end, arrivals.clone()));
        Box::pin(async move { Ok(wrap(edge_end)) })
    });
    configured_edge(SETTINGS, CONFIGURATION, (0..count).map(|index| node(index, "a")), connector)
}

/// A warm marshal of the only service.
fn node(index: usize, zone: &str) -> Node {
    Node {
        id: format!("i-{index}"),
        target: "s".into(),
        address: format!("10.1.0.{index}:80").parse().unwrap(),
        zone: zone.into(),
        revision: "v1".into(),
        capacity: 6,
        phase: Phase::Warm,
    }
}

/// An edge with a configuration and marshals, which it reaches by `connector`.
fn configured_edge(
    settings: &str,
    configuration: &str,
    nodes: impl Iterator<Item = Node>,
    connector: Connector,
) -> Rc<Edge> {
    let edge = Edge::new(Settings::parse(settings).unwrap(), "10.0.0.9:8548".parse().unwrap(), connector);
    let mut view = View::default();
    let command = view.configure_command(1, configuration.as_bytes()).unwrap();
    view.apply(1, &command);
    for (index, node) in nodes.enumerate() {
        view.apply(2 + index as u64, &Command::NodeUp(node));
    }
    *edge.view.borrow_mut() = view;
    edge.apply_view();
    edge
}

/// A response as a client sees it: its status, its seal, which tells whose response it is, and its
/// body.
#[derive(Clone, Debug, PartialEq)]
struct ClientResponse {
    status: u16,
    seal: String,
    body: String,
}

async fn send_request(edge: &Rc<Edge>, path: &str, id: &str) -> Option<ClientResponse> {
    let (mut client, server) = duplex(1 << 20);
    tokio::task::spawn_local(server::serve_connection(
        Rc::clone(edge),
        server,
        UnreadTracker::new(SILENT_CLIENT_TIMEOUT),
    ));
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Remaining-Ms: 3000\r\n\
         Connection: close\r\nContent-Length: 4\r\n\r\nbody"
    );
    client.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), client.read_to_end(&mut bytes)).await;
    read.expect("no response within twenty seconds").ok()?;
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let field = |name: &str| {
        let line = head
            .lines()
            .find_map(|line| line.split_once(": ").filter(|field| field.0.eq_ignore_ascii_case(name)));
        line.map(|(_, value)| value.to_owned())
    };
    let length: usize = field("content-length")?.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let seal = field("x-milletwing-server-seal").unwrap_or_default();
    (length == body.len()).then(|| ClientResponse { status, seal, body: body.into() })
}

/// Reads one request and returns its id; `None` if the connection ends first.
async fn read_request(stream: &mut DuplexStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\nbody") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(bytes).ok()?.to_ascii_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("x-milletwing-attempt-id: "))?;
    Some(id.to_owned())
}

fn ok_response(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: {id}\r\nContent-Length: 5\r\n\r\nhello"
    )
}

fn is_own_response(response: &Option<ClientResponse>, id: &str) -> bool {
    let expected = ClientResponse { status: 200, seal: id.into(), body: "hello".into() };
    response.as_ref() == Some(&expected)
}

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Serves requests one after another. `respond` returns the bytes to write for the n-th request of
/// the connection, and whether the connection stays open.
async fn serve_requests(
    mut stream: DuplexStream,
    arrivals: Arrivals,
    respond: impl Fn(u32, &str) -> (Vec<u8>, bool),
) {
    for index in 0.. {
        let Some(id) = read_request(&mut stream).await else { return };
        arrivals.record(id.clone());
        let (bytes, keep_open) = respond(index, &id);
        if stream.write_all(&bytes).await.is_err() || !keep_open {
            return;
        }
    }
}

#[test]
fn truncated_response_is_retried_only_for_idempotent_requests() {
    let full_length = ok_response("i").len();
    for cut in 0..=full_length {
        for (path, idempotent) in [(IDEMPOTENT, true), (NON_IDEMPOTENT, false)] {
            run(async move {
                let arrivals = Arrivals::default();
                // The first connection truncates its response; later ones respond in full.
                let edge = edge(
                    4,
                    &arrivals,
                    Rc::new(move |connection, stream, arrivals| {
                        Box::pin(serve_requests(stream, arrivals, move |_, id| {
                            let bytes = ok_response(id).into_bytes();
                            if connection == 0 {
                                (bytes[..cut].to_vec(), false)
                            } else {
                                (bytes, true)
                            }
                        }))
                    }),
                );
                let response = send_request(&edge, path, "i").await;
                let arrival_count = arrivals.of("i");
                if cut == full_length || idempotent {
                    assert!(is_own_response(&response, "i"), "{path} cut at {cut}: {response:?}");
                    assert_eq!(arrival_count, 1 + u32::from(cut < full_length));
                } else {
                    assert_eq!(
                        response.map(|response| response.status),
                        Some(502),
                        "{path} cut at {cut}: it may have been executed"
                    );
                    assert_eq!(arrival_count, 1, "{path} cut at {cut} was sent again");
                }
            });
        }
    }
}

#[test]
fn surplus_bytes_after_a_response_are_never_delivered() {
    let surplus = ok_response("x");
    for length in 1..=surplus.len() {
        for late in [false, true] {
            let surplus = surplus.as_bytes()[..length].to_vec();
            run(async move {
                let arrivals = Arrivals::default();
                let edge = edge(
                    1,
                    &arrivals,
                    Rc::new(move |_, mut stream, arrivals| {
                        let surplus = surplus.clone();
                        Box::pin(async move {
                            for index in 0.. {
                                let Some(id) = read_request(&mut stream).await else { return };
                                arrivals.record(id.clone());
                                let mut bytes = ok_response(&id).into_bytes();
                                if index == 0 && !late {
                                    bytes.extend(&surplus);
                                }
                                if stream.write_all(&bytes).await.is_err() {
                                    return;
                                }
                                if index == 0 && late {
                                    tokio::time::sleep(Duration::from_millis(30)).await;
                                    // The edge may have closed the connection.
                                    let _ = stream.write_all(&surplus).await;
                                }
                            }
                        })
                    }),
                );
                assert!(is_own_response(&send_request(&edge, NON_IDEMPOTENT, "a").await, "a"));
                if late {
                    tokio::time::sleep(Duration::from_millis(60)).await;
                }
                for id in ["b", "c"] {
                    let response = send_request(&edge, NON_IDEMPOTENT, id).await;
                    let broken = response.as_ref().is_some_and(|response| response.status == 502);
                    assert!(
                        is_own_response(&response, id) || broken,
                        "{length} surplus bytes, late {late}: {id} got {response:?}"
                    );
                    assert!(arrivals.of(id) <= 1, "{id} was sent again");
                }
            });
        }
    }
}

#[test]
fn late_response_to_a_departed_client_reaches_no_other_client() {
    for delay in [10, 200, 1_500, 2_900] {
        run(async move {
            let arrivals = Arrivals::default();
            let edge = edge(
                1,
                &arrivals,
                Rc::new(move |_, mut stream, arrivals| {
                    Box::pin(async move {
                        for index in 0.. {
                            let Some(id) = read_request(&mut stream).await else { return };
                            arrivals.record(id.clone());
                            if index == 0 {
                                tokio::time::sleep(Duration::from_millis(delay)).await;
                            }
                            if stream.write_all(ok_response(&id).as_bytes()).await.is_err() {
                                return;
                            }
                        }
                    })
                }),
            );
            let abandoned = tokio::time::timeout(
                Duration::from_millis(delay / 2),
                send_request(&edge, NON_IDEMPOTENT, "a"),
            )
            .await;
            assert!(abandoned.is_err(), "the client disconnects before the response arrives");
            for id in ["b", "c"] {
                let response = send_request(&edge, NON_IDEMPOTENT, id).await;
                assert!(is_own_response(&response, id), "after {delay} ms {id} got {response:?}");
                assert_eq!(arrivals.of(id), 1);
            }
        });
    }
}

#[test]
fn non_idempotent_request_is_sent_once_if_the_connection_closes_at_any_byte() {
    // A request as forwarded by the edge has fewer than 400 bytes, head and body together.
    for read in 0..400 {
        run(async move {
            let arrivals = Arrivals::default();
            let edge = edge(
                3,
                &arrivals,
                Rc::new(move |connection, mut stream, arrivals| {
                    Box::pin(async move {
                        // Connections that have served one request read this many bytes of the next
                        // one, and close.
                        let Some(id) = read_request(&mut stream).await else { return };
                        arrivals.record(id.clone());
                        // If the write fails, the reads below fail as well.
                        let _ = stream.write_all(ok_response(&id).as_bytes()).await;
                        if connection > 2 {
                            return serve_requests(stream, arrivals, |_, id| {
                                (ok_response(id).into_bytes(), true)
                            })
                            .await;
                        }
                        let mut partial_request = vec![0; read];
                        if read > 0 && stream.read_exact(&mut partial_request).await.is_ok() {
                            arrivals.record("second".into());
                        }
                    })
                }),
            );
            assert!(is_own_response(&send_request(&edge, NON_IDEMPOTENT, "first").await, "first"));
            let response = send_request(&edge, NON_IDEMPOTENT, "second").await;
            assert!(
                arrivals.of("second") <= 1,
                "{read} bytes were read, and the request was sent again: {response:?}"
            );
            let valid_outcome = is_own_response(&response, "second")
                || response.as_ref().is_some_and(|response| matches!(response.status, 502 | 504));
            assert!(valid_outcome, "{read} bytes were read: {response:?}");
        });
    }
}

#[test]
fn mismatched_or_corrupted_responses_are_rejected() {
    let response_with = |lines: &str| format!("HTTP/1.1 200 OK\r\n{lines}\r\nhello");
    let seal = "X-Milletwing-Server-Seal: a\r\n";
    let responses = [
        response_with(&format!("X-Milletwing-Attempt-Id: other\r\n{seal}Content-Length: 5\r\n")),
        response_with(&format!("{seal}Content-Length: 5\r\n")),
        response_with("X-Milletwing-Attempt-Id: a\r\nContent-Length: 5\r\n"),
        response_with(&format!(
            "X-Milletwing-Attempt-Id: a\r\n{seal}Content-Encoding: gzip\r\nContent-Length: 5\r\n"
        )),
        "bytes that are no answer\r\n\r\n".into(),
    ];
    for text in responses {
        run(async move {
            let arrivals = Arrivals::default();
            let bytes = text.clone().into_bytes();
            let edge = edge(
                3,
                &arrivals,
                Rc::new(move |_, stream, arrivals| {
                    let bytes = bytes.clone();
                    Box::pin(serve_requests(stream, arrivals, move |_, _| (bytes.clone(), false)))
                }),
            );
            let response = send_request(&edge, NON_IDEMPOTENT, "a").await;
            assert_eq!(response.map(|response| response.status), Some(502), "{text}");
            assert_eq!(arrivals.of("a"), 1);
        });
    }
}

#[test]
fn shutdown_accepts_only_requests_that_finish_in_time() {
    run(async {
        let arrivals = Arrivals::default();
        let respond_in_full = |_, stream, arrivals| -> std::pin::Pin<Box<dyn Future<Output = ()>>> {
            Box::pin(serve_requests(stream, arrivals, |_, id| (ok_response(id).into_bytes(), true)))
        };
        let edge = edge(3, &arrivals, Rc::new(respond_in_full));
        edge.begin_shutdown(120_000);
        assert!(
            is_own_response(&send_request(&edge, NON_IDEMPOTENT, "early").await, "early"),
            "every request is accepted if the process outlasts it"
        );
        // The client waits for three seconds. The process must last a quarter of a second longer.
        edge.begin_shutdown(3_300);
        assert!(is_own_response(&send_request(&edge, NON_IDEMPOTENT, "quick").await, "quick"));
        edge.begin_shutdown(3_200);
        let refused = send_request(&edge, NON_IDEMPOTENT, "late").await;
        assert_eq!(refused.map(|response| response.status), Some(503));
        // A retry-safe request may be cut in the first half of the grace period only.
        assert!(is_own_response(&send_request(&edge, IDEMPOTENT, "retried").await, "retried"));
        tokio::time::sleep(Duration::from_millis(1_700)).await;
        let refused = send_request(&edge, IDEMPOTENT, "late").await;
        assert_eq!(refused.map(|response| response.status), Some(503));
        assert_eq!((arrivals.of("early"), arrivals.of("late")), (1, 0));
    });
}
