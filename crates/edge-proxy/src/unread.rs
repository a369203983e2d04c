//! A TCP connection that ends when its peer's host is silent, and not when its peer is alive and reads late.
//!
//! `TCP_USER_TIMEOUT` (RFC 5482) ends a connection whose bytes stay unacknowledged. Linux counts the time in which the
//! peer's receive window is closed as well, though the peer answers every probe of it. So the short bound that finds a
//! silent host holds only while what the peer may have left unread surely fits its window. Beyond that the bound is the
//! time of the message that is under way.

use milletwing_wire::configure_stream;
use std::cell::Cell;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes that a peer's host takes whether its process reads or not.
const ALWAYS_TAKEN: usize = 16 << 10;

/// Bytes read at once, whatever room the reader has: the pieces in which answers are passed on.
const MOST_AT_ONCE: usize = 6 << 10;

/// What the peer of a connection may not have read yet, and how long it may take to read it.
#[derive(Debug)]
pub struct Unread {
    /// A host whose window is open and that acknowledges nothing is taken for silent after this.
    silence: Duration,
    /// The peer has so long for the message under way.
    message_time: Cell<Duration>,
    /// Bytes of earlier messages that the peer may not have read.
    earlier_bytes: Cell<usize>,
    /// Bytes written of the message under way.
    message_bytes: Cell<usize>,
}

impl Unread {
    /// Of a connection on which nothing was written.
    pub fn new(silence: Duration) -> Rc<Unread> {
        Rc::new(Unread {
            silence,
            message_time: Cell::new(silence),
            earlier_bytes: Cell::new(0),
            message_bytes: Cell::new(0),
        })
    }

    /// A message begins, which the peer may take so long to read.
    pub fn begin(&self, message_time: Duration) {
        self.message_time.set(message_time);
        self.earlier_bytes.set(self.earlier_bytes.get().saturating_add(self.message_bytes.take()));
    }

    /// The peer has answered the message under way: it has read all messages before it.
    pub fn answered(&self) {
        self.earlier_bytes.set(0);
    }

    /// Whether the peer may have left more unread than its host surely takes.
    pub fn is_large(&self) -> bool {
        self.earlier_bytes.get().saturating_add(self.message_bytes.get()) > ALWAYS_TAKEN
    }

    fn wrote(&self, bytes: usize) {
        self.message_bytes.set(self.message_bytes.get().saturating_add(bytes));
    }

    fn bound(&self) -> Duration {
        if self.is_large() {
            self.message_time.get().max(self.silence)
        } else {
            self.silence
        }
    }
}

/// A connection over TCP that is bounded by what its peer may not have read.
pub struct BoundedStream {
    stream: TcpStream,
    unread: Rc<Unread>,
    /// The bound that the socket has.
    bound: Duration,
}

impl BoundedStream {
    /// Sets what every connection of the system has. Errors: the socket refuses an option.
    pub fn new(stream: TcpStream, unread: Rc<Unread>) -> std::io::Result<BoundedStream> {
        let bound = unread.bound();
        configure_stream(&stream, bound)?;
        Ok(BoundedStream { stream, unread, bound })
    }

    /// Gives the socket the bound of this moment.
    fn bind(&mut self) {
        let bound = self.unread.bound();
        if bound != self.bound && milletwing_wire::set_unacknowledged_timeout(&self.stream, bound).is_ok() {
            self.bound = bound;
        }
    }
}

impl AsyncRead for BoundedStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<std::io::Result<()>> {
        let most = buffer.remaining().min(MOST_AT_ONCE);
        let mut piece = ReadBuf::new(buffer.initialize_unfilled_to(most));
        ready!(Pin::new(&mut self.stream).poll_read(context, &mut piece))?;
        let read = piece.filled().len();
        buffer.advance(read);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoundedStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<std::io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write(context, bytes))?;
        self.unread.wrote(written);
        self.bind();
        Poll::Ready(Ok(written))
    }
    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[std::io::IoSlice<'_>],
    ) -> Poll<std::io::Result<usize>> {
        let written = ready!(Pin::new(&mut self.stream).poll_write_vectored(context, bytes))?;
        self.unread.wrote(written);
        self.bind();
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
