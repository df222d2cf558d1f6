//! Admission gates: which part of the fills a router lets through on each path.
//!
//! Inputs: the requests that want the path, and its late and failed uses. Unit: accepted part of the
//! requests, 0 to 1. A gate is AIMD control of a ratio: it closes by a part with each late or failed use
//! and opens a little with each request that wants it.

use super::SAMPLE_WEIGHT;
use crate::interface::{Tier, Time};

/// Part of the accepted ratio that a late or failed use takes off.
const DECREASE_RATIO: f64 = 0.25;
/// Part of the accepted ratio that a request adds: a gate stays open while fewer than a seventh of its uses fail.
const INCREASE_RATIO: f64 = 0.04;
/// Least accepted ratio: enough to see a recovery.
const MIN_ACCEPT_RATIO: f64 = 0.02;
/// Steps are smaller above this many requests per second: outcomes of attempts that were in flight together say the same.
const FULL_STEP_REQUESTS_PER_SECOND: f64 = 3.0;
/// Mean time between requests that a gate starts with, and the longest that it counts (s).
const MAX_INTERARRIVAL_SECONDS: f64 = 1.0;
/// Draws of [`AdmissionGate::admit`] are below this.
pub(super) const DRAW_RANGE: u64 = 1 << 32;

/// A path that accepts a part of the requests that want it.
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
    /// Part of a full step that one request makes.
    fn step_scale(&self) -> f64 {
        (self.mean_interarrival * FULL_STEP_REQUESTS_PER_SECOND).min(1.0)
    }

    /// Whether a request is let through, by its random draw below [`DRAW_RANGE`]; opens the gate by one step.
    pub(super) fn admit(&mut self, now: Time, draw: u64) -> bool {
        let interarrival = now.saturating_sub(self.last_request) as f64 / 1e6;
        self.mean_interarrival +=
            SAMPLE_WEIGHT * (interarrival.min(MAX_INTERARRIVAL_SECONDS) - self.mean_interarrival);
        self.last_request = now;
        let accept_ratio = self.accept_ratio;
        self.accept_ratio = (accept_ratio * (1.0 + INCREASE_RATIO * self.step_scale())).min(1.0);
        (draw as f64) < accept_ratio * DRAW_RANGE as f64
    }

    /// Closes the gate by one step, after a late or failed use.
    pub(super) fn decrease(&mut self) {
        let kept = 1.0 - DECREASE_RATIO * self.step_scale();
        self.accept_ratio = (self.accept_ratio * kept).max(MIN_ACCEPT_RATIO);
    }
}

/// The gates of a router's fills.
#[derive(Default)]
pub(super) struct FillGates {
    /// All fills of the zone: the caches' links.
    pub(super) zone: AdmissionGate,
    /// Fills from parents.
    pub(super) parents: AdmissionGate,
    /// Fills straight from the origin.
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
