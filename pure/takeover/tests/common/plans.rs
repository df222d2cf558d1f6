//! Schedules, drawn.

use super::{Act, Plan, MS};
use proptest::prelude::*;

fn act() -> impl Strategy<Value = Act> {
    let span = || 1..3_000 * MS;
    prop_oneof![
        8 => (0..12u8, any::<u8>()).prop_map(|(key, at)| Act::Command { key, at }),
        2 => (any::<u8>(), prop_oneof![Just(0), span()]).prop_map(|(who, restart)| Act::Kill { who, restart }),
        2 => (any::<u8>(), span()).prop_map(|(who, span)| Act::Pause { who, span }),
        2 => (any::<u8>(), any::<u8>(), any::<bool>(), span())
            .prop_map(|(from, to, both, span)| Act::Cut { from, to, both, span }),
        1 => (any::<u8>(), span()).prop_map(|(who, span)| Act::Alone { who, span }),
        1 => any::<u8>().prop_map(|who| Act::Leave { who }),
    ]
}

pub fn plan() -> impl Strategy<Value = Plan> {
    let acts = prop::collection::vec((0..3_000 * MS, act()), 1..40);
    let noise = prop_oneof![Just((0, 0, 2 * MS)), (0..200u64, 0..200u64, 1..80 * MS)];
    (any::<u64>(), 3..7usize, acts, noise, any::<bool>()).prop_map(
        |(seed, processes, acts, noise, terms)| {
            let (lost, twice, delay) = noise;
            Plan {
                processes,
                acts,
                lost,
                twice,
                delay,
                terms,
                ..Plan::new(seed)
            }
        },
    )
}
