//! Collapsed fetches: leaders, waiters, leases and retries.

use super::*;
use crate::tree::TreeVersion;

const SECOND_US: TimestampUs = 1_000_000;
const VERSION_1: TreeVersion = TreeVersion {
    epoch: 1,
    digest: 1,
};
const VERSION_2: TreeVersion = TreeVersion {
    epoch: 2,
    digest: 2,
};

fn table() -> FetchTable {
    FetchTable::new(FetchLimits {
        fetches: 3,
        waiters: 10,
        lease_us: SECOND_US,
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
        version: VERSION_1,
        min_birth: 0,
        deadline: 10 * SECOND_US,
    }
}

fn sent_under(version: TreeVersion, uncollapsed: bool) -> FillContext {
    FillContext {
        version: Some(version),
        uncollapsed,
    }
}

#[test]
fn misses_for_one_part_share_a_fetch_that_the_last_waiter_cancels() {
    let mut table = table();
    let Admission::Lead(fetch, first) = table.request(0, request(7)) else {
        panic!()
    };
    let Admission::Follow(same, second) = table.request(1, request(7)) else {
        panic!()
    };
    assert_eq!(same, fetch);
    assert!(matches!(table.request(2, request(8)), Admission::Lead(..)));
    // The leader leaves: the fetch continues for the other waiter.
    assert_eq!(table.leave(first), None);
    assert_eq!(table.leave(second), Some(fetch));
    assert_eq!(table.leave(second), None);
    assert!(!table.complete(fetch, 0));
    assert!(matches!(table.request(3, request(7)), Admission::Lead(..)));
}

#[test]
fn a_failed_or_expired_attempt_is_retried_once_for_all_waiters() {
    let mut table = table();
    let Admission::Lead(fetch, _) = table.request(0, request(7)) else {
        panic!()
    };
    table.request(0, request(7));
    table.renew_lease(SECOND_US / 2, fetch, 0);
    assert_eq!(table.expired_leases(SECOND_US), []);
    assert_eq!(
        table.expired_leases(SECOND_US + SECOND_US / 2),
        [(fetch, 0)]
    );
    assert_eq!(
        table.fail(SECOND_US + SECOND_US / 2, fetch, 0),
        AfterFailure::Retry(1)
    );
    // From then on the first attempt is stale.
    assert_eq!(
        table.fail(SECOND_US + SECOND_US / 2, fetch, 0),
        AfterFailure::Stale
    );
    assert!(
        !table.complete(fetch, 0)
            && matches!(
                table.request(2 * SECOND_US, request(7)),
                Admission::Follow(..)
            )
    );
    assert_eq!(table.fail(2 * SECOND_US, fetch, 1), AfterFailure::Retry(2));
    assert_eq!(table.fail(2 * SECOND_US, fetch, 2), AfterFailure::GiveUp);
    assert_eq!(table.sizes().0, 0);
    // There is no retry after the last deadline.
    let Admission::Lead(late, _) = table.request(3 * SECOND_US, request(9)) else {
        panic!()
    };
    assert_eq!(table.fail(10 * SECOND_US, late, 0), AfterFailure::GiveUp);
}

#[test]
fn requests_over_the_limits_are_rejected_without_other_effects() {
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
        panic!("followed a fetch from before the purge")
    };
    // Later requests follow the newer fetch, whatever their bound, also after the older one has ended.
    assert!(matches!(table.request(2, request(7)), Admission::Follow(id, _) if id == new));
    assert!(table.complete(old, 0));
    assert!(matches!(table.request(3, purged), Admission::Follow(id, _) if id == new));
}

#[test]
fn fills_of_two_versions_do_not_wait_for_each_other() {
    // Each of two hubs has the other as its source, under different trees, and leads a fetch that goes to the other.
    let (mut hub_a, mut hub_b) = (table(), table());
    let request_at_b = |context| FetchRequest {
        context,
        version: VERSION_2,
        ..request(7)
    };
    let Admission::Lead(from_a, _) = hub_a.request(0, request(7)) else {
        panic!()
    };
    let Admission::Lead(from_b, _) = hub_b.request(0, request_at_b(FillContext::LOCAL)) else {
        panic!()
    };
    // Each hub gets the fill of the other: neither fill follows the fetch in flight there, and each leads an
    // uncollapsed one.
    let Admission::Lead(uncollapsed, _) =
        hub_b.request(1, request_at_b(sent_under(VERSION_1, false)))
    else {
        panic!("the fill from hub A waits at hub B")
    };
    assert!(matches!(
        hub_a.request(
            1,
            FetchRequest {
                context: sent_under(VERSION_2, false),
                ..request(7)
            }
        ),
        Admission::Lead(..)
    ));
    assert_ne!(uncollapsed, from_b);
    // Another fill of the other version follows the uncollapsed fetch, which ends by itself. A fill that is uncollapsed
    // follows none.
    assert!(
        matches!(hub_b.request(2, request_at_b(sent_under(VERSION_1, false))), Admission::Follow(id, _) if id == uncollapsed)
    );
    assert!(matches!(
        hub_b.request(2, request_at_b(sent_under(VERSION_1, true))),
        Admission::Lead(..)
    ));
    assert!(matches!(hub_a.request(2, request(7)), Admission::Follow(id, _) if id == from_a));
}
