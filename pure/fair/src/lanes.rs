//! Who waits: lists within one bounded slab, so that whoever leaves is taken out at once, from anywhere.

use crate::Time;
use slab::Slab;

const NONE: usize = usize::MAX;

/// One that waits.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub id: u64,
    pub flow: u32,
    pub slow: bool,
    /// Foretold.
    pub cost: Time,
    /// After this a start is of no use.
    pub latest: Time,
    pub since: Time,
    serial: u64,
    before: usize,
    after: usize,
}

/// One list, in the order of coming.
#[derive(Clone, Copy, Debug)]
pub struct Lane {
    first: usize,
    last: usize,
    pub len: usize,
    /// What all in it are foretold to cost.
    pub cost: Time,
}

impl Default for Lane {
    fn default() -> Lane {
        Lane { first: NONE, last: NONE, len: 0, cost: 0 }
    }
}

/// Where one waits, until it is told; of no use after that.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    at: usize,
    serial: u64,
}

#[derive(Debug, Default)]
pub struct Lanes {
    slab: Slab<Waiting>,
    serial: u64,
}

impl Lanes {
    pub fn len(&self) -> usize {
        self.slab.len()
    }

    pub fn is_empty(&self) -> bool {
        self.slab.is_empty()
    }

    /// At the end of a lane. `ahead`: at its front (a planted fault alone).
    #[allow(clippy::too_many_arguments)]
    pub fn push(
        &mut self,
        lane: &mut Lane,
        (id, flow, slow): (u64, u32, bool),
        cost: Time,
        latest: Time,
        since: Time,
        ahead: bool,
    ) -> Ticket {
        self.serial += 1;
        let serial = self.serial;
        let (before, after) = if ahead { (NONE, lane.first) } else { (lane.last, NONE) };
        let at = self.slab.insert(Waiting { id, flow, slow, cost, latest, since, serial, before, after });
        self.link(lane, before, Some(at), after);
        lane.len += 1;
        lane.cost = lane.cost.saturating_add(cost);
        Ticket { at, serial }
    }

    /// Puts one, or none, between two neighbours.
    fn link(&mut self, lane: &mut Lane, before: usize, at: Option<usize>, after: usize) {
        match self.slab.get_mut(before) {
            Some(neighbour) => neighbour.after = at.unwrap_or(after),
            None => lane.first = at.unwrap_or(after),
        }
        match self.slab.get_mut(after) {
            Some(neighbour) => neighbour.before = at.unwrap_or(before),
            None => lane.last = at.unwrap_or(before),
        }
    }

    pub fn find(&self, ticket: Ticket) -> Option<&Waiting> {
        self.slab.get(ticket.at).filter(|waiting| waiting.serial == ticket.serial)
    }

    /// The first of a lane.
    pub fn pop(&mut self, lane: &mut Lane) -> Option<Waiting> {
        let first = lane.first;
        self.remove_at(lane, first)
    }

    /// Out of its lane, wherever it stands.
    pub fn remove(&mut self, lane: &mut Lane, ticket: Ticket) -> Option<Waiting> {
        self.find(ticket)?;
        self.remove_at(lane, ticket.at)
    }

    fn remove_at(&mut self, lane: &mut Lane, at: usize) -> Option<Waiting> {
        let waiting = self.slab.try_remove(at)?;
        self.link(lane, waiting.before, None, waiting.after);
        lane.len -= 1;
        lane.cost = lane.cost.saturating_sub(waiting.cost);
        Some(waiting)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;
    use std::collections::VecDeque;

    proptest! {
        /// Beside a plain list: whoever leaves, from wherever, the rest stay in their order.
        #[test]
        fn as_a_plain_list(steps in proptest::collection::vec((0..3u8, any::<prop::sample::Index>()), 0..200)) {
            let (mut lanes, mut lane) = (Lanes::default(), Lane::default());
            let mut plain: VecDeque<(u64, Ticket)> = VecDeque::new();
            for (id, (step, which)) in steps.into_iter().enumerate() {
                let id = id as u64;
                match step {
                    0 => plain.push_back((id, lanes.push(&mut lane, (id, 0, false), id, 0, 0, false))),
                    1 => {
                        let first = plain.pop_front().map(|p| p.0);
                        prop_assert_eq!(lanes.pop(&mut lane).map(|w| w.id), first);
                    }
                    _ if plain.is_empty() => {}
                    _ => {
                        let (id, ticket) = plain.remove(which.index(plain.len())).unwrap();
                        prop_assert_eq!(lanes.remove(&mut lane, ticket).map(|w| w.id), Some(id));
                        prop_assert!(lanes.remove(&mut lane, ticket).is_none(), "once");
                    }
                }
                prop_assert_eq!((lane.len, lanes.len()), (plain.len(), plain.len()));
                prop_assert_eq!(lane.cost, plain.iter().map(|p| p.0).sum::<u64>());
            }
        }
    }
}
