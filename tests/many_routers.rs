//! A hundred fronts in virtual time, each on its own, and what they do together: totals, not single choices.
mod common;
use common::*;
use foldmux::interface::*;
use std::collections::BTreeMap;

const FRONTS: u32 = 100;
const ZONES: u32 = 8;
const CACHES: u32 = 6;

/// What one second of all fronts together came to.
#[derive(Default, Debug)]
struct Second {
    asked: usize,
    refused: usize,
    by_cache: BTreeMap<u32, usize>,
    by_source: BTreeMap<u32, usize>,
    /// Refusals' advice (ms), by 50 ms.
    advice: BTreeMap<u64, usize>,
}

/// Eight locations of six caches, four parents at two hubs, an origin: 12 or 13 fronts in each.
fn fronts() -> Vec<Front> {
    let (choice, list) = fleet(ZONES, CACHES, 4);
    let of_zone = |z: u32| FRONTS / ZONES + (z < FRONTS % ZONES) as u32;
    let routers_by_zone: Vec<u32> = [0, 0].into_iter().chain((0..ZONES).map(of_zone)).collect();
    let base = Settings {
        router_count: FRONTS,
        routers_by_zone,
        cache_status_detail: CacheStatusDetail::None,
        max_attempts: 4,
        ..choice
    };
    let one = |index: u32| {
        let choice = Settings {
            index,
            zone: 2 + (index % ZONES) as usize,
            ..base.clone()
        };
        let router = foldmux::Router::new(choice, 0x51ed_2701 * (index as u64 + 1));
        let mut front = Front {
            router,
            now: START,
            next: 0,
        };
        front.event(Event::Members {
            full: true,
            members: list.clone(),
        });
        front
    };
    (0..FRONTS).map(one).collect()
}

/// One second: each front has eight requests, each for an object of its own; `fate` says how an attempt ends.
fn second(
    fronts: &mut [Front],
    key: &mut u64,
    fate: impl Fn(&Fetch, Time) -> (Outcome, Time),
) -> Second {
    let mut sum = Second::default();
    for _ in 0..8 {
        for front in fronts.iter_mut() {
            front.now += SECOND / 8;
            *key += 1;
            let mut actions = front.request(0, *key).1;
            sum.asked += 1;
            for attempt in 0..8 {
                for action in &actions {
                    if let Action::Reject { retry_after, .. } = action {
                        sum.refused += 1;
                        *sum.advice.entry(retry_after / (50 * MS)).or_default() += 1;
                    }
                }
                let Some(fetch) = fetches(&actions).first().cloned() else {
                    break;
                };
                *sum.by_cache.entry(fetch.cache.0).or_default() += 1;
                *sum.by_source.entry(fetch.source.0).or_default() += 1;
                let (outcome, elapsed) = fate(&fetch, front.now);
                actions =
                    front.outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, elapsed);
            }
            front.event(Event::Timer { token: 1 });
        }
    }
    sum
}

fn above(fetch: &Fetch) -> bool {
    (9..14).contains(&fetch.source.0)
}

/// New objects: siblings hold nothing, parents that are well fill in 100 ms, the origin in 90 ms.
fn calm(fetch: &Fetch, _: Time) -> (Outcome, Time) {
    match fetch.source.0 {
        9 => (Outcome::Served, 140 * MS),
        _ if above(fetch) && !fetch.only_if_cached => (Outcome::Served, 150 * MS),
        _ => (Outcome::Miss, 5 * MS),
    }
}

#[test]
fn rejecting_parents_do_not_make_a_hundred_routers_reject_what_the_origin_can_serve() {
    let (mut fleet, mut key) = (fronts(), 1);
    for _ in 0..5 {
        let sum = second(&mut fleet, &mut key, calm);
        assert_eq!(sum.refused, 0, "a calm second: {sum:?}");
    }
    let down = |fetch: &Fetch, now: Time| match (fetch.source.0, above(fetch)) {
        (10..=13, true) => (Outcome::TimedOut, 500 * MS),
        _ => calm(fetch, now),
    };
    let seconds: Vec<Second> = (0..12)
        .map(|_| second(&mut fleet, &mut key, down))
        .collect();
    let (asked, refused) = seconds[4..]
        .iter()
        .fold((0, 0), |(a, r), s| (a + s.asked, r + s.refused));
    assert!(
        refused * 4 < asked,
        "{refused} of {asked} refused though the origin serves"
    );
    let tries = seconds[10]
        .by_source
        .range(10..14)
        .map(|(_, n)| n)
        .sum::<usize>();
    assert!(
        tries * 2 < seconds[10].asked,
        "{tries} tries of dead parents in a second of {asked}"
    );
}

#[test]
fn a_cache_in_slow_start_is_not_overloaded_by_a_hundred_routers() {
    let (mut fleet, mut key) = (fronts(), 1);
    let held = |_: &Fetch, _: Time| (Outcome::Served, 60 * MS);
    for _ in 0..20 {
        second(&mut fleet, &mut key, held);
    }
    for front in fleet.iter_mut() {
        let boot = front.now;
        let cold = Member {
            started_at: boot,
            ..member(1_000, 2, 0)
        };
        front.event(Event::Members {
            full: false,
            members: vec![cold],
        });
    }
    // 13 fronts of its location ask 8 a second each of 50 ms: what six caches did before, a sixth for each.
    let share = 13.0 * 8.0 / 6.0;
    let sums: Vec<usize> = (0..10)
        .map(|_| {
            second(&mut fleet, &mut key, held)
                .by_cache
                .get(&1_000)
                .copied()
                .unwrap_or_default()
        })
        .collect();
    for (k, &sent) in sums.iter().enumerate() {
        let ramp = 0.2 + 0.8 * (k + 1) as f64 / 16.0;
        assert!(
            sent as f64 <= 2.5 * ramp * share,
            "second {k}: {sent} of {}",
            2.5 * ramp * share
        );
    }
    assert!(
        sums.iter().sum::<usize>() > 20,
        "and it is not starved: {sums:?}"
    );
}

#[test]
fn clients_that_a_hundred_routers_reject_at_once_get_different_retry_after() {
    let (mut fleet, mut key) = (fronts(), 1);
    let nothing = |_: &Fetch, _: Time| (Outcome::Overloaded, 5 * MS);
    let mut advice: BTreeMap<u64, usize> = BTreeMap::new();
    for _ in 0..3 {
        for (wait, n) in second(&mut fleet, &mut key, nothing).advice {
            *advice.entry(wait).or_default() += n;
        }
    }
    let (all, most) = (
        advice.values().sum::<usize>(),
        advice.values().max().copied().unwrap_or_default(),
    );
    assert!(
        all > 1_000 && most * 3 < all,
        "{most} of {all} told the same 50 ms: {advice:?}"
    );
}

#[test]
fn a_recovered_parent_is_used_again_by_all_within_the_latency_ttl() {
    let (mut fleet, mut key) = (fronts(), 1);
    let one_down = |fetch: &Fetch, now: Time| match fetch.source.0 {
        10 => (Outcome::TimedOut, 500 * MS),
        _ => calm(fetch, now),
    };
    for _ in 0..10 {
        second(&mut fleet, &mut key, one_down);
    }
    let shunned = second(&mut fleet, &mut key, one_down);
    let share = |s: &Second| {
        let parents: usize = s.by_source.range(10..14).map(|(_, n)| n).sum();
        s.by_source.get(&10).copied().unwrap_or_default() as f64 / parents.max(1) as f64
    };
    assert!(
        share(&shunned) < 0.15,
        "a dead parent is left out: {:?}",
        shunned.by_source
    );
    for _ in 0..20 {
        second(&mut fleet, &mut key, calm);
    }
    let back = second(&mut fleet, &mut key, calm);
    assert!(share(&back) > 0.15, "and asked again: {:?}", back.by_source);
}
