//! Rejections: what is not retried, and the advised wait.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn overload_is_not_retried_and_ejects_no_server() {
    let mut front = Front::new(settings(), members());
    let held = front.serve(77, CacheStatus::Filled);
    for object in 100..130 {
        let (_, actions) = front.request(0, object);
        let fetch = only_fetch(&actions);
        let end = front.outcome(&fetch, 0, Outcome::Overloaded, CacheStatus::Unknown);
        assert!(
            fetches(&end).is_empty() && finals(&end) == 1,
            "a full answer ends the try"
        );
    }
    let (_, actions) = front.request(0, 77);
    assert_eq!(
        only_fetch(&actions).cache,
        held.cache,
        "what it holds it still serves"
    );
}

#[test]
fn retry_after_leaves_a_client_with_a_short_deadline_time_to_retry() {
    for (deadline, least) in [
        (500 * MS, 50 * MS),
        (2 * SECOND, 200 * MS),
        (9 * SECOND, 200 * MS),
    ] {
        let mut told = settings();
        told.classes[0].deadline = deadline;
        let mut front = Front::new(told, Vec::new());
        for object in 0..50 {
            let (id, actions) = front.request(0, object);
            let [Action::Reject {
                id: refused,
                retry_after,
            }] = actions[..]
            else {
                panic!("{actions:?}")
            };
            assert_eq!(refused, id);
            assert!(
                (least..2 * least).contains(&retry_after),
                "{retry_after} of {deadline}"
            );
        }
    }
}
