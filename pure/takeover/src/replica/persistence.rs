//! What a replica persists of a key, so that the next process of its name keeps this one's promises. It is
//! persisted whenever a promise or a record changes, before any message tells of the change.

use super::{ChangedKeys, Entry, Replica};
use crate::record::{Ballot, Key, Record};
use foldmux_replicas::{Micros, RecoveryDelay, Time};
use serde::{Deserialize, Serialize};
use std::collections::BTreeSet;

/// The persisted state of one key. Its spans hold at the time at which it was taken. It is encoded with
/// postcard: the order of its fields is the format.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct PersistedEntry {
    /// The highest ballot that was granted.
    pub promised: Ballot,
    /// The owner released the key.
    pub released: bool,
    /// The owner said that no successor is needed.
    pub abandoned: bool,
    /// The record as last written.
    pub record: Option<Record>,
    /// Until the entry is forgotten.
    pub time_left: Micros,
}

impl PersistedEntry {
    /// The entry as it is `by` later. None once it is forgotten.
    pub fn aged(self, by: Micros) -> Option<PersistedEntry> {
        let time_left = self.time_left.checked_sub(by).filter(|left| *left > 0)?;
        Some(PersistedEntry {
            time_left,
            record: self.record.map(|record| record.aged(by)),
            ..self
        })
    }
}

impl Entry {
    fn persisted(&self, now: Time) -> PersistedEntry {
        PersistedEntry {
            promised: self.promised.clone(),
            released: self.released,
            abandoned: self.abandoned,
            record: self.record_now(now),
            time_left: self.forget_at.saturating_sub(now),
        }
    }

    /// The promised owner may hold a lease that only the former process knew of, so a whole lease is assumed to
    /// start now.
    fn recover(now: Time, lease: Micros, persisted: PersistedEntry) -> Entry {
        let record = persisted.record.as_ref();
        let is_answered = record.is_some_and(|record| record.answer.is_some());
        let lease_expires_at = match persisted.released || is_answered {
            true => now,
            false => now + lease,
        };
        Entry {
            promised: persisted.promised,
            released: persisted.released,
            abandoned: persisted.abandoned,
            lease_expires_at,
            record: persisted.record,
            record_as_of: now,
            watchers: Vec::new(),
            successors_notified: 0,
            next_succession: (!is_answered).then_some(lease_expires_at),
            forget_at: now.saturating_add(persisted.time_left),
        }
    }
}

impl Replica {
    /// Recovers the persisted state. From then on [`Replica::take_changed`] reports changes.
    pub fn recover(
        &mut self,
        now: Time,
        votes_in: Micros,
        lease: Micros,
        persisted: impl Iterator<Item = (Key, PersistedEntry)>,
    ) {
        self.recovery = RecoveryDelay::state_recovered(now.saturating_add(votes_in));
        self.changed = ChangedKeys(Some(BTreeSet::new()));
        for (key, persisted) in persisted {
            let entry = Entry::recover(now, lease, persisted);
            self.bytes += entry.bytes();
            self.entries.insert(key, entry);
            self.arm(key);
        }
    }

    /// What has changed since the last call.
    pub fn take_changed(&mut self, now: Time) -> Vec<(Key, PersistedEntry)> {
        let keys = self.changed.take().into_iter();
        keys.filter_map(|key| Some((key, self.entries.get(&key)?.persisted(now))))
            .collect()
    }

    pub fn stop_persisting(&mut self) {
        self.changed = ChangedKeys::default();
    }

    pub fn persisted(&self, now: Time) -> Vec<(Key, PersistedEntry)> {
        let entries = self.entries.iter();
        entries
            .map(|(key, entry)| (*key, entry.persisted(now)))
            .collect()
    }

    /// Stops voting, unless [`Replica::recover`] is called.
    pub fn stop_voting(&mut self) {
        self.recovery = RecoveryDelay::state_recovered(Time::MAX);
        self.stop_persisting();
    }
}
