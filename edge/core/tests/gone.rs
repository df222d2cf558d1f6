//! Requests whose client leaves, or whose attempt panics: no attempt begins any more, and all that they held is given back.

mod common;

use common::*;
use foldmux::interface::Outcome;
use foldmux_core::permits::{AttemptPermits, Permit, PermitRequest};
use foldmux_core::retry_after::Rejected;
use std::sync::mpsc::{channel, Sender};
use std::sync::Arc;
use std::time::Duration;

#[test]
fn a_client_that_leaves_the_queue_of_its_limits_gives_its_place_in_it_up_at_once() {
    let rig = Rig::new();
    let limiter = rig.limit(1);
    let (_, first) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    let (cancel, second) = rig.ask(2);
    until("the second waits", || {
        limiter.occupancy() == occupancy(1, 1)
    });
    rig.core.client_gone(&cancel);
    assert_eq!(hears(&second), Heard::Nothing);
    rig.open(1);
    assert_eq!(limiter.occupancy(), occupancy(1, 0));
    // Who comes after it has the place next.
    let (_, third) = rig.ask(3);
    until("the third waits", || limiter.occupancy() == occupancy(1, 1));
    rig.end(Outcome::Served);
    assert_eq!((hears(&first), rig.begins()), (Heard::Same, 3));
    rig.end(Outcome::Served);
    assert_eq!(hears(&third), Heard::Same);
    rig.open(0);
    assert_eq!(
        (limiter.occupancy(), rig.began.try_recv().is_err()),
        (occupancy(0, 0), true)
    );
}

#[test]
fn a_client_that_leaves_in_the_pause_between_two_attempts_has_no_second() {
    let rig = Rig::new();
    let limiter = rig.limit(2);
    let (cancel, heard) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    // The router retries a miss whatever else it knows.
    rig.end(Outcome::Miss);
    until("its end is told", || {
        rig.core.metrics.take_summary().is_some()
    });
    // The event loop takes its commands in their order: it has decided the first request's second attempt by now.
    let (_, other) = rig.ask(2);
    assert_eq!(rig.begins(), 2);
    rig.core.client_gone(&cancel);
    assert_eq!(hears(&heard), Heard::Nothing);
    rig.open(1);
    rig.end(Outcome::Served);
    assert_eq!(hears(&other), Heard::Same);
    rig.open(0);
    assert_eq!(
        (limiter.occupancy(), rig.began.try_recv().is_err()),
        (occupancy(0, 0), true)
    );
}

#[test]
fn a_pause_that_would_outlast_the_request_is_not_begun() {
    let rig = Rig::new();
    let limiter = rig.limit_to(1, 50_000);
    let (_, heard) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    rig.end(Outcome::Miss);
    assert_eq!(hears(&heard), Heard::Refused);
    rig.open(0);
    assert_eq!(
        (limiter.occupancy(), rig.began.try_recv().is_err()),
        (occupancy(0, 0), true)
    );
}

/// Holds an attempt before its permit until the client left.
struct NeverPermits(Sender<()>);

impl AttemptPermits for NeverPermits {
    fn acquire(&self, attempt: &PermitRequest) -> Result<Option<Box<dyn Permit>>, Rejected> {
        self.0.send(()).unwrap();
        until("the client leaves", || attempt.cancel.is_client_gone());
        Err(Rejected {
            retry_after: Duration::ZERO,
        })
    }
}

#[test]
fn a_client_that_leaves_before_its_permit_is_owed_nothing() {
    let rig = Rig::new();
    let (told, waits) = channel();
    assert!(rig.core.permits.set(Arc::new(NeverPermits(told))).is_ok());
    let (cancel, heard) = rig.ask(1);
    waits
        .recv_timeout(PATIENCE)
        .expect("it waits for its permit");
    rig.core.client_gone(&cancel);
    assert_eq!(hears(&heard), Heard::Nothing);
    rig.open(0);
    assert!(rig.began.try_recv().is_err());
}

#[test]
fn a_client_that_leaves_between_two_attempts_has_no_second() {
    let rig = Rig::new();
    let (cancel, heard) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    rig.core.client_gone(&cancel);
    rig.end(Outcome::Cancelled);
    assert_eq!(hears(&heard), Heard::Nothing);
    rig.open(0);
    assert!(rig.began.try_recv().is_err());
}

#[test]
fn a_panic_in_an_attempt_gives_back_what_the_request_held_and_the_module_hears_its_end() {
    let rig = Rig::new();
    let limiter = rig.limit(1);
    rig.core.metrics.take_summary();
    let (_, heard) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    rig.ends.send(End::Panic).unwrap();
    assert_eq!(hears(&heard), Heard::Nothing);
    rig.open(0);
    assert_eq!(limiter.occupancy(), occupancy(0, 0));
    // What is not known may have run.
    assert_eq!(
        rig.core.metrics.take_summary().as_deref(),
        Some("cancelled 1")
    );
    // Its client's id may come again, and its thread goes on.
    let (_, heard) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    rig.end(Outcome::Served);
    assert_eq!(hears(&heard), Heard::Same);
    rig.open(0);
}

#[test]
fn an_answer_that_comes_in_the_moment_of_a_leave_is_given_to_nobody_and_ends_the_request() {
    let rig = Rig::new();
    let (cancel, heard) = rig.ask(1);
    assert_eq!(rig.begins(), 1);
    // The answer was read whole before the leave could cut it.
    rig.core.client_gone(&cancel);
    rig.end(Outcome::Served);
    // The front forgot the request when it told of the leave: what is handed to it here it drops.
    assert_eq!(hears(&heard), Heard::Same);
    rig.open(0);
    assert!(rig.began.try_recv().is_err(), "one attempt, one end");
}
