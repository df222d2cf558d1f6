//! Faults planted one by one: the drawn schedules find each. Run with `--features planted`.
#![cfg(feature = "planted")]

mod common;

use common::plans::plan;
use common::world::World;
use common::{Plan, Verdict, MS};
use foldmux_takeover::Fault;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use std::time::Instant;

/// Schedules that are drawn until a fault has shown; far more than any takes.
const MOST: usize = 20_000;

fn found(fault: Fault) -> Verdict {
    let (mut runner, began) = (TestRunner::deterministic(), Instant::now());
    for drawn in 1..=MOST {
        let mut plan = Plan {
            planted: Some(fault),
            ..plan().new_tree(&mut runner).unwrap().current()
        };
        if fault == Fault::LeaseFromReply {
            // It shows only where replies are long on their way.
            plan.delay = 450 * MS;
        }
        let verdict = World::run(plan);
        if !verdict.sound() {
            eprintln!(
                "{fault:?}: found in {:?}, at schedule {drawn}: {verdict:?}",
                began.elapsed()
            );
            return verdict;
        }
    }
    panic!("{fault:?} is not found in {MOST} schedules");
}

macro_rules! planted {
    ($($name:ident: $fault:ident,)*) => {$(
        #[test]
        fn $name() {
            found(Fault::$fault);
        }
    )*};
}

planted! {
    no_look_at_the_lease_before_the_send: NoLeaseCheck,
    intended_at_one_seat_alone: BeginAtOneReplica,
    a_successor_forgets_attempts: SuccessorForgets,
    an_answer_given_before_it_is_kept: AnswerBeforeCommit,
    a_seat_without_memory_votes: VoteAfterStateLoss,
    a_note_of_an_old_owner_is_taken: StaleWriteAccepted,
    one_grant_is_enough: OneGrantIsEnough,
    a_lease_counted_from_the_reply: LeaseFromReply,
    a_repeat_in_any_group: AnyGroup,
    a_term_granted_twice: TermGrantedTwice,
    an_attempts_age_counted_from_its_arrival: AgeFromArrival,
    the_first_record_outranks_what_was_written: SeedOutranks,
}
