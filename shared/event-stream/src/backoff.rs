//! How long to wait before asking again. Pure: no clock, no I/O; the caller waits.
//!
//! Guards against a fleet in step: whatever breaks one proxy's connection breaks all of them at the same moment, and
//! proxies that wait the same time come back as one wave. Each draws its waits from its own seed.

use foldmux_stats::SeededRng;
use std::time::Duration;

/// The range of the first wait.
const FIRST: (Duration, Duration) = (Duration::from_millis(10), Duration::from_millis(150));
/// The longest wait: three of them fit well into the time after which news counts as told.
pub const LONGEST: Duration = Duration::from_millis(500);
/// The least part of the longest wait that a poll asks for.
const HOLD: f64 = 0.8;

/// Waits that are drawn evenly from a range which doubles with each failure, up to a bound.
pub struct Backoff {
    draws: SeededRng,
    most: Duration,
}

impl Backoff {
    pub fn new(seed: u64) -> Backoff {
        Backoff {
            draws: SeededRng::new(seed),
            most: FIRST.1,
        }
    }

    /// It went well: the next failure is the first again.
    pub fn well(&mut self) {
        self.most = FIRST.1;
    }

    /// The wait after one more failure.
    pub fn failed(&mut self) -> Duration {
        let most = self.most;
        self.most = (most * 2).min(LONGEST);
        FIRST.0 + (most - FIRST.0).mul_f64(self.part())
    }

    /// How long a poll asks to be held, of `most`: an event answers the polls of a whole fleet at one moment, and polls
    /// of one length would end in step from then on. Whole milliseconds.
    pub fn hold(&mut self, most: Duration) -> Duration {
        let part = HOLD + (1.0 - HOLD) * self.part();
        Duration::from_millis(most.mul_f64(part).as_millis() as u64)
    }

    fn part(&mut self) -> f64 {
        (self.draws.next_u64() >> 11) as f64 / (1u64 << 53) as f64
    }
}

#[cfg(test)]
mod tests;
