//! What flows through: bodies, of which a little is gathered, so that a request can be sent again and a short answer is known
//! to be whole; the rest streams, at the pace of whoever is slower. Here a request's towards a marshal.

use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::collections::VecDeque;
use std::pin::Pin;
use std::task::{Context, Poll};

/// Bytes that are gathered before anything is sent on.
pub const GATHER: usize = 16 << 10;

/// Why a body ends early.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum Cut {
    /// The other side broke off.
    #[display("broken off")]
    Broken,
    /// It is longer than allowed.
    #[display("too large")]
    TooLarge,
}

/// The beginning of a body, and the rest if there is more.
pub struct Gathered {
    pub head: VecDeque<Bytes>,
    pub rest: Option<Incoming>,
}

/// Reads a body until its end, or until so much is there that it will be streamed.
pub async fn gather(mut body: Incoming) -> Result<Gathered, Cut> {
    let mut head = VecDeque::new();
    let mut size = 0;
    loop {
        if body.is_end_stream() {
            return Ok(Gathered { head, rest: None });
        }
        match body.frame().await {
            None => return Ok(Gathered { head, rest: None }),
            Some(Err(_)) => return Err(Cut::Broken),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    size += data.len();
                    head.push_back(data);
                }
            }
        }
        if size > GATHER {
            return Ok(Gathered { head, rest: Some(body) });
        }
    }
}

/// One piece of what was gathered.
pub fn join(mut head: VecDeque<Bytes>) -> Bytes {
    if head.len() <= 1 {
        return head.pop_front().unwrap_or_default();
    }
    head.iter().flatten().copied().collect()
}

/// A request's body towards a marshal.
pub enum Carry {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It goes on as it comes, up to so many bytes more.
    Stream { head: VecDeque<Bytes>, rest: Incoming, room: u64 },
}

impl Body for Carry {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Carry::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Carry::Stream { head, rest, room } => match next(head, rest, context) {
                Poll::Ready(Some(Ok(frame))) => {
                    *room = match room.checked_sub(frame.data_ref().map_or(0, |data| data.len() as u64)) {
                        Some(room) => room,
                        None => return Poll::Ready(Some(Err(Cut::TooLarge))),
                    };
                    Poll::Ready(Some(Ok(frame)))
                }
                other => other,
            },
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Carry::Whole(bytes) => bytes.is_none(),
            Carry::Stream { head, rest, .. } => head.is_empty() && rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Carry::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Carry::Stream { head, rest, .. } => longer(rest.size_hint(), head),
        }
    }
}

/// What was gathered, then what goes on coming.
pub fn next(
    head: &mut VecDeque<Bytes>,
    rest: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
    match head.pop_front() {
        Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
        None => Pin::new(rest).poll_frame(context).map_err(|_| Cut::Broken),
    }
}

/// The size of what goes on coming, and of what was gathered before it.
pub fn longer(rest: SizeHint, head: &VecDeque<Bytes>) -> SizeHint {
    let before: u64 = head.iter().map(|bytes| bytes.len() as u64).sum();
    match rest.exact() {
        Some(exact) => SizeHint::with_exact(exact + before),
        None => SizeHint::default(),
    }
}
