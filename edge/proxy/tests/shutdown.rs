//! SIGTERM before the proxy is ready, with a connection in the accept queue, and with a request that is partly read, waiting
//! or partly answered; and how clients see their connections end.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;
use test_proxy::{Client, TestProxy, TEST_TIMEOUT};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const OBJECT_A: u64 = 0x1111_0000_0000_0001;
const OBJECT_B: u64 = 0x2222_0000_0000_0002;
/// The size of the largest objects.
const LARGE_OBJECT_BYTES: usize = 240_000;

#[test]
fn before_it_is_ready_the_proxy_exits_cleanly() {
    let mut proxy = TestProxy::start_with_config(|config| {
        let known = config.split_once("\"known\":").unwrap().1;
        let known = known.split_once("\"settings\"").unwrap().0;
        config.replace(&format!("\"known\":{known}"), "")
    });
    let mut client = proxy.client();
    assert!(!client.is_well(), "no list is known");
    proxy.start_drain();
    client.assert_closed();
    drop(client);
    proxy.assert_clean_exit();
}

#[test]
fn a_connection_in_the_accept_queue_is_accepted_and_served() {
    let mut proxy = TestProxy::start();
    proxy.pause();
    let mut queued = proxy.client();
    queued.send_request(OBJECT_A);
    proxy.signal("-TERM");
    proxy.resume();
    proxy.next_attempt().respond(b"ok");
    assert!(queued.read_response().contains("\\xc4\\x02ok"));
    queued.assert_closed();
    drop(queued);
    proxy.assert_clean_exit();
}

#[test]
fn a_request_partly_read_when_the_drain_ends_is_served() {
    let mut proxy = TestProxy::start();
    let (mut client, mut silent) = (proxy.client(), proxy.client());
    let request = test_proxy::encode_request(1, OBJECT_A);
    let (first, rest) = request.split_at(request.len() / 2);
    client.send(first);
    proxy.start_drain();
    // A connection without a request is closed once the drain's time to accept requests is over.
    silent.assert_closed();
    client.send(rest);
    proxy.next_attempt().respond(b"ok");
    assert!(client.read_response().contains("\\xc4\\x02ok"));
    client.assert_closed();
    drop((client, silent));
    proxy.assert_clean_exit();
}

#[test]
fn a_request_that_has_arrived_on_an_idle_connection_is_served() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.idle_client(OBJECT_A);
    proxy.pause();
    client.send_request(OBJECT_B);
    proxy.signal("-TERM");
    proxy.resume();
    proxy.process.wait_for_log("draining: ");
    proxy.next_attempt().respond(b"new");
    assert!(client.read_response().contains("\\xc4\\x03new"));
    client.assert_closed();
    drop(client);
    proxy.assert_clean_exit();
}

#[test]
fn a_request_that_crosses_the_close_is_not_forwarded_and_causes_no_reset() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.idle_client(OBJECT_A);
    proxy.start_drain();
    client.assert_closed();
    // Requests and other bytes that arrive after the close.
    client.send_request(OBJECT_B);
    client.send_request(OBJECT_B + 1);
    client.assert_closed();
    client.send(&vec![0; 100_000]);
    client.assert_closed();
    drop(client);
    proxy.assert_clean_exit();
    assert_eq!(proxy.pending_attempts(), 0, "the request was forwarded");
}

#[test]
fn a_request_after_the_last_response_truncates_nothing_of_it() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.client();
    client.send_request(OBJECT_A);
    let mut attempt = proxy.next_attempt();
    // No message after this invalid byte can be read: the connection ends after the response.
    client.send(b"\xc1");
    client.send_request(OBJECT_B);
    client.send(&vec![0; 100_000]);
    let large = vec![7; LARGE_OBJECT_BYTES];
    attempt.respond(&large);
    let mut response = Vec::new();
    client
        .stream
        .read_to_end(&mut response)
        .expect("the response and a close without a reset");
    assert!(
        response.len() > LARGE_OBJECT_BYTES,
        "{} bytes",
        response.len()
    );
    assert_eq!(proxy.pending_attempts(), 0);
    drop(client);
    proxy.start_drain();
    proxy.assert_clean_exit();
}

#[test]
fn a_large_response_read_after_the_process_has_exited_is_complete() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.client();
    client.send_request(OBJECT_A);
    let mut attempt = proxy.next_attempt();
    proxy.start_drain();
    attempt.respond(&vec![7; LARGE_OBJECT_BYTES]);
    client.stream.read_exact(&mut [0; 1]).unwrap();
    proxy.assert_clean_exit();
    let mut rest = Vec::new();
    client
        .stream
        .read_to_end(&mut rest)
        .expect("an end without a reset");
    assert!(rest.len() >= LARGE_OBJECT_BYTES, "{} bytes", rest.len());
}

#[test]
fn a_client_that_never_closes_does_not_delay_the_exit() {
    let mut proxy = TestProxy::start();
    let (mut idle, mut silent) = (proxy.idle_client(OBJECT_A), proxy.client());
    proxy.start_drain();
    idle.assert_closed();
    silent.assert_closed();
    proxy.assert_clean_exit();
    drop((idle, silent));
}

#[test]
fn sighup_and_a_second_sigterm_during_the_drain_change_nothing() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.client();
    client.send_request(OBJECT_A);
    let mut attempt = proxy.next_attempt();
    proxy.start_drain();
    for signal in ["-TERM", "-HUP", "-INT", "-TERM"] {
        proxy.signal(signal);
    }
    // New connections are still accepted and served.
    assert!(!proxy.client().is_well(), "it drains");
    attempt.respond(b"ok");
    assert!(client.read_response().contains("\\xc4\\x02ok"));
    client.assert_closed();
    drop(client);
    proxy.assert_clean_exit();
}

#[test]
fn the_drain_ends_before_sigkill_by_the_deadlines_of_the_last_reload() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.client();
    client.send_request(OBJECT_A);
    let mut first = proxy.next_attempt();
    let shorter_deadlines = proxy
        .config
        .replace("\"hardLimit\":300000000", "\"hardLimit\":400000");
    let shorter_deadlines = shorter_deadlines.replace("\"slo\":20000000", "\"slo\":300000");
    assert!(proxy.process.reload(&shorter_deadlines).contains("classes"));
    // SIGKILL comes 400 ms and 700 ms after SIGTERM; the drain ends 250 ms before that.
    let log_line = proxy.start_drain();
    assert!(log_line.ends_with(" within 850 ms"), "{log_line}");
    first.respond(b"ok");
    assert!(client.read_response().contains("\\xc4\\x02ok"));
    client.assert_closed();
    drop(client);
    proxy.assert_clean_exit();
}

#[test]
fn a_connection_without_a_client_slot_is_closed_without_a_reset() {
    // 64 descriptors give 21 client slots.
    let proxy =
        TestProxy::start_with_config(|config| config.replace("\"sockets\":1024", "\"sockets\":64"));
    let (mut busy, mut attempts) = (Vec::new(), Vec::new());
    for n in 0..21 {
        let mut client = proxy.client();
        client.send_request(OBJECT_A + n);
        attempts.push(proxy.next_attempt());
        busy.push(client);
    }
    proxy.pause();
    let mut rejected = TcpStream::connect(proxy.address).unwrap();
    rejected
        .write_all(&test_proxy::encode_request(1, OBJECT_B))
        .unwrap();
    proxy.resume();
    Client::new(rejected).assert_closed();
    assert_eq!(proxy.pending_attempts(), 0);
    // Once a client has left, a slot is free again; connections before that are closed as well.
    drop(busy.pop());
    attempts.pop().unwrap().assert_cancelled();
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !proxy.client().is_admitted() {
        assert!(Instant::now() < deadline, "no client slot was released");
    }
}
