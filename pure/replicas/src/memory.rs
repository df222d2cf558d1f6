//! What a seat may say after a start. One that starts with no memory may have granted, and forgotten; until
//! nothing that it could have said matters any more it says nothing, so that its silence counts as the memory
//! it lost.

use crate::{Drift, Time};

/// Whether a seat knows all that it ever granted.
///
/// ```
/// use foldmux_replicas::{Drift, Memory};
/// let (lease, keep, deadline) = (500_000, 2_000_000, 10_000_000);
/// let fresh = Memory::fresh(0, &[lease, keep, deadline], Drift::default());
/// assert!(!fresh.speaks(10_000_000) && fresh.speaks(10_300_001));
/// assert!(Memory::whole(0).speaks(0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Memory {
    from: Time,
}

impl Memory {
    /// Nothing is remembered. `windows`: how long whatever a seat says may matter, each counted on anyone's
    /// clock: the lease, the keep time, the longest deadline. With none given it never speaks.
    pub fn fresh(start: Time, windows: &[Time], drift: Drift) -> Memory {
        let longest = windows
            .iter()
            .max()
            .map_or(Time::MAX, |window| drift.stretched(*window));
        Memory {
            from: start.saturating_add(longest),
        }
    }

    /// All that it ever granted was read back, to the last answer that it sent.
    pub fn whole(start: Time) -> Memory {
        Memory { from: start }
    }

    /// Whether it may grant and vote. Being told, and keeping what it is told, it may from the start.
    pub fn speaks(&self, now: Time) -> bool {
        #[cfg(feature = "planted")]
        if crate::planted::on(crate::planted::Fault::FreshVotes) {
            return true;
        }
        now >= self.from
    }

    /// From when it speaks.
    pub fn from(&self) -> Time {
        self.from
    }
}
