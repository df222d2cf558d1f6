//! Many nodes, each with its own news, over an unreliable network in virtual time: whatever the order of epochs,
//! news, starts and deaths, no fill visits a node twice, no scope has two leaders, and every request ends.

mod fills;
mod net;

use net::{tree, Net, HUBS};
use proptest::prelude::*;
use std::collections::HashMap;

#[derive(Clone, Debug)]
enum Step {
    Ask { hub: usize, object: u64 },
    Told { hub: usize, tree: usize },
    Die { hub: usize },
    Run { steps: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..HUBS, 0u64..4).prop_map(|(hub, object)| Step::Ask { hub, object }),
        3 => (0..HUBS, 0usize..4).prop_map(|(hub, tree)| Step::Told { hub, tree }),
        1 => (0..HUBS).prop_map(|hub| Step::Die { hub }),
        4 => (1usize..12).prop_map(|steps| Step::Run { steps }),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(std::env::var("PROPTEST_CASES").map_or(400, |n| n.parse().unwrap_or(400))))]

    #[test]
    fn no_cycle_no_second_leader_and_every_request_ends(
        picks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), HUBS), 4),
        orders in proptest::collection::vec(Just((0..HUBS).collect::<Vec<_>>()).prop_shuffle(), 4),
        steps in steps(),
        seed in any::<u64>(),
        lost in prop_oneof![Just(0u64), 1u64..30],
    ) {
        let trees = (0..4).map(|t| tree(t as u64 + 1, &orders[t], &picks[t])).collect();
        let mut net = Net::new(trees, seed, lost);
        for step in steps {
            match step {
                Step::Ask { hub, object } => net.client(hub, object),
                // News comes in any order; an older tree is refused and changes nothing.
                Step::Told { hub, tree } => {
                    let news = net.trees[tree].clone();
                    let now = net.now;
                    if net.hubs[hub].node.apply_tree(now, news, HashMap::new()).is_ok() {
                        net.told[hub] = tree;
                    }
                }
                Step::Die { hub } => net.die(hub),
                Step::Run { steps } => {
                    let _ = (0..steps).all(|_| net.step());
                }
            }
        }
        let mut left = 200_000;
        while net.step() {
            left -= 1;
            prop_assert!(left > 0, "it never comes to rest");
        }
        prop_assert!(net.faults.is_empty(), "{:?}", net.faults);
        prop_assert!(net.clients.values().all(Option::is_some), "a request without an end");
        if lost == 0 {
            // Nothing hangs: no fill ever waited for one that waited for it.
            prop_assert!(net.hubs.iter().all(|h| h.node.fetches().counts().leases_expired == 0), "a wait that never ended by itself");
        }
    }
}
