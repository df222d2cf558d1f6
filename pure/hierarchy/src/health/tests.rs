//! Which answers mark a source as unhealthy.

use super::*;

#[test]
fn a_source_is_left_out_for_failing_and_not_for_load_or_loops() {
    let mut health = Health::default();
    (0..9).for_each(|_| health.hear(0, Word::Turned));
    assert!(health.well(0));
    health.hear(0, Word::Failed);
    assert!(health.well(0), "one stray failure");
    health.hear(0, Word::Failed);
    assert!(!health.well(FIRST - 1) && health.well(FIRST));
    health.hear(FIRST, Word::Failed);
    assert!(!health.well(3 * FIRST - 1) && health.well(3 * FIRST));
    (0..50).for_each(|_| health.hear(0, Word::Failed));
    assert!(health.well(MOST));
    health.hear(MOST, Word::Served);
    assert_eq!(health, Health::default());
    health.hear(5, Word::Unreached);
    assert!(!health.well(5));
}
