//! The queue for a place, short and standing.

use super::*;

#[test]
fn a_short_line_is_served_in_order_and_a_standing_one_lets_go_sooner() {
    let mut line = Waiting::new(3, 100);
    assert!(line.join(0, 1) && line.join(0, 2) && line.join(10, 3) && !line.join(10, 4));
    assert_eq!((line.next(20), line.expire(99)), (Some(1), vec![]));
    assert_eq!(line.expire(100), [2]);
    line.leave(3);
    assert!(line.is_empty());
    // Each waits for long: after a whole age of that, half of it is the bound.
    for turn in 0..4u64 {
        line.join(turn * 60, turn);
        assert_eq!(line.next(turn * 60 + 60), Some(turn));
    }
    line.join(300, 9);
    assert_eq!(line.expire(350), [9]);
    // One that did not wait long shows that the line is short again.
    line.join(400, 10);
    assert_eq!(line.next(401), Some(10));
    line.join(410, 11);
    assert_eq!((line.expire(470), line.expire(510)), (vec![], vec![11]));
}
