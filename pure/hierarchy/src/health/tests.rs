//! Which answers mark a source as unhealthy.

use super::*;

#[test]
fn a_source_is_left_out_for_failing_and_not_for_load_or_loops() {
    let mut health = Health::default();
    (0..9).for_each(|_| health.record(0, AttemptOutcome::Rejected));
    assert!(health.is_healthy(0));
    health.record(0, AttemptOutcome::Failed);
    assert!(health.is_healthy(0), "one stray failure");
    health.record(0, AttemptOutcome::Failed);
    assert!(!health.is_healthy(BASE_EJECTION_US - 1) && health.is_healthy(BASE_EJECTION_US));
    health.record(BASE_EJECTION_US, AttemptOutcome::Failed);
    assert!(
        !health.is_healthy(3 * BASE_EJECTION_US - 1) && health.is_healthy(3 * BASE_EJECTION_US)
    );
    (0..50).for_each(|_| health.record(0, AttemptOutcome::Failed));
    assert!(health.is_healthy(MAX_EJECTION_US));
    health.record(MAX_EJECTION_US, AttemptOutcome::Served);
    assert_eq!(health, Health::default());
    health.record(5, AttemptOutcome::Unreached);
    assert!(!health.is_healthy(5));
}
