//! Caches: how late after the source told it one that is drained is asked, and a purged object's old copies are taken.

use super::Verdict;
use crate::record::{Event, Line, Time};
use std::collections::HashMap;

/// So long after it was told a purge still shows in a request: copies born before it may be about.
const SHOWS: Time = 4_000_000;
/// Between the purge's stamp, the request and the clocks that count their age in whole milliseconds.
const SLACK_MS: u64 = 1_500;

#[derive(Default)]
pub(super) struct Caches {
    drained: HashMap<usize, Time>,
    purged: HashMap<u64, Time>,
}

impl Caches {
    pub fn take(&mut self, line: &Line, verdict: &mut Verdict) {
        match &line.event {
            Event::Drained { cache } => drop(self.drained.insert(*cache, line.at)),
            Event::Purged { object } => drop(self.purged.insert(*object, line.at)),
            Event::Came {
                cache,
                object,
                max_age_ms,
                ..
            } => {
                verdict
                    .after_drain
                    .extend(self.drained.get(cache).map(|told| line.at - told));
                let Some(ago) = self.purged.get(object).map(|told| line.at - told) else {
                    return;
                };
                let bound = ago / 1_000 + SLACK_MS;
                if ago < SHOWS && max_age_ms.is_none_or(|age| age > bound) {
                    verdict.after_purge.push(ago);
                }
            }
            _ => {}
        }
    }
}
