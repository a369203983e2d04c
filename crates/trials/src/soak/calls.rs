//! Calls over HTTP, as callers of the core make them.

use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a caller of the core waits before it goes to another machine, as the protocol has it.
const SILENCE: Duration = Duration::from_secs(1);

/// How long the connection of a call that was given up stays open.
const LEFT_OPEN: Duration = Duration::from_secs(30);
/// Redirects that callers follow.
const REDIRECTS: usize = 2;

/// An answer: its status, its head and its body.
struct Answer {
    status: u16,
    head: String,
    body: String,
}

impl Answer {
    /// The address and path that a redirect names.
    fn redirect(&self) -> Option<(SocketAddrV4, String)> {
        let fields = self.head.lines().filter_map(|line| line.split_once(": "));
        let (_, location) = fields.into_iter().find(|(name, _)| name.eq_ignore_ascii_case("location"))?;
        let (address, path) = location.strip_prefix("http://")?.split_once('/')?;
        Some((address.parse().ok()?, format!("/{path}"))).filter(|_| self.status == 307)
    }
}

/// One call; nothing where no whole answer comes within a second.
pub async fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    extra: &str,
    body: &str,
) -> Option<(u16, String)> {
    let answer = tokio::time::timeout(SILENCE, ask(to, text(method, path, extra, body))).await.ok()??;
    Some((answer.status, answer.body))
}

/// One call that follows redirects. Its caller goes on after a second without an answer, and leaves the connection open.
pub async fn call_patiently(to: SocketAddrV4, method: &str, path: &str, body: &str) -> Option<(u16, String)> {
    let (mut to, mut path) = (to, path.to_owned());
    for redirects in 0.. {
        let asking = ask(to, text(method, &path, "Content-Type: application/json\r\n", body));
        let asking = tokio::spawn(tokio::time::timeout(LEFT_OPEN, asking));
        let answer = tokio::time::timeout(SILENCE, asking).await.ok()?.ok()?.ok()??;
        match answer.redirect().filter(|_| redirects < REDIRECTS) {
            Some(target) => (to, path) = target,
            None => return Some((answer.status, answer.body)),
        }
    }
    None
}

fn text(method: &str, path: &str, extra: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n{extra}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}

async fn ask(to: SocketAddrV4, text: String) -> Option<Answer> {
    let mut stream = TcpStream::connect(to).await.ok()?;
    stream.write_all(text.as_bytes()).await.ok()?;
    let mut bytes = Vec::new();
    stream.read_to_end(&mut bytes).await.ok()?;
    let text = String::from_utf8(bytes).ok()?;
    let (head, body) = text.split_once("\r\n\r\n")?;
    let length = head
        .lines()
        .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
    let whole = length.is_none_or(|length: usize| length == body.len());
    let status = head.split(' ').nth(1)?.parse().ok()?;
    Some(Answer { status, head: head.to_owned(), body: body.to_owned() }).filter(|_| whole)
}
