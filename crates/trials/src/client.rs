//! A client of marshals: one request at a time on a connection that it keeps.

use milletwing_toy::{read_message, Message};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// How long a client waits for an answer before it takes the request for lost; far beyond every deadline.
const PATIENCE: Duration = Duration::from_secs(5);
/// The deadline it tells, in milliseconds.
pub const DEADLINE_MS: u64 = 900;

/// The classes of the example's settings, and whether each may run twice.
pub const CLASSES: [(&str, bool); 3] = [("lookup", true), ("change", true), ("pay", false)];

/// One client.
pub struct Client {
    at: SocketAddr,
    tenant: &'static str,
    line: Option<(TcpStream, Vec<u8>)>,
}

impl Client {
    /// Not connected yet.
    pub fn new(at: SocketAddr) -> Client {
        Client::of(at, "acme")
    }
    /// Of a tenant.
    pub fn of(at: SocketAddr, tenant: &'static str) -> Client {
        Client { at, tenant, line: None }
    }

    fn exchange(&mut self, text: &str) -> std::io::Result<Message> {
        if self.line.is_none() {
            let stream = TcpStream::connect_timeout(&self.at, Duration::from_millis(500))?;
            stream.set_nodelay(true)?;
            stream.set_read_timeout(Some(PATIENCE))?;
            self.line = Some((stream, Vec::new()));
        }
        let Some((stream, held)) = &mut self.line else {
            return Err(std::io::ErrorKind::NotConnected.into());
        };
        stream.write_all(text.as_bytes())?;
        read_message(stream, held)?.ok_or_else(|| std::io::ErrorKind::UnexpectedEof.into())
    }

    /// Asks; the status, or `None` where no answer came. A connection that was kept and turns out closed is replaced
    /// once, as the protocol has it.
    pub fn ask(&mut self, class: usize, id: &str) -> Option<u16> {
        let (lane, _) = CLASSES[class % CLASSES.len()];
        let rest = match class % CLASSES.len() {
            0 => "\r\n".to_string(),
            1 => format!("Idempotency-Key: k-{id}\r\nContent-Length: 4\r\n\r\ncoin"),
            _ => "Content-Length: 4\r\n\r\ncoin".to_string(),
        };
        let method = if class.is_multiple_of(CLASSES.len()) { "GET" } else { "POST" };
        let text = format!(
            "{method} /api HTTP/1.1\r\nHost: x\r\nX-Txn: {id}\r\nX-Lane: {lane}\r\nX-Org: {}\r\n\
             X-Remaining: {DEADLINE_MS}m\r\n{rest}",
            self.tenant
        );
        for _ in 0..2 {
            let kept = self.line.is_some();
            match self.exchange(&text) {
                Ok(answer) => {
                    if answer.get("Connection") == Some("close") {
                        self.line = None;
                    }
                    return answer.word(1).parse().ok();
                }
                Err(problem) => {
                    self.line = None;
                    let waited = matches!(
                        problem.kind(),
                        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut
                    );
                    if !kept || waited {
                        return None;
                    }
                }
            }
        }
        None
    }
}

/// What became of requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, serde::Serialize)]
pub struct Counts {
    /// Sent.
    pub asked: u64,
    /// Answered by a node's answer.
    pub served: u64,
    /// Turned away.
    pub refused: u64,
    /// Failed.
    pub failed: u64,
    /// Without any answer.
    pub unanswered: u64,
}

impl Counts {
    /// Counts one more.
    pub fn add(&mut self, status: Option<u16>) {
        self.asked += 1;
        match status {
            Some(200) => self.served += 1,
            Some(429 | 503) => self.refused += 1,
            Some(_) => self.failed += 1,
            None => self.unanswered += 1,
        }
    }
}
