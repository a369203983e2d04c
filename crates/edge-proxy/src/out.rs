//! An answer's body towards a client.

use crate::body::{longer, next, Cut};
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
pub type AtEnd = Box<dyn FnOnce(bool)>;

/// An answer's body towards a client.
pub enum Out {
    /// All of it is here.
    Whole(Option<Bytes>),
    /// It goes on as it comes.
    Stream(Box<Streamed>),
}

/// A marshal that says nothing for so long in the middle of an answer, its request's time being over, has broken off.
const STALL: Duration = Duration::from_secs(10);

/// The bound on an answer that stalls: its request's time, or [`STALL`] behind its last bytes where that is later.
pub struct StallTimer {
    /// When something last came.
    progress: Instant,
    due: Pin<Box<Sleep>>,
}

impl StallTimer {
    /// Of an answer that has begun to come; its request's time ends at `deadline`.
    pub fn new(deadline: Instant) -> StallTimer {
        let progress = Instant::now();
        let due = Box::pin(tokio::time::sleep_until(deadline.max(progress + STALL)));
        StallTimer { progress, due }
    }

    /// Something has come.
    fn note(&mut self) {
        self.progress = Instant::now();
    }

    /// Ready once the answer has stalled for too long.
    fn poll(&mut self, context: &mut Context<'_>) -> Poll<()> {
        ready!(self.due.as_mut().poll(context));
        let until = self.progress + STALL;
        if Instant::now() >= until {
            return Poll::Ready(());
        }
        self.due.as_mut().reset(until);
        self.due.as_mut().poll(context)
    }
}

/// A streamed answer, with the connection that it comes on.
pub struct Streamed {
    pub head: VecDeque<Bytes>,
    pub rest: Incoming,
    pub stall: StallTimer,
    pub lease: Option<Lease>,
    pub keep: Option<Duration>,
    pub edge: Rc<Edge>,
    pub at_end: Option<AtEnd>,
}

impl Streamed {
    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let polled = next(&mut self.head, &mut self.rest, context);
        if polled.is_ready() {
            self.stall.note();
            return polled;
        }
        self.stall.poll(context).map(|()| Some(Err(Cut::Late)))
    }

    fn end(&mut self, whole: bool) {
        if let Some(lease) = self.lease.take().filter(|_| whole) {
            self.edge.pool.give_back(lease, self.keep);
        }
        if let Some(at_end) = self.at_end.take() {
            at_end(whole);
        }
    }
}

impl Drop for Streamed {
    fn drop(&mut self) {
        let whole = self.rest.is_end_stream() && self.head.is_empty();
        self.end(whole);
    }
}

impl Body for Out {
    type Data = Bytes;
    type Error = Cut;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        match &mut *self {
            Out::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Out::Stream(stream) => {
                let polled = stream.poll_next(context);
                match &polled {
                    // The client's connection is cut as well: an answer that ends early must not look whole.
                    Poll::Ready(Some(Err(_))) => stream.end(false),
                    Poll::Ready(None) => stream.end(true),
                    _ => {}
                }
                polled
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Out::Whole(bytes) => bytes.is_none(),
            Out::Stream(stream) => stream.head.is_empty() && stream.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Out::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Out::Stream(stream) => longer(stream.rest.size_hint(), &stream.head),
        }
    }
}
