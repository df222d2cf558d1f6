//! The router's clock: microseconds that only go forward. Unix timestamps become router times here and nowhere else.

use foldmux::interface::Time;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

const MICROS_PER_MILLI: u64 = 1_000;

/// The router's clock.
#[derive(Clone, Debug)]
pub struct Clock {
    started_at: Instant,
    /// Router time at `started_at`: the Unix time then, so that earlier timestamps have router times, too.
    origin: Time,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock {
            started_at: Instant::now(),
            origin: unix_us().max(1),
        }
    }
}

impl Clock {
    /// The router time now (µs).
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    /// The router time at `instant` (µs); that of the clock's start for any earlier one.
    pub fn at(&self, instant: Instant) -> Time {
        let since_start = instant.saturating_duration_since(self.started_at);
        self.origin + since_start.as_micros() as Time
    }

    /// The router time (µs) of a Unix timestamp in milliseconds; 0 stays 0, which stands for long ago.
    pub fn from_unix_ms(&self, timestamp_ms: u64) -> Time {
        if timestamp_ms == 0 {
            return 0;
        }
        let timestamp = timestamp_ms.saturating_mul(MICROS_PER_MILLI);
        time_of(self.now(), unix_us(), timestamp)
    }
}

/// The router time of a Unix timestamp (all in µs), by how long ago it is on the system's clock as that stands now: a step
/// of that clock moves no router time. A timestamp of the future counts as now; the earliest result is 1.
fn time_of(now: Time, unix_now: u64, timestamp: u64) -> Time {
    let age = unix_now.saturating_sub(timestamp);
    now.saturating_sub(age).max(1)
}

/// The Unix time (µs); a system clock before 1970 counts as 1970.
fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |since| since.as_micros() as u64)
}

#[cfg(test)]
mod tests;
