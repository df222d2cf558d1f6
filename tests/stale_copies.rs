//! Stale copies: when they are accepted, and how old they may be.
mod common;
use common::*;
use foldmux::interface::*;

/// A router whose class 0 is stale within seconds, without a parent; the origin's fills time out, or are in time.
fn router_with_short_freshness(slow: bool) -> Front {
    let mut front = Front::new(stale_pages(), members_of(4, 3, 0));
    for object in 1_000..1_200 {
        front.now += 40 * MS;
        let mut actions = front.request(0, object).1;
        for attempt in 0..8 {
            let Some(fetch) = fetches(&actions).first().cloned() else {
                break;
            };
            let (outcome, elapsed) = match (fetch.source.0, slow) {
                (40, true) => (Outcome::TimedOut, 900 * MS),
                (40, false) => (Outcome::Served, 90 * MS),
                _ => (Outcome::Miss, 10 * MS),
            };
            actions = front.outcome_after(&fetch, attempt, outcome, CacheStatus::Unknown, elapsed);
        }
    }
    front
}

#[test]
fn stale_copies_are_accepted_while_fills_are_limited_within_purges_and_stale_while_revalidate() {
    let mut calm = router_with_short_freshness(false);
    let ages: Vec<Time> = (5_000..5_040)
        .map(|k| only_fetch(&calm.request(0, k).1).max_age)
        .collect();
    assert!(
        ages.iter().all(|&a| a == 12 * SECOND),
        "fresh copies alone while fills are in time: {ages:?}"
    );

    let mut short = router_with_short_freshness(true);
    let ages: Vec<Time> = (5_000..5_040)
        .flat_map(|k| fetches(&short.request(0, k).1))
        .map(|f| f.max_age)
        .collect();
    assert!(
        ages.len() > 30 && ages.iter().all(|&a| a == 42 * SECOND),
        "fresh time and grace: {ages:?}"
    );
    short.event(Event::Purged {
        object: None,
        group: 5,
        age: 2 * SECOND,
    });
    let ages: Vec<Time> = (6_000..6_040)
        .flat_map(|k| fetches(&short.request(0, k).1))
        .map(|f| f.max_age)
        .collect();
    assert!(
        ages.iter().all(|&a| (1..=2 * SECOND).contains(&a)),
        "the purge binds first: {ages:?}"
    );
}

#[test]
fn a_class_without_a_freshness_lifetime_takes_no_age_from_stale_while_revalidate() {
    let mut choice = Settings {
        sibling_fills: SiblingFills::None,
        ..settings()
    };
    choice.classes[0].stale_while_revalidate = 30 * SECOND;
    let mut front = Front::new(choice, members());
    fill_with_fault(
        &mut front,
        1_000,
        100,
        Outcome::Overloaded,
        CacheStatus::OriginFailed,
    );
    let ages: Vec<Time> = (5_000..5_040)
        .flat_map(|k| fetches(&front.request(0, k).1))
        .map(|f| f.max_age)
        .collect();
    assert!(
        ages.iter().all(|&a| a == 0),
        "good until it is purged: {ages:?}"
    );
}

#[test]
fn a_fill_that_is_held_back_from_the_origin_goes_to_a_sibling_that_has_a_copy() {
    let mut short = router_with_short_freshness(true);
    let sent: Vec<Fetch> = (5_000..5_060)
        .flat_map(|k| fetches(&short.request(0, k).1))
        .collect();
    let held = sent
        .iter()
        .filter(|f| f.only_if_cached && (20..23).contains(&f.source.0))
        .count();
    assert!(held > 20, "{held} of {} ask the neighbours", sent.len());
    assert!(
        sent.iter().all(|f| f.source.0 == 40 || f.only_if_cached),
        "nobody else is told to fill"
    );
}
