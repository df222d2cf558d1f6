//! SIGTERM between two lines: before ready, with a connection in the accept queue, a request half read, read, waiting or
//! half answered; and what clients see of the end of their connections.

use std::io::{Read, Write};
use std::net::TcpStream;
use std::time::Instant;
use test_proxy::{Client, TestProxy, PATIENCE};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;
/// Of the largest objects.
const LARGE: usize = 240_000;

#[test]
fn before_it_is_ready_it_ends_in_order() {
    let mut proxy = TestProxy::start_with(|config| {
        let known = config.split_once("\"known\":").unwrap().1;
        let known = known.split_once("\"settings\"").unwrap().0;
        config.replace(&format!("\"known\":{known}"), "")
    });
    let mut client = proxy.client();
    assert!(!client.is_well(), "no list is in");
    proxy.leave();
    client.ends();
    drop(client);
    proxy.ends_well();
}

#[test]
fn a_connection_in_the_accept_queue_is_taken_and_served() {
    let mut proxy = TestProxy::start();
    proxy.stop();
    let mut queued = proxy.client();
    queued.ask(ONE);
    proxy.signal("-TERM");
    proxy.go_on();
    proxy.attempt().give(b"ok");
    assert!(queued.answer().contains("\\xc4\\x02ok"));
    queued.ends();
    drop(queued);
    proxy.ends_well();
}

#[test]
fn a_request_half_read_when_the_serving_time_ends_is_served() {
    let mut proxy = TestProxy::start();
    let (mut client, mut silent) = (proxy.client(), proxy.client());
    let whole = test_proxy::call(1, ONE);
    let (first, rest) = whole.split_at(whole.len() / 2);
    client.send(first);
    proxy.leave();
    // One that never asked is ended once the serving time is over.
    silent.ends();
    client.send(rest);
    proxy.attempt().give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    client.ends();
    drop((client, silent));
    proxy.ends_well();
}

#[test]
fn a_request_that_has_arrived_on_a_resting_connection_is_served() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.rested(ONE);
    proxy.stop();
    client.ask(TWO);
    proxy.signal("-TERM");
    proxy.go_on();
    proxy.program.line("draining: ");
    proxy.attempt().give(b"new");
    assert!(client.answer().contains("\\xc4\\x03new"));
    client.ends();
    drop(client);
    proxy.ends_well();
}

#[test]
fn a_request_that_crosses_the_end_is_not_sent_on_and_the_end_is_no_reset() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.rested(ONE);
    proxy.leave();
    client.ends();
    // It was on its way when the connection ended, and more comes after.
    client.ask(TWO);
    client.ask(TWO + 1);
    client.ends();
    client.send(&vec![0; 100_000]);
    client.ends();
    drop(client);
    proxy.ends_well();
    assert_eq!(proxy.waiting_attempts(), 0, "it was sent on");
}

#[test]
fn a_call_behind_a_closing_answer_takes_no_byte_of_it_away() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.client();
    client.ask(ONE);
    let mut attempt = proxy.attempt();
    // No call after this one can be read: the connection ends with the answer.
    client.send(b"\xc1");
    client.ask(TWO);
    client.send(&vec![0; 100_000]);
    let large = vec![7; LARGE];
    attempt.give(&large);
    let mut answer = Vec::new();
    client
        .stream
        .read_to_end(&mut answer)
        .expect("the answer and an end, no reset");
    assert!(answer.len() > LARGE, "{} bytes", answer.len());
    assert_eq!(proxy.waiting_attempts(), 0);
    drop(client);
    proxy.leave();
    proxy.ends_well();
}

#[test]
fn a_large_answer_that_is_read_only_once_the_process_has_ended_arrives_whole() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.client();
    client.ask(ONE);
    let mut attempt = proxy.attempt();
    proxy.leave();
    attempt.give(&vec![7; LARGE]);
    client.stream.read_exact(&mut [0; 1]).unwrap();
    proxy.ends_well();
    let mut rest = Vec::new();
    client
        .stream
        .read_to_end(&mut rest)
        .expect("an end without a reset");
    assert!(rest.len() >= LARGE, "{} bytes", rest.len());
}

#[test]
fn a_client_that_never_closes_does_not_keep_the_process() {
    let mut proxy = TestProxy::start();
    let (mut rests, mut silent) = (proxy.rested(ONE), proxy.client());
    proxy.leave();
    rests.ends();
    silent.ends();
    proxy.ends_well();
    drop((rests, silent));
}

#[test]
fn sighup_and_a_second_sigterm_while_it_leaves_change_nothing() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.client();
    client.ask(ONE);
    let mut attempt = proxy.attempt();
    proxy.leave();
    for signal in ["-TERM", "-HUP", "-INT", "-TERM"] {
        proxy.signal(signal);
    }
    // New connections are taken still, and answered.
    assert!(!proxy.client().is_well(), "it leaves");
    attempt.give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    client.ends();
    drop(client);
    proxy.ends_well();
}

#[test]
fn the_end_comes_before_sigkill_by_the_deadlines_of_the_last_reload() {
    let mut proxy = TestProxy::start();
    let mut client = proxy.client();
    client.ask(ONE);
    let mut first = proxy.attempt();
    let shorter = proxy
        .config
        .replace("\"hardLimit\":300000000", "\"hardLimit\":400000");
    let shorter = shorter.replace("\"slo\":20000000", "\"slo\":300000");
    assert!(proxy.program.reload(&shorter).contains("classes"));
    // SIGKILL comes 400 ms and 700 ms after SIGTERM, and 250 ms are kept back from that.
    let said = proxy.leave();
    assert!(said.ends_with(" within 850 ms"), "{said}");
    first.give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    client.ends();
    drop(client);
    proxy.ends_well();
}

#[test]
fn a_connection_without_a_place_is_ended_without_a_reset() {
    // 64 descriptors: 21 places for clients.
    let proxy =
        TestProxy::start_with(|config| config.replace("\"sockets\":1024", "\"sockets\":64"));
    let (mut busy, mut attempts) = (Vec::new(), Vec::new());
    for n in 0..21 {
        let mut client = proxy.client();
        client.ask(ONE + n);
        attempts.push(proxy.attempt());
        busy.push(client);
    }
    proxy.stop();
    let mut beyond = TcpStream::connect(proxy.serves).unwrap();
    beyond.write_all(&test_proxy::call(1, TWO)).unwrap();
    proxy.go_on();
    Client::over(beyond).ends();
    assert_eq!(proxy.waiting_attempts(), 0);
    // Once one has gone there is a place again; whoever comes before that is ended as well.
    drop(busy.pop());
    attempts.pop().unwrap().is_given_up();
    let end = Instant::now() + PATIENCE;
    while !proxy.client().finds_a_place() {
        assert!(Instant::now() < end, "no place came back");
    }
}
