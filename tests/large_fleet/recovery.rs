//! Recovery of a failed cache and of a failed zone: attempts at servers that refuse connections must be few.

use super::*;
use std::collections::BTreeMap;

/// The times of all routers' attempts at this cache.
fn attempt_times(simulation: &Simulation, cache: u32, from: Time) -> Vec<Time> {
    simulation
        .sent
        .iter()
        .filter(|s| s.at >= from && s.fetch.cache.0 == cache)
        .map(|s| s.at)
        .collect()
}

#[test]
fn an_ejected_cache_is_tried_by_routers_at_different_times_and_by_each_about_once_a_second() {
    let (config, list) = fleet(8, 6, 4);
    let mut simulation = Simulation::new(router_settings(&config, 100, 8), &list, 8.0);
    simulation.run(5 * SECOND, &mut healthy);
    let from = simulation.now;
    let mut failing = |s: &SentAttempt| match s.fetch.cache.0 {
        1_000 => (Outcome::ConnectFailed, MS),
        _ => healthy(s),
    };
    simulation.run(6 * SECOND, &mut failing);
    // 13 routers of its zone; each sends one attempt, then at most one per ejection of 1 s.
    let times = attempt_times(&simulation, 1_000, from);
    let mut by_router: BTreeMap<usize, Vec<Time>> = BTreeMap::new();
    simulation
        .sent
        .iter()
        .filter(|s| s.at >= from && s.fetch.cache.0 == 1_000)
        .for_each(|s| {
            by_router.entry(s.router).or_default().push(s.at);
        });
    assert!(by_router.values().all(|t| t.len() <= 7), "{by_router:?}");
    let (most, all) = busiest_window(&times, 100 * MS);
    assert!(
        all > 13 && most <= 6,
        "{most} of {all} attempts within 100 ms"
    );
    // All routers use it again once it responds.
    simulation.run(3 * SECOND, &mut healthy);
    let from = simulation.now;
    simulation.run(4 * SECOND, &mut healthy);
    let used_by = simulation.count_sent(from, |s| (s.fetch.cache.0 == 1_000).then_some(s.router));
    assert!(used_by.len() >= 12, "{} of 13 use it again", used_by.len());
}

#[test]
fn a_lost_zone_costs_each_router_a_bounded_number_of_handshakes_and_recovers() {
    let (config, list) = fleet(8, 6, 4);
    let mut simulation = Simulation::new(router_settings(&config, 100, 8), &list, 8.0);
    simulation.run(5 * SECOND, &mut healthy);
    let (from, request_count) = (simulation.now, simulation.request_count);
    let mut failing_zone = |s: &SentAttempt| match s.fetch.cache.0 {
        1_000..1_100 => (Outcome::ConnectFailed, MS),
        _ => healthy(s),
    };
    simulation.run(5 * SECOND, &mut failing_zone);
    let in_zone = |s: &SentAttempt| {
        (1_000..1_100)
            .contains(&s.fetch.cache.0)
            .then_some(s.router)
    };
    let (attempts, requests) = (
        simulation.count_sent(from, in_zone),
        simulation.request_count - request_count,
    );
    let all = attempts.values().sum::<usize>();
    println!("{all} attempts, {requests} requests of all zones in 5 s: {attempts:?}");
    // Each router's retry budget starts with 30 tokens, and each request adds a quarter of a token.
    let most = 5 * 8 * 5 / 4 + 30 + 10;
    assert!(
        attempts.values().all(|n| *n <= most),
        "more than {most}: {attempts:?}"
    );
    // The initial tokens are used up by then.
    let (from, request_count) = (simulation.now, simulation.request_count);
    simulation.run(5 * SECOND, &mut failing_zone);
    let (later, requests) = (
        simulation.count_sent(from, in_zone).values().sum::<usize>(),
        (simulation.request_count - request_count) * 13 / 100,
    );
    println!("{later} attempts for {requests} requests in the next 5 s");
    assert!(
        later * 2 < requests * 3,
        "{later} attempts for {requests} requests"
    );
    let from = simulation.now;
    simulation.run(3 * SECOND, &mut healthy);
    let served = simulation.count_sent(from + SECOND, in_zone);
    assert!(
        served.len() >= 12,
        "{} routers use the zone again",
        served.len()
    );
}
