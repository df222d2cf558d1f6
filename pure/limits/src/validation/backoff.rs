//! Rules of the pauses before retries.

use super::{Rule, Scope};
use crate::effective::Field;

const FACTORS: std::ops::RangeInclusive<f64> = 1.0..=100.0;
const PERCENTAGES: std::ops::RangeInclusive<f64> = 0.0..=100.0;

pub(super) fn check_values(scope: &mut Scope) {
    let backoff = scope.values().backoff();
    let factor_valid = FACTORS.contains(&backoff.factor);
    let jitter_valid = PERCENTAGES.contains(&backoff.jitter_percent);
    let max_without_base = backoff.max_ms > 0 && backoff.base_ms == 0;
    let max_under_base = backoff.max_ms > 0 && backoff.max_ms < backoff.base_ms;
    if !factor_valid || !jitter_valid || max_under_base || max_without_base {
        let subject = format!(
            "backoff {} ms, factor {}, maximum {} ms, jitter {} percent",
            backoff.base_ms, backoff.factor, backoff.max_ms, backoff.jitter_percent
        );
        let fields = [
            Field::BackoffBase,
            Field::BackoffFactor,
            Field::BackoffMax,
            Field::Jitter,
        ];
        scope.add(Rule::InvalidBackoff, &fields, subject);
    }
    let deadline_ms = scope.values().deadline_ms;
    if backoff.base_ms >= deadline_ms {
        let subject = format!("backoff {} ms, deadline {deadline_ms} ms", backoff.base_ms);
        let fields = [Field::BackoffBase, Field::Deadline];
        scope.add(Rule::BackoffPastDeadline, &fields, subject);
    }
}
