//! Retry safety: which servers a request may go to without being processed twice.
//!
//! Inputs: the class's [`RetrySafety`], the first attempt that may have been processed, and the key group
//! that the host requires. A keyed request may be repeated only at caches that share a memory of its
//! idempotency key, and only while they remember it.

use super::requests::Request;
use super::Router;
use crate::interface::{CacheId, RetrySafety, Time};

impl Router {
    /// Whether an attempt at this server cannot cause the request to be processed a second time.
    pub(super) fn is_safe_at(&self, now: Time, request: &Request, cache: CacheId) -> bool {
        self.is_in_required_group(request, cache) && self.is_safe_retry(now, request, cache)
    }

    fn is_in_required_group(&self, request: &Request, cache: CacheId) -> bool {
        let safety = self.settings.classes[request.class].retry_safety;
        request.required_group.is_none_or(|group| {
            self.servers
                .get(&cache)
                .is_some_and(|server| safety.key_group(&server.member) == group)
        })
    }

    fn is_safe_retry(&self, now: Time, request: &Request, cache: CacheId) -> bool {
        let class = &self.settings.classes[request.class];
        let Some(first) = request.first_possibly_processed else {
            return true;
        };
        let (Some(earlier), Some(next)) =
            (self.servers.get(&first.cache), self.servers.get(&cache))
        else {
            // The key group of a server that is no longer listed is not known.
            return class.retry_safety == RetrySafety::Idempotent;
        };
        match class.retry_safety {
            RetrySafety::Idempotent => true,
            RetrySafety::NonIdempotent => false,
            keyed => {
                keyed.same_key_group(&earlier.member, &next.member)
                    && now < first.sent_at + class.idempotency_window
            }
        }
    }
}
