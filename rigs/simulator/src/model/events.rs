//! What happens in a day, each at its time.

use super::store::Part;
use foldmux::interface::{CacheStatus, Fetch, Outcome, RequestId, Time};
use foldmux_hierarchy::in_flight::{FetchId, FillContext};

/// Who is told how a fill ended.
#[derive(Clone, Copy)]
pub(super) enum Back {
    Box {
        cache: usize,
        request: RequestId,
        attempt: u8,
    },
    Hub {
        hub: usize,
        fetch: FetchId,
        attempt: u32,
    },
}

/// A fill on its way to a hub or the archive.
#[derive(Clone)]
pub(super) struct Fill {
    pub(super) part: Part,
    pub(super) size_kb: f64,
    pub(super) arrival: FillContext,
    pub(super) way: Vec<usize>,
    pub(super) past: Vec<usize>,
    pub(super) born_after: Time,
    pub(super) hold_only: bool,
    pub(super) until: Time,
}

/// How a fill ended.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Got {
    Copy { born: Time, hops: u32 },
    Lacks,
    Refused,
}

/// One event of the day.
pub(super) enum Event {
    Arrive {
        edge: usize,
    },
    Timer {
        edge: usize,
        token: u32,
    },
    AtBox {
        edge: usize,
        fetch: Fetch,
        attempt: u8,
    },
    AtHub {
        hub: usize,
        fill: Fill,
        back: Back,
    },
    AtArchive {
        fill: Fill,
        back: Back,
    },
    Answer {
        back: Back,
        got: Got,
    },
    /// A cache box has what it was asked for, or not.
    Done {
        edge: usize,
        request: RequestId,
        attempt: u8,
        outcome: Outcome,
        note: CacheStatus,
        born: Time,
        sent: Time,
    },
    Served {
        edge: usize,
        request: RequestId,
    },
    Purge,
    Purged {
        edge: usize,
        object: u64,
        at: Time,
    },
    Drop {
        cache: usize,
        object: u64,
        at: Time,
    },
    Rewire {
        change: usize,
    },
    Told {
        node: Who,
        change: usize,
    },
}

/// Who is told of a new tree.
#[derive(Clone, Copy)]
pub(super) enum Who {
    Hub(usize),
    Edge(usize),
}
