//! Outcomes that eject a source, and the durations of ejections.

use super::*;

#[test]
fn failures_eject_a_source_and_rejections_do_not() {
    let mut health = Health::default();
    (0..9).for_each(|_| health.record(0, AttemptOutcome::Rejected));
    assert!(health.is_healthy(0));
    health.record(0, AttemptOutcome::Failed);
    assert!(health.is_healthy(0), "a single failure is tolerated");
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
