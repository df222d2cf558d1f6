//! What a queue is set up with, asked and says.

use crate::lanes::Ticket;
use crate::tenants::Weight;
use crate::Time;

#[derive(Clone, Copy, Debug)]
pub struct Setup {
    pub slots: usize,
    /// Of the slots, for slow ones while quick ones wait; a third at least.
    pub slow_share: f64,
    /// The longest that a request holds a slot.
    pub longest: Time,
    pub waiting: usize,
    pub buckets: u32,
    /// What all tenants without a name weigh together.
    pub unnamed: Weight,
}

/// One that wants a slot.
#[derive(Clone, Copy, Debug)]
pub struct Wish<'a> {
    pub id: u64,
    pub tenant: &'a str,
    pub cost: Time,
    pub slow: bool,
    /// After this a start is of no use.
    pub latest: Time,
    /// It was attempted before: charged as any, and behind all of its tenant that wait.
    pub repeat: bool,
}

/// A slot of this process in use; given back once, by [`Queue::ended`].
#[derive(Debug, PartialEq, Eq)]
pub struct Place(pub(crate) usize);

#[derive(Debug, PartialEq, Eq)]
pub enum Entered {
    Now(Place),
    Waits(Ticket),
    Refused { wait: Time },
}

#[derive(Debug, PartialEq, Eq)]
pub enum Next {
    Start {
        id: u64,
        place: Place,
    },
    /// Its time is over: refused.
    Late {
        id: u64,
    },
}
