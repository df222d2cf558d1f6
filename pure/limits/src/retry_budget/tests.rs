//! Retry budgets and their parents.

use super::*;
use proptest::prelude::*;

fn budget(name: &str, percent: f64, burst: u64, parent: Option<&str>) -> RetryBudget {
    RetryBudget {
        name: name.into(),
        percent,
        burst,
        parent: parent.map(str::to_string),
    }
}

#[test]
fn a_retry_withdraws_from_its_budget_and_all_ancestors_or_from_none() {
    let mut budgets = RetryBudgets::new(&[
        budget("all", 10.0, 2, None),
        budget("video", 50.0, 9, Some("all")),
    ]);
    let video = budgets.index_of("video").unwrap();
    assert!(budgets.try_withdraw(video) && budgets.try_withdraw(video));
    assert!(!budgets.try_withdraw(video), "the parent is empty");
    assert_eq!((budgets.tokens(0), budgets.tokens(1)), (0.0, 7.0));
    (0..10).for_each(|_| budgets.deposit(video));
    assert!(budgets.try_withdraw(video) && !budgets.try_withdraw(video));
    // A cycle, which no valid file has, ends.
    let mut cycle = RetryBudgets::new(&[
        budget("a", 1.0, 1, Some("b")),
        budget("b", 1.0, 1, Some("a")),
    ]);
    assert!(cycle.try_withdraw(0) && !cycle.try_withdraw(1));
}

proptest! {
    /// Retries never exceed the deposits and the burst.
    #[test]
    fn retries_stay_within_deposits_and_burst(
        percent in 0.0f64..100.0, burst in 1u64..50, steps in proptest::collection::vec(any::<bool>(), 0..2_000),
    ) {
        let mut budgets = RetryBudgets::new(&[budget("a", percent, burst, None)]);
        let (mut firsts, mut retries) = (0u64, 0u64);
        for first in steps {
            if first {
                budgets.deposit(0);
                firsts += 1;
            } else {
                retries += budgets.try_withdraw(0) as u64;
            }
            prop_assert!(retries as f64 <= burst as f64 + firsts as f64 * percent / 100.0 + 1e-6);
            prop_assert!(budgets.tokens(0) <= burst as f64);
        }
    }
}
