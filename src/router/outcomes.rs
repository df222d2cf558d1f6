//! Outcomes: what happens to a request when one of its attempts ends.
//!
//! 1. Every estimate is updated (`feedback`), even if the request has already ended.
//! 2. A response ends the request, and its earlier errors are counted against their servers.
//! 3. Otherwise the request records the failure, and is given up or retried.

use super::requests::{Attempt, PossiblyProcessed, Request};
use super::Router;
use crate::interface::{
    Action, AttemptReport, CacheId, CacheStatus, CacheStatusDetail, Outcome, RequestId,
    RetrySafety, Time,
};

/// Number of caches that respond with an error after which the request itself is considered faulty.
const MAX_ERRORS: usize = 2;

impl Router {
    /// Handles the outcome of an attempt; the report of an attempt that is not in flight is ignored.
    pub(super) fn on_outcome(&mut self, now: Time, report: AttemptReport, out: &mut Vec<Action>) {
        let id = report.id;
        let Some(attempt) = self.attempts.remove(&(id, report.attempt)) else {
            return;
        };
        self.update_estimates(now, &attempt, &report);
        let is_served = report.outcome == Outcome::Served;
        if is_served {
            self.confirm_errors(now, id);
        }
        if report.last || is_served {
            return self.finish_request(id, out);
        }
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.record_failure(&attempt, &report);
        if self.has_attempts_in_flight(id) {
            return;
        }
        if self.try_retry(id, &attempt, &report) {
            self.send_next_attempt(now, id, out);
        } else {
            self.give_up(id, out);
        }
    }

    /// Counts the errors of a request against their servers once the request is served elsewhere: an error that every
    /// cache returns, such as for a malformed request, is no server's fault.
    fn confirm_errors(&mut self, now: Time, id: RequestId) {
        let errored: Vec<CacheId> = self
            .requests
            .get_mut(&id)
            .map(|request| std::mem::take(&mut request.errored_caches))
            .unwrap_or_default();
        for cache in errored {
            self.record_error(now, cache);
        }
    }

    /// Whether a request is retried after a failure. If so, takes a token from the retry budget, except after a miss.
    fn try_retry(&mut self, id: RequestId, attempt: &Attempt, report: &AttemptReport) -> bool {
        let request = &self.requests[&id];
        let is_idempotent =
            self.settings.classes[request.class].retry_safety == RetrySafety::Idempotent;
        let is_miss = report.outcome == Outcome::Miss;
        let upper_tier_lacks_copy =
            attempt.plan.only_if_cached && attempt.has_upper_tier_source && is_miss;
        let origin_would_fail_again =
            report.cache_status == CacheStatus::OriginFailed && is_idempotent;
        let has_too_many_errors = request.errored_caches.len() >= MAX_ERRORS;
        if upper_tier_lacks_copy || has_too_many_errors || origin_would_fail_again {
            return false;
        }
        if is_miss {
            // A lookup of stored copies is no load that a retry would repeat.
            return true;
        }
        if !self.retry_budget.has_token() || (is_idempotent && self.is_overload(request, report)) {
            return false;
        }
        self.retry_budget.take_token();
        true
    }

    /// Whether an outcome shows an overload, which retries would prolong. If responses do not report their full cache
    /// status, it may be the source that is overloaded, so another source is tried once.
    fn is_overload(&self, request: &Request, report: &AttemptReport) -> bool {
        let is_certain =
            self.settings.cache_status_detail == CacheStatusDetail::All || request.attempts > 1;
        report.outcome == Outcome::Overloaded && is_certain
    }
}

impl Request {
    /// Records what an unsuccessful attempt means for the next one.
    fn record_failure(&mut self, attempt: &Attempt, report: &AttemptReport) {
        let plan = &attempt.plan;
        let (outcome, is_source_fault) = (report.outcome, report.cache_status.is_source_fault());
        if outcome == Outcome::Error && !is_source_fault {
            self.errored_caches.push(plan.cache);
        }
        if !outcome.not_processed() && self.first_possibly_processed.is_none() {
            self.first_possibly_processed = Some(PossiblyProcessed {
                sent_at: attempt.sent_at,
                cache: plan.cache,
            });
        }
        let is_slow_sibling = plan.sibling_query_timeout.is_some() && outcome == Outcome::TimedOut;
        // After a reset the cache may have the object: the attempt may have been processed and only its response lost.
        let may_have_object = matches!(outcome, Outcome::Miss | Outcome::Reset);
        if !may_have_object && !is_source_fault && !is_slow_sibling {
            self.failed_servers.push(plan.cache);
        }
        if plan.has_source() {
            self.failed_servers.push(plan.source);
        }
    }
}
