//! Each planted fault is found by one of the tests of hard cases and tables; which, and how soon, is printed.
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
    a_relay_that_restarts_its_numbers: Renumbers by hard::a_relay_that_is_killed_mid_message_leaves_no_gap,
    a_gap_untold: GapUntold by hard::a_source_that_starts_again_at_1_is_a_new_epoch,
    a_slow_reader_that_blocks_others: SlowBlocks by tables::the_slow_are_told_what_they_lost_where_a_stream_skips,
    a_branch_that_never_closes: NeverCloses by tables::one_subscriber_is_one_stream_and_its_end_closes_it,
    a_relay_left_long_ago_that_is_taken: StaleTaken by hard::a_relay_paused_and_woken_leaves_one,
    a_join_that_moves_the_relay: JoinsMove by hard::a_relay_that_leaves_hands_over_with_no_silence,
    an_old_epoch_that_is_taken: OldEpochTaken by tables::an_answer_of_the_epoch_before_that_comes_late_is_none,
    a_feed_that_goes_on_from_a_moved_place: FeedsMixed
        by tables::a_relay_that_is_slow_again_and_again_moves_no_oftener_than_the_bound,
    returns_in_step: ReturnsInStep by tables::a_site_that_turned_to_the_source_does_not_come_back_in_step,
    a_reader_that_never_turns_to_the_source: NeverDirect
        by tables::a_site_that_turned_to_the_source_does_not_come_back_in_step,
    a_leaving_that_is_not_told: LeavesUntold by hard::a_relay_that_leaves_hands_over_with_no_silence,
}
