//! The shared services that a request uses while it is served.

use crate::attempt::UpstreamClient;
use crate::attempt_history::AttemptHistory;
use crate::buffers::BufferPool;
use crate::event_loop_handle::EventLoopHandle;
use crate::limits::Limiter;
use crate::log_throttle::LogThrottle;
use crate::metrics::{Completion, Metrics};
use crate::permits::AttemptPermits;
use crate::request::ClientRequest;
use crate::retry_after::{Rejected, RetryAfter};
use crate::servers::ServerList;
use std::sync::{Arc, OnceLock};
use std::time::Instant;

/// References to the parts of [`Core`](crate::core::Core) that requests use.
pub(crate) struct Services<'a> {
    pub(crate) event_loop: &'a EventLoopHandle,
    pub(crate) servers: &'a ServerList,
    pub(crate) buffers: &'a Arc<BufferPool>,
    pub(crate) upstream: &'a dyn UpstreamClient,
    pub(crate) metrics: &'a Arc<Metrics>,
    /// Limits the rate of log lines for requests that were not served.
    pub(crate) unserved_log: &'a LogThrottle,
    pub(crate) limiter: Option<&'a Limiter>,
    /// Read at each attempt, as the fleet, and with it the pools, starts after the fronts.
    pub(crate) permits: &'a OnceLock<Arc<dyn AttemptPermits>>,
    pub(crate) retry_after: &'a RetryAfter,
}

impl Services<'_> {
    /// Returns a rejection by the core itself.
    pub(crate) fn rejected(&self) -> Rejected {
        Rejected {
            retry_after: self.retry_after.get(),
        }
    }

    /// Counts how a request ended. Logs a request that was not served, if the throttle admits the line.
    pub(crate) fn record_completion(
        &self,
        request: &ClientRequest,
        completion: Completion,
        history: &AttemptHistory,
    ) {
        let class = &request.class_name;
        self.metrics.record_completion(Some(class), completion);
        if completion.reason().is_none() || !self.unserved_log.admits(Instant::now()) {
            return;
        }
        let after = request.arrived_at.elapsed().as_millis();
        tracing::info!(
            "request {:016x} class {class}: {completion}; {history}; after {after} ms",
            request.via_id
        );
    }
}
