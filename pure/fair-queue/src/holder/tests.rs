//! What a holder says when it wants no more slots.

use super::*;
use foldmux_replicas::ReplicaSet;

#[test]
fn one_that_wants_no_more_says_so_once() {
    let seats = ReplicaSet::new(["a", "b", "c"].map(Peer::new)).expect("three");
    let seats = ReplicaConfiguration::stable(seats);
    let mut holder = Holder::new(
        1,
        7,
        1_000_000,
        ClockDrift::from_percent(1.0).expect("a drift"),
    );
    let asks = |words: &[Word]| match words {
        [Word::Claim { slots, more, .. }] => Some((slots.len(), *more)),
        _ => None,
    };
    assert_eq!(asks(&holder.step(0, &seats, 2)), Some((0, 2)));
    assert_eq!(holder.step(20_000, &seats, 2), [], "it has asked");
    assert_eq!(asks(&holder.step(40_000, &seats, 0)), Some((0, 0)));
    assert_eq!(holder.step(200_000, &seats, 0), [], "the seats know");
}
