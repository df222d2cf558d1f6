//! Ways that the module chose for a caller's next attempt, kept until the caller comes for them with its token, or for
//! so long as they are good. Bounded; whatever is dropped here ends as one that was never sent.

use crate::attempt::Attempt;
use foldmux_idempotency::token::KeyHash;
use std::collections::HashMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

pub struct Parked {
    most: usize,
    held: Mutex<HashMap<(KeyHash, u8), (Instant, Attempt)>>,
}

impl Parked {
    pub fn new(most: usize) -> Parked {
        Parked {
            most,
            held: Mutex::default(),
        }
    }

    fn held(&self) -> MutexGuard<'_, HashMap<(KeyHash, u8), (Instant, Attempt)>> {
        self.held.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Keeps one for the repeat of this attempt; given back where there is no room.
    pub fn keep(&self, request: KeyHash, attempt: u8, way: Attempt) -> Option<Attempt> {
        let mut held = self.held();
        if held.len() >= self.most {
            return Some(way);
        }
        held.insert((request, attempt), (Instant::now(), way))
            .map(|(_, former)| former)
    }

    pub fn take(&self, request: KeyHash, attempt: u8) -> Option<Attempt> {
        self.held().remove(&(request, attempt)).map(|(_, way)| way)
    }

    /// Lets go of those that nobody came for.
    pub fn sweep(&self, good_for: Duration) {
        let now = Instant::now();
        let mut held = self.held();
        let over: Vec<_> = held
            .iter()
            .filter(|(_, (since, _))| now - *since >= good_for)
            .map(|(k, _)| *k)
            .collect();
        let over: Vec<_> = over
            .into_iter()
            .filter_map(|key| held.remove(&key))
            .collect();
        drop(held);
        // Their ends are told to the desk without the lock.
        drop(over);
    }

    pub fn len(&self) -> usize {
        self.held().len()
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}
