//! Covered requests in service: the core's [`RequestRecords`] over the fleet's part for takeover. Without a fleet in the operator's
//! file nothing here is started.

mod hold;
mod keep;
mod line;
mod log;
mod rules;
pub mod start;
mod taken;

use foldmux_core::records::{Acquired, RequestRecords, StoredResponse};
use foldmux_core::retry_after::Rejected;
use foldmux_core::ClientRequest;
use foldmux_takeover::{Answer, Command, Event, Key, Request};
use hold::Held;
use line::Line;
use rules::Classes;
pub use start::Ready;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::{Duration, Instant};

struct Covering {
    classes: Arc<Classes>,
    line: Arc<Line>,
    /// Told with a rejection.
    retry_after: Duration,
}

impl Covering {
    fn uncovered(&self, refuse: bool) -> Acquired {
        let count = if refuse {
            &self.line.counts.refused
        } else {
            &self.line.counts.uncovered
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

impl RequestRecords for Covering {
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
        let told = self.line.ask(deadline, |ticket| Command::Acquire {
            ticket,
            key,
            request: work,
            time_left: left,
            ownership_lost: again,
        });
        match told {
            Some(Event::Acquired {
                key,
                record,
                proof,
                lease,
                ..
            }) => {
                self.line.counts.covered.fetch_add(1, Ordering::Relaxed);
                Acquired::Owned(Box::new(Held::new(
                    &self.line, *class, key, &record, proof, lease, deadline,
                )))
            }
            Some(Event::Answered { answer, .. }) => {
                self.line.counts.kept.fetch_add(1, Ordering::Relaxed);
                Acquired::Stored(match answer {
                    Answer::Served(bytes) => StoredResponse::Served(bytes),
                    Answer::NotModified => StoredResponse::NotModified,
                    Answer::Failed => StoredResponse::Failed,
                })
            }
            // Once it was covered, a request that is lost is not run with no record of it.
            Some(Event::Unreplicated { .. }) => self.uncovered(again),
            Some(Event::Rejected { .. }) => self.uncovered(true),
            None if self.line.gone() => self.uncovered(class.refuse || again),
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
