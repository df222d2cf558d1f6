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
        Lane {
            first: NONE,
            last: NONE,
            len: 0,
            cost: 0,
        }
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
        let (before, after) = if ahead {
            (NONE, lane.first)
        } else {
            (lane.last, NONE)
        };
        let at = self.slab.insert(Waiting {
            id,
            flow,
            slow,
            cost,
            latest,
            since,
            serial,
            before,
            after,
        });
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
        self.slab
            .get(ticket.at)
            .filter(|waiting| waiting.serial == ticket.serial)
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
mod tests;
