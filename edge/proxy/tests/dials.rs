//! SIGTERM while a request's connection is dialled: it is served where the dial comes up in time, and answered before SIGKILL
//! may come where it does not.

use foldmux_fakes::backlog::{is_dialled, Filled};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use steps::{Client, Rig, PATIENCE};

mod common;
#[path = "common/steps.rs"]
mod steps;

const ONE: u64 = 0x1111_0000_0000_0001;

/// The program whose dials may take longer than any test.
fn rig() -> Rig {
    Rig::start_with(|config| config.replace("\"dialTimeout\":400000", "\"dialTimeout\":60000000"))
}

/// A client whose request waits for its connection to the cache.
fn dialling(rig: &Rig, cache: SocketAddr) -> Client {
    let mut client = rig.client();
    client.ask(ONE);
    let end = Instant::now() + PATIENCE;
    while !is_dialled(cache) {
        assert!(Instant::now() < end, "no dial is under way");
        std::thread::sleep(Duration::from_millis(1));
    }
    client
}

#[test]
fn a_dial_that_comes_up_after_sigterm_serves_its_request() {
    let mut rig = rig();
    let filled = Filled::new(rig.caches());
    let mut client = dialling(&rig, rig.caches().local_addr().unwrap());
    rig.leave();
    filled.make_room(rig.caches());
    rig.attempt().give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    client.ends();
    drop(client);
    rig.ends_well();
}

#[test]
fn a_request_whose_dial_does_not_come_up_is_answered_before_the_process_ends() {
    let mut rig = rig();
    let filled = Filled::new(rig.caches());
    let mut client = dialling(&rig, rig.caches().local_addr().unwrap());
    rig.leave();
    assert!(
        client.answer().contains("Shed"),
        "nothing was sent: trying again is harmless"
    );
    client.ends();
    drop(client);
    rig.ends_well();
    filled.make_room(rig.caches());
    assert_eq!(rig.waiting_attempts(), 0);
}
