//! The front over real connections: caches that drain under a placement, decisions that take long, and the process that
//! leaves with streams open.

use common::talk::{placed, quick, response, Talk, LENGTH, PATH};
use common::{line, script, store, until, Instance, PATIENCE};
use foldmux::interface::MemberState;
use foldmux_extproc::pb::external_processor_client::ExternalProcessorClient;
use foldmux_extproc::pb::{ProcessingRequest, Response};
use foldmux_extproc::{check, serve::block_on};
use foldmux_fakes::caller::{self, Caller, Play, Setup};
use foldmux_fakes::source::{Act, Source};
use foldmux_fakes::unix_ms;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio_stream::wrappers::ReceiverStream;
use tonic::Code;

mod common;

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
    let instance = Instance::start(
        &script(", good_for_ms = 100", ""),
        store(folder.path()),
        &caches,
        cache.address(),
    );
    // Each second attempt is sent at once, each other after the placement's time.
    let slow = |number: u64, attempt: u32| {
        let slow = (number + attempt as u64).is_multiple_of(2);
        Play {
            slow: Duration::from_millis(if slow { 1_500 } else { 0 }),
            ..Play::default()
        }
    };
    let caller = Caller::new(Setup {
        play: Box::new(slow),
        ..Setup::plain(vec![instance.address])
    });
    for n in 0..4u32 {
        let request = caller::Request::keyed("/records/1", "idempotency-key", &format!("d-{n}"));
        let answer = caller.ask(&request).unwrap();
        assert!(matches!(answer.status, 200 | 503 | 504), "{answer:?}");
        // A cache that drains is named by no placement from then on.
        let state = if n % 2 == 0 {
            MemberState::Draining
        } else {
            MemberState::Ready
        };
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
        let good_until: u64 = placed(&response, "x-foldmux-good-until-ms")
            .unwrap()
            .parse()
            .unwrap();
        let drained = places
            .iter()
            .position(|at| at.to_string() == cache)
            .unwrap();
        instance.tell(line(
            drained as u32 + 1,
            0,
            drained as u16 + 1,
            MemberState::Draining,
            places[drained],
        ));
        let told = unix_ms();
        assert!(
            good_until <= told + 250,
            "void before the drain must be heeded"
        );
        for _ in 0..20 {
            let mut next = Talk::open(&instance).await;
            assert_ne!(
                placed(&next.ask(PATH).await, "x-foldmux-cache").unwrap(),
                cache
            );
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
    let mut instance = Instance::idle(
        &slow,
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
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
    let mut instance = Instance::idle(
        &slow,
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    block_on(async {
        let mut talk = Talk::open(&instance).await;
        talk.say(check::asks("GET", PATH, &[])).await;
        let first = talk.hear().await.unwrap().unwrap();
        assert!(first.response.is_none() && first.override_message_timeout.unwrap().seconds == 2);
        let Some(Response::ImmediateResponse(last)) = talk.hear().await.unwrap().unwrap().response
        else {
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
    let instance = Instance::start(
        &narrow,
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    block_on(async {
        let mut held = Vec::new();
        for _ in 0..3 {
            let mut talk = Talk::open(&instance).await;
            talk.ask(PATH).await;
            held.push(talk);
        }
        let mut over = Talk::open(&instance).await;
        let Response::ImmediateResponse(now) = over.ask(PATH).await else {
            panic!()
        };
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
    let mut instance = Instance::start(
        &script("", ""),
        store(folder.path()),
        &[cache.address()],
        cache.address(),
    );
    let address = instance.address;
    let (ready, go) = std::sync::mpsc::channel();
    let open = {
        let at = address;
        std::thread::spawn(move || {
            block_on(async {
                let mut client = ExternalProcessorClient::connect(format!("http://{at}"))
                    .await
                    .unwrap();
                let mut talks = Vec::new();
                for _ in 0..8 {
                    let mut talk = Talk::on(&mut client).await;
                    assert!(placed(&talk.ask(PATH).await, "x-foldmux-cache").is_some());
                    talks.push(talk);
                }
                ready.send(()).unwrap();
                // The front is told to leave meanwhile; its decisions stand, and their ends are heard.
                until("the front takes no more", || {
                    std::net::TcpStream::connect(at).is_err()
                });
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
    assert!(
        instance.serving.leave(PATIENCE),
        "all streams ended in their order"
    );
    open.join().unwrap();
    let tally = instance.core.metrics.take_summary().unwrap();
    assert!(
        tally.contains("ok 8") && tally.contains("served 8") && !tally.contains("cancelled"),
        "{tally}"
    );
    instance.settled();
}
