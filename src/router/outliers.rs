//! Outlier detection: which servers are ejected from ordinary traffic, and until when.
//!
//! Input: the outcome of each attempt at a server, or of each fill from it. Unit: failure rate, 0 to 1,
//! as moving averages of the server and of all servers of its tier. A server is ejected if it fails more
//! than its tier: failures that a whole tier has in common (a failing origin, lost responses) are no
//! reason to prefer one of its servers to another. Overload is not a failure: if an overloaded server
//! were ejected, the objects that it has cached would be filled again elsewhere.

use super::server::Server;
use super::Router;
use crate::interface::{CacheId, Time};

/// Weight of a new outcome in the failure rate of a server.
const SERVER_OUTCOME_WEIGHT: f64 = 0.15;
/// Weight of a new outcome in the failure rate of a tier.
const TIER_OUTCOME_WEIGHT: f64 = 0.03;
/// Excess of a server's failure rate over its tier's above which it is ejected: far above sporadic errors, below the
/// rate of a server that fails every second attempt.
const EJECTION_THRESHOLD: f64 = 0.3;
/// Duration of an ejection (us). It is short, so that a recovery is noticed; afterwards one attempt at a time is sent
/// as a trial.
const EJECTION_US: Time = 1_000_000;

/// What an outcome shows of a server's health.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum HealthSample {
    Success,
    Failure,
    /// No connection could be established: the server is ejected at once.
    Unreachable,
}

/// The failure rate of one server, and its ejection.
#[derive(Default)]
pub(super) struct FailureRecord {
    rate: f64,
    ejected_until: Time,
}

impl FailureRecord {
    /// Updates the failure rates of the server and of its tier, and ejects the server if it is unreachable or an
    /// outlier.
    pub(super) fn record_outcome(
        &mut self,
        now: Time,
        sample: HealthSample,
        tier_failure_rate: &mut f64,
    ) {
        let failed = sample != HealthSample::Success;
        let value = failed as u8 as f64;
        self.rate += SERVER_OUTCOME_WEIGHT * (value - self.rate);
        *tier_failure_rate += TIER_OUTCOME_WEIGHT * (value - *tier_failure_rate);
        let is_outlier = failed && self.exceeds(*tier_failure_rate) && !self.is_ejected(now);
        if sample == HealthSample::Unreachable || is_outlier {
            self.ejected_until = now + EJECTION_US;
        }
    }

    fn exceeds(&self, tier_failure_rate: f64) -> bool {
        self.rate > EJECTION_THRESHOLD + tier_failure_rate
    }

    fn is_ejected(&self, now: Time) -> bool {
        now < self.ejected_until
    }
}

impl Router {
    /// Whether a server may take ordinary traffic: it is not ejected, it has nothing in flight if its failure rate is
    /// still too high, and no response of it is overdue.
    pub(super) fn is_healthy(&self, now: Time, server: &Server) -> bool {
        let tier_failure_rate = self.tier_failure_rate[self.settings.tier(&server.member)];
        let is_idle = server.in_flight + server.fills_in_flight == 0;
        let may_try = !server.failures.exceeds(tier_failure_rate) || is_idle;
        let is_silent = server.in_flight > 0 && server.response_due.is_some_and(|due| now > due);
        !server.failures.is_ejected(now) && may_try && !is_silent
    }

    /// Whether a cache may fill other caches from its stored copies.
    pub(super) fn can_serve_fills(&self, now: Time, server: &Server) -> bool {
        server.is_ready() && self.is_healthy(now, server) && !self.is_warming_up(now, server)
    }

    /// Counts an error against a server.
    pub(super) fn record_error(&mut self, now: Time, cache: CacheId) {
        let tier = self.tier_of(cache);
        if let Some(server) = self.servers.get_mut(&cache) {
            server.failures.record_outcome(
                now,
                HealthSample::Failure,
                &mut self.tier_failure_rate[tier],
            );
        }
    }
}
