//! A client's `forget` beside the answer that it takes back: before it, behind it, and in the same moment. There is one answer
//! at the most, and the connection carries on.

use steps::{Client, Rig};

mod common;
#[path = "common/steps.rs"]
mod steps;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;

/// The next request on the connection is served, with no other answer before it, and the connection ends in order.
fn carries_on(mut rig: Rig, mut client: Client, message: String) {
    assert!(message.contains("\\xc4\\x03new"), "{message}");
    rig.leave();
    // Were more or less counted as open on it than is, it would end too soon or not at all.
    client.ends();
    drop(client);
    rig.ends_well();
    assert_eq!(rig.waiting_attempts(), 0);
}

#[test]
fn before_the_answer_it_ends_the_attempt_and_nothing_is_answered() {
    let rig = Rig::start();
    let mut client = rig.client();
    let one = client.ask(ONE);
    let mut attempt = rig.attempt();
    client.forget(one);
    attempt.is_given_up();
    client.ask(TWO);
    rig.attempt().give(b"new");
    let message = client.answer();
    carries_on(rig, client, message);
}

#[test]
fn behind_the_answer_it_changes_nothing() {
    let rig = Rig::start();
    let mut client = rig.client();
    let one = client.ask(ONE);
    rig.attempt().give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    (0..3).for_each(|_| client.forget(one));
    client.ask(TWO);
    rig.attempt().give(b"new");
    let message = client.answer();
    carries_on(rig, client, message);
}

#[test]
fn in_the_moment_of_the_answer_there_is_one_answer_at_the_most() {
    let rig = Rig::start();
    let mut client = rig.client();
    let one = client.ask(ONE);
    let mut attempt = rig.attempt();
    // The program finds both at once.
    rig.stop();
    attempt.give(b"ok");
    client.forget(one);
    client.ask(TWO);
    rig.go_on();
    drop(attempt);
    rig.attempt().give(b"new");
    let first = client.answer();
    let message = if first.contains("\\xc4\\x02ok") {
        client.answer()
    } else {
        first
    };
    carries_on(rig, client, message);
}
