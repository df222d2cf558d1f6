//! The limits that apply to a request, each resolved to a value.

use crate::account::{Account, ClassRules, IdempotencyScope, RetrySafety};
use crate::backoff::Backoff;
use crate::concurrency::ConcurrencyLimit;
use crate::timeout::AttemptTimeout;
use schemars::JsonSchema;
use serde::Serialize;

/// The highest retention rank that caches know.
pub const MAX_RETENTION_RANK: u64 = 3;
/// Ratio of each pause between attempts to the one before, unless the operator's file sets another.
const DEFAULT_BACKOFF_FACTOR: f64 = 2.0;

/// Names one limit. The variants are in the order in which limits are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
#[expect(
    missing_docs,
    reason = "the variants are the fields of `EffectiveLimits`"
)]
pub enum Field {
    Deadline,
    AttemptTimeout,
    MaxAttempts,
    BackoffBase,
    BackoffFactor,
    BackoffMax,
    Jitter,
    RetryBudget,
    Concurrency,
    QueueCapacity,
    QueueTimeout,
    ConcurrentAttempts,
    RetentionRank,
    MaxStale,
    MaxFills,
    MaxRetryAfter,
    IdempotencyWindow,
    IdempotencyScope,
}

impl Field {
    /// All fields, in the order in which they are printed.
    pub const ALL: [Field; 18] = [
        Field::Deadline,
        Field::AttemptTimeout,
        Field::MaxAttempts,
        Field::BackoffBase,
        Field::BackoffFactor,
        Field::BackoffMax,
        Field::Jitter,
        Field::RetryBudget,
        Field::Concurrency,
        Field::QueueCapacity,
        Field::QueueTimeout,
        Field::ConcurrentAttempts,
        Field::RetentionRank,
        Field::MaxStale,
        Field::MaxFills,
        Field::MaxRetryAfter,
        Field::IdempotencyWindow,
        Field::IdempotencyScope,
    ];

    /// Returns the name of the field in the operator's file and in the export.
    pub fn name(self) -> &'static str {
        match self {
            Field::Deadline => "deadline_ms",
            Field::AttemptTimeout => "attempt_ms",
            Field::MaxAttempts => "attempts",
            Field::BackoffBase => "backoff_ms",
            Field::BackoffFactor => "backoff_factor",
            Field::BackoffMax => "backoff_most_ms",
            Field::Jitter => "jitter_percent",
            Field::RetryBudget => "budget",
            Field::Concurrency => "concurrency",
            Field::QueueCapacity => "queue",
            Field::QueueTimeout => "queue_age_ms",
            Field::ConcurrentAttempts => "copies",
            Field::RetentionRank => "keep",
            Field::MaxStale => "stale_ms",
            Field::MaxFills => "fills",
            Field::MaxRetryAfter => "wait_ms",
            Field::IdempotencyWindow => "window_ms",
            Field::IdempotencyScope => "group",
        }
    }
}

/// The values that hold for a request, each resolved.
// The exported schema describes each field by its doc comment, so a change of one changes the schema. A field without a
// doc comment is described by that of an earlier field.
#[derive(Clone, Debug, PartialEq, Serialize, JsonSchema)]
#[schemars(rename = "Effective")]
#[expect(
    missing_docs,
    reason = "docs of fields would enter the exported schema"
)]
pub struct EffectiveLimits {
    /// How long its client waits at the most, all tries together (ms).
    pub deadline_ms: u64,
    /// How long one attempt may take (ms); 0: until the deadline.
    #[serde(rename = "attempt_ms")]
    pub attempt_timeout_ms: u64,
    /// Attempts of one request.
    #[serde(rename = "attempts")]
    pub max_attempts: u64,
    /// Before the second attempt (ms), times the factor before each further one, up to the most, less up to so many
    /// percent by chance.
    #[serde(rename = "backoff_ms")]
    pub backoff_base_ms: u64,
    pub backoff_factor: f64,
    #[serde(rename = "backoff_most_ms")]
    pub backoff_max_ms: u64,
    pub jitter_percent: f64,
    /// The budget that repeats take from; none: no bound but the module's own.
    #[serde(rename = "budget")]
    pub retry_budget: Option<String>,
    /// Open requests at once; none: no bound but the process's.
    pub concurrency: Option<ConcurrencyLimit>,
    /// Requests that wait for a place, and for how long at the most (ms).
    #[serde(rename = "queue")]
    pub queue_capacity: u64,
    #[serde(rename = "queue_age_ms")]
    pub queue_timeout_ms: u64,
    /// Attempts at once.
    #[serde(rename = "copies")]
    pub concurrent_attempts: u64,
    /// The highest rank at which caches keep an answer, 0 to 3.
    #[serde(rename = "keep")]
    pub retention_rank: u64,
    /// How long an ageing copy may be served while it is fetched anew (ms).
    #[serde(rename = "stale_ms")]
    pub max_stale_ms: u64,
    /// Fills under way at one source; 0: no bound but the module's own.
    #[serde(rename = "fills")]
    pub max_fills: u64,
    /// The longest advice to come back (ms).
    #[serde(rename = "wait_ms")]
    pub max_retry_after_ms: u64,
    /// For keyed classes: how long after its first attempt a key may be attempted again (ms), and where.
    #[serde(rename = "window_ms")]
    pub idempotency_window_ms: u64,
    #[serde(rename = "group")]
    pub idempotency_scope: IdempotencyScope,
}

impl EffectiveLimits {
    /// Returns the limits that apply where a file sets nothing.
    pub fn defaults(account: &Account, class: &ClassRules) -> EffectiveLimits {
        let (idempotency_window_ms, idempotency_scope) = match class.retry_safety {
            RetrySafety::Keyed(scope) => (class.idempotency_window_ms, scope),
            _ => (0, IdempotencyScope::All),
        };
        EffectiveLimits {
            deadline_ms: class.deadline_ms,
            attempt_timeout_ms: 0,
            max_attempts: account.max_attempts,
            backoff_base_ms: 0,
            backoff_factor: DEFAULT_BACKOFF_FACTOR,
            backoff_max_ms: 0,
            jitter_percent: 0.0,
            retry_budget: None,
            concurrency: None,
            queue_capacity: 0,
            queue_timeout_ms: 0,
            concurrent_attempts: 1,
            retention_rank: MAX_RETENTION_RANK,
            max_stale_ms: 0,
            max_fills: 0,
            max_retry_after_ms: account.max_retry_after_ms.unwrap_or(0),
            idempotency_window_ms,
            idempotency_scope,
        }
    }

    /// Returns the backoff policy of retries.
    pub fn backoff(&self) -> Backoff {
        Backoff {
            base_ms: self.backoff_base_ms,
            factor: self.backoff_factor,
            max_ms: self.backoff_max_ms,
            jitter_percent: self.jitter_percent,
        }
    }

    /// Returns the timeout of one attempt.
    pub fn attempt_timeout(&self) -> AttemptTimeout {
        AttemptTimeout::from_millis(self.attempt_timeout_ms)
    }

    /// Formats the value of a field, as it is printed and compared.
    pub fn format_field(&self, field: Field) -> String {
        match field {
            Field::Deadline => self.deadline_ms.to_string(),
            Field::AttemptTimeout => self.attempt_timeout_ms.to_string(),
            Field::MaxAttempts => self.max_attempts.to_string(),
            Field::BackoffBase => self.backoff_base_ms.to_string(),
            Field::BackoffFactor => self.backoff_factor.to_string(),
            Field::BackoffMax => self.backoff_max_ms.to_string(),
            Field::Jitter => self.jitter_percent.to_string(),
            Field::RetryBudget => self.retry_budget.as_deref().unwrap_or("none").to_string(),
            Field::Concurrency => match self.concurrency {
                None => "none".to_string(),
                Some(ConcurrencyLimit::Fixed { max }) => max.to_string(),
                Some(ConcurrencyLimit::Adaptive { min, max }) => format!("{min} to {max}"),
            },
            Field::QueueCapacity => self.queue_capacity.to_string(),
            Field::QueueTimeout => self.queue_timeout_ms.to_string(),
            Field::ConcurrentAttempts => self.concurrent_attempts.to_string(),
            Field::RetentionRank => self.retention_rank.to_string(),
            Field::MaxStale => self.max_stale_ms.to_string(),
            Field::MaxFills => self.max_fills.to_string(),
            Field::MaxRetryAfter => self.max_retry_after_ms.to_string(),
            Field::IdempotencyWindow => self.idempotency_window_ms.to_string(),
            Field::IdempotencyScope => self.idempotency_scope.name().to_string(),
        }
    }
}

#[cfg(test)]
mod tests;
