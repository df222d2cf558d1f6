//! Each planted fault breaks what the fleet's tests ask. One test, as a fault is the whole process's.

mod common;

use common::*;
use foldmux_membership::planted::{plant, Fault};
use foldmux_membership::*;

/// A restart, a leave and a pause of ten members: what of it is not as it should be.
fn broken() -> Option<&'static str> {
    let mut net = Net::whole(10, 1);
    net.start(3, 5_000_000, &[0, 9]);
    net.run(5 * SECOND);
    // The next life begins below: it may come in above the one before, never as it is.
    net.start(3, 4_999_999, &[0, 9]);
    net.run(5 * SECOND);
    let above = |i: usize| {
        net.seen(i, 3)
            .is_some_and(|seen| seen.generation > 5_000_000)
    };
    if !(0..10).filter(|i| *i != 3).all(above) || !net.converged() {
        return Some("an older life came back");
    }
    net.ask(4, Command::Leave);
    net.run(SECOND);
    if net.heard_of(|told| *told == Event::Left(name(4))) != 9 {
        return Some("a leave was not told");
    }
    let returns = |net: &Net| {
        net.members
            .iter()
            .flatten()
            .map(|member| member.counts().returns)
            .sum::<u64>()
    };
    let before = returns(&net);
    net.paused.insert(0, net.now + 3 * net.pace.suspicion() / 4);
    net.run(10 * SECOND);
    (returns(&net) > before).then_some("one that refuted was taken for dead")
}

#[test]
fn each_planted_fault_is_found() {
    assert_eq!(broken(), None, "with none planted, none is found");
    for (fault, finding) in [
        (Fault::AnyLifeHolds, "an older life came back"),
        (Fault::LeavesUntold, "a leave was not told"),
        (Fault::RefutedInVain, "one that refuted was taken for dead"),
    ] {
        plant(Some(fault));
        assert_eq!(broken(), Some(finding), "{fault:?}");
        plant(None);
    }
}
