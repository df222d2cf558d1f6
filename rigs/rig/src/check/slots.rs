//! Slots: never more taken than the pool has, in the whole fleet, as the pool's other side sees it.

use super::Verdict;
use crate::record::{Event, Line};
use std::collections::HashMap;

#[derive(Default)]
pub(super) struct Slots {
    /// By pool: its cap, where it has one, and what is taken.
    pools: HashMap<String, (Option<u64>, u64)>,
}

impl Slots {
    pub fn take(&mut self, line: &Line, verdict: &mut Verdict) {
        match &line.event {
            Event::Cap { pool, slots } => self.pools.entry(pool.clone()).or_default().0 = Some(*slots),
            Event::Taken { pool, by } => {
                let (cap, taken) = self.pools.entry(pool.clone()).or_default();
                *taken += 1;
                let taken = *taken;
                if let Some(cap) = cap.filter(|cap| taken > *cap) {
                    verdict.cap_overrun += 1;
                    verdict.tell(line.at, || format!("{pool}: {taken} of {cap} taken, the last by {by:?}"));
                }
            }
            Event::Given { pool, .. } => {
                let (_, taken) = self.pools.entry(pool.clone()).or_default();
                *taken = taken.saturating_sub(1);
            }
            _ => {}
        }
    }
}
