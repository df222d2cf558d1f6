//! A pool at one process: a permit goes to the next that waits, and back from one that left.

use super::*;
use crossbeam_channel::bounded;
use foldmux_fair_queue::queue::Setup;
use foldmux_fair_queue::slow::Figures;
use foldmux_fair_queue::Stock;

fn request(id: u64, deadline: Time) -> Request<'static> {
    Request {
        id,
        tenant: "a",
        class: 0,
        size_kb: 1.0,
        source: 1,
        deadline,
        repeat: false,
    }
}

#[test]
fn a_slot_goes_to_whoever_waits_and_comes_back_from_one_that_left() {
    let setup = Setup {
        slots: 0,
        slow_share: 0.5,
        longest: 3_000_000,
        waiting: 100,
        buckets: 8,
        unnamed: Weight::ONE,
    };
    let local = Local::new(1, setup, Figures::new(1, 100_000, 3_000_000), Stock::own(1));
    let pool = Pool::new(1, By::Class, local, 500_000);
    let long = pool.at(Instant::now()) + 60_000_000;
    let (tell, told) = bounded(2);
    let Asked::Now(used) = pool.enter(&request(1, long), &tell) else {
        panic!("a slot is free")
    };
    let first = PoolPermit::new(&pool, used);
    let Asked::Waits(_) = pool.enter(&request(2, long), &tell) else {
        panic!("it waits")
    };
    let (gone, nobody) = bounded(2);
    let Asked::Waits(_) = pool.enter(&request(3, long), &gone) else {
        panic!("it waits")
    };
    assert!(
        matches!(pool.enter(&request(4, 1), &tell), Asked::Refused(_)),
        "its time is over"
    );
    assert_eq!(
        [400, 700].map(|ms| pool.rejected(Duration::from_millis(ms)).retry_after),
        [400, 500].map(Duration::from_millis),
        "as the settings allow"
    );
    drop(nobody);
    assert!(told.try_recv().is_err());
    drop(first);
    let Ok(Wakeup::Granted(used)) = told.try_recv() else {
        panic!("the next has its turn")
    };
    // The third is gone with its channel: its slot comes back at once.
    drop(PoolPermit::new(&pool, used));
    assert_eq!(pool.state().local.sizes(), [0, 0]);
    assert!(matches!(
        pool.enter(&request(5, long), &tell),
        Asked::Now(_)
    ));
}
