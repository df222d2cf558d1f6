//! Rejections: outcomes that are not retried, and the Retry-After.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn overload_is_not_retried_and_ejects_no_server() {
    let mut host = TestHost::new(settings(), members());
    let held = host.serve_request(77, CacheStatus::Filled);
    for object in 100..130 {
        let (_, actions) = host.request(0, object);
        let fetch = only_fetch(&actions);
        let end = host.outcome(&fetch, 0, Outcome::Overloaded, CacheStatus::Unknown);
        assert!(
            fetches(&end).is_empty() && final_results(&end) == 1,
            "an overload ends the request"
        );
    }
    let (_, actions) = host.request(0, 77);
    assert_eq!(
        only_fetch(&actions).cache,
        held.cache,
        "it still serves the objects that it holds"
    );
}

#[test]
fn retry_after_leaves_a_client_with_a_short_deadline_time_to_retry() {
    for (deadline, least) in [
        (500 * MS, 50 * MS),
        (2 * SECOND, 200 * MS),
        (9 * SECOND, 200 * MS),
    ] {
        let mut config = settings();
        config.classes[0].deadline = deadline;
        let mut host = TestHost::new(config, Vec::new());
        for object in 0..50 {
            let (id, actions) = host.request(0, object);
            let [Action::Reject {
                id: rejected,
                retry_after,
            }] = actions[..]
            else {
                panic!("{actions:?}")
            };
            assert_eq!(rejected, id);
            assert!(
                (least..2 * least).contains(&retry_after),
                "{retry_after} of {deadline}"
            );
        }
    }
}
