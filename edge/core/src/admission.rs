//! What a request with limits waits for: its admission, and the backoff before an attempt. Neither outlasts its client.

use crate::cancellation::{CancelHandle, Cancellable};
use crate::limits::{Admission, AttemptPermission, Limiter, QueueEnd, RequestLimits};
use crate::request::ClientRequest;
use crate::retry_after::Rejected;
use crossbeam_channel::{bounded, Sender};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

/// How long a request in its backoff may miss that its client is gone.
const BACKOFF_POLL: Duration = Duration::from_millis(5);
/// Events that a queued request may receive: the end of its wait, and its client's leave.
const EVENT_CAPACITY: usize = 2;

/// Why a request was not admitted.
pub(crate) enum NotAdmitted {
    Rejected(Rejected),
    /// No response is owed.
    ClientGone,
}

/// What wakes a queued request.
enum QueueEvent {
    Ended(QueueEnd),
    ClientGone,
}

/// Wakes a queued request when its client is gone.
struct QueuedRequest(Sender<QueueEvent>);

impl Cancellable for QueuedRequest {
    fn cancel(&self) {
        let _ = self.0.try_send(QueueEvent::ClientGone);
    }
}

/// Admits a request to its limits, where there are any. A queued one waits as long as the limits say and its client stays.
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
    let queued = Arc::new(QueuedRequest(sender.clone()));
    let on_queue_end = Box::new(move |end| {
        let _ = sender.try_send(QueueEvent::Ended(end));
    });
    match limiter.admit(*request.class, &request.caller, request.front, on_queue_end) {
        Admission::Unlimited => Ok(None),
        Admission::Admitted(limits) => Ok(Some(limits)),
        Admission::Rejected(rejected) => Err(NotAdmitted::Rejected(rejected)),
        Admission::Queued(mut limits, max_wait) => {
            // No attempt is in flight yet, so only the client's leave can cancel number 0.
            if !cancel.register(0, queued) {
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

/// Whether the attempt that the router decided may be made; returns after its backoff.
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
                thread::sleep(BACKOFF_POLL.min(end.saturating_duration_since(Instant::now())));
            }
            !cancel.is_client_gone() && limits.is_within_idempotency_window()
        }
    }
}
