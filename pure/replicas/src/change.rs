//! A change of the list of seats. For one window a decision needs the seats of both lists, so that it meets
//! any decision by the old list alone and any by the new alone.

use crate::{Drift, Peer, Seats, Time, Votes};
use std::fmt;

/// The list before is still asked until then; one change at a time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Changing {
    pub until: Time,
}

impl fmt::Display for Changing {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "the list of seats is changing until {}", self.until)
    }
}

impl std::error::Error for Changing {}

/// The list of seats as a process asks it, through its changes.
///
/// The window is the longest that anything decided matters (lease, keep time, deadline) *plus* the time in
/// which every process is told of the change. A process that was not told in that time asks the old list
/// alone while another asks the new list alone: links tell such pairs by [`Seats::mark`].
///
/// ```
/// use foldmux_replicas::{Change, Drift, Peer, Seats};
/// let old = Seats::new(["n1", "n2", "n3"].map(Peer::new)).unwrap();
/// let new = Seats::new(["n4", "n5", "n6"].map(Peer::new)).unwrap();
/// let mut list = Change::settled(old);
/// list.change(new, 0, 1_000, Drift::default()).unwrap();
/// assert_eq!(list.asked(999, b"key").len(), 6);
/// assert_eq!(list.asked(100_000, b"key").len(), 3);
/// ```
#[derive(Clone, Debug)]
pub struct Change {
    now: Seats,
    before: Option<(Seats, Time)>,
}

impl Change {
    pub fn settled(seats: Seats) -> Change {
        Change {
            now: seats,
            before: None,
        }
    }

    /// From now on by the new list, for the window by the old one too. A list equal to the present one
    /// changes nothing.
    pub fn change(
        &mut self,
        new: Seats,
        now: Time,
        window: Time,
        drift: Drift,
    ) -> Result<(), Changing> {
        if new == self.now {
            return Ok(());
        }
        if let Some(until) = self.changing(now) {
            return Err(Changing { until });
        }
        let old = std::mem::replace(&mut self.now, new);
        self.before = Some((old, now.saturating_add(drift.stretched(window))));
        Ok(())
    }

    /// Until when both lists are asked, while they are.
    pub fn changing(&self, now: Time) -> Option<Time> {
        self.before(now).map(|(_, until)| until)
    }

    fn before(&self, now: Time) -> Option<(&Seats, Time)> {
        self.before
            .as_ref()
            .filter(|(_, until)| now < *until)
            .map(|(seats, until)| (seats, *until))
    }

    pub fn seats(&self) -> &Seats {
        &self.now
    }

    /// Whom a question about the key goes to, each once: three, or up to six.
    pub fn asked(&self, now: Time, key: &[u8]) -> Vec<&Peer> {
        let mut asked = self.now.of(key).to_vec();
        if let Some((before, _)) = self.before(now) {
            asked.extend(
                before
                    .of(key)
                    .into_iter()
                    .filter(|peer| !self.now.sits(key, peer)),
            );
        }
        asked
    }

    /// The votes on a question asked now. Votes begun before a change are not counted on: ask again.
    pub fn votes(&self, now: Time, key: &[u8]) -> Votes {
        match self.before(now) {
            Some((before, _)) => Votes::both(self.now.of(key), before.of(key)),
            None => Votes::new(self.now.of(key)),
        }
    }

    /// Whether a process speaks for the key now, by either list.
    pub fn sits(&self, now: Time, key: &[u8], peer: &Peer) -> bool {
        self.now.sits(key, peer)
            || self
                .before(now)
                .is_some_and(|(before, _)| before.sits(key, peer))
    }
}
