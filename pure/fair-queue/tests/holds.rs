//! Each check of the sound crate; the same ones find the planted faults (`planted.rs`).

mod common;
use common::checks::*;
use common::one::{One, Tenant};
use common::percentile;
use foldmux_fair_queue::queue::{Entered, Next, Queue, Wish};
use foldmux_fair_queue::tenants::Weight;
use proptest::prelude::*;
use std::collections::BTreeMap;

#[test]
fn tenants_that_always_wait_share_by_slot_time() {
    by_time().unwrap();
    foretold_wrongly().unwrap();
}

#[test]
fn a_repeat_passes_nobody_and_one_held_back_has_no_credit() {
    repeats_in_turn().unwrap();
    held_back_is_no_credit().unwrap();
}

#[test]
fn slow_ones_have_a_part_while_quick_ones_wait() {
    slow_have_a_part().unwrap();
}

#[test]
fn invented_names_take_from_the_unnamed_alone() {
    invented_names().unwrap();
}

#[test]
fn a_fleet_keeps_its_cap_under_kills_pauses_and_cuts() {
    (0..4).for_each(|seed| fleet_keeps_its_cap(seed, 2_000, false).unwrap());
    (4..6).for_each(|seed| fleet_keeps_its_cap(seed, 90_000, false).unwrap());
}

#[test]
fn a_fleet_whose_seats_all_start_anew_keeps_its_cap() {
    (0..3).for_each(|seed| fleet_keeps_its_cap(seed, 2_000, true).unwrap());
}

#[test]
fn a_liar_harms_for_as_long_as_it_lies() {
    a_liar_is_bounded().unwrap();
}

/// The largest objects of tenants that send small ones too get a third, at least, of what they get alone.
#[test]
fn large_objects_are_not_starved() {
    let small = |n: usize| Tenant::new(&format!("t{}", n % 4), 30, (10_000, 30_000));
    let large = |n: usize| Tenant::new(&format!("t{}", n % 4), 10, (300_000, 900_000));
    let slot_time = |tenants: Vec<Tenant>, of: std::ops::Range<usize>| {
        let mut one = One::new(12, tenants, 9);
        one.run(60_000_000);
        one.time[of].iter().sum::<u64>()
    };
    let alone = slot_time((0..4).map(large).collect(), 0..4);
    let mixed = slot_time((0..4).map(small).chain((0..4).map(large)).collect(), 4..8);
    assert!(mixed * 100 >= alone * 33, "{mixed} of {alone}");
}

#[test]
fn one_of_no_weight_is_served_where_nothing_else_waits() {
    let idle = Tenant {
        weight: 0.0,
        ..Tenant::new("idle", 20, (20_000, 40_000))
    };
    let mut one = One::new(4, vec![idle, Tenant::new("t", 0, (20_000, 40_000))], 2);
    one.run(1_000_000);
    assert!(one.time[0] > 3_900_000, "alone it has all: {}", one.time[0]);
    (0..400).for_each(|_| {
        one.ask(1, false);
    });
    let before = one.time[0];
    one.run(3_000_000);
    assert!(
        one.time[0] - before < 200_000,
        "only what ran ended: {}",
        one.time[0] - before
    );
    assert!(percentile(&one.waits[1][..1], 99) <= 40_000);
}

#[test]
fn weights_that_change_while_requests_wait_hold_from_then_on() {
    let tenants = (0..2)
        .map(|n| Tenant::new(&format!("t{n}"), 40, (20_000, 40_000)))
        .collect();
    let mut one = One::new(4, tenants, 2);
    one.run(10_000_000);
    let before = one.time.clone();
    let weights = |pairs: &[(&str, f64)]| -> BTreeMap<_, _> {
        pairs
            .iter()
            .map(|(name, w)| ((*name).into(), Weight::of(*w)))
            .collect()
    };
    one.queue.retune(
        one.now,
        &weights(&[("t0", 3.0), ("t1", 1.0), ("new", 1.0)]),
        Weight::ONE,
    );
    one.run(30_000_000);
    let got: Vec<f64> = (0..2)
        .map(|at| (one.time[at] - before[at]) as f64)
        .collect();
    assert!((2.85..3.15).contains(&(got[0] / got[1])), "{got:?}");
    // Both names go, with their requests in the queue: all are served, in the order of the unnamed.
    one.queue.retune(one.now, &weights(&[]), Weight::ONE);
    one.tenants.iter_mut().for_each(|t| t.open = 0);
    one.run(60_000_000);
    assert_eq!(one.queue.sizes(), [0, 0]);
}

#[test]
fn a_clock_that_stands_still_loses_and_invents_nothing() {
    let mut queue = Queue::new(common::one::setup(3));
    let mut held = Vec::new();
    for id in 0..3_000 {
        let tenant = ["a", "b", "c"][id as usize % 3];
        let wish = Wish {
            id,
            tenant,
            cost: 10_000,
            slow: id % 2 == 0,
            latest: u64::MAX,
            repeat: false,
        };
        if let Entered::Now(place) = queue.enter(500, &wish) {
            held.push(place);
        }
    }
    let mut started = held.len();
    while let Some(place) = held.pop() {
        assert!(held.len() < 3);
        assert_eq!(
            queue.ended(if started % 2 == 0 { 500 } else { 3 }, place),
            1
        );
        while let Some(Next::Start { place, .. }) = queue.next(500) {
            started += 1;
            held.push(place);
        }
    }
    assert_eq!((started, queue.sizes()), (3_000, [0, 0]));
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(48))]

    /// Beside the fluid model, in which tenants that always wait get exactly their weights' parts of all slots at every
    /// moment: none is more than two longest requests for each tenant behind; all slots are in use.
    #[test]
    fn as_the_fluid_model(
        slots in 1..24usize,
        drawn in proptest::collection::vec((1..9u32, 5_000..400_000u64, 0..300_000u64), 2..10),
        seed: u64,
    ) {
        let tenant = |(n, (weight, least, more)): (usize, &(u32, u64, u64))| Tenant {
            weight: *weight as f64,
            slow: false,
            ..Tenant::new(&format!("t{n}"), 2 * slots + 4, (*least, least + more))
        };
        let tenants: Vec<Tenant> = drawn.iter().enumerate().map(tenant).collect();
        let (weights, longest) = (tenants.iter().map(|t| t.weight).sum::<f64>(), 700_000.0);
        let n = tenants.len() as f64;
        let mut one = One::new(slots, tenants, seed);
        for second in 1..30 {
            one.run(second * 1_000_000);
            for (at, tenant) in one.tenants.iter().enumerate() {
                let fluid = second as f64 * 1e6 * slots as f64 * tenant.weight / weights;
                let behind = fluid - one.time[at] as f64;
                let most = 2.0 * n * longest + slots as f64 * longest;
                prop_assert!(behind <= most, "{behind} of {most}");
            }
        }
        prop_assert!(one.busy.0 as f64 >= 0.98 * one.busy.1 as f64);
    }

    /// One that comes with no debt starts within the stated bound, whatever the others ask.
    #[test]
    fn a_neighbour_waits_no_longer_than_the_bound(
        slots in 1..12usize,
        drawn in proptest::collection::vec((1..9u32, 5_000..400_000u64, 0..300_000u64, 1..40usize, any::<bool>()), 1..10),
        at in 1_000_000..9_000_000u64,
        seed: u64,
    ) {
        let tenant = |(n, (weight, least, more, open, slow)): (usize, &(u32, u64, u64, usize, bool))| Tenant {
            weight: *weight as f64,
            slow: *slow,
            ..Tenant::new(&format!("t{n}"), *open, (*least, least + more))
        };
        let mut tenants: Vec<Tenant> = drawn.iter().enumerate().map(tenant).collect();
        let others = tenants.len() as u64;
        tenants.push(Tenant::new("neighbour", 0, (10_000, 30_000)));
        let mut one = One::new(slots, tenants, seed);
        one.run(at);
        one.ask(others as usize, false);
        one.run(at + 40_000_000);
        let bound = 2 * others * 1_000_000 / slots as u64 + 1_000_000;
        prop_assert!(one.waits[others as usize][0] <= bound);
    }
}
