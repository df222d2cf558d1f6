//! The front over real connections: placed, sent by a calling proxy, heard of; cancelled, flooded, drained, left.

use common::talk::{message, quick, response, Talk, LENGTH, PATH};
use common::{script, store, Instance, PATIENCE};
use foldmux_extproc::pb::{HttpBody, ProcessingRequest, Request};
use foldmux_extproc::{check, serve::block_on};
use foldmux_fakes::body;
use foldmux_fakes::caller::{self, Caller, Play, Point, Setup};
use foldmux_fakes::source::{Act, Source};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tonic::Code;

mod common;

#[test]
fn a_request_is_placed_sent_by_the_caller_and_heard_of() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let instance = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    let told = check::check(&instance.address.to_string(), "GET", PATH, &[]).unwrap();
    assert!(
        told.contains(&format!("x-foldmux-cache: {}", cache.address())),
        "{told}"
    );
    // What is told, but for what differs from run to run.
    let varies = [
        "x-foldmux-cache",
        "x-foldmux-attempt",
        "x-foldmux-good-until-ms",
        "via-id",
        "via-wait",
    ];
    let same = told.lines().map(|line| match line.trim().split_once(": ") {
        Some((name, _)) if varies.contains(&name) => format!("{name}: -\n"),
        _ => format!("{}\n", line.trim()),
    });
    insta::assert_snapshot!(same.collect::<String>());
    let caller = Caller::new(Setup::plain(vec![instance.address]));
    let server = caller.serve();
    for object in 0..20u64 {
        let path = foldmux_fakes::client::path("sheet", object, 0);
        let answer = foldmux_fakes::client::get(server.address, &path, "", PATIENCE).unwrap();
        assert_eq!(
            (answer.status, answer.body),
            (200, body(object, 0, 1, LENGTH))
        );
    }
    // The caches are asked in their own language; a client's own fields do not reach them.
    let forged = caller::Request {
        fields: [
            ("x-fill-from".to_string(), "evil".to_string()),
            ("via-token".to_string(), "t".to_string()),
        ]
        .into(),
        ..caller::Request::get("/cards/helsinki-blue")
    };
    assert_eq!(caller.ask(&forged).unwrap().status, 200);
    let log = cache.asked.log();
    let last = log.last().unwrap();
    assert!(
        last.class == "sheet" && !last.fields.contains_key("via-token"),
        "{last:?}"
    );
    assert!(
        last.field("x-fill-from").starts_with("s-")
            && last.field("via-wait").parse::<u64>().unwrap() > 1_000
    );
    assert_eq!(last.field("x-keep"), "1");
    assert_eq!(
        caller.counts.forbidden.load(Ordering::SeqCst),
        0,
        "a field that may not be set"
    );
    instance.settled();
}

#[test]
fn what_no_ask_matches_goes_on_or_is_refused_and_what_can_t_be_read_is_told() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let lax = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    let at = lax.address.to_string();
    assert_eq!(
        check::check(&at, "GET", "/elsewhere", &[]).unwrap(),
        "passed on unplaced\n"
    );
    let told = check::check(&at, "GET", "/v2/q/sheet/xyz/0", &[]).unwrap();
    assert!(
        told.starts_with("answered 400\n") && told.contains("nothing ran"),
        "{told}"
    );
    let folder = tempfile::tempdir().unwrap();
    let strict = script(", strict = True, name = \"south\"", "");
    let strict = Instance::start(
        &strict,
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    let told = check::check(&strict.address.to_string(), "GET", "/elsewhere", &[]).unwrap();
    assert!(
        told.starts_with("answered 404\n  proxy-status: south; error=destination_not_found"),
        "{told}"
    );
}

#[test]
fn messages_out_of_order_or_unknown_end_their_stream_with_a_clear_status_and_leak_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let instance = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    block_on(async {
        let wrong = [
            (
                message(Request::RequestBody(HttpBody::default())),
                "a request body without headers",
            ),
            (
                ProcessingRequest::default(),
                "a message of a kind that is not known",
            ),
            (check::asks("GET", PATH, &[]), "request headers twice"),
            (check::asks("GET", PATH, &[]), "request headers twice"),
        ];
        for (n, (message, why)) in wrong.into_iter().enumerate() {
            let mut talk = Talk::open(&instance).await;
            if n >= 2 {
                talk.ask(PATH).await;
            }
            talk.say(message).await;
            let status = talk.hear().await.unwrap_err();
            assert!(
                status.code() == Code::InvalidArgument && status.message().contains(why),
                "{status:?}"
            );
        }
        // Longer than any head: refused by the library, with a status of its own.
        let mut talk = Talk::open(&instance).await;
        talk.say(check::asks("GET", &"x".repeat(300_000), &[]))
            .await;
        assert_eq!(talk.hear().await.unwrap_err().code(), Code::OutOfRange);
    })
    .unwrap();
    instance.settled();
    assert_eq!(
        instance.serving.front.counts.faults.load(Ordering::SeqCst),
        4
    );
}

#[test]
fn a_caller_that_only_observes_gets_no_answers_and_nothing_is_placed() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let instance = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    block_on(async {
        let mut talk = Talk::open(&instance).await;
        for mut message in [check::asks("GET", PATH, &[]), response("200", true)] {
            message.observability_mode = true;
            talk.say(message).await;
        }
        drop(std::mem::replace(&mut talk.sender, mpsc::channel(1).0));
        assert!(
            talk.hear().await.unwrap().is_none(),
            "the stream ends without an answer"
        );
    })
    .unwrap();
    let counts = &instance.serving.front.counts;
    assert_eq!(
        (
            counts.observed.load(Ordering::SeqCst),
            counts.placed.load(Ordering::SeqCst)
        ),
        (2, 0)
    );
    instance.settled();
}

#[test]
fn a_caller_that_cancels_at_any_point_leaves_nothing_open() {
    let folder = tempfile::tempdir().unwrap();
    let cache = Source::start(|_| Act::give(LENGTH, Duration::from_millis(5)));
    let instance = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address(); 2],
        cache.address(),
    );
    let points = [
        Point::BeforeAnswer,
        Point::BetweenAnswerAndSend,
        Point::DuringSend,
        Point::AfterSend,
        Point::AfterResponseHeaders,
    ];
    for (n, point) in points.into_iter().enumerate() {
        let setup = Setup::plain(vec![instance.address]);
        let play = move |_, _| Play {
            leave: Some(point),
            ..Play::default()
        };
        let caller = Caller::new(Setup {
            play: Box::new(play),
            ..setup
        });
        for object in 0..25 {
            let key = format!("{n}-{object}");
            let keyed = caller::Request::keyed("/records/1", "idempotency-key", &key);
            assert!(
                caller.ask(&keyed).is_none() && caller.ask(&caller::Request::get(PATH)).is_none()
            );
        }
        assert_eq!(caller.counts.left.load(Ordering::SeqCst), 50);
        instance.settled();
    }
    // Those that came no further than the question can be asked again; what was told may be running.
    let caller = Caller::new(Setup::plain(vec![instance.address]));
    let told = caller
        .ask(&caller::Request::keyed(
            "/records/1",
            "idempotency-key",
            "1-0",
        ))
        .unwrap();
    assert_eq!(told.status, 503);
    assert!(
        told.field("proxy-status").contains("may have run")
            && told.fields.contains_key("retry-after"),
        "{told:?}"
    );
}

#[test]
fn the_module_s_next_way_is_the_caller_s_next_attempt() {
    let folder = tempfile::tempdir().unwrap();
    // Whichever is asked first refuses untouched; the other serves.
    let asked = Arc::new(AtomicU64::new(0));
    let refuses_once = |asked: Arc<AtomicU64>| {
        Source::start(move |_| match asked.fetch_add(1, Ordering::SeqCst) % 2 {
            0 => Act::Say {
                status: 404,
                fields: String::new(),
            },
            _ => Act::give(LENGTH, Duration::ZERO),
        })
    };
    let cache = refuses_once(asked.clone());
    let instance = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address(); 2],
        cache.address(),
    );
    let caller = Caller::new(Setup {
        retries: 0,
        ..Setup::plain(vec![instance.address])
    });
    for object in 0..10u64 {
        let path = foldmux_fakes::client::path("sheet", object, 0);
        let answer = caller.ask(&caller::Request::get(&path)).unwrap();
        assert!(matches!(answer.status, 200 | 503 | 504), "{answer:?}");
    }
    let again = caller.counts.again.load(Ordering::SeqCst);
    assert!(
        again > 0 && again == instance.serving.front.counts.again.load(Ordering::SeqCst),
        "{again}"
    );
    instance.settled();
}

#[test]
fn a_keyed_attempt_that_was_turned_away_is_the_caller_s_to_make_again_at_once() {
    let folder = tempfile::tempdir().unwrap();
    // Each key is turned away untouched by whichever cache comes first, and runs at the second attempt.
    let cache = Source::start(|ask| match ask.before.is_multiple_of(2) {
        true => Act::Say {
            status: 503,
            fields: "Srv-Untouched: 1\r\n".into(),
        },
        false => Act::give(LENGTH, Duration::ZERO),
    });
    // All four attempts of a key are needed: none may be lost to a busy machine.
    let calm = script(", patience_ms = 20000, message_timeout_ms = 20000", "");
    let instance = Instance::start(
        &calm,
        store(folder.path()),
        &[cache.address(); 2],
        cache.address(),
    );
    let setup = Setup {
        retries: 0,
        message: PATIENCE,
        heeds: false,
        ..Setup::plain(vec![instance.address])
    };
    let caller = Caller::new(setup);
    for n in 0..10 {
        let request = caller::Request::keyed("/records/1", "idempotency-key", &format!("u-{n}"));
        // Whoever comes a second time under the key, without its token, goes on by the ledger's count.
        for _ in 0..2 {
            let answer = caller.ask(&request).unwrap();
            assert!(matches!(answer.status, 200 | 503), "{answer:?}");
        }
    }
    let front = &instance.serving.front;
    let [placed, again] =
        [&front.counts.placed, &front.counts.again].map(|n| n.load(Ordering::SeqCst));
    assert!(again > 0, "{placed} {again}");
    // A way that was kept is the next attempt's: nothing is asked of the module twice for it.
    assert_eq!(caller.counts.again.load(Ordering::SeqCst), again);
    instance.settled();
}
