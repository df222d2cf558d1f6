//! Early refusal and the advised wait.

use super::*;

#[test]
fn the_wait_is_what_goes_before_at_the_tenants_rate() {
    let own = Standing {
        start: 0,
        now: 0,
        ahead: 80_000,
        weight: Weight::ONE,
        weights: 4_000,
        slots: 8,
    };
    // A quarter of eight slots: 80 ms of slot time take 40 ms.
    assert_eq!(wait(&own), 40_000);
    assert_eq!(
        wait(&Standing {
            start: 80_000,
            ..own
        }),
        80_000
    );
    assert_eq!(wait(&Standing { slots: 0, ..own }), 0);
    assert_eq!(
        (away(5, 40_000, 40_005), away(5, 40_000, 30_005)),
        (None, Some(10_000))
    );
    assert_eq!(away(5, Time::MAX, 6).map(|w| w > LEAST), Some(true));
}

#[test]
fn a_flood_leaves_room_for_those_below_their_share() {
    assert!(room(937, 1_000, 900, Weight::ONE, 2_000));
    assert!(!room(938, 1_000, 900, Weight::ONE, 2_000));
    assert!(
        room(999, 1_000, 499, Weight::ONE, 2_000) && !room(1_000, 1_000, 0, Weight::ONE, 2_000)
    );
}
