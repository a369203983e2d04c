//! Requests that an edge accepts during its shutdown finish before it exits.

use super::guarantees::{header_field, ms, read_head, send_head};
use super::{begin_shutdown, edge, run, Arrivals, NON_IDEMPOTENT};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const REMAINING_MS: u64 = 4_000;
/// Less than the time given by the client, and more than a non-idempotent request is expected to
/// take.
const EXITS_IN_MS: u64 = 3_000;

/// Guards against losing the response of an executed request: the marshal was given more time than
/// the edge had left, and the connection was cut when the edge exited.
#[test]
fn request_accepted_during_shutdown_gets_the_marshals_response() {
    run(async {
        let given_ms = Rc::new(Cell::new(0));
        let recorded = Rc::clone(&given_ms);
        let edge = edge(
            1,
            &Arrivals::default(),
            Rc::new(move |_, mut stream, _| {
                let recorded = Rc::clone(&recorded);
                Box::pin(async move {
                    let Some(head) = read_head(&mut stream).await else { return };
                    let id = header_field(&head, "x-milletwing-attempt-id").unwrap();
                    recorded.set(header_field(&head, "x-milletwing-remaining-ms").unwrap().parse().unwrap());
                    // The marshal stops work when the time that it was given is over, and reports
                    // it.
                    tokio::time::sleep(ms(recorded.get())).await;
                    let text = format!(
                        "HTTP/1.1 504 Gateway Timeout\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: own\r\nContent-Length: 0\r\n\r\n"
                    );
                    let _ = stream.write_all(text.as_bytes()).await;
                })
            }),
        );
        begin_shutdown(&edge, 0, EXITS_IN_MS);
        let started = Instant::now();
        let mut client = send_head(&edge, NON_IDEMPOTENT, REMAINING_MS, "Content-Length: 4\r\n").await;
        client.write_all(b"body").await.unwrap();
        let response_head = read_head(&mut client).await.expect("a response");
        assert!(response_head.starts_with("HTTP/1.1 504"), "{response_head}");
        assert_eq!(header_field(&response_head, "x-milletwing-server-seal").as_deref(), Some("own"));
        assert!(started.elapsed() < ms(EXITS_IN_MS), "{:?}", started.elapsed());
        assert!(
            given_ms.get() > EXITS_IN_MS / 2,
            "the marshal got most of the available time: {}",
            given_ms.get()
        );
        assert_eq!(client.read(&mut [0; 8]).await.unwrap(), 0, "the connection closes after the response");
    });
}
