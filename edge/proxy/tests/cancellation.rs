//! A client's `forget` beside the answer that it takes back: before it, behind it, and in the same moment. There is one answer
//! at the most, and the connection carries on.

use test_proxy::{Client, TestProxy};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;

/// The next request on the connection is served, with no other answer before it, and the connection ends in order.
fn carries_on(mut proxy: TestProxy, mut client: Client, message: String) {
    assert!(message.contains("\\xc4\\x03new"), "{message}");
    proxy.leave();
    // Were more or less counted as open on it than is, it would end too soon or not at all.
    client.ends();
    drop(client);
    proxy.ends_well();
    assert_eq!(proxy.waiting_attempts(), 0);
}

#[test]
fn before_the_answer_it_ends_the_attempt_and_nothing_is_answered() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let one = client.ask(ONE);
    let mut attempt = proxy.attempt();
    client.forget(one);
    attempt.is_given_up();
    client.ask(TWO);
    proxy.attempt().give(b"new");
    let message = client.answer();
    carries_on(proxy, client, message);
}

#[test]
fn behind_the_answer_it_changes_nothing() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let one = client.ask(ONE);
    proxy.attempt().give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    (0..3).for_each(|_| client.forget(one));
    client.ask(TWO);
    proxy.attempt().give(b"new");
    let message = client.answer();
    carries_on(proxy, client, message);
}

#[test]
fn in_the_moment_of_the_answer_there_is_one_answer_at_the_most() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let one = client.ask(ONE);
    let mut attempt = proxy.attempt();
    // The program finds both at once.
    proxy.stop();
    attempt.give(b"ok");
    client.forget(one);
    client.ask(TWO);
    proxy.go_on();
    drop(attempt);
    proxy.attempt().give(b"new");
    let first = client.answer();
    let message = if first.contains("\\xc4\\x02ok") {
        client.answer()
    } else {
        first
    };
    carries_on(proxy, client, message);
}
