//! Small stand-ins of what a marshal speaks with: nodes, discovery and the platform. The example's toy server
//! runs them, and so do the marshal's tests. They keep to the protocol's forms, and misbehave when told to.

pub mod discovery;
pub mod node;
pub mod platform;
pub mod staged;

use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::sync::atomic::{AtomicU32, Ordering::SeqCst};
use std::sync::{Mutex, MutexGuard, PoisonError};

/// A lock that a panicked thread doesn't spoil.
pub(crate) fn locked<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// A loopback address on which nothing listens, outside the range from which systems give out ports by themselves: it
/// stays free while the program that listened there is started anew.
pub fn free() -> io::Result<SocketAddr> {
    static NEXT: AtomicU32 = AtomicU32::new(0);
    let first = std::process::id().wrapping_mul(131);
    for _ in 0..1000 {
        let port = 10_000 + first.wrapping_add(NEXT.fetch_add(17, SeqCst)) % 20_000;
        if let Ok(listener) = TcpListener::bind(("127.0.0.1", port as u16)) {
            return listener.local_addr();
        }
    }
    Err(io::ErrorKind::AddrInUse.into())
}

/// A folder for files of one test, removed with it.
pub struct Folder(pub PathBuf);

impl Folder {
    /// An empty one; the name tells it from those of other tests.
    pub fn new(name: &str) -> io::Result<Folder> {
        let path = std::env::temp_dir().join(format!("milletwing-{name}-{}", std::process::id()));
        let _ = std::fs::remove_dir_all(&path); // of a run before
        std::fs::create_dir_all(&path)?;
        Ok(Folder(path))
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        let _ = std::fs::remove_dir_all(&self.0); // the next run begins anew
    }
}

/// A message in HTTP: its first line, headers and body.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Message {
    /// The first line.
    pub line: String,
    /// The headers, in order.
    pub headers: Vec<(String, String)>,
    /// The body.
    pub body: Vec<u8>,
}

impl Message {
    /// A header's value.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
    /// The word of the first line at a place.
    pub fn word(&self, at: usize) -> &str {
        self.line.split(' ').nth(at).unwrap_or("")
    }
}

/// Reads one message framed by `Content-Length` (none: no body); `None` where the connection has ended.
/// `held` keeps what came beyond it.
pub fn read_message(mut stream: &TcpStream, held: &mut Vec<u8>) -> io::Result<Option<Message>> {
    let mut chunk = [0u8; 4096];
    loop {
        if let Some(end) = held.windows(4).position(|four| four == b"\r\n\r\n") {
            let head = String::from_utf8_lossy(&held[..end]).into_owned();
            let mut lines = head.split("\r\n");
            let line = lines.next().unwrap_or("").to_string();
            let pair = |line: &str| line.split_once(':').map(|(n, v)| (n.to_string(), v.trim().to_string()));
            let mut message = Message { line, headers: lines.filter_map(pair).collect(), body: Vec::new() };
            let size = message.get("Content-Length").and_then(|text| text.parse().ok()).unwrap_or(0);
            if held.len() >= end + 4 + size {
                message.body = held[end + 4..end + 4 + size].to_vec();
                held.drain(..end + 4 + size);
                return Ok(Some(message));
            }
        }
        match stream.read(&mut chunk)? {
            0 if held.is_empty() => return Ok(None),
            0 => return Err(io::ErrorKind::UnexpectedEof.into()),
            read => held.extend_from_slice(&chunk[..read]),
        }
    }
}
