//! The start without a list, and the service's return: refused until a list is known, served from then on.

use fake_cache::Cache;
use fake_journal::*;
use std::net::SocketAddr;
use test_client::Client;

mod common;
#[path = "common/fake_cache.rs"]
mod fake_cache;
#[path = "common/fake_journal.rs"]
mod fake_journal;
#[path = "common/test_client.rs"]
mod test_client;

/// An address of this test's own on loopback: no other takes its port while nobody listens there.
fn own_address(last: u8) -> SocketAddr {
    let process = std::process::id();
    let ip = [127, 224 + (process >> 8 & 15) as u8, process as u8, last];
    FakeJournal::at(SocketAddr::from((ip, 0))).address()
}

fn lines(caches: SocketAddr) -> [Line; 2] {
    [Line::pop_cache(1, caches), Line::hub(3, "origin", caches)]
}

/// Not well, and each request is answered before there is any list.
fn refuses(client: &mut Client) {
    assert!(!client.is_well());
    client.ask(1);
    let refusal = client.answer();
    assert!(refusal.contains("\\xa4Shed"), "{refusal}");
}

/// The service tells its first list: the program is well and serves by the time of the call that follows.
fn recovers(call: Call, address: SocketAddr) {
    let caches = Cache::start();
    let told = call.answer(1, &[hosts(1, true, &lines(caches.address()))]);
    assert_eq!(told.tail, 1);
    caches.serve("whole");
    let mut client = Client::connect(address);
    assert!(client.is_well());
    assert!(client.is_served(2, "whole"));
}

#[test]
fn a_service_that_refuses_at_the_start_is_asked_until_it_is_back() {
    let at = own_address(1);
    let (_program, address) = common::start(&config(at, common::SETTINGS, &feed(0, &[])));
    let mut client = Client::connect(address);
    refuses(&mut client);
    let service = FakeJournal::at(at);
    let call = service.call();
    refuses(&mut client);
    recovers(call, address);
}

#[test]
fn a_service_that_is_silent_or_slow_at_the_start_holds_nothing_up() {
    let service = FakeJournal::start();
    let (_program, address) =
        common::start(&config(service.address(), common::SETTINGS, &feed(0, &[])));
    let silent = service.call();
    let mut client = Client::connect(address);
    refuses(&mut client);
    // One that is silent, one that answers with half of its first list, one that has no list yet.
    let mut half = service.call();
    silent.closed();
    let text = answer(&feed(1, &[hosts(1, true, &[])]));
    half.write(&text[..text.len() - 1]);
    refuses(&mut client);
    let none = service.call();
    half.closed();
    let call = none.answer(0, &[]);
    refuses(&mut client);
    recovers(call, address);
}

#[test]
fn a_list_that_is_known_makes_it_well_whatever_the_service_does() {
    let caches = Cache::start();
    let known = feed(1, &[hosts(1, true, &lines(caches.address()))]);
    let (_program, address) = common::start(&config(own_address(2), common::SETTINGS, &known));
    caches.serve("whole");
    let mut client = Client::connect(address);
    assert!(client.is_well());
    assert!(client.is_served(2, "whole"));
}

/// Down for a while, and a drain as the first that it tells: no request goes where it was told not to.
#[test]
fn a_drain_told_at_the_return_of_the_service_is_known_before_the_next_request() {
    let at = own_address(3);
    let (drains, stays) = (Cache::start(), Cache::start());
    let first = Line::pop_cache(1, drains.address());
    let lines = [
        first,
        Line::pop_cache(2, stays.address()),
        Line::hub(3, "origin", stays.address()),
    ];
    let known = feed(1, &[hosts(1, true, &lines)]);
    let (program, address) = common::start(&config(at, common::SETTINGS, &known));
    // It has been refused often enough for the longest pause.
    (0..6).for_each(|_| drop(program.line("journal service: no connection")));
    let service = FakeJournal::at(at);
    let call = service.call();
    assert_eq!(call.tail, 1);
    assert_eq!(
        call.answer(2, &[hosts(2, false, &[first.now("draining")])])
            .tail,
        2
    );
    stays.serve("whole");
    let mut client = Client::connect(address);
    for object in 1..=30 {
        assert!(client.is_served(object, "whole"), "object {object}");
    }
    assert!(!drains.is_dialled());
}
