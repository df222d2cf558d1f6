//! The receiver: it runs, drops repeats within its window and group where the class has one, and may refuse old terms.

use super::{Draw, WINDOW};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Came {
    /// What the run gave: its number.
    Ran(u8),
    NeverRan,
}

#[derive(Default)]
struct KeptAnswer {
    first: u64,
    group: u32,
    runs: u8,
    term: u64,
}

#[derive(Default)]
pub struct Archive {
    keys: HashMap<u8, KeptAnswer>,
}

impl Archive {
    pub fn arrive(
        &mut self,
        draw: &mut Draw,
        now: u64,
        key: u8,
        group: u32,
        term: Option<u64>,
    ) -> Came {
        if draw.in_thousand(100) {
            return Came::NeverRan;
        }
        let kept = self.keys.entry(key).or_default();
        if let Some(term) = term {
            if term < kept.term {
                return Came::NeverRan;
            }
            kept.term = term;
        }
        let drops =
            super::host::class(key) == "keyed" && now < kept.first + WINDOW && group == kept.group;
        if kept.runs > 0 && (drops || super::host::class(key) == "safe") {
            return Came::Ran(1);
        }
        if kept.runs == 0 {
            (kept.first, kept.group) = (now, group);
        }
        kept.runs += 1;
        Came::Ran(kept.runs)
    }

    pub fn ran(&self) -> (usize, usize) {
        (
            self.keys.values().filter(|k| k.runs > 0).count(),
            self.keys.values().filter(|k| k.runs > 1).count(),
        )
    }
}
