//! Requests of any method, with bodies of any size and framing, as a seed draws them: what reaches a marshal
//! is what the client sent, byte for byte.

use super::guarantees::{header_field, read_head};
use super::{edge, run, Arrivals, MarshalStub, IDEMPOTENT, SILENT_CLIENT_TIMEOUT};
use crate::server;
use crate::user_timeout::UnreadTracker;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::io::{duplex, AsyncReadExt, AsyncWriteExt, DuplexStream};

const SEEDS: u64 = 300;
const METHODS: [&str; 8] = ["GET", "HEAD", "DELETE", "OPTIONS", "POST", "PUT", "PATCH", "PURGE"];
/// Sizes about the one up to which the edge gathers a body, and some others.
const SIZES: [usize; 8] = [0, 1, 2, 16_383, 16_384, 16_385, 70_000, 1_300_000];
/// One seed in so many has a body of ten million bytes.
const LARGE_EVERY: u64 = 100;
const LARGE: usize = 10_000_000;

#[derive(Clone, Copy, Debug, PartialEq)]
enum Framing {
    Length,
    /// Chunks of up to so many bytes.
    Chunks(usize),
}

/// A request as drawn.
#[derive(Clone, Debug)]
struct Drawn {
    method: &'static str,
    body: Vec<u8>,
    framing: Framing,
    trailer: bool,
    expects_continue: bool,
    /// The first marshal ends the connection once it has read the head.
    first_attempt_fails: bool,
    /// Requests on the same connection, one after another.
    repeats: usize,
}

impl Drawn {
    fn new(seed: u64) -> Drawn {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let size = match random.random_range(0..3) {
            _ if seed.is_multiple_of(LARGE_EVERY) => LARGE,
            0 => random.random_range(0..40_000),
            _ => *SIZES.choose(&mut random).unwrap(),
        };
        let chunk = *[1, 7, 1_000, 16_384, 100_000].choose(&mut random).unwrap();
        // A chunk of one byte each is enough for a few ten thousand of them.
        let chunk = if size > 100_000 { chunk.max(1_000) } else { chunk };
        let framing = if random.random_bool(0.6) { Framing::Chunks(chunk) } else { Framing::Length };
        Drawn {
            method: METHODS.choose(&mut random).unwrap(),
            body: (0..size).map(|_| random.random()).collect(),
            framing,
            trailer: random.random_bool(0.2),
            expects_continue: random.random_bool(0.2),
            first_attempt_fails: random.random_bool(0.25),
            repeats: random.random_range(1..3),
        }
    }

    fn head(&self) -> String {
        let framing = match self.framing {
            Framing::Length => format!("Content-Length: {}", self.body.len()),
            Framing::Chunks(_) => "Transfer-Encoding: chunked".into(),
        };
        let expect = if self.expects_continue { "Expect: 100-continue\r\n" } else { "" };
        format!(
            "{} {IDEMPOTENT}?a=%20b HTTP/1.1\r\nHost: h\r\nX-Milletwing-Attempt-Id: i\r\nX-Milletwing-Remaining-Ms: 4000\r\n{expect}{framing}\r\n\r\n",
            self.method
        )
    }

    fn framed_body(&self) -> Vec<u8> {
        let Framing::Chunks(chunk) = self.framing else { return self.body.clone() };
        let mut bytes = Vec::new();
        for part in self.body.chunks(chunk) {
            bytes.extend_from_slice(format!("{:x}\r\n", part.len()).as_bytes());
            bytes.extend_from_slice(part);
            bytes.extend_from_slice(b"\r\n");
        }
        let trailer = if self.trailer { "X-Sum: 1\r\n" } else { "" };
        bytes.extend_from_slice(format!("0\r\n{trailer}\r\n").as_bytes());
        bytes
    }
}

async fn read_line(stream: &mut DuplexStream) -> Option<String> {
    let mut bytes = Vec::new();
    while !bytes.ends_with(b"\r\n") {
        bytes.push(stream.read_u8().await.ok()?);
    }
    Some(String::from_utf8_lossy(&bytes).trim_end().to_owned())
}

/// Reads the body that a head announces; `None` if the connection ends before it does.
async fn read_body(stream: &mut DuplexStream, head: &str) -> Option<Vec<u8>> {
    let mut body = Vec::new();
    if header_field(head, "transfer-encoding").is_some() {
        loop {
            let size = usize::from_str_radix(&read_line(stream).await?, 16).ok()?;
            if size == 0 {
                while !read_line(stream).await?.is_empty() {}
                return Some(body);
            }
            let start = body.len();
            body.resize(start + size, 0);
            stream.read_exact(&mut body[start..]).await.ok()?;
            read_line(stream).await?;
        }
    }
    let length = header_field(head, "content-length").map_or(0, |length| length.parse().unwrap());
    body.resize(length, 0);
    stream.read_exact(&mut body).await.ok()?;
    Some(body)
}

type Received = Rc<RefCell<Vec<(String, Vec<u8>)>>>;

/// Marshals that record the request line and the body of each whole request, and answer it.
fn recording_marshal(drawn: &Drawn, received: &Received) -> Rc<MarshalStub> {
    let (fails, received) = (drawn.first_attempt_fails, Rc::clone(received));
    Rc::new(move |connection, mut stream, arrivals| {
        let received = Rc::clone(&received);
        Box::pin(async move {
            while let Some(head) = read_head(&mut stream).await {
                arrivals.record("i".into());
                if fails && connection == 0 {
                    return;
                }
                let Some(body) = read_body(&mut stream, &head).await else { return };
                let line = head.lines().next().unwrap_or_default().to_owned();
                received.borrow_mut().push((line, body));
                let response = "HTTP/1.1 200 OK\r\nX-Milletwing-Attempt-Id: i\r\nX-Milletwing-Server-Seal: s\r\nContent-Length: 0\r\n\r\n";
                if stream.write_all(response.as_bytes()).await.is_err() {
                    return;
                }
            }
        })
    })
}

/// Sends the request and returns the status of its final answer.
async fn send(client: &mut DuplexStream, drawn: &Drawn) -> Option<u16> {
    let status = |head: &str| head.split(' ').nth(1).and_then(|status| status.parse().ok());
    client.write_all(drawn.head().as_bytes()).await.ok()?;
    if drawn.expects_continue && !drawn.framed_body().is_empty() {
        let first = read_head(client).await?;
        if status(&first) != Some(100) {
            return status(&first);
        }
    }
    let (mut reader, mut writer) = tokio::io::split(client);
    let body = drawn.framed_body();
    // A refusal may come before the whole body is read.
    let sending = async { writer.write_all(&body).await };
    let reading = async {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\n") {
            bytes.push(reader.read_u8().await.ok()?);
        }
        String::from_utf8(bytes).ok()
    };
    let (_, head) = tokio::join!(sending, reading);
    status(&head?)
}

/// Guards against UNASKED: a GET with a long chunked body ran without its body.
#[test]
fn any_body_reaches_the_marshal_unchanged() {
    let (mut served, mut retried) = (0, 0);
    for seed in 1..=SEEDS {
        let drawn = Drawn::new(seed);
        let received = Received::default();
        let statuses = Rc::new(RefCell::new(Vec::new()));
        let arrivals = Arrivals::default();
        run({
            let (drawn, received, statuses, arrivals) =
                (drawn.clone(), Rc::clone(&received), Rc::clone(&statuses), arrivals.clone());
            async move {
                let edge = edge(2, &arrivals, recording_marshal(&drawn, &received));
                let (mut client, server) = duplex(1 << 20);
                tokio::task::spawn_local(server::serve_connection(
                    Rc::clone(&edge),
                    server,
                    UnreadTracker::new(SILENT_CLIENT_TIMEOUT),
                ));
                for _ in 0..drawn.repeats {
                    let status = send(&mut client, &drawn).await;
                    statuses.borrow_mut().push(status);
                    if status != Some(200) {
                        return;
                    }
                }
            }
        });
        let Drawn { method, body, framing, .. } = &drawn;
        let what =
            || format!("seed {seed}: {method}, {} bytes, {framing:?}, {:?}", body.len(), statuses.borrow());
        for (line, got) in received.borrow().iter() {
            assert_eq!(line, &format!("{method} {IDEMPOTENT}?a=%20b HTTP/1.1"), "{}", what());
            assert!(got == body, "{}: {} bytes arrived", what(), got.len());
        }
        let ok = statuses.borrow().iter().filter(|status| **status == Some(200)).count();
        assert_eq!(ok, received.borrow().len(), "{}", what());
        assert!(drawn.first_attempt_fails || ok == drawn.repeats, "{}", what());
        served += ok;
        retried += usize::from(drawn.first_attempt_fails && ok > 0);
    }
    assert!(served > SEEDS as usize && retried > 20, "{served} served, {retried} of them after a failure");
}
