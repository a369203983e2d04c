//! Bodies that go on coming behind an early answer: they come to their end, within the request's time.

use super::guarantees::{begin, field, head, ms};
use super::{answer, edge_of, node, run, BODY, ORDER, SETTINGS};
use crate::pool::{Dial, Wire};
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio::time::Instant;

const LENGTH: usize = 60_000;
/// Milliseconds that the client of an upload gives, and a wait that is longer than a connection may be idle, but not so long.
const REMAINING_MS: u64 = 4_000;
const PAUSE_MS: u64 = 3_500;

/// What a marshal that answers before it reads has got: the bytes, and when the connection ended.
#[derive(Default)]
struct Got {
    bytes: RefCell<Vec<u8>>,
    ended: Cell<Option<Instant>>,
}

/// A marshal that answers before it reads.
async fn answer_and_read_on(mut stream: DuplexStream, got: Rc<Got>) {
    let Some(head) = head(&mut stream).await else { return };
    let id = field(&head, "x-milletwing-attempt-id").unwrap();
    let _ = stream.write_all(answer(&id).as_bytes()).await;
    let mut bytes = vec![0; 4_096];
    while let Ok(count @ 1..) = stream.read(&mut bytes).await {
        got.bytes.borrow_mut().extend(&bytes[..count]);
    }
    got.ended.set(Some(Instant::now()));
}

/// Half of a body is sent and answered; gives the client's end and what the marshal goes on to get.
async fn half_an_upload() -> (DuplexStream, Rc<Got>) {
    let got: Rc<Got> = Rc::default();
    let noted = Rc::clone(&got);
    let dial: Dial = Box::new(move |_, _| {
        let (near, far) = duplex(1 << 20);
        tokio::task::spawn_local(answer_and_read_on(far, Rc::clone(&noted)));
        Box::pin(async move { Ok(Box::new(near) as Box<dyn Wire>) })
    });
    let body = BODY.replace(r#""headerGuardS":3,"idleGuardS":15"#, r#""headerGuardS":1,"idleGuardS":1"#);
    let edge = edge_of(SETTINGS, &body, std::iter::once(node(0, "a")), dial);
    let length = format!("Content-Length: {LENGTH}\r\n");
    let mut client = begin(&edge, ORDER, REMAINING_MS, &length).await;
    client.write_all(&vec![b'x'; LENGTH / 2]).await.unwrap();
    let early = head(&mut client).await.expect("the answer comes before the body's end");
    assert!(early.starts_with("HTTP/1.1 200"), "{early}");
    (client, got)
}

/// Guards against LOST: the client's connection was taken for idle once the early answer was out, and the rest of its body cut.
#[test]
fn a_body_comes_to_its_end_behind_an_early_answer() {
    run(async {
        let (mut client, got) = half_an_upload().await;
        tokio::time::sleep(ms(PAUSE_MS)).await;
        client.write_all(&vec![b'x'; LENGTH - LENGTH / 2]).await.unwrap();
        tokio::time::sleep(ms(100)).await;
        assert_eq!(got.bytes.borrow().len(), LENGTH);
    });
}

/// Guards against a connection that is held for ever by a body that does not come.
#[test]
fn a_body_that_stops_behind_an_early_answer_is_given_up_when_its_time_is_over() {
    run(async {
        let begun = Instant::now();
        let (_client, got) = half_an_upload().await;
        tokio::time::sleep(ms(2 * REMAINING_MS)).await;
        let ended = got.ended.get().expect("the marshal's connection ends") - begun;
        assert!(ended >= ms(REMAINING_MS) && ended < ms(REMAINING_MS + 100), "{ended:?}");
        assert_eq!(got.bytes.borrow().len(), LENGTH / 2);
    });
}

/// Guards against DENIED: a proper request in chunks got 400 where its body, or the name of a longer field, held `Content-Length`.
#[test]
fn words_of_a_body_are_not_taken_for_its_head() {
    run(async {
        let serve: Rc<super::Serve> = Rc::new(|_, mut stream, _| {
            Box::pin(async move {
                let Some(head) = head(&mut stream).await else { return };
                let id = field(&head, "x-milletwing-attempt-id").unwrap();
                let _ = stream.write_all(answer(&id).as_bytes()).await;
                let _ = stream.read(&mut [0; 4_096]).await;
            })
        });
        let edge = super::edge(1, &super::Arrivals::default(), serve);
        let fields = "Transfer-Encoding: chunked\r\nX-Decoded-Content-Length: 20\r\n";
        let mut client = begin(&edge, ORDER, REMAINING_MS, fields).await;
        client.write_all(b"14\r\nContent-Length: text\r\n0\r\n\r\n").await.unwrap();
        let got = head(&mut client).await.expect("an answer");
        assert!(got.starts_with("HTTP/1.1 200"), "{got}");
        // Both framings in one head are refused, as ever.
        let fields = "Transfer-Encoding: chunked\r\nContent-Length: 20\r\n";
        let mut client = begin(&edge, ORDER, REMAINING_MS, fields).await;
        client.write_all(b"0\r\n\r\n").await.unwrap();
        let got = head(&mut client).await.expect("an answer");
        assert!(got.starts_with("HTTP/1.1 400"), "{got}");
    });
}
