//! A client's request as a front hands it to the core, and the response that goes back.

use crate::buffers::Buffer;
use crate::retry_after::Rejected;
use foldmux::interface::*;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request as a front read and validated it.
pub struct ClientRequest {
    /// The client's id of the request (`Via-Id`).
    pub via_id: u64,
    /// Index of the class in the router's list. A reload gives it to another class only once nobody holds it.
    pub class: Arc<usize>,
    /// Name of the class.
    pub class_name: Arc<str>,
    /// The object asked for.
    pub object: u64,
    /// The part of the object asked for.
    pub part: u32,
    /// The object's invalidation group.
    pub group: u32,
    /// Expected size of the response (kB).
    pub size_kb: f64,
    /// Idempotency key, where the class has one.
    pub token: Option<String>,
    /// Entity tag of the copy that the client holds.
    pub etag: Option<String>,
    /// The request's body: the buffer it is in, and its length (bytes).
    pub body: Option<(Buffer, usize)>,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// How long after `arrived_at` the client gives up.
    pub budget: Duration,
    /// The front it came by, as limits name it.
    pub front: &'static str,
    /// The caller's proven identity, as limits name it.
    pub caller: Arc<str>,
    /// The only group of caches that may be asked, where an attempt made elsewhere may have executed.
    pub required_group: Option<u32>,
}

impl ClientRequest {
    /// When the client gives up.
    pub fn deadline(&self) -> Instant {
        self.arrived_at + self.budget
    }

    /// The request as the router takes it, with what is left of the time until `deadline`.
    pub(crate) fn to_router(
        &self,
        id: RequestId,
        placement_ttl: Time,
        deadline: Instant,
    ) -> IncomingRequest {
        IncomingRequest {
            id,
            class: *self.class,
            object: ObjectId(self.object),
            part: self.part,
            group: self.group,
            size_kb: self.size_kb,
            time_budget: micros_until(deadline),
            placement_ttl,
            required_group: self.required_group,
        }
    }
}

fn micros_until(deadline: Instant) -> Time {
    deadline
        .saturating_duration_since(Instant::now())
        .as_micros() as Time
}

/// The body of a response, in the buffer that it was read into.
pub struct ResponseBody {
    /// The buffer.
    pub buffer: Buffer,
    /// Where the body is in it.
    pub range: Range<usize>,
}

/// The final response to a request.
pub enum Response {
    /// The part that was asked for.
    Served(ResponseBody),
    /// The copy that the client holds is current.
    NotModified,
    /// Rejected for now.
    Rejected(Rejected),
    /// Failed.
    Failed,
}

/// Where a front takes the response. Dropped without one, it tells its client that the request failed.
pub trait Responder: Send {
    /// Sends the response to the client.
    fn respond(self: Box<Self>, response: Response);
}

/// Taken off the time that a client waits: transfer of the request, transfer of the response, and the interval at which the
/// router looks for overdue requests (25 ms). None of these shrinks with the client's wait, so that a fixed time is taken
/// off and not a share of it.
const TRANSFER_MARGIN: Duration = Duration::from_millis(30);

/// How long a request may take here when its client waits for `wait`; at least a microsecond.
pub fn serving_budget(wait: Duration) -> Duration {
    wait.saturating_sub(TRANSFER_MARGIN)
        .max(Duration::from_micros(1))
}
