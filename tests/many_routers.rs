//! A hundred independent routers in virtual time. Assertions are on the totals of all routers.
mod common;
use common::*;
use foldmux::interface::*;
use std::collections::BTreeMap;

const ROUTERS: u32 = 100;
const ZONES: u32 = 8;
const CACHES: u32 = 6;

/// Totals of all routers over one second.
#[derive(Default, Debug)]
struct SecondTotals {
    requested: usize,
    rejected: usize,
    by_cache: BTreeMap<u32, usize>,
    by_source: BTreeMap<u32, usize>,
    /// Number of rejections by Retry-After, in steps of 50 ms.
    retry_after_counts: BTreeMap<u64, usize>,
}

/// Eight zones of six caches and 12 or 13 routers, four parents at two hubs, and an origin.
fn hosts() -> Vec<TestHost> {
    let (config, list) = fleet(ZONES, CACHES, 4);
    let of_zone = |z: u32| ROUTERS / ZONES + (z < ROUTERS % ZONES) as u32;
    let routers_by_zone: Vec<u32> = [0, 0].into_iter().chain((0..ZONES).map(of_zone)).collect();
    let base = Settings {
        router_count: ROUTERS,
        routers_by_zone,
        cache_status_detail: CacheStatusDetail::None,
        max_attempts: 4,
        ..config
    };
    let new_host = |index: u32| {
        let config = Settings {
            index,
            zone: 2 + (index % ZONES) as usize,
            ..base.clone()
        };
        let router = foldmux::Router::new(config, 0x51ed_2701 * (index as u64 + 1));
        let mut host = TestHost {
            router,
            now: START,
            last_id: 0,
        };
        host.event(Event::Members {
            full: true,
            members: list.clone(),
        });
        host
    };
    (0..ROUTERS).map(new_host).collect()
}

/// Runs one second, in which each router gets eight requests for new objects. `outcome_of` gives the outcome of an
/// attempt and the time it takes.
fn run_second(
    hosts: &mut [TestHost],
    last_object: &mut u64,
    outcome_of: impl Fn(&Fetch, Time) -> (Outcome, Time),
) -> SecondTotals {
    let mut totals = SecondTotals::default();
    for _ in 0..8 {
        for host in hosts.iter_mut() {
            host.now += SECOND / 8;
            *last_object += 1;
            let mut actions = host.request(0, *last_object).1;
            totals.requested += 1;
            for attempt in 0..8 {
                for action in &actions {
                    if let Action::Reject { retry_after, .. } = action {
                        totals.rejected += 1;
                        *totals
                            .retry_after_counts
                            .entry(retry_after / (50 * MS))
                            .or_default() += 1;
                    }
                }
                let Some(fetch) = fetches(&actions).first().cloned() else {
                    break;
                };
                *totals.by_cache.entry(fetch.cache.0).or_default() += 1;
                *totals.by_source.entry(fetch.source.0).or_default() += 1;
                let (outcome, elapsed) = outcome_of(&fetch, host.now);
                actions =
                    host.outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, elapsed);
            }
            host.event(Event::Timer { token: 1 });
        }
    }
    totals
}

fn is_upper_tier_fill(fetch: &Fetch) -> bool {
    (9..14).contains(&fetch.source.0)
}

/// Outcomes of requests for new objects: siblings have no copies, parents fill in 100 ms and the origin in 90 ms.
fn healthy(fetch: &Fetch, _: Time) -> (Outcome, Time) {
    match fetch.source.0 {
        9 => (Outcome::Served, 140 * MS),
        _ if is_upper_tier_fill(fetch) && !fetch.only_if_cached => (Outcome::Served, 150 * MS),
        _ => (Outcome::Miss, 5 * MS),
    }
}

#[test]
fn failing_parents_do_not_make_a_hundred_routers_reject_what_the_origin_can_serve() {
    let (mut fleet, mut last_object) = (hosts(), 1);
    for _ in 0..5 {
        let totals = run_second(&mut fleet, &mut last_object, healthy);
        assert_eq!(totals.rejected, 0, "a second without failures: {totals:?}");
    }
    let parents_down = |fetch: &Fetch, now: Time| match (fetch.source.0, is_upper_tier_fill(fetch))
    {
        (10..=13, true) => (Outcome::TimedOut, 500 * MS),
        _ => healthy(fetch, now),
    };
    let seconds: Vec<SecondTotals> = (0..12)
        .map(|_| run_second(&mut fleet, &mut last_object, parents_down))
        .collect();
    let (requested, rejected) = seconds[4..]
        .iter()
        .fold((0, 0), |(a, r), s| (a + s.requested, r + s.rejected));
    assert!(
        rejected * 4 < requested,
        "{rejected} of {requested} rejected although the origin serves"
    );
    let attempts = seconds[10]
        .by_source
        .range(10..14)
        .map(|(_, n)| n)
        .sum::<usize>();
    assert!(
        attempts * 2 < seconds[10].requested,
        "{attempts} attempts at failed parents in a second of {requested}"
    );
}

#[test]
fn a_cache_in_slow_start_is_not_overloaded_by_a_hundred_routers() {
    let (mut fleet, mut last_object) = (hosts(), 1);
    let hits = |_: &Fetch, _: Time| (Outcome::Served, 60 * MS);
    for _ in 0..20 {
        run_second(&mut fleet, &mut last_object, hits);
    }
    for host in fleet.iter_mut() {
        let started_at = host.now;
        let restarted = Member {
            started_at,
            ..member(1_000, 2, 0)
        };
        host.event(Event::Members {
            full: false,
            members: vec![restarted],
        });
    }
    // 13 routers of its zone get 8 requests of 50 ms per second each; each of six caches served a sixth.
    let share = 13.0 * 8.0 / 6.0;
    let sent_by_second: Vec<usize> = (0..10)
        .map(|_| {
            run_second(&mut fleet, &mut last_object, hits)
                .by_cache
                .get(&1_000)
                .copied()
                .unwrap_or_default()
        })
        .collect();
    for (k, &sent) in sent_by_second.iter().enumerate() {
        let ramp = 0.2 + 0.8 * (k + 1) as f64 / 16.0;
        assert!(
            sent as f64 <= 2.5 * ramp * share,
            "second {k}: {sent} of {}",
            2.5 * ramp * share
        );
    }
    assert!(
        sent_by_second.iter().sum::<usize>() > 20,
        "the cache is starved: {sent_by_second:?}"
    );
}

#[test]
fn clients_that_a_hundred_routers_reject_at_once_get_different_retry_after() {
    let (mut fleet, mut last_object) = (hosts(), 1);
    let overloaded = |_: &Fetch, _: Time| (Outcome::Overloaded, 5 * MS);
    let mut retry_after_counts: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..3 {
        for (wait, n) in run_second(&mut fleet, &mut last_object, overloaded).retry_after_counts {
            *retry_after_counts.entry(wait).or_default() += n;
        }
    }
    let (all, most) = (
        retry_after_counts.values().sum::<usize>(),
        retry_after_counts
            .values()
            .max()
            .copied()
            .unwrap_or_default(),
    );
    assert!(
        all > 1_000 && most * 3 < all,
        "{most} of {all} rejections within the same 50 ms: {retry_after_counts:?}"
    );
}

#[test]
fn a_recovered_parent_is_used_again_by_all_within_the_latency_ttl() {
    let (mut fleet, mut last_object) = (hosts(), 1);
    let one_down = |fetch: &Fetch, now: Time| match fetch.source.0 {
        10 => (Outcome::TimedOut, 500 * MS),
        _ => healthy(fetch, now),
    };
    for _ in 0..10 {
        run_second(&mut fleet, &mut last_object, one_down);
    }
    let while_failing = run_second(&mut fleet, &mut last_object, one_down);
    let share = |s: &SecondTotals| {
        let parents: usize = s.by_source.range(10..14).map(|(_, n)| n).sum();
        s.by_source.get(&10).copied().unwrap_or_default() as f64 / parents.max(1) as f64
    };
    assert!(
        share(&while_failing) < 0.15,
        "a failed parent is not used: {:?}",
        while_failing.by_source
    );
    for _ in 0..20 {
        run_second(&mut fleet, &mut last_object, healthy);
    }
    let recovered = run_second(&mut fleet, &mut last_object, healthy);
    assert!(
        share(&recovered) > 0.15,
        "the recovered parent is used again: {:?}",
        recovered.by_source
    );
}
