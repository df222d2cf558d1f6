//! Resolution of defaults, classes and routes.

use super::*;

fn some(text: &str) -> Option<String> {
    Some(text.to_string())
}

#[test]
fn a_route_is_over_its_class_over_the_defaults_over_today() {
    let account = Account::default();
    let layer = |attempts, keep| Layer {
        attempts,
        keep,
        ..Layer::default()
    };
    fn said<T>(at: &str, value: T) -> Said<T> {
        Said {
            at: at.to_string(),
            value,
        }
    }
    let route = Route {
        name: "north".into(),
        class: "mix-video".into(),
        matching: Match {
            zone: some("oulu"),
            ..Match::default()
        },
        layer: Layer {
            stale_ms: Some(7),
            ..Layer::default()
        },
    };
    let draft = Draft {
        defaults: Some(said("f:1", layer(Some(5), Some(2)))),
        classes: vec![said("f:2", ("mix-video".to_string(), layer(Some(3), None)))],
        routes: vec![Said {
            at: "f:3".into(),
            value: route,
        }],
        budgets: vec![],
    };
    let table = Table::new(&account, &draft);
    let north = table.find(0, "oulu", "", "msgpack").unwrap();
    assert_eq!(
        (
            north.values.attempts,
            north.values.keep,
            north.values.stale_ms
        ),
        (3, 2, 7)
    );
    assert_eq!(
        (
            &*north.from["attempts"],
            &*north.from["keep"],
            &*north.from["fills"]
        ),
        ("f:2", "f:1", "today")
    );
    let rest = table.find(0, "turku", "", "dns").unwrap();
    assert_eq!((rest.route.as_deref(), rest.values.stale_ms), (None, 0));
    assert!(table.find(9, "", "", "").is_none());
    assert!(
        table.named("mix-video", Some("north")).is_some() && table.named("other", None).is_none()
    );
}

#[test]
fn matches_cover_and_meet_by_their_beginnings() {
    let of = |zone, caller| Match {
        zone,
        caller,
        front: None,
    };
    let (all, oulu) = (Match::default(), of(some("oulu"), None));
    let (front, other) = (
        of(None, some("spiffe://a/front*")),
        of(None, some("spiffe://a/front/1")),
    );
    assert!(
        all.covers(&oulu) && !oulu.covers(&all) && front.covers(&other) && !other.covers(&front)
    );
    assert!(oulu.meets(&front) && front.meets(&other));
    assert!(!of(None, some("spiffe://b*")).meets(&front));
    assert!(
        front.fits("x", "spiffe://a/front/2", "dns") && !front.fits("x", "spiffe://a/back", "dns")
    );
}
