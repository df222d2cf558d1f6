//! Purge fences and their merging.

use super::*;
use proptest::prelude::*;

#[test]
fn too_many_fences_merge_and_none_gets_looser() {
    let mut fences = FreshnessFences::default();
    for n in 1..=2 * MAX_FENCES as u64 {
        fences.invalidate(Some(n), n);
        assert!(fences.len() <= MAX_FENCES);
    }
    assert!((1..=2 * MAX_FENCES as u64).all(|n| fences.min_birth(n) >= n));
}

proptest! {
    #[test]
    fn a_fence_is_never_looser_than_any_purge(
        purges in proptest::collection::vec((proptest::option::of(0u64..6), 0u64..100), 0..60)
    ) {
        let mut fences = FreshnessFences::default();
        for (object, stamp) in &purges {
            fences.invalidate(*object, *stamp);
        }
        for object in 0..6 {
            let of = |p: &&(Option<u64>, u64)| p.0.is_none() || p.0 == Some(object);
            let oldest = purges.iter().filter(of).map(|p| p.1).max().unwrap_or(0);
            prop_assert_eq!(fences.min_birth(object), oldest);
        }
    }
}
