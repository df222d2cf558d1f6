//! An attempt between the router's decision and the report of its outcome.

use crate::event_loop::EventLoopHandle;
use crate::messages::{AttemptTarget, Command};
use crate::metrics::Metrics;
use foldmux::interface::*;
use std::sync::Arc;

/// An attempt that the router counts as in flight until its outcome is reported. The drop reports one where nobody did, so
/// that a panic in a request's thread cannot leave a server with an attempt that never ends.
pub(crate) struct InFlightAttempt {
    event_loop: EventLoopHandle,
    metrics: Arc<Metrics>,
    id: RequestId,
    target: AttemptTarget,
    /// The outcome to report on drop; `None` once one was reported.
    unreported: Option<Outcome>,
}

impl InFlightAttempt {
    /// An attempt that was decided and not sent yet.
    pub(crate) fn new(
        event_loop: &EventLoopHandle,
        metrics: &Arc<Metrics>,
        id: RequestId,
        target: AttemptTarget,
    ) -> InFlightAttempt {
        InFlightAttempt {
            event_loop: event_loop.clone(),
            metrics: metrics.clone(),
            id,
            target,
            unreported: Some(Outcome::NeverSent),
        }
    }

    /// From here on the attempt may execute.
    pub(crate) fn mark_sent(&mut self) {
        self.unreported = Some(Outcome::Cancelled);
    }

    /// Reports the outcome. `last`: the request makes no other attempt, whatever the router decides.
    pub(crate) fn finish(mut self, outcome: Outcome, last: bool) {
        self.unreported = None;
        self.report(outcome, last);
    }

    /// Reports nothing: the router has given the attempt up by itself, and decided the next.
    pub(crate) fn discard(mut self) {
        self.unreported = None;
    }

    fn report(&self, outcome: Outcome, last: bool) {
        self.metrics.record_attempt(outcome);
        let elapsed = self.target.decided_at.elapsed().as_micros() as Time;
        self.event_loop.send(Command::Outcome(AttemptReport {
            id: self.id,
            attempt: self.target.attempt,
            outcome,
            cache_status: CacheStatus::Unknown,
            elapsed,
            last,
        }));
    }
}

impl Drop for InFlightAttempt {
    fn drop(&mut self) {
        if let Some(outcome) = self.unreported {
            self.report(outcome, true);
        }
    }
}
