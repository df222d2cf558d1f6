//! A cache that was out, and a zone that is lost: attempts at what does not answer are handshakes for nothing.

use super::*;
use std::collections::BTreeMap;

/// When all routers asked this cache in vain.
fn dials(world: &World, cache: u32, from: Time) -> Vec<Time> {
    world
        .sent
        .iter()
        .filter(|s| s.at >= from && s.fetch.cache.0 == cache)
        .map(|s| s.at)
        .collect()
}

#[test]
fn an_ejected_cache_is_tried_by_routers_at_different_times_and_by_each_about_once_a_second() {
    let (choice, list) = fleet(8, 6, 4);
    let mut world = World::new(fronts(&choice, 100, 8), &list, 8.0);
    world.run(5 * SECOND, &mut calm);
    let from = world.now;
    let mut out = |s: &Sent| match s.fetch.cache.0 {
        1_000 => (Outcome::ConnectFailed, MS),
        _ => calm(s),
    };
    world.run(6 * SECOND, &mut out);
    // 13 routers of its zone; each tries once, and then once in each second of shunning at most.
    let times = dials(&world, 1_000, from);
    let mut by_front: BTreeMap<usize, Vec<Time>> = BTreeMap::new();
    world
        .sent
        .iter()
        .filter(|s| s.at >= from && s.fetch.cache.0 == 1_000)
        .for_each(|s| {
            by_front.entry(s.front).or_default().push(s.at);
        });
    assert!(by_front.values().all(|t| t.len() <= 7), "{by_front:?}");
    let (most, all) = busiest(&times, 100 * MS);
    assert!(all > 13 && most <= 6, "{most} of {all} tries within 100 ms");
    // It is used again by all once it answers.
    world.run(3 * SECOND, &mut calm);
    let back = world.now;
    world.run(4 * SECOND, &mut calm);
    let again = world.count(back, |s| (s.fetch.cache.0 == 1_000).then_some(s.front));
    assert!(again.len() >= 12, "{} of 13 use it again", again.len());
}

#[test]
fn a_lost_zone_costs_each_router_a_bounded_number_of_handshakes_and_recovers() {
    let (choice, list) = fleet(8, 6, 4);
    let mut world = World::new(fronts(&choice, 100, 8), &list, 8.0);
    world.run(5 * SECOND, &mut calm);
    let (from, asked) = (world.now, world.asked);
    let mut lost = |s: &Sent| match s.fetch.cache.0 {
        1_000..1_100 => (Outcome::ConnectFailed, MS),
        _ => calm(s),
    };
    world.run(5 * SECOND, &mut lost);
    let in_zone = |s: &Sent| (1_000..1_100).contains(&s.fetch.cache.0).then_some(s.front);
    let (dials, wanted) = (world.count(from, in_zone), world.asked - asked);
    let all = dials.values().sum::<usize>();
    println!("{all} dials, {wanted} requests of all zones in 5 s: {dials:?}");
    // Each router has 30 attempts saved, and each request earns a quarter of one.
    let most = 5 * 8 * 5 / 4 + 30 + 10;
    assert!(dials.values().all(|n| *n <= most), "over {most}: {dials:?}");
    // What was saved is spent by then.
    let (from, asked) = (world.now, world.asked);
    world.run(5 * SECOND, &mut lost);
    let (later, wanted) = (
        world.count(from, in_zone).values().sum::<usize>(),
        (world.asked - asked) * 13 / 100,
    );
    println!("{later} dials for {wanted} requests in the next 5 s");
    assert!(
        later * 2 < wanted * 3,
        "{later} dials for {wanted} requests"
    );
    let from = world.now;
    world.run(3 * SECOND, &mut calm);
    let served = world.count(from + SECOND, in_zone);
    assert!(
        served.len() >= 12,
        "{} routers use the zone again",
        served.len()
    );
}
