//! Leases, counted by holder and granter each on their own clock. The holder counts from when it *sent*, and
//! less by the drift; the granter counts the whole from when it heard. So the holder's end comes before the
//! granter's in real time, however long the message took, as long as both clocks keep within the drift.

use crate::Time;
use std::fmt;

const MILLION: u128 = 1_000_000;

/// How far a process's clock may run from real time: a second of it is between 1 - drift and 1 + drift
/// seconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Drift {
    ppm: u32,
}

/// A drift that is no number from 0 to [`Drift::MOST`] percent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BadDrift(pub f64);

impl fmt::Display for BadDrift {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a drift of {} percent is not from 0 to {}",
            self.0,
            Drift::MOST
        )
    }
}

impl std::error::Error for BadDrift {}

impl Default for Drift {
    /// One percent: crystals keep within 0.01, and slewing (`ntpd`, `chrony`, `adjtime`) adds 0.05 to 10, as
    /// configured.
    fn default() -> Drift {
        Drift { ppm: 10_000 }
    }
}

impl Drift {
    /// Percent. The sums below hold to a third; a clock that is off by a tenth is broken.
    pub const MOST: f64 = 10.0;

    pub fn percent(percent: f64) -> Result<Drift, BadDrift> {
        // Written so that NaN is none.
        if !(0.0..=Drift::MOST).contains(&percent) {
            return Err(BadDrift(percent));
        }
        Ok(Drift {
            ppm: (percent * 10_000.0).ceil() as u32,
        })
    }

    /// A span that is over, by any clock within the drift, before `span` is by any other:
    /// `span * (1 - 2d)`, for (1 - 2d) / (1 - d) <= 1 / (1 + d); one less, as clocks tell whole microseconds.
    pub fn shortened(self, span: Time) -> Time {
        #[cfg(feature = "planted")]
        if crate::planted::on(crate::planted::Fault::EqualLength) {
            return span;
        }
        let less = (u128::from(span) * 2 * u128::from(self.ppm)).div_ceil(MILLION) as Time;
        span.saturating_sub(less).saturating_sub(1)
    }

    /// A span that is not over, by any clock within the drift, before `span` is by any other:
    /// `span * (1 + 3d)`, for (1 + 3d) / (1 + d) >= 1 / (1 - d) up to a third; and one more.
    pub fn stretched(self, span: Time) -> Time {
        let more = (u128::from(span) * 3 * u128::from(self.ppm)).div_ceil(MILLION);
        u64::try_from(u128::from(span) + more + 1).unwrap_or(Time::MAX)
    }
}

/// The holder's side of a lease that a majority granted.
///
/// ```
/// use foldmux_replicas::{Drift, Held};
/// let held = Held::new(1_000, 500_000, Drift::percent(1.0).unwrap());
/// assert!(held.holds(490_000) && !held.holds(491_000));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Held {
    from: Time,
    until: Time,
}

impl Held {
    /// `sent` is when the question was sent whose answers decided, never when they came.
    pub fn new(sent: Time, lease: Time, drift: Drift) -> Held {
        Held {
            from: sent,
            until: sent.saturating_add(drift.shortened(lease)),
        }
    }

    /// Whether it is this process's now. Asked after every wait, and right before what it allows.
    pub fn holds(&self, now: Time) -> bool {
        self.from <= now && now < self.until
    }

    pub fn until(&self) -> Time {
        self.until
    }
}

/// The granter's side: until its end it grants no other holder.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Granted {
    until: Time,
}

impl Granted {
    /// `heard` is when the question came, or later.
    pub fn new(heard: Time, lease: Time) -> Granted {
        Granted {
            until: heard.saturating_add(lease),
        }
    }

    pub fn runs(&self, now: Time) -> bool {
        now < self.until
    }

    pub fn until(&self) -> Time {
        self.until
    }

    /// The same holder asked again: a lease never gets shorter by that.
    pub fn renew(&mut self, heard: Time, lease: Time) {
        self.until = self.until.max(heard.saturating_add(lease));
    }
}
