//! Rules for single requests at their limits: deadlines, retries, drains, slow-start budgets and purges.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_timeout_at_the_deadline_ends_the_request_once() {
    let mut host = TestHost::new(settings(), members());
    let (id, actions) = host.request(0, 77);
    let fetch = only_fetch(&actions);
    host.now += 3 * SECOND;
    let end = host.outcome(&fetch, 0, Outcome::TimedOut, CacheStatus::Unknown);
    assert!(final_results(&end) == 1 && fetches(&end).is_empty());
    assert!(
        host.outcome(&fetch, 0, Outcome::TimedOut, CacheStatus::Unknown)
            .is_empty(),
        "a duplicate outcome is ignored"
    );
    assert!(
        host.event(Event::ClientDisconnected { id }).is_empty(),
        "a disconnect after the final result is ignored"
    );
    host.now += SECOND;
    assert_eq!(final_results(&host.event(Event::Timer { token: 1 })), 0);
}

#[test]
fn a_request_without_a_reported_timeout_ends_within_the_response_slack() {
    let mut host = TestHost::new(settings(), members());
    host.request(0, 77);
    host.now += 3 * SECOND + 4 * MS;
    assert_eq!(final_results(&host.event(Event::Timer { token: 1 })), 1);
}

#[test]
fn a_write_is_retried_only_after_proof_that_it_was_not_processed() {
    for (outcome, is_retried) in [
        (Outcome::Overloaded, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Miss, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
    ] {
        let mut host = TestHost::new(settings(), members());
        let (id, actions) = host.request(1, 77);
        let fetch = only_fetch(&actions);
        assert!(fetch.retention_rank == 0 && !fetch.only_if_cached && fetch.source.0 >= 30);
        host.now += 10 * MS;
        let next = host.outcome(&fetch, 0, outcome, CacheStatus::Unknown);
        if is_retried {
            assert_eq!(fetches(&next).len(), 1, "{outcome:?}");
        } else {
            assert_eq!(next, vec![Action::Fail { id }], "{outcome:?}");
        }
    }
}

#[test]
fn one_attempt_at_a_time_where_hedging_is_not_allowed() {
    let mut host = TestHost::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        members(),
    );
    host.request(0, 77);
    for _ in 0..80 {
        host.now += 25 * MS;
        assert!(fetches(&host.event(Event::Timer { token: 1 })).is_empty());
    }
}

#[test]
fn a_drain_during_an_attempt_applies_to_its_retry_and_its_source() {
    let mut host = TestHost::new(settings(), members());
    let (_, actions) = host.request(0, 77);
    let fetch = only_fetch(&actions);
    host.change_member(fetch.cache.0, |m| m.state = MemberState::Draining);
    host.change_member(30, |m| m.state = MemberState::Draining);
    host.change_member(31, |m| m.state = MemberState::Draining);
    let next = only_fetch(&host.outcome(&fetch, 0, Outcome::Error, CacheStatus::Unknown));
    assert!(next.cache != fetch.cache && next.source != CacheId(30) && next.source != CacheId(31));
}

#[test]
fn a_cache_in_slow_start_gets_no_more_than_its_budget_in_a_window() {
    let mut host = TestHost::new(settings(), members());
    // Regular traffic first, from which the router estimates the capacity.
    for k in 0..400 {
        host.serve_request(k, CacheStatus::Hit);
    }
    let started_at = host.now;
    host.change_member(10, |m| m.started_at = started_at);
    let mut sent = 0;
    for k in 1000..1200 {
        let (_, actions) = host.request(0, k);
        sent += fetches(&actions).iter().filter(|f| f.cache.0 == 10).count();
    }
    // The four caches carry about 0.8 concurrent transfers, a warm one about 0.2. One request is 0.05 s of transfer
    // time.
    assert!(
        sent <= 10,
        "{sent} sent to the cache in slow start at the same time"
    );
}

/// Restarts all caches of a zone and returns the attempts that all routers of the zone send to one of them in each of
/// the following 8 s, and their sum. Each router gets `requests_per_second`.
fn restart_zone(
    router_count: u32,
    requests_per_second: u64,
    warm_seconds: u64,
) -> (Vec<usize>, usize) {
    let mut hosts: Vec<TestHost> = (0..router_count)
        .map(|index| {
            let routers_by_zone = vec![0, 0, router_count, 1];
            TestHost::new(
                Settings {
                    index,
                    router_count: router_count + 1,
                    routers_by_zone,
                    ..settings()
                },
                members(),
            )
        })
        .collect();
    let run_second = |hosts: &mut Vec<TestHost>, key: u64, cache: u32| {
        let mut sent = 0;
        for k in 0..requests_per_second {
            for host in hosts.iter_mut() {
                host.now += SECOND / requests_per_second;
                let (_, actions) = host.request_of(0, key + k * 7, 2_000.0);
                for fetch in fetches(&actions) {
                    sent += (fetch.cache.0 == cache) as usize;
                    host.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Hit, 200 * MS);
                }
            }
        }
        sent
    };
    for k in 0..warm_seconds {
        run_second(&mut hosts, 1_000 * k, 0);
    }
    for host in hosts.iter_mut() {
        let started_at = host.now;
        for cache in 10..14 {
            host.change_member(cache, |m| m.started_at = started_at);
        }
    }
    let sent_by_second: Vec<usize> = (0..8)
        .map(|k| run_second(&mut hosts, 1_000_000 + 1_000 * k, 10))
        .collect();
    let total = sent_by_second.iter().sum();
    (sent_by_second, total)
}

#[test]
fn budgets_under_one_request_sum_up_under_the_limit_and_starve_no_restarted_zone() {
    for router_count in [1, 3, 12, 60, 100] {
        let (sent_by_second, total) = restart_zone(router_count, 20, 20);
        // Each router gets 20 requests of 0.2 s per second: 4 concurrent transfers, of which each of four caches
        // carries one.
        let capacity = router_count as f64;
        for (k, &sent) in sent_by_second.iter().enumerate() {
            let ramp = 0.2 + 0.8 * (k + 1) as f64 / 16.0;
            let limit = 2.5 * ramp * capacity;
            assert!(
                sent as f64 * 0.2 <= limit,
                "{router_count} routers, second {k}: {sent} of {}",
                limit / 0.2
            );
        }
        assert!(
            total as f64 * 0.2 > 0.2 * capacity * 8.0,
            "{router_count} routers starve it: {total} in 8 s"
        );
    }
}

#[test]
fn routers_rotate_where_a_budget_is_under_one_request() {
    for router_count in [12, 60, 100] {
        // Four requests of 0.2 s per second: 0.2 concurrent transfers for each cache; a router's budget is 0.06 at
        // first.
        let (sent_by_second, total) = restart_zone(router_count, 4, 20);
        for (k, &sent) in sent_by_second.iter().enumerate() {
            let limit = 2.5 * (0.2 + 0.8 * (k + 1) as f64 / 16.0) * router_count as f64 * 0.2;
            assert!(
                sent as f64 * 0.2 <= limit,
                "{router_count} routers, second {k}: {sent} of {}",
                limit / 0.2
            );
        }
        assert!(
            sent_by_second[0] > 0 && total > router_count as usize,
            "{router_count} routers starve it: {sent_by_second:?}"
        );
    }
}

/// Number of attempts that one router sends within 8 s to a restarted cache beside warm ones and `draining` others.
fn sent_to_restarted_cache(draining: u32, size_kb: f64) -> usize {
    let mut all = members();
    all.extend((50..50 + draining).map(|c| Member {
        state: MemberState::Draining,
        ..member(c, 2, 0)
    }));
    let mut host = TestHost::new(settings(), all);
    let send = |host: &mut TestHost, object: u64| {
        host.now += 50 * MS;
        let fetch = only_fetch(&host.request_of(0, object, size_kb).1);
        host.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Hit, 100 * MS);
        (fetch.cache.0 == 10) as usize
    };
    for k in 0..400 {
        send(&mut host, k);
    }
    let started_at = host.now;
    host.change_member(10, |m| m.started_at = started_at);
    (1_000..1_160).map(|k| send(&mut host, k)).sum()
}

#[test]
fn a_slow_start_budget_is_not_lost_to_rounding_nor_to_removed_caches() {
    // A request is 0.1 s of transfer time, and each of four caches carries 0.5 concurrent transfers. The budget is
    // 0.6 * 2.5 times that, times the ramp.
    let expected: f64 = (0..8)
        .map(|k| 0.6 * 2.5 * (0.2 + 0.8 * k as f64 / 16.0) * 0.5 / 0.1)
        .sum();
    let sent = sent_to_restarted_cache(0, 1_000.0) as f64;
    assert!(
        sent > 0.85 * expected && sent <= expected / 0.6,
        "{sent} of {expected}"
    );
    assert_eq!(
        sent_to_restarted_cache(4, 1_000.0) as f64,
        sent,
        "four draining caches do not change the budget"
    );
}

#[test]
fn a_new_router_in_a_restarted_zone_still_sends_attempts() {
    let (_, total) = restart_zone(4, 20, 0);
    assert!(total > 8, "{total} in 8 s");
}

#[test]
fn a_purge_bounds_the_age_on_retries_too_and_never_by_zero() {
    let mut host = TestHost::new(settings(), members());
    let (_, actions) = host.request(0, 77);
    let first = only_fetch(&actions);
    assert_eq!(first.max_age, 0);
    host.event(Event::Purged {
        object: None,
        group: 5,
        age: 0,
    });
    let retry = only_fetch(&host.outcome(&first, 0, Outcome::Error, CacheStatus::Unknown));
    assert_eq!(retry.max_age, 1, "0 would set no bound");
    host.now += 500 * MS;
    let (_, later) = host.request(0, 77);
    let age = only_fetch(&later).max_age;
    assert!(age > 1 && age < 500 * MS, "{age}");
    host.now += 60 * SECOND;
    let (_, unbounded) = host.request(0, 77);
    assert_eq!(only_fetch(&unbounded).max_age, 0);
}
