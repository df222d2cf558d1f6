//! The bounds on one attempt: the age of a copy, and before when the first byte of a repeat must leave.

mod common;

use common::*;
use foldmux::interface::*;

/// How long the caches remember a keyed request.
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
    let mut front = Front::new(settings(), members());
    let (_, actions) = front.request(0, 1);
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

/// The bounds on the first bytes of a request's attempts, where `repeat` says what may follow and the first ended so.
fn bounds(repeat: RetrySafety, first_end: Outcome) -> (Time, Option<Time>) {
    let mut choice = settings();
    choice.classes[1] = Class {
        retry_safety: repeat,
        idempotency_window: WINDOW,
        ..choice.classes[1].clone()
    };
    let mut front = Front::new(choice, members());
    let sent = front.now;
    let (_, actions) = front.request(1, 5);
    let first = only_fetch(&actions);
    front.now += 300 * MS;
    let then = front.outcome(&first, 0, first_end, CacheStatus::Unknown);
    assert_eq!(sent, START);
    (
        first.send_before,
        fetches(&then).first().map(|fetch| fetch.send_before),
    )
}

#[test]
fn a_keyed_retry_must_be_sent_while_the_caches_remember_the_key() {
    let keyed = RetrySafety::Keyed(KeyScope::All);
    for may_have_run in [Outcome::Reset, Outcome::TimedOut, Outcome::Cancelled] {
        assert_eq!(
            bounds(keyed, may_have_run),
            (0, Some(START + WINDOW)),
            "{may_have_run:?}"
        );
    }
    for never_ran in [Outcome::ConnectFailed, Outcome::NeverSent] {
        assert_eq!(bounds(keyed, never_ran), (0, Some(0)), "{never_ran:?}");
    }
    assert_eq!(
        bounds(RetrySafety::Idempotent, Outcome::Reset),
        (0, Some(0))
    );
    // One that may not be repeated gets one attempt.
    assert_eq!(
        bounds(RetrySafety::NonIdempotent, Outcome::Reset),
        (0, None)
    );
    assert_eq!(
        bounds(RetrySafety::NonIdempotent, Outcome::NeverSent),
        (0, Some(0))
    );
}
