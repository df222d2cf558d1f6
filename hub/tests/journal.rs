//! The hubs' own polls of the journal service: events that can't be read, and a break that all see at one moment.

use common::{until, Rig};
use foldmux_http1::io::write_all;
use foldmux_standins::source::{Act, Source};
use std::io::Read;
use std::net::{TcpListener, TcpStream};
use std::time::{Duration, Instant};

mod common;

const HUBS: [&str; 8] = ["east", "west", "north", "south", "hill", "vale", "port", "mill"];

fn hubs(journal: &TcpListener) -> Rig {
    let settings = format!("relay(journal = \"{}\")", journal.local_addr().unwrap());
    let wiring: Vec<(&str, &[&str])> = HUBS.iter().map(|name| (*name, &["archive"][..])).collect();
    Rig::new(Source::start(|_| Act::give(100, Duration::ZERO)), &wiring, &settings)
}

/// The next poll, and when it came.
fn polled(journal: &TcpListener) -> (TcpStream, Instant) {
    let (mut stream, _) = journal.accept().unwrap();
    let at = Instant::now();
    assert!(stream.read(&mut [0; 1024]).unwrap() > 0);
    (stream, at)
}

#[test]
fn hubs_whose_polls_break_at_one_moment_do_not_come_back_in_step() {
    let journal = TcpListener::bind("127.0.0.1:0").unwrap();
    let _hubs = hubs(&journal);
    let first: Vec<(TcpStream, Instant)> = HUBS.iter().map(|_| polled(&journal)).collect();
    drop(first);
    let back: Vec<Instant> = HUBS.iter().map(|_| polled(&journal).1).collect();
    // Their first waits are drawn from 10 to 150 ms; these names draw them over 60 ms and more.
    let spread = *back.last().unwrap() - back[0];
    assert!(spread > Duration::from_millis(40), "all within {spread:?}");
}

#[test]
fn an_event_that_cannot_be_read_costs_itself_alone() {
    let journal = TcpListener::bind("127.0.0.1:0").unwrap();
    let rig = hubs(&journal);
    // All are there before the first is answered, as that one asks again.
    let polls: Vec<TcpStream> = HUBS.iter().map(|_| polled(&journal).0).collect();
    for poll in &polls {
        let body = r#"{"entries":[{"pos":1,"expire":{"stamp":"soon"}},{"pos":2,"expire":7},{"pos":3,"hosts":[]},
            {"pos":4,"expire":{"name":"00000000000000aa","stamp":5}}]}"#;
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        let end = Instant::now() + Duration::from_secs(20);
        write_all(poll, &[head.as_bytes(), body.as_bytes()], end).unwrap();
    }
    let purges = || rig.count("*", |tally| common::load(&tally.purges));
    until("each hub takes the purge", || purges() == HUBS.len() as u64);
}
