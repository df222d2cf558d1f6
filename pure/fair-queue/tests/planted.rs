//! Each planted fault is found by a check that the unmodified crate passes.
#![cfg(feature = "planted")]

mod common;
use common::checks::*;
use foldmux_fair_queue::planted::{plant, Fault};
use std::time::Instant;

fn expect_found(fault: Fault, check: impl Fn(u64) -> Check) {
    let began = Instant::now();
    plant(Some(fault));
    let error = (0..24).find_map(|seed| check(seed).err());
    plant(None);
    let error = error.unwrap_or_else(|| panic!("{fault:?} is not found"));
    eprintln!(
        "{fault:?} in {} ms: {}",
        began.elapsed().as_millis(),
        error.chars().take(90).collect::<String>()
    );
}

#[test]
fn faults_of_the_queue_are_found() {
    expect_found(Fault::ChargeByCount, |_| charged_by_slot_time());
    expect_found(Fault::NoCostCorrection, |_| mispredicted_cost());
    expect_found(Fault::RetryJumpsQueue, |_| retries_keep_their_place());
    expect_found(Fault::UnboundedCredit, |_| bounded_credit());
    expect_found(Fault::UnboundedSlowRuns, |_| slow_requests_are_bounded());
    expect_found(Fault::WeightPerUnnamedTenant, |_| {
        invented_names_share_one_weight()
    });
}

#[test]
fn faults_of_the_leases_are_found() {
    expect_found(Fault::SlotReturnedTwice, |seed| {
        fleet_never_exceeds_pool(seed, 2_000, false)
    });
    expect_found(Fault::OneGrantIsEnough, |seed| {
        fleet_never_exceeds_pool(seed, 2_000, false)
    });
    expect_found(Fault::GrantAfterStateLoss, |seed| {
        fleet_never_exceeds_pool(seed, 2_000, true)
    });
    expect_found(Fault::UsedPastLease, |seed| {
        fleet_never_exceeds_pool(seed, 2_000, false)
    });
}

#[test]
fn faults_that_need_high_latency_are_found() {
    expect_found(Fault::LeaseCountedFromReply, |seed| {
        fleet_never_exceeds_pool(seed, 90_000, false)
    });
    expect_found(Fault::StaleReleaseAccepted, |seed| {
        fleet_never_exceeds_pool(seed, 90_000, false)
    });
}

#[test]
fn unbounded_digest_charge_is_found() {
    expect_found(Fault::UnboundedDigestCharge, |_| {
        false_digests_are_bounded()
    });
}
