//! Changes of the replica set. For one window after a change, a decision needs a quorum of both sets (joint
//! consensus), so that it shares a replica with any decision made under the former set alone and any made
//! under the new set alone.

use crate::{ClockDrift, Micros, Peer, ReplicaSet, Time, Votes};
use std::fmt;

/// A change was requested while an earlier one is in progress.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReconfigurationInProgress {
    /// When the change in progress ends.
    pub until: Time,
}

impl fmt::Display for ReconfigurationInProgress {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "a change of the replica set is in progress until {} us",
            self.until
        )
    }
}

impl std::error::Error for ReconfigurationInProgress {}

/// The replica set in force, and the former one while a change is in progress.
///
/// The window of a change must be the longest time for which a decision stays in force (lease, retention time,
/// deadline) *plus* the time in which every process learns of the change. A process that has not learned of it
/// by then still uses the former set alone, while others use the new set alone. The links between processes detect
/// such pairs by [`ReplicaSet::fingerprint`].
///
/// ```
/// use foldmux_replicas::{ClockDrift, Peer, ReplicaConfiguration, ReplicaSet};
/// let former = ReplicaSet::new(["n1", "n2", "n3"].map(Peer::new)).unwrap();
/// let new = ReplicaSet::new(["n4", "n5", "n6"].map(Peer::new)).unwrap();
/// let mut configuration = ReplicaConfiguration::stable(former);
/// configuration.change(new, 0, 1_000, ClockDrift::default()).unwrap();
/// assert_eq!(configuration.replicas_of(999, b"key").len(), 6);
/// assert_eq!(configuration.replicas_of(100_000, b"key").len(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct ReplicaConfiguration {
    current: ReplicaSet,
    /// The former set, and when the change to the current one ends.
    former: Option<(ReplicaSet, Time)>,
}

impl ReplicaConfiguration {
    /// A configuration with no change in progress.
    pub fn stable(set: ReplicaSet) -> ReplicaConfiguration {
        ReplicaConfiguration {
            current: set,
            former: None,
        }
    }

    /// Puts a new set in force. The former one stays in force beside it for `window`. A set equal to the
    /// current one changes nothing.
    ///
    /// # Errors
    ///
    /// When another change is in progress.
    pub fn change(
        &mut self,
        new: ReplicaSet,
        now: Time,
        window: Micros,
        drift: ClockDrift,
    ) -> Result<(), ReconfigurationInProgress> {
        if new == self.current {
            return Ok(());
        }
        if let Some(until) = self.changing_until(now) {
            return Err(ReconfigurationInProgress { until });
        }
        let former = std::mem::replace(&mut self.current, new);
        let until = now.saturating_add(drift.stretched(window));
        self.former = Some((former, until));
        Ok(())
    }

    /// When the change in progress ends, if there is one.
    pub fn changing_until(&self, now: Time) -> Option<Time> {
        self.former(now).map(|(_, until)| until)
    }

    fn former(&self, now: Time) -> Option<(&ReplicaSet, Time)> {
        self.former
            .as_ref()
            .filter(|(_, until)| now < *until)
            .map(|(set, until)| (set, *until))
    }

    /// The current set.
    pub fn current(&self) -> &ReplicaSet {
        &self.current
    }

    /// The replicas of a key, each once: three, or up to six during a change.
    pub fn replicas_of(&self, now: Time, key: &[u8]) -> Vec<&Peer> {
        let mut replicas = self.current.replicas_of(key).to_vec();
        if let Some((former, _)) = self.former(now) {
            let leaving = former.replicas_of(key).into_iter();
            replicas.extend(leaving.filter(|peer| !self.current.is_replica(key, peer)));
        }
        replicas
    }

    /// The votes on a question that is asked now. Votes on a question that was asked before a change don't count.
    pub fn votes(&self, now: Time, key: &[u8]) -> Votes {
        let current = self.current.replicas_of(key);
        match self.former(now) {
            Some((former, _)) => Votes::joint(current, former.replicas_of(key)),
            None => Votes::new(current),
        }
    }

    /// Whether a process is a replica of the key now, by either set.
    pub fn is_replica(&self, now: Time, key: &[u8], peer: &Peer) -> bool {
        self.current.is_replica(key, peer)
            || self
                .former(now)
                .is_some_and(|(former, _)| former.is_replica(key, peer))
    }
}
