//! Prints and exports the limits with the source of each value, as text and as JSON with a schema, and prints the
//! differences between two files.

use crate::effective::{EffectiveLimits, Field};
use crate::resolve::{LimitSet, Located, ResolvedLimits};
use crate::retry_budget::RetryBudget;
use schemars::{schema_for, JsonSchema};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// Version of the exported form.
const VERSION: u32 = 1;
/// Printed as the source of a limit that the file does not set.
const BUILT_IN: &str = "today";

/// The effective file.
#[derive(Debug, Serialize, JsonSchema)]
#[schemars(rename = "File")]
#[expect(
    missing_docs,
    reason = "docs of fields would enter the exported schema"
)]
pub struct ExportedLimits {
    /// Of this form.
    pub version: u32,
    pub budgets: Vec<RetryBudget>,
    pub limits: Vec<ExportedEntry>,
}

/// One class, or one of its routes; the first that matches a request holds.
#[derive(Debug, Serialize, JsonSchema)]
#[schemars(rename = "Entry")]
#[expect(
    missing_docs,
    reason = "docs of fields would enter the exported schema"
)]
pub struct ExportedEntry {
    pub class: String,
    /// None: all that no route before it matches.
    pub route: Option<String>,
    pub zone: Option<String>,
    pub caller: Option<String>,
    pub front: Option<String>,
    pub values: EffectiveLimits,
    /// By field: FILE:LINE, or `today` where the file says nothing.
    #[serde(rename = "from")]
    pub sources: BTreeMap<String, String>,
}

fn source(resolved: &ResolvedLimits, field: Field) -> &str {
    resolved.source(field).unwrap_or(BUILT_IN)
}

fn exported_entry(limits: &LimitSet, resolved: &ResolvedLimits) -> ExportedEntry {
    let matching = resolved.matching.clone();
    let source = |field: Field| {
        (
            field.name().to_string(),
            source(resolved, field).to_string(),
        )
    };
    ExportedEntry {
        class: limits.class_names[resolved.class].clone(),
        route: resolved.route.clone(),
        zone: matching.zone,
        caller: matching.caller,
        front: matching.front,
        values: resolved.values.clone(),
        sources: Field::ALL.into_iter().map(source).collect(),
    }
}

/// Returns the limits in the exported form.
pub fn export(limits: &LimitSet) -> ExportedLimits {
    let entries = limits
        .iter()
        .map(|resolved| exported_entry(limits, resolved));
    ExportedLimits {
        version: VERSION,
        budgets: limits
            .budgets
            .iter()
            .map(|located| located.value.clone())
            .collect(),
        limits: entries.collect(),
    }
}

/// Returns the limits as JSON.
pub fn to_json(limits: &LimitSet) -> String {
    serde_json::to_string_pretty(&export(limits)).unwrap_or_default()
}

/// Returns the JSON schema of [`to_json`], as it is committed in `docs/limits.schema.json`.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schema_for!(ExportedLimits)).unwrap_or_default() + "\n"
}

/// Returns the limits of one class or route as text, with one line per field.
pub fn describe(limits: &LimitSet, resolved: &ResolvedLimits) -> String {
    let mut text = title(limits, resolved);
    text.push('\n');
    for field in Field::ALL {
        let name = field.name();
        let value = resolved.values.format_field(field);
        let source = source(resolved, field);
        // Writing to a string does not fail.
        let _ = writeln!(text, "  {name:<16} {value:<14} {source}");
    }
    text
}

fn title(limits: &LimitSet, resolved: &ResolvedLimits) -> String {
    let class = &limits.class_names[resolved.class];
    match &resolved.route {
        Some(route) => format!("{class}, route {route}"),
        None => class.clone(),
    }
}

/// Returns the differences between two files, with one line per changed value, per added or removed route, and per
/// changed budget.
pub fn diff(old: &LimitSet, new: &LimitSet) -> Vec<String> {
    let mut lines = Vec::new();
    diff_entries(old, new, &mut lines);
    diff_budgets(old, new, &mut lines);
    lines
}

/// Returns the limits of the same class and route in the other set.
fn counterpart<'a>(
    limits: &LimitSet,
    resolved: &ResolvedLimits,
    other: &'a LimitSet,
) -> Option<&'a ResolvedLimits> {
    let class = &limits.class_names[resolved.class];
    let found = other.get(class, resolved.route.as_deref())?;
    Some(found)
}

fn diff_entries(old: &LimitSet, new: &LimitSet, lines: &mut Vec<String>) {
    for resolved in old.iter() {
        let title = title(old, resolved);
        match counterpart(old, resolved, new) {
            None => lines.push(format!("gone     {title}")),
            Some(other) => diff_values(&title, resolved, other, lines),
        }
    }
    for resolved in new.iter() {
        if counterpart(new, resolved, old).is_none() {
            lines.push(format!("new      {}", title(new, resolved)));
        }
    }
}

fn diff_values(title: &str, old: &ResolvedLimits, new: &ResolvedLimits, lines: &mut Vec<String>) {
    if new.matching != old.matching {
        lines.push(format!("matches  {title} other requests"));
    }
    for field in Field::ALL {
        let old = old.values.format_field(field);
        let new = new.values.format_field(field);
        if old != new {
            lines.push(format!("changed  {title} {}: {old} -> {new}", field.name()));
        }
    }
}

fn budget_of_name<'a>(limits: &'a LimitSet, name: &str) -> Option<&'a Located<RetryBudget>> {
    limits
        .budgets
        .iter()
        .find(|located| located.value.name == name)
}

fn describe_budget(budget: &RetryBudget) -> String {
    let parent = match &budget.parent {
        Some(parent) => format!(" under {parent}"),
        None => String::new(),
    };
    format!("{} percent, burst {}{parent}", budget.percent, budget.burst)
}

fn diff_budgets(old: &LimitSet, new: &LimitSet, lines: &mut Vec<String>) {
    for Located { value: budget, .. } in &old.budgets {
        let name = &budget.name;
        let Some(other) = budget_of_name(new, name) else {
            lines.push(format!("gone     budget {name}"));
            continue;
        };
        if other.value != *budget {
            let before = describe_budget(budget);
            let after = describe_budget(&other.value);
            lines.push(format!("changed  budget {name}: {before} -> {after}"));
        }
    }
    for Located { value: budget, .. } in &new.budgets {
        if budget_of_name(old, &budget.name).is_none() {
            let described = describe_budget(budget);
            lines.push(format!("new      budget {}: {described}", budget.name));
        }
    }
}
