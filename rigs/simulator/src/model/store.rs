//! Copies held by a cache box or a hub.

use foldmux::interface::Time;
use std::collections::{BTreeMap, HashMap};

/// An object and the number of its part.
pub(super) type Part = (u64, u32);

/// Copies by their birth, the least lately used dropped first.
#[derive(Default)]
pub(super) struct Store {
    pub(super) copies: HashMap<Part, (Time, u64)>,
    order: BTreeMap<u64, Part>,
    clock: u64,
    most: usize,
}

impl Store {
    pub(super) fn new(most: usize) -> Store {
        Store {
            most,
            ..Store::default()
        }
    }

    pub(super) fn get(&mut self, part: Part, born_after: Time) -> Option<Time> {
        let (born, used) = self.copies.get_mut(&part).filter(|c| c.0 >= born_after)?;
        self.order.remove(used);
        self.clock += 1;
        *used = self.clock;
        self.order.insert(self.clock, part);
        Some(*born)
    }

    pub(super) fn put(&mut self, part: Part, born: Time) {
        self.clock += 1;
        if let Some((_, used)) = self.copies.insert(part, (born, self.clock)) {
            self.order.remove(&used);
        }
        self.order.insert(self.clock, part);
        if self.copies.len() > self.most {
            if let Some((_, oldest)) = self.order.pop_first() {
                self.copies.remove(&oldest);
            }
        }
    }

    pub(super) fn drop_object(&mut self, object: u64, parts: u32) {
        for part in 0..parts {
            if let Some((_, used)) = self.copies.remove(&(object, part)) {
                self.order.remove(&used);
            }
        }
    }
}
