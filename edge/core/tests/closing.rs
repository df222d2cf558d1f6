//! Shutdown: every open request gets exactly one response by the deadline.

mod common;

use common::*;
use foldmux::interface::Outcome;
use foldmux_core::messages::Command;

#[test]
fn a_request_registered_after_the_shutdown_began_is_rejected_by_the_deadline() {
    let harness = Harness::new();
    // The front read it before the shutdown, with the client's full budget, which is longer than the test's timeout.
    harness.core.event_loop.send(Command::Shutdown {
        deadline: harness.core.clock.now(),
    });
    let (_, reply) = harness.send_request(1);
    assert_eq!(await_reply(&reply), Reply::Rejected);
    harness.await_open(0);
    assert!(
        harness.started.try_recv().is_err(),
        "no attempt starts for it"
    );
}

#[test]
fn a_response_that_was_read_while_its_request_is_given_up_is_its_only_response() {
    let harness = Harness::new();
    let (cancel, reply) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    harness.core.event_loop.send(Command::Shutdown {
        deadline: harness.core.clock.now(),
    });
    wait_until("its attempt is cancelled", || cancel.is_cancelled(0));
    // The response was read in full before the cancellation took effect.
    harness.end_attempt(Outcome::Served);
    assert_eq!(await_reply(&reply), Reply::Served);
    harness.await_open(0);
    assert!(reply.recv().is_err(), "no second response");
    assert!(harness.started.try_recv().is_err());
}

#[test]
fn an_attempt_that_times_out_while_its_request_is_given_up_is_the_last() {
    let harness = Harness::new();
    let (cancel, reply) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    harness.core.event_loop.send(Command::Shutdown {
        deadline: harness.core.clock.now(),
    });
    wait_until("its attempt is cancelled", || cancel.is_cancelled(0));
    harness.end_attempt(Outcome::TimedOut);
    assert_eq!(await_reply(&reply), Reply::Rejected);
    harness.await_open(0);
    assert!(reply.recv().is_err(), "no second response");
    assert!(harness.started.try_recv().is_err());
}
