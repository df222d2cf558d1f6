//! What is exported: of the schema that is committed, and what differs between two files.

use foldmux_limits::export::{diff, json, schema, show};
use foldmux_limits::table::{Draft, Match, Route, Said, Table};
use foldmux_limits::values::{Budget, Layer};
use foldmux_limits::Account;

fn draft(attempts: u64, route: bool, percent: f64) -> Draft {
    let said = |line: u32| format!("f.star:{line}");
    let layer = Layer {
        attempts: Some(attempts),
        budget: Some("b".into()),
        ..Layer::default()
    };
    let matching = Match {
        zone: Some("oulu".into()),
        ..Match::default()
    };
    let own = Route {
        name: "north".into(),
        class: "mix-video".into(),
        matching,
        layer: Layer::default(),
    };
    Draft {
        classes: vec![Said {
            at: said(2),
            value: ("mix-video".into(), layer),
        }],
        routes: route
            .then(|| Said {
                at: said(3),
                value: own,
            })
            .into_iter()
            .collect(),
        budgets: vec![Said {
            at: said(1),
            value: Budget {
                name: "b".into(),
                percent,
                burst: 4,
                parent: None,
            },
        }],
        ..Draft::default()
    }
}

#[test]
fn the_committed_schema_is_that_of_the_export() {
    let committed = include_str!("../../../docs/limits.schema.json");
    assert_eq!(
        committed,
        schema(),
        "foldmux limits schema > docs/limits.schema.json"
    );
    let table = Table::new(&Account::default(), &draft(3, true, 5.0));
    let value: serde_json::Value = serde_json::from_str(&json(&table)).unwrap();
    assert_eq!(value["limits"].as_array().unwrap().len(), 4);
    assert_eq!(
        (
            &value["limits"][0]["route"],
            &value["limits"][0]["from"]["attempts"]
        ),
        (&"north".into(), &"f.star:2".into())
    );
}

#[test]
fn values_are_shown_with_where_they_come_from_and_compared() {
    let table = |draft| Table::new(&Account::default(), &draft);
    let (old, new) = (table(draft(3, true, 5.0)), table(draft(2, false, 9.0)));
    let shown = show(&old, old.named("mix-video", Some("north")).unwrap());
    assert!(shown.starts_with("mix-video, route north\n"));
    let line = |field: &str| {
        shown
            .lines()
            .find(|line| line.trim().starts_with(field))
            .unwrap()
            .to_string()
    };
    assert!(
        line("attempts ").ends_with("f.star:2") && line("keep").ends_with("today"),
        "{shown}"
    );
    assert_eq!(
        diff(&old, &new),
        [
            "gone     mix-video, route north",
            "changed  mix-video attempts: 3 -> 2",
            "changed  budget b: 5 percent, burst 4 -> 9 percent, burst 4",
        ]
    );
    assert!(diff(&old, &old).is_empty());
}
