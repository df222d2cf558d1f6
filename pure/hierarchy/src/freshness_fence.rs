//! Freshness bounds of copies, from invalidations: for each object, the earliest time at which a usable copy may have left
//! the origin (its birth). The number of bounds is limited: when there are too many, the older half is merged into one
//! bound for all objects, which may reject more copies and never accepts more.

use std::collections::HashMap;

/// Maximum number of fences of single objects.
pub const MAX_FENCES: usize = 65_536;

/// The freshness bounds in force. Times are on the origin's clock, not on this node's.
#[derive(Debug, Default)]
pub struct FreshnessFences {
    /// Bounds of single objects, by object id.
    objects: HashMap<u64, u64>,
    /// Bound of all objects.
    floor: u64,
}

impl FreshnessFences {
    /// Records an invalidation of one object at the time `at`; `None` stands for a set of objects that can't be resolved
    /// here, and raises the bound of all objects.
    pub fn invalidate(&mut self, object: Option<u64>, at: u64) {
        let Some(object) = object else {
            self.raise_floor(at);
            return;
        };
        if at <= self.floor {
            return;
        }
        let fence = self.objects.entry(object).or_insert(at);
        *fence = (*fence).max(at);
        if self.objects.len() > MAX_FENCES {
            self.merge_older_half();
        }
    }

    fn raise_floor(&mut self, at: u64) {
        self.floor = self.floor.max(at);
        self.objects.retain(|_, fence| *fence > at);
    }

    fn merge_older_half(&mut self) {
        let mut fences: Vec<u64> = self.objects.values().copied().collect();
        let (_, median, _) = fences.select_nth_unstable(MAX_FENCES / 2);
        let median = *median;
        self.raise_floor(median);
    }

    /// The earliest time at which a usable copy of the object may have left the origin.
    pub fn min_birth(&self, object: u64) -> u64 {
        let fence = self.objects.get(&object).copied().unwrap_or(0);
        fence.max(self.floor)
    }

    /// The number of fences of single objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Whether there are no fences of single objects.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }
}

#[cfg(test)]
mod tests;
