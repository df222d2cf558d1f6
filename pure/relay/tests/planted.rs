//! Each planted fault must be detected by a test of `hard` or `tables`. Which test, and after how long, is
//! printed.
#![cfg(feature = "planted")]
#![allow(clippy::duplicate_mod)]

#[path = "hard.rs"]
mod hard;
#[path = "tables.rs"]
mod tables;

use foldmux_relay::planted::{plant, Fault};
use std::panic::catch_unwind;
use std::time::Instant;

fn found(fault: Fault, by: &str, test: fn()) {
    let start = Instant::now();
    plant(Some(fault));
    let found = catch_unwind(test).is_err();
    plant(None);
    assert!(found, "{fault:?} is not found by {by}");
    eprintln!(
        "planted {fault:?}: found by {by} in {} ms",
        start.elapsed().as_millis()
    );
}

macro_rules! faults {
    ($($name:ident: $fault:ident by $file:ident::$test:ident),* $(,)?) => {
        $(#[test] fn $name() { found(Fault::$fault, stringify!($test), $file::$test) })*
    };
}

faults! {
    a_relay_that_restarts_its_numbers: RestartsNumbering by hard::a_relay_that_is_killed_mid_message_leaves_no_gap,
    a_gap_that_is_not_reported: OmitsGaps by hard::a_source_that_starts_again_at_1_is_a_new_epoch,
    a_slow_reader_that_blocks_others: SlowReaderBlocks by tables::slow_readers_are_told_of_gaps_where_the_stream_skips,
    a_branch_that_never_closes: NeverCloses by tables::one_reader_opens_one_stream_and_its_cancellation_closes_it,
    a_relay_that_was_left_and_is_accepted: AcceptsStaleRelay by hard::a_relay_that_resumes_after_a_pause_leaves_one_relay,
    a_join_that_moves_the_relay: YieldsOnJoin by hard::a_draining_relay_hands_over_without_a_pause,
    an_old_epoch_that_is_accepted: AcceptsOldEpoch by tables::a_late_answer_of_an_earlier_epoch_is_ignored,
    a_relay_that_sends_on_from_a_moved_position: ResumesMovedPosition
        by tables::a_relay_that_is_slow_repeatedly_moves_no_more_often_than_the_bound,
    retries_in_step: RetriesInStep by tables::processes_that_read_the_source_do_not_return_to_a_relay_in_step,
    a_follower_that_never_reads_the_source: NeverReadsSource
        by tables::processes_that_read_the_source_do_not_return_to_a_relay_in_step,
    a_drain_without_a_redirect: LeavesSilently by hard::a_draining_relay_hands_over_without_a_pause,
}
