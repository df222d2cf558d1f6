//! A proxy's own lookup table against the search of all limits.

use super::*;
use crate::overrides::LimitOverrides;
use crate::resolve::{LimitsFile, Located, RouteOverrides};
use crate::route_match::RouteMatch;
use crate::Account;
use proptest::prelude::*;

/// A route's zone and caller patterns, and the index of its front.
type RoutePatterns = (Option<String>, Option<String>, Option<usize>);

proptest! {
    #[test]
    fn the_table_of_a_proxy_finds_what_the_limit_set_finds(
        routes in proptest::collection::vec((
            proptest::option::of("a|b|a\\*"), proptest::option::of("s|st|s\\*|\\*"), proptest::option::of(0usize..3),
        ), 0..12),
        zone in "a|b|ab|c", caller in "|s|st|sx", front in 0usize..4,
    ) {
        let route = |(n, (zone, caller, front)): (usize, RoutePatterns)| Located {
            at: format!("f:{n}"),
            value: RouteOverrides {
                name: format!("r{n}"),
                class: "mix-video".to_string(),
                matching: RouteMatch { zone, caller, front: front.map(|n| FRONTS[n].to_string()) },
                overrides: LimitOverrides::default(),
            },
        };
        let file = LimitsFile { routes: routes.into_iter().enumerate().map(route).collect(), ..LimitsFile::default() };
        let limits = LimitSet::new(&Account::default(), &file);
        let front = FRONTS.get(front).copied().unwrap_or("other");
        for class in 0..4 {
            let (table, expected) = (LimitTable::new(&limits, &zone), limits.find(class, &zone, &caller, front));
            prop_assert_eq!(table.find(class, &caller, front), expected);
        }
    }
}
