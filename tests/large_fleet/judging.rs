//! Judging a cache that is met seldom.

use super::*;

#[test]
fn a_cache_that_fails_half_of_its_attempts_is_soon_ejected_by_all() {
    let (choice, list) = fleet(8, 6, 4);
    let mut world = World::new(fronts(&choice, 100, 8), &list, 8.0);
    world.run(10 * SECOND, &mut calm);
    let share = |world: &World, from: Time| {
        let zone = world.count(from, |s| {
            (1_000..1_006)
                .contains(&s.fetch.cache.0)
                .then_some(s.fetch.cache.0)
        });
        zone.get(&1_000).copied().unwrap_or(0) as f64 / zone.values().sum::<usize>().max(1) as f64
    };
    let usual = share(&world, START);
    let mut turn = 0;
    let mut bad = |s: &Sent| match s.fetch.cache.0 {
        1_000 => {
            turn += 1;
            if turn % 2 == 0 {
                (Outcome::Reset, 5 * MS)
            } else {
                calm(s)
            }
        }
        _ => calm(s),
    };
    world.run(12 * SECOND, &mut bad);
    let from = world.now;
    world.run(8 * SECOND, &mut bad);
    let then = share(&world, from);
    println!("share of the bad cache: {usual:.3} before, {then:.3} after 12 s");
    assert!(then < usual * 0.75, "{then} of {usual}");
}

#[test]
fn one_failure_of_a_healthy_cache_does_not_eject_it() {
    for outcome in [
        Outcome::TimedOut,
        Outcome::Reset,
        Outcome::Error,
        Outcome::Overloaded,
    ] {
        let mut front = Front::new(
            Settings {
                cache_status_detail: CacheStatusDetail::None,
                ..settings()
            },
            members_of(1, 0, 2),
        );
        for object in 0..20 {
            front.serve(object, CacheStatus::Unknown);
        }
        front.now += 60 * SECOND;
        let (_, actions) = front.request(0, 77);
        front.outcome(&only_fetch(&actions), 0, outcome, CacheStatus::Unknown);
        front.now += 100 * MS;
        let (_, actions) = front.request(0, 78);
        assert_eq!(
            only_fetch(&actions).cache.0,
            10,
            "one {outcome:?} in a minute"
        );
    }
}

#[test]
fn one_success_of_a_failing_cache_does_not_bring_all_traffic_back() {
    let mut front = Front::new(
        Settings {
            cache_status_detail: CacheStatusDetail::None,
            ..settings()
        },
        members_of(2, 0, 2),
    );
    let at_bad = |front: &mut Front, outcome: Outcome, object: u64| {
        let (_, mut actions) = front.request(0, object);
        let (mut attempt, mut bad) = (0, false);
        while let Some(fetch) = fetches(&actions).first().cloned() {
            let here = fetch.cache.0 == 10;
            bad |= here;
            actions = front.outcome(
                &fetch,
                attempt,
                if here { outcome } else { Outcome::Served },
                CacheStatus::Unknown,
            );
            attempt += 1;
        }
        bad
    };
    let mut failed = 0;
    for object in 0..200 {
        front.now += 100 * MS;
        failed += at_bad(&mut front, Outcome::Reset, object) as u32;
    }
    assert!((5..60).contains(&failed), "{failed} of 200 tried there");
    // One answer, then requests within the same moment: no more than the trial's place is open.
    let first = (1_000..).find(|&object| {
        front.now += 100 * MS;
        at_bad(&mut front, Outcome::Served, object)
    });
    assert!(first.is_some());
    let open = (2_000..2_040)
        .filter(|&object| only_fetch(&front.request(0, object).1).cache.0 == 10)
        .count();
    assert!(open <= 1, "{open} of 40 at once after one success");
}
