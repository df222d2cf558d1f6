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
        let budgets: Vec<_> = table.budgets.iter().map(|said| said.value.clone()).collect();
        let buckets = Buckets::new(&budgets);
        let lane = |resolved: &Arc<Resolved>| {
            let values = &resolved.values;
            let (fixed, adaptive) = match values.concurrency {
                None => (None, None),
                Some(Concurrency::Fixed { most }) => (Some(most), None),
                Some(Concurrency::Adaptive { least, most }) => (None, Some(Adaptive::new(least, most))),
            };
            let waiting = Waiting::new(values.queue as usize, values.queue_age_ms * 1_000);
            let budget = values.budget.as_ref().and_then(|name| buckets.find(name));
            (place(resolved), Lane { open: 0, fixed, adaptive, waiting, budget })
        };
        let lanes = table.all().map(lane).collect();
        Gate { lanes, buckets, fills: HashMap::new() }
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
                        let Some(id) = lane.waiting.next(now) else { break };
                        lane.open += 1;
                        admitted.push(id);
                    }
                }
                None => {
                    gone.extend(waiting.into_iter().map(|(id, _)| id));
                    if old.open > 0 {
                        next.lanes.insert(name, Lane { fixed: Some(0), adaptive: None, budget: None, ..old });
                    }
                }
            }
        }
        next.fills = std::mem::take(&mut self.fills);
        *self = next;
        (gone, admitted)
    }

    pub fn admit(&mut self, now: Time, at: &Place, id: u64) -> Admitted {
        let Some(lane) = self.lanes.get_mut(at) else { return Admitted::Now };
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
        self.lanes.values_mut().flat_map(|lane| lane.waiting.expire(now)).collect()
    }

    /// One that waits no more: its client left, or its time is over.
    pub fn left(&mut self, at: &Place, id: u64) {
        self.lanes.get_mut(at).into_iter().for_each(|lane| lane.waiting.leave(id));
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
    pub fn attempt(&mut self, at: &Place, values: &Effective, number: u64, draw: f64) -> Option<u64> {
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
            lane.adaptive.iter_mut().for_each(|adaptive| adaptive.ended(elapsed, served, open));
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
mod tests {
    use super::*;
    use crate::table::{Draft, Said};
    use crate::values::{Budget, Layer};
    use crate::Account;
    use proptest::prelude::*;

    fn table(places: u64, queue: u64, class: &str) -> Table {
        let layer = Layer {
            concurrency: Some(Concurrency::Fixed { most: places }),
            queue: Some(queue),
            queue_age_ms: Some(100),
            budget: Some("b".into()),
            ..Layer::default()
        };
        let budget = Budget { name: "b".into(), percent: 10.0, burst: 2, parent: None };
        let said = |value| Said { at: "f:1".to_string(), value };
        let draft = Draft {
            classes: vec![Said { at: "f:2".into(), value: (class.to_string(), layer) }],
            budgets: vec![said(budget)],
            ..Draft::default()
        };
        Table::new(&Account::default(), &draft)
    }

    #[test]
    fn places_are_given_in_turn_and_budgets_bound_repeats() {
        let table = table(1, 2, "mix-video");
        let mut gate = Gate::new(&table);
        let at = place(&table.by_class[0][0]);
        let answers: Vec<Admitted> = (0..4).map(|id| gate.admit(0, &at, id)).collect();
        assert_eq!(answers, [Admitted::Now, Admitted::Waits, Admitted::Waits, Admitted::Refused]);
        assert_eq!((gate.ended(10, &at), gate.sizes()), (Some(1), [1, 1]));
        gate.left(&at, 2);
        assert_eq!((gate.ended(20, &at), gate.sizes()), (None, [0, 0]));
        assert!(gate.again(&at) && gate.again(&at) && !gate.again(&at));
        (0..10).for_each(|_| gate.first(&at));
        assert!(gate.again(&at));
        // Another class has no bounds.
        let other = place(&table.by_class[1][0]);
        assert!((0..100).all(|id| gate.admit(0, &other, id) == Admitted::Now && gate.again(&other)));
    }

    #[test]
    fn a_flood_of_one_class_takes_no_place_of_another() {
        let layers = ["formula-card", "mix-record"].map(|class| {
            let concurrency = Some(Concurrency::Fixed { most: 5 });
            Said {
                at: "f:1".to_string(),
                value: (class.to_string(), Layer { concurrency, ..Layer::default() }),
            }
        });
        let draft = Draft { classes: layers.to_vec(), ..Draft::default() };
        let table = Table::new(&Account::default(), &draft);
        let mut gate = Gate::new(&table);
        let [card, record] = [1, 2].map(|class| place(&table.by_class[class][0]));
        let refused = (0..1_000).filter(|id| gate.admit(0, &card, *id) == Admitted::Refused).count();
        assert_eq!(refused, 995);
        assert!((0..5).all(|id| gate.admit(0, &record, 5_000 + id) == Admitted::Now));
    }

    #[test]
    fn another_table_keeps_who_is_open_and_who_waits() {
        let before = table(1, 4, "mix-video");
        let mut gate = Gate::new(&before);
        let at = place(&before.by_class[0][0]);
        (0..4).for_each(|id| {
            gate.admit(0, &at, id);
        });
        // Two places, and one in the line.
        let (gone, admitted) = gate.swap(5, &table(2, 1, "mix-video"));
        assert_eq!((gone, admitted, gate.sizes()), (vec![2, 3], vec![1], [2, 0]));
        assert_eq!(gate.admit(5, &at, 9), Admitted::Waits);
        // The lane is gone from the table: its requests end in it.
        let (gone, _) = gate.swap(6, &table(2, 1, "mix-record"));
        assert_eq!((gone, gate.sizes()), (vec![9], [2, 0]));
        assert_eq!((gate.ended(7, &at), gate.ended(8, &at), gate.sizes()), (None, None, [0, 0]));
    }

    #[derive(Clone, Copy, Debug)]
    enum Step {
        Ask,
        End,
        Wait(u8),
        Swap(u8, u8),
    }

    fn steps() -> impl Strategy<Value = Vec<Step>> {
        let step = prop_oneof![
            4 => Just(Step::Ask),
            3 => Just(Step::End),
            2 => any::<u8>().prop_map(Step::Wait),
            1 => (1u8..5, 0u8..5).prop_map(|(places, queue)| Step::Swap(places, queue)),
        ];
        proptest::collection::vec(step, 0..200)
    }

    proptest! {
        /// Whatever is asked, ended, let go and swapped: each request has one end, no more are open than there are places
        /// (but for those that were open before), and all is given back.
        #[test]
        fn every_place_is_given_back_and_no_one_waits_for_ever(steps in steps()) {
            let mut now = 0;
            let mut most = 2;
            let first = table(2, 3, "mix-video");
            let mut gate = Gate::new(&first);
            let at = place(&first.by_class[0][0]);
            let (mut open, mut waits, mut next) = (Vec::new(), Vec::new(), 0u64);
            for step in steps {
                match step {
                    Step::Ask => {
                        next += 1;
                        match gate.admit(now, &at, next) {
                            Admitted::Now => open.push(next),
                            Admitted::Waits => waits.push(next),
                            Admitted::Refused => {}
                        }
                    }
                    Step::End if open.is_empty() => {}
                    Step::End => {
                        open.pop();
                        if let Some(id) = gate.ended(now, &at) {
                            prop_assert!(waits.contains(&id));
                            waits.retain(|w| *w != id);
                            open.push(id);
                        }
                    }
                    Step::Wait(ms) => {
                        now += ms as u64 * 1_000;
                        let over = gate.expired(now);
                        prop_assert!(over.iter().all(|id| waits.contains(id)));
                        waits.retain(|w| !over.contains(w));
                    }
                    Step::Swap(places, queue) => {
                        let (gone, admitted) = gate.swap(now, &table(places as u64, queue as u64, "mix-video"));
                        most = places as usize;
                        waits.retain(|w| !gone.contains(w) && !admitted.contains(w));
                        open.extend(admitted);
                    }
                }
                prop_assert_eq!(gate.sizes(), [open.len() as u64, waits.len() as u64]);
                prop_assert!(waits.is_empty() || open.len() >= most);
            }
            while open.pop().is_some() {
                open.extend(gate.ended(now, &at));
            }
            prop_assert_eq!(gate.sizes(), [0, 0]);
        }
    }
}
