//! The archive that attempts are sent to: it runs them, drops repeats of a keyed request within its window and group, and
//! may reject old terms.

use super::{Random, ARCHIVE_WINDOW};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum ArchiveReply {
    /// The number of the run.
    Ran(u8),
    NeverRan,
}

#[derive(Default)]
struct KeyState {
    /// When the first run was.
    first_run_at: u64,
    /// The group that it was sent to.
    group: u32,
    runs: u8,
    /// The highest that was received.
    term: u64,
}

#[derive(Default)]
pub struct Archive {
    keys: HashMap<u8, KeyState>,
}

impl Archive {
    pub fn arrive(
        &mut self,
        random: &mut Random,
        now: u64,
        key: u8,
        group: u32,
        term: Option<u64>,
    ) -> ArchiveReply {
        if random.chance_per_mille(100) {
            return ArchiveReply::NeverRan;
        }
        let state = self.keys.entry(key).or_default();
        if let Some(term) = term {
            if term < state.term {
                return ArchiveReply::NeverRan;
            }
            state.term = term;
        }
        let is_dropped = super::request_thread::class(key) == "keyed"
            && now < state.first_run_at + ARCHIVE_WINDOW
            && group == state.group;
        if state.runs > 0 && (is_dropped || super::request_thread::class(key) == "safe") {
            return ArchiveReply::Ran(1);
        }
        if state.runs == 0 {
            (state.first_run_at, state.group) = (now, group);
        }
        state.runs += 1;
        ArchiveReply::Ran(state.runs)
    }

    /// The number of requests that ran, and of those that ran more than once.
    pub fn ran(&self) -> (usize, usize) {
        (
            self.keys.values().filter(|k| k.runs > 0).count(),
            self.keys.values().filter(|k| k.runs > 1).count(),
        )
    }
}
