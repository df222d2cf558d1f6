//! System calls on a client's connection that fail while the connection lives: no request that was taken loses its answer.
//! Incident 234f1f: such a failure was taken for the end of the connection.

use faults::{start_under, start_with};
use steps::{Attempt, Client, Rig};

mod common;
#[path = "common/faults.rs"]
mod faults;
#[path = "common/steps.rs"]
mod steps;

const ONE: u64 = 0x1111_0000_0000_0001;
const TWO: u64 = 0x2222_0000_0000_0002;

/// Errors after which a connection may well be up.
const PASSING: [&str; 8] =
    ["EINTR", "EAGAIN", "ENOMEM", "ENOBUFS", "ETIMEDOUT", "EHOSTUNREACH", "ENETUNREACH", "EPROTO"];

/// The cache's side of the request that the client has just made. An answer or an end that comes before it fails the test.
fn attempt_of(rig: &Rig, client: &mut Client) -> Attempt {
    loop {
        if let Some(attempt) = rig.attempt_now() {
            return attempt;
        }
        assert!(!client.has_answer(), "the client's connection says something before the cache was asked");
        std::thread::yield_now();
    }
}

/// Two requests on one connection, answered in turn: both answers come, and the connection serves on.
fn answers_two(rig: &Rig, client: &mut Client, from: u64) {
    client.ask(from);
    let mut first = attempt_of(rig, client);
    client.ask(from + 1);
    let mut second = attempt_of(rig, client);
    for attempt in [&mut first, &mut second] {
        attempt.give(b"ok");
        assert!(client.answer().contains("\\xc4\\x02ok"));
    }
}

#[test]
fn a_read_that_fails_under_open_requests_ends_no_connection() {
    for error in PASSING {
        let rig = start_under(&format!("recv role=client error={error} every=3"));
        let mut client = rig.client();
        (0..4).for_each(|n| answers_two(&rig, &mut client, ONE + 2 * n));
    }
}

#[test]
fn an_answer_whose_write_fails_is_written_again_and_the_others_follow() {
    for error in PASSING {
        let rig = start_under(&format!("send role=client error={error} every=2"));
        let mut client = rig.client();
        (0..4).for_each(|n| answers_two(&rig, &mut client, ONE + 2 * n));
    }
}

#[test]
fn requests_and_answers_in_single_bytes_are_whole() {
    let rig = start_under("recv role=client effect=short\nsend role=client effect=short");
    let mut client = rig.client();
    answers_two(&rig, &mut client, ONE);
}

#[test]
fn a_look_that_fails_does_not_end_a_connection_over_a_request() {
    // 64 descriptors: 21 places for clients, of which one is kept free ahead.
    let rig = start_with("recv role=client error=EINTR every=2", |config| {
        config.replace("\"sockets\":1024", "\"sockets\":64")
    });
    let mut resting: Vec<Client> = (0..20).map(|n| rig.rested(ONE + n)).collect();
    rig.stop();
    // All that rest have asked: none may make way.
    resting.iter_mut().zip(0..).for_each(|(client, n)| {
        client.ask(TWO + n);
    });
    let _newcomers: Vec<Client> = (0..4).map(|_| rig.client()).collect();
    rig.go_on();
    let mut attempts: Vec<_> = resting.iter().map(|_| rig.attempt()).collect();
    attempts.iter_mut().for_each(|attempt| attempt.give(b"ok"));
    for client in &mut resting {
        assert!(client.answer().contains("\\xc4\\x02ok"));
    }
}

#[test]
fn connections_whose_accept_fails_first_are_taken_after_all() {
    for error in ["ECONNABORTED", "EINTR", "EPROTO", "ENFILE", "EMFILE", "ENOBUFS", "ENOMEM", "EAGAIN"] {
        let rig = start_under(&format!("accept error={error} every=2"));
        let mut client = rig.client();
        answers_two(&rig, &mut client, ONE);
    }
}
