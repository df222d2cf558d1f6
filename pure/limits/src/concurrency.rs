//! Bounds the number of requests of one set of limits that may be in flight at once.
//!
//! More requests than a server can work on at once only make each of them slower; a bound rejects or queues the excess
//! while there still is time for a retry elsewhere.

use crate::gradient::GradientLimit;
use crate::TimestampUs;
use schemars::JsonSchema;
use serde::Serialize;

/// The policy: a fixed bound, or one that follows measured latency.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, JsonSchema)]
#[serde(rename_all = "snake_case", tag = "kind")]
#[expect(
    missing_docs,
    reason = "docs of fields would enter the exported schema"
)]
#[schemars(
    rename = "Concurrency",
    description = "How many requests of a class are open at once."
)]
pub enum ConcurrencyLimit {
    Fixed {
        #[serde(rename = "most")]
        max: u64,
    },
    /// By the gradient of latency, within bounds.
    Adaptive {
        #[serde(rename = "least")]
        min: u64,
        #[serde(rename = "most")]
        max: u64,
    },
}

impl ConcurrencyLimit {
    /// Returns the highest bound that the policy allows.
    pub fn max(self) -> u64 {
        match self {
            ConcurrencyLimit::Fixed { max } | ConcurrencyLimit::Adaptive { max, .. } => max,
        }
    }
}

/// The current bound, with its state.
#[derive(Clone, Debug)]
pub(crate) enum ConcurrencyBound {
    Unlimited,
    Fixed(u64),
    Adaptive(GradientLimit),
}

impl ConcurrencyBound {
    pub(crate) fn new(policy: Option<ConcurrencyLimit>) -> ConcurrencyBound {
        match policy {
            None => ConcurrencyBound::Unlimited,
            Some(ConcurrencyLimit::Fixed { max }) => ConcurrencyBound::Fixed(max),
            Some(ConcurrencyLimit::Adaptive { min, max }) => {
                ConcurrencyBound::Adaptive(GradientLimit::new(min, max))
            }
        }
    }

    /// Returns whether one more request may be in flight.
    pub(crate) fn has_capacity(&self, in_flight: u64) -> bool {
        match self {
            ConcurrencyBound::Unlimited => true,
            ConcurrencyBound::Fixed(max) => in_flight < *max,
            ConcurrencyBound::Adaptive(limit) => in_flight < limit.limit(),
        }
    }

    /// Adapts the bound to an attempt that ended after `elapsed` microseconds.
    pub(crate) fn record_attempt(&mut self, elapsed: TimestampUs, served: bool, in_flight: u64) {
        if let ConcurrencyBound::Adaptive(limit) = self {
            limit.record_attempt(elapsed, served, in_flight);
        }
    }
}
