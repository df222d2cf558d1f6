//! The archive: it runs what arrives, or drops it as a repeat.

use crate::net::World;
use crate::plan::*;
use foldmux_harness::record::{Event as Said, Time};
use std::collections::HashMap;

#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Came {
    /// Which run it was.
    Ran(u32),
    NeverRan,
}

#[derive(Default)]
struct Kept {
    first: Time,
    group: u32,
    runs: u32,
    term: u64,
}

/// It runs, drops repeats within its window and group where the class has one, and may refuse old terms.
pub struct Archive {
    pub(super) terms: bool,
    keys: HashMap<u32, Kept>,
}

impl Archive {
    pub fn new(terms: bool) -> Archive {
        Archive {
            terms,
            keys: HashMap::new(),
        }
    }
}

impl World {
    pub(super) fn arrive(
        &mut self,
        at: usize,
        key: u32,
        group: u32,
        term: u64,
        number: u8,
    ) -> Came {
        let (name, by) = (key.to_string(), Some(at));
        self.say(Said::Reached {
            key: name.clone(),
            by,
            term: Some(term),
        });
        if self.rng.u8(..10) == 0 {
            return Came::NeverRan;
        }
        let (now, terms) = (self.now, self.archive.terms);
        let kept: &mut Kept = self.archive.keys.entry(key).or_default();
        if terms {
            // By attempt too: one that was given up is of an old term as well.
            let order = term << 8 | u64::from(number);
            if order < kept.term {
                self.say(Said::Stale {
                    key: name,
                    by,
                    term,
                });
                return Came::NeverRan;
            }
            kept.term = order;
        }
        let drops = class(key) == "keyed" && now < kept.first + WINDOW && group == kept.group;
        if kept.runs > 0 && drops {
            let run = kept.runs;
            self.say(Said::Dropped { key: name, by });
            return Came::Ran(run);
        }
        if kept.runs == 0 {
            (kept.first, kept.group) = (now, group);
        }
        kept.runs += 1;
        let run = kept.runs;
        self.say(Said::Ran {
            key: name,
            by,
            term: Some(term),
        });
        Came::Ran(run)
    }
}
