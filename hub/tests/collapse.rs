//! Misses for one part are one fetch, whatever becomes of that fetch.

use common::{all, archive, until, Rig, PATIENCE, THREE, WIDE};
use foldmux_fakes::body;
use foldmux_fakes::client::{self, Client};
use foldmux_fakes::source::{Act, Source};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod common;

const LENGTH: usize = 40_000;

#[test]
fn a_herd_of_500_for_one_object_at_three_hubs_is_one_archive_fetch() {
    let rig = Rig::new(archive(LENGTH, Duration::from_millis(150)), THREE, WIDE);
    let answers = all(500, |i| rig.get(["east", "north", "south"][i % 3], 77, ""));
    assert!(answers
        .iter()
        .all(|a| a.status == 200 && a.body == body(77, 0, 1, LENGTH)));
    assert_eq!(rig.archive.asked.of(77, 0), 1);
    rig.settled();
}

#[test]
fn five_hundred_objects_do_not_hold_each_other_up() {
    // One object in fifty comes only once all the others were served.
    let stuck = |object: u64| object.is_multiple_of(50);
    let served = Arc::new(AtomicU64::new(0));
    let others = served.clone();
    let archive = Source::start(move |ask| {
        if stuck(ask.object) {
            until("the others are served", || {
                others.load(Ordering::SeqCst) == 490
            });
        }
        Act::give(LENGTH, Duration::from_millis(20))
    });
    let rig = Rig::new(
        archive,
        THREE,
        &WIDE.replace("lease_ms = 2000", "lease_ms = 25000"),
    );
    all(500, |i| {
        let answer = rig.get(["east", "north", "south"][i % 3], i as u64, "");
        assert_eq!((answer.status, answer.body.len()), (200, LENGTH));
        served.fetch_add(!stuck(i as u64) as u64, Ordering::SeqCst);
    });
    assert_eq!(
        (rig.archive.asked.total(), rig.archive.asked.most().0),
        (500, 1)
    );
    rig.settled();
}

/// The archive fails the first fetch as told, then gives; all who wait must go on with one new fetch.
fn first_fails(how: Act, lease_ms: u64) {
    let archive = Source::start(move |ask| match ask.before {
        0 => how.clone(),
        _ => Act::give(LENGTH, Duration::from_millis(100)),
    });
    let settings = WIDE.replace("2000, wait", &format!("{lease_ms}, wait"));
    let rig = Rig::new(archive, &THREE[..1], &settings);
    let answers = all(40, |_| rig.get("east", 5, ""));
    assert!(answers
        .iter()
        .all(|a| a.status == 200 && a.body == body(5, 0, 1, LENGTH)));
    assert_eq!(
        rig.archive.asked.of(5, 0),
        2,
        "one new fetch for all, not one each"
    );
    rig.settled();
}

#[test]
fn a_leader_that_is_reset_is_followed_by_one_fetch() {
    first_fails(Act::Reset, 2_000);
}

#[test]
fn a_leader_that_breaks_off_in_the_middle_goes_on_where_it_stopped() {
    first_fails(
        Act::Cut {
            version: 1,
            length: LENGTH,
            bytes: 13_000,
        },
        2_000,
    );
}

#[test]
fn a_leader_that_stalls_is_followed_by_one_fetch() {
    first_fails(Act::Silence(Duration::from_secs(20)), 300);
}

#[test]
fn a_copy_that_changes_in_the_middle_reaches_nobody_mixed() {
    let archive = Source::start(|ask| match ask.before {
        0 => Act::Cut {
            version: 1,
            length: LENGTH,
            bytes: 20_000,
        },
        _ => Act::Give {
            version: 2,
            length: LENGTH,
            born_ms: None,
            after: Duration::from_millis(100),
            pieces: 4,
            between: Duration::from_millis(5),
        },
    });
    let rig = Rig::new(archive, &THREE[..1], WIDE);
    let answers = all(20, |_| {
        client::get(
            rig.hub("east").address,
            &client::path("sheet", 5, 0),
            "",
            PATIENCE,
        )
    });
    // Whole in one version, or visibly broken off.
    assert!(answers
        .iter()
        .flatten()
        .all(|a| a.status == 200 && a.body == body(5, 0, 2, LENGTH)));
    assert_eq!(rig.get("east", 5, "").body, body(5, 0, 2, LENGTH));
}

#[test]
fn the_leaders_client_leaves_and_the_others_are_served_by_the_same_fetch() {
    let rig = Rig::new(
        archive(LENGTH, Duration::from_millis(400)),
        &THREE[..1],
        WIDE,
    );
    let at = rig.hub("east").address;
    let leader = Client::connect(at, PATIENCE).unwrap();
    leader
        .send(
            format!(
                "GET {} HTTP/1.1\r\nHost: x\r\n\r\n",
                client::path("sheet", 9, 0)
            )
            .as_bytes(),
        )
        .unwrap();
    until("the fetch is out", || rig.archive.asked.of(9, 0) == 1);
    let answers = all(11, |i| {
        if i == 0 {
            until("the others wait", || {
                rig.hub("east").hub.book.sizes()[2] >= 11
            });
            drop(Client::connect(at, PATIENCE));
            return None;
        }
        Some(rig.get("east", 9, ""))
    });
    drop(leader);
    assert!(answers
        .into_iter()
        .flatten()
        .all(|a| a.body == body(9, 0, 1, LENGTH)));
    assert_eq!(rig.archive.asked.of(9, 0), 1);
    rig.settled();
}

#[test]
fn a_fetch_that_nobody_waits_for_is_called_off() {
    let rig = Rig::new(
        Source::start(|_| Act::Silence(Duration::from_secs(60))),
        &THREE[..1],
        WIDE,
    );
    let lone = Client::connect(rig.hub("east").address, PATIENCE).unwrap();
    lone.send(
        format!(
            "GET {} HTTP/1.1\r\nHost: x\r\n\r\n",
            client::path("sheet", 9, 0)
        )
        .as_bytes(),
    )
    .unwrap();
    until("the fetch is out", || rig.archive.asked.of(9, 0) == 1);
    drop(lone);
    rig.settled();
    until("its connection is closed", || {
        rig.archive.server.open() == 0
    });
}

#[test]
fn none_waits_past_its_own_deadline() {
    let rig = Rig::new(
        Source::start(|_| Act::Silence(Duration::from_secs(60))),
        &THREE[..1],
        WIDE,
    );
    let waits = [200u64, 600, 1_000];
    let late = all(waits.len(), |i| {
        let asked = Instant::now();
        let answer = rig.get("east", 9, &format!("Via-Wait: {}\r\n", waits[i]));
        // Earlier than the next one's time: it did not wait for theirs.
        (
            answer.status,
            answer
                .field("proxy-status")
                .contains("http_response_timeout"),
            asked.elapsed(),
        )
    });
    assert!(late.iter().all(|l| l.0 == 504 && l.1), "{late:?}");
    assert!(late[0].2 < late[1].2 && late[1].2 < late[2].2, "{late:?}");
    rig.settled();
}

#[test]
fn when_all_places_are_taken_it_is_refused_at_once_and_untouched() {
    let settings = "relay(fetches = 1, waits = 2, lease_ms = 20000, wait_ms = 20000)";
    let open = Arc::new(AtomicBool::new(false));
    let told = open.clone();
    let archive = Source::start(move |_| {
        while !told.load(Ordering::SeqCst) {
            std::thread::sleep(Duration::from_millis(2));
        }
        Act::give(10, Duration::ZERO)
    });
    let rig = Rig::new(archive, &THREE[..1], settings);
    let answers = all(3, |i| match i {
        0 => rig.get("east", 1, ""),
        1 => {
            until("the fetch is out", || rig.archive.asked.total() == 1);
            rig.get("east", 1, "")
        }
        _ => {
            until("both wait", || rig.hub("east").hub.book.sizes()[2] == 2);
            let refused = [rig.get("east", 1, ""), rig.get("east", 2, "")];
            open.store(true, Ordering::SeqCst);
            assert!(refused
                .iter()
                .all(|r| r.status == 503 && r.untouched && r.field("retry-after") == "1"));
            refused[0].clone()
        }
    });
    assert_eq!([answers[0].status, answers[1].status], [200, 200]);
    rig.settled();
}
