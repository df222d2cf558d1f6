//! The router's clock: monotonic, in microseconds. Unix timestamps are converted to router times only here.

use foldmux::interface::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MICROS_PER_MILLI: u64 = 1_000;

/// The router's clock.
#[derive(Clone, Debug)]
pub struct Clock {
    started_at: Instant,
    /// Router time at `started_at`: the Unix time then, so that earlier timestamps have router times as well.
    start_time: Time,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock {
            started_at: Instant::now(),
            start_time: unix_us().max(1),
        }
    }
}

impl Clock {
    /// Returns the current router time (µs).
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// Returns the router time at `instant` (µs); an instant before the clock's start counts as its start.
    pub fn at(&self, instant: Instant) -> Time {
        let since_start = instant.saturating_duration_since(self.started_at);
        self.start_time + since_start.as_micros() as Time
    }

    /// Converts a Unix timestamp (ms) to a router time (µs). 0, which means long ago, stays 0.
    pub fn from_unix_ms(&self, timestamp_ms: u64) -> Time {
        if timestamp_ms == 0 {
            return 0;
        }
        let timestamp = timestamp_ms.saturating_mul(MICROS_PER_MILLI);
        router_time(self.now(), unix_us(), timestamp)
    }
}

/// Converts a Unix timestamp to a router time (all in µs) by its age on the system clock. Only the age is used, so that a step
/// of the system clock doesn't move the router time. A future timestamp counts as now; the result is at least 1.
fn router_time(now: Time, unix_now: u64, timestamp: u64) -> Time {
    let age = unix_now.saturating_sub(timestamp);
    now.saturating_sub(age).max(1)
}

/// Returns the Unix time (µs); a system clock before 1970 counts as 1970.
fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

#[cfg(test)]
mod tests;
