//! The module's clock: microseconds that only go forward. Unix stamps become its times here and nowhere else.

use foldmux::interface::Time;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[derive(Clone, Debug)]
pub struct Clock {
    started: Instant,
    /// The module's time at `started`; the Unix time then, so that stamps before the start have room.
    origin: Time,
}

impl Default for Clock {
    fn default() -> Clock {
        Clock {
            started: Instant::now(),
            origin: unix_us().max(1),
        }
    }
}

impl Clock {
    pub fn now(&self) -> Time {
        self.at(Instant::now())
    }

    pub fn at(&self, instant: Instant) -> Time {
        self.origin + instant.saturating_duration_since(self.started).as_micros() as Time
    }

    /// The module's time of a Unix stamp; 0 stays 0, which means long ago.
    pub fn of_unix_ms(&self, stamp: u64) -> Time {
        if stamp == 0 {
            return 0;
        }
        place(self.now(), unix_us(), stamp.saturating_mul(1000))
    }
}

/// Goes by how long ago the stamp is on the system's clock as it stands: a clock that is set forth or back
/// moves no time that was handed out. A stamp of the future counts as now, and nothing here can panic.
fn place(now: Time, unix: u64, stamp: u64) -> Time {
    now.saturating_sub(unix.saturating_sub(stamp)).max(1)
}

/// A clock before 1970 counts as 1970.
fn unix_us() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .map_or(0, |d| d.as_micros() as u64)
}

/// A span of the module's as the standard library's.
pub fn span(time: Time) -> Duration {
    Duration::from_micros(time)
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn stamps_land_on_the_forward_clock_also_when_the_system_clock_steps() {
        assert_eq!(place(5_000_000, 100_000_000, 99_000_000), 4_000_000);
        // The system's clock was set back: the stamp lies in its future.
        assert_eq!(place(5_000_000, 90_000_000, 99_000_000), 5_000_000);
        // Far more ago than the clock knows: the earliest time, which is not "long ago".
        assert_eq!(place(5_000_000, 100_000_000, 1), 1);
        let clock = Clock::default();
        assert_eq!(clock.of_unix_ms(0), 0);
        assert!(clock.of_unix_ms(u64::MAX) <= clock.now());
        assert!(clock.at(clock.started - Duration::from_secs(1)) >= clock.origin);
    }
}
