//! Serves requests that have a replicated record: the response is stored in the record before it is sent to any client.

use crate::attempt_history::AttemptHistory;
use crate::cancellation::CancelHandle;
use crate::lifecycle::run;
use crate::metrics::Completion;
use crate::reason::Reason;
use crate::records::{Acquired, OwnedRecord, RequestRecords, StoredResponse};
use crate::request::{ClientRequest, Responder, Response, ResponseBody};
use crate::request_end::RequestEnd;
use crate::services::Services;
use std::sync::Arc;

/// Space (bytes) left before a stored body, into which a front writes the head of its message.
const HEAD_ROOM: usize = 256;

/// Serves a client's request: acquires its record, serves the request or waits for its owner, and responds.
pub(crate) fn serve(
    services: &Services,
    records: &dyn RequestRecords,
    mut request: ClientRequest,
    cancel: &Arc<CancelHandle>,
    responder: Box<dyn Responder>,
) {
    let deadline = request.deadline();
    let mut ownership_lost = false;
    let mut history = AttemptHistory::default();
    loop {
        let end = match records.acquire(&request, deadline, ownership_lost) {
            Acquired::NotReplicated => run(services, &request, cancel, None, &mut history),
            Acquired::Owned(record) => {
                request.required_group = record.required_group();
                run_owned(services, &request, cancel, &*record, &mut history)
            }
            Acquired::Stored(stored) => respond_stored(services, &request, stored),
            Acquired::Rejected(rejected) => RequestEnd::shed(Reason::Replicas, rejected),
            Acquired::Failed => RequestEnd::failed(Reason::Replicas),
        };
        match end {
            RequestEnd::Finished(completion, response) => {
                services.record_completion(&request, completion, &history);
                return responder.respond(response);
            }
            RequestEnd::ClientGone => return,
            // Another process owns the request now; this client waits for the response of that one.
            RequestEnd::OwnershipLost => ownership_lost = true,
        }
    }
}

/// Serves a request that was taken over: its response is stored, and there is no client to send it to.
pub(crate) fn serve_taken_over(
    services: &Services,
    request: ClientRequest,
    cancel: &Arc<CancelHandle>,
    record: &dyn OwnedRecord,
) {
    let mut history = AttemptHistory::default();
    run_owned(services, &request, cancel, record, &mut history);
}

/// Serves a request that this process owns, and stores its response. If the response is not known to be stored, the request
/// ends as [`RequestEnd::OwnershipLost`].
fn run_owned(
    services: &Services,
    request: &ClientRequest,
    cancel: &Arc<CancelHandle>,
    record: &dyn OwnedRecord,
    history: &mut AttemptHistory,
) -> RequestEnd {
    let end = run(services, request, cancel, Some(record), history);
    let RequestEnd::Finished(completion, response) = end else {
        return end;
    };
    let stored = match &response {
        Response::Served(body) => StoredResponse::Served(body.buffer[body.range.clone()].into()),
        Response::NotModified => StoredResponse::NotModified,
        Response::Rejected(_) | Response::Failed if !record.may_have_executed() => {
            // Nothing executed, so a retry may be served like a new request and finds no stored response.
            record.abandon();
            return RequestEnd::Finished(completion, response);
        }
        Response::Rejected(_) | Response::Failed => StoredResponse::Failed,
    };
    let is_failure = stored == StoredResponse::Failed;
    if !record.store_response(stored) {
        return RequestEnd::OwnershipLost;
    }
    if is_failure {
        // The record stores a failure, so the client gets one too: after a rejection it would retry and find the failure.
        return RequestEnd::failed(completion.reason().unwrap_or(Reason::Replicas));
    }
    RequestEnd::Finished(completion, response)
}

/// Copies the stored response into a buffer and ends the request with it.
fn respond_stored(
    services: &Services,
    request: &ClientRequest,
    stored: StoredResponse,
) -> RequestEnd {
    let bytes = match stored {
        StoredResponse::Served(bytes) => bytes,
        StoredResponse::NotModified if request.etag.is_some() => {
            return RequestEnd::Finished(Completion::NotModified, Response::NotModified);
        }
        // `NotModified` was stored for a client that held a copy, while this one holds none.
        StoredResponse::NotModified | StoredResponse::Failed => {
            return RequestEnd::failed(Reason::Replicas)
        }
    };
    let range = HEAD_ROOM..HEAD_ROOM + bytes.len();
    let buffer = services.buffers.acquire();
    let Some(mut buffer) = buffer.filter(|buffer| range.end <= buffer.len()) else {
        return RequestEnd::shed(Reason::NoBuffer, services.rejected());
    };
    buffer[range.clone()].copy_from_slice(&bytes);
    RequestEnd::Finished(
        Completion::Served,
        Response::Served(ResponseBody { buffer, range }),
    )
}
