//! The tree changes while fills are under way: no circle, no loss, no copy from before a purge, and bounded state.

use common::{all, archive, load, no_node_twice, until, versioned, Rig, WIDE};
use foldmux_fakes::{body, unix_ms};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;

mod common;

const LENGTH: usize = 10_000;
const ARCHIVE_PAUSE: Duration = Duration::from_millis(15);

#[test]
fn two_hubs_turned_toward_each_other_lose_nothing_and_visit_none_twice() {
    // First east goes by south; then south by east. Each is told at another moment, so that for a while each takes
    // the other for its parent.
    let before: common::Wiring = &[("east", &["south", "archive"]), ("south", &["archive"])];
    let after: common::Wiring = &[("east", &["archive"]), ("south", &["east", "archive"])];
    let rig = Rig::new(archive(LENGTH, ARCHIVE_PAUSE), before, WIDE);
    let (over, served) = (AtomicBool::new(false), AtomicU64::new(0));
    all(33, |i| {
        if i == 32 {
            for epoch in 2..22u64 {
                let wiring = if epoch % 2 == 0 { after } else { before };
                let order = if epoch % 4 < 2 {
                    ["south", "east"]
                } else {
                    ["east", "south"]
                };
                rig.rewire(epoch, wiring, &order[..1]);
                let seen = served.load(Ordering::SeqCst);
                until("traffic meets the two trees", || {
                    served.load(Ordering::SeqCst) > seen + 60
                });
                rig.rewire(epoch, wiring, &order[1..]);
                let seen = served.load(Ordering::SeqCst);
                until("traffic meets the new tree", || {
                    served.load(Ordering::SeqCst) > seen + 30
                });
            }
            return over.store(true, Ordering::SeqCst);
        }
        let mut n = 0u64;
        while !over.load(Ordering::SeqCst) {
            // Two clients, at both hubs, want the same object at about the same time.
            let object = n * 16 + (i as u64 / 2);
            let answer = rig.get(["east", "south"][i % 2], object, "");
            assert_eq!(
                (answer.status, answer.body),
                (200, body(object, 0, 1, LENGTH)),
                "lost in the rewiring"
            );
            served.fetch_add(1, Ordering::SeqCst);
            n += 1;
        }
    });
    let log = rig.archive.asked.log();
    no_node_twice(&log);
    assert!(log
        .iter()
        .all(|a| a.field("cdn-loop").split(',').count() <= 2));
    // One fetch for each object, and one more at most for each of its two fills that were under way as the trees
    // differed.
    assert!(
        rig.archive.asked.most().0 <= 3,
        "{:?}",
        rig.archive.asked.most()
    );
    rig.settled();
    assert!(rig.hubs.iter().all(|hub| hub.hub.book.sizes()[0] <= 4));
}

#[test]
fn fills_that_would_wait_for_each_other_are_both_answered() {
    // Both are out before either arrives: each hub leads a fetch that goes to the other.
    let rig = Rig::new(
        archive(LENGTH, ARCHIVE_PAUSE),
        &[("east", &["south", "archive"]), ("south", &["archive"])],
        WIDE,
    );
    rig.rewire(
        2,
        &[("east", &["archive"]), ("south", &["east", "archive"])],
        &["south"],
    );
    for object in 0..60 {
        let answers = all(8, |i| rig.get(["east", "south"][i % 2], object, ""));
        assert!(answers
            .iter()
            .all(|a| a.status == 200 && a.body == body(object, 0, 1, LENGTH)));
        assert!(rig.archive.asked.of(object, 0) <= 2);
    }
    no_node_twice(&rig.archive.asked.log());
    assert!(
        rig.count("*", |t| load(&t.loops_avoided)) > 0,
        "the two trees never met"
    );
    rig.settled();
}

#[test]
fn a_loop_formed_halfway_through_a_purge_brings_back_no_older_copy() {
    let version = Arc::new(AtomicU64::new(1));
    let now = version.clone();
    let archive = versioned(now, LENGTH, Duration::from_millis(5));
    let (before, after): (common::Wiring, common::Wiring) = (
        &[("east", &["south", "archive"]), ("south", &["archive"])],
        &[("east", &["archive"]), ("south", &["east", "archive"])],
    );
    let rig = Rig::new(archive, before, WIDE);
    for object in 0..40 {
        rig.get("east", object, "");
    }
    // Both hold version 1. Half of the loop is there; the purge; the other half.
    rig.rewire(2, after, &["south"]);
    until("a moment passes", || {
        unix_ms() > rig.get("east", 0, "").born_ms() + 50
    });
    version.store(2, Ordering::SeqCst);
    let purged = unix_ms();
    let over = AtomicBool::new(false);
    all(17, |i| {
        if i == 16 {
            for epoch in 3..9u64 {
                let asked = rig.archive.asked.total();
                let told: &[&str] = if epoch % 2 == 0 {
                    &["south"]
                } else {
                    &["east"]
                };
                rig.rewire(epoch, if epoch % 2 == 0 { after } else { before }, told);
                until("fills go on", || {
                    rig.archive.asked.total() > asked || rig.archive.asked.most().1 >= 40
                });
            }
            return over.store(true, Ordering::SeqCst);
        }
        for round in 0..3 {
            for object in (0..40u64).filter(|o| o % 16 == i as u64) {
                // Who was told of the purge says how old a copy may be, as the edge proxies do.
                let age = (unix_ms() - purged).max(1);
                let answer = rig.get(
                    ["east", "south"][(i + round) % 2],
                    object,
                    &format!("X-Max-Age-Ms: {age}\r\n"),
                );
                assert_eq!(answer.status, 200);
                assert!(answer.born_ms() >= purged, "a copy from before the purge");
                assert_eq!(answer.body, body(object, 0, 2, LENGTH));
            }
        }
    });
    assert!(over.load(Ordering::SeqCst));
    rig.settled();
}

#[test]
fn rewired_ten_times_in_a_row_it_holds_bounded_state_and_lets_go_of_it() {
    let (a, b): (common::Wiring, common::Wiring) = (
        &[
            ("east", &["south", "archive"]),
            ("south", &["archive"]),
            ("north", &["archive"]),
        ],
        &[
            ("east", &["north", "archive"]),
            ("south", &["archive"]),
            ("north", &["archive"]),
        ],
    );
    let rig = Rig::new(archive(LENGTH, ARCHIVE_PAUSE), a, WIDE);
    let hub = &rig.hub("east").hub;
    for epoch in 2..12 {
        rig.rewire(
            epoch,
            if epoch % 2 == 0 { b } else { a },
            &["east", "south", "north"],
        );
        let answers = all(10, |i| rig.get("east", epoch * 100 + i as u64, ""));
        assert!(answers.iter().all(|answer| answer.status == 200));
        let [former, fetches, waits, sources] = hub.book.sizes();
        assert!(
            former <= 4 && fetches <= 10 && waits <= 10 && sources <= 4,
            "{:?}",
            hub.book.sizes()
        );
    }
    until("former trees are let go of", || hub.book.sizes()[0] == 0);
    rig.settled();
    // An older tree, and another under the same number, are refused with a reason and change nothing.
    let stamp = hub.book.stamp();
    let refused = |epoch, wiring| {
        let operator =
            foldmux_operator::script::evaluate("t.star", rig.script(epoch, wiring)).unwrap();
        hub.rewire(operator.hierarchy.unwrap()).unwrap_err()
    };
    assert!(
        refused(5, a).contains("older than epoch 11"),
        "{}",
        refused(5, a)
    );
    assert!(refused(11, b).contains("in service with another tree"));
    assert_eq!(hub.book.stamp(), stamp);
}

#[test]
fn after_a_rewiring_new_shields_fetch_from_the_former_ones_and_not_from_the_archive() {
    let names = ["east", "north", "south"];
    let before: common::Wiring = &[
        ("east", &["archive"]),
        ("north", &["archive"]),
        ("south", &["archive"]),
    ];
    let after: common::Wiring = &[
        ("east", &["archive"]),
        ("north", &["archive"]),
        ("south", &["north", "archive"]),
    ];
    let rig = Rig::new(archive(LENGTH, ARCHIVE_PAUSE), before, WIDE);
    for object in 0..30 {
        rig.get("east", object, "");
    }
    assert_eq!(rig.archive.asked.total(), 30);
    rig.rewire(2, after, &names);
    for object in 0..30 {
        // Each hub was told; what south shielded is with others now, who ask it first.
        assert_eq!(
            rig.get("north", object, "").body,
            body(object, 0, 1, LENGTH)
        );
    }
    assert_eq!(rig.archive.asked.most(), (1, 30));
}
