//! The limits of the pool.

use super::*;

#[test]
fn the_pool_is_bounded_and_reuses_its_buffers() {
    let pool = BufferPool::new(2);
    let (mut first, second) = (pool.acquire().unwrap(), pool.acquire().unwrap());
    first[0] = 7;
    assert!(pool.acquire().is_none());
    drop(first);
    assert_eq!(pool.acquire().unwrap()[0], 7);
    drop(second);
    assert_eq!(pool.in_use(), 0);
    // Request bodies may use a quarter of the pool, but at least one buffer; the rest is for responses.
    let body = pool.acquire_for_request_body().unwrap();
    assert!(pool.acquire_for_request_body().is_none() && pool.acquire().is_some());
    drop(body);
    assert!(pool.acquire_for_request_body().is_some());
}
