//! Counts of answers and of how attempts ended, told in the log now and then: an operator's first look.

use foldmux::interface::Outcome;
use std::sync::atomic::{AtomicU64, Ordering};

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

#[derive(Default)]
pub struct Tally([AtomicU64; NAMES.len()]);

impl Tally {
    pub fn attempt(&self, outcome: Outcome) {
        self.0[outcome as usize].fetch_add(1, Ordering::Relaxed);
    }

    pub fn end(&self, end: End) {
        self.0[end as usize].fetch_add(1, Ordering::Relaxed);
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
        tally.end(End::Served);
        tally.end(End::Failed);
        tally.end(End::Failed);
        assert_eq!(tally.line().unwrap(), "ok 1, miss 1, served 1, failed 2");
        assert_eq!(tally.line(), None);
    }
}
