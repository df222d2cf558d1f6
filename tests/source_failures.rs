//! Failures of sources: parents that reject or lose fills, topology changes, retuned classes.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_parent_that_rejects_gives_way_to_the_other_then_to_the_origin_and_is_used_again_later() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut host = TestHost::new(without_siblings, members());
    // Requests new objects, `wait` apart, while the sources in `refusing` reject; returns how often each source was
    // used for a first attempt.
    let mut request_objects = |objects: std::ops::Range<u64>, refusing: &[u32], wait: Time| {
        let mut first_sources = std::collections::BTreeMap::new();
        for object in objects {
            host.now += wait;
            let mut actions = host.request(0, object).1;
            *first_sources
                .entry(only_fetch(&actions).source.0)
                .or_insert(0) += 1;
            for attempt in 0..8 {
                let Some(fetch) = fetches(&actions).first().cloned() else {
                    break;
                };
                let rejected = refusing.contains(&fetch.source.0);
                let outcome = if rejected {
                    Outcome::Overloaded
                } else {
                    Outcome::Served
                };
                let elapsed = if rejected { 5 * MS } else { 110 * MS };
                actions =
                    host.outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, elapsed);
            }
        }
        first_sources
    };
    request_objects(1_000..1_060, &[], 20 * MS);
    request_objects(2_000..2_060, &[30], 20 * MS);
    let with_one_rejecting = request_objects(3_000..3_060, &[30], 20 * MS);
    assert!(
        with_one_rejecting.get(&30).is_none_or(|n| *n <= 6) && with_one_rejecting[&31] >= 45,
        "{with_one_rejecting:?}"
    );
    request_objects(4_000..4_300, &[], 20 * MS);
    request_objects(5_000..5_015, &[30, 31], 20 * MS);
    let with_both_rejecting = request_objects(6_000..6_015, &[30, 31], 20 * MS);
    assert!(
        with_both_rejecting.get(&40).is_some_and(|n| *n >= 8),
        "{with_both_rejecting:?}"
    );
    // Old rejections do not count: without recent observations both parents rank as average and each gets its objects
    // again.
    let later = request_objects(7_000..7_060, &[], 3 * SECOND);
    assert!(later[&30] >= 10 && later[&31] >= 10, "{later:?}");
}

#[test]
fn fills_that_the_parents_lose_go_to_a_healthy_origin_and_are_not_rejected() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut host = TestHost::new(without_siblings, members());
    let (mut served, mut rejected) = (0, 0);
    for object in 1_000..1_600 {
        host.now += 100 * MS;
        let mut actions = host.request(0, object).1;
        for attempt in 0..8 {
            let Some(fetch) = fetches(&actions).first().cloned() else {
                break;
            };
            let is_from_origin = fetch.source.0 == 40;
            let outcome = if is_from_origin {
                Outcome::Served
            } else {
                Outcome::TimedOut
            };
            served += (is_from_origin && object >= 1_200) as u32;
            actions = host.outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, 90 * MS);
        }
        rejected += (final_results(&actions) == 1 && object >= 1_200) as u32;
    }
    assert!(
        served > 300 && rejected < 100,
        "{served} served, {rejected} rejected of 400"
    );
}

#[test]
fn a_fill_that_fails_after_its_parent_was_removed_is_retried_or_ends_once() {
    for (parent, cache_status) in [
        (30, CacheStatus::Unknown),
        (31, CacheStatus::OriginFailed),
        (30, CacheStatus::NoFillSlot),
    ] {
        let mut host = TestHost::new(
            Settings {
                sibling_fills: SiblingFills::None,
                ..settings()
            },
            members(),
        );
        let fetch = (1..50).find_map(|k| {
            let fetch = only_fetch(&host.request(0, k).1);
            (fetch.source.0 == parent).then_some(fetch)
        });
        host.change_member(parent, |m| m.state = MemberState::Gone);
        let next = host.outcome(
            &fetch.expect("both parents are used"),
            0,
            Outcome::TimedOut,
            cache_status,
        );
        assert_eq!(
            final_results(&next) + fetches(&next).len(),
            1,
            "one result or one retry: {next:?}"
        );
    }
}

#[test]
fn fills_follow_the_topology_and_go_to_the_origin_where_it_names_no_parent() {
    let mut host = TestHost::new(
        Settings {
            sibling_fills: SiblingFills::None,
            ..settings()
        },
        members(),
    );
    let sources = |host: &mut TestHost, objects: std::ops::Range<u64>| {
        let mut used = std::collections::BTreeSet::new();
        for object in objects {
            let actions = host.request(0, object).1;
            let fetch = only_fetch(&actions);
            used.insert(fetch.source.0);
            host.outcome(&fetch, 0, Outcome::Served, CacheStatus::Unknown);
        }
        used.into_iter().collect::<Vec<_>>()
    };
    let parent_zones: Vec<usize> = members()
        .iter()
        .filter(|m| [30, 31].contains(&m.cache.0))
        .map(|m| m.zone)
        .collect();
    assert_eq!(sources(&mut host, 0..60), [30, 31]);
    let hub_by_zone = settings().hub_by_zone;
    host.event(Event::TopologyChanged {
        parent_zones: vec![],
        hub_by_zone: hub_by_zone.clone(),
    });
    assert_eq!(
        sources(&mut host, 100..160),
        [40],
        "the topology names no parent"
    );
    host.event(Event::TopologyChanged {
        parent_zones,
        hub_by_zone,
    });
    assert_eq!(sources(&mut host, 200..260), [30, 31]);
}

#[test]
fn an_index_that_a_retune_gives_to_another_class_starts_without_known_sizes() {
    let sent_to_restarted = |retune: bool| {
        let mut host = TestHost::new(settings(), members());
        for k in 0..400 {
            host.serve_request(k, CacheStatus::Hit);
        }
        // The class that had the index before, with responses of a hundred times the size.
        for k in 0..300 {
            let (id, _) = host.request_of(1, k, 50_000.0);
            host.event(Event::ClientDisconnected { id });
        }
        if retune {
            let mut other = settings();
            other.classes[1] = Class {
                latency_objective: 300 * MS,
                ..other.classes[0].clone()
            };
            host.router.retune(other);
        }
        let started_at = host.now;
        host.change_member(10, |m| m.started_at = started_at);
        let is_to_restarted = |f: &Fetch| f.cache.0 == 10;
        (1000..1100)
            .map(|k| {
                fetches(&host.request(1, k).1)
                    .into_iter()
                    .filter(is_to_restarted)
                    .count()
            })
            .sum::<usize>()
    };
    let (without_retune, with_retune) = (sent_to_restarted(false), sent_to_restarted(true));
    assert!(
        with_retune > without_retune,
        "sent to the cache in slow start: {with_retune} after the retune, {without_retune} with the old sizes"
    );
}

#[test]
fn late_fills_from_parents_that_lose_none_are_not_moved_to_the_origin() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut host = TestHost::new(without_siblings, members());
    let mut from_origin = 0;
    for object in 1_000..1_400 {
        host.now += 30 * MS;
        for fetch in fetches(&host.request(0, object).1) {
            from_origin += (fetch.source.0 == 40) as u32;
            // All are served late, as the links are overloaded.
            host.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Unknown, 390 * MS);
        }
    }
    assert_eq!(
        from_origin, 0,
        "fills from the origin out of 400 while the links are overloaded"
    );
}
