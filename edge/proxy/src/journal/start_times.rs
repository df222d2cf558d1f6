//! When each member started: the same start must be the same time, however often the journal lists it.

use foldmux::interface::{CacheId, MemberState, Time};
use foldmux_core::servers::Server;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// The time of each member's start, as it was computed when the start was first listed.
///
/// A timestamp becomes a time by two clocks that are read one after the other, so that the same timestamp gives times some
/// microseconds apart. Without this a repeated entry would look like a restart: everything known of the member would be
/// discarded, and all connections to it closed.
#[derive(Clone, Default)]
pub(super) struct StartTimes(Arc<Mutex<HashMap<CacheId, StartTime>>>);

struct StartTime {
    /// As the journal lists it (ms since the epoch).
    since_ms: u64,
    time: Time,
}

impl StartTimes {
    fn times(&self) -> MutexGuard<'_, HashMap<CacheId, StartTime>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time of this start: `compute` where it is listed for the first time.
    pub(super) fn of(&self, cache: CacheId, since_ms: u64, compute: impl FnOnce() -> Time) -> Time {
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

    /// Discards members that are no longer listed after `listed`: the whole list (`full`), or what changed in it.
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
