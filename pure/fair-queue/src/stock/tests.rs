//! Use and return of leased slots.

use super::*;

#[test]
fn a_slot_is_used_within_its_lease_and_returned_once() {
    let mut held = HeldSlots::default();
    held.hold(3, 1, 1_000);
    assert_eq!((held.usable(0, 900), held.usable(200, 900)), (1, 0));
    let taken = held.take(0, 900).unwrap();
    assert_eq!(
        (&taken, held.take(0, 1)),
        (
            &TakenSlot {
                slot: 3,
                expires_at: 1_000
            },
            None
        )
    );
    assert_eq!(held.set_limit(0), [], "the slot is in use");
    assert_eq!(
        held.put_back(taken),
        Some(ReturnedSlot { slot: 3, tenure: 1 })
    );
    held.hold(3, 1, 9_000);
    assert_eq!(
        held.usable(0, 1),
        0,
        "an event of a tenure that was returned"
    );
    held.hold(3, 2, 9_000);
    held.set_limit(5);
    assert_eq!(held.usable(0, 1), 1);
    held.expire(9_000);
    assert_eq!((held.idle(), held.take(9_000, 0)), (0, None));
}
