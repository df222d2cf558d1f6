//! The core's records of requests, kept by the fleet's takeover state machine.

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

pub struct ReplicatedRecords {
    pub classes: Arc<ReplicatedClasses>,
    pub client: Arc<TakeoverClient>,
    /// Told with a rejection.
    pub retry_after: Duration,
}

impl ReplicatedRecords {
    fn uncovered(&self, refuse: bool) -> Acquired {
        let count = if refuse {
            &self.client.counts.refused
        } else {
            &self.client.counts.uncovered
        };
        count.fetch_add(1, Ordering::Relaxed);
        match refuse {
            true => Acquired::Rejected(Rejected {
                retry_after: self.retry_after,
            }),
            false => Acquired::NotReplicated,
        }
    }
}

impl RequestRecords for ReplicatedRecords {
    fn acquire(&self, request: &ClientRequest, deadline: Instant, again: bool) -> Acquired {
        let Some(class) = self.classes.get(&request.class_name) else {
            return Acquired::NotReplicated;
        };
        // What carries no key has its client's id, which no other request has.
        let own = || format!("{:016x}", request.via_id);
        let key = Key::of(
            &request.class_name,
            &request.token.clone().unwrap_or_else(own),
        );
        let work = Arc::new(request_of(request));
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_micros() as u64;
        let event = self.client.call(deadline, |ticket| Command::Acquire {
            ticket,
            key,
            request: work,
            time_left: left,
            ownership_lost: again,
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
                self.client.counts.kept.fetch_add(1, Ordering::Relaxed);
                Acquired::Stored(match answer {
                    Answer::Served(bytes) => StoredResponse::Served(bytes),
                    Answer::NotModified => StoredResponse::NotModified,
                    Answer::Failed => StoredResponse::Failed,
                })
            }
            // Once it was covered, a request that is lost is not run with no record of it.
            Some(Event::Unreplicated { .. }) => self.uncovered(again),
            Some(Event::Rejected { .. }) => self.uncovered(true),
            None if self.client.is_gone() => self.uncovered(class.refuse || again),
            _ => Acquired::Failed,
        }
    }
}

fn request_of(request: &ClientRequest) -> Request {
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
            .map(|(lease, length)| Arc::from(&lease[..*length])),
    }
}
