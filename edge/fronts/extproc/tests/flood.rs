//! Streams by the thousand and a flood, alone in their process: they would take its processors from the other tests.

use common::talk::{client, message, placed, quick, response, Talk, PATH};
use common::{script, store, until, Instance};
use foldmux_extproc::pb::{HttpBody, Request};
use foldmux_extproc::{check, serve::block_on};
use std::sync::atomic::Ordering;
use std::time::Duration;

mod common;

#[test]
fn two_thousand_idle_streams_a_slow_reader_and_a_flood_hold_nobody_up() {
    let folder = tempfile::tempdir().unwrap();
    let cache = quick();
    let wide = script(", streams = 2200", "");
    let instance = Instance::start(
        &wide,
        store(folder.path()),
        &[cache.address(); 2],
        cache.address(),
    );
    block_on(async {
        let mut idle = Vec::new();
        for _ in 0..20 {
            let mut client = client(&instance).await;
            for _ in 0..100 {
                idle.push(Talk::on(&mut client).await);
            }
        }
        // One sends and never reads an answer: what it may send ahead is bounded, and so is what waits for it.
        let slow = Talk::open(&instance).await;
        let mut first = check::asks("GET", PATH, &[]);
        if let Some(Request::RequestHeaders(headers)) = &mut first.request {
            headers.end_of_stream = false;
        }
        slow.say(first).await;
        let mut sent = 0;
        let flood = message(Request::RequestBody(HttpBody {
            body: vec![0; 10_000],
            ..HttpBody::default()
        }));
        while sent < 10_000
            && tokio::time::timeout(Duration::from_millis(200), slow.sender.send(flood.clone()))
                .await
                .is_ok()
        {
            sent += 1;
        }
        // Another floods one stream with messages that are out of order.
        let mut flooder = Talk::open(&instance).await;
        flooder.say(check::asks("GET", PATH, &[])).await;
        while flooder.sender.send(flood.clone()).await.is_ok() {}
        let ended = async { while let Ok(Some(_)) = flooder.hear().await {} };
        ended.await;
        let open = || instance.serving.front.open.load(Ordering::SeqCst);
        until("all but the flood's are open", || open() == 2_001);
        // Others are served as ever.
        for _ in 0..200 {
            let mut talk = Talk::open(&instance).await;
            assert!(placed(&talk.ask(PATH).await, "x-foldmux-cache").is_some());
            talk.say(response("200", true)).await;
            talk.hear().await.unwrap().unwrap();
        }
    })
    .unwrap();
    instance.settled();
}
