//! Admission gates and concurrency limits: fills under overload, late fills, a failing origin.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn fills_from_a_failing_origin_are_held_back_while_parents_serve_stored_copies_until_it_recovers() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        ..settings()
    };
    let mut front = Front::new(lone, members());
    front.serve(77, CacheStatus::Filled);
    fill_with_fault(
        &mut front,
        1_000,
        60,
        Outcome::Overloaded,
        CacheStatus::OriginFailed,
    );
    let (deep, shallow) = fill_with_fault(
        &mut front,
        2_000,
        100,
        Outcome::Overloaded,
        CacheStatus::OriginFailed,
    );
    assert!(
        deep < 40 && shallow > 60,
        "{deep} went on to the origin, {shallow} took what parents hold"
    );
    let source = only_fetch(&front.request(0, 5_000).1).source;
    assert!(
        source.0 == 30 || source.0 == 31,
        "no parent is left for the origin's fault: {source:?}"
    );
    front.serve(77, CacheStatus::Hit);
    let held = only_fetch(&front.request(0, 77).1);
    assert_eq!(
        held.retention_rank, 2,
        "a listed object is asked for as before"
    );
    fill_with_fault(&mut front, 3_000, 100, Outcome::Served, CacheStatus::Filled);
    let (deep, shallow) =
        fill_with_fault(&mut front, 4_000, 100, Outcome::Served, CacheStatus::Filled);
    assert!(
        deep > 90 && shallow < 10,
        "open again: {deep} and {shallow}"
    );
}

#[test]
fn late_fills_lower_the_concurrency_limit() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut front = Front::new(lone, members());
    let out: Vec<Fetch> = (1_000..1_040)
        .map(|k| only_fetch(&front.request(0, k).1))
        .collect();
    assert!(
        out.iter().all(|f| !f.only_if_cached),
        "nothing is known to be slow"
    );
    front.now += 2 * SECOND;
    for fetch in &out {
        front.outcome_after(fetch, 0, Outcome::Served, CacheStatus::Unknown, 2 * SECOND);
    }
    front.now += 10 * SECOND;
    let sent: Vec<Fetch> = (2_000..2_060)
        .flat_map(|k| fetches(&front.request(0, k).1))
        .collect();
    let deep = sent
        .iter()
        .filter(|f| f.source != f.cache && !f.only_if_cached)
        .count();
    assert!(deep < 30, "{deep} at once after all of 40 were late");
}

#[test]
fn fills_that_take_most_of_the_latency_objective_leave_the_gates_open() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        ..settings()
    };
    let mut front = Front::new(lone, members());
    front.serve(77, CacheStatus::Unknown);
    for object in 1_000..1_200 {
        front.now += 25 * MS;
        front.serve(77, CacheStatus::Unknown);
        // All in time, within 450 ms beyond the sending time of 50 ms; one in five far beyond half of that.
        let elapsed = if object % 5 == 0 { 350 * MS } else { 150 * MS };
        for fetch in fetches(&front.request(0, object).1) {
            front.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Unknown, elapsed);
        }
    }
    let sent: Vec<Fetch> = (2_000..2_020)
        .flat_map(|k| fetches(&front.request(0, k).1))
        .collect();
    let deep = sent
        .iter()
        .filter(|f| f.source != f.cache && !f.only_if_cached)
        .count();
    assert!(deep >= 15, "{deep} of 20 at once after 200 in time");
}

#[test]
fn late_hits_close_the_zone_gate_and_limit_concurrency_until_links_recover() {
    let mut front = Front::new(settings(), members());
    front.serve(77, CacheStatus::Filled);
    for _ in 0..60 {
        front.now += 400 * MS;
        for fetch in fetches(&front.request(0, 77).1) {
            front.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Hit, SECOND);
        }
    }
    let sent: Vec<Fetch> = (5_000..5_050)
        .flat_map(|k| fetches(&front.request(0, k).1))
        .collect();
    let fills = sent.iter().filter(|f| f.source != f.cache).count();
    assert!(
        fills < 10,
        "{fills} of 50 new objects are filled while what is held comes late"
    );
    let burst: Vec<Fetch> = (0..20)
        .flat_map(|_| fetches(&front.request(0, 77).1))
        .collect();
    assert!(
        burst.len() < 6,
        "{} at once of what comes late",
        burst.len()
    );
    let sent = [sent, burst].concat();
    front.now += 5 * SECOND;
    for fetch in &sent {
        front.outcome_after(fetch, 0, Outcome::Served, CacheStatus::Hit, 60 * MS);
    }
    assert_eq!(
        fetches(&front.request(0, 77).1).len(),
        1,
        "a listed object is asked for once links are calm"
    );
}

#[test]
fn near_the_limit_short_transfers_go_before_long_ones_which_still_go_when_nothing_is_in_flight() {
    let lone = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        parent_kind: None,
        ..settings()
    };
    // Fills of both sizes, all in time or all late; then what of these sizes is let go while all stay out.
    let let_go = |late: bool, sizes: &[f64]| {
        let mut front = Front::new(lone.clone(), members_of(4, 3, 0));
        for k in 0..200u64 {
            front.now += 100 * MS;
            for fetch in fetches(
                &front
                    .request_of(0, 1_000 + k, if k % 2 == 0 { 4_000.0 } else { 400.0 })
                    .1,
            ) {
                let elapsed = if late { 2_500 * MS } else { 120 * MS };
                front.outcome_after(&fetch, 0, Outcome::Served, CacheStatus::Unknown, elapsed);
            }
        }
        front.now += 5 * SECOND;
        let filled = |(k, &size): (usize, &f64)| {
            let actions = front.request_of(0, 9_000 + k as u64, size).1;
            fetches(&actions).iter().any(|f| f.source.0 == 40)
        };
        sizes.iter().enumerate().map(filled).collect::<Vec<bool>>()
    };
    assert!(
        let_go(false, &[4_000.0; 40]).iter().all(|&go| go),
        "all go while fills are in time"
    );
    let (small, large) = (let_go(true, &[400.0; 40]), let_go(true, &[8_000.0; 40]));
    let count = |went: &[bool]| went.iter().filter(|&&go| go).count();
    assert!(
        (1..count(&small)).contains(&count(&large)),
        "{} small, {} large",
        count(&small),
        count(&large)
    );
    assert!(
        count(&small) < 8,
        "few at all, where all are late: {}",
        count(&small)
    );
}

#[test]
fn a_new_router_that_knows_no_sizes_fills_its_first_misses() {
    let mut choice = Settings {
        sibling_fills: SiblingFills::None,
        cache_status_detail: CacheStatusDetail::None,
        client_kb_per_s: 0.0,
        ..settings()
    };
    choice.classes.push(choice.classes[0].clone());
    let mut front = Front::new(choice, members());
    for (k, class) in [0, 2, 0, 2, 2].into_iter().enumerate() {
        let fetch = only_fetch(&front.request_of(class, 50 + k as u64, 0.0).1);
        assert!(
            (30..41).contains(&fetch.source.0) && !fetch.only_if_cached,
            "{k}: {fetch:?}"
        );
    }
}
