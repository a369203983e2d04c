//! An answer's body towards a client.

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

/// What is reported when a streamed answer has ended.
pub type OnEnd = Box<dyn FnOnce(bool)>;

/// An answer's body towards a client.
pub enum ResponseBody {
    /// All of it is here.
    Buffered(Option<Bytes>),
    /// It goes on as it comes.
    Streaming(Box<StreamedBody>),
}

/// A marshal that says nothing for so long in the middle of an answer, its request's time being over, has broken off.
const STALL_TIMEOUT: Duration = Duration::from_secs(10);

/// The bound on an answer that stalls: its request's time, or [`STALL_TIMEOUT`] behind its last bytes where that is later.
pub struct StallTimer {
    /// When something last came.
    last_progress: Instant,
    timer: Pin<Box<Sleep>>,
}

impl StallTimer {
    /// Of an answer that has begun to come; its request's time ends at `deadline`.
    pub fn new(deadline: Instant) -> StallTimer {
        let last_progress = Instant::now();
        let timer = Box::pin(tokio::time::sleep_until(deadline.max(last_progress + STALL_TIMEOUT)));
        StallTimer { last_progress, timer }
    }

    /// Something has come.
    fn record_progress(&mut self) {
        self.last_progress = Instant::now();
    }

    /// Ready once the answer has stalled for too long.
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

/// A streamed answer, with the connection that it comes on.
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
                    // The client's connection is cut as well: an answer that ends early must not look whole.
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
