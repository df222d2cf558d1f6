//! A client's request as a front passes it to the core, and its response.

use crate::buffers::Buffer;
use crate::retry_after::Rejected;
use foldmux::interface::*;
use std::ops::Range;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// A request that a front has read and validated.
pub struct ClientRequest {
    /// Id that the client assigned to the request (`Via-Id`).
    pub via_id: u64,
    /// Index of the class in the router's list. Holding this `Arc` reserves the index: a reload gives it to another
    /// class only after all holders are gone.
    pub class: Arc<usize>,
    /// Name of the class.
    pub class_name: Arc<str>,
    /// The requested object.
    pub object: u64,
    /// The requested part of the object.
    pub part: u32,
    /// The object's purge group.
    pub group: u32,
    /// Expected size of the response (kB).
    pub size_kb: f64,
    /// Idempotency key, if the class has one.
    pub token: Option<String>,
    /// Entity tag of the copy that the client holds.
    pub etag: Option<String>,
    /// The request body: its buffer, and its length (bytes).
    pub body: Option<(Buffer, usize)>,
    /// When the request arrived.
    pub arrived_at: Instant,
    /// Time from `arrived_at` until the client gives up.
    pub budget: Duration,
    /// Name of the front that received the request, by which its limits are looked up.
    pub front: &'static str,
    /// Name of the authenticated caller, by which its limits are looked up.
    pub caller: Arc<str>,
    /// The only group of caches that attempts may go to. Set if an attempt that this process's router did not make may
    /// have executed.
    pub required_group: Option<u32>,
}

impl ClientRequest {
    /// Returns when the client gives up.
    pub fn deadline(&self) -> Instant {
        self.arrived_at + self.budget
    }

    /// Converts the request for the router; its time budget is the time left until `deadline`.
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
    /// Range of the body in the buffer.
    pub range: Range<usize>,
}

/// The final response to a request.
pub enum Response {
    /// The requested part.
    Served(ResponseBody),
    /// The client's copy is current.
    NotModified,
    /// Rejected for now.
    Rejected(Rejected),
    /// The request failed.
    Failed,
}

/// A front's receiver of the response. If it is dropped without a response, the front tells the client that the request
/// failed.
pub trait Responder: Send {
    /// Sends the response to the client.
    fn respond(self: Box<Self>, response: Response);
}

/// Subtracted from the time that a client waits. It covers the transfer of the request and of the response, and the
/// interval at which the router checks for overdue requests (25 ms). None of these depends on how long the client
/// waits, so the margin is a fixed time rather than a share of the wait.
const TRANSFER_MARGIN: Duration = Duration::from_millis(30);

/// Returns how long the proxy may take for a request whose client waits for `wait`; at least 1 µs.
pub fn serving_budget(wait: Duration) -> Duration {
    wait.saturating_sub(TRANSFER_MARGIN)
        .max(Duration::from_micros(1))
}
