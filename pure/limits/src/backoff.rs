//! Exponential backoff with jitter: how long to pause before a retry.
//!
//! Retries that follow at once meet the same overload that failed the attempt before; jitter keeps clients that failed
//! together from retrying together.

use std::time::Duration;

/// Number of increases after which a pause grows no further, so that the power stays finite.
const MAX_INCREASES: u64 = 32;

/// A policy of exponential backoff.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Backoff {
    /// Pause before the first retry (ms); 0 means no pause before any retry.
    pub base_ms: u64,
    /// Ratio of each further pause to the one before.
    pub factor: f64,
    /// Longest pause (ms); a value below the base counts as the base.
    pub max_ms: u64,
    /// Highest percentage by which a pause is shortened at random.
    pub jitter_percent: f64,
}

impl Backoff {
    /// Returns the pause before an attempt, in whole milliseconds. Attempts are counted from 0, and the first has no pause;
    /// `draw` is a random number from 0 to 1.
    pub fn pause(&self, attempt: u64, draw: f64) -> Duration {
        Duration::from_millis(self.pause_ms(attempt, draw))
    }

    fn pause_ms(&self, attempt: u64, draw: f64) -> u64 {
        if attempt == 0 || self.base_ms == 0 {
            return 0;
        }
        let exponent = (attempt - 1).min(MAX_INCREASES) as i32;
        let unbounded = self.base_ms as f64 * self.factor.powi(exponent);
        let longest = unbounded.min(self.max_ms.max(self.base_ms) as f64);
        let jitter = self.jitter_percent / 100.0 * draw.clamp(0.0, 1.0);
        (longest * (1.0 - jitter)) as u64
    }

    /// Returns the sum of the pauses of a request with this number of attempts (ms), each with the same draw.
    pub(crate) fn total_ms(&self, attempts: u64, draw: f64) -> u64 {
        (1..attempts)
            .map(|attempt| self.pause_ms(attempt, draw))
            .sum()
    }

    /// Returns the shortest and the longest pause before an attempt (ms).
    pub(crate) fn range_ms(&self, attempt: u64) -> (u64, u64) {
        (self.pause_ms(attempt, 1.0), self.pause_ms(attempt, 0.0))
    }
}

#[cfg(test)]
mod tests;
