//! What flows through: bodies, of which a little is gathered, so that a request can be sent again and a short answer is known
//! to be whole; the rest streams, at the pace of whoever is slower. Here a request's towards a marshal.

use crate::watched::Exchange;
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
    /// It has not come in its request's time.
    #[display("out of time")]
    Late,
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
    /// It goes on as it comes.
    Stream(Box<Upload>),
}

/// A body that goes on to a marshal as it comes from its client, also behind an early answer.
pub struct Upload {
    head: VecDeque<Bytes>,
    rest: Incoming,
    /// Bytes that may still come.
    room: u64,
    /// The end of the request's time: nobody waits for the rest then.
    over: Pin<Box<Sleep>>,
    /// Its client's connection is in use for as long.
    _exchange: Rc<Exchange>,
}

impl Upload {
    /// Of what was gathered and what comes behind it, `room` bytes at most, until `deadline`.
    pub fn new(
        head: VecDeque<Bytes>,
        rest: Incoming,
        room: u64,
        deadline: Instant,
        exchange: Rc<Exchange>,
    ) -> Box<Upload> {
        let over = Box::pin(tokio::time::sleep_until(deadline));
        Box::new(Upload { head, rest, room, over, _exchange: exchange })
    }

    fn poll_next(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Cut>>> {
        let Poll::Ready(polled) = next(&mut self.head, &mut self.rest, context) else {
            return self.over.as_mut().poll(context).map(|()| Some(Err(Cut::Late)));
        };
        let Some(Ok(frame)) = polled else { return Poll::Ready(polled) };
        let length = frame.data_ref().map_or(0, |data| data.len() as u64);
        let Some(room) = self.room.checked_sub(length) else {
            return Poll::Ready(Some(Err(Cut::TooLarge)));
        };
        self.room = room;
        Poll::Ready(Some(Ok(frame)))
    }
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
            Carry::Stream(upload) => upload.poll_next(context),
        }
    }

    fn is_end_stream(&self) -> bool {
        match self {
            Carry::Whole(bytes) => bytes.is_none(),
            Carry::Stream(upload) => upload.head.is_empty() && upload.rest.is_end_stream(),
        }
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Carry::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, |bytes| bytes.len() as u64)),
            Carry::Stream(upload) => longer(upload.rest.size_hint(), &upload.head),
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
