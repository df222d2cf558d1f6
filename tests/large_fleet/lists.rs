//! Sixty caches, six in ten replaced within 7 s, each router told at times of its own.

use super::*;
use std::collections::{BTreeMap, BTreeSet};

const ZONES: u32 = 10;
const EACH: u32 = 6;

/// 36 changes from `began` on: the old cache drains, then is gone 1 s later; a new one starts beside it, on every third under
/// the same id. Gives the changes with their times, and the newcomers' starts by id.
fn replacements(list: &[Member], began: Time) -> (Vec<(Time, Member)>, BTreeMap<u32, Time>) {
    let mut news: Vec<(Time, Member)> = Vec::new();
    let mut fresh: BTreeMap<u32, Time> = BTreeMap::new();
    for (n, old) in list
        .iter()
        .filter(|m| m.kind == 0 && m.cache.0 % 100 % 5 < 3)
        .enumerate()
        .take(36)
    {
        let at = began + n as Time * 7 * SECOND / 36;
        let back = n % 3 == 0;
        let id = if back { old.cache.0 } else { old.cache.0 + 50 };
        news.push((
            at,
            Member {
                state: MemberState::Draining,
                ..old.clone()
            },
        ));
        news.push((
            at + SECOND,
            Member {
                state: MemberState::Gone,
                ..old.clone()
            },
        ));
        let boot = at + if back { 1_200 * MS } else { 0 };
        news.push((
            boot,
            Member {
                started_at: boot,
                ..member(id, old.zone, 0)
            },
        ));
        fresh.insert(id, boot);
    }
    news.sort_by_key(|(at, _)| *at);
    (news, fresh)
}

/// The changes as each router hears them: up to 2 s late, in order, and every fifth twice.
fn deliveries(news: &[(Time, Member)]) -> Vec<(Time, usize, Member)> {
    let mut told: Vec<(Time, usize, Member)> = Vec::new();
    for front in 0..100usize {
        let mut last = 0;
        for (n, (at, member)) in news.iter().enumerate() {
            last = (at + (front as Time * 7_919 * MS + n as Time * 104_729 * MS) % (2 * SECOND))
                .max(last);
            told.push((last, front, member.clone()));
            if n % 5 == 0 {
                told.push((last, front, member.clone()));
            }
        }
    }
    told.sort_by_key(|(at, front, _)| (*at, *front));
    told
}

/// Most that was sent to a newcomer within the overload window, as a part of what it bears of its `share`.
fn worst_overload(
    choice: &Settings,
    share: f64,
    fresh: &BTreeMap<u32, Time>,
    placed: &[(Time, u32)],
) -> f64 {
    let mut worst: f64 = 0.0;
    for (&id, &boot) in fresh {
        let times: Vec<Time> = placed
            .iter()
            .filter(|(at, cache)| *at >= boot && *cache == id)
            .map(|(at, _)| *at)
            .collect();
        for at in times
            .iter()
            .filter(|at| **at < boot + choice.cache_slow_start_time)
        {
            let age = (at - boot) as f64 / choice.cache_slow_start_time as f64;
            let bears = choice.cache_overload_multiple
                * (choice.cache_slow_start_ratio + (1.0 - choice.cache_slow_start_ratio) * age)
                * share;
            let sent = times
                .iter()
                .filter(|t| *t <= at && **t + choice.overload_window > *at)
                .count();
            worst = worst.max(sent as f64 / bears);
        }
    }
    worst
}

#[test]
fn replacing_six_in_ten_of_sixty_caches_within_7_s_fails_no_request_and_overloads_no_newcomer() {
    let (choice, list) = fleet(ZONES, EACH, 4);
    let mut world = World::new(fronts(&choice, 100, ZONES), &list, 8.0);
    world.run(20 * SECOND, &mut calm);
    let began = world.now;
    let (news, fresh) = replacements(&list, began);
    let told = deliveries(&news);
    let mut knows: Vec<BTreeMap<u32, Member>> = vec![BTreeMap::new(); 100];
    // What went to a newcomer, from routers that know of it: others' attempts go to the address of the one before.
    let mut placed: Vec<(Time, u32)> = Vec::new();
    let (mut refused, mut wrong) = (world.refused.len(), 0);
    for (at, front, member) in told {
        let wait = at.saturating_sub(world.now);
        let check = &knows;
        world.run(wait, &mut |s: &Sent| {
            let known = |id: u32| check[s.front].get(&id);
            let ready = |id: u32| known(id).is_none_or(|m| m.state == MemberState::Ready);
            wrong += (!ready(s.fetch.cache.0) || !ready(s.fetch.source.0)) as u32;
            placed.extend(
                known(s.fetch.cache.0)
                    .filter(|m| m.started_at > 0)
                    .map(|m| (s.at, m.cache.0)),
            );
            calm(s)
        });
        knows[front].insert(member.cache.0, member.clone());
        world.tell(
            front,
            Event::Members {
                full: false,
                members: vec![member],
            },
            &mut calm,
        );
    }
    let asked = world.asked;
    world.run(14 * SECOND, &mut |s: &Sent| {
        placed.extend(
            fresh
                .contains_key(&s.fetch.cache.0)
                .then_some((s.at, s.fetch.cache.0)),
        );
        calm(s)
    });
    assert_eq!(
        wrong, 0,
        "attempts at what a router was told drains or is gone"
    );
    refused = world.refused.len() - refused;
    println!("{refused} refused of about {asked}");
    // Most placed on a newcomer within the fall window, against what it bears: 10 routers a zone, 8 a second, six caches.
    let share = 10.0 * 8.0 / EACH as f64;
    let worst = worst_overload(&choice, share, &fresh, &placed);
    let used: BTreeSet<u32> = world
        .count(began, |s| Some(s.fetch.cache.0))
        .into_keys()
        .collect();
    println!(
        "worst {worst:.2} of what a newcomer bears; {} of {} used",
        fresh.keys().filter(|id| used.contains(id)).count(),
        fresh.len()
    );
    assert!(worst < 1.0, "{worst} of what a newcomer bears");
    assert!(
        fresh.keys().all(|id| used.contains(id)),
        "all newcomers are used"
    );
}

#[test]
fn repeated_partial_and_empty_lists_never_panic_and_each_request_has_one_result() {
    let (choice, list) = fleet(ZONES, EACH, 4);
    let mut world = World::new(fronts(&choice, 20, ZONES), &list, 20.0);
    for round in 0..40usize {
        world.run(200 * MS, &mut calm);
        for front in 0..20 {
            let cut = match (round + front) % 4 {
                0 => list.len(),
                1 => list.len() / 3,
                2 => 0,
                _ => list.len() - 1,
            };
            let mut members = list[..cut].to_vec();
            if (round + front) % 3 == 0 {
                members.extend(list[..cut].to_vec());
                members.reverse();
            }
            world.tell(
                front,
                Event::Members {
                    full: true,
                    members,
                },
                &mut calm,
            );
        }
    }
    for front in 0..20 {
        world.tell(
            front,
            Event::Members {
                full: true,
                members: list.clone(),
            },
            &mut calm,
        );
    }
    world.run(10 * SECOND, &mut calm);
    let from = world.now;
    world.run(2 * SECOND, &mut calm);
    let used = world.count(from, |s| Some(s.fetch.cache.0)).len();
    assert!(
        used > 40,
        "with the whole list again all zones are used: {used}"
    );
}
