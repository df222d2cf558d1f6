//! When a probe pays: only where its answer may change a choice that is about to be made often enough, and for no more
//! than it is worth.

use foldmux_stats::Time;
use std::collections::BTreeMap;

/// A report that is believed less than this says too little to go by.
const FAINT: f64 = 0.25;
/// Probes out at once, of all servers; one of each.
pub const OUT: usize = 4;
/// A part of the requests: more probes than this are never sent, whatever they gain.
const SHARE: f64 = 0.05;
/// One in so many that would not pay is sent all the same, so that their record can turn.
const TRICKLE: u32 = 64;
/// Weight of a new probe in the record of those that changed a choice; what is held true at first.
const SMOOTH: f64 = 0.05;
const AT_FIRST: f64 = 0.25;

/// What is weighed for one server.
#[derive(Clone, Copy, Debug)]
pub struct Case {
    pub server: u32,
    /// How far its report is believed ([`crate::Reports::trust`]).
    pub trust: f64,
    /// Attempts that will go to it while a report lasts.
    pub uses: f64,
    /// What one attempt at the wrong server costs, in requests' worth: the share that is late or refused there.
    pub loss: f64,
    /// Its state on the list: none drains, is gone or is out by hand.
    pub ready: bool,
}

/// The record of probes, their price and their bounds.
pub struct Asking {
    allowed: bool,
    /// Points of service in 1 for one probe a request.
    price: f64,
    /// Answer owed by this time.
    patience: Time,
    /// Part of the probes whose answer changed a choice.
    changed: f64,
    budget: f64,
    passed_by: u32,
    out: BTreeMap<u32, Time>,
}

impl Asking {
    /// `price`: what the settings take off for one probe a request. `patience`: the longest wait for an answer (us).
    pub fn new(allowed: bool, price: f64, patience: Time) -> Asking {
        let price = if price.is_finite() {
            price.max(0.0)
        } else {
            f64::MAX
        };
        Asking {
            allowed,
            price,
            patience,
            changed: AT_FIRST,
            budget: 0.0,
            passed_by: 0,
            out: BTreeMap::new(),
        }
    }

    /// A request came: it pays for its share of a probe.
    pub fn request(&mut self) {
        self.budget = (self.budget + SHARE).min(OUT as f64);
    }

    /// Whether to ask this server now; if so, the probe counts as out until it is answered or its time is over.
    pub fn ask(&mut self, now: Time, case: Case) -> bool {
        self.out.retain(|_, until| now < *until);
        let Case {
            server,
            trust,
            uses,
            loss,
            ready,
        } = case;
        let room = self.out.len() < OUT && !self.out.contains_key(&server) && self.budget >= 1.0;
        if !self.allowed || !ready || !room || trust >= FAINT || uses.is_nan() || uses < 1.0 {
            return false;
        }
        if loss.is_nan() || loss <= 0.0 {
            return false;
        }
        if self.changed * uses * loss <= self.price {
            self.passed_by += 1;
            if self.passed_by < TRICKLE {
                return false;
            }
            self.passed_by = 0;
        }
        self.budget -= 1.0;
        self.out.insert(server, now + self.patience);
        true
    }

    /// A probe was answered or failed: whether what it told would have another server chosen.
    pub fn answered(&mut self, server: u32, changes: bool) {
        if self.out.remove(&server).is_some() {
            self.changed += SMOOTH * (changes as u8 as f64 - self.changed);
        }
    }

    /// The server drains, went or started anew: its answer, if one comes, is about another.
    pub fn forget(&mut self, server: u32) {
        self.out.remove(&server);
    }

    /// Probes out.
    pub fn out(&self, now: Time) -> usize {
        self.out.values().filter(|until| now < **until).count()
    }
}
