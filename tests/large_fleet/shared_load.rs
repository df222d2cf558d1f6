//! Load that many routers together put on a server in slow start and on the origin, also with a configured number of
//! routers that is wrong by a factor of ten.

use super::*;
use std::collections::BTreeSet;

/// The highest load of a restarted cache within an overload window, as a ratio of its capacity at that time, and the
/// number of all attempts at it.
fn worst_on_newcomer(configured: u32) -> (f64, usize) {
    let (config, list) = fleet(8, 6, 4);
    let mut all = router_settings(&config, 100, 8);
    all.iter_mut().for_each(|s| {
        s.router_count = configured;
        s.routers_by_zone = s
            .routers_by_zone
            .iter()
            .map(|n| n * configured / 100)
            .collect();
        s.index %= configured;
    });
    let mut simulation = Simulation::new(all, &list, 8.0);
    let mut hit = |_: &SentAttempt| (Outcome::Served, 60 * MS);
    simulation.run(20 * SECOND, &mut hit);
    let started_at = simulation.now;
    for router in 0..100 {
        let newcomer = Member {
            started_at,
            ..member(1_000, 2, 0)
        };
        simulation.deliver(
            router,
            Event::Members {
                full: false,
                members: vec![newcomer],
            },
            &mut hit,
        );
    }
    simulation.run(12 * SECOND, &mut hit);
    let times: Vec<Time> = simulation
        .sent
        .iter()
        .filter(|s| s.at >= started_at && s.fetch.cache.0 == 1_000)
        .map(|s| s.at)
        .collect();
    // 13 routers of the zone, with 8 requests per second each, over six caches.
    let (share, window) = (
        13.0 * 8.0 / 6.0,
        config.overload_window as f64 / SECOND as f64,
    );
    let load_ratio = |at: Time| {
        let ramp = config.cache_slow_start_ratio
            + (1.0 - config.cache_slow_start_ratio) * (at - started_at) as f64
                / config.cache_slow_start_time as f64;
        let sent = times
            .iter()
            .filter(|t| **t <= at && **t + config.overload_window > at)
            .count();
        sent as f64 / (config.cache_overload_multiple * ramp * share * window)
    };
    (
        times.iter().map(|at| load_ratio(*at)).fold(0.0, f64::max),
        times.len(),
    )
}

#[test]
fn a_cache_in_slow_start_is_not_overloaded_whatever_the_configured_number_of_routers() {
    for configured in [10, 100, 1_000] {
        let (worst, all) = worst_on_newcomer(configured);
        println!("{configured} of 100 routers configured: {worst:.2} of the capacity, {all} attempts in 12 s");
        assert!(
            worst < 1.0,
            "{configured} of 100 routers configured: {worst} of the capacity"
        );
        assert!(
            all > 20,
            "{configured} of 100 routers configured: the cache is starved: {all}"
        );
    }
}

#[test]
fn copies_invalidated_at_once_do_not_make_all_routers_fill_from_the_origin_in_step() {
    let (config, list) = fleet(8, 6, 4);
    let mut simulation = Simulation::new(router_settings(&config, 100, 8), &list, 8.0);
    simulation.object_count = 400;
    // Caches store what was filled until the purge. Fills are counted when they begin.
    let (mut stored, mut fills) = (BTreeSet::new(), Vec::new());
    let outcome_of = |stored: &mut BTreeSet<(u32, u64)>, fills: &mut Vec<Time>, s: &SentAttempt| {
        if stored.contains(&(s.fetch.cache.0, s.object)) {
            return (Outcome::Served, 60 * MS);
        }
        let outcome = healthy(s);
        if outcome.0 == Outcome::Served {
            fills.push(s.at);
            stored.insert((s.fetch.cache.0, s.object));
        }
        outcome
    };
    simulation.run(20 * SECOND, &mut |s| outcome_of(&mut stored, &mut fills, s));
    let (from, before) = (
        simulation.now,
        fills
            .iter()
            .filter(|at| **at + SECOND > simulation.now)
            .count(),
    );
    stored.clear();
    fills.clear();
    for router in 0..100 {
        let purged = Event::Purged {
            object: None,
            group: 5,
            age: 0,
        };
        simulation.deliver(router, purged, &mut |_| {
            unreachable!("a purge sends no attempts")
        });
    }
    let request_count = simulation.request_count;
    simulation.run(3 * SECOND, &mut |s| outcome_of(&mut stored, &mut fills, s));
    let by_second: Vec<usize> = (0..3)
        .map(|n| {
            fills
                .iter()
                .filter(|at| (**at - from) / SECOND == n)
                .count()
        })
        .collect();
    let (most, all) = busiest_window(&fills, 50 * MS);
    println!("fills: {before} in the second before, then {by_second:?}, {most} within 50 ms");
    assert!(all > 300, "{all}");
    // 40 requests arrive within 50 ms.
    assert!(most <= 70, "{most} of {all} fills within 50 ms");
    assert!(all < simulation.request_count - request_count);
    assert!(by_second[2] < by_second[0], "{by_second:?}");
}
