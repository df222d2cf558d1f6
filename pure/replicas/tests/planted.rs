//! Each planted fault is found by the walk of the slot's states. One test, as a fault is the whole process's. That the walk
//! finds nothing with none planted is `tests/slot.rs`.

mod model;

use foldmux_replicas::planted::{on, plant, Fault};
use model::Slot;
use stateright::{Checker, HasDiscoveries, Model};

#[test]
fn each_planted_fault_has_two_hold_one_slot() {
    let faults = [
        Fault::MajorityOfTheLiving,
        Fault::FreshVotes,
        Fault::CountsFromAnswer,
        Fault::EqualLength,
    ];
    for fault in faults {
        let _planted = plant(fault);
        let slot = Slot {
            rounds: 2,
            crashes: u8::from(fault == Fault::FreshVotes),
            pauses: 0,
            suspicion: fault == Fault::MajorityOfTheLiving,
            from_answer: || on(Fault::CountsFromAnswer),
        };
        let began = std::time::Instant::now();
        let walk = slot
            .checker()
            .threads(2)
            .symmetry()
            .finish_when(HasDiscoveries::AnyFailures);
        let checker = walk.spawn_dfs().join();
        let found = checker
            .discovery("never two hold")
            .unwrap_or_else(|| panic!("{fault:?} is not found"));
        let (took, moves) = (began.elapsed().as_millis(), found.into_actions().len());
        println!(
            "{fault:?}: {took} ms, {} states, {moves} moves",
            checker.unique_state_count()
        );
    }
}
