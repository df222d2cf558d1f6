//! Concurrency permits: a pool may limit how many attempts are in flight to a kind of server, across all proxies. Without
//! pools, no attempt waits.

use crate::cancellation::CancelHandle;
use crate::request::ClientRequest;
use crate::retry_after::Rejected;
use foldmux::interface::Fetch;
use std::time::Instant;

/// An attempt that is ready to be sent.
pub struct PermitRequest<'a> {
    /// The request it belongs to.
    pub request: &'a ClientRequest,
    /// The router's decision.
    pub fetch: &'a Fetch,
    /// Wakes the wait for a permit when the attempt is cancelled.
    pub cancel: &'a CancelHandle,
    /// Number of the attempt within its request, from 0; a retry has a number above 0.
    pub attempt: u8,
    /// When the attempt must have ended.
    pub deadline: Instant,
}

/// Acquires permits from the pools.
pub trait AttemptPermits: Send + Sync {
    /// Acquires a permit for the attempt; `None` if no pool limits it. Called on the request's own thread, which it may block.
    ///
    /// # Errors
    ///
    /// No permit was granted in time, or the request was cancelled.
    fn acquire(&self, attempt: &PermitRequest) -> Result<Option<Box<dyn Permit>>, Rejected>;
}

/// One permit of a pool. On drop it returns to the pool, which charges the time that it was held.
pub trait Permit: Send {
    /// Returns when an attempt with this permit must have ended.
    fn expires_at(&self) -> Instant;
}
