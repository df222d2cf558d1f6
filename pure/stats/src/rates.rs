//! Moving averages and windows: a decaying rate, a sliding window, a smoothed sample that expires.

use std::collections::VecDeque;

/// Microseconds, on a monotonic clock whose origin is arbitrary, or a duration in microseconds.
pub type Time = u64;

/// Shortest time since the first amount over which a rate is computed (us).
const MIN_OBSERVED_US: Time = 1_000_000;

/// The rate at which amounts are added, averaged with exponential decay. It is corrected for the time before the first
/// amount, so that it is unbiased from then on.
#[derive(Clone, Copy, Default)]
pub struct DecayingRate {
    time_constant: f64,
    sum: f64,
    first_added_at: Time,
    /// Time of the last amount; 0 before the first one.
    last_added_at: Time,
}

impl DecayingRate {
    /// Creates a rate that decays with this time constant (us).
    pub fn new(time_constant: f64) -> DecayingRate {
        DecayingRate {
            time_constant,
            ..DecayingRate::default()
        }
    }

    /// Adds an amount.
    pub fn add(&mut self, now: Time, amount: f64) {
        if self.last_added_at == 0 {
            self.first_added_at = now;
        }
        self.sum = self.decayed_sum(now) + amount;
        self.last_added_at = now;
    }

    /// Returns the average amount per microsecond.
    pub fn per_us(&self, now: Time) -> f64 {
        let observed = now.saturating_sub(self.first_added_at).max(MIN_OBSERVED_US);
        let time_constants = observed as f64 / self.time_constant;
        self.decayed_sum(now) / self.time_constant / (1.0 - (-time_constants).exp())
    }

    fn decayed_sum(&self, now: Time) -> f64 {
        let elapsed = now.saturating_sub(self.last_added_at) as f64;
        self.sum * (-elapsed / self.time_constant).exp()
    }
}

/// Timestamped amounts, over a window whose start only moves forward.
#[derive(Clone, Default)]
pub struct SlidingWindow(VecDeque<(Time, f64)>);

impl SlidingWindow {
    /// Adds an amount at `at`, not before the last one's time, and drops what is older than `window_start`. Only the latest
    /// `max_len` amounts are kept.
    pub fn add(&mut self, at: Time, amount: f64, window_start: Time, max_len: usize) {
        self.0.push_back((at, amount));
        while self.0.len() > max_len || self.front_is_before(window_start) {
            self.0.pop_front();
        }
    }

    /// Returns the sum of the amounts from `start` on.
    pub fn sum_since(&self, start: Time) -> f64 {
        self.0
            .iter()
            .filter(|(at, _)| *at >= start)
            .map(|(_, amount)| *amount)
            .sum()
    }

    fn front_is_before(&self, start: Time) -> bool {
        self.0.front().is_some_and(|(at, _)| *at < start)
    }
}

/// An exponentially weighted average of samples, which expires if no further sample is recorded.
#[derive(Clone, Copy, Default)]
pub struct SmoothedSample {
    value: Option<f64>,
    recorded_at: Time,
}

impl SmoothedSample {
    /// Returns the average, if the last sample is younger than `ttl`.
    pub fn get(&self, now: Time, ttl: Time) -> Option<f64> {
        self.value.filter(|_| now < self.recorded_at + ttl)
    }

    /// Sets the average to `before`, moved towards the sample by the fraction `weight` (0 to 1).
    pub fn record(&mut self, now: Time, before: f64, sample: f64, weight: f64) {
        *self = SmoothedSample {
            value: Some(before + weight * (sample - before)),
            recorded_at: now,
        };
    }
}

/// Returns the mean of the samples, if there are any.
pub fn mean(samples: impl Iterator<Item = f64>) -> Option<f64> {
    let (sum, count) = samples.fold((0.0, 0.0), |(sum, count), sample| {
        (sum + sample, count + 1.0)
    });
    (count > 0.0).then(|| sum / count)
}

#[cfg(test)]
mod tests;
