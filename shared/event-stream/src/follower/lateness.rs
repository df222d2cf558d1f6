//! Whether the journal service answers in time, for the log and for those who could read it elsewhere.

use std::time::{Duration, Instant};

/// Answers in time, one after the other, after which a service is no longer slow.
const RECOVERED_ANSWERS: u32 = 5;

/// Whether the service answers in time. A change is logged once.
pub(super) struct Lateness {
    hedge_delay: Duration,
    last_answer: Instant,
    /// Polls were overdue, and too few answers came in time since.
    is_slow: bool,
    in_time: u32,
}

impl Lateness {
    pub(super) fn new(hedge_delay: Duration) -> Lateness {
        Lateness {
            hedge_delay,
            last_answer: Instant::now(),
            is_slow: false,
            in_time: 0,
        }
    }

    pub(super) fn is_slow(&self) -> bool {
        self.is_slow
    }

    /// How long the service has answered nothing.
    pub(super) fn silence(&self) -> Duration {
        self.last_answer.elapsed()
    }

    /// Counts the silence from now on: nothing was asked before.
    pub(super) fn restart(&mut self) {
        self.last_answer = Instant::now();
    }

    /// A poll is overdue, and another one starts beside it.
    pub(super) fn on_hedge(&mut self) {
        self.in_time = 0;
        if !self.is_slow {
            self.is_slow = true;
            let delay = self.hedge_delay;
            tracing::warn!(
                "journal service: no answer {delay:?} after the end of a poll's wait; polling beside it"
            );
        }
    }

    /// An answer came this long after the end of its poll's wait.
    pub(super) fn on_answer(&mut self, delay: Duration) {
        self.last_answer = Instant::now();
        let is_late = delay > self.hedge_delay;
        self.in_time = if is_late { 0 } else { self.in_time + 1 };
        if self.is_slow && self.in_time >= RECOVERED_ANSWERS {
            self.is_slow = false;
            tracing::info!("journal service: it answers in time again");
        }
    }
}
