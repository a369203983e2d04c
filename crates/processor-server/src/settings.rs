//! The operator's file: JSON5, every field checked, errors naming the field and its line.

use milletwing_admin::field_line_number;
use serde::Deserialize;
use std::net::SocketAddr;

/// What a front for other proxies is told.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where proxies connect: loopback only, since nothing is encrypted yet.
    pub listen: SocketAddr,
    /// Streams at a time.
    pub streams: usize,
    /// Requests that are remembered at a time.
    pub requests: usize,
    /// Verdicts that may wait for a stream that reads slowly; then it is closed.
    pub queue: usize,
    /// Milliseconds within which a proxy must have begun to send.
    pub begin_within_ms: f64,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct Text {
    listen: String,
    #[serde(default = "streams")]
    streams: usize,
    #[serde(default = "requests")]
    requests: usize,
    #[serde(default = "queue")]
    queue: usize,
    #[serde(default = "begin")]
    begin_within_ms: f64,
}

fn streams() -> usize {
    64
}
fn requests() -> usize {
    65_536
}
fn queue() -> usize {
    1024
}
fn begin() -> f64 {
    100.0
}

impl Settings {
    /// Reads a file.
    pub fn from_file(path: &str) -> Result<Settings, String> {
        let text = std::fs::read_to_string(path).map_err(|problem| format!("{path}: {problem}"))?;
        Settings::read(&text).map_err(|problem| format!("{path}: {problem}"))
    }

    /// Reads the text.
    pub fn read(text: &str) -> Result<Settings, String> {
        let raw: Text = json5::from_str(text).map_err(|problem| problem.to_string().replace('\n', " "))?;
        let wrong =
            |field: &str, why: String| format!("line {}: {field}: {why}", field_line_number(text, field));
        let listen: SocketAddr = raw.listen.parse().map_err(|_| {
            wrong("listen", format!("`{}` is no address and port", raw.listen.escape_debug()))
        })?;
        if !listen.ip().is_loopback() {
            return Err(wrong(
                "listen",
                format!("{listen} is no loopback address, and nothing is encrypted"),
            ));
        }
        for (field, value, most) in [
            ("streams", raw.streams, 4096),
            ("requests", raw.requests, 1 << 22),
            ("queue", raw.queue, 1 << 16),
        ] {
            if !(1..=most).contains(&value) {
                return Err(wrong(field, format!("{value} is not from 1 to {most}")));
            }
        }
        if !(1.0..=10_000.0).contains(&raw.begin_within_ms) {
            return Err(wrong("begin_within_ms", format!("{} is not from 1 to 10000", raw.begin_within_ms)));
        }
        let Text { streams, requests, queue, begin_within_ms, .. } = raw;
        Ok(Settings { listen, streams, requests, queue, begin_within_ms })
    }

    /// What a front would do with it, for people.
    pub fn summary(&self) -> String {
        format!(
            "would listen for proxies at {}; at most {} streams, {} requests remembered, {} verdicts waiting on a stream; a \
             verdict is void after {} ms",
            self.listen, self.streams, self.requests, self.queue, self.begin_within_ms
        )
    }
}
