//! Rules of retry budgets: their definitions, how far they bound the load of retries, and that no class can use up the
//! budget of a keyed one.

use super::{add_lines, locations, Report, Rule};
use crate::effective::Field;
use crate::overrides::NO_BUDGET;
use crate::resolve::{LimitSet, LimitsFile, Located, ResolvedLimits};
use crate::retry_budget::RetryBudget;

/// Fraction of the servers that the check of retry storms assumes to fail.
const FAILING_RATIO: f64 = 0.2;
/// Highest load that such a failure may cause, as a multiple of the load without retries.
const MAX_LOAD_RATIO: f64 = 2.0;
/// Retries that the router makes per hundred requests where no budget is named.
const ROUTER_RETRY_PERCENT: f64 = 10.0;
/// Valid range of the tokens that a budget earns per hundred first attempts.
const PERCENTAGES: std::ops::RangeInclusive<f64> = 0.0..=500.0;

type LocatedBudget = Located<RetryBudget>;

fn find<'a>(budgets: &'a [LocatedBudget], name: &str) -> Option<&'a LocatedBudget> {
    budgets.iter().find(|budget| budget.value.name == name)
}

pub(super) fn check_definitions(report: &mut Report, file: &LimitsFile) {
    for (index, located) in file.budgets.iter().enumerate() {
        check_unique(report, located, &file.budgets[..index]);
        check_values(report, located);
        check_parent(report, located, &file.budgets);
    }
}

fn check_unique(report: &mut Report, located: &LocatedBudget, before: &[LocatedBudget]) {
    let name = &located.value.name;
    if let Some(first) = find(before, name) {
        let lines = vec![located.at.clone(), first.at.clone()];
        report.add(Rule::SetTwice, lines, format!("budget {name}"));
    }
}

fn check_values(report: &mut Report, located: &LocatedBudget) {
    let RetryBudget {
        name,
        percent,
        burst,
        ..
    } = &located.value;
    if !PERCENTAGES.contains(percent) || *burst == 0 || name == NO_BUDGET {
        let subject = format!("budget {name}: {percent} percent, burst {burst}");
        report.add(Rule::InvalidBudget, vec![located.at.clone()], subject);
    }
}

fn check_parent(report: &mut Report, located: &LocatedBudget, budgets: &[LocatedBudget]) {
    let name = &located.value.name;
    let Some(parent) = &located.value.parent else {
        return;
    };
    if find(budgets, parent).is_none() {
        let subject = format!("{name}'s parent {parent:?}");
        report.add(Rule::UnknownBudget, vec![located.at.clone()], subject);
    } else if is_own_ancestor(name, budgets) {
        let subject = format!("budget {name}");
        report.add(Rule::BudgetCycle, vec![located.at.clone()], subject);
    }
}

fn is_own_ancestor(name: &str, budgets: &[LocatedBudget]) -> bool {
    let parent = |name: &str| find(budgets, name)?.value.parent.as_deref();
    let mut ancestor = parent(name);
    // A chain without a cycle ends after as many steps as there are budgets.
    for _ in 0..budgets.len() {
        if ancestor == Some(name) {
            return true;
        }
        ancestor = ancestor.and_then(parent);
    }
    false
}

/// Retries per hundred requests that a budget and all its ancestors allow.
fn retry_percent(limits: &LimitSet, budget: Option<&str>) -> f64 {
    let Some(mut next) = budget else {
        return ROUTER_RETRY_PERCENT;
    };
    let mut percent = f64::INFINITY;
    for _ in 0..=limits.budgets.len() {
        let Some(budget) = find(&limits.budgets, next) else {
            break;
        };
        percent = percent.min(budget.value.percent);
        match &budget.value.parent {
            Some(parent) => next = parent,
            None => break,
        }
    }
    percent
}

/// Checks that retries don't multiply the load while servers fail. A failing server fails every attempt that it gets,
/// and all attempts of a request but the first are retries.
pub(super) fn check_retry_storm(report: &mut Report, limits: &LimitSet, resolved: &ResolvedLimits) {
    let values = &resolved.values;
    let allowed = retry_percent(limits, values.retry_budget.as_deref()) / 100.0;
    let wanted = FAILING_RATIO * (values.max_attempts - 1) as f64;
    let load = 1.0 + wanted.min(allowed);
    if load > MAX_LOAD_RATIO {
        let lines = locations(resolved, &[Field::RetryBudget, Field::MaxAttempts]);
        let class = &report.account.classes[resolved.class].name;
        report.add(
            Rule::RetryStorm,
            lines,
            format!("{class}: {load:.2} times the load"),
        );
    }
}

/// Checks the sum of all bursts: all budgets can be spent in the same instant.
pub(super) fn check_bursts(report: &mut Report, limits: &LimitSet) {
    let roots: Vec<&LocatedBudget> = limits
        .budgets
        .iter()
        .filter(|budget| budget.value.parent.is_none())
        .collect();
    let bursts: u64 = roots.iter().map(|budget| budget.value.burst).sum();
    let capacity = report.account.request_capacity();
    if bursts > capacity {
        let lines = roots.iter().map(|budget| budget.at.clone()).collect();
        let subject = format!("bursts of {bursts} in total, capacity for {capacity} requests");
        report.add(Rule::TotalBurstTooLarge, lines, subject);
    }
}

/// The classes and routes whose limits name a budget.
fn users<'a>(
    limits: &'a LimitSet,
    budget: &'a LocatedBudget,
) -> impl Iterator<Item = &'a ResolvedLimits> {
    let name = Some(budget.value.name.as_str());
    limits
        .iter()
        .map(|resolved| &**resolved)
        .filter(move |resolved| resolved.values.retry_budget.as_deref() == name)
}

pub(super) fn check_starvation(report: &mut Report, limits: &LimitSet) {
    for budget in &limits.budgets {
        check_shared_budget(report, limits, budget);
        check_shared_parent(report, limits, budget);
    }
}

/// A keyed class must not share its budget with another class.
fn check_shared_budget(report: &mut Report, limits: &LimitSet, budget: &LocatedBudget) {
    let keyed = users(limits, budget).find(|resolved| report.is_keyed(resolved));
    let other = users(limits, budget).find(|resolved| !report.is_keyed(resolved));
    let (Some(keyed), Some(other)) = (keyed, other) else {
        return;
    };
    let mut lines = locations(keyed, &[Field::RetryBudget]);
    add_lines(&mut lines, locations(other, &[Field::RetryBudget]));
    lines.push(budget.at.clone());
    let class_name = |resolved: &ResolvedLimits| limits.class_names[resolved.class].as_str();
    let subject = format!(
        "budget {} of {} and {}",
        budget.value.name,
        class_name(keyed),
        class_name(other)
    );
    report.add(Rule::BudgetStarved, lines, subject);
}

/// The siblings of a keyed class's budget must not earn all that their common parent earns.
fn check_shared_parent(report: &mut Report, limits: &LimitSet, parent: &LocatedBudget) {
    let parent_name = Some(parent.value.name.as_str());
    let children: Vec<&LocatedBudget> = limits
        .budgets
        .iter()
        .filter(|budget| budget.value.parent.as_deref() == parent_name)
        .collect();
    let used_by = |budget: &LocatedBudget, keyed: bool| {
        users(limits, budget).any(|resolved| report.is_keyed(resolved) == keyed)
    };
    let Some(own) = children.iter().find(|budget| used_by(budget, true)) else {
        return;
    };
    let others: Vec<&LocatedBudget> = children
        .iter()
        .copied()
        .filter(|budget| used_by(budget, false) && budget.value.name != own.value.name)
        .collect();
    let percent: f64 = others.iter().map(|budget| budget.value.percent).sum();
    if others.is_empty() || percent < parent.value.percent {
        return;
    }
    let mut lines = vec![own.at.clone(), parent.at.clone()];
    lines.extend(others.iter().map(|budget| budget.at.clone()));
    let subject = format!(
        "budget {} under {}: the others earn {percent} percent, the parent {} percent",
        own.value.name, parent.value.name, parent.value.percent
    );
    report.add(Rule::ParentStarved, lines, subject);
}
