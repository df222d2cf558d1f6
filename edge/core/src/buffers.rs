//! Buffers for responses and request bodies, bounded in number and in bytes.
//!
//! A buffer is a memory mapping of its own: only the pages that were written take up memory, and they go back to the system with
//! the mapping. What a response needs is reserved once its length is known; where the processes that share the machine's memory
//! leave too little, the reservation waits, in the order of arrival, until another response is done. Reserved memory is always
//! enough for the whole response, so whoever holds some never waits for more.
//!
//! A request body is counted whole when its length is known, and never waits: there is memory for it at once, or it is rejected.
//!
//! Buffers that are not in use are kept for reuse for as long as the load needs them, and count as memory that is taken.

use idle::{whole_pages, IdleMappings, Mapping};
use reservations::Reservations;
use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Condvar, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

mod idle;
mod reservations;

/// Size of a buffer (bytes): holds the longest object (240,000 bytes) with its head and trailers.
pub const BUFFER_SIZE: usize = 256 * 1024;
/// Reserved with a buffer, for the head of a response (bytes).
const INITIAL_RESERVATION: usize = 4 * 1024;
/// So many buffers can be reserved whole under any limit.
const MIN_FULL_BUFFERS: usize = 4;
/// How often a reservation that waits checks whether it is still wanted.
const CANCEL_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// A bounded pool of buffers.
pub struct BufferPool {
    state: Mutex<State>,
    /// Memory has become free, or the first of those that wait has changed.
    freed: Condvar,
    max: usize,
}

struct State {
    reservations: Reservations,
    idle: IdleMappings,
    /// Responses that have a buffer.
    responses: usize,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Purpose {
    Response,
    RequestBody,
}

impl BufferPool {
    /// Creates a pool of at most `max` buffers for responses, with as much memory as these may take.
    pub fn new(max: usize) -> Arc<BufferPool> {
        let state = State {
            reservations: Reservations::new(max * BUFFER_SIZE, max),
            idle: IdleMappings::default(),
            responses: 0,
        };
        Arc::new(BufferPool {
            state: Mutex::new(state),
            freed: Condvar::new(),
            max,
        })
    }

    /// Acquires a buffer for a response; `None` if all are in use, or no memory can be mapped.
    pub fn acquire(self: &Arc<Self>) -> Option<Buffer> {
        let mut state = self.state();
        if state.responses >= self.max {
            return None;
        }
        let mapping = state.take_mapping(INITIAL_RESERVATION)?;
        state.responses += 1;
        state.reservations.add(mapping.touched);
        Some(self.buffer(mapping, Purpose::Response))
    }

    /// Acquires a buffer for a request body of `bytes`; `None` if bodies have all that they may use, or it is too long. Bodies
    /// use a part of the memory, because a client may take long to send one, and the responses need the rest.
    pub fn acquire_for_request_body(self: &Arc<Self>, bytes: usize) -> Option<Buffer> {
        if bytes > BUFFER_SIZE {
            return None;
        }
        let bytes = whole_pages(bytes);
        let mut state = self.state();
        if !state.make_room_for_body(bytes) {
            return None;
        }
        let mapping = state.take_mapping(bytes)?;
        state.reservations.add_body(mapping.touched);
        Some(self.buffer(mapping, Purpose::RequestBody))
    }

    fn buffer(self: &Arc<Self>, mapping: Mapping, purpose: Purpose) -> Buffer {
        Buffer {
            mapping: Some(mapping),
            purpose,
            pool: self.clone(),
        }
    }

    /// Number of buffers in use.
    pub fn in_use(&self) -> usize {
        let state = self.state();
        state.responses + state.reservations.bodies()
    }

    /// Bytes that may be taken while this process has the memory for itself.
    pub fn max_bytes(&self) -> usize {
        self.max * BUFFER_SIZE
    }

    /// Bytes that are taken now: by buffers in use, and by those that are kept for reuse.
    pub fn taken_bytes(&self) -> usize {
        let state = self.state();
        state.reservations.reserved() + state.idle.bytes()
    }

    /// Sets how many bytes may be taken from now on, [`BufferPool::max_bytes`] at most and at least enough for a few of the
    /// longest responses. What is in use already stays so.
    pub fn set_limit(&self, bytes: usize) {
        let mut state = self.state();
        let least = (MIN_FULL_BUFFERS * BUFFER_SIZE).min(self.max_bytes());
        state
            .reservations
            .set_limit(bytes.clamp(least, self.max_bytes()));
        state.evict_for(0);
        drop(state);
        self.freed.notify_all();
    }

    /// Returns the memory of buffers that the load has not needed for a while to the system; called at intervals.
    pub fn release_unused(&self, now: Instant) {
        self.state().idle.release_unused(now);
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Exchanges a mapping for one that is kept for reuse and has `bytes` already, if there is one and nobody waits. The first
    /// `kept` bytes are copied.
    fn exchange(&self, mapping: &mut Mapping, kept: usize, bytes: usize) -> bool {
        let mut state = self.state();
        if state.reservations.has_waiting() {
            return false;
        }
        let Some(mut fitting) = state.idle.take_fitting(bytes) else {
            return false;
        };
        fitting.bytes[..kept].copy_from_slice(&mapping.bytes[..kept]);
        state.reservations.add(fitting.touched);
        state.reservations.remove(mapping.touched);
        state
            .idle
            .put(std::mem::replace(mapping, fitting), Instant::now());
        true
    }

    /// Waits until `bytes` more may be reserved; false if they may not until `deadline`, or `is_cancelled` says so.
    fn reserve(&self, bytes: usize, deadline: Instant, is_cancelled: &dyn Fn() -> bool) -> bool {
        let mut state = self.state();
        let ticket = state.reservations.enqueue();
        let reserved = loop {
            if state.reservations.is_first(ticket) && state.evict_for(bytes) {
                state.reservations.add(bytes);
                break true;
            }
            let now = Instant::now();
            if now >= deadline || is_cancelled() {
                break false;
            }
            let wait = CANCEL_CHECK_INTERVAL.min(deadline - now);
            state = self
                .freed
                .wait_timeout(state, wait)
                .unwrap_or_else(PoisonError::into_inner)
                .0;
        };
        let others_wait = state.reservations.dequeue(ticket);
        drop(state);
        if others_wait {
            self.freed.notify_all();
        }
        reserved
    }
}

impl State {
    /// One that is kept for reuse, or a new one; it counts with `bytes` at least.
    fn take_mapping(&mut self, bytes: usize) -> Option<Mapping> {
        if let Some(mapping) = self.idle.take_fitting(bytes) {
            return Some(mapping);
        }
        Mapping::new(BUFFER_SIZE, bytes).ok()
    }

    /// Whether a body may take `bytes` more. Buffers that are kept for reuse make room.
    fn make_room_for_body(&mut self, bytes: usize) -> bool {
        let reservations = &self.reservations;
        reservations.has_slot_for_body()
            || reservations.may_add_body(bytes) && self.evict_for(bytes)
    }

    /// Whether `bytes` more fit within the limit. Buffers that are kept for reuse make room.
    fn evict_for(&mut self, bytes: usize) -> bool {
        let State {
            reservations, idle, ..
        } = self;
        idle.evict_until(|kept| reservations.fits(kept + bytes))
    }
}

/// A buffer in use; returns to its pool on drop.
pub struct Buffer {
    /// `None` only while the buffer is dropped.
    mapping: Option<Mapping>,
    purpose: Purpose,
    pool: Arc<BufferPool>,
}

impl Buffer {
    /// Reserves memory for the first `bytes` of the buffer, of which the first `kept` have been written and stay; waits for it until
    /// `deadline` where it is short. Returns false if there is none by then, or `is_cancelled` says that it is not wanted any more.
    pub fn reserve(
        &mut self,
        kept: usize,
        bytes: usize,
        deadline: Instant,
        is_cancelled: &dyn Fn() -> bool,
    ) -> bool {
        let Some(mapping) = &mut self.mapping else {
            return false;
        };
        let bytes = whole_pages(bytes).min(mapping.bytes.len());
        let more = bytes.saturating_sub(mapping.touched);
        if more == 0 || self.pool.exchange(mapping, kept, bytes) {
            return true;
        }
        let reserved = self.pool.reserve(more, deadline, is_cancelled);
        if reserved {
            mapping.touched += more;
        }
        reserved
    }
}

impl Deref for Buffer {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        self.mapping
            .as_ref()
            .map_or(&[], |mapping| &mapping.bytes[..])
    }
}

impl DerefMut for Buffer {
    fn deref_mut(&mut self) -> &mut [u8] {
        self.mapping
            .as_mut()
            .map_or(&mut [], |mapping| &mut mapping.bytes[..])
    }
}

impl Drop for Buffer {
    fn drop(&mut self) {
        let Some(mapping) = self.mapping.take() else {
            return;
        };
        let mut state = self.pool.state();
        match self.purpose {
            Purpose::Response => {
                state.responses -= 1;
                state.reservations.remove(mapping.touched);
            }
            Purpose::RequestBody => state.reservations.remove_body(mapping.touched),
        }
        state.idle.put(mapping, Instant::now());
        // A process that is over its limit keeps none.
        state.evict_for(0);
        drop(state);
        self.pool.freed.notify_all();
    }
}

#[cfg(test)]
mod tests;
