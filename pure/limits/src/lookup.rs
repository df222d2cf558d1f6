//! The table in which one proxy looks up the limits of each request.

use crate::account::FRONTS;
use crate::resolve::{LimitSet, ResolvedLimits};
use crate::route_match::pattern_matches;
use std::sync::Arc;

/// Number of listeners that routes distinguish: the named ones, and any other.
const LISTENERS: usize = FRONTS.len() + 1;

/// The lookup table of one proxy. Its zone is fixed and the listeners are few, so the routes are filtered by these
/// beforehand, and only the caller is compared for each request.
#[derive(Clone, Debug, Default)]
pub struct LimitTable {
    /// By class and listener: in the order of [`FRONTS`], any other last.
    by_class: Vec<[Vec<CallerRoute>; LISTENERS]>,
}

#[derive(Clone, Debug)]
struct CallerRoute {
    caller: Option<String>,
    limits: Arc<ResolvedLimits>,
}

impl LimitTable {
    /// Creates the table of a proxy in that zone.
    pub fn new(limits: &LimitSet, zone: &str) -> LimitTable {
        let by_listener = |routes: &Vec<Arc<ResolvedLimits>>| {
            std::array::from_fn(|listener| {
                let front = FRONTS.get(listener).copied().unwrap_or_default();
                candidates(routes, zone, front)
            })
        };
        LimitTable {
            by_class: limits.by_class.iter().map(by_listener).collect(),
        }
    }

    /// Returns the limits of a request, as [`LimitSet::find`] does in this proxy's zone.
    pub fn find(&self, class: usize, caller: &str, front: &str) -> Option<&Arc<ResolvedLimits>> {
        let listener = FRONTS.iter().position(|name| *name == front);
        let routes = &self.by_class.get(class)?[listener.unwrap_or(FRONTS.len())];
        routes
            .iter()
            .find(|route| pattern_matches(&route.caller, caller))
            .map(|route| &route.limits)
    }
}

/// Returns the routes that requests at a listener may match, up to the first that matches every caller.
fn candidates(routes: &[Arc<ResolvedLimits>], zone: &str, front: &str) -> Vec<CallerRoute> {
    let mut candidates = Vec::new();
    for limits in routes {
        let matching = &limits.matching;
        if !pattern_matches(&matching.zone, zone) || !pattern_matches(&matching.front, front) {
            continue;
        }
        candidates.push(CallerRoute {
            caller: matching.caller.clone(),
            limits: limits.clone(),
        });
        if matching.caller.is_none() {
            break;
        }
    }
    candidates
}

#[cfg(test)]
mod tests;
