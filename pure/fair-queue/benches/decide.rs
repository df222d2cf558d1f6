//! Cost of a decision with 1,000 tenants and 100,000 waiting requests.

use foldmux_fair_queue::queue::{Admission, Dispatch, Queue, RunHandle, Setup, SlotRequest};
use foldmux_fair_queue::tenants::Weight;
use std::collections::{BTreeMap, VecDeque};
use std::time::Instant;

fn queue(tenants: usize) -> (Queue, Vec<String>) {
    let setup = Setup {
        slots: 64,
        slow_share: 0.5,
        max_slot_time: 3_000_000,
        max_waiting: 200_000,
        buckets: 1_024,
        unnamed_weight: Weight::ONE,
    };
    let mut queue = Queue::new(setup);
    let names: Vec<String> = (0..tenants).map(|n| format!("tenant-{n}")).collect();
    let named: BTreeMap<_, _> = names
        .iter()
        .map(|n| (n.as_str().into(), Weight::ONE))
        .collect();
    queue.set_weights(0, &named, Weight::ONE);
    (queue, names)
}

/// Rounds of one request entering, one ending and one being dispatched. Returns the mean and the 99th percentile of a
/// round, in nanoseconds.
fn rounds(tenants: usize, waiting: usize) -> (f64, u128) {
    let (mut queue, names) = queue(tenants);
    let mut held: VecDeque<RunHandle> = VecDeque::new();
    let (mut draw, mut id, mut now) = (1u64, 0, 1_000);
    let mut next = move || {
        draw ^= draw << 13;
        draw ^= draw >> 7;
        draw ^= draw << 17;
        draw
    };
    let mut enter = |queue: &mut Queue, held: &mut VecDeque<RunHandle>, now| {
        let (tenant, cost) = (
            &names[next() as usize % names.len()],
            5_000 + next() % 200_000,
        );
        id += 1;
        let request = SlotRequest {
            id,
            tenant,
            cost,
            slow: cost > 100_000,
            start_deadline: u64::MAX,
            is_retry: false,
        };
        match queue.enter(now, &request) {
            Admission::Started(run) => held.push_back(run),
            Admission::Queued(_) => {}
            Admission::Rejected { .. } => panic!("the queue has room"),
        }
    };
    (0..waiting + 64).for_each(|_| enter(&mut queue, &mut held, now));
    let mut took = Vec::new();
    let all = Instant::now();
    for _ in 0..300_000 {
        now += 1_000;
        let began = Instant::now();
        enter(&mut queue, &mut held, now);
        let run = held.pop_front().expect("all slots are in use");
        queue.finish(now, run);
        if let Some(Dispatch::Start { run, .. }) = queue.next(now) {
            held.push_back(run);
        }
        took.push(began.elapsed().as_nanos());
    }
    let mean = all.elapsed().as_nanos() as f64 / took.len() as f64;
    took.sort_unstable();
    (mean, took[took.len() * 99 / 100])
}

fn main() {
    println!("a round is three calls: enter, finish and next");
    for (tenants, waiting) in [(10, 1_000), (100, 10_000), (1_000, 100_000)] {
        let (mean, p99) = rounds(tenants, waiting);
        let call = mean / 3.0;
        println!("{tenants:>5} tenants {waiting:>7} waiting: {mean:>6.0} ns a round, {call:>5.0} ns a call, p99 of a round {p99} ns");
    }
}
