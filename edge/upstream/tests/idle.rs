//! An idle connection that ends, or speaks, while an attempt takes it: nothing of the request was written, so nothing ran.

mod common;

use common::*;
use foldmux::interface::Outcome;
use foldmux_http1::reuse::REUSE_DELAY;

/// The cache's part on the connection that is dialled in the place of the idle one.
fn serves_anew(rig: &Rig) -> String {
    let stream = rig.accept();
    let head = read_head(&stream);
    say(&stream, &ok("fresh"));
    head
}

/// An idle connection on which the cache left the body of the first request unread: its close is a reset.
fn idle_with_unread(rig: &Rig) -> std::net::TcpStream {
    let (outcome, _, stream) = rig.during(&rig.asked().with_body(8), || {
        let stream = rig.accept();
        read_head(&stream);
        let (near, far) = (stream.peer_addr().unwrap(), stream.local_addr().unwrap());
        until("the body arrived", || {
            socket(far, near).is_some_and(|socket| socket.unread == 8)
        });
        say(&stream, &ok("first"));
        stream
    });
    assert_eq!(
        (outcome, rig.upstream.pool.count()),
        (Outcome::Served, (0, 1))
    );
    std::thread::sleep(REUSE_DELAY);
    stream
}

#[test]
fn a_second_answer_that_comes_late_is_not_taken_for_the_next_requests() {
    let rig = Rig::new();
    let idle = rig.idle();
    let asked = rig
        .asked()
        .when_connected(move || arrive(&idle, &ok("second")));
    let (outcome, brought, head) = rig.during(&asked, || serves_anew(&rig));
    assert_eq!((outcome, brought), (Outcome::Served, body("fresh")));
    assert!(
        head.starts_with("GET /v2/q/sheet/0000000000000005/0 "),
        "{head}"
    );
    assert_eq!(rig.upstream.pool.count(), (0, 1));
}

#[test]
fn an_idle_connection_that_the_cache_closes_as_it_is_taken_costs_no_attempt() {
    let rig = Rig::new();
    let idle = rig.idle();
    let asked = rig.asked().when_connected(move || close(idle));
    let (outcome, brought, _) = rig.during(&asked, || serves_anew(&rig));
    assert_eq!((outcome, brought), (Outcome::Served, body("fresh")));
    assert_eq!(rig.upstream.pool.count(), (0, 1));
}

#[test]
fn a_reset_before_the_first_byte_was_taken_is_no_request_that_may_have_run() {
    let rig = Rig::new();
    let idle = idle_with_unread(&rig);
    let asked = rig.asked().before_first_byte(move || close(idle));
    let (outcome, brought, _) = rig.during(&asked, || serves_anew(&rig));
    assert_eq!((outcome, brought), (Outcome::Served, body("fresh")));
    assert_eq!(rig.upstream.pool.count(), (0, 1));
}

#[test]
fn where_none_can_be_dialled_in_its_place_nothing_ran() {
    let rig = Rig::new();
    let idle = rig.idle();
    let asked = rig.asked().when_connected(move || close(idle));
    let rig = rig.without_listener();
    assert_eq!(rig.make(&asked), (Outcome::ConnectFailed, None));
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}

#[test]
fn a_reset_in_the_request_and_after_it_may_have_run() {
    // In it: some of the request is read, the rest is not.
    let rig = Rig::new();
    let asked = rig.asked().with_body(40_000);
    let (outcome, brought, _) = rig.during(&asked, || {
        let stream = rig.accept();
        std::io::Read::read_exact(&mut &stream, &mut [0]).unwrap();
        drop(stream);
    });
    assert_eq!((outcome, brought), (Outcome::Reset, None));
    // After it: all of it is read, and the connection ends without an answer.
    let (outcome, brought, _) = rig.during(&rig.asked(), || drop(read_head(&rig.accept())));
    assert_eq!((outcome, brought), (Outcome::Reset, None));
    assert_eq!(rig.upstream.pool.count(), (0, 0));
}
