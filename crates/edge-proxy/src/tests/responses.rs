//! Responses with long heads, and responses that stall.

use super::guarantees::{header_field, ms, read_head, send_head};
use super::{edge, run, Arrivals, MarshalStub, IDEMPOTENT};
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

/// A marshal that sends a head with the given fields and the first `sent` bytes of a body, and then
/// nothing more.
fn stalling_marshal(fields: String, length: usize, sent: usize) -> Rc<MarshalStub> {
    Rc::new(move |_, mut stream, _| {
        let fields = fields.clone();
        Box::pin(async move {
            let Some(head) = read_head(&mut stream).await else { return };
            let id = header_field(&head, "x-milletwing-attempt-id").unwrap();
            let text = format!(
                "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: own\r\n{fields}Content-Length: {length}\r\n\r\n"
            );
            let _ = stream.write_all(text.as_bytes()).await;
            let _ = stream.write_all(&vec![b'x'; sent]).await;
            std::future::pending::<()>().await;
        })
    })
}

/// Guards against a 502 for a request that was executed: the response head was longer than the read
/// buffer.
#[test]
fn long_response_head_is_forwarded() {
    run(async {
        let long = "v".repeat(20_000);
        let edge = edge(1, &Arrivals::default(), stalling_marshal(format!("X-Long: {long}\r\n"), 2, 2));
        let mut client = send_head(&edge, IDEMPOTENT, 3_000, "").await;
        let response_head = read_head(&mut client).await.expect("a response");
        assert!(
            response_head.starts_with("HTTP/1.1 200"),
            "{}",
            response_head.lines().next().unwrap_or_default()
        );
        assert_eq!(header_field(&response_head, "x-long"), Some(long));
    });
}

/// Guards against a response that is held open forever: it ends ten seconds after its last bytes,
/// and must not look complete.
#[test]
fn stalled_response_ends_after_the_stall_timeout() {
    const LENGTH: usize = 60_000;
    run(async {
        let edge = edge(1, &Arrivals::default(), stalling_marshal(String::new(), LENGTH, LENGTH / 2));
        let started = Instant::now();
        let mut client = send_head(&edge, IDEMPOTENT, 3_000, "").await;
        assert!(read_head(&mut client).await.is_some());
        let mut bytes = Vec::new();
        let reading = tokio::time::timeout(ms(60_000), client.read_to_end(&mut bytes));
        // Reset or closed: only the length of the body matters.
        let _ = reading.await.expect("the response is held open");
        assert!(bytes.len() < LENGTH, "{}", bytes.len());
        assert!(started.elapsed() >= ms(10_000) && started.elapsed() < ms(10_200), "{:?}", started.elapsed());
    });
}
