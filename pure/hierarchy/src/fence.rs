//! Fences: for each object, when a copy must have been born at the earliest, as purges say. Bounded: where there are
//! too many they merge into one for all objects, which is coarser and never looser.

use std::collections::HashMap;

/// Fences of single objects held at most.
pub const FENCES_MOST: usize = 65_536;

#[derive(Debug, Default)]
pub struct Fences {
    objects: HashMap<u64, u64>,
    /// For all objects.
    floor: u64,
}

impl Fences {
    /// A purge of one object, or of what can't be told from others here (a group, everything).
    pub fn purge(&mut self, object: Option<u64>, stamp: u64) {
        let Some(object) = object else {
            self.floor = self.floor.max(stamp);
            return self.objects.retain(|_, at| *at > stamp);
        };
        if stamp <= self.floor {
            return;
        }
        let held = self.objects.entry(object).or_insert(stamp);
        *held = (*held).max(stamp);
        if self.objects.len() > FENCES_MOST {
            self.merge();
        }
    }

    /// The older half becomes one fence for all.
    fn merge(&mut self) {
        let mut stamps: Vec<u64> = self.objects.values().copied().collect();
        let (_, middle, _) = stamps.select_nth_unstable(FENCES_MOST / 2);
        let floor = *middle;
        self.purge(None, floor);
    }

    /// The oldest birth that will do for an object.
    pub fn oldest(&self, object: u64) -> u64 {
        self.objects
            .get(&object)
            .copied()
            .unwrap_or(0)
            .max(self.floor)
    }

    pub fn len(&self) -> usize {
        self.objects.len()
    }

    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }
}

#[cfg(test)]
mod tests;
