//! Explores all states of one lease, within bounds: it never has two holders at once. `docs/design/members.md` has
//! the counts of states.

mod model;

use model::LeaseModel;
use stateright::{Checker, Model};

const VOTES_AGAIN: &str = "a replica without state votes again";
const PAUSED: &str = "the lease is held while its holder is paused";
const CHANGES_HANDS: &str = "the lease changes hands";

/// Explores all states. Each property of `reachable` must hold in some state. Returns the number of unique states.
fn explore(rounds: u8, crashes: u8, pauses: u8, reachable: &[&'static str]) -> usize {
    let model = LeaseModel {
        rounds,
        crashes,
        pauses,
        suspicion: false,
        lease_from_reply: || false,
    };
    let checker = model.checker().threads(2).symmetry().spawn_dfs().join();
    let (all, unique, depth) = (
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
    );
    println!(
        "{rounds} requests, {crashes} crash, {pauses} pause: {all} states, {unique} unique, depth {depth}"
    );
    checker.assert_no_discovery("at most one holder");
    reachable
        .iter()
        .for_each(|name| drop(checker.assert_any_discovery(name)));
    unique
}

#[test]
fn at_most_one_holder_with_a_crash_and_a_pause() {
    assert!(
        explore(2, 1, 1, &[VOTES_AGAIN, PAUSED]) > 300_000,
        "the exploration reached fewer states than expected"
    );
}

#[test]
fn at_most_one_holder_as_the_lease_changes_hands() {
    assert!(
        explore(3, 0, 0, &[CHANGES_HANDS]) > 150_000,
        "the exploration reached fewer states than expected"
    );
}

/// Takes a minute in a release build.
#[test]
#[ignore]
fn at_most_one_holder_as_the_lease_changes_hands_with_a_crash_and_a_pause() {
    explore(3, 1, 1, &[VOTES_AGAIN, PAUSED, CHANGES_HANDS]);
}
