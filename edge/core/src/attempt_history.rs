//! The attempts of one request that did not serve it, for its line in the log.

use foldmux::interface::{CacheId, Outcome};
use std::fmt;

struct FailedAttempt {
    cache: CacheId,
    outcome: Outcome,
}

/// The attempts in their order. The settings bound how many there are.
#[derive(Default)]
pub(crate) struct AttemptHistory(Vec<FailedAttempt>);

impl AttemptHistory {
    pub(crate) fn add(&mut self, cache: CacheId, outcome: Outcome) {
        self.0.push(FailedAttempt { cache, outcome });
    }
}

impl fmt::Display for AttemptHistory {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return out.write_str("no attempt");
        }
        for (number, FailedAttempt { cache, outcome }) in self.0.iter().enumerate() {
            let separator = if number == 0 { "attempts: " } else { ", " };
            write!(out, "{separator}s-{:08x} {outcome:?}", cache.0)?;
        }
        Ok(())
    }
}
