//! Storms with limits, and files drawn at random.

use super::*;
use foldmux_limits::concurrency::ConcurrencyLimit;
use foldmux_limits::overrides::LimitOverrides;
use foldmux_limits::resolve::{ClassOverrides, Located};
use foldmux_limits::retry_budget::RetryBudget;
use proptest::prelude::*;
use proptest::strategy::ValueTree;
use proptest::test_runner::{Config, RngAlgorithm, TestRng, TestRunner};

const CLASSES: [&str; 3] = ["mix-video", "formula-card", "mix-record"];

fn scenario() -> Storm {
    Storm::parse("storm.toml", include_str!("../../scenarios/storm.toml")).unwrap()
}

fn draft() -> LimitsFile {
    let beside = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/storm.toml");
    limits(&scenario(), &beside).unwrap()
}

#[test]
fn in_a_storm_limits_cost_no_worth_and_it_recovers_within_three_seconds() {
    let storm = scenario();
    let Report { limited, today, .. } = report(&storm, &draft());
    assert!(
        limited.broken.is_empty() && today.broken.is_empty(),
        "{limited:?} {today:?}"
    );
    // How far, and why no further, stands in docs/limits.md.
    assert!(
        limited.load_factor <= today.load_factor + 0.02,
        "{limited:?} {today:?}"
    );
    assert!(limited.recovery_s <= 3.0, "{limited:?}");
    assert!(
        limited.worth_kept >= 0.98 * today.worth_kept,
        "{limited:?} {today:?}"
    );
    let again = report(&storm, &draft()).limited;
    assert_eq!(
        (again.load_factor, again.worth_kept),
        (limited.load_factor, limited.worth_kept),
        "by its seed alone"
    );
}

/// The clients' plain repeats, not the failure, keep it alive: without them it ends with its cause, and so it does
/// under limits.
#[test]
fn a_storm_that_plain_repeats_keep_alive_ends_under_limits() {
    let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("scenarios/kept-alive.toml");
    let text = std::fs::read_to_string(&file).unwrap();
    let storm = Storm::parse("kept-alive.toml", &text).unwrap();
    let draft = limits(&storm, &file).unwrap();
    let seeds = [1, 2, 3, 4, 7];
    let mean = |tries: u32, fails: f64, draft: Option<&LimitsFile>| {
        let days = seeds.map(|seed| {
            let fail_part = storm.fail_part * fails;
            play(
                &Storm {
                    seed,
                    tries,
                    fail_part,
                    ..storm.clone()
                },
                draft,
            )
        });
        assert!(days.iter().all(|day| day.broken.is_empty()), "{days:?}");
        days.iter().map(|day| day.worth_after).sum::<f64>() / days.len() as f64
    };
    let alive = mean(storm.tries, 1.0, None);
    assert!(alive < 0.3, "{alive} of the worth after the boxes' return");
    assert!(mean(1, 1.0, None) > 0.95, "clients that ask once");
    assert!(mean(storm.tries, 0.0, None) > 0.98, "no cause, no storm");
    let ended = mean(storm.tries, 1.0, Some(&draft));
    assert!(ended > 0.95, "{ended}");
    let own = report(&storm, &draft);
    // Without limits it is alive to the day's end, by the bound that the mean has.
    let today = &own.today;
    assert!(
        today.recovery_s.is_infinite() && today.worth_after < 0.3,
        "{own:?}"
    );
    let last = today.series.iter().rev().take(20).sum::<f64>() / 20.0;
    assert!(last < 0.2, "{last} of the worth in the last 20 s");
    assert!(own.recovery_s <= 3.0, "{own:?}");
}

#[test]
fn a_flood_of_cards_does_not_push_records_out() {
    let storm = Storm {
        fail_part: 0.0,
        flood: 1_500.0,
        ..scenario()
    };
    let day = play(&storm, Some(&draft()));
    assert!(
        day.records_served >= 0.99 && day.broken.is_empty(),
        "{day:?}"
    );
}

/// Files made by changing good ones: whatever the checks accept, no drawn day breaks a rule under it.
fn layers() -> impl Strategy<Value = LimitOverrides> {
    let some = |range: std::ops::Range<u64>| proptest::option::of(range);
    let times = (
        some(1..6_000),
        some(0..4_000),
        some(0..10),
        some(0..1_200),
        some(0..2_000),
    );
    let places = (
        some(1..40),
        some(0..20),
        some(0..800),
        some(0..600),
        some(0..2_500),
    );
    let rest = (
        proptest::option::of(0.5f64..4.0),
        proptest::option::of(0.0f64..120.0),
        0u8..4,
        any::<bool>(),
    );
    (times, places, rest).prop_map(|(times, places, (factor, jitter, budget, adaptive))| {
        LimitOverrides {
            deadline_ms: times.0,
            attempt_timeout_ms: times.1,
            max_attempts: times.2,
            backoff_base_ms: times.3,
            backoff_max_ms: times
                .4
                .filter(|_| times.3.is_some())
                .map(|most| most + times.3.unwrap_or(0)),
            backoff_factor: factor,
            jitter_percent: jitter,
            concurrency: places.0.map(|max| match adaptive {
                true => ConcurrencyLimit::Adaptive {
                    min: max.div_ceil(3),
                    max,
                },
                false => ConcurrencyLimit::Fixed { max },
            }),
            queue_capacity: places.1.filter(|_| places.0.is_some()),
            queue_timeout_ms: places
                .2
                .filter(|_| places.1.is_some_and(|n| n > 0) && places.0.is_some()),
            max_retry_after_ms: places.3,
            idempotency_window_ms: places.4,
            retry_budget: (budget > 0).then(|| ["a", "b", "none"][budget as usize - 1].to_string()),
            ..LimitOverrides::default()
        }
    })
}

fn drafts() -> impl Strategy<Value = LimitsFile> {
    let budget = |name: &'static str| {
        (0.0f64..300.0, 1u64..60).prop_map(move |(percent, burst)| Located {
            at: format!("f:{name}"),
            value: RetryBudget {
                name: name.to_string(),
                percent,
                burst,
                parent: None,
            },
        })
    };
    let class = |n: usize| {
        proptest::option::weighted(0.6, layers()).prop_map(move |overrides| {
            let mut overrides = overrides?;
            // Windows are for the keyed class alone; most files know that.
            overrides.idempotency_window_ms = overrides.idempotency_window_ms.filter(|_| n == 2);
            Some(Located {
                at: format!("f:{n}"),
                value: ClassOverrides {
                    class: CLASSES[n].to_string(),
                    overrides,
                },
            })
        })
    };
    (class(0), class(1), class(2), budget("a"), budget("b")).prop_map(|(a, b, c, one, other)| {
        LimitsFile {
            classes: [a, b, c].into_iter().flatten().collect(),
            budgets: vec![one, other],
            ..LimitsFile::default()
        }
    })
}

#[test]
fn whatever_the_checks_accept_breaks_no_rule_on_a_thousand_drawn_days() {
    // The same files each time.
    let config = Config {
        cases: 1,
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner =
        TestRunner::new_with_rng(config, TestRng::deterministic_rng(RngAlgorithm::ChaCha));
    let (mut accepted, mut refused, mut queued) = (0u64, 0u64, 0);
    while accepted < 1_000 {
        let draft = drafts().new_tree(&mut runner).unwrap().current();
        if !foldmux_limits::validation::validate(&Account::default(), &draft).is_empty() {
            refused += 1;
            assert!(refused < 200_000, "the checks accept nothing: {accepted}");
            continue;
        }
        accepted += 1;
        queued += draft.classes.iter().any(|located| {
            located
                .value
                .overrides
                .queue_capacity
                .is_some_and(|n| n > 0)
        }) as u64;
        let how = [How::Refuse, How::Errors, How::Silence][(accepted % 3) as usize];
        let storm = Storm {
            seed: accepted,
            seconds: 5.0,
            boxes: 4,
            rate: 150.0,
            slots: 2,
            fail_at_s: 1.0,
            fail_for_s: 2.0,
            fail_part: (accepted % 5) as f64 / 4.0,
            how,
            flood: (accepted % 4) as f64 * 60.0,
            ..scenario()
        };
        let day = play(&storm, Some(&draft));
        assert!(
            day.broken.is_empty(),
            "day {accepted}: {:?}\n{draft:#?}",
            day.broken
        );
    }
    assert!(
        refused > 1_000 && queued > 50,
        "{refused} refused, {queued} with queues"
    );
}
