//! A bounded pool of buffers of one size. A buffer is allocated zeroed when it is first needed, so that pages no response has
//! reached take up no physical memory.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Size of a buffer (bytes): holds the longest object (240,000 bytes) with its head and trailers.
pub const BUFFER_SIZE: usize = 256 * 1024;
/// Request bodies may use one in this many buffers of the pool.
const REQUEST_BODY_DIVISOR: usize = 4;

/// A bounded pool of buffers.
pub struct BufferPool {
    state: Mutex<State>,
    max: usize,
}

#[derive(Default)]
struct State {
    free: Vec<Box<[u8]>>,
    /// Number of buffers allocated so far.
    allocated: usize,
    /// Number of buffers in use for request bodies.
    request_bodies: usize,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Response,
    RequestBody,
}

impl BufferPool {
    /// Creates a pool of at most `max` buffers.
    pub fn new(max: usize) -> Arc<BufferPool> {
        Arc::new(BufferPool {
            state: Mutex::default(),
            max,
        })
    }

    /// Acquires a buffer for a response; `None` if all are in use.
    pub fn acquire(self: &Arc<Self>) -> Option<Buffer> {
        self.take(Purpose::Response)
    }

    /// Acquires a buffer for a request body; `None` if none is free. Request bodies may use a quarter of the pool, so that
    /// bodies that never arrive in full cannot take all buffers from the responses.
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
            None if state.allocated < self.max => {
                state.allocated += 1;
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

    /// Number of buffers in use.
    pub fn in_use(&self) -> usize {
        let state = self.state();
        state.allocated - state.free.len()
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A buffer in use; returns to its pool on drop.
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
