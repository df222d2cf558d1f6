//! A share of what is common, where the number of routers is told wrongly by ten times either way.

use super::*;
use std::collections::BTreeSet;

/// Most placed on one cold cache in any fall window, over what it bears then; and all that was.
fn worst_on_cold(told: u32) -> (f64, usize) {
    let (choice, list) = fleet(8, 6, 4);
    let mut all = fronts(&choice, 100, 8);
    all.iter_mut().for_each(|s| {
        s.router_count = told;
        s.routers_by_zone = s.routers_by_zone.iter().map(|n| n * told / 100).collect();
        s.index %= told;
    });
    let mut world = World::new(all, &list, 8.0);
    let mut held = |_: &Sent| (Outcome::Served, 60 * MS);
    world.run(20 * SECOND, &mut held);
    let boot = world.now;
    for front in 0..100 {
        let cold = Member {
            started_at: boot,
            ..member(1_000, 2, 0)
        };
        world.tell(
            front,
            Event::Members {
                full: false,
                members: vec![cold],
            },
            &mut held,
        );
    }
    world.run(12 * SECOND, &mut held);
    let times: Vec<Time> = world
        .sent
        .iter()
        .filter(|s| s.at >= boot && s.fetch.cache.0 == 1_000)
        .map(|s| s.at)
        .collect();
    // 13 routers of the zone, 8 requests a second each, over six caches.
    let (share, window) = (
        13.0 * 8.0 / 6.0,
        choice.overload_window as f64 / SECOND as f64,
    );
    let part = |at: Time| {
        let ramp = choice.cache_slow_start_ratio
            + (1.0 - choice.cache_slow_start_ratio) * (at - boot) as f64
                / choice.cache_slow_start_time as f64;
        let sent = times
            .iter()
            .filter(|t| **t <= at && **t + choice.overload_window > at)
            .count();
        sent as f64 / (choice.cache_overload_multiple * ramp * share * window)
    };
    (
        times.iter().map(|at| part(*at)).fold(0.0, f64::max),
        times.len(),
    )
}

#[test]
fn a_cache_in_slow_start_is_not_overloaded_whatever_the_configured_number_of_routers() {
    for told in [10, 100, 1_000] {
        let (worst, all) = worst_on_cold(told);
        println!("{told} told of 100: {worst:.2} of what it bears, {all} in 12 s");
        assert!(worst < 1.0, "{told} told of 100: {worst} of what it bears");
        assert!(all > 20, "{told} told of 100: it is not starved: {all}");
    }
}

#[test]
fn copies_invalidated_at_once_do_not_make_all_routers_fill_from_the_origin_in_step() {
    let (choice, list) = fleet(8, 6, 4);
    let mut world = World::new(fronts(&choice, 100, 8), &list, 8.0);
    world.objects = 400;
    // Caches keep what was filled; a purge voids it all. Fills are counted when they begin.
    let (mut held, mut fills) = (BTreeSet::new(), Vec::new());
    let fate = |held: &mut BTreeSet<(u32, u64)>, fills: &mut Vec<Time>, s: &Sent| {
        if held.contains(&(s.fetch.cache.0, s.object)) {
            return (Outcome::Served, 60 * MS);
        }
        let end = calm(s);
        if end.0 == Outcome::Served {
            fills.push(s.at);
            held.insert((s.fetch.cache.0, s.object));
        }
        end
    };
    world.run(20 * SECOND, &mut |s| fate(&mut held, &mut fills, s));
    let (from, usual) = (
        world.now,
        fills.iter().filter(|at| **at + SECOND > world.now).count(),
    );
    held.clear();
    fills.clear();
    for front in 0..100 {
        let purged = Event::Purged {
            object: None,
            group: 5,
            age: 0,
        };
        world.tell(front, purged, &mut |_| {
            unreachable!("a purge sends nothing by itself")
        });
    }
    let asked = world.asked;
    world.run(3 * SECOND, &mut |s| fate(&mut held, &mut fills, s));
    let by_second: Vec<usize> = (0..3)
        .map(|n| {
            fills
                .iter()
                .filter(|at| (**at - from) / SECOND == n)
                .count()
        })
        .collect();
    let (most, all) = busiest(&fills, 50 * MS);
    println!("fills: {usual} in the second before, then {by_second:?}, {most} within 50 ms");
    assert!(all > 300, "{all}");
    // Forty requests come in 50 ms.
    assert!(most <= 70, "{most} of {all} fills within 50 ms");
    assert!(all < world.asked - asked);
    assert!(by_second[2] < by_second[0], "{by_second:?}");
}
