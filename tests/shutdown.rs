//! Graceful shutdown: every open request gets its final result in time, and its attempts are cancelled.
mod common;
use common::*;
use foldmux::interface::*;

/// The actions at the first periodic timer after `deadline` and the response slack.
fn check_after(host: &mut TestHost, deadline: Time) -> Vec<Action> {
    host.now = deadline + response_slack();
    host.event(Event::Timer { token: 1 })
}

/// How long after its deadline a request counts as overdue at the latest.
fn response_slack() -> Time {
    settings().response_slack
}

#[test]
fn a_request_with_time_left_ends_before_shutdown_and_its_attempt_is_cancelled() {
    let mut host = TestHost::new(settings(), members());
    let (read, sent) = host.request(0, 77);
    let read_attempt = only_fetch(&sent);
    let (write, sent) = host.request(1, 78);
    only_fetch(&sent);
    let deadline = host.now + 500 * MS;
    assert!(
        deadline < host.now + 3 * SECOND,
        "both requests' deadlines are after the shutdown's"
    );
    assert!(
        host.event(Event::Shutdown { deadline }).is_empty(),
        "no request is ended before its deadline"
    );
    host.now = deadline - 100 * MS;
    assert_eq!(final_results(&host.event(Event::Timer { token: 1 })), 0);
    let results = check_after(&mut host, deadline);
    let rejected = |id| {
        results
            .iter()
            .any(|a| matches!(a, Action::Reject { id: other, .. } if *other == id))
    };
    let failed = |id| {
        results
            .iter()
            .any(|a| matches!(a, Action::Fail { id: other } if *other == id))
    };
    let cancelled = |id| {
        results
            .iter()
            .any(|a| matches!(a, Action::Cancel { id: other, .. } if *other == id))
    };
    assert!(
        rejected(read) && cancelled(read),
        "a retry elsewhere is safe: {results:?}"
    );
    assert!(
        failed(write) && cancelled(write),
        "a non-idempotent write may have been processed: {results:?}"
    );
    assert_eq!(final_results(&results), 2, "one result each");
    // A later outcome of the attempt has no effect.
    assert!(host
        .outcome(&read_attempt, 0, Outcome::Cancelled, CacheStatus::Unknown)
        .is_empty());
}

#[test]
fn no_retry_is_sent_once_the_shutdown_leaves_no_time_for_it() {
    let mut host = TestHost::new(settings(), members());
    let (_, sent) = host.request(0, 77);
    let attempt = only_fetch(&sent);
    let deadline = host.now + 500 * MS;
    host.event(Event::Shutdown { deadline });
    host.now = deadline;
    let next = host.outcome(&attempt, 0, Outcome::ConnectFailed, CacheStatus::Unknown);
    assert_eq!(
        (fetches(&next).len(), final_results(&next)),
        (0, 1),
        "{next:?}"
    );
}

#[test]
fn a_request_due_before_the_shutdown_keeps_its_deadline() {
    let mut host = TestHost::new(settings(), members());
    let (id, sent) = host.request_for(0, 77, 500.0, 200 * MS);
    only_fetch(&sent);
    let deadline = host.now + 500 * MS;
    host.event(Event::Shutdown { deadline });
    let results = check_after(&mut host, START + 200 * MS);
    assert!(
        results
            .iter()
            .any(|a| matches!(a, Action::Reject { id: other, .. } if *other == id)),
        "{results:?}"
    );
}
