//! A proxy's own lookup table against the search of all limits.

use super::*;
use crate::overrides::LimitOverrides;
use crate::resolve::{LimitsFile, Located, RouteOverrides};
use crate::route_match::RouteMatch;
use crate::Account;
use proptest::prelude::*;

/// A route's zone, caller and front.
type Drawn = (Option<String>, Option<String>, Option<usize>);

proptest! {
    #[test]
    fn the_table_of_a_proxy_finds_what_the_limit_set_finds(
        routes in proptest::collection::vec((
            proptest::option::of("a|b|a\\*"), proptest::option::of("s|st|s\\*|\\*"), proptest::option::of(0usize..3),
        ), 0..12),
        zone in "a|b|ab|c", caller in "|s|st|sx", front in 0usize..4,
    ) {
        let route = |(n, (zone, caller, front)): (usize, Drawn)| Located {
            at: format!("f:{n}"),
            value: RouteOverrides {
                name: format!("r{n}"),
                class: "mix-video".to_string(),
                matching: RouteMatch { zone, caller, front: front.map(|n| FRONTS[n].to_string()) },
                overrides: LimitOverrides::default(),
            },
        };
        let draft = LimitsFile { routes: routes.into_iter().enumerate().map(route).collect(), ..LimitsFile::default() };
        let table = LimitSet::new(&Account::default(), &draft);
        let front = FRONTS.get(front).copied().unwrap_or("other");
        for class in 0..4 {
            let (found, all) = (LimitTable::new(&table, &zone), table.find(class, &zone, &caller, front));
            prop_assert_eq!(found.find(class, &caller, front), all);
        }
    }
}
