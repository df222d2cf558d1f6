//! Ejection of a cache to which each router sends few attempts.

use super::*;

#[test]
fn a_cache_that_fails_half_of_its_attempts_is_soon_ejected_by_all() {
    let (config, list) = fleet(8, 6, 4);
    let mut simulation = Simulation::new(router_settings(&config, 100, 8), &list, 8.0);
    simulation.run(10 * SECOND, &mut healthy);
    let share = |simulation: &Simulation, from: Time| {
        let zone = simulation.count_sent(from, |s| {
            (1_000..1_006)
                .contains(&s.fetch.cache.0)
                .then_some(s.fetch.cache.0)
        });
        zone.get(&1_000).copied().unwrap_or(0) as f64 / zone.values().sum::<usize>().max(1) as f64
    };
    let before = share(&simulation, START);
    let mut attempts = 0;
    let mut failing = |s: &SentAttempt| match s.fetch.cache.0 {
        1_000 => {
            attempts += 1;
            if attempts % 2 == 0 {
                (Outcome::Reset, 5 * MS)
            } else {
                healthy(s)
            }
        }
        _ => healthy(s),
    };
    simulation.run(12 * SECOND, &mut failing);
    let from = simulation.now;
    simulation.run(8 * SECOND, &mut failing);
    let after = share(&simulation, from);
    println!("share of the failing cache: {before:.3} before, {after:.3} after 12 s");
    assert!(after < before * 0.75, "{after} of {before}");
}

#[test]
fn one_failure_of_a_healthy_cache_does_not_eject_it() {
    for outcome in [
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Error,
        Outcome::Overloaded,
    ] {
        let mut host = TestHost::new(
            Settings {
                cache_status_detail: CacheStatusDetail::None,
                ..settings()
            },
            members_of(1, 0, 2),
        );
        for object in 0..20 {
            host.serve_request(object, CacheStatus::Unknown);
        }
        host.now += 60 * SECOND;
        let (_, actions) = host.request(0, 77);
        host.outcome(&only_fetch(&actions), 0, outcome, CacheStatus::Unknown);
        host.now += 100 * MS;
        let (_, actions) = host.request(0, 78);
        assert_eq!(
            only_fetch(&actions).cache.0,
            10,
            "one {outcome:?} in a minute"
        );
    }
}

#[test]
fn one_success_of_a_failing_cache_does_not_bring_all_traffic_back() {
    let mut host = TestHost::new(
        Settings {
            cache_status_detail: CacheStatusDetail::None,
            ..settings()
        },
        members_of(2, 0, 2),
    );
    let tries_failing_cache = |host: &mut TestHost, outcome: Outcome, object: u64| {
        let (_, mut actions) = host.request(0, object);
        let (mut attempt, mut tried) = (0, false);
        while let Some(fetch) = fetches(&actions).first().cloned() {
            let is_failing = fetch.cache.0 == 10;
            tried |= is_failing;
            actions = host.outcome(
                &fetch,
                attempt,
                if is_failing { outcome } else { Outcome::Served },
                CacheStatus::Unknown,
            );
            attempt += 1;
        }
        tried
    };
    let mut failed = 0;
    for object in 0..200 {
        host.now += 100 * MS;
        failed += tries_failing_cache(&mut host, Outcome::Reset, object) as u32;
    }
    assert!(
        (5..60).contains(&failed),
        "{failed} of 200 sent to the failing cache"
    );
    // After one success, of simultaneous requests at most one is sent there, as a trial.
    let first = (1_000..).find(|&object| {
        host.now += 100 * MS;
        tries_failing_cache(&mut host, Outcome::Served, object)
    });
    assert!(first.is_some());
    let sent_there = (2_000..2_040)
        .filter(|&object| only_fetch(&host.request(0, object).1).cache.0 == 10)
        .count();
    assert!(
        sent_there <= 1,
        "{sent_there} of 40 at once after one success"
    );
}
