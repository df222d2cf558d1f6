//! Pools under kills, pauses and cuts, and tenants that always wait, with real processes.

use foldmux_fakes::rpc::Said;
use foldmux_harness::check::read;
use foldmux_harness::line::Way;
use foldmux_harness::neighbours::{manner, plan, start, Scene};
use foldmux_harness::{Fleet, Plan};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

const PATIENCE: Duration = Duration::from_millis(1_500);
/// Of the pool: twice the longest deadline and the fleet's own.
const LEASE: Duration = Duration::from_millis(6_500);

fn scene(processes: usize, slots: u64) -> Plan {
    plan(&Scene {
        processes,
        slots,
        times: 0,
        fair: true,
        seed: 9,
        time: Duration::ZERO,
    })
}

fn asks_on(fleet: &Fleet, process: usize, tenant: usize, over: &AtomicBool, count: &AtomicU64) {
    let mut customer = fleet.customer(2 * PATIENCE);
    for object in 0.. {
        if over.load(Ordering::SeqCst) {
            return;
        }
        match customer.once(process, &manner(tenant, PATIENCE), object % 64, None) {
            Some(Said::Served(_)) => drop(count.fetch_add(1, Ordering::SeqCst)),
            _ => thread::sleep(Duration::from_millis(10)),
        }
    }
}

/// One is killed, one is stopped and one is cut off from its peers, each for longer than the pool's lease, under requests.
#[test]
fn the_cap_holds_under_a_kill_a_pause_and_a_cut() {
    let fleet = start(&scene(4, 4)).unwrap();
    let (over, counts) = (AtomicBool::new(false), [const { AtomicU64::new(0) }; 4]);
    thread::scope(|scope| {
        for client in 0..12 {
            let (fleet, over, count) = (&fleet, &over, &counts[client % 4]);
            scope.spawn(move || asks_on(fleet, client % 4, 1 + client % 3, over, count));
        }
        fleet.kill(1);
        fleet.pause(2).unwrap();
        (0..4)
            .filter(|n| *n != 3)
            .for_each(|n| fleet.cut(3, n, Way::Both));
        // The faults' own length: the lease, and a request that began within it.
        thread::sleep(LEASE + Duration::from_millis(300));
        let held = counts[3].load(Ordering::SeqCst);
        thread::sleep(Duration::from_millis(700));
        // Cut off, it used what it surely held and no more.
        assert_eq!(counts[3].load(Ordering::SeqCst), held);
        (0..3).for_each(|n| fleet.heal(3, n));
        fleet.wake(2).unwrap();
        fleet.restart(1).unwrap();
        let before: Vec<u64> = counts.iter().map(|c| c.load(Ordering::SeqCst)).collect();
        let all = || {
            counts
                .iter()
                .zip(&before)
                .all(|(c, before)| c.load(Ordering::SeqCst) > *before)
        };
        let began = Instant::now();
        while !all() && began.elapsed() < Duration::from_secs(9) {
            thread::sleep(Duration::from_millis(10));
        }
        over.store(true, Ordering::SeqCst);
        assert!(all(), "{before:?}, then {counts:?}");
    });
    let verdict = read(&fleet.record().lines().unwrap());
    assert_eq!(
        (verdict.cap_overrun, verdict.kills, verdict.pauses),
        (0, 1, 1),
        "{verdict}"
    );
}

/// Three tenants that always wait, one with four times the clients of another: equal shares.
#[test]
fn tenants_that_always_wait_share_alike() {
    let mut plan = scene(3, 4);
    plan.archive.slow = None;
    let fleet = start(&plan).unwrap();
    let (over, counts) = (AtomicBool::new(false), [const { AtomicU64::new(0) }; 3]);
    thread::scope(|scope| {
        for (at, clients) in [36, 72, 144].into_iter().enumerate() {
            for client in 0..clients {
                let (fleet, over, count) = (&fleet, &over, &counts[at]);
                scope.spawn(move || asks_on(fleet, client % 3, 1 + at, over, count));
            }
        }
        // For a given time: what is compared is what each got in it.
        thread::sleep(Duration::from_secs(5));
        over.store(true, Ordering::SeqCst);
    });
    let got: Vec<f64> = counts
        .iter()
        .map(|count| count.load(Ordering::SeqCst) as f64)
        .collect();
    let (sum, squares): (f64, f64) = (got.iter().sum(), got.iter().map(|n| n * n).sum());
    let jain = sum * sum / (3.0 * squares);
    println!("served {got:?}: Jain's index {jain:.3}");
    assert!(jain > 0.9, "{got:?}: {jain:.3}");
    assert_eq!(read(&fleet.record().lines().unwrap()).cap_overrun, 0);
}
