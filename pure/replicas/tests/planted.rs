//! Exploring the states of the lease finds each planted fault. There is one test, as a fault is planted for the
//! whole process. `tests/lease_model.rs` checks that nothing is found without a fault.

mod model;

use foldmux_replicas::planted::{is_planted, plant, Fault};
use model::LeaseModel;
use stateright::{Checker, HasDiscoveries, Model};

#[test]
fn each_planted_fault_lets_two_holders_have_the_lease() {
    let faults = [
        Fault::QuorumOfAliveReplicas,
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
            suspicion: fault == Fault::QuorumOfAliveReplicas,
            lease_from_reply: || is_planted(Fault::LeaseFromReply),
        };
        let started_at = std::time::Instant::now();
        let exploration = model
            .checker()
            .threads(2)
            .symmetry()
            .finish_when(HasDiscoveries::AnyFailures);
        let checker = exploration.spawn_dfs().join();
        let found = checker
            .discovery("at most one holder")
            .unwrap_or_else(|| panic!("{fault:?} is not found"));
        let (took, actions) = (started_at.elapsed().as_millis(), found.into_actions().len());
        println!(
            "{fault:?}: {took} ms, {} states, {actions} actions",
            checker.unique_state_count()
        );
    }
}
