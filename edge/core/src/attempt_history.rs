//! The failed attempts of one request, for its log line.

use foldmux::interface::{CacheId, Outcome};
use std::fmt;

struct FailedAttempt {
    cache: CacheId,
    outcome: Outcome,
}

/// The failed attempts of a request in order. The settings limit how many attempts a request has.
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
