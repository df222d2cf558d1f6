//! Rules of the number of attempts, of the time of the last attempt, and of Retry-After.

use super::{Rule, Scope};
use crate::account::RetrySafety;
use crate::effective::Field;

pub(super) fn check_number(scope: &mut Scope) {
    let account = scope.account();
    let attempts = scope.values().max_attempts;
    if attempts == 0 {
        let subject = "attempts 0".to_string();
        scope.add(Rule::NoAttempt, &[Field::MaxAttempts], subject);
    }
    if attempts > account.max_attempts {
        let subject = format!("attempts {attempts}, maxAttempts {}", account.max_attempts);
        scope.add(Rule::TooManyAttempts, &[Field::MaxAttempts], subject);
    }
    let copies = scope.values().concurrent_attempts;
    let idempotent = scope.class().retry_safety == RetrySafety::Idempotent;
    let may_hedge = copies > 1 && account.may_duplicate && idempotent;
    if copies != 1 && !may_hedge {
        let subject = format!("copies {copies}");
        scope.add(
            Rule::ConcurrentAttempts,
            &[Field::ConcurrentAttempts],
            subject,
        );
    }
}

pub(super) fn check_retry_after(scope: &mut Scope) {
    let wait_ms = scope.values().max_retry_after_ms;
    let account_ms = scope.account().max_retry_after_ms.unwrap_or(0);
    if wait_ms > account_ms {
        let subject = format!("wait {wait_ms} ms, maxRetryAfter {account_ms} ms");
        scope.add(Rule::RetryAfterTooLong, &[Field::MaxRetryAfter], subject);
    }
}

/// The last attempt must begin before the deadline and the idempotency window, even if each attempt before it takes its
/// whole timeout.
pub(super) fn check_last_is_made(scope: &mut Scope) {
    let values = scope.values();
    let attempts = values.max_attempts;
    let valid_number = attempts > 1 && attempts <= scope.account().max_attempts;
    if values.attempt_timeout_ms == 0 || !valid_number {
        return;
    }
    // With the shortest pauses, because an attempt that can be made at all is no violation.
    let pauses_ms = values.backoff().total_ms(attempts, 1.0);
    let begins_ms = values.attempt_timeout_ms * (attempts - 1) + pauses_ms;
    let end_ms = if scope.class().is_keyed() {
        values.idempotency_window_ms.min(values.deadline_ms)
    } else {
        values.deadline_ms
    };
    if begins_ms >= end_ms && scope.resolved.is_set(Field::MaxAttempts) {
        let subject =
            format!("attempt {attempts} begins after {begins_ms} ms, the end is at {end_ms} ms");
        let fields = [
            Field::MaxAttempts,
            Field::AttemptTimeout,
            Field::BackoffBase,
            Field::IdempotencyWindow,
        ];
        scope.add(Rule::AttemptNeverMade, &fields, subject);
    }
}

/// The last attempt must begin before the deadline even after the longest wait in the queue and the longest pauses.
pub(super) fn check_time_for_last(scope: &mut Scope) {
    let values = scope.values();
    let attempts = values.max_attempts;
    if values.queue_capacity == 0 || values.attempt_timeout_ms == 0 || attempts <= 1 {
        return;
    }
    let pauses_ms = values.backoff().total_ms(attempts, 0.0);
    let timeouts_ms = values.attempt_timeout_ms * (attempts - 1);
    let begins_ms = values.queue_timeout_ms + pauses_ms + timeouts_ms;
    if begins_ms >= values.deadline_ms {
        let subject = format!(
            "the last attempt begins after {begins_ms} ms, deadline {} ms",
            values.deadline_ms
        );
        let fields = [
            Field::MaxAttempts,
            Field::AttemptTimeout,
            Field::BackoffBase,
            Field::QueueTimeout,
        ];
        scope.add_for_class(Rule::AttemptsPastDeadline, &fields, subject);
    }
}
