//! When each member started, as it was first told: the same start must be the same time whenever a line is repeated.

use foldmux::interface::{CacheId, State, Time};
use foldmux_core::members::Listed;
use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Stamps become times by two clocks that are read one after the other, so that the same stamp gives times some
/// microseconds apart. Guards against a repeated line that looks like a start anew: all that is known of the member
/// would be void, and all connections to it closed.
#[derive(Clone, Default)]
pub struct StartTimes(Arc<Mutex<HashMap<CacheId, (u64, Time)>>>);

impl StartTimes {
    fn held(&self) -> MutexGuard<'_, HashMap<CacheId, (u64, Time)>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The time of this start; `time` where it is told for the first time.
    pub fn of(&self, cache: CacheId, since_ms: u64, time: impl FnOnce() -> Time) -> Time {
        let mut held = self.held();
        match held.get(&cache) {
            Some((since, boot)) if *since == since_ms => *boot,
            _ => {
                let boot = time();
                held.insert(cache, (since_ms, boot));
                boot
            }
        }
    }

    /// Keeps those alone that are listed after these lines: all of them (`full`), or what changed.
    pub fn retain(&self, full: bool, lines: &[Listed]) {
        let told: HashMap<CacheId, State> = lines
            .iter()
            .map(|l| (l.member.cache, l.member.state))
            .collect();
        self.held()
            .retain(|cache, _| told.get(cache).map_or(!full, |state| *state != State::Gone));
    }
}
