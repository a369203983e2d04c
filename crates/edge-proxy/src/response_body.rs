//! Response bodies on their way to a client.

use crate::body::{poll_next_frame, total_size_hint, BodyError};
use crate::edge::Edge;
use crate::pool::Lease;
use bytes::Bytes;
use http_body::{Body, Frame, SizeHint};
use hyper::body::Incoming;
use std::collections::VecDeque;
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::time::{Instant, Sleep};

/// Called when a streamed response has ended; the argument says whether it was complete.
pub type OnEnd = Box<dyn FnOnce(bool)>;

/// The body of a response to a client.
pub enum ResponseBody {
    /// The whole body.
    Buffered(Option<Bytes>),
    /// A body that is forwarded while it is received.
    Streaming(Box<StreamedBody>),
}

/// Once the deadline of the request has passed, a marshal that sends nothing for this long in the
/// middle of a response is taken to have failed.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// Limits how long a response may stall: until the deadline of its request, or until
/// [`STALL_TIMEOUT`] after its last bytes, whichever is later.
pub struct StallTimer {
    /// When bytes were last received.
    last_progress: Instant,
    timer: Pin<Box<Sleep>>,
}

impl StallTimer {
    /// Starts the timer for a response that has begun to arrive; its request has the given
    /// deadline.
    pub fn new(deadline: Instant) -> StallTimer {
        let last_progress = Instant::now();
        let timer = Box::pin(tokio::time::sleep_until(deadline.max(last_progress + STALL_TIMEOUT)));
        StallTimer { last_progress, timer }
    }

    /// Records that bytes were received.
    fn record_progress(&mut self) {
        self.last_progress = Instant::now();
    }

    /// Ready once the response has stalled for too long.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        ready!(self.timer.as_mut().poll(context));
        let stalled_at = self.last_progress + STALL_TIMEOUT;
        if Instant::now() >= stalled_at {
            return Poll::Ready(());
        }
        self.timer.as_mut().reset(stalled_at);
        self.timer.as_mut().poll(context)
    }
}

/// A streamed response body, with the connection that it is received on.
pub struct StreamedBody {
    pub buffered: VecDeque<Bytes>,
    pub rest: Incoming,
    pub stall: StallTimer,
    pub lease: Option<Lease>,
    pub keep_alive: Option<Duration>,
    pub edge: Rc<Edge>,
    pub on_end: Option<OnEnd>,
}

impl StreamedBody {
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        let polled = poll_next_frame(&mut self.buffered, &mut self.rest, context);
        if polled.is_ready() {
            self.stall.record_progress();
            return polled;
        }
        self.stall.poll(context).map(|()| Some(Err(BodyError::TimedOut)))
    }

    fn finish(&mut self, complete: bool) {
        if let Some(lease) = self.lease.take().filter(|_| complete) {
            self.edge.pool.release(lease, self.keep_alive);
        }
        if let Some(on_end) = self.on_end.take() {
            on_end(complete);
        }
    }
}

impl Drop for StreamedBody {
    fn drop(&mut self) {
        let complete = self.rest.is_end_stream() && self.buffered.is_empty();
        self.finish(complete);
    }
}

impl Body for ResponseBody {
    type Data = Bytes;
    type Error = BodyError;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, BodyError>>> {
        match &mut *self {
            ResponseBody::Buffered(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            ResponseBody::Streaming(stream) => {
                let polled = stream.poll_next(context);
                match &polled {
                    // The client connection is cut as well: a truncated response must not look
                    // complete.
                    Poll::Ready(Some(Err(_))) => stream.finish(false),
                    Poll::Ready(None) => stream.finish(true),
                    _ => {}
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            ResponseBody::Buffered(bytes) => bytes.is_none(),
            ResponseBody::Streaming(stream) => stream.buffered.is_empty() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            ResponseBody::Buffered(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64))
            }
            ResponseBody::Streaming(stream) => total_size_hint(stream.rest.size_hint(), &stream.buffered),
        }
    }
}
