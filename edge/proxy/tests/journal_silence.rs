//! The journal service falls silent, or writes a byte now and then: one bounded wait, then another connection.

use fake_cache::Cache;
use fake_journal::*;
use std::io::Write;
use std::net::{Shutdown, SocketAddr};
use std::time::Duration;
use test_client::Client;

mod common;
#[path = "common/fake_cache.rs"]
mod fake_cache;
#[path = "common/fake_journal.rs"]
mod fake_journal;
#[path = "common/test_client.rs"]
mod test_client;

/// Between two bytes of an answer that never ends.
const DRIP: Duration = Duration::from_millis(100);

fn known() -> String {
    let nowhere = SocketAddr::from(([127, 0, 0, 1], 9));
    feed(1, &[hosts(1, true, &[Line::pop_cache(1, nowhere)])])
}

fn program(service: &FakeJournal) -> common::Program {
    common::start(&config(service.address(), common::SETTINGS, &known())).0
}

/// The program gives the silent call up, closes its connection and asks the same on another.
fn is_asked_again(service: &FakeJournal, silent: Call) -> Call {
    let tail = silent.tail;
    let again = service.call();
    assert_eq!(again.tail, tail);
    silent.closed();
    again
}

#[test]
fn a_watch_that_is_silent_from_any_byte_of_its_answer_on_is_given_up_for_another() {
    let service = FakeJournal::start();
    let _program = program(&service);
    let whole = answer(&feed(2, &[hosts(2, true, &[])]));
    let body = whole.find("\r\n\r\n").unwrap() + 4;
    let mut call = service.call();
    // Before the header, in its first line, before its end; before the body, within it, before its last byte.
    for length in [0, 12, body - 1, body, body + 20, whole.len() - 1] {
        assert_eq!(call.tail, 1);
        call.write(&whole[..length]);
        call = is_asked_again(&service, call);
    }
    assert_eq!(call.answer(2, &[purge(2, 1)]).tail, 2);
}

/// Writes the head of an answer, and then bytes of the text over and over, until the program closes the connection.
fn drip(call: &mut Call, head: &str, text: &'static str) {
    call.write(head);
    let mut socket = call.socket();
    std::thread::spawn(move || {
        let mut bytes = text.bytes().cycle();
        while socket.write_all(&[bytes.next().unwrap()]).is_ok() {
            std::thread::sleep(DRIP);
        }
    });
}

#[test]
fn an_answer_that_drips_for_ever_does_not_hold_the_watch() {
    // Within the header, within the body, chunk by chunk, and interim answers that no final one follows.
    let drips = [
        ("HTTP/1.1 200 OK\r\nX: ", "x"),
        ("HTTP/1.1 200 OK\r\nContent-Length: 9999\r\n\r\n", " "),
        (
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            "1\r\n \r\n",
        ),
        ("", "HTTP/1.1 103 Early Hints\r\n\r\n"),
    ];
    std::thread::scope(|scope| {
        for (head, text) in drips {
            scope.spawn(move || {
                let service = FakeJournal::start();
                let _program = program(&service);
                let mut call = service.call();
                drip(&mut call, head, text);
                let again = is_asked_again(&service, call);
                assert_eq!(again.answer(2, &[purge(2, 1)]).tail, 2);
            });
        }
    });
}

#[test]
fn a_watch_that_falls_silent_after_many_answers_is_given_up_for_another() {
    let service = FakeJournal::start();
    let _program = program(&service);
    let mut call = service.call();
    for pos in 2..=14 {
        call = call.answer(pos, &[purge(pos, 1)]);
        assert_eq!(call.tail, pos);
    }
    let again = is_asked_again(&service, call);
    assert_eq!(again.answer(15, &[purge(15, 1)]).tail, 15);
}

#[test]
fn watches_that_all_fall_silent_at_once_are_all_given_up_for_others() {
    let service = FakeJournal::start();
    let _programs: Vec<_> = (0..4).map(|_| program(&service)).collect();
    let silent: Vec<Call> = (0..4).map(|_| service.call()).collect();
    for _ in 0..4 {
        let call = service.call();
        assert_eq!(call.answer(2, &[purge(2, 1)]).tail, 2);
    }
    silent.into_iter().for_each(Call::closed);
}

/// Drains that are told while the service is silent count from the next connection's first answer on.
#[test]
fn a_drain_told_in_the_silence_is_known_before_the_next_request() {
    let service = FakeJournal::start();
    let (drains, stays) = (Cache::start(), Cache::start());
    let first = Line::pop_cache(1, drains.address());
    let lines = [
        first,
        Line::pop_cache(2, stays.address()),
        Line::hub(3, "origin", stays.address()),
    ];
    let settings = common::SETTINGS.to_string();
    let known = feed(1, &[hosts(1, true, &lines)]);
    let (_program, address) = common::start(&config(service.address(), &settings, &known));
    let silent = service.call();
    let again = is_asked_again(&service, silent);
    let call = again.answer(2, &[hosts(2, false, &[first.now("draining")])]);
    assert_eq!(call.tail, 2);
    stays.serve("whole");
    let mut client = Client::connect(address);
    for object in 1..=30 {
        assert!(client.is_served(object, "whole"), "object {object}");
    }
    assert!(!drains.is_dialled());
}

/// A close behind a whole answer costs nothing of it.
#[test]
fn a_service_that_ends_its_connections_is_asked_again_at_once() {
    let service = FakeJournal::start();
    let _program = program(&service);
    let mut call = service.call();
    for pos in 2..=5 {
        call.write(&answer(&feed(pos, &[purge(pos, 1)])));
        // Closed behind a whole answer, before the next call or as it comes.
        call.socket().shutdown(Shutdown::Both).unwrap();
        call = service.call();
        assert_eq!(call.tail, pos);
    }
}

/// Calls that a program may make while another waits for one answer that never comes: with the shortest pause (10 ms) after
/// each, for the longest such wait (1.7 s and one pause).
const MOST_CALLS: usize = 185;

#[test]
fn a_service_that_does_not_hold_its_calls_is_asked_with_pauses() {
    let (silent, hasty) = (FakeJournal::start(), FakeJournal::start());
    let _waits = program(&silent);
    let held = silent.call();
    let _asks = program(&hasty);
    let again = std::thread::spawn(move || is_asked_again(&silent, held));
    let (mut call, mut calls) = (hasty.call(), 0);
    while !again.is_finished() && calls <= MOST_CALLS {
        call = call.answer(1, &[]);
        calls += 1;
    }
    assert!(calls <= MOST_CALLS, "asked in a loop");
    // The first event that follows is taken from the same connection.
    assert_eq!(call.answer(2, &[purge(2, 1)]).tail, 2);
    again.join().unwrap();
}
