//! How much a hub that started lately may be given. It can give a part of its full pace, which rises in a line to
//! all of it; asked for more than a multiple of that within a window, it falls over. All its callers together must
//! stay under that, although they share nothing: each goes by its own part, and where that is less than one fill
//! they take turns that all of them find alike from the hub's start.

use crate::Time;
use std::collections::VecDeque;

/// What holds for each hub of a kind (`parentFloor`, `parentCold`, `parentBreaksAt`, `rules.fall` on the platform).
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rule {
    /// Part of the full pace at the start, and the time until all of it.
    pub from: f64,
    pub over: Time,
    /// Falls over at this multiple of what it can give,
    pub breaks_at: f64,
    /// within this window.
    pub window: Time,
    /// Part of the budget that is used.
    pub safety: f64,
}

/// One hub's start, as everyone knows it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Start {
    /// When it started, on the caller's clock; 0: long ago.
    pub at: Time,
    /// Full pace, in units of work a second.
    pub full: f64,
}

impl Rule {
    /// Part of its full pace that a hub can give so long after its start.
    pub fn part(&self, age: Time) -> f64 {
        if age >= self.over {
            return 1.0;
        }
        self.from + (1.0 - self.from) * age as f64 / self.over as f64
    }

    /// Work that all callers together may ask for in the window that ends now.
    pub fn budget(&self, start: Start, now: Time) -> f64 {
        let age = now.saturating_sub(start.at);
        self.safety * self.breaks_at * self.part(age) * start.full * self.window as f64 / 1e6
    }

    pub fn cold(&self, start: Start, now: Time) -> bool {
        start.at > 0 && now.saturating_sub(start.at) < self.over
    }

    /// Work paid for since the start, if the budget flowed evenly: its whole multiples are turns.
    fn paid(&self, start: Start, now: Time) -> f64 {
        let (age, over) = (now.saturating_sub(start.at) as f64, self.over.max(1) as f64);
        let ramp = age.min(over);
        let area = self.from * ramp + (1.0 - self.from) * ramp * ramp / over / 2.0 + (age - ramp);
        self.safety * self.breaks_at * start.full * area / 1e6
    }
}

/// One caller's gate to one hub.
#[derive(Debug)]
pub struct Gate {
    rule: Rule,
    /// This caller's number among all.
    index: u64,
    callers: u64,
    start: Start,
    sent: VecDeque<(Time, f64)>,
    /// The first turn that is not spent.
    turn: u64,
}

impl Gate {
    pub fn new(rule: Rule, start: Start, index: usize, callers: usize) -> Gate {
        let callers = callers.max(1) as u64;
        Gate {
            rule,
            index: index as u64 % callers,
            callers,
            start,
            sent: VecDeque::new(),
            turn: 0,
        }
    }

    pub fn start(&self) -> Start {
        self.start
    }

    /// The hub's start became known, or another one did. What was sent in the window still counts: guards against a
    /// caller that spends its part once by a guess and once more by what it hears.
    pub fn learn(&mut self, start: Start) {
        if start != self.start {
            (self.start, self.turn) = (start, 0);
        }
    }

    pub fn cold(&self, now: Time) -> bool {
        self.rule.cold(self.start, now)
    }

    /// Takes `work` from the budget, if it is there. Whether it may be sent.
    pub fn take(&mut self, now: Time, work: f64) -> bool {
        if !self.cold(now) {
            return true;
        }
        while self
            .sent
            .front()
            .is_some_and(|s| s.0 + self.rule.window <= now)
        {
            self.sent.pop_front();
        }
        let share = self.rule.budget(self.start, now) / self.callers as f64;
        let may = if share >= 2.0 * work {
            self.sent.iter().map(|s| s.1).sum::<f64>() + work <= share
        } else {
            self.my_turn(now, work)
        };
        if may {
            self.sent.push_back((now, work));
        }
        may
    }

    /// Turns last as long as the budget needs to pay for one fill, and belong to the callers in turn; a turn
    /// that is not used is lost. Guards against many callers, each with less than one fill to give, sending one
    /// each at the same moment.
    fn my_turn(&mut self, now: Time, work: f64) -> bool {
        let turn = (self.rule.paid(self.start, now) / work.max(f64::MIN_POSITIVE)) as u64;
        if turn < self.turn || turn % self.callers != self.index {
            return false;
        }
        self.turn = turn + 1;
        true
    }
}

#[cfg(test)]
mod tests;
