//! Configuration, input and output types of the queue.

use crate::lanes::Ticket;
use crate::tenants::Weight;
use crate::Time;

/// Configuration of a queue.
#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub slots: usize,
    /// Share of the slots that slow requests may use while quick ones wait; a third at least.
    pub slow_share: f64,
    /// The longest that a request holds a slot (us).
    pub max_slot_time: Time,
    /// Most requests that wait.
    pub max_waiting: usize,
    /// Number of buckets that unnamed tenants share.
    pub buckets: u32,
    /// Weight of all unnamed tenants together.
    pub unnamed_weight: Weight,
}

/// A request that needs a slot.
#[derive(Clone, Copy, Debug)]
pub struct SlotRequest<'a> {
    pub id: u64,
    pub tenant: &'a str,
    /// Predicted slot time (us).
    pub cost: Time,
    pub slow: bool,
    /// When a start is of no more use (us).
    pub start_deadline: Time,
    /// Whether the request was attempted before. A retry is charged like any other request and waits behind those of
    /// its tenant that wait.
    pub is_retry: bool,
}

/// A request that runs; passed to [`crate::Queue::finish`] once.
#[derive(Debug, PartialEq, Eq)]
pub struct RunHandle(pub(crate) usize);

/// What the queue did with a new request.
#[derive(Debug, PartialEq, Eq)]
pub enum Admission {
    Started(RunHandle),
    Queued(Ticket),
    /// The client should wait this long before a retry (us).
    Rejected {
        retry_after: Time,
    },
}

/// What the queue did with a waiting request.
#[derive(Debug, PartialEq, Eq)]
pub enum Dispatch {
    Start {
        id: u64,
        run: RunHandle,
    },
    /// It could no longer start in time.
    TimedOut {
        id: u64,
    },
}
