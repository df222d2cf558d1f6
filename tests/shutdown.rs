//! The process ends: every open request has its final answer in time, and no attempt stays out behind it.
mod common;
use common::*;
use foldmux::interface::*;

/// What the router says at its first look after `by`.
fn look_after(front: &mut Front, by: Time) -> Vec<Action> {
    front.now = by + answer_slack();
    front.event(Event::Timer { token: 1 })
}

/// Beyond a deadline the router waits this long before it calls a request overdue.
fn answer_slack() -> Time {
    settings().response_slack
}

#[test]
fn a_request_with_time_left_ends_before_shutdown_and_its_attempt_is_cancelled() {
    let mut front = Front::new(settings(), members());
    let (read, sent) = front.request(0, 77);
    let read_attempt = only_fetch(&sent);
    let (write, sent) = front.request(1, 78);
    only_fetch(&sent);
    let by = front.now + 500 * MS;
    assert!(
        by < front.now + 3 * SECOND,
        "both have more time than the process"
    );
    assert!(
        front.event(Event::Shutdown { deadline: by }).is_empty(),
        "nothing is given up before its time"
    );
    front.now = by - 100 * MS;
    assert_eq!(finals(&front.event(Event::Timer { token: 1 })), 0);
    let answers = look_after(&mut front, by);
    let refused = |id| {
        answers
            .iter()
            .any(|a| matches!(a, Action::Reject { id: other, .. } if *other == id))
    };
    let failed = |id| {
        answers
            .iter()
            .any(|a| matches!(a, Action::Fail { id: other } if *other == id))
    };
    let called_off = |id| {
        answers
            .iter()
            .any(|a| matches!(a, Action::Cancel { id: other, .. } if *other == id))
    };
    assert!(
        refused(read) && called_off(read),
        "trying again elsewhere is harmless: {answers:?}"
    );
    assert!(
        failed(write) && called_off(write),
        "a single-shot write may have run: {answers:?}"
    );
    assert_eq!(finals(&answers), 2, "one answer each");
    // What the attempt still gives changes nothing.
    assert!(front
        .outcome(&read_attempt, 0, Outcome::Cancelled, CacheStatus::Unknown)
        .is_empty());
}

#[test]
fn no_retry_is_sent_once_the_shutdown_leaves_no_time_for_it() {
    let mut front = Front::new(settings(), members());
    let (_, sent) = front.request(0, 77);
    let attempt = only_fetch(&sent);
    let by = front.now + 500 * MS;
    front.event(Event::Shutdown { deadline: by });
    front.now = by;
    let next = front.outcome(&attempt, 0, Outcome::ConnectFailed, CacheStatus::Unknown);
    assert_eq!((fetches(&next).len(), finals(&next)), (0, 1), "{next:?}");
}

#[test]
fn a_request_due_before_the_shutdown_keeps_its_deadline() {
    let mut front = Front::new(settings(), members());
    let (id, sent) = front.request_for(0, 77, 500.0, 200 * MS);
    only_fetch(&sent);
    let by = front.now + 500 * MS;
    front.event(Event::Shutdown { deadline: by });
    let answers = look_after(&mut front, START + 200 * MS);
    assert!(
        answers
            .iter()
            .any(|a| matches!(a, Action::Reject { id: other, .. } if *other == id)),
        "{answers:?}"
    );
}
