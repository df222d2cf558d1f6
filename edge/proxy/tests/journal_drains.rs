//! A drain, an end or another holder of the address that is told between the choice of a cache and the first byte.

use fake_cache::Cache;
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

/// The dial may hang for this long (us) in place of the settings' time: far beyond what the test needs to release it.
const DIAL_TIME_OUT: [&str; 2] = [r#""dialTimeout":400000"#, r#""dialTimeout":20000000"#];
/// Idle connections are kept for longer (us) than any wait of the test: no idle time closes them.
const KEEP_ALIVE: [&str; 2] = [r#""keepalive":15000000"#, r#""keepalive":100000000"#];
/// When the one that takes an address over started (Unix ms).
const STARTED_LATE_MS: u64 = 1_764_576_000_000;

/// The settings with one figure in place of another, which they must have.
fn settings_with([former, wanted]: [&str; 2]) -> String {
    assert_eq!(common::SETTINGS.matches(former).count(), 1, "{former}");
    common::SETTINGS.replace(former, wanted)
}

struct Scene {
    _program: common::Program,
    _client: Client,
    call: Call,
    /// The pop cache that is chosen, with its accept queue full: the dial hangs.
    cache: Cache,
    filled: Vec<TcpStream>,
    lines: [Line; 3],
}

/// One pop cache, its parent and the origin; a request has been decided, and its dial hangs.
fn held_in_the_dial() -> Scene {
    let (cache, hubs, service) = (Cache::start(), Cache::start(), FakeJournal::start());
    let lines = [
        Line::pop_cache(1, cache.address()),
        Line::hub(2, "parent", hubs.address()),
        Line::hub(3, "origin", hubs.address()),
    ];
    // The hubs serve what is sent to them past the pop cache.
    hubs.serve("direct");
    let settings = settings_with(DIAL_TIME_OUT);
    let known = feed(1, &[hosts(1, true, &lines)]);
    let (program, address) = common::start(&config(service.address(), &settings, &known));
    let filled = cache.fill();
    let mut client = Client::connect(address);
    client.ask(1);
    hangs_in_a_dial(cache.address());
    Scene {
        _program: program,
        _client: client,
        call: service.call(),
        cache,
        filled,
        lines,
    }
}

/// Returns once a dial to this address has sent its first packet and has no answer, by the system's table of sockets.
fn hangs_in_a_dial(address: SocketAddr) {
    const SYN_SENT: &str = "02";
    let remote = format!("0100007F:{:04X}", address.port());
    let until = Instant::now() + PATIENCE;
    loop {
        let table = std::fs::read_to_string("/proc/net/tcp").unwrap();
        let mut sockets = table
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>());
        if sockets.any(|fields| fields[2..4] == [remote.as_str(), SYN_SENT]) {
            return;
        }
        assert!(Instant::now() < until, "no dial to {address} hangs");
        std::thread::yield_now();
    }
}

impl Scene {
    /// Tells of these lines, and then opens the way for the dial; all that was written on its connection.
    fn tell_and_release(self, lines: &[Line]) -> String {
        let told = self.call.answer(2, &[hosts(2, false, lines)]);
        assert_eq!(told.tail, 2);
        self.cache.release(self.filled);
        self.cache.connection().rest()
    }
}

#[test]
fn nothing_is_sent_to_a_cache_that_drains_while_it_is_dialled() {
    let scene = held_in_the_dial();
    let drains = scene.lines[0].now("draining");
    assert_eq!(scene.tell_and_release(&[drains]), "");
}

#[test]
fn nothing_is_sent_for_a_source_that_drains_while_its_cache_is_dialled() {
    let scene = held_in_the_dial();
    let drains = scene.lines[1].now("draining");
    assert_eq!(scene.tell_and_release(&[drains]), "");
}

#[test]
fn nothing_is_sent_to_the_address_that_another_has_taken_over_while_it_was_dialled() {
    let scene = held_in_the_dial();
    let taker = Line {
        id: 9,
        since_ms: STARTED_LATE_MS,
        ..scene.lines[0]
    };
    assert_eq!(scene.tell_and_release(&[taker]), "");
}

/// A connection that rests at a cache is closed, and not used again, once another start holds the address.
fn rests_until_taken_over(taker: impl Fn(Line) -> Line) {
    let (cache, hub, service) = (Cache::start(), Cache::start(), FakeJournal::start());
    let lines = [
        Line::pop_cache(1, cache.address()),
        Line::hub(3, "origin", hub.address()),
    ];
    hub.serve("direct");
    let settings = settings_with(KEEP_ALIVE);
    let known = feed(1, &[hosts(1, true, &lines)]);
    let (_program, address) = common::start(&config(service.address(), &settings, &known));
    let mut client = Client::connect(address);
    client.ask(1);
    let mut resting = cache.connection();
    resting.request();
    resting.answer("first");
    assert!(client.answer().contains("first"));
    let call = service
        .call()
        .answer(2, &[hosts(2, false, &[taker(lines[0])])]);
    assert_eq!(call.tail, 2);
    client.ask(2);
    assert_eq!(
        resting.rest(),
        "",
        "the resting connection ends without another request"
    );
    let mut dialled = cache.connection();
    dialled.request();
    dialled.answer("second");
    assert!(client.answer().contains("second"));
}

#[test]
fn a_resting_connection_is_closed_when_another_takes_the_address_over() {
    rests_until_taken_over(|line| Line {
        id: 9,
        since_ms: STARTED_LATE_MS,
        ..line
    });
}

#[test]
fn a_resting_connection_is_closed_when_its_cache_starts_anew_at_the_address() {
    rests_until_taken_over(|line| Line {
        since_ms: STARTED_LATE_MS,
        ..line
    });
}
