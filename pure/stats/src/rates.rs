//! What was done or heard lately: a decaying rate, a window, a smoothed sample that grows old.

use std::collections::VecDeque;

/// Microseconds, on a clock that only goes forward; its start is arbitrary.
pub type Time = u64;

/// Work done lately, as transfers at full pace, faded over `over`; unbiased from its first sample on.
#[derive(Clone, Copy, Default)]
pub struct Rate {
    over: f64,
    sum: f64,
    first: Time,
    at: Time,
}

impl Rate {
    pub fn over(over: f64) -> Rate {
        Rate {
            over,
            ..Rate::default()
        }
    }

    pub fn add(&mut self, now: Time, work: f64) {
        self.first = if self.at == 0 { now } else { self.first };
        self.sum = self.decayed(now) + work;
        self.at = now;
    }

    pub fn get(&self, now: Time) -> f64 {
        let seen = now.saturating_sub(self.first).max(1_000_000) as f64 / self.over;
        self.decayed(now) / self.over / (1.0 - (-seen).exp())
    }

    fn decayed(&self, now: Time) -> f64 {
        self.sum * (-(now.saturating_sub(self.at) as f64) / self.over).exp()
    }
}

/// Weights with a time each, in the order of their times; those before a time that only goes forward are dropped.
#[derive(Clone, Default)]
pub struct Recent(VecDeque<(Time, f64)>);

impl Recent {
    /// Keeps the latest `most`.
    pub fn add(&mut self, at: Time, weight: f64, since: Time, most: usize) {
        self.0.push_back((at, weight));
        while self.0.len() > most || self.0.front().is_some_and(|w| w.0 < since) {
            self.0.pop_front();
        }
    }

    pub fn sum(&self, since: Time) -> f64 {
        self.0.iter().filter(|w| w.0 >= since).map(|w| w.1).sum()
    }
}

/// A smoothed sample that says nothing once it was not heard again for some time.
#[derive(Clone, Copy, Default)]
pub struct Heard {
    value: Option<f64>,
    at: Time,
}

impl Heard {
    pub fn get(&self, now: Time, lasts: Time) -> Option<f64> {
        self.value.filter(|_| now < self.at + lasts)
    }

    /// Moves from `before` by this part of the way to the sample.
    pub fn add(&mut self, now: Time, before: f64, sample: f64, part: f64) {
        *self = Heard {
            value: Some(before + part * (sample - before)),
            at: now,
        };
    }
}

/// The mean, of some.
pub fn mean(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, n) = samples.fold((0.0, 0.0), |(sum, n), sample| (sum + sample, n + 1.0));
    (n > 0.0).then(|| sum / n)
}

#[cfg(test)]
mod tests;
