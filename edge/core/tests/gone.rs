//! Requests whose client disconnects or whose attempt panics: no further attempt starts, and everything they held is released.

mod common;

use common::*;
use foldmux::interface::Outcome;
use foldmux_core::permits::{AttemptPermits, Permit, PermitRequest};
use foldmux_core::retry_after::Rejected;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn a_client_that_disconnects_while_queued_leaves_the_queue_at_once() {
    let harness = Harness::new();
    let limiter = harness.set_limits(1);
    let (_, first) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    let (cancel, second) = harness.send_request(2);
    wait_until("the second is queued", || {
        limiter.occupancy() == occupancy(1, 1)
    });
    harness.core.client_gone(&cancel);
    assert_eq!(await_reply(&second), Reply::Dropped);
    harness.await_open(1);
    assert_eq!(limiter.occupancy(), occupancy(1, 0));
    // The next request in the queue gets the slot.
    let (_, third) = harness.send_request(3);
    wait_until("the third is queued", || {
        limiter.occupancy() == occupancy(1, 1)
    });
    harness.end_attempt(Outcome::Served);
    assert_eq!(
        (await_reply(&first), harness.next_attempt()),
        (Reply::Served, 3)
    );
    harness.end_attempt(Outcome::Served);
    assert_eq!(await_reply(&third), Reply::Served);
    harness.await_open(0);
    assert_eq!(
        (limiter.occupancy(), harness.started.try_recv().is_err()),
        (occupancy(0, 0), true)
    );
}

#[test]
fn a_client_that_disconnects_during_the_backoff_gets_no_second_attempt() {
    let harness = Harness::new();
    let limiter = harness.set_limits(2);
    let (cancel, reply) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    // The router always retries a miss.
    harness.end_attempt(Outcome::Miss);
    wait_until("its outcome is counted", || {
        harness.core.metrics.take_summary().is_some()
    });
    // The event loop executes commands in order, so the router has decided on the first request's second attempt by now.
    let (_, other) = harness.send_request(2);
    assert_eq!(harness.next_attempt(), 2);
    harness.core.client_gone(&cancel);
    assert_eq!(await_reply(&reply), Reply::Dropped);
    harness.await_open(1);
    harness.end_attempt(Outcome::Served);
    assert_eq!(await_reply(&other), Reply::Served);
    harness.await_open(0);
    assert_eq!(
        (limiter.occupancy(), harness.started.try_recv().is_err()),
        (occupancy(0, 0), true)
    );
}

#[test]
fn a_backoff_past_the_deadline_is_not_started() {
    let harness = Harness::new();
    let limiter = harness.set_limits_with_deadline(1, 50_000);
    let (_, reply) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    harness.end_attempt(Outcome::Miss);
    assert_eq!(await_reply(&reply), Reply::Rejected);
    harness.await_open(0);
    assert_eq!(
        (limiter.occupancy(), harness.started.try_recv().is_err()),
        (occupancy(0, 0), true)
    );
}

/// Makes an attempt wait for its permit until the client is gone, and grants none.
struct NeverPermits(Sender<()>);

impl AttemptPermits for NeverPermits {
    fn acquire(&self, attempt: &PermitRequest) -> Result<Option<Box<dyn Permit>>, Rejected> {
        self.0.send(()).unwrap();
        wait_until("the client is gone", || attempt.cancel.is_client_gone());
        Err(Rejected {
            retry_after: Duration::ZERO,
        })
    }
}

#[test]
fn a_client_that_disconnects_while_waiting_for_a_permit_gets_no_response() {
    let harness = Harness::new();
    let (sender, waits) = channel();
    assert!(harness
        .core
        .permits
        .set(Arc::new(NeverPermits(sender)))
        .is_ok());
    let (cancel, reply) = harness.send_request(1);
    waits
        .recv_timeout(TIMEOUT)
        .expect("it waits for its permit");
    harness.core.client_gone(&cancel);
    assert_eq!(await_reply(&reply), Reply::Dropped);
    harness.await_open(0);
    assert!(harness.started.try_recv().is_err());
}

#[test]
fn a_client_that_disconnects_during_an_attempt_gets_no_second_attempt() {
    let harness = Harness::new();
    let (cancel, reply) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    harness.core.client_gone(&cancel);
    harness.end_attempt(Outcome::Cancelled);
    assert_eq!(await_reply(&reply), Reply::Dropped);
    harness.await_open(0);
    assert!(harness.started.try_recv().is_err());
}

#[test]
fn a_panic_in_an_attempt_releases_what_the_request_held_and_reports_its_end_to_the_router() {
    let harness = Harness::new();
    let limiter = harness.set_limits(1);
    harness.core.metrics.take_summary();
    let (_, reply) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    harness.ends.send(AttemptEnd::Panic).unwrap();
    assert_eq!(await_reply(&reply), Reply::Dropped);
    harness.await_open(0);
    assert_eq!(limiter.occupancy(), occupancy(0, 0));
    // The attempt may have executed, so it counts as cancelled.
    assert_eq!(
        harness.core.metrics.take_summary().as_deref(),
        Some("cancelled 1")
    );
    // The client may use the id again, and the worker thread is still usable.
    let (_, reply) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    harness.end_attempt(Outcome::Served);
    assert_eq!(await_reply(&reply), Reply::Served);
    harness.await_open(0);
}

#[test]
fn a_response_that_arrives_as_the_client_disconnects_ends_the_request() {
    let harness = Harness::new();
    let (cancel, reply) = harness.send_request(1);
    assert_eq!(harness.next_attempt(), 1);
    // The response was read in full before the cancellation took effect.
    harness.core.client_gone(&cancel);
    harness.end_attempt(Outcome::Served);
    // A front has removed the request when it reports the disconnect, so it drops a response that arrives here.
    assert_eq!(await_reply(&reply), Reply::Served);
    harness.await_open(0);
    assert!(
        harness.started.try_recv().is_err(),
        "only one attempt starts"
    );
}
