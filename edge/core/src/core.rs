//! The core's public face: what all requests share, and where a front starts a request.

use crate::attempt::UpstreamClient;
use crate::attempt_history::AttemptHistory;
use crate::buffers::BufferPool;
use crate::cancellation::CancelHandle;
use crate::clock::Clock;
use crate::event_loop::EventLoopHandle;
use crate::lifecycle::run;
use crate::limits::Limiter;
use crate::log_throttle::LogThrottle;
use crate::messages::Command;
use crate::metrics::{Completion, Metrics};
use crate::open_requests::{IdClaim, OpenIds, OpenRequest, OpenRequests};
use crate::permits::AttemptPermits;
use crate::reason::Reason;
use crate::records::{OwnedRecord, RequestRecords};
use crate::replicated;
use crate::request::{ClientRequest, Responder, Response};
use crate::request_end::RequestEnd;
use crate::retry_after::RetryAfter;
use crate::servers::{Server, ServerList};
use crate::services::Services;
use crate::workers::{Job, NotStarted, WorkerPool};
use foldmux::interface::{RequestId, Time};
use std::sync::atomic::{AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

/// What a core is made of.
pub struct CoreSetup {
    /// The running event loop.
    pub event_loop: EventLoopHandle,
    /// The router's clock.
    pub clock: Clock,
    /// Buffers for responses and request bodies.
    pub buffers: Arc<BufferPool>,
    /// The servers, as the event loop keeps them.
    pub servers: Arc<ServerList>,
    /// Makes the attempts.
    pub upstream: Box<dyn UpstreamClient>,
    /// Retry-After of the core's own rejections.
    pub retry_after: Duration,
    /// How long after its start a server may still be warming up.
    pub warm_up: Duration,
    /// Requests that may be open at once.
    pub max_open: usize,
}

/// Takes requests from all fronts, up to a bound, and serves each on a thread of its own.
pub struct Core {
    /// The router's clock.
    pub clock: Clock,
    /// The event loop that owns the router.
    pub event_loop: EventLoopHandle,
    /// Buffers for responses and request bodies.
    pub buffers: Arc<BufferPool>,
    /// The servers that attempts may go to.
    pub servers: Arc<ServerList>,
    /// Counters of requests and attempts.
    pub metrics: Arc<Metrics>,
    /// Bounds the log lines of requests that were not served.
    pub unserved_log: LogThrottle,
    /// Limits by class and route, where the operator's file has them.
    pub limiter: OnceLock<Arc<Limiter>>,
    /// Replicated request records, where the operator's file has a fleet.
    pub records: OnceLock<Arc<dyn RequestRecords>>,
    /// Concurrency pools, where the operator's file has any.
    pub permits: OnceLock<Arc<dyn AttemptPermits>>,
    upstream: Box<dyn UpstreamClient>,
    retry_after: RetryAfter,
    warm_up_us: AtomicU64,
    workers: Arc<WorkerPool<RequestJob>>,
    open: Arc<OpenRequests>,
    open_ids: Arc<OpenIds>,
    /// Requests whose attempts others make; their fronts bound them.
    delegated: AtomicUsize,
    next_id: AtomicU64,
}

impl Core {
    /// A core without limits, records and pools; set them before it serves.
    pub fn new(setup: CoreSetup) -> Arc<Core> {
        let open = OpenRequests::new(setup.max_open);
        Arc::new(Core {
            clock: setup.clock,
            event_loop: setup.event_loop,
            buffers: setup.buffers,
            servers: setup.servers,
            metrics: Arc::default(),
            unserved_log: LogThrottle::new(Instant::now()),
            limiter: OnceLock::new(),
            records: OnceLock::new(),
            permits: OnceLock::new(),
            upstream: setup.upstream,
            retry_after: RetryAfter::new(setup.retry_after),
            warm_up_us: AtomicU64::new(setup.warm_up.as_micros() as u64),
            workers: WorkerPool::new(open.clone()),
            open,
            open_ids: Arc::default(),
            delegated: AtomicUsize::new(0),
            next_id: AtomicU64::new(1),
        })
    }

    /// The handle of a new request.
    pub fn new_cancel_handle(&self) -> Arc<CancelHandle> {
        CancelHandle::new(RequestId(self.next_id.fetch_add(1, Ordering::Relaxed)))
    }

    /// Starts a request, or rejects it at once where there is no room for it.
    pub fn start(
        self: &Arc<Core>,
        request: ClientRequest,
        cancel: Arc<CancelHandle>,
        responder: Box<dyn Responder>,
    ) {
        // Of two open requests under one id, a cache would take the second for the first.
        let Some(claim) = self.open_ids.claim(request.via_id) else {
            self.services().record_completion(
                &request,
                Completion::Failed(Reason::IdInUse),
                &AttemptHistory::default(),
            );
            return responder.respond(Response::Failed);
        };
        let work = Work::Client(responder);
        let started = self.start_job(claim, request, cancel, work);
        if let Err(NotStarted { job, reason }) = started {
            job.shed(reason);
        }
    }

    /// Starts a request that was taken over; false where there is no room for it: then its record is released.
    pub fn start_taken_over(
        self: &Arc<Core>,
        request: ClientRequest,
        cancel: Arc<CancelHandle>,
        record: Box<dyn OwnedRecord>,
    ) -> bool {
        let Some(claim) = self.open_ids.claim(request.via_id) else {
            return false;
        };
        self.start_job(claim, request, cancel, Work::TakenOver(record))
            .is_ok()
    }

    fn start_job(
        self: &Arc<Core>,
        claim: IdClaim,
        request: ClientRequest,
        cancel: Arc<CancelHandle>,
        work: Work,
    ) -> Result<(), NotStarted<RequestJob>> {
        self.workers.start(RequestJob {
            core: self.clone(),
            claim,
            request,
            cancel,
            work,
        })
    }

    fn services(&self) -> Services<'_> {
        Services {
            event_loop: &self.event_loop,
            servers: &self.servers,
            buffers: &self.buffers,
            upstream: &*self.upstream,
            metrics: &self.metrics,
            unserved_log: &self.unserved_log,
            limiter: self.limiter.get().map(|limiter| &**limiter),
            permits: &self.permits,
            retry_after: &self.retry_after,
        }
    }

    /// The client is gone: its attempt is cancelled, and the router hears of it.
    pub fn client_gone(&self, cancel: &CancelHandle) {
        cancel.client_gone();
        self.event_loop.send(Command::ClientGone(cancel.id));
    }

    /// Retry-After of the core's own rejections.
    pub fn retry_after(&self) -> Duration {
        self.retry_after.get()
    }

    /// Applies other settings: Retry-After of the core's own rejections, and how long after its start a server may be
    /// warming up.
    pub fn update_settings(&self, retry_after: Duration, warm_up: Duration) {
        self.retry_after.set(retry_after);
        self.warm_up_us
            .store(warm_up.as_micros() as u64, Ordering::Relaxed);
    }

    /// Whether a server started so recently that it may be warming up at `now` (router time, µs).
    pub fn is_warming_up(&self, now: Time, server: &Server) -> bool {
        let started_at = server.member.started_at;
        started_at > 0 && now < started_at + self.warm_up_us.load(Ordering::Relaxed)
    }

    /// How many requests are open.
    pub fn open_requests(&self) -> usize {
        self.open.count()
    }

    /// How many requests are delegated.
    pub fn delegated_requests(&self) -> usize {
        self.delegated.load(Ordering::SeqCst)
    }

    /// How many requests each of `clients` may have open; `None` while there is room for all.
    pub fn fair_share(&self, clients: usize) -> Option<usize> {
        let max = self.open.max();
        let is_nearly_full = self.open.count() >= max * 15 / 16;
        is_nearly_full.then(|| (max / clients.max(1)).max(1))
    }

    /// Counts an open request that no worker thread serves; `None` where as many are open as may be.
    pub(crate) fn enter(&self) -> Option<OpenRequest> {
        self.open.enter()
    }

    /// Counts one more delegated request; returns how many there were.
    pub(crate) fn count_delegated(&self) -> usize {
        self.delegated.fetch_add(1, Ordering::SeqCst)
    }

    pub(crate) fn uncount_delegated(&self) {
        self.delegated.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Whom a request is served for.
enum Work {
    Client(Box<dyn Responder>),
    /// A client of another process, which lost the request.
    TakenOver(Box<dyn OwnedRecord>),
}

/// A request on its way to its thread.
struct RequestJob {
    core: Arc<Core>,
    claim: IdClaim,
    request: ClientRequest,
    cancel: Arc<CancelHandle>,
    work: Work,
}

impl RequestJob {
    /// Rejects the request before the router heard of it. One that was taken over has no client here: dropping its record
    /// releases it.
    fn shed(self: Box<Self>, reason: Reason) {
        let RequestJob {
            core,
            claim: _claim,
            request,
            work,
            ..
        } = *self;
        let Work::Client(responder) = work else {
            return;
        };
        let services = core.services();
        let completion = Completion::Shed(reason);
        services.record_completion(&request, completion, &AttemptHistory::default());
        responder.respond(Response::Rejected(services.rejected()));
    }
}

impl Job for RequestJob {
    fn run(self) {
        let RequestJob {
            core,
            claim: _claim,
            request,
            cancel,
            work,
        } = self;
        let services = core.services();
        match work {
            Work::Client(responder) => match core.records.get() {
                Some(records) => {
                    replicated::serve(&services, &**records, request, &cancel, responder)
                }
                None => serve(&services, request, &cancel, responder),
            },
            Work::TakenOver(record) => {
                replicated::serve_taken_over(&services, request, &cancel, &*record)
            }
        }
    }
}

/// Serves a request that has no replicated record.
fn serve(
    services: &Services,
    request: ClientRequest,
    cancel: &Arc<CancelHandle>,
    responder: Box<dyn Responder>,
) {
    let mut history = AttemptHistory::default();
    let end = run(services, &request, cancel, None, &mut history);
    if let RequestEnd::Finished(completion, response) = end {
        services.record_completion(&request, completion, &history);
        responder.respond(response);
    }
}
