//! Drawn schedules of kills, pauses, cuts, leaves and asks, on links that lose, repeat and delay: whatever happens, no work
//! runs twice, no two answers are given, no two owners may send at once. A failing schedule is shrunk and kept.

mod common;

use common::plans::plan;
use common::world::World;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, max_shrink_iters: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn nothing_runs_twice_and_all_hear_one_answer(plan in plan()) {
        let verdict = World::run(plan);
        prop_assert!(verdict.sound(), "{verdict:?}");
        prop_assert_eq!(verdict.left, 0);
    }
}
