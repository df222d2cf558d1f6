//! All state that enforces a table: places by class and route, who waits for one, budgets for repeats. Bounded by the
//! table; whoever holds it says what happens and is told what may.

use crate::adaptive::Adaptive;
use crate::bucket::Buckets;
use crate::table::{Resolved, Table};
use crate::values::{Concurrency, Effective};
use crate::wait::Waiting;
use crate::Time;
use std::collections::{BTreeMap, HashMap};
use std::sync::Arc;

/// A lane: the places of one set of limits.
#[derive(Debug)]
struct Lane {
    open: u64,
    fixed: Option<u64>,
    adaptive: Option<Adaptive>,
    waiting: Waiting,
    budget: Option<usize>,
}

impl Lane {
    fn room(&self) -> bool {
        let most = self.adaptive.as_ref().map(Adaptive::limit).or(self.fixed);
        most.is_none_or(|most| self.open < most)
    }
}

/// What becomes of a request that asks for a place.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Admitted {
    Now,
    /// It is told by [`Gate::ended`] or [`Gate::expired`].
    Waits,
    Refused,
}

/// A place, by the lane that it is of; given back once.
pub type Place = (usize, Option<String>);

#[derive(Debug, Default)]
pub struct Gate {
    /// In an order, so that what is told is told in the same one each time.
    lanes: BTreeMap<Place, Lane>,
    buckets: Buckets,
    /// Fills under way by source and lane.
    fills: HashMap<(u64, usize), u64>,
}

pub fn place(resolved: &Resolved) -> Place {
    (resolved.class, resolved.route.clone())
}

impl Gate {
    pub fn new(table: &Table) -> Gate {
        let budgets: Vec<_> = table
            .budgets
            .iter()
            .map(|said| said.value.clone())
            .collect();
        let buckets = Buckets::new(&budgets);
        let lane = |resolved: &Arc<Resolved>| {
            let values = &resolved.values;
            let (fixed, adaptive) = match values.concurrency {
                None => (None, None),
                Some(Concurrency::Fixed { most }) => (Some(most), None),
                Some(Concurrency::Adaptive { least, most }) => {
                    (None, Some(Adaptive::new(least, most)))
                }
            };
            let waiting = Waiting::new(values.queue as usize, values.queue_age_ms * 1_000);
            let budget = values.budget.as_ref().and_then(|name| buckets.find(name));
            (
                place(resolved),
                Lane {
                    open: 0,
                    fixed,
                    adaptive,
                    waiting,
                    budget,
                },
            )
        };
        let lanes = table.all().map(lane).collect();
        Gate {
            lanes,
            buckets,
            fills: HashMap::new(),
        }
    }

    /// Another table takes this one's place: who is open or waits stays so, in lanes of the same name, and those of lanes
    /// that are gone end in them. Those that there is no room for any more are returned; and those that have one now.
    pub fn swap(&mut self, now: Time, table: &Table) -> (Vec<u64>, Vec<u64>) {
        let mut next = Gate::new(table);
        let (mut gone, mut admitted) = (Vec::new(), Vec::new());
        for (name, mut old) in std::mem::take(&mut self.lanes) {
            let waiting = old.waiting.drain();
            match next.lanes.get_mut(&name) {
                Some(lane) => {
                    lane.open = old.open;
                    gone.extend(
                        waiting
                            .into_iter()
                            .filter(|(id, since)| !lane.waiting.join(*since, *id))
                            .map(|w| w.0),
                    );
                    while lane.room() {
                        let Some(id) = lane.waiting.next(now) else {
                            break;
                        };
                        lane.open += 1;
                        admitted.push(id);
                    }
                }
                None => {
                    gone.extend(waiting.into_iter().map(|(id, _)| id));
                    if old.open > 0 {
                        next.lanes.insert(
                            name,
                            Lane {
                                fixed: Some(0),
                                adaptive: None,
                                budget: None,
                                ..old
                            },
                        );
                    }
                }
            }
        }
        next.fills = std::mem::take(&mut self.fills);
        *self = next;
        (gone, admitted)
    }

    pub fn admit(&mut self, now: Time, at: &Place, id: u64) -> Admitted {
        let Some(lane) = self.lanes.get_mut(at) else {
            return Admitted::Now;
        };
        if lane.waiting.is_empty() && lane.room() {
            lane.open += 1;
            return Admitted::Now;
        }
        match lane.waiting.join(now, id) {
            true => Admitted::Waits,
            false => Admitted::Refused,
        }
    }

    /// A request gives its place back; whose it is now.
    pub fn ended(&mut self, now: Time, at: &Place) -> Option<u64> {
        let lane = self.lanes.get_mut(at)?;
        lane.open = lane.open.saturating_sub(1);
        if lane.fixed == Some(0) && lane.open == 0 {
            // The last of a lane that is in the table no more.
            self.lanes.remove(at);
            return None;
        }
        if !lane.room() {
            return None;
        }
        let next = lane.waiting.next(now)?;
        lane.open += 1;
        Some(next)
    }

    /// Those who have waited for too long.
    pub fn expired(&mut self, now: Time) -> Vec<u64> {
        self.lanes
            .values_mut()
            .flat_map(|lane| lane.waiting.expire(now))
            .collect()
    }

    /// One that waits no more: its client left, or its time is over.
    pub fn left(&mut self, at: &Place, id: u64) {
        self.lanes
            .get_mut(at)
            .into_iter()
            .for_each(|lane| lane.waiting.leave(id));
    }

    /// A first attempt is made.
    pub fn first(&mut self, at: &Place) {
        if let Some(budget) = self.lanes.get(at).and_then(|lane| lane.budget) {
            self.buckets.earn(budget);
        }
    }

    /// Whether a repeat may be made, as far as budgets say.
    pub fn again(&mut self, at: &Place) -> bool {
        match self.lanes.get(at).and_then(|lane| lane.budget) {
            Some(budget) => self.buckets.take(budget),
            None => true,
        }
    }

    /// An attempt is wanted, numbered from 0: after which pause it may be made (ms), or none where it may not.
    /// `draw`: from 0 to 1.
    pub fn attempt(
        &mut self,
        at: &Place,
        values: &Effective,
        number: u64,
        draw: f64,
    ) -> Option<u64> {
        if number == 0 {
            self.first(at);
        } else if number >= values.attempts || !self.again(at) {
            return None;
        }
        Some(values.pause_ms(number, draw))
    }

    /// How an attempt ended, for limits that adapt.
    pub fn heard(&mut self, at: &Place, elapsed: Time, served: bool) {
        if let Some(lane) = self.lanes.get_mut(at) {
            let open = lane.open;
            lane.adaptive
                .iter_mut()
                .for_each(|adaptive| adaptive.ended(elapsed, served, open));
        }
    }

    /// Whether one more fill of a class may go to a source; `most` 0: any number.
    pub fn fill(&mut self, source: u64, class: usize, most: u64) -> bool {
        let count = self.fills.entry((source, class)).or_default();
        if most > 0 && *count >= most {
            return false;
        }
        *count += 1;
        true
    }

    pub fn filled(&mut self, source: u64, class: usize) {
        if let Some(count) = self.fills.get_mut(&(source, class)) {
            *count -= 1;
            if *count == 0 {
                self.fills.remove(&(source, class));
            }
        }
    }

    /// Open, and waiting, in all lanes.
    pub fn sizes(&self) -> [u64; 2] {
        let sum = |of: fn(&Lane) -> u64| self.lanes.values().map(of).sum();
        [sum(|lane| lane.open), sum(|lane| lane.waiting.len() as u64)]
    }
}

#[cfg(test)]
mod tests;
