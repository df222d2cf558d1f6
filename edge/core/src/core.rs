//! [`Core`]: the state that all requests share, and the entry points by which fronts start requests.

use crate::attempt::UpstreamClient;
use crate::attempt_history::AttemptHistory;
use crate::buffers::BufferPool;
use crate::cancellation::CancelHandle;
use crate::clock::Clock;
use crate::event_loop_handle::EventLoopHandle;
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

/// The parts that a [`Core`] is built from.
pub struct CoreSetup {
    /// The running event loop.
    pub event_loop: EventLoopHandle,
    /// The router's clock.
    pub clock: Clock,
    /// Buffers for responses and request bodies.
    pub buffers: Arc<BufferPool>,
    /// The list of servers that the event loop maintains.
    pub servers: Arc<ServerList>,
    /// Makes the attempts.
    pub upstream: Box<dyn UpstreamClient>,
    /// Retry-After of the core's own rejections.
    pub retry_after: Duration,
    /// How long after its start a server may still be warming up.
    pub warm_up: Duration,
    /// Maximum number of requests open at once.
    pub max_open: usize,
}

/// Accepts requests from all fronts, up to a maximum number of open requests, and serves each on a thread of its own.
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
    /// Limits the rate of log lines for requests that were not served.
    pub unserved_log: LogThrottle,
    /// Limits by class and route, if the operator's file has any.
    pub limiter: OnceLock<Arc<Limiter>>,
    /// Replicated request records, if the operator's file has a fleet.
    pub records: OnceLock<Arc<dyn RequestRecords>>,
    /// Concurrency pools, if the operator's file has any.
    pub permits: OnceLock<Arc<dyn AttemptPermits>>,
    upstream: Box<dyn UpstreamClient>,
    retry_after: RetryAfter,
    warm_up_us: AtomicU64,
    workers: Arc<WorkerPool<RequestJob>>,
    open: Arc<OpenRequests>,
    open_ids: Arc<OpenIds>,
    /// Number of requests whose attempts their callers make; the fronts limit it.
    delegated: AtomicUsize,
    next_id: AtomicU64,
}

impl Core {
    /// Creates a core without limits, records and pools; set those that apply before it serves requests.
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

    /// Creates the cancellation handle of a new request, with the next request id.
    pub fn new_cancel_handle(&self) -> Arc<CancelHandle> {
        CancelHandle::new(RequestId(self.next_id.fetch_add(1, Ordering::Relaxed)))
    }

    /// Starts a request. Fails it at once if another open request has its id; rejects it if too many requests are open or no
    /// thread can be started.
    pub fn start(
        self: &Arc<Core>,
        request: ClientRequest,
        cancel: Arc<CancelHandle>,
        responder: Box<dyn Responder>,
    ) {
        // If two open requests had one id, a cache would take the second for a repeat of the first.
        let Some(claim) = self.open_ids.claim(request.via_id) else {
            self.services().record_completion(
                &request,
                Completion::Failed(Reason::IdInUse),
                &AttemptHistory::default(),
            );
            return responder.respond(Response::Failed);
        };
        let kind = JobKind::Client(responder);
        let started = self.start_job(claim, request, cancel, kind);
        if let Err(NotStarted { job, reason }) = started {
            job.shed(reason);
        }
    }

    /// Starts a request that was taken over. Returns false, and releases its record, if it cannot be started.
    pub fn start_taken_over(
        self: &Arc<Core>,
        request: ClientRequest,
        cancel: Arc<CancelHandle>,
        record: Box<dyn OwnedRecord>,
    ) -> bool {
        let Some(claim) = self.open_ids.claim(request.via_id) else {
            return false;
        };
        self.start_job(claim, request, cancel, JobKind::TakenOver(record))
            .is_ok()
    }

    fn start_job(
        self: &Arc<Core>,
        claim: IdClaim,
        request: ClientRequest,
        cancel: Arc<CancelHandle>,
        kind: JobKind,
    ) -> Result<(), NotStarted<RequestJob>> {
        self.workers.start(RequestJob {
            core: self.clone(),
            claim,
            request,
            cancel,
            kind,
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

    /// Handles a client that disconnected or withdrew its request: cancels the attempt and informs the router.
    pub fn client_gone(&self, cancel: &CancelHandle) {
        cancel.client_gone();
        self.event_loop.send(Command::ClientGone(cancel.id));
    }

    /// Retry-After of the core's own rejections.
    pub fn retry_after(&self) -> Duration {
        self.retry_after.get()
    }

    /// Applies reloaded settings: the Retry-After of the core's own rejections, and how long after its start a server may
    /// still be warming up.
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

    /// Number of open requests.
    pub fn open_requests(&self) -> usize {
        self.open.count()
    }

    /// Number of delegated requests.
    pub fn delegated_requests(&self) -> usize {
        self.delegated.load(Ordering::SeqCst)
    }

    /// Maximum number of open requests for each of `clients` clients once 15/16 of the total are open; `None` below that.
    pub fn fair_share(&self, clients: usize) -> Option<usize> {
        let max = self.open.max();
        let is_nearly_full = self.open.count() >= max * 15 / 16;
        is_nearly_full.then(|| (max / clients.max(1)).max(1))
    }

    /// Number of requests that may be opened besides those that are open.
    pub fn unopened_requests(&self) -> usize {
        self.open.max().saturating_sub(self.open.count())
    }

    /// Counts an open request that no worker thread serves; `None` if the maximum number of requests is open.
    pub(crate) fn try_open(&self) -> Option<OpenRequest> {
        self.open.try_open()
    }

    /// Adds one to the number of delegated requests; returns the number before that.
    pub(crate) fn count_delegated(&self) -> usize {
        self.delegated.fetch_add(1, Ordering::SeqCst)
    }

    /// Takes one off the number of delegated requests.
    pub(crate) fn uncount_delegated(&self) {
        self.delegated.fetch_sub(1, Ordering::SeqCst);
    }
}

/// Whether a request has a client at this process.
enum JobKind {
    /// From a client of this process, which gets the response.
    Client(Box<dyn Responder>),
    /// Taken over from another process; the response is only stored in the record.
    TakenOver(Box<dyn OwnedRecord>),
}

/// A request to be served on a worker thread.
struct RequestJob {
    core: Arc<Core>,
    claim: IdClaim,
    request: ClientRequest,
    cancel: Arc<CancelHandle>,
    kind: JobKind,
}

impl RequestJob {
    /// Rejects the request before it reaches the router. A request that was taken over has no client here: its record is
    /// released by being dropped.
    fn shed(self: Box<Self>, reason: Reason) {
        let RequestJob {
            core,
            claim: _claim,
            request,
            kind,
            ..
        } = *self;
        let JobKind::Client(responder) = kind else {
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
            kind,
        } = self;
        let services = core.services();
        match kind {
            JobKind::Client(responder) => match core.records.get() {
                Some(records) => {
                    replicated::serve(&services, &**records, request, &cancel, responder)
                }
                None => serve(&services, request, &cancel, responder),
            },
            JobKind::TakenOver(record) => {
                replicated::serve_taken_over(&services, request, &cancel, &*record)
            }
        }
    }
}

/// Serves a client's request without a replicated record.
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
