//! Pauses between repeated calls, so that an error that stays costs little.

use crate::verdict::OnStream;
use std::time::Duration;

/// Calls that are repeated at once, where a signal may have come: beyond, signals alone don't explain it.
const AT_ONCE: u32 = 4;
/// The first pause; each is twice the one before.
const FIRST: Duration = Duration::from_millis(1);
/// The longest pause: short beside any deadline, and a hundred calls a second at the most.
const LONGEST: Duration = Duration::from_millis(10);

/// How often one call has been repeated.
#[derive(Default)]
pub struct Pauses {
    repeated: u32,
    paused: u32,
}

impl Pauses {
    /// How long to wait before the call is made again.
    pub fn before_next(&mut self, verdict: OnStream) -> Duration {
        self.repeated += 1;
        if verdict != OnStream::Later && self.repeated <= AT_ONCE {
            return Duration::ZERO;
        }
        self.lengthen()
    }

    /// The next pause; each is longer than the one before, up to a bound.
    pub fn lengthen(&mut self) -> Duration {
        let pause = FIRST.saturating_mul(1 << self.paused.min(10)).min(LONGEST);
        self.paused += 1;
        pause
    }
}
