//! Marshals that misbehave at each byte, on streams in memory and a clock of the test's own: whose answer a client gets, and what
//! is sent a second time.

mod answers;
mod core_silence;
mod guarantees;
mod leaving;
mod tenants;
mod uploads;

use crate::edge::{Edge, Leaving};
use crate::front;
use crate::pool::{Dial, Wire};
use crate::unread::Unread;
use milletwing_config::Settings;
use milletwing_replicated_state::{Command, Node, Phase, View};
use std::cell::RefCell;
use std::collections::BTreeMap;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};

/// A client that takes nothing is given up after this; streams in memory know no such end.
const SILENCE: Duration = Duration::from_secs(10);
const LOOK: &str = "/look/x";
const ORDER: &str = "/order/x";
const SETTINGS: &str =
    "[self]\nnodeName = \"edge\"\nipAddress = \"10.0.0.9\"\nzone = \"a\"\nregion = \"north\"\n\
    [network]\ninternalPorts = [7540, 7555]\n[network.zones]\na = \"north\"\n";
const BODY: &str = r#"{"revision":1,"routing":{
    "look":{"domain":"h","pathPrefix":"/look/","trafficClass":"idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2},
    "order":{"domain":"h","pathPrefix":"/order/","trafficClass":"non_idempotent","guardS":5,"targetS":1,"target":"s","maxTries":2}},
    "targets":{"s":{"maxSessions":110,"warmupS":3,"warmupPerS":26}},
    "thresholds":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerGuardS":3,"idleGuardS":15}}"#;

/// What marshals have read, by the id of the request: on how many connections any byte of it arrived.
#[derive(Clone, Default)]
struct Arrivals(Rc<RefCell<BTreeMap<String, u32>>>);

impl Arrivals {
    fn of(&self, id: &str) -> u32 {
        self.0.borrow().get(id).copied().unwrap_or(0)
    }

    fn note(&self, id: String) {
        *self.0.borrow_mut().entry(id).or_default() += 1;
    }
}

/// How often the request with the id `i` has arrived.
fn arrivals_of_one(arrivals: &Arrivals) -> u32 {
    arrivals.of("i")
}

/// A stand-in of a marshal: one connection of it. `call` counts the connections from 0.
type Serve = dyn Fn(u32, DuplexStream, Arrivals) -> std::pin::Pin<Box<dyn Future<Output = ()>>>;

fn edge(count: usize, arrivals: &Arrivals, serve: Rc<Serve>) -> Rc<Edge> {
    edge_over(count, arrivals, serve, |stream| Box::new(stream))
}

/// The same, with connections to marshals that are `wrap`ped.
fn edge_over(
    count: usize,
    arrivals: &Arrivals,
    serve: Rc<Serve>,
    wrap: fn(DuplexStream) -> Box<dyn Wire>,
) -> Rc<Edge> {
    let (calls, arrivals) = (Rc::new(RefCell::new(0)), arrivals.clone());
    let dial: Dial = Box::new(move |_, _| {
        let (near, far) = duplex(1 << 20);
        let call = calls.replace_with(|call| *call + 1);
        tokio::task::spawn_local(serve(call, far, arrivals.clone()));
        Box::pin(async move { Ok(wrap(near)) })
    });
    edge_of(SETTINGS, BODY, (0..count).map(|at| node(at, "a")), dial)
}

/// A warm marshal of the one service.
fn node(at: usize, zone: &str) -> Node {
    Node {
        id: format!("i-{at}"),
        target: "s".into(),
        address: format!("10.1.0.{at}:80").parse().unwrap(),
        zone: zone.into(),
        revision: "v1".into(),
        capacity: 6,
        phase: Phase::Warm,
    }
}

/// An edge is told to end, as by SIGTERM: in so many milliseconds it takes only what is quick, and ends.
fn leave(edge: &Edge, selective_in: u64, ends_in: u64) {
    edge.leave(Leaving { selective_from: edge.now() + selective_in, ends: edge.now() + ends_in });
}

/// An edge that was told a configuration and marshals, and that reaches them by `dial`.
fn edge_of(settings: &str, body: &str, nodes: impl Iterator<Item = Node>, dial: Dial) -> Rc<Edge> {
    let edge = Edge::new(Settings::parse(settings).unwrap(), "10.0.0.9:8548".parse().unwrap(), dial);
    let mut view = View::default();
    let command = view.configure_command(1, body.as_bytes()).unwrap();
    view.apply(1, &command);
    for (at, node) in nodes.enumerate() {
        view.apply(2 + at as u64, &Command::NodeUp(node));
    }
    *edge.view.borrow_mut() = view;
    edge.refresh();
    edge
}

/// A client's answer: the status, whose it is by its stamp, and the body; nothing where none came whole.
#[derive(Clone, Debug, PartialEq)]
struct Got {
    status: u16,
    stamp: String,
    body: String,
}

async fn ask(edge: &Rc<Edge>, path: &str, id: &str) -> Option<Got> {
    let (mut client, server) = duplex(1 << 20);
    tokio::task::spawn_local(front::connection(Rc::clone(edge), server, Unread::new(SILENCE)));
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Remaining-Ms: 3000\r\n\
         Connection: close\r\nContent-Length: 4\r\n\r\nbody"
    );
    client.write_all(text.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = tokio::time::timeout(Duration::from_secs(20), client.read_to_end(&mut bytes)).await;
    read.expect("no answer in twenty seconds").ok()?;
    let text = String::from_utf8(bytes).unwrap();
    let (head, body) = text.split_once("\r\n\r\n")?;
    let field = |name: &str| {
        let line =
            head.lines().find_map(|line| line.split_once(": ").filter(|it| it.0.eq_ignore_ascii_case(name)));
        line.map(|(_, value)| value.to_owned())
    };
    let length: usize = field("content-length")?.parse().ok()?;
    let status = head.split(' ').nth(1)?.parse().ok()?;
    let stamp = field("x-milletwing-server-seal").unwrap_or_default();
    (length == body.len()).then(|| Got { status, stamp, body: body.into() })
}

/// Reads one request: its id, or nothing where the connection ends before its head.
async fn request(stream: &mut DuplexStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\nbody") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    let text = String::from_utf8(bytes).ok()?.to_ascii_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("x-milletwing-attempt-id: "))?;
    Some(id.to_owned())
}

fn answer(id: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: {id}\r\nContent-Length: 5\r\n\r\nhello"
    )
}

fn own(got: &Option<Got>, id: &str) -> bool {
    let wanted = Got { status: 200, stamp: id.into(), body: "hello".into() };
    got.as_ref() == Some(&wanted)
}

fn run(test: impl Future<Output = ()>) {
    let runtime =
        tokio::runtime::Builder::new_current_thread().enable_time().start_paused(true).build().unwrap();
    tokio::task::LocalSet::new().block_on(&runtime, test);
}

/// Serves requests one after the other; `spoil` gives what is written for the connection's n-th request, and whether the
/// connection goes on.
async fn serve(mut stream: DuplexStream, arrivals: Arrivals, spoil: impl Fn(u32, &str) -> (Vec<u8>, bool)) {
    for turn in 0.. {
        let Some(id) = request(&mut stream).await else { return };
        arrivals.note(id.clone());
        let (bytes, on) = spoil(turn, &id);
        if stream.write_all(&bytes).await.is_err() || !on {
            return;
        }
    }
}

#[test]
fn an_answer_cut_at_any_byte_is_no_answer_and_only_what_is_repeatable_goes_on() {
    let whole = answer("i").len();
    for cut in 0..=whole {
        for (path, repeatable) in [(LOOK, true), (ORDER, false)] {
            run(async move {
                let arrivals = Arrivals::default();
                // The first connection cuts its answer; later ones answer whole.
                let edge = edge(
                    4,
                    &arrivals,
                    Rc::new(move |call, stream, arrivals| {
                        Box::pin(serve(stream, arrivals, move |_, id| {
                            let bytes = answer(id).into_bytes();
                            if call == 0 {
                                (bytes[..cut].to_vec(), false)
                            } else {
                                (bytes, true)
                            }
                        }))
                    }),
                );
                let got = ask(&edge, path, "i").await;
                let tries = arrivals.of("i");
                if cut == whole || repeatable {
                    assert!(own(&got, "i"), "{path} cut at {cut}: {got:?}");
                    assert_eq!(tries, 1 + u32::from(cut < whole));
                } else {
                    assert_eq!(
                        got.map(|it| it.status),
                        Some(502),
                        "{path} cut at {cut}: no promise can be made"
                    );
                    assert_eq!(tries, 1, "{path} cut at {cut} was sent again");
                }
            });
        }
    }
}

#[test]
fn surplus_bytes_after_an_answer_belong_to_no_request() {
    let surplus = answer("x");
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
                            for turn in 0.. {
                                let Some(id) = request(&mut stream).await else { return };
                                arrivals.note(id.clone());
                                let mut bytes = answer(&id).into_bytes();
                                if turn == 0 && !late {
                                    bytes.extend(&surplus);
                                }
                                if stream.write_all(&bytes).await.is_err() {
                                    return;
                                }
                                if turn == 0 && late {
                                    tokio::time::sleep(Duration::from_millis(30)).await;
                                    let _ = stream.write_all(&surplus).await; // the edge may have closed
                                }
                            }
                        })
                    }),
                );
                assert!(own(&ask(&edge, ORDER, "a").await, "a"));
                if late {
                    tokio::time::sleep(Duration::from_millis(60)).await;
                }
                for id in ["b", "c"] {
                    let got = ask(&edge, ORDER, id).await;
                    let broken = got.as_ref().is_some_and(|it| it.status == 502);
                    assert!(own(&got, id) || broken, "{length} surplus bytes, late {late}: {id} got {got:?}");
                    assert!(arrivals.of(id) <= 1, "{id} was sent again");
                }
            });
        }
    }
}

#[test]
fn an_answer_that_comes_after_its_client_has_left_reaches_nobody_else() {
    for delay in [10, 200, 1_500, 2_900] {
        run(async move {
            let arrivals = Arrivals::default();
            let edge = edge(
                1,
                &arrivals,
                Rc::new(move |_, mut stream, arrivals| {
                    Box::pin(async move {
                        for turn in 0.. {
                            let Some(id) = request(&mut stream).await else { return };
                            arrivals.note(id.clone());
                            if turn == 0 {
                                tokio::time::sleep(Duration::from_millis(delay)).await;
                            }
                            if stream.write_all(answer(&id).as_bytes()).await.is_err() {
                                return;
                            }
                        }
                    })
                }),
            );
            let left = tokio::time::timeout(Duration::from_millis(delay / 2), ask(&edge, ORDER, "a")).await;
            assert!(left.is_err(), "the client leaves before its answer comes");
            for id in ["b", "c"] {
                let got = ask(&edge, ORDER, id).await;
                assert!(own(&got, id), "after {delay} ms {id} got {got:?}");
                assert_eq!(arrivals.of(id), 1);
            }
        });
    }
}

#[test]
fn what_may_not_run_twice_is_sent_once_whatever_byte_of_it_a_marshal_read_before_it_closed() {
    // The head and body of the request as the edge sends it are under 400 bytes.
    for read in 0..400 {
        run(async move {
            let arrivals = Arrivals::default();
            let edge = edge(
                3,
                &arrivals,
                Rc::new(move |call, mut stream, arrivals| {
                    Box::pin(async move {
                        // Connections that have served once take so many bytes of the next request, and close.
                        let Some(id) = request(&mut stream).await else { return };
                        arrivals.note(id.clone());
                        let _ = stream.write_all(answer(&id).as_bytes()).await; // its end is noticed below
                        if call > 2 {
                            return serve(stream, arrivals, |_, id| (answer(id).into_bytes(), true)).await;
                        }
                        let mut some = vec![0; read];
                        if read > 0 && stream.read_exact(&mut some).await.is_ok() {
                            arrivals.note("second".into());
                        }
                    })
                }),
            );
            assert!(own(&ask(&edge, ORDER, "first").await, "first"));
            let got = ask(&edge, ORDER, "second").await;
            assert!(arrivals.of("second") <= 1, "{read} bytes were read, and it went on: {got:?}");
            let ends = own(&got, "second") || got.as_ref().is_some_and(|it| matches!(it.status, 502 | 504));
            assert!(ends, "{read} bytes were read: {got:?}");
        });
    }
}

#[test]
fn answers_of_others_and_spoilt_ones_are_none() {
    let stamped = |lines: &str| format!("HTTP/1.1 200 OK\r\n{lines}\r\nhello");
    let seal = "X-Milletwing-Server-Seal: a\r\n";
    let spoilt = [
        stamped(&format!("X-Milletwing-Attempt-Id: other\r\n{seal}Content-Length: 5\r\n")),
        stamped(&format!("{seal}Content-Length: 5\r\n")),
        stamped("X-Milletwing-Attempt-Id: a\r\nContent-Length: 5\r\n"),
        stamped(&format!(
            "X-Milletwing-Attempt-Id: a\r\n{seal}Content-Encoding: gzip\r\nContent-Length: 5\r\n"
        )),
        "bytes that are no answer\r\n\r\n".into(),
    ];
    for text in spoilt {
        run(async move {
            let arrivals = Arrivals::default();
            let bytes = text.clone().into_bytes();
            let edge = edge(
                3,
                &arrivals,
                Rc::new(move |_, stream, arrivals| {
                    let bytes = bytes.clone();
                    Box::pin(serve(stream, arrivals, move |_, _| (bytes.clone(), false)))
                }),
            );
            let got = ask(&edge, ORDER, "a").await;
            assert_eq!(got.map(|it| it.status), Some(502), "{text}");
            assert_eq!(arrivals.of("a"), 1);
        });
    }
}

#[test]
fn an_edge_about_to_end_takes_what_is_done_by_then_and_sends_nothing_else_on() {
    run(async {
        let arrivals = Arrivals::default();
        let whole = |_, stream, arrivals| -> std::pin::Pin<Box<dyn Future<Output = ()>>> {
            Box::pin(serve(stream, arrivals, |_, id| (answer(id).into_bytes(), true)))
        };
        let edge = edge(3, &arrivals, Rc::new(whole));
        leave(&edge, 60_000, 120_000);
        assert!(own(&ask(&edge, ORDER, "early").await, "early"), "in the first half of its time it serves");
        // Twice the aim of a second is left, and a little more: enough. A little less: not.
        leave(&edge, 0, 2_100);
        assert!(own(&ask(&edge, ORDER, "quick").await, "quick"));
        leave(&edge, 0, 1_900);
        for path in [LOOK, ORDER] {
            let got = ask(&edge, path, "late").await;
            assert_eq!(got.map(|it| it.status), Some(503));
        }
        assert_eq!((arrivals.of("early"), arrivals.of("late")), (1, 0));
    });
}
