//! Retry budgets and their parents.

use super::*;
use proptest::prelude::*;

fn budget(name: &str, percent: f64, burst: u64, parent: Option<&str>) -> Budget {
    Budget {
        name: name.into(),
        percent,
        burst,
        parent: parent.map(str::to_string),
    }
}

#[test]
fn a_repeat_takes_from_its_bucket_and_all_above_or_from_none() {
    let mut buckets = Buckets::new(&[
        budget("all", 10.0, 2, None),
        budget("video", 50.0, 9, Some("all")),
    ]);
    let video = buckets.find("video").unwrap();
    assert!(buckets.take(video) && buckets.take(video));
    assert!(!buckets.take(video), "the parent is empty");
    assert_eq!((buckets.held(0), buckets.held(1)), (0.0, 7.0));
    (0..10).for_each(|_| buckets.earn(video));
    assert!(buckets.take(video) && !buckets.take(video));
    // A circle, which no checked file has, ends.
    let mut circle = Buckets::new(&[
        budget("a", 1.0, 1, Some("b")),
        budget("b", 1.0, 1, Some("a")),
    ]);
    assert!(circle.take(0) && !circle.take(1));
}

proptest! {
    /// Repeats are never over what was earned and the burst.
    #[test]
    fn repeats_stay_within_what_was_earned(
        percent in 0.0f64..100.0, burst in 1u64..50, steps in proptest::collection::vec(any::<bool>(), 0..2_000),
    ) {
        let mut buckets = Buckets::new(&[budget("a", percent, burst, None)]);
        let (mut firsts, mut repeats) = (0u64, 0u64);
        for first in steps {
            if first {
                buckets.earn(0);
                firsts += 1;
            } else {
                repeats += buckets.take(0) as u64;
            }
            prop_assert!(repeats as f64 <= burst as f64 + firsts as f64 * percent / 100.0 + 1e-6);
            prop_assert!(buckets.held(0) <= burst as f64);
        }
    }
}
