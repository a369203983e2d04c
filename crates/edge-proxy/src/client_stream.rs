//! A client's connection with what is noticed of the bytes that come: what the library that reads heads doesn't tell, and how
//! long it has waited for them.

use crate::framing::Framing;
use crate::user_timeout::UnreadTracker;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// What a client's connection is at.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing has come since the last answer.
    Idle,
    /// A head has begun.
    Head,
    /// A request is under way.
    Request,
}

/// What was noticed of the bytes that came, for the request that is made of them.
#[derive(Debug)]
pub struct ConnectionState {
    /// Where its heads begin and end, and what they hold.
    pub framing: RefCell<Framing>,
    /// What the connection is at.
    pub phase: Cell<ConnectionPhase>,
    /// Exchanges under way: a request's body may come to its end behind its answer, as the next one comes.
    exchanges: Cell<usize>,
    /// What the client may not have read of its answers.
    pub unread: Rc<UnreadTracker>,
}

/// A request and its answer: the connection is not idle before both have come to their end.
pub struct Exchange(Rc<ConnectionState>);

impl Exchange {
    /// A request's head has come.
    pub fn begin(state: &Rc<ConnectionState>) -> Rc<Exchange> {
        state.phase.set(ConnectionPhase::Request);
        state.exchanges.set(state.exchanges.get() + 1);
        Rc::new(Exchange(Rc::clone(state)))
    }

    /// What was noticed of its bytes.
    pub fn state(&self) -> &ConnectionState {
        &self.0
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        let remaining = self.0.exchanges.get().saturating_sub(1);
        self.0.exchanges.set(remaining);
        if remaining == 0 {
            self.0.phase.set(ConnectionPhase::Idle);
        }
    }
}

/// A client's connection, and what was noticed of the bytes that came.
pub struct ClientStream<S> {
    stream: S,
    state: Rc<ConnectionState>,
    /// How long it may be idle, and how long a head may take; what `timer` was set for.
    timeouts: (Duration, Duration),
    timer: Pin<Box<tokio::time::Sleep>>,
    timer_phase: ConnectionPhase,
}

impl ConnectionState {
    /// Of a connection on which nothing has come yet.
    pub fn new(unread: Rc<UnreadTracker>) -> Rc<ConnectionState> {
        Rc::new(ConnectionState {
            framing: RefCell::default(),
            phase: Cell::new(ConnectionPhase::Idle),
            exchanges: Cell::new(0),
            unread,
        })
    }
}

impl<S> ClientStream<S> {
    /// Of a connection that may be idle, and take for a head, for so long.
    pub fn new(
        stream: S,
        state: Rc<ConnectionState>,
        idle_timeout: Duration,
        head_timeout: Duration,
    ) -> ClientStream<S> {
        ClientStream {
            stream,
            state,
            timeouts: (idle_timeout, head_timeout),
            timer: Box::pin(tokio::time::sleep(idle_timeout)),
            timer_phase: ConnectionPhase::Idle,
        }
    }

    /// Ready once an idle connection, or a head that comes byte by byte, has had its time.
    fn poll_timeout(&mut self, context: &mut Context<'_>) -> Poll<()> {
        let phase = self.state.phase.get();
        if phase == ConnectionPhase::Request {
            self.timer_phase = phase;
            return Poll::Pending;
        }
        if self.timer_phase != phase {
            self.timer_phase = phase;
            let timeout = if phase == ConnectionPhase::Idle { self.timeouts.0 } else { self.timeouts.1 };
            self.timer.as_mut().reset(tokio::time::Instant::now() + timeout);
        }
        self.timer.as_mut().poll(context)
    }

    fn observe(&mut self, bytes: &[u8]) {
        if self.state.phase.get() == ConnectionPhase::Idle && !bytes.is_empty() {
            self.state.phase.set(ConnectionPhase::Head);
        }
        self.state.framing.borrow_mut().observe(bytes);
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ClientStream<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let before = buffer.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_ready() {
            self.observe(buffer.filled().get(before..).unwrap_or_default());
        }
        if self.poll_timeout(context).is_ready() {
            // No request was taken from it yet, so that nothing is lost: an end, as if the client had ended it.
            buffer.set_filled(before);
            return Poll::Ready(Ok(()));
        }
        polled
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ClientStream<S> {
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
