//! The retry budget: a token bucket that keeps retries from multiplying the load.
//!
//! Each request adds a fraction of a token, each retry takes a whole one. Unit: retries.

/// Tokens that a request adds: the ratio of retries to requests in the long run.
const TOKENS_PER_REQUEST: f64 = 0.25;
/// Capacity of the bucket.
const MAX_TOKENS: f64 = 30.0;

/// The number of retries that may be sent, as tokens.
pub(super) struct RetryBudget {
    tokens: f64,
}

impl Default for RetryBudget {
    fn default() -> RetryBudget {
        RetryBudget { tokens: MAX_TOKENS }
    }
}

impl RetryBudget {
    /// Counts an incoming request.
    pub(super) fn record_request(&mut self) {
        self.tokens = (self.tokens + TOKENS_PER_REQUEST).min(MAX_TOKENS);
    }

    /// Whether a retry may be sent.
    pub(super) fn has_token(&self) -> bool {
        self.tokens >= 1.0
    }

    /// Takes the token of a retry. Must be called only if [`has_token`](Self::has_token) returns true.
    pub(super) fn take_token(&mut self) {
        self.tokens -= 1.0;
    }
}
