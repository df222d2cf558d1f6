//! An adaptive concurrency limit, driven by the gradient between the lowest latency seen and the current one.
//!
//! While latency stays near its baseline, the limit grows by the square root of itself; as requests begin to queue at the
//! server, latency rises and the limit shrinks in proportion.

use crate::TimestampUs;

/// Ratio of latency to its baseline above which the limit shrinks.
const LATENCY_TOLERANCE: f64 = 1.5;
/// Lowest factor by which the limit shrinks in one step, before smoothing.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of one sample in the smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Weight of one step in the smoothed limit.
const LIMIT_SMOOTHING: f64 = 0.01;
/// The limit grows only while at least this fraction of it is in flight.
const MIN_UTILIZATION: f64 = 0.5;
/// A decrease is judged when the limit is down to this fraction of its initial value.
const JUDGED_LIMIT_RATIO: f64 = 0.6;
/// A decrease has helped if latency is at most this fraction of its peak since.
const HELPED_LATENCY_RATIO: f64 = 0.8;

/// A decrease of the limit that has not been judged yet.
#[derive(Clone, Copy, Debug)]
struct Decrease {
    /// The limit at its start.
    initial_limit: f64,
    /// The highest smoothed latency since (us).
    peak_latency: f64,
}

/// An adaptive concurrency limit within fixed bounds.
#[derive(Clone, Debug)]
pub struct GradientLimit {
    min: f64,
    max: f64,
    limit: f64,
    /// Smoothed latency (us). `None` before the first response.
    latency: Option<f64>,
    /// The lowest smoothed latency (us).
    baseline: f64,
    decrease: Option<Decrease>,
}

impl GradientLimit {
    /// Creates a limit that stays between `min`, which is raised to at least 1, and `max`.
    pub fn new(min: u64, max: u64) -> GradientLimit {
        let min = min.max(1);
        let max = max.max(min);
        // The geometric mean: from the middle, a wide range would begin far over a server's capacity, and the latency of
        // an overloaded server would become the baseline.
        let limit = (min as f64 * max as f64).sqrt();
        GradientLimit {
            min: min as f64,
            max: max as f64,
            limit,
            latency: None,
            baseline: 0.0,
            decrease: None,
        }
    }

    /// Returns the number of requests that may be in flight now.
    pub fn limit(&self) -> u64 {
        self.limit as u64
    }

    /// Adapts the limit to an attempt that ended after `elapsed` microseconds while `in_flight` requests were in flight.
    pub fn record_attempt(&mut self, elapsed: TimestampUs, served: bool, in_flight: u64) {
        let sample = elapsed.max(1) as f64;
        let Some(smoothed) = self.latency else {
            if served {
                self.latency = Some(sample);
                self.baseline = sample;
            }
            return;
        };
        // Fast errors say nothing about how long work takes, and must not raise the limit.
        if !served && sample < LATENCY_TOLERANCE * self.baseline {
            return;
        }
        let latency = smoothed + LATENCY_SMOOTHING * (sample - smoothed);
        self.latency = Some(latency);
        self.baseline = self.baseline.min(latency);
        let target = self.target(latency, in_flight);
        if self.undo_useless_decrease(target, latency) {
            return;
        }
        let next = self.limit + LIMIT_SMOOTHING * (target - self.limit);
        self.limit = next.clamp(self.min, self.max);
    }

    /// Returns the limit to approach at this latency.
    fn target(&self, latency: f64, in_flight: u64) -> f64 {
        let gradient = (LATENCY_TOLERANCE * self.baseline / latency).clamp(MIN_GRADIENT, 1.0);
        // A limit that is not reached is not tested by the load, so it must not grow.
        let utilized = in_flight as f64 >= self.limit * MIN_UTILIZATION;
        let growth = if utilized { self.limit.sqrt() } else { 0.0 };
        self.limit * gradient + growth
    }

    /// Undoes a decrease that did not lower latency, and returns whether it did so: the load did not cause the latency, so
    /// the limit is restored and the current latency becomes the baseline. Otherwise a server that became slow by itself
    /// would be throttled down to the minimum.
    fn undo_useless_decrease(&mut self, target: f64, latency: f64) -> bool {
        if target >= self.limit {
            self.decrease = None;
            return false;
        }
        let decrease = self.decrease.get_or_insert(Decrease {
            initial_limit: self.limit,
            peak_latency: latency,
        });
        decrease.peak_latency = decrease.peak_latency.max(latency);
        let Decrease {
            initial_limit,
            peak_latency,
        } = *decrease;
        if self.limit > JUDGED_LIMIT_RATIO * initial_limit {
            return false;
        }
        self.decrease = None;
        let helped = latency <= HELPED_LATENCY_RATIO * peak_latency;
        if !helped {
            self.baseline = latency;
            self.limit = initial_limit;
        }
        !helped
    }
}

#[cfg(test)]
mod tests;
