//! A TCP connection that is ended when its peer's host is silent, but not when the peer is alive
//! and slow to read.
//!
//! `TCP_USER_TIMEOUT` (RFC 5482) ends a connection whose bytes stay unacknowledged. On Linux this
//! includes the time during which the receive window of the peer is closed, although the peer
//! answers every window probe. The short timeout that detects a silent host is therefore used only
//! while everything that the peer may have left unread is certain to fit into its window. Beyond
//! that, the timeout is the time allowed for the message being sent.

use milletwing_wire::configure_stream;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that a host always accepts, whether its process reads them or not.
const MIN_RECEIVE_WINDOW: usize = 16 << 10;

/// Maximum number of bytes per read, whatever the size of the reader's buffer: responses are
/// forwarded in pieces of this size.
const MAX_READ: usize = 6 << 10;

/// Tracks how much the peer of a connection may not have read yet, and how long it may take to read
/// it.
#[derive(Debug)]
pub struct UnreadTracker {
    /// A host whose window is open and that acknowledges nothing for this long is taken to be
    /// silent.
    silence_timeout: Duration,
    /// Time allowed to the peer for reading the current message.
    message_time: Cell<Duration>,
    /// Bytes of earlier messages that the peer may not have read.
    earlier_bytes: Cell<usize>,
    /// Bytes of the current message written so far.
    message_bytes: Cell<usize>,
}

impl UnreadTracker {
    /// Creates a tracker for a connection on which nothing has been written.
    pub fn new(silence_timeout: Duration) -> Rc<UnreadTracker> {
        Rc::new(UnreadTracker {
            silence_timeout,
            message_time: Cell::new(silence_timeout),
            earlier_bytes: Cell::new(0),
            message_bytes: Cell::new(0),
        })
    }

    /// Starts a message, for which the peer has `message_time`.
    pub fn start_message(&self, message_time: Duration) {
        self.message_time.set(message_time);
        self.earlier_bytes.set(self.earlier_bytes.get().saturating_add(self.message_bytes.take()));
    }

    /// Records that the peer has responded to the current message, and so has read all messages
    /// before it.
    pub fn on_response(&self) {
        self.earlier_bytes.set(0);
    }

    /// Whether the peer may have left more unread than its host is certain to accept.
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

/// A TCP stream whose user timeout depends on what its peer may not have read.
pub struct AdaptiveTimeoutStream {
    stream: TcpStream,
    unread: Rc<UnreadTracker>,
    /// The user timeout that is set on the socket.
    timeout: Duration,
}

impl AdaptiveTimeoutStream {
    /// Sets the socket options that all connections of the system have. Returns an error if the
    /// socket rejects one.
    pub fn new(stream: TcpStream, unread: Rc<UnreadTracker>) -> std::io::Result<AdaptiveTimeoutStream> {
        let timeout = unread.timeout();
        configure_stream(&stream, timeout)?;
        Ok(AdaptiveTimeoutStream { stream, unread, timeout })
    }

    /// Sets the user timeout of the socket to the value that applies now.
    fn update_timeout(&mut self) {
        let timeout = self.unread.timeout();
        if timeout != self.timeout
            && milletwing_wire::set_unacknowledged_timeout(&self.stream, timeout).is_ok()
        {
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
