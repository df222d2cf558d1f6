//! Values by tier of the hierarchy.

use crate::interface::Tier;
use std::ops::{Index, IndexMut};

/// One value for each [`Tier`].
#[derive(Default)]
pub(super) struct ByTier<T>([T; Tier::COUNT]);

impl<T> ByTier<T> {
    /// Computes the value of each tier with `value_of`.
    pub(super) fn from_fn(value_of: impl FnMut(Tier) -> T) -> ByTier<T> {
        ByTier(Tier::ALL.map(value_of))
    }
}

impl<T> Index<Tier> for ByTier<T> {
    type Output = T;

    fn index(&self, tier: Tier) -> &T {
        &self.0[tier as usize]
    }
}

impl<T> IndexMut<Tier> for ByTier<T> {
    fn index_mut(&mut self, tier: Tier) -> &mut T {
        &mut self.0[tier as usize]
    }
}
