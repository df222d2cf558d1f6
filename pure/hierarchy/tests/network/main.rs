//! Nodes that apply trees at different times, over an unreliable network in virtual time. In any order of requests, tree
//! changes and crashes, no fill visits a node twice, no scope has two leaders, and every request ends.

mod fills;
mod net;

use net::{tree, Network, HUBS};
use proptest::prelude::*;
use std::collections::HashMap;

#[derive(Clone, Debug)]
enum Step {
    Request { hub: usize, object: u64 },
    ApplyTree { hub: usize, tree: usize },
    Crash { hub: usize },
    Run { steps: usize },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0..HUBS, 0u64..4).prop_map(|(hub, object)| Step::Request { hub, object }),
        3 => (0..HUBS, 0usize..4).prop_map(|(hub, tree)| Step::ApplyTree { hub, tree }),
        1 => (0..HUBS).prop_map(|hub| Step::Crash { hub }),
        4 => (1usize..12).prop_map(|steps| Step::Run { steps }),
    ];
    proptest::collection::vec(step, 1..120)
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(std::env::var("PROPTEST_CASES").map_or(400, |n| n.parse().unwrap_or(400))))]

    #[test]
    fn fills_form_no_cycle_have_one_leader_per_scope_and_every_request_ends(
        picks in proptest::collection::vec(proptest::collection::vec(any::<u8>(), HUBS), 4),
        orders in proptest::collection::vec(Just((0..HUBS).collect::<Vec<_>>()).prop_shuffle(), 4),
        steps in steps(),
        seed in any::<u64>(),
        loss_percent in prop_oneof![Just(0u64), 1u64..30],
    ) {
        let trees = (0..4).map(|t| tree(t as u64 + 1, &orders[t], &picks[t])).collect();
        let mut net = Network::new(trees, seed, loss_percent);
        for step in steps {
            match step {
                Step::Request { hub, object } => net.client_request(hub, object),
                // Trees arrive in any order. An older one is rejected and changes nothing.
                Step::ApplyTree { hub, tree } => {
                    let tree_to_apply = net.trees[tree].clone();
                    let now = net.now;
                    if net.hubs[hub].node.apply_tree(now, tree_to_apply, HashMap::new()).is_ok() {
                        net.last_tree[hub] = tree;
                    }
                }
                Step::Crash { hub } => net.crash(hub),
                Step::Run { steps } => {
                    let _ = (0..steps).all(|_| net.step());
                }
            }
        }
        let mut steps_left = 200_000;
        while net.step() {
            steps_left -= 1;
            prop_assert!(steps_left > 0, "messages or leases remain after 200,000 steps");
        }
        prop_assert!(net.violations.is_empty(), "{:?}", net.violations);
        prop_assert!(net.clients.values().all(Option::is_some), "a request has no response");
        if loss_percent == 0 {
            // No lease expired, so no fill waited for one that waited for it.
            prop_assert!(net.hubs.iter().all(|h| h.node.fetches().counts().leases_expired == 0), "a lease expired although no message was lost");
        }
    }
}
