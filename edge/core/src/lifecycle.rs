//! The life of one request on its own thread, in phases: admit, decide, attempt, report, respond.
//!
//! [`run`] takes a request through all of them and returns its one final response:
//!
//! 1. *admit*: a buffer for the response, and a place among the limits of its class;
//! 2. *decide*: the router sends a directive;
//! 3. *attempt*: whatever must hold before an attempt is acquired, and the upstream client makes it;
//! 4. *report*: the outcome goes to the router, the limits and the record; without a response, back to 2;
//! 5. *respond*: what the attempt brought, or the rejection or failure that ended the request.

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

/// How long beyond the deadline a request waits for the router's directive. The router's own check for overdue requests comes
/// first while half of the response slack and its 25 ms interval are shorter than this.
const DIRECTIVE_GRACE: Duration = Duration::from_millis(30);

/// Serves a request; `record` is its replicated record, where it has one.
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

/// What a request holds once it is admitted.
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

/// What an attempt holds while it is made.
#[derive(Default)]
struct Clearance {
    permit: Option<Box<dyn Permit>>,
    fill: Option<FillPermit>,
}

/// Why an attempt that the router decided is not made.
enum NotCleared {
    Limits,
    NoPermit(Rejected),
    /// Its record declined it; the router may decide on another.
    Declined,
    OwnershipLost,
}

/// What follows an attempt.
enum NextStep {
    AwaitDirective,
    Respond(Payload),
    End(RequestEnd),
}

/// A request that the router knows. Its fields are dropped in their order: the event loop hears of the end before the
/// request's place among the limits and its buffer are given back.
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
    /// Whether an attempt of this owner may have executed.
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
        let mut clearance = Clearance::default();
        match self.clear(&fetch, &target, &mut clearance) {
            Ok(deadline) => self.send(in_flight, fetch, &target, clearance, deadline),
            Err(not_cleared) => self.skip(in_flight, not_cleared),
        }
    }

    /// Acquires what the attempt needs into `clearance`, and returns when it must end.
    fn clear(
        &mut self,
        fetch: &Fetch,
        target: &AttemptTarget,
        clearance: &mut Clearance,
    ) -> Result<Instant, NotCleared> {
        if let Some(limits) = &mut self.limits {
            let is_permitted = await_permission(limits, self.cancel, self.deadline);
            clearance.fill = limits.acquire_fill(fetch);
            if !is_permitted || clearance.fill.is_none() {
                return Err(NotCleared::Limits);
            }
        }
        let mut deadline = self.deadline;
        if let Some(permits) = self.services.permits.get() {
            clearance.permit = permits
                .acquire(&PermitRequest {
                    request: self.request,
                    fetch,
                    cancel: self.cancel,
                    attempt: target.attempt,
                    deadline,
                })
                .map_err(NotCleared::NoPermit)?;
        }
        if let Some(permit) = &clearance.permit {
            deadline = deadline.min(permit.expires_at());
        }
        match self.record_intent(fetch) {
            AttemptIntent::Recorded => Ok(deadline),
            AttemptIntent::Declined => Err(NotCleared::Declined),
            AttemptIntent::OwnershipLost => Err(NotCleared::OwnershipLost),
        }
    }

    /// The record must say where the attempt goes before its first byte leaves.
    fn record_intent(&self, fetch: &Fetch) -> AttemptIntent {
        let Some(record) = self.record else {
            return AttemptIntent::Recorded;
        };
        match self.services.servers.get(fetch.cache) {
            Some(server) => record.record_intent(&server.member),
            None => AttemptIntent::Declined,
        }
    }

    /// The attempt is not made; unless its record alone declined it, the request ends here and nothing more is asked of the
    /// router.
    fn skip(&self, in_flight: InFlightAttempt, not_cleared: NotCleared) -> NextStep {
        let (reason, retry_after) = match not_cleared {
            NotCleared::Limits => (Reason::Limits, self.services.retry_after.get()),
            NotCleared::NoPermit(rejected) => (Reason::NoPermit, rejected.retry_after),
            NotCleared::Declined => {
                in_flight.finish(Outcome::NeverSent, false);
                return NextStep::AwaitDirective;
            }
            NotCleared::OwnershipLost => {
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
        clearance: Clearance,
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
        drop(clearance.fill);
        drop(clearance.permit);
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

    /// Tells the record and the limits how the attempt ended.
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
