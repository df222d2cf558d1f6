//! Covered requests in service: the core's [`Cover`] over the fleet's part for takeover. Without a fleet in the operator's
//! file nothing here is started.

mod hold;
mod keep;
mod line;
mod log;
mod rules;
pub mod start;
mod taken;

use foldmux_core::cover::{Claimed, Cover, Final};
use foldmux_core::Inquiry;
use foldmux_takeover::{Answer, Command, Event, Key, Work};
use hold::Held;
use line::Line;
use rules::Classes;
pub use start::Ready;
use std::sync::atomic::Ordering;
use std::sync::Arc;
use std::time::Instant;

struct Covering {
    classes: Arc<Classes>,
    line: Arc<Line>,
    /// Advised with a refusal (us).
    shed_wait: u64,
}

impl Covering {
    fn uncovered(&self, refuse: bool) -> Claimed {
        let count = if refuse {
            &self.line.counts.refused
        } else {
            &self.line.counts.uncovered
        };
        count.fetch_add(1, Ordering::Relaxed);
        match refuse {
            true => Claimed::Refused {
                wait: self.shed_wait,
            },
            false => Claimed::Uncovered,
        }
    }
}

impl Cover for Covering {
    fn claim(&self, inquiry: &Inquiry, deadline: Instant, again: bool) -> Claimed {
        let Some(class) = self.classes.get(&inquiry.class_name) else {
            return Claimed::Uncovered;
        };
        // What carries no key has its client's id, which no other request has.
        let own = || format!("{:016x}", inquiry.via);
        let key = Key::of(
            &inquiry.class_name,
            &inquiry.token.clone().unwrap_or_else(own),
        );
        let work = Arc::new(work(inquiry));
        let left = deadline
            .saturating_duration_since(Instant::now())
            .as_micros() as u64;
        let told = self.line.ask(deadline, |ticket| Command::Claim {
            ticket,
            key,
            work,
            left,
            again,
        });
        match told {
            Some(Event::Mine {
                key,
                record,
                proof,
                lease,
                ..
            }) => {
                self.line.counts.covered.fetch_add(1, Ordering::Relaxed);
                Claimed::Mine(Box::new(Held::new(
                    &self.line, *class, key, &record, proof, lease, deadline,
                )))
            }
            Some(Event::Kept { answer, .. }) => {
                self.line.counts.kept.fetch_add(1, Ordering::Relaxed);
                Claimed::Kept(match answer {
                    Answer::Served(bytes) => Final::Served(bytes),
                    Answer::Same => Final::Same,
                    Answer::Failed => Final::Failed,
                })
            }
            // Once it was covered, a request that is lost is not run with no record of it.
            Some(Event::Uncovered { .. }) => self.uncovered(again),
            Some(Event::Refused { .. }) => self.uncovered(true),
            None if self.line.gone() => self.uncovered(class.refuse || again),
            _ => Claimed::Failed,
        }
    }
}

fn work(inquiry: &Inquiry) -> Work {
    let text = |text: &Option<String>| text.as_deref().map(Arc::from);
    Work {
        class: inquiry.class_name.clone(),
        object: inquiry.object,
        part: inquiry.part,
        group: inquiry.group,
        size: (inquiry.size_kb * 1_000.0).round() as u64,
        token: text(&inquiry.token),
        got: text(&inquiry.got),
        body: inquiry
            .body
            .as_ref()
            .map(|(lease, length)| Arc::from(&lease[..*length])),
    }
}
