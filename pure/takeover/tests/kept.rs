//! What a replica promised outlives its process: the next process of its name recovers it, aged by the time between.

mod common;

use common::{name, setup, Plan, MS};
use foldmux_replicas::{Effect, StateMachine};
use foldmux_takeover::*;
use std::collections::BTreeMap;
use std::sync::Arc;

const KEY: Key = Key(7);
const KEYED: Repeatability = Repeatability::Keyed {
    window: common::REPEAT_WINDOW,
};

/// A process whose replica recovers these entries.
fn recovered(persisted: BTreeMap<Key, PersistedEntry>, votes_in: u64) -> Takeover {
    Takeover::recovered(
        0,
        setup(&Plan::new(1), 0, 1, false),
        votes_in,
        persisted.into_iter(),
    )
}

fn ballot(term: u64, owner: usize) -> Ballot {
    Ballot {
        term,
        owner: name(owner),
        session: owner as u64,
    }
}

/// The reply to a message.
fn reply_to(takeover: &mut Takeover, now: u64, from: usize, message: Message) -> Message {
    let mut effects = Vec::new();
    takeover.on_message(now, &name(from), message, &mut effects);
    let Some(Effect::Send { message, .. }) = effects.into_iter().next() else {
        panic!("the replica sent no reply")
    };
    message
}

fn acquire(takeover: &mut Takeover, now: u64, ballot: Ballot) -> (Verdict, Option<Record>) {
    let request = common::request_thread::request(1);
    let from = ballot.owner.as_str()[1..].parse().unwrap();
    let time_left = 1_000 * MS;
    match reply_to(
        takeover,
        now,
        from,
        Message::Acquire {
            key: KEY,
            ballot,
            request: Some(request),
            time_left,
        },
    ) {
        Message::AcquireReply {
            verdict, record, ..
        } => (verdict, record),
        other => panic!("{other:?}"),
    }
}

/// Writes a record with one attempt under term 1.
fn write(takeover: &mut Takeover, now: u64, answer: Option<Answer>) {
    let attempts = vec![Attempt {
        term: 1,
        number: 1,
        group: 3,
        outcome: None,
        age: 0,
    }];
    let version = 1 + u32::from(answer.is_some());
    let write = RecordWrite {
        version,
        request: None,
        time_left: 900 * MS,
        attempts,
        answer,
    };
    let reply = reply_to(
        takeover,
        now,
        1,
        Message::Write {
            key: KEY,
            ballot: ballot(1, 1),
            sent_at: 0,
            write,
        },
    );
    assert!(
        matches!(
            reply,
            Message::WriteReply {
                verdict: Verdict::Granted,
                ..
            }
        ),
        "{reply:?}"
    );
}

/// The entries that have to be persisted, as of `now`.
fn changed(takeover: &mut Takeover, now: u64) -> BTreeMap<Key, PersistedEntry> {
    takeover.take_changed(now).into_iter().collect()
}

#[test]
fn every_promise_has_to_be_persisted_and_nothing_else() {
    let mut takeover = recovered(BTreeMap::new(), 0);
    acquire(&mut takeover, 0, ballot(1, 1));
    assert_eq!(changed(&mut takeover, 0)[&KEY].promised, ballot(1, 1));
    write(&mut takeover, MS, None);
    assert_eq!(
        changed(&mut takeover, MS)[&KEY]
            .record
            .as_ref()
            .unwrap()
            .attempts
            .len(),
        1
    );
    // A duplicate write and a renewal change nothing.
    write(&mut takeover, 2 * MS, None);
    reply_to(
        &mut takeover,
        3 * MS,
        1,
        Message::Renew {
            key: KEY,
            ballot: ballot(1, 1),
            sent_at: 0,
        },
    );
    assert!(changed(&mut takeover, 3 * MS).is_empty());
    takeover.on_message(
        4 * MS,
        &name(1),
        Message::Release {
            key: KEY,
            ballot: ballot(1, 1),
            abandoned: false,
        },
        &mut Vec::new(),
    );
    assert!(changed(&mut takeover, 4 * MS)[&KEY].released);
}

#[test]
fn a_recovered_replica_keeps_its_promises_and_assumes_a_whole_lease() {
    let mut takeover = recovered(BTreeMap::new(), 0);
    acquire(&mut takeover, 0, ballot(3, 1));
    write_under(&mut takeover, 3);
    let persisted = changed(&mut takeover, 10 * MS);
    let mut next = recovered(persisted, 0);
    assert_eq!(acquire(&mut next, MS, ballot(2, 2)).0, Verdict::HigherTerm);
    assert_eq!(
        acquire(&mut next, MS, ballot(4, 2)).0,
        Verdict::Leased {
            time_left: 499 * MS
        }
    );
    let (verdict, record) = acquire(&mut next, 500 * MS, ballot(5, 2));
    // Half a second older than when it was persisted.
    assert_eq!(
        (verdict, record.unwrap().attempts[0].age),
        (Verdict::Granted, 500 * MS)
    );
}

/// Writes a record with one attempt under this term.
fn write_under(takeover: &mut Takeover, term: u64) {
    let attempts = vec![Attempt {
        term,
        number: 1,
        group: 3,
        outcome: None,
        age: 0,
    }];
    let write = RecordWrite {
        version: 1,
        request: None,
        time_left: 900 * MS,
        attempts,
        answer: None,
    };
    reply_to(
        takeover,
        10 * MS,
        1,
        Message::Write {
            key: KEY,
            ballot: ballot(term, 1),
            sent_at: 0,
            write,
        },
    );
}

#[test]
fn a_recovered_replica_shows_a_final_answer_until_it_is_forgotten() {
    let mut takeover = recovered(BTreeMap::new(), 0);
    acquire(&mut takeover, 0, ballot(1, 1));
    let answer = Answer::Served(Arc::from(*b"once"));
    write(&mut takeover, 0, Some(answer.clone()));
    let persisted = changed(&mut takeover, 0);
    let entry = persisted[&KEY].clone();
    assert_eq!(entry.clone().aged(entry.time_left), None);
    let later: BTreeMap<Key, PersistedEntry> = [(KEY, entry.aged(2_000 * MS).unwrap())].into();
    let record = acquire(&mut recovered(later, 0), 0, ballot(2, 2))
        .1
        .unwrap();
    assert_eq!(
        (record.answer.clone(), record.attempts[0].age),
        (Some(answer), 2_000 * MS)
    );
    assert!(matches!(record.proof(KEYED), Proof::NotRepeatable));
}

#[test]
fn a_recovered_replica_abstains_for_the_time_left_and_one_that_stopped_voting_for_ever() {
    let mut takeover = recovered(BTreeMap::new(), 700 * MS);
    assert_eq!(
        acquire(&mut takeover, 699 * MS, ballot(1, 1)).0,
        Verdict::Abstained
    );
    assert_eq!(
        acquire(&mut takeover, 700 * MS, ballot(1, 1)).0,
        Verdict::Granted
    );
    takeover.stop_voting();
    assert_eq!(
        acquire(&mut takeover, 100_000 * MS, ballot(2, 1)).0,
        Verdict::Abstained
    );
    assert!(changed(&mut takeover, 100_000 * MS).is_empty());
}
