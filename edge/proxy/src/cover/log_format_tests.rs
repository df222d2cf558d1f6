//! The bytes of the replica's log file, against fixtures.

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

fn encoded<T: Serialize>(entry: &T) -> Vec<u8> {
    let mut bytes = Vec::new();
    encode_entry(&mut bytes, entry).unwrap();
    bytes
}

fn decoded<T: for<'a> Deserialize<'a>>(mut bytes: &[u8]) -> T {
    let entry = decode_entry(&mut bytes).expect("a complete entry");
    assert!(bytes.is_empty(), "bytes after the entry");
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
    let request = Request {
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
        request: request.into(),
        time_left: 311,
        attempts: vec![attempt],
        answer: Some(Answer::Served([4, 5][..].into())),
    }
}

fn entry(released: bool, record: Option<Record>) -> PersistedEntry {
    PersistedEntry {
        promised: ballot(312),
        released,
        abandoned: true,
        record,
        time_left: 313,
    }
}

#[test]
fn the_encoding_of_the_header_is_stable() {
    let header = || Header {
        boot: "7c1e7a3c-0f5e-4f0e-9a52-1d2f3a4b5c6d\n".into(),
        fingerprint: "mark".into(),
        votes_at: 314,
    };
    let fields = |header: Header| (header.boot, header.fingerprint, header.votes_at);
    fixtures::check(
        &path("header.hex"),
        &[("header", fields(header()))],
        |(boot, fingerprint, votes_at)| {
            encoded(&Header {
                boot: boot.clone(),
                fingerprint: fingerprint.clone(),
                votes_at: *votes_at,
            })
        },
        |bytes| fields(decoded(bytes)),
    );
}

#[test]
fn the_encoding_of_entries_is_stable() {
    let logged = |released, record| (315_u64, Key(0x0102_0304), entry(released, record));
    fixtures::check(
        &path("replicas.hex"),
        &[
            ("promise alone", logged(true, None)),
            ("record", logged(false, Some(record()))),
        ],
        |(written_at, key, entry)| encoded(&(written_at, key, entry)),
        decoded,
    );
}

/// The entries of a file that [`Log::append`] wrote, byte for byte; only their times vary.
#[test]
fn a_log_file_consists_of_entries_in_this_encoding() {
    let folder = tempfile::tempdir().unwrap();
    let (mut log, _) = Log::open(folder.path(), "mark", 0).unwrap().unwrap();
    log.append(&[(Key(1), entry(false, Some(record())))])
        .unwrap();
    let bytes = fs::read(folder.path().join("1.seat")).unwrap();
    let mut rest = &bytes[..];
    let header = decode_entry::<Header>(&mut rest).unwrap();
    let (written_at, key, logged) = decoded::<(u64, Key, PersistedEntry)>(rest);
    assert!(
        header.fingerprint == "mark"
            && header.votes_at <= written_at
            && written_at <= time_since_boot()
    );
    assert_eq!((key, &logged), (Key(1), &entry(false, Some(record()))));
    let encoded_again = [encoded(&header), encoded(&(written_at, key, logged))].concat();
    assert_eq!(encoded_again, bytes);
}
