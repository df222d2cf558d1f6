//! Rules of routes: their patterns, and that each can be reached.

use super::{Report, Rule};
use crate::account::{AUTHENTICATED_FRONT, FRONTS};
use crate::resolve::{LimitSet, Located, ResolvedLimits, RouteOverrides};

pub(super) fn check_front(report: &mut Report, route: &Located<RouteOverrides>) {
    let Some(front) = route.value.matching.front.as_deref() else {
        return;
    };
    if !FRONTS.contains(&front) {
        let subject = format!("route {}, front {front:?}", route.value.name);
        report.add(Rule::UnknownFront, vec![route.at.clone()], subject);
    }
}

pub(super) fn check_patterns(report: &mut Report, route: &Located<RouteOverrides>) {
    let matching = &route.value.matching;
    let invalid = |text: &&String| text.trim_end_matches('*').contains('*') || text.ends_with("**");
    let patterns = [&matching.zone, &matching.caller];
    if let Some(text) = patterns.into_iter().flatten().find(invalid) {
        let subject = format!("route {}: {text:?}", route.value.name);
        report.add(Rule::InvalidPattern, vec![route.at.clone()], subject);
    }
}

/// A caller can only be matched where callers authenticate.
pub(super) fn check_caller(report: &mut Report, route: &Located<RouteOverrides>) {
    let matching = &route.value.matching;
    let Some(front) = matching.front.as_deref() else {
        return;
    };
    let anonymous = front != AUTHENTICATED_FRONT && FRONTS.contains(&front);
    let names_caller = matching.caller.as_ref().is_some_and(|caller| caller != "*");
    if anonymous && names_caller {
        let subject = format!(
            "route {}: a caller at the front {front:?}",
            route.value.name
        );
        report.add(Rule::NeverMatches, vec![route.at.clone()], subject);
    }
}

/// No route may be covered by one before it.
pub(super) fn check_reachable(report: &mut Report, limits: &LimitSet) {
    for routes in &limits.by_class {
        for (index, resolved) in routes.iter().enumerate() {
            let Some(name) = &resolved.route else {
                continue;
            };
            let mut before = routes[..index].iter();
            let covering = before.find(|other| other.matching.covers(&resolved.matching));
            if let Some(covering) = covering {
                report_shadowed(report, limits, name, resolved, covering);
            }
        }
    }
}

fn report_shadowed(
    report: &mut Report,
    limits: &LimitSet,
    name: &str,
    shadowed: &ResolvedLimits,
    covering: &ResolvedLimits,
) {
    let last_calls = [shadowed, covering].map(|resolved| resolved.at.last().cloned());
    let lines = last_calls.into_iter().flatten().collect();
    let class = &limits.class_names[shadowed.class];
    let by = covering.route.clone().unwrap_or_default();
    let subject = format!("{class}: route {name} is shadowed by {by}");
    report.add(Rule::ShadowedRoute, lines, subject);
}
