//! Each check passes on the unmodified crate; the same checks must find the planted faults (`planted.rs`).

mod common;
use common::checks::*;
use common::percentile;
use common::queue_simulation::{QueueSimulation, Tenant};
use foldmux_fair_queue::queue::{Admission, Dispatch, Queue, SlotRequest};
use foldmux_fair_queue::tenants::Weight;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn busy_tenants_share_by_slot_time() {
    charged_by_slot_time().unwrap();
    mispredicted_cost().unwrap();
}

#[test]
fn retries_keep_their_place_and_credit_is_bounded() {
    retries_keep_their_place().unwrap();
    bounded_credit().unwrap();
}

#[test]
fn slow_requests_are_bounded_while_quick_ones_wait() {
    slow_requests_are_bounded().unwrap();
}

#[test]
fn invented_tenant_names_share_one_weight() {
    invented_names_share_one_weight().unwrap();
}

#[test]
fn fleet_never_exceeds_the_pool_under_crashes_pauses_and_partitions() {
    (0..4).for_each(|seed| fleet_never_exceeds_pool(seed, 2_000, false).unwrap());
    (4..6).for_each(|seed| fleet_never_exceeds_pool(seed, 90_000, false).unwrap());
}

#[test]
fn fleet_never_exceeds_the_pool_when_all_replicas_lose_their_state() {
    (0..3).for_each(|seed| fleet_never_exceeds_pool(seed, 2_000, true).unwrap());
}

#[test]
fn false_digests_harm_only_while_they_last() {
    false_digests_are_bounded().unwrap();
}

/// Large objects of tenants that also request small ones get at least a third of the slot time that they get alone.
#[test]
fn large_objects_are_not_starved() {
    let small = |n: usize| Tenant::new(&format!("t{}", n % 4), 30, (10_000, 30_000));
    let large = |n: usize| Tenant::new(&format!("t{}", n % 4), 10, (300_000, 900_000));
    let slot_time = |tenants: Vec<Tenant>, of: std::ops::Range<usize>| {
        let mut queue_sim = QueueSimulation::new(12, tenants, 9);
        queue_sim.run(60_000_000);
        queue_sim.time[of].iter().sum::<u64>()
    };
    let alone = slot_time((0..4).map(large).collect(), 0..4);
    let mixed = slot_time((0..4).map(small).chain((0..4).map(large)).collect(), 4..8);
    assert!(mixed * 100 >= alone * 33, "{mixed} of {alone}");
}

#[test]
fn zero_weight_tenant_is_served_only_when_no_other_waits() {
    let idle = Tenant {
        weight: 0.0,
        ..Tenant::new("idle", 20, (20_000, 40_000))
    };
    let mut queue_sim =
        QueueSimulation::new(4, vec![idle, Tenant::new("t", 0, (20_000, 40_000))], 2);
    queue_sim.run(1_000_000);
    assert!(
        queue_sim.time[0] > 3_900_000,
        "alone it gets all slots: {}",
        queue_sim.time[0]
    );
    (0..400).for_each(|_| {
        queue_sim.enter(1, false);
    });
    let before = queue_sim.time[0];
    queue_sim.run(3_000_000);
    assert!(
        queue_sim.time[0] - before < 200_000,
        "only running requests finish: {}",
        queue_sim.time[0] - before
    );
    assert!(percentile(&queue_sim.waits[1][..1], 99) <= 40_000);
}

#[test]
fn changed_weights_apply_while_requests_wait() {
    let tenants = (0..2)
        .map(|n| Tenant::new(&format!("t{n}"), 40, (20_000, 40_000)))
        .collect();
    let mut queue_sim = QueueSimulation::new(4, tenants, 2);
    queue_sim.run(10_000_000);
    let before = queue_sim.time.clone();
    let weights = |pairs: &[(&str, f64)]| -> BTreeMap<_, _> {
        pairs
            .iter()
            .map(|(name, w)| ((*name).into(), Weight::from_f64(*w)))
            .collect()
    };
    queue_sim.queue.set_weights(
        queue_sim.now,
        &weights(&[("t0", 3.0), ("t1", 1.0), ("new", 1.0)]),
        Weight::ONE,
    );
    queue_sim.run(30_000_000);
    let got: Vec<f64> = (0..2)
        .map(|at| (queue_sim.time[at] - before[at]) as f64)
        .collect();
    assert!((2.85..3.15).contains(&(got[0] / got[1])), "{got:?}");
    // Both names are removed while their requests wait: all of them are served, in the order of unnamed tenants.
    queue_sim
        .queue
        .set_weights(queue_sim.now, &weights(&[]), Weight::ONE);
    queue_sim.tenants.iter_mut().for_each(|t| t.open = 0);
    queue_sim.run(60_000_000);
    assert_eq!(queue_sim.queue.sizes(), [0, 0]);
}

#[test]
fn stalled_clock_neither_loses_nor_duplicates_requests() {
    let mut queue = Queue::new(common::queue_simulation::setup(3));
    let mut held = Vec::new();
    for id in 0..3_000 {
        let tenant = ["a", "b", "c"][id as usize % 3];
        let request = SlotRequest {
            id,
            tenant,
            cost: 10_000,
            slow: id % 2 == 0,
            start_deadline: u64::MAX,
            is_retry: false,
        };
        if let Admission::Started(run) = queue.enter(500, &request) {
            held.push(run);
        }
    }
    let mut started = held.len();
    while let Some(run) = held.pop() {
        assert!(held.len() < 3);
        assert_eq!(queue.finish(if started % 2 == 0 { 500 } else { 3 }, run), 1);
        while let Some(Dispatch::Start { run, .. }) = queue.next(500) {
            started += 1;
            held.push(run);
        }
    }
    assert_eq!((started, queue.sizes()), (3_000, [0, 0]));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Against the fluid model, in which tenants that always wait get exactly their weighted share of all slots at
    /// every moment: no tenant lags by more than two longest requests for each tenant, and all slots are in use.
    #[test]
    fn matches_the_fluid_model(
        slots in 1..24usize,
        drawn in proptest::collection::vec((1..9u32, 5_000..400_000u64, 0..300_000u64), 2..10),
        seed: u64,
    ) {
        let tenant = |(n, (weight, min, range)): (usize, &(u32, u64, u64))| Tenant {
            weight: *weight as f64,
            slow: false,
            ..Tenant::new(&format!("t{n}"), 2 * slots + 4, (*min, min + range))
        };
        let tenants: Vec<Tenant> = drawn.iter().enumerate().map(tenant).collect();
        let (weights, longest) = (tenants.iter().map(|t| t.weight).sum::<f64>(), 700_000.0);
        let n = tenants.len() as f64;
        let mut queue_sim = QueueSimulation::new(slots, tenants, seed);
        for second in 1..30 {
            queue_sim.run(second * 1_000_000);
            for (at, tenant) in queue_sim.tenants.iter().enumerate() {
                let fluid = second as f64 * 1e6 * slots as f64 * tenant.weight / weights;
                let lag = fluid - queue_sim.time[at] as f64;
                let max_lag = 2.0 * n * longest + slots as f64 * longest;
                prop_assert!(lag <= max_lag, "{lag} of {max_lag}");
            }
        }
        prop_assert!(queue_sim.busy.0 as f64 >= 0.98 * queue_sim.busy.1 as f64);
    }

    /// A request of a tenant without debt starts within the bound stated in `queue`, whatever the other tenants send.
    #[test]
    fn neighbour_waits_no_longer_than_the_bound(
        slots in 1..12usize,
        drawn in proptest::collection::vec((1..9u32, 5_000..400_000u64, 0..300_000u64, 1..40usize, any::<bool>()), 1..10),
        at in 1_000_000..9_000_000u64,
        seed: u64,
    ) {
        let tenant = |(n, (weight, min, range, open, slow)): (usize, &(u32, u64, u64, usize, bool))| Tenant {
            weight: *weight as f64,
            slow: *slow,
            ..Tenant::new(&format!("t{n}"), *open, (*min, min + range))
        };
        let mut tenants: Vec<Tenant> = drawn.iter().enumerate().map(tenant).collect();
        let others = tenants.len() as u64;
        tenants.push(Tenant::new("neighbour", 0, (10_000, 30_000)));
        let mut queue_sim = QueueSimulation::new(slots, tenants, seed);
        queue_sim.run(at);
        queue_sim.enter(others as usize, false);
        queue_sim.run(at + 40_000_000);
        let bound = 2 * others * 1_000_000 / slots as u64 + 1_000_000;
        prop_assert!(queue_sim.waits[others as usize][0] <= bound);
    }
}
