//! Replicated request records: what the core asks of whoever keeps them, so that another process can take a request over
//! when this one is lost.

use crate::request::ClientRequest;
use crate::retry_after::Rejected;
use foldmux::interface::{Member, Outcome};
use std::sync::Arc;
use std::time::Instant;

/// Keeps the replicated records of requests.
pub trait RequestRecords: Send + Sync {
    /// Acquires the request's record; waits for that until `deadline` at the longest. `ownership_lost`: this process had
    /// acquired it before, and another owner replaced it.
    fn acquire(&self, request: &ClientRequest, deadline: Instant, ownership_lost: bool)
        -> Acquired;
}

/// Who serves a request whose record was asked for.
pub enum Acquired {
    /// The request has no record: it is served as if there were none.
    NotReplicated,
    /// This process, which owns the record.
    Owned(Box<dyn OwnedRecord>),
    /// Nobody: this is its stored response.
    Stored(StoredResponse),
    /// Nobody for now.
    Rejected(Rejected),
    /// Nobody: no quorum in time, or the record says so.
    Failed,
}

/// The one response of a request, as its record stores it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredResponse {
    /// The body.
    Served(Arc<[u8]>),
    /// The client's copy was current.
    NotModified,
    /// The request failed.
    Failed,
}

/// Whether an attempt may be made, now that its record was to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptIntent {
    /// It is recorded, and may be made.
    Recorded,
    /// This attempt may not be made; another may.
    Declined,
    /// Another process owns the request by now.
    OwnershipLost,
}

/// The record of a request that this process owns. Dropped without a stored response, it is released, and the next replica
/// in line goes on.
pub trait OwnedRecord: Send + Sync {
    /// The only group of caches that may be asked, where an attempt may have executed.
    fn required_group(&self) -> Option<u32>;
    /// Records that an attempt goes to this server; waits until that is replicated.
    fn record_intent(&self, server: &Member) -> AttemptIntent;
    /// Whether the request may still be sent; consulted right before its first byte.
    fn may_send(&self) -> bool;
    /// Sent with the attempt where the receiver understands it, which then rejects lower terms of the same key.
    fn term(&self) -> Option<u64>;
    /// Records how the attempt ended.
    fn record_outcome(&self, outcome: Outcome);
    /// Whether an attempt may have executed, here or at an earlier owner.
    fn may_have_executed(&self) -> bool;
    /// Stores the response; false where it is not known to be stored: then no client may be given it.
    fn store_response(&self, response: StoredResponse) -> bool;
    /// Ends the record without a response: nothing executed, its client was told to retry, and nobody need go on.
    fn abandon(&self);
}
