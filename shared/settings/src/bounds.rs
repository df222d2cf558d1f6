//! What numbers of the settings may be, beyond their types. The router adds and multiplies them with its clock: within
//! these bounds no sum of them leaves its type, and a deployment that needs more is not known.

use crate::section::Section;
use crate::value::Read;
use foldmux::interface::Time;

/// The longest time (us): a hundred years. Twice that and a clock of today's date are far under 2^64.
pub const TIME_MOST: Time = 100 * 365 * 24 * 3_600 * 1_000_000;
/// The greatest factor, of a time above all: `TIME_MOST` times this is still under 2^64.
pub const FACTOR_MOST: f64 = 1_000.0;
/// The greatest number of a zone or hub: over any list of members.
pub const ZONE_MOST: usize = 65_535;
/// Attempts of one request are numbered in a byte.
pub const ATTEMPTS_MOST: u32 = 255;

/// Reading numbers within their bounds.
impl Section<'_> {
    /// A time that has to be there.
    pub(crate) fn time(&self, key: &str) -> Time {
        let time = self.required(key);
        self.bounded(key, time)
    }

    /// A time that has to be there and to be above 0.
    pub(crate) fn time_above_0(&self, key: &str) -> Time {
        let time = self.time(key);
        self.not_0(key);
        time
    }

    /// Notes a 0 that is told under `key`.
    pub(crate) fn not_0(&self, key: &str) {
        if self.get(key).and_then(u64::read) == Some(0) {
            self.fault(key, "it is not above 0");
        }
    }

    /// A time that may be left out, and is 0 then.
    pub(crate) fn optional_time(&self, key: &str) -> Time {
        let time = self.optional(key).unwrap_or_default();
        self.bounded(key, time)
    }

    /// Times by class or zone, which may be left out.
    pub(crate) fn times(&self, key: &str) -> Vec<Time> {
        let times: Vec<Time> = self.optional(key).unwrap_or_default();
        times
            .into_iter()
            .map(|time| self.bounded(key, time))
            .collect()
    }

    fn bounded(&self, key: &str, time: Time) -> Time {
        if time > TIME_MOST {
            self.fault(
                key,
                format_args!("{time} is over {TIME_MOST} us, a hundred years"),
            );
        }
        time.min(TIME_MOST)
    }

    /// A factor that has to be there.
    pub(crate) fn factor(&self, key: &str) -> f64 {
        let factor = self.required(key);
        self.within(key, factor)
    }

    /// A factor that may be left out, and is 0 then.
    pub(crate) fn optional_factor(&self, key: &str) -> f64 {
        let factor = self.optional(key).unwrap_or_default();
        self.within(key, factor)
    }

    fn within(&self, key: &str, factor: f64) -> f64 {
        if !(0.0..=FACTOR_MOST).contains(&factor) {
            self.fault(key, format_args!("{factor} is not from 0 to {FACTOR_MOST}"));
        }
        factor.clamp(0.0, FACTOR_MOST)
    }

    /// Numbers of zones, which may be left out.
    pub(crate) fn zones(&self, key: &str) -> Vec<usize> {
        let zones: Vec<usize> = self.optional(key).unwrap_or_default();
        for zone in zones.iter().filter(|zone| **zone > ZONE_MOST) {
            self.fault(key, format_args!("zone {zone} is over {ZONE_MOST}"));
        }
        zones
    }
}
