//! The interface between the core and the replicated request records, which let another process take over a request
//! when this process is lost.

use crate::request::ClientRequest;
use crate::retry_after::Rejected;
use foldmux::interface::{Member, Outcome};
use std::sync::Arc;
use std::time::Instant;

/// Stores the replicated records of requests.
pub trait RequestRecords: Send + Sync {
    /// Acquires the request's record; blocks until `deadline` at the latest. `ownership_lost` tells that an earlier
    /// call acquired the record for this request, and that this process has lost its ownership since.
    fn acquire(&self, request: &ClientRequest, deadline: Instant, ownership_lost: bool)
        -> Acquired;
}

/// The result of acquiring a request's record.
pub enum Acquired {
    /// The request has no record: it is served without one.
    NotReplicated,
    /// This process owns the record and serves the request.
    Owned(Box<dyn OwnedRecord>),
    /// The request has a stored response.
    Stored(StoredResponse),
    /// The request is rejected for now.
    Rejected(Rejected),
    /// The request has failed: no quorum in time, or its record stores a failure.
    Failed,
}

/// The only response of a request, as stored in its record.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredResponse {
    /// The body.
    Served(Arc<[u8]>),
    /// The client's copy was current.
    NotModified,
    /// The request failed.
    Failed,
}

/// The result of [`OwnedRecord::record_intent`]: whether the attempt may be made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptIntent {
    /// The attempt is recorded and may be made.
    Recorded,
    /// This attempt may not be made, but another may.
    Declined,
    /// Another process owns the request now.
    OwnershipLost,
}

/// The record of a request that this process owns. If it is dropped without a stored response and was not abandoned, it
/// is released, and the next of the record's replicas, in their order, takes the request over.
pub trait OwnedRecord: Send + Sync {
    /// Returns the only group of caches that attempts may go to, if an attempt may have executed.
    fn required_group(&self) -> Option<u32>;
    /// Records that an attempt goes to this server; blocks until that is replicated.
    fn record_intent(&self, server: &Member) -> AttemptIntent;
    /// Whether the request may still be sent; called right before its first byte.
    fn may_send(&self) -> bool;
    /// Returns the term to send with the attempt, or `None` if the attempts of this class carry none. A receiver that
    /// supports terms rejects attempts with the same key and a lower term from then on.
    fn term(&self) -> Option<u64>;
    /// Records the outcome of the attempt.
    fn record_outcome(&self, outcome: Outcome);
    /// Whether an attempt may have executed, made by this owner or an earlier one.
    fn may_have_executed(&self) -> bool;
    /// Stores the response. Returns false if it is not known to be stored; then it must not be sent to any client.
    fn store_response(&self, response: StoredResponse) -> bool;
    /// Ends the record without a response. Called when no attempt executed and the client is told to retry or that the
    /// request failed: a retry may be served like a new request, and no replica needs to take the request over.
    fn abandon(&self);
}
