//! The response to the client: a node's response, or one that the marshal generates itself.

use crate::accounting::PendingRequest;
use crate::client::Client;
use crate::http::{reason, Head};
use crate::limits::Limits;
use crate::ports::{LocalResponse, ResponseSender};
use crate::wire;
use crate::worker_pool::WorkerPool;
use std::io;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The head of the response to the client, for a node's response with a body of `size` bytes.
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

/// Forwards a node's response; the right to respond must have been claimed. Returns whether it was written.
pub fn write_node_response(request: &PendingRequest, head: &Head<'_>, body: &[&[u8]]) -> bool {
    let size: usize = body.iter().map(|part| part.len()).sum();
    let Some(client) = request.origin.as_ref().map(|origin| &origin.client) else { return false };
    let keep = client.keeps_alive();
    let text = head_text(head, size, keep);
    let mut parts = Vec::with_capacity(body.len() + 1);
    parts.push(text.as_slice());
    parts.extend_from_slice(body);
    let written = client.finish_response(&parts, keep);
    if !keep {
        client.shutdown_read();
    }
    written
}

/// A response that is too long to be buffered, streamed to the client. If it is dropped before its end, it closes the
/// client's connection so that the client notices.
pub struct StreamedResponse<'a> {
    client: &'a Client,
    remaining: usize,
    keep: bool,
    write_time: Duration,
}

impl<'a> StreamedResponse<'a> {
    /// Writes the head; the right to respond must have been claimed. `None` if the client has disconnected.
    pub fn begin(request: &'a PendingRequest, head: &Head<'_>, size: usize) -> Option<StreamedResponse<'a>> {
        let client = &*request.origin.as_ref()?.client;
        let stream = StreamedResponse {
            client,
            remaining: size,
            keep: client.keeps_alive(),
            write_time: Duration::ZERO,
        };
        let written = client.write_part(&head_text(head, size, stream.keep));
        written.then_some(stream)
    }
    /// The number of body bytes that have not been written yet.
    pub fn remaining(&self) -> usize {
        self.remaining
    }
    /// The time spent in writing to the client.
    pub fn write_time(&self) -> Duration {
        self.write_time
    }
    /// Writes the next bytes of the body; false if the client has disconnected.
    pub fn write(&mut self, bytes: &[u8]) -> bool {
        let started = Instant::now();
        let written = self.write_part(bytes);
        self.write_time += started.elapsed();
        written
    }
    fn write_part(&mut self, bytes: &[u8]) -> bool {
        let part = &bytes[..bytes.len().min(self.remaining)];
        if part.len() < self.remaining {
            let written = self.client.write_part(part);
            self.remaining -= part.len();
            return written;
        }
        self.remaining = 0;
        let written = self.client.finish_response(&[part], self.keep);
        if !self.keep {
            self.client.shutdown_read();
        }
        written
    }
}

impl Drop for StreamedResponse<'_> {
    fn drop(&mut self) {
        if self.remaining > 0 {
            self.client.finish_response(&[], false);
            self.client.shutdown_read();
        }
    }
}

/// Writes a response that the marshal generates itself. Returns whether the connection stays open.
pub fn write_local(client: &Client, response: LocalResponse, keep: bool) -> bool {
    let keep = keep && client.keeps_alive();
    let (status, extra) = match response {
        LocalResponse::Refused(wait) => (503, wait.map(wire::retry_after).unwrap_or_default()),
        LocalResponse::Failed => (502, String::new()),
        LocalResponse::Status(status) => (status, String::new()),
    };
    let close = if keep { "" } else { "Connection: close\r\n" };
    let text = format!("HTTP/1.1 {status} {}\r\n{extra}{close}Content-Length: 0\r\n\r\n", reason(status));
    client.finish_response(&[text.as_bytes()], keep) && keep
}

/// Threads that write the responses chosen by the decision thread, which must not block on a socket.
pub struct ResponseWriters(WorkerPool<(Arc<PendingRequest>, LocalResponse)>);

impl ResponseWriters {
    /// Starts the writers, with room in the queue for a response to every client.
    pub fn new(limits: &Limits) -> io::Result<ResponseWriters> {
        WorkerPool::new(
            "relay",
            limits.pool_options(limits.max_response_writers, limits.max_clients * 2),
            |(request, response): (Arc<PendingRequest>, LocalResponse)| {
                let Some(origin) = &request.origin else { return }; // its own front end responds
                if !write_local(&origin.client, response, true) {
                    origin.client.shutdown_read();
                }
            },
        )
        .map(ResponseWriters)
    }
}

impl ResponseSender for ResponseWriters {
    fn enqueue(&self, request: Arc<PendingRequest>, response: LocalResponse) -> bool {
        self.0.submit((request, response)).is_ok()
    }
}
