//! A single-shot write whose outcome is unknown gets one attempt and one response.

mod common;

use common::{config, read_message, read_request, start, unescape, with_read_timeout};
use std::io::{BufReader, Write};
use std::net::{TcpListener, TcpStream};

const WRITE: &str = r"\x94\x00\x01\xa6record\x92\x87\xa5batch\xa217\xa1m\xa3500\xa1i\xb09b1f03aa5c7e2d44\xa1d\xa520000\xa1o\xb07f3a9c21e0b4d656\xa3nth\xa10\xa1k\xd9 5c0f6e1a2b3d4c59a8b7c6d5e4f30211\xc4\x03ink";

#[test]
fn a_single_shot_write_with_an_unknown_outcome_gets_one_attempt_and_one_response() {
    let listener = || TcpListener::bind("127.0.0.1:0").unwrap();
    let (caches, journal) = (listener(), listener());
    let once = config(caches.local_addr().unwrap(), journal.local_addr().unwrap());
    let once = once.replace(
        r#""idempotency":"guarded""#,
        r#""idempotency":"single_shot""#,
    );
    let (_proxy, address) = start(&once);
    let mut client = BufReader::new(with_read_timeout(TcpStream::connect(address).unwrap()));
    client.get_mut().write_all(&unescape(WRITE)).unwrap();
    // The cache reads the complete request and closes the connection without a response.
    let mut cache = BufReader::new(with_read_timeout(caches.accept().unwrap().0));
    assert!(read_request(&mut cache).ends_with("ink"));
    drop(cache);
    let response = read_message(&mut client);
    assert!(
        response.starts_with("\\x94\\x01\\x01") && response.contains("Fault"),
        "{response}"
    );
    // A second attempt would have come before the response.
    caches.set_nonblocking(true).unwrap();
    assert!(caches.accept().is_err(), "no second attempt");
}
