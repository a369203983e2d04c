//! A client's connection as the other stages see it: whoever has the answer writes it here. Only reading is `intake`'s.

use crate::limits::Limits;
use std::io::{self, IoSlice, Write};
use std::net::{Shutdown, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering::SeqCst};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Writes all slices, one call where the kernel takes them.
pub fn write_all(mut to: impl Write, parts: &[&[u8]]) -> io::Result<()> {
    let mut slices: Vec<IoSlice<'_>> = parts.iter().map(|part| IoSlice::new(part)).collect();
    let mut rest: &mut [IoSlice<'_>] = &mut slices;
    IoSlice::advance_slices(&mut rest, 0); // empty parts
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
    /// A request on this connection owes its answer.
    pub(crate) busy: bool,
    /// Bytes of a further request have come.
    pub(crate) receiving: bool,
    /// It ends as soon as nothing is on it; its next answer, if there is one, says so.
    pub(crate) closing: bool,
    /// Nothing more is answered on it.
    pub(crate) closed: bool,
    /// It was taken above the limit: what comes on it is turned away.
    pub(crate) over_limit: bool,
    /// Its request asked for the connection's end.
    pub(crate) close_requested: bool,
    /// A whole request that could be admitted has come on it.
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
    /// A connection that was accepted.
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

    /// Whether the connection outlives the answer that is due now.
    pub fn keeps_alive(&self) -> bool {
        let state = self.state();
        !self.stopping.load(SeqCst) && !state.close_requested && !state.closing
    }

    /// Writes an answer and is free for the next request, or ends sending.
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
            let _ = self.stream.shutdown(how); // it may be gone already
        }
        drop(state);
        self.answered.notify_all();
        written.is_ok()
    }

    /// Writes a part of an answer that is not its last.
    pub fn write_part(&self, bytes: &[u8]) -> bool {
        write_all(&self.stream, &[bytes]).is_ok()
    }

    /// Wakes the thread that reads after the last answer, so that a client which doesn't close its side holds no
    /// descriptor.
    pub fn shutdown_read(&self) {
        let _ = self.stream.shutdown(Shutdown::Read); // it may have ended by itself
    }

    /// Waits until the request before is answered, then marks the connection as busy. False where it ends.
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

    /// Whether we ended its reading side ourselves: then no more bytes do not mean that the client has left.
    pub(crate) fn is_closing(&self) -> bool {
        self.state().closing
    }

    /// Waits until the request on it, if there is one, has its answer.
    pub(crate) fn wait_until_answered(&self) {
        let mut state = self.state();
        while state.busy && !state.closed {
            state = self.answered.wait(state).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Ends the connection if no request is on it; its client asks again elsewhere. Only its reading side is
    /// shut: what has come by now is still read, and answered. Guards against ending one on a request that its
    /// thread has just read.
    pub(crate) fn shutdown_if_idle(&self) -> bool {
        let mut state = self.state();
        let idle = !state.busy && !state.receiving && !state.closed && !state.closing;
        if idle {
            state.closing = true;
            let _ = self.stream.shutdown(Shutdown::Read); // it may be gone already
        }
        idle
    }

    /// How soon it gives way to others, and since when it has stood so: first who has never sent a whole request and
    /// says nothing, then who stays with a part of one, then usual clients that stand idle.
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

    /// Ends it for another's sake. Only its reading side is shut, as in `part`, and a request that has just been
    /// read whole is still answered.
    pub(crate) fn evict(&self) {
        let mut state = self.state();
        // A usual client whose next request has begun to come since it was chosen stays.
        let asks = state.busy || (state.admitted_before && state.receiving);
        if !asks && !state.closed {
            state.closing = true;
            let _ = self.stream.shutdown(Shutdown::Read); // it may be gone already
        }
    }

    /// Time for its first whole request to come; none left where it has had it.
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

    /// Whether nothing else is being written on the connection.
    pub(crate) fn may_write_interim(&self) -> bool {
        let state = self.state();
        !state.busy && !state.closed
    }
}
