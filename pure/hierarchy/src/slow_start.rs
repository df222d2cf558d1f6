//! Slow start: limits on the work that is sent to a recently started hub.
//!
//! A hub's capacity rises linearly from a fraction of its full rate to the whole of it. The hub fails if it is asked for
//! more than a multiple of its capacity within a window. All its callers together must stay below that although they share
//! no state. So each caller is limited to its own share of the budget; where a share pays for less than two fills, callers
//! take turns instead, which each of them derives from the hub's start alone.
//!
//! The router has a separate slow-start rule for the caches that it selects. It is part of the router's crate and shares
//! neither code nor state with this one, which limits fills between the hubs of a tree.

use crate::TimestampUs;
use std::collections::VecDeque;

const US_PER_SECOND: f64 = 1e6;
/// Minimum size of a share, in fills, for a caller to be limited by its share alone. With smaller ones callers take turns.
const MIN_FILLS_PER_SHARE: f64 = 2.0;

/// The slow-start parameters of all hubs: `cold_start(...)` in the operator's file, with `use_percent` as `budget_ratio`. The proxy's rule for
/// parents, by `parentFloor`, `parentCold` and `parentBreaksAt` of the settings, is the router's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Capacity at the start, as a fraction of the full rate.
    pub initial_ratio: f64,
    /// Time from the start until the full rate is reached (us).
    pub ramp_us: u64,
    /// A hub fails if it is asked for more than this multiple of its capacity
    pub overload_multiple: f64,
    /// within a window of this length (us).
    pub overload_window_us: u64,
    /// Fraction of the work that a hub bears without overload that may be sent to it.
    pub budget_ratio: f64,
}

/// The start of one hub, and its full rate.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeStart {
    /// When the hub started, on the caller's clock; 0 if that was at least a ramp ago.
    pub at: TimestampUs,
    /// The hub's full rate, in units of work per second.
    pub full_rate: f64,
}

impl SlowStart {
    /// The capacity of a hub `age_us` after its start, as a fraction of its full rate.
    pub fn capacity_ratio(&self, age_us: u64) -> f64 {
        if age_us >= self.ramp_us {
            return 1.0;
        }
        self.initial_ratio + (1.0 - self.initial_ratio) * age_us as f64 / self.ramp_us as f64
    }

    /// The work that all callers together may send in the window that ends at `now`.
    pub fn budget(&self, start: NodeStart, now: TimestampUs) -> f64 {
        let age_us = now.saturating_sub(start.at);
        self.budget_ratio
            * self.overload_multiple
            * self.capacity_ratio(age_us)
            * start.full_rate
            * self.overload_window_us as f64
            / US_PER_SECOND
    }

    /// Whether the hub has not reached its full rate yet.
    pub fn warming_up(&self, start: NodeStart, now: TimestampUs) -> bool {
        start.at > 0 && now.saturating_sub(start.at) < self.ramp_us
    }

    /// The integral of the budget's rate since the start: the total work that may have been sent by `now`.
    fn cumulative_budget(&self, start: NodeStart, now: TimestampUs) -> f64 {
        let age = now.saturating_sub(start.at) as f64;
        let ramp = self.ramp_us.max(1) as f64;
        let ramp_age = age.min(ramp);
        let area = self.initial_ratio * ramp_age
            + (1.0 - self.initial_ratio) * ramp_age * ramp_age / ramp / 2.0
            + (age - ramp_age);
        self.budget_ratio * self.overload_multiple * start.full_rate * area / US_PER_SECOND
    }
}

/// Work that was sent to the hub at one time.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: TimestampUs,
    work: f64,
}

/// Limits the work that one caller sends to one hub.
#[derive(Debug)]
pub struct SlowStartLimiter {
    rule: SlowStart,
    /// This caller's position among all callers of the hub.
    index: u64,
    callers: u64,
    start: NodeStart,
    /// Work that was sent within the window, oldest first.
    sent: VecDeque<SentWork>,
    /// The first turn after the last one that was used.
    next_turn: u64,
}

impl SlowStartLimiter {
    /// Creates the limiter of the caller at position `index` among `callers`.
    pub fn new(rule: SlowStart, start: NodeStart, index: usize, callers: usize) -> Self {
        let callers = callers.max(1) as u64;
        SlowStartLimiter {
            rule,
            index: index as u64 % callers,
            callers,
            start,
            sent: VecDeque::new(),
            next_turn: 0,
        }
    }

    /// The hub's start: the reported one, or an assumed one until it is reported.
    pub fn start(&self) -> NodeStart {
        self.start
    }

    /// Sets the hub's start when it becomes known, or when the hub restarts. Work sent within the window still counts:
    /// otherwise a caller could spend its share once under the assumed start and again under the reported one.
    pub fn set_start(&mut self, start: NodeStart) {
        if start != self.start {
            self.start = start;
            self.next_turn = 0;
        }
    }

    /// Whether the hub's capacity still rises.
    pub fn warming_up(&self, now: TimestampUs) -> bool {
        self.rule.warming_up(self.start, now)
    }

    /// Takes `work` from the budget. Returns false if the work must not be sent.
    pub fn try_acquire(&mut self, now: TimestampUs, work: f64) -> bool {
        if !self.warming_up(now) {
            return true;
        }
        self.drop_sent_before_window(now);
        let share = self.rule.budget(self.start, now) / self.callers as f64;
        let admitted = if share >= MIN_FILLS_PER_SHARE * work {
            self.sent.iter().map(|sent| sent.work).sum::<f64>() + work <= share
        } else {
            self.try_take_turn(now, work)
        };
        if admitted {
            self.sent.push_back(SentWork { at: now, work });
        }
        admitted
    }

    fn drop_sent_before_window(&mut self, now: TimestampUs) {
        let window_us = self.rule.overload_window_us;
        let is_before_window = |sent: &SentWork| sent.at + window_us <= now;
        while self.sent.front().is_some_and(is_before_window) {
            self.sent.pop_front();
        }
    }

    /// Takes the current turn if it is this caller's and unused. A turn lasts until the budget has paid for `work` once more,
    /// and turns rotate through the callers; an unused turn is lost. Otherwise many callers with a small share could each
    /// send a fill at the same time.
    fn try_take_turn(&mut self, now: TimestampUs, work: f64) -> bool {
        let budget = self.rule.cumulative_budget(self.start, now);
        let turn = (budget / work.max(f64::MIN_POSITIVE)) as u64;
        if turn < self.next_turn || turn % self.callers != self.index {
            return false;
        }
        self.next_turn = turn + 1;
        true
    }
}

#[cfg(test)]
mod tests;
