//! The classes of the settings. Some of what is told by class stands beside the list of classes, at the same place.

use crate::section::Section;
use foldmux::interface::{Class, KeyScope, RetrySafety, Time};
use simd_json::prelude::*;
use simd_json::OwnedValue;

/// What the domain tells by class.
pub(crate) struct ByClass {
    pub fresh: Vec<Time>,
    pub grace: Vec<Time>,
    pub pass_on: Vec<bool>,
}

/// The classes with their names.
pub(crate) fn read(settings: &Section, by_class: &ByClass) -> Vec<(String, Class)> {
    let listed = settings.sections("classes");
    let empty = |value: &OwnedValue| value.as_array().is_some_and(Vec::is_empty);
    match settings.get("classes") {
        None if settings.is_there() => settings.fault("classes", "missing"),
        Some(value) if empty(value) => settings.fault("classes", "no class"),
        _ => {}
    }
    listed
        .iter()
        .enumerate()
        .map(|(place, class)| one(class, place, by_class))
        .collect()
}

fn one(class: &Section, place: usize, by_class: &ByClass) -> (String, Class) {
    let rules = Class {
        latency_objective: class.time("slo"),
        latency_objective_stretch: class.optional_factor("aimStretch"),
        deadline: class.time_above_0("hardLimit"),
        priority_weight: class.optional("importance").unwrap_or_default(),
        late_value_ratio: class.optional("lateValue").unwrap_or_default(),
        retry_safety: repeat(class),
        idempotency_window: class.optional_time("repeatWindow"),
        freshness_lifetime: by_class.fresh.get(place).copied().unwrap_or_default(),
        stale_while_revalidate: by_class.grace.get(place).copied().unwrap_or_default(),
        bypass_cache: by_class.pass_on.get(place).copied().unwrap_or_default(),
    };
    (class.optional("name").unwrap_or_default(), rules)
}

fn repeat(class: &Section) -> RetrySafety {
    let Some(effect) = class.optional::<String>("idempotency") else {
        if class.is_there() && class.get("idempotency").is_none() {
            class.fault("idempotency", "missing");
        }
        return RetrySafety::NonIdempotent;
    };
    match effect.as_str() {
        "free" => RetrySafety::Idempotent,
        "guarded" => RetrySafety::Keyed(key_scope(class)),
        "single_shot" => RetrySafety::NonIdempotent,
        other => {
            class.fault(
                "idempotency",
                format_args!("{other:?} is no effect (free, guarded, single_shot)"),
            );
            RetrySafety::NonIdempotent
        }
    }
}

/// The caches that drop a repeat of a keyed request. It has to be told, as does the window: a default could let one run twice.
fn key_scope(class: &Section) -> KeyScope {
    class.expect("repeatWindow");
    let group: String = class.required("group");
    match group.as_str() {
        "zone" => KeyScope::Zone,
        "cell" => KeyScope::Cell,
        "all" => KeyScope::All,
        other => {
            class.fault(
                "group",
                format_args!("{other:?} is no group (all, zone, cell)"),
            );
            KeyScope::Cell
        }
    }
}
