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
                list.push(ByCaller { caller, resolved: resolved.clone() });
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
        Standing { by_class: table.by_class.iter().map(fronts).collect() }
    }

    /// As [`Table::find`] in this proxy's zone.
    pub fn find(&self, class: usize, caller: &str, front: &str) -> Option<&Arc<Resolved>> {
        let front = FRONTS.iter().position(|name| *name == front).unwrap_or(FRONTS.len());
        let routes = &self.by_class.get(class)?[front];
        routes.iter().find(|route| Match::part(&route.caller, caller)).map(|route| &route.resolved)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::table::{Draft, Route, Said};
    use crate::values::Layer;
    use crate::Account;
    use proptest::prelude::*;

    /// A route's zone, caller and front.
    type Drawn = (Option<String>, Option<String>, Option<usize>);

    proptest! {
        #[test]
        fn where_a_proxy_stands_finds_what_the_table_finds(
            routes in proptest::collection::vec((
                proptest::option::of("a|b|a\\*"), proptest::option::of("s|st|s\\*|\\*"), proptest::option::of(0usize..3),
            ), 0..12),
            zone in "a|b|ab|c", caller in "|s|st|sx", front in 0usize..4,
        ) {
            let route = |(n, (zone, caller, front)): (usize, Drawn)| Said {
                at: format!("f:{n}"),
                value: Route {
                    name: format!("r{n}"),
                    class: "mix-video".to_string(),
                    matching: Match { zone, caller, front: front.map(|n| FRONTS[n].to_string()) },
                    layer: Layer::default(),
                },
            };
            let draft = Draft { routes: routes.into_iter().enumerate().map(route).collect(), ..Draft::default() };
            let table = Table::new(&Account::default(), &draft);
            let front = FRONTS.get(front).copied().unwrap_or("other");
            for class in 0..4 {
                let (found, all) = (Standing::new(&table, &zone), table.find(class, &zone, &caller, front));
                prop_assert_eq!(found.find(class, &caller, front), all);
            }
        }
    }
}
