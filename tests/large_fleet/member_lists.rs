//! Changing member lists: 36 of 60 caches are replaced within 7 s, and each router gets the changes at different times.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: u32 = 10;
const CACHES_PER_ZONE: u32 = 6;

/// Replaces 36 caches from `start` on. The old cache drains and is gone 1 s later; the new one starts under another id
/// at the same time, or for every third cache under the same id 1.2 s later. Returns the changes with their times, and
/// the start times of the new caches by id.
fn replacements(list: &[Member], start: Time) -> (Vec<(Time, Member)>, BTreeMap<u32, Time>) {
    let mut changes: Vec<(Time, Member)> = Vec::new();
    let mut newcomers: BTreeMap<u32, Time> = BTreeMap::new();
    for (n, old) in list
        .iter()
        .filter(|m| m.kind == 0 && m.cache.0 % 100 % 5 < 3)
        .enumerate()
        .take(36)
    {
        let at = start + n as Time * 7 * SECOND / 36;
        let same_id = n % 3 == 0;
        let id = if same_id {
            old.cache.0
        } else {
            old.cache.0 + 50
        };
        changes.push((
            at,
            Member {
                state: MemberState::Draining,
                ..old.clone()
            },
        ));
        changes.push((
            at + SECOND,
            Member {
                state: MemberState::Gone,
                ..old.clone()
            },
        ));
        let started_at = at + if same_id { 1_200 * MS } else { 0 };
        changes.push((
            started_at,
            Member {
                started_at,
                ..member(id, old.zone, 0)
            },
        ));
        newcomers.insert(id, started_at);
    }
    changes.sort_by_key(|(at, _)| *at);
    (changes, newcomers)
}

/// The changes as delivered to each router: up to 2 s late, in order, and every fifth twice.
fn deliveries(changes: &[(Time, Member)]) -> Vec<(Time, usize, Member)> {
    let mut delivered: Vec<(Time, usize, Member)> = Vec::new();
    for router in 0..100usize {
        let mut last = 0;
        for (n, (at, member)) in changes.iter().enumerate() {
            last = (at + (router as Time * 7_919 * MS + n as Time * 104_729 * MS) % (2 * SECOND))
                .max(last);
            delivered.push((last, router, member.clone()));
            if n % 5 == 0 {
                delivered.push((last, router, member.clone()));
            }
        }
    }
    delivered.sort_by_key(|(at, router, _)| (*at, *router));
    delivered
}

/// The highest load of a new cache within the overload window, as a ratio of its capacity at that time. `share`: load
/// of a warm cache in requests per second.
fn worst_overload(
    config: &Settings,
    share: f64,
    newcomers: &BTreeMap<u32, Time>,
    sent: &[(Time, u32)],
) -> f64 {
    let mut worst: f64 = 0.0;
    for (&id, &started_at) in newcomers {
        let times: Vec<Time> = sent
            .iter()
            .filter(|(at, cache)| *at >= started_at && *cache == id)
            .map(|(at, _)| *at)
            .collect();
        for at in times
            .iter()
            .filter(|at| **at < started_at + config.cache_slow_start_time)
        {
            let age = (at - started_at) as f64 / config.cache_slow_start_time as f64;
            let capacity = config.cache_overload_multiple
                * (config.cache_slow_start_ratio + (1.0 - config.cache_slow_start_ratio) * age)
                * share;
            let sent = times
                .iter()
                .filter(|t| *t <= at && **t + config.overload_window > *at)
                .count();
            worst = worst.max(sent as f64 / capacity);
        }
    }
    worst
}

#[test]
fn replacing_six_in_ten_of_sixty_caches_within_7_s_fails_no_request_and_overloads_no_newcomer() {
    let (config, list) = fleet(ZONES, CACHES_PER_ZONE, 4);
    let mut simulation = Simulation::new(router_settings(&config, 100, ZONES), &list, 8.0);
    simulation.run(20 * SECOND, &mut healthy);
    let start = simulation.now;
    let (changes, newcomers) = replacements(&list, start);
    let delivered = deliveries(&changes);
    let mut known_members: Vec<BTreeMap<u32, Member>> = vec![BTreeMap::new(); 100];
    // Attempts at new caches from routers that know of them; the other routers' attempts go to the former process.
    let mut sent: Vec<(Time, u32)> = Vec::new();
    let (mut rejected, mut misdirected) = (simulation.rejections.len(), 0);
    for (at, router, member) in delivered {
        let wait = at.saturating_sub(simulation.now);
        let known_by_router = &known_members;
        simulation.run(wait, &mut |s: &SentAttempt| {
            let known = |id: u32| known_by_router[s.router].get(&id);
            let ready = |id: u32| known(id).is_none_or(|m| m.state == MemberState::Ready);
            misdirected += (!ready(s.fetch.cache.0) || !ready(s.fetch.source.0)) as u32;
            sent.extend(
                known(s.fetch.cache.0)
                    .filter(|m| m.started_at > 0)
                    .map(|m| (s.at, m.cache.0)),
            );
            healthy(s)
        });
        known_members[router].insert(member.cache.0, member.clone());
        simulation.deliver(
            router,
            Event::Members {
                full: false,
                members: vec![member],
            },
            &mut healthy,
        );
    }
    let request_count = simulation.request_count;
    simulation.run(14 * SECOND, &mut |s: &SentAttempt| {
        sent.extend(
            newcomers
                .contains_key(&s.fetch.cache.0)
                .then_some((s.at, s.fetch.cache.0)),
        );
        healthy(s)
    });
    assert_eq!(
        misdirected, 0,
        "attempts at servers that the router knows to be draining or gone"
    );
    rejected = simulation.rejections.len() - rejected;
    println!("{rejected} rejected of about {request_count}");
    // 10 routers in a zone, with 8 requests per second each, over six caches.
    let share = 10.0 * 8.0 / CACHES_PER_ZONE as f64;
    let worst = worst_overload(&config, share, &newcomers, &sent);
    let used: BTreeSet<u32> = simulation
        .count_sent(start, |s| Some(s.fetch.cache.0))
        .into_keys()
        .collect();
    println!(
        "highest load {worst:.2} of a new cache's capacity; {} of {} used",
        newcomers.keys().filter(|id| used.contains(id)).count(),
        newcomers.len()
    );
    assert!(worst < 1.0, "{worst} of a new cache's capacity");
    assert!(
        newcomers.keys().all(|id| used.contains(id)),
        "all new caches are used"
    );
}

#[test]
fn repeated_partial_and_empty_lists_never_panic_and_each_request_has_one_result() {
    let (config, list) = fleet(ZONES, CACHES_PER_ZONE, 4);
    let mut simulation = Simulation::new(router_settings(&config, 20, ZONES), &list, 20.0);
    for round in 0..40usize {
        simulation.run(200 * MS, &mut healthy);
        for router in 0..20 {
            let cut = match (round + router) % 4 {
                0 => list.len(),
                1 => list.len() / 3,
                2 => 0,
                _ => list.len() - 1,
            };
            let mut members = list[..cut].to_vec();
            if (round + router) % 3 == 0 {
                members.extend(list[..cut].to_vec());
                members.reverse();
            }
            simulation.deliver(
                router,
                Event::Members {
                    full: true,
                    members,
                },
                &mut healthy,
            );
        }
    }
    for router in 0..20 {
        simulation.deliver(
            router,
            Event::Members {
                full: true,
                members: list.clone(),
            },
            &mut healthy,
        );
    }
    simulation.run(10 * SECOND, &mut healthy);
    let from = simulation.now;
    simulation.run(2 * SECOND, &mut healthy);
    let used = simulation.count_sent(from, |s| Some(s.fetch.cache.0)).len();
    assert!(
        used > 40,
        "all zones are used again after the full list: {used}"
    );
}
