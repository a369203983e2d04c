//! Buffers of one size, used again from a pool.

use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};

struct Shelf {
    size: usize,
    keep: usize,
    spare: Mutex<Vec<Vec<u8>>>,
}

/// The pool.
#[derive(Clone)]
pub struct Buffers(Arc<Shelf>);

impl Buffers {
    /// A pool of buffers of one size that keeps so many of them.
    pub fn new(size: usize, keep: usize) -> Buffers {
        Buffers(Arc::new(Shelf { size, keep, spare: Mutex::new(Vec::new()) }))
    }

    /// An empty buffer.
    pub fn take(&self) -> Buffer {
        let spare = self.0.spare.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let room = spare.unwrap_or_else(|| vec![0; self.0.size]);
        Buffer { room, filled: 0, home: self.0.clone() }
    }

    /// Buffers at rest.
    pub fn spare(&self) -> usize {
        self.0.spare.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// A buffer; it returns to its pool by itself.
pub struct Buffer {
    room: Vec<u8>,
    filled: usize,
    home: Arc<Shelf>,
}

impl Buffer {
    /// What was written.
    pub fn bytes(&self) -> &[u8] {
        &self.room[..self.filled]
    }
    /// The room that is left.
    pub fn room(&mut self) -> &mut [u8] {
        &mut self.room[self.filled..]
    }
    /// Counts bytes that were put into the room.
    pub fn grow(&mut self, by: usize) {
        self.filled = (self.filled + by).min(self.room.len());
    }
    /// Appends bytes; false, and nothing appended, where they don't fit.
    #[must_use]
    pub fn put(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.room.len() - self.filled;
        if fits {
            self.room[self.filled..self.filled + bytes.len()].copy_from_slice(bytes);
            self.filled += bytes.len();
        }
        fits
    }
    /// Removes a part; what stands behind it moves up.
    pub fn cut(&mut self, part: Range<usize>) {
        let end = part.end.min(self.filled);
        let start = part.start.min(end);
        self.room.copy_within(end..self.filled, start);
        self.filled -= end - start;
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut spare = self.home.spare.lock().unwrap_or_else(PoisonError::into_inner);
        if spare.len() < self.home.keep {
            spare.push(std::mem::take(&mut self.room));
        }
    }
}
