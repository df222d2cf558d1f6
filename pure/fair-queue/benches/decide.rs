//! What one decision costs with 1,000 tenants and 100,000 waiting.

use foldmux_fair_queue::queue::{Entered, Next, Place, Queue, Setup, Wish};
use foldmux_fair_queue::tenants::Weight;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

fn queue(tenants: usize) -> (Queue, Vec<String>) {
    let setup = Setup {
        slots: 64,
        slow_share: 0.5,
        longest: 3_000_000,
        waiting: 200_000,
        buckets: 1_024,
        unnamed: Weight::ONE,
    };
    let mut queue = Queue::new(setup);
    let names: Vec<String> = (0..tenants).map(|n| format!("tenant-{n}")).collect();
    let named: BTreeMap<_, _> = names
        .iter()
        .map(|n| (n.as_str().into(), Weight::ONE))
        .collect();
    queue.retune(0, &named, Weight::ONE);
    (queue, names)
}

/// Rounds of: one comes, one ends, who goes next. Mean and the 99th percentile of a round, in nanoseconds.
fn rounds(tenants: usize, waiting: usize) -> (f64, u128) {
    let (mut queue, names) = queue(tenants);
    let mut held: VecDeque<Place> = VecDeque::new();
    let (mut draw, mut id, mut now) = (1u64, 0, 1_000);
    let mut next = move || {
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        draw
    };
    let mut enter = |queue: &mut Queue, held: &mut VecDeque<Place>, now| {
        let (tenant, cost) = (
            &names[next() as usize % names.len()],
            5_000 + next() % 200_000,
        );
        id += 1;
        let wish = Wish {
            id,
            tenant,
            cost,
            slow: cost > 100_000,
            latest: u64::MAX,
            repeat: false,
        };
        match queue.enter(now, &wish) {
            Entered::Now(place) => held.push_back(place),
            Entered::Waits(_) => {}
            Entered::Refused { .. } => panic!("there is room"),
        }
    };
    (0..waiting + 64).for_each(|_| enter(&mut queue, &mut held, now));
    let mut took = Vec::new();
    let all = Instant::now();
    for _ in 0..300_000 {
        now += 1_000;
        let began = Instant::now();
        enter(&mut queue, &mut held, now);
        let place = held.pop_front().expect("all slots are in use");
        queue.ended(now, place);
        if let Some(Next::Start { place, .. }) = queue.next(now) {
            held.push_back(place);
        }
        took.push(began.elapsed().as_nanos());
    }
    let mean = all.elapsed().as_nanos() as f64 / took.len() as f64;
    took.sort_unstable();
    (mean, took[took.len() * 99 / 100])
}

fn main() {
    println!("a round is three calls: one comes (enter), one ends (ended), who goes next (next)");
    for (tenants, waiting) in [(10, 1_000), (100, 10_000), (1_000, 100_000)] {
        let (mean, p99) = rounds(tenants, waiting);
        let call = mean / 3.0;
        println!("{tenants:>5} tenants {waiting:>7} waiting: {mean:>6.0} ns a round, {call:>5.0} ns a call, p99 of a round {p99} ns");
    }
}
