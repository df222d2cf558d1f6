//! The attempts that were made for one request and brought no answer: what the log tells of it at its end.

use foldmux::interface::{CacheId, Outcome};
use std::fmt;

/// The attempts, in their order. Bounded by the attempts that the settings allow.
#[derive(Default)]
pub(crate) struct History(Vec<(CacheId, Outcome)>);

impl History {
    pub(crate) fn add(&mut self, cache: CacheId, outcome: Outcome) {
        self.0.push((cache, outcome));
    }
}

impl fmt::Display for History {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        if self.0.is_empty() {
            return out.write_str("no attempt");
        }
        for (number, (CacheId(cache), outcome)) in self.0.iter().enumerate() {
            let separator = if number == 0 { "attempts: " } else { ", " };
            write!(out, "{separator}s-{cache:08x} {outcome:?}")?;
        }
        Ok(())
    }
}
