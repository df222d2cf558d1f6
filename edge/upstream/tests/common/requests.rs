//! A plain request and one attempt for it, which the tests change as they need.

use super::CACHE;
use foldmux::interface::{Fetch, RequestId};
use foldmux_core::request::ClientRequest;
use std::sync::Arc;
use std::time::{Duration, Instant};

/// An attempt at the cache, without a source.
pub fn fetch() -> Fetch {
    Fetch {
        id: RequestId(1),
        cache: CACHE,
        timeout: 0,
        is_idempotent: true,
        send_before: 0,
        source: CACHE,
        retention_rank: 0,
        max_age: 0,
        collapse: false,
        only_if_cached: false,
        revalidate: false,
    }
}

/// A request with time for all that a test does.
pub fn request() -> ClientRequest {
    ClientRequest {
        via_id: 1,
        class: Arc::new(0),
        class_name: "sheet".into(),
        object: 5,
        part: 0,
        group: 0,
        size_kb: 1.0,
        token: None,
        etag: None,
        body: None,
        arrived_at: Instant::now(),
        budget: Duration::from_secs(60),
        front: "test",
        caller: "".into(),
        required_group: None,
    }
}
