//! How many bytes are taken, by whom, and who waits for more.

use std::collections::VecDeque;

/// Of the buffers for responses, one in so many more may hold a request body at any time.
const BODY_SLOT_DIVISOR: usize = 4;
/// Beyond these, bodies may use one part in this many of all memory,
const BODY_TOTAL_DIVISOR: usize = 4;
/// and one part in this many of what may be taken now: the responses to their requests need memory, too.
const BODY_LIMIT_DIVISOR: usize = 2;

/// The place of a reservation among those that wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct Ticket(u64);

/// Bytes that are reserved, within a limit that may change.
pub(super) struct Reservations {
    total: usize,
    limit: usize,
    reserved: usize,
    bodies: usize,
    body_bytes: usize,
    body_slots: usize,
    waiting: VecDeque<Ticket>,
    next_ticket: u64,
}

impl Reservations {
    /// `total`: bytes that may be reserved at most; `buffers`: responses at once.
    pub(super) fn new(total: usize, buffers: usize) -> Reservations {
        Reservations {
            total,
            limit: total,
            reserved: 0,
            bodies: 0,
            body_bytes: 0,
            body_slots: (buffers / BODY_SLOT_DIVISOR).max(1),
            waiting: VecDeque::new(),
            next_ticket: 0,
        }
    }

    pub(super) fn set_limit(&mut self, bytes: usize) {
        self.limit = bytes;
    }

    /// Bytes that are reserved, those of request bodies among them.
    pub(super) fn reserved(&self) -> usize {
        self.reserved
    }

    /// Number of request bodies.
    pub(super) fn bodies(&self) -> usize {
        self.bodies
    }

    /// Whether `bytes` more stay within the limit.
    pub(super) fn fits(&self, bytes: usize) -> bool {
        self.reserved + bytes <= self.limit
    }

    pub(super) fn add(&mut self, bytes: usize) {
        self.reserved += bytes;
    }

    pub(super) fn remove(&mut self, bytes: usize) {
        self.reserved -= bytes;
    }

    /// Whether one of the few request bodies that are taken whatever is reserved is left.
    pub(super) fn has_slot_for_body(&self) -> bool {
        self.bodies < self.body_slots
    }

    /// Whether request bodies may use `bytes` more of the memory, if they fit.
    pub(super) fn may_add_body(&self, bytes: usize) -> bool {
        let most = (self.total / BODY_TOTAL_DIVISOR).min(self.limit / BODY_LIMIT_DIVISOR);
        !self.has_waiting() && self.body_bytes + bytes <= most
    }

    pub(super) fn add_body(&mut self, bytes: usize) {
        self.add(bytes);
        self.body_bytes += bytes;
        self.bodies += 1;
    }

    pub(super) fn remove_body(&mut self, bytes: usize) {
        self.remove(bytes);
        self.body_bytes -= bytes;
        self.bodies -= 1;
    }

    /// Takes the last place among those that wait.
    pub(super) fn enqueue(&mut self) -> Ticket {
        let ticket = Ticket(self.next_ticket);
        self.next_ticket += 1;
        self.waiting.push_back(ticket);
        ticket
    }

    /// Number of those that wait.
    #[cfg(test)]
    pub(super) fn waiting(&self) -> usize {
        self.waiting.len()
    }

    pub(super) fn has_waiting(&self) -> bool {
        !self.waiting.is_empty()
    }

    pub(super) fn is_first(&self, ticket: Ticket) -> bool {
        self.waiting.front() == Some(&ticket)
    }

    /// Leaves the place, wherever it is; whether others wait.
    pub(super) fn dequeue(&mut self, ticket: Ticket) -> bool {
        self.waiting.retain(|other| *other != ticket);
        self.has_waiting()
    }
}
