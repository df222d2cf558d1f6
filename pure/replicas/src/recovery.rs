//! When a replica may vote after a start. A replica that starts without its state does not know what it has
//! granted, so it abstains until nothing that it could have granted is in force any more.

use crate::{ClockDrift, Micros, Time};

/// How long a replica abstains after its start.
///
/// ```
/// use foldmux_replicas::{ClockDrift, RecoveryDelay};
/// let (lease, retention, deadline) = (500_000, 2_000_000, 10_000_000);
/// let windows = [lease, retention, deadline];
/// let lost = RecoveryDelay::state_lost(0, &windows, ClockDrift::default());
/// assert!(!lost.may_vote(10_000_000) && lost.may_vote(10_300_001));
/// assert!(RecoveryDelay::state_recovered(0).may_vote(0));
/// ```
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveryDelay {
    ends_at: Time,
}

impl RecoveryDelay {
    /// For a replica that started without its state. `windows` says how long its votes stay in force, each
    /// counted on anyone's clock: the lease, the retention time, the longest deadline. Without any window it
    /// never votes.
    pub fn state_lost(start: Time, windows: &[Micros], drift: ClockDrift) -> RecoveryDelay {
        let longest = windows
            .iter()
            .max()
            .map_or(Time::MAX, |window| drift.stretched(*window));
        RecoveryDelay {
            ends_at: start.saturating_add(longest),
        }
    }

    /// For a replica that recovered everything that it ever granted, up to the last reply that it sent.
    pub fn state_recovered(start: Time) -> RecoveryDelay {
        RecoveryDelay { ends_at: start }
    }

    /// Whether the replica may grant and vote. It may receive and store from the start.
    pub fn may_vote(&self, now: Time) -> bool {
        #[cfg(feature = "planted")]
        if crate::planted::is_planted(crate::planted::Fault::VoteAfterStateLoss) {
            return true;
        }
        now >= self.ends_at
    }

    /// When the delay ends.
    pub fn ends_at(&self) -> Time {
        self.ends_at
    }
}
