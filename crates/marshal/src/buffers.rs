//! A pool of buffers of one size.

use std::ops::Range;
use std::sync::{Arc, Mutex, PoisonError};

struct Shared {
    buffer_size: usize,
    max_pooled: usize,
    pooled: Mutex<Vec<Vec<u8>>>,
}

/// A pool of buffers.
#[derive(Clone)]
pub struct BufferPool(Arc<Shared>);

impl BufferPool {
    /// A pool of buffers of `buffer_size` bytes that keeps at most `max_pooled` of them for reuse.
    pub fn new(buffer_size: usize, max_pooled: usize) -> BufferPool {
        BufferPool(Arc::new(Shared { buffer_size, max_pooled, pooled: Mutex::new(Vec::new()) }))
    }

    /// Takes an empty buffer.
    pub fn take(&self) -> Buffer {
        let pooled = self.0.pooled.lock().unwrap_or_else(PoisonError::into_inner).pop();
        let storage = pooled.unwrap_or_else(|| vec![0; self.0.buffer_size]);
        Buffer { storage, filled: 0, pool: self.0.clone() }
    }

    /// The number of buffers that wait for reuse.
    pub fn pooled(&self) -> usize {
        self.0.pooled.lock().unwrap_or_else(PoisonError::into_inner).len()
    }
}

/// A buffer that returns to its pool when dropped.
pub struct Buffer {
    storage: Vec<u8>,
    filled: usize,
    pool: Arc<Shared>,
}

impl Buffer {
    /// The bytes written so far.
    pub fn bytes(&self) -> &[u8] {
        &self.storage[..self.filled]
    }
    /// The unused space.
    pub fn spare_capacity(&mut self) -> &mut [u8] {
        &mut self.storage[self.filled..]
    }
    /// Marks bytes as filled that were written to the spare capacity.
    pub fn advance(&mut self, by: usize) {
        self.filled = (self.filled + by).min(self.storage.len());
    }
    /// Appends bytes; returns false and appends nothing if they don't fit.
    #[must_use]
    pub fn append(&mut self, bytes: &[u8]) -> bool {
        let fits = bytes.len() <= self.storage.len() - self.filled;
        if fits {
            self.storage[self.filled..self.filled + bytes.len()].copy_from_slice(bytes);
            self.filled += bytes.len();
        }
        fits
    }
    /// Removes a range; the bytes after it move up.
    pub fn remove(&mut self, range: Range<usize>) {
        let end = range.end.min(self.filled);
        let start = range.start.min(end);
        self.storage.copy_within(end..self.filled, start);
        self.filled -= end - start;
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut pooled = self.pool.pooled.lock().unwrap_or_else(PoisonError::into_inner);
        if pooled.len() < self.pool.max_pooled {
            pooled.push(std::mem::take(&mut self.storage));
        }
    }
}
