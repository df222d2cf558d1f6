//! What is no plain fill gets its proper answer: writes, partial and conditional reads, requests that can't be used.

use common::{all, archive, load, Rig, PATIENCE, THREE, WIDE};
use foldmux_fakes::body;
use foldmux_fakes::client::{self, Client};
use foldmux_fakes::source::{Act, Source};
use std::time::Duration;

mod common;

const LENGTH: usize = 40_000;

#[test]
fn writes_are_passed_on_one_by_one_and_never_a_second_way() {
    let archive = Source::start(|ask| match ask.object {
        1 => Act::give(3, Duration::from_millis(50)),
        2 => Act::Reset,
        _ => Act::Say {
            status: 503,
            fields: "Srv-Untouched: 1\r\n".into(),
        },
    });
    let rig = Rig::new(
        archive,
        &[("east", &["south", "archive"]), ("south", &["archive"])],
        WIDE,
    );
    let write = |object: u64, key: &str| {
        let client = Client::connect(rig.hub("east").address, PATIENCE).unwrap();
        let path = client::path("mix-record", object, 0);
        let head = format!(
            "GET {path} HTTP/1.1\r\nHost: x\r\nVia-Token: {key}\r\nContent-Length: 3\r\n\r\nink"
        );
        client.send(head.as_bytes()).unwrap();
        client.read(false).unwrap()
    };
    // Ten at once for one object are ten at the archive, with their keys and bodies.
    let answers = all(10, |i| write(1, &format!("key-{i}")));
    assert!(answers.iter().all(|a| a.status == 200 && a.body.len() == 3));
    let log = rig.archive.asked.log();
    let keys: std::collections::BTreeSet<&str> = log.iter().map(|a| a.field("via-token")).collect();
    assert_eq!((log.len(), keys.len()), (10, 10));
    assert!(log.iter().all(|a| a.body == b"ink"));
    // A break may have run: it is an error, and is sent once. A refusal proves that it did not.
    let broken = write(2, "k");
    assert_eq!(
        (broken.status, broken.untouched, rig.archive.asked.of(2, 0)),
        (500, false, 1)
    );
    let refused = write(3, "k");
    assert_eq!(
        (
            refused.status,
            refused.untouched,
            rig.archive.asked.of(3, 0)
        ),
        (503, true, 1)
    );
    // Its hub is gone: refused untouched, and not sent by the other way that reads would take.
    rig.hub("south").kill();
    let asked = rig.archive.asked.total();
    let unreached = write(1, "k");
    assert!(
        unreached.status >= 500 && rig.archive.asked.total() == asked,
        "{}",
        unreached.status
    );
}

#[test]
fn head_range_and_conditions_get_their_proper_answers() {
    let rig = Rig::new(archive(LENGTH, Duration::ZERO), &THREE[..1], WIDE);
    let whole = body(6, 0, 1, LENGTH);
    for held in [false, true] {
        let part = rig.get("east", 6, "Range: bytes=100-199\r\n");
        assert_eq!(
            (part.status, part.body.as_slice()),
            (206, &whole[100..200]),
            "held: {held}"
        );
        assert_eq!(
            part.field("content-range"),
            format!("bytes 100-199/{LENGTH}")
        );
    }
    let tag = rig.get("east", 6, "").field("etag").to_string();
    assert_eq!(
        rig.get("east", 6, &format!("If-None-Match: {tag}\r\n"))
            .status,
        304
    );
    let beyond = rig.get("east", 6, "Range: bytes=900000-\r\n");
    assert_eq!(
        (beyond.status, beyond.field("content-range")),
        (416, format!("bytes */{LENGTH}").as_str())
    );
    let client = Client::connect(rig.hub("east").address, PATIENCE).unwrap();
    client
        .send(
            format!(
                "HEAD {} HTTP/1.1\r\nHost: x\r\n\r\n",
                client::path("sheet", 8, 0)
            )
            .as_bytes(),
        )
        .unwrap();
    let head = client.read(true).unwrap();
    assert_eq!((head.status, head.length), (200, LENGTH));
    // The connection goes on: nothing of a body was sent.
    assert_eq!(
        client.get(&client::path("sheet", 6, 0), "").unwrap().body,
        whole
    );
    // Only what is held, where no more is asked for.
    assert_eq!(rig.get("east", 999, "X-Flags: shallow\r\n").status, 404);
    assert_eq!(rig.archive.asked.of(999, 0), 0);
}

#[test]
fn what_cannot_be_used_is_one_clear_error_and_the_hub_goes_on() {
    let rig = Rig::new(archive(LENGTH, Duration::ZERO), &THREE[..1], WIDE);
    let path = client::path("sheet", 1, 0);
    let sheet = format!("GET {path} HTTP/1.1\r\nHost: x\r\n");
    for (bytes, status) in [
        (
            format!("POST {path} HTTP/1.1\r\nHost: x\r\nContent-Length: 0\r\n\r\n"),
            405,
        ),
        (
            "GET /elsewhere HTTP/1.1\r\nHost: x\r\n\r\n".to_string(),
            400,
        ),
        (format!("{sheet}Via-Wait: soon\r\n\r\n"), 400),
        (format!("{sheet}Content-Length: 60000000\r\n\r\n"), 413),
        (
            format!("{sheet}Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
            411,
        ),
        (
            format!("{sheet}CDN-Loop: {}\r\n\r\n", "x".repeat(60_000)),
            431,
        ),
        (format!("{sheet}CDN-Loop: a b\r\n\r\n"), 400),
        (
            format!("{sheet}CDN-Loop: {}\r\n\r\n", vec!["a"; 13].join(", ")),
            502,
        ),
        ("\u{16}\u{3}\u{1} nonsense\r\n\r\n".to_string(), 400),
    ] {
        let client = Client::connect(rig.hub("east").address, PATIENCE).unwrap();
        let _ = client.send(bytes.as_bytes());
        let answer = client
            .read(false)
            .unwrap_or_else(|e| panic!("{e:?}: {}", &bytes[..60.min(bytes.len())]));
        assert_eq!(answer.status, status, "{}", &bytes[..80.min(bytes.len())]);
    }
    assert_eq!(rig.get("east", 1, "").status, 200);
    assert_eq!(load(&rig.hub("east").hub.tally.malformed), 8);
    rig.settled();
}

#[test]
fn what_the_archive_lacks_or_oversizes_is_told_and_not_kept() {
    let archive = Source::start(|ask| match ask.object {
        1 => Act::Say {
            status: 404,
            fields: String::new(),
        },
        2 => Act::give(3_000_000, Duration::ZERO),
        _ => Act::Say {
            status: 200,
            fields: "ETag: x\r\n".into(),
        },
    });
    let rig = Rig::new(archive, &THREE[..1], WIDE);
    assert_eq!(
        [rig.get("east", 1, "").status, rig.get("east", 1, "").status],
        [404, 404]
    );
    assert_eq!(rig.archive.asked.of(1, 0), 2);
    // Too large; without the time of its birth.
    assert_eq!(
        [rig.get("east", 2, "").status, rig.get("east", 3, "").status],
        [502, 502]
    );
    rig.settled();
}
