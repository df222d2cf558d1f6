//! The waits of a request with limits: for its admission, and for the backoff before an attempt. Both end early when the
//! client disconnects.

use crate::cancellation::{CancelHandle, Cancellable};
use crate::limits::{Admission, AttemptPermission, Limiter, QueueEnd, RequestLimits};
use crate::request::ClientRequest;
use crate::retry_after::Rejected;
use crossbeam_channel::{bounded, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// Interval at which a request in backoff checks whether its client is gone.
const BACKOFF_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Capacity of a queued request's channel: one event for the end of its wait, one for its client's disconnect.
const EVENT_CAPACITY: usize = 2;

/// Why a request was not admitted.
pub(crate) enum NotAdmitted {
    Rejected(Rejected),
    /// No response is owed.
    ClientGone,
}

/// Ends the wait of a queued request.
enum QueueEvent {
    Ended(QueueEnd),
    ClientGone,
}

/// Wakes a queued request when its client is gone.
struct QueueWaker(Sender<QueueEvent>);

impl Cancellable for QueueWaker {
    fn cancel(&self) {
        let _ = self.0.try_send(QueueEvent::ClientGone);
    }
}

/// Admits a request under its limits, if it has any. A queued request waits until it is admitted, its queue timeout or
/// `deadline` passes, or its client is gone.
///
/// # Errors
///
/// The request was not admitted, or its client is gone.
pub(crate) fn admit(
    limiter: Option<&Limiter>,
    request: &ClientRequest,
    cancel: &CancelHandle,
    deadline: Instant,
) -> Result<Option<RequestLimits>, NotAdmitted> {
    let Some(limiter) = limiter else {
        return Ok(None);
    };
    let (sender, events) = bounded(EVENT_CAPACITY);
    let waker = Arc::new(QueueWaker(sender.clone()));
    let on_queue_end = Box::new(move |end| {
        let _ = sender.try_send(QueueEvent::Ended(end));
    });
    match limiter.admit(*request.class, &request.caller, request.front, on_queue_end) {
        Admission::Unlimited => Ok(None),
        Admission::Admitted(limits) => Ok(Some(limits)),
        Admission::Rejected(rejected) => Err(NotAdmitted::Rejected(rejected)),
        Admission::Queued(mut limits, max_wait) => {
            // No attempt is in flight yet, so attempt number 0 is cancelled only if the client is gone.
            if !cancel.register(0, waker) {
                return Err(NotAdmitted::ClientGone);
            }
            let event = events.recv_deadline(deadline.min(Instant::now() + max_wait));
            cancel.unregister();
            match event {
                Ok(QueueEvent::Ended(QueueEnd::Admitted)) => {
                    limits.take_grant();
                    Ok(Some(limits))
                }
                Ok(QueueEvent::ClientGone) => Err(NotAdmitted::ClientGone),
                Ok(QueueEvent::Ended(QueueEnd::Rejected)) | Err(_) => {
                    Err(NotAdmitted::Rejected(Rejected {
                        retry_after: limits.max_retry_after(),
                    }))
                }
            }
        }
    }
}

/// Waits for the backoff of the attempt that the router decided on. Returns false if the attempt must not be made: the limits
/// deny it, its backoff would end past `deadline`, the client is gone, or the idempotency window has passed.
pub(crate) fn await_permission(
    limits: &mut RequestLimits,
    cancel: &CancelHandle,
    deadline: Instant,
) -> bool {
    match limits.permit_attempt() {
        AttemptPermission::Now => true,
        AttemptPermission::Denied => false,
        AttemptPermission::After(backoff) => {
            let end = Instant::now() + backoff;
            if end >= deadline {
                return false;
            }
            while !cancel.is_client_gone() && Instant::now() < end {
                thread::sleep(
                    BACKOFF_POLL_INTERVAL.min(end.saturating_duration_since(Instant::now())),
                );
            }
            !cancel.is_client_gone() && limits.is_within_idempotency_window()
        }
    }
}
