//! The bounds of the pool.

use super::*;

#[test]
fn a_pool_is_bounded_and_uses_its_buffers_again() {
    let pool = BufferPool::new(2);
    let (mut first, second) = (pool.acquire().unwrap(), pool.acquire().unwrap());
    first[0] = 7;
    assert!(pool.acquire().is_none());
    drop(first);
    assert_eq!(pool.acquire().unwrap()[0], 7);
    drop(second);
    assert_eq!(pool.in_use(), 0);
    // Request bodies leave the other buffers to responses.
    let body = pool.acquire_for_request_body().unwrap();
    assert!(pool.acquire_for_request_body().is_none() && pool.acquire().is_some());
    drop(body);
    assert!(pool.acquire_for_request_body().is_some());
}
