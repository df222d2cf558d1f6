//! An attempt from the router's decision to the report of its outcome.

use crate::event_loop_handle::EventLoopHandle;
use crate::messages::{AttemptTarget, Command};
use crate::metrics::Metrics;
use foldmux::interface::*;
use std::sync::Arc;

/// An attempt that the router counts as in flight until its outcome is reported. If no outcome was reported, the drop reports
/// one, so that after a panic in a request's thread the router doesn't count its attempt as in flight forever.
pub(crate) struct InFlightAttempt {
    event_loop: EventLoopHandle,
    metrics: Arc<Metrics>,
    id: RequestId,
    target: AttemptTarget,
    /// The outcome to report on drop; `None` once one was reported.
    unreported: Option<Outcome>,
}

impl InFlightAttempt {
    /// Creates an attempt that was decided on and is not sent yet.
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

    /// Records that the attempt may execute from here on.
    pub(crate) fn mark_sent(&mut self) {
        self.unreported = Some(Outcome::Cancelled);
    }

    /// Reports the outcome. If `last`, the request makes no other attempt, whatever the router decides.
    pub(crate) fn finish(mut self, outcome: Outcome, last: bool) {
        self.unreported = None;
        self.report(outcome, last);
    }

    /// Ends the attempt without a report: the router gave it up by itself and has decided on the next.
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
