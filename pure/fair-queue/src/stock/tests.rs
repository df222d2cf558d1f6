//! Use and return of leased slots.

use super::*;

#[test]
fn a_slot_is_used_within_its_lease_and_given_back_once() {
    let mut stock = Stock::default();
    stock.held(3, 1, 1_000);
    assert_eq!((stock.size(0, 900), stock.size(200, 900)), (1, 0));
    let taken = stock.take(0, 900).unwrap();
    assert_eq!(
        (&taken, stock.take(0, 1)),
        (
            &Taken {
                slot: 3,
                until: 1_000
            },
            None
        )
    );
    assert_eq!(stock.keep(0), [], "it is in use");
    assert_eq!(stock.put(taken), Some(Gave { slot: 3, turn: 1 }));
    stock.held(3, 1, 9_000);
    assert_eq!(stock.size(0, 1), 0, "word of a turn that was given back");
    stock.held(3, 2, 9_000);
    stock.keep(5);
    assert_eq!(stock.size(0, 1), 1);
    stock.expire(9_000);
    assert_eq!((stock.idle(), stock.take(9_000, 0)), (0, None));
}
