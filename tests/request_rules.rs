//! The five rules, each at its edge.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_timeout_at_the_deadline_ends_the_request_once() {
    let mut front = Front::new(settings(), members());
    let (id, actions) = front.request(0, 77);
    let fetch = only_fetch(&actions);
    front.now += 3 * SECOND;
    let end = front.outcome(&fetch, 0, Outcome::TimedOut, CacheStatus::Unknown);
    assert!(finals(&end) == 1 && fetches(&end).is_empty());
    assert!(
        front
            .outcome(&fetch, 0, Outcome::TimedOut, CacheStatus::Unknown)
            .is_empty(),
        "a late outcome"
    );
    assert!(
        front.event(Event::ClientDisconnected { id }).is_empty(),
        "a client gone after the end"
    );
    front.now += SECOND;
    assert_eq!(finals(&front.event(Event::Timer { token: 1 })), 0);
}

#[test]
fn a_timeout_that_never_comes_is_made_up_for_within_the_response_slack() {
    let mut front = Front::new(settings(), members());
    front.request(0, 77);
    front.now += 3 * SECOND + 4 * MS;
    assert_eq!(finals(&front.event(Event::Timer { token: 1 })), 1);
}

#[test]
fn a_write_is_retried_only_after_proof_that_it_was_not_processed() {
    for (outcome, again) in [
        (Outcome::Overloaded, true),
        (Outcome::ConnectFailed, true),
        (Outcome::Miss, true),
        (Outcome::Error, false),
        (Outcome::Reset, false),
        (Outcome::TimedOut, false),
    ] {
        let mut front = Front::new(settings(), members());
        let (id, actions) = front.request(1, 77);
        let fetch = only_fetch(&actions);
        assert!(fetch.retention_rank == 0 && !fetch.only_if_cached && fetch.source.0 >= 30);
        front.now += 10 * MS;
        let then = front.outcome(&fetch, 0, outcome, CacheStatus::Unknown);
        if again {
            assert_eq!(fetches(&then).len(), 1, "{outcome:?}");
        } else {
            assert_eq!(then, vec![Action::Fail { id }], "{outcome:?}");
        }
    }
}

#[test]
fn one_attempt_at_a_time_where_hedging_is_not_allowed() {
    let mut front = Front::new(
        Settings {
            may_hedge: false,
            ..settings()
        },
        members(),
    );
    front.request(0, 77);
    for _ in 0..80 {
        front.now += 25 * MS;
        assert!(fetches(&front.event(Event::Timer { token: 1 })).is_empty());
    }
}

#[test]
fn a_drain_during_an_attempt_applies_to_its_retry_and_its_source() {
    let mut front = Front::new(settings(), members());
    let (_, actions) = front.request(0, 77);
    let fetch = only_fetch(&actions);
    front.change(fetch.cache.0, |m| m.state = MemberState::Draining);
    front.change(30, |m| m.state = MemberState::Draining);
    front.change(31, |m| m.state = MemberState::Draining);
    let then = only_fetch(&front.outcome(&fetch, 0, Outcome::Error, CacheStatus::Unknown));
    assert!(then.cache != fetch.cache && then.source != CacheId(30) && then.source != CacheId(31));
}

#[test]
fn a_cache_in_slow_start_gets_no_more_than_its_budget_in_a_window() {
    let mut front = Front::new(settings(), members());
    // Warm traffic first, so that there is something to infer a capacity from.
    for k in 0..400 {
        front.serve(k, CacheStatus::Hit);
    }
    let boot = front.now;
    front.change(10, |m| m.started_at = boot);
    let mut sent = 0;
    for k in 1000..1200 {
        let (_, actions) = front.request(0, k);
        sent += fetches(&actions).iter().filter(|f| f.cache.0 == 10).count();
    }
    // The fleet bears about 0.8 transfers, so a warm cache about 0.2; one request is 0.05 of work.
    assert!(sent <= 10, "{sent} sent to the cold cache at one moment");
}

/// What fronts of one zone send in each second to a cache that starts when the others are gone or cold too.
fn cold_zone(fronts: u32, each: u64, warm_seconds: u64) -> (Vec<usize>, usize) {
    let mut zone: Vec<Front> = (0..fronts)
        .map(|index| {
            let by_zone = vec![0, 0, fronts, 1];
            Front::new(
                Settings {
                    index,
                    router_count: fronts + 1,
                    routers_by_zone: by_zone,
                    ..settings()
                },
                members(),
            )
        })
        .collect();
    let second = |zone: &mut Vec<Front>, key: u64, cold: u32| {
        let mut to_cold = 0;
        for k in 0..each {
            for front in zone.iter_mut() {
                front.now += SECOND / each;
                let (_, actions) = front.request_of(0, key + k * 7, 2_000.0);
                for fetch in fetches(&actions) {
                    to_cold += (fetch.cache.0 == cold) as usize;
                    front.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Hit, 200 * MS);
                }
            }
        }
        to_cold
    };
    for k in 0..warm_seconds {
        second(&mut zone, 1_000 * k, 0);
    }
    for front in zone.iter_mut() {
        let boot = front.now;
        for cache in 10..14 {
            front.change(cache, |m| m.started_at = boot);
        }
    }
    let cold: Vec<usize> = (0..8)
        .map(|k| second(&mut zone, 1_000_000 + 1_000 * k, 10))
        .collect();
    let all = cold.iter().sum();
    (cold, all)
}

#[test]
fn budgets_under_one_request_sum_up_under_the_limit_and_starve_no_restarted_zone() {
    for fronts in [1, 3, 12, 60, 100] {
        let (each, all) = cold_zone(fronts, 20, 20);
        // Each front asks for 20 transfers of 0.2 s a second, 4 in all of which each of four caches bears one.
        let capacity = fronts as f64;
        for (k, &sent) in each.iter().enumerate() {
            let ramp = 0.2 + 0.8 * (k + 1) as f64 / 16.0;
            let limit = 2.5 * ramp * capacity;
            assert!(
                sent as f64 * 0.2 <= limit,
                "{fronts} fronts, second {k}: {sent} of {}",
                limit / 0.2
            );
        }
        assert!(
            all as f64 * 0.2 > 0.2 * capacity * 8.0,
            "{fronts} fronts starve it: {all} in 8 s"
        );
    }
}

#[test]
fn routers_rotate_where_a_budget_is_under_one_request() {
    for fronts in [12, 60, 100] {
        // Four transfers of 0.2 s a second: 0.2 for each cache, and the budget of a front at first 0.06.
        let (each, all) = cold_zone(fronts, 4, 20);
        for (k, &sent) in each.iter().enumerate() {
            let limit = 2.5 * (0.2 + 0.8 * (k + 1) as f64 / 16.0) * fronts as f64 * 0.2;
            assert!(
                sent as f64 * 0.2 <= limit,
                "{fronts} fronts, second {k}: {sent} of {}",
                limit / 0.2
            );
        }
        assert!(
            each[0] > 0 && all > fronts as usize,
            "{fronts} fronts starve it: {each:?}"
        );
    }
}

/// What one front sends in eight seconds to a cold cache beside warm ones; `draining`: others that are on their way out.
fn sent_to_one_cold(draining: u32, size_kb: f64) -> usize {
    let mut all = members();
    all.extend((50..50 + draining).map(|c| Member {
        state: MemberState::Draining,
        ..member(c, 2, 0)
    }));
    let mut front = Front::new(settings(), all);
    let send = |front: &mut Front, object: u64| {
        front.now += 50 * MS;
        let fetch = only_fetch(&front.request_of(0, object, size_kb).1);
        front.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Hit, 100 * MS);
        (fetch.cache.0 == 10) as usize
    };
    for k in 0..400 {
        send(&mut front, k);
    }
    let boot = front.now;
    front.change(10, |m| m.started_at = boot);
    (1_000..1_160).map(|k| send(&mut front, k)).sum()
}

#[test]
fn a_slow_start_budget_is_not_lost_to_rounding_nor_to_removed_caches() {
    // A request is 0.1 s of work, and one of four caches bears 0.5 s of it a second: of that, 0.6 * 2.5 of the ramp.
    let wanted: f64 = (0..8)
        .map(|k| 0.6 * 2.5 * (0.2 + 0.8 * k as f64 / 16.0) * 0.5 / 0.1)
        .sum();
    let sent = sent_to_one_cold(0, 1_000.0) as f64;
    assert!(
        sent > 0.85 * wanted && sent <= wanted / 0.6,
        "{sent} of {wanted}"
    );
    assert_eq!(
        sent_to_one_cold(4, 1_000.0) as f64,
        sent,
        "four that drain beside them bear nothing"
    );
}

#[test]
fn a_new_router_in_a_restarted_zone_still_sends_attempts() {
    let (_, all) = cold_zone(4, 20, 0);
    assert!(all > 8, "{all} in 8 s");
}

#[test]
fn a_purge_bounds_the_age_on_retries_too_and_never_by_zero() {
    let mut front = Front::new(settings(), members());
    let (_, actions) = front.request(0, 77);
    let first = only_fetch(&actions);
    assert_eq!(first.max_age, 0);
    front.event(Event::Purged {
        object: None,
        group: 5,
        age: 0,
    });
    let retry = only_fetch(&front.outcome(&first, 0, Outcome::Error, CacheStatus::Unknown));
    assert_eq!(retry.max_age, 1, "0 would mean any age");
    front.now += 500 * MS;
    let (_, later) = front.request(0, 77);
    let age = only_fetch(&later).max_age;
    assert!(age > 1 && age < 500 * MS, "{age}");
    front.now += 60 * SECOND;
    let (_, free) = front.request(0, 77);
    assert_eq!(only_fetch(&free).max_age, 0);
}
