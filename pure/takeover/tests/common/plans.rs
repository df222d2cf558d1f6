//! Random plans.

use super::{Action, Plan, MS};
use proptest::prelude::*;

fn action() -> impl Strategy<Value = Action> {
    let span = || 1..3_000 * MS;
    prop_oneof![
        8 => (0..12u8, any::<u8>()).prop_map(|(key, at)| Action::ClientRequest { key, at }),
        2 => (any::<u8>(), prop_oneof![Just(0), span()]).prop_map(|(target, restart)| Action::Kill { target, restart }),
        2 => (any::<u8>(), span()).prop_map(|(target, span)| Action::Pause { target, span }),
        2 => (any::<u8>(), any::<u8>(), any::<bool>(), span())
            .prop_map(|(from, to, both, span)| Action::Cut { from, to, both, span }),
        1 => (any::<u8>(), span()).prop_map(|(target, span)| Action::Isolate { target, span }),
        1 => any::<u8>().prop_map(|target| Action::ShutDown { target }),
    ]
}

pub fn plan() -> impl Strategy<Value = Plan> {
    let actions = prop::collection::vec((0..3_000 * MS, action()), 1..40);
    let noise = prop_oneof![Just((0, 0, 2 * MS)), (0..200u64, 0..200u64, 1..80 * MS)];
    (any::<u64>(), 3..7usize, actions, noise, any::<bool>()).prop_map(
        |(seed, processes, actions, noise, terms)| {
            let (lost, duplicated, max_delay) = noise;
            Plan {
                processes,
                actions,
                lost,
                duplicated,
                max_delay,
                terms,
                ..Plan::new(seed)
            }
        },
    )
}
