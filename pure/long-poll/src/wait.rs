//! How long a poll asks the service to hold it.

use std::time::Duration;

/// Polls in a row that may never be answered, where the next one still has to be in time.
const TOLERATED_LOSSES: u32 = 2;

/// The waits that polls ask for at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WaitRange {
    /// Of a service that is very slow.
    pub min: Duration,
    /// Of a prompt service.
    pub usual: Duration,
    /// Of a service that is a little slow.
    pub max: Duration,
}

/// The longest wait that a poll asks for, which follows the delays of recent answers.
///
/// Polls start one wait apart, however late they are answered. So the wait grows with the delay, as the interval between
/// the polls of a client would that has one at a time: a service that is short of capacity gets fewer polls, and not as
/// many as a prompt one. It is at most what the delivery time allows, less than the usual wait where answers are very
/// late: [`TOLERATED_LOSSES`] unanswered polls, and the delay of the answer to the one after them.
#[derive(Clone, Debug)]
pub(crate) struct AdaptiveWait {
    range: WaitRange,
    delivery_time: Duration,
    hedge_delay: Duration,
    /// The delay that is expected of the next answer.
    expected_delay: Duration,
}

impl AdaptiveWait {
    /// The wait for a service whose answers have had no delay yet.
    pub(crate) fn new(
        range: WaitRange,
        delivery_time: Duration,
        hedge_delay: Duration,
    ) -> AdaptiveWait {
        AdaptiveWait {
            range,
            delivery_time,
            hedge_delay,
            expected_delay: Duration::ZERO,
        }
    }

    /// Records how long after the end of its wait a poll was answered. A longer delay is expected again at once, a
    /// shorter one by halves.
    pub(crate) fn record(&mut self, delay: Duration) {
        self.expected_delay = delay.max((self.expected_delay + delay) / 2);
    }

    /// The longest wait of the next poll.
    pub(crate) fn get(&self) -> Duration {
        let WaitRange { min, usual, max } = self.range;
        let wanted = (usual + self.expected_delay).min(max);
        let spare = self.delivery_time.saturating_sub(self.expected_delay) / TOLERATED_LOSSES;
        let allowed = spare.saturating_sub(self.hedge_delay);
        wanted.min(allowed).max(min)
    }
}
