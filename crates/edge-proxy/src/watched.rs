//! A client's connection with what is noticed of the bytes that come: what the library that reads heads doesn't tell, and how
//! long it has waited for them.

use crate::framing::Framing;
use crate::unread::Unread;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum At {
    /// Nothing has come since the last answer.
    Idle,
    /// A head has begun.
    Head,
    /// A request is under way.
    Request,
}

/// What was noticed of the bytes that came, for the request that is made of them.
#[derive(Debug)]
pub struct Notes {
    /// Where its heads begin and end, and what they hold.
    pub framing: RefCell<Framing>,
    /// What the connection is at.
    pub at: Cell<At>,
    /// Exchanges under way: a request's body may come to its end behind its answer, as the next one comes.
    exchanges: Cell<usize>,
    /// What the client may not have read of its answers.
    pub unread: Rc<Unread>,
}

/// A request and its answer: the connection is not idle before both have come to their end.
pub struct Exchange(Rc<Notes>);

impl Exchange {
    /// A request's head has come.
    pub fn begin(notes: &Rc<Notes>) -> Rc<Exchange> {
        notes.at.set(At::Request);
        notes.exchanges.set(notes.exchanges.get() + 1);
        Rc::new(Exchange(Rc::clone(notes)))
    }

    /// What was noticed of its bytes.
    pub fn notes(&self) -> &Notes {
        &self.0
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let left = self.0.exchanges.get().saturating_sub(1);
        self.0.exchanges.set(left);
        if left == 0 {
            self.0.at.set(At::Idle);
        }
    }
}

/// A client's connection, and what was noticed of the bytes that came.
pub struct Watched<S> {
    stream: S,
    notes: Rc<Notes>,
    /// How long it may be idle, and how long a head may take; what `due` was set for.
    bounds: (Duration, Duration),
    due: Pin<Box<tokio::time::Sleep>>,
    set: At,
}

impl Notes {
    /// Of a connection on which nothing has come yet.
    pub fn new(unread: Rc<Unread>) -> Rc<Notes> {
        Rc::new(Notes {
            framing: RefCell::default(),
            at: Cell::new(At::Idle),
            exchanges: Cell::new(0),
            unread,
        })
    }
}

impl<S> Watched<S> {
    /// Of a connection that may be idle, and take for a head, for so long.
    pub fn new(stream: S, notes: Rc<Notes>, idle: Duration, guard: Duration) -> Watched<S> {
        Watched {
            stream,
            notes,
            bounds: (idle, guard),
            due: Box::pin(tokio::time::sleep(idle)),
            set: At::Idle,
        }
    }

    /// Ready once an idle connection, or a head that comes byte by byte, has had its time.
    fn bounded(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let at = self.notes.at.get();
        if at == At::Request {
            self.set = at;
            return Poll::Pending;
        }
        if self.set != at {
            self.set = at;
            let bound = if at == At::Idle { self.bounds.0 } else { self.bounds.1 };
            self.due.as_mut().reset(tokio::time::Instant::now() + bound);
        }
        self.due.as_mut().poll(context)
    }

    fn notice(&mut self, bytes: &[u8]) {
        if self.notes.at.get() == At::Idle && !bytes.is_empty() {
            self.notes.at.set(At::Head);
        }
        self.notes.framing.borrow_mut().follow(bytes);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Watched<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_ready() {
            self.notice(buffer.filled().get(before..).unwrap_or_default());
        }
        if self.bounded(context).is_ready() {
            // No request was taken from it yet, so that nothing is lost: an end, as if the client had ended it.
            buffer.set_filled(before);
            return Poll::Ready(Ok(()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Watched<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}

#[cfg(test)]
mod tests;
