//! A client that closed its connection has gone: its requests are given up and no further attempt begins, also where the
//! process leaves, and where nothing more of what the client sends can be read.

use steps::Rig;

mod common;
#[path = "common/steps.rs"]
mod steps;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;

#[test]
fn while_the_process_leaves_a_client_that_closes_has_gone() {
    let mut rig = Rig::start();
    let (mut closes, mut stays) = (rig.client(), rig.client());
    closes.ask(ONE);
    let mut first = rig.attempt();
    stays.ask(TWO);
    let mut second = rig.attempt();
    rig.leave();
    drop(closes);
    first.is_given_up();
    // The process was there all the time: another's request is served.
    second.give(b"ok");
    assert!(stays.answer().contains("\\xc4\\x02ok"));
    stays.ends();
    drop(stays);
    rig.ends_well();
    assert_eq!(
        rig.waiting_attempts(),
        0,
        "a further attempt for a client that had gone"
    );
}

#[test]
fn after_a_message_that_cannot_be_read_the_close_is_heard() {
    let rig = Rig::start();
    let mut client = rig.client();
    client.ask(ONE);
    let mut attempt = rig.attempt();
    client.send(b"\xc1");
    // What follows is not taken, however much it is.
    (0..64).for_each(|_| client.send(&[0xc1; 1024]));
    drop(client);
    attempt.is_given_up();
    assert_eq!(rig.waiting_attempts(), 0);
}

#[test]
fn after_half_a_message_that_came_too_late_the_close_is_heard() {
    let rig = Rig::start();
    let (mut client, mut late) = (rig.client(), rig.client());
    client.ask(ONE);
    let mut attempt = rig.attempt();
    client.send(b"\x94\x00");
    // One that began no earlier is ended for it: by then the first is late too.
    late.send(b"\x94\x00");
    late.ends();
    drop(client);
    attempt.is_given_up();
    assert_eq!(rig.waiting_attempts(), 0);
}

#[test]
fn after_a_number_that_does_not_count_up_a_forget_and_the_close_are_heard() {
    let rig = Rig::start();
    let mut client = rig.client();
    let one = client.ask(ONE);
    let mut first = rig.attempt();
    let two = client.ask(TWO);
    let mut second = rig.attempt();
    client.ask(TWO + 1);
    let mut third = rig.attempt();
    // The first number once more: what is open under it is given up, and this call is not sent on.
    client.send(&steps::call(one, TWO + 2));
    first.is_given_up();
    assert!(client.answer().contains("two requests under one number"));
    client.forget(two);
    second.is_given_up();
    // A call behind it is not taken either.
    client.ask(TWO + 3);
    drop(client);
    third.is_given_up();
    assert_eq!(
        rig.waiting_attempts(),
        0,
        "a call was sent on after the end was decided"
    );
}

#[test]
fn after_a_number_that_does_not_count_up_what_is_owed_is_answered_and_the_connection_ends() {
    let rig = Rig::start();
    let mut client = rig.client();
    let one = client.ask(ONE);
    let mut first = rig.attempt();
    client.ask(TWO);
    let mut second = rig.attempt();
    client.send(&steps::call(one, TWO + 2));
    first.is_given_up();
    assert!(client.answer().contains("two requests under one number"));
    second.give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    client.ends();
    assert_eq!(rig.waiting_attempts(), 0);
}

#[test]
fn calls_sent_at_once_by_a_client_that_goes_are_all_given_up() {
    let rig = Rig::start();
    let mut client = rig.client();
    for n in 0..32 {
        client.ask(ONE + n);
    }
    let mut attempts: Vec<_> = (0..32).map(|_| rig.attempt()).collect();
    drop(client);
    attempts
        .iter_mut()
        .for_each(|attempt| attempt.is_given_up());
    assert_eq!(rig.waiting_attempts(), 0);
}
