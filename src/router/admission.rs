//! Admission gates: the ratio of fills that a router admits on each path.
//!
//! Inputs: the requests for the path, and its late and failed uses. Unit: accepted ratio of the requests,
//! 0 to 1. Each late or failed use lowers the ratio by a constant factor, each request for the
//! path raises it by a smaller one.

use super::SAMPLE_WEIGHT;
use crate::interface::{Tier, Time};

/// Relative decrease of the accepted ratio by a late or failed use.
const DECREASE_RATIO: f64 = 0.25;
/// Relative increase of the accepted ratio by a request: a gate stays open while fewer than a seventh of its uses fail.
const INCREASE_RATIO: f64 = 0.04;
/// Minimum accepted ratio: enough to notice a recovery.
const MIN_ACCEPT_RATIO: f64 = 0.02;
/// Above this many requests per second steps are smaller, as outcomes of attempts that were in flight together carry
/// the same information.
const FULL_STEP_REQUESTS_PER_SECOND: f64 = 3.0;
/// Initial mean time between requests, and the longest time that counts towards the mean (s).
const MAX_INTERARRIVAL_SECONDS: f64 = 1.0;
/// Upper bound (exclusive) of the random draws for [`AdmissionGate::admit`].
pub(super) const DRAW_RANGE: u64 = 1 << 32;

/// Admits a varying ratio of the requests for a path.
#[derive(Clone, Copy)]
pub(super) struct AdmissionGate {
    accept_ratio: f64,
    /// Mean time between requests (s).
    mean_interarrival: f64,
    last_request: Time,
}

impl Default for AdmissionGate {
    fn default() -> AdmissionGate {
        AdmissionGate {
            accept_ratio: 1.0,
            mean_interarrival: MAX_INTERARRIVAL_SECONDS,
            last_request: 0,
        }
    }
}

impl AdmissionGate {
    /// Size of one step, as a ratio of a full step.
    fn step_scale(&self) -> f64 {
        (self.mean_interarrival * FULL_STEP_REQUESTS_PER_SECOND).min(1.0)
    }

    /// Whether a request is admitted, given its random draw below [`DRAW_RANGE`]. Raises the accepted ratio by one
    /// step.
    pub(super) fn admit(&mut self, now: Time, draw: u64) -> bool {
        let interarrival = now.saturating_sub(self.last_request) as f64 / 1e6;
        self.mean_interarrival +=
            SAMPLE_WEIGHT * (interarrival.min(MAX_INTERARRIVAL_SECONDS) - self.mean_interarrival);
        self.last_request = now;
        let accept_ratio = self.accept_ratio;
        self.accept_ratio = (accept_ratio * (1.0 + INCREASE_RATIO * self.step_scale())).min(1.0);
        (draw as f64) < accept_ratio * DRAW_RANGE as f64
    }

    /// Lowers the accepted ratio by one step, after a late or failed use.
    pub(super) fn decrease(&mut self) {
        let kept = 1.0 - DECREASE_RATIO * self.step_scale();
        self.accept_ratio = (self.accept_ratio * kept).max(MIN_ACCEPT_RATIO);
    }
}

/// The gates of a router's fills.
#[derive(Default)]
pub(super) struct FillGates {
    /// All fills of the zone; protects the caches' links.
    pub(super) zone: AdmissionGate,
    /// Fills from parents.
    pub(super) parents: AdmissionGate,
    /// Fills directly from the origin.
    pub(super) origin: AdmissionGate,
}

impl FillGates {
    /// The gate of the upper tier that a fill comes from.
    pub(super) fn upper_tier(&mut self, source: Tier) -> &mut AdmissionGate {
        match source {
            Tier::Origin => &mut self.origin,
            _ => &mut self.parents,
        }
    }
}
