//! The values that one call of the operator's file sets; they override the limits that apply without it.

use crate::account::IdempotencyScope;
use crate::concurrency::ConcurrencyLimit;
use crate::effective::{EffectiveLimits, Field};

/// The budget name with which the operator's file removes a class from all retry budgets.
pub const NO_BUDGET: &str = "none";

/// The values that a call sets; `None` keeps the value of the layer below. [`EffectiveLimits`] describes the fields.
#[derive(Clone, Debug, Default, PartialEq)]
#[expect(missing_docs, reason = "the fields are those of `EffectiveLimits`")]
pub struct LimitOverrides {
    pub deadline_ms: Option<u64>,
    pub attempt_timeout_ms: Option<u64>,
    pub max_attempts: Option<u64>,
    pub backoff_base_ms: Option<u64>,
    pub backoff_factor: Option<f64>,
    pub backoff_max_ms: Option<u64>,
    pub jitter_percent: Option<f64>,
    /// The budget's name, or [`NO_BUDGET`].
    pub retry_budget: Option<String>,
    /// A bound of 0 removes the bound.
    pub concurrency: Option<ConcurrencyLimit>,
    pub queue_capacity: Option<u64>,
    pub queue_timeout_ms: Option<u64>,
    pub concurrent_attempts: Option<u64>,
    pub retention_rank: Option<u64>,
    pub max_stale_ms: Option<u64>,
    pub max_fills: Option<u64>,
    pub max_retry_after_ms: Option<u64>,
    pub idempotency_window_ms: Option<u64>,
    pub idempotency_scope: Option<IdempotencyScope>,
}

impl LimitOverrides {
    /// Overrides `values` with the values set here, and returns the fields that were set.
    pub fn apply(&self, values: &mut EffectiveLimits) -> Vec<Field> {
        let mut set = Vec::new();
        macro_rules! apply {
            ($($name:ident => $field:ident),* $(,)?) => {
                $(if let Some(value) = self.$name {
                    values.$name = value;
                    set.push(Field::$field);
                })*
            };
        }
        apply!(
            deadline_ms => Deadline,
            attempt_timeout_ms => AttemptTimeout,
            max_attempts => MaxAttempts,
            backoff_base_ms => BackoffBase,
            backoff_factor => BackoffFactor,
            backoff_max_ms => BackoffMax,
            jitter_percent => Jitter,
            queue_capacity => QueueCapacity,
            queue_timeout_ms => QueueTimeout,
            concurrent_attempts => ConcurrentAttempts,
            retention_rank => RetentionRank,
            max_stale_ms => MaxStale,
            max_fills => MaxFills,
            max_retry_after_ms => MaxRetryAfter,
            idempotency_window_ms => IdempotencyWindow,
            idempotency_scope => IdempotencyScope,
        );
        if let Some(name) = &self.retry_budget {
            values.retry_budget = Some(name.clone()).filter(|name| name != NO_BUDGET);
            set.push(Field::RetryBudget);
        }
        if let Some(limit) = self.concurrency {
            values.concurrency = Some(limit).filter(|limit| limit.max() > 0);
            set.push(Field::Concurrency);
        }
        set
    }
}
