//! Lower bounds on the age of copies, from invalidations: for each object, when a copy must have left the origin at the
//! earliest. Their number is bounded: where there are too many, the older half merges into one bound for all objects,
//! which is coarser and never looser.

use std::collections::HashMap;

/// Fences of single objects at the most.
pub const MAX_FENCES: usize = 65_536;

/// The bounds in force. Times are those of the origin, not of this node's clock.
#[derive(Debug, Default)]
pub struct FreshnessFences {
    /// By object.
    objects: HashMap<u64, u64>,
    /// For all objects.
    floor: u64,
}

impl FreshnessFences {
    /// An invalidation of one object, or (`None`) of objects that can't be told from others here.
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

    /// When a copy of an object must have left the origin at the earliest.
    pub fn min_birth(&self, object: u64) -> u64 {
        let fence = self.objects.get(&object).copied().unwrap_or(0);
        fence.max(self.floor)
    }

    /// Fences of single objects.
    pub fn len(&self) -> usize {
        self.objects.len()
    }

    /// Whether there is no fence of a single object.
    pub fn is_empty(&self) -> bool {
        self.objects.is_empty()
    }
}

#[cfg(test)]
mod tests;
