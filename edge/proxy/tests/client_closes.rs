//! When a client closes its connection, its requests are cancelled and no further attempt starts, also while the proxy drains
//! and while it reads no more requests from that client.

use test_proxy::TestProxy;

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const OBJECT_A: u64 = 0x1111_0000_0000_0001;
const OBJECT_B: u64 = 0x2222_0000_0000_0002;

#[test]
fn a_close_during_the_drain_cancels_the_requests() {
    let mut proxy = TestProxy::start();
    let (mut closes, mut stays) = (proxy.client(), proxy.client());
    closes.send_request(OBJECT_A);
    let mut first = proxy.next_attempt();
    stays.send_request(OBJECT_B);
    let mut second = proxy.next_attempt();
    proxy.start_drain();
    drop(closes);
    first.assert_cancelled();
    // The proxy has not exited meanwhile: the other client's request is served.
    second.respond(b"ok");
    assert!(stays.read_response().contains("\\xc4\\x02ok"));
    stays.assert_closed();
    drop(stays);
    proxy.assert_clean_exit();
    assert_eq!(
        proxy.pending_attempts(),
        0,
        "a further attempt after the client had closed"
    );
}

#[test]
fn a_close_after_an_invalid_message_cancels_the_requests() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    client.send_request(OBJECT_A);
    let mut attempt = proxy.next_attempt();
    client.send(b"\xc1");
    // The proxy discards all that follows.
    (0..64).for_each(|_| client.send(&[0xc1; 1024]));
    drop(client);
    attempt.assert_cancelled();
    assert_eq!(proxy.pending_attempts(), 0);
}

#[test]
fn a_close_after_an_incomplete_message_timed_out_cancels_the_requests() {
    let proxy = TestProxy::start();
    let (mut client, mut late) = (proxy.client(), proxy.client());
    client.send_request(OBJECT_A);
    let mut attempt = proxy.next_attempt();
    client.send(b"\x94\x00");
    // The second client's message began no earlier; once it has timed out, so has the first.
    late.send(b"\x94\x00");
    late.assert_closed();
    drop(client);
    attempt.assert_cancelled();
    assert_eq!(proxy.pending_attempts(), 0);
}

#[test]
fn forget_and_close_after_a_repeated_number_cancel_the_requests() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let first_number = client.send_request(OBJECT_A);
    let mut first = proxy.next_attempt();
    let second_number = client.send_request(OBJECT_B);
    let mut second = proxy.next_attempt();
    client.send_request(OBJECT_B + 1);
    let mut third = proxy.next_attempt();
    // The first number again: its open request is cancelled, and the new one is not forwarded.
    client.send(&test_proxy::encode_request(first_number, OBJECT_B + 2));
    first.assert_cancelled();
    assert!(client
        .read_response()
        .contains("two requests under one number"));
    client.send_forget(second_number);
    second.assert_cancelled();
    // A request after it is not forwarded either.
    client.send_request(OBJECT_B + 3);
    drop(client);
    third.assert_cancelled();
    assert_eq!(
        proxy.pending_attempts(),
        0,
        "a request was forwarded on a connection that was about to close"
    );
}

#[test]
fn after_a_repeated_number_open_requests_are_served_and_the_connection_ends() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let first_number = client.send_request(OBJECT_A);
    let mut first = proxy.next_attempt();
    client.send_request(OBJECT_B);
    let mut second = proxy.next_attempt();
    client.send(&test_proxy::encode_request(first_number, OBJECT_B + 2));
    first.assert_cancelled();
    assert!(client
        .read_response()
        .contains("two requests under one number"));
    second.respond(b"ok");
    assert!(client.read_response().contains("\\xc4\\x02ok"));
    client.assert_closed();
    assert_eq!(proxy.pending_attempts(), 0);
}

#[test]
fn all_requests_of_a_client_that_closes_are_cancelled() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    for n in 0..32 {
        client.send_request(OBJECT_A + n);
    }
    let mut attempts: Vec<_> = (0..32).map(|_| proxy.next_attempt()).collect();
    drop(client);
    attempts
        .iter_mut()
        .for_each(|attempt| attempt.assert_cancelled());
    assert_eq!(proxy.pending_attempts(), 0);
}
