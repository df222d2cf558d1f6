//! An adaptive concurrency limit, by the gradient between the lowest latency seen and the present one.
//!
//! While latency stays near its baseline, the limit grows by the square root of itself; as requests begin to queue at the
//! server, latency rises and the limit shrinks in proportion.

use crate::TimestampUs;

/// Latency may be so many times the baseline before the limit shrinks.
const LATENCY_TOLERANCE: f64 = 1.5;
/// The limit shrinks to no less than this part in one step, before smoothing.
const MIN_GRADIENT: f64 = 0.5;
/// Weight of one sample in the smoothed latency.
const LATENCY_SMOOTHING: f64 = 0.1;
/// Weight of one step in the smoothed limit.
const LIMIT_SMOOTHING: f64 = 0.01;
/// The limit grows only while at least this part of it is in flight.
const MIN_UTILIZATION: f64 = 0.5;
/// A decrease is judged when the limit is down to this part of where it began.
const JUDGED_LIMIT_RATIO: f64 = 0.6;
/// A decrease has helped where latency is at most this part of its peak since.
const HELPED_LATENCY_RATIO: f64 = 0.8;

/// A decrease of the limit that is under way.
#[derive(Clone, Copy, Debug)]
struct Decrease {
    /// The limit where it began.
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
    /// A limit that stays from `min` (at least 1) to `max`.
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

    /// Requests that may be in flight now.
    pub fn limit(&self) -> u64 {
        self.limit as u64
    }

    /// Learns from an attempt that ended after `elapsed` microseconds, while so many requests were in flight.
    pub fn record_attempt(&mut self, elapsed: TimestampUs, served: bool, in_flight: u64) {
        let sample = elapsed.max(1) as f64;
        let Some(smoothed) = self.latency else {
            if served {
                self.latency = Some(sample);
                self.baseline = sample;
            }
            return;
        };
        // Errors that come fast say nothing about how long work takes, and must not raise the limit.
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

    /// The limit that this latency calls for.
    fn target(&self, latency: f64, in_flight: u64) -> f64 {
        let gradient = (LATENCY_TOLERANCE * self.baseline / latency).clamp(MIN_GRADIENT, 1.0);
        // A limit that is not reached is not tested by the load, so it must not grow.
        let utilized = in_flight as f64 >= self.limit * MIN_UTILIZATION;
        let growth = if utilized { self.limit.sqrt() } else { 0.0 };
        self.limit * gradient + growth
    }

    /// Whether a decrease did not lower latency: then the load did not cause it, the limit is restored, and the present
    /// latency is the baseline. Keeps a server that became slow by itself from being throttled down to the minimum.
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
