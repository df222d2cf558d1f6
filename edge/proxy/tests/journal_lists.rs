//! Whole, old, repeated, torn and renumbered lists, each told over a real socket to a journal client with its event loop behind it.

use fake_journal::*;
use foldmux::interface::MemberState;
use journal_follower::JournalFollower;
use std::net::SocketAddr;

mod common;
#[path = "common/fake_journal.rs"]
mod fake_journal;
#[path = "common/journal_follower.rs"]
mod journal_follower;

/// A member that no event but the last of a test tells of: once it is listed, the event loop has applied all before it.
const LAST: u32 = 99;

fn member(id: u32) -> Line {
    Line::pop_cache(id, SocketAddr::from(([127, 0, 0, 1], 7_000 + id as u16)))
}

/// Three are listed; the first drains and comes to nothing more, the third goes.
fn history() -> Vec<String> {
    vec![
        hosts(1, true, &[member(1), member(2), member(3)]),
        hosts(2, false, &[member(1).now("draining")]),
        purge(3, 17),
        hosts(4, false, &[member(3).now("gone")]),
    ]
}

fn names(ids: &[u32]) -> Vec<String> {
    ids.iter().map(|id| member(*id).name()).collect()
}

/// A journal client that has applied the history, and its next call.
fn watched(service: &FakeJournal) -> (JournalFollower, Call) {
    let follower = JournalFollower::start(service.address(), &feed(1, &history()[..1]));
    let first = service.call();
    assert_eq!(first.tail, 1);
    let mut call = first;
    for event in 2..=4 {
        call = call.answer(event, &history()[event as usize - 1..event as usize]);
        assert_eq!(call.tail, event);
    }
    (follower, call)
}

/// Tells the last member, and returns once the event loop has it.
fn tell_last(follower: &JournalFollower, call: Call, pos: u64) {
    let next = call.answer(pos, &[hosts(pos, false, &[member(LAST)])]);
    assert_eq!(next.tail, pos);
    follower.knows(LAST);
}

#[test]
fn a_service_that_numbers_anew_is_asked_from_the_first_and_told_as_one_list() {
    let service = FakeJournal::start();
    let (follower, mut call) = watched(&service);
    // Its numbers have begun again: this alone changes nothing, and the next call asks for all on another connection.
    call.write(&answer(&feed(2, &[])));
    let recount = service.call();
    assert_eq!(recount.tail, 0);
    call.closed();
    // The whole telling passes through a state in which the first is ready and the second is there.
    let anew = [
        hosts(1, true, &[member(1), member(2), member(3), member(4)]),
        hosts(
            2,
            false,
            &[member(1).now("draining"), member(2).now("gone")],
        ),
        hosts(3, false, &[member(3).now("gone")]),
    ];
    let call = recount.answer(3, &anew);
    assert_eq!(call.tail, 3);
    tell_last(&follower, call, 4);
    assert_eq!(
        follower.ended(),
        names(&[1, 3, 2]),
        "neither the first nor the third was ready again"
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
fn an_old_answer_told_again_is_no_new_numbering() {
    let service = FakeJournal::start();
    let (follower, mut call) = watched(&service);
    call.write(&answer(&feed(1, &history()[..1])));
    let recount = service.call();
    assert_eq!(recount.tail, 0);
    call.closed();
    let call = recount.answer(4, &history());
    assert_eq!(call.tail, 4, "it goes on from where it was");
    tell_last(&follower, call, 5);
    assert_eq!(
        follower.ended(),
        names(&[1, 3]),
        "nothing came up or ended for it"
    );
    assert_eq!(
        [1, 2, 3].map(|id| follower.state(id)),
        [Some(MemberState::Draining), Some(MemberState::Ready), None]
    );
}

#[test]
fn a_new_numbering_is_taken_from_a_whole_telling_alone() {
    let service = FakeJournal::start();
    let (follower, mut call) = watched(&service);
    let whole = hosts(1, true, &[member(2)]);
    let torn = [
        // Its first event, one within, or its last is missing; it has no whole list; it is out of order.
        feed(3, &[purge(2, 1), purge(3, 1)]),
        feed(3, &[whole.clone(), purge(3, 1)]),
        feed(3, &[whole.clone(), purge(2, 1)]),
        feed(2, &[hosts(1, false, &[member(2).now("gone")]), purge(2, 1)]),
        feed(2, &[purge(2, 1), whole.clone()]),
    ];
    for body in &torn {
        call.write(&answer(&feed(2, &[])));
        let mut recount = service.call();
        assert_eq!(recount.tail, 0);
        call.closed();
        recount.write(&answer(body));
        call = service.call();
        assert_eq!(call.tail, 4, "{body}");
        recount.closed();
    }
    // One that has nothing yet is asked again, from the first, and the list stays.
    call.write(&answer(&feed(0, &[])));
    let recount = service.call().answer(0, &[]);
    assert_eq!(recount.tail, 0);
    call.closed();
    let call = recount.answer(
        1,
        &[hosts(
            1,
            true,
            &[member(1).now("draining"), member(2), member(4)],
        )],
    );
    assert_eq!(call.tail, 1);
    tell_last(&follower, call, 2);
    assert_eq!(follower.ended(), names(&[1, 3]));
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
fn events_told_in_one_answer_are_one_list() {
    let service = FakeJournal::start();
    let (follower, call) = watched(&service);
    // The first comes back and drains once more, the second restarts, the third returns; all is told late, in one answer.
    let again = Line {
        since_ms: 1_764_576_000_000,
        ..member(2)
    };
    let events = [
        hosts(5, false, &[member(1)]),
        hosts(6, false, &[member(2).now("draining")]),
        hosts(
            7,
            false,
            &[member(1).now("draining"), member(2).now("gone")],
        ),
        hosts(8, false, &[again, member(3)]),
    ];
    let call = call.answer(8, &events);
    assert_eq!(call.tail, 8);
    tell_last(&follower, call, 9);
    assert_eq!(
        follower.ended(),
        names(&[1, 3, 2]),
        "the first was not ready in between, the second ended once"
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
fn a_whole_list_leaves_none_that_it_does_not_name() {
    let service = FakeJournal::start();
    let (follower, call) = watched(&service);
    let call = call.answer(5, &[hosts(5, true, &[member(1), member(4)])]);
    assert_eq!(call.tail, 5);
    // An older list told again under its own number, alone or before what follows, changes nothing.
    let call = call.answer(5, &history());
    assert_eq!(call.tail, 5);
    let call = call.answer(
        6,
        &[&history()[..], &[hosts(5, true, &[member(2)]), purge(6, 1)]].concat(),
    );
    assert_eq!(call.tail, 6);
    tell_last(&follower, call, 7);
    assert_eq!(follower.ended(), names(&[1, 3, 2]));
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
fn a_torn_answer_changes_nothing_and_is_asked_for_again() {
    let service = FakeJournal::start();
    let (follower, mut call) = watched(&service);
    let gone = |pos| hosts(pos, false, &[member(2).now("gone")]);
    let empty = hosts(5, true, &[]);
    let whole = answer(&feed(5, &[gone(5)]));
    let torn = [
        // Cut in the head, in the body, in a chunk; no JSON.
        whole[..20].to_string(),
        whole[..whole.len() - 3].to_string(),
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n10\r\n{\"pos\":5,".to_string(),
        answer(r#"{"pos":5,"entries":[{"pos":5,"hosts":"#),
        // Events are missing, first or last or within, or out of order.
        answer(&feed(6, &[gone(6)])),
        answer(&feed(5, &[])),
        answer(&feed(7, &[gone(5), purge(7, 1)])),
        answer(&feed(6, &[purge(6, 1), gone(5)])),
        answer(&feed(7, &[empty, purge(7, 1), purge(6, 1)])),
        // The service is not well.
        "HTTP/1.1 500 Not Well\r\nContent-Length: 0\r\n\r\n".to_string(),
    ];
    for text in &torn {
        call.write(text);
        call.end();
        call = service.call();
        assert_eq!(call.tail, 4, "{text}");
    }
    tell_last(&follower, call, 5);
    assert_eq!(follower.ended(), names(&[1, 3]));
    assert_eq!(
        [1, 2, 3].map(|id| follower.state(id)),
        [Some(MemberState::Draining), Some(MemberState::Ready), None]
    );
}

#[test]
fn an_answer_that_nobody_asked_for_is_none_to_the_next_call() {
    let service = FakeJournal::start();
    let (follower, mut call) = watched(&service);
    // Two answers to one call: the second is what a later call would read first. The connection is given up.
    let taken = answer(&feed(5, &[purge(5, 1)]));
    call.write(&(taken + &answer(&feed(6, &[hosts(6, false, &[member(2).now("gone")])]))));
    let next = service.call();
    assert_eq!(next.tail, 5);
    call.closed();
    tell_last(&follower, next, 6);
    assert_eq!(follower.state(2), Some(MemberState::Ready));
}
