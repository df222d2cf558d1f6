//! Rules of names: the classes, fronts and budgets that a file names must exist, and each may be set only once.

use super::{routes, Report, Rule};
use crate::effective::Field;
use crate::overrides::{LimitOverrides, NO_BUDGET};
use crate::resolve::{LimitsFile, Located, RouteOverrides};

/// Maximum number of routes of a file, since each request is compared with those of its class.
pub const MAX_ROUTES: usize = 1_000;

pub(super) fn check(report: &mut Report, file: &LimitsFile) {
    check_classes(report, file);
    check_route_count(report, file);
    for (index, route) in file.routes.iter().enumerate() {
        check_route_class(report, route);
        routes::check_front(report, route);
        routes::check_patterns(report, route);
        routes::check_caller(report, route);
        check_route_unique(report, route, &file.routes[..index]);
    }
    check_stale_of_keyed(report, file);
    check_budget_names(report, file);
}

fn check_classes(report: &mut Report, file: &LimitsFile) {
    for (index, located) in file.classes.iter().enumerate() {
        let name = &located.value.class;
        let line = || vec![located.at.clone()];
        if report.account.class(name).is_none() {
            report.add(Rule::UnknownClass, line(), format!("limits of {name:?}"));
        }
        let mut before = file.classes[..index].iter();
        if before.any(|other| other.value.class == *name) {
            report.add(Rule::SetTwice, line(), format!("limits of {name}"));
        }
    }
}

fn check_route_count(report: &mut Report, file: &LimitsFile) {
    if let Some(excess) = file.routes.get(MAX_ROUTES) {
        let subject = format!("{} routes, {MAX_ROUTES} at most", file.routes.len());
        report.add(Rule::TooManyRoutes, vec![excess.at.clone()], subject);
    }
}

fn check_route_class(report: &mut Report, route: &Located<RouteOverrides>) {
    let RouteOverrides { name, class, .. } = &route.value;
    if report.account.class(class).is_none() {
        let subject = format!("route {name} of {class:?}");
        report.add(Rule::UnknownClass, vec![route.at.clone()], subject);
    }
}

fn check_route_unique(
    report: &mut Report,
    route: &Located<RouteOverrides>,
    before: &[Located<RouteOverrides>],
) {
    let RouteOverrides { name, class, .. } = &route.value;
    let same =
        |other: &&Located<RouteOverrides>| other.value.name == *name && other.value.class == *class;
    if let Some(first) = before.iter().find(same) {
        let lines = vec![route.at.clone(), first.at.clone()];
        report.add(Rule::SetTwice, lines, format!("route {name} of {class}"));
    }
}

/// Nothing of a keyed class is cached, so no stale copy can be served.
fn check_stale_of_keyed(report: &mut Report, file: &LimitsFile) {
    let classes = file
        .classes
        .iter()
        .map(|located| (&located.at, &located.value.class, &located.value.overrides));
    let routes = file
        .routes
        .iter()
        .map(|located| (&located.at, &located.value.class, &located.value.overrides));
    for (line, class, overrides) in classes.chain(routes) {
        let rules = report.account.class(class);
        let keyed = rules.is_some_and(|class| class.is_keyed());
        let stale = overrides.max_stale_ms.is_some_and(|ms| ms > 0);
        if keyed && stale {
            let subject = format!("{class}: {}", Field::MaxStale.name());
            report.add(Rule::StaleOfKeyed, vec![line.clone()], subject);
        }
    }
}

fn check_budget_names(report: &mut Report, file: &LimitsFile) {
    for (line, overrides) in all_overrides(file) {
        let Some(name) = &overrides.retry_budget else {
            continue;
        };
        let exists = file.budgets.iter().any(|budget| budget.value.name == *name);
        if name != NO_BUDGET && !exists {
            let subject = format!("budget {name:?}");
            report.add(Rule::UnknownBudget, vec![line.clone()], subject);
        }
    }
}

fn all_overrides(file: &LimitsFile) -> impl Iterator<Item = (&String, &LimitOverrides)> {
    let defaults = file
        .defaults
        .iter()
        .map(|located| (&located.at, &located.value));
    let classes = file
        .classes
        .iter()
        .map(|located| (&located.at, &located.value.overrides));
    let routes = file
        .routes
        .iter()
        .map(|located| (&located.at, &located.value.overrides));
    defaults.chain(classes).chain(routes)
}
