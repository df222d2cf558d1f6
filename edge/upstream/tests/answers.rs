//! Answers that are late, cut, spoilt or without end: each is bounded by the attempt's time and buffer, and its connection
//! is used no more.

mod common;

use common::*;
use foldmux::interface::Outcome;
use std::io::Write;
use std::net::{Shutdown, TcpStream};

/// The time of an attempt whose answer never comes (us): it ends by this and by nothing else.
const SHORT: u64 = 100_000;

/// How an attempt ends where the cache says `text` and then closes its side.
fn closed_after(rig: &Rig, text: &str) -> Outcome {
    let (outcome, brought, _) = rig.during(&rig.asked(), || {
        let stream = rig.accept();
        read_head(&stream);
        say(&stream, text);
        stream.shutdown(Shutdown::Write).unwrap();
        stream
    });
    assert_eq!(brought.is_some(), outcome == Outcome::Served, "{text}");
    outcome
}

/// How an attempt of little time ends where the cache says `text`, and then nothing.
fn silent_after(rig: &Rig, text: &str) -> Outcome {
    let mut asked = rig.asked();
    asked.fetch.timeout = SHORT;
    let (outcome, brought, _) = rig.during(&asked, || {
        let stream = rig.accept();
        read_head(&stream);
        say(&stream, text);
        // The attempt gives the connection up by itself.
        assert!(rest(&stream).is_empty());
    });
    assert_eq!(brought, None, "{text}");
    outcome
}

/// How an attempt ends where the cache says `first` and then `more` until it is not heard any more.
fn endless(rig: &Rig, first: &str, more: &str) -> Outcome {
    let (outcome, brought, _) = rig.during(&rig.asked(), || {
        let stream = rig.accept();
        read_head(&stream);
        say(&stream, first);
        while (&stream).write_all(more.as_bytes()).is_ok() {}
    });
    assert_eq!(brought, None, "{first}{more}");
    outcome
}

#[test]
fn an_answer_that_is_cut_is_none_wherever_it_is_cut() {
    let whole = ok("hello");
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n";
    for text in [whole.as_str(), chunked] {
        let rig = Rig::new();
        for length in [0, 1, 12, 20, text.len() - 7, text.len() - 2, text.len() - 1] {
            assert_eq!(
                closed_after(&rig, &text[..length]),
                Outcome::Reset,
                "{}",
                &text[..length]
            );
            assert_eq!(rig.upstream.pool.count(), (0, 0));
        }
        assert_eq!(closed_after(&rig, text), Outcome::Served);
    }
}

#[test]
fn a_cache_that_falls_silent_is_given_up_when_the_attempts_time_is_over() {
    let rig = Rig::new();
    let whole = ok("hello");
    let interim = "HTTP/1.1 100 Continue\r\n\r\n";
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n";
    let texts = [
        "",
        interim,
        "HTTP/1.1 103 Early Hints\r\n",
        &whole[..whole.len() - 1],
        chunked,
    ];
    for text in texts {
        assert_eq!(silent_after(&rig, text), Outcome::TimedOut, "{text}");
        assert_eq!(rig.upstream.pool.count(), (0, 0));
    }
}

#[test]
fn an_answer_without_end_ends_at_the_buffers() {
    let rig = Rig::new();
    let chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let pieces = [
        ("HTTP/1.1 200 OK\r\n", "X-More: 0123456789\r\n"),
        ("", "HTTP/1.1 100 Continue\r\n\r\n"),
        (chunked, "5\r\nhello\r\n"),
        (chunked, "0000000000"),
        (
            "HTTP/1.1 200 OK\r\nContent-Length: 99999999\r\n\r\n",
            "hello",
        ),
    ];
    for (first, more) in pieces {
        assert_eq!(endless(&rig, first, more), Outcome::Reset, "{first}{more}");
        assert_eq!(rig.upstream.pool.count(), (0, 0));
    }
}

#[test]
fn what_comes_behind_an_answer_spoils_its_connection_and_not_the_answer() {
    let rig = Rig::new();
    let (outcome, brought, _) = rig.during(&rig.asked(), || {
        let stream = rig.accept();
        read_head(&stream);
        say(&stream, &(ok("first") + &ok("second")));
        stream
    });
    assert_eq!((outcome, brought), (Outcome::Served, body("first")));
    assert_eq!(rig.upstream.pool.count(), (0, 0));
    // It comes while the connection is idle, at a server that has sent none before: one that has gets no second request there.
    let rig = Rig::new();
    let idle: TcpStream = rig.idle();
    arrive(&idle, &ok("second"));
    let (outcome, brought, _) = rig.during(&rig.asked(), || {
        let stream = rig.accept();
        read_head(&stream);
        say(&stream, &ok("own"));
        stream
    });
    assert_eq!((outcome, brought), (Outcome::Served, body("own")));
}

#[test]
fn only_a_cache_that_names_the_clients_copy_makes_it_current() {
    let rig = Rig::new();
    let ended = |got: Option<&str>, fields: &str| {
        let mut asked = rig.asked();
        asked.request.etag = got.map(str::to_string);
        let (outcome, brought, head) = rig.during(&asked, || {
            let stream = rig.accept();
            let head = read_head(&stream);
            say(
                &stream,
                &format!("HTTP/1.1 304 Not Modified\r\n{fields}Connection: close\r\n\r\n"),
            );
            head
        });
        assert_eq!(
            head.contains("If-None-Match: beef\r\n"),
            got.is_some(),
            "{head}"
        );
        (outcome, brought)
    };
    let same = (Outcome::Served, Some(Brought::Same));
    for fields in ["ETag: beef\r\nX-Born-Ms: 5\r\n", "etag: \"beef\"\r\n"] {
        assert_eq!(ended(Some("beef"), fields), same, "{fields}");
    }
    // It may have run; it proves nothing of the copy.
    for fields in [
        "",
        "ETag:\r\n",
        "ETag: bee\r\n",
        "ETag: W/\"beef\"\r\n",
        "ETag: beef\r\nETag: beef\r\n",
    ] {
        assert_eq!(
            ended(Some("beef"), fields),
            (Outcome::Error, None),
            "{fields}"
        );
    }
    assert_eq!(ended(None, "ETag: beef\r\n"), (Outcome::Error, None));
}
