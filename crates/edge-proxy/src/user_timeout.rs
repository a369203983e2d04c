//! A TCP connection that ends when its peer's host is silent, and not when its peer is alive and reads late.
//!
//! `TCP_USER_TIMEOUT` (RFC 5482) ends a connection whose bytes stay unacknowledged. Linux counts the time in which the
//! peer's receive window is closed as well, though the peer answers every probe of it. So the short bound that finds a
//! silent host holds only while what the peer may have left unread surely fits its window. Beyond that the bound is the
//! time of the message that is under way.

use milletwing_wire::groom;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that a peer's host takes whether its process reads or not.
const MIN_RECEIVE_WINDOW: usize = 16 << 10;

/// Bytes read at once, whatever room the reader has: the pieces in which answers are passed on.
const MAX_READ: usize = 6 << 10;

/// What the peer of a connection may not have read yet, and how long it may take to read it.
#[derive(Debug)]
pub struct UnreadTracker {
    /// A host whose window is open and that acknowledges nothing is taken for silent after this.
    silence_timeout: Duration,
    /// The peer has so long for the message under way.
    message_time: Cell<Duration>,
    /// Bytes of earlier messages that the peer may not have read.
    earlier_bytes: Cell<usize>,
    /// Bytes written of the message under way.
    message_bytes: Cell<usize>,
}

impl UnreadTracker {
    /// Of a connection on which nothing was written.
    pub fn new(silence_timeout: Duration) -> Rc<UnreadTracker> {
        Rc::new(UnreadTracker {
            silence_timeout,
            message_time: Cell::new(silence_timeout),
            earlier_bytes: Cell::new(0),
            message_bytes: Cell::new(0),
        })
    }

    /// A message begins, which the peer may take so long to read.
    pub fn start_message(&self, message_time: Duration) {
        self.message_time.set(message_time);
        self.earlier_bytes.set(self.earlier_bytes.get().saturating_add(self.message_bytes.take()));
    }

    /// The peer has answered the message under way: it has read all messages before it.
    pub fn on_response(&self) {
        self.earlier_bytes.set(0);
    }

    /// Whether the peer may have left more unread than its host surely takes.
    pub fn may_exceed_window(&self) -> bool {
        self.earlier_bytes.get().saturating_add(self.message_bytes.get()) > MIN_RECEIVE_WINDOW
    }

    fn record_written(&self, bytes: usize) {
        self.message_bytes.set(self.message_bytes.get().saturating_add(bytes));
    }

    fn timeout(&self) -> Duration {
        if self.may_exceed_window() {
            self.message_time.get().max(self.silence_timeout)
        } else {
            self.silence_timeout
        }
    }
}

/// A connection over TCP that is bounded by what its peer may not have read.
pub struct AdaptiveTimeoutStream {
    stream: TcpStream,
    unread: Rc<UnreadTracker>,
    /// The bound that the socket has.
    timeout: Duration,
}

impl AdaptiveTimeoutStream {
    /// Sets what every connection of the system has. Errors: the socket refuses an option.
    pub fn new(stream: TcpStream, unread: Rc<UnreadTracker>) -> std::io::Result<AdaptiveTimeoutStream> {
        let timeout = unread.timeout();
        groom(&stream, timeout)?;
        Ok(AdaptiveTimeoutStream { stream, unread, timeout })
    }

    /// Gives the socket the bound of this moment.
    fn update_timeout(&mut self) {
        let timeout = self.unread.timeout();
        if timeout != self.timeout && milletwing_wire::bound_unacknowledged(&self.stream, timeout).is_ok() {
            self.timeout = timeout;
        }
    }
}

impl AsyncRead for AdaptiveTimeoutStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let limit = buffer.remaining().min(MAX_READ);
        let mut chunk = ReadBuf::new(buffer.initialize_unfilled_to(limit));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut chunk))?;
        let read = chunk.filled().len();
        buffer.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for AdaptiveTimeoutStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.unread.record_written(written);
        self.update_timeout();
        Poll::Ready(Ok(written))
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, bytes))?;
        self.unread.record_written(written);
        self.update_timeout();
        Poll::Ready(Ok(written))
    }
    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<std::io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}

#[cfg(test)]
mod tests;
