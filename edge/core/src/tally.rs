//! Counts of answers and of how attempts ended, told in the log now and then: an operator's first look.

use crate::reasons::{Reason, REASONS};
use foldmux::interface::Outcome;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

/// Classes counted by name: those of all settings taken since the start, which a reload adds to.
const CLASSES: usize = 256;

/// What is counted. The outcomes of attempts come first, in the order in which the module knows them.
const NAMES: [&str; 15] = [
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

/// How a request ended, from the client's side.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    Served,
    Same,
    /// By the module.
    Refused(Reason),
    /// By the core, before the module heard of it.
    Shed(Reason),
    Failed(Reason),
    /// The front could not use what the client sent.
    Unusable,
}

impl End {
    /// Its place in `NAMES`, and which count of its class it is.
    fn places(self) -> (usize, usize) {
        match self {
            End::Served => (9, 0),
            End::Same => (10, 0),
            End::Refused(_) => (11, 1),
            End::Shed(_) => (12, 1),
            End::Failed(_) => (13, 2),
            End::Unusable => (14, 2),
        }
    }

    /// Why it was not served, where it was not.
    pub fn reason(self) -> Option<Reason> {
        match self {
            End::Served | End::Same => None,
            End::Refused(reason) | End::Shed(reason) | End::Failed(reason) => Some(reason),
            End::Unusable => Some(Reason::BadRequest),
        }
    }
}

impl fmt::Display for End {
    fn fmt(&self, out: &mut fmt::Formatter) -> fmt::Result {
        out.write_str(NAMES[self.places().0])?;
        self.reason()
            .map_or(Ok(()), |reason| write!(out, ", {reason}"))
    }
}

/// For each class by name since the start: answered, deferred, errored, and attempts written whole.
pub type ClassCounts = (Arc<str>, [u64; 4]);

#[derive(Default)]
pub struct Tally {
    /// By `NAMES`, since they were told last.
    counts: [AtomicU64; NAMES.len()],
    /// By `REASONS`, since they were told last.
    reasons: [AtomicU64; REASONS.len()],
    classes: Mutex<Vec<ClassCounts>>,
}

impl Tally {
    pub fn attempt(&self, outcome: Outcome) {
        self.counts[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How a request of `class` ended, counted for the log and for the operator's figures.
    pub fn end(&self, class: Option<&Arc<str>>, end: End) {
        let (place, kind) = end.places();
        self.counts[place].fetch_add(1, Ordering::Relaxed);
        if let Some(reason) = end.reason() {
            self.reasons[reason as usize].fetch_add(1, Ordering::Relaxed);
        }
        class.into_iter().for_each(|class| self.count(class, kind));
    }

    /// An attempt of `class` that was written whole to a pop cache.
    pub fn sent(&self, class: &Arc<str>, outcome: Outcome) {
        if !matches!(
            outcome,
            Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Cancelled
        ) {
            self.count(class, 3);
        }
    }

    fn count(&self, class: &Arc<str>, kind: usize) {
        self.counts(class, |counts| counts[kind] += 1);
    }

    /// Makes sure that a class is shown, at 0 where nothing of it has ended yet.
    pub fn know(&self, class: &Arc<str>) {
        self.counts(class, |_| {});
    }

    /// Changes the counts of `class`, taken at 0 where it is new; past `CLASSES` a new class is not counted.
    fn counts(&self, class: &Arc<str>, change: impl FnOnce(&mut [u64; 4])) {
        let mut classes = self.classes.lock().unwrap_or_else(PoisonError::into_inner);
        let place = match classes.iter().position(|(name, _)| **name == **class) {
            Some(place) => place,
            None if classes.len() < CLASSES => {
                classes.push((class.clone(), [0; 4]));
                classes.len() - 1
            }
            None => return,
        };
        change(&mut classes[place].1);
    }

    /// The counts by class since the start.
    pub fn classes(&self) -> Vec<ClassCounts> {
        self.classes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    /// One line with what has been counted since the last, or none.
    pub fn line(&self) -> Option<String> {
        told(self.counts.iter().zip(NAMES))
    }

    /// One line with why requests were not served since the last, or none.
    pub fn reasons_line(&self) -> Option<String> {
        told(self.reasons.iter().zip(REASONS))
    }
}

/// Each count that is not 0, which then begins at 0 again.
fn told<'a, N: fmt::Display>(counts: impl Iterator<Item = (&'a AtomicU64, N)>) -> Option<String> {
    let counts = counts.map(|(count, name)| (count.swap(0, Ordering::Relaxed), name));
    let told: Vec<String> = counts
        .filter(|c| c.0 > 0)
        .map(|(n, name)| format!("{name} {n}"))
        .collect();
    (!told.is_empty()).then(|| told.join(", "))
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn names_stand_beside_their_counts() {
        let tally = Tally::default();
        tally.attempt(Outcome::Served);
        tally.attempt(Outcome::Miss);
        let class: Arc<str> = "mix-video".into();
        tally.end(Some(&class), End::Served);
        tally.end(Some(&class), End::Failed(Reason::IdInUse));
        tally.end(None, End::Failed(Reason::NoDecision));
        tally.sent(&class, Outcome::Served);
        tally.sent(&class, Outcome::NeverSent);
        assert_eq!(tally.line().unwrap(), "ok 1, miss 1, served 1, failed 2");
        assert_eq!(tally.line(), None);
        assert_eq!(
            tally.reasons_line().unwrap(),
            "its id is in use 1, no decision in time 1"
        );
        assert_eq!(tally.reasons_line(), None);
        assert!(REASONS
            .iter()
            .enumerate()
            .all(|(place, reason)| *reason as usize == place));
        assert_eq!(tally.classes(), vec![(class, [1, 0, 1, 1])]);
    }
}
