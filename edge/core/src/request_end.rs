//! The end of a request: its result, and the guard that reports it to the event loop.

use crate::event_loop_handle::EventLoopHandle;
use crate::messages::Command;
use crate::metrics::Completion;
use crate::reason::Reason;
use crate::request::Response;
use crate::retry_after::Rejected;
use foldmux::interface::RequestId;

/// How a request ended.
pub(crate) enum RequestEnd {
    /// With this response.
    Finished(Completion, Response),
    /// The client is gone: no response is owed.
    ClientGone,
    /// Another process owns the request now.
    OwnershipLost,
}

impl RequestEnd {
    /// Creates the end of a failed request.
    pub(crate) fn failed(reason: Reason) -> RequestEnd {
        RequestEnd::Finished(Completion::Failed(reason), Response::Failed)
    }

    /// Creates the end of a request that was rejected before the router received it.
    pub(crate) fn shed(reason: Reason, rejected: Rejected) -> RequestEnd {
        RequestEnd::Finished(Completion::Shed(reason), Response::Rejected(rejected))
    }
}

impl From<(Completion, Response)> for RequestEnd {
    fn from((completion, response): (Completion, Response)) -> RequestEnd {
        RequestEnd::Finished(completion, response)
    }
}

/// Reports the request's end to the event loop on drop, also if its thread panics.
pub(crate) struct EndGuard<'a> {
    event_loop: &'a EventLoopHandle,
    id: RequestId,
}

impl EndGuard<'_> {
    pub(crate) fn new(event_loop: &EventLoopHandle, id: RequestId) -> EndGuard<'_> {
        EndGuard { event_loop, id }
    }
}

impl Drop for EndGuard<'_> {
    fn drop(&mut self) {
        self.event_loop.send(Command::RequestEnded(self.id));
    }
}
