//! Validates a file against the account's rules: first the names that it uses, then each set of limits by itself, then
//! limits in combination, and last the rules that only a search can check. Each stage relies on the ones before it, so a
//! file that fails one stage is not checked by the next.

mod attempts;
mod backoff;
mod budgets;
mod caching;
mod concurrency;
mod idempotency;
mod queue;
mod references;
mod routes;
pub mod rule;
mod timeout;

pub use rule::{Rule, Violation};

use crate::account::{Account, ClassRules};
use crate::effective::{EffectiveLimits, Field};
use crate::resolve::{LimitSet, LimitsFile, ResolvedLimits};

/// Returns all violations of a file; a file with any is rejected as a whole.
pub fn validate(account: &Account, file: &LimitsFile) -> Vec<Violation> {
    let mut report = Report {
        account,
        violations: Vec::new(),
    };
    references::check(&mut report, file);
    budgets::check_definitions(&mut report, file);
    if !report.violations.is_empty() {
        return report.violations;
    }
    let limits = LimitSet::new(account, file);
    // Limits that the file does not change are the account's own, and valid.
    let changed: Vec<&ResolvedLimits> = limits
        .iter()
        .map(|resolved| &**resolved)
        .filter(|resolved| !resolved.at.is_empty())
        .collect();
    check_each(&mut report, &changed);
    routes::check_reachable(&mut report, &limits);
    if !report.violations.is_empty() {
        return report.violations;
    }
    check_combinations(&mut report, &limits, &changed);
    if report.violations.is_empty() {
        for resolved in changed {
            idempotency::check_duplicate_runs(&mut report, resolved);
        }
    }
    report.violations
}

fn check_each(report: &mut Report, changed: &[&ResolvedLimits]) {
    for resolved in changed {
        let mut scope = report.scope(resolved);
        if !timeout::check_deadline(&mut scope) {
            // Without any time every other check of time would fail as well.
            continue;
        }
        timeout::check_attempt(&mut scope);
        attempts::check_number(&mut scope);
        attempts::check_retry_after(&mut scope);
        idempotency::check_values(&mut scope);
        caching::check_values(&mut scope);
        backoff::check_values(&mut scope);
        queue::check_values(&mut scope);
        concurrency::check_values(&mut scope);
        attempts::check_last_is_made(&mut scope);
    }
}

fn check_combinations(report: &mut Report, limits: &LimitSet, changed: &[&ResolvedLimits]) {
    for resolved in changed {
        budgets::check_retry_storm(report, limits, resolved);
    }
    budgets::check_bursts(report, limits);
    budgets::check_starvation(report, limits);
    concurrency::check_total(report, limits);
    for resolved in changed {
        let mut scope = report.scope(resolved);
        queue::check_time_left(&mut scope);
        caching::check_stale_after_wait(&mut scope);
        attempts::check_time_for_last(&mut scope);
    }
    idempotency::check_windows_agree(report, limits);
}

/// The violations found so far.
struct Report<'a> {
    account: &'a Account,
    violations: Vec<Violation>,
}

impl<'a> Report<'a> {
    /// Adds a violation, once for the same rule and lines even if several routes inherit it.
    fn add(&mut self, rule: Rule, at: Vec<String>, subject: String) {
        self.add_traced(rule, at, subject, Vec::new());
    }

    fn add_traced(&mut self, rule: Rule, at: Vec<String>, subject: String, trace: Vec<String>) {
        let known = |violation: &Violation| violation.rule == rule && violation.at == at;
        if self.violations.iter().any(known) {
            return;
        }
        self.violations.push(Violation {
            rule,
            at,
            subject,
            trace,
        });
    }

    fn scope<'b>(&'b mut self, resolved: &'b ResolvedLimits) -> Scope<'b, 'a> {
        Scope {
            report: self,
            resolved,
        }
    }

    fn is_keyed(&self, resolved: &ResolvedLimits) -> bool {
        self.account.classes[resolved.class].is_keyed()
    }
}

/// The set of limits that is being checked.
struct Scope<'b, 'a> {
    report: &'b mut Report<'a>,
    resolved: &'b ResolvedLimits,
}

impl<'b, 'a> Scope<'b, 'a> {
    fn account(&self) -> &'a Account {
        self.report.account
    }

    fn class(&self) -> &'a ClassRules {
        &self.report.account.classes[self.resolved.class]
    }

    fn values(&self) -> &'b EffectiveLimits {
        &self.resolved.values
    }

    /// Adds a violation about the class and, where there is one, its route.
    fn add(&mut self, rule: Rule, fields: &[Field], subject: String) {
        let class = &self.class().name;
        let subject = match &self.resolved.route {
            Some(route) => format!("{class}, route {route}: {subject}"),
            None => format!("{class}: {subject}"),
        };
        self.report
            .add(rule, locations(self.resolved, fields), subject);
    }

    /// Adds a violation about the class as a whole.
    fn add_for_class(&mut self, rule: Rule, fields: &[Field], subject: String) {
        let subject = format!("{}: {subject}", self.class().name);
        self.report
            .add(rule, locations(self.resolved, fields), subject);
    }
}

/// Returns the lines that set any of these fields, each once; if none is set, the last call that applies.
fn locations(resolved: &ResolvedLimits, fields: &[Field]) -> Vec<String> {
    let mut lines = Vec::new();
    for field in fields {
        let line = resolved.source(*field).map(str::to_string);
        add_lines(&mut lines, line);
    }
    if lines.is_empty() {
        lines.extend(resolved.at.last().cloned());
    }
    lines
}

/// Adds lines that are not listed yet.
fn add_lines(lines: &mut Vec<String>, more: impl IntoIterator<Item = String>) {
    for line in more {
        if !lines.contains(&line) {
            lines.push(line);
        }
    }
}
