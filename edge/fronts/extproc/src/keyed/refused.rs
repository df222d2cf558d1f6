//! Why a keyed request is not placed, and how often that was.

use foldmux_idempotency::table::Denied;
use foldmux_idempotency::token::TokenError;
use foldmux_store::Fault;
use std::fmt;
use std::sync::atomic::{AtomicU64, Ordering};

/// What was refused, for the log.
#[derive(Debug, Default)]
pub struct Counts {
    pub forged: AtomicU64,
    pub foreign: AtomicU64,
    pub malformed: AtomicU64,
    pub expired: AtomicU64,
    pub replayed: AtomicU64,
    pub running: AtomicU64,
    pub given_up: AtomicU64,
    pub full: AtomicU64,
    pub unstored: AtomicU64,
}

impl fmt::Display for Counts {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        let all = [
            ("forged", &self.forged),
            ("foreign", &self.foreign),
            ("malformed", &self.malformed),
            ("expired", &self.expired),
            ("replayed", &self.replayed),
            ("running", &self.running),
            ("given up", &self.given_up),
            ("full", &self.full),
            ("not stored", &self.unstored),
        ];
        let told: Vec<String> = all
            .iter()
            .map(|(name, count)| (name, count.load(Ordering::Relaxed)))
            .filter(|(_, n)| *n > 0)
            .map(|(name, n)| format!("{name} {n}"))
            .collect();
        f.write_str(&told.join(", "))
    }
}

/// Why a keyed request is not placed.
#[derive(Clone, Debug, PartialEq)]
pub enum No {
    Token(TokenError),
    Ledger(Denied),
    Store(Fault),
    /// The store has not been opened yet: what it holds is not known.
    NotLoaded,
}

impl fmt::Display for No {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            No::Token(bad) => bad.fmt(f),
            No::Ledger(refusal) => refusal.fmt(f),
            No::Store(fault) => write!(f, "the ledger of keyed attempts can't be written: {fault}"),
            No::NotLoaded => f.write_str("the ledger of keyed attempts can't be read yet"),
        }
    }
}
