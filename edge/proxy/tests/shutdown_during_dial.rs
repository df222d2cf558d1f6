//! SIGTERM while a request's connection is dialled: it is served where the dial comes up in time, and answered before SIGKILL
//! may come where it does not.

use foldmux_fakes::backlog::{is_dialled, Filled};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use test_proxy::{Client, TestProxy, PATIENCE};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const ONE: u64 = 0x1111_0000_0000_0001;

/// The program whose dials may take longer than any test.
fn proxy() -> TestProxy {
    TestProxy::start_with(|config| {
        config.replace("\"dialTimeout\":400000", "\"dialTimeout\":60000000")
    })
}

/// A client whose request waits for its connection to the cache.
fn dialling(proxy: &TestProxy, cache: SocketAddr) -> Client {
    let mut client = proxy.client();
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
    let mut proxy = proxy();
    let filled = Filled::new(proxy.caches());
    let mut client = dialling(&proxy, proxy.caches().local_addr().unwrap());
    proxy.leave();
    filled.make_room(proxy.caches());
    proxy.attempt().give(b"ok");
    assert!(client.answer().contains("\\xc4\\x02ok"));
    client.ends();
    drop(client);
    proxy.ends_well();
}

#[test]
fn a_request_whose_dial_does_not_come_up_is_answered_before_the_process_ends() {
    let mut proxy = proxy();
    let filled = Filled::new(proxy.caches());
    let mut client = dialling(&proxy, proxy.caches().local_addr().unwrap());
    proxy.leave();
    assert!(
        client.answer().contains("Shed"),
        "nothing was sent: trying again is harmless"
    );
    client.ends();
    drop(client);
    proxy.ends_well();
    filled.make_room(proxy.caches());
    assert_eq!(proxy.waiting_attempts(), 0);
}
