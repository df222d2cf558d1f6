//! What a replica keeps of a key beyond its process, so that the next one of its name remembers what this one promised.
//! Written whenever a promise or a record changes, before anybody hears of the change.

use crate::part::Takeover;
use crate::record::{Ballot, Key, Record};
use crate::replica::{Held, Replica};
use crate::setup::Setup;
use foldmux_replicas::{RecoveryDelay, Time};
use serde::{Deserialize, Serialize};

/// Spans in it are right at the moment at which it was taken.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Kept {
    pub promised: Ballot,
    pub let_go: bool,
    pub over: bool,
    pub record: Option<Record>,
    /// Until all this is forgotten.
    pub left: Time,
}

impl Kept {
    /// So much later; none once it is forgotten.
    pub fn aged(self, by: Time) -> Option<Kept> {
        let left = self.left.checked_sub(by).filter(|left| *left > 0)?;
        Some(Kept {
            left,
            record: self.record.map(|record| record.aged(by)),
            ..self
        })
    }
}

impl Held {
    fn kept(&self, now: Time) -> Kept {
        Kept {
            promised: self.promised.clone(),
            let_go: self.let_go,
            over: self.over,
            record: self.shown(now),
            left: self.forget.saturating_sub(now),
        }
    }

    /// Whoever was promised may hold a lease of which only the lost process knew: it runs in full from here.
    fn read_back(now: Time, lease: Time, kept: Kept) -> Held {
        let done = kept
            .record
            .as_ref()
            .is_some_and(|record| record.answer.is_some());
        let until = if kept.let_go || done {
            now
        } else {
            now + lease
        };
        Held {
            promised: kept.promised,
            let_go: kept.let_go,
            over: kept.over,
            lease: until,
            record: kept.record,
            at: now,
            watchers: Vec::new(),
            told: 0,
            look: (!done).then_some(until),
            forget: now.saturating_add(kept.left),
        }
    }
}

impl Takeover {
    /// With a replica that reads back what the process before it kept, and speaks in so long.
    pub fn read_back(
        now: Time,
        setup: Setup,
        speaks_in: Time,
        kept: impl Iterator<Item = (Key, Kept)>,
    ) -> Takeover {
        let mut part = Takeover::new(now, setup);
        part.remember(now, speaks_in, kept);
        part
    }

    /// The same later, for a replica that was mute until now. From here on it says what is to be kept.
    pub fn remember(
        &mut self,
        now: Time,
        speaks_in: Time,
        kept: impl Iterator<Item = (Key, Kept)>,
    ) {
        let lease = self.lease_time();
        let replica = self.replica_mut();
        replica.memory = RecoveryDelay::state_recovered(now.saturating_add(speaks_in));
        replica.changed = Some(Default::default());
        for (key, kept) in kept {
            let held = Held::read_back(now, lease, kept);
            replica.bytes += held.bytes();
            replica.held.insert(key, held);
            replica.arm(key);
        }
    }

    /// What has changed since this was last asked: to be kept before a message leaves. None: nothing is kept.
    pub fn changed(&mut self, now: Time) -> Vec<(Key, Kept)> {
        let replica = self.replica_mut();
        let keys = replica
            .changed
            .as_mut()
            .map(std::mem::take)
            .unwrap_or_default();
        let kept = |key: Key| Some((key, replica.held.get(&key)?.kept(now)));
        keys.into_iter().filter_map(kept).collect()
    }

    /// What changes is kept by nobody.
    pub fn keep_nothing(&mut self) {
        self.replica_mut().changed = None;
    }

    /// All that there is to keep.
    pub fn all(&self, now: Time) -> Vec<(Key, Kept)> {
        self.replica()
            .held
            .iter()
            .map(|(key, held)| (*key, held.kept(now)))
            .collect()
    }

    /// What this replica promises can't be kept any more, or another process is this replica: it says nothing from here on.
    pub fn mute(&mut self) {
        let replica = self.replica_mut();
        (replica.memory, replica.changed) = (RecoveryDelay::state_recovered(Time::MAX), None);
    }
}

impl Replica {
    /// Notes that what is kept of a key is not what it is any more.
    pub fn touch(&mut self, key: Key) {
        self.changed
            .iter_mut()
            .for_each(|changed| _ = changed.insert(key));
    }
}
