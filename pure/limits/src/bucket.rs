//! Token buckets for repeats: earned by first attempts, held up to a burst, and taken from a bucket and all above it at
//! once or not at all.

use crate::values::Budget;

#[derive(Clone, Debug)]
struct Bucket {
    held: f64,
    earns: f64,
    burst: f64,
    parent: Option<usize>,
}

/// All buckets of a file; as many as it names.
#[derive(Clone, Debug, Default)]
pub struct Buckets {
    names: Vec<String>,
    buckets: Vec<Bucket>,
}

impl Buckets {
    /// A parent that is not there is none; the checks refuse such a file, and circles.
    pub fn new(budgets: &[Budget]) -> Buckets {
        let names: Vec<String> = budgets.iter().map(|b| b.name.clone()).collect();
        let bucket = |b: &Budget| Bucket {
            held: b.burst as f64,
            earns: b.percent / 100.0,
            burst: b.burst as f64,
            parent: b.parent.as_ref().and_then(|p| names.iter().position(|name| name == p)),
        };
        Buckets { buckets: budgets.iter().map(bucket).collect(), names }
    }

    pub fn find(&self, name: &str) -> Option<usize> {
        self.names.iter().position(|own| own == name)
    }

    /// A bucket and those above it; each once, also in a circle.
    fn line(&self, bucket: usize) -> Vec<usize> {
        let mut line = Vec::new();
        let mut next = Some(bucket);
        while let Some(at) = next.filter(|at| !line.contains(at) && *at < self.buckets.len()) {
            line.push(at);
            next = self.buckets[at].parent;
        }
        line
    }

    /// A first attempt is made: what it earns.
    pub fn earn(&mut self, bucket: usize) {
        for at in self.line(bucket) {
            let own = &mut self.buckets[at];
            own.held = (own.held + own.earns).min(own.burst);
        }
    }

    /// A repeat wants to be made: whether it may.
    pub fn take(&mut self, bucket: usize) -> bool {
        let line = self.line(bucket);
        // A little under one, as what was earned in parts may not add up to it exactly.
        if line.iter().any(|at| self.buckets[*at].held < 1.0 - 1e-9) {
            return false;
        }
        line.iter().for_each(|at| self.buckets[*at].held -= 1.0);
        true
    }

    pub fn held(&self, bucket: usize) -> f64 {
        self.buckets[bucket].held
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use proptest::prelude::*;

    fn budget(name: &str, percent: f64, burst: u64, parent: Option<&str>) -> Budget {
        Budget { name: name.into(), percent, burst, parent: parent.map(str::to_string) }
    }

    #[test]
    fn a_repeat_takes_from_its_bucket_and_all_above_or_from_none() {
        let mut buckets =
            Buckets::new(&[budget("all", 10.0, 2, None), budget("video", 50.0, 9, Some("all"))]);
        let video = buckets.find("video").unwrap();
        assert!(buckets.take(video) && buckets.take(video));
        assert!(!buckets.take(video), "the parent is empty");
        assert_eq!((buckets.held(0), buckets.held(1)), (0.0, 7.0));
        (0..10).for_each(|_| buckets.earn(video));
        assert!(buckets.take(video) && !buckets.take(video));
        // A circle, which no checked file has, ends.
        let mut circle = Buckets::new(&[budget("a", 1.0, 1, Some("b")), budget("b", 1.0, 1, Some("a"))]);
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
}
