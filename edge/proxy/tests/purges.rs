//! A purge that the journal service tells while a failed request waits for its next attempt.

use fake_cache::FakeCache;
use fake_journal::*;
use std::time::{SystemTime, UNIX_EPOCH};
use test_client::Client;

mod common;
#[path = "common/fake_cache.rs"]
mod fake_cache;
#[path = "common/fake_journal.rs"]
mod fake_journal;
#[path = "common/test_client.rs"]
mod test_client;

/// The backoff outlasts the purge's way to the proxy many times over.
const LIMITS: &str =
    "limits(\"sheet\", attempts = 3, backoff_ms = 1500, backoff_factor = 1.0, jitter_percent = 0)\n";
const OBJECT: u64 = 7;

fn unix_ms() -> u128 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap();
    since.as_millis()
}

/// Guards against an attempt after a backoff of the operator's limits accepting a copy from before a purge that was told in
/// the backoff.
#[test]
fn an_attempt_after_a_backoff_takes_no_copy_from_before_a_purge_told_in_the_backoff() {
    let (cache, service) = (FakeCache::start(), FakeJournal::start());
    let endpoints = [
        Endpoint::pop_cache(1, cache.address()),
        Endpoint::hub(2, "parent", cache.address()),
        Endpoint::hub(3, "origin", cache.address()),
    ];
    let known = event_batch(1, &[hosts_event(1, true, &endpoints)]);
    let file = std::env::temp_dir().join(format!("foldmux-purges-{}.star", std::process::id()));
    std::fs::write(&file, LIMITS).unwrap();
    let (_proxy, [address, _]) = common::start_with_args(
        &config(service.address(), common::SETTINGS, &known),
        &["--operator", file.to_str().unwrap()],
    );
    let poll = service.next_poll();
    let mut client = Client::connect(address.expect("an address"));
    client.send_request(OBJECT);
    let mut first = cache.connection();
    let head = first.read_request();
    assert!(!head.contains("X-Max-Age-Ms"), "{head}");
    first.fail();
    // The poll that follows shows that the event was taken.
    let purge = format!(
        r#"{{"pos":2,"expire":{{"name":"{OBJECT:016x}","stamp":{}}}}}"#,
        unix_ms()
    );
    let _poll = poll.respond(2, &[purge]);
    let mut second = cache.connection();
    let head = second.read_request();
    assert!(head.contains("X-Max-Age-Ms: "), "{head}");
    second.respond("new");
    assert!(client.read_response().contains("new"));
    let _ = std::fs::remove_file(file);
}
