//! One time for each key at which something is to be done about it.

use crate::record::Key;
use foldmux_replicas::Time;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
pub struct Timers {
    at: BTreeMap<Key, Time>,
    order: BTreeSet<(Time, Key)>,
}

impl Timers {
    pub fn set(&mut self, key: Key, due: Option<Time>) {
        let former = match due {
            Some(due) => self.at.insert(key, due),
            None => self.at.remove(&key),
        };
        if former == due {
            return;
        }
        if let Some(at) = former {
            self.order.remove(&(at, key));
        }
        if let Some(at) = due {
            self.order.insert((at, key));
        }
    }

    pub fn next(&self) -> Option<Time> {
        self.order.first().map(|(at, _)| *at)
    }

    /// A key whose time has come; its timer is off.
    pub fn pop(&mut self, now: Time) -> Option<Key> {
        let (at, key) = *self.order.first()?;
        (at <= now).then(|| {
            self.order.pop_first();
            self.at.remove(&key);
            key
        })
    }
}
