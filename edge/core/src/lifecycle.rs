//! The lifecycle of one request on its own thread, in phases: admit, decide, attempt, report, respond.
//!
//! [`run`] takes a request through all phases and returns how it ended, with its final response if one is owed:
//!
//! 1. *admit*: acquire a buffer for the response, and a concurrency slot under the limits of its class;
//! 2. *decide*: receive a directive from the router;
//! 3. *attempt*: acquire the permits that the attempt needs, and have the upstream client make it;
//! 4. *report*: report the outcome to the router, the limits and the record; without a response, back to 2;
//! 5. *respond*: return the attempt's response, or the rejection or failure that ended the request.

use crate::admission::{admit, await_permission, NotAdmitted};
use crate::attempt::{Attempt, Payload};
use crate::attempt_history::AttemptHistory;
use crate::buffers::Buffer;
use crate::cancellation::CancelHandle;
use crate::in_flight::InFlightAttempt;
use crate::limits::{FillPermit, RequestLimits};
use crate::messages::{AttemptTarget, Command, Directive, DIRECTIVE_CAPACITY};
use crate::metrics::Completion;
use crate::permits::{Permit, PermitRequest};
use crate::reason::Reason;
use crate::records::{AttemptIntent, OwnedRecord};
use crate::rejection::{reject_or_fail, rejected_by_router};
use crate::request::{ClientRequest, Response, ResponseBody};
use crate::request_end::{EndGuard, RequestEnd};
use crate::retry_after::Rejected;
use crate::services::Services;
use crossbeam_channel::{bounded, Receiver};
use foldmux::interface::{Fetch, Outcome};
use std::sync::Arc;
use std::time::{Duration, Instant};

/// How long past its deadline a request waits for the router's directive. The router checks for overdue requests every 25 ms,
/// and ends them before this wait does as long as half of the response slack plus that interval is shorter than this.
const DIRECTIVE_GRACE: Duration = Duration::from_millis(30);

/// Serves a request; `record` is its replicated record, if it has one. Attempts that brought no response are added to
/// `history`.
pub(crate) fn run(
    services: &Services,
    request: &ClientRequest,
    cancel: &Arc<CancelHandle>,
    record: Option<&dyn OwnedRecord>,
    history: &mut AttemptHistory,
) -> RequestEnd {
    let admitted = match Admitted::new(services, request, cancel) {
        Ok(admitted) => admitted,
        Err(end) => return end,
    };
    ActiveRequest::new(services, request, cancel, record, history, admitted).serve()
}

/// The resources of an admitted request.
struct Admitted {
    limits: Option<RequestLimits>,
    buffer: Buffer,
    deadline: Instant,
}

impl Admitted {
    fn new(
        services: &Services,
        request: &ClientRequest,
        cancel: &CancelHandle,
    ) -> Result<Admitted, RequestEnd> {
        let Some(buffer) = services.buffers.acquire() else {
            return Err(RequestEnd::shed(Reason::NoBuffer, services.rejected()));
        };
        let deadline = request.deadline();
        let limits = match admit(services.limiter, request, cancel, deadline) {
            Ok(limits) => limits,
            Err(NotAdmitted::Rejected(rejected)) => {
                return Err(RequestEnd::shed(Reason::Limits, rejected))
            }
            Err(NotAdmitted::ClientGone) => return Err(RequestEnd::ClientGone),
        };
        let deadline = match &limits {
            Some(limits) => deadline.min(limits.deadline(request.arrived_at)),
            None => deadline,
        };
        Ok(Admitted {
            limits,
            buffer,
            deadline,
        })
    }
}

/// The permits that an attempt holds while it is made.
#[derive(Default)]
struct HeldPermits {
    permit: Option<Box<dyn Permit>>,
    fill: Option<FillPermit>,
}

/// Why an attempt that the router decided on is skipped.
enum SkipReason {
    /// The limits of its class and route deny it.
    Limits,
    /// Its concurrency pool granted no permit.
    NoPermit(Rejected),
    /// The record declined it; the router may decide on another.
    Declined,
    /// Another process owns the request now.
    OwnershipLost,
}

/// What the request does after a directive.
enum NextStep {
    AwaitDirective,
    Respond(Payload),
    End(RequestEnd),
}

/// A request that the router has received. Fields are dropped in declaration order: the event loop is told of the request's
/// end before its concurrency slot and its buffer are released.
struct ActiveRequest<'a> {
    _end: EndGuard<'a>,
    directives: Receiver<Directive>,
    limits: Option<RequestLimits>,
    buffer: Buffer,
    services: &'a Services<'a>,
    request: &'a ClientRequest,
    cancel: &'a CancelHandle,
    record: Option<&'a dyn OwnedRecord>,
    history: &'a mut AttemptHistory,
    deadline: Instant,
    /// Whether an attempt by this process may have executed.
    may_have_executed: bool,
}

impl<'a> ActiveRequest<'a> {
    fn new(
        services: &'a Services<'a>,
        request: &'a ClientRequest,
        cancel: &'a Arc<CancelHandle>,
        record: Option<&'a dyn OwnedRecord>,
        history: &'a mut AttemptHistory,
        admitted: Admitted,
    ) -> ActiveRequest<'a> {
        let Admitted {
            limits,
            buffer,
            deadline,
        } = admitted;
        let (sender, directives) = bounded(DIRECTIVE_CAPACITY);
        let _end = EndGuard::new(services.event_loop, cancel.id);
        services.event_loop.send(Command::Request {
            request: request.to_router(cancel.id, 0, deadline),
            cancel: cancel.clone(),
            directives: Box::new(sender),
        });
        ActiveRequest {
            _end,
            directives,
            limits,
            buffer,
            services,
            request,
            cancel,
            record,
            history,
            deadline,
            may_have_executed: false,
        }
    }

    fn serve(mut self) -> RequestEnd {
        loop {
            let directive = self
                .directives
                .recv_deadline(self.deadline + DIRECTIVE_GRACE);
            let step = match directive {
                Ok(Directive::Attempt(fetch, target)) => self.attempt(fetch, target),
                Ok(Directive::Reject(rejected)) => {
                    NextStep::End(rejected_by_router(rejected, self.limits.as_ref()).into())
                }
                Ok(Directive::ClientGone) => NextStep::End(RequestEnd::ClientGone),
                Ok(Directive::Fail) => NextStep::End(RequestEnd::failed(Reason::Router)),
                Err(_) => NextStep::End(RequestEnd::failed(Reason::NoDecision)),
            };
            match step {
                NextStep::AwaitDirective => {}
                NextStep::Respond(payload) => return self.respond(payload),
                NextStep::End(end) => return end,
            }
        }
    }

    fn attempt(&mut self, fetch: Fetch, target: AttemptTarget) -> NextStep {
        let in_flight = InFlightAttempt::new(
            self.services.event_loop,
            self.services.metrics,
            self.cancel.id,
            target,
        );
        let mut permits = HeldPermits::default();
        match self.prepare(&fetch, &target, &mut permits) {
            Ok(deadline) => self.send(in_flight, fetch, &target, permits, deadline),
            Err(skip_reason) => self.skip(in_flight, skip_reason),
        }
    }

    /// Acquires the permits of the attempt into `held`, writes the attempt to the record, and returns when the attempt must
    /// have ended.
    ///
    /// # Errors
    ///
    /// The attempt must not be made.
    fn prepare(
        &mut self,
        fetch: &Fetch,
        target: &AttemptTarget,
        held: &mut HeldPermits,
    ) -> Result<Instant, SkipReason> {
        if let Some(limits) = &mut self.limits {
            let is_permitted = await_permission(limits, self.cancel, self.deadline);
            held.fill = limits.acquire_fill(fetch);
            if !is_permitted || held.fill.is_none() {
                return Err(SkipReason::Limits);
            }
        }
        let mut deadline = self.deadline;
        if let Some(permits) = self.services.permits.get() {
            held.permit = permits
                .acquire(&PermitRequest {
                    request: self.request,
                    fetch,
                    cancel: self.cancel,
                    attempt: target.attempt,
                    deadline,
                })
                .map_err(SkipReason::NoPermit)?;
        }
        if let Some(permit) = &held.permit {
            deadline = deadline.min(permit.expires_at());
        }
        match self.record_intent(fetch) {
            AttemptIntent::Recorded => Ok(deadline),
            AttemptIntent::Declined => Err(SkipReason::Declined),
            AttemptIntent::OwnershipLost => Err(SkipReason::OwnershipLost),
        }
    }

    /// Writes the attempt's server to the record, which must happen before the first byte is sent.
    fn record_intent(&self, fetch: &Fetch) -> AttemptIntent {
        let Some(record) = self.record else {
            return AttemptIntent::Recorded;
        };
        match self.services.servers.get(fetch.cache) {
            Some(server) => record.record_intent(&server.member),
            None => AttemptIntent::Declined,
        }
    }

    /// Reports the attempt as never sent. Ends the request without another decision by the router, unless only the record
    /// declined the attempt.
    fn skip(&self, in_flight: InFlightAttempt, skip_reason: SkipReason) -> NextStep {
        let (reason, retry_after) = match skip_reason {
            SkipReason::Limits => (Reason::Limits, self.services.retry_after.get()),
            SkipReason::NoPermit(rejected) => (Reason::NoPermit, rejected.retry_after),
            SkipReason::Declined => {
                in_flight.finish(Outcome::NeverSent, false);
                return NextStep::AwaitDirective;
            }
            SkipReason::OwnershipLost => {
                in_flight.finish(Outcome::NeverSent, true);
                return NextStep::End(RequestEnd::OwnershipLost);
            }
        };
        in_flight.finish(Outcome::NeverSent, true);
        if self.cancel.is_client_gone() {
            return NextStep::End(RequestEnd::ClientGone);
        }
        let limits = self.limits.as_ref();
        NextStep::End(reject_or_fail(reason, retry_after, self.may_have_executed, limits).into())
    }

    /// Makes the attempt and reports its outcome.
    fn send(
        &mut self,
        mut in_flight: InFlightAttempt,
        mut fetch: Fetch,
        target: &AttemptTarget,
        permits: HeldPermits,
        deadline: Instant,
    ) -> NextStep {
        if let Some(limits) = &self.limits {
            limits.tighten(&mut fetch);
        }
        let sent_at = Instant::now();
        in_flight.mark_sent();
        let attempt = Attempt {
            request: self.request,
            cancel: self.cancel,
            fetch: &fetch,
            target,
            deadline,
            record: self.record,
        };
        let (outcome, payload) = self.services.upstream.attempt(&attempt, &mut self.buffer);
        self.services
            .metrics
            .record_send(&self.request.class_name, outcome);
        drop(permits.fill);
        drop(permits.permit);
        self.report(outcome, payload.is_some(), sent_at);
        let is_last = payload.is_some() || self.cancel.is_client_gone();
        in_flight.finish(outcome, is_last);
        match payload {
            Some(payload) => NextStep::Respond(payload),
            None => {
                self.history.add(fetch.cache, outcome);
                NextStep::AwaitDirective
            }
        }
    }

    /// Reports the attempt's outcome to the record and the limits.
    fn report(&mut self, outcome: Outcome, served: bool, sent_at: Instant) {
        if let Some(record) = self.record {
            record.record_outcome(outcome);
        }
        self.may_have_executed |= !outcome.not_processed();
        if let Some(limits) = &mut self.limits {
            limits.record_attempt(sent_at, served, outcome.not_processed());
        }
    }

    fn respond(self, payload: Payload) -> RequestEnd {
        match payload {
            Payload::Body(range) => {
                let body = ResponseBody {
                    buffer: self.buffer,
                    range,
                };
                RequestEnd::Finished(Completion::Served, Response::Served(body))
            }
            Payload::NotModified => {
                RequestEnd::Finished(Completion::NotModified, Response::NotModified)
            }
        }
    }
}
