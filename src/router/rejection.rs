//! The end of a request: rejection or failure, Retry-After, and cancellation of attempts in flight.
//!
//! A request that gets no response is rejected if its client can retry safely, else it fails. A rejection
//! carries a random Retry-After (us) between a minimum and twice the minimum, so that rejected clients do
//! not all retry at the same time.

use super::requests::Request;
use super::Router;
use crate::interface::{Action, Class, KeyScope, RequestId, RetrySafety, Time};

/// Minimum Retry-After of a rejection (us).
const MIN_RETRY_AFTER_US: Time = 200_000;
/// Divisor of a class's deadline: the minimum Retry-After is at most the deadline divided by it.
const RETRY_AFTER_DEADLINE_DIVISOR: Time = 10;

impl Router {
    /// Ends a request without a response.
    pub(super) fn give_up(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(request) = self.requests.get(&id) else {
            return;
        };
        let class = &self.settings.classes[request.class];
        let is_harmless = self.is_unprocessed(id, request) || may_be_retried_anywhere(class);
        let least = MIN_RETRY_AFTER_US.min(class.deadline / RETRY_AFTER_DEADLINE_DIVISOR);
        let wait = least + self.random_below(least);
        out.push(if is_harmless {
            let retry_after = self
                .settings
                .max_retry_after
                .map_or(0, |longest| wait.min(longest));
            Action::Reject { id, retry_after }
        } else {
            Action::Fail { id }
        });
        self.finish_request(id, out);
    }

    /// Whether no attempt of a request can have been processed.
    fn is_unprocessed(&self, id: RequestId, request: &Request) -> bool {
        request.first_possibly_processed.is_none()
            && request.required_group.is_none()
            && !self.has_attempts_in_flight(id)
    }

    /// Drops a request that has its final result, and cancels its attempts in flight.
    pub(super) fn finish_request(&mut self, id: RequestId, out: &mut Vec<Action>) {
        self.requests.remove(&id);
        if !self.settings.can_cancel {
            return;
        }
        let in_flight = self.attempts.range((id, 0)..=(id, u8::MAX));
        out.extend(in_flight.map(|(&(id, attempt), _)| Action::Cancel { id, attempt }));
    }

    pub(super) fn has_attempts_in_flight(&self, id: RequestId) -> bool {
        self.attempts
            .range((id, 0)..=(id, u8::MAX))
            .next()
            .is_some()
    }
}

/// Whether a client's retry is safe at any cache, even if an attempt was processed.
fn may_be_retried_anywhere(class: &Class) -> bool {
    matches!(
        class.retry_safety,
        RetrySafety::Idempotent | RetrySafety::Keyed(KeyScope::All)
    )
}
