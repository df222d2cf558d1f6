//! The journal service announces a drain, or a new server at an address, after a cache was chosen for a request and
//! before the request is sent: nothing may be sent to the old choice.

use fake_cache::FakeCache;
use fake_journal::*;
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;
use test_client::Client;

mod common;
#[path = "common/fake_cache.rs"]
mod fake_cache;
#[path = "common/fake_journal.rs"]
mod fake_journal;
#[path = "common/test_client.rs"]
mod test_client;

/// Setting and replacement: a dial timeout (us) far longer than the test needs to let the dial succeed.
const LONG_DIAL_TIMEOUT: [&str; 2] = [r#""dialTimeout":400000"#, r#""dialTimeout":20000000"#];
/// Setting and replacement: an idle timeout (us) longer than any wait of the test, so that it closes no connection.
const LONG_KEEPALIVE: [&str; 2] = [r#""keepalive":15000000"#, r#""keepalive":100000000"#];
/// The start of the server that takes an address over (Unix ms).
const LATER_START_MS: u64 = 1_764_576_000_000;

/// The settings with one value replaced; it must occur exactly once.
fn settings_with([current, replacement]: [&str; 2]) -> String {
    assert_eq!(common::SETTINGS.matches(current).count(), 1, "{current}");
    common::SETTINGS.replace(current, replacement)
}

/// A proxy whose dial to the chosen cache hangs.
struct HungDial {
    _proxy: common::ProxyProcess,
    _client: Client,
    poll: Poll,
    /// The chosen pop cache; its accept queue is full.
    cache: FakeCache,
    queued: Vec<TcpStream>,
    endpoints: [Endpoint; 3],
}

/// Starts a proxy with one pop cache, its parent and the origin, sends a request and waits until its dial hangs.
fn start_hung_dial() -> HungDial {
    let (cache, hubs, service) = (FakeCache::start(), FakeCache::start(), FakeJournal::start());
    let endpoints = [
        Endpoint::pop_cache(1, cache.address()),
        Endpoint::hub(2, "parent", hubs.address()),
        Endpoint::hub(3, "origin", hubs.address()),
    ];
    // Parent and origin serve requests that go past the pop cache.
    hubs.serve("direct");
    let settings = settings_with(LONG_DIAL_TIMEOUT);
    let known = event_batch(1, &[hosts_event(1, true, &endpoints)]);
    let (proxy, address) = common::start(&config(service.address(), &settings, &known));
    let queued = cache.fill_accept_queue();
    let mut client = Client::connect(address);
    client.send_request(1);
    wait_for_hung_dial(cache.address());
    HungDial {
        _proxy: proxy,
        _client: client,
        poll: service.next_poll(),
        cache,
        queued,
        endpoints,
    }
}

/// Waits until `/proc/net/tcp` shows a socket in SYN_SENT to this address.
fn wait_for_hung_dial(address: SocketAddr) {
    const SYN_SENT: &str = "02";
    let remote = format!("0100007F:{:04X}", address.port());
    let deadline = Instant::now() + TEST_TIMEOUT;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let mut sockets = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        if sockets.any(|fields| fields[2..4] == [remote.as_str(), SYN_SENT]) {
            return;
        }
        assert!(Instant::now() < deadline, "no dial to {address} hangs");
        std::thread::yield_now();
    }
}

impl HungDial {
    /// Announces these endpoints, then lets the dial succeed, and returns all that was written on its connection.
    fn announce_and_accept(self, endpoints: &[Endpoint]) -> String {
        let next = self.poll.respond(2, &[hosts_event(2, false, endpoints)]);
        assert_eq!(next.tail, 2);
        self.cache.drain_accept_queue(self.queued);
        self.cache.connection().read_to_end()
    }
}

#[test]
fn nothing_is_sent_to_a_cache_that_drains_while_it_is_dialled() {
    let hung = start_hung_dial();
    let drains = hung.endpoints[0].with_status("draining");
    assert_eq!(hung.announce_and_accept(&[drains]), "");
}

#[test]
fn nothing_is_sent_for_a_source_that_drains_while_its_cache_is_dialled() {
    let hung = start_hung_dial();
    let drains = hung.endpoints[1].with_status("draining");
    assert_eq!(hung.announce_and_accept(&[drains]), "");
}

#[test]
fn nothing_is_sent_to_an_address_that_another_server_took_over_during_the_dial() {
    let hung = start_hung_dial();
    let successor = Endpoint {
        id: 9,
        since_ms: LATER_START_MS,
        ..hung.endpoints[0]
    };
    assert_eq!(hung.announce_and_accept(&[successor]), "");
}

/// Asserts that an idle connection to a cache is closed without another request once `successor`, which is given the
/// cache's endpoint, is announced at its address.
fn assert_idle_connection_closed_by(successor: impl Fn(Endpoint) -> Endpoint) {
    let (cache, hub, service) = (FakeCache::start(), FakeCache::start(), FakeJournal::start());
    let endpoints = [
        Endpoint::pop_cache(1, cache.address()),
        Endpoint::hub(3, "origin", hub.address()),
    ];
    hub.serve("direct");
    let settings = settings_with(LONG_KEEPALIVE);
    let known = event_batch(1, &[hosts_event(1, true, &endpoints)]);
    let (_proxy, address) = common::start(&config(service.address(), &settings, &known));
    let mut client = Client::connect(address);
    client.send_request(1);
    let mut idle = cache.connection();
    idle.read_request();
    idle.respond("first");
    assert!(client.read_response().contains("first"));
    let poll = service
        .next_poll()
        .respond(2, &[hosts_event(2, false, &[successor(endpoints[0])])]);
    assert_eq!(poll.tail, 2);
    client.send_request(2);
    assert_eq!(
        idle.read_to_end(),
        "",
        "the idle connection ends without another request"
    );
    let mut dialled = cache.connection();
    dialled.read_request();
    dialled.respond("second");
    assert!(client.read_response().contains("second"));
}

#[test]
fn an_idle_connection_is_closed_when_another_server_takes_over_its_address() {
    assert_idle_connection_closed_by(|endpoint| Endpoint {
        id: 9,
        since_ms: LATER_START_MS,
        ..endpoint
    });
}

#[test]
fn an_idle_connection_is_closed_when_its_cache_restarts_at_the_address() {
    assert_idle_connection_closed_by(|endpoint| Endpoint {
        since_ms: LATER_START_MS,
        ..endpoint
    });
}
