//! Finds where the request heads on a client connection begin and end (RFC 9112), and records what
//! the HTTP library does not report about each. Only the bytes of a head are examined for its
//! properties: a body may contain any text.

use std::collections::VecDeque;

/// Bytes of a line that are examined: enough for the name and value of a framing header field, or
/// for a chunk size.
const MAX_LINE_PREFIX: usize = 96;
/// Maximum number of digits of a chunk size.
const MAX_CHUNK_SIZE_DIGITS: usize = 15;

/// What was found in one head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadFindings {
    /// Both `Content-Length` and `Transfer-Encoding` are present, so the end of the request is
    /// ambiguous.
    pub conflicting_framing: bool,
    /// A line ended without a carriage return; other implementations may parse such a head
    /// differently.
    pub bare_line_feed: bool,
}

/// Tracks the framing of a connection from its bytes, which may arrive in pieces of any size.
#[derive(Debug, Default)]
pub struct Framing {
    state: State,
    line: Line,
    /// Findings of complete heads whose requests have not been taken yet. There are at most as many
    /// as the read buffer of the HTTP library holds.
    findings: VecDeque<HeadFindings>,
}

/// What the next byte belongs to.
#[derive(Debug)]
enum State {
    Head(Head),
    /// This many more bytes of a body or chunk, then the given state.
    Bytes(u64, AfterBytes),
    ChunkSize,
    Trailers,
    /// The framing cannot be determined: the HTTP library refuses this request, or the next request
    /// on the connection is refused.
    Unknown,
}

impl Default for State {
    fn default() -> State {
        State::Head(Head::default())
    }
}

/// What follows the bytes of a body or chunk.
#[derive(Clone, Copy, Debug)]
enum AfterBytes {
    Head,
    ChunkSize,
}

/// The part of a head that has been received so far.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    /// A non-empty line was received; empty lines before it are skipped.
    started: bool,
    bare_line_feed: bool,
    chunked: bool,
    /// The value of `Content-Length`; `Some(None)` if the field is present but cannot be parsed.
    content_length: Option<Option<u64>>,
}

/// The line that is being received.
#[derive(Debug, Default)]
struct Line {
    /// The first bytes of the line, up to [`MAX_LINE_PREFIX`].
    prefix: Vec<u8>,
    /// Length of the line without its line feed.
    bytes: usize,
    /// The last byte before the line feed.
    last: u8,
}

impl Line {
    /// Takes bytes up to the end of the line. Returns how many were taken, and whether the line has
    /// ended.
    fn take(&mut self, bytes: &[u8]) -> (usize, bool) {
        let end = memchr::memchr(b'\n', bytes);
        let taken = bytes.get(..end.unwrap_or(bytes.len())).unwrap_or_default();
        let kept = MAX_LINE_PREFIX.saturating_sub(self.prefix.len()).min(taken.len());
        self.prefix.extend_from_slice(taken.get(..kept).unwrap_or_default());
        self.bytes += taken.len();
        self.last = taken.last().copied().unwrap_or(self.last);
        (taken.len() + usize::from(end.is_some()), end.is_some())
    }

    fn lacks_carriage_return(&self) -> bool {
        self.bytes == 0 || self.last != b'\r'
    }

    fn is_empty(&self) -> bool {
        self.bytes == usize::from(!self.lacks_carriage_return())
    }

    /// The name of a header field, and its value without surrounding whitespace.
    fn field(&self) -> Option<(&[u8], &[u8])> {
        let colon = memchr::memchr(b':', &self.prefix)?;
        let (name, value) = self.prefix.split_at_checked(colon)?;
        Some((name, value.get(1..)?.trim_ascii()))
    }

    /// The size of a chunk, if it can be parsed.
    fn chunk_size(&self) -> Option<u64> {
        let digits = self.prefix.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        let text = std::str::from_utf8(self.prefix.get(..digits)?).ok()?;
        (digits <= MAX_CHUNK_SIZE_DIGITS).then(|| u64::from_str_radix(text, 16).ok())?
    }

    fn clear(&mut self) {
        self.prefix.clear();
        (self.bytes, self.last) = (0, 0);
    }
}

impl Head {
    /// Processes a complete line of the head. Returns whether the head has ended.
    fn add_line(&mut self, line: &Line) -> bool {
        self.bare_line_feed |= line.lacks_carriage_return();
        if line.is_empty() {
            return self.started;
        }
        if let Some((name, value)) = line.field().filter(|_| self.started) {
            if name.eq_ignore_ascii_case(b"content-length") {
                let complete = line.bytes <= MAX_LINE_PREFIX;
                let text = std::str::from_utf8(value).ok().filter(|_| complete);
                self.content_length = Some(text.and_then(|text| text.parse().ok()));
            }
            self.chunked |= name.eq_ignore_ascii_case(b"transfer-encoding");
        }
        self.started = true;
        false
    }

    fn findings(&self) -> HeadFindings {
        HeadFindings {
            conflicting_framing: self.chunked && self.content_length.is_some(),
            bare_line_feed: self.bare_line_feed,
        }
    }

    /// The state that follows the head.
    fn next_state(&self) -> State {
        match (self.chunked, self.content_length) {
            (true, _) => State::ChunkSize,
            (false, Some(Some(0)) | None) => State::default(),
            (false, Some(Some(content_length))) => State::Bytes(content_length, AfterBytes::Head),
            (false, Some(None)) => State::Unknown,
        }
    }
}

impl Framing {
    /// Processes received bytes.
    pub fn observe(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let taken = match &mut self.state {
                State::Unknown => return,
                State::Bytes(remaining, next) => {
                    let taken = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                    *remaining -= taken as u64;
                    if *remaining == 0 {
                        self.state = match next {
                            AfterBytes::Head => State::default(),
                            AfterBytes::ChunkSize => State::ChunkSize,
                        };
                    }
                    taken
                }
                State::Head(_) | State::ChunkSize | State::Trailers => {
                    let (taken, line_complete) = self.line.take(bytes);
                    if line_complete {
                        self.process_line();
                        self.line.clear();
                    }
                    taken
                }
            };
            bytes = bytes.get(taken..).unwrap_or_default();
        }
    }

    fn process_line(&mut self) {
        let next = match &mut self.state {
            State::Head(head) => head.add_line(&self.line).then(|| {
                self.findings.push_back(head.findings());
                head.next_state()
            }),
            State::ChunkSize => Some(match self.line.chunk_size() {
                Some(0) => State::Trailers,
                // The line end after the chunk is not included in its size.
                Some(size) => State::Bytes(size + 2, AfterBytes::ChunkSize),
                None => State::Unknown,
            }),
            State::Trailers => self.line.is_empty().then(State::default),
            State::Bytes(..) | State::Unknown => None,
        };
        self.state = next.unwrap_or_else(|| std::mem::take(&mut self.state));
    }

    /// The findings for the head of the next request; `None` if its framing could not be
    /// determined.
    pub fn next_findings(&mut self) -> Option<HeadFindings> {
        self.findings.pop_front()
    }
}

#[cfg(test)]
mod tests;
