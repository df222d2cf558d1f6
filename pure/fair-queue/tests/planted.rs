//! Each planted fault is found by a check that the sound crate passes.
#![cfg(feature = "planted")]

mod common;
use common::checks::*;
use foldmux_fair_queue::planted::{plant, Fault};
use std::time::Instant;

fn found(fault: Fault, check: impl Fn(u64) -> Check) {
    let began = Instant::now();
    plant(Some(fault));
    let told = (0..24).find_map(|seed| check(seed).err());
    plant(None);
    let why = told.unwrap_or_else(|| panic!("{fault:?} is not found"));
    eprintln!(
        "{fault:?} in {} ms: {}",
        began.elapsed().as_millis(),
        why.chars().take(90).collect::<String>()
    );
}

#[test]
fn faults_of_the_queue_are_found() {
    found(Fault::ChargeByCount, |_| by_time());
    found(Fault::NeverPutRight, |_| foretold_wrongly());
    found(Fault::RepeatPassesOthers, |_| repeats_in_turn());
    found(Fault::NoBoundOnCredit, |_| held_back_is_no_credit());
    found(Fault::NoBoundOnSlow, |_| slow_have_a_part());
    found(Fault::EachNameAWeight, |_| invented_names());
}

#[test]
fn faults_of_the_leases_are_found() {
    found(Fault::SlotReturnedTwice, |seed| {
        fleet_keeps_its_cap(seed, 2_000, false)
    });
    found(Fault::OneSeatIsEnough, |seed| {
        fleet_keeps_its_cap(seed, 2_000, false)
    });
    found(Fault::FreshSeatGrants, |seed| {
        fleet_keeps_its_cap(seed, 2_000, true)
    });
    found(Fault::UsedPastItsLease, |seed| {
        fleet_keeps_its_cap(seed, 2_000, false)
    });
}

#[test]
fn faults_that_need_a_slow_line_are_found() {
    found(Fault::GrantersClock, |seed| {
        fleet_keeps_its_cap(seed, 90_000, false)
    });
    found(Fault::LateFreeCounts, |seed| {
        fleet_keeps_its_cap(seed, 90_000, false)
    });
}

#[test]
fn a_believer_of_liars_is_found() {
    found(Fault::EveryDigestBelieved, |_| a_liar_is_bounded());
}
