//! The names of the fields, the defaults, and what overrides do to them.

use super::*;
use crate::overrides::LimitOverrides;
use std::time::Duration;

#[test]
fn the_defaults_pause_before_no_attempt() {
    let account = Account::default();
    let defaults = EffectiveLimits::defaults(&account, &account.classes[0]);
    assert_eq!(defaults.backoff().pause(3, 0.5), Duration::ZERO);
}

#[test]
fn every_field_is_formatted_and_overridden_by_its_name() {
    let account = Account::default();
    let mut values = EffectiveLimits::defaults(&account, &account.classes[2]);
    let exported = serde_json::to_value(&values).unwrap();
    let names: Vec<&String> = exported.as_object().unwrap().keys().collect();
    assert_eq!(names.len(), Field::ALL.len());
    assert!(Field::ALL
        .iter()
        .all(|field| names.iter().any(|name| *name == field.name())));
    let overrides = LimitOverrides {
        max_attempts: Some(2),
        retry_budget: Some("b".into()),
        concurrency: Some(ConcurrencyLimit::Adaptive { min: 2, max: 9 }),
        ..LimitOverrides::default()
    };
    let set: Vec<&str> = overrides
        .apply(&mut values)
        .into_iter()
        .map(Field::name)
        .collect();
    assert_eq!(set, ["attempts", "budget", "concurrency"]);
    let formatted = [Field::RetryBudget, Field::Concurrency].map(|f| values.format_field(f));
    assert_eq!(formatted, ["b", "2 to 9"]);
    let none = LimitOverrides {
        retry_budget: Some("none".into()),
        ..LimitOverrides::default()
    };
    none.apply(&mut values);
    assert_eq!(values.retry_budget, None);
}
