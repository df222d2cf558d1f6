//! The core's interface to request records, implemented by the fleet's takeover state machine.

use super::class_policies::ReplicatedClasses;
use super::client::TakeoverClient;
use super::owned_record::ReplicatedRecord;
use foldmux_core::records::{Acquired, RequestRecords, StoredResponse};
use foldmux_core::retry_after::Rejected;
use foldmux_core::ClientRequest;
use foldmux_takeover::{Answer, Command, Event, Key, Request};
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// Replicated records of the requests of covered classes.
pub struct ReplicatedRecords {
    pub classes: Arc<ReplicatedClasses>,
    pub client: Arc<TakeoverClient>,
    /// Given to the client with a rejection.
    pub retry_after: Duration,
}

impl ReplicatedRecords {
    /// Ends the acquisition of a request that can't be replicated: it is rejected, or runs without a record.
    fn not_replicated(&self, reject: bool) -> Acquired {
        let count = if reject {
            &self.client.counts.refused
        } else {
            &self.client.counts.uncovered
        };
        count.fetch_add(1, Ordering::Relaxed);
        match reject {
            true => Acquired::Rejected(Rejected {
                retry_after: self.retry_after,
            }),
            false => Acquired::NotReplicated,
        }
    }
}

impl RequestRecords for ReplicatedRecords {
    fn acquire(
        &self,
        request: &ClientRequest,
        deadline: Instant,
        ownership_lost: bool,
    ) -> Acquired {
        let Some(class) = self.classes.get(&request.class_name) else {
            return Acquired::NotReplicated;
        };
        // A request without an idempotency key gets one from its id, which no other request has.
        let key_from_id = || format!("{:016x}", request.via_id);
        let key = Key::of(
            &request.class_name,
            &request.token.clone().unwrap_or_else(key_from_id),
        );
        let replicated_request = Arc::new(replicated_request(request));
        let time_left = deadline
            .saturating_duration_since(Instant::now())
            .as_micros() as u64;
        let event = self.client.call(deadline, |ticket| Command::Acquire {
            ticket,
            key,
            request: replicated_request,
            time_left,
            ownership_lost,
        });
        match event {
            Some(Event::Acquired {
                key,
                record,
                proof,
                lease,
                ..
            }) => {
                self.client.counts.covered.fetch_add(1, Ordering::Relaxed);
                Acquired::Owned(Box::new(ReplicatedRecord::new(
                    &self.client,
                    *class,
                    key,
                    &record,
                    proof,
                    lease,
                    deadline,
                )))
            }
            Some(Event::Answered { answer, .. }) => {
                self.client.counts.stored.fetch_add(1, Ordering::Relaxed);
                Acquired::Stored(match answer {
                    Answer::Served(bytes) => StoredResponse::Served(bytes),
                    Answer::NotModified => StoredResponse::NotModified,
                    Answer::Failed => StoredResponse::Failed,
                })
            }
            // A request whose record this process owned and lost never runs without one.
            Some(Event::Unreplicated { .. }) => self.not_replicated(ownership_lost),
            Some(Event::Rejected { .. }) => self.not_replicated(true),
            None if self.client.is_gone() => {
                self.not_replicated(class.rejects_unreplicated || ownership_lost)
            }
            _ => Acquired::Failed,
        }
    }
}

/// The request as its record holds it.
fn replicated_request(request: &ClientRequest) -> Request {
    let text = |text: &Option<String>| text.as_deref().map(Arc::from);
    Request {
        class: request.class_name.clone(),
        object: request.object,
        part: request.part,
        group: request.group,
        size: (request.size_kb * 1_000.0).round() as u64,
        token: text(&request.token),
        got: text(&request.etag),
        body: request
            .body
            .as_ref()
            .map(|(buffer, length)| Arc::from(&buffer[..*length])),
    }
}
