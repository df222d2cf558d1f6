//! Complete, old, repeated, truncated and renumbered lists, each sent over a real socket to a journal client and its event
//! loop.

use fake_journal::*;
use foldmux::interface::MemberState;
use journal_follower::JournalFollower;
use std::net::SocketAddr;

mod common;
#[path = "common/fake_journal.rs"]
mod fake_journal;
#[path = "common/journal_follower.rs"]
mod journal_follower;

/// A member that occurs only in the last event of a test: once it is listed, the event loop has applied all earlier events.
const LAST_MEMBER: u32 = 99;

fn member(id: u32) -> Endpoint {
    Endpoint::pop_cache(id, SocketAddr::from(([127, 0, 0, 1], 7_000 + id as u16)))
}

/// Events 1 to 4: members 1 to 3 are listed, 1 drains, a group is purged, 3 is removed.
fn history() -> Vec<String> {
    vec![
        hosts_event(1, true, &[member(1), member(2), member(3)]),
        hosts_event(2, false, &[member(1).with_status("draining")]),
        purge_event(3, 17),
        hosts_event(4, false, &[member(3).with_status("gone")]),
    ]
}

fn names(ids: &[u32]) -> Vec<String> {
    ids.iter().map(|id| member(*id).name()).collect()
}

/// A journal client that has applied [`history`], and its next poll.
fn follower_at_event_4(service: &FakeJournal) -> (JournalFollower, Poll) {
    let follower = JournalFollower::start(service.address(), &event_batch(1, &history()[..1]));
    let first = service.next_poll();
    assert_eq!(first.tail, 1);
    let mut poll = first;
    for event in 2..=4 {
        poll = poll.respond(event, &history()[event as usize - 1..event as usize]);
        assert_eq!(poll.tail, event);
    }
    (follower, poll)
}

/// Announces [`LAST_MEMBER`] and waits until the event loop lists it.
fn announce_last_member(follower: &JournalFollower, poll: Poll, pos: u64) {
    let next = poll.respond(pos, &[hosts_event(pos, false, &[member(LAST_MEMBER)])]);
    assert_eq!(next.tail, pos);
    follower.wait_until_listed(LAST_MEMBER);
}

#[test]
fn a_renumbered_journal_is_read_from_the_start_and_applied_as_one_list() {
    let service = FakeJournal::start();
    let (follower, mut poll) = follower_at_event_4(&service);
    // A lower event number alone changes nothing: the next poll asks for all events, on a new connection.
    poll.write(&http_response(&event_batch(2, &[])));
    let full_poll = service.next_poll();
    assert_eq!(full_poll.tail, 0);
    poll.assert_closed();
    // Between these events member 1 is ready and member 2 is listed; neither state may become visible.
    let renumbered = [
        hosts_event(1, true, &[member(1), member(2), member(3), member(4)]),
        hosts_event(
            2,
            false,
            &[
                member(1).with_status("draining"),
                member(2).with_status("gone"),
            ],
        ),
        hosts_event(3, false, &[member(3).with_status("gone")]),
    ];
    let poll = full_poll.respond(3, &renumbered);
    assert_eq!(poll.tail, 3);
    announce_last_member(&follower, poll, 4);
    assert_eq!(
        follower.ended_incarnations(),
        names(&[1, 3, 2]),
        "neither member 1 nor member 3 became ready again"
    );
    let states = [1, 2, 3, 4].map(|id| follower.state(id));
    assert_eq!(
        states,
        [
            Some(MemberState::Draining),
            None,
            None,
            Some(MemberState::Ready)
        ]
    );
}

#[test]
fn a_repeated_old_response_is_not_a_renumbering() {
    let service = FakeJournal::start();
    let (follower, mut poll) = follower_at_event_4(&service);
    poll.write(&http_response(&event_batch(1, &history()[..1])));
    let full_poll = service.next_poll();
    assert_eq!(full_poll.tail, 0);
    poll.assert_closed();
    let poll = full_poll.respond(4, &history());
    assert_eq!(poll.tail, 4, "it continues from event 4");
    announce_last_member(&follower, poll, 5);
    assert_eq!(
        follower.ended_incarnations(),
        names(&[1, 3]),
        "no incarnation started or ended"
    );
    assert_eq!(
        [1, 2, 3].map(|id| follower.state(id)),
        [Some(MemberState::Draining), Some(MemberState::Ready), None]
    );
}

#[test]
fn a_renumbering_is_applied_only_from_a_complete_response() {
    let service = FakeJournal::start();
    let (follower, mut poll) = follower_at_event_4(&service);
    let complete = hosts_event(1, true, &[member(2)]);
    let invalid = [
        // The first event, one in between, or the last is missing; there is no complete list; events are out of order.
        event_batch(3, &[purge_event(2, 1), purge_event(3, 1)]),
        event_batch(3, &[complete.clone(), purge_event(3, 1)]),
        event_batch(3, &[complete.clone(), purge_event(2, 1)]),
        event_batch(
            2,
            &[
                hosts_event(1, false, &[member(2).with_status("gone")]),
                purge_event(2, 1),
            ],
        ),
        event_batch(2, &[purge_event(2, 1), complete.clone()]),
    ];
    for body in &invalid {
        poll.write(&http_response(&event_batch(2, &[])));
        let mut full_poll = service.next_poll();
        assert_eq!(full_poll.tail, 0);
        poll.assert_closed();
        full_poll.write(&http_response(body));
        poll = service.next_poll();
        assert_eq!(poll.tail, 4, "{body}");
        full_poll.assert_closed();
    }
    // A journal service without events is polled again from the start, and the list stays.
    poll.write(&http_response(&event_batch(0, &[])));
    let full_poll = service.next_poll().respond(0, &[]);
    assert_eq!(full_poll.tail, 0);
    poll.assert_closed();
    let poll = full_poll.respond(
        1,
        &[hosts_event(
            1,
            true,
            &[member(1).with_status("draining"), member(2), member(4)],
        )],
    );
    assert_eq!(poll.tail, 1);
    announce_last_member(&follower, poll, 2);
    assert_eq!(follower.ended_incarnations(), names(&[1, 3]));
    let states = [1, 2, 3, 4].map(|id| follower.state(id));
    assert_eq!(
        states,
        [
            Some(MemberState::Draining),
            Some(MemberState::Ready),
            None,
            Some(MemberState::Ready)
        ]
    );
}

#[test]
fn events_in_one_response_are_applied_as_one_list() {
    let service = FakeJournal::start();
    let (follower, poll) = follower_at_event_4(&service);
    // Member 1 becomes ready and drains again, 2 restarts, 3 returns: all in one late response.
    let restarted = Endpoint {
        since_ms: 1_764_576_000_000,
        ..member(2)
    };
    let events = [
        hosts_event(5, false, &[member(1)]),
        hosts_event(6, false, &[member(2).with_status("draining")]),
        hosts_event(
            7,
            false,
            &[
                member(1).with_status("draining"),
                member(2).with_status("gone"),
            ],
        ),
        hosts_event(8, false, &[restarted, member(3)]),
    ];
    let poll = poll.respond(8, &events);
    assert_eq!(poll.tail, 8);
    announce_last_member(&follower, poll, 9);
    assert_eq!(
        follower.ended_incarnations(),
        names(&[1, 3, 2]),
        "member 1 did not become ready in between, and member 2 ended once"
    );
    let states = [1, 2, 3].map(|id| follower.state(id));
    assert_eq!(
        states,
        [
            Some(MemberState::Draining),
            Some(MemberState::Ready),
            Some(MemberState::Ready)
        ]
    );
}

#[test]
fn a_complete_list_removes_members_that_it_does_not_name() {
    let service = FakeJournal::start();
    let (follower, poll) = follower_at_event_4(&service);
    let poll = poll.respond(5, &[hosts_event(5, true, &[member(1), member(4)])]);
    assert_eq!(poll.tail, 5);
    // A repeated older list changes nothing, whether alone or before new events.
    let poll = poll.respond(5, &history());
    assert_eq!(poll.tail, 5);
    let poll = poll.respond(
        6,
        &[
            &history()[..],
            &[hosts_event(5, true, &[member(2)]), purge_event(6, 1)],
        ]
        .concat(),
    );
    assert_eq!(poll.tail, 6);
    announce_last_member(&follower, poll, 7);
    assert_eq!(follower.ended_incarnations(), names(&[1, 3, 2]));
    let states = [1, 2, 3, 4].map(|id| follower.state(id));
    assert_eq!(
        states,
        [
            Some(MemberState::Ready),
            None,
            None,
            Some(MemberState::Ready)
        ]
    );
}

#[test]
fn an_invalid_response_changes_nothing_and_the_poll_is_repeated() {
    let service = FakeJournal::start();
    let (follower, mut poll) = follower_at_event_4(&service);
    let gone = |pos| hosts_event(pos, false, &[member(2).with_status("gone")]);
    let empty = hosts_event(5, true, &[]);
    let complete = http_response(&event_batch(5, &[gone(5)]));
    let invalid = [
        // Truncated in the head, in the body, in a chunk, in the JSON text.
        complete[..20].to_string(),
        complete[..complete.len() - 3].to_string(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"pos\":5,".to_string(),
        http_response(r#"{"pos":5,"entries":[{"pos":5,"hosts":"#),
        // The first event, the last or one in between is missing, or events are out of order.
        http_response(&event_batch(6, &[gone(6)])),
        http_response(&event_batch(5, &[])),
        http_response(&event_batch(7, &[gone(5), purge_event(7, 1)])),
        http_response(&event_batch(6, &[purge_event(6, 1), gone(5)])),
        http_response(&event_batch(
            7,
            &[empty, purge_event(7, 1), purge_event(6, 1)],
        )),
        // The journal service reports an error.
        "HTTP/1.1 500 Not Well\r\nContent-Length: 0\r\n\r\n".to_string(),
    ];
    for text in &invalid {
        poll.write(text);
        poll.close_write();
        poll = service.next_poll();
        assert_eq!(poll.tail, 4, "{text}");
    }
    announce_last_member(&follower, poll, 5);
    assert_eq!(follower.ended_incarnations(), names(&[1, 3]));
    assert_eq!(
        [1, 2, 3].map(|id| follower.state(id)),
        [Some(MemberState::Draining), Some(MemberState::Ready), None]
    );
}

#[test]
fn an_unsolicited_response_is_not_taken_for_the_next_poll() {
    let service = FakeJournal::start();
    let (follower, mut poll) = follower_at_event_4(&service);
    // Two responses to one poll: the next poll on this connection would read the second. The proxy closes the connection.
    let first_response = http_response(&event_batch(5, &[purge_event(5, 1)]));
    poll.write(
        &(first_response
            + &http_response(&event_batch(
                6,
                &[hosts_event(6, false, &[member(2).with_status("gone")])],
            ))),
    );
    let next = service.next_poll();
    assert_eq!(next.tail, 5);
    poll.assert_closed();
    announce_last_member(&follower, next, 6);
    assert_eq!(follower.state(2), Some(MemberState::Ready));
}
