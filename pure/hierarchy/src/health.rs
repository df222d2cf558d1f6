//! Outlier detection of sources: which are left out for a while after failures in a row. What speaks of the source
//! (silence, a reset, an error) counts; what speaks of load, of a loop or of an identity does not.

use crate::TimestampUs;

/// The first ejection (us); each further failure in a row doubles it.
const BASE_EJECTION_US: u64 = 250_000;
/// The longest ejection (us).
const MAX_EJECTION_US: u64 = 4_000_000;
/// Bounds the shift; [`MAX_EJECTION_US`] is reached earlier.
const MAX_DOUBLINGS: u32 = 8;
/// Failures in a row that are tolerated on a connection that came up: a single reset is no sign of a fault.
const TOLERATED_FAILURES: u32 = 1;

/// How an attempt at a source ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// It served.
    Served,
    /// No connection came up: it is ejected at once.
    Unreached,
    /// It broke off, returned an error, or timed out.
    Failed,
    /// It rejected the fill unprocessed, or found a loop: no fault of its own.
    Rejected,
}

/// The health of one source.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    failures_in_row: u32,
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
        self.failures_in_row = self.failures_in_row.saturating_add(1);
        if self.failures_in_row <= tolerated {
            return;
        }
        let doublings = (self.failures_in_row - tolerated - 1).min(MAX_DOUBLINGS);
        let ejection_us = (BASE_EJECTION_US << doublings).min(MAX_EJECTION_US);
        self.ejected_until = self.ejected_until.max(now.saturating_add(ejection_us));
    }

    /// Whether it may be asked. After an ejection it is asked again, and one more failure ejects it for longer.
    pub fn is_healthy(&self, now: TimestampUs) -> bool {
        now >= self.ejected_until
    }
}

#[cfg(test)]
mod tests;
