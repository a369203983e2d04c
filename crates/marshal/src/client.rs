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

pub(crate) struct Standing {
    /// A request on this connection owes its answer.
    pub(crate) busy: bool,
    /// Bytes of a further request have come.
    pub(crate) begun: bool,
    /// It ends as soon as nothing is on it; its next answer, if there is one, says so.
    pub(crate) closing: bool,
    /// Nothing more is answered on it.
    pub(crate) parted: bool,
    /// It was taken above the limit: what comes on it is turned away.
    pub(crate) over: bool,
    /// Its request asked for the connection's end.
    pub(crate) last: bool,
    /// A whole request that could be admitted has come on it.
    pub(crate) proven: bool,
    pub(crate) since: Instant,
}

/// A client's connection.
pub struct Client {
    pub(crate) stream: TcpStream,
    connected: Instant,
    standing: Mutex<Standing>,
    free: Condvar,
    stopping: Arc<AtomicBool>,
}

impl Client {
    /// A connection that was accepted.
    pub fn new(stream: TcpStream, stopping: Arc<AtomicBool>) -> Client {
        let since = Instant::now();
        let (busy, begun, closing, parted, over) = (false, false, false, false, false);
        let (last, proven) = (false, false);
        let standing = Standing { busy, begun, closing, parted, over, last, proven, since };
        Client { stream, connected: since, standing: Mutex::new(standing), free: Condvar::new(), stopping }
    }

    pub(crate) fn standing(&self) -> MutexGuard<'_, Standing> {
        self.standing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether the connection outlives the answer that is due now.
    pub fn keeps(&self) -> bool {
        let standing = self.standing();
        !self.stopping.load(SeqCst) && !standing.last && !standing.closing
    }

    /// Writes an answer and is free for the next request, or ends sending.
    pub fn answer(&self, parts: &[&[u8]], keep: bool) -> bool {
        let written = write_all(&self.stream, parts);
        let mut standing = self.standing();
        standing.busy = false;
        standing.since = Instant::now();
        let end = match &written {
            Ok(()) if keep && !standing.parted => None,
            Ok(()) => Some(Shutdown::Write),
            Err(_) => Some(Shutdown::Both),
        };
        if let Some(how) = end {
            standing.parted = true;
            let _ = self.stream.shutdown(how); // it may be gone already
        }
        drop(standing);
        self.free.notify_all();
        written.is_ok()
    }

    /// Writes a part of an answer that is not its last.
    pub fn part_of_answer(&self, bytes: &[u8]) -> bool {
        write_all(&self.stream, &[bytes]).is_ok()
    }

    /// Wakes the thread that reads after the last answer, so that a client which doesn't close its side holds no
    /// descriptor.
    pub fn hang_up(&self) {
        let _ = self.stream.shutdown(Shutdown::Read); // it may have ended by itself
    }

    /// Waits until the request before is answered, then marks the connection as busy. False where it ends.
    pub(crate) fn begin(&self, keep: bool) -> bool {
        let mut standing = self.standing();
        while standing.busy && !standing.parted {
            standing = self.free.wait(standing).unwrap_or_else(PoisonError::into_inner);
        }
        if standing.parted {
            return false;
        }
        (standing.busy, standing.begun, standing.last) = (true, false, !keep);
        true
    }

    /// Whether we ended its reading side ourselves: then no more bytes do not mean that the client has left.
    pub(crate) fn ending(&self) -> bool {
        self.standing().closing
    }

    /// Waits until the request on it, if there is one, has its answer.
    pub(crate) fn finish(&self) {
        let mut standing = self.standing();
        while standing.busy && !standing.parted {
            standing = self.free.wait(standing).unwrap_or_else(PoisonError::into_inner);
        }
    }

    /// Ends the connection if no request is on it; its client asks again elsewhere. Only its reading side is
    /// shut: what has come by now is still read, and answered. Guards against ending one on a request that its
    /// thread has just read.
    pub(crate) fn part(&self) -> bool {
        let mut standing = self.standing();
        let idle = !standing.busy && !standing.begun && !standing.parted && !standing.closing;
        if idle {
            standing.closing = true;
            let _ = self.stream.shutdown(Shutdown::Read); // it may be gone already
        }
        idle
    }

    /// How soon it gives way to others, and since when it has stood so: first who has never sent a whole request and
    /// says nothing, then who stays with a part of one, then usual clients that stand idle.
    pub(crate) fn gives_way(&self, first_bytes: Duration) -> Option<(u8, Instant)> {
        let standing = self.standing();
        let free = !standing.busy && !standing.parted && !standing.closing;
        match (standing.proven, standing.begun) {
            (false, false) if free => Some((0, standing.since)),
            (false, true) if free && standing.since.elapsed() >= first_bytes => Some((1, standing.since)),
            (true, false) if free => Some((2, standing.since)),
            _ => None,
        }
    }

    /// Ends it for another's sake. Only its reading side is shut, as in `part`, and a request that has just been
    /// read whole is still answered.
    pub(crate) fn give_way(&self) {
        let mut standing = self.standing();
        // A usual client whose next request has begun to come since it was chosen stays.
        let asks = standing.busy || (standing.proven && standing.begun);
        if !asks && !standing.parted {
            standing.closing = true;
            let _ = self.stream.shutdown(Shutdown::Read); // it may be gone already
        }
    }

    /// Time for its first whole request to come; none left where it has had it.
    pub(crate) fn first_left(&self, limits: &Limits) -> Option<Duration> {
        let proven = self.standing().proven;
        (!proven).then(|| limits.client_first.saturating_sub(self.connected.elapsed()))
    }

    pub(crate) fn stays(&self) -> bool {
        let standing = self.standing();
        !standing.parted && !standing.closing && !standing.over
    }

    pub(crate) fn over(&self) -> bool {
        self.standing().over
    }

    pub(crate) fn wait_at_most(&self, time: Duration) -> io::Result<()> {
        self.stream.set_read_timeout(Some(time.max(Duration::from_millis(1))))
    }

    /// Whether nothing else is being written on the connection.
    pub(crate) fn idle_for_more(&self) -> bool {
        let standing = self.standing();
        !standing.busy && !standing.parted
    }
}
