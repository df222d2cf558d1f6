//! Collapsed fetches: leaders, waiters, leases and retries.

use super::*;
use crate::tree::TreeVersion;

const S: TimestampUs = 1_000_000;
const ONE: TreeVersion = TreeVersion {
    epoch: 1,
    digest: 1,
};
const TWO: TreeVersion = TreeVersion {
    epoch: 2,
    digest: 2,
};

fn table() -> FetchTable {
    FetchTable::new(FetchLimits {
        fetches: 3,
        waiters: 10,
        lease_us: S,
        attempts: 3,
    })
}

fn request(object: u64) -> FetchRequest {
    let key = FetchKey {
        class: 0,
        object,
        part: 0,
    };
    FetchRequest {
        key,
        context: FillContext::LOCAL,
        version: ONE,
        min_birth: 0,
        deadline: 10 * S,
    }
}

fn from(version: TreeVersion, uncollapsed: bool) -> FillContext {
    FillContext {
        version: Some(version),
        uncollapsed,
    }
}

#[test]
fn misses_for_one_part_are_one_fetch_and_the_last_to_leave_cancels_it() {
    let mut table = table();
    let Admission::Lead(fetch, first) = table.request(0, request(7)) else {
        panic!()
    };
    let Admission::Follow(same, second) = table.request(1, request(7)) else {
        panic!()
    };
    assert_eq!(same, fetch);
    assert!(matches!(table.request(2, request(8)), Admission::Lead(..)));
    // Its first client leaves: the other goes on with the same fetch.
    assert_eq!(table.leave(first), None);
    assert_eq!(table.leave(second), Some(fetch));
    assert_eq!(table.leave(second), None);
    assert!(!table.complete(fetch, 0));
    assert!(matches!(table.request(3, request(7)), Admission::Lead(..)));
}

#[test]
fn an_attempt_that_fails_or_whose_lease_expires_is_retried_once_for_all() {
    let mut table = table();
    let Admission::Lead(fetch, _) = table.request(0, request(7)) else {
        panic!()
    };
    table.request(0, request(7));
    table.renew_lease(S / 2, fetch, 0);
    assert_eq!(table.expired_leases(S), []);
    assert_eq!(table.expired_leases(S + S / 2), [(fetch, 0)]);
    assert_eq!(table.fail(S + S / 2, fetch, 0), AfterFailure::Retry(1));
    // The first attempt is stale after that.
    assert_eq!(table.fail(S + S / 2, fetch, 0), AfterFailure::Stale);
    assert!(
        !table.complete(fetch, 0)
            && matches!(table.request(2 * S, request(7)), Admission::Follow(..))
    );
    assert_eq!(table.fail(2 * S, fetch, 1), AfterFailure::Retry(2));
    assert_eq!(table.fail(2 * S, fetch, 2), AfterFailure::GiveUp);
    assert_eq!(table.sizes().0, 0);
    // No time left: nobody waits past its own end.
    let Admission::Lead(late, _) = table.request(3 * S, request(9)) else {
        panic!()
    };
    assert_eq!(table.fail(10 * S, late, 0), AfterFailure::GiveUp);
}

#[test]
fn over_the_limits_requests_are_rejected_and_nothing_else_is_lost() {
    let mut table = table();
    for object in 0..3 {
        assert!(matches!(
            table.request(0, request(object)),
            Admission::Lead(..)
        ));
    }
    assert_eq!(table.request(0, request(3)), Admission::Rejected);
    for _ in 0..7 {
        assert!(matches!(
            table.request(0, request(0)),
            Admission::Follow(..)
        ));
    }
    assert_eq!(table.request(0, request(0)), Admission::Rejected);
    assert_eq!((table.sizes(), table.counts().rejected), ((3, 10), 2));
}

#[test]
fn a_fetch_sent_before_an_invalidation_is_not_followed_after_it() {
    let mut table = table();
    let Admission::Lead(old, _) = table.request(0, request(7)) else {
        panic!()
    };
    let purged = FetchRequest {
        min_birth: 500,
        ..request(7)
    };
    let Admission::Lead(new, _) = table.request(1, purged) else {
        panic!("joined a copy from before the purge")
    };
    // Later ones join the newer, whatever their bound; the end of the older takes nothing from it.
    assert!(matches!(table.request(2, request(7)), Admission::Follow(id, _) if id == new));
    assert!(table.complete(old, 0));
    assert!(matches!(table.request(3, purged), Admission::Follow(id, _) if id == new));
}

#[test]
fn fills_of_two_versions_do_not_wait_for_each_other() {
    // Two hubs turned toward each other: each leads a fetch that goes to the other.
    let (mut a, mut b) = (table(), table());
    let at_b = |context| FetchRequest {
        context,
        version: TWO,
        ..request(7)
    };
    let Admission::Lead(from_a, _) = a.request(0, request(7)) else {
        panic!()
    };
    let Admission::Lead(from_b, _) = b.request(0, at_b(FillContext::LOCAL)) else {
        panic!()
    };
    // What a sent comes to b, and b's to a: neither joins, each leads one uncollapsed fetch.
    let Admission::Lead(uncollapsed, _) = b.request(1, at_b(from(ONE, false))) else {
        panic!("a waits for b")
    };
    assert!(matches!(
        a.request(
            1,
            FetchRequest {
                context: from(TWO, false),
                ..request(7)
            }
        ),
        Admission::Lead(..)
    ));
    assert_ne!(uncollapsed, from_b);
    // One more of the other epoch joins the uncollapsed fetch, which ends by itself; one that is uncollapsed joins nothing.
    assert!(
        matches!(b.request(2, at_b(from(ONE, false))), Admission::Follow(id, _) if id == uncollapsed)
    );
    assert!(matches!(
        b.request(2, at_b(from(ONE, true))),
        Admission::Lead(..)
    ));
    assert!(matches!(a.request(2, request(7)), Admission::Follow(id, _) if id == from_a));
}
