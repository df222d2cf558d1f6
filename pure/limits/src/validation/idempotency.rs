//! Rules of idempotency keys: retries within the window and the scope in which the origin drops duplicates.

use super::{add_lines, locations, Report, Rule, Scope};
use crate::account::{IdempotencyScope, RetrySafety};
use crate::duplicate_search::{find_duplicate_run, SearchModel};
use crate::effective::Field;
use crate::resolve::{LimitSet, ResolvedLimits};

const KEY_FIELDS: [Field; 2] = [Field::IdempotencyWindow, Field::IdempotencyScope];

pub(super) fn check_values(scope: &mut Scope) {
    let safety = scope.class().retry_safety;
    if let RetrySafety::Keyed(account_scope) = safety {
        check_key(scope, account_scope);
    } else if KEY_FIELDS.iter().any(|field| scope.resolved.is_set(*field)) {
        let subject = "a window or a group".to_string();
        scope.add(Rule::NotKeyed, &KEY_FIELDS, subject);
    }
    let attempts = scope.values().max_attempts;
    let retried = attempts > 1 && scope.resolved.is_set(Field::MaxAttempts);
    if safety == RetrySafety::NotIdempotent && retried {
        let subject = format!("attempts {attempts}");
        scope.add(Rule::NotIdempotent, &[Field::MaxAttempts], subject);
    }
}

fn check_key(scope: &mut Scope, account_scope: IdempotencyScope) {
    let window_ms = scope.values().idempotency_window_ms;
    let origin_ms = scope.class().idempotency_window_ms;
    if window_ms > origin_ms {
        let subject = format!("window {window_ms} ms, the archive's {origin_ms} ms");
        scope.add(Rule::WindowTooLong, &[Field::IdempotencyWindow], subject);
    }
    let key_scope = scope.values().idempotency_scope;
    if key_scope > account_scope {
        let subject = format!("group {key_scope:?}, the account's {account_scope:?}");
        scope.add(Rule::ScopeTooWide, &[Field::IdempotencyScope], subject);
    }
}

/// One key can arrive by several routes of its class, so these must agree on its window and scope.
pub(super) fn check_windows_agree(report: &mut Report, limits: &LimitSet) {
    for routes in &limits.by_class {
        let routes: Vec<&ResolvedLimits> = routes
            .iter()
            .map(|resolved| &**resolved)
            .filter(|resolved| report.is_keyed(resolved))
            .collect();
        // One violation per class, since each further route would repeat it.
        if let Some((one, other)) = disagreeing(&routes) {
            report_disagreement(report, limits, one, other);
        }
    }
}

fn disagreeing<'a>(
    routes: &[&'a ResolvedLimits],
) -> Option<(&'a ResolvedLimits, &'a ResolvedLimits)> {
    let key = |resolved: &ResolvedLimits| {
        let values = &resolved.values;
        (values.idempotency_window_ms, values.idempotency_scope)
    };
    routes.iter().enumerate().find_map(|(index, one)| {
        let mut before = routes[..index].iter();
        let other = before.find(|other| key(other) != key(one))?;
        Some((*one, *other))
    })
}

fn report_disagreement(
    report: &mut Report,
    limits: &LimitSet,
    one: &ResolvedLimits,
    other: &ResolvedLimits,
) {
    let mut lines = locations(one, &KEY_FIELDS);
    add_lines(&mut lines, locations(other, &KEY_FIELDS));
    let name = |resolved: &ResolvedLimits| match &resolved.route {
        Some(route) => route.clone(),
        None => "the class itself".to_string(),
    };
    let subject = format!(
        "{}: {} has {} ms, {} has {} ms",
        limits.class_names[one.class],
        name(one),
        one.values.idempotency_window_ms,
        name(other),
        other.values.idempotency_window_ms
    );
    report.add(Rule::WindowsDiffer, lines, subject);
}

/// Searches for a sequence of lost responses and pauses that runs a key twice.
pub(super) fn check_duplicate_runs(report: &mut Report, resolved: &ResolvedLimits) {
    let class = &report.account.classes[resolved.class];
    if !class.is_keyed() {
        return;
    }
    let model = SearchModel::new(report.account, class, &resolved.values);
    let Some(trace) = find_duplicate_run(&model).trace else {
        return;
    };
    let fields = [
        Field::BackoffBase,
        Field::BackoffMax,
        Field::MaxAttempts,
        Field::AttemptTimeout,
        Field::IdempotencyWindow,
    ];
    let subject = format!("{}: one key runs twice", class.name);
    report.add_traced(
        Rule::DuplicateRun,
        locations(resolved, &fields),
        subject,
        trace,
    );
}
