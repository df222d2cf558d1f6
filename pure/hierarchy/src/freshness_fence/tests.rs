//! Freshness fences of purges, and their merging.

use super::*;
use proptest::prelude::*;

#[test]
fn merged_fences_are_never_lower_than_before() {
    let mut fences = FreshnessFences::default();
    for n in 1..=2 * MAX_FENCES as u64 {
        fences.invalidate(Some(n), n);
        assert!(fences.len() <= MAX_FENCES);
    }
    assert!((1..=2 * MAX_FENCES as u64).all(|n| fences.min_birth(n) >= n));
}

proptest! {
    #[test]
    fn a_fence_is_the_latest_purge_of_its_object(
        purges in proptest::collection::vec((proptest::option::of(0u64..6), 0u64..100), 0..60)
    ) {
        let mut fences = FreshnessFences::default();
        for (object, at) in &purges {
            fences.invalidate(*object, *at);
        }
        for object in 0..6 {
            let concerns_object = |p: &&(Option<u64>, u64)| p.0.is_none() || p.0 == Some(object);
            let latest = purges.iter().filter(concerns_object).map(|p| p.1).max().unwrap_or(0);
            prop_assert_eq!(fences.min_birth(object), latest);
        }
    }
}
