//! The interface between the core and the upstream client, which makes the attempts.

use crate::buffers::Buffer;
use crate::cancellation::CancelHandle;
use crate::messages::AttemptTarget;
use crate::records::OwnedRecord;
use crate::request::ClientRequest;
use foldmux::interface::{Fetch, Outcome};
use std::ops::Range;
use std::time::Instant;

/// An attempt to be made now.
pub struct Attempt<'a> {
    /// The request it belongs to.
    pub request: &'a ClientRequest,
    /// Cancels the attempt.
    pub cancel: &'a CancelHandle,
    /// The router's decision.
    pub fetch: &'a Fetch,
    /// The incarnations of the servers that the router chose.
    pub target: &'a AttemptTarget,
    /// When the attempt must have ended.
    pub deadline: Instant,
    /// The request's replicated record, if it has one; consulted right before the first byte is sent.
    pub record: Option<&'a dyn OwnedRecord>,
}

/// The content of a successful response.
#[derive(Debug, PartialEq)]
pub enum Payload {
    /// The body, in this range of the attempt's buffer.
    Body(Range<usize>),
    /// The client's copy is current.
    NotModified,
}

/// Makes attempts.
pub trait UpstreamClient: Send + Sync {
    /// Makes one attempt and blocks until it ends; the response is read into `buffer`, whose memory is reserved once the
    /// response's length is known. The implementation registers what it
    /// waits for with the attempt's [`CancelHandle`], and releases everything it holds before it returns. The payload is
    /// `Some` if the attempt served the request.
    fn attempt(&self, attempt: &Attempt, buffer: &mut Buffer) -> (Outcome, Option<Payload>);
}
