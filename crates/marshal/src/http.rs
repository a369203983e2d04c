//! The part of HTTP/1.1 that a marshal needs: heads are parsed by httparse, and bodies are framed here.

use crate::limits::Limits;
use std::ops::Range;

/// The most headers of a message.
const HEADERS: usize = 64;

/// A malformed message, with the status of the response to it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Malformed(pub u16);

/// How a body is delimited.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// By its length in bytes.
    Length(usize),
    /// By chunks.
    Chunked,
    /// By the end of the connection; in responses only.
    UntilClose,
}

/// The head of a message.
#[derive(Debug)]
pub struct Head<'a> {
    /// The method of a request.
    pub method: &'a str,
    /// The path and query of a request.
    pub target: &'a str,
    /// The status of a response.
    pub status: u16,
    /// The headers, in order.
    pub headers: Vec<(&'a str, &'a [u8])>,
    /// Whether the connection stays open after this message.
    pub keep: bool,
    /// How the body is set off.
    pub framing: Framing,
    /// Length of the head in bytes.
    pub length: usize,
}

impl<'a> Head<'a> {
    /// The value of a header, if it is present and valid UTF-8.
    pub fn get(&self, name: &str) -> Option<&'a str> {
        let found = self.headers.iter().find(|(header, _)| header.eq_ignore_ascii_case(name))?;
        std::str::from_utf8(found.1).ok().map(str::trim)
    }
    /// The headers that are forwarded to the next hop.
    pub fn passed_on(&self) -> impl Iterator<Item = &(&'a str, &'a [u8])> {
        const HOP_BY_HOP: [&str; 11] = [
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
            let named_in_connection = named.split(',').any(|word| word.trim().eq_ignore_ascii_case(name));
            !named_in_connection && !HOP_BY_HOP.iter().any(|header| header.eq_ignore_ascii_case(name))
        })
    }
}

/// Finds the end of the head, searching from an offset so that slowly arriving bytes are not searched again.
pub fn head_end(bytes: &[u8], from: usize) -> Option<usize> {
    let from = from.saturating_sub(3);
    let ends = |at: &usize| bytes[*at..].starts_with(b"\n\r\n") || bytes[*at..].starts_with(b"\n\n");
    (from..bytes.len()).find(|at| bytes[*at] == b'\n' && ends(at))
}

fn header_contains(headers: &[(&str, &[u8])], name: &str, word: &str) -> bool {
    headers.iter().filter(|(header, _)| header.eq_ignore_ascii_case(name)).any(|(_, value)| {
        std::str::from_utf8(value)
            .is_ok_and(|text| text.split(',').any(|part| part.trim().eq_ignore_ascii_case(word)))
    })
}

/// Determines the framing from the headers. Duplicate or contradictory headers are malformed, so that two HTTP
/// implementations can never interpret the same bytes differently (request smuggling).
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

/// The length of a complete head; a head that is too long or has too many headers is malformed.
fn head_length(
    parsed: httparse::Result<usize>,
    received: usize,
    limits: &Limits,
) -> Result<Option<usize>, Malformed> {
    match parsed {
        Ok(httparse::Status::Complete(length)) if length <= limits.max_head_bytes => Ok(Some(length)),
        Ok(httparse::Status::Partial) if received < limits.max_head_bytes => Ok(None),
        Ok(_) | Err(httparse::Error::TooManyHeaders) => Err(Malformed(431)),
        Err(_) => Err(Malformed(400)),
    }
}

/// Parses the head of a request; `None` while it is incomplete.
pub fn parse_request<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Option<Head<'a>>, Malformed> {
    let mut header_storage = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Request::new(&mut header_storage);
    let Some(length) = head_length(parsed.parse(bytes), bytes.len(), limits)? else { return Ok(None) };
    // Rejects bare line feeds: another implementation may end a line elsewhere, so there is one strict interpretation
    // or none.
    let lines = bytes[..length].iter().zip(bytes[..length].iter().skip(1));
    if bytes[0] == b'\n' || lines.clone().any(|(before, byte)| *byte == b'\n' && *before != b'\r') {
        return Err(Malformed(400));
    }
    let headers: Vec<_> = parsed.headers.iter().map(|header| (header.name, header.value)).collect();
    let framing = framing(&headers, limits, true)?;
    let is_http_1_1 = parsed.version == Some(1);
    let close = header_contains(&headers, "Connection", "close");
    let keep = !close && (is_http_1_1 || header_contains(&headers, "Connection", "keep-alive"));
    let (method, target) = (parsed.method.unwrap_or(""), parsed.path.unwrap_or(""));
    Ok(Some(Head { method, target, status: 0, headers, keep, framing, length }))
}

/// Parses the head of a response; `None` while it is incomplete.
pub fn parse_response<'a>(bytes: &'a [u8], limits: &Limits) -> Result<Option<Head<'a>>, Malformed> {
    let mut header_storage = [httparse::EMPTY_HEADER; HEADERS];
    let mut parsed = httparse::Response::new(&mut header_storage);
    let Some(length) = head_length(parsed.parse(bytes), bytes.len(), limits)? else { return Ok(None) };
    let headers: Vec<_> = parsed.headers.iter().map(|header| (header.name, header.value)).collect();
    let status = parsed.code.unwrap_or(0);
    let bodiless = status < 200 || status == 204 || status == 304;
    let framing = if bodiless { Framing::Length(0) } else { framing(&headers, limits, false)? };
    let is_http_1_1 = parsed.version == Some(1);
    let close = header_contains(&headers, "Connection", "close") || framing == Framing::UntilClose;
    let keep = !close && (is_http_1_1 || header_contains(&headers, "Connection", "keep-alive"));
    Ok(Some(Head { method: "", target: "", status, headers, keep, framing, length }))
}

/// A chunked body that is being received. Parsing continues where it stopped, so that single bytes cost no more than
/// large reads.
#[derive(Debug, Default)]
pub struct ChunkedBody {
    at: usize,
    trailer: bool,
    /// The chunks of the body, as ranges of the bytes after the head.
    pub parts: Vec<Range<usize>>,
    /// Size of the body in bytes.
    pub size: usize,
}

impl ChunkedBody {
    /// Continues in the bytes after the head; returns the length of the whole framed body once it is complete.
    pub fn read(&mut self, bytes: &[u8], limits: &Limits) -> Result<Option<usize>, Malformed> {
        loop {
            let rest = &bytes[self.at.min(bytes.len())..];
            let Some(end) = rest.iter().position(|&b| b == b'\n') else {
                return if rest.len() > 256 { Err(Malformed(400)) } else { Ok(None) };
            };
            // Rejects bare line feeds, as in heads.
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
            // The chunk and the line end after it must be complete.
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

/// The reason phrase of a status that the marshal generates itself.
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
