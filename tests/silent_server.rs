//! What is done about a cache that says nothing.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_cache_that_is_silent_when_a_response_is_due_is_passed_over_until_it_responds() {
    let mut front = Front::new(settings(), members());
    let hung = front.serve(77, CacheStatus::Filled).cache;
    let out = only_fetch(&front.request(0, 77).1);
    assert_eq!(out.cache, hung);
    // Sent 50 ms of work that is wanted within 500: no answer is owed yet.
    front.now += 400 * MS;
    assert_eq!(
        only_fetch(&front.request(0, 77).1).cache,
        hung,
        "it may still answer in time"
    );
    front.now += 200 * MS;
    assert_ne!(
        only_fetch(&front.request(0, 77).1).cache,
        hung,
        "nothing has timed out yet, and it is silent"
    );
    // Any word will do, also a refusal.
    front.outcome(&out, 0, Outcome::Overloaded, CacheStatus::Unknown);
    assert_eq!(only_fetch(&front.request(0, 77).1).cache, hung, "it speaks");
}
