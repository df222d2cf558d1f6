//! Fleets of different sizes and topologies, unusual values, and a topology change during a slow start.
mod common;
use common::*;
use foldmux::interface::*;
use std::collections::BTreeMap;

/// Sends requests whose attempts end with different outcomes. Checks that each has one final result and uses listed
/// servers and caches of the zone only. Returns the number of attempts.
fn run_requests(config: Settings, list: Vec<Member>) -> usize {
    let zone = config.zone;
    let by_id: BTreeMap<CacheId, Member> = list.iter().map(|m| (m.cache, m.clone())).collect();
    let mut host = TestHost::new(config, list);
    let mut sent = 0;
    for k in 0..600u64 {
        host.now += 37 * MS;
        let (_, mut actions) = host.request((k % 9 == 0) as usize, k * k % 151 + 1);
        let (mut attempt, mut served) = (0, false);
        loop {
            let results = final_results(&actions);
            let Some(fetch) = fetches(&actions).first().cloned() else {
                assert_eq!(results + served as usize, 1, "one final result");
                break;
            };
            assert_eq!(results, 0);
            let cache = &by_id[&fetch.cache];
            assert!(cache.zone == zone && cache.kind == 0 && by_id.contains_key(&fetch.source));
            sent += 1;
            host.now += 20 * MS;
            let outcomes = [
                Outcome::Served,
                Outcome::Miss,
                Outcome::Error,
                Outcome::Reset,
                Outcome::Served,
            ];
            let outcome = outcomes[((k + attempt as u64) % 5) as usize];
            served = outcome == Outcome::Served;
            actions = host.outcome(&fetch, attempt, outcome, CacheStatus::Unknown);
            attempt += 1;
        }
        host.event(Event::Timer { token: 1 });
    }
    sent
}

#[test]
fn fleets_of_one_cache_to_hundreds_serve_requests() {
    for (zones, caches_per_zone, parents) in
        [(1, 1, 1), (1, 1, 0), (3, 4, 2), (30, 7, 9), (60, 9, 20)]
    {
        let (config, list) = fleet(zones, caches_per_zone, parents);
        let sent = run_requests(config, list);
        assert!(
            sent > 500,
            "{zones} zones of {caches_per_zone}: {sent} attempts"
        );
    }
}

#[test]
fn a_single_router_and_zones_unknown_to_its_settings_cause_no_failure() {
    let (config, mut list) = fleet(3, 4, 2);
    list.extend((0..5).map(|k| member(5_000 + k, 77, 0)));
    let alone = Settings {
        router_count: 1,
        routers_by_zone: vec![0, 0, 1],
        hub_by_zone: vec![0, 1],
        ..config
    };
    assert!(run_requests(alone, list) > 500);
}

#[test]
fn an_empty_zone_rejects_and_without_parents_the_origin_fills() {
    let (config, list) = fleet(3, 4, 2);
    let empty: Vec<Member> = list.iter().filter(|m| m.zone != 2).cloned().collect();
    let mut host = TestHost::new(config.clone(), empty);
    assert_eq!(
        final_results(&host.request(0, 77).1),
        1,
        "no cache in the zone: rejected at once"
    );
    let mut host = TestHost::new(
        Settings {
            sibling_fills: SiblingFills::None,
            ..config
        },
        list.clone(),
    );
    let gone = list.iter().filter(|m| m.kind == PARENT).map(|m| Member {
        state: MemberState::Gone,
        ..m.clone()
    });
    host.event(Event::Members {
        full: false,
        members: gone.collect(),
    });
    let sources: Vec<CacheId> = (1..60)
        .flat_map(|k| fetches(&host.request(0, k).1))
        .map(|f| f.source)
        .collect();
    assert!(sources.contains(&CacheId(9)), "the origin fills");
    assert!(sources.iter().all(|s| s.0 == 9 || s.0 >= 1_000));
}

#[test]
fn unusual_values_cause_no_panic_and_no_failure() {
    let (config, list) = fleet(2, 3, 1);
    let mut host = TestHost::new(config, list);
    let id = RequestId(1 << 50);
    for size_kb in [f64::NAN, f64::INFINITY, -4.0, 0.0, 1e30] {
        let request = IncomingRequest {
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
        host.event(Event::Request(request));
    }
    host.event(Event::Request(IncomingRequest {
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
    host.event(Event::Purged {
        object: None,
        group: u32::MAX,
        age: Time::MAX,
    });
    host.event(Event::ClientDisconnected { id: RequestId(77) });
    host.event(Event::ResponseStarted { id: RequestId(78) });
    let unknown = AttemptReport {
        id: RequestId(79),
        attempt: 255,
        outcome: Outcome::Served,
        cache_status: CacheStatus::Hit,
        elapsed: Time::MAX,
        last: true,
    };
    assert!(host.event(Event::Outcome(unknown)).is_empty());
    assert_eq!(
        fetches(&host.request(0, 5).1).len(),
        1,
        "the router still sends attempts"
    );
}

/// Four independent routers move all their fills to one parent just as it restarts with an empty cache.
#[test]
fn a_parent_in_slow_start_is_not_overloaded_as_the_topology_moves_all_fills_to_it() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        router_count: 4,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let host = |index| {
        TestHost::new(
            Settings {
                index,
                ..without_siblings.clone()
            },
            members(),
        )
    };
    let mut hosts: Vec<TestHost> = (0..4).map(host).collect();
    let (interval, transfer_seconds) = (8 * MS, 0.05);
    // Each of four routers sends 125 fills of 50 ms per second; each of two parents carries half of them.
    let served = 4.0 * 125.0 * transfer_seconds / 2.0;
    let mut sent: Vec<Time> = Vec::new();
    let mut object = 0;
    let mut step = |hosts: &mut Vec<TestHost>, sent: &mut Vec<Time>| {
        for host in hosts.iter_mut() {
            host.now += interval;
            object += 1;
            let mut actions = host.request(0, object).1;
            for attempt in 0..8 {
                let Some(fetch) = fetches(&actions).first().cloned() else {
                    break;
                };
                if fetch.source == CacheId(31) {
                    sent.push(host.now);
                }
                actions = host.outcome_after(
                    &fetch,
                    attempt,
                    Outcome::Served,
                    CacheStatus::Unknown,
                    110 * MS,
                );
            }
        }
    };
    (0..3_000).for_each(|_| step(&mut hosts, &mut sent));
    assert!(
        sent.len() > 4_000,
        "both parents are used before: {}",
        sent.len()
    );
    sent.clear();
    let started_at = hosts[0].now;
    for (at, host) in hosts.iter_mut().enumerate() {
        // Each router is told of the restart and of the topology at a different time.
        host.now += at as Time * 2 * MS;
        host.change_member(31, |m| m.started_at = started_at);
        host.event(Event::TopologyChanged {
            parent_zones: vec![1],
            hub_by_zone: settings().hub_by_zone,
        });
    }
    (0..2_400).for_each(|_| step(&mut hosts, &mut sent));
    sent.sort();
    let (window, s) = (settings().overload_window, settings());
    let worst = sent.iter().enumerate().map(|(n, at)| {
        let ramp = (*at - started_at) as f64 / s.parent_slow_start_time as f64;
        let capacity_ratio =
            s.parent_slow_start_ratio + (1.0 - s.parent_slow_start_ratio) * ramp.min(1.0);
        let within = sent[..=n]
            .iter()
            .rev()
            .take_while(|b| **b + window > *at)
            .count();
        within as f64 * transfer_seconds
            / (s.parent_overload_multiple * capacity_ratio * served * window as f64 / 1e6)
    });
    let worst = worst.fold(0.0, f64::max);
    assert!(worst < 1.0, "{worst} of the parent's capacity");
    assert!(
        sent.len() > 500,
        "the parent is used while it warms up: {}",
        sent.len()
    );
}
