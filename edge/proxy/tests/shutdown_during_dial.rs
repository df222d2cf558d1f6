//! SIGTERM while the connection for a request is dialled: the request is served if the dial succeeds in time, and otherwise
//! gets its response before SIGKILL can come.

use foldmux_fakes::backlog::{is_dialled, Filled};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use test_proxy::{Client, TestProxy, TEST_TIMEOUT};

mod common;
#[path = "common/test_proxy.rs"]
mod test_proxy;

const OBJECT: u64 = 0x1111_0000_0000_0001;

/// A proxy whose dial timeout is longer than any test.
fn start_proxy() -> TestProxy {
    TestProxy::start_with_config(|config| {
        config.replace("\"dialTimeout\":400000", "\"dialTimeout\":60000000")
    })
}

/// A client whose request waits for the dial to the cache.
fn client_with_hung_dial(proxy: &TestProxy, cache: SocketAddr) -> Client {
    let mut client = proxy.client();
    client.send_request(OBJECT);
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !is_dialled(cache) {
        assert!(Instant::now() < deadline, "the cache is not dialled");
        std::thread::sleep(Duration::from_millis(1));
    }
    client
}

#[test]
fn a_request_is_served_if_its_dial_succeeds_after_sigterm() {
    let mut proxy = start_proxy();
    let full_queue = Filled::new(proxy.caches());
    let mut client = client_with_hung_dial(&proxy, proxy.caches().local_addr().unwrap());
    proxy.start_drain();
    full_queue.make_room(proxy.caches());
    proxy.next_attempt().respond(b"ok");
    assert!(client.read_response().contains("\\xc4\\x02ok"));
    client.assert_closed();
    drop(client);
    proxy.assert_clean_exit();
}

#[test]
fn a_request_whose_dial_hangs_is_rejected_before_the_process_exits() {
    let mut proxy = start_proxy();
    let full_queue = Filled::new(proxy.caches());
    let mut client = client_with_hung_dial(&proxy, proxy.caches().local_addr().unwrap());
    proxy.start_drain();
    assert!(
        client.read_response().contains("Shed"),
        "nothing was sent, so that the client may retry"
    );
    client.assert_closed();
    drop(client);
    proxy.assert_clean_exit();
    full_queue.make_room(proxy.caches());
    assert_eq!(proxy.pending_attempts(), 0);
}
