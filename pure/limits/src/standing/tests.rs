//! A proxy's own lookup against the table's.

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
