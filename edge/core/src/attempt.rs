//! One attempt, as the core hands it to the upstream client.

use crate::cancellation::CancelHandle;
use crate::messages::AttemptTarget;
use crate::records::OwnedRecord;
use crate::request::ClientRequest;
use foldmux::interface::{Fetch, Outcome};
use std::ops::Range;
use std::time::Instant;

/// An attempt that is to be made now.
pub struct Attempt<'a> {
    /// The request it belongs to.
    pub request: &'a ClientRequest,
    /// Cancels the attempt.
    pub cancel: &'a CancelHandle,
    /// The attempt as the router decided it.
    pub fetch: &'a Fetch,
    /// The servers that the router meant.
    pub target: &'a AttemptTarget,
    /// When the client gives up.
    pub deadline: Instant,
    /// Consulted right before the first byte is sent, where the request has a replicated record.
    pub record: Option<&'a dyn OwnedRecord>,
}

/// What a successful response brought.
#[derive(Debug, PartialEq)]
pub enum Payload {
    /// The body, at this range of the attempt's buffer.
    Body(Range<usize>),
    /// The client's copy is current.
    NotModified,
}

/// Makes attempts.
pub trait UpstreamClient: Send + Sync {
    /// Makes one attempt and waits for its end; the response is read into `buffer`. It registers what it waits for with the
    /// attempt's [`CancelHandle`] and gives back all that it holds before it returns. The payload is there where the
    /// attempt served the request.
    fn attempt(&self, attempt: &Attempt, buffer: &mut [u8]) -> (Outcome, Option<Payload>);
}
