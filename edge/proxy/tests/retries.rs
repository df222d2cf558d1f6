//! The whole program, where the end of a write that runs once is unclear: one attempt, one answer.

mod common;

use common::{config, connected, message, request, start, unescape};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};

const WRITE: &str = r"\x94\x00\x01\xa6record\x92\x87\xa5batch\xa217\xa1m\xa3500\xa1i\xb09b1f03aa5c7e2d44\xa1d\xa520000\xa1o\xb07f3a9c21e0b4d656\xa3nth\xa10\xa1k\xd9 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\xc4\x03ink";

#[test]
fn a_write_that_runs_once_and_whose_end_is_unclear_gets_one_attempt_and_one_answer() {
    let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (caches, journal) = (listener(), listener());
    let once = config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let once = once.replace(
        r#""idempotency":"guarded""#,
        r#""idempotency":"single_shot""#,
    );
    let (_program, address) = start(&once);
    let mut client = BufReader::new(connected(TcpStream::connect(address).unwrap()));
    client.get_mut().write_all(&unescape(WRITE)).unwrap();
    // The request is read whole, and its connection ends without an answer.
    let mut cache = BufReader::new(connected(caches.accept().unwrap().0));
    assert!(request(&mut cache).ends_with("ink"));
    drop(cache);
    let answer = message(&mut client);
    assert!(
        answer.starts_with("\\x94\\x01\\x01") && answer.contains("Fault"),
        "{answer}"
    );
    // Its one answer is out; another attempt would have come before it.
    caches.set_nonblocking(true).unwrap();
    assert!(caches.accept().is_err(), "no second attempt");
}
