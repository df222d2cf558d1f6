//! Slots: never more taken than the pool has, in the whole fleet, as the pool's other side sees it.

use super::Verdict;
use crate::record::{Event, Line, Time};
use std::collections::HashMap;

/// A request that was given up is seen to be so a moment later, while its slot may be used again: more than the cap for no
/// longer than this is no overrun (us). A slot that two hold is held for as long as a request takes.
const SEEN: Time = 50_000;

#[derive(Default)]
struct Pool {
    cap: Option<u64>,
    taken: u64,
    /// Since when there are too many, how many at the most, and who came last.
    over: Option<(Time, u64, Option<usize>)>,
}

#[derive(Default)]
pub(super) struct Slots {
    pools: HashMap<String, Pool>,
}

impl Slots {
    pub fn take(&mut self, line: &Line, verdict: &mut Verdict) {
        match &line.event {
            Event::Cap { pool, slots } => {
                self.pools.entry(pool.clone()).or_default().cap = Some(*slots)
            }
            Event::Taken { pool, by } => {
                let own = self.pools.entry(pool.clone()).or_default();
                own.taken += 1;
                if own.cap.is_some_and(|cap| own.taken > cap) {
                    let (since, most, _) = own.over.unwrap_or((line.at, 0, None));
                    own.over = Some((since, most.max(own.taken), *by));
                }
            }
            Event::Given { pool, .. } => {
                let own = self.pools.entry(pool.clone()).or_default();
                own.taken = own.taken.saturating_sub(1);
                if own.cap.is_none_or(|cap| own.taken <= cap) {
                    own.judge(pool, line.at, verdict);
                }
            }
            _ => {}
        }
    }

    /// What is over the cap when the record ends stays so.
    pub fn end(mut self, verdict: &mut Verdict) {
        self.pools
            .iter_mut()
            .for_each(|(name, pool)| pool.judge(name, Time::MAX, verdict));
    }
}

impl Pool {
    fn judge(&mut self, name: &str, now: Time, verdict: &mut Verdict) {
        let (Some((since, most, by)), Some(cap)) = (self.over.take(), self.cap) else {
            return;
        };
        if now - since > SEEN {
            verdict.cap_overrun += most - cap;
            verdict.tell(since, || {
                format!("{name}: {most} of {cap} taken, the last by {by:?}")
            });
        }
    }
}
