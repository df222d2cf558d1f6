//! Clients that send much at once and go, byte by byte, by halves, or read nothing: each costs itself alone, and what it
//! held is given back.

use std::io::Read;
use std::time::{Duration, Instant};
use test_proxy::{binary, call_of, TestProxy, PATIENCE, WAIT_MS};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;
/// Open requests that one connection carries.
const OPEN: u64 = 32;
/// Of the largest objects, and of the largest bodies.
const LARGE: usize = 240_000;
const BODY: u16 = 48_000;
/// What clients wait for the short ones (ms): time for all attempts to arrive and be answered.
const SHORT_MS: u32 = 5_000;

fn served(proxy: &TestProxy, object: u64) {
    let mut client = proxy.client();
    client.ask(object);
    proxy.attempt().give(b"ok");
    let answer = client.answer();
    assert!(answer.contains("\\xc4\\x02ok"), "{answer}");
}

#[test]
fn calls_beyond_the_open_ones_are_refused_and_all_end_with_their_client() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    let calls: Vec<u8> = (0..OPEN + 8)
        .flat_map(|n| test_proxy::call(n as u32 + 1, ONE + n))
        .collect();
    client.send(&calls);
    let mut attempts: Vec<_> = (0..OPEN).map(|_| proxy.attempt()).collect();
    for _ in 0..8 {
        let answer = client.answer();
        assert!(answer.contains("Shed"), "{answer}");
    }
    drop(client);
    attempts
        .iter_mut()
        .for_each(|attempt| attempt.is_given_up());
    served(&proxy, TWO);
    assert_eq!(proxy.waiting_attempts(), 0);
}

#[test]
fn a_call_that_comes_byte_by_byte_is_served() {
    let proxy = TestProxy::start();
    let mut client = proxy.client();
    client.stream.get_ref().set_nodelay(true).unwrap();
    test_proxy::call(1, ONE)
        .iter()
        .for_each(|byte| client.send(&[*byte]));
    proxy.attempt().give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
}

#[test]
fn large_bodies_half_sent_and_gone_leave_their_buffers() {
    // 16 MB: 44 buffers, of which bodies may have 11.
    let proxy =
        TestProxy::start_with(|config| config.replace("\"memory_mb\":192", "\"memory_mb\":16"));
    let key = [("k", "5c0f6e1a2b3d4c59a8b7c6d5e4f30211")];
    let call = |object| call_of("record", 1, object, WAIT_MS, &key, &binary(BODY));
    for n in 0..4 {
        let mut halves: Vec<_> = (0..11).map(|_| proxy.client()).collect();
        for (m, client) in halves.iter_mut().enumerate() {
            client.send(&call(ONE + 16 * n + m as u64));
            client.send(&[1; BODY as usize / 2]);
        }
        // Half of them just go, the others end with bytes unread.
        halves.drain(..6).for_each(drop);
        halves
            .iter_mut()
            .for_each(|client| client.send(&[1; 1_000]));
    }
    // Their readers have heard of their ends once all buffers are back; until then a body is refused.
    until("a buffer comes back", || {
        let mut client = proxy.client();
        client.send(&[&call(TWO)[..], &vec![1; BODY as usize]].concat());
        loop {
            if let Some(mut attempt) = proxy.attempt_now() {
                assert_eq!(attempt.field("Content-Length"), BODY.to_string());
                attempt
                    .stream
                    .read_exact(&mut vec![0; BODY as usize])
                    .unwrap();
                attempt.give(b"ok");
                assert!(client.answer().contains("\\xc4\\x02ok"));
                return true;
            }
            if client.has_answer() {
                assert!(client.answer().contains("no buffer for the body"));
                return false;
            }
            std::thread::yield_now();
        }
    });
}

fn until(what: &str, mut is: impl FnMut() -> bool) {
    let end = Instant::now() + PATIENCE;
    while !is() {
        assert!(Instant::now() < end, "never: {what}");
        std::thread::sleep(Duration::from_millis(5));
    }
}

#[test]
fn a_client_that_reads_nothing_holds_no_answer_beyond_its_own_time_and_delays_no_other() {
    let proxy = TestProxy::start();
    let mut deaf = proxy.client();
    // Answers that wait long, more than the sockets' buffers hold, and behind them some that wait for seconds.
    let long = OPEN - 8;
    for n in 0..OPEN {
        let wait = if n < long { WAIT_MS } else { SHORT_MS };
        deaf.send(&call_of("sheet", n as u32 + 1, ONE + n, wait, &[], &[0xc0]));
    }
    let mut attempts: Vec<_> = (0..OPEN).map(|_| proxy.attempt()).collect();
    attempts.sort_by_key(|attempt| attempt.field("Via-Wait").parse::<u32>().unwrap() < SHORT_MS);
    // Each connection to the cache closes behind its answer: none is used again.
    attempts
        .into_iter()
        .for_each(|mut attempt| attempt.give(&vec![7; LARGE]));
    served(&proxy, TWO);
    for n in long..OPEN {
        until("a short one ends", || proxy.is_over(ONE + n));
    }
    assert!(
        (0..long).any(|n| !proxy.is_over(ONE + n)),
        "the sockets' buffers took all: nothing was forced"
    );
    drop(deaf);
    for n in 0..long {
        until("all end with their client", || proxy.is_over(ONE + n));
    }
}
