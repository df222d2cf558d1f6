//! Buffers of one size from one bounded pool. The pool makes them as they are first wanted, and pages that no response
//! reached cost no memory.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Size of a buffer (bytes): the longest object (240,000 bytes) with its head and trailers.
pub const BUFFER_SIZE: usize = 256 * 1024;
/// Request bodies may use one of so many buffers.
const REQUEST_BODY_DIVISOR: usize = 4;

/// The pool.
pub struct BufferPool {
    state: Mutex<State>,
    max: usize,
}

#[derive(Default)]
struct State {
    free: Vec<Box<[u8]>>,
    /// Buffers made so far.
    made: usize,
    /// Buffers in use for request bodies.
    request_bodies: usize,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Response,
    RequestBody,
}

impl BufferPool {
    /// A pool of at most `max` buffers.
    pub fn new(max: usize) -> Arc<BufferPool> {
        Arc::new(BufferPool {
            state: Mutex::default(),
            max,
        })
    }

    /// A buffer for a response, or `None` where all are in use.
    pub fn acquire(self: &Arc<Self>) -> Option<Buffer> {
        self.take(Purpose::Response)
    }

    /// A buffer for the body of a request. These may use a quarter of the pool, so that bodies that never arrive whole
    /// can't keep all buffers from responses.
    pub fn acquire_for_request_body(self: &Arc<Self>) -> Option<Buffer> {
        self.take(Purpose::RequestBody)
    }

    fn take(self: &Arc<Self>, purpose: Purpose) -> Option<Buffer> {
        let mut state = self.state();
        let is_body = purpose == Purpose::RequestBody;
        if is_body && state.request_bodies >= (self.max / REQUEST_BODY_DIVISOR).max(1) {
            return None;
        }
        let bytes = match state.free.pop() {
            Some(bytes) => bytes,
            None if state.made < self.max => {
                state.made += 1;
                vec![0; BUFFER_SIZE].into_boxed_slice()
            }
            None => return None,
        };
        state.request_bodies += is_body as usize;
        Some(Buffer {
            bytes,
            purpose,
            pool: self.clone(),
        })
    }

    /// How many buffers are in use.
    pub fn in_use(&self) -> usize {
        let state = self.state();
        state.made - state.free.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A buffer in use; dropped, it returns to its pool.
pub struct Buffer {
    bytes: Box<[u8]>,
    purpose: Purpose,
    pool: Arc<BufferPool>,
}

impl Deref for Buffer {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let mut state = self.pool.state();
        state.free.push(std::mem::take(&mut self.bytes));
        if self.purpose == Purpose::RequestBody {
            state.request_bodies -= 1;
        }
    }
}

#[cfg(test)]
mod tests;
