//! The export, which matches the committed schema, and the differences between two files.

use foldmux_limits::export::{describe, diff, schema, to_json};
use foldmux_limits::overrides::LimitOverrides;
use foldmux_limits::resolve::{ClassOverrides, LimitSet, LimitsFile, Located, RouteOverrides};
use foldmux_limits::retry_budget::RetryBudget;
use foldmux_limits::route_match::RouteMatch;
use foldmux_limits::Account;

fn file(attempts: u64, route: bool, percent: f64) -> LimitsFile {
    let at = |line: u32| format!("f.star:{line}");
    let overrides = LimitOverrides {
        max_attempts: Some(attempts),
        retry_budget: Some("b".into()),
        ..LimitOverrides::default()
    };
    let matching = RouteMatch {
        zone: Some("oulu".into()),
        ..RouteMatch::default()
    };
    let own = RouteOverrides {
        name: "north".into(),
        class: "mix-video".into(),
        matching,
        overrides: LimitOverrides::default(),
    };
    LimitsFile {
        classes: vec![Located {
            at: at(2),
            value: ClassOverrides {
                class: "mix-video".into(),
                overrides,
            },
        }],
        routes: route
            .then(|| Located {
                at: at(3),
                value: own,
            })
            .into_iter()
            .collect(),
        budgets: vec![Located {
            at: at(1),
            value: RetryBudget {
                name: "b".into(),
                percent,
                burst: 4,
                parent: None,
            },
        }],
        ..LimitsFile::default()
    }
}

#[test]
fn the_committed_schema_matches_the_export() {
    let committed = include_str!("../../../docs/limits.schema.json");
    assert_eq!(
        committed,
        schema(),
        "foldmux limits schema > docs/limits.schema.json"
    );
    let limits = LimitSet::new(&Account::default(), &file(3, true, 5.0));
    let value: serde_json::Value = serde_json::from_str(&to_json(&limits)).unwrap();
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
fn values_are_described_with_their_sources_and_compared() {
    let limits = |file| LimitSet::new(&Account::default(), &file);
    let (old, new) = (limits(file(3, true, 5.0)), limits(file(2, false, 9.0)));
    let described = describe(&old, old.get("mix-video", Some("north")).unwrap());
    assert!(described.starts_with("mix-video, route north\n"));
    let line = |field: &str| {
        described
            .lines()
            .find(|line| line.trim().starts_with(field))
            .unwrap()
            .to_string()
    };
    assert!(
        line("attempts ").ends_with("f.star:2") && line("keep").ends_with("today"),
        "{described}"
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
