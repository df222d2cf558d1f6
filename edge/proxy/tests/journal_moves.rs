//! The journal service moves to another address while a response from the old address is under way.

use fake_journal::*;
use journal_follower::JournalFollower;
use std::net::SocketAddr;

mod common;
#[path = "common/fake_journal.rs"]
mod fake_journal;
#[path = "common/journal_follower.rs"]
mod journal_follower;

/// Members in a response that takes some milliseconds to decode and is close to the maximum size (1 MiB).
const MEMBERS: u32 = 6_000;
/// How often the test moves the service during the decoding.
const ROUNDS: usize = 20;

fn member(id: u32) -> Endpoint {
    Endpoint::pop_cache(id, SocketAddr::from(([127, 0, 0, 1], 7_000)))
}

/// A response from the old address is applied before the move returns, or never.
#[test]
fn a_response_from_the_old_address_is_not_applied_after_the_move() {
    let members: Vec<Endpoint> = (1..=MEMBERS).map(member).collect();
    let old_answer = http_response(&event_batch(1, &[hosts_event(1, true, &members)]));
    assert!(
        old_answer.len() > 700 * 1024 && old_answer.len() < 1024 * 1024,
        "{}",
        old_answer.len()
    );
    for round in 0..ROUNDS {
        let (old, new) = (FakeJournal::start(), FakeJournal::start());
        let follower = JournalFollower::start(old.address(), &event_batch(0, &[]));
        let mut poll = old.next_poll();
        assert_eq!(poll.tail, 0);
        poll.write(&old_answer);
        follower.service.move_to(Some(new.address()));
        let applied = follower.has_list() as u64;
        let next = new.next_poll();
        assert_eq!(
            next.tail, applied,
            "round {round}: a response from the old address was applied after the move"
        );
        // The event numbers at the new address follow those already applied.
        let list = hosts_event(applied + 1, true, &[member(MEMBERS + 1)]);
        assert_eq!(next.respond(applied + 1, &[list]).tail, applied + 1);
        follower.wait_until_listed(MEMBERS + 1);
        assert_eq!(follower.state(1), None);
    }
}

/// The same with the process and SIGHUP: the old address sends the end of its response after the move is logged.
#[test]
fn a_response_from_the_old_address_that_ends_after_sighup_is_not_applied() {
    let (old, new) = (FakeJournal::start(), FakeJournal::start());
    let known = event_batch(1, &[hosts_event(1, true, &[member(1)])]);
    let (proxy, _) = common::start(&config(old.address(), common::SETTINGS, &known));
    let mut poll = old.next_poll();
    let response = http_response(&event_batch(2, &[hosts_event(2, true, &[])]));
    poll.write(&response[..response.len() - 1]);
    let moved_config = config(new.address(), common::SETTINGS, &known);
    let log_line = proxy.reload(&moved_config);
    assert!(
        log_line.contains(&format!("the journal service is at {}", new.address())),
        "{log_line}"
    );
    let mut socket = poll.socket();
    let _ = std::io::Write::write_all(&mut socket, &response.as_bytes()[response.len() - 1..]);
    poll.assert_closed();
    let next = new.next_poll();
    assert_eq!(next.tail, 1);
    assert_eq!(next.respond(2, &[purge_event(2, 1)]).tail, 2);
}
