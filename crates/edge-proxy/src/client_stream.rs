//! A client connection that observes the bytes received on it, for what the HTTP library does not
//! report about request heads, and that enforces time limits on idle connections and slow heads.

use crate::framing::Framing;
use crate::user_timeout::UnreadTracker;
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// The phase that a client connection is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionPhase {
    /// Nothing has been received since the last response.
    Idle,
    /// A request head is being received.
    Head,
    /// A request is in progress.
    Request,
}

/// The state of a client connection, shared between its stream and its requests.
#[derive(Debug)]
pub struct ConnectionState {
    /// Where the request heads begin and end, and what was found in them.
    pub framing: RefCell<Framing>,
    /// The current phase.
    pub phase: Cell<ConnectionPhase>,
    /// Exchanges in progress. There may be two: the body of a request may still arrive after its
    /// response, while the next request begins.
    exchanges: Cell<usize>,
    /// Tracks what the client may not have read of its responses.
    pub unread: Rc<UnreadTracker>,
}

/// A request and its response. The connection is not idle before both have ended.
pub struct Exchange(Rc<ConnectionState>);

impl Exchange {
    /// Begins an exchange when a request head has been received.
    pub fn begin(state: &Rc<ConnectionState>) -> Rc<Exchange> {
        state.phase.set(ConnectionPhase::Request);
        state.exchanges.set(state.exchanges.get() + 1);
        Rc::new(Exchange(Rc::clone(state)))
    }

    /// The state of the connection.
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

/// A client connection that observes the bytes received on it.
pub struct ClientStream<S> {
    stream: S,
    state: Rc<ConnectionState>,
    /// The time limits for an idle connection and for receiving a head.
    timeouts: (Duration, Duration),
    timer: Pin<Box<tokio::time::Sleep>>,
    /// The phase that `timer` was set for.
    timer_phase: ConnectionPhase,
}

impl ConnectionState {
    /// Creates the state of a connection on which nothing has been received.
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
    /// Wraps a connection with the given time limits for being idle and for receiving a head.
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

    /// Ready once an idle connection, or a head that arrives byte by byte, has used up its time.
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
            // Reported as end of stream, as if the client had closed. No request has been accepted
            // from these bytes, so nothing is lost.
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
