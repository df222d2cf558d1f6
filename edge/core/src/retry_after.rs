//! How long a rejected client is told to wait before it retries (Retry-After).
//!
//! This module computes the wait of the core's own rejections. The router states its own wait with each rejection, and limits
//! by class cap both ([`RequestLimits::cap_retry_after`](crate::limits::RequestLimits::cap_retry_after)).

use foldmux::interface::{Settings, Time};
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

/// Longest wait that the core states by itself. A full resource has free capacity again after the time of a few requests.
pub const MAX_RETRY_AFTER: Duration = Duration::from_millis(300);
/// The wait is at most the shortest deadline divided by this, so that the client has time left for the retry.
const DEADLINE_DIVISOR: Time = 10;

/// Rejected for now. A retry is harmless: no attempt was executed, or the class may be repeated at any server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejected {
    /// How long the client should wait before it retries.
    pub retry_after: Duration,
}

impl fmt::Display for Rejected {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        write!(out, "rejected, retry after {:?}", self.retry_after)
    }
}

impl std::error::Error for Rejected {}

/// Returns the wait of the core's own rejections under these settings; zero if the settings allow no Retry-After.
pub fn own_retry_after(settings: &Settings) -> Duration {
    let shortest_deadline = settings
        .classes
        .iter()
        .map(|class| class.deadline)
        .min()
        .unwrap_or(0);
    let Some(max_retry_after) = settings.max_retry_after else {
        return Duration::ZERO;
    };
    Duration::from_micros(shortest_deadline / DEADLINE_DIVISOR)
        .min(MAX_RETRY_AFTER)
        .min(Duration::from_micros(max_retry_after))
}

/// The current wait, which a reload replaces.
pub(crate) struct RetryAfter(AtomicU64);

impl RetryAfter {
    pub(crate) fn new(wait: Duration) -> RetryAfter {
        RetryAfter(AtomicU64::new(wait.as_micros() as u64))
    }

    pub(crate) fn get(&self) -> Duration {
        Duration::from_micros(self.0.load(Ordering::Relaxed))
    }

    pub(crate) fn set(&self, wait: Duration) {
        self.0.store(wait.as_micros() as u64, Ordering::Relaxed);
    }
}
