//! Guarantees to clients and marshals besides matching responses to requests: remaining time passed
//! on, timeouts, disconnected clients, long bodies, and responses without a length.

use super::SILENT_CLIENT_TIMEOUT;
use super::{
    arrivals_of_i, edge, edge_with_transport, is_own_response, ok_response, read_request, run, send_request,
    serve_requests, Arrivals, IDEMPOTENT, NON_IDEMPOTENT,
};
use crate::pool::Transport;
use crate::server;
use crate::user_timeout::UnreadTracker;
use crate::Edge;
use std::cell::{Cell, RefCell};
use std::io::{Error, ErrorKind};
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{duplex, AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};
use tokio::time::Instant;

/// Time that the edge is allowed for its reaction after a client has disconnected or a deadline has
/// passed.
const REACTION_LIMIT: Duration = Duration::from_millis(500);

pub(super) fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Reads bytes up to the end of a head.
pub(super) async fn read_head(stream: &mut DuplexStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    String::from_utf8(bytes).ok()
}

pub(super) fn header_field(head: &str, name: &str) -> Option<String> {
    let found = head
        .lines()
        .find_map(|line| line.split_once(": ").filter(|field| field.0.eq_ignore_ascii_case(name)));
    found.map(|(_, value)| value.to_owned())
}

/// Sends the head of a request and returns the client's end of the connection.
pub(super) async fn send_head(
    edge: &Rc<Edge>,
    path: &str,
    remaining_ms: u64,
    extra_fields: &str,
) -> DuplexStream {
    let (mut client, server) = duplex(1 << 20);
    tokio::task::spawn_local(server::serve_connection(
        Rc::clone(edge),
        server,
        UnreadTracker::new(SILENT_CLIENT_TIMEOUT),
    ));
    let text = format!(
        "POST {path} HTTP/1.1\r\nHost: h\r\nX-Milletwing-Attempt-Id: i\r\nX-Milletwing-Remaining-Ms: {remaining_ms}\r\n{extra_fields}\r\n"
    );
    client.write_all(text.as_bytes()).await.unwrap();
    client
}

#[test]
fn each_attempt_carries_only_the_remaining_time() {
    run(async {
        let sent_ms: Rc<RefCell<Vec<u64>>> = Rc::default();
        let recorded = Rc::clone(&sent_ms);
        let edge = edge(
            3,
            &Arrivals::default(),
            Rc::new(move |connection, mut stream, _| {
                let recorded = Rc::clone(&recorded);
                Box::pin(async move {
                    let Some(head) = read_head(&mut stream).await else { return };
                    let remaining = header_field(&head, "x-milletwing-remaining-ms")
                        .expect("every attempt states the remaining time");
                    recorded.borrow_mut().push(remaining.parse().unwrap());
                    if connection == 0 {
                        tokio::time::sleep(ms(700)).await;
                        return; // the connection breaks
                    }
                    let _ = stream.write_all(ok_response("i").as_bytes()).await;
                    tokio::time::sleep(ms(60_000)).await;
                })
            }),
        );
        assert!(is_own_response(&send_request(&edge, IDEMPOTENT, "i").await, "i"));
        let sent_ms = sent_ms.borrow();
        assert!(sent_ms.len() >= 2 && sent_ms[0] <= 3_000, "{sent_ms:?}");
        let later_are_reduced = sent_ms.iter().skip(1).all(|time| *time <= 3_000 - 600);
        assert!(later_are_reduced, "a later attempt got as much time as the first: {sent_ms:?}");
    });
}

#[test]
fn request_is_answered_at_the_route_deadline() {
    for (path, reads_request) in [(IDEMPOTENT, true), (NON_IDEMPOTENT, true), (NON_IDEMPOTENT, false)] {
        run(async move {
            // A marshal that reads the request but does not respond, or one that accepts
            // connections but reads nothing.
            let edge = edge(
                3,
                &Arrivals::default(),
                Rc::new(move |_, mut stream, _| {
                    Box::pin(async move {
                        if reads_request {
                            let _ = read_request(&mut stream).await;
                        }
                        tokio::time::sleep(ms(60_000)).await;
                    })
                }),
            );
            let started = Instant::now();
            let mut client = send_head(&edge, path, 60_000, "Content-Length: 4\r\n").await;
            client.write_all(b"body").await.unwrap();
            let head = read_head(&mut client).await.expect("a response");
            let elapsed = started.elapsed();
            assert!(head.starts_with("HTTP/1.1 504"), "{path}: {head}");
            assert!(
                elapsed >= ms(4_990) && elapsed <= ms(5_000) + REACTION_LIMIT,
                "{path}: after {elapsed:?}"
            );
        });
    }
}

#[test]
fn missing_request_body_times_out_as_not_executed() {
    run(async {
        let edge = edge(3, &Arrivals::default(), Rc::new(|_, _, _| Box::pin(async {})));
        let started = Instant::now();
        let mut client = send_head(&edge, NON_IDEMPOTENT, 60_000, "Content-Length: 4\r\n").await;
        client.write_all(b"bo").await.unwrap();
        let head = read_head(&mut client).await.expect("a response");
        assert!(head.starts_with("HTTP/1.1 503"), "{head}");
        assert!(started.elapsed() <= ms(5_000) + REACTION_LIMIT);
    });
}

#[test]
fn client_disconnect_cancels_the_request() {
    for path in [IDEMPOTENT, NON_IDEMPOTENT] {
        run(async move {
            let arrivals = Arrivals::default();
            let closed_at: Rc<Cell<Option<Instant>>> = Rc::default();
            let recorded = Rc::clone(&closed_at);
            let edge = edge(
                3,
                &arrivals,
                Rc::new(move |_, mut stream, arrivals| {
                    let recorded = Rc::clone(&recorded);
                    Box::pin(async move {
                        let Some(id) = read_request(&mut stream).await else { return };
                        arrivals.record(id);
                        // Busy until the connection ends.
                        let _ = stream.read_u8().await;
                        recorded.set(Some(Instant::now()));
                    })
                }),
            );
            let mut client = send_head(&edge, path, 4_000, "Content-Length: 4\r\n").await;
            client.write_all(b"body").await.unwrap();
            tokio::time::sleep(ms(100)).await;
            drop(client);
            let disconnected_at = Instant::now();
            tokio::time::sleep(ms(4_000)).await;
            let closed_at = closed_at.get().expect("the connection to the marshal is closed");
            assert!(
                closed_at.duration_since(disconnected_at) <= REACTION_LIMIT,
                "{path}: {:?} later",
                closed_at.duration_since(disconnected_at)
            );
            assert_eq!(arrivals_of_i(&arrivals), 1, "{path} is retried for a client that has disconnected");
        });
    }
}

#[test]
fn rejected_request_of_a_disconnected_client_is_not_retried() {
    run(async {
        let arrivals = Arrivals::default();
        let edge = edge(
            4,
            &arrivals,
            Rc::new(move |_, mut stream, arrivals| {
                Box::pin(async move {
                    let Some(id) = read_request(&mut stream).await else { return };
                    arrivals.record(id);
                    tokio::time::sleep(ms(300)).await;
                    let rejection =
                        "HTTP/1.1 503 Busy\r\nX-Milletwing-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n";
                    // The edge may have closed the connection.
                    let _ = stream.write_all(rejection.as_bytes()).await;
                    tokio::time::sleep(ms(60_000)).await;
                })
            }),
        );
        let mut client = send_head(&edge, NON_IDEMPOTENT, 4_000, "Content-Length: 4\r\n").await;
        client.write_all(b"body").await.unwrap();
        tokio::time::sleep(ms(100)).await;
        drop(client);
        tokio::time::sleep(ms(4_000)).await;
        assert_eq!(arrivals_of_i(&arrivals), 1);
    });
}

#[test]
fn connection_with_an_unfinished_upload_carries_no_other_request() {
    const LENGTH: usize = 60_000;
    run(async {
        let connections: Rc<RefCell<Vec<Vec<u8>>>> = Rc::default();
        let recorded = Rc::clone(&connections);
        let edge = edge(
            1,
            &Arrivals::default(),
            Rc::new(move |connection, mut stream, arrivals| {
                let recorded = Rc::clone(&recorded);
                recorded.borrow_mut().push(Vec::new());
                Box::pin(async move {
                    if connection > 0 {
                        return serve_requests(stream, arrivals, |_, id| {
                            (ok_response(id).into_bytes(), true)
                        })
                        .await;
                    }
                    let Some(head) = read_head(&mut stream).await else { return };
                    let id = header_field(&head, "x-milletwing-attempt-id").unwrap();
                    let _ = stream.write_all(ok_response(&id).as_bytes()).await; // before the body is read
                    let mut bytes = vec![0; 4_096];
                    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
                        recorded.borrow_mut()[connection as usize].extend(&bytes[..count]);
                    }
                })
            }),
        );
        let mut client =
            send_head(&edge, NON_IDEMPOTENT, 4_000, &format!("Content-Length: {LENGTH}\r\n")).await;
        client.write_all(&vec![b'x'; LENGTH / 2]).await.unwrap();
        let early_response =
            read_head(&mut client).await.expect("the response arrives before the end of the body");
        assert!(early_response.starts_with("HTTP/1.1 200"), "{early_response}");
        // Other requests arrive in the meantime, and then the rest of the body.
        for id in ["b", "c"] {
            assert!(is_own_response(&send_request(&edge, NON_IDEMPOTENT, id).await, id));
        }
        let _ = client.write_all(&vec![b'x'; LENGTH / 2]).await; // the edge may have closed the connection
        tokio::time::sleep(ms(500)).await;
        for id in ["d", "e"] {
            assert!(is_own_response(&send_request(&edge, NON_IDEMPOTENT, id).await, id));
        }
        let received = connections.borrow()[0].clone();
        assert!(received.iter().all(|byte| *byte == b'x'), "other bytes in place of the rest of the body");
        assert!(received.len() >= LENGTH / 2 && received.len() <= LENGTH, "{} bytes", received.len());
    });
}

/// A connection to a marshal that is reset instead of closed.
struct ResetAtEnd(DuplexStream);

impl AsyncRead for ResetAtEnd {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        match Pin::new(&mut self.0).poll_read(context, buffer) {
            Poll::Ready(Ok(())) if buffer.filled().len() == before => {
                Poll::Ready(Err(Error::from(ErrorKind::ConnectionReset)))
            }
            other => other,
        }
    }
}

impl AsyncWrite for ResetAtEnd {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.0).poll_write(context, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.0).poll_shutdown(context)
    }
}

/// Fetches a response without a length, whose connection is then reset or closed. Returns the head,
/// the body, and whether the response looks complete to the client.
async fn fetch_without_length(length: usize, reset: bool) -> (String, Vec<u8>, bool) {
    let wrap: fn(DuplexStream) -> Box<dyn Transport> =
        if reset { |stream| Box::new(ResetAtEnd(stream)) } else { |stream| Box::new(stream) };
    let edge = edge_with_transport(
        1,
        &Arrivals::default(),
        Rc::new(move |_, mut stream, _| {
            Box::pin(async move {
                let Some(head) = read_head(&mut stream).await else { return };
                let id = header_field(&head, "x-milletwing-attempt-id").unwrap();
                let head = format!(
                    "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: s\r\n\r\n"
                );
                let _ = stream.write_all(head.as_bytes()).await;
                let _ = stream.write_all(&vec![b'y'; length]).await;
            })
        }),
        wrap,
    );
    let mut client =
        send_head(&edge, NON_IDEMPOTENT, 4_000, "Connection: close\r\nContent-Length: 0\r\n").await;
    let head = read_head(&mut client).await.expect("a response");
    let mut body = Vec::new();
    let read = tokio::time::timeout(ms(10_000), client.read_to_end(&mut body)).await;
    read.expect("the connection ends").unwrap();
    // A chunked body ends with an empty chunk; a body with a length has all of its bytes.
    let complete = match header_field(&head, "content-length") {
        Some(length) => length.parse() == Ok(body.len()),
        None => body.ends_with(b"\r\n0\r\n\r\n"),
    };
    (head, body, complete)
}

#[test]
fn response_without_length_is_complete_on_close_but_not_on_reset() {
    for length in [0, 5, 100_000] {
        run(async move {
            let (head, body, complete) = fetch_without_length(length, false).await;
            let payload = body.iter().filter(|byte| **byte == b'y').count();
            assert!(head.starts_with("HTTP/1.1 200") && complete, "{length}: {head}");
            assert_eq!(payload, length);
        });
        run(async move {
            let (head, _, complete) = fetch_without_length(length, true).await;
            assert!(
                head.starts_with("HTTP/1.1 502") || !complete,
                "{length} bytes and a reset look complete: {head}"
            );
        });
    }
}

#[test]
fn sealed_failure_keeps_its_status() {
    for (path, status) in [
        (NON_IDEMPOTENT, 500),
        (NON_IDEMPOTENT, 404),
        (IDEMPOTENT, 500),
        (IDEMPOTENT, 418),
        (NON_IDEMPOTENT, 504),
    ] {
        run(async move {
            let edge = edge(
                2,
                &Arrivals::default(),
                Rc::new(move |_, mut stream, _| {
                    Box::pin(async move {
                        while let Some(id) = read_request(&mut stream).await {
                            let text = ok_response(&id).replace("200 OK", &format!("{status} Its own"));
                            let _ = stream.write_all(text.as_bytes()).await;
                        }
                    })
                }),
            );
            let response = send_request(&edge, path, "a").await.expect("a response");
            assert_eq!((response.status, response.seal.as_str()), (status, "a"), "{path}");
        });
    }
}

#[test]
fn keep_alive_connection_closes_after_the_response_in_flight() {
    run(async {
        let edge = edge(
            1,
            &Arrivals::default(),
            Rc::new(|_, mut stream, _| {
                Box::pin(async move {
                    let Some(id) = read_request(&mut stream).await else { return };
                    tokio::time::sleep(ms(800)).await;
                    let _ = stream.write_all(ok_response(&id).as_bytes()).await;
                    tokio::time::sleep(ms(60_000)).await;
                })
            }),
        );
        assert!(edge.ready());
        let mut client = send_head(&edge, NON_IDEMPOTENT, 4_000, "Content-Length: 4\r\n").await;
        client.write_all(b"body").await.unwrap();
        tokio::time::sleep(ms(200)).await;
        // As after SIGTERM: the edge stops being ready at once, and then every connection is told
        // to close.
        edge.begin_shutdown(4_000);
        assert!(!edge.ready(), "the edge still reports ready");
        edge.close_connections.notify_waiters();
        let text = read_head(&mut client).await.expect("the response in flight");
        assert!(text.starts_with("HTTP/1.1 200"), "{text}");
        let mut body = [0; 5];
        client.read_exact(&mut body).await.unwrap();
        assert_eq!(&body, b"hello");
        assert_eq!(client.read(&mut body).await.unwrap(), 0, "the connection closes after the response");
    });
}
