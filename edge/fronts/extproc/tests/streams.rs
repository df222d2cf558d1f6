//! The front over real connections: placed, sent by a calling proxy, heard of; cancelled, flooded, drained, left.

use common::talk::{message, placed, quick, response, Talk, LENGTH, PATH};
use common::{line, script, store, until, Instance, PATIENCE};
use foldmux::interface::State;
use foldmux_extproc::pb::external_processor_client::ExternalProcessorClient;
use foldmux_extproc::pb::{HttpBody, ProcessingRequest, Request, Response};
use foldmux_extproc::{check, serve::block_on};
use foldmux_standins::caller::{self, Caller, Play, Point, Setup};
use foldmux_standins::source::{Act, Source};
use foldmux_standins::{body, unix_ms};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Code;

mod common;

#[test]
fn a_request_is_placed_sent_by_the_caller_and_heard_of() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let instance =
        Instance::start(&script("", ""), store(folder.path()), &[cache.address()], cache.address());
    let told = check::check(&instance.address.to_string(), "GET", PATH, &[]).unwrap();
    assert!(told.contains(&format!("x-foldmux-cache: {}", cache.address())), "{told}");
    // What is told, but for what differs from run to run.
    let varies = ["x-foldmux-cache", "x-foldmux-attempt", "x-foldmux-good-until-ms", "via-id", "via-wait"];
    let same = told.lines().map(|line| match line.trim().split_once(": ") {
        Some((name, _)) if varies.contains(&name) => format!("{name}: -\n"),
        _ => format!("{}\n", line.trim()),
    });
    insta::assert_snapshot!(same.collect::<String>());
    let caller = Caller::new(Setup::plain(vec![instance.address]));
    let server = caller.serve();
    for object in 0..20u64 {
        let path = foldmux_standins::client::path("sheet", object, 0);
        let answer = foldmux_standins::client::get(server.address, &path, "", PATIENCE).unwrap();
        assert_eq!((answer.status, answer.body), (200, body(object, 0, 1, LENGTH)));
    }
    // The caches are asked in their own language; a client's own fields do not reach them.
    let forged = caller::Request {
        fields: [("x-fill-from".to_string(), "evil".to_string()), ("via-token".to_string(), "t".to_string())]
            .into(),
        ..caller::Request::get("/cards/helsinki-blue")
    };
    assert_eq!(caller.ask(&forged).unwrap().status, 200);
    let log = cache.asked.log();
    let last = log.last().unwrap();
    assert!(last.class == "sheet" && !last.fields.contains_key("via-token"), "{last:?}");
    assert!(
        last.field("x-fill-from").starts_with("s-") && last.field("via-wait").parse::<u64>().unwrap() > 1_000
    );
    assert_eq!(last.field("x-keep"), "1");
    assert_eq!(caller.counts.forbidden.load(Ordering::SeqCst), 0, "a field that may not be set");
    instance.settled();
}

#[test]
fn what_no_ask_matches_goes_on_or_is_refused_and_what_can_t_be_read_is_told() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let lax = Instance::start(&script("", ""), store(folder.path()), &[cache.address()], cache.address());
    let at = lax.address.to_string();
    assert_eq!(check::check(&at, "GET", "/elsewhere", &[]).unwrap(), "passed on unplaced\n");
    let told = check::check(&at, "GET", "/v2/q/sheet/xyz/0", &[]).unwrap();
    assert!(told.starts_with("answered 400\n") && told.contains("nothing ran"), "{told}");
    let folder = tempfile::tempdir().unwrap();
    let strict = script(", strict = True, name = \"south\"", "");
    let strict = Instance::start(&strict, store(folder.path()), &[cache.address()], cache.address());
    let told = check::check(&strict.address.to_string(), "GET", "/elsewhere", &[]).unwrap();
    assert!(told.starts_with("answered 404\n  proxy-status: south; error=destination_not_found"), "{told}");
}

#[test]
fn messages_out_of_order_or_unknown_end_their_stream_with_a_clear_status_and_leak_nothing() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let instance =
        Instance::start(&script("", ""), store(folder.path()), &[cache.address()], cache.address());
    block_on(async {
        let wrong = [
            (message(Request::RequestBody(HttpBody::default())), "a request body without headers"),
            (ProcessingRequest::default(), "a message of a kind that is not known"),
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
            assert!(status.code() == Code::InvalidArgument && status.message().contains(why), "{status:?}");
        }
        // Longer than any head: refused by the library, with a status of its own.
        let mut talk = Talk::open(&instance).await;
        talk.say(check::asks("GET", &"x".repeat(300_000), &[])).await;
        assert_eq!(talk.hear().await.unwrap_err().code(), Code::OutOfRange);
    })
    .unwrap();
    instance.settled();
    assert_eq!(instance.serving.front.counts.faults.load(Ordering::SeqCst), 4);
}

#[test]
fn a_caller_that_only_observes_gets_no_answers_and_nothing_is_placed() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let instance =
        Instance::start(&script("", ""), store(folder.path()), &[cache.address()], cache.address());
    block_on(async {
        let mut talk = Talk::open(&instance).await;
        for mut message in [check::asks("GET", PATH, &[]), response("200", true)] {
            message.observability_mode = true;
            talk.say(message).await;
        }
        drop(std::mem::replace(&mut talk.sender, mpsc::channel(1).0));
        assert!(talk.hear().await.unwrap().is_none(), "the stream ends without an answer");
    })
    .unwrap();
    let counts = &instance.serving.front.counts;
    assert_eq!((counts.observed.load(Ordering::SeqCst), counts.placed.load(Ordering::SeqCst)), (2, 0));
    instance.settled();
}

#[test]
fn a_caller_that_cancels_at_any_point_leaves_nothing_open() {
    let folder = tempfile::tempdir().unwrap();
    let cache = Source::start(|_| Act::give(LENGTH, Duration::from_millis(5)));
    let instance =
        Instance::start(&script("", ""), store(folder.path()), &[cache.address(); 2], cache.address());
    let points = [
        Point::BeforeAnswer,
        Point::BetweenAnswerAndSend,
        Point::DuringSend,
        Point::AfterSend,
        Point::AfterResponseHeaders,
    ];
    for (n, point) in points.into_iter().enumerate() {
        let setup = Setup::plain(vec![instance.address]);
        let play = move |_, _| Play { leave: Some(point), ..Play::default() };
        let caller = Caller::new(Setup { play: Box::new(play), ..setup });
        for object in 0..25 {
            let key = format!("{n}-{object}");
            let keyed = caller::Request::keyed("/records/1", "idempotency-key", &key);
            assert!(caller.ask(&keyed).is_none() && caller.ask(&caller::Request::get(PATH)).is_none());
        }
        assert_eq!(caller.counts.left.load(Ordering::SeqCst), 50);
        instance.settled();
    }
    // Those that came no further than the question can be asked again; what was told may be running.
    let caller = Caller::new(Setup::plain(vec![instance.address]));
    let told = caller.ask(&caller::Request::keyed("/records/1", "idempotency-key", "1-0")).unwrap();
    assert_eq!(told.status, 503);
    assert!(
        told.field("proxy-status").contains("may have run") && told.fields.contains_key("retry-after"),
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
            0 => Act::Say { status: 404, fields: String::new() },
            _ => Act::give(LENGTH, Duration::ZERO),
        })
    };
    let cache = refuses_once(asked.clone());
    let instance =
        Instance::start(&script("", ""), store(folder.path()), &[cache.address(); 2], cache.address());
    let caller = Caller::new(Setup { retries: 0, ..Setup::plain(vec![instance.address]) });
    for object in 0..10u64 {
        let path = foldmux_standins::client::path("sheet", object, 0);
        let answer = caller.ask(&caller::Request::get(&path)).unwrap();
        assert!(matches!(answer.status, 200 | 503 | 504), "{answer:?}");
    }
    let again = caller.counts.again.load(Ordering::SeqCst);
    assert!(again > 0 && again == instance.serving.front.counts.again.load(Ordering::SeqCst), "{again}");
    instance.settled();
}

#[test]
fn a_keyed_attempt_that_was_turned_away_is_the_caller_s_to_make_again_at_once() {
    let folder = tempfile::tempdir().unwrap();
    // Each key is turned away untouched by whichever cache comes first, and runs at the second attempt.
    let cache = Source::start(|ask| match ask.before.is_multiple_of(2) {
        true => Act::Say { status: 503, fields: "Srv-Untouched: 1\r\n".into() },
        false => Act::give(LENGTH, Duration::ZERO),
    });
    // All four attempts of a key are needed: none may be lost to a busy machine.
    let calm = script(", patience_ms = 20000, message_timeout_ms = 20000", "");
    let instance = Instance::start(&calm, store(folder.path()), &[cache.address(); 2], cache.address());
    let setup = Setup { retries: 0, message: PATIENCE, heeds: false, ..Setup::plain(vec![instance.address]) };
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
    let [placed, again] = [&front.counts.placed, &front.counts.again].map(|n| n.load(Ordering::SeqCst));
    assert!(again > 0, "{placed} {again}");
    // A way that was kept is the next attempt's: nothing is asked of the module twice for it.
    assert_eq!(caller.counts.again.load(Ordering::SeqCst), again);
    instance.settled();
}

#[test]
fn a_placement_whose_cache_drains_is_not_sent_after_its_time() {
    let folder = tempfile::tempdir().unwrap();
    // The caches' own clock: when a request comes, against how long it was good; with a second for a busy machine, as
    // one that was sent after its time would come later than that.
    let late = Arc::new(AtomicU64::new(0));
    let (counted, newest) = (late.clone(), Arc::new(AtomicU64::new(0)));
    let seen = newest.clone();
    let cache = Source::start(move |ask| {
        let until = ask.field("x-foldmux-good-until-ms").parse::<u64>().unwrap();
        counted.fetch_add((unix_ms() > until + 1_000) as u64, Ordering::SeqCst);
        seen.fetch_max(until, Ordering::SeqCst);
        Act::give(LENGTH, Duration::ZERO)
    });
    let caches = [cache.address(); 2];
    let instance =
        Instance::start(&script(", good_for_ms = 100", ""), store(folder.path()), &caches, cache.address());
    // Each second attempt is sent at once, each other after the placement's time.
    let slow = |number: u64, attempt: u32| {
        let slow = (number + attempt as u64).is_multiple_of(2);
        Play { slow: Duration::from_millis(if slow { 1_500 } else { 0 }), ..Play::default() }
    };
    let caller = Caller::new(Setup { play: Box::new(slow), ..Setup::plain(vec![instance.address]) });
    for n in 0..4u32 {
        let request = caller::Request::keyed("/records/1", "idempotency-key", &format!("d-{n}"));
        let answer = caller.ask(&request).unwrap();
        assert!(matches!(answer.status, 200 | 503 | 504), "{answer:?}");
        // A cache that drains is named by no placement from then on.
        let state = if n % 2 == 0 { State::Draining } else { State::Ready };
        instance.tell(line(1, 0, 1, state, caches[0]));
    }
    assert!(caller.counts.stale.load(Ordering::SeqCst) >= 2);
    assert_eq!(late.load(Ordering::SeqCst), 0, "sent after its time");
    assert!(
        newest.load(Ordering::SeqCst) < unix_ms() + 100,
        "no placement is good for longer than it is said"
    );
    instance.settled();
}

#[test]
fn a_cache_that_drains_between_placement_and_send_is_named_no_more_and_its_placement_soon_void() {
    let folder = tempfile::tempdir().unwrap();
    let caches = [quick(), quick()];
    let places = [caches[0].address(), caches[1].address()];
    let instance = Instance::start(&script("", ""), store(folder.path()), &places, places[0]);
    block_on(async {
        let mut first = Talk::open(&instance).await;
        let response = first.ask(PATH).await;
        let cache = placed(&response, "x-foldmux-cache").unwrap();
        let good_until: u64 = placed(&response, "x-foldmux-good-until-ms").unwrap().parse().unwrap();
        let drained = places.iter().position(|at| at.to_string() == cache).unwrap();
        instance.tell(line(drained as u32 + 1, 0, drained as u16 + 1, State::Draining, places[drained]));
        let told = unix_ms();
        assert!(good_until <= told + 250, "void before the drain must be heeded");
        for _ in 0..20 {
            let mut next = Talk::open(&instance).await;
            assert_ne!(placed(&next.ask(PATH).await, "x-foldmux-cache").unwrap(), cache);
        }
    })
    .unwrap();
    instance.settled();
}

#[test]
fn the_check_waits_for_the_decision_of_a_front_that_asks_for_more_time() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let slow = script(", message_timeout_ms = 40, patience_ms = 300", "");
    let mut instance = Instance::idle(&slow, store(folder.path()), &[cache.address()], cache.address());
    let told = check::check(&instance.address.to_string(), "GET", PATH, &[]).unwrap();
    assert!(told.starts_with("answered 504"), "{told}");
    instance.run();
    instance.settled();
}

#[test]
fn a_slow_decision_asks_for_more_time_and_one_that_never_comes_is_given_up() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let slow = script(", message_timeout_ms = 40, patience_ms = 2000", "");
    let mut instance = Instance::idle(&slow, store(folder.path()), &[cache.address()], cache.address());
    block_on(async {
        let mut talk = Talk::open(&instance).await;
        talk.say(check::asks("GET", PATH, &[])).await;
        let first = talk.hear().await.unwrap().unwrap();
        assert!(first.response.is_none() && first.override_message_timeout.unwrap().seconds == 2);
        let Some(Response::ImmediateResponse(last)) = talk.hear().await.unwrap().unwrap().response else {
            panic!()
        };
        assert_eq!(last.status.unwrap().code, 504);
        let mut talk = Talk::open(&instance).await;
        talk.say(check::asks("GET", PATH, &[])).await;
        assert!(talk.hear().await.unwrap().unwrap().response.is_none());
        instance.run();
        let response = talk.hear().await.unwrap().unwrap().response.unwrap();
        assert!(placed(&response, "x-foldmux-cache").is_some());
    })
    .unwrap();
    instance.settled();
}

#[test]
fn streams_beyond_the_bound_are_answered_429_and_those_far_beyond_not_at_all() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let narrow = script(", streams = 3, connections = 8", "");
    let instance = Instance::start(&narrow, store(folder.path()), &[cache.address()], cache.address());
    block_on(async {
        let mut held = Vec::new();
        for _ in 0..3 {
            let mut talk = Talk::open(&instance).await;
            talk.ask(PATH).await;
            held.push(talk);
        }
        let mut over = Talk::open(&instance).await;
        let Response::ImmediateResponse(now) = over.ask(PATH).await else { panic!() };
        assert_eq!(now.status.unwrap().code, 429);
        for _ in 0..3 {
            held.push(Talk::open(&instance).await);
        }
        let status = Talk::open(&instance).await.hear().await.unwrap_err();
        assert_eq!(status.code(), Code::ResourceExhausted);
    })
    .unwrap();
    instance.settled();
}

#[test]
fn a_front_that_leaves_ends_its_streams_in_their_order_and_loses_no_placement() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let mut instance =
        Instance::start(&script("", ""), store(folder.path()), &[cache.address()], cache.address());
    let address = instance.address;
    let (ready, go) = std::sync::mpsc::channel();
    let open = {
        let at = address;
        std::thread::spawn(move || {
            block_on(async {
                let mut client = ExternalProcessorClient::connect(format!("http://{at}")).await.unwrap();
                let mut talks = Vec::new();
                for _ in 0..8 {
                    let mut talk = Talk::on(&mut client).await;
                    assert!(placed(&talk.ask(PATH).await, "x-foldmux-cache").is_some());
                    talks.push(talk);
                }
                ready.send(()).unwrap();
                // The front is told to leave meanwhile; its decisions stand, and their ends are heard.
                until("the front takes no more", || std::net::TcpStream::connect(at).is_err());
                for talk in &mut talks {
                    talk.say(response("200", true)).await;
                    assert!(matches!(
                        talk.hear().await.unwrap().unwrap().response,
                        Some(Response::ResponseHeaders(_))
                    ));
                    drop(std::mem::replace(&mut talk.sender, mpsc::channel(1).0));
                    assert!(talk.hear().await.unwrap().is_none());
                }
                // What comes on the old connection now is told to go elsewhere.
                let (_sender, messages) = mpsc::channel::<ProcessingRequest>(1);
                assert!(client.process(ReceiverStream::new(messages)).await.is_err());
            })
            .unwrap();
        })
    };
    go.recv_timeout(PATIENCE).unwrap();
    assert!(instance.serving.leave(PATIENCE), "all streams ended in their order");
    open.join().unwrap();
    let tally = instance.core.tally.line().unwrap();
    assert!(tally.contains("ok 8") && tally.contains("served 8") && !tally.contains("cancelled"), "{tally}");
    instance.settled();
}
