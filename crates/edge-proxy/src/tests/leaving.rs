//! What an edge takes while it leaves comes to an end of its own before the edge's.

use super::guarantees::{begin, field, head, ms};
use super::{edge, leave, run, Arrivals, ORDER};
use std::cell::Cell;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::time::Instant;

const REMAINING_MS: u64 = 4_000;
/// Less than the client gives, and more than an order is expected to take.
const ENDS_IN_MS: u64 = 3_000;

/// Guards against LOST: an order was handed to a marshal for longer than the edge had left, and cut at its end.
#[test]
fn an_order_taken_while_leaving_gets_its_marshals_own_word_before_the_end() {
    run(async {
        let handed = Rc::new(Cell::new(0));
        let noted = Rc::clone(&handed);
        let edge = edge(
            1,
            &Arrivals::default(),
            Rc::new(move |_, mut stream, _| {
                let noted = Rc::clone(&noted);
                Box::pin(async move {
                    let Some(head) = head(&mut stream).await else { return };
                    let id = field(&head, "x-milletwing-attempt-id").unwrap();
                    noted.set(field(&head, "x-milletwing-remaining-ms").unwrap().parse().unwrap());
                    // It stops work at the value that it is handed, and says so.
                    tokio::time::sleep(ms(noted.get())).await;
                    let text = format!(
                        "HTTP/1.1 504 Gateway Timeout\r\nX-Milletwing-Attempt-Id: {id}\r\nX-Milletwing-Server-Seal: own\r\nContent-Length: 0\r\n\r\n"
                    );
                    let _ = stream.write_all(text.as_bytes()).await;
                })
            }),
        );
        leave(&edge, 0, ENDS_IN_MS);
        let begun = Instant::now();
        let mut client = begin(&edge, ORDER, REMAINING_MS, "Content-Length: 4\r\n").await;
        client.write_all(b"body").await.unwrap();
        let answer = head(&mut client).await.expect("an answer");
        assert!(answer.starts_with("HTTP/1.1 504"), "{answer}");
        assert_eq!(field(&answer, "x-milletwing-server-seal").as_deref(), Some("own"));
        assert!(begun.elapsed() < ms(ENDS_IN_MS), "{:?}", begun.elapsed());
        assert!(handed.get() > ENDS_IN_MS / 2, "as long as there is: {}", handed.get());
        assert_eq!(client.read(&mut [0; 8]).await.unwrap(), 0, "then it closes");
    });
}
