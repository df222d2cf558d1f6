//! What a seat promised outlives its process: the next one of its name goes on with it, older by the time between.

mod common;

use common::{name, setup, Plan, MS};
use foldmux_replicas::{Effect, StateMachine};
use foldmux_takeover::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const KEY: Key = Key(7);
const AGAIN: Repeatability = Repeatability::Keyed {
    window: common::OWN_WINDOW,
};

fn seat(kept: BTreeMap<Key, PersistedEntry>, speaks_in: u64) -> Takeover {
    Takeover::recovered(
        0,
        setup(&Plan::new(1), 0, 1, false),
        speaks_in,
        kept.into_iter(),
    )
}

fn ballot(term: u64, owner: usize) -> Ballot {
    Ballot {
        term,
        owner: name(owner),
        session: owner as u64,
    }
}

fn heard(part: &mut Takeover, now: u64, from: usize, message: Message) -> Message {
    let mut out = Vec::new();
    part.on_message(now, &name(from), message, &mut out);
    let Some(Effect::Send { message, .. }) = out.into_iter().next() else {
        panic!("a seat replies")
    };
    message
}

fn claim(part: &mut Takeover, now: u64, ballot: Ballot) -> (Verdict, Option<Record>) {
    let work = common::host::request(1);
    let from = ballot.owner.as_str()[1..].parse().unwrap();
    let left = 1_000 * MS;
    match heard(
        part,
        now,
        from,
        Message::Acquire {
            key: KEY,
            ballot,
            request: Some(work),
            time_left: left,
        },
    ) {
        Message::AcquireReply {
            verdict, record, ..
        } => (verdict, record),
        other => panic!("{other:?}"),
    }
}

fn note(part: &mut Takeover, now: u64, answer: Option<Answer>) {
    let attempts = vec![Attempt {
        term: 1,
        number: 1,
        group: 3,
        outcome: None,
        age: 0,
    }];
    let version = 1 + u32::from(answer.is_some());
    let note = RecordWrite {
        version,
        request: None,
        time_left: 900 * MS,
        attempts,
        answer,
    };
    let said = heard(
        part,
        now,
        1,
        Message::Write {
            key: KEY,
            ballot: ballot(1, 1),
            sent_at: 0,
            write: note,
        },
    );
    assert!(
        matches!(
            said,
            Message::WriteReply {
                verdict: Verdict::Granted,
                ..
            }
        ),
        "{said:?}"
    );
}

/// What is on the file by now, as of `now`.
fn kept(part: &mut Takeover, now: u64) -> BTreeMap<Key, PersistedEntry> {
    part.take_changed(now).into_iter().collect()
}

#[test]
fn each_promise_is_to_be_kept_before_its_reply_and_nothing_else_is() {
    let mut part = seat(BTreeMap::new(), 0);
    claim(&mut part, 0, ballot(1, 1));
    assert_eq!(kept(&mut part, 0)[&KEY].promised, ballot(1, 1));
    note(&mut part, MS, None);
    assert_eq!(
        kept(&mut part, MS)[&KEY]
            .record
            .as_ref()
            .unwrap()
            .attempts
            .len(),
        1
    );
    // The same once more, and a renewal, change nothing.
    note(&mut part, 2 * MS, None);
    heard(
        &mut part,
        3 * MS,
        1,
        Message::Renew {
            key: KEY,
            ballot: ballot(1, 1),
            sent_at: 0,
        },
    );
    assert!(kept(&mut part, 3 * MS).is_empty());
    part.on_message(
        4 * MS,
        &name(1),
        Message::Release {
            key: KEY,
            ballot: ballot(1, 1),
            abandoned: false,
        },
        &mut Vec::new(),
    );
    assert!(kept(&mut part, 4 * MS)[&KEY].released);
}

#[test]
fn read_back_it_refuses_what_it_had_promised_away_and_gives_a_lease_in_full() {
    let mut part = seat(BTreeMap::new(), 0);
    claim(&mut part, 0, ballot(3, 1));
    note_under(&mut part, 3);
    let file = kept(&mut part, 10 * MS);
    let mut next = seat(file, 0);
    assert_eq!(claim(&mut next, MS, ballot(2, 2)).0, Verdict::HigherTerm);
    assert_eq!(
        claim(&mut next, MS, ballot(4, 2)).0,
        Verdict::Leased {
            time_left: 499 * MS
        }
    );
    let (verdict, record) = claim(&mut next, 500 * MS, ballot(5, 2));
    // Half a second older than as it was kept.
    assert_eq!(
        (verdict, record.unwrap().attempts[0].age),
        (Verdict::Granted, 500 * MS)
    );
}

fn note_under(part: &mut Takeover, term: u64) {
    let attempts = vec![Attempt {
        term,
        number: 1,
        group: 3,
        outcome: None,
        age: 0,
    }];
    let note = RecordWrite {
        version: 1,
        request: None,
        time_left: 900 * MS,
        attempts,
        answer: None,
    };
    heard(
        part,
        10 * MS,
        1,
        Message::Write {
            key: KEY,
            ballot: ballot(term, 1),
            sent_at: 0,
            write: note,
        },
    );
}

#[test]
fn a_final_answer_is_shown_by_the_next_process_until_it_would_have_been_forgotten() {
    let mut part = seat(BTreeMap::new(), 0);
    claim(&mut part, 0, ballot(1, 1));
    let answer = Answer::Served(Arc::from(*b"once"));
    note(&mut part, 0, Some(answer.clone()));
    let file = kept(&mut part, 0);
    let one = file[&KEY].clone();
    assert_eq!(one.clone().aged(one.time_left), None);
    let later: BTreeMap<Key, PersistedEntry> = [(KEY, one.aged(2_000 * MS).unwrap())].into();
    let record = claim(&mut seat(later, 0), 0, ballot(2, 2)).1.unwrap();
    assert_eq!(
        (record.answer.clone(), record.attempts[0].age),
        (Some(answer), 2_000 * MS)
    );
    assert!(matches!(record.proof(AGAIN), Proof::NotRepeatable));
}

#[test]
fn one_that_must_be_silent_is_so_also_when_it_was_started_again_and_one_that_is_mute_for_ever() {
    let mut part = seat(BTreeMap::new(), 700 * MS);
    assert_eq!(
        claim(&mut part, 699 * MS, ballot(1, 1)).0,
        Verdict::Abstained
    );
    assert_eq!(claim(&mut part, 700 * MS, ballot(1, 1)).0, Verdict::Granted);
    part.stop_voting();
    assert_eq!(
        claim(&mut part, 100_000 * MS, ballot(2, 1)).0,
        Verdict::Abstained
    );
    assert!(kept(&mut part, 100_000 * MS).is_empty());
}
