//! The text of the exported limits, against a fixture. The schema is compared in `export.rs`.
//!
//! `WRITE_FIXTURES=1 cargo test -p foldmux-limits --test formats` writes it anew.

use foldmux_limits::account::Group;
use foldmux_limits::export::{json, Entry, File};
use foldmux_limits::table::{Draft, Match, Route, Said, Table};
use foldmux_limits::values::{Budget, Concurrency, Effective, Layer, FIELDS};
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

fn effective(concurrency: Concurrency, group: Group) -> Effective {
    // A new variant needs a value in the test below.
    match (concurrency, group) {
        (Concurrency::Fixed { .. } | Concurrency::Adaptive { .. }, _) => {}
    }
    match group {
        Group::Cell | Group::Zone | Group::All => {}
    }
    Effective {
        deadline_ms: 301,
        attempt_ms: 302,
        attempts: 303,
        backoff_ms: 304,
        backoff_factor: 1.5,
        backoff_most_ms: 305,
        jitter_percent: 12.5,
        budget: Some("child".into()),
        concurrency: Some(concurrency),
        queue: 306,
        queue_age_ms: 307,
        copies: 308,
        keep: 309,
        stale_ms: 310,
        fills: 311,
        wait_ms: 312,
        window_ms: 313,
        group,
    }
}

#[test]
fn the_text_of_exported_values_stays() {
    let entry = |values| Entry {
        class: "mix-video".into(),
        route: Some("north".into()),
        zone: Some("oulu".into()),
        caller: Some("player".into()),
        front: Some("dns".into()),
        values,
        from: BTreeMap::from([("attempts".into(), "f.star:2".into())]),
    };
    let file = File {
        version: 1,
        budgets: vec![Budget {
            name: "child".into(),
            percent: 2.5,
            burst: 314,
            parent: Some("root".into()),
        }],
        limits: vec![
            entry(effective(Concurrency::Fixed { most: 315 }, Group::Cell)),
            entry(effective(
                Concurrency::Adaptive {
                    least: 316,
                    most: 317,
                },
                Group::Zone,
            )),
            entry(effective(Concurrency::Fixed { most: 318 }, Group::All)),
        ],
    };
    check(
        "values.json",
        &(serde_json::to_string_pretty(&file).unwrap() + "\n"),
    );
}

#[test]
fn the_text_of_an_exported_table_stays() {
    let said = |line: u32| format!("f.star:{line}");
    let layer = |attempts| Layer {
        attempts: Some(attempts),
        ..Layer::default()
    };
    let route = Route {
        name: "north".into(),
        class: "mix-record".into(),
        matching: Match {
            zone: Some("oulu".into()),
            caller: Some("player".into()),
            front: Some("msgpack".into()),
        },
        layer: layer(2),
    };
    let draft = Draft {
        classes: vec![Said {
            at: said(1),
            value: ("mix-record".into(), layer(3)),
        }],
        routes: vec![Said {
            at: said(2),
            value: route,
        }],
        ..Draft::default()
    };
    let table = Table::new(&Account::default(), &draft);
    check("table.json", &(json(&table) + "\n"));
}

#[test]
fn the_names_of_fields_are_those_of_the_export() {
    let values = effective(Concurrency::Fixed { most: 1 }, Group::All);
    let exported = serde_json::to_value(&values).unwrap();
    let exported: Vec<&String> = exported.as_object().unwrap().keys().collect();
    let mut fields = FIELDS;
    fields.sort_unstable();
    assert_eq!(exported, fields);
}
