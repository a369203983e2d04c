//! Where the heads of requests on a client's connection begin and end (RFC 9112), and what the library that reads heads does not tell
//! of each. Only bytes of a head are looked at for what a head says: a body may hold any words.

use std::collections::VecDeque;

/// Bytes of a line that are looked at: enough for the name and value of a field of framing, or a chunk's size.
const LINE: usize = 96;
/// Most digits of a chunk's size.
const MOST_SIZE_DIGITS: usize = 15;

/// What one head held.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct HeadNotes {
    /// A `Content-Length` beside a `Transfer-Encoding`: nobody can say where the request ends.
    pub two_framings: bool,
    /// A line ended without a carriage return: others may see another head in it.
    pub bare_line: bool,
}

/// Follows a connection's bytes as they come, in pieces of any size.
#[derive(Debug, Default)]
pub struct Framing {
    part: Part,
    line: Line,
    /// Heads that have ended and whose requests were not taken yet: as many as the reader's buffer holds at most.
    heads: VecDeque<HeadNotes>,
}

/// What the next byte belongs to.
#[derive(Debug)]
enum Part {
    Head(Head),
    /// So many bytes more of a body or a chunk, then what follows.
    Bytes(u64, Then),
    ChunkSize,
    Trailers,
    /// It can't be told: the reader refuses such a request, or this connection's next one is refused.
    Unknown,
}

impl Default for Part {
    fn default() -> Part {
        Part::Head(Head::default())
    }
}

#[derive(Clone, Copy, Debug)]
enum Then {
    Head,
    ChunkSize,
}

/// A head as far as it has come.
#[derive(Clone, Copy, Debug, Default)]
struct Head {
    /// A line had something in it: empty ones before the first are passed over.
    begun: bool,
    bare_line: bool,
    chunked: bool,
    length: Option<Option<u64>>,
}

/// The line that is coming.
#[derive(Debug, Default)]
struct Line {
    start: Vec<u8>,
    bytes: usize,
    last: u8,
}

impl Line {
    /// Takes bytes up to the line's end. Gives how many were taken, and whether the line has ended.
    fn take(&mut self, bytes: &[u8]) -> (usize, bool) {
        let end = memchr::memchr(b'\n', bytes);
        let taken = bytes.get(..end.unwrap_or(bytes.len())).unwrap_or_default();
        let room = LINE.saturating_sub(self.start.len()).min(taken.len());
        self.start.extend_from_slice(taken.get(..room).unwrap_or_default());
        self.bytes += taken.len();
        self.last = taken.last().copied().unwrap_or(self.last);
        (taken.len() + usize::from(end.is_some()), end.is_some())
    }

    fn is_bare(&self) -> bool {
        self.bytes == 0 || self.last != b'\r'
    }

    fn is_empty(&self) -> bool {
        self.bytes == usize::from(!self.is_bare())
    }

    /// The name of a field, and its value without the space around it.
    fn field(&self) -> Option<(&[u8], &[u8])> {
        let colon = memchr::memchr(b':', &self.start)?;
        let (name, value) = self.start.split_at_checked(colon)?;
        Some((name, value.get(1..)?.trim_ascii()))
    }

    /// The size of a chunk, where it can be read.
    fn chunk_size(&self) -> Option<u64> {
        let digits = self.start.iter().take_while(|byte| byte.is_ascii_hexdigit()).count();
        let text = std::str::from_utf8(self.start.get(..digits)?).ok()?;
        (digits <= MOST_SIZE_DIGITS).then(|| u64::from_str_radix(text, 16).ok())?
    }

    fn clear(&mut self) {
        self.start.clear();
        (self.bytes, self.last) = (0, 0);
    }
}

impl Head {
    /// A line of it has ended. Gives whether the head has.
    fn line(&mut self, line: &Line) -> bool {
        self.bare_line |= line.is_bare();
        if line.is_empty() {
            return self.begun;
        }
        if let Some((name, value)) = line.field().filter(|_| self.begun) {
            if name.eq_ignore_ascii_case(b"content-length") {
                let whole = line.bytes <= LINE;
                let text = std::str::from_utf8(value).ok().filter(|_| whole);
                self.length = Some(text.and_then(|text| text.parse().ok()));
            }
            self.chunked |= name.eq_ignore_ascii_case(b"transfer-encoding");
        }
        self.begun = true;
        false
    }

    fn notes(&self) -> HeadNotes {
        HeadNotes { two_framings: self.chunked && self.length.is_some(), bare_line: self.bare_line }
    }

    /// What comes behind it.
    fn body(&self) -> Part {
        match (self.chunked, self.length) {
            (true, _) => Part::ChunkSize,
            (false, Some(Some(0)) | None) => Part::default(),
            (false, Some(Some(length))) => Part::Bytes(length, Then::Head),
            (false, Some(None)) => Part::Unknown,
        }
    }
}

impl Framing {
    /// Takes what has come.
    pub fn follow(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            let taken = match &mut self.part {
                Part::Unknown => return,
                Part::Bytes(left, then) => {
                    let taken = bytes.len().min(usize::try_from(*left).unwrap_or(usize::MAX));
                    *left -= taken as u64;
                    if *left == 0 {
                        self.part = match then {
                            Then::Head => Part::default(),
                            Then::ChunkSize => Part::ChunkSize,
                        };
                    }
                    taken
                }
                Part::Head(_) | Part::ChunkSize | Part::Trailers => {
                    let (taken, ended) = self.line.take(bytes);
                    if ended {
                        self.line_ended();
                        self.line.clear();
                    }
                    taken
                }
            };
            bytes = bytes.get(taken..).unwrap_or_default();
        }
    }

    fn line_ended(&mut self) {
        let next = match &mut self.part {
            Part::Head(head) => head.line(&self.line).then(|| {
                self.heads.push_back(head.notes());
                head.body()
            }),
            Part::ChunkSize => Some(match self.line.chunk_size() {
                Some(0) => Part::Trailers,
                // The line's end behind the chunk is none of its size.
                Some(size) => Part::Bytes(size + 2, Then::ChunkSize),
                None => Part::Unknown,
            }),
            Part::Trailers => self.line.is_empty().then(Part::default),
            Part::Bytes(..) | Part::Unknown => None,
        };
        self.part = next.unwrap_or_else(|| std::mem::take(&mut self.part));
    }

    /// What was noticed of the head of the request that is taken now; nothing where it could not be followed.
    pub fn next_head(&mut self) -> Option<HeadNotes> {
        self.heads.pop_front()
    }
}

#[cfg(test)]
mod tests;
