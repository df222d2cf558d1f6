//! What is to be done: the actions that a router gives.

use super::{CacheId, RequestId, Time};

#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Ask a cache (or, where direct, a parent or the origin) for an object.
    Fetch(Fetch),
    /// Final answer: turned away, trying again is harmless.
    Refuse {
        id: RequestId,
        retry_after: Time,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        id: RequestId,
    },
    Cancel {
        id: RequestId,
        attempt: u8,
    },
    Timer {
        after: Time,
        token: u32,
    },
    Probe {
        cache: CacheId,
    },
    /// A message to every peer.
    TellPeers {
        message: Vec<u8>,
    },
    /// Subscribe to the member list.
    Watch,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Fetch {
    pub id: RequestId,
    pub cache: CacheId,
    /// 0: until the client gives up.
    pub time_out: Time,
    /// Before when its first byte must leave; 0: no bound. Guards against a repeat that was decided while the caches
    /// remembered the request, and comes to one that has forgotten it.
    pub send_by: Time,
    /// Where a miss is filled from; the cache itself: no fill.
    pub source: CacheId,
    /// Rank of the copy, 1 to 3; 0 keeps none.
    pub keep: u8,
    /// The oldest copy that will do; 0: the class's fresh time.
    pub max_age: Time,
    /// Wait for a fill that is under way.
    pub join: bool,
    /// The source gives only what it holds.
    pub hold_only: bool,
    /// Serve an ageing copy and fetch it anew behind.
    pub renew: bool,
}

/// A bound as the caches and callers are told it (ms): rounded down, as a copy must not be older than the module said;
/// but 0 would mean no bound at all.
pub fn bound_ms(time: Time) -> Option<Time> {
    (time > 0).then(|| (time / 1000).max(1))
}

impl Fetch {
    /// Whether its first byte may leave now.
    pub fn may_begin(&self, now: Time) -> bool {
        self.send_by == 0 || now < self.send_by
    }

    /// Bounds its first byte by another moment; the earlier one holds.
    pub fn begin_by(&mut self, by: Time) {
        self.send_by = if self.send_by == 0 {
            by
        } else {
            by.min(self.send_by)
        };
    }

    /// What the caches are told beside the source, the rank and the age, in their words; none: an empty text.
    pub fn flags(&self) -> String {
        let flags = [
            (self.join, "coalesce"),
            (self.hold_only, "shallow"),
            (self.renew, "freshen"),
        ];
        flags
            .iter()
            .filter(|f| f.0)
            .map(|f| f.1)
            .collect::<Vec<_>>()
            .join("+")
    }
}
