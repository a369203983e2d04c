//! HTTP/1.1 as far as a marshal needs it: heads by httparse, and the framing of bodies.

use crate::limits::Limits;
use std::ops::Range;

/// Headers of a message that are read.
const HEADERS: usize = 64;

/// What is wrong with a message, as the status that answers it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub u16);

/// How a body is set off.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// So many bytes.
    Length(usize),
    /// In chunks.
    Chunked,
    /// To the connection's end; answers only.
    UntilClose,
}

/// The head of a message.
#[derive(Debug)]
pub struct Head<'a> {
    /// Of a request: its method.
    pub method: &'a str,
    /// Of a request: path and query.
    pub target: &'a str,
    /// Of an answer: its status.
    pub status: u16,
    /// The headers, in order.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// Whether the connection stays open afterwards.
    pub keep: bool,
    /// How the body is set off.
    pub framing: Framing,
    /// Bytes of the head.
    pub length: usize,
}

impl<'a> Head<'a> {
    /// A header's value, if it is there and readable.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.1).ok().map(str::trim)
    }
    /// Headers that go on to the next machine.
    pub fn passed_on(&self) -> impl Iterator<Item = &(&'a str, &'a [u8])> {
        const OWN: [&str; 11] = [
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "content-length",
            "expect",
        ];
        let named = self.get("Connection").unwrap_or("");
        self.headers.iter().filter(move |(name, _)| {
            let listed = named.split(',').any(|word| word.trim().eq_ignore_ascii_case(name));
            !listed && !OWN.iter().any(|own| own.eq_ignore_ascii_case(name))
        })
    }
}

/// Where the head ends, looking from a place on; lets slow senders cost no parsing anew.
pub fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.saturating_sub(3);
    let ends = |at: &usize| bytes[*at..].starts_with(b"\n\r\n") || bytes[*at..].starts_with(b"\n\n");
    (from..bytes.len()).find(|at| bytes[*at] == b'\n' && ends(at))
}

fn listed(headers: &[(&str, &[u8])], name: &str, word: &str) -> bool {
    headers.iter().filter(|(header, _)| header.eq_ignore_ascii_case(name)).any(|(_, value)| {
        std::str::from_utf8(value)
            .is_ok_and(|text| text.split(',').any(|part| part.trim().eq_ignore_ascii_case(word)))
    })
}

/// Reads the framing headers: doubled or contradictory ones are malformed, so that two machines can never
/// read the same bytes differently.
fn framing(headers: &[(&str, &[u8])], limits: &Limits, request: bool) -> Result<Framing, Malformed> {
    let all = |name: &str| headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name)).collect::<Vec<_>>();
    let (lengths, codings) = (all("Content-Length"), all("Transfer-Encoding"));
    match (lengths.as_slice(), codings.as_slice()) {
        ([], []) if request => Ok(Framing::Length(0)),
        ([], []) => Ok(Framing::UntilClose),
        ([], [(_, coding)]) if coding.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(Framing::Chunked),
        ([], _) => Err(Malformed(if request { 501 } else { 502 })),
        ([(_, length)], []) => {
            let text = std::str::from_utf8(length).map_err(|_| Malformed(400))?.trim();
            if text.is_empty() || !text.bytes().all(|b| b.is_ascii_digit()) {
                return Err(Malformed(400));
            }
            match text.parse::<usize>() {
                Ok(length)
                    if length <= if request { limits.max_body_bytes } else { limits.max_response_bytes } =>
                {
                    Ok(Framing::Length(length))
                }
                _ => Err(Malformed(413)),
            }
        }
        _ => Err(Malformed(400)),
    }
}

/// The length of a head, once it is whole; one that is too long, or has too many headers, is malformed.
fn head_length(
    parsed: httparse::Result<usize>,
    seen: usize,
    limits: &Limits,
) -> Result<Option<usize>, Malformed> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limits.max_head_bytes => Ok(Some(length)),
        Ok(httparse::Status::Partial) if seen < limits.max_head_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Malformed(431)),
        Err(_) => Err(Malformed(400)),
    }
}

/// Reads a request's head; `None` while it is not whole.
pub fn request<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Option<Head<'a>>, Malformed> {
    let mut room = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut room);
    let Some(length) = head_length(parsed.parse(bytes), bytes.len(), limits)? else { return Ok(None) };
    // Guards against lines that another machine may end elsewhere: one strict reading, or none.
    let lines = bytes[..length].iter().zip(bytes[..length].iter().skip(1));
    if bytes[0] == b'\n' || lines.clone().any(|(before, byte)| *byte == b'\n' && *before != b'\r') {
        return Err(Malformed(400));
    }
    let headers: Vec<_> = parsed.headers.iter().map(|header| (header.name, header.value)).collect();
    let framing = framing(&headers, limits, true)?;
    let newer = parsed.version == Some(1);
    let close = listed(&headers, "Connection", "close");
    let keep = !close && (newer || listed(&headers, "Connection", "keep-alive"));
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    Ok(Some(Head { method, target, status: 0, headers, keep, framing, length }))
}

/// Reads an answer's head; `None` while it is not whole.
pub fn answer<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Option<Head<'a>>, Malformed> {
    let mut room = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut room);
    let Some(length) = head_length(parsed.parse(bytes), bytes.len(), limits)? else { return Ok(None) };
    let headers: Vec<_> = parsed.headers.iter().map(|header| (header.name, header.value)).collect();
    let status = parsed.code.unwrap_or(0);
    let bodiless = status < 200 || status == 204 || status == 304;
    let framing = if bodiless { Framing::Length(0) } else { framing(&headers, limits, false)? };
    let newer = parsed.version == Some(1);
    let close = listed(&headers, "Connection", "close") || framing == Framing::UntilClose;
    let keep = !close && (newer || listed(&headers, "Connection", "keep-alive"));
    Ok(Some(Head { method: "", target: "", status, headers, keep, framing, length }))
}

/// A chunked body as it comes in: where its parts stand. Goes on from where it was, so that bytes that come
/// one by one cost no more than together.
#[derive(Debug, Default)]
pub struct ChunkedBody {
    at: usize,
    trailer: bool,
    /// The parts of the body, by their places in the bytes.
    pub parts: Vec<Range<usize>>,
    /// Bytes of the body.
    pub size: usize,
}

impl ChunkedBody {
    /// Reads on in the bytes after the head; gives the length of the whole body as framed, once it is there.
    pub fn read(&mut self, bytes: &[u8], limits: &Limits) -> Result<Option<usize>, Malformed> {
        loop {
            let rest = &bytes[self.at.min(bytes.len())..];
            let Some(end) = rest.iter().position(|&b| b == b'\n') else {
                return if rest.len() > 256 { Err(Malformed(400)) } else { Ok(None) };
            };
            // Guards, as in heads, against lines that another machine may end elsewhere.
            let Some(line) = rest[..end].strip_suffix(b"\r") else { return Err(Malformed(400)) };
            let line = line.trim_ascii();
            if self.trailer {
                self.at += end + 1;
                if line.is_empty() {
                    return Ok(Some(self.at));
                }
                continue;
            }
            let digits = line.split(|&b| b == b';').next().unwrap_or(b"").trim_ascii();
            let text = std::str::from_utf8(digits).map_err(|_| Malformed(400))?;
            if text.is_empty() || text.len() > 8 || !text.bytes().all(|b| b.is_ascii_hexdigit()) {
                return Err(Malformed(400));
            }
            let size = usize::from_str_radix(text, 16).map_err(|_| Malformed(400))?;
            if self.size + size > limits.max_body_bytes || self.parts.len() > limits.max_body_bytes / 16 {
                return Err(Malformed(413));
            }
            if size == 0 {
                (self.at, self.trailer) = (self.at + end + 1, true);
                continue;
            }
            let start = self.at + end + 1;
            // The chunk, and the line end behind it, must be there whole.
            let Some(after) = bytes.get(start + size..) else { return Ok(None) };
            match after {
                [b'\r', b'\n', ..] => {}
                [] | [b'\r'] => return Ok(None),
                _ => return Err(Malformed(400)),
            }
            self.parts.push(start..start + size);
            self.size += size;
            self.at = start + size + 2;
        }
    }
}

/// The words of a status that a marshal words itself.
pub fn reason(status: u16) -> &'static str {
    match status {
        200 => "OK",
        400 => "Bad Request",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        500 => "Internal Server Error",
        501 => "Not Implemented",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Unknown",
    }
}
