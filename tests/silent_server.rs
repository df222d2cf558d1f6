//! Detection of a cache that sends no responses.
mod common;
use common::*;
use foldmux::interface::*;

#[test]
fn a_cache_with_an_overdue_response_is_skipped_until_it_responds() {
    let mut host = TestHost::new(settings(), members());
    let silent = host.serve_request(77, CacheStatus::Filled).cache;
    let pending = only_fetch(&host.request(0, 77).1);
    assert_eq!(pending.cache, silent);
    // The transfer takes 50 ms and the objective is 500 ms: the response is not due yet.
    host.now += 400 * MS;
    assert_eq!(
        only_fetch(&host.request(0, 77).1).cache,
        silent,
        "it may still respond in time"
    );
    host.now += 200 * MS;
    assert_ne!(
        only_fetch(&host.request(0, 77).1).cache,
        silent,
        "the response is overdue, although the attempt has not timed out"
    );
    // Any response counts, even a rejection.
    host.outcome(&pending, 0, Outcome::Overloaded, CacheStatus::Unknown);
    assert_eq!(
        only_fetch(&host.request(0, 77).1).cache,
        silent,
        "it responded"
    );
}
