//! The bounds on an attempt: the age of a copy, and the time before which a retry must be sent.

mod common;

use common::*;
use foldmux::interface::*;

/// How long the caches remember an idempotency key.
const WINDOW: Time = 2 * SECOND;

#[test]
fn an_age_bound_rounds_down_but_never_to_none() {
    let rounded = [0, 1, 999, 1_000, 1_999, 2_500_000].map(bound_ms);
    assert_eq!(
        rounded,
        [None, Some(1), Some(1), Some(1), Some(1), Some(2_500)]
    );
}

#[test]
fn the_earlier_send_bound_holds_and_excludes_its_own_moment() {
    let mut host = TestHost::new(settings(), members());
    let (_, actions) = host.request(0, 1);
    let mut fetch = only_fetch(&actions);
    assert_eq!(fetch.send_before, 0);
    assert!([0, START, Time::MAX].iter().all(|now| fetch.may_send(*now)));
    fetch.limit_send_before(500);
    fetch.limit_send_before(900);
    assert_eq!(
        [499, 500, 501].map(|now| fetch.may_send(now)),
        [true, false, false]
    );
    fetch.limit_send_before(400);
    assert_eq!([399, 400].map(|now| fetch.may_send(now)), [true, false]);
}

/// The `send_before` of a request's first attempt, which ends with `first_outcome`, and of its retry, if any.
fn bounds(retry_safety: RetrySafety, first_outcome: Outcome) -> (Time, Option<Time>) {
    let mut config = settings();
    config.classes[1] = Class {
        retry_safety,
        idempotency_window: WINDOW,
        ..config.classes[1].clone()
    };
    let mut host = TestHost::new(config, members());
    let sent = host.now;
    let (_, actions) = host.request(1, 5);
    let first = only_fetch(&actions);
    host.now += 300 * MS;
    let next = host.outcome(&first, 0, first_outcome, CacheStatus::Unknown);
    assert_eq!(sent, START);
    (
        first.send_before,
        fetches(&next).first().map(|fetch| fetch.send_before),
    )
}

#[test]
fn a_keyed_retry_must_be_sent_while_the_caches_remember_the_key() {
    let keyed = RetrySafety::Keyed(KeyScope::All);
    for possibly_processed in [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        assert_eq!(
            bounds(keyed, possibly_processed),
            (0, Some(START + WINDOW)),
            "{possibly_processed:?}"
        );
    }
    for not_processed in [Outcome::ConnectFailed, Outcome::NeverSent] {
        assert_eq!(
            bounds(keyed, not_processed),
            (0, Some(0)),
            "{not_processed:?}"
        );
    }
    assert_eq!(
        bounds(RetrySafety::Idempotent, Outcome::Reset),
        (0, Some(0))
    );
    // A request that must not be repeated gets one attempt.
    assert_eq!(
        bounds(RetrySafety::NonIdempotent, Outcome::Reset),
        (0, None)
    );
    assert_eq!(
        bounds(RetrySafety::NonIdempotent, Outcome::NeverSent),
        (0, Some(0))
    );
}
