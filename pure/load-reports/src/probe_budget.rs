//! Decides when to send a probe: a health check that asks for a load report. A probe is worth its price if its expected
//! benefit is higher: the ratio of useful probes, times the attempts expected at the server within the lifetime of a
//! report, times the ratio of attempts that are rejected or lost.

use foldmux_stats::Time;
use std::collections::BTreeMap;

/// A server is probed only while the confidence in its report is below this.
const MAX_CONFIDENCE_TO_PROBE: f64 = 0.25;
/// Maximum number of probes in flight over all servers; each server has at most one.
pub const MAX_PROBES_IN_FLIGHT: usize = 4;
/// Maximum number of probes per request, however useful they are.
const PROBES_PER_REQUEST: f64 = 0.05;
/// One in this many of the probes that are not worth their price is sent anyway: the ratio of useful probes is only
/// measured by sending some, and could not recover otherwise.
const EXPLORATION_INTERVAL: u32 = 64;
/// Weight of a new probe in the moving average of the ratio of useful probes.
const USEFUL_WEIGHT: f64 = 0.05;
/// Ratio of useful probes that is assumed before the first one.
const INITIAL_USEFUL_RATIO: f64 = 0.25;

/// A server that may be probed, with what the decision depends on.
#[derive(Clone, Copy, Debug)]
pub struct ProbeCandidate {
    /// The server's id.
    pub server: u32,
    /// Confidence in its report, 0 to 1 ([`crate::LoadTable::confidence`]).
    pub confidence: f64,
    /// Number of attempts expected to go to it within the lifetime of a report.
    pub expected_attempts: f64,
    /// Ratio of attempts that were rejected or lost, 0 to 1: the expected cost of an attempt at the wrong server.
    pub loss_rate: f64,
    /// Whether it takes requests: it is listed, and neither draining nor in maintenance.
    pub ready: bool,
}

/// The probes in flight, the ratio of useful ones, and the bounds on sending more.
pub struct ProbeBudget {
    allowed: bool,
    /// Cost of one probe per request, in points of service (0 to 1). A probe is worth it if its expected benefit, in
    /// the same unit, is higher.
    price: f64,
    /// Timeout of a probe (us).
    probe_timeout: Time,
    /// Moving average of the ratio of useful probes: those whose response may have changed a selection.
    useful_ratio: f64,
    /// Probes that may be sent now; each request adds [`PROBES_PER_REQUEST`].
    budget: f64,
    /// Number of probes not sent because they were not worth their price, since the last such probe that was sent
    /// anyway.
    skipped: u32,
    /// By server, when its probe times out.
    in_flight: BTreeMap<u32, Time>,
}

impl ProbeBudget {
    /// Creates a budget that allows no probe until requests have been recorded. `price` is the cost of one probe per
    /// request, as set in [`crate::Setup`]: a negative one counts as 0, and one that is not finite as the highest.
    /// `probe_timeout` is in microseconds.
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

    /// Records the arrival of a request, which adds its part of a probe to the budget.
    pub fn record_request(&mut self) {
        self.budget = (self.budget + PROBES_PER_REQUEST).min(MAX_PROBES_IN_FLIGHT as f64);
    }

    /// Returns whether to probe this server now. If so, the probe counts as in flight until its end or its timeout.
    pub fn try_probe(&mut self, now: Time, candidate: ProbeCandidate) -> bool {
        self.in_flight.retain(|_, until| now < *until);
        let ProbeCandidate {
            server,
            confidence,
            expected_attempts,
            loss_rate,
            ready,
        } = candidate;
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

    /// Records the end of a probe. `useful` tells whether its response may change which server is selected.
    pub fn record_probe(&mut self, server: u32, useful: bool) {
        if self.in_flight.remove(&server).is_some() {
            self.useful_ratio += USEFUL_WEIGHT * (useful as u8 as f64 - self.useful_ratio);
        }
    }

    /// Forgets the probe of a server that drains, is gone or has restarted: its response may be about a former process.
    pub fn forget(&mut self, server: u32) {
        self.in_flight.remove(&server);
    }

    /// Returns the number of probes in flight.
    pub fn in_flight(&self, now: Time) -> usize {
        self.in_flight
            .values()
            .filter(|until| now < **until)
            .count()
    }
}
