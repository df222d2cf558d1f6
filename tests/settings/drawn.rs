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
        foldmux_settings::parse(&self.text).expect("a text that says all").settings
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

/// Times in ms: a class may be wanted later than it is waited for, for some ms only, or be worth nothing.
fn class(effect: impl Strategy<Value = (&'static str, &'static str)>) -> impl Strategy<Value = Value> {
    let deadline = prop_oneof![3 => 300u64..10_000, 1 => 1u64..40];
    let fresh = prop_oneof![Just(0u64), 1u64..60_000];
    let worth = prop_oneof![Just(0.0f64), 0.01..100.0f64];
    let times = (1u64..2_000, deadline, 0u64..10_000, fresh, 0u64..120_000);
    (effect, times, 0.0..4.0f64, worth, any::<bool>()).prop_map(|(effect, times, stretch, worth, write)| {
        let (aim, deadline, window, fresh, grace) = times;
        json!({"slo": aim * MS, "hardLimit": deadline * MS, "aimStretch": stretch, "importance": worth,
            "lateValue": worth / 10.0, "idempotency": effect.0, "group": effect.1, "repeatWindow": window * MS,
            "fresh": if write { 0 } else { fresh * MS }, "grace": grace * MS, "write": write})
    })
}

/// Several of any sort, one alone, or none that is keyed.
fn classes() -> impl Strategy<Value = Vec<Value>> {
    let several = prop::collection::vec(class(effects()), 2..5);
    let one = class(effects()).prop_map(|c| vec![c]);
    prop_oneof![several, one, prop::collection::vec(class(unkeyed()), 1..4)]
}

fn tenants() -> impl Strategy<Value = Vec<Value>> {
    let share = prop_oneof![Just(0.0f64), 0.0..1.0f64];
    let tenant = (share, prop_oneof![Just(0.0f64), 0.1..5_000.0f64])
        .prop_map(|(share, rate)| json!({"name": "t", "share": share, "allowancePerS": rate}));
    prop::collection::vec(tenant, 0..5)
}

fn cost() -> impl Strategy<Value = f64> {
    prop_oneof![Just(0.0f64), 0.0..0.5f64]
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
    let tree =
        (any::<bool>(), word(["none", "location", "any"]), word(["none", "hit", "all"]), any::<[bool; 5]>());
    let cold = (0.02..0.7f64, 1u64..40, 1.1..6.0f64, 200u64..5_000, 1u64..20, 0.02..0.7f64, 1u64..40);
    let pace = (prop_oneof![Just(0.0f64), 1.0..20_000.0f64], prop_oneof![Just(0.0f64), 0.5..3.0f64]);
    let fleet = (1u32..10, 1u32..200);
    let costs = (cost(), cost(), cost(), cost());
    let all = (classes(), tree, cold, pace, fleet, tenants(), costs);
    all.prop_map(|(classes, tree, cold, (pace, falls), (attempts, routers), tenants, costs)| {
        let (parents, siblings, notes, bits) = tree;
        let (from, lasts, multiple, window, done, parent_from, parent_lasts) = cold;
        let bare = json!({
            "index": 0, "balancers": routers, "locality": 2, "classes": classes.clone(),
            "weights": if bits[3] { "nominal" } else { "" },
            "limits": {"maxAttempts": attempts, "cancel": bits[2], "retryAfter": bits[4], "maxRetryAfter": SECOND},
            "rules": {"answerSlack": 8 * MS, "stopSendingWithin": SECOND, "coldFrom": from, "rampTime": lasts * SECOND,
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
