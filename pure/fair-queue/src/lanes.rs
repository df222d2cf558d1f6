//! Waiting requests: linked lists within one bounded slab, so that a request can be removed at once from any
//! position.

use crate::Time;
use slab::Slab;

/// Marks the end of a list.
const NONE: usize = usize::MAX;

/// A waiting request.
#[derive(Clone, Copy, Debug)]
pub struct Waiting {
    pub id: u64,
    pub flow: u32,
    pub slow: bool,
    /// Predicted slot time (us).
    pub cost: Time,
    /// When a start is of no more use (us).
    pub start_deadline: Time,
    /// When it began to wait (us).
    pub since: Time,
    /// Tells a ticket of this request from one of an earlier request at the same index.
    serial: u64,
    prev: usize,
    next: usize,
}

/// One list, in order of arrival.
#[derive(Clone, Copy, Debug)]
pub struct Lane {
    first: usize,
    last: usize,
    pub len: usize,
    /// Predicted slot time of all requests in it (us).
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

/// Identifies a waiting request; no longer valid once the request starts or is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Ticket {
    index: usize,
    serial: u64,
}

/// Storage of all lanes.
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

    /// Appends a request to a lane; with `at_front` (planted fault only) it goes to the front.
    #[allow(clippy::too_many_arguments)]
    pub fn push(
        &mut self,
        lane: &mut Lane,
        (id, flow, slow): (u64, u32, bool),
        cost: Time,
        start_deadline: Time,
        since: Time,
        at_front: bool,
    ) -> Ticket {
        self.serial += 1;
        let serial = self.serial;
        let (prev, next) = if at_front {
            (NONE, lane.first)
        } else {
            (lane.last, NONE)
        };
        let index = self.slab.insert(Waiting {
            id,
            flow,
            slow,
            cost,
            start_deadline,
            since,
            serial,
            prev,
            next,
        });
        self.link(lane, prev, Some(index), next);
        lane.len += 1;
        lane.cost = lane.cost.saturating_add(cost);
        Ticket { index, serial }
    }

    /// Joins two neighbours, with a request between them or directly.
    fn link(&mut self, lane: &mut Lane, prev: usize, index: Option<usize>, next: usize) {
        match self.slab.get_mut(prev) {
            Some(neighbour) => neighbour.next = index.unwrap_or(next),
            None => lane.first = index.unwrap_or(next),
        }
        match self.slab.get_mut(next) {
            Some(neighbour) => neighbour.prev = index.unwrap_or(prev),
            None => lane.last = index.unwrap_or(prev),
        }
    }

    /// The waiting request of a ticket, unless it no longer waits.
    pub fn find(&self, ticket: Ticket) -> Option<&Waiting> {
        self.slab
            .get(ticket.index)
            .filter(|waiting| waiting.serial == ticket.serial)
    }

    /// Removes the first request of a lane.
    pub fn pop(&mut self, lane: &mut Lane) -> Option<Waiting> {
        let first = lane.first;
        self.remove_at(lane, first)
    }

    /// Removes a request from any position of its lane.
    pub fn remove(&mut self, lane: &mut Lane, ticket: Ticket) -> Option<Waiting> {
        self.find(ticket)?;
        self.remove_at(lane, ticket.index)
    }

    fn remove_at(&mut self, lane: &mut Lane, index: usize) -> Option<Waiting> {
        let waiting = self.slab.try_remove(index)?;
        self.link(lane, waiting.prev, None, waiting.next);
        lane.len -= 1;
        lane.cost = lane.cost.saturating_sub(waiting.cost);
        Some(waiting)
    }
}

#[cfg(test)]
mod tests;
