//! Faults planted in the part that takes over, in a whole fleet: the drawn faults find each, and are made short. Run with
//! `--features planted`.
#![cfg(feature = "planted")]

use foldmux_fleetlab::{run, shrink::shrink, Breaks, Plan};
use std::time::Instant;

fn found(fault: &str) {
    let began = Instant::now();
    for seed in 1..=40 {
        let plan = Plan { planted: Some(fault.to_string()), ..Plan::new(12, seed) };
        let report = run(&plan);
        let Some(broken) = report.broken() else { continue };
        let (short, runs) = shrink(&plan, &report.fired, broken, 60);
        let Breaks::Listed(list) = &short.breaks else { unreachable!("shrunk to a list") };
        eprintln!(
            "{fault}: {broken}, seed {seed}, {} faults made {} in {runs} runs, {:?}",
            report.fired.len(),
            list.len(),
            began.elapsed()
        );
        assert!(list.len() < report.fired.len().max(1));
        return;
    }
    panic!("{fault} is not found");
}

#[test]
fn no_look_at_the_lease_before_the_send() {
    found("NoLeaseCheck");
}

#[test]
fn a_successor_that_forgets_attempts() {
    found("SuccessorForgets");
}
