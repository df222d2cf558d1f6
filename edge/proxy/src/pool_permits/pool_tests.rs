//! A pool at one process: a released slot goes to the next waiting request, and returns at once from one that left.

use super::*;
use crossbeam_channel::bounded;
use foldmux_fair_queue::queue::Setup;
use foldmux_fair_queue::slow::CostModel;
use foldmux_fair_queue::HeldSlots;

fn request(id: u64, deadline: Time) -> Request<'static> {
    Request {
        id,
        tenant: "a",
        class: 0,
        size_kb: 1.0,
        source: 1,
        deadline,
        is_retry: false,
    }
}

#[test]
fn a_slot_goes_to_the_next_request_and_returns_from_one_that_left() {
    let setup = Setup {
        slots: 0,
        slow_share: 0.5,
        max_slot_time: 3_000_000,
        max_waiting: 100,
        buckets: 8,
        unnamed_weight: Weight::ONE,
    };
    let local = LocalPool::new(
        1,
        setup,
        CostModel::new(1, 100_000, 3_000_000),
        HeldSlots::unleased(1),
    );
    let pool = Pool::new(1, TenantBy::Class, local, 500_000);
    let long = pool.time_of(Instant::now()) + 60_000_000;
    let (wake, woken) = bounded(2);
    let PoolAdmission::Started(slot) = pool.enter(&request(1, long), &wake) else {
        panic!("a slot is free")
    };
    let first = PoolPermit::new(&pool, slot);
    let PoolAdmission::Queued(_) = pool.enter(&request(2, long), &wake) else {
        panic!("the request waits")
    };
    let (gone, nobody) = bounded(2);
    let PoolAdmission::Queued(_) = pool.enter(&request(3, long), &gone) else {
        panic!("the request waits")
    };
    assert!(
        matches!(
            pool.enter(&request(4, 1), &wake),
            PoolAdmission::Rejected(_)
        ),
        "its deadline has passed"
    );
    assert_eq!(
        [400, 700].map(|ms| pool.rejected(Duration::from_millis(ms)).retry_after),
        [400, 500].map(Duration::from_millis),
        "as the settings allow"
    );
    drop(nobody);
    assert!(woken.try_recv().is_err());
    drop(first);
    let Ok(Wakeup::Granted(slot)) = woken.try_recv() else {
        panic!("the next request is granted the slot")
    };
    // The third request's channel is closed: its slot is released at once.
    drop(PoolPermit::new(&pool, slot));
    assert_eq!(pool.state().local.sizes(), [0, 0]);
    assert!(matches!(
        pool.enter(&request(5, long), &wake),
        PoolAdmission::Started(_)
    ));
}
