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
        Gate { rule, index: index as u64 % callers, callers, start, sent: VecDeque::new(), turn: 0 }
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
        while self.sent.front().is_some_and(|s| s.0 + self.rule.window <= now) {
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
mod tests {
    use super::*;
    use proptest::prelude::*;

    const RULE: Rule = Rule { from: 0.067, over: 21_000_000, breaks_at: 2.0, window: 3_000_000, safety: 0.8 };

    /// The most that was asked of a hub in any window, over what it bears at that moment.
    fn worst(rule: Rule, start: Start, sent: &[(Time, f64)]) -> f64 {
        let bears =
            |at: Time| rule.breaks_at * rule.part(at - start.at) * start.full * rule.window as f64 / 1e6;
        let mut worst: f64 = 0.0;
        let (mut from, mut sum) = (0, 0.0);
        for &(at, work) in sent {
            sum += work;
            while sent[from].0 + rule.window <= at {
                sum -= sent[from].1;
                from += 1;
            }
            worst = worst.max(sum / bears(at));
        }
        worst
    }

    proptest! {
        #![proptest_config(ProptestConfig { cases: 64, ..ProptestConfig::default() })]

        #[test]
        fn callers_that_share_nothing_never_push_a_cold_hub_over(
            callers in 1usize..16,
            full in 8.0f64..400.0,
            seed in any::<u64>(),
            every in 500u64..20_000,
        ) {
            let start = Start { at: 1_000_000, full };
            let mut gates: Vec<Gate> = (0..callers).map(|i| Gate::new(RULE, start, i, callers)).collect();
            let (mut now, mut random, mut sent) = (start.at, seed, Vec::new());
            while now < start.at + RULE.over {
                random = crate::mix(random.wrapping_add(1));
                now += 1 + random % every;
                if gates[(random >> 32) as usize % callers].take(now, 1.0) {
                    sent.push((now, 1.0));
                }
            }
            // One fill at the edge of a window is the slack that turns have; the part that is not used covers it.
            let one = 1.0 / (RULE.breaks_at * RULE.from * full * RULE.window as f64 / 1e6);
            prop_assert!(worst(RULE, start, &sent) <= RULE.safety + one, "{}", worst(RULE, start, &sent));
            prop_assert!(sent.len() as f64 > 0.02 * full * 21.0 / callers as f64, "only {} of {full}", sent.len());
        }
    }

    #[test]
    fn a_warm_hub_and_one_that_started_long_ago_are_not_held_back() {
        let start = Start { at: 1_000_000, full: 1.0 };
        let mut gate = Gate::new(RULE, start, 0, 4);
        assert!((0..100).all(|_| gate.take(start.at + RULE.over, 50.0)));
        let mut long_ago = Gate::new(RULE, Start { at: 0, ..start }, 0, 4);
        assert!((0..100).all(|_| long_ago.take(5, 50.0)));
    }

    #[test]
    fn a_start_that_becomes_known_gives_no_second_part_in_the_same_window() {
        let start = Start { at: 1_000_000, full: 100.0 };
        let mut gate = Gate::new(RULE, start, 0, 1);
        let given = |gate: &mut Gate, now| (0..1_000).filter(|_| gate.take(now, 1.0)).count();
        let first = given(&mut gate, start.at);
        assert!(first > 10 && given(&mut gate, start.at + 1) == 0);
        gate.learn(Start { at: start.at + 10, ..start });
        assert_eq!(given(&mut gate, start.at + 20), 0);
        assert!(given(&mut gate, start.at + 20 + RULE.window) > first, "with what it has warmed since");
    }
}
