//! The limits of one request, and its concurrency slot.

use super::shared::{QueueEnd, Shared};
use foldmux::interface::{Fetch, KeyScope, RetrySafety, Time};
use foldmux_limits::admission::LimitKey;
use foldmux_limits::effective::{Field, MAX_RETENTION_RANK};
use foldmux_limits::resolve::ResolvedLimits;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// The limits of one request, and its concurrency slot or place in the queue. Both are released on drop.
pub struct RequestLimits {
    shared: Arc<Shared>,
    key: LimitKey,
    resolved: Arc<ResolvedLimits>,
    id: u64,
    /// Whether it has taken a concurrency slot; otherwise it is queued, or was granted a slot that it has not taken yet.
    has_slot: bool,
    /// Number of attempts permitted so far.
    attempts: u64,
    /// When the first attempt that may have executed was sent.
    first_sent_at: Option<Instant>,
}

/// Whether an attempt that the router decided on may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptPermission {
    /// At once.
    Now,
    /// After this backoff.
    After(Duration),
    /// It may not be made.
    Denied,
}

/// The longest Retry-After that these limits allow.
pub(super) fn max_retry_after(resolved: &ResolvedLimits) -> Duration {
    Duration::from_micros(resolved.values.max_retry_after_ms.saturating_mul(1_000))
}

impl RequestLimits {
    pub(super) fn new(
        shared: &Arc<Shared>,
        key: LimitKey,
        resolved: Arc<ResolvedLimits>,
        id: u64,
        has_slot: bool,
    ) -> RequestLimits {
        RequestLimits {
            shared: shared.clone(),
            key,
            resolved,
            id,
            has_slot,
            attempts: 0,
            first_sent_at: None,
        }
    }

    /// Takes the concurrency slot that the queued request was granted.
    pub fn take_grant(&mut self) {
        self.shared.state().granted.remove(&self.id);
        self.has_slot = true;
    }

    /// Returns when a request that arrived at `arrived_at` must have its response.
    pub fn deadline(&self, arrived_at: Instant) -> Instant {
        arrived_at + Duration::from_millis(self.resolved.values.deadline_ms)
    }

    /// Decides whether the next attempt may be made, and after which backoff. Counts a permitted attempt.
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

    /// Whether a retry may still be sent after its backoff. For a while the origin drops retries with a key that it has seen;
    /// a retry that was decided on within that idempotency window must not arrive after it.
    pub fn is_within_idempotency_window(&self) -> bool {
        match (self.retry_safety(), self.first_sent_at) {
            (Some(RetrySafety::Keyed(_)), Some(sent_at)) => {
                sent_at.elapsed() < self.idempotency_window()
            }
            (Some(RetrySafety::NonIdempotent), Some(_)) => false,
            _ => true,
        }
    }

    /// Reduces the attempt's timeout, send deadline, retention rank and use of stale copies to what the limits allow.
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

    /// The time before which a retry of a request with an idempotency key must be sent (router time, µs).
    fn retry_deadline(&self) -> Option<Time> {
        if !matches!(self.retry_safety(), Some(RetrySafety::Keyed(_))) {
            return None;
        }
        let sent_at = self.first_sent_at?;
        Some(self.shared.clock.at(sent_at + self.idempotency_window()))
    }

    /// Acquires a permit for the attempt's fill; `None` if the fills of this class at its source have reached their maximum.
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

    /// Records the end of an attempt that was sent at `sent_at`: whether it served the request, and whether it is known not to
    /// have executed.
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

    /// Whether a retry by the client is harmless: no attempt may have executed, or the class may be repeated at any server.
    pub fn retry_is_harmless(&self) -> bool {
        self.first_sent_at.is_none()
            || matches!(
                self.retry_safety(),
                Some(RetrySafety::Idempotent | RetrySafety::Keyed(KeyScope::All))
            )
    }

    /// Caps a Retry-After to what the limits allow.
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

    fn idempotency_window(&self) -> Duration {
        Duration::from_millis(self.resolved.values.idempotency_window_ms)
    }
}

impl Drop for RequestLimits {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        let now = self.shared.clock.now();
        if !self.has_slot && state.queued.remove(&self.id).is_some() {
            // Still queued: its callback is dropped, and it leaves the queue.
            state.admission.cancel(&self.key, self.id);
            return;
        }
        if !self.has_slot && !state.granted.remove(&self.id) {
            return;
        }
        // It had a slot, even if it was never told of the grant.
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

/// A fill that counts against the limit of its class at its source.
struct Fill {
    shared: Arc<Shared>,
    source: u64,
    class: usize,
}

/// A permit for one fill at a source, released on drop; empty if fills are not limited.
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
