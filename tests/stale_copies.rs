//! Stale copies: when they are accepted, and how old they may be.
mod common;
use common::*;
use foldmux::interface::*;

/// A router without parents whose copies go stale within seconds, after 200 fills from the origin: timed out if `slow`,
/// else in time.
fn router_with_short_freshness(slow: bool) -> TestHost {
    let mut host = TestHost::new(settings_with_short_freshness(), members_of(4, 3, 0));
    for object in 1_000..1_200 {
        host.now += 40 * MS;
        let mut actions = host.request(0, object).1;
        for attempt in 0..8 {
            let Some(fetch) = fetches(&actions).first().cloned() else {
                break;
            };
            let (outcome, elapsed) = match (fetch.source.0, slow) {
                (40, true) => (Outcome::TimedOut, 900 * MS),
                (40, false) => (Outcome::Served, 90 * MS),
                _ => (Outcome::Miss, 10 * MS),
            };
            actions = host.outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, elapsed);
        }
    }
    host
}

#[test]
fn stale_copies_are_accepted_while_fills_are_limited_within_purges_and_stale_while_revalidate() {
    let mut healthy = router_with_short_freshness(false);
    let ages: Vec<Time> = (5_000..5_040)
        .map(|k| only_fetch(&healthy.request(0, k).1).max_age)
        .collect();
    assert!(
        ages.iter().all(|&a| a == 12 * SECOND),
        "only fresh copies while fills are in time: {ages:?}"
    );

    let mut limited = router_with_short_freshness(true);
    let ages: Vec<Time> = (5_000..5_040)
        .flat_map(|k| fetches(&limited.request(0, k).1))
        .map(|f| f.max_age)
        .collect();
    assert!(
        ages.len() > 30 && ages.iter().all(|&a| a == 42 * SECOND),
        "freshness lifetime plus stale-while-revalidate: {ages:?}"
    );
    limited.event(Event::Purged {
        object: None,
        group: 5,
        age: 2 * SECOND,
    });
    let ages: Vec<Time> = (6_000..6_040)
        .flat_map(|k| fetches(&limited.request(0, k).1))
        .map(|f| f.max_age)
        .collect();
    assert!(
        ages.iter().all(|&a| (1..=2 * SECOND).contains(&a)),
        "the purge is the tighter bound: {ages:?}"
    );
}

#[test]
fn a_class_without_a_freshness_lifetime_takes_no_age_from_stale_while_revalidate() {
    let mut config = Settings {
        sibling_fills: SiblingFills::None,
        ..settings()
    };
    config.classes[0].stale_while_revalidate = 30 * SECOND;
    let mut host = TestHost::new(config, members());
    fill_new_objects(
        &mut host,
        1_000,
        100,
        Outcome::Overloaded,
        CacheStatus::OriginFailed,
    );
    let ages: Vec<Time> = (5_000..5_040)
        .flat_map(|k| fetches(&host.request(0, k).1))
        .map(|f| f.max_age)
        .collect();
    assert!(
        ages.iter().all(|&a| a == 0),
        "no age bound without a purge: {ages:?}"
    );
}

#[test]
fn a_fill_that_is_not_admitted_to_the_origin_asks_a_sibling_for_its_stored_copy() {
    let mut limited = router_with_short_freshness(true);
    let sent: Vec<Fetch> = (5_000..5_060)
        .flat_map(|k| fetches(&limited.request(0, k).1))
        .collect();
    let at_siblings = sent
        .iter()
        .filter(|f| f.only_if_cached && (20..23).contains(&f.source.0))
        .count();
    assert!(
        at_siblings > 20,
        "{at_siblings} of {} ask a sibling",
        sent.len()
    );
    assert!(
        sent.iter().all(|f| f.source.0 == 40 || f.only_if_cached),
        "only the origin may fill without a stored copy"
    );
}
