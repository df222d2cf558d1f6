//! What all streams of this front share, and what is counted.

use crate::answers::{Final, Ran};
use crate::keyed::{unix_ms, Keeper, No};
use crate::mapping::Map;
use crate::parked::Parked;
use crate::pb::ProcessingResponse;
use foldmux::interface::{RetrySafety, Time};
use foldmux_core::metrics::Completion;
use foldmux_core::reason::Reason;
use foldmux_core::Core;
use foldmux_idempotency::table::{Denied, RetryPolicy};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// A class as it is served here.
#[derive(Clone, Debug)]
pub struct Class {
    pub name: Arc<str>,
    /// Its place among the module's classes, held as long as this front is.
    pub place: Arc<usize>,
    pub repeat: RetrySafety,
    /// For keyed classes: how long the archive drops a repeat (us).
    pub window: Time,
    /// The longest that a client waits for one (us).
    pub longest: Time,
}

/// What was counted, for the log.
#[derive(Debug, Default)]
pub struct Counts {
    pub placed: AtomicU64,
    pub refused: AtomicU64,
    pub given_up: AtomicU64,
    pub unusable: AtomicU64,
    pub unmatched: AtomicU64,
    pub again: AtomicU64,
    pub faults: AtomicU64,
    pub observed: AtomicU64,
}

pub struct Front {
    pub core: Arc<Core>,
    pub classes: Vec<Class>,
    pub map: Map,
    pub keeper: Arc<Keeper>,
    pub parked: Parked,
    /// This proxy in `Proxy-Status`.
    pub name: String,
    /// How long a decision may take; when the caller is asked for longer; how long a placement may be sent; how long a
    /// stream may be silent.
    pub patience: Duration,
    pub slow_after: Duration,
    pub good_for: Duration,
    pub idle: Duration,
    pub again: bool,
    pub strict: bool,
    /// How long after its last attempt a key's repeat may come (ms).
    pub remember: u64,
    pub attempts: u32,
    /// Streams at once; those beyond are answered 429, and those beyond twice as many not at all.
    pub streams: usize,
    pub open: AtomicUsize,
    /// What makes this process's ids unlike another's.
    pub salt: u64,
    pub serial: AtomicU64,
    pub counts: Counts,
}

/// One of the streams that are open.
pub(crate) struct Open(Arc<Front>, pub(crate) usize);

impl Open {
    pub(crate) fn take(front: &Arc<Front>) -> Open {
        let before = front.open.fetch_add(1, Ordering::SeqCst);
        Open(front.clone(), before)
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.0.open.fetch_sub(1, Ordering::SeqCst);
    }
}

impl Front {
    pub(crate) fn count(&self, count: &AtomicU64) {
        count.fetch_add(1, Ordering::Relaxed);
    }

    pub(crate) fn finally(&self, last: &Final) -> ProcessingResponse {
        let (count, end) = match last.status {
            400 => (&self.counts.unusable, Completion::Malformed),
            404 => (&self.counts.unmatched, Completion::Malformed),
            504 => (&self.counts.given_up, Completion::Failed(Reason::Processor)),
            _ => (
                &self.counts.refused,
                Completion::Rejected(Reason::Processor),
            ),
        };
        self.count(count);
        self.core.metrics.record_completion(None, end);
        last.answer(&self.name)
    }

    pub(crate) fn no(&self, no: No, ran: Ran) -> Final {
        let wait = match &no {
            No::Ledger(Denied::InFlight { until }) => {
                Duration::from_micros(until.saturating_sub(unix_ms()).saturating_mul(1_000).max(1))
            }
            _ => self.core.retry_after(),
        };
        let why = no.to_string();
        match no {
            No::Token(_) | No::Ledger(Denied::KeyMismatch) => Final::unusable(&why, Ran::Maybe),
            No::Ledger(
                Denied::WindowExpired
                | Denied::Unreadable
                | Denied::AttemptsExhausted
                | Denied::ConflictingGroups
                | Denied::Superseded,
            ) => Final::given_up(&why, Ran::Maybe),
            No::Ledger(Denied::InFlight { .. }) => Final::refused(&why, Ran::Maybe, wait),
            No::Ledger(Denied::Pending | Denied::TableFull) | No::Store(_) | No::NotLoaded => {
                Final::refused(&why, ran, wait)
            }
        }
    }

    pub(crate) fn rule(&self, class: &Class) -> RetryPolicy {
        RetryPolicy {
            idempotency_window: class.window / 1_000,
            max_attempts: self.attempts.min(u8::MAX as u32) as u8,
            send_window: self.good_for.as_millis() as u64,
            max_run_time: class.longest.div_ceil(1_000),
            retention: self.remember,
        }
    }
}

/// A span of the module's from one of the operator's.
pub fn us(ms: u64) -> Duration {
    Duration::from_micros(ms.saturating_mul(1_000))
}
