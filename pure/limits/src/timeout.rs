//! The timeout of one attempt.
//!
//! An attempt without a timeout of its own can use up the whole deadline, so that no time is left for a retry elsewhere.

use std::time::Duration;

/// The timeout of one attempt; `None` if only the request's deadline ends it.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptTimeout(Option<Duration>);

impl AttemptTimeout {
    /// Creates a timeout from a limit in milliseconds; 0 means until the deadline.
    pub fn from_millis(timeout_ms: u64) -> AttemptTimeout {
        AttemptTimeout((timeout_ms > 0).then(|| Duration::from_millis(timeout_ms)))
    }

    /// Returns the shorter of this and the timeout that the router requests.
    pub fn within(self, requested: Option<Duration>) -> Option<Duration> {
        match (self.0, requested) {
            (Some(own), Some(requested)) => Some(own.min(requested)),
            (own, requested) => own.or(requested),
        }
    }

    /// As [`AttemptTimeout::within`], in microseconds, where 0 means no timeout.
    pub fn within_us(self, requested_us: u64) -> u64 {
        let requested = (requested_us > 0).then(|| Duration::from_micros(requested_us));
        let timeout = self.within(requested);
        timeout.map_or(0, |timeout| timeout.as_micros() as u64)
    }
}
