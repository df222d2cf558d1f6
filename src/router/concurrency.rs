//! Concurrency limits: how many attempts a router may have in flight.
//!
//! Inputs: attempts in flight, and which of them were late. Unit: attempts. A limit falls with each late
//! attempt and rises with each attempt in time, by constant steps, so that the ratio of late attempts
//! does not depend on the router's share of the traffic. There is no limit before the first late attempt.

use super::requests::Attempt;

/// Decrease of a limit by a late attempt.
const DECREASE_STEP: f64 = 0.6;
/// Increase of a limit that is in use by an attempt in time: in balance, a seventh of the attempts are late.
const INCREASE_STEP: f64 = 0.1;
/// Minimum limit.
const MIN_LIMIT: f64 = 0.5;
/// Attempts that may be in flight beyond the limit, as a multiple of its square root: the few attempts of one router
/// come in bursts, those of all routers together do not.
const BURST_ROOTS: f64 = 2.0;
/// Resolution of the random rounding of a limit to whole attempts.
const ROUNDING_STEPS: u64 = 1024;

/// How the outcome of an attempt affects its limit.
#[derive(Clone, Copy, PartialEq)]
pub(super) enum Timing {
    Late,
    InTime,
    /// Leaves the limit unchanged.
    NotCounted,
}

impl Timing {
    pub(super) fn of(is_late: bool) -> Timing {
        if is_late {
            Timing::Late
        } else {
            Timing::InTime
        }
    }
}

/// An adaptive limit on the attempts in flight.
#[derive(Default)]
pub(super) struct ConcurrencyLimit {
    /// `None` if there is no limit.
    limit: Option<f64>,
    in_flight: f64,
}

impl ConcurrencyLimit {
    /// Whether one more attempt may be sent if only `usable_ratio` of the limit may be used. The random draw rounds the
    /// limit to whole attempts.
    pub(super) fn has_capacity(&self, draw: u64, usable_ratio: f64) -> bool {
        let capacity = self
            .limit
            .map_or(f64::MAX, |limit| limit + BURST_ROOTS * limit.sqrt());
        let rounding = (draw % ROUNDING_STEPS) as f64 / ROUNDING_STEPS as f64;
        self.in_flight < capacity * usable_ratio + rounding - 0.5
    }

    /// Whether a quarter of the limit is in use, or the limit is very low.
    pub(super) fn is_busy(&self) -> bool {
        self.limit
            .is_some_and(|limit| self.in_flight * 4.0 + 2.0 > limit)
    }

    fn record_send(&mut self) {
        self.in_flight += 1.0;
    }

    /// Removes an attempt from those in flight and adapts the limit.
    pub(super) fn record_completion(&mut self, timing: Timing) {
        match timing {
            Timing::Late => {
                let in_use = 2.0 * self.in_flight;
                let bound = self.limit.map_or(in_use, |limit| limit.min(in_use));
                self.limit = Some((bound - DECREASE_STEP).max(MIN_LIMIT));
            }
            Timing::InTime => {
                let in_flight = self.in_flight;
                self.limit = self.limit.map(|limit| {
                    if in_flight > limit / 2.0 {
                        limit + INCREASE_STEP
                    } else {
                        limit
                    }
                });
            }
            Timing::NotCounted => {}
        }
        self.in_flight -= 1.0;
    }

    /// Offsets the decreases by attempts that are late for reasons unrelated to this limit; `unrelated_loss_rate` is
    /// their ratio of all attempts.
    pub(super) fn compensate(&mut self, unrelated_loss_rate: f64) {
        self.limit = self
            .limit
            .map(|limit| limit + DECREASE_STEP * unrelated_loss_rate);
    }
}

/// The limits of a router's attempts, by whether they may reach the origin.
#[derive(Default)]
pub(super) struct ConcurrencyLimits {
    /// Attempts that caches and the parents' stored copies answer.
    pub(super) cache: ConcurrencyLimit,
    /// Attempts whose fill may reach the origin.
    pub(super) origin: ConcurrencyLimit,
}

impl ConcurrencyLimits {
    /// Counts a sent attempt; attempts that bypass the cache are not limited.
    pub(super) fn record_send(&mut self, attempt: &Attempt) {
        if attempt.may_reach_origin {
            self.origin.record_send();
        } else if attempt.is_cacheable {
            self.cache.record_send();
        }
    }
}
