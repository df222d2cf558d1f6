//! The start time of each member. One start must always decode to the same time, however often the journal lists it.

use foldmux::interface::{CacheId, MemberState, Time};
use foldmux_core::servers::Server;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The start time of each member, as it was computed when the start was first listed.
///
/// Converting a timestamp to a time reads two clocks one after the other, so two conversions of one timestamp differ by
/// some microseconds. Without this table a repeated entry would look like a restart: everything known of the member
/// would be discarded, and all connections to it closed.
#[derive(Clone, Default)]
pub(super) struct StartTimes(Arc<Mutex<HashMap<CacheId, StartTime>>>);

struct StartTime {
    /// The timestamp in the journal (ms since the Unix epoch).
    since_ms: u64,
    time: Time,
}

impl StartTimes {
    fn times(&self) -> MutexGuard<'_, HashMap<CacheId, StartTime>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time of this start; the result of `compute` if the start is listed for the first time.
    pub(super) fn get_or_insert_with(
        &self,
        cache: CacheId,
        since_ms: u64,
        compute: impl FnOnce() -> Time,
    ) -> Time {
        let mut times = self.times();
        match times.get(&cache) {
            Some(start) if start.since_ms == since_ms => start.time,
            _ => {
                let time = compute();
                times.insert(cache, StartTime { since_ms, time });
                time
            }
        }
    }

    /// Discards the members that are gone after `listed`, which is the complete list (`full`) or the changes to it.
    pub(super) fn retain(&self, full: bool, listed: &[Server]) {
        let states: HashMap<CacheId, MemberState> = listed
            .iter()
            .map(|entry| (entry.member.cache, entry.member.state))
            .collect();
        self.times().retain(|cache, _| {
            states
                .get(cache)
                .map_or(!full, |state| *state != MemberState::Gone)
        });
    }
}
