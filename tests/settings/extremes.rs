//! Settings with numbers at the ends of their bounds: they are accepted or rejected, and with accepted settings no
//! event causes a panic.

use crate::common::*;
use foldmux::interface::*;
use foldmux::Router;
use foldmux_settings::bounds::{FACTOR_MOST, TIME_MOST, ZONE_MOST};
use proptest::prelude::*;
use serde_json::json;

fn time() -> impl Strategy<Value = u64> {
    prop_oneof![
        2 => Just(0),
        10 => Just(1),
        10 => Just(999),
        10 => Just(TIME_MOST - 1),
        40 => Just(TIME_MOST),
        40 => 1u64..10_000_000,
        1 => Just(TIME_MOST + 1),
        1 => Just(u64::MAX),
    ]
}

fn factor() -> impl Strategy<Value = f64> {
    prop_oneof![
        10 => Just(0.0),
        10 => Just(1e-300),
        10 => Just(1.0),
        40 => Just(FACTOR_MOST),
        40 => 0.0..4.0f64,
        1 => Just(FACTOR_MOST + 1.0),
        1 => Just(-1.0),
        1 => Just(1e300),
    ]
}

/// The JSON of a class, its freshness lifetime, its stale-while-revalidate time, and whether it bypasses the cache.
fn class() -> impl Strategy<Value = (serde_json::Value, u64, u64, bool)> {
    let retry_safety = prop::sample::select(vec!["free", "guarded", "single_shot"]);
    (prop::array::uniform6(time()), factor(), factor(), retry_safety, any::<bool>()).prop_map(
        |([objective, deadline, window, fresh, stale, _], stretch, weight, retry_safety, bypass_cache)| {
            let class = json!({"slo": objective, "hardLimit": deadline, "aimStretch": stretch, "importance": weight,
                "idempotency": retry_safety, "repeatWindow": window});
            (class, fresh, stale, bypass_cache)
        },
    )
}

fn text() -> impl Strategy<Value = String> {
    let classes = prop::collection::vec(class(), 0..6);
    let (times, factors) = (
        prop::array::uniform10(time()),
        prop::array::uniform7(factor()),
    );
    let hub = prop_oneof![8 => Just(0), 8 => Just(1), 8 => Just(ZONE_MOST), 1 => Just(usize::MAX)];
    let integer = prop_oneof![1 => Just(0u32), 8 => Just(1), 8 => Just(u32::MAX)];
    let numbers = (
        prop::array::uniform3(integer),
        hub,
        prop_oneof![Just(2usize), Just(usize::MAX)],
        -2i64..4,
    );
    (classes, times, factors, numbers).prop_map(|(classes, times, factors, numbers)| {
        let ([index, routers, attempts], hub, zone, parent) = numbers;
        let by_class = |read: fn(&(serde_json::Value, u64, u64, bool)) -> serde_json::Value| {
            classes.iter().map(read).collect::<Vec<_>>()
        };
        json!({
            "index": index, "balancers": routers, "locality": zone, "classes": by_class(|class| class.0.clone()),
            "limits": {"maxAttempts": attempts, "retryAfter": true, "maxRetryAfter": times[0], "dialTimeout": times[1],
                "keepalive": times[2], "cancel": true},
            "rules": {"answerSlack": times[3], "stopSendingWithin": times[4], "coldFrom": factors[0],
                "rampTime": times[5], "fall": times[6], "fallMultiple": factors[1]},
            "domain": {"originKind": ORIGIN, "midKind": parent, "hubOf": [0, hub], "siblings": "any",
                "notesGiven": "none", "instancesByZone": [routers, routers], "clientKbPerS": factors[2],
                "parentFloor": factors[3], "parentCold": times[7], "parentBreaksAt": factors[4],
                "purgeSlack": times[8], "purgeDone": times[9],
                "rootFallMultiple": factors[5], "direct": true, "lifetimeByClass": by_class(|class| json!(class.1)),
                "graceFor": by_class(|class| json!(class.2)), "passOn": by_class(|class| json!(class.3))},
        })
        .to_string()
    })
}

/// Passes requests, outcomes, purges, restarts and timers to a router.
fn run_steps(settings: Settings, steps: &[(u64, u8)]) {
    let classes = settings.classes.len();
    let mut router = Router::new(settings, 7);
    // A present-day Unix time, as a proxy's clock has it.
    let (mut now, mut actions, mut in_flight) =
        (1_764_576_000 * SECOND, Vec::new(), Vec::<Fetch>::new());
    let list = |started_at| -> Vec<Member> {
        members()
            .into_iter()
            .map(|member| Member {
                started_at,
                ..member
            })
            .collect()
    };
    router.handle(
        now,
        Event::Members {
            full: true,
            members: list(0),
        },
        &mut actions,
    );
    for (id, &(wait, kind)) in steps.iter().enumerate() {
        now += wait;
        let event = match kind % 8 {
            0..=2 => Event::Request(IncomingRequest {
                id: RequestId(id as u64),
                class: kind as usize % classes,
                object: ObjectId(id as u64 % 9),
                part: 0,
                group: 5,
                size_kb: [0.0, 1.0, 1e9][id % 3],
                time_budget: 600 * SECOND,
                placement_ttl: 0,
                required_group: None,
            }),
            3..=4 if !in_flight.is_empty() => {
                let fetch = in_flight.remove(id % in_flight.len());
                let outcome = [
                    Outcome::Served,
                    Outcome::TimedOut,
                    Outcome::Reset,
                    Outcome::Miss,
                ][id % 4];
                let (cache_status, last) = (CacheStatus::Unknown, outcome == Outcome::Served);
                Event::Outcome(AttemptReport {
                    id: fetch.id,
                    attempt: 0,
                    outcome,
                    cache_status,
                    elapsed: wait,
                    last,
                })
            }
            5 => Event::Purged {
                object: None,
                group: 5,
                age: wait,
            },
            6 => Event::Members {
                full: true,
                members: list(now),
            },
            _ => Event::Timer { token: 1 },
        };
        actions.clear();
        router.handle(now, event, &mut actions);
        in_flight.extend(fetches(&actions));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..crate::config(37) })]

    #[test]
    fn settings_at_the_ends_of_their_bounds_are_rejected_or_cause_no_panic(
        text in text(), steps in prop::collection::vec((0u64..40_000_000, any::<u8>()), 40..160),
    ) {
        match foldmux_settings::parse(&text) {
            Ok(decoded) => run_steps(decoded.settings, &steps),
            Err(lines) => prop_assert!(lines.starts_with("settings.") && !lines.contains('\n'), "{}", lines),
        }
    }
}
