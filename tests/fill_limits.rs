//! Admission gates and concurrency limits: fills under overload, late fills, a failing origin.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn fills_from_a_failing_origin_are_limited_to_the_parents_stored_copies_until_it_recovers() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        ..settings()
    };
    let mut host = TestHost::new(without_siblings, members());
    host.serve_request(77, CacheStatus::Filled);
    fill_new_objects(
        &mut host,
        1_000,
        60,
        Outcome::Overloaded,
        CacheStatus::OriginFailed,
    );
    let (unrestricted, cached_only) = fill_new_objects(
        &mut host,
        2_000,
        100,
        Outcome::Overloaded,
        CacheStatus::OriginFailed,
    );
    assert!(
        unrestricted < 40 && cached_only > 60,
        "{unrestricted} may reach the origin, {cached_only} ask for the parents' stored copies"
    );
    let source = only_fetch(&host.request(0, 5_000).1).source;
    assert!(
        source.0 == 30 || source.0 == 31,
        "no parent is ejected for the origin's failures: {source:?}"
    );
    host.serve_request(77, CacheStatus::Hit);
    let listed = only_fetch(&host.request(0, 77).1);
    assert_eq!(
        listed.retention_rank, 2,
        "a listed object is requested as before"
    );
    fill_new_objects(&mut host, 3_000, 100, Outcome::Served, CacheStatus::Filled);
    let (unrestricted, cached_only) =
        fill_new_objects(&mut host, 4_000, 100, Outcome::Served, CacheStatus::Filled);
    assert!(
        unrestricted > 90 && cached_only < 10,
        "the gates are open again: {unrestricted} and {cached_only}"
    );
}

#[test]
fn late_fills_lower_the_concurrency_limit() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut host = TestHost::new(without_siblings, members());
    let in_flight: Vec<Fetch> = (1_000..1_040)
        .map(|k| only_fetch(&host.request(0, k).1))
        .collect();
    assert!(
        in_flight.iter().all(|f| !f.only_if_cached),
        "no limit applies before the first late fill"
    );
    host.now += 2 * SECOND;
    for fetch in &in_flight {
        host.outcome_after(fetch, 0, Outcome::Served, CacheStatus::Unknown, 2 * SECOND);
    }
    host.now += 10 * SECOND;
    let sent: Vec<Fetch> = (2_000..2_060)
        .flat_map(|k| fetches(&host.request(0, k).1))
        .collect();
    let unrestricted = sent
        .iter()
        .filter(|f| f.source != f.cache && !f.only_if_cached)
        .count();
    assert!(
        unrestricted < 30,
        "{unrestricted} concurrent fills after all of 40 were late"
    );
}

#[test]
fn fills_that_take_most_of_the_latency_objective_leave_the_gates_open() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut host = TestHost::new(without_siblings, members());
    host.serve_request(77, CacheStatus::Unknown);
    for object in 1_000..1_200 {
        host.now += 25 * MS;
        host.serve_request(77, CacheStatus::Unknown);
        // All are in time, within 450 ms beyond the transfer time of 50 ms; one in five takes well over half of that.
        let elapsed = if object % 5 == 0 { 350 * MS } else { 150 * MS };
        for fetch in fetches(&host.request(0, object).1) {
            host.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Unknown, elapsed);
        }
    }
    let sent: Vec<Fetch> = (2_000..2_020)
        .flat_map(|k| fetches(&host.request(0, k).1))
        .collect();
    let unrestricted = sent
        .iter()
        .filter(|f| f.source != f.cache && !f.only_if_cached)
        .count();
    assert!(
        unrestricted >= 15,
        "{unrestricted} of 20 concurrent fills after 200 in time"
    );
}

#[test]
fn late_hits_lower_the_zone_gate_and_limit_concurrency_until_links_recover() {
    let mut host = TestHost::new(settings(), members());
    host.serve_request(77, CacheStatus::Filled);
    for _ in 0..60 {
        host.now += 400 * MS;
        for fetch in fetches(&host.request(0, 77).1) {
            host.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Hit, SECOND);
        }
    }
    let sent: Vec<Fetch> = (5_000..5_050)
        .flat_map(|k| fetches(&host.request(0, k).1))
        .collect();
    let fills = sent.iter().filter(|f| f.source != f.cache).count();
    assert!(
        fills < 10,
        "{fills} of 50 new objects are filled while hits are late"
    );
    let burst: Vec<Fetch> = (0..20)
        .flat_map(|_| fetches(&host.request(0, 77).1))
        .collect();
    assert!(
        burst.len() < 6,
        "{} concurrent attempts while hits are late",
        burst.len()
    );
    let sent = [sent, burst].concat();
    host.now += 5 * SECOND;
    for fetch in &sent {
        host.outcome_after(fetch, 0, Outcome::Served, CacheStatus::Hit, 60 * MS);
    }
    assert_eq!(
        fetches(&host.request(0, 77).1).len(),
        1,
        "a listed object is requested once the links have recovered"
    );
}

#[test]
fn near_the_limit_short_transfers_are_preferred_and_long_ones_are_sent_if_none_is_in_flight() {
    let without_siblings = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        parent_kind: None,
        ..settings()
    };
    // After fills of two sizes, all in time or all late: which of the fills of `sizes` are sent while none of them
    // ends.
    let sent_fills = |late: bool, sizes: &[f64]| {
        let mut host = TestHost::new(without_siblings.clone(), members_of(4, 3, 0));
        for k in 0..200u64 {
            host.now += 100 * MS;
            for fetch in fetches(
                &host
                    .request_of(0, 1_000 + k, if k % 2 == 0 { 4_000.0 } else { 400.0 })
                    .1,
            ) {
                let elapsed = if late { 2_500 * MS } else { 120 * MS };
                host.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Unknown, elapsed);
            }
        }
        host.now += 5 * SECOND;
        let is_filled = |(k, &size): (usize, &f64)| {
            let actions = host.request_of(0, 9_000 + k as u64, size).1;
            fetches(&actions).iter().any(|f| f.source.0 == 40)
        };
        sizes
            .iter()
            .enumerate()
            .map(is_filled)
            .collect::<Vec<bool>>()
    };
    assert!(
        sent_fills(false, &[4_000.0; 40])
            .iter()
            .all(|&is_sent| is_sent),
        "all are sent while fills are in time"
    );
    let (small, large) = (
        sent_fills(true, &[400.0; 40]),
        sent_fills(true, &[8_000.0; 40]),
    );
    let count = |sent: &[bool]| sent.iter().filter(|&&is_sent| is_sent).count();
    assert!(
        (1..count(&small)).contains(&count(&large)),
        "{} small, {} large",
        count(&small),
        count(&large)
    );
    assert!(
        count(&small) < 8,
        "few are sent if all are late: {}",
        count(&small)
    );
}

#[test]
fn a_new_router_that_knows_no_sizes_fills_its_first_misses() {
    let mut config = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        client_kb_per_s: 0.0,
        ..settings()
    };
    config.classes.push(config.classes[0].clone());
    let mut host = TestHost::new(config, members());
    for (k, class) in [0, 2, 0, 2, 2].into_iter().enumerate() {
        let fetch = only_fetch(&host.request_of(class, 50 + k as u64, 0.0).1);
        assert!(
            (30..41).contains(&fetch.source.0) && !fetch.only_if_cached,
            "{k}: {fetch:?}"
        );
    }
}
