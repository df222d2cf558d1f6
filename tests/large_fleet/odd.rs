//! Settings and lists that say nothing, or what can't be: no panic, and each request has its one answer.

use super::*;

type Change = fn(&mut Settings);

/// Rates, times and shares of 0, below 0 and no number.
const ODD: [(&str, Change); 16] = [
    ("no pace", |s| s.client_kb_per_s = 0.0),
    ("a pace below 0", |s| s.client_kb_per_s = -5.0),
    ("a pace that is no number", |s| s.client_kb_per_s = f64::NAN),
    ("no fall window", |s| s.overload_window = 0),
    ("no time to warm", |s| {
        (s.cache_slow_start_time, s.parent_slow_start_time) = (0, 0)
    }),
    ("nothing borne while cold", |s| {
        (s.cache_slow_start_ratio, s.parent_slow_start_ratio) = (0.0, 0.0)
    }),
    ("multiples of 0", |s| {
        (s.cache_overload_multiple, s.parent_overload_multiple) = (0.0, 0.0)
    }),
    ("multiples below 0", |s| {
        (s.cache_overload_multiple, s.parent_overload_multiple) = (-1.0, -1.0)
    }),
    ("multiples that are no number", |s| {
        (s.cache_overload_multiple, s.parent_overload_multiple) = (f64::NAN, f64::NAN)
    }),
    ("aims of 0", |s| {
        s.classes
            .iter_mut()
            .for_each(|c| (c.latency_objective, c.latency_objective_stretch) = (0, 0.0))
    }),
    ("worth below 0", |s| {
        s.classes
            .iter_mut()
            .for_each(|c| (c.priority_weight, c.late_value_ratio) = (-1.0, f64::NAN))
    }),
    ("no routers told", |s| {
        (s.router_count, s.routers_by_zone, s.index) = (0, Vec::new(), 0)
    }),
    ("an index beyond them", |s| s.index = u32::MAX),
    ("no hubs told", |s| s.hub_by_zone = Vec::new()),
    ("no wait after a refusal", |s| s.max_retry_after = Some(0)),
    ("no slack", |s| {
        (
            s.response_slack,
            s.drain_timeout,
            s.purge_slack,
            s.purge_complete,
        ) = (0, 0, 0, 0)
    }),
];

#[test]
fn settings_of_0_below_0_or_nan_fail_no_request_and_never_panic() {
    for (what, change) in ODD {
        let (mut choice, mut list) = fleet(4, 3, 2);
        change(&mut choice);
        let told = fronts(&choice, 12, 4).into_iter().map(|s| {
            let mut one = Settings {
                index: s.index,
                zone: s.zone,
                ..choice.clone()
            };
            change(&mut one);
            one
        });
        list.iter_mut()
            .enumerate()
            .for_each(|(n, m)| m.weight = [0.0, -1.0, f64::NAN, f64::INFINITY][n % 4]);
        let mut world = World::new(told.collect(), &list, 20.0);
        world.objects = 50;
        let mut fails = |s: &Sent| match s.fetch.id.0 % 7 {
            0 => (Outcome::TimedOut, 400 * MS),
            1 => (Outcome::Overloaded, MS),
            _ => calm(s),
        };
        world.run(2 * SECOND, &mut fails);
        // A cold one comes, all copies go void, one leaves.
        for front in 0..12 {
            let boot = world.now;
            let cold = Member {
                started_at: boot,
                weight: -1.0,
                ..member(1_050, 2, 0)
            };
            world.tell(
                front,
                Event::Members {
                    full: false,
                    members: vec![cold],
                },
                &mut fails,
            );
            world.tell(
                front,
                Event::Purged {
                    object: None,
                    group: 5,
                    age: Time::MAX,
                },
                &mut fails,
            );
            let gone = Member {
                state: MemberState::Gone,
                ..member(1_000, 2, 0)
            };
            world.tell(
                front,
                Event::Members {
                    full: false,
                    members: vec![gone],
                },
                &mut fails,
            );
        }
        world.run(6 * SECOND, &mut fails);
        let before = world.now - 4 * SECOND;
        assert_eq!(world.owed(before), 0, "{what}: requests without an answer");
        assert!(world.asked > 1_500, "{what}");
    }
}
