//! Calls over HTTP, as callers of the core make them.

use std::net::SocketAddrV4;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// How long a caller of the core waits before it goes to another machine, as the protocol has it.
const SILENCE: Duration = Duration::from_secs(1);

/// One call; nothing where no whole answer comes within a second.
pub async fn call(
    to: SocketAddrV4,
    method: &str,
    path: &str,
    extra: &str,
    body: &str,
) -> Option<(u16, String)> {
    let asking = async {
        let mut stream = TcpStream::connect(to).await.ok()?;
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: soak\r\nConnection: close\r\n{extra}Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        stream.write_all(text.as_bytes()).await.ok()?;
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).await.ok()?;
        let text = String::from_utf8(bytes).ok()?;
        let (head, body) = text.split_once("\r\n\r\n")?;
        let length = head
            .lines()
            .find_map(|line| line.to_ascii_lowercase().strip_prefix("content-length: ")?.parse().ok());
        let whole = length.is_none_or(|length: usize| length == body.len());
        Some((head.split(' ').nth(1)?.parse().ok()?, body.to_owned())).filter(|_| whole)
    };
    tokio::time::timeout(SILENCE, asking).await.ok()?
}
