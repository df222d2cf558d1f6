//! Actions: what a router tells its host to do.

use super::{CacheId, RequestId, Time};

/// An instruction to the host. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Send an attempt to a cache, or with direct fetches to a parent or the origin.
    Fetch(Fetch),
    /// Final result: rejected. The client can retry safely.
    Reject {
        /// The request that ends.
        id: RequestId,
        /// The Retry-After to send to the client; 0 sends none.
        retry_after: Time,
    },
    /// Final result: failed. An attempt may have been processed.
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
    /// Deliver [`Event::Timer`](super::Event::Timer) with `token` once `after` has elapsed.
    StartTimer {
        /// Delay from now.
        after: Time,
        /// Returned with the event.
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
    /// The request may be executed any number of times.
    pub is_idempotent: bool,
    /// The moment before which the first byte must be sent; 0 sets no bound. A retry of a request with an
    /// idempotency key is safe only while the caches remember the key.
    pub send_before: Time,
    /// The server that a miss is filled from. If it equals `cache`, nothing is filled.
    pub source: CacheId,
    /// Retention priority of the copy, 1 to 3; 0 stores none.
    pub retention_rank: u8,
    /// The maximum age of an acceptable copy; 0 leaves it to the class's freshness lifetime.
    pub max_age: Time,
    /// Join a fill of the same object that is already in progress (request collapsing).
    pub collapse: bool,
    /// The source responds only with a stored copy.
    pub only_if_cached: bool,
    /// Serve a stale copy and revalidate it in the background (stale-while-revalidate).
    pub revalidate: bool,
}

/// Converts a bound to milliseconds, as the wire formats carry it; `None` if `time` is 0.
///
/// Rounds down, as a copy must not be older than the router allowed, but to at least 1, as 0 means no bound on the
/// wire.
pub fn bound_ms(time: Time) -> Option<Time> {
    (time > 0).then(|| (time / 1000).max(1))
}

impl Fetch {
    /// Whether the first byte may be sent at `now`.
    pub fn may_send(&self, now: Time) -> bool {
        self.send_before == 0 || now < self.send_before
    }

    /// Also requires that the copy is no older than `max_age`, as a purge was recorded after the router decided; the stricter
    /// bound applies. A copy from before the purge must not be served while another is fetched.
    pub fn limit_max_age(&mut self, max_age: Time) {
        self.max_age = if self.max_age == 0 {
            max_age
        } else {
            max_age.min(self.max_age)
        };
        self.revalidate = false;
    }

    /// Also requires that the first byte is sent before `deadline`; the earlier bound applies.
    pub fn limit_send_before(&mut self, deadline: Time) {
        self.send_before = if self.send_before == 0 {
            deadline
        } else {
            deadline.min(self.send_before)
        };
    }

    /// The wire names of the flags that are set, joined by `+`; empty if none is set.
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
