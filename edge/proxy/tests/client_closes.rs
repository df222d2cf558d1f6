//! A client that closed its connection has gone: its requests are given up and no further attempt begins, also where the
//! process leaves, and where nothing more of what the client sends can be read.

use test_proxy::TestProxy;

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;

#[test]
fn while_the_process_leaves_a_client_that_closes_has_gone() {
    let mut proxy = TestProxy::start();
    let (mut closes, mut stays) = (proxy.client(), proxy.client());
    closes.ask(ONE);
    let mut first = proxy.attempt();
    stays.ask(TWO);
    let mut second = proxy.attempt();
    proxy.leave();
    drop(closes);
    first.is_given_up();
    // The process was there all the time: another's request is served.
    second.give(b"ok");
    assert!(stays.answer().contains("\\xc4\\x02ok"));
    stays.ends();
    drop(stays);
    proxy.ends_well();
    assert_eq!(
        proxy.waiting_attempts(),
        0,
        "a further attempt for a client that had gone"
    );
}

#[test]
fn after_a_message_that_cannot_be_read_the_close_is_heard() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    client.ask(ONE);
    let mut attempt = proxy.attempt();
    client.send(b"\xc1");
    // What follows is not taken, however much it is.
    (0..64).for_each(|_| client.send(&[0xc1; 1024]));
    drop(client);
    attempt.is_given_up();
    assert_eq!(proxy.waiting_attempts(), 0);
}

#[test]
fn after_half_a_message_that_came_too_late_the_close_is_heard() {
    let proxy = TestProxy::start();
    let (mut client, mut late) = (proxy.client(), proxy.client());
    client.ask(ONE);
    let mut attempt = proxy.attempt();
    client.send(b"\x94\x00");
    // One that began no earlier is ended for it: by then the first is late too.
    late.send(b"\x94\x00");
    late.ends();
    drop(client);
    attempt.is_given_up();
    assert_eq!(proxy.waiting_attempts(), 0);
}

#[test]
fn after_a_number_that_does_not_count_up_a_forget_and_the_close_are_heard() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let one = client.ask(ONE);
    let mut first = proxy.attempt();
    let two = client.ask(TWO);
    let mut second = proxy.attempt();
    client.ask(TWO + 1);
    let mut third = proxy.attempt();
    // The first number once more: what is open under it is given up, and this call is not sent on.
    client.send(&test_proxy::call(one, TWO + 2));
    first.is_given_up();
    assert!(client.answer().contains("two requests under one number"));
    client.forget(two);
    second.is_given_up();
    // A call behind it is not taken either.
    client.ask(TWO + 3);
    drop(client);
    third.is_given_up();
    assert_eq!(
        proxy.waiting_attempts(),
        0,
        "a call was sent on after the end was decided"
    );
}

#[test]
fn after_a_number_that_does_not_count_up_what_is_owed_is_answered_and_the_connection_ends() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let one = client.ask(ONE);
    let mut first = proxy.attempt();
    client.ask(TWO);
    let mut second = proxy.attempt();
    client.send(&test_proxy::call(one, TWO + 2));
    first.is_given_up();
    assert!(client.answer().contains("two requests under one number"));
    second.give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    client.ends();
    assert_eq!(proxy.waiting_attempts(), 0);
}

#[test]
fn calls_sent_at_once_by_a_client_that_goes_are_all_given_up() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    for n in 0..32 {
        client.ask(ONE + n);
    }
    let mut attempts: Vec<_> = (0..32).map(|_| proxy.attempt()).collect();
    drop(client);
    attempts
        .iter_mut()
        .for_each(|attempt| attempt.is_given_up());
    assert_eq!(proxy.waiting_attempts(), 0);
}
