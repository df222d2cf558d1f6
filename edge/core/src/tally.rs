//! Counts of answers and of how attempts ended, told in the log now and then: an operator's first look.

use foldmux::interface::Outcome;
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
#[derive(Clone, Copy)]
pub enum End {
    Served = 9,
    Same,
    /// By the module.
    Refused,
    /// By the core, before the module heard of it.
    Shed,
    Failed,
    /// The front could not use what the client sent.
    Unusable,
}

/// For each class by name since the start: answered, deferred, errored, and attempts written whole.
pub type ClassCounts = (Arc<str>, [u64; 4]);

#[derive(Default)]
pub struct Tally([AtomicU64; NAMES.len()], Mutex<Vec<ClassCounts>>);

impl Tally {
    pub fn attempt(&self, outcome: Outcome) {
        self.0[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    /// How a request of `class` ended, counted for the log and for the operator's figures.
    pub fn end(&self, class: Option<&Arc<str>>, end: End) {
        self.0[end as usize].fetch_add(1, Ordering::Relaxed);
        let kind = match end {
            End::Served | End::Same => 0,
            End::Refused | End::Shed => 1,
            End::Failed | End::Unusable => 2,
        };
        class.into_iter().for_each(|class| self.count(class, kind));
    }

    /// An attempt of `class` that was written whole to a pop cache.
    pub fn sent(&self, class: &Arc<str>, outcome: Outcome) {
        if !matches!(outcome, Outcome::ConnectFailed | Outcome::NeverSent | Outcome::Cancelled) {
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
        let mut classes = self.1.lock().unwrap_or_else(PoisonError::into_inner);
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
        self.1.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    /// One line with what has been counted since the last, or none.
    pub fn line(&self) -> Option<String> {
        let counts = self.0.iter().zip(NAMES).map(|(count, name)| (count.swap(0, Ordering::Relaxed), name));
        let told: Vec<String> = counts.filter(|c| c.0 > 0).map(|(n, name)| format!("{name} {n}")).collect();
        (!told.is_empty()).then(|| told.join(", "))
    }
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
        tally.end(Some(&class), End::Failed);
        tally.end(None, End::Failed);
        tally.sent(&class, Outcome::Served);
        tally.sent(&class, Outcome::NeverSent);
        assert_eq!(tally.line().unwrap(), "ok 1, miss 1, served 1, failed 2");
        assert_eq!(tally.line(), None);
        assert_eq!(tally.classes(), vec![(class, [1, 0, 1, 1])]);
    }
}
