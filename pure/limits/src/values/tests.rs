//! Backoff, and the names of the fields.

use super::*;

#[test]
fn pauses_grow_to_their_most_and_shrink_by_chance() {
    let account = Account::default();
    let today = Effective::today(&account, &account.classes[0]);
    assert_eq!(today.pause_ms(3, 0.5), 0);
    let own = Effective {
        backoff_ms: 20,
        backoff_most_ms: 100,
        jitter_percent: 50.0,
        ..today
    };
    let pauses: Vec<u64> = (0..6).map(|attempt| own.pause_ms(attempt, 0.0)).collect();
    assert_eq!(pauses, [0, 20, 40, 80, 100, 100]);
    assert_eq!((own.pause_ms(1, 1.0), own.pause_ms(1_000, 1.0)), (10, 50));
}

#[test]
fn every_field_is_shown_and_put_by_its_name() {
    let account = Account::default();
    let mut values = Effective::today(&account, &account.classes[2]);
    assert!(FIELDS
        .iter()
        .all(|field| !values.text(field).starts_with("no field")));
    let layer = Layer {
        attempts: Some(2),
        budget: Some("b".into()),
        concurrency: Some(Concurrency::Adaptive { least: 2, most: 9 }),
        ..Layer::default()
    };
    assert_eq!(
        layer.over(&mut values),
        ["attempts", "budget", "concurrency"]
    );
    assert_eq!(
        (values.text("budget"), values.text("concurrency")),
        ("b".into(), "2 to 9".into())
    );
    let none = Layer {
        budget: Some("none".into()),
        ..Layer::default()
    };
    none.over(&mut values);
    assert_eq!(values.budget, None);
}
