//! A cache that sends a response twice, the second one some milliseconds later: whose response is it read as?

mod common;

use common::*;
use foldmux::interface::Outcome;
use std::io::ErrorKind;
use std::net::TcpStream;

/// The path of the request that the tests make second.
const SECOND_PATH: &str = "GET /v2/q/sheet/0000000000000005/0 ";

/// Where the cache read the second request.
#[derive(Debug, PartialEq)]
enum Arrived {
    /// On the connection of the first request, on which the late second response then comes.
    OnUsedConnection,
    OnNewConnection,
}

/// Reads the next request, on whichever connection it comes, and responds to it: on the connection of the first request with
/// `late`, which belongs to that one, and on a new connection with the request's own.
fn respond_to_next(rig: &Rig, used: &TcpStream, late: &str) -> Arrived {
    let listener = rig.listener();
    listener.set_nonblocking(true).unwrap();
    used.set_nonblocking(true).unwrap();
    let mut byte = [0];
    until_some(|| match used.peek(&mut byte) {
        Ok(1..) => {
            used.set_nonblocking(false).unwrap();
            read_head(used);
            say(used, late);
            Some(Arrived::OnUsedConnection)
        }
        // Closed, or nothing yet.
        Ok(0) | Err(_) => match listener.accept() {
            Ok((stream, _)) => {
                stream.set_nonblocking(false).unwrap();
                assert!(read_head(&stream).starts_with(SECOND_PATH));
                say(&stream, &ok("own"));
                Some(Arrived::OnNewConnection)
            }
            Err(error) => {
                assert_eq!(error.kind(), ErrorKind::WouldBlock);
                None
            }
        },
    })
}

/// Guards against a second copy of any response being read as the response to the next request on its connection: foreign
/// bytes served, a write confirmed that never ran, or one taken for not processed and sent again.
#[test]
fn a_late_second_response_of_any_status_is_not_read_as_that_of_the_next_request() {
    let head_only = |status: &str| format!("HTTP/1.1 {status}\r\nContent-Length: 0\r\n\r\n");
    let untouched = |status: &str| {
        format!("HTTP/1.1 {status}\r\nSrv-Untouched: 1\r\nContent-Length: 0\r\n\r\n")
    };
    let responses = [
        (ok("first"), Outcome::Served),
        (head_only("404 Not Found"), Outcome::Miss),
        (head_only("500 Error"), Outcome::Error),
        (untouched("503 Full"), Outcome::Overloaded),
        (untouched("504 Over"), Outcome::NeverSent),
        (ok(&"x".repeat(30_000)), Outcome::Served),
    ];
    for (response, first_outcome) in &responses {
        for is_idempotent in [true, false] {
            let rig = Rig::new();
            let (outcome, _, used) = rig.during(&rig.asked(), || {
                let stream = rig.accept();
                read_head(&stream);
                say(&stream, response);
                stream
            });
            assert_eq!(outcome, *first_outcome);
            let mut asked = rig.asked();
            asked.fetch.is_idempotent = is_idempotent;
            let (outcome, brought, arrived) =
                rig.during(&asked, || respond_to_next(&rig, &used, response));
            assert_eq!(
                (outcome, brought, arrived),
                (Outcome::Served, body("own"), Arrived::OnNewConnection),
                "after {response:.40}, idempotent: {is_idempotent}"
            );
        }
    }
}

/// Guards against a write on a connection that has been quiet for as long as suffices for a read.
#[test]
fn a_request_that_must_not_run_twice_needs_a_connection_that_has_been_idle_for_longer() {
    let rig = Rig::new();
    let used = rig.idle();
    let mut asked = rig.asked();
    asked.fetch.is_idempotent = false;
    let (outcome, brought, arrived) =
        rig.during(&asked, || respond_to_next(&rig, &used, &ok("first")));
    assert_eq!(
        (outcome, brought, arrived),
        (Outcome::Served, body("own"), Arrived::OnNewConnection)
    );
}

/// Guards against a connection for each request where a cache sends what is its own alone.
#[test]
fn a_connection_that_stayed_quiet_is_used_again() {
    let rig = Rig::new();
    let used = rig.idle();
    let (outcome, _, arrived) = rig.during(&rig.asked(), || {
        respond_to_next(&rig, &used, &ok("its own this time"))
    });
    assert_eq!(
        (outcome, arrived),
        (Outcome::Served, Arrived::OnUsedConnection)
    );
}
