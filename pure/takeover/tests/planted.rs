//! Faults planted one by one: random plans find each. Run with `--features planted`.
#![cfg(feature = "planted")]

mod common;

use common::plans::plan;
use common::simulation::Simulation;
use common::{Plan, Summary, MS};
use foldmux_takeover::Fault;
use proptest::strategy::{Strategy, ValueTree};
use proptest::test_runner::TestRunner;
use std::time::Instant;

/// Plans that are tried until a fault is found; far more than any fault takes.
const MAX_PLANS: usize = 20_000;

fn find(fault: Fault) -> Summary {
    let (mut runner, started_at) = (TestRunner::deterministic(), Instant::now());
    for number in 1..=MAX_PLANS {
        let mut plan = Plan {
            planted: Some(fault),
            ..plan().new_tree(&mut runner).unwrap().current()
        };
        if fault == Fault::LeaseFromReply {
            // It shows only where replies take long.
            plan.max_delay = 450 * MS;
        }
        let summary = Simulation::run(plan);
        if !summary.is_sound() {
            eprintln!(
                "{fault:?}: found in {:?}, at plan {number}: {summary:?}",
                started_at.elapsed()
            );
            return summary;
        }
    }
    panic!("{fault:?} is not found in {MAX_PLANS} plans");
}

macro_rules! planted {
    ($($name:ident: $fault:ident,)*) => {$(
        #[test]
        fn $name() {
            find(Fault::$fault);
        }
    )*};
}

planted! {
    an_attempt_sent_without_a_valid_lease: NoLeaseCheck,
    an_attempt_begun_at_one_replica_alone: BeginAtOneReplica,
    a_successor_forgets_attempts: SuccessorForgets,
    an_answer_given_before_it_is_stored: AnswerBeforeCommit,
    a_replica_without_its_state_votes: VoteAfterStateLoss,
    a_write_of_a_superseded_owner_is_accepted: StaleWriteAccepted,
    one_grant_is_enough: OneGrantIsEnough,
    a_lease_counted_from_the_reply: LeaseFromReply,
    a_repeat_in_any_group: AnyGroup,
    a_term_granted_twice: TermGrantedTwice,
    an_attempts_age_counted_from_the_records_arrival: AgeFromArrival,
    a_record_that_was_never_written_outranks_written_ones: SeedOutranks,
}
