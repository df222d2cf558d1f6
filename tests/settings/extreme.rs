//! Settings whose numbers stand at the ends of their bounds: taken or refused, and where taken no event panics.

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

/// The text of one class and its fresh time and grace.
fn class() -> impl Strategy<Value = (serde_json::Value, u64, u64, bool)> {
    let effect = prop::sample::select(vec!["free", "guarded", "single_shot"]);
    (prop::array::uniform6(time()), factor(), factor(), effect, any::<bool>()).prop_map(
        |([aim, deadline, window, fresh, grace, _], stretch, worth, effect, pass_on)| {
            let class = json!({"slo": aim, "hardLimit": deadline, "aimStretch": stretch, "importance": worth,
                "idempotency": effect, "repeatWindow": window});
            (class, fresh, grace, pass_on)
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
    let whole = prop_oneof![1 => Just(0u32), 8 => Just(1), 8 => Just(u32::MAX)];
    let numbers = (
        prop::array::uniform3(whole),
        hub,
        prop_oneof![Just(2usize), Just(usize::MAX)],
        -2i64..4,
    );
    (classes, times, factors, numbers).prop_map(|(classes, times, factors, numbers)| {
        let ([index, routers, attempts], hub, zone, parent) = numbers;
        let of = |read: fn(&(serde_json::Value, u64, u64, bool)) -> serde_json::Value| {
            classes.iter().map(read).collect::<Vec<_>>()
        };
        json!({
            "index": index, "balancers": routers, "locality": zone, "classes": of(|class| class.0.clone()),
            "limits": {"maxAttempts": attempts, "retryAfter": true, "maxRetryAfter": times[0], "dialTimeout": times[1],
                "keepalive": times[2], "cancel": true},
            "rules": {"answerSlack": times[3], "stopSendingWithin": times[4], "coldFrom": factors[0],
                "rampTime": times[5], "fall": times[6], "fallMultiple": factors[1]},
            "domain": {"originKind": ORIGIN, "midKind": parent, "hubOf": [0, hub], "siblings": "any", "notesGiven": "none",
                "instancesByZone": [routers, routers], "clientKbPerS": factors[2], "parentFloor": factors[3],
                "parentCold": times[7], "parentBreaksAt": factors[4], "purgeSlack": times[8], "purgeDone": times[9],
                "rootFallMultiple": factors[5], "direct": true, "lifetimeByClass": of(|class| json!(class.1)),
                "graceFor": of(|class| json!(class.2)), "passOn": of(|class| json!(class.3))},
        })
        .to_string()
    })
}

/// Plays requests, outcomes, purges, restarts and looks.
fn play(settings: Settings, steps: &[(u64, u8)]) {
    let classes = settings.classes.len();
    let mut router = Router::new(settings, 7);
    // Today's date, as a proxy's clock has it.
    let (mut now, mut out, mut open) = (1_764_576_000 * SECOND, Vec::new(), Vec::<Fetch>::new());
    let list = |boot| -> Vec<Member> {
        members()
            .into_iter()
            .map(|member| Member {
                started_at: boot,
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
        &mut out,
    );
    for (id, &(wait, what)) in steps.iter().enumerate() {
        now += wait;
        let event = match what % 8 {
            0..=2 => Event::Request(IncomingRequest {
                id: RequestId(id as u64),
                class: what as usize % classes,
                object: ObjectId(id as u64 % 9),
                part: 0,
                group: 5,
                size_kb: [0.0, 1.0, 1e9][id % 3],
                time_budget: 600 * SECOND,
                placement_ttl: 0,
                required_group: None,
            }),
            3..=4 if !open.is_empty() => {
                let fetch = open.remove(id % open.len());
                let outcome = [
                    Outcome::Served,
                    Outcome::TimedOut,
                    Outcome::Reset,
                    Outcome::Miss,
                ][id % 4];
                let (note, last) = (CacheStatus::Unknown, outcome == Outcome::Served);
                Event::Outcome(AttemptReport {
                    id: fetch.id,
                    attempt: 0,
                    outcome,
                    cache_status: note,
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
        out.clear();
        router.handle(now, event, &mut out);
        open.extend(fetches(&out));
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, ..crate::config(37) })]

    #[test]
    fn settings_at_the_ends_of_their_bounds_are_refused_or_panic_nowhere(
        text in text(), steps in prop::collection::vec((0u64..40_000_000, any::<u8>()), 40..160),
    ) {
        match foldmux_settings::parse(&text) {
            Ok(decoded) => play(decoded.settings, &steps),
            Err(lines) => prop_assert!(lines.starts_with("settings.") && !lines.contains('\n'), "{}", lines),
        }
    }
}
