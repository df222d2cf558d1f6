//! Generated settings, over far wider ranges than any deployment's, as the JSON text that a host is given.

use crate::common::*;
use foldmux::interface::*;
use proptest::prelude::*;
use serde_json::{json, Value};

#[derive(Clone, Debug)]
pub struct GeneratedSettings {
    pub text: String,
    /// The same settings without tenants and costs, which must not change any decision.
    pub without_tenants: String,
}

impl GeneratedSettings {
    pub fn settings(&self) -> Settings {
        foldmux_settings::parse(&self.text)
            .expect("the generated settings are valid")
            .settings
    }
}

/// The `idempotency` of a class and, if it is keyed, its `group`.
fn retry_safeties() -> impl Strategy<Value = (&'static str, &'static str)> {
    prop_oneof![
        Just(("free", "")),
        Just(("single_shot", "")),
        Just(("guarded", "all")),
        Just(("guarded", "zone")),
        Just(("guarded", "cell")),
    ]
}

fn unkeyed() -> impl Strategy<Value = (&'static str, &'static str)> {
    prop_oneof![Just(("free", "")), Just(("single_shot", ""))]
}

/// A class, with times drawn in ms. The latency objective may be after the deadline or only some ms long, and the value
/// may be 0. Idempotency keys may be remembered for no time, for less than a connection takes, or for longer than any
/// client waits; copies may be fresh for only some ms.
fn class(
    retry_safety: impl Strategy<Value = (&'static str, &'static str)>,
) -> impl Strategy<Value = Value> {
    let objective = prop_oneof![4 => 1u64..2_000, 1 => Just(0u64), 1 => 2_000u64..60_000];
    let deadline = prop_oneof![3 => 300u64..10_000, 1 => 1u64..40, 1 => 10_000u64..90_000];
    let window =
        prop_oneof![1 => Just(0u64), 2 => 1u64..400, 2 => 400u64..10_000, 1 => 10_000u64..600_000];
    let fresh = prop_oneof![2 => Just(0u64), 1 => 1u64..200, 1 => 200u64..60_000];
    let stale = prop_oneof![1 => Just(0u64), 1 => 1u64..200, 2 => 200u64..120_000];
    let weight = prop_oneof![Just(0.0f64), 0.01..100.0f64];
    let times = (objective, deadline, window, fresh, stale);
    (retry_safety, times, 0.0..4.0f64, weight, any::<bool>()).prop_map(|(retry_safety, times, stretch, weight, write)| {
        let (objective, deadline, window, fresh, stale) = times;
        json!({"slo": objective * MS, "hardLimit": deadline * MS, "aimStretch": stretch, "importance": weight,
            "lateValue": weight / 10.0, "idempotency": retry_safety.0, "group": retry_safety.1,
            "repeatWindow": window * MS, "fresh": if write { 0 } else { fresh * MS },
            "grace": stale * MS, "write": write})
    })
}

/// Maximum number of classes: twice as many as any deployment has.
pub const CLASSES: usize = 8;

/// Several classes of any kind, a single one, or only classes without keys.
fn classes() -> impl Strategy<Value = Vec<Value>> {
    let several = prop::collection::vec(class(retry_safeties()), 2..=CLASSES);
    let one = class(retry_safeties()).prop_map(|c| vec![c]);
    prop_oneof![3 => several, 1 => one, 1 => prop::collection::vec(class(unkeyed()), 1..=CLASSES)]
}

fn tenants() -> impl Strategy<Value = Vec<Value>> {
    let share = prop_oneof![Just(0.0f64), 0.0..1.0f64];
    let tenant = (share, prop_oneof![Just(0.0f64), 0.1..5_000.0f64])
        .prop_map(|(share, rate)| json!({"name": "t", "share": share, "allowancePerS": rate}));
    prop::collection::vec(tenant, 0..9)
}

fn cost() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0f64), 0.0..0.5f64, 0.5..50.0f64]
}

fn domain(classes: &[Value], rest: &Value) -> Value {
    let of = |key: &str| classes.iter().map(|c| c[key].clone()).collect::<Vec<_>>();
    let mut domain = rest.clone();
    domain["lifetimeByClass"] = json!(of("fresh"));
    domain["graceFor"] = json!(of("grace"));
    domain["passOn"] = json!(of("write"));
    domain
}

pub fn generated_settings() -> impl Strategy<Value = GeneratedSettings> {
    let one_of = |options: [&'static str; 3]| (0usize..3).prop_map(move |k| options[k]);
    let tree = (
        any::<bool>(),
        one_of(["none", "location", "any"]),
        one_of(["none", "hit", "all"]),
        any::<[bool; 5]>(),
    );
    let duration = || prop_oneof![1 => Just(0u64), 6 => 1u64..60];
    let window = prop_oneof![1 => 1u64..200, 5 => 200u64..10_000];
    let ratio = || prop_oneof![1 => Just(0.0f64), 6 => 0.02..0.7f64, 1 => 0.7..1.0f64];
    let slow_start = (
        ratio(),
        duration(),
        1.0..8.0f64,
        window,
        0u64..20,
        ratio(),
        duration(),
    );
    let rates = (
        prop_oneof![Just(0.0f64), 1.0..20_000.0f64],
        prop_oneof![Just(0.0f64), 0.5..3.0f64],
    );
    let fleet = (prop_oneof![9 => 1u32..10, 1 => 10u32..400], 0u32..400);
    // Drain timeout, response slack, connection timeout, idle connection timeout, Retry-After.
    let times = (
        prop_oneof![Just(0u64), 1u64..500, 500u64..10_000],
        0u64..60,
        1u64..3_000,
        prop_oneof![Just(0u64), 1u64..60_000],
        0u64..10_000,
    );
    let costs = (cost(), cost(), cost(), cost());
    let settings = (
        classes(),
        tree,
        slow_start,
        rates,
        fleet,
        tenants(),
        costs,
        times,
    );
    settings.prop_map(|(classes, tree, slow_start, rates, (attempts, routers), tenants, costs, times)| {
        let (rate, origin_overload) = rates;
        let (parents, siblings, status_detail, flags) = tree;
        let (drain, slack, connect, idle, wait) = times;
        let (initial_ratio, duration, overload_multiple, window, purge_complete, parent_ratio, parent_duration) =
            slow_start;
        let without_tenants = json!({
            "index": 0, "balancers": routers, "locality": 2, "classes": classes.clone(),
            "weights": if flags[3] { "nominal" } else { "" },
            "limits": {"maxAttempts": attempts, "cancel": flags[2], "retryAfter": flags[4], "maxRetryAfter": wait * MS,
                "dialTimeout": connect * MS, "keepalive": idle * MS},
            "rules": {"answerSlack": slack * MS, "stopSendingWithin": drain * MS, "coldFrom": initial_ratio,
                "rampTime": duration * SECOND, "fall": window * MS, "fallMultiple": overload_multiple},
            "domain": domain(&classes, &json!({
                "originKind": ORIGIN, "midKind": if parents { PARENT as i64 } else { -1 }, "hubOf": [0, 1, 0, 0],
                "instancesByZone": [0, 0, routers, 1], "siblings": siblings, "notesGiven": status_detail,
                "canJoin": flags[0], "direct": flags[1], "clientKbPerS": rate, "parentFloor": parent_ratio,
                "parentCold": parent_duration * SECOND, "parentBreaksAt": overload_multiple, "purgeSlack": 300 * MS,
                "purgeDone": purge_complete * SECOND, "rootFallMultiple": origin_overload,
            })),
        });
        let mut full = without_tenants.clone();
        full["projects"] = json!(tenants);
        full["overShareWorth"] = json!(costs.0);
        full["domain"]["transitPrice"] = json!(costs.1);
        full["charges"] = json!({"origin": costs.2, "waste": costs.3, "crossZone": 0.0});
        GeneratedSettings { text: full.to_string(), without_tenants: without_tenants.to_string() }
    })
}
