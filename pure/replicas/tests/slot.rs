//! All states of one slot's lease, within bounds: never two holders at once. docs/design/members.md has the counts.

mod model;

use model::Slot;
use stateright::{Checker, Model};

const FRESH: &str = "a fresh seat speaks again";
const PAUSED: &str = "it is held while its holder is paused";
const PASSES: &str = "it passes on";

/// Walks them all; what must be able to happen must be seen to happen.
fn walk(rounds: u8, crashes: u8, pauses: u8, happens: &[&'static str]) -> usize {
    let slot = Slot {
        rounds,
        crashes,
        pauses,
        suspicion: false,
        from_answer: || false,
    };
    let checker = slot.checker().threads(2).symmetry().spawn_dfs().join();
    let (all, unlike, depth) = (
        checker.state_count(),
        checker.unique_state_count(),
        checker.max_depth(),
    );
    println!(
        "{rounds} claims, {crashes} crash, {pauses} pause: {all} states, {unlike} unlike, depth {depth}"
    );
    checker.assert_no_discovery("never two hold");
    happens
        .iter()
        .for_each(|name| drop(checker.assert_any_discovery(name)));
    unlike
}

#[test]
fn never_two_hold_with_a_crash_and_a_pause() {
    assert!(
        walk(2, 1, 1, &[FRESH, PAUSED]) > 300_000,
        "the walk has shrunk"
    );
}

#[test]
fn never_two_hold_as_it_passes_on() {
    assert!(walk(3, 0, 0, &[PASSES]) > 150_000, "the walk has shrunk");
}

/// A minute, built for release.
#[test]
#[ignore]
fn never_two_hold_as_it_passes_on_with_a_crash_and_a_pause() {
    walk(3, 1, 1, &[FRESH, PAUSED, PASSES]);
}
