//! Answers with long heads, and answers that stall.

use super::guarantees::{begin, field, head, ms};
use super::{edge, run, Arrivals, Serve, LOOK};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

/// A marshal that answers with these fields and the beginning of a body, and then says nothing.
fn begins_to_answer(fields: String, length: usize, sent: usize) -> Rc<Serve> {
    Rc::new(move |_, mut stream, _| {
        let fields = fields.clone();
        Box::pin(async move {
            let Some(head) = head(&mut stream).await else { return };
            let id = field(&head, "x-milletwing-attempt-id").unwrap();
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: own\r\n{fields}Content-Length: {length}\r\n\r\n"
            );
            let _ = stream.write_all(text.as_bytes()).await;
            let _ = stream.write_all(&vec![b'x'; sent]).await;
            std::future::pending::<()>().await;
        })
    })
}

/// Guards against 502 for an answer that ran: its head was longer than the buffer that it was read into.
#[test]
fn a_marshals_long_head_is_passed_on() {
    run(async {
        let long = "v".repeat(20_000);
        let edge = edge(1, &Arrivals::default(), begins_to_answer(format!("X-Long: {long}\r\n"), 2, 2));
        let mut client = begin(&edge, LOOK, 3_000, "").await;
        let answer = head(&mut client).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 200"), "{}", answer.lines().next().unwrap_or_default());
        assert_eq!(field(&answer, "x-long"), Some(long));
    });
}

/// Guards against an answer that is held for ever: it ends ten seconds behind its last bytes, and does not look whole.
#[test]
fn an_answer_that_stalls_ends_some_time_after_its_requests_time() {
    const LENGTH: usize = 60_000;
    run(async {
        let edge = edge(1, &Arrivals::default(), begins_to_answer(String::new(), LENGTH, LENGTH / 2));
        let begun = Instant::now();
        let mut client = begin(&edge, LOOK, 3_000, "").await;
        assert!(head(&mut client).await.is_some());
        let mut bytes = Vec::new();
        let reading = tokio::time::timeout(ms(60_000), client.read_to_end(&mut bytes));
        let _ = reading.await.expect("held for ever"); // reset or ended: what counts is that it is short
        assert!(bytes.len() < LENGTH, "{}", bytes.len());
        assert!(begun.elapsed() >= ms(10_000) && begun.elapsed() < ms(10_200), "{:?}", begun.elapsed());
    });
}
