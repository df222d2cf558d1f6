//! Invalid settings and member lists: the router does not panic, and each request gets one final result.

use super::*;

type Change = fn(&mut Settings);

/// Rates, times and ratios that are 0, negative or NaN.
const INVALID: [(&str, Change); 16] = [
    ("transfer rate of 0", |s| s.client_kb_per_s = 0.0),
    ("negative transfer rate", |s| s.client_kb_per_s = -5.0),
    ("transfer rate of NaN", |s| s.client_kb_per_s = f64::NAN),
    ("overload window of 0", |s| s.overload_window = 0),
    ("slow-start time of 0", |s| {
        (s.cache_slow_start_time, s.parent_slow_start_time) = (0, 0)
    }),
    ("slow-start ratio of 0", |s| {
        (s.cache_slow_start_ratio, s.parent_slow_start_ratio) = (0.0, 0.0)
    }),
    ("overload multiples of 0", |s| {
        (s.cache_overload_multiple, s.parent_overload_multiple) = (0.0, 0.0)
    }),
    ("negative overload multiples", |s| {
        (s.cache_overload_multiple, s.parent_overload_multiple) = (-1.0, -1.0)
    }),
    ("overload multiples of NaN", |s| {
        (s.cache_overload_multiple, s.parent_overload_multiple) = (f64::NAN, f64::NAN)
    }),
    ("latency objectives of 0", |s| {
        s.classes
            .iter_mut()
            .for_each(|c| (c.latency_objective, c.latency_objective_stretch) = (0, 0.0))
    }),
    ("negative weights and late values of NaN", |s| {
        s.classes
            .iter_mut()
            .for_each(|c| (c.priority_weight, c.late_value_ratio) = (-1.0, f64::NAN))
    }),
    ("no routers", |s| {
        (s.router_count, s.routers_by_zone, s.index) = (0, Vec::new(), 0)
    }),
    ("router index out of range", |s| s.index = u32::MAX),
    ("no hubs", |s| s.hub_by_zone = Vec::new()),
    ("Retry-After of 0", |s| s.max_retry_after = Some(0)),
    ("slack times of 0", |s| {
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
    for (name, change) in INVALID {
        let (mut config, mut list) = fleet(4, 3, 2);
        change(&mut config);
        let router_configs = router_settings(&config, 12, 4).into_iter().map(|s| {
            let mut one = Settings {
                index: s.index,
                zone: s.zone,
                ..config.clone()
            };
            change(&mut one);
            one
        });
        list.iter_mut()
            .enumerate()
            .for_each(|(n, m)| m.weight = [0.0, -1.0, f64::NAN, f64::INFINITY][n % 4]);
        let mut simulation = Simulation::new(router_configs.collect(), &list, 20.0);
        simulation.object_count = 50;
        let mut fails = |s: &SentAttempt| match s.fetch.id.0 % 7 {
            0 => (Outcome::TimedOut, 400 * MS),
            1 => (Outcome::Overloaded, MS),
            _ => healthy(s),
        };
        simulation.run(2 * SECOND, &mut fails);
        // A cache joins, all copies are purged, another cache leaves.
        for router in 0..12 {
            let started_at = simulation.now;
            let newcomer = Member {
                started_at,
                weight: -1.0,
                ..member(1_050, 2, 0)
            };
            simulation.deliver(
                router,
                Event::Members {
                    full: false,
                    members: vec![newcomer],
                },
                &mut fails,
            );
            simulation.deliver(
                router,
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
            simulation.deliver(
                router,
                Event::Members {
                    full: false,
                    members: vec![gone],
                },
                &mut fails,
            );
        }
        simulation.run(6 * SECOND, &mut fails);
        let before = simulation.now - 4 * SECOND;
        assert_eq!(
            simulation.unanswered_before(before),
            0,
            "{name}: requests without a final result"
        );
        assert!(simulation.request_count > 1_500, "{name}");
    }
}
