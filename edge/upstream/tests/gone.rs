//! Clients that leave, and repeats whose window ends, before an attempt's first byte: nothing of it is sent.

mod common;

use common::*;
use foldmux::interface::Outcome;
use std::io::Read;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

/// Longest wait for a connection that a listener has room for (loopback takes microseconds).
const ROOM: Duration = Duration::from_millis(200);
/// More than any system's queue of connections that nobody accepted.
const QUEUE_MOST: usize = 10_000;

/// Connections that fill the listener's queue: the next that is dialled does not come up until one is accepted.
fn fill(listener: &TcpListener) -> Vec<TcpStream> {
    let at = listener.local_addr().unwrap();
    let connect = |_| TcpStream::connect_timeout(&at, ROOM).ok();
    let filled: Vec<TcpStream> = (0..QUEUE_MOST).map_while(connect).collect();
    assert!(filled.len() < QUEUE_MOST, "the queue has no end");
    filled
}

/// Whether a socket of this machine is being connected to `at` and has not come up, beside `known` ones.
fn dialling(at: SocketAddr) -> bool {
    let port = format!(":{:04X}", at.port());
    let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
    table.lines().skip(1).any(|line| {
        let fields: Vec<&str> = line.split_whitespace().collect();
        fields[2].ends_with(&port) && fields[3] == "02"
    })
}

#[test]
fn for_a_client_that_left_nothing_is_dialled() {
    let rig = Rig::new();
    let asked = rig.asked();
    asked.slot.call_off(0);
    assert_eq!(rig.make(&asked), (Outcome::NeverSent, None));
    assert!(rig.nobody_dialled());
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}

#[test]
fn a_client_that_leaves_before_the_first_byte_is_the_last_of_its_attempt() {
    let rig = Rig::new();
    let idle = rig.idle();
    let asked = rig.asked();
    let slot = asked.slot.clone();
    let asked = asked.before_first_byte(move || slot.call_off(0));
    assert_eq!(rig.make(&asked), (Outcome::NeverSent, None));
    assert!(rest(&idle).is_empty(), "not a byte came");
    assert!(rig.nobody_dialled());
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}

#[test]
fn a_client_that_leaves_after_the_first_byte_may_have_been_served() {
    let rig = Rig::new();
    let asked = rig.asked();
    let slot = asked.slot.clone();
    let (outcome, brought, ended) = rig.during(&asked, || {
        let stream = rig.accept();
        read_head(&stream);
        slot.call_off(0);
        // The attempt's connection ends at once, and what is said after is heard by nobody.
        rest(&stream)
    });
    assert_eq!((outcome, brought, ended), (Outcome::Cancelled, None, vec![]));
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}

#[test]
fn a_connection_that_comes_up_after_the_client_left_is_closed_unused() {
    let rig = Rig::new();
    let at = rig.listener().local_addr().unwrap();
    let filled = fill(rig.listener());
    until("the last try to fill it is given up", || !dialling(at));
    let asked = rig.asked();
    let slot = asked.slot.clone();
    let (outcome, brought, came) = rig.during(&asked, || {
        until("the dial is under way", || dialling(at));
        slot.call_off(0);
        filled.iter().for_each(|_| drop(rig.accept()));
        // The dial comes up now that there is room.
        let mut stream = rig.accept();
        let mut bytes = Vec::new();
        stream.read_to_end(&mut bytes).map(|_| bytes.len()).unwrap_or(0)
    });
    assert_eq!((outcome, brought, came), (Outcome::NeverSent, None, 0));
    assert_eq!(rig.upstream.pool.count(), (0, 0), "its place is back");
}

#[test]
fn a_repeat_whose_window_is_over_is_not_sent_on_a_connection_that_is_idle() {
    let rig = Rig::new();
    let idle = rig.idle();
    let mut asked = rig.asked();
    asked.fetch.send_by = rig.upstream.clock.now();
    assert_eq!(rig.make(&asked), (Outcome::NeverSent, None));
    assert!(rest(&idle).is_empty(), "not a byte came");
    assert!(rig.nobody_dialled());
    // Within its window it goes.
    asked.fetch.send_by = rig.upstream.clock.now() + 60_000_000;
    let (outcome, brought, _) = rig.during(&asked, || {
        let stream = rig.accept();
        read_head(&stream);
        say(&stream, &ok("again"));
    });
    assert_eq!((outcome, brought), (Outcome::Served, body("again")));
}

#[test]
fn a_repeat_whose_window_ends_while_its_connection_is_taken_is_not_sent() {
    let rig = Rig::new();
    let idle = rig.idle();
    let (clock, by) = (rig.upstream.clock.clone(), rig.upstream.clock.now() + 200_000);
    let mut asked = rig.asked().when_connected(move || until("the window ends", || clock.now() >= by));
    asked.fetch.send_by = by;
    assert_eq!(rig.make(&asked), (Outcome::NeverSent, None));
    assert!(rest(&idle).is_empty(), "not a byte came");
}

#[test]
fn a_dial_for_a_repeat_ends_with_the_repeats_window_and_says_nothing_of_the_cache() {
    let rig = Rig::new();
    let at = rig.listener().local_addr().unwrap();
    let _filled = fill(rig.listener());
    until("the last try to fill it is given up", || !dialling(at));
    let mut asked = rig.asked();
    asked.fetch.send_by = rig.upstream.clock.now() + 300_000;
    let (outcome, brought, ()) = rig.during(&asked, || {
        until("the dial is under way", || dialling(at));
        // By itself the dial may take longer than the test waits.
        until("the dial is given up", || !dialling(at));
    });
    assert_eq!((outcome, brought), (Outcome::NeverSent, None));
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}
