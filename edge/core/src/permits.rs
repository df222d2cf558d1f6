//! Concurrency permits: a pool may bound how many attempts are in flight to a kind of server, over all proxies. Without
//! pools no attempt waits.

use crate::cancellation::CancelHandle;
use crate::request::ClientRequest;
use crate::retry_after::Rejected;
use foldmux::interface::Fetch;
use std::time::Instant;

/// An attempt that is ready to be sent.
pub struct PermitRequest<'a> {
    /// The request it belongs to.
    pub request: &'a ClientRequest,
    /// The attempt as the router decided it.
    pub fetch: &'a Fetch,
    /// Cancels the wait for a permit.
    pub cancel: &'a CancelHandle,
    /// Number of the attempt within its request; a retry has one above 0.
    pub attempt: u8,
    /// When the client gives up.
    pub deadline: Instant,
}

/// Admits attempts to the pools. Called on the request's own thread, which may wait in it.
pub trait AttemptPermits: Send + Sync {
    /// A permit for the attempt, or `None` where no pool bounds it.
    ///
    /// # Errors
    ///
    /// No permit was granted in time, or the request was cancelled.
    fn acquire(&self, attempt: &PermitRequest) -> Result<Option<Box<dyn Permit>>, Rejected>;
}

/// One permit of a pool. Dropped, it returns to the pool, which charges the time that it was held.
pub trait Permit: Send {
    /// When the attempt under this permit must have ended.
    fn expires_at(&self) -> Instant;
}
