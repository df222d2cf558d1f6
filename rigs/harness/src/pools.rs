//! Which pool a request at the stand-in holds a slot of, and the first-come places of a stand-in that bounds itself.

use crate::settings::{kind, BOXES};
use std::sync::{Condvar, Mutex, PoisonError};

/// The pools that the operator's lines name.
#[derive(Debug, Default)]
pub struct Pools {
    names: Vec<(String, u64)>,
    sites: usize,
}

impl Pools {
    pub fn new(names: Vec<(String, u64)>, sites: usize) -> Pools {
        Pools { names, sites }
    }

    /// Hosts of the list.
    pub fn hosts(&self) -> usize {
        self.sites * BOXES + 2
    }

    pub fn kind(&self, host: usize) -> &'static str {
        kind(host, self.sites)
    }

    /// That of the source that a fill names, else of the kind that was asked.
    pub fn of(&self, asked: &str, fill: &str) -> Option<&str> {
        let host = fill
            .strip_prefix("s-")
            .and_then(|n| usize::from_str_radix(n, 16).ok());
        let source = host.and_then(|n| n.checked_sub(1)).map(|n| self.kind(n));
        let named = |kind: &str| {
            self.names
                .iter()
                .map(|(name, _)| &**name)
                .find(|name| *name == kind)
        };
        source.into_iter().chain([asked]).find_map(named)
    }
}

/// So many at once, first come, first served.
#[derive(Debug, Default)]
pub struct Places {
    /// Tickets given out, and those that were served or are.
    state: Mutex<(u64, u64)>,
    free: Condvar,
}

impl Places {
    pub fn take(&self, most: u64) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let own = state.0;
        state.0 += 1;
        let waits = |state: &mut (u64, u64)| own >= state.1 + most;
        drop(self.free.wait_while(state, waits));
    }

    pub fn give(&self) {
        self.state.lock().unwrap_or_else(PoisonError::into_inner).1 += 1;
        self.free.notify_all();
    }
}

#[cfg(test)]
mod tests;
