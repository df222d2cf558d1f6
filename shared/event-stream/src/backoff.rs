//! Delays between retries, and durations of polls. No clock and no I/O; the caller waits.
//!
//! Guards against synchronised retries: a failure that breaks one proxy's connection breaks those of all at
//! the same moment, and proxies with equal delays would return in one wave. Each draws its delays from its
//! own seed.

use foldmux_stats::SeededRng;
use std::time::Duration;

/// The range of the first delay.
const INITIAL_DELAY: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(150));
/// The longest delay. Three of them fit well into the time after which news counts as delivered.
pub const MAX_DELAY: Duration = Duration::from_millis(500);
/// The least fraction of the longest wait that a poll asks for.
const MIN_POLL_FRACTION: f64 = 0.8;

/// Random delays, drawn evenly from a range that doubles with each failure up to a bound.
pub struct Backoff {
    rng: SeededRng,
    max_delay: Duration,
}

impl Backoff {
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            rng: SeededRng::new(seed),
            max_delay: INITIAL_DELAY.1,
        }
    }

    /// Resets the range after a success.
    pub fn reset(&mut self) {
        self.max_delay = INITIAL_DELAY.1;
    }

    /// The delay after one more failure.
    pub fn next_delay(&mut self) -> Duration {
        let max_delay = self.max_delay;
        self.max_delay = (max_delay * 2).min(MAX_DELAY);
        INITIAL_DELAY.0 + (max_delay - INITIAL_DELAY.0).mul_f64(self.random_fraction())
    }

    /// How long a poll asks to be held, at most `max_wait`, in whole milliseconds. An event answers the polls
    /// of a whole fleet at one moment; polls of equal length would end at the same moment from then on.
    pub fn poll_wait(&mut self, max_wait: Duration) -> Duration {
        let fraction = MIN_POLL_FRACTION + (1.0 - MIN_POLL_FRACTION) * self.random_fraction();
        Duration::from_millis(max_wait.mul_f64(fraction).as_millis() as u64)
    }

    fn random_fraction(&mut self) -> f64 {
        (self.rng.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
