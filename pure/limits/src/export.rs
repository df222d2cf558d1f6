//! What is printed and exported: the effective values with where each comes from, as text and as JSON with a schema, and
//! what differs between two files.

use crate::table::{Match, Resolved, Table};
use crate::values::{Budget, Effective, FIELDS};
use schemars::{schema_for, JsonSchema};
use serde::Serialize;
use std::collections::BTreeMap;
use std::fmt::Write as _;

/// The effective file.
#[derive(Debug, Serialize, JsonSchema)]
pub struct File {
    /// Of this form.
    pub version: u32,
    pub budgets: Vec<Budget>,
    pub limits: Vec<Entry>,
}

/// One class, or one of its routes; the first that matches a request holds.
#[derive(Debug, Serialize, JsonSchema)]
pub struct Entry {
    pub class: String,
    /// None: all that no route before it matches.
    pub route: Option<String>,
    pub zone: Option<String>,
    pub caller: Option<String>,
    pub front: Option<String>,
    pub values: Effective,
    /// By field: FILE:LINE, or `today` where the file says nothing.
    pub from: BTreeMap<String, String>,
}

pub fn file(table: &Table) -> File {
    let entry = |resolved: &Resolved| {
        let Match {
            zone,
            caller,
            front,
        } = resolved.matching.clone();
        Entry {
            class: table.names[resolved.class].clone(),
            route: resolved.route.clone(),
            zone,
            caller,
            front,
            values: resolved.values.clone(),
            from: resolved
                .from
                .iter()
                .map(|(field, at)| (field.to_string(), at.clone()))
                .collect(),
        }
    };
    File {
        version: 1,
        budgets: table
            .budgets
            .iter()
            .map(|said| said.value.clone())
            .collect(),
        limits: table.all().map(|resolved| entry(resolved)).collect(),
    }
}

pub fn json(table: &Table) -> String {
    serde_json::to_string_pretty(&file(table)).unwrap_or_default()
}

/// The schema of [`json`], as it is committed.
pub fn schema() -> String {
    serde_json::to_string_pretty(&schema_for!(File)).unwrap_or_default() + "\n"
}

/// One class or route, a line for each field.
pub fn show(table: &Table, resolved: &Resolved) -> String {
    let mut out = title(table, resolved);
    out.push('\n');
    for field in FIELDS {
        let from = resolved.from.get(field).map_or("today", String::as_str);
        let _ = writeln!(
            out,
            "  {field:<16} {:<14} {from}",
            resolved.values.text(field)
        );
    }
    out
}

fn title(table: &Table, resolved: &Resolved) -> String {
    let class = &table.names[resolved.class];
    match &resolved.route {
        Some(route) => format!("{class}, route {route}"),
        None => class.clone(),
    }
}

/// What differs: a line for each value, each route that came or went, and each budget.
pub fn diff(old: &Table, new: &Table) -> Vec<String> {
    let mut lines = Vec::new();
    let name = |table: &Table, r: &Resolved| (table.names[r.class].clone(), r.route.clone());
    for resolved in old.all() {
        let (class, route) = name(old, resolved);
        match new.named(&class, route.as_deref()) {
            None => lines.push(format!("gone     {}", title(old, resolved))),
            Some(other) => {
                if other.matching != resolved.matching {
                    lines.push(format!("matches  {} other requests", title(old, resolved)));
                }
                for field in FIELDS {
                    let (was, is) = (resolved.values.text(field), other.values.text(field));
                    if was != is {
                        lines.push(format!(
                            "changed  {} {field}: {was} -> {is}",
                            title(old, resolved)
                        ));
                    }
                }
            }
        }
    }
    for resolved in new.all() {
        let (class, route) = name(new, resolved);
        if old.named(&class, route.as_deref()).is_none() {
            lines.push(format!("new      {}", title(new, resolved)));
        }
    }
    let text = |b: &Budget| {
        let under = b
            .parent
            .as_ref()
            .map(|p| format!(" under {p}"))
            .unwrap_or_default();
        format!("{} percent, burst {}{under}", b.percent, b.burst)
    };
    for said in &old.budgets {
        match new
            .budgets
            .iter()
            .find(|other| other.value.name == said.value.name)
        {
            None => lines.push(format!("gone     budget {}", said.value.name)),
            Some(other) if other.value != said.value => {
                lines.push(format!(
                    "changed  budget {}: {} -> {}",
                    said.value.name,
                    text(&said.value),
                    text(&other.value)
                ));
            }
            Some(_) => {}
        }
    }
    for said in &new.budgets {
        if !old
            .budgets
            .iter()
            .any(|other| other.value.name == said.value.name)
        {
            lines.push(format!(
                "new      budget {}: {}",
                said.value.name,
                text(&said.value)
            ));
        }
    }
    lines
}
