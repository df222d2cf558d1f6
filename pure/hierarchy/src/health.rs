//! Outlier detection of sources: a source is ejected for a while after consecutive failures. Timeouts, resets and
//! errors count as failures. Rejections ([`AttemptOutcome::Rejected`]), for example because of load or a loop, do not,
//! as they are no fault of the source.

use crate::TimestampUs;

/// Duration of the first ejection (us); each further consecutive failure doubles it.
const BASE_EJECTION_US: u64 = 250_000;
/// Maximum duration of an ejection (us).
const MAX_EJECTION_US: u64 = 4_000_000;
/// Maximum number of doublings, which keeps the shift from overflowing. It never shortens an ejection, because
/// [`MAX_EJECTION_US`] is reached after fewer.
const MAX_DOUBLINGS: u32 = 8;
/// A failure after a connection was established ([`AttemptOutcome::Failed`]) doesn't eject the source while its
/// consecutive failures, of any kind, are at most this many: a single reset is no sign of a fault.
const TOLERATED_FAILURES: u32 = 1;

/// How an attempt at a source ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The source served the request.
    Served,
    /// No connection was established. The source is ejected at once.
    Unreached,
    /// The source closed the connection early, returned an error, or timed out.
    Failed,
    /// The source rejected the fill unprocessed, or found a loop. This does not affect its health.
    Rejected,
}

/// The health of one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    consecutive_failures: u32,
    ejected_until: TimestampUs,
}

impl Health {
    /// Records the outcome of an attempt.
    pub fn record(&mut self, now: TimestampUs, outcome: AttemptOutcome) {
        match outcome {
            AttemptOutcome::Served => *self = Health::default(),
            AttemptOutcome::Rejected => {}
            AttemptOutcome::Unreached => self.record_failure(now, 0),
            AttemptOutcome::Failed => self.record_failure(now, TOLERATED_FAILURES),
        }
    }

    fn record_failure(&mut self, now: TimestampUs, tolerated: u32) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        if self.consecutive_failures <= tolerated {
            return;
        }
        let doublings = (self.consecutive_failures - tolerated - 1).min(MAX_DOUBLINGS);
        let ejection_us = (BASE_EJECTION_US << doublings).min(MAX_EJECTION_US);
        self.ejected_until = self.ejected_until.max(now.saturating_add(ejection_us));
    }

    /// Whether the source is not ejected. After an ejection it is asked again, and one more failure ejects it for
    /// longer.
    pub fn is_healthy(&self, now: TimestampUs) -> bool {
        now >= self.ejected_until
    }
}

#[cfg(test)]
mod tests;
