//! Resolution of defaults, classes and routes.

use super::*;

fn some(text: &str) -> Option<String> {
    Some(text.to_string())
}

#[test]
fn a_route_overrides_its_class_and_a_class_the_defaults() {
    let account = Account::default();
    let overrides = |max_attempts, retention_rank| LimitOverrides {
        max_attempts,
        retention_rank,
        ..LimitOverrides::default()
    };
    fn located<T>(at: &str, value: T) -> Located<T> {
        Located {
            at: at.to_string(),
            value,
        }
    }
    let route = RouteOverrides {
        name: "north".into(),
        class: "mix-video".into(),
        matching: RouteMatch {
            zone: some("oulu"),
            ..RouteMatch::default()
        },
        overrides: LimitOverrides {
            max_stale_ms: Some(7),
            ..LimitOverrides::default()
        },
    };
    let class = ClassOverrides {
        class: "mix-video".to_string(),
        overrides: overrides(Some(3), None),
    };
    let file = LimitsFile {
        defaults: Some(located("f:1", overrides(Some(5), Some(2)))),
        classes: vec![located("f:2", class)],
        routes: vec![Located {
            at: "f:3".into(),
            value: route,
        }],
        budgets: vec![],
    };
    let limits = LimitSet::new(&account, &file);
    let north = limits.find(0, "oulu", "", "msgpack").unwrap();
    let values = &north.values;
    assert_eq!(
        (
            values.max_attempts,
            values.retention_rank,
            values.max_stale_ms
        ),
        (3, 2, 7)
    );
    let sources = [Field::MaxAttempts, Field::RetentionRank, Field::MaxFills];
    assert_eq!(
        sources.map(|field| north.source(field)),
        [Some("f:2"), Some("f:1"), None]
    );
    let rest = limits.find(0, "turku", "", "dns").unwrap();
    assert_eq!((rest.route.as_deref(), rest.values.max_stale_ms), (None, 0));
    assert!(limits.find(9, "", "", "").is_none());
    assert!(
        limits.get("mix-video", Some("north")).is_some() && limits.get("other", None).is_none()
    );
}

#[test]
fn matches_cover_and_overlap_by_their_prefixes() {
    let of = |zone, caller| RouteMatch {
        zone,
        caller,
        front: None,
    };
    let (all, oulu) = (RouteMatch::default(), of(some("oulu"), None));
    let (front, other) = (
        of(None, some("spiffe://a/front*")),
        of(None, some("spiffe://a/front/1")),
    );
    assert!(
        all.covers(&oulu) && !oulu.covers(&all) && front.covers(&other) && !other.covers(&front)
    );
    assert!(oulu.overlaps(&front) && front.overlaps(&other));
    assert!(!of(None, some("spiffe://b*")).overlaps(&front));
    assert!(
        front.matches("x", "spiffe://a/front/2", "dns")
            && !front.matches("x", "spiffe://a/back", "dns")
    );
}
