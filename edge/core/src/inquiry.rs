//! What a front asks and how it is answered.

use crate::buffers::Lease;
use crate::clock::span;
use foldmux::interface::*;
use std::ops::Range;
use std::sync::Arc;
use std::time::Instant;

/// A request as a front read and checked it.
pub struct Inquiry {
    /// The client's id for it.
    pub via: u64,
    /// The class's place in the module's list. A reload gives it to another class only once no one holds it.
    pub class: Arc<usize>,
    pub class_name: Arc<str>,
    pub object: u64,
    pub part: u32,
    pub group: u32,
    pub size_kb: f64,
    pub token: Option<String>,
    pub got: Option<String>,
    pub body: Option<(Lease, usize)>,
    pub arrived: Instant,
    /// How long until the client gives this up, from `arrived`.
    pub budget: Time,
    /// Which front it came by, and who its caller proved to be: what limits may go by.
    pub front: &'static str,
    pub caller: Arc<str>,
    /// An attempt made elsewhere may have run: only this group of caches may be asked.
    pub within: Option<u32>,
}

/// The bytes of a part, whole, in the buffer that they were read into.
pub struct Served {
    pub bytes: Lease,
    pub body: Range<usize>,
}

pub enum Answer {
    Served(Served),
    /// The copy that the client holds is the one.
    Same,
    Shed {
        wait: Time,
    },
    Failed,
}

/// Where a front takes an answer. Dropped without one, it tells its client that the request failed.
pub trait Reply: Send {
    fn answer(self: Box<Self>, answer: Answer);
}

/// Taken off what a client says that it waits (us): the request's way here, the answer's way back, and the time between two
/// looks of the module's at what is overdue (25 ms). None of these is less where the wait is: a retry has what is left of
/// its client's time, and with a tenth of that taken off some were answered too late.
const WAYS: Time = 30_000;

/// Of what a client says that it waits (us), what is left for its request here.
pub fn without_ways(wait: Time) -> Time {
    wait.saturating_sub(WAYS).max(1)
}

pub(crate) fn left(deadline: Instant) -> Time {
    deadline
        .saturating_duration_since(Instant::now())
        .as_micros() as Time
}

pub(crate) fn ask(inquiry: &Inquiry, id: RequestId, lease: Time) -> Ask {
    let deadline = inquiry.arrived + span(inquiry.budget);
    Ask {
        id,
        class: *inquiry.class,
        object: ObjectId(inquiry.object),
        part: inquiry.part,
        group: inquiry.group,
        size_kb: inquiry.size_kb,
        budget: left(deadline),
        lease,
        within: inquiry.within,
    }
}
