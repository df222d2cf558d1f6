//! Buffers of one size from one bounded pool. A lease gives its buffer back when it is dropped, and nowhere
//! else; the pool makes buffers as they are first wanted, and pages that no answer reached cost no memory.

use std::ops::{Deref, DerefMut};
use std::sync::{Arc, Mutex, PoisonError};

/// The longest object (240,000 bytes), its head and the fields behind it.
pub const SIZE: usize = 256 * 1024;

pub struct Buffers {
    state: Mutex<State>,
    most: usize,
}

#[derive(Default)]
struct State {
    free: Vec<Box<[u8]>>,
    made: usize,
    bodies: usize,
}

impl Buffers {
    pub fn new(most: usize) -> Arc<Buffers> {
        Arc::new(Buffers {
            state: Mutex::default(),
            most,
        })
    }

    /// A buffer, or none where all are out: the caller sheds.
    pub fn lease(self: &Arc<Self>) -> Option<Lease> {
        self.take(false)
    }

    /// One for the body of a request. Guards against bodies that never come whole keeping all from answers: they
    /// have a quarter.
    pub fn lease_for_body(self: &Arc<Self>) -> Option<Lease> {
        self.take(true)
    }

    fn take(self: &Arc<Self>, body: bool) -> Option<Lease> {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if body && state.bodies >= (self.most / 4).max(1) {
            return None;
        }
        let bytes = match state.free.pop() {
            Some(bytes) => bytes,
            None if state.made < self.most => {
                state.made += 1;
                vec![0; SIZE].into_boxed_slice()
            }
            None => return None,
        };
        state.bodies += body as usize;
        Some(Lease {
            bytes,
            body,
            pool: self.clone(),
        })
    }

    pub fn out(&self) -> usize {
        let state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.made - state.free.len()
    }
}

pub struct Lease {
    bytes: Box<[u8]>,
    body: bool,
    pool: Arc<Buffers>,
}

impl Deref for Lease {
    type Target = [u8];
    fn deref(&self) -> &[u8] {
        &self.bytes
    }
}

impl DerefMut for Lease {
    fn deref_mut(&mut self) -> &mut [u8] {
        &mut self.bytes
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut state = self
            .pool
            .state
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        state.free.push(std::mem::take(&mut self.bytes));
        state.bodies -= self.body as usize;
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_pool_is_bounded_and_uses_its_buffers_again() {
        let pool = Buffers::new(2);
        let (mut first, second) = (pool.lease().unwrap(), pool.lease().unwrap());
        first[0] = 7;
        assert!(pool.lease().is_none());
        drop(first);
        assert_eq!(pool.lease().unwrap()[0], 7);
        drop(second);
        assert_eq!(pool.out(), 0);
        // Bodies leave the others to answers.
        let body = pool.lease_for_body().unwrap();
        assert!(pool.lease_for_body().is_none() && pool.lease().is_some());
        drop(body);
        assert!(pool.lease_for_body().is_some());
    }
}
