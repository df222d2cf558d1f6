//! The encoding of messages between processes, and of what a replica persists, against fixtures.

#[path = "../../../tests/formats/postcard.rs"]
mod fixtures;

use foldmux_replicas::Peer;
use foldmux_takeover::{
    Answer, Attempt, AttemptOutcome, Ballot, Key, Message, PersistedEntry, Record, RecordWrite,
};
use foldmux_takeover::{Request, Verdict};
use std::sync::Arc;

const KEY: Key = Key(0x0102_0304_0506_0708_090a_0b0c_0d0e_0f10);

fn ballot(term: u64) -> Ballot {
    Ballot {
        term,
        owner: Peer::new("edge-1"),
        session: 1_764_576_000_480,
    }
}

fn request() -> Arc<Request> {
    Arc::new(Request {
        class: "mix-video".into(),
        object: 301,
        part: 302,
        group: 303,
        size: 304,
        token: Some("token".into()),
        got: Some("got".into()),
        body: Some([1, 2, 3][..].into()),
    })
}

fn attempts() -> Vec<Attempt> {
    let attempt = |number, outcome| Attempt {
        term: 401,
        number,
        group: 402,
        outcome,
        age: 403,
    };
    vec![
        attempt(1, None),
        attempt(2, Some(AttemptOutcome::NeverRan)),
        attempt(3, Some(AttemptOutcome::MayHaveRun)),
    ]
}

fn record(answer: Answer) -> Record {
    Record {
        ballot: ballot(501),
        version: 502,
        request: request(),
        time_left: 503,
        attempts: attempts(),
        answer: Some(answer),
    }
}

fn acquire_reply(verdict: Verdict, record: Option<Record>) -> Message {
    Message::AcquireReply {
        key: KEY,
        ballot: ballot(601),
        verdict,
        promised: ballot(602),
        record,
    }
}

/// The message's name in the fixtures. A new variant needs a name here and a fixture.
fn variant(message: &Message) -> &'static str {
    match message {
        Message::Acquire { .. } => "acquire",
        Message::AcquireReply { verdict, .. } => match verdict {
            Verdict::Granted => "acquire reply, granted",
            Verdict::Leased { .. } => "acquire reply, leased",
            Verdict::HigherTerm => "acquire reply, higher term promised",
            Verdict::Abstained => "acquire reply, abstained",
            Verdict::Full => "acquire reply, full",
            Verdict::Unknown => "acquire reply, unknown",
        },
        Message::Write { .. } => "write",
        Message::Renew { .. } => "renew",
        Message::WriteReply { .. } => "write reply",
        Message::Release { .. } => "release",
        Message::TakeOver { .. } => "take over",
        Message::Changed { .. } => "changed",
    }
}

fn messages() -> Vec<Message> {
    let write = RecordWrite {
        version: 701,
        request: Some(request()),
        time_left: 702,
        attempts: attempts(),
        answer: Some(Answer::Served([4, 5][..].into())),
    };
    vec![
        Message::Acquire {
            key: KEY,
            ballot: ballot(801),
            request: Some(request()),
            time_left: 802,
        },
        acquire_reply(
            Verdict::Granted,
            Some(record(Answer::Served([6, 7][..].into()))),
        ),
        acquire_reply(Verdict::Leased { time_left: 803 }, None),
        acquire_reply(Verdict::HigherTerm, None),
        acquire_reply(Verdict::Abstained, None),
        acquire_reply(Verdict::Full, None),
        acquire_reply(Verdict::Unknown, None),
        Message::Write {
            key: KEY,
            ballot: ballot(804),
            sent_at: 805,
            write,
        },
        Message::Renew {
            key: KEY,
            ballot: ballot(806),
            sent_at: 807,
        },
        Message::WriteReply {
            key: KEY,
            ballot: ballot(808),
            sent_at: 809,
            verdict: Verdict::Leased { time_left: 810 },
            version: 811,
        },
        Message::Release {
            key: KEY,
            ballot: ballot(812),
            abandoned: true,
        },
        Message::TakeOver { key: KEY },
        Message::Changed { key: KEY },
    ]
}

#[test]
fn the_encoding_of_messages_is_stable() {
    let named: Vec<_> = messages().into_iter().map(|m| (variant(&m), m)).collect();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/formats/messages.hex");
    fixtures::check(path, &named);
}

#[test]
fn the_encoding_of_persisted_entries_is_stable() {
    let entry = |released, abandoned, record| PersistedEntry {
        promised: ballot(901),
        released,
        abandoned,
        record,
        time_left: 902,
    };
    // A new variant of `Answer` needs a name here and a fixture.
    let named = |answer: Answer| {
        let name = match &answer {
            Answer::Served(_) => "served",
            Answer::NotModified => "not modified",
            Answer::Failed => "failed",
        };
        (name, entry(false, true, Some(record(answer))))
    };
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/formats/replicas.hex");
    fixtures::check(
        path,
        &[
            ("promise alone", entry(true, false, None)),
            named(Answer::Served([8, 9][..].into())),
            named(Answer::NotModified),
            named(Answer::Failed),
        ],
    );
}

#[test]
fn the_hash_of_a_key_is_stable() {
    let hash = Key::of("mix-video", "key-1").bytes();
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/formats/keys.hex");
    fixtures::check(path, &[("mix-video key-1", hash)]);
}
