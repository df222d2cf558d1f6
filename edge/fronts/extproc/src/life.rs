//! The life of one stream, from its first message to its end, in one function.
//!
//! Whatever is held stands in local values whose drops give it back: a stream that its caller cancels is dropped where
//! it waits, and ends like any other.

use crate::answers::{self, Final};
use crate::attempt::Attempt;
use crate::exchange::{Exchange, Heard};
use crate::front::Open;
pub use crate::front::{us, Class, Counts, Front};
use crate::mapping;
use crate::outcome::{judge, Ended};
use crate::pb::{Kind, ProcessingRequest, ProcessingResponse};
use crate::place::Decided;
use foldmux::interface::Outcome;
use foldmux_core::metrics::Completion;
use foldmux_idempotency::table::AttemptEnd;
use std::collections::HashMap;
use std::future::Future;
use std::sync::Arc;
use std::time::Instant;
use tokio::time::{sleep, timeout};
use tokio_stream::Stream;
use tonic::{Code, Status};

/// The caller's `response.code_details`, where it sends attributes.
fn details(attributes: &HashMap<String, crate::pb::Struct>) -> Option<&str> {
    attributes
        .values()
        .find_map(|all| match &all.fields.get("response.code_details")?.kind {
            Some(Kind::StringValue(text)) => Some(text.as_str()),
            _ => None,
        })
}

/// What comes in on a stream.
pub trait Messages: Send + 'static {
    fn next(&mut self) -> impl Future<Output = Result<Option<ProcessingRequest>, Status>> + Send;
}

impl Messages for tonic::Streaming<ProcessingRequest> {
    async fn next(&mut self) -> Result<Option<ProcessingRequest>, Status> {
        self.message().await
    }
}

/// One stream: its messages heard in their order, each answered before the next is read.
#[expect(
    clippy::too_many_lines,
    reason = "one stream from its first message to its end"
)]
pub fn stream(
    front: Arc<Front>,
    mut messages: impl Messages,
    caller: Arc<str>,
) -> impl Stream<Item = Result<ProcessingResponse, Status>> + Send + 'static {
    async_stream::stream! {
        let open = Open::take(&front);
        if open.1 >= 2 * front.streams {
            yield Err(Status::resource_exhausted("too many streams"));
            return;
        }
        let mut exchange = Exchange::default();
        let mut attempt: Option<Box<Attempt>> = None;
        loop {
            let message = match timeout(front.idle, messages.next()).await {
                Ok(Ok(Some(message))) => message,
                // The caller has ended the stream in its order: a response that had begun is through.
                Ok(Ok(None)) => {
                    if let Some(mut attempt) = attempt.take().filter(|a| a.begun) {
                        served(&front, &mut attempt);
                    }
                    return;
                }
                // Reset, or no message of this protocol: whatever is out is dropped, and may have run.
                Ok(Err(status)) => {
                    yield Err(status);
                    return;
                }
                Err(_) => {
                    yield Err(Status::deadline_exceeded("nothing came for too long"));
                    return;
                }
            };
            let arrived = Instant::now();
            let outer = details(&message.attributes).map(str::to_string);
            let heard = match exchange.hear(message) {
                Ok(heard) => heard,
                Err(fault) => {
                    front.count(&front.counts.faults);
                    yield Err(Status::new(Code::InvalidArgument, fault.to_string()));
                    return;
                }
            };
            if exchange.observed() {
                // The caller sends its request on without an answer: there is nothing to place.
                front.count(&front.counts.observed);
                continue;
            }
            match heard {
                Heard::RequestHeaders(_) if open.1 >= front.streams => {
                    let last = Final::too_many("too many streams", front.core.retry_after());
                    yield Ok(front.finally(&last));
                    return;
                }
                Heard::RequestHeaders(headers) => {
                    let mut deciding = Box::pin(front.decide(&headers, arrived, &caller));
                    let mut decided = tokio::select! {
                        biased;
                        decided = &mut deciding => Some(decided),
                        () = sleep(front.slow_after) => None,
                    };
                    if decided.is_none() {
                        yield Ok(answers::longer(front.patience.as_millis() as u64));
                        decided = Some(deciding.await);
                    }
                    match decided {
                        Some(Decided::Placed(mut placed, response)) => {
                            placed.told();
                            attempt = Some(placed);
                            yield Ok(response);
                        }
                        Some(Decided::Unplaced(response)) => yield Ok(response),
                        Some(Decided::Final(last)) => {
                            yield Ok(front.finally(&last));
                            return;
                        }
                        None => return,
                    }
                }
                Heard::RequestBody => yield Ok(answers::request_body()),
                Heard::RequestTrailers => yield Ok(answers::request_trailers()),
                Heard::ResponseHeaders(headers) => {
                    let Some(mut held) = attempt.take() else {
                        yield Ok(answers::response(None));
                        continue;
                    };
                    let status = mapping::field(&headers, ":status").and_then(|s| std::str::from_utf8(s).ok()?.parse().ok());
                    let untouched = mapping::field(&headers, "srv-untouched") == Some(b"1");
                    let inner = details(&headers.attributes).map(str::to_string);
                    let ended = judge(status.unwrap_or(0), untouched, inner.or(outer).as_deref(), held.holds);
                    if ended.outcome == Outcome::Served {
                        held.begun = true;
                        // It ran: the ledger need not wait for its last byte.
                        held.grip.take().iter_mut().for_each(|grip| grip.end(AttemptEnd::MayHaveExecuted));
                        if headers.end_of_stream {
                            served(&front, &mut held);
                        } else {
                            attempt = Some(held);
                        }
                        yield Ok(answers::response(None));
                        continue;
                    }
                    match front.after(held, ended).await {
                        Ok(again) => yield Ok(answers::response(again.as_deref())),
                        Err(last) => {
                            yield Ok(front.finally(&last));
                            return;
                        }
                    }
                }
                Heard::ResponseBody { whole } => {
                    if let Some(mut attempt) = attempt.take_if(|_| whole) {
                        served(&front, &mut attempt);
                    }
                    yield Ok(answers::response_body());
                }
                Heard::ResponseTrailers => {
                    if let Some(mut attempt) = attempt.take() {
                        served(&front, &mut attempt);
                    }
                    yield Ok(answers::response_trailers());
                }
            }
        }
    }
}

fn served(front: &Front, attempt: &mut Attempt) {
    attempt.end(
        Ended {
            outcome: Outcome::Served,
            over: true,
        },
        true,
    );
    front
        .core
        .metrics
        .record_completion(None, Completion::Served);
}
