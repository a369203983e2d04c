//! Uploads that continue after an early response: they are forwarded to their end, but not beyond
//! the deadline of the request.

use super::guarantees::{header_field, ms, read_head, send_head};
use super::{configured_edge, node, ok_response, run, CONFIGURATION, NON_IDEMPOTENT, SETTINGS};
use crate::pool::{Connector, Transport};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

const LENGTH: usize = 60_000;
/// Time that the client of an upload allows for the request.
const REMAINING_MS: u64 = 4_000;
/// A pause that is longer than a connection may be idle, and shorter than the time of the request.
const PAUSE_MS: u64 = 3_500;

/// What a marshal has received of an upload: the bytes, and when the connection ended.
#[derive(Default)]
struct ReceivedUpload {
    bytes: RefCell<Vec<u8>>,
    ended_at: Cell<Option<Instant>>,
}

/// A marshal that responds before it reads the body.
async fn respond_then_read(mut stream: DuplexStream, upload: Rc<ReceivedUpload>) {
    let Some(head) = read_head(&mut stream).await else { return };
    let id = header_field(&head, "x-milletwing-attempt-id").unwrap();
    let _ = stream.write_all(ok_response(&id).as_bytes()).await;
    let mut bytes = vec![0; 4_096];
    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
        upload.bytes.borrow_mut().extend(&bytes[..count]);
    }
    upload.ended_at.set(Some(Instant::now()));
}

/// Sends half of a body and reads the early response. Returns the client's end of the connection
/// and what the marshal receives.
async fn start_upload() -> (DuplexStream, Rc<ReceivedUpload>) {
    let upload: Rc<ReceivedUpload> = Rc::default();
    let recorded = Rc::clone(&upload);
    let connector: Connector = Box::new(move |_, _| {
        let (edge_end, marshal_end) = duplex(1 << 20);
        tokio::task::spawn_local(respond_then_read(marshal_end, Rc::clone(&recorded)));
        Box::pin(async move { Ok(Box::new(edge_end) as Box<dyn Transport>) })
    });
    let configuration =
        CONFIGURATION.replace(r#""headerGuardS":3,"idleGuardS":15"#, r#""headerGuardS":1,"idleGuardS":1"#);
    let edge = configured_edge(SETTINGS, &configuration, std::iter::once(node(0, "a")), connector);
    let length = format!("Content-Length: {LENGTH}\r\n");
    let mut client = send_head(&edge, NON_IDEMPOTENT, REMAINING_MS, &length).await;
    client.write_all(&vec![b'x'; LENGTH / 2]).await.unwrap();
    let early_response =
        read_head(&mut client).await.expect("the response arrives before the end of the body");
    assert!(early_response.starts_with("HTTP/1.1 200"), "{early_response}");
    (client, upload)
}

/// Guards against losing the rest of an upload: once the early response had been sent, the client
/// connection was taken to be idle and was closed.
#[test]
fn upload_continues_after_an_early_response() {
    run(async {
        let (mut client, upload) = start_upload().await;
        tokio::time::sleep(ms(PAUSE_MS)).await;
        client.write_all(&vec![b'x'; LENGTH - LENGTH / 2]).await.unwrap();
        tokio::time::sleep(ms(100)).await;
        assert_eq!(upload.bytes.borrow().len(), LENGTH);
    });
}

/// Guards against a connection that is held open forever by a body that does not arrive.
#[test]
fn stalled_upload_after_an_early_response_is_cut_at_the_deadline() {
    run(async {
        let started = Instant::now();
        let (_client, upload) = start_upload().await;
        tokio::time::sleep(ms(2 * REMAINING_MS)).await;
        let elapsed = upload.ended_at.get().expect("the connection to the marshal ends") - started;
        assert!(elapsed >= ms(REMAINING_MS) && elapsed < ms(REMAINING_MS + 100), "{elapsed:?}");
        assert_eq!(upload.bytes.borrow().len(), LENGTH / 2);
    });
}

/// Guards against refusing a valid chunked request with 400 because its body, or the name of a
/// longer header field, contains `Content-Length`.
#[test]
fn body_text_is_not_parsed_as_header_fields() {
    run(async {
        let marshal: Rc<super::MarshalStub> = Rc::new(|_, mut stream, _| {
            Box::pin(async move {
                let Some(head) = read_head(&mut stream).await else { return };
                let id = header_field(&head, "x-milletwing-attempt-id").unwrap();
                let _ = stream.write_all(ok_response(&id).as_bytes()).await;
                let _ = stream.read(&mut [0; 4_096]).await;
            })
        });
        let edge = super::edge(1, &super::Arrivals::default(), marshal);
        let fields = "Transfer-Encoding: chunked\r\nX-Decoded-Content-Length: 20\r\n";
        let mut client = send_head(&edge, NON_IDEMPOTENT, REMAINING_MS, fields).await;
        client.write_all(b"14\r\nContent-Length: text\r\n0\r\n\r\n").await.unwrap();
        let response = read_head(&mut client).await.expect("a response");
        assert!(response.starts_with("HTTP/1.1 200"), "{response}");
        // A head with both kinds of framing is still refused.
        let fields = "Transfer-Encoding: chunked\r\nContent-Length: 20\r\n";
        let mut client = send_head(&edge, NON_IDEMPOTENT, REMAINING_MS, fields).await;
        client.write_all(b"0\r\n\r\n").await.unwrap();
        let response = read_head(&mut client).await.expect("a response");
        assert!(response.starts_with("HTTP/1.1 400"), "{response}");
    });
}
