//! Settings drawn far wider than any one deployment's, as the text that a host is given.

use crate::common::*;
use foldmux::interface::*;
use proptest::prelude::*;
use serde_json::{json, Value};

#[derive(Clone, Debug)]
pub struct Drawn {
    pub text: String,
    /// The same without tenants and costs, which may change no decision.
    pub bare: String,
}

impl Drawn {
    pub fn settings(&self) -> Settings {
        foldmux_settings::parse(&self.text)
            .expect("a text that says all")
            .settings
    }
}

/// An effect and the group that a keyed one goes by.
fn effects() -> impl Strategy<Value = (&'static str, &'static str)> {
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

/// Times in ms: a class may be wanted later than it is waited for, for some ms only, or be worth nothing. Repeats may be
/// dropped for no time at all, for less than a dial takes, or for longer than any client waits; copies may be fresh for some
/// ms.
fn class(
    effect: impl Strategy<Value = (&'static str, &'static str)>,
) -> impl Strategy<Value = Value> {
    let aim = prop_oneof![4 => 1u64..2_000, 1 => Just(0u64), 1 => 2_000u64..60_000];
    let deadline = prop_oneof![3 => 300u64..10_000, 1 => 1u64..40, 1 => 10_000u64..90_000];
    let window =
        prop_oneof![1 => Just(0u64), 2 => 1u64..400, 2 => 400u64..10_000, 1 => 10_000u64..600_000];
    let fresh = prop_oneof![2 => Just(0u64), 1 => 1u64..200, 1 => 200u64..60_000];
    let grace = prop_oneof![1 => Just(0u64), 1 => 1u64..200, 2 => 200u64..120_000];
    let worth = prop_oneof![Just(0.0f64), 0.01..100.0f64];
    let times = (aim, deadline, window, fresh, grace);
    (effect, times, 0.0..4.0f64, worth, any::<bool>()).prop_map(|(effect, times, stretch, worth, write)| {
        let (aim, deadline, window, fresh, grace) = times;
        json!({"slo": aim * MS, "hardLimit": deadline * MS, "aimStretch": stretch, "importance": worth,
            "lateValue": worth / 10.0, "idempotency": effect.0, "group": effect.1, "repeatWindow": window * MS,
            "fresh": if write { 0 } else { fresh * MS }, "grace": grace * MS, "write": write})
    })
}

/// Most classes: twice as many as any deployment has.
pub const CLASSES: usize = 8;

/// Several of any sort, one alone, or none that is keyed.
fn classes() -> impl Strategy<Value = Vec<Value>> {
    let several = prop::collection::vec(class(effects()), 2..=CLASSES);
    let one = class(effects()).prop_map(|c| vec![c]);
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

pub fn drawn() -> impl Strategy<Value = Drawn> {
    let word = |words: [&'static str; 3]| (0usize..3).prop_map(move |k| words[k]);
    let tree = (
        any::<bool>(),
        word(["none", "location", "any"]),
        word(["none", "hit", "all"]),
        any::<[bool; 5]>(),
    );
    let lasts = || prop_oneof![1 => Just(0u64), 6 => 1u64..60];
    let window = prop_oneof![1 => 1u64..200, 5 => 200u64..10_000];
    let part = || prop_oneof![1 => Just(0.0f64), 6 => 0.02..0.7f64, 1 => 0.7..1.0f64];
    let cold = (
        part(),
        lasts(),
        1.0..8.0f64,
        window,
        0u64..20,
        part(),
        lasts(),
    );
    let pace = (
        prop_oneof![Just(0.0f64), 1.0..20_000.0f64],
        prop_oneof![Just(0.0f64), 0.5..3.0f64],
    );
    let fleet = (prop_oneof![9 => 1u32..10, 1 => 10u32..400], 0u32..400);
    // Drain grace, answer slack, dials, idle connections, waits of refusals.
    let times = (
        prop_oneof![Just(0u64), 1u64..500, 500u64..10_000],
        0u64..60,
        1u64..3_000,
        prop_oneof![Just(0u64), 1u64..60_000],
        0u64..10_000,
    );
    let costs = (cost(), cost(), cost(), cost());
    let all = (classes(), tree, cold, pace, fleet, tenants(), costs, times);
    all.prop_map(|(classes, tree, cold, (pace, falls), (attempts, routers), tenants, costs, times)| {
        let (parents, siblings, notes, bits) = tree;
        let (drain, slack, dial, idle, wait) = times;
        let (from, lasts, multiple, window, done, parent_from, parent_lasts) = cold;
        let bare = json!({
            "index": 0, "balancers": routers, "locality": 2, "classes": classes.clone(),
            "weights": if bits[3] { "nominal" } else { "" },
            "limits": {"maxAttempts": attempts, "cancel": bits[2], "retryAfter": bits[4], "maxRetryAfter": wait * MS,
                "dialTimeout": dial * MS, "keepalive": idle * MS},
            "rules": {"answerSlack": slack * MS, "stopSendingWithin": drain * MS, "coldFrom": from, "rampTime": lasts * SECOND,
                "fall": window * MS, "fallMultiple": multiple},
            "domain": domain(&classes, &json!({
                "originKind": ORIGIN, "midKind": if parents { PARENT as i64 } else { -1 }, "hubOf": [0, 1, 0, 0],
                "instancesByZone": [0, 0, routers, 1], "siblings": siblings, "notesGiven": notes, "canJoin": bits[0],
                "direct": bits[1], "clientKbPerS": pace, "parentFloor": parent_from,
                "parentCold": parent_lasts * SECOND, "parentBreaksAt": multiple, "purgeSlack": 300 * MS,
                "purgeDone": done * SECOND, "rootFallMultiple": falls,
            })),
        });
        let mut full = bare.clone();
        full["projects"] = json!(tenants);
        full["overShareWorth"] = json!(costs.0);
        full["domain"]["transitPrice"] = json!(costs.1);
        full["charges"] = json!({"origin": costs.2, "waste": costs.3, "crossZone": 0.0});
        Drawn { text: full.to_string(), bare: bare.to_string() }
    })
}
