//! The text of the exported limits, compared with fixtures. The schema is compared in `export.rs`.
//!
//! `WRITE_FIXTURES=1 cargo test -p foldmux-limits --test formats` rewrites them.

use foldmux_limits::account::IdempotencyScope;
use foldmux_limits::concurrency::ConcurrencyLimit;
use foldmux_limits::effective::{EffectiveLimits, Field};
use foldmux_limits::export::{to_json, ExportedEntry, ExportedLimits};
use foldmux_limits::overrides::LimitOverrides;
use foldmux_limits::resolve::{ClassOverrides, LimitSet, LimitsFile, Located, RouteOverrides};
use foldmux_limits::retry_budget::RetryBudget;
use foldmux_limits::route_match::RouteMatch;
use foldmux_limits::Account;
use std::collections::BTreeMap;
use std::fs;

fn check(file: &str, written: &str) {
    let path = format!("{}/tests/formats/{file}", env!("CARGO_MANIFEST_DIR"));
    if std::env::var_os("WRITE_FIXTURES").is_some() {
        fs::write(&path, written).expect("the fixture can be written");
    }
    let fixture = fs::read_to_string(&path).expect("the fixture can be read");
    assert_eq!(written, fixture, "{file}: the format has changed");
}

fn effective(concurrency: ConcurrencyLimit, scope: IdempotencyScope) -> EffectiveLimits {
    // A new variant needs a value in the test below.
    match (concurrency, scope) {
        (ConcurrencyLimit::Fixed { .. } | ConcurrencyLimit::Adaptive { .. }, _) => {}
    }
    match scope {
        IdempotencyScope::Cell | IdempotencyScope::Zone | IdempotencyScope::All => {}
    }
    EffectiveLimits {
        deadline_ms: 301,
        attempt_timeout_ms: 302,
        max_attempts: 303,
        backoff_base_ms: 304,
        backoff_factor: 1.5,
        backoff_max_ms: 305,
        jitter_percent: 12.5,
        retry_budget: Some("child".into()),
        concurrency: Some(concurrency),
        queue_capacity: 306,
        queue_timeout_ms: 307,
        concurrent_attempts: 308,
        retention_rank: 309,
        max_stale_ms: 310,
        max_fills: 311,
        max_retry_after_ms: 312,
        idempotency_window_ms: 313,
        idempotency_scope: scope,
    }
}

#[test]
fn exported_values_keep_their_text() {
    let entry = |values| ExportedEntry {
        class: "mix-video".into(),
        route: Some("north".into()),
        zone: Some("oulu".into()),
        caller: Some("player".into()),
        front: Some("dns".into()),
        values,
        sources: BTreeMap::from([("attempts".into(), "f.star:2".into())]),
    };
    let file = ExportedLimits {
        version: 1,
        budgets: vec![RetryBudget {
            name: "child".into(),
            percent: 2.5,
            burst: 314,
            parent: Some("root".into()),
        }],
        limits: vec![
            entry(effective(
                ConcurrencyLimit::Fixed { max: 315 },
                IdempotencyScope::Cell,
            )),
            entry(effective(
                ConcurrencyLimit::Adaptive { min: 316, max: 317 },
                IdempotencyScope::Zone,
            )),
            entry(effective(
                ConcurrencyLimit::Fixed { max: 318 },
                IdempotencyScope::All,
            )),
        ],
    };
    check(
        "values.json",
        &(serde_json::to_string_pretty(&file).unwrap() + "\n"),
    );
}

#[test]
fn an_exported_set_of_limits_keeps_its_text() {
    let at = |line: u32| format!("f.star:{line}");
    let overrides = |attempts| LimitOverrides {
        max_attempts: Some(attempts),
        ..LimitOverrides::default()
    };
    let route = RouteOverrides {
        name: "north".into(),
        class: "mix-record".into(),
        matching: RouteMatch {
            zone: Some("oulu".into()),
            caller: Some("player".into()),
            front: Some("msgpack".into()),
        },
        overrides: overrides(2),
    };
    let file = LimitsFile {
        classes: vec![Located {
            at: at(1),
            value: ClassOverrides {
                class: "mix-record".into(),
                overrides: overrides(3),
            },
        }],
        routes: vec![Located {
            at: at(2),
            value: route,
        }],
        ..LimitsFile::default()
    };
    let limits = LimitSet::new(&Account::default(), &file);
    check("table.json", &(to_json(&limits) + "\n"));
}

#[test]
fn field_names_match_the_export() {
    let values = effective(ConcurrencyLimit::Fixed { max: 1 }, IdempotencyScope::All);
    let exported = serde_json::to_value(&values).unwrap();
    let exported: Vec<&String> = exported.as_object().unwrap().keys().collect();
    let mut fields = Field::ALL.map(Field::name);
    fields.sort_unstable();
    assert_eq!(exported, fields);
}
