//! Request bodies, and what both directions share.
//!
//! The start of each body is buffered, so that a request can be sent again and a short response is
//! known to be complete. The rest is streamed at the pace of the slower side.

use crate::client_stream::Exchange;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use http_body_util::BodyExt;
use hyper::body::Incoming;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use tokio::time::{Instant, Sleep};

/// A body up to this size is buffered in full before it is forwarded, in bytes; a larger one is
/// streamed.
pub const BUFFER_LIMIT: usize = 16 << 10;

/// Why a body ended before it was complete.
#[derive(Debug, derive_more::Display, derive_more::Error)]
pub enum BodyError {
    /// The sender ended the connection.
    #[display("body interrupted")]
    Interrupted,
    /// The body exceeds the size limit.
    #[display("body too large")]
    TooLarge,
    /// The body did not arrive before the deadline of its request.
    #[display("body timed out")]
    TimedOut,
}

/// The start of a body, and the rest if there is more.
pub struct BufferedBody {
    pub buffered: VecDeque<Bytes>,
    pub rest: Option<Incoming>,
}

/// Reads a body to its end, or until more than [`BUFFER_LIMIT`] bytes are buffered.
pub async fn buffer_body(mut body: Incoming) -> Result<BufferedBody, BodyError> {
    let mut buffered = VecDeque::new();
    let mut size = 0;
    loop {
        if body.is_end_stream() {
            return Ok(BufferedBody { buffered, rest: None });
        }
        match body.frame().await {
            None => return Ok(BufferedBody { buffered, rest: None }),
            Some(Err(_)) => return Err(BodyError::Interrupted),
            Some(Ok(frame)) => {
                if let Ok(data) = frame.into_data() {
                    size += data.len();
                    buffered.push_back(data);
                }
            }
        }
        if size > BUFFER_LIMIT {
            return Ok(BufferedBody { buffered, rest: Some(body) });
        }
    }
}

/// Joins the buffered pieces into one.
pub fn concat(mut buffered: VecDeque<Bytes>) -> Bytes {
    if buffered.len() <= 1 {
        return buffered.pop_front().unwrap_or_default();
    }
    buffered.iter().flatten().copied().collect()
}

/// The body of a request to a marshal.
pub enum OutgoingBody {
    /// The whole body.
    Buffered(Option<Bytes>),
    /// A body that is forwarded while it is received.
    Streaming(Box<Upload>),
}

/// A request body that is forwarded while it is received, even after the marshal has already
/// responded.
pub struct Upload {
    buffered: VecDeque<Bytes>,
    rest: Incoming,
    /// Bytes that may still be received.
    remaining_bytes: u64,
    /// Expires at the deadline of the request, which ends the wait for the rest of the body.
    deadline_timer: Pin<Box<Sleep>>,
    /// Keeps the client connection marked as in use while the upload lasts.
    _exchange: Rc<Exchange>,
}

impl Upload {
    /// Forwards the buffered start, then up to `remaining_bytes` bytes of the body, until
    /// `deadline`.
    pub fn new(
        buffered: VecDeque<Bytes>,
        rest: Incoming,
        remaining_bytes: u64,
        deadline: Instant,
        exchange: Rc<Exchange>,
    ) -> Box<Upload> {
        let deadline_timer = Box::pin(tokio::time::sleep_until(deadline));
        Box::new(Upload { buffered, rest, remaining_bytes, deadline_timer, _exchange: exchange })
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let Poll::Ready(polled) = poll_next_frame(&mut self.buffered, &mut self.rest, context) else {
            return self.deadline_timer.as_mut().poll(context).map(|()| Some(Err(BodyError::TimedOut)));
        };
        let Some(Ok(frame)) = polled else { return Poll::Ready(polled) };
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(remaining_bytes) = self.remaining_bytes.checked_sub(length) else {
            return Poll::Ready(Some(Err(BodyError::TooLarge)));
        };
        self.remaining_bytes = remaining_bytes;
        Poll::Ready(Some(Ok(frame)))
    }
}

impl Body for OutgoingBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            OutgoingBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            OutgoingBody::Streaming(upload) => upload.poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            OutgoingBody::Buffered(bytes) => bytes.is_none(),
            OutgoingBody::Streaming(upload) => upload.buffered.is_empty() && upload.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            OutgoingBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            OutgoingBody::Streaming(upload) => total_size_hint(upload.rest.size_hint(), &upload.buffered),
        }
    }
}

/// Polls the next frame of a body: first the buffered start, then the rest.
pub fn poll_next_frame(
    buffered: &mut VecDeque<Bytes>,
    rest: &mut Incoming,
    context: &mut Context<'_>,
) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
    match buffered.pop_front() {
        Some(bytes) => Poll::Ready(Some(Ok(Frame::data(bytes)))),
        None => Pin::new(rest).poll_frame(context).map_err(|_| BodyError::Interrupted),
    }
}

/// The size of the rest of a body together with its buffered start.
pub fn total_size_hint(rest: SizeHint, buffered: &VecDeque<Bytes>) -> SizeHint {
    let buffered_bytes: u64 = buffered.iter().map(|bytes| bytes.len() as u64).sum();
    match rest.exact() {
        Some(exact) => SizeHint::with_exact(exact + buffered_bytes),
        None => SizeHint::default(),
    }
}
