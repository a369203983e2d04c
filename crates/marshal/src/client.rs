//! A client's connection as the later stages see it: whoever has the response writes it here. Only `intake` reads from
//! it.

use crate::limits::Limits;
use std::io::{self, IoSlice, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Writes all slices, with a single system call if the kernel accepts them at once.
pub fn write_all(mut to: impl Write, parts: &[&[u8]]) -> io::Result<()> {
    let mut slices: Vec<IoSlice<'_>> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut rest: &mut [IoSlice<'_>] = &mut slices;
    IoSlice::advance_slices(&mut rest, 0); // skips empty parts
    while !rest.is_empty() {
        match to.write_vectored(rest) {
            Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
            Ok(written) => IoSlice::advance_slices(&mut rest, written),
            Err(problem) if problem.kind() == io::ErrorKind::Interrupted => {}
            Err(problem) => return Err(problem),
        }
    }
    Ok(())
}

pub(crate) struct ConnectionState {
    /// A request on this connection needs its response.
    pub(crate) busy: bool,
    /// Part of a further request has been received.
    pub(crate) receiving: bool,
    /// The connection closes once it is idle; the next response, if there is one, says so.
    pub(crate) closing: bool,
    /// No further response is written.
    pub(crate) closed: bool,
    /// The connection was accepted above the limit: requests on it are refused.
    pub(crate) over_limit: bool,
    /// The current request asked to close the connection.
    pub(crate) close_requested: bool,
    /// A complete request on this connection has been admitted.
    pub(crate) admitted_before: bool,
    pub(crate) since: Instant,
}

/// A client's connection.
pub struct Client {
    pub(crate) stream: TcpStream,
    connected: Instant,
    state: Mutex<ConnectionState>,
    answered: Condvar,
    stopping: Arc<AtomicBool>,
}

impl Client {
    /// An accepted connection.
    pub fn new(stream: TcpStream, stopping: Arc<AtomicBool>) -> Client {
        let since = Instant::now();
        let (busy, receiving, closing, closed, over_limit) = (false, false, false, false, false);
        let (close_requested, admitted_before) = (false, false);
        let state = ConnectionState {
            busy,
            receiving,
            closing,
            closed,
            over_limit,
            close_requested,
            admitted_before,
            since,
        };
        Client { stream, connected: since, state: Mutex::new(state), answered: Condvar::new(), stopping }
    }

    pub(crate) fn state(&self) -> MutexGuard<'_, ConnectionState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the connection stays open after the current response.
    pub fn keeps_alive(&self) -> bool {
        let state = self.state();
        !self.stopping.load(SeqCst) && !state.close_requested && !state.closing
    }

    /// Writes a response, or its last part; the connection is then free for the next request, or its sending side is
    /// shut down.
    pub fn finish_response(&self, parts: &[&[u8]], keep: bool) -> bool {
        let written = write_all(&self.stream, parts);
        let mut state = self.state();
        state.busy = false;
        state.since = Instant::now();
        let end = match &written {
            Ok(()) if keep && !state.closed => None,
            Ok(()) => Some(Shutdown::Write),
            Err(_) => Some(Shutdown::Both),
        };
        if let Some(how) = end {
            state.closed = true;
            let _ = self.stream.shutdown(how); // it may already be closed
        }
        drop(state);
        self.answered.notify_all();
        written.is_ok()
    }

    /// Writes a part of a response that is not its last.
    pub fn write_part(&self, bytes: &[u8]) -> bool {
        write_all(&self.stream, &[bytes]).is_ok()
    }

    /// Wakes the reading thread after the last response, so that a client that doesn't close its side holds no
    /// descriptor.
    pub fn shutdown_read(&self) {
        let _ = self.stream.shutdown(Shutdown::Read); // it may already be closed
    }

    /// Waits until the previous request is answered, then marks the connection as busy. False if the connection is
    /// closed.
    pub(crate) fn begin(&self, keep: bool) -> bool {
        let mut state = self.state();
        while state.busy && !state.closed {
            state = self.answered.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
        if state.closed {
            return false;
        }
        (state.busy, state.receiving, state.close_requested) = (true, false, !keep);
        true
    }

    /// Whether the marshal shut down the reading side itself: end of input then does not mean that the client has
    /// disconnected.
    pub(crate) fn is_closing(&self) -> bool {
        self.state().closing
    }

    /// Waits until the current request, if there is one, has its response.
    pub(crate) fn wait_until_answered(&self) {
        let mut state = self.state();
        while state.busy && !state.closed {
            state = self.answered.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Closes the connection if it has no request; the client retries elsewhere. Only the reading side is shut down:
    /// bytes received by then are still read, and the request is answered. Guards against closing the connection on a
    /// request that its thread has just read.
    pub(crate) fn shutdown_if_idle(&self) -> bool {
        let mut state = self.state();
        let idle = !state.busy && !state.receiving && !state.closed && !state.closing;
        if idle {
            state.closing = true;
            let _ = self.stream.shutdown(Shutdown::Read); // it may already be closed
        }
        idle
    }

    /// The rank in which the connection is closed to make room, and the time since when: first those that never sent a
    /// complete request and send nothing, then those with an incomplete first request, then idle connections of regular
    /// clients.
    pub(crate) fn eviction_rank(&self, first_bytes: Duration) -> Option<(u8, Instant)> {
        let state = self.state();
        let free = !state.busy && !state.closed && !state.closing;
        match (state.admitted_before, state.receiving) {
            (false, false) if free => Some((0, state.since)),
            (false, true) if free && state.since.elapsed() >= first_bytes => Some((1, state.since)),
            (true, false) if free => Some((2, state.since)),
            _ => None,
        }
    }

    /// Closes the connection to make room. Only its reading side is shut down, as in `shutdown_if_idle`, and a request
    /// that has just been read completely is still answered.
    pub(crate) fn evict(&self) {
        let mut state = self.state();
        // A regular client that has started to send a request since it was chosen is kept.
        let asks = state.busy || (state.admitted_before && state.receiving);
        if !asks && !state.closed {
            state.closing = true;
            let _ = self.stream.shutdown(Shutdown::Read); // it may already be closed
        }
    }

    /// The time left for the first complete request; `None` once there was one.
    pub(crate) fn first_request_time_left(&self, limits: &Limits) -> Option<Duration> {
        let admitted_before = self.state().admitted_before;
        (!admitted_before).then(|| limits.first_request_timeout.saturating_sub(self.connected.elapsed()))
    }

    pub(crate) fn is_kept(&self) -> bool {
        let state = self.state();
        !state.closed && !state.closing && !state.over_limit
    }

    pub(crate) fn is_over_limit(&self) -> bool {
        self.state().over_limit
    }

    pub(crate) fn set_read_timeout(&self, time: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(time.max(Duration::from_millis(1))))
    }

    /// Whether an interim response may be written, because no other response is being written.
    pub(crate) fn may_write_interim(&self) -> bool {
        let state = self.state();
        !state.busy && !state.closed
    }
}
