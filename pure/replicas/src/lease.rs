//! Leases, counted by holder and granter each on their own clock.
//!
//! The holder counts from when it *sent* the request, and counts less by the clock drift. The granter counts
//! the whole lease from when it received the request. The holder's lease therefore ends before the granter's
//! in real time, however long the request was on its way, as long as both clocks stay within the drift.

use crate::{Micros, Time};
use std::fmt;

/// Parts of the unit of [`ClockDrift`].
const PARTS_PER_MILLION: u128 = 1_000_000;
const PPM_PER_PERCENT: f64 = 10_000.0;

/// A bound `d` on the drift of a process's clock: a second on the clock is between `1 - d` and `1 + d` seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockDrift {
    ppm: u32,
}

/// A percentage that is not from 0 to [`ClockDrift::MAX_PERCENT`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InvalidClockDrift(pub f64);

impl fmt::Display for InvalidClockDrift {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a drift of {} percent is not from 0 to {}",
            self.0,
            ClockDrift::MAX_PERCENT
        )
    }
}

impl std::error::Error for InvalidClockDrift {}

impl Default for ClockDrift {
    /// One percent. Oscillators stay within 0.01 percent; slewing (`ntpd`, `chrony`, `adjtime`) adds 0.05 to
    /// 10 percent, as configured.
    fn default() -> ClockDrift {
        ClockDrift { ppm: 10_000 }
    }
}

impl ClockDrift {
    /// The greatest bound, in percent. The approximations of this type hold up to a third; a clock that is
    /// off by a tenth is broken.
    pub const MAX_PERCENT: f64 = 10.0;

    /// A bound in percent.
    ///
    /// # Errors
    ///
    /// When the percentage is not from 0 to [`ClockDrift::MAX_PERCENT`].
    pub fn from_percent(percent: f64) -> Result<ClockDrift, InvalidClockDrift> {
        // NaN is in no range.
        if !(0.0..=ClockDrift::MAX_PERCENT).contains(&percent) {
            return Err(InvalidClockDrift(percent));
        }
        Ok(ClockDrift {
            ppm: (percent * PPM_PER_PERCENT).ceil() as u32,
        })
    }

    /// A span that ends, on any clock within the drift, before `span` does on any other.
    ///
    /// It is `span * (1 - 2d)`, as `(1 - 2d) / (1 - d) <= 1 / (1 + d)`, less one, as clocks show whole
    /// microseconds.
    pub fn shortened(self, span: Micros) -> Micros {
        #[cfg(feature = "planted")]
        if crate::planted::is_planted(crate::planted::Fault::LeaseNotShortened) {
            return span;
        }
        let twice_drift = 2 * u128::from(self.ppm);
        let margin = (u128::from(span) * twice_drift).div_ceil(PARTS_PER_MILLION) as Micros;
        span.saturating_sub(margin).saturating_sub(1)
    }

    /// A span that does not end, on any clock within the drift, before `span` does on any other.
    ///
    /// It is `span * (1 + 3d)`, as `(1 + 3d) / (1 + d) >= 1 / (1 - d)` for drifts up to a third, and one
    /// more.
    pub fn stretched(self, span: Micros) -> Micros {
        let thrice_drift = 3 * u128::from(self.ppm);
        let margin = (u128::from(span) * thrice_drift).div_ceil(PARTS_PER_MILLION);
        Micros::try_from(u128::from(span) + margin + 1).unwrap_or(Micros::MAX)
    }
}

/// A lease at its holder, granted by a quorum.
///
/// ```
/// use foldmux_replicas::{ClockDrift, HeldLease};
/// let lease = HeldLease::new(1_000, 500_000, ClockDrift::from_percent(1.0).unwrap());
/// assert!(lease.is_valid(490_000) && !lease.is_valid(491_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HeldLease {
    starts_at: Time,
    expires_at: Time,
}

impl HeldLease {
    /// `sent` is when the request was sent that the quorum granted, never when the grants arrived.
    pub fn new(sent: Time, duration: Micros, drift: ClockDrift) -> HeldLease {
        HeldLease {
            starts_at: sent,
            expires_at: sent.saturating_add(drift.shortened(duration)),
        }
    }

    /// Whether the lease is this process's now. Check it after every wait, right before the action that the
    /// lease allows.
    pub fn is_valid(&self, now: Time) -> bool {
        self.starts_at <= now && now < self.expires_at
    }

    /// When it expires, on the holder's clock.
    pub fn expires_at(&self) -> Time {
        self.expires_at
    }
}

/// A lease at a granter, which grants it to no other holder until it expires.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GrantedLease {
    expires_at: Time,
}

impl GrantedLease {
    /// `received` is when the request arrived, or later.
    pub fn new(received: Time, duration: Micros) -> GrantedLease {
        GrantedLease {
            expires_at: received.saturating_add(duration),
        }
    }

    /// Whether it has not expired.
    pub fn is_active(&self, now: Time) -> bool {
        now < self.expires_at
    }

    /// When it expires, on the granter's clock.
    pub fn expires_at(&self) -> Time {
        self.expires_at
    }

    /// Extends it for the same holder. A renewal never shortens a lease.
    pub fn renew(&mut self, received: Time, duration: Micros) {
        self.expires_at = self.expires_at.max(received.saturating_add(duration));
    }
}
