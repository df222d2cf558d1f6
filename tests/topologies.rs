//! Fleets of every size and shape are ordinary input.
mod common;
use common::*;
use foldmux::interface::*;
use std::collections::BTreeMap;

/// Plays requests that end in every way, and checks each has one final answer from fit servers of the zone.
fn play(choice: Settings, list: Vec<Member>) -> usize {
    let zone = choice.zone;
    let by_id: BTreeMap<CacheId, Member> = list.iter().map(|m| (m.cache, m.clone())).collect();
    let mut front = Front::new(choice, list);
    let mut sent = 0;
    for k in 0..600u64 {
        front.now += 37 * MS;
        let (_, mut actions) = front.request((k % 9 == 0) as usize, k * k % 151 + 1);
        let (mut attempt, mut served) = (0, false);
        loop {
            let ends = finals(&actions);
            let Some(fetch) = fetches(&actions).first().cloned() else {
                assert_eq!(ends + served as usize, 1, "one final answer");
                break;
            };
            assert_eq!(ends, 0);
            let cache = &by_id[&fetch.cache];
            assert!(cache.zone == zone && cache.kind == 0 && by_id.contains_key(&fetch.source));
            sent += 1;
            front.now += 20 * MS;
            let outcomes = [
                Outcome::Served,
                Outcome::Miss,
                Outcome::Error,
                Outcome::Reset,
                Outcome::Served,
            ];
            let outcome = outcomes[((k + attempt as u64) % 5) as usize];
            served = outcome == Outcome::Served;
            actions = front.outcome(&fetch, attempt, outcome, CacheStatus::Unknown);
            attempt += 1;
        }
        front.event(Event::Timer { token: 1 });
    }
    sent
}

#[test]
fn from_one_cache_to_hundreds() {
    for (zones, each, parents) in [(1, 1, 1), (1, 1, 0), (3, 4, 2), (30, 7, 9), (60, 9, 20)] {
        let (choice, list) = fleet(zones, each, parents);
        let sent = play(choice, list);
        assert!(sent > 500, "{zones} zones of {each}: {sent} attempts");
    }
}

#[test]
fn one_router_alone_in_its_zone_and_zones_that_settings_do_not_know() {
    let (choice, mut list) = fleet(3, 4, 2);
    list.extend((0..5).map(|k| member(5_000 + k, 77, 0)));
    let alone = Settings {
        router_count: 1,
        routers_by_zone: vec![0, 0, 1],
        hub_by_zone: vec![0, 1],
        ..choice
    };
    assert!(play(alone, list) > 500);
}

#[test]
fn an_empty_zone_and_a_parent_tier_that_is_all_gone() {
    let (choice, list) = fleet(3, 4, 2);
    let empty: Vec<Member> = list.iter().filter(|m| m.zone != 2).cloned().collect();
    let mut front = Front::new(choice.clone(), empty);
    assert_eq!(
        finals(&front.request(0, 77).1),
        1,
        "nobody to ask: refused at once"
    );
    let mut front = Front::new(
        Settings {
            sibling_fills: SiblingFills::None,
            ..choice
        },
        list.clone(),
    );
    let gone = list.iter().filter(|m| m.kind == PARENT).map(|m| Member {
        state: MemberState::Gone,
        ..m.clone()
    });
    front.event(Event::Members {
        full: false,
        members: gone.collect(),
    });
    let sources: Vec<CacheId> = (1..60)
        .flat_map(|k| fetches(&front.request(0, k).1))
        .map(|f| f.source)
        .collect();
    assert!(sources.contains(&CacheId(9)), "the origin fills");
    assert!(sources.iter().all(|s| s.0 == 9 || s.0 >= 1_000));
}

#[test]
fn unusual_values_do_no_harm() {
    let (choice, list) = fleet(2, 3, 1);
    let mut front = Front::new(choice, list);
    let id = RequestId(1 << 50);
    for size_kb in [f64::NAN, f64::INFINITY, -4.0, 0.0, 1e30] {
        let ask = IncomingRequest {
            id,
            class: 0,
            object: ObjectId(u64::MAX),
            part: u32::MAX,
            group: u32::MAX,
            size_kb,
            time_budget: 0,
            placement_ttl: 0,
            required_group: None,
        };
        front.event(Event::Request(ask));
    }
    front.event(Event::Request(IncomingRequest {
        id: RequestId(2),
        class: 99,
        object: ObjectId(1),
        part: 0,
        group: 0,
        size_kb: 1.0,
        time_budget: SECOND,
        placement_ttl: 0,
        required_group: None,
    }));
    front.event(Event::Purged {
        object: None,
        group: u32::MAX,
        age: Time::MAX,
    });
    front.event(Event::ClientDisconnected { id: RequestId(77) });
    front.event(Event::ResponseStarted { id: RequestId(78) });
    let lost = AttemptReport {
        id: RequestId(79),
        attempt: 255,
        outcome: Outcome::Served,
        cache_status: CacheStatus::Hit,
        elapsed: Time::MAX,
        last: true,
    };
    assert!(front.event(Event::Outcome(lost)).is_empty());
    assert_eq!(fetches(&front.request(0, 5).1).len(), 1, "it goes on");
}

/// Ten locations' traffic at four proxies that share nothing, turned to one parent as it starts anew and empty.
#[test]
fn a_parent_in_slow_start_is_not_overloaded_as_the_topology_moves_all_fills_to_it() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        router_count: 4,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let front = |index| {
        Front::new(
            Settings {
                index,
                ..lone.clone()
            },
            members(),
        )
    };
    let mut fronts: Vec<Front> = (0..4).map(front).collect();
    let (each, work) = (8 * MS, 0.05);
    // 125 fills a second at each of four, of 50 ms: what the two parents carried together before.
    let carried = 4.0 * 125.0 * work / 2.0;
    let mut sent: Vec<Time> = Vec::new();
    let mut object = 0;
    let mut step = |fronts: &mut Vec<Front>, sent: &mut Vec<Time>| {
        for front in fronts.iter_mut() {
            front.now += each;
            object += 1;
            let mut actions = front.request(0, object).1;
            for attempt in 0..8 {
                let Some(fetch) = fetches(&actions).first().cloned() else {
                    break;
                };
                if fetch.source == CacheId(31) {
                    sent.push(front.now);
                }
                actions = front.outcome_after(
                    &fetch,
                    attempt,
                    Outcome::Served,
                    CacheStatus::Unknown,
                    110 * MS,
                );
            }
        }
    };
    (0..3_000).for_each(|_| step(&mut fronts, &mut sent));
    assert!(
        sent.len() > 4_000,
        "both parents are used before: {}",
        sent.len()
    );
    sent.clear();
    let boot = fronts[0].now;
    for (at, front) in fronts.iter_mut().enumerate() {
        // Each hears of the start and of the wiring at a moment of its own.
        front.now += at as Time * 2 * MS;
        front.change(31, |m| m.started_at = boot);
        front.event(Event::TopologyChanged {
            parent_zones: vec![1],
            hub_by_zone: settings().hub_by_zone,
        });
    }
    (0..2_400).for_each(|_| step(&mut fronts, &mut sent));
    sent.sort();
    let (window, s) = (settings().overload_window, settings());
    let worst = sent.iter().enumerate().map(|(n, at)| {
        let ramp = (*at - boot) as f64 / s.parent_slow_start_time as f64;
        let part = s.parent_slow_start_ratio + (1.0 - s.parent_slow_start_ratio) * ramp.min(1.0);
        let within = sent[..=n]
            .iter()
            .rev()
            .take_while(|b| **b + window > *at)
            .count();
        within as f64 * work / (s.parent_overload_multiple * part * carried * window as f64 / 1e6)
    });
    let worst = worst.fold(0.0, f64::max);
    assert!(worst < 1.0, "{worst} of what it bears");
    assert!(sent.len() > 500, "it is used as it warms: {}", sent.len());
}
