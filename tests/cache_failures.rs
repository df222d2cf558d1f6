//! Failures of caches: lost responses, overload, refused connections, timeouts, errors.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn responses_lost_throughout_a_zone_eject_no_cache_and_are_retried_where_they_were_processed() {
    let mut host = TestHost::new(settings(), members());
    let mut used = std::collections::BTreeSet::new();
    for object in 100..500 {
        host.now += 100 * MS;
        let fetch = only_fetch(&host.request(0, object).1);
        used.insert(fetch.cache);
        if object % 4 == 0 {
            let retry = host.outcome(&fetch, 0, Outcome::Reset, CacheStatus::Unknown);
            let retry = only_fetch(&retry);
            assert_eq!(
                retry.cache, fetch.cache,
                "the retry goes to the cache that processed the request"
            );
            host.outcome(&retry, 1, Outcome::Served, CacheStatus::Hit);
        } else {
            host.outcome(&fetch, 0, Outcome::Served, CacheStatus::Hit);
        }
    }
    assert_eq!(used.len(), 4);
    let used_later: std::collections::BTreeSet<CacheId> = (1_000..1_050)
        .map(|k| only_fetch(&host.request(0, k).1).cache)
        .collect();
    assert_eq!(used_later.len(), 4, "all four caches are still in use");
}

#[test]
fn an_overloaded_holder_spills_and_fills_the_next_cache_from_its_copy() {
    let mut host = TestHost::new(settings(), members());
    let holder = host.serve_request(77, CacheStatus::Filled);
    // Four concurrent transfers take twice their time at full rate, so the capacity is about two.
    for _ in 0..40 {
        let all: Vec<Fetch> = (0..4)
            .flat_map(|_| fetches(&host.request_of(0, 77, 2_000.0).1))
            .collect();
        host.now += 400 * MS;
        for fetch in &all {
            if fetch.cache == holder.cache {
                host.outcome_after(fetch, 0, Outcome::Served, CacheStatus::Hit, 400 * MS);
            } else {
                // Attempts at other caches are cancelled.
                host.event(Event::ClientDisconnected { id: fetch.id });
                host.outcome_after(fetch, 0, Outcome::Cancelled, CacheStatus::Unknown, 400 * MS);
            }
        }
    }
    let all: Vec<Fetch> = (0..12)
        .map(|_| only_fetch(&host.request(0, 77).1))
        .collect();
    let spilled = all
        .iter()
        .find(|f| f.cache != holder.cache)
        .expect("some requests go to other caches");
    assert!(spilled.source == holder.cache && spilled.only_if_cached);
}

#[test]
fn a_cache_that_refuses_connections_is_ejected_for_a_while() {
    let mut host = TestHost::new(settings(), members());
    let refusing = host.serve_request(77, CacheStatus::Filled).cache;
    let fetch = only_fetch(&host.request(0, 77).1);
    let retry = only_fetch(&host.outcome(&fetch, 0, Outcome::ConnectFailed, CacheStatus::Unknown));
    assert!(retry.cache != refusing);
    let next = only_fetch(&host.request(0, 77).1);
    assert!(next.cache != refusing && next.source != refusing);
}

#[test]
fn a_cache_whose_attempts_time_out_is_ejected_for_a_while() {
    let mut host = TestHost::new(settings(), members());
    let silent = host.serve_request(77, CacheStatus::Filled).cache;
    for _ in 0..5 {
        let (_, actions) = host.request(0, 77);
        host.now += 3 * SECOND;
        host.outcome(
            &only_fetch(&actions),
            0,
            Outcome::TimedOut,
            CacheStatus::Unknown,
        );
    }
    let next: Vec<Fetch> = (0..4).map(|_| only_fetch(&host.request(0, 77).1)).collect();
    assert!(
        next.iter().filter(|f| f.cache == silent).count() <= 1,
        "at most one trial attempt"
    );
}

#[test]
fn idempotent_attempts_time_out_long_before_the_client_and_non_idempotent_ones_do_not() {
    let mut host = TestHost::new(
        Settings {
            sibling_fills: SiblingFills::None,
            ..settings()
        },
        members(),
    );
    let idempotent = only_fetch(&host.request(0, 77).1);
    // The latency objective is 400 ms plus twice a transfer time of 50 ms.
    assert_eq!(idempotent.timeout, 2 * 500 * MS);
    assert_eq!(only_fetch(&host.request(1, 77).1).timeout, 0);
}

#[test]
fn responses_lost_at_caches_do_not_count_as_a_slow_origin() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut host = TestHost::new(without_siblings, members());
    host.serve_request(77, CacheStatus::Unknown);
    for k in 0..400 {
        host.now += 50 * MS;
        let object = if k % 2 == 0 { 77 } else { 1_000 + k };
        for fetch in fetches(&host.request(0, object).1) {
            let lost = k % 14 < 4;
            let outcome = if lost {
                Outcome::TimedOut
            } else {
                Outcome::Served
            };
            let mut next = host.outcome_after(&fetch, 0, outcome, CacheStatus::Unknown, 60 * MS);
            for attempt in 1..8 {
                let Some(retry) = fetches(&next).first().cloned() else {
                    break;
                };
                next = host.outcome_after(
                    &retry,
                    attempt,
                    Outcome::Served,
                    CacheStatus::Unknown,
                    60 * MS,
                );
            }
        }
    }
    host.now += SECOND;
    let sent: Vec<Fetch> = (9_000..9_020)
        .flat_map(|k| fetches(&host.request(0, k).1))
        .collect();
    let unrestricted = sent
        .iter()
        .filter(|f| f.source != f.cache && !f.only_if_cached)
        .count();
    assert!(
        unrestricted >= 5,
        "{unrestricted} of 20 may be filled from an upper tier"
    );
}

#[test]
fn a_parent_that_reports_an_origin_failure_is_not_ejected() {
    let mut host = TestHost::new(
        Settings {
            sibling_fills: SiblingFills::None,
            ..settings()
        },
        members(),
    );
    for object in 1_000..1_100 {
        host.now += 300 * MS;
        for fetch in fetches(&host.request(0, object).1) {
            match fetch.source.0 {
                30 => host.outcome(&fetch, 0, Outcome::Overloaded, CacheStatus::OriginFailed),
                _ => host.outcome(&fetch, 0, Outcome::Served, CacheStatus::Filled),
            };
        }
    }
    let sources: Vec<CacheId> = (5_000..5_030)
        .flat_map(|k| fetches(&host.request(0, k).1))
        .map(|f| f.source)
        .collect();
    assert!(
        sources.contains(&CacheId(30)),
        "the parent is still used: {sources:?}"
    );
}

#[test]
fn a_request_that_no_cache_can_serve_ends_after_two_errors_and_ejects_no_cache() {
    let without_cache_status = Settings {
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut host = TestHost::new(without_cache_status.clone(), members());
    let home = only_fetch(&host.request(0, 1).1).cache;
    for object in 1_000..1_100 {
        host.now += 20 * MS;
        let (id, mut actions) = host.request(0, object);
        if only_fetch(&actions).cache != home {
            host.event(Event::ClientDisconnected { id });
            continue;
        }
        // A faulty request: every cache responds with an error.
        let mut attempts = 0;
        while let Some(fetch) = fetches(&actions).first() {
            actions = host.outcome(fetch, attempts, Outcome::Error, CacheStatus::Unknown);
            attempts += 1;
        }
        assert!(
            attempts == 2 && matches!(actions[..], [Action::Reject { .. }]),
            "{attempts}: {actions:?}"
        );
    }
    let used = (5_000..5_050)
        .filter(|&k| only_fetch(&host.request(0, k).1).cache == home)
        .count();
    assert!(
        used > 5,
        "{used} of 50 still go to the cache that responded with errors"
    );

    // One cache returns errors for requests that others serve: the cache is at fault.
    let mut host = TestHost::new(without_cache_status, members());
    let faulty = only_fetch(&host.request(0, 1).1).cache;
    for object in 1_000..1_100 {
        host.now += 5 * MS;
        let fetch = only_fetch(&host.request(0, object).1);
        let outcome = if fetch.cache == faulty {
            Outcome::Error
        } else {
            Outcome::Served
        };
        for retry in fetches(&host.outcome(&fetch, 0, outcome, CacheStatus::Unknown)) {
            host.outcome(&retry, 1, Outcome::Served, CacheStatus::Unknown);
        }
    }
    let used = (5_000..5_050)
        .filter(|&k| only_fetch(&host.request(0, k).1).cache == faulty)
        .count();
    assert!(used <= 1, "{used} of 50 still go to the faulty cache");
}

#[test]
fn an_overload_without_a_cache_status_is_retried_once_at_another_source() {
    let mut host = TestHost::new(
        Settings {
            cache_status_detail: CacheStatusDetail::None,
            ..settings()
        },
        members(),
    );
    let (_, actions) = host.request(0, 100);
    let first = only_fetch(&actions);
    let second = only_fetch(&host.outcome(&first, 0, Outcome::Overloaded, CacheStatus::Unknown));
    assert_ne!(second.source, first.source);
    let end = host.outcome(&second, 1, Outcome::Overloaded, CacheStatus::Unknown);
    assert!(
        fetches(&end).is_empty() && final_results(&end) == 1,
        "the second overload ends the request"
    );
}
