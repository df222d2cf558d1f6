//! The bytes of the seat's file, against fixtures.

#[path = "../../../../tests/formats/bytes.rs"]
mod fixtures;

use super::*;
use foldmux_replicas::Peer;
use foldmux_takeover::{Answer, Attempt, AttemptOutcome, Ballot, Record, Request};

fn path(file: &str) -> String {
    format!(
        "{}/src/cover/log_formats/{file}",
        env!("CARGO_MANIFEST_DIR")
    )
}

fn written<T: Serialize>(entry: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    put(&mut bytes, entry).unwrap();
    bytes
}

fn read<T: for<'a> Deserialize<'a>>(mut bytes: &[u8]) -> T {
    let entry = next(&mut bytes).expect("an entry that is whole");
    assert!(bytes.is_empty(), "bytes behind the entry");
    entry
}

fn ballot(term: u64) -> Ballot {
    Ballot {
        term,
        owner: Peer::new("edge-1"),
        session: 301,
    }
}

fn record() -> Record {
    let work = Request {
        class: "mix-video".into(),
        object: 302,
        part: 303,
        group: 304,
        size: 305,
        token: Some("token".into()),
        got: Some("got".into()),
        body: Some([1, 2, 3][..].into()),
    };
    let attempt = Attempt {
        term: 306,
        number: 2,
        group: 307,
        outcome: Some(AttemptOutcome::MayHaveRun),
        age: 308,
    };
    Record {
        ballot: ballot(309),
        version: 310,
        request: work.into(),
        time_left: 311,
        attempts: vec![attempt],
        answer: Some(Answer::Served([4, 5][..].into())),
    }
}

fn kept(let_go: bool, record: Option<Record>) -> PersistedEntry {
    PersistedEntry {
        promised: ballot(312),
        released: let_go,
        abandoned: true,
        record,
        time_left: 313,
    }
}

#[test]
fn the_bytes_of_the_first_entry_stay() {
    let first = || Header {
        boot: "7c1e7a3c-0f5e-4f0e-9a52-1d2f3a4b5c6d\n".into(),
        fingerprint: "mark".into(),
        votes_at: 314,
    };
    let fields = |first: Header| (first.boot, first.fingerprint, first.votes_at);
    fixtures::check(
        &path("header.hex"),
        &[("header", fields(first()))],
        |(boot, fingerprint, votes_at)| {
            written(&Header {
                boot: boot.clone(),
                fingerprint: fingerprint.clone(),
                votes_at: *votes_at,
            })
        },
        |bytes| fields(read(bytes)),
    );
}

#[test]
fn the_bytes_of_replicas_entries_stay() {
    let entry = |let_go, record| (315_u64, Key(0x0102_0304), kept(let_go, record));
    fixtures::check(
        &path("replicas.hex"),
        &[
            ("promise alone", entry(true, None)),
            ("record", entry(false, Some(record()))),
        ],
        |(stamp, key, kept)| written(&(stamp, key, kept)),
        read,
    );
}

/// Entries as [`Log::add`] writes them, but for the stamp of the machine's time.
#[test]
fn a_log_writes_its_entries_in_this_form() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = Log::open(folder.path(), "mark", 0).unwrap().unwrap();
    log.append(&[(Key(1), kept(false, Some(record())))])
        .unwrap();
    let bytes = fs::read(folder.path().join("1.seat")).unwrap();
    let mut rest = &bytes[..];
    let first = next::<Header>(&mut rest).unwrap();
    let (stamp, key, one) = read::<(u64, Key, PersistedEntry)>(rest);
    assert!(first.fingerprint == "mark" && first.votes_at <= stamp && stamp <= time_since_boot());
    assert_eq!((key, &one), (Key(1), &kept(false, Some(record()))));
    let again = [written(&first), written(&(stamp, key, one))].concat();
    assert_eq!(again, bytes);
}
