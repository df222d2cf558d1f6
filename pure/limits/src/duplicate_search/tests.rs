//! The search for a second run of a key.

use super::*;

fn found(change: impl Fn(&mut EffectiveLimits)) -> SearchResult {
    let account = Account::default();
    let class = account.class("mix-record").unwrap();
    let mut values = EffectiveLimits::defaults(&account, class);
    change(&mut values);
    find_duplicate_run(&SearchModel::new(&account, class, &values))
}

#[test]
fn the_default_limits_run_no_key_twice() {
    let found = found(|_| ());
    assert!(found.trace.is_none() && found.states > 100, "{found:?}");
}

#[test]
fn a_pause_that_delays_a_retry_past_the_window_is_found_and_described() {
    let found = found(|values| {
        (
            values.backoff_base_ms,
            values.backoff_max_ms,
            values.attempt_timeout_ms,
        ) = (900, 900, 700);
    });
    let trace = found.trace.expect("a second run");
    assert!(
        trace.last().unwrap().ends_with("it runs again"),
        "{trace:#?}"
    );
    assert!(
        trace
            .iter()
            .any(|line| line.contains("sent after a pause of")),
        "{trace:#?}"
    );
    // A shortest one: two lost responses and the attempt that is too late, and no more.
    assert!(trace.len() <= 5, "{trace:#?}");
}
