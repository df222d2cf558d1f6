//! A bound on log lines about single requests or connections: a token bucket. What it withholds is counted, so that the
//! log says how much it left out.

use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines that may be written at once after a quiet time. A storm of failures fills a log within seconds; its first lines
/// tell what it is.
const BURST: u32 = 60;
/// One more line is allowed each so often: 20 a second.
const REFILL: Duration = Duration::from_millis(50);

/// Says which lines are written.
pub struct Throttle {
    state: Mutex<State>,
}

struct State {
    tokens: u32,
    /// Up to when tokens have been given.
    filled: Instant,
    withheld: u64,
}

impl Throttle {
    /// A full bucket, at this moment.
    pub fn new(now: Instant) -> Throttle {
        Throttle {
            state: Mutex::new(State {
                tokens: BURST,
                filled: now,
                withheld: 0,
            }),
        }
    }

    /// Whether a line is written now; else it is counted as withheld.
    pub fn admits(&self, now: Instant) -> bool {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.refill(now);
        match state.tokens.checked_sub(1) {
            Some(left) => state.tokens = left,
            None => {
                state.withheld += 1;
                return false;
            }
        }
        true
    }

    /// How many lines were withheld since this was asked last.
    pub fn take_withheld(&self) -> u64 {
        std::mem::take(
            &mut self
                .state
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .withheld,
        )
    }
}

impl State {
    fn refill(&mut self, now: Instant) {
        let since = now.saturating_duration_since(self.filled);
        let due = (since.as_nanos() / REFILL.as_nanos()) as u32;
        if self.tokens.saturating_add(due) >= BURST {
            (self.tokens, self.filled) = (BURST, now);
        } else {
            self.tokens += due;
            self.filled += REFILL * due;
        }
    }
}

#[cfg(test)]
#[path = "throttle_tests.rs"]
mod tests;
