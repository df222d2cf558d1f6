//! When what was read last may have arrived at the earliest. Pure: the moments are handed in.
//!
//! A request's time counts from its last byte, and a deadline must not be passed on longer than its client has left. Mostly
//! whoever reads is waiting when bytes come. Where it was not, because calls failed for a while, no thread could be had or an
//! answer took long to write, the bytes may be as old as the moment at which nothing was there for the last time.

use std::time::{Duration, Instant};

/// A call that took so long has waited: until then nothing was there.
const WAITED: Duration = Duration::from_millis(1);
/// Where more always stands than is read at once, nothing tells how old it is: no more than this is assumed.
const LONGEST: Duration = Duration::from_secs(1);

/// Follows the calls that read from one place, such as a connection or a listener's queue.
#[derive(Clone, Debug)]
pub struct Watch {
    /// The last moment at which nothing was there.
    empty: Instant,
    earliest: Instant,
}

/// A call that is over.
#[derive(Clone, Copy, Debug)]
pub struct Call {
    pub began: Instant,
    /// It failed from then on, until right before it succeeded or its time was over.
    pub failing_since: Option<Instant>,
    /// It left nothing behind.
    pub drained: bool,
    pub over: Instant,
}

impl Watch {
    /// Nothing can have come before `opened`.
    pub fn new(opened: Instant) -> Watch {
        Watch {
            empty: opened,
            earliest: opened,
        }
    }

    /// A call is over.
    pub fn over(&mut self, call: Call) {
        let waited_until = call.failing_since.unwrap_or(call.over);
        if waited_until.saturating_duration_since(call.began) >= WAITED {
            self.empty = waited_until;
        }
        let oldest = call.over.checked_sub(LONGEST).unwrap_or(self.empty);
        self.empty = self.empty.max(oldest);
        self.earliest = self.empty;
        if call.drained {
            self.empty = call.over;
        }
    }

    /// The earliest moment at which what was read last may have arrived; no later than that read, however long it has lain in
    /// a buffer since.
    pub fn earliest(&self) -> Instant {
        self.earliest
    }
}
