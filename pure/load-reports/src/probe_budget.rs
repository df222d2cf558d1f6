//! When a health check that asks for a load report is worth its price: where its response may change a selection that is
//! about to be made often enough.

use foldmux_stats::Time;
use std::collections::BTreeMap;

/// A server is probed only while the confidence in its report is under this.
const MAX_CONFIDENCE_TO_PROBE: f64 = 0.25;
/// Most probes in flight, over all servers; at most one per server.
pub const MAX_PROBES_IN_FLIGHT: usize = 4;
/// Most probes sent for each request, whatever they gain.
const PROBES_PER_REQUEST: f64 = 0.05;
/// One in so many probes that are not worth their price is sent, so that the estimate of their use can recover.
const EXPLORATION_INTERVAL: u32 = 64;
/// Weight of a new probe in the moving average of useful probes.
const USEFUL_WEIGHT: f64 = 0.05;
/// The average before the first probe.
const INITIAL_USEFUL_RATIO: f64 = 0.25;

/// What is weighed before one server is probed.
#[derive(Clone, Copy, Debug)]
pub struct ProbeCandidate {
    /// The server's id.
    pub server: u32,
    /// Confidence in its report, 0 to 1 ([`crate::LoadTable::confidence`]).
    pub confidence: f64,
    /// Attempts that will go to it within the lifetime of a report.
    pub expected_attempts: f64,
    /// What one attempt at the wrong server costs: the ratio of attempts that are late or rejected.
    pub loss_rate: f64,
    /// Whether it takes requests: it does not drain, is listed and not in maintenance.
    pub ready: bool,
}

/// Probes in flight, what they gained, their price and their bounds.
pub struct ProbeBudget {
    allowed: bool,
    /// Points of service that one probe per request costs, of 1.
    price: f64,
    /// How long a probe may take (us).
    probe_timeout: Time,
    /// Ratio of probes whose response changed a selection.
    useful_ratio: f64,
    budget: f64,
    skipped: u32,
    in_flight: BTreeMap<u32, Time>,
}

impl ProbeBudget {
    /// `price`: what the settings charge for one probe per request. `probe_timeout` (us).
    pub fn new(allowed: bool, price: f64, probe_timeout: Time) -> ProbeBudget {
        let price = if price.is_finite() {
            price.max(0.0)
        } else {
            f64::MAX
        };
        ProbeBudget {
            allowed,
            price,
            probe_timeout,
            useful_ratio: INITIAL_USEFUL_RATIO,
            budget: 0.0,
            skipped: 0,
            in_flight: BTreeMap::new(),
        }
    }

    /// A request arrived: it adds its part of a probe to the budget.
    pub fn request(&mut self) {
        self.budget = (self.budget + PROBES_PER_REQUEST).min(MAX_PROBES_IN_FLIGHT as f64);
    }

    /// Whether to probe this server now; if so, the probe counts as in flight until its end or its timeout.
    pub fn try_probe(&mut self, now: Time, case: ProbeCandidate) -> bool {
        self.in_flight.retain(|_, until| now < *until);
        let ProbeCandidate {
            server,
            confidence,
            expected_attempts,
            loss_rate,
            ready,
        } = case;
        let has_capacity = self.in_flight.len() < MAX_PROBES_IN_FLIGHT
            && !self.in_flight.contains_key(&server)
            && self.budget >= 1.0;
        if !self.allowed
            || !ready
            || !has_capacity
            || confidence >= MAX_CONFIDENCE_TO_PROBE
            || expected_attempts.is_nan()
            || expected_attempts < 1.0
        {
            return false;
        }
        if loss_rate.is_nan() || loss_rate <= 0.0 {
            return false;
        }
        if self.useful_ratio * expected_attempts * loss_rate <= self.price {
            self.skipped += 1;
            if self.skipped < EXPLORATION_INTERVAL {
                return false;
            }
            self.skipped = 0;
        }
        self.budget -= 1.0;
        self.in_flight.insert(server, now + self.probe_timeout);
        true
    }

    /// A probe ended; `changes`: its response changes which server is selected.
    pub fn record_probe(&mut self, server: u32, changes: bool) {
        if self.in_flight.remove(&server).is_some() {
            self.useful_ratio += USEFUL_WEIGHT * (changes as u8 as f64 - self.useful_ratio);
        }
    }

    /// The server drains, is gone or has restarted: a response to a probe in flight would be about another process.
    pub fn forget(&mut self, server: u32) {
        self.in_flight.remove(&server);
    }

    /// Probes in flight.
    pub fn in_flight(&self, now: Time) -> usize {
        self.in_flight
            .values()
            .filter(|until| now < **until)
            .count()
    }
}
