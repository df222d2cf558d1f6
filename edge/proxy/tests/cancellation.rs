//! A client cancels a request with `forget` before its response, after it, and at the same moment: there is at most one
//! response, and the connection stays usable.

use test_proxy::{Client, TestProxy};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const OBJECT_A: u64 = 0x1111_0000_0000_0001;
const OBJECT_B: u64 = 0x2222_0000_0000_0002;

/// Asserts that `message` is the response to the next request, and that the connection and the process end cleanly.
fn assert_connection_serves_on(mut proxy: TestProxy, mut client: Client, message: String) {
    assert!(message.contains("\\xc4\\x03new"), "{message}");
    proxy.start_drain();
    // With a wrong count of open requests the connection would end too soon or not at all.
    client.assert_closed();
    drop(client);
    proxy.assert_clean_exit();
    assert_eq!(proxy.pending_attempts(), 0);
}

#[test]
fn forget_before_the_response_cancels_the_attempt_and_gets_no_response() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let number = client.send_request(OBJECT_A);
    let mut attempt = proxy.next_attempt();
    client.send_forget(number);
    attempt.assert_cancelled();
    client.send_request(OBJECT_B);
    proxy.next_attempt().respond(b"new");
    let message = client.read_response();
    assert_connection_serves_on(proxy, client, message);
}

#[test]
fn forget_after_the_response_changes_nothing() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let number = client.send_request(OBJECT_A);
    proxy.next_attempt().respond(b"ok");
    assert!(client.read_response().contains("\\xc4\\x02ok"));
    (0..3).for_each(|_| client.send_forget(number));
    client.send_request(OBJECT_B);
    proxy.next_attempt().respond(b"new");
    let message = client.read_response();
    assert_connection_serves_on(proxy, client, message);
}

#[test]
fn forget_at_the_moment_of_the_response_gets_at_most_one_response() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let number = client.send_request(OBJECT_A);
    let mut attempt = proxy.next_attempt();
    // The proxy finds the response and the cancellation at once when it resumes.
    proxy.pause();
    attempt.respond(b"ok");
    client.send_forget(number);
    client.send_request(OBJECT_B);
    proxy.resume();
    drop(attempt);
    proxy.next_attempt().respond(b"new");
    let first = client.read_response();
    let message = if first.contains("\\xc4\\x02ok") {
        client.read_response()
    } else {
        first
    };
    assert_connection_serves_on(proxy, client, message);
}
