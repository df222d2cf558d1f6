//! Counters of completed requests and of attempt outcomes: by class since the start, and in total since the last summary in
//! the log.

use crate::reason::{Reason, REASONS};
use foldmux::interface::Outcome;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Maximum number of classes counted by name. Includes the classes of earlier settings, as a reload only adds to them.
const MAX_CLASSES: usize = 256;
/// Number of attempt outcomes, whose counters come first.
const OUTCOMES: usize = 9;

/// Names of the counters in the log. The outcomes of attempts come first, in the order of [`Outcome`]; then the completions of
/// requests, in the order of [`Completion::counter`].
const COUNTER_NAMES: [&str; OUTCOMES + 6] = [
    "ok",
    "error",
    "full",
    "timed out",
    "no connection",
    "reset",
    "cancelled",
    "never sent",
    "miss",
    "served",
    "same",
    "refused",
    "shed",
    "failed",
    "unusable",
];

/// How a request ended, as seen by its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// Responded with the requested part.
    Served,
    /// The client's copy was current.
    NotModified,
    /// Rejected after the router received it.
    Rejected(Reason),
    /// Rejected before the router received it.
    Shed(Reason),
    /// Failed.
    Failed(Reason),
    /// The front could not process what the client sent.
    Malformed,
}

impl Completion {
    /// Returns the index of the counter in `COUNTER_NAMES`.
    fn counter(self) -> usize {
        OUTCOMES
            + match self {
                Completion::Served => 0,
                Completion::NotModified => 1,
                Completion::Rejected(_) => 2,
                Completion::Shed(_) => 3,
                Completion::Failed(_) => 4,
                Completion::Malformed => 5,
            }
    }

    /// Returns why the request was not served; `None` if it was.
    pub fn reason(self) -> Option<Reason> {
        match self {
            Completion::Served | Completion::NotModified => None,
            Completion::Rejected(reason)
            | Completion::Shed(reason)
            | Completion::Failed(reason) => Some(reason),
            Completion::Malformed => Some(Reason::BadRequest),
        }
    }
}

impl fmt::Display for Completion {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(COUNTER_NAMES[self.counter()])?;
        match self.reason() {
            Some(reason) => write!(out, ", {reason}"),
            None => Ok(()),
        }
    }
}

/// Counters of one class since the start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ClassCounts {
    /// Name of the class.
    pub class: Arc<str>,
    /// Requests served.
    pub answered: u64,
    /// Requests rejected.
    pub deferred: u64,
    /// Requests failed or malformed.
    pub errored: u64,
    /// Attempts whose request was written in full.
    pub sends: u64,
}

impl ClassCounts {
    fn new(class: &Arc<str>) -> ClassCounts {
        ClassCounts {
            class: class.clone(),
            answered: 0,
            deferred: 0,
            errored: 0,
            sends: 0,
        }
    }

    fn record(&mut self, completion: Completion) {
        match completion {
            Completion::Served | Completion::NotModified => self.answered += 1,
            Completion::Rejected(_) | Completion::Shed(_) => self.deferred += 1,
            Completion::Failed(_) | Completion::Malformed => self.errored += 1,
        }
    }
}

/// The counters.
#[derive(Default)]
pub struct Metrics {
    /// Indexed like `COUNTER_NAMES`; since the last call of `take_summary`.
    counters: [AtomicU64; COUNTER_NAMES.len()],
    /// Indexed like `REASONS`; since the last call of `take_reasons_summary`.
    reasons: [AtomicU64; REASONS.len()],
    classes: Mutex<Vec<ClassCounts>>,
}

impl Metrics {
    /// Counts the outcome of an attempt.
    pub fn record_attempt(&self, outcome: Outcome) {
        self.counters[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// Counts the completion of a request of `class`; `None` if its class is not known.
    pub fn record_completion(&self, class: Option<&Arc<str>>, completion: Completion) {
        self.counters[completion.counter()].fetch_add(1, Ordering::Relaxed);
        if let Some(reason) = completion.reason() {
            self.reasons[reason as usize].fetch_add(1, Ordering::Relaxed);
        }
        if let Some(class) = class {
            self.update_class(class, |counts| counts.record(completion));
        }
    }

    /// Counts an attempt of `class`, if its request was written in full.
    pub fn record_send(&self, class: &Arc<str>, outcome: Outcome) {
        let was_sent = !matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Cancelled
        );
        if was_sent {
            self.update_class(class, |counts| counts.sends += 1);
        }
    }

    /// Lists a class with zero counts until its first request ends.
    pub fn register_class(&self, class: &Arc<str>) {
        self.update_class(class, |_| {});
    }

    /// Updates the counters of `class`; a new class beyond `MAX_CLASSES` is not counted.
    fn update_class(&self, class: &Arc<str>, update: impl FnOnce(&mut ClassCounts)) {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let index = match classes.iter().position(|counts| *counts.class == **class) {
            Some(index) => index,
            None if classes.len() < MAX_CLASSES => {
                classes.push(ClassCounts::new(class));
                classes.len() - 1
            }
            None => return,
        };
        update(&mut classes[index]);
    }

    /// Returns the counters by class since the start.
    pub fn classes(&self) -> Vec<ClassCounts> {
        self.classes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// Returns a line with the counts since the last call and resets them; `None` if all are zero.
    pub fn take_summary(&self) -> Option<String> {
        take_nonzero(self.counters.iter().zip(COUNTER_NAMES))
    }

    /// Returns a line with the reasons why requests were not served since the last call, and resets them; `None` if all were
    /// served.
    pub fn take_reasons_summary(&self) -> Option<String> {
        take_nonzero(self.reasons.iter().zip(REASONS))
    }
}

/// Resets the counters and lists those that were not zero; `None` if all were zero.
fn take_nonzero<'a, N: fmt::Display>(
    counters: impl Iterator<Item = (&'a AtomicU64, N)>,
) -> Option<String> {
    let listed: Vec<String> = counters
        .map(|(counter, name)| (counter.swap(0, Ordering::Relaxed), name))
        .filter(|(count, _)| *count > 0)
        .map(|(count, name)| format!("{name} {count}"))
        .collect();
    (!listed.is_empty()).then(|| listed.join(", "))
}

#[cfg(test)]
mod tests;
