//! The ordinary path of a request: object table, home cache, sibling query, parent.
mod common;
use common::*;
use foldmux::interface::*;

fn is_sibling(cache: CacheId) -> bool {
    (20..23).contains(&cache.0)
}
fn is_upper_tier(cache: CacheId) -> bool {
    cache.0 >= 30
}

#[test]
fn a_new_object_goes_to_its_home_cache_and_queries_a_sibling_for_its_stored_copy() {
    let mut host = TestHost::new(settings(), members());
    let (_, actions) = host.request(0, 77);
    let fetch = only_fetch(&actions);
    assert!((10..14).contains(&fetch.cache.0) && is_sibling(fetch.source) && fetch.only_if_cached);
    assert!(fetch.timeout > 0, "the query has its own timeout");
    let (_, again) = host.request(0, 77);
    assert_eq!(
        only_fetch(&again).cache,
        fetch.cache,
        "the same object has the same home"
    );
}

#[test]
fn a_sibling_query_that_misses_or_times_out_is_followed_by_a_parent_at_the_same_cache() {
    for outcome in [Outcome::Miss, Outcome::TimedOut] {
        let mut host = TestHost::new(settings(), members());
        let (_, actions) = host.request(0, 77);
        let query = only_fetch(&actions);
        host.now += 100 * MS;
        let next = only_fetch(&host.outcome(&query, 0, outcome, CacheStatus::Unknown));
        assert!(
            next.cache == query.cache && is_upper_tier(next.source) && !next.only_if_cached,
            "{outcome:?}"
        );
    }
}

#[test]
fn a_served_object_is_listed_and_its_holder_needs_no_query() {
    let mut host = TestHost::new(settings(), members());
    let first = host.serve_request(77, CacheStatus::Filled);
    let second = host.serve_request(77, CacheStatus::Hit);
    assert_eq!(second.cache, first.cache);
    assert!(is_upper_tier(second.source));
}

#[test]
fn the_object_table_is_bounded_and_drops_the_entry_longest_unused() {
    let mut host = TestHost::new(settings(), members());
    for object in [77, 78].into_iter().chain(1_000..1_000 + 16_383) {
        let fetch = only_fetch(&host.request(0, object).1);
        host.outcome(&fetch, 0, Outcome::Served, CacheStatus::Filled);
    }
    let ranks = [77, 78].map(|object| only_fetch(&host.request(0, object).1).retention_rank);
    assert_eq!(ranks, [1, 2], "only a listed object ranks higher");
}

#[test]
fn an_entry_expires_and_a_purge_a_restart_or_a_removal_invalidates_it() {
    let fetch_after = |change: &dyn Fn(&mut TestHost, CacheId)| {
        let mut host = TestHost::new(settings(), members());
        let first = host.serve_request(77, CacheStatus::Filled);
        change(&mut host, first.cache);
        let (_, actions) = host.request(0, 77);
        only_fetch(&actions)
    };
    let unchanged = fetch_after(&|_, _| {});
    assert_eq!(unchanged.retention_rank, 2, "a listed object ranks higher");
    let expired = fetch_after(&|host, _| host.now += 120 * SECOND);
    assert_eq!(expired.retention_rank, 1);
    let purged = fetch_after(&|host, _| {
        host.event(Event::Purged {
            object: Some(ObjectId(77)),
            group: 5,
            age: 100 * MS,
        });
    });
    assert_eq!(purged.retention_rank, 1);
    let group = fetch_after(&|host, _| {
        host.event(Event::Purged {
            object: None,
            group: 5,
            age: 100 * MS,
        });
    });
    assert_eq!(group.retention_rank, 1);
    let restarted = fetch_after(&|host, cache| {
        host.change_member(cache.0, |m| m.started_at = START - SECOND);
    });
    assert_eq!(restarted.retention_rank, 1);
    let removed = fetch_after(&|host, cache| {
        host.change_member(cache.0, |m| m.state = MemberState::Gone);
    });
    assert_eq!(removed.retention_rank, 1);
}

#[test]
fn sibling_queries_that_save_no_time_are_explored_and_resume_when_they_do() {
    let mut host = TestHost::new(settings(), members());
    let mut object = 0;
    let mut count_queries = |host: &mut TestHost, has_copies: bool| {
        let mut queries = 0;
        for _ in 0..400 {
            object += 1;
            host.now += 20 * MS;
            let (_, actions) = host.request(0, object);
            let fetch = only_fetch(&actions);
            queries += is_sibling(fetch.source) as u32;
            host.now += 20 * MS;
            if is_sibling(fetch.source) && !has_copies {
                let next =
                    only_fetch(&host.outcome(&fetch, 0, Outcome::Miss, CacheStatus::Unknown));
                host.now += 40 * MS;
                host.outcome(&next, 1, Outcome::Served, CacheStatus::Filled);
            } else {
                let elapsed = if is_sibling(fetch.source) {
                    55 * MS
                } else {
                    200 * MS
                };
                let id = fetch.id;
                let (outcome, cache_status) = (Outcome::Served, CacheStatus::Filled);
                host.event(Event::Outcome(AttemptReport {
                    id,
                    attempt: 0,
                    outcome,
                    cache_status,
                    elapsed,
                    last: true,
                }));
            }
        }
        queries
    };
    count_queries(&mut host, false);
    let while_slow = count_queries(&mut host, false);
    assert!(
        while_slow > 5 && while_slow < 80,
        "exploration only: {while_slow} of 400"
    );
    count_queries(&mut host, true);
    let while_fast = count_queries(&mut host, true);
    assert!(while_fast > 300, "queries resumed: {while_fast} of 400");
}

#[test]
fn requests_are_rejected_or_redirected_if_tiers_or_the_whole_list_are_empty() {
    let request_with = |is_kept: &dyn Fn(&Member) -> bool, direct_fetch: bool| {
        let list = members().into_iter().filter(|m| is_kept(m)).collect();
        let mut host = TestHost::new(
            Settings {
                direct_fetch,
                ..settings()
            },
            list,
        );
        host.request(0, 77).1
    };
    assert_eq!(
        final_results(&request_with(&|_| false, true)),
        1,
        "empty member list"
    );
    assert_eq!(
        final_results(&request_with(&|m| m.zone != 2, false)),
        1,
        "no cache in the zone"
    );
    let direct_fetch = only_fetch(&request_with(&|m| m.zone != 2, true));
    assert!(is_upper_tier(direct_fetch.cache) && direct_fetch.source == direct_fetch.cache);
    let no_parent = only_fetch(&request_with(&|m| m.kind != PARENT && m.zone != 3, false));
    assert_eq!(no_parent.source, CacheId(40));
    let own_only = request_with(&|m| m.zone == 2, false);
    assert_eq!(final_results(&own_only), 1, "no source for a fill");
}

#[test]
fn no_message_is_sent_to_peers_and_their_messages_have_no_effect() {
    let mut host = TestHost::new(settings(), members());
    let first = host.serve_request(77, CacheStatus::Filled);
    host.now += SECOND;
    let actions = host.event(Event::Timer { token: 1 });
    assert!(actions.is_empty(), "{actions:?}");
    for length in [0, 1, 13, 14, 252] {
        assert!(host
            .event(Event::PeerMessage {
                from: 9,
                message: vec![7; length]
            })
            .is_empty());
    }
    assert_eq!(only_fetch(&host.request(0, 77).1).cache, first.cache);
}
