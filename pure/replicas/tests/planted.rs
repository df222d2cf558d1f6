//! Each planted fault is found by exploring the states of the lease. One test, as a fault is planted for the
//! whole process. That nothing is found without a fault is in `tests/lease_model.rs`.

mod model;

use foldmux_replicas::planted::{is_planted, plant, Fault};
use model::LeaseModel;
use stateright::{Checker, HasDiscoveries, Model};

#[test]
fn each_planted_fault_lets_two_hold_one_lease() {
    let faults = [
        Fault::QuorumOfTheLiving,
        Fault::VoteAfterStateLoss,
        Fault::LeaseFromReply,
        Fault::LeaseNotShortened,
    ];
    for fault in faults {
        let _planted = plant(fault);
        let model = LeaseModel {
            rounds: 2,
            crashes: u8::from(fault == Fault::VoteAfterStateLoss),
            pauses: 0,
            suspicion: fault == Fault::QuorumOfTheLiving,
            lease_from_reply: || is_planted(Fault::LeaseFromReply),
        };
        let began = std::time::Instant::now();
        let exploration = model
            .checker()
            .threads(2)
            .symmetry()
            .finish_when(HasDiscoveries::AnyFailures);
        let checker = exploration.spawn_dfs().join();
        let found = checker
            .discovery("at most one holder")
            .unwrap_or_else(|| panic!("{fault:?} is not found"));
        let (took, actions) = (began.elapsed().as_millis(), found.into_actions().len());
        println!(
            "{fault:?}: {took} ms, {} states, {actions} actions",
            checker.unique_state_count()
        );
    }
}
