//! The counters, and their names in the log.

use super::*;

#[test]
fn summaries_list_each_counter_under_its_own_name() {
    let metrics = Metrics::default();
    metrics.record_attempt(Outcome::Served);
    metrics.record_attempt(Outcome::Miss);
    let class: Arc<str> = "mix-video".into();
    metrics.record_completion(Some(&class), Completion::Served);
    metrics.record_completion(Some(&class), Completion::Failed(Reason::IdInUse));
    metrics.record_completion(None, Completion::Failed(Reason::NoDecision));
    metrics.record_send(&class, Outcome::Served);
    metrics.record_send(&class, Outcome::NeverSent);
    assert_eq!(
        metrics.take_summary().unwrap(),
        "ok 1, miss 1, served 1, failed 2"
    );
    assert_eq!(metrics.take_summary(), None);
    assert_eq!(
        metrics.take_reasons_summary().unwrap(),
        "its id is in use 1, no decision in time 1"
    );
    assert_eq!(metrics.take_reasons_summary(), None);
    assert!(REASONS
        .iter()
        .enumerate()
        .all(|(index, reason)| *reason as usize == index));
    let counts = ClassCounts {
        class,
        answered: 1,
        deferred: 0,
        errored: 1,
        sends: 1,
    };
    assert_eq!(metrics.classes(), vec![counts]);
}
