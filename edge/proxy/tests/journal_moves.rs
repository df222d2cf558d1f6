//! The journal service moves to another address while an answer of the old one is on its way.

use fake_journal::*;
use journal_follower::JournalFollower;
use std::net::SocketAddr;

mod common;
#[path = "common/fake_journal.rs"]
mod fake_journal;
#[path = "common/journal_follower.rs"]
mod journal_follower;

/// Members of an answer that takes some milliseconds to be decoded, close under the longest answer.
const MANY: u32 = 6_000;
/// How often the move is tried in the middle of the decoding.
const ROUNDS: usize = 20;

fn member(id: u32) -> Line {
    Line::pop_cache(id, SocketAddr::from(([127, 0, 0, 1], 7_000)))
}

/// What the old address tells has been taken by the time the move returns, or never is.
#[test]
fn an_answer_of_the_old_address_that_is_read_as_the_service_moves_is_not_taken_after_the_move() {
    let many: Vec<Line> = (1..=MANY).map(member).collect();
    let old_answer = answer(&feed(1, &[hosts(1, true, &many)]));
    assert!(
        old_answer.len() > 700 * 1024 && old_answer.len() < 1024 * 1024,
        "{}",
        old_answer.len()
    );
    for round in 0..ROUNDS {
        let (old, new) = (FakeJournal::start(), FakeJournal::start());
        let follower = JournalFollower::start(old.address(), &feed(0, &[]));
        let mut call = old.call();
        assert_eq!(call.tail, 0);
        call.write(&old_answer);
        follower.service.move_to(Some(new.address()));
        let taken = follower.is_listed() as u64;
        let moved = new.call();
        assert_eq!(
            moved.tail, taken,
            "round {round}: an answer of the old address won after the move"
        );
        // What is told at the new address follows on what was taken.
        let list = hosts(taken + 1, true, &[member(MANY + 1)]);
        assert_eq!(moved.answer(taken + 1, &[list]).tail, taken + 1);
        follower.knows(MANY + 1);
        assert_eq!(follower.state(1), None);
    }
}

/// The same with the program and SIGHUP: the old address holds half an answer back until the move is logged.
#[test]
fn an_answer_of_the_old_address_that_ends_after_sighup_is_not_taken() {
    let (old, new) = (FakeJournal::start(), FakeJournal::start());
    let known = feed(1, &[hosts(1, true, &[member(1)])]);
    let (program, _) = common::start(&config(old.address(), common::SETTINGS, &known));
    let mut call = old.call();
    let text = answer(&feed(2, &[hosts(2, true, &[])]));
    call.write(&text[..text.len() - 1]);
    let moved = config(new.address(), common::SETTINGS, &known);
    let said = program.reload(&moved);
    assert!(
        said.contains(&format!("the journal service is at {}", new.address())),
        "{said}"
    );
    let mut socket = call.socket();
    let _ = std::io::Write::write_all(&mut socket, &text.as_bytes()[text.len() - 1..]);
    call.closed();
    let next = new.call();
    assert_eq!(next.tail, 1);
    assert_eq!(next.answer(2, &[purge(2, 1)]).tail, 2);
}
