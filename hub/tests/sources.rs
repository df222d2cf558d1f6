//! A source that is old, silent, cold, dead, in a loop or lies costs its own fills another source, and no more.

use common::{all, archive, load, no_node_twice, until, Rig, PATIENCE, WIDE};
use foldmux_fakes::client;
use foldmux_fakes::source::{Act, Bears, Source};
use foldmux_fakes::{body, unix_ms};
use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

mod common;

const LENGTH: usize = 10_000;
const ARCHIVE_PAUSE: Duration = Duration::from_millis(15);

#[test]
fn a_source_that_gives_an_older_copy_is_passed_over_and_not_blamed() {
    // A hub of another make that never heard of the purge stands between.
    let old = Source::start(|_| Act::Give {
        version: 1,
        length: LENGTH,
        born_ms: Some(1_000),
        after: Duration::ZERO,
        pieces: 1,
        between: Duration::ZERO,
    });
    let others = [("south", old.address())];
    let rig = Rig::with(
        archive(LENGTH, ARCHIVE_PAUSE),
        &[("east", &["south", "archive"]), ("south", &["archive"])],
        WIDE,
        &others,
    );
    for object in 0..6 {
        let answer = rig.get("east", object, "X-Max-Age-Ms: 5000\r\n");
        assert!(answer.status == 200 && answer.born_ms() > 1_000);
    }
    assert_eq!(
        (old.asked.total(), load(&rig.hub("east").hub.tally.too_old)),
        (6, 6)
    );
}

#[test]
fn a_silent_shield_is_gone_around_and_the_archive_still_asked_once() {
    let silent = Source::start(|_| Act::Silence(Duration::from_secs(60)));
    let names = ["east", "north", "south", "west"];
    let wiring: Vec<(&str, &[&str])> = names.iter().map(|n| (*n, &["archive"][..])).collect();
    // The lease is well over what a busy machine keeps a thread waiting: a live hub that stalls for a whole lease is
    // gone around too, and the archive is then rightly asked once more.
    let settings = WIDE.replace("lease_ms = 2000", "lease_ms = 1500");
    let rig = Rig::with(
        archive(LENGTH, ARCHIVE_PAUSE),
        &wiring,
        &settings,
        &[("west", silent.address())],
    );
    // Objects whose shield is the silent one, as the tree says.
    let operator = foldmux_operator::script::evaluate("t.star", rig.script(1, &wiring)).unwrap();
    let tree = operator.hierarchy.unwrap().tree;
    let shielded: Vec<u64> = (0..200)
        .filter(|o| &**tree.name(tree.shield(*o).unwrap()) == "west")
        .take(2)
        .collect();
    for object in shielded {
        let answers = all(60, |i| rig.get(names[i % 3], object, "Via-Wait: 20000\r\n"));
        assert!(answers
            .iter()
            .all(|a| a.status == 200 && a.body == body(object, 0, 1, LENGTH)));
        assert_eq!(rig.archive.asked.of(object, 0), 1, "still collapsed");
    }
    no_node_twice(&rig.archive.asked.log());
}

#[test]
fn a_cold_hub_is_not_pushed_over_by_callers_that_share_nothing() {
    // A hub that started just now, and says so; four hubs are turned to it at once, in a rewiring.
    let (since, began, full) = (unix_ms(), Instant::now(), 40.0);
    let names = ["a", "b", "c", "d"];
    let (over_ms, window_ms, breaks_at, from) = (4_000u64, 1_000u64, 2.0, 0.2);
    let bears = Bears::new(began, Duration::from_millis(window_ms), move |age| {
        let part = (from + (1.0 - from) * age.as_millis() as f64 / over_ms as f64).min(1.0);
        breaks_at * part * full * window_ms as f64 / 1e3
    });
    let own = bears.clone();
    let cold = Source::start(move |_| {
        own.or_fall(Act::Say {
            status: 404,
            fields: format!("Hub-Since: {since}\r\n"),
        })
    });
    let rule = format!(
        "\ncold_start(from_percent = {}, over_ms = {over_ms}, breaks_at = {breaks_at}, window_ms = {window_ms})",
        from * 100.0
    );
    let mut before: Vec<(&str, &[&str])> = names.iter().map(|n| (*n, &["archive"][..])).collect();
    before.push(("cold", &["archive"]));
    let mut after: Vec<(&str, &[&str])> = names
        .iter()
        .map(|n| (*n, &["cold", "archive"][..]))
        .collect();
    after.push(("cold", &["archive"]));
    let settings = format!("{WIDE}{rule}");
    let rig = Rig::with(
        archive(LENGTH, ARCHIVE_PAUSE),
        &before,
        &settings,
        &[("cold", cold.address())],
    );
    rig.rewire(2, &after, &names);
    let object = AtomicU64::new(0);
    // Until it is warm: from then on nothing holds its callers back.
    let end = began + Duration::from_millis(over_ms - 100);
    all(12, |i| {
        while Instant::now() < end {
            let status = rig
                .get(names[i % 4], object.fetch_add(1, Ordering::SeqCst), "")
                .status;
            assert!(status == 404 || status == 200);
        }
    });
    let (worst, fills) = (bears.worst(), cold.asked.total());
    assert!(
        worst <= 1.0,
        "{worst} of what it bears, {fills} fills: it fell over"
    );
    assert!(
        fills > 20 && rig.count("*", |t| load(&t.cold_held_back)) > 0,
        "{fills} fills"
    );
}

#[test]
fn a_node_that_strips_the_way_makes_no_endless_loop() {
    // A hub of another make that sends every fill back to where it came from, without its way or its tree.
    let back: Arc<std::sync::Mutex<HashMap<u64, std::net::SocketAddr>>> = Arc::default();
    let to = back.clone();
    let liar = Source::start(move |ask| {
        let at = *to.lock().unwrap().get(&0).unwrap();
        let answer = client::get(
            at,
            &client::path(&ask.class, ask.object, ask.part),
            "Via-Wait: 4000\r\n",
            PATIENCE,
        );
        match answer {
            Ok(a) if a.status == 200 => Act::give(a.body.len(), Duration::ZERO),
            _ => Act::Say {
                status: 502,
                fields: String::new(),
            },
        }
    });
    let others = [("south", liar.address())];
    let settings = WIDE.replace("lease_ms = 2000", "lease_ms = 100");
    let rig = Rig::with(
        archive(LENGTH, ARCHIVE_PAUSE),
        &[("east", &["south", "archive"]), ("south", &["archive"])],
        &settings,
        &others,
    );
    back.lock().unwrap().insert(0, rig.hub("east").address);
    for object in 0..4 {
        let answer = rig.get("east", object, "Via-Wait: 10000\r\n");
        assert_eq!(
            (answer.status, answer.body),
            (200, body(object, 0, 1, LENGTH))
        );
    }
    // Each fill went to the liar once at most, and its echo joined the fetch that was there.
    assert!(
        liar.asked.most().0 <= 1 && rig.archive.asked.most().0 == 1,
        "{:?}",
        liar.asked.most()
    );
    rig.settled();
}

#[test]
fn a_node_that_lies_about_the_way_costs_its_own_fill_a_source_and_no_more() {
    let rig = Rig::new(
        archive(LENGTH, ARCHIVE_PAUSE),
        &[("east", &["south", "archive"]), ("south", &["archive"])],
        WIDE,
    );
    // Somebody writes our name, with a tag that we did not make: no loop.
    let forged = "CDN-Loop: east.fill.example;m=0123456789abcdef, south.fill.example\r\n";
    let answer = rig.get("east", 1, forged);
    assert_eq!(
        (answer.status, load(&rig.hub("east").hub.tally.loops_found)),
        (200, 0)
    );
    assert!(
        rig.hub("south").hub.tally.asked.load(Ordering::SeqCst) == 0,
        "south is said to be on its way"
    );
    // The very entry that we made, sent back to us, is one; it is told apart from a fault, and nothing ran.
    rig.get("east", 2, "");
    let way = rig
        .archive
        .asked
        .log()
        .iter()
        .find(|a| a.object == 2)
        .unwrap()
        .field("cdn-loop")
        .to_string();
    let looped = rig.get("south", 2, &format!("CDN-Loop: {way}\r\n"));
    assert_eq!((looped.status, looped.untouched), (502, true));
    assert!(looped
        .field("proxy-status")
        .starts_with("south.fill.example; error=proxy_loop_detected"));
    assert_eq!(rig.archive.asked.of(2, 0), 1);
}

#[test]
fn a_source_that_finds_a_loop_is_left_for_the_other_and_not_blamed() {
    let fields =
        "Srv-Untouched: 1\r\nProxy-Status: south.fill.example; error=proxy_loop_detected\r\n";
    let looping = Source::start(move |_| Act::Say {
        status: 502,
        fields: fields.into(),
    });
    let others = [("south", looping.address())];
    let rig = Rig::with(
        archive(LENGTH, ARCHIVE_PAUSE),
        &[("east", &["south", "archive"]), ("south", &["archive"])],
        WIDE,
        &others,
    );
    for object in 0..8 {
        assert_eq!(rig.get("east", object, "").status, 200);
    }
    // Still asked first each time: a loop is no illness.
    assert_eq!(
        (
            looping.asked.total(),
            load(&rig.hub("east").hub.tally.loops_told)
        ),
        (8, 8)
    );
}

#[test]
fn a_hub_that_dies_in_the_middle_is_gone_around() {
    let rig = Rig::new(
        Source::start(|_| Act::give(LENGTH, Duration::from_millis(200))),
        &[
            ("east", &["south", "north", "archive"]),
            ("south", &["archive"]),
            ("north", &["archive"]),
        ],
        WIDE,
    );
    let answers = all(21, |i| {
        if i == 20 {
            until("fills are out", || rig.archive.asked.total() > 0);
            rig.hub("south").kill();
            return None;
        }
        Some(rig.get("east", i as u64 % 4, ""))
    });
    assert!(answers
        .into_iter()
        .flatten()
        .all(|a| a.status == 200 && a.body.len() == LENGTH));
    rig.settled();
}
