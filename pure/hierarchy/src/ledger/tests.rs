//! Collapsed fetches: leaders, waiters, leases and retries.

use super::*;
use crate::tree::Stamp;

const S: Time = 1_000_000;
const ONE: Stamp = Stamp {
    epoch: 1,
    digest: 1,
};
const TWO: Stamp = Stamp {
    epoch: 2,
    digest: 2,
};

fn ledger() -> Ledger {
    Ledger::new(Limits {
        fetches: 3,
        waits: 10,
        lease: S,
        attempts: 3,
    })
}

fn want(object: u64) -> Want {
    let key = Key {
        class: 0,
        object,
        part: 0,
    };
    Want {
        key,
        arrival: Arrival::BEGINS,
        present: ONE,
        born_after: 0,
        until: 10 * S,
    }
}

fn from(stamp: Stamp, solo: bool) -> Arrival {
    Arrival {
        stamp: Some(stamp),
        solo,
    }
}

#[test]
fn misses_for_one_part_are_one_fetch_and_the_last_to_leave_calls_it_off() {
    let mut ledger = ledger();
    let Turn::Lead(fetch, first) = ledger.want(0, want(7)) else {
        panic!()
    };
    let Turn::Join(same, second) = ledger.want(1, want(7)) else {
        panic!()
    };
    assert_eq!(same, fetch);
    assert!(matches!(ledger.want(2, want(8)), Turn::Lead(..)));
    // Its first client leaves: the other goes on with the same fetch.
    assert_eq!(ledger.leave(first), None);
    assert_eq!(ledger.leave(second), Some(fetch));
    assert_eq!(ledger.leave(second), None);
    assert!(!ledger.done(fetch, 0));
    assert!(matches!(ledger.want(3, want(7)), Turn::Lead(..)));
}

#[test]
fn a_try_that_fails_or_lapses_is_followed_by_one_for_all() {
    let mut ledger = ledger();
    let Turn::Lead(fetch, _) = ledger.want(0, want(7)) else {
        panic!()
    };
    ledger.want(0, want(7));
    ledger.beat(S / 2, fetch, 0);
    assert_eq!(ledger.lapsed(S), []);
    assert_eq!(ledger.lapsed(S + S / 2), [(fetch, 0)]);
    assert_eq!(ledger.failed(S + S / 2, fetch, 0), Next::Again(1));
    // What the first try says after that is nothing.
    assert_eq!(ledger.failed(S + S / 2, fetch, 0), Next::Stale);
    assert!(!ledger.done(fetch, 0) && matches!(ledger.want(2 * S, want(7)), Turn::Join(..)));
    assert_eq!(ledger.failed(2 * S, fetch, 1), Next::Again(2));
    assert_eq!(ledger.failed(2 * S, fetch, 2), Next::Over);
    assert_eq!(ledger.size().0, 0);
    // No time left: nobody waits past its own end.
    let Turn::Lead(late, _) = ledger.want(3 * S, want(9)) else {
        panic!()
    };
    assert_eq!(ledger.failed(10 * S, late, 0), Next::Over);
}

#[test]
fn full_is_refused_and_nothing_else_is_lost() {
    let mut ledger = ledger();
    for object in 0..3 {
        assert!(matches!(ledger.want(0, want(object)), Turn::Lead(..)));
    }
    assert_eq!(ledger.want(0, want(3)), Turn::Full);
    for _ in 0..7 {
        assert!(matches!(ledger.want(0, want(0)), Turn::Join(..)));
    }
    assert_eq!(ledger.want(0, want(0)), Turn::Full);
    assert_eq!((ledger.size(), ledger.counts().full), ((3, 10), 2));
}

#[test]
fn a_fetch_sent_before_a_purge_is_not_waited_for_after_it() {
    let mut ledger = ledger();
    let Turn::Lead(old, _) = ledger.want(0, want(7)) else {
        panic!()
    };
    let purged = Want {
        born_after: 500,
        ..want(7)
    };
    let Turn::Lead(new, _) = ledger.want(1, purged) else {
        panic!("joined a copy from before the purge")
    };
    // Later ones join the newer, whatever their bound; the end of the older takes nothing from it.
    assert!(matches!(ledger.want(2, want(7)), Turn::Join(id, _) if id == new));
    assert!(ledger.done(old, 0));
    assert!(matches!(ledger.want(3, purged), Turn::Join(id, _) if id == new));
}

#[test]
fn fills_of_two_epochs_do_not_wait_for_each_other() {
    // Two hubs turned toward each other: each leads a fetch that goes to the other.
    let (mut a, mut b) = (ledger(), ledger());
    let at_b = |arrival| Want {
        arrival,
        present: TWO,
        ..want(7)
    };
    let Turn::Lead(from_a, _) = a.want(0, want(7)) else {
        panic!()
    };
    let Turn::Lead(from_b, _) = b.want(0, at_b(Arrival::BEGINS)) else {
        panic!()
    };
    // What a sent comes to b, and b's to a: neither joins, each leads one solo fetch.
    let Turn::Lead(solo, _) = b.want(1, at_b(from(ONE, false))) else {
        panic!("a waits for b")
    };
    assert!(matches!(
        a.want(
            1,
            Want {
                arrival: from(TWO, false),
                ..want(7)
            }
        ),
        Turn::Lead(..)
    ));
    assert_ne!(solo, from_b);
    // One more of the other epoch joins the solo fetch, which ends by itself; one that is solo joins nothing.
    assert!(matches!(b.want(2, at_b(from(ONE, false))), Turn::Join(id, _) if id == solo));
    assert!(matches!(b.want(2, at_b(from(ONE, true))), Turn::Lead(..)));
    assert!(matches!(a.want(2, want(7)), Turn::Join(id, _) if id == from_a));
}
