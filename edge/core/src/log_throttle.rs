//! A token bucket that limits the rate of log lines about single requests or connections. It counts the lines that it
//! withholds, so that the log can state how many were left out.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Lines that may be written at once after a quiet period: the first lines of a burst of failures show what it is about.
const BURST: u32 = 60;
/// Interval in which one more line is admitted.
const REFILL_INTERVAL: Duration = Duration::from_millis(50);

/// Decides which lines are written.
pub struct LogThrottle {
    state: Mutex<State>,
}

struct State {
    tokens: u32,
    /// The time up to which tokens have been added.
    refilled_at: Instant,
    withheld: u64,
}

impl LogThrottle {
    /// Creates a throttle with a full bucket at `now`.
    pub fn new(now: Instant) -> LogThrottle {
        LogThrottle {
            state: Mutex::new(State {
                tokens: BURST,
                refilled_at: now,
                withheld: 0,
            }),
        }
    }

    /// Whether a line may be written now; if not, counts it as withheld.
    pub fn admits(&self, now: Instant) -> bool {
        let mut state = self.state();
        state.refill(now);
        let Some(left) = state.tokens.checked_sub(1) else {
            state.withheld += 1;
            return false;
        };
        state.tokens = left;
        true
    }

    /// Returns the number of lines withheld since the last call.
    pub fn take_withheld(&self) -> u64 {
        std::mem::take(&mut self.state().withheld)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn refill(&mut self, now: Instant) {
        let elapsed = now.saturating_duration_since(self.refilled_at);
        let due = (elapsed.as_nanos() / REFILL_INTERVAL.as_nanos()) as u32;
        if self.tokens.saturating_add(due) >= BURST {
            (self.tokens, self.refilled_at) = (BURST, now);
        } else {
            self.tokens += due;
            self.refilled_at += REFILL_INTERVAL * due;
        }
    }
}

#[cfg(test)]
mod tests;
