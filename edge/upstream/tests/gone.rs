//! Clients that leave, and repeats whose window ends, before an attempt's first byte: nothing of it is sent.

mod common;

use common::*;
use foldmux::interface::Outcome;
use foldmux_fakes::backlog::{is_dialled, Filled};

#[test]
fn for_a_client_that_left_nothing_is_dialled() {
    let rig = Rig::new();
    let asked = rig.asked();
    asked.cancel.cancel_through(0);
    assert_eq!(rig.make(&asked), (Outcome::NeverSent, None));
    assert!(rig.nobody_dialled());
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}

#[test]
fn a_client_that_leaves_before_the_first_byte_is_the_last_of_its_attempt() {
    let rig = Rig::new();
    let idle = rig.idle();
    let asked = rig.asked();
    let cancel = asked.cancel.clone();
    let asked = asked.before_first_byte(move || cancel.cancel_through(0));
    assert_eq!(rig.make(&asked), (Outcome::NeverSent, None));
    assert!(rest(&idle).is_empty(), "not a byte came");
    assert!(rig.nobody_dialled());
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}

#[test]
fn a_client_that_leaves_after_the_first_byte_may_have_been_served() {
    let rig = Rig::new();
    let asked = rig.asked();
    let cancel = asked.cancel.clone();
    let (outcome, brought, ended) = rig.during(&asked, || {
        let stream = rig.accept();
        read_head(&stream);
        cancel.cancel_through(0);
        // The attempt's connection ends at once, and what is said after is heard by nobody.
        rest(&stream)
    });
    assert_eq!(
        (outcome, brought, ended),
        (Outcome::Cancelled, None, vec![])
    );
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}

#[test]
fn a_client_that_leaves_while_its_connection_is_dialled_ends_the_dial() {
    let rig = Rig::new();
    let at = rig.listener().local_addr().unwrap();
    let filled = Filled::new(rig.listener());
    let asked = rig.asked();
    let cancel = asked.cancel.clone();
    let (outcome, brought, ()) = rig.during(&asked, || {
        until("the dial is under way", || is_dialled(at));
        cancel.cancel_through(0);
    });
    // The queue was full all the time: by itself the dial would last as long as its time allows, beyond the test's.
    assert_eq!((outcome, brought), (Outcome::NeverSent, None));
    assert_eq!(rig.upstream.pool.count(), (0, 0), "its place is back");
    filled.make_room(rig.listener());
    assert!(rig.nobody_dialled(), "nothing comes up once there is room");
}

#[test]
fn a_connection_that_came_up_as_its_client_left_is_closed_unused() {
    let rig = Rig::new();
    let asked = rig.asked();
    let cancel = asked.cancel.clone();
    // The last look is over; the leave comes between that and the first byte, on a connection that was dialled.
    let asked = asked.before_first_byte(move || cancel.cancel_through(0));
    let (outcome, brought, came) = rig.during(&asked, || rest(&rig.accept()));
    assert_eq!((outcome, brought, came), (Outcome::NeverSent, None, vec![]));
    assert_eq!(rig.upstream.pool.count(), (0, 0), "its place is back");
}

#[test]
fn a_repeat_whose_window_is_over_is_not_sent_on_a_connection_that_is_idle() {
    let rig = Rig::new();
    let idle = rig.idle();
    let mut asked = rig.asked();
    asked.fetch.send_before = rig.upstream.clock.now();
    assert_eq!(rig.make(&asked), (Outcome::NeverSent, None));
    assert!(rest(&idle).is_empty(), "not a byte came");
    assert!(rig.nobody_dialled());
    // Within its window it goes.
    asked.fetch.send_before = rig.upstream.clock.now() + 60_000_000;
    let (outcome, brought, _) = rig.during(&asked, || {
        let stream = rig.accept();
        read_head(&stream);
        say(&stream, &ok("again"));
    });
    assert_eq!((outcome, brought), (Outcome::Served, body("again")));
}

#[test]
fn a_repeat_whose_window_ends_while_its_connection_is_taken_is_not_sent() {
    let rig = Rig::new();
    let idle = rig.idle();
    let (clock, by) = (
        rig.upstream.clock.clone(),
        rig.upstream.clock.now() + 200_000,
    );
    let mut asked = rig
        .asked()
        .when_connected(move || until("the window ends", || clock.now() >= by));
    asked.fetch.send_before = by;
    assert_eq!(rig.make(&asked), (Outcome::NeverSent, None));
    assert!(rest(&idle).is_empty(), "not a byte came");
}

#[test]
fn a_dial_for_a_repeat_ends_with_the_repeats_window_and_says_nothing_of_the_cache() {
    let rig = Rig::new();
    let at = rig.listener().local_addr().unwrap();
    let _filled = Filled::new(rig.listener());
    let mut asked = rig.asked();
    asked.fetch.send_before = rig.upstream.clock.now() + 300_000;
    let (outcome, brought, ()) = rig.during(&asked, || {
        until("the dial is under way", || is_dialled(at));
        // By itself the dial may take longer than the test waits.
        until("the dial is given up", || !is_dialled(at));
    });
    assert_eq!((outcome, brought), (Outcome::NeverSent, None));
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}
