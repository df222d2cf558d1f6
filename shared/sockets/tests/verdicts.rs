//! The table, row by row: what each error of each call proves.

use foldmux_sockets::verdict::{on_accept, on_dial, on_stream, OnAccept, OnDial, OnStream};
use foldmux_sockets::Pauses;
use std::io::Error;
use std::time::Duration;

fn of(code: i32) -> Error {
    Error::from_raw_os_error(code)
}

#[test]
fn only_what_proves_an_end_ends_a_connection() {
    let again = [libc::EINTR, libc::EAGAIN];
    let later = [
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::ETIMEDOUT,
        libc::EHOSTUNREACH,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::EHOSTDOWN,
        libc::EPROTO,
        libc::EIO,
        libc::EPERM,
    ];
    let over = [
        libc::ECONNRESET,
        libc::EPIPE,
        libc::ENOTCONN,
        libc::ECONNABORTED,
        libc::ESHUTDOWN,
        libc::EBADF,
        libc::ENOTSOCK,
        libc::EINVAL,
    ];
    again
        .iter()
        .for_each(|code| assert_eq!(on_stream(&of(*code)), OnStream::Again, "{code}"));
    later
        .iter()
        .for_each(|code| assert_eq!(on_stream(&of(*code)), OnStream::Later, "{code}"));
    over.iter()
        .for_each(|code| assert_eq!(on_stream(&of(*code)), OnStream::Over, "{code}"));
    assert_eq!(on_stream(&Error::other("of a library")), OnStream::Over);
}

#[test]
fn a_dial_is_held_against_the_peer_only_where_the_peer_said_no_or_nothing() {
    let ours = [
        libc::EINTR,
        libc::EAGAIN,
        libc::ENOMEM,
        libc::ENOBUFS,
        libc::EMFILE,
        libc::ENFILE,
        libc::EADDRINUSE,
        libc::EADDRNOTAVAIL,
        libc::ENETUNREACH,
        libc::ENETDOWN,
        libc::EPERM,
        libc::EACCES,
    ];
    let peer = [
        libc::ECONNREFUSED,
        libc::ETIMEDOUT,
        libc::EHOSTUNREACH,
        libc::ECONNRESET,
    ];
    ours.iter()
        .for_each(|code| assert_eq!(on_dial(&of(*code)), OnDial::Ours, "{code}"));
    peer.iter()
        .for_each(|code| assert_eq!(on_dial(&of(*code)), OnDial::Peer, "{code}"));
}

#[test]
fn a_listener_waits_only_where_there_is_nothing_to_take_a_connection_with() {
    let next = [
        libc::EINTR,
        libc::ECONNABORTED,
        libc::EPROTO,
        libc::EPERM,
        libc::ENETDOWN,
        libc::EHOSTUNREACH,
        libc::ETIMEDOUT,
    ];
    let later = [
        libc::EMFILE,
        libc::ENFILE,
        libc::ENOBUFS,
        libc::ENOMEM,
        libc::EBADF,
    ];
    assert_eq!(on_accept(&of(libc::EAGAIN)), OnAccept::Quiet);
    next.iter()
        .for_each(|code| assert_eq!(on_accept(&of(*code)), OnAccept::Next, "{code}"));
    later
        .iter()
        .for_each(|code| assert_eq!(on_accept(&of(*code)), OnAccept::Later, "{code}"));
}

#[test]
fn a_call_that_fails_for_ever_is_made_a_hundred_times_a_second_at_the_most() {
    for verdict in [OnStream::Again, OnStream::Later, OnStream::Over] {
        let mut pauses = Pauses::default();
        let (mut time, mut calls) = (Duration::ZERO, 0);
        while time < Duration::from_secs(10) {
            time += pauses.before_next(verdict);
            calls += 1;
        }
        assert!(calls <= 1_010, "{verdict:?}: {calls}");
    }
}

#[test]
fn an_interrupted_call_is_made_again_at_once() {
    let mut pauses = Pauses::default();
    assert_eq!(pauses.before_next(OnStream::Again), Duration::ZERO);
    assert!(pauses.before_next(OnStream::Later) > Duration::ZERO);
}
