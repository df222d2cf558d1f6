//! The ordinary path: summary, home cache, sibling query, parent.
mod common;
use common::*;
use foldmux::interface::*;

fn is_sibling(cache: CacheId) -> bool {
    (20..23).contains(&cache.0)
}
fn is_above(cache: CacheId) -> bool {
    cache.0 >= 30
}

#[test]
fn a_new_object_goes_to_its_home_cache_and_queries_a_sibling_for_its_stored_copy() {
    let mut front = Front::new(settings(), members());
    let (_, actions) = front.request(0, 77);
    let fetch = only_fetch(&actions);
    assert!((10..14).contains(&fetch.cache.0) && is_sibling(fetch.source) && fetch.only_if_cached);
    assert!(fetch.timeout > 0, "the query has its own time-out");
    let (_, again) = front.request(0, 77);
    assert_eq!(
        only_fetch(&again).cache,
        fetch.cache,
        "the same object has the same home"
    );
}

#[test]
fn a_sibling_query_that_misses_or_times_out_is_followed_by_a_parent_at_the_same_cache() {
    for outcome in [Outcome::Miss, Outcome::TimedOut] {
        let mut front = Front::new(settings(), members());
        let (_, actions) = front.request(0, 77);
        let query = only_fetch(&actions);
        front.now += 100 * MS;
        let then = only_fetch(&front.outcome(&query, 0, outcome, CacheStatus::Unknown));
        assert!(
            then.cache == query.cache && is_above(then.source) && !then.only_if_cached,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_served_object_is_listed_and_its_holder_needs_no_query() {
    let mut front = Front::new(settings(), members());
    let first = front.serve(77, CacheStatus::Filled);
    let second = front.serve(77, CacheStatus::Hit);
    assert_eq!(second.cache, first.cache);
    assert!(is_above(second.source));
}

#[test]
fn the_object_table_is_bounded_and_drops_the_entry_longest_unused() {
    let mut front = Front::new(settings(), members());
    for object in [77, 78].into_iter().chain(1_000..1_000 + 16_383) {
        let fetch = only_fetch(&front.request(0, object).1);
        front.outcome(&fetch, 0, Outcome::Served, CacheStatus::Filled);
    }
    let ranks = [77, 78].map(|object| only_fetch(&front.request(0, object).1).retention_rank);
    assert_eq!(ranks, [1, 2], "only what is listed ranks higher");
}

#[test]
fn an_entry_expires_and_a_purge_a_restart_or_a_removal_invalidates_it() {
    let void = |act: &dyn Fn(&mut Front, CacheId)| {
        let mut front = Front::new(settings(), members());
        let first = front.serve(77, CacheStatus::Filled);
        act(&mut front, first.cache);
        let (_, actions) = front.request(0, 77);
        only_fetch(&actions)
    };
    let kept = void(&|_, _| {});
    assert_eq!(kept.retention_rank, 2, "a listed object ranks higher");
    let expired = void(&|f, _| f.now += 120 * SECOND);
    assert_eq!(expired.retention_rank, 1);
    let purged = void(&|f, _| {
        f.event(Event::Purged {
            object: Some(ObjectId(77)),
            group: 5,
            age: 100 * MS,
        });
    });
    assert_eq!(purged.retention_rank, 1);
    let group = void(&|f, _| {
        f.event(Event::Purged {
            object: None,
            group: 5,
            age: 100 * MS,
        });
    });
    assert_eq!(group.retention_rank, 1);
    let restarted = void(&|f, c| {
        f.change(c.0, |m| m.started_at = START - SECOND);
    });
    assert_eq!(restarted.retention_rank, 1);
    let left = void(&|f, c| {
        f.change(c.0, |m| m.state = MemberState::Gone);
    });
    assert_eq!(left.retention_rank, 1);
}

#[test]
fn sibling_queries_that_do_not_pay_are_explored_and_resume_when_they_pay() {
    let mut front = Front::new(settings(), members());
    let mut object = 0;
    let mut share = |front: &mut Front, found: bool| {
        let mut queries = 0;
        for _ in 0..400 {
            object += 1;
            front.now += 20 * MS;
            let (_, actions) = front.request(0, object);
            let fetch = only_fetch(&actions);
            queries += is_sibling(fetch.source) as u32;
            front.now += 20 * MS;
            if is_sibling(fetch.source) && !found {
                let then =
                    only_fetch(&front.outcome(&fetch, 0, Outcome::Miss, CacheStatus::Unknown));
                front.now += 40 * MS;
                front.outcome(&then, 1, Outcome::Served, CacheStatus::Filled);
            } else {
                let elapsed = if is_sibling(fetch.source) {
                    55 * MS
                } else {
                    200 * MS
                };
                let id = fetch.id;
                let (outcome, note) = (Outcome::Served, CacheStatus::Filled);
                front.event(Event::Outcome(AttemptReport {
                    id,
                    attempt: 0,
                    outcome,
                    cache_status: note,
                    elapsed,
                    last: true,
                }));
            }
        }
        queries
    };
    share(&mut front, false);
    let closed = share(&mut front, false);
    assert!(closed > 5 && closed < 80, "only a trickle: {closed} of 400");
    share(&mut front, true);
    let open = share(&mut front, true);
    assert!(open > 300, "open again: {open} of 400");
}

#[test]
fn no_cache_no_parent_no_origin_an_empty_list() {
    let none = |keep: &dyn Fn(&Member) -> bool, direct: bool| {
        let list = members().into_iter().filter(|m| keep(m)).collect();
        let mut front = Front::new(
            Settings {
                direct_fetch: direct,
                ..settings()
            },
            list,
        );
        front.request(0, 77).1
    };
    assert_eq!(finals(&none(&|_| false, true)), 1, "an empty list");
    assert_eq!(
        finals(&none(&|m| m.zone != 2, false)),
        1,
        "no cache in the zone"
    );
    let direct = only_fetch(&none(&|m| m.zone != 2, true));
    assert!(is_above(direct.cache) && direct.source == direct.cache);
    let no_parent = only_fetch(&none(&|m| m.kind != PARENT && m.zone != 3, false));
    assert_eq!(no_parent.source, CacheId(40));
    let own_only = none(&|m| m.zone == 2, false);
    assert_eq!(finals(&own_only), 1, "nothing to fill from");
}

#[test]
fn no_message_goes_to_peers_and_theirs_change_nothing() {
    let mut front = Front::new(settings(), members());
    let first = front.serve(77, CacheStatus::Filled);
    front.now += SECOND;
    let told = front.event(Event::Timer { token: 1 });
    assert!(told.is_empty(), "{told:?}");
    for length in [0, 1, 13, 14, 252] {
        assert!(front
            .event(Event::PeerMessage {
                from: 9,
                message: vec![7; length]
            })
            .is_empty());
    }
    assert_eq!(only_fetch(&front.request(0, 77).1).cache, first.cache);
}
