//! One timer per key.

use crate::record::Key;
use foldmux_replicas::Time;
use std::collections::{BTreeMap, BTreeSet};

#[derive(Clone, Debug, Default)]
pub struct Timers {
    due: BTreeMap<Key, Time>,
    order: BTreeSet<(Time, Key)>,
}

impl Timers {
    /// Sets the timer of a key, or stops it.
    pub fn set(&mut self, key: Key, due: Option<Time>) {
        let former = match due {
            Some(due) => self.due.insert(key, due),
            None => self.due.remove(&key),
        };
        if former == due {
            return;
        }
        if let Some(former) = former {
            self.order.remove(&(former, key));
        }
        if let Some(due) = due {
            self.order.insert((due, key));
        }
    }

    pub fn next(&self) -> Option<Time> {
        self.order.first().map(|(due, _)| *due)
    }

    /// A key whose timer is due. Its timer stops.
    pub fn pop(&mut self, now: Time) -> Option<Key> {
        let (due, key) = *self.order.first()?;
        if due > now {
            return None;
        }
        self.order.pop_first();
        self.due.remove(&key);
        Some(key)
    }
}
