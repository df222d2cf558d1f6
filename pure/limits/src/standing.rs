//! The table as one proxy looks things up in it.

use crate::account::FRONTS;
use crate::table::{Match, Resolved, Table};
use std::sync::Arc;

/// A table as one proxy looks things up in it: where it stands is known, and which front a request came by is one of a
/// few, so that only the routes are left that may fit, and of those only the caller is looked at.
#[derive(Clone, Debug, Default)]
pub struct Standing {
    /// By class and front, the fronts in the order of [`FRONTS`] and any other last.
    by_class: Vec<[Vec<ByCaller>; FRONTS.len() + 1]>,
}

#[derive(Clone, Debug)]
struct ByCaller {
    caller: Option<String>,
    resolved: Arc<Resolved>,
}

impl Standing {
    pub fn new(table: &Table, zone: &str) -> Standing {
        let list = |routes: &[Arc<Resolved>], front: &str| {
            let fit = |r: &&Arc<Resolved>| {
                Match::part(&r.matching.zone, zone) && Match::part(&r.matching.front, front)
            };
            let mut list: Vec<ByCaller> = Vec::new();
            for resolved in routes.iter().filter(fit) {
                let caller = resolved.matching.caller.clone();
                let all = caller.is_none();
                list.push(ByCaller {
                    caller,
                    resolved: resolved.clone(),
                });
                if all {
                    // Nothing comes to what is behind it.
                    break;
                }
            }
            list
        };
        let fronts = |routes: &Vec<Arc<Resolved>>| {
            std::array::from_fn(|n| list(routes, FRONTS.get(n).copied().unwrap_or_default()))
        };
        Standing {
            by_class: table.by_class.iter().map(fronts).collect(),
        }
    }

    /// As [`Table::find`] in this proxy's zone.
    pub fn find(&self, class: usize, caller: &str, front: &str) -> Option<&Arc<Resolved>> {
        let front = FRONTS
            .iter()
            .position(|name| *name == front)
            .unwrap_or(FRONTS.len());
        let routes = &self.by_class.get(class)?[front];
        routes
            .iter()
            .find(|route| Match::part(&route.caller, caller))
            .map(|route| &route.resolved)
    }
}

#[cfg(test)]
mod tests;
