//! How much may be out, by way and in all.

use super::*;

/// A route's open share: the cut on a failed or late use, the gain with each request that wants it (a seventh
/// may fail), the least: enough to see a recovery. Steps get smaller above so many requests a second, as the
/// outcomes of those that are out tell nothing new.
const ROUTE_CUT: f64 = 0.25;
const ROUTE_GAIN: f64 = 0.04;
const ROUTE_LEAST: f64 = 0.02;
const ROUTE_RATE: f64 = 3.0;
/// What a late answer takes off a limit and what one in time adds to it: a seventh may be late.
pub(super) const LIMIT_STEPS: (f64, f64) = (0.6, 0.1);
/// Least limit; its roots that may be out beyond it: one front's few come in bunches, all fronts' don't.
const LIMIT_ROOM: (f64, f64) = (0.5, 2.0);

/// A way that requests take: fills of the zone, by way of parents, straight from the origin. It is open to a
/// part of them, which shrinks with late and failed uses and grows with requests that want it.
#[derive(Clone, Copy)]
pub(super) struct Route {
    pub(super) open: f64,
    /// Smoothed time between wants (s), and the last one.
    pub(super) gap: f64,
    pub(super) wanted: Time,
}

impl Route {
    /// Part of a full step that one request makes.
    fn step(&self) -> f64 {
        (self.gap * ROUTE_RATE).min(1.0)
    }

    /// Takes a request by its draw below 2^32.
    pub(super) fn admit(&mut self, now: Time, draw: u64) -> bool {
        let gap = now.saturating_sub(self.wanted) as f64 / 1e6;
        self.gap += SMOOTH * (gap.min(1.0) - self.gap);
        self.wanted = now;
        let open = self.open;
        self.open = (open * (1.0 + ROUTE_GAIN * self.step())).min(1.0);
        (draw as f64) < open * (1u64 << 32) as f64
    }

    pub(super) fn cut(&mut self) {
        self.open = (self.open * (1.0 - ROUTE_CUT * self.step())).max(ROUTE_LEAST);
    }
}

/// How many attempts of a sort may be out: less with each late one, a little more with each in time, so that
/// the same part of them is late whatever a front's share of the traffic is.
pub(super) struct Limit {
    pub(super) most: f64,
    pub(super) out: f64,
}

impl Limit {
    /// Room for one more, where only a part of it may be used.
    pub(super) fn free(&self, draw: u64, part: f64) -> bool {
        let room = self.most + LIMIT_ROOM.1 * self.most.sqrt();
        self.out < room * part + (draw % 1024) as f64 / 1024.0 - 0.5
    }

    pub(super) fn ended(&mut self, late: Option<bool>) {
        match late {
            Some(true) => {
                self.most = (self.most.min(2.0 * self.out) - LIMIT_STEPS.0).max(LIMIT_ROOM.0)
            }
            Some(false) if self.out > self.most / 2.0 => self.most += LIMIT_STEPS.1,
            _ => {}
        }
        self.out -= 1.0;
    }
}
