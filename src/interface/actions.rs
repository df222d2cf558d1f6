//! Actions: what a router asks its host to do.

use super::{CacheId, RequestId, Time};

/// What the host is to do, in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a cache (or, where fetches are direct, to a parent or the origin).
    Fetch(Fetch),
    /// Final result: rejected; the client may retry without harm.
    Reject {
        /// The request that ends.
        id: RequestId,
        /// The wait to advise; 0 advises none.
        retry_after: Time,
    },
    /// Final result: failed; an attempt may have been processed.
    Fail {
        /// The request that ends.
        id: RequestId,
    },
    /// Cancel an attempt whose result is no longer wanted.
    Cancel {
        /// The attempt's request.
        id: RequestId,
        /// The attempt's number within the request.
        attempt: u8,
    },
    /// Deliver [`Event::Timer`](super::Event::Timer) with this token after a while.
    StartTimer {
        /// How long from now.
        after: Time,
        /// Comes back with the event.
        token: u32,
    },
    /// Check the health of a server.
    HealthCheck {
        /// The server to check.
        cache: CacheId,
    },
    /// Send a message to every peer.
    MessagePeers {
        /// The message, opaque to the host.
        message: Vec<u8>,
    },
    /// Subscribe to the member list.
    SubscribeMembers,
}

/// One attempt of a request.
#[derive(Clone, Debug, PartialEq)]
pub struct Fetch {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The server that the attempt goes to.
    pub cache: CacheId,
    /// How long to wait for the response; 0 waits until the client gives up.
    pub timeout: Time,
    /// The moment before which the first byte must be sent; 0 sets no bound. A retry of a request with an
    /// idempotency key is safe only while the caches remember the key.
    pub send_before: Time,
    /// The server that a miss is filled from; equal to `cache`, nothing is filled.
    pub source: CacheId,
    /// Retention priority of the copy, 1 to 3; 0 stores none.
    pub retention_rank: u8,
    /// The greatest age of an acceptable copy; 0 leaves it to the class's freshness lifetime.
    pub max_age: Time,
    /// Join a fill of the same object that is under way.
    pub collapse: bool,
    /// The source responds only from what it has stored.
    pub only_if_cached: bool,
    /// Serve a stale copy and revalidate it in the background.
    pub revalidate: bool,
}

/// A bound in milliseconds, as the wire formats carry it; none where `time` is 0. Rounded down, as a copy must not be
/// older than the router allowed, but to 1 at least, as 0 means no bound on the wire.
pub fn bound_ms(time: Time) -> Option<Time> {
    (time > 0).then(|| (time / 1000).max(1))
}

impl Fetch {
    /// Whether the first byte may be sent at `now`.
    pub fn may_send(&self, now: Time) -> bool {
        self.send_before == 0 || now < self.send_before
    }

    /// Bounds the first byte by `deadline` too; the earlier bound holds.
    pub fn limit_send_before(&mut self, deadline: Time) {
        self.send_before = if self.send_before == 0 {
            deadline
        } else {
            deadline.min(self.send_before)
        };
    }

    /// The wire names of the flags that are set, joined by `+`; empty where none is.
    pub fn flags(&self) -> String {
        let flags = [
            (self.collapse, "coalesce"),
            (self.only_if_cached, "shallow"),
            (self.revalidate, "freshen"),
        ];
        flags
            .iter()
            .filter(|(set, _)| *set)
            .map(|(_, name)| *name)
            .collect::<Vec<_>>()
            .join("+")
    }
}
