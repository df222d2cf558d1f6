//! Slow start: how much work a hub that started lately may be given.
//!
//! A hub's capacity rises linearly from a part of its full rate to all of it. Asked for more than a multiple of its
//! capacity within a window, it fails. All its callers together must stay under that although they share no state: each
//! goes by its own share of the budget, and where a share is less than one fill, callers take turns that each of them
//! derives from the hub's start alone.
//!
//! The router has a slow-start rule of its own, for the caches that it selects. That one belongs to the router's crate and
//! shares neither code nor state with this one, which limits fills between the hubs of a tree.

use crate::TimestampUs;
use std::collections::VecDeque;

const US_PER_SECOND: f64 = 1e6;
/// A share is spent by itself while it pays for so many fills; below that callers take turns.
const MIN_FILLS_PER_SHARE: f64 = 2.0;

/// The rule for all hubs: `cold_start(...)` in the operator's file, with `use_percent` as `budget_ratio`. The proxy's rule for
/// parents, by `parentFloor`, `parentCold` and `parentBreaksAt` of the settings, is the router's.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct SlowStart {
    /// Capacity at the start, as a part of the full rate.
    pub initial_ratio: f64,
    /// From the start until the full rate (us).
    pub ramp_us: u64,
    /// A hub fails when it is asked for so many times its capacity,
    pub overload_multiple: f64,
    /// within this window (us).
    pub overload_window_us: u64,
    /// Part of the work that would not yet overload it that is given to it.
    pub budget_ratio: f64,
}

/// One hub's start, as all its callers know it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct NodeStart {
    /// When it started, on the caller's clock; 0: long ago.
    pub at: TimestampUs,
    /// Its full rate, in units of work a second.
    pub full_rate: f64,
}

impl SlowStart {
    /// Capacity of a hub so long after its start (us), as a part of its full rate.
    pub fn capacity_ratio(&self, age_us: u64) -> f64 {
        if age_us >= self.ramp_us {
            return 1.0;
        }
        self.initial_ratio + (1.0 - self.initial_ratio) * age_us as f64 / self.ramp_us as f64
    }

    /// Work that all callers together may ask for in the window that ends now.
    pub fn budget(&self, start: NodeStart, now: TimestampUs) -> f64 {
        let age_us = now.saturating_sub(start.at);
        self.budget_ratio
            * self.overload_multiple
            * self.capacity_ratio(age_us)
            * start.full_rate
            * self.overload_window_us as f64
            / US_PER_SECOND
    }

    /// Whether a hub's capacity still rises.
    pub fn warming_up(&self, start: NodeStart, now: TimestampUs) -> bool {
        start.at > 0 && now.saturating_sub(start.at) < self.ramp_us
    }

    /// Work that the budget has paid for since the start, if it flows evenly.
    fn cumulative_budget(&self, start: NodeStart, now: TimestampUs) -> f64 {
        let age = now.saturating_sub(start.at) as f64;
        let ramp = self.ramp_us.max(1) as f64;
        let within = age.min(ramp);
        let area = self.initial_ratio * within
            + (1.0 - self.initial_ratio) * within * within / ramp / 2.0
            + (age - within);
        self.budget_ratio * self.overload_multiple * start.full_rate * area / US_PER_SECOND
    }
}

/// Work that was sent.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: TimestampUs,
    work: f64,
}

/// Limits what one caller sends to one hub.
#[derive(Debug)]
pub struct SlowStartLimiter {
    rule: SlowStart,
    /// This caller's number among all.
    index: u64,
    callers: u64,
    start: NodeStart,
    /// Within the window.
    sent: VecDeque<SentWork>,
    /// The first turn that is not spent.
    next_turn: u64,
}

impl SlowStartLimiter {
    /// The limiter of caller number `index` of so many.
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

    /// The hub's start, as far as it is known.
    pub fn start(&self) -> NodeStart {
        self.start
    }

    /// The hub's start became known, or it restarted. What was sent within the window still counts: a caller must not
    /// spend its share once by an assumed start and once more by the known one.
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

    /// Takes `work` from the budget; false where it must not be sent.
    pub fn try_acquire(&mut self, now: TimestampUs, work: f64) -> bool {
        if !self.warming_up(now) {
            return true;
        }
        self.forget_sent_before_window(now);
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

    fn forget_sent_before_window(&mut self, now: TimestampUs) {
        let window_us = self.rule.overload_window_us;
        let is_old = |sent: &SentWork| sent.at + window_us <= now;
        while self.sent.front().is_some_and(is_old) {
            self.sent.pop_front();
        }
    }

    /// A turn lasts as long as the budget needs to pay for one fill, and turns go round the callers; one that is not
    /// used is lost. Keeps many callers, each with a share of less than one fill, from sending one each at once.
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
