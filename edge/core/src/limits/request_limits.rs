//! The limits of one request, and its place among them.

use super::shared::{QueueEnd, Shared};
use foldmux::interface::{Fetch, KeyScope, RetrySafety, Time};
use foldmux_limits::admission::LimitKey;
use foldmux_limits::effective::{Field, MAX_RETENTION_RANK};
use foldmux_limits::resolve::ResolvedLimits;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The limits of one request and its place among them, from its admission until it is dropped.
pub struct RequestLimits {
    shared: Arc<Shared>,
    key: LimitKey,
    resolved: Arc<ResolvedLimits>,
    id: u64,
    /// Whether it has a place; else it is queued, or was granted one and has not taken it yet.
    is_open: bool,
    /// Attempts permitted so far.
    attempts: u64,
    /// When the first attempt that may have executed was sent.
    first_sent_at: Option<Instant>,
}

/// Whether an attempt that the router decided may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPermission {
    /// At once.
    Now,
    /// After this backoff.
    After(Duration),
    /// No.
    Denied,
}

/// The longest Retry-After that a client is told under these limits.
pub(super) fn max_retry_after(resolved: &ResolvedLimits) -> Duration {
    Duration::from_micros(resolved.values.max_retry_after_ms.saturating_mul(1_000))
}

impl RequestLimits {
    pub(super) fn new(
        shared: &Arc<Shared>,
        key: LimitKey,
        resolved: Arc<ResolvedLimits>,
        id: u64,
        is_open: bool,
    ) -> RequestLimits {
        RequestLimits {
            shared: shared.clone(),
            key,
            resolved,
            id,
            is_open,
            attempts: 0,
            first_sent_at: None,
        }
    }

    /// The queued request takes the place that it was granted.
    pub fn take_grant(&mut self) {
        self.shared.state().granted.remove(&self.id);
        self.is_open = true;
    }

    /// When a request that arrived then must have its response.
    pub fn deadline(&self, arrived_at: Instant) -> Instant {
        arrived_at + Duration::from_millis(self.resolved.values.deadline_ms)
    }

    /// Whether the next attempt may be made, and after which backoff.
    pub fn permit_attempt(&mut self) -> AttemptPermission {
        let values = &self.resolved.values;
        let mut state = self.shared.state();
        let draw = fastrand::f64();
        let backoff = state
            .admission
            .start_attempt(&self.key, values, self.attempts, draw);
        drop(state);
        self.attempts += backoff.is_some() as u64;
        match backoff {
            None => AttemptPermission::Denied,
            Some(Duration::ZERO) => AttemptPermission::Now,
            Some(backoff) => AttemptPermission::After(backoff),
        }
    }

    /// Whether a retry may still be sent after its backoff: one that was decided within the window in which the origin drops
    /// retries of a key must not arrive after it.
    pub fn is_within_idempotency_window(&self) -> bool {
        match (self.retry_safety(), self.first_sent_at) {
            (Some(RetrySafety::Keyed(_)), Some(sent_at)) => {
                sent_at.elapsed() < self.repeat_window()
            }
            (Some(RetrySafety::NonIdempotent), Some(_)) => false,
            _ => true,
        }
    }

    /// Tightens what the router decided to what the limits allow.
    pub fn tighten(&self, fetch: &mut Fetch) {
        let values = &self.resolved.values;
        fetch.timeout = values.attempt_timeout().within_us(fetch.timeout);
        if let Some(deadline) = self.retry_deadline() {
            fetch.limit_send_before(deadline);
        }
        fetch.retention_rank = fetch
            .retention_rank
            .min(values.retention_rank.min(MAX_RETENTION_RANK) as u8);
        if self.resolved.is_set(Field::MaxStale) {
            fetch.revalidate &= values.max_stale_ms > 0;
        }
    }

    /// Before when a retry of a request with an idempotency key must be sent (router time).
    fn retry_deadline(&self) -> Option<Time> {
        if !matches!(self.retry_safety(), Some(RetrySafety::Keyed(_))) {
            return None;
        }
        let sent_at = self.first_sent_at?;
        Some(self.shared.clock.at(sent_at + self.repeat_window()))
    }

    /// A permit for the attempt's fill, or `None` where its source has as many fills of the class as it may.
    pub fn acquire_fill(&self, fetch: &Fetch) -> Option<FillPermit> {
        let max = self.resolved.values.max_fills;
        if max == 0 || fetch.source == fetch.cache {
            return Some(FillPermit(None));
        }
        let fill = Fill {
            shared: self.shared.clone(),
            source: fetch.source.0 as u64,
            class: self.resolved.class,
        };
        let admitted = self
            .shared
            .state()
            .admission
            .try_start_fill(fill.source, fill.class, max);
        admitted.then_some(FillPermit(Some(fill)))
    }

    /// Records how an attempt ended that was sent at `sent_at`.
    pub fn record_attempt(&mut self, sent_at: Instant, served: bool, never_executed: bool) {
        if !never_executed {
            self.first_sent_at.get_or_insert(sent_at);
        }
        let elapsed = sent_at.elapsed().as_micros() as Time;
        self.shared
            .state()
            .admission
            .record_attempt(&self.key, elapsed, served);
    }

    /// Whether the client may send the request again without executing it twice.
    pub fn retry_is_harmless(&self) -> bool {
        self.first_sent_at.is_none()
            || matches!(
                self.retry_safety(),
                Some(RetrySafety::Idempotent | RetrySafety::Keyed(KeyScope::All))
            )
    }

    /// A Retry-After within the limits.
    pub fn cap_retry_after(&self, retry_after: Duration) -> Duration {
        retry_after.min(self.max_retry_after())
    }

    /// The longest Retry-After that the limits allow.
    pub fn max_retry_after(&self) -> Duration {
        max_retry_after(&self.resolved)
    }

    fn retry_safety(&self) -> Option<&RetrySafety> {
        self.shared.retry_safety_by_class.get(self.resolved.class)
    }

    fn repeat_window(&self) -> Duration {
        Duration::from_millis(self.resolved.values.idempotency_window_ms)
    }
}

impl Drop for RequestLimits {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let now = self.shared.clock.now();
        if !self.is_open && state.queued.remove(&self.id).is_some() {
            // Still queued: its callback is dropped with its place in the queue.
            state.admission.cancel(&self.key, self.id);
            return;
        }
        if !self.is_open && !state.granted.remove(&self.id) {
            return;
        }
        // It had a place, even if it never learnt of the grant.
        let next = state
            .admission
            .release(now, &self.key)
            .and_then(|id| state.grant(id));
        let expired = state.take_expired(now);
        drop(state);
        next.into_iter()
            .for_each(|on_queue_end| on_queue_end(QueueEnd::Admitted));
        expired
            .into_iter()
            .for_each(|on_queue_end| on_queue_end(QueueEnd::Rejected));
    }
}

struct Fill {
    shared: Arc<Shared>,
    source: u64,
    class: usize,
}

/// Permits one fill at a source, until it is dropped; holds nothing where fills are not limited.
pub struct FillPermit(Option<Fill>);

impl Drop for FillPermit {
    fn drop(&mut self) {
        if let Some(fill) = self.0.take() {
            fill.shared
                .state()
                .admission
                .finish_fill(fill.source, fill.class);
        }
    }
}
