//! Capacity estimation of a cache: how many transfers it carries at full rate.
//!
//! Input: hits only, as their transfers depend on the cache's link alone. Unit: concurrent transfers. A
//! slowed transfer shows by how much its concurrency exceeds the capacity; one at full rate shows that
//! the capacity is at least its concurrency.

/// A transfer counts as slowed above this multiple of its time at full rate.
const SLOWED_RATIO: f64 = 1.25;
/// Transfers shorter than this ratio of the shortest latency objective are no evidence about the link.
const MIN_TRANSFER_RATIO: f64 = 0.2;
/// Weight of a new sample in the estimate.
const SAMPLE_WEIGHT: f64 = 0.1;
/// Minimum capacity that a load is divided by, in transfers.
const MIN_CAPACITY: f64 = 0.1;

/// One transfer of a stored copy.
pub(super) struct ObservedTransfer {
    /// Mean number of concurrent transfers, this one included.
    pub(super) concurrency: f64,
    /// Time that it took (us).
    pub(super) elapsed: f64,
    /// Time that it would take at full rate (us).
    pub(super) transfer_time: f64,
    /// The shortest latency objective of the cached classes (us).
    pub(super) shortest_objective: f64,
}

/// The estimated number of concurrent transfers at full rate; `None` before the first sample.
#[derive(Default)]
pub(super) struct CapacityEstimate(Option<f64>);

impl CapacityEstimate {
    pub(super) fn record(&mut self, transfer: &ObservedTransfer) {
        let concurrency = transfer.concurrency;
        let stretch = transfer.elapsed / transfer.transfer_time.max(1.0);
        let slowed = stretch > SLOWED_RATIO
            && transfer.transfer_time > MIN_TRANSFER_RATIO * transfer.shortest_objective;
        let capacity = self.0.unwrap_or(concurrency);
        let sample = if slowed {
            concurrency / stretch
        } else {
            concurrency.max(capacity)
        };
        if slowed || sample > capacity {
            self.0 = Some(capacity + SAMPLE_WEIGHT * (sample - capacity));
        }
    }

    /// The ratio of the capacity that `in_flight` transfers use; 0 while no capacity is known.
    pub(super) fn utilization(&self, in_flight: u32) -> f64 {
        in_flight as f64 / self.0.unwrap_or(f64::INFINITY).max(MIN_CAPACITY)
    }
}
