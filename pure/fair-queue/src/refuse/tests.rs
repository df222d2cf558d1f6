//! Early rejection and the advised wait.

use super::*;

#[test]
fn estimated_wait_is_the_cost_ahead_at_the_tenants_rate() {
    let own = QueuePosition {
        start_tag: 0,
        virtual_now: 0,
        cost_ahead: 80_000,
        weight: Weight::ONE,
        active_weight: 4_000,
        slots: 8,
    };
    // A quarter of eight slots: 80 ms of slot time take 40 ms.
    assert_eq!(estimate_wait(&own), 40_000);
    assert_eq!(
        estimate_wait(&QueuePosition {
            start_tag: 80_000,
            ..own
        }),
        80_000
    );
    assert_eq!(estimate_wait(&QueuePosition { slots: 0, ..own }), 0);
    assert_eq!(
        (
            retry_after(5, 40_000, 40_005),
            retry_after(5, 40_000, 30_005)
        ),
        (None, Some(10_000))
    );
    assert_eq!(
        retry_after(5, Time::MAX, 6).map(|w| w > MIN_RETRY_AFTER),
        Some(true)
    );
}

#[test]
fn a_flood_leaves_room_for_tenants_below_their_share() {
    assert!(has_room(937, 1_000, 900, Weight::ONE, 2_000));
    assert!(!has_room(938, 1_000, 900, Weight::ONE, 2_000));
    assert!(
        has_room(999, 1_000, 499, Weight::ONE, 2_000)
            && !has_room(1_000, 1_000, 0, Weight::ONE, 2_000)
    );
}
