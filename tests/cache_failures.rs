//! Failures of caches: lost responses, overload, refused connections, timeouts, errors.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn responses_lost_throughout_a_zone_eject_no_cache_and_are_retried_where_they_were_processed() {
    let mut front = Front::new(settings(), members());
    let mut used = std::collections::BTreeSet::new();
    for object in 100..500 {
        front.now += 100 * MS;
        let fetch = only_fetch(&front.request(0, object).1);
        used.insert(fetch.cache);
        if object % 4 == 0 {
            let again = front.outcome(&fetch, 0, Outcome::Reset, CacheStatus::Unknown);
            let again = only_fetch(&again);
            assert_eq!(again.cache, fetch.cache, "the work ran there");
            front.outcome(&again, 1, Outcome::Served, CacheStatus::Hit);
        } else {
            front.outcome(&fetch, 0, Outcome::Served, CacheStatus::Hit);
        }
    }
    assert_eq!(used.len(), 4);
    let last: std::collections::BTreeSet<CacheId> = (1_000..1_050)
        .map(|k| only_fetch(&front.request(0, k).1).cache)
        .collect();
    assert_eq!(last.len(), 4, "all four are still in use");
}

#[test]
fn an_overloaded_holder_spills_and_fills_the_next_cache_from_its_copy() {
    let mut front = Front::new(settings(), members());
    let held = front.serve(77, CacheStatus::Filled);
    // Four at once take twice their sending time: it carries about two.
    for _ in 0..40 {
        let all: Vec<Fetch> = (0..4)
            .flat_map(|_| fetches(&front.request_of(0, 77, 2_000.0).1))
            .collect();
        front.now += 400 * MS;
        for fetch in &all {
            if fetch.cache == held.cache {
                front.outcome_after(fetch, 0, Outcome::Served, CacheStatus::Hit, 400 * MS);
            } else {
                // What went elsewhere is wanted no more.
                front.event(Event::ClientDisconnected { id: fetch.id });
                front.outcome_after(fetch, 0, Outcome::Cancelled, CacheStatus::Unknown, 400 * MS);
            }
        }
    }
    let all: Vec<Fetch> = (0..12)
        .map(|_| only_fetch(&front.request(0, 77).1))
        .collect();
    let spilled = all
        .iter()
        .find(|f| f.cache != held.cache)
        .expect("some go elsewhere");
    assert!(spilled.source == held.cache && spilled.only_if_cached);
}

#[test]
fn a_cache_that_refuses_connections_is_ejected_for_a_while() {
    let mut front = Front::new(settings(), members());
    let dead = front.serve(77, CacheStatus::Filled).cache;
    let fetch = only_fetch(&front.request(0, 77).1);
    let then = only_fetch(&front.outcome(&fetch, 0, Outcome::ConnectFailed, CacheStatus::Unknown));
    assert!(then.cache != dead);
    let next = only_fetch(&front.request(0, 77).1);
    assert!(next.cache != dead && next.source != dead);
}

#[test]
fn a_cache_whose_attempts_time_out_is_ejected_for_a_while() {
    let mut front = Front::new(settings(), members());
    let hung = front.serve(77, CacheStatus::Filled).cache;
    for _ in 0..5 {
        let (_, actions) = front.request(0, 77);
        front.now += 3 * SECOND;
        front.outcome(
            &only_fetch(&actions),
            0,
            Outcome::TimedOut,
            CacheStatus::Unknown,
        );
    }
    let next: Vec<Fetch> = (0..4)
        .map(|_| only_fetch(&front.request(0, 77).1))
        .collect();
    assert!(
        next.iter().filter(|f| f.cache == hung).count() <= 1,
        "one trial at most"
    );
}

#[test]
fn idempotent_attempts_time_out_long_before_the_client_and_non_idempotent_ones_do_not() {
    let mut front = Front::new(
        Settings {
            sibling_fills: SiblingFills::None,
            ..settings()
        },
        members(),
    );
    let safe = only_fetch(&front.request(0, 77).1);
    // The aim is 400 ms and twice a sending time of 50 ms.
    assert_eq!(safe.timeout, 2 * 500 * MS);
    assert_eq!(only_fetch(&front.request(1, 77).1).timeout, 0);
}

#[test]
fn responses_lost_at_caches_do_not_count_as_a_slow_origin() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut front = Front::new(lone, members());
    front.serve(77, CacheStatus::Unknown);
    for k in 0..400 {
        front.now += 50 * MS;
        let object = if k % 2 == 0 { 77 } else { 1_000 + k };
        for fetch in fetches(&front.request(0, object).1) {
            let lost = k % 14 < 4;
            let outcome = if lost {
                Outcome::TimedOut
            } else {
                Outcome::Served
            };
            let mut next = front.outcome_after(&fetch, 0, outcome, CacheStatus::Unknown, 60 * MS);
            for attempt in 1..8 {
                let Some(again) = fetches(&next).first().cloned() else {
                    break;
                };
                next = front.outcome_after(
                    &again,
                    attempt,
                    Outcome::Served,
                    CacheStatus::Unknown,
                    60 * MS,
                );
            }
        }
    }
    front.now += SECOND;
    let sent: Vec<Fetch> = (9_000..9_020)
        .flat_map(|k| fetches(&front.request(0, k).1))
        .collect();
    let deep = sent
        .iter()
        .filter(|f| f.source != f.cache && !f.only_if_cached)
        .count();
    assert!(deep >= 5, "{deep} of 20 may fetch from above");
}

#[test]
fn a_parent_that_reports_an_origin_failure_is_not_blamed() {
    let mut front = Front::new(
        Settings {
            sibling_fills: SiblingFills::None,
            ..settings()
        },
        members(),
    );
    for object in 1_000..1_100 {
        front.now += 300 * MS;
        for fetch in fetches(&front.request(0, object).1) {
            match fetch.source.0 {
                30 => front.outcome(&fetch, 0, Outcome::Overloaded, CacheStatus::OriginFailed),
                _ => front.outcome(&fetch, 0, Outcome::Served, CacheStatus::Filled),
            };
        }
    }
    let sources: Vec<CacheId> = (5_000..5_030)
        .flat_map(|k| fetches(&front.request(0, k).1))
        .map(|f| f.source)
        .collect();
    assert!(sources.contains(&CacheId(30)), "still asked: {sources:?}");
}

#[test]
fn a_request_that_no_cache_can_serve_ends_after_two_errors_and_ejects_no_cache() {
    let untold = Settings {
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut front = Front::new(untold.clone(), members());
    let home = only_fetch(&front.request(0, 1).1).cache;
    for object in 1_000..1_100 {
        front.now += 20 * MS;
        let (id, mut actions) = front.request(0, object);
        if only_fetch(&actions).cache != home {
            front.event(Event::ClientDisconnected { id });
            continue;
        }
        // A bad client's object: an error, whoever is asked.
        let mut attempts = 0;
        while let Some(fetch) = fetches(&actions).first() {
            actions = front.outcome(fetch, attempts, Outcome::Error, CacheStatus::Unknown);
            attempts += 1;
        }
        assert!(
            attempts == 2 && matches!(actions[..], [Action::Reject { .. }]),
            "{attempts}: {actions:?}"
        );
    }
    let used = (5_000..5_050)
        .filter(|&k| only_fetch(&front.request(0, k).1).cache == home)
        .count();
    assert!(
        used > 5,
        "{used} of 50 still go to the cache that was asked"
    );

    // One cache errs where others serve: that is its own fault.
    let mut front = Front::new(untold, members());
    let sick = only_fetch(&front.request(0, 1).1).cache;
    for object in 1_000..1_100 {
        front.now += 5 * MS;
        let fetch = only_fetch(&front.request(0, object).1);
        let own = if fetch.cache == sick {
            Outcome::Error
        } else {
            Outcome::Served
        };
        for again in fetches(&front.outcome(&fetch, 0, own, CacheStatus::Unknown)) {
            front.outcome(&again, 1, Outcome::Served, CacheStatus::Unknown);
        }
    }
    let used = (5_000..5_050)
        .filter(|&k| only_fetch(&front.request(0, k).1).cache == sick)
        .count();
    assert!(used <= 1, "{used} of 50 still go to the cache that errs");
}

#[test]
fn an_overload_without_a_cache_status_is_retried_once_at_another_source() {
    let mut front = Front::new(
        Settings {
            cache_status_detail: CacheStatusDetail::None,
            ..settings()
        },
        members(),
    );
    let (_, actions) = front.request(0, 100);
    let first = only_fetch(&actions);
    let second = only_fetch(&front.outcome(&first, 0, Outcome::Overloaded, CacheStatus::Unknown));
    assert_ne!(second.source, first.source);
    let end = front.outcome(&second, 1, Outcome::Overloaded, CacheStatus::Unknown);
    assert!(
        fetches(&end).is_empty() && finals(&end) == 1,
        "the second full answer ends the try"
    );
}
