//! Random plans of kills, pauses, cuts, shutdowns and requests, on links that lose, duplicate and delay messages. Whatever
//! happens, no request runs twice or gets two answers, and no two owners may send at once. A failing plan is shrunk and
//! saved as a regression.

mod common;

use common::plans::plan;
use common::simulation::Simulation;
use proptest::prelude::*;

proptest! {
    #![proptest_config(ProptestConfig { cases: 600, max_shrink_iters: 2_000, ..ProptestConfig::default() })]

    #[test]
    fn no_request_runs_twice_or_gets_two_answers(plan in plan()) {
        let summary = Simulation::run(plan);
        prop_assert!(summary.is_sound(), "{summary:?}");
        prop_assert_eq!(summary.requests_left, 0);
    }
}
