//! The client's answer: a node's own, or one that the marshal words itself.

use crate::book::Open;
use crate::client::Client;
use crate::crew::Crew;
use crate::http::{reason, Head};
use crate::limits::Limits;
use crate::stage::{Answering, Word};
use crate::wire;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The head that goes before a node's answer of some size.
fn head_text(head: &Head<'_>, size: usize, keep: bool) -> Vec<u8> {
    let mut text = Vec::with_capacity(256);
    text.extend_from_slice(b"HTTP/1.1 200 OK\r\n");
    for (name, value) in head.passed_on() {
        text.extend_from_slice(name.as_bytes());
        text.extend_from_slice(b": ");
        text.extend_from_slice(value);
        text.extend_from_slice(b"\r\n");
    }
    let close = if keep { "" } else { "Connection: close\r\n" };
    text.extend_from_slice(format!("Content-Length: {size}\r\n{close}\r\n").as_bytes());
    text
}

/// Passes a node's answer on; the right to answer must have been claimed.
pub fn served(open: &Open, head: &Head<'_>, body: &[&[u8]]) -> bool {
    let size: usize = body.iter().map(|part| part.len()).sum();
    let Some(client) = open.socket.as_ref().map(|socket| &socket.client) else { return false };
    let keep = client.keeps();
    let text = head_text(head, size, keep);
    let mut parts = Vec::with_capacity(body.len() + 1);
    parts.push(text.as_slice());
    parts.extend_from_slice(body);
    let written = client.answer(&parts, keep);
    if !keep {
        client.hang_up();
    }
    written
}

/// An answer too long to be held, on its way to the client. Ends the client's connection where it does not come
/// to its end, so that the client can tell.
pub struct Passing<'a> {
    client: &'a Client,
    left: usize,
    keep: bool,
    writing: Duration,
}

impl<'a> Passing<'a> {
    /// Writes its head; the right to answer must have been claimed. `None` where the client has gone.
    pub fn begin(open: &'a Open, head: &Head<'_>, size: usize) -> Option<Passing<'a>> {
        let client = &*open.socket.as_ref()?.client;
        let passing = Passing { client, left: size, keep: client.keeps(), writing: Duration::ZERO };
        let begun = client.part_of_answer(&head_text(head, size, passing.keep));
        begun.then_some(passing)
    }
    /// Bytes that are still to come.
    pub fn left(&self) -> usize {
        self.left
    }
    /// Time that the client took to take what was written.
    pub fn writing(&self) -> Duration {
        self.writing
    }
    /// Writes what has come; false where the client has gone.
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        let from = Instant::now();
        let written = self.write(bytes);
        self.writing += from.elapsed();
        written
    }
    fn write(&mut self, bytes: &[u8]) -> bool {
        let part = &bytes[..bytes.len().min(self.left)];
        if part.len() < self.left {
            let written = self.client.part_of_answer(part);
            self.left -= part.len();
            return written;
        }
        self.left = 0;
        let written = self.client.answer(&[part], self.keep);
        if !self.keep {
            self.client.hang_up();
        }
        written
    }
}

impl Drop for Passing<'_> {
    fn drop(&mut self) {
        if self.left > 0 {
            self.client.answer(&[], false);
            self.client.hang_up();
        }
    }
}

/// Writes an answer that no node made. Gives whether the connection outlives it.
pub fn word(client: &Client, word: Word, keep: bool) -> bool {
    let keep = keep && client.keeps();
    let (status, extra) = match word {
        Word::Refused(wait) => (503, wait.map(wire::retry_after).unwrap_or_default()),
        Word::Failed => (502, String::new()),
        Word::Status(status) => (status, String::new()),
    };
    let close = if keep { "" } else { "Connection: close\r\n" };
    let text = format!("HTTP/1.1 {status} {}\r\n{extra}{close}Content-Length: 0\r\n\r\n", reason(status));
    client.answer(&[text.as_bytes()], keep) && keep
}

/// Threads that write the answers which the decision thread words; that thread must not wait on a socket.
pub struct Relays(Crew<(Arc<Open>, Word)>);

impl Relays {
    /// Room for as many answers as clients can wait for.
    pub fn new(limits: &Limits) -> io::Result<Relays> {
        Crew::new(
            "relay",
            limits.crew(limits.relays, limits.clients * 2),
            |(open, answer): (Arc<Open>, Word)| {
                let Some(socket) = &open.socket else { return }; // its own front words it
                if !word(&socket.client, answer, true) {
                    socket.client.hang_up();
                }
            },
        )
        .map(Relays)
    }
}

impl Answering for Relays {
    fn hand(&self, open: Arc<Open>, word: Word) -> bool {
        self.0.hand((open, word)).is_ok()
    }
}
